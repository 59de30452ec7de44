//! What the coordinator believes of one runner: what it holds, the order under way, its order count.

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

pub use order_state::{Intent, OrderState, Progress, Settlement, WeightSource};

/// Time for which a model that has just become ready is not dropped again.
const FRESH: Duration = Duration::from_millis(1_500);

/// Time for which a runner that names a rate is taken to go on doing so: it does not say for how long, and a copy
/// elsewhere is ready sooner.
const RATE_LASTS: Duration = Duration::from_secs(10);

/// Time without a report after which a runner with an order under way counts as silent: several reports are
/// read in this time.
const SILENCE: Duration = Duration::from_secs(2);
/// How often the pause before the next report of a runner doubles that has never answered: up to 16 times as long.
const MOST_DOUBLINGS: u32 = 4;
/// Time for which an order may be late at a runner that reports: an unload waits until its requests end, which
/// takes some seconds.
const LONGEST_UNLOAD: Duration = Duration::from_secs(8);

/// One runner.
#[derive(Debug)]
pub struct Ledger {
    /// The runner, as the store's list tells it.
    pub runner: Runner,
    /// Version of the holdings as announced; 0 while nothing is known of them.
    pub version: u64,
    /// Where it stands in digests of holdings.
    pub bucket: Bucket,
    /// The load that follows once there is room.
    pub intent: Option<Intent>,
    /// When the runner is warm; `None` while that is to be worked out from what its entry says.
    warm_at: Option<Timestamp>,
    /// The rate that the runner names.
    pub rate_limit: Option<RequestRate>,
    /// When the next report may be read.
    pub next_report: Timestamp,
    /// When the report was asked for that is under way.
    pub report_asked_at: Option<Timestamp>,
    holdings: Holdings,
    /// Models of which the last report shows a copy in host memory.
    in_memory: BTreeSet<ModelName>,
    /// Models of which the last report shows a copy on disk.
    on_disk: BTreeSet<ModelName>,
    pending_adapters: BTreeSet<(ModelName, AdapterName)>,
    order: Option<OrderState>,
    order_count: Option<u64>,
    /// The runner works on an order that this coordinator does not know.
    has_unknown_order: bool,
    is_confirmed: bool,
    /// Reports in a row that were asked for and did not come.
    unanswered_reports: u32,
    rejected_until: Timestamp,
    reported_at: Timestamp,
    ready_since: Vec<(ModelName, Timestamp)>,
}

impl Ledger {
    /// A runner of which no report was read yet.
    pub fn new(runner: Runner) -> Self {
        Self {
            bucket: Bucket::of(&runner.id),
            runner,
            version: 0,
            intent: None,
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

    /// Takes in what the store's list tells of the runner. Its entry tells the time for which it stays cold as of when it
    /// was written; an entry that only stands anew in the list tells nothing new of that. Before the first report a change
    /// of what the list tells to be there stands over what was believed: the report may be seconds away.
    pub fn set_runner(&mut self, runner: Runner) {
        if self.is_only_believed() && runner.holdings != self.runner.holdings {
            self.holdings.clone_from(&runner.holdings);
        }
        let known = (self.runner.revision, self.runner.cold_for);
        if known != (runner.revision, runner.cold_for) {
            self.warm_at = None;
        }
        self.runner = runner;
    }

    /// Reckons the time for which the runner stays cold from now on, if its entry has told another one.
    pub fn note_cold(&mut self, now: Timestamp) {
        self.warm_at.get_or_insert(now + self.runner.cold_for);
    }

    /// Time for which the runner bears a few requests a second only: it is cold, or names a rate.
    pub fn bears_little_for(&self, now: Timestamp) -> Duration {
        let cold_for = self.warm_at.map_or(Duration::ZERO, |at| at.since(now));
        let limited_for = self.rate_limit.map_or(Duration::ZERO, |_| RATE_LASTS);
        cold_for.max(limited_for)
    }

    /// Takes in, before the first report, what this daemon knew of the runner when it began to coordinate. Nothing is
    /// ordered on the strength of it, but nothing is loaded elsewhere either that should be there.
    pub fn believe(&mut self, holdings: Holdings, version: u64) {
        self.holdings = holdings;
        self.version = version;
    }

    /// A report was asked for and did not come. What is believed of a runner without any report is not relied on then,
    /// and it is asked less and less often: a whole zone may be gone whose runners still stand in the list.
    pub fn note_unanswered(&mut self, retry: Duration, now: Timestamp) {
        let doublings = if self.is_confirmed {
            0
        } else {
            self.unanswered_reports.min(MOST_DOUBLINGS)
        };
        self.unanswered_reports = self.unanswered_reports.saturating_add(1);
        self.next_report = now + retry * 2_u32.pow(doublings);
    }

    /// Reports in a row that were asked for and did not come.
    pub fn unanswered_reports(&self) -> u32 {
        self.unanswered_reports
    }

    /// Whether no report was read, but something is known of the runner.
    pub fn is_only_believed(&self) -> bool {
        !self.is_confirmed && self.version > 0
    }

    /// Whether a report was read.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// The order that is not settled, if there is one.
    pub fn order_state(&self) -> Option<&OrderState> {
        self.order.as_ref()
    }

    /// The order that is not settled, if there is one.
    pub fn order(&self) -> Option<&Order> {
        self.order.as_ref().map(|state| &state.order)
    }

    /// The runner's order count, if it is known.
    pub fn order_count(&self) -> Option<u64> {
        self.order_count
    }

    /// What is ready there, without what is being dropped.
    pub fn announced(&self) -> RunnerHoldings {
        let dropping = self
            .order()
            .filter(|order| order.operation == Operation::Unload);
        let mut holdings = Vec::new();
        for (model, adapters) in &self.holdings {
            let drops = |unit: &Unit| unit.model == *model;
            if dropping.is_some_and(|order| drops(&order.unit) && order.unit.adapter.is_none()) {
                continue;
            }
            let dropped = dropping
                .filter(|order| drops(&order.unit))
                .and_then(|order| order.unit.adapter.as_ref());
            let adapters = adapters
                .iter()
                .filter(|adapter| Some(*adapter) != dropped)
                .cloned()
                .collect();
            holdings.push((model.clone(), adapters));
        }
        RunnerHoldings {
            runner: self.runner.id.clone(),
            holdings,
        }
    }

    /// Models that lie in the runner's memory for weights.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.holdings.keys()
    }

    /// Whether a unit is there, or is being dropped.
    pub fn has(&self, unit: &Unit) -> bool {
        let Some(adapters) = self.holdings.get(&unit.model) else {
            return false;
        };
        unit.adapter
            .as_ref()
            .is_none_or(|adapter| adapters.contains(adapter))
    }

    /// Whether a unit is ready and stays.
    pub fn offers(&self, unit: &Unit) -> bool {
        let is_dropping = self.order().is_some_and(|order| {
            order.operation == Operation::Unload
                && order.unit.model == unit.model
                && (order.unit.adapter.is_none() || order.unit.adapter == unit.adapter)
        });
        let is_doubtful = !self.is_confirmed && self.unanswered_reports > 0;
        self.has(unit) && !is_dropping && !self.runner.draining && !is_doubtful
    }

    /// Whether a unit is being loaded, or will be.
    pub fn will_offer(&self, unit: &Unit) -> bool {
        let loads = self
            .order()
            .is_some_and(|order| order.operation == Operation::Load && order.unit == *unit);
        let pending = unit.adapter.as_ref().is_some_and(|adapter| {
            self.pending_adapters
                .contains(&(unit.model.clone(), adapter.clone()))
        });
        let intends = self
            .intent
            .as_ref()
            .is_some_and(|intent| intent.requirement.unit == *unit);
        !self.runner.draining && (loads || pending || intends)
    }

    /// Where the runner would take the weights of a model from, by its last report or the store's list,
    /// whichever knows of the nearer copy.
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

    /// Whether the runner is loading from the weight store, or may be, because it works on an order that
    /// this coordinator does not know.
    pub fn may_load_from_store(&self) -> bool {
        let source = self.order.as_ref().and_then(|state| state.source);
        self.has_unknown_order || source == Some(WeightSource::Store)
    }

    /// Whether a load from the weight store follows once there is room.
    pub fn intends_store_load(&self) -> bool {
        let intent = self.intent.as_ref();
        intent
            .is_some_and(|it| self.weight_source(&it.requirement.unit.model) == WeightSource::Store)
    }

    /// Units that are there or on their way, some of them perhaps twice.
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
        let intended = self
            .intent
            .as_ref()
            .map(|intent| intent.requirement.unit.clone());
        models
            .chain(adapters)
            .chain(ordered)
            .chain(intended)
            .collect()
    }

    /// Models of which the runner has the weights in host memory or on disk.
    pub fn stored_models(&self) -> impl Iterator<Item = Unit> {
        let runner = &self.runner;
        let listed = runner.in_memory.iter().chain(&runner.on_disk);
        let reported = self.in_memory.iter().chain(&self.on_disk);
        listed.chain(reported).map(|model| Unit {
            service: self.runner.service.clone(),
            model: model.clone(),
            adapter: None,
        })
    }

    /// Whether the runner has the weights of a model in host memory or on disk, and stays.
    pub fn stores(&self, unit: &Unit) -> bool {
        unit.adapter.is_none()
            && !self.runner.draining
            && self.weight_source(&unit.model) != WeightSource::Store
    }

    /// Whether it may be given orders at all.
    pub fn takes_orders(&self, now: Timestamp) -> bool {
        self.is_confirmed && !self.runner.draining && now >= self.rejected_until
    }

    /// Whether the next order can go out. While the order count is not known, neither is what the
    /// runner holds.
    pub fn is_free(&self, now: Timestamp) -> bool {
        let is_known = self.order_count.is_some() && !self.has_unknown_order;
        self.takes_orders(now) && self.order.is_none() && is_known
    }

    /// Whether an order is under way that should still end: the runner reports, or has only just ceased to, and
    /// the order is not long overdue.
    pub fn is_at_work(&self, now: Timestamp) -> bool {
        let is_heard = now.since(self.reported_at) < SILENCE;
        let allowed = if is_heard { LONGEST_UNLOAD } else { SILENCE };
        let order = self.order.as_ref();
        order.is_some_and(|order| now < order.ready_at + allowed)
    }

    /// When the order under way should be done.
    pub fn free_at(&self, now: Timestamp) -> Timestamp {
        self.order
            .as_ref()
            .map_or(now, |order| order.ready_at.max(now))
    }

    /// Memory for weights that is free once the order under way is done, in MB. What is being
    /// dropped still counts.
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

    /// Adapters that are there or on their way.
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

    /// Adapters on their way.
    pub fn pending_adapter_count(&self) -> usize {
        self.pending_adapters.len()
    }

    /// Whether a model has become ready a moment ago.
    pub fn is_fresh(&self, model: &ModelName, now: Timestamp) -> bool {
        self.ready_since
            .iter()
            .any(|(name, at)| name == model && now.since(*at) < FRESH)
    }
}
