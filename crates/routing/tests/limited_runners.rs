//! A runner that reports a rate limit to a fleet of daemons, in virtual time: messages are delayed or lost, daemons
//! freeze between the permit and the send, the coordinator changes, and answers overtake one another. In every case,
//! daemons that have forwarded an answer with the rate send no more together than operators allow; and once the runner
//! no longer reports a rate, all daemons learn of it.

mod virtual_time;

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::names::RunnerId;
use flaxward_routing::notices::{NoticeUpdate, Notices, RunnerNotice, SharedNotice, SharedRate};
use flaxward_routing::permits::keeper::{PermitKeeper, PermitRequest};
use flaxward_routing::permits::{PERMIT_LIFE, PermitDecision};
use flaxward_routing::rate_limit::{RequestRate, STARTUP_PERMITS, WINDOW};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use virtual_time::{Events, most_within};

/// Interval over which operators limit what a runner gets from daemons that know its rate.
const RUNNER_WINDOW: Duration = Duration::from_secs(4);
/// The bound: a multiple of the rate, plus a number of requests.
const RATE_FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Calls of coordinators within the interval, which count as well.
const CALLS: f64 = 2.0;
/// Time from the first answer that reports a rate until the bound applies.
const GRACE: Duration = Duration::from_secs(3);
/// Time from a daemon's first answer with the rate until its requests count.
const REACTION_TIME: Duration = Duration::from_millis(500);

fn id() -> RunnerId {
    RunnerId::new("r")
}

fn at(ms: u64) -> Timestamp {
    Timestamp(ms)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).unwrap()
}

fn notice_with_rate(rate_limit: Option<RequestRate>) -> RunnerNotice {
    RunnerNotice {
        rate_limit,
        ..RunnerNotice::default()
    }
}

fn ask(keeper: &mut PermitKeeper, rate: RequestRate, rank: u8, now: Timestamp) -> PermitDecision {
    let asked = PermitRequest {
        runner: &id(),
        rank,
        cold: None,
        rate_limit: Some(rate),
    };
    keeper.ask(&asked, now)
}

fn given(keeper: &mut PermitKeeper, rate: RequestRate, rank: u8, now: Timestamp) -> usize {
    let asked = (0..40).filter(|_| ask(keeper, rate, rank, now) == PermitDecision::Given);
    asked.count()
}

#[test]
fn a_window_holds_as_many_permits_as_the_rate_allows() {
    let now = at(60_000);
    for (per_second, expected) in [(0.0, 1), (0.3, 1), (1.0, 4), (1.6, 6), (5.0, 21)] {
        let mut keeper = PermitKeeper::new(at(0));
        let count = given(&mut keeper, rate(per_second), 0, now);
        assert_eq!(count, expected, "{per_second}");
        assert_eq!(given(&mut keeper, rate(per_second), 0, now + WINDOW), count);
    }
}

#[test]
fn part_of_the_rate_is_reserved_for_urgent_requests() {
    let mut keeper = PermitKeeper::new(at(0));
    let now = at(60_000);
    assert_eq!(given(&mut keeper, rate(2.0), 3, now), 6);
    assert_eq!(given(&mut keeper, rate(2.0), 0, now), 2);
}

#[test]
fn a_new_keeper_accounts_for_permits_of_its_predecessor() {
    let mut keeper = PermitKeeper::new(at(0));
    assert_eq!(given(&mut keeper, rate(1.6), 0, at(100)), STARTUP_PERMITS);
}

#[test]
fn retry_delays_are_bounded() {
    let mut keeper = PermitKeeper::new(at(0));
    for _ in 0..500 {
        if let PermitDecision::Refused { room_in_ms } = ask(&mut keeper, rate(1.0), 0, at(60_000)) {
            assert!(room_in_ms <= 10_000, "{room_in_ms}");
        }
    }
}

#[test]
fn an_answer_ends_the_rate_only_if_its_request_was_sent_after_the_rate_was_known() {
    let mut notices = Notices::default();
    assert!(!notices.apply_answer(&id(), notice_with_rate(None), at(0), at(10)));
    assert!(notices.apply_answer(&id(), notice_with_rate(Some(rate(1.0))), at(900), at(1_000)));
    // An answer that was created earlier and arrived later.
    assert!(!notices.apply_answer(&id(), notice_with_rate(None), at(950), at(1_100)));
    assert_eq!(notices.rate_limit(&id()), Some(rate(1.0)));
    assert!(notices.apply_answer(&id(), notice_with_rate(None), at(1_200), at(1_300)));
    assert_eq!(notices.rate_limit(&id()), None);
}

#[test]
fn outdated_daemons_are_corrected() {
    let shared = |rate_limit, age_ms| SharedNotice {
        runner: id(),
        leaves: false,
        rate: Some(SharedRate { rate_limit, age_ms }),
    };
    let mut notices = Notices::default();
    assert_eq!(
        notices.merge(&shared(Some(rate(1.0)), 100), at(5_000), at(5_000)),
        NoticeUpdate::Changed
    );
    assert_eq!(
        notices.merge(&shared(Some(rate(1.0)), 50), at(5_000), at(5_000)),
        NoticeUpdate::Unchanged
    );
    assert_eq!(
        notices.merge(&shared(None, 0), at(6_000), at(6_000)),
        NoticeUpdate::Changed
    );
    let outdated = notices.merge(&shared(Some(rate(1.0)), 2_000), at(7_000), at(7_000));
    assert_eq!(outdated, NoticeUpdate::SenderOutdated);
    let correction = notices.shared(&id(), at(7_000));
    assert_eq!(correction, Some(shared(None, 1_000)));
}

/// Guards against an outdated message ending a current rate: a coordinator that was frozen for seconds reads that a
/// rate has ended, while the runner has reported another one in the meantime.
#[test]
fn a_delayed_message_does_not_end_a_rate_that_was_reported_after_it() {
    let ended = SharedNotice {
        runner: id(),
        leaves: false,
        rate: Some(SharedRate {
            rate_limit: None,
            age_ms: 0,
        }),
    };
    let mut notices = Notices::default();
    notices.apply_answer(
        &id(),
        notice_with_rate(Some(rate(1.0))),
        at(4_900),
        at(5_000),
    );
    assert_eq!(
        notices.merge(&ended, at(4_000), at(7_000)),
        NoticeUpdate::SenderOutdated
    );
    assert_eq!(notices.rate_limit(&id()), Some(rate(1.0)));
}

/// The parameters of one simulated run.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    daemons: usize,
    /// The rate that the runner reports, in thousandths of a request per second.
    rate: u32,
    /// Requests per second at all daemons.
    demand: u64,
    /// One in this many messages is lost.
    loss: u64,
    /// Maximum delay of a message or an answer, in ms.
    max_delay_ms: u64,
    /// One in this many sends is delayed by a freeze.
    stall_interval: u64,
    /// When the coordinator changes, in ms.
    failover_at_ms: Option<u64>,
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let fleet = (any::<u64>(), 1..40_usize, 0..4_000_u32, 1..100_u64);
    let faults = (2..20_u64, 1..60_u64, 2..20_u64);
    let failover_at_ms = proptest::option::of(0..20_000_u64);
    (fleet, faults, failover_at_ms).prop_map(|(fleet, faults, failover_at_ms)| Scenario {
        seed: fleet.0,
        daemons: fleet.1,
        rate: fleet.2,
        demand: fleet.3,
        loss: faults.0,
        max_delay_ms: faults.1,
        stall_interval: faults.2,
        failover_at_ms,
    })
}

/// Timeline of a run: requests arrive until `END`; the runner reports a rate between the other two times.
const END: u64 = 30_000;
const LIMITED_FROM: u64 = 2_000;
const LIMITED_UNTIL: u64 = 20_000;

#[derive(Clone, Debug)]
enum Event {
    /// A daemon receives a request.
    Requested { daemon: usize },
    /// A question reaches the coordinator, preceded by what the daemon knows about the runner.
    Asked {
        daemon: usize,
        asked_at: Timestamp,
        shared: Option<SharedNotice>,
    },
    /// A permit reaches a daemon.
    Permitted { daemon: usize, asked_at: Timestamp },
    /// A daemon sends a request, if it is still allowed to.
    Sending {
        daemon: usize,
        permit: Option<Timestamp>,
    },
    /// The runner receives a request.
    Arrived { daemon: usize, sent_at: Timestamp },
    /// An answer reaches a daemon.
    Answered {
        daemon: usize,
        sent_at: Timestamp,
        notice: RunnerNotice,
    },
    /// A daemon receives the notice of another one.
    Notified { daemon: usize, shared: SharedNotice },
}

struct Simulation {
    scenario: Scenario,
    events: Events<Event>,
    notices: Vec<Notices>,
    /// When each daemon first forwarded an answer that reported the rate.
    rate_seen_at: Vec<Option<Timestamp>>,
    keeper: PermitKeeper,
    coordinator: usize,
    has_failed_over: bool,
    /// When requests arrived, and from which daemon.
    arrived: Vec<(Timestamp, usize)>,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let daemons = scenario.daemons;
        Self {
            events: Events::new(scenario.seed),
            notices: (0..daemons).map(|_| Notices::default()).collect(),
            rate_seen_at: vec![None; daemons],
            keeper: PermitKeeper::new(at(0)),
            coordinator: 0,
            has_failed_over: false,
            arrived: Vec::new(),
            scenario,
        }
    }

    /// Delay of an answer, or of a message that is not lost.
    fn transit(&mut self) -> Duration {
        let max_delay_ms = self.scenario.max_delay_ms;
        Duration::from_millis(self.events.draw(max_delay_ms) + 1)
    }

    fn send(&mut self, now: Timestamp, event: Event) {
        let loss = self.scenario.loss;
        if self.events.draw(loss) > 0 {
            let transit = self.transit();
            self.events.schedule(now + transit, event);
        }
    }

    fn run(&mut self) {
        let interval_ms = (1_000 / self.scenario.demand).max(1);
        for arrives_at in (0..END).step_by(usize::try_from(interval_ms).unwrap()) {
            let daemons = self.scenario.daemons as u64;
            let daemon = usize::try_from(self.events.draw(daemons)).unwrap();
            self.events
                .schedule(at(arrives_at), Event::Requested { daemon });
        }
        while let Some((now, event)) = self.events.next() {
            self.change_coordinator(now);
            self.handle(event, now);
        }
    }

    fn change_coordinator(&mut self, now: Timestamp) {
        let is_due = self
            .scenario
            .failover_at_ms
            .is_some_and(|due| now >= at(due));
        if is_due && !self.has_failed_over {
            self.has_failed_over = true;
            self.coordinator = self.scenario.daemons - 1;
            self.keeper = PermitKeeper::new(now);
        }
    }

    fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Requested { daemon } => self.on_request(daemon, now),
            Event::Asked {
                daemon,
                asked_at,
                shared,
            } => self.on_asked(daemon, asked_at, shared, now),
            Event::Permitted { daemon, asked_at } => {
                let permit = Some(asked_at);
                self.schedule_send(Event::Sending { daemon, permit }, now);
            }
            Event::Sending { daemon, permit } => self.on_sending(daemon, permit, now),
            Event::Arrived { daemon, sent_at } => self.on_arrival(daemon, sent_at, now),
            Event::Answered {
                daemon,
                sent_at,
                notice,
            } => self.on_answer(daemon, notice, sent_at, now),
            Event::Notified { daemon, shared } => self.on_notified(daemon, &shared, now),
        }
    }

    fn on_request(&mut self, daemon: usize, now: Timestamp) {
        if self.notices[daemon].rate_limit(&id()).is_none() {
            let permit = None;
            self.schedule_send(Event::Sending { daemon, permit }, now);
            return;
        }
        let shared = self.notices[daemon].shared(&id(), now);
        let event = Event::Asked {
            daemon,
            asked_at: now,
            shared,
        };
        self.send(now, event);
    }

    fn schedule_send(&mut self, event: Event, now: Timestamp) {
        let stall_interval = self.scenario.stall_interval;
        let stall_ms = if self.events.draw(stall_interval) == 0 {
            self.events.draw(2_000)
        } else {
            self.events.draw(10)
        };
        self.events
            .schedule(now + Duration::from_millis(stall_ms), event);
    }

    fn on_asked(
        &mut self,
        daemon: usize,
        asked_at: Timestamp,
        shared: Option<SharedNotice>,
        now: Timestamp,
    ) {
        if let Some(shared) = shared {
            self.merge_as_coordinator(daemon, &shared, now);
        }
        let known = &self.notices[self.coordinator];
        if !known.has_reported_rate(&id()) {
            return;
        }
        let asked = PermitRequest {
            runner: &id(),
            rank: 0,
            cold: None,
            rate_limit: known.rate_limit(&id()),
        };
        if self.keeper.ask(&asked, now) == PermitDecision::Given {
            self.send(now, Event::Permitted { daemon, asked_at });
        }
    }

    fn on_sending(&mut self, daemon: usize, permit: Option<Timestamp>, now: Timestamp) {
        let is_unlimited = self.notices[daemon].rate_limit(&id()).is_none();
        let is_permitted = permit.is_some_and(|asked_at| now.since(asked_at) < PERMIT_LIFE);
        if is_unlimited || is_permitted {
            let sent_at = now;
            self.events
                .schedule(now, Event::Arrived { daemon, sent_at });
        }
    }

    fn on_arrival(&mut self, daemon: usize, sent_at: Timestamp, now: Timestamp) {
        self.arrived.push((now, daemon));
        let is_limited = (at(LIMITED_FROM)..at(LIMITED_UNTIL)).contains(&now);
        let reported = rate(f64::from(self.scenario.rate) / 1_000.0);
        let notice = notice_with_rate(is_limited.then_some(reported));
        let transit = self.transit();
        let event = Event::Answered {
            daemon,
            sent_at,
            notice,
        };
        self.events.schedule(now + transit, event);
    }

    fn on_answer(
        &mut self,
        daemon: usize,
        notice: RunnerNotice,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        if notice.rate_limit.is_some() {
            self.rate_seen_at[daemon].get_or_insert(now);
        }
        if !self.notices[daemon].apply_answer(&id(), notice, sent_at, now) {
            return;
        }
        let Some(shared) = self.notices[daemon].shared(&id(), now) else {
            return;
        };
        if daemon == self.coordinator {
            self.broadcast(&shared, now);
        } else {
            let daemon = self.coordinator;
            self.send(now, Event::Notified { daemon, shared });
        }
    }

    fn on_notified(&mut self, daemon: usize, shared: &SharedNotice, now: Timestamp) {
        if daemon == self.coordinator {
            self.merge_as_coordinator(daemon, shared, now);
        } else {
            self.notices[daemon].merge(shared, now, now);
        }
    }

    fn merge_as_coordinator(&mut self, from: usize, shared: &SharedNotice, now: Timestamp) {
        let heard = self.notices[self.coordinator].merge(shared, now, now);
        let Some(known) = self.notices[self.coordinator].shared(&id(), now) else {
            return;
        };
        match heard {
            NoticeUpdate::Changed => self.broadcast(&known, now),
            NoticeUpdate::SenderOutdated => {
                let event = Event::Notified {
                    daemon: from,
                    shared: known,
                };
                self.send(now, event);
            }
            NoticeUpdate::Unchanged => {}
        }
    }

    fn broadcast(&mut self, shared: &SharedNotice, now: Timestamp) {
        let coordinator = self.coordinator;
        for daemon in (0..self.scenario.daemons).filter(|daemon| *daemon != coordinator) {
            let shared = shared.clone();
            self.send(now, Event::Notified { daemon, shared });
        }
    }

    /// The maximum number of arrivals in any interval while the runner reports its rate, from daemons that know of it.
    fn max_in_window(&self) -> usize {
        let Some(first_told) = self.rate_seen_at.iter().flatten().min() else {
            return 0;
        };
        let from = *first_told + GRACE;
        let was_told = |at: Timestamp, daemon: usize| {
            self.rate_seen_at[daemon].is_some_and(|rate_seen_at| at >= rate_seen_at + REACTION_TIME)
        };
        let counted = self.arrived.iter();
        let counted = counted.filter(|(arrived, daemon)| {
            *arrived >= from && *arrived < at(LIMITED_UNTIL) && was_told(*arrived, *daemon)
        });
        most_within(counted.map(|(arrived, _)| *arrived), RUNNER_WINDOW)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_bound(scenario in scenario()) {
        let mut simulation = Simulation::new(scenario);
        simulation.run();
        let max_in_window = simulation.max_in_window();
        let per_second = f64::from(simulation.scenario.rate) / 1_000.0;
        let bound = per_second * RUNNER_WINDOW.as_secs_f64() * RATE_FACTOR + SLACK - CALLS;
        #[allow(clippy::cast_precision_loss)]
        let is_within = max_in_window as f64 <= bound;
        prop_assert!(is_within, "{max_in_window} of {bound}: {:?}", simulation.scenario);
    }

    /// A daemon learns of it from its next answer at the latest, which it gets within the rate; with enough requests
    /// and without message loss that happens before the end of the run.
    #[test]
    fn all_daemons_learn_that_the_rate_limit_has_ended(
        seed in any::<u64>(), rate in 500..4_000_u32, daemons in 1..20_usize
    ) {
        let scenario = Scenario {
            seed,
            daemons,
            rate,
            demand: 50,
            loss: u64::MAX,
            max_delay_ms: 10,
            stall_interval: u64::MAX,
            failover_at_ms: None,
        };
        let mut simulation = Simulation::new(scenario);
        simulation.run();
        let believes = simulation.notices.iter().filter(|it| it.rate_limit(&id()).is_some());
        prop_assert_eq!(believes.count(), 0);
    }
}

/// Addresses are not needed here, but the message that carries a notice has one.
#[test]
fn notices_round_trip_as_a_message() {
    use flaxward_routing::encoding::Encoding;
    use flaxward_routing::messages::Message;
    use flaxward_routing::notices::RunnerNotices;
    let message = Message::RunnerNotices(RunnerNotices {
        from: SocketAddr::from(([10, 0, 0, 1], 7_080)),
        notices: vec![SharedNotice {
            runner: id(),
            leaves: true,
            rate: Some(SharedRate {
                rate_limit: Some(rate(1.6)),
                age_ms: 40,
            }),
        }],
    });
    let mut encoding = Encoding::default();
    assert_eq!(
        encoding.decode(&encoding.clone().encode(&message)),
        Ok(message)
    );
}
