//! Dissemination of state from the coordinator to the members.
//!
//! The coordinator tracks the state that each member has been sent. A change is sent once; a member that has lost a
//! message reports a gap, and the missing state is resent. Without updates a member is sent heartbeats, by which it
//! also detects a loss. The message rate is bounded for any number of members.
//!
//! A member that has not been sent anything by a coordinator sends digests of what it knows, and is sent the
//! differences. The coordinator waits for a member that is still reading the store's list: after a restart of all
//! daemons, sending each of them the full state would saturate the coordinator's link for longer than the reads take.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::holdings_digests::HoldingsDigests;
use crate::homes::Requirement;
use crate::membership::MembershipUpdate;
use crate::messages::{Direction, HoldingsSummary, KnownState, RunnerLoad, UnitOutlook};
use crate::pacing::{self, Pacer};
use crate::placement::readiness::ReadinessEstimates;
use crate::placement::{HoldingsSnapshot, KnownHoldings, Placement};
use crate::runners::RunnerTable;
use crate::standby::{StandbyPlace, Standbys};

/// Interval between messages to a member for which there are no updates.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between messages with updated holdings to one member, multiplied by the number of members.
const UPDATE_INTERVAL_PER_MEMBER: Duration = Duration::from_micros(2_500);
/// Interval between rounds for a member whose pending state does not fit into one round.
const PARTS_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between messages with runner loads to one member; longer if the link lacks capacity.
const LOADS_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the bandwidth for members that runner loads may use.
const LOADS_SHARE: f64 = 0.2;
/// Maximum time to wait for a member that has no list of runners yet to read the store's list. With 300 daemons
/// starting at once, 3,000 runners and a link of 1,000 Mbit/s from the store, the last page arrived after 5.5 s.
const MAX_LIST_READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Validity of the digests of a member that has not been sent anything.
const SUMMARY_VALIDITY: Duration = Duration::from_secs(5);
/// Minimum interval between messages with the addresses of all members to one member.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between messages with the relay addresses to one member. A message has up to twelve addresses. The interval
/// may be long, but must be shorter than the likely time from a change of relays to a following network partition.
const RELAYS_INTERVAL: Duration = Duration::from_secs(4);
/// Time between two full lists to a member that lacks software versions. It has them after one list, unless a part was
/// lost.
const SOFTWARE_VERSIONS_INTERVAL: Duration = Duration::from_secs(5);
/// Number of relays of a member beside the standbys. All daemons of a zone may have to reach the runners through others,
/// which the standbys alone would not bear.
const OTHER_RELAYS: usize = 7;
/// Interval between selections of the standbys.
const STANDBYS_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a member that has not acknowledged an update is assumed to have lost it.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(150);

/// A message to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The member.
    pub member: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Content of the message.
    pub direction: Direction,
}

/// State that has been sent to a member.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// Version of the holdings that it has once it has received all messages.
    holdings_version: u64,
    /// Holdings that it knew before it was sent any.
    known_already: KnownHoldings,
    /// State is still pending after the last round.
    has_pending: bool,
    /// Time of its first message.
    first_at: Timestamp,
    /// Store revision up to which it has been sent all runner changes.
    runners_revision: u64,
    /// It has reported that it has a list of runners.
    has_list: bool,
    /// It has acknowledged a message of the coordinator's current term.
    is_acknowledged: bool,
    /// State of the coordinator at the time of the last message.
    placement_version: u64,
    configuration_version: u64,
    membership_revision: u64,
    standby: StandbyPlace,
    sent_at: Timestamp,
    /// Time of the last bare heartbeat, sent for lack of link capacity.
    heartbeat_at: Timestamp,
    /// Time of the last message with new state.
    updated_at: Timestamp,
    loads_at: Timestamp,
    members_at: Timestamp,
    relays_at: Option<Timestamp>,
    /// Time at which it was last sent the full list for the software versions that it lacks.
    versions_at: Option<Timestamp>,
}

impl Progress {
    /// State of a member that has not been sent anything yet.
    fn new(known: KnownState, term: u64, now: Timestamp) -> Self {
        let same_term = known.term == term;
        Self {
            holdings_version: if same_term { known.holdings_version } else { 0 },
            runners_revision: known.runners_revision,
            has_list: known.runners_revision > 0,
            is_acknowledged: same_term,
            first_at: now,
            ..Self::default()
        }
    }

    /// Whether the state reported by a member continues what it was sent in this term. Otherwise it has not received
    /// anything yet, or its process has restarted: a running process never loses its list.
    fn continues_from(&self, known: KnownState, term: u64) -> bool {
        let has_lost_list = self.has_list && known.runners_revision == 0;
        known.term == term && !has_lost_list
    }

    /// Records an acknowledgement of a member.
    fn record_acknowledgement(&mut self, known: KnownState, now: Timestamp) {
        self.is_acknowledged = true;
        self.has_list |= known.runners_revision > 0;
        if now.since(self.updated_at) >= ACKNOWLEDGEMENT_TIMEOUT {
            self.roll_back(known);
        }
    }

    /// Rolls back to the state known to the member, so that the rest is resent.
    fn roll_back(&mut self, known: KnownState) {
        self.holdings_version = self.holdings_version.min(known.holdings_version);
        self.runners_revision = self.runners_revision.min(known.runners_revision);
    }

    /// Whether a message to the member is due.
    fn is_due(
        &self,
        header: &Direction,
        placement_version: u64,
        update_interval: Duration,
        now: Timestamp,
    ) -> bool {
        let age = now.since(self.sent_at);
        age >= HEARTBEAT_INTERVAL
            || self.configuration_version != header.store.configuration_version
            || self.membership_revision != header.store.membership_revision
            || self.standby != header.standby
            || (self.has_pending && age >= PARTS_INTERVAL)
            || (self.placement_version != placement_version && age >= update_interval)
    }

    /// Whether the member is still reading the store's list and is given time to finish.
    fn is_reading_list(
        &self,
        known: KnownState,
        list_read_timeout: Duration,
        now: Timestamp,
    ) -> bool {
        known.runners_revision == 0 && now.since(self.first_at) < list_read_timeout
    }

    fn record_sent(&mut self, header: &Direction, placement_version: u64, now: Timestamp) {
        if self.membership_revision != header.store.membership_revision {
            self.updated_at = now;
        }
        self.placement_version = placement_version;
        self.configuration_version = header.store.configuration_version;
        self.membership_revision = header.store.membership_revision;
        self.standby = header.standby;
        self.sent_at = now;
    }
}

/// Tracks and schedules the messages to all members during one term.
#[derive(Debug)]
pub struct Dissemination {
    term: u64,
    progress: HashMap<String, Progress>,
    /// Members with waiting requests that have not been answered yet.
    unanswered: BTreeSet<String>,
    /// Digests from members that have not been sent anything yet, with the time of receipt.
    summaries: HashMap<String, (HoldingsDigests, Timestamp)>,
    standbys: Standbys,
    standbys_at: Option<Timestamp>,
    pacer: Pacer,
}

impl Dissemination {
    /// State of a new coordinator; `link` is the link speed in Mbit/s, or 0 if it is not known.
    pub fn new(term: u64, link: u32, now: Timestamp) -> Self {
        Self {
            term,
            progress: HashMap::new(),
            unanswered: BTreeSet::new(),
            summaries: HashMap::new(),
            standbys: Standbys::default(),
            standbys_at: None,
            pacer: Pacer::new(link, now),
        }
    }

    /// Addresses of the standbys, in order of succession.
    pub fn standby_addresses(&self, placement: &Placement, now: Timestamp) -> Vec<SocketAddr> {
        let members: HashMap<String, SocketAddr> = placement.members(now).into_iter().collect();
        let names = self.standbys.names().iter();
        names
            .filter_map(|name| members.get(name).copied())
            .collect()
    }

    /// Reselects the standbys, if due.
    fn choose_standbys(&mut self, placement: &Placement, own: SocketAddr, now: Timestamp) {
        let is_due = |at: Timestamp| now.since(at) >= STANDBYS_INTERVAL;
        if self.standbys_at.is_none_or(is_due) {
            self.standbys_at = Some(now);
            self.standbys.choose(placement.standby_candidates(own, now));
        }
    }

    /// Records the state reported by a member. Returns whether the member is new.
    pub fn record_known_state(&mut self, member: &str, known: KnownState, now: Timestamp) -> bool {
        let Some(progress) = self.progress.get_mut(member) else {
            return true;
        };
        if progress.continues_from(known, self.term) {
            progress.record_acknowledgement(known, now);
            return false;
        }
        // A member that has not acknowledged anything yet is still the same process; the wait does not restart.
        let first_at = if progress.is_acknowledged {
            now
        } else {
            progress.first_at
        };
        *progress = Progress::new(known, self.term, first_at);
        true
    }

    /// Records the holdings digests reported by a member.
    pub fn record_summary(&mut self, summary: HoldingsSummary, now: Timestamp) {
        if summary.term == self.term {
            let known = (summary.digests, now);
            self.summaries.insert(summary.from, known);
        }
    }

    /// Records that a member reported a gap, and schedules a resend.
    pub fn record_gap(&mut self, member: &str, known: KnownState) {
        if let Some(progress) = self.progress.get_mut(member) {
            progress.roll_back(known);
        }
        self.schedule_message(member);
    }

    /// Schedules a message to a member after the next placement plan.
    pub fn schedule_message(&mut self, member: &str) {
        self.unanswered.insert(member.to_owned());
    }

    /// Returns the messages that are due, and records them as sent.
    pub fn messages(
        &mut self,
        placement: &Placement,
        runners: &RunnerTable,
        header: &Direction,
        now: Timestamp,
    ) -> Vec<Outgoing> {
        self.choose_standbys(placement, header.address, now);
        self.pacer.refill(now);
        let mut members = placement.members(now);
        let names: BTreeSet<&String> = members.iter().map(|(name, _)| name).collect();
        self.progress.retain(|name, _| names.contains(name));
        self.unanswered.retain(|name| names.contains(name));
        self.summaries
            .retain(|_, (_, at)| now.since(*at) < SUMMARY_VALIDITY);
        let count = u32::try_from(members.len()).unwrap_or(u32::MAX);
        let update_interval = UPDATE_INTERVAL_PER_MEMBER * count;
        let addresses = members.iter().map(|(_, address)| *address).collect();
        let standbys = self.standby_addresses(placement, now);
        let mut round = Round::new(placement, runners, addresses, standbys, now);
        round.list_read_timeout = self.list_read_timeout(&round);
        // Serves the members with the oldest message first, so that none starves when the link is saturated.
        members.sort_by_key(|(name, _)| self.progress.get(name).map(|it| it.sent_at));
        let mut messages = Vec::new();
        for (member, address) in members {
            let own_header = Direction {
                standby: self.standbys.place(&member),
                ..header.clone()
            };
            if !self.pacer.can_send() {
                let heartbeat = self.bare_heartbeat(&member, own_header, placement, now);
                messages.extend(heartbeat.map(|direction| Outgoing {
                    member,
                    address,
                    direction,
                }));
                continue;
            }
            let is_due = self.progress.get(&member).is_none_or(|progress| {
                progress.is_due(&own_header, placement.version(), update_interval, now)
            });
            if !self.unanswered.remove(&member) && !is_due {
                continue;
            }
            for direction in self.directions(&member, address, &own_header, &mut round) {
                self.pacer.consume(&direction);
                messages.push(Outgoing {
                    member: member.clone(),
                    address,
                    direction,
                });
            }
        }
        messages
    }

    /// Heartbeat for a member while the link has no capacity for updates, if due. A member without heartbeats assumes
    /// that the coordinator has failed, and rejects the requests waiting for it. With 300 members this takes 66 KB per
    /// second.
    fn bare_heartbeat(
        &mut self,
        member: &str,
        header: Direction,
        placement: &Placement,
        now: Timestamp,
    ) -> Option<Direction> {
        let known = placement.known_state_of(member)?;
        let progress = self.progress.entry(member.to_owned());
        let progress = progress.or_insert_with(|| Progress::new(known, header.term, now));
        let last_at = progress.sent_at.max(progress.heartbeat_at);
        if now.since(last_at) < HEARTBEAT_INTERVAL {
            return None;
        }
        progress.heartbeat_at = now;
        let direction = Direction {
            holdings_after: progress.holdings_version,
            holdings_version: progress.holdings_version,
            ..header
        };
        self.pacer.consume(&direction);
        Some(direction)
    }

    /// Time to wait for a member without a list of runners to read the store's list: the time that sending the full
    /// state to all members would take, which is negligible in a small fleet.
    fn list_read_timeout(&self, round: &Round<'_>) -> Duration {
        let bytes = pacing::full_state_bytes(round.runners.iter().count());
        let everything = self.pacer.transmission_time(bytes * round.addresses.len());
        everything.min(MAX_LIST_READ_TIMEOUT)
    }

    /// Interval between messages with runner loads to one member.
    fn loads_interval(&self, round: &mut Round<'_>) -> Duration {
        let bytes = pacing::loads_bytes(round.loads().len());
        let everywhere = self.pacer.transmission_time(bytes * round.addresses.len());
        LOADS_INTERVAL.max(everywhere.div_f64(LOADS_SHARE))
    }

    /// Messages that a member is sent now; each fits into a datagram.
    fn directions(
        &mut self,
        member: &str,
        address: SocketAddr,
        header: &Direction,
        round: &mut Round<'_>,
    ) -> Vec<Direction> {
        let (placement, now) = (round.placement, round.now);
        let Some(known) = placement.known_state_of(member) else {
            return Vec::new();
        };
        let loads_interval = self.loads_interval(round);
        let progress = self.progress.entry(member.to_owned());
        let progress = progress.or_insert_with(|| Progress::new(known, header.term, now));
        progress.runners_revision = progress.runners_revision.max(known.runners_revision);
        let is_reading_list = progress.is_reading_list(known, round.list_read_timeout, now);
        let after = progress.holdings_version;
        if after == 0
            && !is_reading_list
            && placement.has_runners()
            && let Some((digests, _)) = self.summaries.remove(member)
        {
            progress.known_already = placement.known_holdings(&digests, round.snapshot());
        }
        let mut directions = if is_reading_list {
            vec![Direction {
                holdings_after: after,
                holdings_version: after,
                ..header.clone()
            }]
        } else {
            placement.directions(after, &progress.known_already, header)
        };
        if let Some(last) = directions.last() {
            progress.holdings_version = last.holdings_version;
        }
        progress.has_pending = !is_reading_list
            && placement.has_changed_since(progress.holdings_version, &progress.known_already);
        if progress.holdings_version != after {
            progress.updated_at = now;
        }
        if let Some(first) = directions.first_mut() {
            let waiting = placement.waiting_units_of(member).iter();
            first.outlooks = waiting
                .filter_map(|waiting| round.outlook(&waiting.requirement))
                .collect();
            let needs_members =
                header.standby.stands_by() == Some(true) && known.members != header.daemons;
            if needs_members && now.since(progress.members_at) >= MEMBERS_INTERVAL {
                progress.members_at = now;
                first.members = Some(round.addresses.clone());
            }
            let is_relays_due = |at: Timestamp| now.since(at) >= RELAYS_INTERVAL;
            if progress.relays_at.is_none_or(is_relays_due) {
                progress.relays_at = Some(now);
                first.relays = Some(relays_of(&round.standbys, &round.addresses, address));
            }
            if now.since(progress.loads_at) >= loads_interval {
                progress.loads_at = now;
                first.loads = Some(round.loads());
                first.store_limits = Some(placement.store_limits());
            }
        }
        if !is_reading_list && progress.runners_revision < header.store.membership_revision {
            let updates = round.updates_for(progress.runners_revision, known);
            // If the changes are not available, the member reads the store.
            let until = updates.last().map(|update| update.until);
            progress.runners_revision = until.unwrap_or(header.store.membership_revision);
            add_updates(&mut directions, updates, header);
        } else if !is_reading_list && known.lacks_software_versions {
            let is_due = |at: Timestamp| now.since(at) >= SOFTWARE_VERSIONS_INTERVAL;
            if progress.versions_at.is_none_or(is_due) && !round.runners.lacks_software_versions() {
                progress.versions_at = Some(now);
                add_updates(&mut directions, round.updates_for(0, known), header);
            }
        }
        progress.record_sent(header, placement.version(), now);
        directions
    }
}

/// The daemons that relay for a member: the standbys, which hear the coordinator, and some other members. Those are spaced
/// evenly over all members, so that each member has others and they are of several zones.
pub fn relays_of(
    standbys: &[SocketAddr],
    members: &[SocketAddr],
    member: SocketAddr,
) -> Vec<SocketAddr> {
    let position = members.iter().position(|other| *other == member);
    let start = position.unwrap_or_default();
    let mut relays = standbys.to_vec();
    for index in 1..=OTHER_RELAYS {
        let offset = index * members.len() / (OTHER_RELAYS + 1);
        let other = members.get((start + offset) % members.len().max(1));
        if let Some(&other) = other
            && other != member
            && !relays.contains(&other)
        {
            relays.push(other);
        }
    }
    relays
}

/// One round of messages; caches content that is shared between members.
struct Round<'a> {
    placement: &'a Placement,
    runners: &'a RunnerTable,
    addresses: Vec<SocketAddr>,
    standbys: Vec<SocketAddr>,
    now: Timestamp,
    loads: Option<Vec<RunnerLoad>>,
    digest: u64,
    updates: HashMap<u64, Vec<MembershipUpdate>>,
    snapshot: Option<HoldingsSnapshot>,
    /// Time to wait for a member without a list of runners to read the store's list.
    list_read_timeout: Duration,
    outlooks: Option<ReadinessEstimates<'a>>,
}

impl<'a> Round<'a> {
    fn new(
        placement: &'a Placement,
        runners: &'a RunnerTable,
        addresses: Vec<SocketAddr>,
        standbys: Vec<SocketAddr>,
        now: Timestamp,
    ) -> Self {
        Self {
            placement,
            runners,
            addresses,
            standbys,
            now,
            loads: None,
            digest: runners.digest(),
            updates: HashMap::new(),
            snapshot: None,
            list_read_timeout: Duration::ZERO,
            outlooks: None,
        }
    }

    fn loads(&mut self) -> Vec<RunnerLoad> {
        let placement = self.placement;
        self.loads.get_or_insert_with(|| placement.loads()).clone()
    }

    fn snapshot(&mut self) -> &HoldingsSnapshot {
        let placement = self.placement;
        self.snapshot
            .get_or_insert_with(|| placement.holdings_snapshot())
    }

    /// Runner updates for a member that has been sent all changes up to a revision; empty before the first list was
    /// read. A coordinator that has just started does not know the changes since that revision; if the member has the
    /// same runners, it is only sent a confirmation.
    fn updates_for(&mut self, revision: u64, known: KnownState) -> Vec<MembershipUpdate> {
        let runners = self.runners;
        let updates = self.updates.entry(revision);
        let updates =
            updates.or_insert_with(|| runners.updates_after(revision).unwrap_or_default());
        let is_whole = updates.first().is_some_and(MembershipUpdate::is_whole);
        let knows_all = known.runners_revision == revision && known.runners_digest == self.digest;
        let knows_cold_periods = !runners.has_cold_period_after(revision);
        if is_whole && revision > 0 && knows_all && knows_cold_periods {
            return vec![runners.confirmation(revision)];
        }
        updates.clone()
    }

    fn outlook(&mut self, requirement: &Requirement) -> Option<UnitOutlook> {
        let (placement, now) = (self.placement, self.now);
        let outlooks = self
            .outlooks
            .get_or_insert_with(|| placement.readiness_estimates(now));
        outlooks.estimate(requirement)
    }
}

/// Adds runner updates: the first one to the first message, and each other one as a separate message.
fn add_updates(
    directions: &mut Vec<Direction>,
    updates: Vec<MembershipUpdate>,
    header: &Direction,
) {
    let mut updates = updates.into_iter();
    if let Some(first) = directions.first_mut() {
        first.membership = updates.next();
    }
    let rest: Vec<Direction> = updates
        .map(|update| Direction {
            membership: Some(update),
            holdings_after: 0,
            ..header.clone()
        })
        .collect();
    directions.extend(rest);
}
