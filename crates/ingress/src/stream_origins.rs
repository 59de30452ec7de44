//! Software versions at which streams are continued: those of the streams that this daemon relays are recorded, and for a
//! stream that a client takes up, this daemon and the keepers are asked.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::configuration::{Route, RouteKind};
use flaxward_routing::names::{ServiceName, SoftwareVersion};
use flaxward_routing::request::RequestProfile;
use flaxward_routing::runners::Runner;
use flaxward_routing::stream_origins::messages::OriginQuestion;
use flaxward_routing::stream_origins::{
    OriginKnowledge, StreamKey, StreamOrigin, VersionRecord, resolve,
};
use flaxward_types::ResultCode;
use flaxward_types::refusal::Refusal;
use flaxward_types::time::{Timestamp, millis};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout, timeout_at};

use crate::counters::STREAM_ORIGINS;
use crate::exchange::ClientRequest;
use crate::keeper_client::ANSWER_TIMEOUT;
use crate::refused::Refused;
use crate::state::Shared;

/// Time after its deadline during which a client may still take a stream up.
const LIFE_SLACK: Duration = Duration::from_secs(5);
/// `Retry-After` if the origin of a stream is not known: the keepers may answer again once a coordinator is elected.
const RETRY_UNKNOWN_ORIGIN: Duration = Duration::from_secs(2);

/// Minimum time between two reads of the origins in the store by a daemon without a coordinator.
const STORE_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of such a read. A client waits for the outcome.
const STORE_READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of daemons, on average, that make such a read in one interval. At the largest number of origins, each reads
/// some 0.9 MB.
const MAX_STORE_READERS: u32 = 32;

/// `Retry-After` until the first coordinator of the system is elected.
const RETRY_BEFORE_FIRST_LEASE: Duration = Duration::from_millis(500);

/// How a request begins or continues a stream.
pub(crate) struct StreamStart {
    /// The service to which the request is sent.
    pub service: ServiceName,
    /// The version that began the stream, if the request continues one.
    pub software_version: Option<SoftwareVersion>,
    /// The stream, if its client may take it up.
    pub stream: Option<StreamKey>,
}

/// Determines where a request for a service may be sent if it continues a stream.
///
/// # Errors
/// Refuses a request that continues a stream of unknown origin, or begins one before the system has had a lease.
pub(crate) async fn stream_start(
    shared: &Shared,
    route: &Route,
    profile: &RequestProfile,
    service: ServiceName,
) -> Result<StreamStart, Refused> {
    if route.kind != (RouteKind::Stream { resumable: true }) {
        return Ok(StreamStart {
            service,
            software_version: None,
            stream: None,
        });
    }
    shared.tables().stream_origins.note_life(profile.deadline);
    if profile.last_event.is_none() {
        if !shared.has_lease.load(Ordering::Relaxed) {
            return Err(before_first_lease(route, profile));
        }
        return Ok(StreamStart {
            service,
            software_version: None,
            stream: Some(StreamKey::of(&profile.id)),
        });
    }
    let stream = profile.resumes.as_deref().map(StreamKey::of);
    let Inquiry { origin, is_final } = inquire(shared, route, profile, stream, &service).await;
    let is_on_route = |origin: &StreamOrigin| {
        let mut services = route.services.iter();
        services.any(|weighted| weighted.service == origin.service)
    };
    match origin.filter(is_on_route) {
        Some(origin) => Ok(StreamStart {
            service: origin.service,
            software_version: Some(origin.version),
            stream,
        }),
        None => Err(unknown_origin(route, profile, is_final)),
    }
}

fn before_first_lease(route: &Route, profile: &RequestProfile) -> Refused {
    let refusal =
        Refusal::new(ResultCode::NoCoordinator).with_retry_after(RETRY_BEFORE_FIRST_LEASE);
    let reason = "no coordinator has been elected since the system was set up".to_owned();
    Refused::unsent(&profile.id, route.name.as_str(), refusal, reason)
}

/// Refuses to continue a stream. If its origin can't become known, coming back later does not help its client.
fn unknown_origin(route: &Route, profile: &RequestProfile, is_final: bool) -> Refused {
    let mut refusal = Refusal::new(ResultCode::StreamOriginUnknown);
    if !is_final {
        refusal = refusal.with_retry_after(RETRY_UNKNOWN_ORIGIN);
    }
    let reason = "the software version that began the stream is not known".to_owned();
    Refused::unsent(&profile.id, route.name.as_str(), refusal, reason)
}

/// Longest time since which a stream of a route may have begun.
fn stream_window(route: &Route, profile: &RequestProfile) -> Duration {
    route.timeout.max(profile.deadline.unwrap_or_default())
}

/// What is known of the origin of a stream that a client takes up.
struct Inquiry {
    /// The origin; `None` if it is not certain.
    origin: Option<StreamOrigin>,
    /// Nobody else can know more: the coordinator, which knows what is stored, has answered.
    is_final: bool,
}

/// Asks for the origin of a stream that a client takes up.
async fn inquire(
    shared: &Shared,
    route: &Route,
    profile: &RequestProfile,
    stream: Option<StreamKey>,
    service: &ServiceName,
) -> Inquiry {
    let window = stream_window(route, profile);
    let own_knowledge = || {
        let tables = shared.tables();
        let origins = &tables.stream_origins;
        origins.knowledge(stream, service, window, shared.now())
    };
    let mut own = own_knowledge();
    let (keepers, coordinator, knows_stored) = {
        let tables = shared.tables();
        let keepers = tables.origin_keepers.clone();
        (keepers, tables.permit_keeper, tables.knows_stored_origins)
    };
    let asks = !matches!(own, OriginKnowledge::Recorded(_));
    let answers = if asks {
        let question = |number| OriginQuestion {
            number,
            key: stream,
            service: service.clone(),
            window_ms: u32::try_from(millis(window)).unwrap_or(u32::MAX),
        };
        shared.ask_origin_keepers(&keepers, question).await
    } else {
        Vec::new()
    };
    let has_answered = answers
        .iter()
        .any(|(keeper, _)| Some(*keeper) == coordinator);
    let answers: Vec<OriginKnowledge> = answers.into_iter().map(|(_, answer)| answer).collect();
    let has_others = !keepers.is_empty() || shared.daemons() > 1;
    let mut own_counts_alone = !has_others;
    if has_others && answers.is_empty() && own.is_only_version() {
        own_counts_alone = shared.confirm_versions().await;
        own = own_knowledge();
    }
    let mut origin = resolve(service, &own, &answers, own_counts_alone);
    let mut known = std::iter::once(&own).chain(&answers);
    let has_several = known.any(|it| *it == OriginKnowledge::SeveralVersions);
    let knows_all = has_answered || knows_stored;
    if origin.is_none() && !knows_all && shared.read_stored_origins().await {
        own = own_knowledge();
        origin = resolve(service, &own, &answers, own_counts_alone);
    }
    log_origin(shared, profile, origin.as_ref(), &own, &answers);
    Inquiry {
        origin,
        is_final: has_several && knows_all,
    }
}

fn log_origin(
    shared: &Shared,
    profile: &RequestProfile,
    origin: Option<&StreamOrigin>,
    own: &OriginKnowledge,
    answers: &[OriginKnowledge],
) {
    let is_recorded = |it: &OriginKnowledge| matches!(it, OriginKnowledge::Recorded(_));
    let outcome = match origin {
        None => "unknown",
        Some(_) if is_recorded(own) || answers.iter().any(is_recorded) => "recorded",
        Some(_) => "only-version",
    };
    metrics::counter!(STREAM_ORIGINS.name, "outcome" => outcome).increment(1);
    let version = origin.map_or("", |origin| origin.version.as_str());
    let fields: &[(&str, &dyn Display)] = &[
        ("request", &profile.id),
        ("resumes", &profile.resumes.as_deref().unwrap_or("")),
        ("outcome", &outcome),
        ("version", &version),
        ("own", &format!("{own:?}")),
        ("answers", &answers.len()),
    ];
    shared.log.write(shared.now(), "stream-origin", fields);
}

/// When this daemon last read the origins in the store for a client. The lock is held during a read, so that requests that
/// arrive together share it.
#[derive(Debug, Default)]
pub(crate) struct StoredOriginReads {
    started_at: Mutex<Option<Timestamp>>,
}

impl Shared {
    /// Reads the origins in the store, because no coordinator answers that knows them. Returns whether they were read since
    /// this was called. Reads are rare enough for the store to bear those of all daemons.
    async fn read_stored_origins(&self) -> bool {
        let called_at = self.now();
        let mut started_at = self.stored_origin_reads.started_at.lock().await;
        if *started_at >= Some(called_at) {
            return true;
        }
        let now = self.now();
        if started_at.is_some_and(|at| now.since(at) < STORE_READ_INTERVAL) {
            return false;
        }
        *started_at = Some(now);
        if rand::random_range(0..self.daemons().max(1)) >= MAX_STORE_READERS {
            return false;
        }
        let reading = timeout(STORE_READ_TIMEOUT, self.store.stream_origins()).await;
        let (outcome, objects) = match reading {
            Ok(Ok(listing)) => ("read".to_owned(), listing.items),
            Ok(Err(error)) => (error.to_string(), Vec::new()),
            Err(elapsed) => (elapsed.to_string(), Vec::new()),
        };
        let fields: &[(&str, &dyn Display)] = &[
            ("objects", &objects.len()),
            ("outcome", &format!("{outcome:?}")),
        ];
        self.log.write(self.now(), "stream-origins-read", fields);
        let now = self.now();
        let mut tables = self.tables();
        for stored in &objects {
            tables.stream_origins.restore(&stored.records, now);
        }
        !objects.is_empty()
    }

    /// The software versions of the runners, for the lease record.
    pub(crate) fn version_record(&self, now: Timestamp) -> Option<VersionRecord> {
        let tables = self.tables();
        let revision = tables.runners.revision();
        tables.stream_origins.version_record(revision, now)
    }

    /// Records that a runner has begun a stream, or continues it, so that its client can take it up at any daemon.
    pub(crate) fn record_stream_origin(&self, request: &ClientRequest, runner: &Runner) {
        let (Some(stream), Some(version)) = (request.stream, &runner.software_version) else {
            return;
        };
        let origin = StreamOrigin {
            service: runner.service.clone(),
            version: version.clone(),
        };
        let deadline = request.profile.deadline.unwrap_or_default();
        let life = request.time_left().max(deadline) + LIFE_SLACK;
        let now = self.now();
        let mut tables = self.tables();
        let was_due = tables.stream_origins.next_message().is_some();
        tables.stream_origins.begin(stream, origin, life, now);
        let is_due = tables.stream_origins.next_message().is_some();
        drop(tables);
        if is_due && !was_due {
            self.keeper_wake.notify_one();
        }
    }

    /// Asks the keepers for the origin of a stream, until one has a record of it or all have answered. Returns the answers
    /// with the keepers that gave them.
    async fn ask_origin_keepers(
        &self,
        keepers: &[SocketAddr],
        question: impl Fn(u64) -> OriginQuestion,
    ) -> Vec<(SocketAddr, OriginKnowledge)> {
        let ask = |keeper: &SocketAddr| {
            let (keeper, answer) = (*keeper, self.origin_questions.ask(*keeper, &question));
            async move { Some((keeper, answer.answer().await?)) }
        };
        let mut pending: FuturesUnordered<_> = keepers.iter().map(ask).collect();
        self.keeper_wake.notify_one();
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let mut answers = Vec::new();
        while let Ok(Some(answer)) = timeout_at(deadline, pending.next()).await {
            let is_recorded = matches!(answer, Some((_, OriginKnowledge::Recorded(_))));
            answers.extend(answer);
            if is_recorded {
                break;
            }
        }
        answers
    }
}
