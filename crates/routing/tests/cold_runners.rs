//! Cold runners and a fleet of daemons, in virtual time: messages are delayed or lost, daemons freeze between the
//! permit and the send, the coordinator changes, and cold periods start before any daemon knows of them. In every case,
//! a cold runner gets no more requests in any second than the operators allow; and while messages get through no
//! request below its rate is refused.

mod virtual_time;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::cold::periods::ColdPeriods;
use flaxward_routing::cold::{ColdBound, ColdRunnerSettings, ColdStart, PROPAGATION_DELAY, WINDOW};
use flaxward_routing::names::{RunnerId, ServiceName, Zone};
use flaxward_routing::permits::keeper::{ColdPeriod, PermitKeeper, PermitRequest};
use flaxward_routing::permits::{PERMIT_LIFE, PermitDecision};
use flaxward_routing::runners::Runner;
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use virtual_time::{Events, most_within};

const STEP: Duration = Duration::from_millis(5);
const SECOND: Duration = Duration::from_secs(1);
const RATE: f64 = 10.0;
const RATE_FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Permits in any window: the rate times its factor.
const PERMITS: usize = 15;
/// Length of the runner's cold period.
const COLD_PERIOD: Duration = Duration::from_secs(4);
const LEASE: Duration = Duration::from_secs(3);

fn bound() -> ColdBound {
    let cold_start = ColdStart {
        duration: COLD_PERIOD,
        requests_per_second: RATE,
    };
    let settings = ColdRunnerSettings {
        rate_factor: RATE_FACTOR,
        slack: SLACK,
    };
    ColdBound::new(cold_start, settings)
}

fn id() -> RunnerId {
    RunnerId::new("r")
}

fn at(ms: u64) -> Timestamp {
    Timestamp(ms)
}

/// The entry of the runner at a revision.
fn entry(revision: u64, cold_for: Duration) -> Runner {
    Runner {
        id: id(),
        revision,
        service: ServiceName::new("pool"),
        software_version: None,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Zone::new("z"),
        slots: 8,
        draining: false,
        leaves_in: None,
        cold_for,
        holdings: BTreeMap::new(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

/// Requests a permit for a cold runner.
fn ask(
    keeper: &mut PermitKeeper,
    started_at: Option<Timestamp>,
    rank: u8,
    now: Timestamp,
) -> PermitDecision {
    let period = ColdPeriod {
        bound: bound(),
        started_at,
    };
    let asked = PermitRequest {
        runner: &id(),
        rank,
        cold: Some(period),
        rate_limit: None,
    };
    keeper.ask(&asked, now)
}

fn is_given(decision: PermitDecision) -> bool {
    decision == PermitDecision::Given
}

#[test]
fn a_cold_period_ends_by_the_clock_and_a_later_entry_starts_another() {
    let mut periods = ColdPeriods::default();
    assert!(periods.update(&entry(5, COLD_PERIOD), at(1_000)).is_some());
    assert!(periods.is_cold(&id(), at(4_999)));
    assert!(!periods.is_cold(&id(), at(5_000)));
    // The same entry, read again, changes nothing.
    assert!(periods.update(&entry(5, COLD_PERIOD), at(6_000)).is_none());
    assert!(!periods.is_cold(&id(), at(6_000)));
    assert_eq!(periods.take_ended(at(6_000)).len(), 1);
    assert!(periods.take_ended(at(6_000)).is_empty());
    // A later entry with the same length starts another period.
    assert!(periods.update(&entry(7, COLD_PERIOD), at(7_000)).is_some());
    assert!(periods.is_cold(&id(), at(10_999)));
    // An entry that reports the runner as warm ends it.
    periods.update(&entry(8, Duration::ZERO), at(8_000));
    assert!(!periods.is_cold(&id(), at(8_001)));
}

#[test]
fn later_entries_of_a_cold_period_do_not_start_another() {
    let mut periods = ColdPeriods::default();
    periods.update(&entry(1, COLD_PERIOD), at(1_000));
    let later = entry(2, COLD_PERIOD - Duration::from_millis(900));
    assert!(periods.update(&later, at(2_000)).is_none());
    assert_eq!(periods.started_at(&id(), at(2_000)), Some(at(1_000)));
    assert_eq!(periods.ends_at(&id()), Some(at(5_100)));
}

#[test]
fn a_suspected_runner_is_cold_for_a_whole_period_whatever_its_entry_says() {
    let mut periods = ColdPeriods::default();
    let runner = entry(1, Duration::ZERO);
    assert!(periods.update(&runner, at(500)).is_none());
    periods.mark_suspected(&runner, COLD_PERIOD, at(1_000));
    periods.update(&entry(2, Duration::ZERO), at(1_500));
    assert!(periods.is_cold(&id(), at(4_999)));
    assert!(!periods.is_cold(&id(), at(5_000)));
}

#[test]
fn a_new_keeper_issues_no_permits_for_one_window() {
    let mut keeper = PermitKeeper::new(at(1_000));
    let early = at(1_000) + WINDOW - STEP;
    let decision = ask(&mut keeper, Some(at(0)), 0, early);
    assert_eq!(decision, PermitDecision::Refused { room_in_ms: 5 });
    assert!(is_given(ask(
        &mut keeper,
        Some(at(0)),
        0,
        at(1_000) + WINDOW
    )));
}

#[test]
fn the_first_window_of_a_cold_period_leaves_room_for_requests_without_permits() {
    let mut keeper = PermitKeeper::new(at(0));
    let now = at(5_000);
    let given = (0..40).filter(|_| is_given(ask(&mut keeper, Some(now), 0, now)));
    assert_eq!(given.count(), 13);
    let later = now + PROPAGATION_DELAY + WINDOW;
    let given = (0..40).filter(|_| is_given(ask(&mut keeper, Some(now), 0, later)));
    assert_eq!(given.count(), 15);
}

#[test]
fn permits_above_the_rate_are_reserved_for_urgent_ranks() {
    let mut keeper = PermitKeeper::new(at(0));
    let (started, now) = (Some(at(0)), at(5_000));
    let mut given = |rank| {
        let asked = (0..40).filter(|_| is_given(ask(&mut keeper, started, rank, now)));
        asked.count()
    };
    assert_eq!(given(3), 13);
    assert_eq!(given(0), 2);
}

#[test]
fn each_refused_request_gets_its_own_retry_time() {
    let mut keeper = PermitKeeper::new(at(0));
    let mut retry_times = Vec::new();
    for index in 0..40 {
        let now = at(5_000 + index * 10);
        match ask(&mut keeper, Some(at(0)), 0, now) {
            PermitDecision::Given => {}
            PermitDecision::Refused { room_in_ms } => {
                retry_times.push(now + Duration::from_millis(u64::from(room_in_ms)));
            }
        }
    }
    assert_eq!(retry_times.len(), 25);
    assert!(
        retry_times.is_sorted_by(|left, right| left < right),
        "{retry_times:?}"
    );
}

/// The parameters of one simulated run.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    /// Requests per second at all daemons for the runner, once it is known to be cold.
    demand: f64,
    /// Requests that are sent before the period is known.
    unpermitted: usize,
    /// Time until the last daemon knows of the period, in ms.
    propagation_ms: u64,
    /// One in this many messages is lost.
    loss: u64,
    /// Maximum delay of a message, in ms.
    max_delay_ms: u64,
    /// One in this many sends is delayed by a freeze.
    stall_interval: u64,
    /// When the coordinator is lost, in ms after the start of the period, if it is.
    failover_at_ms: Option<u64>,
    /// The lost coordinator was only frozen, and answers the messages that arrived in the meantime.
    resumes: bool,
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let fleet = (any::<u64>(), 1.0..200.0_f64, 0..=7_usize, 0..700_u64);
    let faults = (2..20_u64, 1..60_u64, 2..20_u64);
    let failover_at_ms = (proptest::option::of(0..4_000_u64), any::<bool>());
    (fleet, faults, failover_at_ms).prop_map(|(fleet, faults, failover_at_ms)| Scenario {
        seed: fleet.0,
        demand: fleet.1,
        unpermitted: fleet.2,
        propagation_ms: fleet.3,
        loss: faults.0,
        max_delay_ms: faults.1,
        stall_interval: faults.2,
        failover_at_ms: failover_at_ms.0,
        resumes: failover_at_ms.1,
    })
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request for the runner arrives at a daemon.
    Requested { rank: u8 },
    /// A question reaches a keeper.
    Asked {
        rank: u8,
        asked_at: Timestamp,
        keeper: usize,
    },
    /// A permit reaches a daemon.
    Permitted { asked_at: Timestamp },
    /// A daemon, possibly delayed by a freeze, sends the request if its permit is still valid.
    Sending { asked_at: Timestamp },
}

struct Simulation {
    scenario: Scenario,
    events: Events<Event>,
    keepers: Vec<PermitKeeper>,
    /// Start and end of each keeper's lease.
    terms: Vec<(Timestamp, Timestamp)>,
    sent: VecDeque<Timestamp>,
    refused: usize,
    period_started_at: Timestamp,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let period_started_at = at(10_000);
        let end = period_started_at + COLD_PERIOD * 4;
        let (mut keepers, mut terms) = (vec![PermitKeeper::new(at(0))], vec![(at(0), end)]);
        if let Some(lost_in_ms) = scenario.failover_at_ms {
            let lost_at = period_started_at + Duration::from_millis(lost_in_ms);
            // A keeper that was only frozen finds its lease expired; its successor starts after that.
            let ended_at = if scenario.resumes {
                lost_at + LEASE / 2
            } else {
                lost_at
            };
            terms[0].1 = ended_at;
            terms.push((ended_at, end));
            keepers.push(PermitKeeper::new(ended_at));
        }
        Self {
            events: Events::new(scenario.seed),
            scenario,
            keepers,
            terms,
            sent: VecDeque::new(),
            refused: 0,
            period_started_at,
        }
    }

    fn transit(&mut self) -> Option<Duration> {
        let (loss, max_delay_ms) = (self.scenario.loss, self.scenario.max_delay_ms);
        let is_lost = self.events.draw(loss) == 0;
        let time = Duration::from_millis(self.events.draw(max_delay_ms) + 1);
        (!is_lost).then_some(time)
    }

    fn run(&mut self) {
        self.send_unpermitted();
        let known_at = self.period_started_at + Duration::from_millis(self.scenario.propagation_ms);
        let interval = Duration::from_secs_f64(1.0 / self.scenario.demand);
        let mut next = known_at;
        while next < self.period_started_at + COLD_PERIOD * 2 {
            let rank = u8::try_from(self.events.draw(4)).unwrap();
            self.events.schedule(next, Event::Requested { rank });
            next = next + interval.max(Duration::from_millis(1));
        }
        while let Some((now, event)) = self.events.next() {
            self.handle(event, now);
        }
    }

    /// Sends the requests of daemons that do not know of the period.
    fn send_unpermitted(&mut self) {
        for _ in 0..self.scenario.unpermitted {
            let propagation_ms = self.scenario.propagation_ms;
            let after = Duration::from_millis(self.events.draw(propagation_ms));
            self.sent.push_back(self.period_started_at + after);
        }
    }

    fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Requested { rank } => {
                // Some daemons still ask the old keeper, or already its successor.
                let keepers = self.keepers.len() as u64;
                let keeper = usize::try_from(self.events.draw(keepers)).unwrap();
                let Some(transit) = self.transit() else {
                    return;
                };
                let asked = Event::Asked {
                    rank,
                    asked_at: now,
                    keeper,
                };
                self.events.schedule(now + transit, asked);
            }
            Event::Asked {
                rank,
                asked_at,
                keeper,
            } => {
                let (from, until) = self.terms[keeper];
                if now < from || now >= until {
                    return;
                }
                let heard_at = self.period_started_at;
                let decision = ask(&mut self.keepers[keeper], Some(heard_at), rank, now);
                let Some(transit) = self.transit() else {
                    return;
                };
                match decision {
                    PermitDecision::Given => {
                        self.events
                            .schedule(now + transit, Event::Permitted { asked_at });
                    }
                    PermitDecision::Refused { .. } => self.refused += 1,
                }
            }
            Event::Permitted { asked_at } => {
                let stall_interval = self.scenario.stall_interval;
                let stall_ms = if self.events.draw(stall_interval) == 0 {
                    self.events.draw(2_000)
                } else {
                    self.events.draw(20)
                };
                self.events.schedule(
                    now + Duration::from_millis(stall_ms),
                    Event::Sending { asked_at },
                );
            }
            Event::Sending { asked_at } => {
                if now.since(asked_at) < PERMIT_LIFE {
                    self.sent.push_back(now);
                }
            }
        }
    }

    /// The maximum number of requests in any second from a given time on.
    fn max_after(&self, begin: Timestamp) -> usize {
        let sent = self.sent.iter().copied();
        most_within(sent.filter(|&at| at >= begin), SECOND)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// The slack of the bound and the permits that the keeper withholds at first, 5 and 2, cover the requests that are
    /// sent before the period is known: 7.
    #[test]
    fn no_second_exceeds_the_bound(scenario in scenario()) {
        let mut simulation = Simulation::new(scenario);
        simulation.run();
        let most = simulation.max_after(simulation.period_started_at);
        #[allow(clippy::cast_precision_loss)]
        let is_within = most as f64 <= bound().max_requests();
        prop_assert!(is_within, "{most} in a second: {:?}", simulation.scenario);
        // Once all daemons know of the period, the slack is not used. The last request without a permit may be sent at
        // the very moment at which the period becomes known; the first one with a permit is sent one message delay
        // later.
        let known_at = simulation.period_started_at + Duration::from_millis(simulation.scenario.propagation_ms + 1);
        let most = simulation.max_after(known_at);
        prop_assert!(most <= PERMITS, "{most} in a second: {:?}", simulation.scenario);
    }

    #[test]
    fn below_the_rate_nothing_is_refused(
        seed in any::<u64>(), demand in 1.0..10.0_f64
    ) {
        let mut simulation = Simulation::new(Scenario {
            seed,
            demand,
            unpermitted: 0,
            propagation_ms: 0,
            loss: u64::MAX,
            max_delay_ms: 10,
            stall_interval: u64::MAX,
            failover_at_ms: None,
            resumes: false,
        });
        simulation.run();
        prop_assert_eq!(simulation.refused, 0);
    }
}
