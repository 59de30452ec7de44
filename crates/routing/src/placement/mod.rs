//! Placement of models and adapters on runners: the coordinator's side.
//!
//! The coordinator keeps a [`runner_record`] for each model runner, receives from all daemons what
//! their requests wait for and use ([`demand`]), and decides on orders ([`planner`]). It stores
//! nothing but its lease: a new coordinator reads the reports of the runners before it issues any
//! order. An order without an answer stays pending in the record until the runner's order count or
//! report settles it.

mod call_pacing;
mod candidates;
mod copies;
pub mod demand;
mod limited_capacity;
mod origins;
mod planner;
pub mod readiness;
pub mod runner_record;
mod saturation;
pub mod store_link;
mod victims;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::balance::is_load_reportable;
use crate::configuration::{Configuration, Engine, ModelSpecification};
use crate::holdings_digests::{HoldingsDigests, MatchingBuckets};
use crate::locality::Regions;
use crate::messages::{
    Direction, KnownState, RunnerLoad, StoreLimit, Usage, WaitNotice, WaitingUnit,
};
use crate::names::{AdapterName, ModelName, RunnerId, RunnerStart, ServiceName, Unit};
use crate::runners::{Holdings, Runner, RunnerHoldings, RunnerTable};
use crate::standby::Candidate;
use crate::strength::MachineStrength;

use call_pacing::CallPacing;
use copies::CopyIndex;
use demand::DemandTracker;
use runner_record::{OrderState, Progress, RunnerRecord, WeightSource};
use store_link::{LoadSample, StoreLink};

/// Maximum number of runners in one message, so that it fits a datagram.
const RUNNERS_PER_MESSAGE: usize = 8;
/// Maximum number of messages with holdings to one member in one round: what a machine with 10
/// Mbit/s receives in 12 ms. The rest follows in later rounds, so that no member's queue overflows.
const MESSAGES_PER_ROUND: usize = 16;

/// What a member already knew of the holdings when it was first sent a message in this term.
#[derive(Clone, Debug, Default)]
pub struct KnownHoldings {
    /// Comparisons of its digests with those of the holdings that it may have.
    comparisons: Vec<Comparison>,
}

/// A member's digests compared with those of the holdings at one version.
#[derive(Clone, Debug)]
struct Comparison {
    version: u64,
    same: MatchingBuckets,
}

impl KnownHoldings {
    /// Whether a runner's holdings need not be sent: they have not changed since the member's
    /// digest was equal.
    fn includes(&self, record: &RunnerRecord) -> bool {
        let mut comparisons = self.comparisons.iter();
        comparisons.any(|it| record.version <= it.version && it.same.contains(record.bucket))
    }

    /// The latest version that its digests were compared with.
    fn version(&self) -> u64 {
        let versions = self.comparisons.iter().map(|it| it.version);
        versions.max().unwrap_or(0)
    }
}

/// Digests of all holdings at one version.
#[derive(Clone, Debug)]
pub struct HoldingsSnapshot {
    version: u64,
    digests: HoldingsDigests,
}

impl HoldingsSnapshot {
    fn compare(&self, digests: &HoldingsDigests) -> Comparison {
        Comparison {
            version: self.version,
            same: self.digests.matching_buckets(digests),
        }
    }
}

/// Operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Load the unit.
    Load,
    /// Unload the unit.
    Unload,
}

/// An order to a runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// The operation.
    pub operation: Operation,
    /// The unit to load or unload.
    pub unit: Unit,
}

/// A runner's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being executed.
    Accepted,
    /// The requested state already holds.
    AlreadyDone,
    /// Another order is being executed, or the order count differs.
    Conflict,
    /// The runner has seen a higher fencing token.
    FencedOff,
    /// Another runner has the address.
    OtherRunner,
    /// The runner rejects the order as invalid.
    Invalid,
    /// No answer: the order may have been accepted, or may still be.
    Unknown,
}

/// A runner's report of its own state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerReport {
    /// Start time of the reporting runner process, if given.
    pub start: Option<RunnerStart>,
    /// Models and adapters that are loaded.
    pub holdings: Holdings,
    /// Adapters that are being loaded.
    pub pending: BTreeSet<(ModelName, AdapterName)>,
    /// Models with a copy in host memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models with a copy on disk.
    pub on_disk: BTreeSet<ModelName>,
    /// Whether an order is being executed.
    pub is_busy: bool,
    /// Number of orders accepted so far.
    pub order_count: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

impl RunnerReport {
    /// Whether the report comes from this incarnation of the runner.
    pub fn is_of(&self, runner: &RunnerId) -> bool {
        self.start == runner.start()
    }
}

/// An action that the coordinator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order.
    Order {
        /// The runner.
        runner: RunnerId,
        /// The runner's address.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// The order count that the runner must have.
        expected_count: u64,
        /// The reason, for the log.
        reason: Reason,
    },
    /// Read a report.
    Report {
        /// The runner.
        runner: RunnerId,
        /// The runner's address.
        address: SocketAddr,
    },
}

/// Why an order is issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Requests wait for the unit.
    Demand,
    /// The unit is used enough to get another copy.
    Replica,
    /// The unit is unloaded to make room for another one.
    Room,
}

/// An order that was settled by a report.
#[derive(Clone, Debug, PartialEq)]
pub struct SettledOrder {
    /// The order.
    pub order: Order,
    /// Whether it was carried out.
    pub is_done: bool,
    /// What it shows of the weight store, if it was a load from there.
    pub sample: Option<LoadSample>,
}

/// Timing parameters of the placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Time after which an unanswered order is sent again.
    pub order_retry: Duration,
    /// Interval between reports of a runner with a pending order.
    pub report_interval: Duration,
    /// Maximum delay of a report.
    pub report_lag: Duration,
    /// Time without a message after which a member is no longer counted.
    pub member_timeout: Duration,
    /// Window over which the rate of loads from the weight store is limited.
    pub load_window: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            order_retry: Duration::from_millis(400),
            report_interval: Duration::from_millis(150),
            report_lag: Duration::from_millis(150),
            member_timeout: Duration::from_secs(4),
            load_window: Duration::from_secs(5),
        }
    }
}

/// The coordinator's state during one term.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    engines: BTreeMap<ServiceName, Engine>,
    records: BTreeMap<RunnerId, RunnerRecord>,
    copies: CopyIndex,
    regions: Regions,
    /// Requests per second that a cold runner can serve, by service.
    cold_rates: BTreeMap<ServiceName, f64>,
    runner_counts: BTreeMap<ServiceName, usize>,
    demands: DemandTracker,
    configuration_version: Option<u64>,
    store_loads: BTreeMap<ServiceName, VecDeque<Timestamp>>,
    call_pacing: CallPacing,
    store_links: BTreeMap<ServiceName, StoreLink>,
    started_at: Timestamp,
    orders_from: Timestamp,
    version: u64,
    /// Holdings assumed at the start of the term, which members that have read the runner list know
    /// as well.
    initial_snapshot: Option<HoldingsSnapshot>,
}

impl Placement {
    /// A coordinator that has just acquired the lease and issues no order before `orders_from`.
    pub fn new(settings: PlacementSettings, now: Timestamp, orders_from: Timestamp) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            records: BTreeMap::new(),
            copies: CopyIndex::default(),
            regions: Regions::default(),
            cold_rates: BTreeMap::new(),
            runner_counts: BTreeMap::new(),
            configuration_version: None,
            demands: DemandTracker::new(settings.member_timeout),
            store_loads: BTreeMap::new(),
            call_pacing: CallPacing::default(),
            store_links: BTreeMap::new(),
            started_at: now,
            orders_from,
            version: 1,
            initial_snapshot: None,
        }
    }

    /// Sets the version of the holdings above one that members were sent before. A term may
    /// continue after its lease ran out, and members would take lower versions for ones that they
    /// already know.
    #[must_use]
    pub fn with_versions_above(mut self, version: u64) -> Self {
        self.version = self.version.max(version + 1);
        self
    }

    /// Sets the regions of the zones, so that units are loaded within the homes of the waiting
    /// requests.
    #[must_use]
    pub fn in_regions(mut self, regions: Regions) -> Self {
        self.copies = CopyIndex::new(regions.clone());
        self.demands = self.demands.in_regions(regions.clone());
        self.regions = regions;
        self
    }

    /// Applies the engines of a configuration, unless its version is already applied.
    pub fn configure(&mut self, configuration: &Configuration) {
        if self.configuration_version == Some(configuration.version) {
            return;
        }
        self.configuration_version = Some(configuration.version);
        self.engines = configuration
            .services()
            .filter_map(|service| Some((service.name.clone(), service.engine.clone()?)))
            .collect();
        self.configure_cold_rates(configuration);
    }

    /// Applies the list of runners.
    pub fn set_runners<'a>(&mut self, runners: impl Iterator<Item = &'a Runner>) {
        let mut seen = BTreeSet::new();
        self.runner_counts.clear();
        for runner in runners {
            if !self.engines.contains_key(&runner.service) {
                continue;
            }
            seen.insert(runner.id.clone());
            let count = self.runner_counts.entry(runner.service.clone());
            *count.or_default() += 1;
            let record = self.records.get(&runner.id);
            if record.is_none_or(|record| record.runner != *runner) {
                self.set_runner(runner);
            }
        }
        let copies = &mut self.copies;
        let store_links = &mut self.store_links;
        self.records.retain(|id, record| {
            let stays = seen.contains(id);
            if !stays {
                copies.remove(id);
                if let Some(link) = store_links.get_mut(&record.runner.service) {
                    link.load_discarded(id);
                }
            }
            stays
        });
    }

    fn set_runner(&mut self, runner: &Runner) {
        self.records
            .entry(runner.id.clone())
            .or_insert_with(|| RunnerRecord::new(runner.clone()));
        self.change(&runner.id, |record| record.set_runner(runner.clone()));
    }

    /// Sets the holdings that this daemon knew before it became coordinator, for runners of which
    /// nothing else is known. Members that know the same need not be sent them, and the others get
    /// them before all reports are read.
    pub fn assume_holdings(&mut self, table: &RunnerTable) {
        for record in self.records.values_mut() {
            let assumed = table.effective_holdings(&record.runner.id);
            let Some(holdings) = assumed.filter(|_| record.version == 0) else {
                continue;
            };
            self.version += 1;
            record.assume_holdings(holdings.clone(), self.version);
            self.copies.update(record);
        }
        self.initial_snapshot = Some(self.holdings_snapshot());
    }

    /// What a member with the given digests already knows, compared with the current holdings and
    /// with those at the start of the term.
    pub fn known_holdings(
        &self,
        digests: &HoldingsDigests,
        now: &HoldingsSnapshot,
    ) -> KnownHoldings {
        let snapshots = self.initial_snapshot.iter().chain([now]);
        KnownHoldings {
            comparisons: snapshots.map(|it| it.compare(digests)).collect(),
        }
    }

    /// Whether there are any runners.
    pub fn has_runners(&self) -> bool {
        !self.records.is_empty()
    }

    /// Digests of the current holdings.
    pub fn holdings_snapshot(&self) -> HoldingsSnapshot {
        let mut digests = HoldingsDigests::with_max_buckets();
        for record in self.records.values() {
            let announced = record.announced();
            let holdings = announced.holdings.iter();
            digests.add(
                &announced.runner,
                holdings.map(|(model, adapters)| (model, adapters)),
            );
        }
        HoldingsSnapshot {
            version: self.version,
            digests,
        }
    }

    /// Changes a runner's record and assigns a new version if the announced holdings differ.
    fn change<Outcome>(
        &mut self,
        runner: &RunnerId,
        change: impl FnOnce(&mut RunnerRecord) -> Outcome,
    ) -> Option<Outcome> {
        let record = self.records.get_mut(runner)?;
        let before = record.announced();
        let outcome = change(record);
        let is_first = record.is_confirmed() && record.version == 0;
        if is_first || record.announced() != before {
            self.version += 1;
            record.version = self.version;
        }
        self.copies.update(record);
        Some(outcome)
    }

    /// Applies a usage message of a member.
    pub fn update_usage(&mut self, usage: Usage, now: Timestamp) {
        self.demands.update(usage, now);
    }

    /// Applies what a member's requests wait for.
    pub fn update_waiting(&mut self, notice: WaitNotice, now: Timestamp) {
        self.demands.update_waiting(notice, now);
    }

    /// Messages, each of which fits a datagram, that bring the holdings of a member up to date from
    /// a known version and what it knew before. What does not fit into one round is sent after the
    /// version of the last message.
    pub fn directions(
        &self,
        known_version: u64,
        known_holdings: &KnownHoldings,
        header: &Direction,
    ) -> Vec<Direction> {
        let mut changed = self.changed_since(known_version, known_holdings);
        let is_whole = changed.len() <= RUNNERS_PER_MESSAGE * MESSAGES_PER_ROUND;
        changed.truncate(RUNNERS_PER_MESSAGE * MESSAGES_PER_ROUND);
        let mut directions = Vec::new();
        let mut after = known_version;
        for part in changed.chunks(RUNNERS_PER_MESSAGE) {
            let last = part.last().map_or(after, |record| record.version);
            directions.push(Direction {
                holdings_after: after,
                holdings_version: last,
                holdings: part.iter().map(|record| record.announced()).collect(),
                ..header.clone()
            });
            after = last;
        }
        if directions.is_empty() {
            directions.push(Direction {
                holdings_after: known_version,
                holdings_version: known_version,
                ..header.clone()
            });
        }
        if let Some(last) = directions.last_mut().filter(|_| is_whole) {
            last.holdings_version = last.holdings_version.max(known_holdings.version());
        }
        directions
    }

    /// Whether a member that knows a version, and what it knew before, lacks any holdings.
    pub fn has_changed_since(&self, version: u64, known_holdings: &KnownHoldings) -> bool {
        let mut records = self.records.values();
        let lacks =
            |record: &RunnerRecord| record.version > version && !known_holdings.includes(record);
        version < self.version && records.any(lacks)
    }

    /// The runners whose holdings have changed since a version, the earliest change first.
    fn changed_since(&self, version: u64, known_holdings: &KnownHoldings) -> Vec<&RunnerRecord> {
        if version >= self.version {
            return Vec::new();
        }
        let mut changed: Vec<&RunnerRecord> = self
            .records
            .values()
            .filter(|record| record.version > version && !known_holdings.includes(record))
            .collect();
        changed.sort_by_key(|record| record.version);
        changed
    }

    /// The units that a member's requests wait for.
    pub fn waiting_units_of(&self, member: &str) -> &[WaitingUnit] {
        let member = self.demands.member(member);
        member.map_or(&[], |member| &member.waiting)
    }

    /// Requests in progress on the runners that are filling up, as reported by the members before
    /// the last plan.
    pub fn loads(&self) -> Vec<RunnerLoad> {
        let load = |record: &RunnerRecord| {
            let requests = self.demands.running_at(&record.runner.id);
            is_load_reportable(requests, record.runner.slots).then(|| RunnerLoad {
                runner: record.runner.id.clone(),
                requests,
            })
        };
        self.records.values().filter_map(load).collect()
    }

    /// The limits on concurrent loads from the weight store found so far.
    pub fn store_limits(&self) -> Vec<StoreLimit> {
        let limit = |(service, link): (&ServiceName, &StoreLink)| StoreLimit {
            service: service.clone(),
            loads: u32::try_from(link.limit()).unwrap_or(u32::MAX),
            is_measured: link.was_saturated(),
        };
        self.store_links.iter().map(limit).collect()
    }

    /// Takes over the limits that the previous coordinator found.
    pub fn inherit_store_limits(&mut self, limits: &[StoreLimit], now: Timestamp) {
        for limit in limits {
            let mut link = StoreLink::new(now);
            let loads = usize::try_from(limit.loads).unwrap_or(usize::MAX);
            link.inherit(loads, limit.is_measured);
            self.store_links.insert(limit.service.clone(), link);
        }
    }

    /// Names and addresses of the members that have not timed out.
    pub fn members(&self, now: Timestamp) -> Vec<(String, SocketAddr)> {
        let members = self.demands.live_members(now);
        members
            .map(|(name, member)| (name.clone(), member.address))
            .collect()
    }

    /// What a member knows of the coordinator's state.
    pub fn known_state_of(&self, member: &str) -> Option<KnownState> {
        self.demands.member(member).map(|member| member.known)
    }

    /// The strength of the strongest member machine.
    pub fn strongest_member(&self) -> MachineStrength {
        self.demands.strongest()
    }

    /// The members that may act as standby for the coordinator at the given address.
    pub fn standby_candidates(&self, own: SocketAddr, now: Timestamp) -> Vec<Candidate> {
        self.demands.standby_candidates(own, now)
    }

    /// When the next order that needs no report counts as done.
    pub fn next_expected_completion(&self) -> Option<Timestamp> {
        self.records
            .values()
            .filter_map(RunnerRecord::expected_at)
            .min()
    }

    /// Version of the holdings; increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Confirmed holdings of the runners, for diagnostic queries.
    pub fn announced(&self) -> impl Iterator<Item = RunnerHoldings> + '_ {
        self.records
            .values()
            .filter(|record| record.is_confirmed())
            .map(RunnerRecord::announced)
    }

    /// Applies a report requested at `asked_at` and returns the order that it settles. A report
    /// from another incarnation of the runner is treated as missing.
    pub fn apply_report(
        &mut self,
        runner: &RunnerId,
        report: Option<RunnerReport>,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> Option<SettledOrder> {
        let settings = self.settings;
        let report = report.filter(|report| report.is_of(runner));
        let settlement = self.change(runner, |record| {
            record.report_asked_at = None;
            let Some(report) = report else {
                record.note_unanswered(settings.order_retry, now);
                return None;
            };
            record.apply_report(report, asked_at, now, &settings)
        });
        let settlement = settlement.flatten()?;
        let sample = self.note_settled(runner, &settlement.state, settlement.is_done, now);
        Some(SettledOrder {
            order: settlement.state.order,
            is_done: settlement.is_done,
            sample,
        })
    }

    /// Informs the store link that a load over it has ended.
    fn note_settled(
        &mut self,
        runner: &RunnerId,
        state: &OrderState,
        is_done: bool,
        now: Timestamp,
    ) -> Option<LoadSample> {
        if state.source != Some(WeightSource::Store) {
            return None;
        }
        let link = self.store_links.get_mut(&state.order.unit.service)?;
        if is_done {
            return link.load_finished(runner, now);
        }
        link.load_discarded(runner);
        None
    }

    /// Applies the answer to the pending order of a runner.
    pub fn apply_answer(&mut self, runner: &RunnerId, answer: OrderAnswer, now: Timestamp) {
        let Some(record) = self.records.get(runner) else {
            return;
        };
        let load_time = record
            .order()
            .and_then(|order| self.expected_load_time(record, &order.unit));
        let order = record.order();
        let is_blocked = order.is_some_and(|it| self.demands.running(runner, &it.unit) > 0);
        let settings = self.settings;
        self.change(runner, |record| {
            record.apply_answer(answer, load_time, is_blocked, now, &settings);
        });
        self.note_answered(runner, now);
    }

    /// Informs the store link that a load over it has started, or that its start time is unknown.
    fn note_answered(&mut self, runner: &RunnerId, now: Timestamp) {
        let Some(record) = self.records.get(runner) else {
            return;
        };
        let Some(link) = self.store_links.get_mut(&record.runner.service) else {
            return;
        };
        let state = record.order_state();
        let state = state.filter(|state| state.source == Some(WeightSource::Store));
        let is_running = state.is_some_and(|state| state.progress == Progress::Running);
        let nominal = state
            .filter(|_| is_running)
            .and_then(|state| engine_load_time(&self.engines, record, &state.order.unit));
        match nominal {
            Some(nominal) => link.load_started(runner, nominal, now),
            None => link.load_discarded(runner),
        }
    }

    /// Expected duration of a load on a runner, given what is known of the weight store.
    fn expected_load_time(&self, record: &RunnerRecord, unit: &Unit) -> Option<Duration> {
        if unit.adapter.is_none() && record.weight_source(&unit.model) == WeightSource::Store {
            return self.store_load_time(unit);
        }
        engine_load_time(&self.engines, record, unit)
    }

    /// Expected duration of a load from the weight store that starts now.
    fn store_load_time(&self, unit: &Unit) -> Option<Duration> {
        let specification = self.engines.get(&unit.service)?.models.get(&unit.model)?;
        let nominal = specification.store_load;
        let link = self.store_links.get(&unit.service);
        Some(link.map_or(nominal, |link| link.expected_load_time(nominal)))
    }
}

/// Expected duration of an unload.
const UNLOAD_TIME: Duration = Duration::from_millis(300);

/// Expected duration of an adapter load.
const ADAPTER_TIME: Duration = Duration::from_millis(60);

/// Configured duration of a load on a runner.
fn engine_load_time(
    engines: &BTreeMap<ServiceName, Engine>,
    record: &RunnerRecord,
    unit: &Unit,
) -> Option<Duration> {
    let specification = engines.get(&unit.service)?.models.get(&unit.model)?;
    Some(load_time(specification, record, unit))
}

/// Configured duration of a load on a runner, by the specification of its model.
fn load_time(specification: &ModelSpecification, record: &RunnerRecord, unit: &Unit) -> Duration {
    if unit.adapter.is_some() {
        return ADAPTER_TIME;
    }
    match record.weight_source(&unit.model) {
        WeightSource::Memory => specification.memory_load,
        WeightSource::Disk => specification.disk_load,
        WeightSource::Store => specification.store_load,
    }
}
