//! Software versions of the runners that began streams.
//!
//! A stream may be continued only at the version that began it. Its client may take it up at any daemon, and the one that
//! relayed its first event may be gone by then. While a service has several versions, each daemon therefore sends the
//! origins of the streams that it relays to keepers, and the daemon that is to continue a stream asks them. While a service
//! has had one version for longer than a stream lasts, that version began the stream, and nothing is sent. The store holds
//! the origins ([`backup`]), and the lease record the versions, because no daemon remembers them after all have restarted. A
//! stream of unknown origin is not continued.
//!
//! `docs/design/stream-origins.md` discusses the alternatives.

pub mod backup;
pub mod messages;
mod version_history;
mod version_record;

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::names::{ServiceName, SoftwareVersion};
use crate::runners::RunnerTable;

use messages::{MAX_STREAMS_PER_MESSAGE, StreamOriginRecords, StreamRecord};
use version_history::VersionHistory;
pub use version_record::{RecordedVersion, VersionRecord};

/// Time from the beginning of a stream until the keepers are told of it, together with others. A daemon that is killed in
/// this time takes its record along, and the stream is not continued.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Number of keepers of one stream.
const KEEPERS_PER_STREAM: usize = 3;
/// Maximum number of streams whose origins are kept; the oldest are dropped first.
const MAX_STREAMS: usize = 65_536;
/// Age that a record in the lease may have. A daemon that has adopted one counts from then on, so that much less than its
/// holder.
const RECORD_INTERVAL: Duration = Duration::from_secs(2);
/// Time by which an origin may be kept for longer here than in the store.
const STORED_LIFE_SLACK: Duration = Duration::from_secs(2);
/// Longest time for which an origin is kept.
const MAX_LIFE: Duration = Duration::from_secs(u8::MAX as u64);

/// Identifies a stream: a hash of the ID of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey([u8; 8]);

impl StreamKey {
    /// The key of the stream whose first event was brought by the request with this ID.
    pub fn of(request: &str) -> Self {
        Self(xxh3_64(request.as_bytes()).to_le_bytes())
    }
}

/// The service and software version of the runner that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The software version.
    pub version: SoftwareVersion,
}

/// What a daemon knows of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginKnowledge {
    /// The origin was recorded.
    Recorded(StreamOrigin),
    /// All known runners of the service had one version.
    OneVersion {
        /// The version.
        version: SoftwareVersion,
        /// The daemon has known the runners since before the stream can have begun.
        covers_window: bool,
    },
    /// The runners of the service had several versions since the stream can have begun, or some that are unknown.
    SeveralVersions,
    /// The daemon knows no runner of the service.
    NoRunner,
}

impl OriginKnowledge {
    /// Whether the stream began at the only version that is known, unless another one was missed.
    pub fn is_only_version(&self) -> bool {
        matches!(
            self,
            Self::OneVersion {
                covers_window: true,
                ..
            }
        )
    }
}

/// A recorded origin.
#[derive(Clone, Debug)]
struct Record {
    origin: StreamOrigin,
    expires_at: Timestamp,
    /// The store holds it, or is being sent it.
    is_stored: bool,
}

/// Origins of streams as known to one daemon, and the versions of the runners.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<StreamKey, Record>,
    /// Keys in the order in which they were recorded, to find expired ones.
    order: VecDeque<StreamKey>,
    /// Streams that the store may not hold.
    unstored: VecDeque<StreamKey>,
    /// Streams that this daemon relays, in the order of their beginnings.
    own: VecDeque<StreamKey>,
    /// Number of streams at the end of `own` that the keepers have not been told of.
    untold: usize,
    /// Some of those streams are of a service with several versions.
    is_message_due: bool,
    /// The keepers that were told of the others, in ascending order.
    told: Vec<SocketAddr>,
    sent_at: Timestamp,
    history: VersionHistory,
}

impl StreamOrigins {
    /// Records the versions of all runners. It must be called at each change of the table.
    pub fn note_runners(&mut self, runners: &RunnerTable, now: Timestamp) {
        self.history.note_runners(runners, now);
        self.is_message_due |= self.untold > 0 && self.history.any_has_several(now);
    }

    /// What is known of the versions of runners up to a revision, for the lease record.
    pub fn version_record(&self, revision: u64, now: Timestamp) -> Option<VersionRecord> {
        self.history.record(revision, now)
    }

    /// Whether a record covers a notably longer time than this daemon does.
    pub fn lacks(&self, record: &VersionRecord, now: Timestamp) -> bool {
        let recorded = Duration::from_millis(record.known_for_ms.into());
        recorded > self.history.known_for(now) + RECORD_INTERVAL
    }

    /// Adopts a record, after [`Self::note_listed`] was called for all changes of runners since its revision.
    pub fn adopt(&mut self, record: &VersionRecord, now: Timestamp) {
        self.history.adopt(record, now);
    }

    /// Records how long a stream may live, from its beginning until its client takes it up for the last time: the deadline
    /// of a client, or [`MAX_LIFE`] if it names none.
    pub fn note_life(&mut self, life: Option<Duration>) {
        self.history.note_life(life.unwrap_or(MAX_LIFE));
    }

    /// Records that this daemon, which knows all runners, has created the first lease of the system. No stream that can be
    /// taken up begins before there is a lease, so no other version can have begun one.
    pub fn note_first_lease(&mut self) {
        self.history.note_first_lease();
    }

    /// Records the version of a runner that was listed at some time up to now, and may have gone since.
    pub fn note_listed(
        &mut self,
        service: &ServiceName,
        version: Option<&SoftwareVersion>,
        now: Timestamp,
    ) {
        self.history.note_listed(service, version, now);
    }

    /// Records that a runner has begun a stream, or continues it, that its client may take up for some time.
    pub fn begin(&mut self, key: StreamKey, origin: StreamOrigin, life: Duration, now: Timestamp) {
        self.is_message_due |= self.history.has_several(&origin.service, now);
        self.insert(key, origin, now + life.min(MAX_LIFE), now);
        self.own.push_back(key);
        self.untold += 1;
        while let Some(key) = self.own.front().copied() {
            if self.own.len() <= MAX_STREAMS && self.is_live(key, now) {
                break;
            }
            self.own.pop_front();
        }
        self.untold = self.untold.min(self.own.len());
    }

    fn is_live(&self, key: StreamKey, now: Timestamp) -> bool {
        let record = self.records.get(&key);
        record.is_some_and(|record| record.expires_at > now)
    }

    /// Records origins that another daemon has sent.
    pub fn apply(&mut self, records: &StreamOriginRecords, now: Timestamp) {
        for stream in &records.streams {
            let Some(origin) = records.origins.get(usize::from(stream.origin)) else {
                continue;
            };
            let life = Duration::from_secs(u64::from(stream.seconds_left));
            self.insert(stream.key, origin.clone(), now + life, now);
        }
    }

    /// Records origins that were read from the store.
    pub fn restore(&mut self, records: &StreamOriginRecords, now: Timestamp) {
        self.apply(records, now);
        self.set_stored(records, true);
    }

    /// Takes origins that the store does not hold, of services with several versions; they count as stored from now on.
    fn take_unstored(&mut self, max: usize, now: Timestamp) -> StreamOriginRecords {
        if !self.history.any_has_several(now) {
            return StreamOriginRecords::default();
        }
        let mut keys = Vec::new();
        let mut others = VecDeque::new();
        for key in std::mem::take(&mut self.unstored) {
            let record = self.records.get(&key);
            let Some(record) = record.filter(|it| !it.is_stored && it.expires_at > now) else {
                continue;
            };
            if keys.len() < max && self.history.has_several(&record.origin.service, now) {
                keys.push(key);
            } else {
                others.push_back(key);
            }
        }
        self.unstored = others;
        let records = self.message(&keys, now);
        self.set_stored(&records, true);
        records
    }

    /// Records that the store may not hold origins that were taken.
    fn mark_unstored(&mut self, records: &StreamOriginRecords) {
        self.set_stored(records, false);
        let keys = records.streams.iter().map(|stream| stream.key);
        self.unstored.extend(keys);
    }

    fn set_stored(&mut self, records: &StreamOriginRecords, is_stored: bool) {
        for stream in &records.streams {
            if let Some(record) = self.records.get_mut(&stream.key) {
                record.is_stored = is_stored;
            }
        }
    }

    /// The first record of a stream is kept: what comes later under the same key began another way.
    fn insert(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        expires_at: Timestamp,
        now: Timestamp,
    ) {
        self.drop_expired(now);
        match self.records.entry(key) {
            Entry::Occupied(mut known) => {
                let known = known.get_mut();
                if known.is_stored && expires_at > known.expires_at + STORED_LIFE_SLACK {
                    known.is_stored = false;
                    self.unstored.push_back(key);
                }
                known.expires_at = known.expires_at.max(expires_at);
            }
            Entry::Vacant(record) => {
                record.insert(Record {
                    origin,
                    expires_at,
                    is_stored: false,
                });
                self.order.push_back(key);
                self.unstored.push_back(key);
            }
        }
        if self.unstored.len() > MAX_STREAMS {
            self.unstored.pop_front();
        }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while let Some(key) = self.order.front().copied() {
            if self.order.len() <= MAX_STREAMS && self.is_live(key, now) {
                break;
            }
            self.records.remove(&key);
            self.order.pop_front();
        }
    }

    /// What is known here of the origin of a stream that began within a window before now.
    pub fn knowledge(
        &self,
        key: Option<StreamKey>,
        service: &ServiceName,
        window: Duration,
        now: Timestamp,
    ) -> OriginKnowledge {
        let record = key.and_then(|key| self.records.get(&key));
        match record.filter(|record| record.expires_at > now) {
            Some(record) => OriginKnowledge::Recorded(record.origin.clone()),
            None => self.history.knowledge(service, window, now),
        }
    }

    /// When the keepers are next told of streams, if there are any to tell.
    pub fn next_message(&self) -> Option<Timestamp> {
        self.is_message_due.then(|| self.sent_at + BATCH_INTERVAL)
    }

    /// The records that are due, each for some of the keepers. After a change of keepers the new ones are told of all
    /// streams that this daemon relays.
    pub fn due_records(
        &mut self,
        keepers: &[SocketAddr],
        now: Timestamp,
    ) -> Vec<(SocketAddr, StreamOriginRecords)> {
        let mut keepers = keepers.to_vec();
        keepers.sort_unstable();
        if self.told != keepers {
            self.told.clone_from(&keepers);
            self.untold = self.own.len();
            self.is_message_due |= self.untold > 0 && self.history.any_has_several(now);
        }
        if keepers.is_empty() || self.next_message().is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.sent_at = now;
        self.is_message_due = false;
        let mut batches: BTreeMap<SocketAddr, Vec<StreamKey>> = BTreeMap::new();
        for key in self.take_tellable(now) {
            for keeper in keepers_of(key, &keepers) {
                batches.entry(keeper).or_default().push(key);
            }
        }
        let batches = batches.into_iter();
        let messages = batches.flat_map(|(keeper, keys)| {
            let parts: Vec<StreamOriginRecords> = keys
                .chunks(MAX_STREAMS_PER_MESSAGE)
                .map(|keys| self.message(keys, now))
                .collect();
            parts.into_iter().map(move |part| (keeper, part))
        });
        messages.collect()
    }

    /// The streams of services with several versions that the keepers have not been told of, which then count as told.
    fn take_tellable(&mut self, now: Timestamp) -> Vec<StreamKey> {
        let told = self.own.len() - self.untold;
        let mut untold: Vec<StreamKey> = self.own.drain(told..).collect();
        untold.retain(|key| self.is_live(*key, now));
        let has_several = |key: &StreamKey| {
            let record = self.records.get(key);
            record.is_some_and(|record| self.history.has_several(&record.origin.service, now))
        };
        let (tellable, others): (Vec<StreamKey>, Vec<StreamKey>) =
            untold.into_iter().partition(has_several);
        self.untold = others.len();
        self.own.extend(tellable.iter().copied().chain(others));
        tellable
    }

    fn message(&self, keys: &[StreamKey], now: Timestamp) -> StreamOriginRecords {
        let mut message = StreamOriginRecords::default();
        for key in keys {
            let Some(record) = self.records.get(key) else {
                continue;
            };
            let position = message.origins.iter().position(|it| *it == record.origin);
            let position = position.unwrap_or_else(|| {
                message.origins.push(record.origin.clone());
                message.origins.len() - 1
            });
            let Ok(origin) = u8::try_from(position) else {
                continue;
            };
            let left = record.expires_at.since(now).as_secs() + 1;
            message.streams.push(StreamRecord {
                key: *key,
                origin,
                seconds_left: u8::try_from(left).unwrap_or(u8::MAX),
            });
        }
        message
    }
}

/// The keepers of a stream: a few of all, by rendezvous hashing, which agrees on all daemons that know the same ones.
pub fn keepers_of(key: StreamKey, keepers: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ranked = keepers.to_vec();
    ranked.sort_by_cached_key(|keeper| {
        xxh3_64_with_seed(keeper.to_string().as_bytes(), u64::from_le_bytes(key.0))
    });
    ranked.truncate(KEEPERS_PER_STREAM);
    ranked
}

/// The origin of a stream, from what this daemon and those that it asked know; `None` if it is not certain.
///
/// Without a record, a version counts as the only one if nobody knows of another and somebody has known the runners since
/// before the stream can have begun. A daemon that is cut off from all others may have missed a second version, so what it
/// knows counts without an answer only if `own_counts_alone`: there are no others, or the store has confirmed it.
pub fn resolve(
    service: &ServiceName,
    own: &OriginKnowledge,
    answers: &[OriginKnowledge],
    own_counts_alone: bool,
) -> Option<StreamOrigin> {
    let all = || std::iter::once(own).chain(answers);
    let recorded = all().find_map(|knowledge| match knowledge {
        OriginKnowledge::Recorded(origin) => Some(origin.clone()),
        _ => None,
    });
    if recorded.is_some() {
        return recorded;
    }
    if answers.is_empty() && !own_counts_alone {
        return None;
    }
    let mut only: Option<&SoftwareVersion> = None;
    let mut is_covered = false;
    for knowledge in all() {
        match knowledge {
            OriginKnowledge::OneVersion {
                version,
                covers_window,
            } => {
                if only.is_some_and(|only| only != version) {
                    return None;
                }
                only = Some(version);
                is_covered |= covers_window;
            }
            OriginKnowledge::SeveralVersions => return None,
            OriginKnowledge::NoRunner | OriginKnowledge::Recorded(_) => {}
        }
    }
    let version = only.filter(|_| is_covered)?;
    Some(StreamOrigin {
        service: service.clone(),
        version: version.clone(),
    })
}
