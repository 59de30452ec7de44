//! The coordinator's record of one runner: its holdings, the pending order and its order count.

mod order_state;
mod orders;

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::configuration::Engine;
use crate::holdings_digests::Bucket;
use crate::names::{AdapterName, ModelName, Unit};
use crate::rate_limit::RequestRate;
use crate::runners::{Holdings, Runner, RunnerHoldings};

use super::{Operation, Order};

pub use order_state::{DeferredLoad, OrderState, Progress, Settlement, WeightSource};

/// Time for which a model that has just become ready is not evicted.
const MIN_RESIDENCE_TIME: Duration = Duration::from_millis(1_500);

/// Time for which an announced rate limit is assumed to last. The runner does not say for how long,
/// and a copy on another runner is ready sooner.
const RATE_LIMIT_VALIDITY: Duration = Duration::from_secs(10);

/// Time without a report after which a runner with a pending order counts as silent; several
/// reports are read in this time.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the report interval of a runner that has never answered is doubled at most: up to 16
/// times the interval.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// How late an order may be on a runner that still reports: an unload waits until its requests end,
/// which takes some seconds.
const MAX_UNLOAD_TIME: Duration = Duration::from_secs(8);

/// The coordinator's record of one runner.
#[derive(Debug)]
pub struct RunnerRecord {
    /// The runner as listed in the store.
    pub runner: Runner,
    /// Version of the announced holdings; 0 while nothing is known of them.
    pub version: u64,
    /// Its bucket in the digests of holdings.
    pub bucket: Bucket,
    /// The load that follows once there is room for it.
    pub deferred_load: Option<DeferredLoad>,
    /// Time at which the cold period ends; `None` until it is computed from the runner's entry.
    warm_at: Option<Timestamp>,
    /// The request rate limit that the runner announced.
    pub rate_limit: Option<RequestRate>,
    /// Earliest time of the next report.
    pub next_report: Timestamp,
    /// When the outstanding report was requested.
    pub report_asked_at: Option<Timestamp>,
    holdings: Holdings,
    /// Models with a copy in host memory, by the last report.
    in_memory: BTreeSet<ModelName>,
    /// Models with a copy on disk, by the last report.
    on_disk: BTreeSet<ModelName>,
    pending_adapters: BTreeSet<(ModelName, AdapterName)>,
    order: Option<OrderState>,
    order_count: Option<u64>,
    /// The runner is executing an order that this coordinator does not know.
    has_unknown_order: bool,
    is_confirmed: bool,
    /// Consecutive report requests without an answer.
    unanswered_reports: u32,
    rejected_until: Timestamp,
    reported_at: Timestamp,
    ready_since: Vec<(ModelName, Timestamp)>,
}

impl RunnerRecord {
    /// A runner whose report has not been read yet.
    pub fn new(runner: Runner) -> Self {
        Self {
            bucket: Bucket::of(&runner.id),
            runner,
            version: 0,
            deferred_load: None,
            warm_at: None,
            rate_limit: None,
            next_report: Timestamp::ZERO,
            report_asked_at: None,
            holdings: Holdings::new(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            pending_adapters: BTreeSet::new(),
            order: None,
            order_count: None,
            has_unknown_order: false,
            is_confirmed: false,
            unanswered_reports: 0,
            rejected_until: Timestamp::ZERO,
            reported_at: Timestamp::ZERO,
            ready_since: Vec::new(),
        }
    }

    /// Applies the runner's entry in the store's list. The entry gives the remaining cold time as
    /// of when it was written, so an entry that is merely listed again does not restart it. Before
    /// the first report, a change of the listed holdings overrides the assumed ones: the report may
    /// be seconds away.
    pub fn set_runner(&mut self, runner: Runner) {
        if self.has_only_assumed_holdings() && runner.holdings != self.runner.holdings {
            self.holdings.clone_from(&runner.holdings);
        }
        let known = (self.runner.revision, self.runner.cold_for);
        if known != (runner.revision, runner.cold_for) {
            self.warm_at = None;
        }
        self.runner = runner;
    }

    /// Sets the end of the cold period, counted from now, if a new entry has given another
    /// duration.
    pub fn update_cold_end(&mut self, now: Timestamp) {
        self.warm_at.get_or_insert(now + self.runner.cold_for);
    }

    /// Time for which the runner serves only a few requests per second, because it is cold or has
    /// announced a rate limit.
    pub fn limited_for(&self, now: Timestamp) -> Duration {
        let cold_for = self.warm_at.map_or(Duration::ZERO, |at| at.since(now));
        let limited_for = self
            .rate_limit
            .map_or(Duration::ZERO, |_| RATE_LIMIT_VALIDITY);
        cold_for.max(limited_for)
    }

    /// Before the first report, sets the holdings that this daemon knew before it became
    /// coordinator. No orders are based on them, but they prevent loading elsewhere what should be
    /// on this runner.
    pub fn assume_holdings(&mut self, holdings: Holdings, version: u64) {
        self.holdings = holdings;
        self.version = version;
    }

    /// Records that a requested report did not arrive. Assumed holdings of an unconfirmed runner
    /// are then no longer relied on, and its reports are requested at growing intervals: a whole
    /// zone may be gone whose runners are still listed.
    pub fn note_unanswered(&mut self, retry: Duration, now: Timestamp) {
        let doublings = if self.is_confirmed {
            0
        } else {
            self.unanswered_reports.min(MAX_BACKOFF_DOUBLINGS)
        };
        self.unanswered_reports = self.unanswered_reports.saturating_add(1);
        self.next_report = now + retry * 2_u32.pow(doublings);
    }

    /// Consecutive report requests without an answer.
    pub fn unanswered_reports(&self) -> u32 {
        self.unanswered_reports
    }

    /// Whether holdings are known but not confirmed by a report.
    pub fn has_only_assumed_holdings(&self) -> bool {
        !self.is_confirmed && self.version > 0
    }

    /// Whether a report was read.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// The pending order and its state, if there is one.
    pub fn order_state(&self) -> Option<&OrderState> {
        self.order.as_ref()
    }

    /// The pending order, if there is one.
    pub fn order(&self) -> Option<&Order> {
        self.order.as_ref().map(|state| &state.order)
    }

    /// The runner's order count, if it is known.
    pub fn order_count(&self) -> Option<u64> {
        self.order_count
    }

    /// The holdings that are ready, except for what is being unloaded.
    pub fn announced(&self) -> RunnerHoldings {
        let unloading = self
            .order()
            .filter(|order| order.operation == Operation::Unload);
        let mut holdings = Vec::new();
        for (model, adapters) in &self.holdings {
            let concerns_model = |unit: &Unit| unit.model == *model;
            if unloading
                .is_some_and(|order| concerns_model(&order.unit) && order.unit.adapter.is_none())
            {
                continue;
            }
            let unloaded = unloading
                .filter(|order| concerns_model(&order.unit))
                .and_then(|order| order.unit.adapter.as_ref());
            let adapters = adapters
                .iter()
                .filter(|adapter| Some(*adapter) != unloaded)
                .cloned()
                .collect();
            holdings.push((model.clone(), adapters));
        }
        RunnerHoldings {
            runner: self.runner.id.clone(),
            holdings,
        }
    }

    /// Models in the runner's weight memory.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.holdings.keys()
    }

    /// Whether the runner holds a unit, even if it is being unloaded.
    pub fn has(&self, unit: &Unit) -> bool {
        let Some(adapters) = self.holdings.get(&unit.model) else {
            return false;
        };
        unit.adapter
            .as_ref()
            .is_none_or(|adapter| adapters.contains(adapter))
    }

    /// Whether a unit is ready and not being unloaded.
    pub fn offers(&self, unit: &Unit) -> bool {
        let is_unloading = self.order().is_some_and(|order| {
            order.operation == Operation::Unload
                && order.unit.model == unit.model
                && (order.unit.adapter.is_none() || order.unit.adapter == unit.adapter)
        });
        let is_unreliable = !self.is_confirmed && self.unanswered_reports > 0;
        self.has(unit) && !is_unloading && !self.runner.draining && !is_unreliable
    }

    /// Whether a unit is being loaded or will be.
    pub fn will_offer(&self, unit: &Unit) -> bool {
        let loads = self
            .order()
            .is_some_and(|order| order.operation == Operation::Load && order.unit == *unit);
        let pending = unit.adapter.as_ref().is_some_and(|adapter| {
            self.pending_adapters
                .contains(&(unit.model.clone(), adapter.clone()))
        });
        let is_deferred = self
            .deferred_load
            .as_ref()
            .is_some_and(|deferred_load| deferred_load.requirement.unit == *unit);
        !self.runner.draining && (loads || pending || is_deferred)
    }

    /// Where the runner would load the weights of a model from, by its last report or the store's
    /// list, whichever shows the faster source.
    pub fn weight_source(&self, model: &ModelName) -> WeightSource {
        let runner = &self.runner;
        if self.in_memory.contains(model) || runner.in_memory.contains(model) {
            WeightSource::Memory
        } else if self.on_disk.contains(model) || runner.on_disk.contains(model) {
            WeightSource::Disk
        } else {
            WeightSource::Store
        }
    }

    /// Whether the runner is loading from the weight store, or may be, because it is executing an
    /// order that this coordinator does not know.
    pub fn may_load_from_store(&self) -> bool {
        let source = self.order.as_ref().and_then(|state| state.source);
        self.has_unknown_order || source == Some(WeightSource::Store)
    }

    /// Whether a load from the weight store is deferred until there is room.
    pub fn defers_store_load(&self) -> bool {
        let deferred_load = self.deferred_load.as_ref();
        deferred_load
            .is_some_and(|it| self.weight_source(&it.requirement.unit.model) == WeightSource::Store)
    }

    /// Units that the runner holds or will hold; may contain duplicates.
    pub fn known_units(&self) -> Vec<Unit> {
        let unit = |model: &ModelName, adapter: Option<&AdapterName>| Unit {
            service: self.runner.service.clone(),
            model: model.clone(),
            adapter: adapter.cloned(),
        };
        let models = self.holdings.keys().map(|model| unit(model, None));
        let adapters = self.adapters();
        let adapters = adapters
            .iter()
            .map(|(model, adapter)| unit(model, Some(adapter)));
        let ordered = self.order().map(|order| order.unit.clone());
        let deferred = self
            .deferred_load
            .as_ref()
            .map(|deferred_load| deferred_load.requirement.unit.clone());
        models
            .chain(adapters)
            .chain(ordered)
            .chain(deferred)
            .collect()
    }

    /// Models whose weights the runner has in host memory or on disk.
    pub fn cached_models(&self) -> impl Iterator<Item = Unit> {
        let runner = &self.runner;
        let listed = runner.in_memory.iter().chain(&runner.on_disk);
        let reported = self.in_memory.iter().chain(&self.on_disk);
        listed.chain(reported).map(|model| Unit {
            service: self.runner.service.clone(),
            model: model.clone(),
            adapter: None,
        })
    }

    /// Whether the runner has the weights of a model in host memory or on disk and is not draining.
    pub fn caches(&self, unit: &Unit) -> bool {
        unit.adapter.is_none()
            && !self.runner.draining
            && self.weight_source(&unit.model) != WeightSource::Store
    }

    /// Whether the runner may be given orders at all.
    pub fn takes_orders(&self, now: Timestamp) -> bool {
        self.is_confirmed && !self.runner.draining && now >= self.rejected_until
    }

    /// Whether the next order can be sent. While the order count is unknown, so are the holdings.
    pub fn is_free(&self, now: Timestamp) -> bool {
        let is_known = self.order_count.is_some() && !self.has_unknown_order;
        self.takes_orders(now) && self.order.is_none() && is_known
    }

    /// Whether a pending order can still be expected to end: the runner reports, or stopped only
    /// recently, and the order is not long overdue.
    pub fn has_live_order(&self, now: Timestamp) -> bool {
        let is_reporting = now.since(self.reported_at) < SILENCE_TIMEOUT;
        let allowed = if is_reporting {
            MAX_UNLOAD_TIME
        } else {
            SILENCE_TIMEOUT
        };
        let order = self.order.as_ref();
        order.is_some_and(|order| now < order.ready_at + allowed)
    }

    /// When the pending order should be done.
    pub fn free_at(&self, now: Timestamp) -> Timestamp {
        self.order
            .as_ref()
            .map_or(now, |order| order.ready_at.max(now))
    }

    /// Weight memory that is free once the pending order is done, in MB. A model that is being
    /// unloaded still counts as used.
    pub fn free_mb(&self, engine: &Engine) -> f64 {
        let mut used = 0.0;
        let mut pending_models = BTreeSet::new();
        if let Some(order) = self.order()
            && order.operation == Operation::Load
            && order.unit.adapter.is_none()
            && !self.holdings.contains_key(&order.unit.model)
        {
            pending_models.insert(&order.unit.model);
        }
        for model in self.holdings.keys().chain(pending_models) {
            let Some(specification) = engine.models.get(model) else {
                return 0.0;
            };
            used += specification.weights_mb;
        }
        for (model, _) in self.adapters() {
            used += engine
                .models
                .get(&model)
                .map_or(0.0, |specification| specification.adapter_mb);
        }
        engine.weights_mb - used
    }

    /// Adapters that are loaded or being loaded.
    pub fn adapters(&self) -> BTreeSet<(ModelName, AdapterName)> {
        let mut adapters = self.pending_adapters.clone();
        for (model, names) in &self.holdings {
            adapters.extend(names.iter().map(|name| (model.clone(), name.clone())));
        }
        if let Some(order) = self.order()
            && order.operation == Operation::Load
            && let Some(adapter) = &order.unit.adapter
        {
            adapters.insert((order.unit.model.clone(), adapter.clone()));
        }
        adapters
    }

    /// Number of adapters being loaded.
    pub fn pending_adapter_count(&self) -> usize {
        self.pending_adapters.len()
    }

    /// Whether a model became ready recently.
    pub fn became_ready_recently(&self, model: &ModelName, now: Timestamp) -> bool {
        self.ready_since
            .iter()
            .any(|(name, at)| name == model && now.since(*at) < MIN_RESIDENCE_TIME)
    }
}
