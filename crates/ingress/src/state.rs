//! State shared by the tasks of one daemon.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use flaxward_client_limits::{BodyPool, ConnectionTable};
use flaxward_clock::Clock;
use flaxward_routing::availability::Availability;
use flaxward_routing::balance::{self, NoRunner, SelectionContext, SelectionCriteria};
use flaxward_routing::budget::RetryBudget;
use flaxward_routing::cold::periods::ColdPeriods;
use flaxward_routing::concurrency::{ConcurrencyDecision, ConcurrencyQuestion, PermitOutcome};
use flaxward_routing::configuration::{Configuration, Route, Service};
use flaxward_routing::configuration_age::ConfigurationAge;
use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::health::{HealthTable, Observation};
use flaxward_routing::homes::{Homes, Requirement};
use flaxward_routing::locality::Locality;
use flaxward_routing::messages::UnitOutlook;
use flaxward_routing::names::{RunnerId, ServiceName, Unit};
use flaxward_routing::notices::Notices;
use flaxward_routing::permits::{PermitDecision, PermitQuestion};
use flaxward_routing::quarantine::{Quarantine, RunReport};
use flaxward_routing::quota::meter::QuotaMeter;
use flaxward_routing::quota::{Grant, QuotaQuestion};
use flaxward_routing::revision::EraStart;
use flaxward_routing::runner_paths::RunnerPaths;
use flaxward_routing::runners::{Runner, RunnerTable};
use flaxward_routing::split::SplitChooser;
use flaxward_routing::store_trust::StoreTrust;
use flaxward_routing::stream_origins::messages::OriginQuestion;
use flaxward_routing::stream_origins::{OriginKnowledge, StreamOrigins};
use flaxward_types::time::Timestamp;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::concurrency::{Concurrency, ConcurrencyPermit};
use crate::counters::{RETRIES, RUNNERS_EJECTED};
use crate::decisions::DecisionLog;
use crate::exchange::ClientRequest;
use crate::interfaces::{ClusterStore, RunnerControl, Surface};
use crate::keeper_client::KeeperClient;
use crate::pool::Pool;
use crate::settings::IngressSettings;
use crate::store_report::StoreReport;
use crate::stream_origins::StoredOriginReads;
use crate::unreadable::UnreadableLog;
use crate::usage::{Running, UsageLog, Waiting};
use crate::version_check::VersionCheck;

/// Number of daemons assumed until the coordinator has announced it.
const ASSUMED_DAEMONS: usize = 12;

/// The coordinator's estimate of when a unit that requests wait for is ready.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadinessEstimate {
    pub ready_at: Timestamp,
    pub received_at: Timestamp,
}

/// Mutable state of the daemon.
#[derive(Debug)]
pub(crate) struct Tables {
    pub configuration: Option<Arc<Configuration>>,
    pub configuration_age: ConfigurationAge,
    pub quota: QuotaMeter,
    pub runners: RunnerTable,
    pub runners_known: bool,
    /// Cold periods of the runners.
    pub cold_periods: ColdPeriods,
    /// The coordinator, which grants permits for cold runners.
    pub permit_keeper: Option<SocketAddr>,
    /// At least one page of the list of runners has been read.
    pub has_first_page: bool,
    pub evacuations: Evacuations,
    /// The current era of the store as this daemon first observed it; `None` before the first
    /// answer.
    pub store_era: Option<EraStart>,
    /// When the era was last observed to rise.
    pub restored_at: Option<Timestamp>,
    pub health: HealthTable,
    /// Paths to the runners.
    pub paths: RunnerPaths,
    /// State that runners reported about themselves in their answers.
    pub notices: Notices,
    pub in_flight: HashMap<RunnerId, u32>,
    /// Requests of all daemons at runners that approach saturation.
    pub loads: HashMap<RunnerId, u32>,
    pub running: Running,
    pub uses: UsageLog,
    pub budget: RetryBudget,
    pub quarantine: Quarantine,
    /// Software versions that began streams.
    pub stream_origins: StreamOrigins,
    /// The other daemons that keep the origins of streams.
    pub origin_keepers: Vec<SocketAddr>,
    /// This daemon coordinates and has read the origins of streams from the store.
    pub knows_stored_origins: bool,
    pub splits: SplitChooser,
    pub waiting: HashMap<Requirement, Waiting>,
    pub readiness_estimates: HashMap<Requirement, ReadinessEstimate>,
    pub daemons: usize,
    /// Latest time at which this daemon has stopped, once it is ordered to stop.
    pub stop_end: Option<Instant>,
    pub store_trust: StoreTrust,
}

/// State shared by all tasks of the daemon.
pub(crate) struct Shared {
    pub locality: Locality,
    pub settings: IngressSettings,
    pub clock: Clock,
    pub surface: Arc<dyn Surface>,
    pub store: Arc<dyn ClusterStore>,
    pub control: Arc<dyn RunnerControl>,
    pub pool: Pool,
    pub log: DecisionLog,
    /// Store objects already logged as unreadable.
    pub unreadable: UnreadableLog,
    /// Notified when the tables change in a way that may unblock a waiting request.
    pub changed: Notify,
    /// Notified when a request starts to wait for a unit.
    pub demand: Notify,
    /// Questions to the keeper of quotas.
    pub quota_questions: KeeperClient<QuotaQuestion, Grant>,
    /// Questions to the keeper of permits.
    pub permit_questions: KeeperClient<PermitQuestion, PermitDecision>,
    /// Questions to the keeper of concurrency permits.
    pub concurrency_questions: KeeperClient<ConcurrencyQuestion, ConcurrencyDecision>,
    /// Questions to the keepers of stream origins.
    pub origin_questions: KeeperClient<OriginQuestion, OriginKnowledge>,
    /// Reads of the origins of streams in the store for clients.
    pub stored_origin_reads: StoredOriginReads,
    /// Confirms the software versions of runners with the store.
    pub version_check: VersionCheck,
    /// Runners whose latest notices have not been sent to the coordinator yet.
    pub unsent_notices: Mutex<BTreeSet<RunnerId>>,
    /// Notified when there is something to send to a keeper of quotas or permits, or to the
    /// coordinator.
    pub keeper_wake: Notify,
    /// Crashed runners of which the coordinator has not been told yet.
    pub unsent_down: Mutex<BTreeSet<RunnerId>>,
    /// Run reports not sent to the keepers of the quarantine yet.
    pub run_reports: Mutex<Vec<RunReport>>,
    /// Notified when a run report is added.
    pub run_reported: Notify,
    /// Incremented when a request is quarantined.
    pub quarantine_changes: watch::Sender<u64>,
    /// Notified when a peer that announced a newer configuration is to be asked for it.
    pub configuration_wanted: Notify,
    pub stopping: AtomicBool,
    /// The shutdown notice has elapsed: no new requests are accepted.
    pub closing: CancellationToken,
    /// The process is about to exit: requests get their final answers.
    pub ending: CancellationToken,
    /// A coordinator has sent a message recently.
    pub has_coordinator: AtomicBool,
    /// Whether the system has had a lease, as far as this daemon knows. Until then no daemon begins a stream that can be
    /// taken up, so that whoever creates the first lease knows that there is none.
    pub has_lease: AtomicBool,
    /// The coordinator's report on the store, and until when it is valid.
    pub store_report: watch::Sender<StoreReport>,
    /// When the store last answered this daemon, in ms of the daemon's clock.
    pub store_answered_ms: AtomicU64,
    /// Incremented when pending watches of the store must be restarted.
    pub watch_restarts: watch::Sender<u64>,
    /// Requests in progress, including those whose bodies are still being read.
    pub requests: AtomicU32,
    /// Those of them whose bodies are complete.
    pub admitted: AtomicU32,
    /// Connections of clients.
    pub client_connections: ConnectionTable,
    /// Memory for the bodies of requests.
    pub request_bodies: BodyPool,
    /// Memory for the bodies of responses that are collected before they are sent.
    pub response_bodies: BodyPool,
    /// Number of tunnels that this daemon relays.
    pub open_tunnels: Arc<AtomicU32>,
    /// Notified when the daemon loses its paths to all runners, or regains one.
    pub partition_changed: Notify,
    pub seed: u64,
    tables: Mutex<Tables>,
}

impl Shared {
    pub(crate) fn new(
        settings: IngressSettings,
        surface: Arc<dyn Surface>,
        store: Arc<dyn ClusterStore>,
        control: Arc<dyn RunnerControl>,
    ) -> Self {
        let seed = rand::random();
        let tables = Tables {
            configuration: None,
            configuration_age: ConfigurationAge::default(),
            quota: QuotaMeter::new(seed, ASSUMED_DAEMONS),
            runners: RunnerTable::default(),
            runners_known: false,
            cold_periods: ColdPeriods::default(),
            permit_keeper: None,
            has_first_page: false,
            evacuations: Evacuations::default(),
            store_era: None,
            restored_at: None,
            health: HealthTable::default(),
            paths: RunnerPaths::default(),
            notices: Notices::default(),
            in_flight: HashMap::new(),
            loads: HashMap::new(),
            running: Running::default(),
            uses: UsageLog::default(),
            budget: RetryBudget::new(settings.retry_budget),
            quarantine: Quarantine::new(settings.quarantine).with_daemon(&settings.name),
            stream_origins: StreamOrigins::default(),
            origin_keepers: Vec::new(),
            knows_stored_origins: false,
            splits: SplitChooser::default(),
            waiting: HashMap::new(),
            readiness_estimates: HashMap::new(),
            daemons: ASSUMED_DAEMONS,
            stop_end: None,
            store_trust: StoreTrust::new(settings.propagation_bound, seed),
        };
        let client_connections = ConnectionTable::new(settings.overload_limits.connections);
        let request_bodies = BodyPool::new(settings.overload_limits.request_body_bytes);
        let response_bodies = BodyPool::new(settings.overload_limits.response_body_bytes);
        let locality = Locality::new(settings.zone.clone(), settings.regions.clone());
        Self {
            locality,
            clock: Clock::start(settings.time.clone()),
            pool: Pool::default(),
            settings,
            surface,
            store,
            control,
            log: DecisionLog::default(),
            unreadable: UnreadableLog::default(),
            changed: Notify::new(),
            demand: Notify::new(),
            quota_questions: KeeperClient::default(),
            permit_questions: KeeperClient::default(),
            concurrency_questions: KeeperClient::default(),
            origin_questions: KeeperClient::default(),
            stored_origin_reads: StoredOriginReads::default(),
            version_check: VersionCheck::default(),
            unsent_notices: Mutex::default(),
            keeper_wake: Notify::new(),
            unsent_down: Mutex::default(),
            run_reports: Mutex::default(),
            run_reported: Notify::new(),
            quarantine_changes: watch::Sender::new(0),
            configuration_wanted: Notify::new(),
            stopping: AtomicBool::new(false),
            closing: CancellationToken::new(),
            ending: CancellationToken::new(),
            has_coordinator: AtomicBool::new(false),
            has_lease: AtomicBool::new(false),
            store_report: watch::Sender::new(StoreReport::default()),
            store_answered_ms: AtomicU64::new(0),
            watch_restarts: watch::Sender::new(0),
            requests: AtomicU32::new(0),
            admitted: AtomicU32::new(0),
            client_connections,
            request_bodies,
            response_bodies,
            open_tunnels: Arc::default(),
            partition_changed: Notify::new(),
            seed,
            tables: Mutex::new(tables),
        }
    }

    /// Locks the tables. The lock must not be held across an await.
    pub(crate) fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    /// Whether a request with this deadline could be cut off if it were sent to a runner now: the daemon is closing, and
    /// ends before the deadline. Another daemon can serve the request to its end.
    pub(crate) fn may_be_cut_off(&self, deadline: Instant) -> bool {
        let end = self.tables().stop_end;
        self.is_closing() && end.is_some_and(|end| deadline > end)
    }

    /// Waits until a request with this deadline could be cut off.
    pub(crate) async fn until_cut_off_possible(&self, deadline: Instant) {
        self.closing.cancelled().await;
        if !self.may_be_cut_off(deadline) {
            std::future::pending::<()>().await;
        }
    }

    /// Time since the store last answered.
    pub(crate) fn store_silence(&self) -> Duration {
        let seen = Timestamp(self.store_answered_ms.load(Ordering::Relaxed));
        self.now().since(seen)
    }

    /// Restarts the watches of the store, because the present ones may never be answered.
    pub(crate) fn restart_watches(&self) {
        self.watch_restarts.send_modify(|restarts| *restarts += 1);
    }

    /// Whether the daemon is ready for new clients.
    pub(crate) fn is_ready(&self) -> bool {
        let tables = self.tables();
        let Some(configuration) = tables.configuration.clone() else {
            return false;
        };
        let knows_runners = tables.runners_known || tables.has_runners_of_all(&configuration);
        drop(tables);
        // A daemon that can't verify keys reports not ready, so that clients with keys go to
        // another one.
        let can_admit = configuration.tenants().is_empty()
            || self.is_configuration_within(self.settings.key_trust.known);
        let can_begin_streams = self.has_lease.load(Ordering::Relaxed);
        !self.is_stopping() && knows_runners && can_admit && can_begin_streams
    }

    /// Time since the configuration in force here was last confirmed as the newest; `None` if it
    /// never was.
    pub(crate) fn configuration_age(&self) -> Option<Duration> {
        let now = self.now();
        self.tables().configuration_age.age(now)
    }

    /// Whether the configuration in force here was confirmed as the newest within `bound`; always
    /// true for `None`.
    pub(crate) fn is_configuration_within(&self, bound: Option<Duration>) -> bool {
        bound.is_none_or(|bound| self.configuration_age().is_some_and(|age| age < bound))
    }

    /// Number of daemons, as far as is known.
    pub(crate) fn daemons(&self) -> u32 {
        u32::try_from(self.tables().daemons).unwrap_or(u32::MAX)
    }

    /// Sets the number of daemons, as told by `told_by`, and logs a change.
    pub(crate) fn set_daemons(&self, daemons: u32, told_by: &str) {
        let daemons = usize::try_from(daemons).unwrap_or(usize::MAX).max(1);
        let mut tables = self.tables();
        let before = std::mem::replace(&mut tables.daemons, daemons);
        tables.quota.set_daemons(daemons);
        drop(tables);
        if before != daemons {
            let fields: &[(&str, &dyn std::fmt::Display)] = &[
                ("daemons", &daemons),
                ("before", &before),
                ("told_by", &told_by),
            ];
            self.log.write(self.now(), "daemons-counted", fields);
        }
    }

    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.tables().configuration.clone()
    }

    /// The store's revision of the list of runners, if the list has been read.
    pub(crate) fn known_runners_revision(&self) -> Option<u64> {
        let tables = self.tables();
        tables.runners_known.then(|| tables.runners.revision())
    }

    /// Chooses the service for a request of a route that is restricted to home regions.
    pub(crate) fn choose_service(&self, route: &Route, homes: &Homes) -> Option<ServiceName> {
        let seed = self.seed;
        let mut tables = self.tables();
        let Tables {
            splits,
            runners,
            evacuations,
            notices,
            ..
        } = &mut *tables;
        let availability = Availability {
            runners,
            evacuations,
            notices,
            locality: &self.locality,
        };
        let is_available_at_home = |service: &ServiceName| {
            let mut usable = availability.usable(service);
            usable.any(|runner| availability.is_in_home_region(runner, homes))
        };
        splits.choose(route, homes, is_available_at_home, seed)
    }

    /// Chooses the runner for a request.
    pub(crate) fn choose(&self, criteria: &SelectionCriteria<'_>) -> Result<Runner, NoRunner> {
        let now = self.now();
        let tables = self.tables();
        let context = SelectionContext {
            availability: tables.availability(&self.locality),
            spells: &tables.cold_periods,
            health: &tables.health,
            in_flight: &tables.in_flight,
            loads: &tables.loads,
            daemons: tables.daemons,
            random: rand::random(),
            now,
        };
        balance::choose(&context, criteria).cloned()
    }

    /// Records the outcome of an attempt, and logs if it causes the runner to be ejected.
    pub(crate) fn observe(&self, runner: &RunnerId, observation: Observation) {
        let now = self.now();
        let ejection = self.tables().health.observe(runner, observation, now);
        if let Some(ejection) = ejection {
            metrics::counter!(RUNNERS_EJECTED.name).increment(1);
            let fields: &[(&str, &dyn std::fmt::Display)] = &[
                ("runner", runner),
                ("observation", &format!("{observation:?}")),
                ("for_ms", &ejection.as_millis()),
            ];
            self.log.write(now, "runner-ejected", fields);
        }
    }

    /// Spends one retry of the budget for a request, if one is left.
    pub(crate) fn try_retry(&self, service: &ServiceName, request: &ClientRequest) -> bool {
        let now = self.now();
        let decision = self.tables().budget.try_retry(service, now);
        let outcome = if decision.is_granted {
            "granted"
        } else {
            "refused"
        };
        metrics::counter!(RETRIES.name, "outcome" => outcome).increment(1);
        let daemons = decision.daemons.map(|daemons| daemons.to_string());
        let fields: &[(&str, &dyn std::fmt::Display)] = &[
            ("request", &request.profile.id),
            ("service", service),
            ("outcome", &outcome),
            ("credit", &format!("{:.1}", decision.credit)),
            ("allowance", &format!("{:.1}", decision.allowance)),
            ("daemons", &daemons.as_deref().unwrap_or("none")),
        ];
        self.log.write(now, "retry", fields);
        decision.is_granted
    }

    /// Applies readiness estimates of the coordinator.
    pub(crate) fn apply_readiness_estimates(&self, estimates: Vec<UnitOutlook>) {
        if estimates.is_empty() {
            return;
        }
        let now = self.now();
        let mut tables = self.tables();
        for estimate in estimates {
            let wait = Duration::from_millis(u64::from(estimate.ready_in_ms));
            let received = ReadinessEstimate {
                ready_at: now + wait,
                received_at: now,
            };
            tables
                .readiness_estimates
                .insert(estimate.requirement, received);
        }
        drop(tables);
        self.changed.notify_waiters();
    }
}

impl Tables {
    /// The availability of runners for requests.
    pub(crate) fn availability<'a>(&'a self, locality: &'a Locality) -> Availability<'a> {
        Availability {
            runners: &self.runners,
            evacuations: &self.evacuations,
            notices: &self.notices,
            locality,
        }
    }

    /// Whether the pages read so far hold a runner of each service.
    fn has_runners_of_all(&self, configuration: &Configuration) -> bool {
        let has_runner = |service: &Arc<Service>| {
            let mut runners = self.runners.of_service(&service.name);
            runners.next().is_some()
        };
        self.has_first_page && configuration.services().all(has_runner)
    }

    /// Records the software versions of the runners, once all are known.
    pub(crate) fn note_software_versions(&mut self, now: Timestamp) {
        if self.runners_known {
            self.stream_origins.note_runners(&self.runners, now);
        }
    }

    /// Drops the state of runners that are no longer listed.
    pub(crate) fn drop_removed_runners(&mut self) {
        let runners = &self.runners;
        self.health.retain(|id| runners.get(id).is_some());
        self.notices.retain(|id| runners.get(id).is_some());
    }
}

/// Counts a request as in flight at a runner until dropped.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    runner: RunnerId,
    unit: Option<Unit>,
    sent_at: Timestamp,
    /// The permit under which the request was sent, in use for as long as it is in flight.
    permit: Option<ConcurrencyPermit>,
}

impl InFlight {
    pub(crate) fn begin(shared: &Arc<Shared>, runner: &RunnerId, unit: Option<&Unit>) -> Self {
        let mut tables = shared.tables();
        *tables.in_flight.entry(runner.clone()).or_default() += 1;
        if let Some(unit) = unit {
            tables.running.begin(runner, unit);
        }
        drop(tables);
        Self {
            shared: shared.clone(),
            runner: runner.clone(),
            unit: unit.cloned(),
            sent_at: shared.now(),
            permit: None,
        }
    }

    /// Keeps the permit under which the request is sent now.
    pub(crate) fn keep_permit(&mut self, concurrency: Concurrency) {
        if let Concurrency::Permitted(mut permit) = concurrency {
            permit.record(PermitOutcome::Accepted);
            self.permit = Some(permit);
        }
    }

    /// Records that the runner has rejected the request.
    pub(crate) fn record_rejection(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.record(PermitOutcome::Rejected);
        }
    }

    /// When the request was sent to the runner, by the clock that includes suspensions of the
    /// machine. A notice in the answer is no older than this.
    pub(crate) fn sent_at(&self) -> Timestamp {
        self.sent_at
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut tables = self.shared.tables();
        if let Some(count) = tables.in_flight.get_mut(&self.runner) {
            *count -= 1;
            if *count == 0 {
                tables.in_flight.remove(&self.runner);
            }
        }
        if let Some(unit) = &self.unit {
            tables.running.end(&self.runner, unit);
        }
    }
}
