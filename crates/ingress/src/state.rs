//! What the tasks of one daemon share.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use flaxward_clock::Clock;
use flaxward_routing::availability::Availability;
use flaxward_routing::balance::{self, NoRunner, SelectionContext, SelectionCriteria};
use flaxward_routing::budget::RetryBudget;
use flaxward_routing::cold::periods::ColdPeriods;
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
use flaxward_routing::runners::{Runner, RunnerTable};
use flaxward_routing::split::SplitChooser;
use flaxward_routing::store_trust::StoreTrust;
use flaxward_types::time::Timestamp;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::counters::RUNNERS_EJECTED;
use crate::decisions::DecisionLog;
use crate::interfaces::{ClusterStore, RunnerControl, Surface};
use crate::keeper_client::KeeperClient;
use crate::pool::Pool;
use crate::settings::IngressSettings;
use crate::store_word::StoreWord;
use crate::unreadable::UnreadableLog;
use crate::usage::{Running, UseLog, Waiting};

/// Daemons that are assumed while the coordinator has not told their number.
const ASSUMED_DAEMONS: usize = 12;

/// When a unit that requests wait for is ready, as the coordinator has said.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outlook {
    pub ready_at: Timestamp,
    pub told_at: Timestamp,
}

/// What changes while the daemon runs.
#[derive(Debug)]
pub(crate) struct Tables {
    pub configuration: Option<Arc<Configuration>>,
    pub configuration_age: ConfigurationAge,
    pub quota: QuotaMeter,
    pub runners: RunnerTable,
    pub runners_known: bool,
    /// Which runners are cold.
    pub spells: ColdPeriods,
    /// Whom requests for cold runners ask: the coordinator.
    pub permit_keeper: Option<SocketAddr>,
    /// Some pages of the list of runners were read.
    pub has_first_page: bool,
    pub evacuations: Evacuations,
    /// The era of the store's answers, as it began for this daemon; `None` before the first.
    pub store_era: Option<EraStart>,
    /// When it was last seen to have risen.
    pub restored_at: Option<Timestamp>,
    pub health: HealthTable,
    /// What runners have said of themselves in their answers.
    pub notices: Notices,
    pub in_flight: HashMap<RunnerId, u32>,
    /// Requests of all daemons at runners that are filling up.
    pub loads: HashMap<RunnerId, u32>,
    pub running: Running,
    pub uses: UseLog,
    pub budget: RetryBudget,
    pub quarantine: Quarantine,
    pub splits: SplitChooser,
    pub waiting: HashMap<Requirement, Waiting>,
    pub outlooks: HashMap<Requirement, Outlook>,
    pub daemons: usize,
    /// When this daemon has stopped at the latest, once it is told to stop.
    pub stop_end: Option<Instant>,
    pub store_trust: StoreTrust,
}

/// Shared by all tasks of the daemon.
pub(crate) struct Shared {
    pub locality: Locality,
    pub settings: IngressSettings,
    pub clock: Clock,
    pub surface: Arc<dyn Surface>,
    pub store: Arc<dyn ClusterStore>,
    pub control: Arc<dyn RunnerControl>,
    pub pool: Pool,
    pub log: DecisionLog,
    /// Objects of the store that were logged as unreadable.
    pub unreadable: UnreadableLog,
    /// Woken when the tables have changed in a way that a waiting request can use.
    pub changed: Notify,
    /// Woken when a request begins to wait for a unit.
    pub demand: Notify,
    /// Requests for which the keeper of quotas is asked.
    pub quota_questions: KeeperClient<QuotaQuestion, Grant>,
    /// Requests for which the keeper of permits is asked.
    pub permit_questions: KeeperClient<PermitQuestion, PermitDecision>,
    /// Runners of which the coordinator was not told yet what answers have said.
    pub untold_notices: Mutex<BTreeSet<RunnerId>>,
    /// Woken when a keeper of quotas or permits, or the coordinator, is to be told or asked something.
    pub keeper_wake: Notify,
    /// Runs of which the keepers of the quarantine were not told yet.
    pub run_reports: Mutex<Vec<RunReport>>,
    /// Woken when there is one more.
    pub run_reported: Notify,
    /// Rises when a request is put in quarantine.
    pub quarantine_changes: watch::Sender<u64>,
    /// Woken when a daemon that has told of a newer configuration is to be asked for it.
    pub configuration_wanted: Notify,
    pub stopping: AtomicBool,
    /// The notice of a stop is over: no request is taken any more.
    pub closing: AtomicBool,
    /// The process ends at once: requests get their final answers.
    pub ending: CancellationToken,
    /// A coordinator was heard lately.
    pub hears_coordinator: AtomicBool,
    /// What the coordinator says of the store, and until when that stands.
    pub store_word: watch::Sender<StoreWord>,
    /// When the store last answered this daemon, in ms of its clock.
    pub store_seen_ms: AtomicU64,
    /// Rises when calls to the store that hang must be made again.
    pub store_restarts: watch::Sender<u64>,
    pub requests: AtomicU32,
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
            spells: ColdPeriods::default(),
            permit_keeper: None,
            has_first_page: false,
            evacuations: Evacuations::default(),
            store_era: None,
            restored_at: None,
            health: HealthTable::default(),
            notices: Notices::default(),
            in_flight: HashMap::new(),
            loads: HashMap::new(),
            running: Running::default(),
            uses: UseLog::default(),
            budget: RetryBudget::new(settings.retry_budget),
            quarantine: Quarantine::new(settings.quarantine),
            splits: SplitChooser::default(),
            waiting: HashMap::new(),
            outlooks: HashMap::new(),
            daemons: ASSUMED_DAEMONS,
            stop_end: None,
            store_trust: StoreTrust::new(settings.news_bound, seed),
        };
        let locality = Locality::new(settings.zone.clone(), settings.regions.clone());
        Self {
            locality,
            clock: Clock::start(settings.time.clone()),
            settings,
            surface,
            store,
            control,
            pool: Pool::default(),
            log: DecisionLog::default(),
            unreadable: UnreadableLog::default(),
            changed: Notify::new(),
            demand: Notify::new(),
            quota_questions: KeeperClient::default(),
            permit_questions: KeeperClient::default(),
            untold_notices: Mutex::default(),
            keeper_wake: Notify::new(),
            run_reports: Mutex::default(),
            run_reported: Notify::new(),
            quarantine_changes: watch::Sender::new(0),
            configuration_wanted: Notify::new(),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            ending: CancellationToken::new(),
            hears_coordinator: AtomicBool::new(false),
            store_word: watch::Sender::new(StoreWord::default()),
            store_seen_ms: AtomicU64::new(0),
            store_restarts: watch::Sender::new(0),
            requests: AtomicU32::new(0),
            seed,
            tables: Mutex::new(tables),
        }
    }

    /// The tables. They are never held across a wait.
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
        self.closing.load(Ordering::Relaxed)
    }

    /// Notes that the store has answered.
    pub(crate) fn note_store_seen(&self) {
        self.store_seen_ms.store(self.now().0, Ordering::Relaxed);
    }

    /// Time since the store last answered.
    pub(crate) fn store_silence(&self) -> Duration {
        let seen = Timestamp(self.store_seen_ms.load(Ordering::Relaxed));
        self.now().since(seen)
    }

    /// Has the watches of the store made again, because the present ones may never be answered.
    pub(crate) fn restart_watches(&self) {
        self.store_restarts.send_modify(|restarts| *restarts += 1);
    }

    /// Whether new clients may come.
    pub(crate) fn is_ready(&self) -> bool {
        let tables = self.tables();
        let Some(configuration) = tables.configuration.clone() else {
            return false;
        };
        let knows_runners = tables.runners_known || tables.has_runners_of_all(&configuration);
        drop(tables);
        // Clients with keys fare better at another daemon.
        let can_admit = configuration.tenants().is_empty()
            || self.is_configuration_within(self.settings.key_trust.known);
        !self.is_stopping() && knows_runners && can_admit
    }

    /// Time since the configuration in force here was surely the newest; `None` if it never was.
    pub(crate) fn configuration_age(&self) -> Option<Duration> {
        let now = self.now();
        self.tables().configuration_age.age(now)
    }

    /// Whether the configuration in force here was surely the newest within a time; `None` asks for nothing.
    pub(crate) fn is_configuration_within(&self, bound: Option<Duration>) -> bool {
        bound.is_none_or(|bound| self.configuration_age().is_some_and(|age| age < bound))
    }

    /// How many daemons there are, as far as is known.
    pub(crate) fn daemons(&self) -> u32 {
        u32::try_from(self.tables().daemons).unwrap_or(u32::MAX)
    }

    /// Sets how many daemons there are.
    pub(crate) fn set_daemons(&self, daemons: u32) {
        let daemons = usize::try_from(daemons).unwrap_or(usize::MAX).max(1);
        let mut tables = self.tables();
        tables.daemons = daemons;
        tables.quota.set_daemons(daemons);
    }

    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.tables().configuration.clone()
    }

    /// The store's revision of the list of runners, if it was read.
    pub(crate) fn known_runners(&self) -> Option<u64> {
        let tables = self.tables();
        tables.runners_known.then(|| tables.runners.revision())
    }

    /// The service for a request of a route that may be served within some homes.
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
        let is_at_home = |service: &ServiceName| {
            let mut usable = availability.usable(service);
            usable.any(|runner| availability.is_in_home_region(runner, homes))
        };
        splits.choose(route, homes, is_at_home, seed)
    }

    /// The runner for a request.
    pub(crate) fn choose(&self, wanted: &SelectionCriteria<'_>) -> Result<Runner, NoRunner> {
        let now = self.now();
        let tables = self.tables();
        let situation = SelectionContext {
            availability: tables.availability(&self.locality),
            spells: &tables.spells,
            health: &tables.health,
            in_flight: &tables.in_flight,
            loads: &tables.loads,
            daemons: tables.daemons,
            random: rand::random(),
            now,
        };
        balance::choose(&situation, wanted).cloned()
    }

    /// Takes in how an attempt ended, and logs it if the runner is now left alone.
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

    /// Spends one repeat of the budget, if there is one.
    pub(crate) fn try_repeat(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let mut tables = self.tables();
        let daemons = tables.daemons;
        tables.budget.try_retry(service, now, daemons)
    }

    /// Takes in outlooks of the coordinator.
    pub(crate) fn tell_outlooks(&self, outlooks: Vec<UnitOutlook>) {
        if outlooks.is_empty() {
            return;
        }
        let now = self.now();
        let mut tables = self.tables();
        for outlook in outlooks {
            let wait = Duration::from_millis(u64::from(outlook.ready_in_ms));
            let outlook_at = Outlook {
                ready_at: now + wait,
                told_at: now,
            };
            tables.outlooks.insert(outlook.requirement, outlook_at);
        }
        drop(tables);
        self.changed.notify_waiters();
    }
}

impl Tables {
    /// Which runners may get requests.
    pub(crate) fn availability<'a>(&'a self, locality: &'a Locality) -> Availability<'a> {
        Availability {
            runners: &self.runners,
            evacuations: &self.evacuations,
            notices: &self.notices,
            locality,
        }
    }

    /// Whether the pages that were read hold a runner of each service.
    fn has_runners_of_all(&self, configuration: &Configuration) -> bool {
        let has_runner = |service: &Arc<Service>| {
            let mut runners = self.runners.of_service(&service.name);
            runners.next().is_some()
        };
        self.has_first_page && configuration.services().all(has_runner)
    }

    /// Drops what is kept about runners that are gone.
    pub(crate) fn forget_gone_runners(&mut self) {
        let runners = &self.runners;
        self.health.retain(|id| runners.get(id).is_some());
        self.notices.retain(|id| runners.get(id).is_some());
    }
}

/// Counts a request at a runner for as long as it lives.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    runner: RunnerId,
    unit: Option<Unit>,
    sent_at: Timestamp,
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
        }
    }

    /// When the request was sent to the runner, by the clock that counts suspension: what an answer says of its runner is as
    /// old as this at most.
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
