//! What is loaded where: the coordinator's side.
//!
//! The coordinator keeps a [`ledger`] for each model runner, hears from all daemons what their
//! requests wait for and use ([`demand`]), and decides on orders ([`planner`]). It records nothing in
//! the store but its lease: a new coordinator reads the reports of the runners before it orders
//! anything. An order without an answer stays counted in the ledger until the runner's order count
//! or report settles it.

mod call_pacing;
mod candidates;
mod copies;
pub mod demand;
pub mod ledger;
mod origins;
pub mod outlooks;
mod planner;
mod pressure;
mod scarce;
pub mod store_link;
mod victims;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::balance::is_worth_telling;
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
use demand::Demands;
use ledger::{Ledger, OrderState, Progress, WeightSource};
use store_link::{LoadSample, StoreLink};

/// Runners in one message at most, so that it fits a datagram.
const RUNNERS_A_MESSAGE: usize = 8;
/// Messages with holdings to one member in one round at most: what a machine of 10 Mbit/s receives in 12 ms. The rest
/// follows in the next rounds, so that no member's queue overflows.
const MESSAGES_A_ROUND: usize = 16;

/// What a member knew already when it was first told something under this term.
#[derive(Clone, Debug, Default)]
pub struct KnownAlready {
    /// Its digests beside those of holdings that it may have.
    comparisons: Vec<Comparison>,
}

/// A member's digests beside those of the holdings at one version.
#[derive(Clone, Debug)]
struct Comparison {
    version: u64,
    same: MatchingBuckets,
}

impl KnownAlready {
    /// Whether it need not be told what a runner holds: it has not changed since the member's digest was the same.
    fn includes(&self, ledger: &Ledger) -> bool {
        let mut comparisons = self.comparisons.iter();
        comparisons.any(|it| ledger.version <= it.version && it.same.contains(ledger.bucket))
    }

    /// The last version that its digests were compared with.
    fn version(&self) -> u64 {
        let versions = self.comparisons.iter().map(|it| it.version);
        versions.max().unwrap_or(0)
    }
}

/// All holdings at one version.
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

/// Load or unload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Bring the unit in.
    Load,
    /// Drop it.
    Unload,
}

/// An order for a runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// What to do.
    pub operation: Operation,
    /// With what.
    pub unit: Unit,
}

/// A runner's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It already holds.
    AlreadyDone,
    /// Another order is under way, or the order count is another one.
    Conflict,
    /// The runner has seen a higher fence.
    FencedOff,
    /// Another runner has the address.
    OtherRunner,
    /// The runner does not know such an order.
    Invalid,
    /// No answer: the order may have been taken, or may be later.
    Unknown,
}

/// A runner's report of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerReport {
    /// When the life began that reports, if it told that.
    pub start: Option<RunnerStart>,
    /// What it holds.
    pub holdings: Holdings,
    /// Adapters on their way.
    pub pending: BTreeSet<(ModelName, AdapterName)>,
    /// Models of which a copy lies in host memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models of which a copy lies on disk.
    pub on_disk: BTreeSet<ModelName>,
    /// An order is under way.
    pub is_busy: bool,
    /// Orders that it has taken.
    pub order_count: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl RunnerReport {
    /// Whether it comes from this life of a runner.
    pub fn is_of(&self, runner: &RunnerId) -> bool {
        self.start == runner.start()
    }
}

/// What the coordinator wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order.
    Order {
        /// The runner.
        runner: RunnerId,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// The order count that the runner must have.
        expected_count: u64,
        /// Why, for the log.
        reason: Reason,
    },
    /// Read a report.
    Report {
        /// The runner.
        runner: RunnerId,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// Why an order is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Requests wait for the unit.
    Demand,
    /// The unit is used so much that it gets another copy.
    Replica,
    /// The unit makes room for another one.
    Room,
}

/// An order that a report has shown to be settled.
#[derive(Clone, Debug, PartialEq)]
pub struct SettledOrder {
    /// The order.
    pub order: Order,
    /// It was carried out.
    pub is_done: bool,
    /// What it says of the weight store, if it was a load from there.
    pub sample: Option<LoadSample>,
}

/// Durations and shares of the placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Time after which an order without an answer is sent again.
    pub order_retry: Duration,
    /// Time between reports of a runner with an order under way.
    pub report_interval: Duration,
    /// How late a report may be.
    pub report_lag: Duration,
    /// Time without a word after which a member no longer counts.
    pub member_timeout: Duration,
    /// Window over which loads from the weight store are bounded.
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

/// The coordinator's state under one term.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    engines: BTreeMap<ServiceName, Engine>,
    ledgers: BTreeMap<RunnerId, Ledger>,
    copies: CopyIndex,
    regions: Regions,
    /// Requests a second that a cold runner bears, by service.
    cold_rates: BTreeMap<ServiceName, f64>,
    runner_counts: BTreeMap<ServiceName, usize>,
    demands: Demands,
    configuration_version: Option<u64>,
    store_loads: BTreeMap<ServiceName, VecDeque<Timestamp>>,
    call_pacing: CallPacing,
    store_links: BTreeMap<ServiceName, StoreLink>,
    started_at: Timestamp,
    orders_from: Timestamp,
    version: u64,
    /// What was believed of the runners at the beginning: what members know that have read the list, too.
    first_snapshot: Option<HoldingsSnapshot>,
}

impl Placement {
    /// A coordinator that has just got the lease and gives no order before `orders_from`.
    pub fn new(settings: PlacementSettings, now: Timestamp, orders_from: Timestamp) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            copies: CopyIndex::default(),
            regions: Regions::default(),
            cold_rates: BTreeMap::new(),
            runner_counts: BTreeMap::new(),
            configuration_version: None,
            demands: Demands::new(settings.member_timeout),
            store_loads: BTreeMap::new(),
            call_pacing: CallPacing::default(),
            store_links: BTreeMap::new(),
            started_at: now,
            orders_from,
            version: 1,
            first_snapshot: None,
        }
    }

    /// The same, with the versions of its holdings above one that members were told before: a term may go on that had run
    /// out, and its members would take lower numbers for what they know already.
    #[must_use]
    pub fn numbered_after(mut self, version: u64) -> Self {
        self.version = self.version.max(version + 1);
        self
    }

    /// The same where zones lie in these regions, so that units come within the homes of the requests that wait.
    #[must_use]
    pub fn in_regions(mut self, regions: Regions) -> Self {
        self.copies = CopyIndex::new(regions.clone());
        self.demands = self.demands.in_regions(regions.clone());
        self.regions = regions;
        self
    }

    /// Takes in the engines of a configuration, unless it is the one that is known.
    pub fn configure(&mut self, configuration: &Configuration) {
        if self.configuration_version == Some(configuration.version) {
            return;
        }
        self.configuration_version = Some(configuration.version);
        self.engines = configuration
            .services()
            .filter_map(|service| Some((service.name.clone(), service.engine.clone()?)))
            .collect();
        self.configure_cold(configuration);
    }

    /// Takes in the list of runners.
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
            let ledger = self.ledgers.get(&runner.id);
            if ledger.is_none_or(|ledger| ledger.runner != *runner) {
                self.set_runner(runner);
            }
        }
        let copies = &mut self.copies;
        let store_links = &mut self.store_links;
        self.ledgers.retain(|id, ledger| {
            let stays = seen.contains(id);
            if !stays {
                copies.remove(id);
                if let Some(link) = store_links.get_mut(&ledger.runner.service) {
                    link.abandoned(id);
                }
            }
            stays
        });
    }

    fn set_runner(&mut self, runner: &Runner) {
        self.ledgers
            .entry(runner.id.clone())
            .or_insert_with(|| Ledger::new(runner.clone()));
        self.change(&runner.id, |ledger| ledger.set_runner(runner.clone()));
    }

    /// Takes in what this daemon knew of the runners before it coordinated, for those of which nothing else is known.
    /// Members that know the same need not be told, and the others are told before all reports are read.
    pub fn believe(&mut self, table: &RunnerTable) {
        for ledger in self.ledgers.values_mut() {
            let believed = table.believed_holdings(&ledger.runner.id);
            let Some(holdings) = believed.filter(|_| ledger.version == 0) else {
                continue;
            };
            self.version += 1;
            ledger.believe(holdings.clone(), self.version);
            self.copies.update(ledger);
        }
        self.first_snapshot = Some(self.holdings_snapshot());
    }

    /// What somebody with such digests knows already, beside the holdings as they are now and as they were at first.
    pub fn known_already(&self, digests: &HoldingsDigests, now: &HoldingsSnapshot) -> KnownAlready {
        let snapshots = self.first_snapshot.iter().chain([now]);
        KnownAlready {
            comparisons: snapshots.map(|it| it.compare(digests)).collect(),
        }
    }

    /// Whether there are runners to tell of.
    pub fn has_runners(&self) -> bool {
        !self.ledgers.is_empty()
    }

    /// All holdings as they are now.
    pub fn holdings_snapshot(&self) -> HoldingsSnapshot {
        let mut digests = HoldingsDigests::with_max_buckets();
        for ledger in self.ledgers.values() {
            let announced = ledger.announced();
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

    /// Changes what is believed of a runner, and notes what members must hear of it.
    fn change<Outcome>(
        &mut self,
        runner: &RunnerId,
        change: impl FnOnce(&mut Ledger) -> Outcome,
    ) -> Option<Outcome> {
        let ledger = self.ledgers.get_mut(runner)?;
        let before = ledger.announced();
        let outcome = change(ledger);
        let is_first = ledger.is_confirmed() && ledger.version == 0;
        if is_first || ledger.announced() != before {
            self.version += 1;
            ledger.version = self.version;
        }
        self.copies.update(ledger);
        Some(outcome)
    }

    /// Takes in what a member needs and uses.
    pub fn usage(&mut self, usage: Usage, now: Timestamp) {
        self.demands.update(usage, now);
    }

    /// Takes in what a member's requests wait for.
    pub fn waiting(&mut self, notice: WaitNotice, now: Timestamp) {
        self.demands.update_waiting(notice, now);
    }

    /// What somebody who knows a version of the holdings, and what it knew before, is told of them now, in messages
    /// that fit a datagram each. What is left follows the version of the last one.
    pub fn directions(
        &self,
        known_version: u64,
        known_already: &KnownAlready,
        header: &Direction,
    ) -> Vec<Direction> {
        let mut changed = self.changed_since(known_version, known_already);
        let is_whole = changed.len() <= RUNNERS_A_MESSAGE * MESSAGES_A_ROUND;
        changed.truncate(RUNNERS_A_MESSAGE * MESSAGES_A_ROUND);
        let mut directions = Vec::new();
        let mut after = known_version;
        for part in changed.chunks(RUNNERS_A_MESSAGE) {
            let last = part.last().map_or(after, |ledger| ledger.version);
            directions.push(Direction {
                holdings_after: after,
                holdings_version: last,
                holdings: part.iter().map(|ledger| ledger.announced()).collect(),
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
            last.holdings_version = last.holdings_version.max(known_already.version());
        }
        directions
    }

    /// Whether somebody who knows a version, and what it knew before, lacks something.
    pub fn has_changed_since(&self, version: u64, known_already: &KnownAlready) -> bool {
        let mut ledgers = self.ledgers.values();
        let lacks = |ledger: &Ledger| ledger.version > version && !known_already.includes(ledger);
        version < self.version && ledgers.any(lacks)
    }

    /// The runners whose holdings have changed since a version, the earliest change first.
    fn changed_since(&self, version: u64, known_already: &KnownAlready) -> Vec<&Ledger> {
        if version >= self.version {
            return Vec::new();
        }
        let mut changed: Vec<&Ledger> = self
            .ledgers
            .values()
            .filter(|ledger| ledger.version > version && !known_already.includes(ledger))
            .collect();
        changed.sort_by_key(|ledger| ledger.version);
        changed
    }

    /// What a member's requests wait for.
    pub fn waited_for_by(&self, member: &str) -> &[WaitingUnit] {
        let member = self.demands.member(member);
        member.map_or(&[], |member| &member.waiting)
    }

    /// Requests in progress at the runners that are filling up, as the members had told by the last plan.
    pub fn loads(&self) -> Vec<RunnerLoad> {
        let load = |ledger: &Ledger| {
            let requests = self.demands.running_at(&ledger.runner.id);
            is_worth_telling(requests, ledger.runner.slots).then(|| RunnerLoad {
                runner: ledger.runner.id.clone(),
                requests,
            })
        };
        self.ledgers.values().filter_map(load).collect()
    }

    /// Bounds on the loads from the weight store in flight that were found so far.
    pub fn store_limits(&self) -> Vec<StoreLimit> {
        let limit = |(service, link): (&ServiceName, &StoreLink)| StoreLimit {
            service: service.clone(),
            loads: u32::try_from(link.limit()).unwrap_or(u32::MAX),
            is_measured: link.was_full(),
        };
        self.store_links.iter().map(limit).collect()
    }

    /// Takes over the bounds that the coordinator before this one has found.
    pub fn inherit_store_limits(&mut self, limits: &[StoreLimit], now: Timestamp) {
        for limit in limits {
            let mut link = StoreLink::new(now);
            let loads = usize::try_from(limit.loads).unwrap_or(usize::MAX);
            link.inherit(loads, limit.is_measured);
            self.store_links.insert(limit.service.clone(), link);
        }
    }

    /// Names and addresses of the members that live.
    pub fn members(&self, now: Timestamp) -> Vec<(String, SocketAddr)> {
        let members = self.demands.live_members(now);
        members
            .map(|(name, member)| (name.clone(), member.address))
            .collect()
    }

    /// What a member knows.
    pub fn known_by(&self, member: &str) -> Option<KnownState> {
        self.demands.member(member).map(|member| member.known)
    }

    /// The strongest machine of a member.
    pub fn strongest_member(&self) -> MachineStrength {
        self.demands.strongest()
    }

    /// The members that may stand by for the coordinator, which is at an address.
    pub fn standby_candidates(&self, own: SocketAddr, now: Timestamp) -> Vec<Candidate> {
        self.demands.standby_candidates(own, now)
    }

    /// When the next order that needs no report counts as done.
    pub fn next_expected(&self) -> Option<Timestamp> {
        self.ledgers.values().filter_map(Ledger::expected_at).min()
    }

    /// Version of the holdings; rises with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What a runner holds, for those who ask why.
    pub fn announced(&self) -> impl Iterator<Item = RunnerHoldings> + '_ {
        self.ledgers
            .values()
            .filter(|ledger| ledger.is_confirmed())
            .map(Ledger::announced)
    }

    /// Takes in a report that was asked for at a time. Returns the order that it settles. One of another life of the
    /// runner says nothing of this one, as if none had come.
    pub fn reported(
        &mut self,
        runner: &RunnerId,
        report: Option<RunnerReport>,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> Option<SettledOrder> {
        let settings = self.settings;
        let report = report.filter(|report| report.is_of(runner));
        let settlement = self.change(runner, |ledger| {
            ledger.report_asked_at = None;
            let Some(report) = report else {
                ledger.note_unanswered(settings.order_retry, now);
                return None;
            };
            ledger.reported(report, asked_at, now, &settings)
        });
        let settlement = settlement.flatten()?;
        let sample = self.note_settled(runner, &settlement.state, settlement.is_done, now);
        Some(SettledOrder {
            order: settlement.state.order,
            is_done: settlement.is_done,
            sample,
        })
    }

    /// Tells the link to the weight store that a load over it has ended.
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
            return link.ended(runner, now);
        }
        link.abandoned(runner);
        None
    }

    /// Takes in the answer to the order under way at a runner.
    pub fn answered(&mut self, runner: &RunnerId, answer: OrderAnswer, now: Timestamp) {
        let Some(ledger) = self.ledgers.get(runner) else {
            return;
        };
        let load_time = ledger
            .order()
            .and_then(|order| self.expected_load_time(ledger, &order.unit));
        let order = ledger.order();
        let is_held_up = order.is_some_and(|it| self.demands.running(runner, &it.unit) > 0);
        let settings = self.settings;
        self.change(runner, |ledger| {
            ledger.answered(answer, load_time, is_held_up, now, &settings);
        });
        self.note_answered(runner, now);
    }

    /// Tells the link to the weight store that a load over it has begun, or that it may have begun at any time.
    fn note_answered(&mut self, runner: &RunnerId, now: Timestamp) {
        let Some(ledger) = self.ledgers.get(runner) else {
            return;
        };
        let Some(link) = self.store_links.get_mut(&ledger.runner.service) else {
            return;
        };
        let state = ledger.order_state();
        let state = state.filter(|state| state.source == Some(WeightSource::Store));
        let is_running = state.is_some_and(|state| state.progress == Progress::Running);
        let promised = state
            .filter(|_| is_running)
            .and_then(|state| engine_load_time(&self.engines, ledger, &state.order.unit));
        match promised {
            Some(promised) => link.begun(runner, promised, now),
            None => link.abandoned(runner),
        }
    }

    /// Time that a load of a unit would take at a runner, with what is known of the weight store.
    fn expected_load_time(&self, ledger: &Ledger, unit: &Unit) -> Option<Duration> {
        if unit.adapter.is_none() && ledger.weight_source(&unit.model) == WeightSource::Store {
            return self.store_load_time(unit);
        }
        engine_load_time(&self.engines, ledger, unit)
    }

    /// Time that a load of a model from the weight store would take now.
    fn store_load_time(&self, unit: &Unit) -> Option<Duration> {
        let specification = self.engines.get(&unit.service)?.models.get(&unit.model)?;
        let promised = specification.store_load;
        let link = self.store_links.get(&unit.service);
        Some(link.map_or(promised, |link| link.expected(promised)))
    }
}

/// Time that an unload is expected to take.
const UNLOAD_TIME: Duration = Duration::from_millis(300);

/// Time that an adapter is expected to take.
const ADAPTER_TIME: Duration = Duration::from_millis(60);

/// Time that a load of a unit takes at a runner.
fn engine_load_time(
    engines: &BTreeMap<ServiceName, Engine>,
    ledger: &Ledger,
    unit: &Unit,
) -> Option<Duration> {
    let specification = engines.get(&unit.service)?.models.get(&unit.model)?;
    Some(load_time(specification, ledger, unit))
}

/// Time that a load of a unit takes at a runner, by what the operators say of its model.
fn load_time(specification: &ModelSpecification, ledger: &Ledger, unit: &Unit) -> Duration {
    if unit.adapter.is_some() {
        return ADAPTER_TIME;
    }
    match ledger.weight_source(&unit.model) {
        WeightSource::Memory => specification.memory_load,
        WeightSource::Disk => specification.disk_load,
        WeightSource::Store => specification.store_load,
    }
}
