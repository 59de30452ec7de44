//! Many daemons before brittle runners, in virtual time: shares that each daemon keeps for itself, and permits of a keeper.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::concurrency::keeper::ConcurrencyKeeper;
use flaxward_routing::concurrency::ledger::ConcurrencyLedger;
use flaxward_routing::concurrency::limits::RejectionLimits;
use flaxward_routing::concurrency::{
    ConcurrencyDecision, ConcurrencyQuestion, ConcurrencyReport, PERMIT_LIFE, PermitOutcome,
};
use flaxward_routing::names::{RunnerId, ServiceName};
use flaxward_routing::rate_limit::RequestRate;
use flaxward_routing::rejections::RejectionBudgets;
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const START: Timestamp = Timestamp(10_000);
/// Time of a message between two daemons or a daemon and a runner.
const MIN_DELAY: u64 = 1;
const MAX_DELAY: u64 = 4;
/// Time until a daemon takes a question for unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
/// Time for which a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1_400);

/// What bounds the rejections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Each daemon keeps to its own share.
    OwnShares,
    /// A keeper gives permits.
    Permits,
}

#[derive(Clone, Copy, Debug)]
struct Scene {
    way: Way,
    daemons: usize,
    runners: usize,
    slots: u32,
    /// Requests that a runner takes in beside those that it serves.
    queue: usize,
    service_time: Duration,
    limit: f64,
    /// Requests per second, of all daemons together.
    rate: f64,
    /// Share of the messages between daemons that get lost.
    loss: f64,
    /// The keeper is silent for some seconds, and its successor knows nothing.
    changes_keeper: bool,
    seed: u64,
}

impl Scene {
    /// Requests per second that the runners can serve.
    #[allow(clippy::cast_precision_loss)]
    fn capacity(&self) -> f64 {
        self.runners as f64 * f64::from(self.slots) / self.service_time.as_secs_f64()
    }
}

#[derive(Default)]
struct Runner {
    /// When the requests that it has taken in are served.
    ends: Vec<Timestamp>,
    rejected: Vec<Timestamp>,
}

impl Runner {
    /// Returns when a request is served; `None` if it is rejected.
    fn accept(&mut self, scene: &Scene, now: Timestamp) -> Option<Timestamp> {
        self.ends.retain(|end| *end > now);
        let slots = scene.slots as usize;
        if self.ends.len() >= slots + scene.queue {
            self.rejected.push(now);
            return None;
        }
        let mut ends = self.ends.clone();
        ends.sort_unstable();
        let free_at = ends.len().checked_sub(slots).map_or(now, |it| ends[it]);
        let end = free_at + scene.service_time;
        self.ends.push(end);
        Some(end)
    }

    /// The most rejections in any second.
    fn most_rejections(&self) -> usize {
        let in_second = |first: &Timestamp| {
            let within = self.rejected.iter();
            let within = within.filter(|at| **at >= *first && at.since(*first) < SECOND);
            within.count()
        };
        self.rejected.iter().map(in_second).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
struct Request {
    daemon: usize,
    arrived_at: Timestamp,
    /// Runners in the order in which they are tried.
    order: Vec<usize>,
    /// Until when each of them has refused it.
    refused_until: HashMap<usize, Timestamp>,
}

#[derive(Debug)]
enum Event {
    Next(Request),
    Question(u64, Request, usize),
    Answer(u64, Request, usize, Timestamp, ConcurrencyDecision),
    Unanswered(u64, Request, usize),
    Arrival(Option<u64>, Request, usize),
    Ended(Option<u64>, Request, usize, bool),
    Report(ConcurrencyReport),
}

struct Fleet {
    scene: Scene,
    random: StdRng,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_count: u64,
    runners: Vec<Runner>,
    ledgers: Vec<ConcurrencyLedger>,
    shares: Vec<RejectionBudgets>,
    keeper: Option<ConcurrencyKeeper>,
    last_number: u64,
    /// Questions that are not decided yet.
    pending: HashMap<u64, bool>,
    arrivals: usize,
    served: usize,
}

/// What a run has shown.
#[derive(Debug)]
struct Outcome {
    most_rejections: usize,
    arrivals: usize,
    served: usize,
}

fn id(runner: usize) -> RunnerId {
    RunnerId::new(&format!("r{runner}"))
}

fn service() -> ServiceName {
    ServiceName::new("pool")
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(daemon + 1).unwrap()))
}

impl Fleet {
    fn new(scene: Scene) -> Self {
        let mut shares: Vec<RejectionBudgets> = Vec::new();
        for _ in 0..scene.daemons {
            let mut budgets = RejectionBudgets::default();
            for runner in 0..scene.runners {
                let limit = RequestRate::per_second(scene.limit);
                budgets.apply(&id(runner), limit, START, START);
            }
            shares.push(budgets);
        }
        Self {
            random: StdRng::seed_from_u64(scene.seed),
            now: START,
            events: BTreeMap::new(),
            event_count: 0,
            runners: (0..scene.runners).map(|_| Runner::default()).collect(),
            ledgers: (0..scene.daemons)
                .map(|_| ConcurrencyLedger::default())
                .collect(),
            shares,
            keeper: Some(ConcurrencyKeeper::new(START)),
            last_number: 0,
            pending: HashMap::new(),
            arrivals: 0,
            served: 0,
            scene,
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(MIN_DELAY..=MAX_DELAY))
    }

    fn at(&mut self, at: Timestamp, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Delivers a message between two daemons, unless it gets lost.
    fn send(&mut self, event: Event) {
        let delay = self.delay();
        if !self.random.random_bool(self.scene.loss) {
            self.at(self.now + delay, event);
        }
    }

    fn run(mut self, time: Duration) -> Outcome {
        let end = START + time;
        while self.now < end {
            if self.scene.changes_keeper {
                self.change_keeper(time);
            }
            if self
                .random
                .random_bool(self.scene.rate * STEP.as_secs_f64())
            {
                self.arrive();
            }
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            self.send_reports();
            if self.now.since(START).as_millis().is_multiple_of(1_000) {
                self.announce_load();
            }
            self.now = self.now + STEP;
        }
        let most = self.runners.iter().map(Runner::most_rejections).max();
        Outcome {
            most_rejections: most.unwrap_or(0),
            arrivals: self.arrivals,
            served: self.served,
        }
    }

    /// The keeper tells all daemons whether runners are busy.
    fn announce_load(&mut self) {
        let Some(keeper) = &self.keeper else { return };
        let is_busy = keeper.busy_runners(self.now).next().is_some();
        for ledger in &mut self.ledgers {
            ledger.record_announcement(&service(), is_busy, self.now);
        }
    }

    /// The keeper is gone from the middle on for 3 s.
    fn change_keeper(&mut self, time: Duration) {
        let middle = START + time / 2;
        if self.now == middle {
            self.keeper = None;
        } else if self.now == middle + SECOND * 3 {
            self.keeper = Some(ConcurrencyKeeper::new(self.now));
        }
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        let mut order: Vec<usize> = (0..self.scene.runners).collect();
        for index in (1..order.len()).rev() {
            order.swap(index, self.random.random_range(0..=index));
        }
        let request = Request {
            daemon: self.random.random_range(0..self.scene.daemons),
            arrived_at: self.now,
            order,
            refused_until: HashMap::new(),
        };
        self.at(self.now, Event::Next(request));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Next(request) => self.choose(request),
            Event::Question(number, request, runner) => self.decide(number, request, runner),
            Event::Answer(number, request, runner, asked_at, decision) => {
                self.apply_answer(number, request, runner, asked_at, decision);
            }
            Event::Unanswered(number, request, runner) => {
                if self.pending.remove(&number).is_some() {
                    let ledger = &mut self.ledgers[request.daemon];
                    ledger.record_unanswered(self.now - ANSWER_TIMEOUT, self.now);
                    ledger.end(number, &id(runner), PermitOutcome::Unused);
                    self.refuse(request, runner, Duration::from_millis(30));
                }
            }
            Event::Arrival(number, request, runner) => self.reach_runner(number, request, runner),
            Event::Ended(number, request, runner, is_rejected) => {
                self.end(number, request, runner, is_rejected);
            }
            Event::Report(report) => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.record(&report, self.now);
                }
            }
        }
    }

    fn choose(&mut self, request: Request) {
        if self.now.since(request.arrived_at) > PATIENCE {
            return;
        }
        let is_open = |runner: &&usize| {
            let until = request.refused_until.get(runner);
            until.is_none_or(|until| *until <= self.now)
        };
        let Some(&runner) = request.order.iter().find(is_open) else {
            let wake_at = request.refused_until.values().min().copied();
            self.at(wake_at.unwrap_or(self.now) + STEP, Event::Next(request));
            return;
        };
        let asks =
            self.scene.way == Way::Permits && self.ledgers[request.daemon].hears_keeper(self.now);
        if asks {
            self.ask(request, runner);
        } else {
            self.use_own_share(request, runner);
        }
    }

    fn ask(&mut self, request: Request, runner: usize) {
        self.last_number += 1;
        let number = self.last_number;
        self.pending.insert(number, true);
        let timeout = self.now + ANSWER_TIMEOUT;
        self.at(timeout, Event::Unanswered(number, request.clone(), runner));
        self.send(Event::Question(number, request, runner));
    }

    fn use_own_share(&mut self, request: Request, runner: usize) {
        let daemon = request.daemon;
        if !self.ledgers[daemon].may_use_own_share(&service(), self.now) {
            self.refuse(request, runner, Duration::from_millis(250));
            return;
        }
        if !self.shares[daemon].begin(&id(runner), self.scene.daemons, self.now) {
            self.refuse(request, runner, Duration::from_millis(40));
            return;
        }
        let delay = self.delay();
        self.at(self.now + delay, Event::Arrival(None, request, runner));
    }

    fn refuse(&mut self, mut request: Request, runner: usize, pause: Duration) {
        request.refused_until.insert(runner, self.now + pause);
        self.at(self.now, Event::Next(request));
    }

    fn decide(&mut self, number: u64, request: Request, runner: usize) {
        let question = ConcurrencyQuestion {
            number,
            runner: id(runner),
            rank: 1,
            slots: self.scene.slots,
            limit: RequestRate::per_second(self.scene.limit).unwrap(),
            candidates: u32::try_from(self.scene.runners).unwrap(),
        };
        let asked_at = self.now;
        if let Some(keeper) = &mut self.keeper {
            let decision = keeper.ask(address(request.daemon), &question, self.now);
            self.send(Event::Answer(number, request, runner, asked_at, decision));
        }
    }

    fn apply_answer(
        &mut self,
        number: u64,
        request: Request,
        runner: usize,
        asked_at: Timestamp,
        decision: ConcurrencyDecision,
    ) {
        if self.pending.remove(&number).is_none() {
            return;
        }
        let ledger = &mut self.ledgers[request.daemon];
        match decision {
            ConcurrencyDecision::Given { is_busy } => {
                ledger.record_permit(number, &id(runner), &service(), is_busy, self.now);
                assert!(self.now.since(asked_at) < PERMIT_LIFE);
                self.shares[request.daemon].begin_permitted(&id(runner));
                let delay = self.delay();
                let event = Event::Arrival(Some(number), request, runner);
                self.at(self.now + delay, event);
            }
            ConcurrencyDecision::Refused { retry_in_ms } => {
                ledger.record_refusal(number, &service(), self.now);
                let pause = Duration::from_millis(u64::from(retry_in_ms));
                self.refuse(request, runner, pause);
            }
        }
    }

    fn reach_runner(&mut self, number: Option<u64>, request: Request, runner: usize) {
        let end = self.runners[runner].accept(&self.scene, self.now);
        let delay = self.delay();
        let ended = Event::Ended(number, request, runner, end.is_none());
        self.at(end.unwrap_or(self.now) + delay, ended);
    }

    fn end(&mut self, number: Option<u64>, request: Request, runner: usize, is_rejected: bool) {
        let daemon = request.daemon;
        let daemons = self.scene.daemons;
        self.shares[daemon].end(&id(runner), is_rejected, daemons, self.now);
        if let Some(number) = number {
            let outcome = if is_rejected {
                PermitOutcome::Rejected
            } else {
                PermitOutcome::Accepted
            };
            self.ledgers[daemon].end(number, &id(runner), outcome);
        }
        if is_rejected {
            self.refuse(request, runner, Duration::from_millis(80));
        } else if self.now.since(request.arrived_at) <= PATIENCE {
            self.served += 1;
        }
    }

    fn send_reports(&mut self) {
        for daemon in 0..self.scene.daemons {
            let keeper = address(self.scene.daemons);
            let reports = self.ledgers[daemon].due_reports(address(daemon), keeper, self.now);
            for report in reports {
                self.send(Event::Report(report));
            }
        }
    }
}

const SCENE: Scene = Scene {
    way: Way::Permits,
    daemons: 24,
    runners: 3,
    slots: 2,
    queue: 0,
    service_time: Duration::from_millis(100),
    limit: 6.0,
    rate: 40.0,
    loss: 0.0,
    changes_keeper: false,
    seed: 1,
};

/// Guards against daemons that each cause one rejection in the same second: the load is two thirds of what the runners
/// can serve.
#[test]
fn permits_bound_rejections_where_own_shares_do_not() {
    for daemons in [24, 80, 640] {
        let scene = Scene { daemons, ..SCENE };
        let own_shares = Scene {
            way: Way::OwnShares,
            ..scene
        };
        let before = Fleet::new(own_shares).run(SECOND * 20);
        assert!(before.most_rejections > 6, "shows nothing: {before:?}");
        let outcome = Fleet::new(scene).run(SECOND * 20);
        assert!(outcome.most_rejections <= 6, "{daemons}: {outcome:?}");
        assert!(outcome.served * 10 >= outcome.arrivals * 9, "{outcome:?}");
    }
}

/// Guards against permits that leave overloaded runners idle.
#[test]
fn overloaded_runners_are_used() {
    for limit in [1.0, 2.0, 6.0, 20.0] {
        let scene = Scene {
            limit,
            rate: 120.0,
            daemons: 80,
            ..SCENE
        };
        let outcome = Fleet::new(scene).run(SECOND * 20);
        assert!(outcome.most_rejections <= limit as usize, "{outcome:?}");
        let share = outcome.served as f64 / (scene.capacity() * 20.0);
        assert!(
            share >= 0.66,
            "{limit}: {share} of the capacity, {outcome:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against too many rejections in any second while messages get lost and the keeper changes.
    #[test]
    fn rejections_stay_within_the_limit(
        seed in any::<u64>(),
        daemons in 2_usize..120,
        slots in 1_u32..8,
        queue in 0_usize..4,
        service_ms in 15_u64..600,
        limit in 1_u32..24,
        load in 0.3_f64..2.0,
        loss in prop_oneof![Just(0.0), 0.0..0.1],
        changes_keeper in any::<bool>(),
    ) {
        let scene = Scene {
            daemons,
            slots,
            queue,
            service_time: Duration::from_millis(service_ms),
            limit: f64::from(limit),
            loss,
            changes_keeper,
            seed,
            ..SCENE
        };
        let scene = Scene { rate: (scene.capacity() * load).min(600.0), ..scene };
        let outcome = Fleet::new(scene).run(SECOND * 12);
        prop_assert!(outcome.most_rejections <= limit as usize, "{outcome:?}");
    }
}

#[test]
fn a_service_is_brittle_for_all_runners_until_a_later_response_says_otherwise() {
    let (now, limit) = (START, RequestRate::per_second(6.0));
    let mut limits = RejectionLimits::default();
    assert!(limits.apply(&id(0), &service(), limit, now, now));
    assert!(!limits.apply(&id(1), &service(), limit, now, now));
    assert_eq!(limits.limit(&id(2), &service(), now), limit);
    // The response to an earlier request may come late.
    limits.apply(&id(2), &service(), None, now - SECOND, now);
    assert_eq!(limits.limit(&id(2), &service(), now), limit);
    limits.apply(&id(2), &service(), None, now + STEP, now + SECOND);
    assert_eq!(limits.limit(&id(2), &service(), now + SECOND), None);
    assert_eq!(limits.limit(&id(1), &service(), now + SECOND), limit);
    let other = ServiceName::new("other");
    assert_eq!(limits.limit(&id(1), &other, now), None);
}

#[test]
fn members_and_the_coordinator_tell_each_other_of_brittle_services() {
    let limit = RequestRate::per_second(6.0);
    let (mut member, mut coordinator) = (RejectionLimits::default(), RejectionLimits::default());
    let mut other = RejectionLimits::default();
    member.apply(&id(0), &service(), limit, START, START);
    let told = member.due(false, START);
    assert_eq!(told.len(), 1);
    assert!(member.due(false, START + STEP).is_empty());
    assert!(coordinator.merge(&told[0], START + STEP));
    let told = coordinator.due(true, START + STEP);
    assert!(other.merge(&told[0], START + STEP * 2));
    assert_eq!(other.limit(&id(3), &service(), START + SECOND), limit);
    // What was merged before is not news, and is not repeated while nothing confirms it.
    assert!(!other.merge(&told[0], START + SECOND));
    assert!(coordinator.due(true, START + SECOND * 10).is_empty());
    coordinator.apply(&id(1), &service(), limit, START, START + SECOND * 10);
    assert_eq!(coordinator.due(true, START + SECOND * 10).len(), 1);
}

/// Guards against a keeper that is taken for silent because one message got lost, and against one that never answers and
/// is asked again and again.
#[test]
fn a_keeper_that_does_not_answer_is_left_alone() {
    let mut ledger = ConcurrencyLedger::default();
    let keeper = address(1);
    ledger.due_reports(address(0), keeper, START);
    // Three questions in one message.
    for _ in 0..3 {
        ledger.record_unanswered(START, START + ANSWER_TIMEOUT);
    }
    assert!(ledger.hears_keeper(START + ANSWER_TIMEOUT));
    let mut asked_at = START + ANSWER_TIMEOUT * 2;
    ledger.record_unanswered(asked_at, asked_at + ANSWER_TIMEOUT);
    assert!(!ledger.hears_keeper(asked_at + ANSWER_TIMEOUT * 2));
    assert!(ledger.may_use_own_share(&service(), asked_at));
    for _ in 0..5 {
        asked_at = asked_at + SECOND * 5;
        assert!(ledger.hears_keeper(asked_at));
        ledger.record_unanswered(asked_at, asked_at + ANSWER_TIMEOUT);
    }
    assert!(!ledger.hears_keeper(asked_at + SECOND * 3));
    // Another keeper may answer.
    ledger.due_reports(address(0), address(2), asked_at + SECOND);
    assert!(ledger.hears_keeper(asked_at + SECOND));
}

/// Guards against permits that a keeper counts forever because the report of their end got lost.
#[test]
fn a_full_report_repairs_lost_ones() {
    let mut keeper = ConcurrencyKeeper::new(START - SECOND * 10);
    let mut ledger = ConcurrencyLedger::default();
    let question = |number| ConcurrencyQuestion {
        number,
        runner: id(0),
        rank: 1,
        slots: 2,
        limit: RequestRate::per_second(6.0).unwrap(),
        candidates: 1,
    };
    let is_given = |decision| matches!(decision, ConcurrencyDecision::Given { .. });
    for number in 1..=2 {
        let decision = keeper.ask(address(0), &question(number), START);
        assert!(is_given(decision));
        ledger.record_permit(number, &id(0), &service(), false, START);
    }
    assert!(!is_given(keeper.ask(address(0), &question(3), START)));
    ledger.end(1, &id(0), PermitOutcome::Accepted);
    // Both reports with the end get lost.
    ledger.due_reports(address(0), address(1), START + STEP);
    ledger.due_reports(address(0), address(1), START + SECOND / 2);
    let now = START + SECOND;
    for report in ledger.due_reports(address(0), address(1), now) {
        keeper.record(&report, now);
    }
    assert!(is_given(keeper.ask(address(0), &question(4), now)));
    assert!(!is_given(keeper.ask(address(0), &question(5), now)));
}
