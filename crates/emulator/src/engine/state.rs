//! What the endpoints, the loads and the requests of an engine share.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flaxward_types::BootId;
use flaxward_types::engine::{HeldState, Inventory, LoadReport, Order, OrderAnswer};
use tokio::task::AbortHandle;

use super::batch::Batch;
use super::config::EngineConfig;
use super::faults::{EngineFaults, Leaving};
use super::holdings::{Effect, Holdings, Sizes};
use super::load_report::LoadHistory;
use super::loads;
use super::prefix::PrefixCache;
use super::record::{
    EngineRecord, LoadOutcome, LoadRecord, LoadSource, OrderRecord, RefusalRecord, RequestRecord,
};
use super::streams::Streams;
use crate::fault::{Dice, lock, unix_ms};
use crate::http::Refusing;

/// What the endpoints, the loads and the requests of an engine share.
pub(crate) struct Shared {
    pub(crate) config: EngineConfig,
    pub(crate) dice: Dice,
    pub(crate) refusing: Refusing,
    pub(crate) batch: Arc<Batch>,
    pub(crate) http: reqwest::Client,
    pub(crate) state: Mutex<State>,
}

/// The part that changes.
pub(crate) struct State {
    pub(crate) holdings: Holdings,
    pub(crate) faults: EngineFaults,
    pub(crate) streams: Streams,
    pub(crate) prefixes: PrefixCache,
    pub(crate) loads: LoadHistory,
    leaving_since_ms: Option<u64>,
    orders: Vec<OrderRecord>,
    load_records: Vec<LoadRecord>,
    current_loads: HashMap<u64, CurrentLoad>,
    pub(crate) requests: VecDeque<RequestRecord>,
    pub(crate) requests_accepted: u64,
    pub(crate) refusals: VecDeque<RefusalRecord>,
    pub(crate) requests_refused: u64,
}

/// A load of this start whose memory is taken.
struct CurrentLoad {
    position: usize,
    task: Option<AbortHandle>,
}

impl Shared {
    pub(crate) fn new(config: EngineConfig, refusing: Refusing) -> std::io::Result<Arc<Self>> {
        let sizes = Sizes {
            memory: config.memory,
            memory_tier: config.memory_tier,
            disk_tier: config.disk_tier,
        };
        let http = reqwest::Client::builder().no_proxy().build();
        let lag = Duration::from_millis(config.timing.load_report_lag_ms);
        let mut state = State {
            holdings: Holdings::new(new_boot(), sizes),
            faults: EngineFaults::default(),
            streams: Streams::default(),
            prefixes: PrefixCache::new(config.prefix_cache_tokens),
            loads: LoadHistory::new(lag),
            leaving_since_ms: None,
            orders: Vec::new(),
            load_records: Vec::new(),
            current_loads: HashMap::new(),
            requests: VecDeque::new(),
            requests_accepted: 0,
            refusals: VecDeque::new(),
            requests_refused: 0,
        };
        state.load_at_start(&config);
        Ok(Arc::new(Self {
            dice: Dice::new(config.seed),
            refusing,
            batch: Batch::new(config.batch),
            http: http.map_err(std::io::Error::other)?,
            state: Mutex::new(state),
            config,
        }))
    }

    pub(crate) fn inventory(&self) -> Inventory {
        lock(&self.state).holdings.inventory()
    }

    /// Carries out an order.
    pub(crate) fn order(self: &Arc<Self>, order: &Order) -> OrderAnswer {
        self.order_and_note(order, false)
    }

    /// Carries out an order whose answer may be going to be lost.
    pub(crate) fn order_and_note(self: &Arc<Self>, order: &Order, lost: bool) -> OrderAnswer {
        let mut state = lock(&self.state);
        let repeated = state.holdings.knows(order);
        let (answer, effects) = state.holdings.order(order);
        state.orders.push(OrderRecord {
            at_unix_ms: unix_ms(),
            order: order.clone(),
            answer: answer.clone(),
            repeated,
            answer_lost: lost,
        });
        self.apply(&mut state, effects);
        answer
    }

    /// Carries out what an order or the end of a request sets off.
    pub(crate) fn apply(self: &Arc<Self>, state: &mut State, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Begin(job) => {
                    let number = job.number;
                    state.note_load(number, &job.artifact, job.bytes, job.source);
                    let task = tokio::spawn(loads::carry_out(Arc::clone(self), job));
                    if let Some(load) = state.current_loads.get_mut(&number) {
                        load.task = Some(task.abort_handle());
                    }
                }
                Effect::GiveUp(number) => state.end_load(number, LoadOutcome::GivenUp),
                Effect::Freed(number) => state.free_load(number),
            }
        }
    }

    /// Ends a load, unless it was given up.
    pub(crate) fn end_load(&self, number: u64, succeeded: bool) {
        let mut state = lock(&self.state);
        if !state.holdings.end_load(number, succeeded) {
            return;
        }
        if succeeded {
            state.end_load(number, LoadOutcome::Ready);
        } else {
            state.end_load(number, LoadOutcome::Failed);
            state.free_load(number);
        }
    }

    pub(crate) fn update_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut state = lock(&self.state);
        change(&mut state.faults);
        self.refusing.set(state.faults.refuse_connections);
        let leaving = state.faults.leaving != Leaving::No;
        state.holdings.set_leaving(leaving);
        state.leaving_since_ms = match (leaving, state.leaving_since_ms) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            (true, None) => Some(unix_ms()),
        };
    }

    /// Starts the engine anew.
    pub(crate) fn crash(&self) {
        let mut state = lock(&self.state);
        let numbers: Vec<u64> = state.current_loads.keys().copied().collect();
        for number in numbers {
            state.end_load(number, LoadOutcome::GivenUp);
            state.free_load(number);
        }
        state.streams.crash();
        state.prefixes.clear();
        state.holdings.restart(new_boot());
    }

    /// Stops the tasks of all loads.
    pub(crate) fn stop_loads(&self) {
        for load in lock(&self.state).current_loads.values() {
            load.stop();
        }
    }

    /// Notes the load for the lagging reports.
    pub(crate) fn note_load_report(&self, state: &mut State) {
        let report = LoadReport {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            kv_tokens: state.prefixes.tokens(),
            age_ms: 0,
            leaving: false,
        };
        state.loads.note(report);
    }

    pub(crate) fn record(&self) -> EngineRecord {
        let state = lock(&self.state);
        EngineRecord {
            memory: self.config.memory,
            max_used: state.holdings.max_used(),
            max_batch: self.batch.max_running(),
            orders: state.orders.clone(),
            loads: state.load_records.clone(),
            requests: state.requests.iter().cloned().collect(),
            requests_accepted: state.requests_accepted,
            refusals: state.refusals.iter().cloned().collect(),
            requests_refused: state.requests_refused,
        }
    }
}

impl State {
    /// Milliseconds since the engine said that it was leaving, if it is.
    pub(crate) fn after_leaving_ms(&self) -> Option<u64> {
        let since = self.leaving_since_ms?;
        Some(unix_ms().saturating_sub(since))
    }

    /// The lagging report of the load; only whether the engine is leaving is not late.
    pub(crate) fn load_report(&mut self) -> LoadReport {
        LoadReport {
            leaving: self.faults.leaving != Leaving::No,
            ..self.loads.shown()
        }
    }

    fn load_at_start(&mut self, config: &EngineConfig) {
        for loaded in &config.loaded {
            let artifact = &loaded.artifact;
            let number = self
                .holdings
                .hold(artifact, loaded.bytes, HeldState::Loading);
            self.holdings.end_load(number, true);
            self.note_load(number, artifact, loaded.bytes, LoadSource::Start);
            self.end_load(number, LoadOutcome::Ready);
        }
    }

    fn note_load(
        &mut self,
        number: u64,
        artifact: &flaxward_types::ArtifactId,
        bytes: u64,
        source: LoadSource,
    ) {
        let load = CurrentLoad {
            position: self.load_records.len(),
            task: None,
        };
        self.current_loads.insert(number, load);
        self.load_records.push(LoadRecord {
            artifact: artifact.clone(),
            boot: self.holdings.boot(),
            bytes,
            source,
            begun_unix_ms: unix_ms(),
            ended_unix_ms: None,
            freed_unix_ms: None,
            outcome: LoadOutcome::Running,
        });
    }

    fn end_load(&mut self, number: u64, outcome: LoadOutcome) {
        let Some(load) = self.current_loads.get(&number) else {
            return;
        };
        if outcome == LoadOutcome::GivenUp {
            load.stop();
        }
        let record = &mut self.load_records[load.position];
        if record.outcome == LoadOutcome::Running {
            record.outcome = outcome;
            record.ended_unix_ms = Some(unix_ms());
        }
    }

    fn free_load(&mut self, number: u64) {
        if let Some(load) = self.current_loads.remove(&number) {
            self.load_records[load.position].freed_unix_ms = Some(unix_ms());
        }
    }
}

impl CurrentLoad {
    fn stop(&self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// A boot id that no other start has.
fn new_boot() -> BootId {
    BootId(rand::random())
}
