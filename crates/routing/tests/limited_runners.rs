//! A runner that names a rate before a fleet of daemons, in virtual time: messages are late or lost, daemons freeze between
//! the permit and the send, the coordinator changes, answers overtake one another. Whatever happens, daemons that have
//! passed on an answer with the rate send no more together than operators allow; and once the runner names no rate any more,
//! all daemons come to know it.

mod virtual_time;

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::names::RunnerId;
use flaxward_routing::notices::{Heard, Notices, RunnerNotice, SharedNotice, SharedRate};
use flaxward_routing::permits::keeper::{Asked, PermitKeeper};
use flaxward_routing::permits::{PERMIT_LIFE, PermitDecision};
use flaxward_routing::rate_limit::{FIRST_PERMITS, RequestRate, WINDOW};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use virtual_time::{Events, most_within};

/// Time over which operators bound what a runner gets from daemons that were told.
const SPAN: Duration = Duration::from_secs(4);
/// Times its rate, and requests beyond that.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Calls of coordinators within a span, which count too.
const CALLS: f64 = 2.0;
/// Time after its first answer that names a rate until the bound holds.
const GRACE: Duration = Duration::from_secs(3);
/// Time after it was told from which a daemon's requests count.
const TOLD: Duration = Duration::from_millis(500);

fn id() -> RunnerId {
    RunnerId::new("r")
}

fn at(ms: u64) -> Timestamp {
    Timestamp(ms)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).unwrap()
}

fn names(rate_limit: Option<RequestRate>) -> RunnerNotice {
    RunnerNotice {
        rate_limit,
        ..RunnerNotice::default()
    }
}

fn ask(keeper: &mut PermitKeeper, rate: RequestRate, rank: u8, now: Timestamp) -> PermitDecision {
    let asked = Asked {
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
fn a_window_holds_what_the_rate_allows() {
    let now = at(60_000);
    for (per_second, expected) in [(0.0, 1), (0.3, 1), (1.0, 4), (1.6, 6), (5.0, 21)] {
        let mut keeper = PermitKeeper::new(at(0));
        let count = given(&mut keeper, rate(per_second), 0, now);
        assert_eq!(count, expected, "{per_second}");
        assert_eq!(given(&mut keeper, rate(per_second), 0, now + WINDOW), count);
    }
}

#[test]
fn some_of_the_rate_is_kept_for_urgent_requests() {
    let mut keeper = PermitKeeper::new(at(0));
    let now = at(60_000);
    assert_eq!(given(&mut keeper, rate(2.0), 3, now), 6);
    assert_eq!(given(&mut keeper, rate(2.0), 0, now), 2);
}

#[test]
fn a_new_keeper_reckons_with_what_its_predecessor_gave() {
    let mut keeper = PermitKeeper::new(at(0));
    assert_eq!(given(&mut keeper, rate(1.6), 0, at(100)), FIRST_PERMITS);
}

#[test]
fn nobody_is_promised_room_when_all_have_given_up() {
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
    assert!(!notices.take_in(&id(), names(None), at(0), at(10)));
    assert!(notices.take_in(&id(), names(Some(rate(1.0))), at(900), at(1_000)));
    // An answer that was made before and came later.
    assert!(!notices.take_in(&id(), names(None), at(950), at(1_100)));
    assert_eq!(notices.rate_limit(&id()), Some(rate(1.0)));
    assert!(notices.take_in(&id(), names(None), at(1_200), at(1_300)));
    assert_eq!(notices.rate_limit(&id()), None);
}

#[test]
fn who_believes_what_has_changed_since_is_corrected() {
    let told = |rate_limit, age_ms| SharedNotice {
        runner: id(),
        leaves: false,
        rate: Some(SharedRate { rate_limit, age_ms }),
    };
    let mut notices = Notices::default();
    assert_eq!(
        notices.hear(&told(Some(rate(1.0)), 100), at(5_000), at(5_000)),
        Heard::News
    );
    assert_eq!(
        notices.hear(&told(Some(rate(1.0)), 50), at(5_000), at(5_000)),
        Heard::Known
    );
    assert_eq!(
        notices.hear(&told(None, 0), at(6_000), at(6_000)),
        Heard::News
    );
    let outdated = notices.hear(&told(Some(rate(1.0)), 2_000), at(7_000), at(7_000));
    assert_eq!(outdated, Heard::Outdated);
    let correction = notices.shared(&id(), at(7_000));
    assert_eq!(correction, Some(told(None, 1_000)));
}

/// A coordinator that was frozen reads seconds later that a rate is over, and the runner has named another one meanwhile.
#[test]
fn a_message_that_was_held_up_ends_no_rate_that_was_named_after_it() {
    let over = SharedNotice {
        runner: id(),
        leaves: false,
        rate: Some(SharedRate {
            rate_limit: None,
            age_ms: 0,
        }),
    };
    let mut notices = Notices::default();
    notices.take_in(&id(), names(Some(rate(1.0))), at(4_900), at(5_000));
    assert_eq!(notices.hear(&over, at(4_000), at(7_000)), Heard::Outdated);
    assert_eq!(notices.rate_limit(&id()), Some(rate(1.0)));
}

/// What happens in one trial.
#[derive(Clone, Debug)]
struct Trouble {
    seed: u64,
    daemons: usize,
    /// What the runner takes, in thousandths of a request a second.
    rate: u32,
    /// Requests a second at all daemons.
    demand: u64,
    /// One message in so many is lost.
    loss: u64,
    /// Longest time of a message or an answer, in ms.
    delay: u64,
    /// One send in so many freezes before it.
    freezes: u64,
    /// When the coordinator changes, in ms.
    succession: Option<u64>,
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let fleet = (any::<u64>(), 1..40_usize, 0..4_000_u32, 1..100_u64);
    let faults = (2..20_u64, 1..60_u64, 2..20_u64);
    let succession = proptest::option::of(0..20_000_u64);
    (fleet, faults, succession).prop_map(|(fleet, faults, succession)| Trouble {
        seed: fleet.0,
        daemons: fleet.1,
        rate: fleet.2,
        demand: fleet.3,
        loss: faults.0,
        delay: faults.1,
        freezes: faults.2,
        succession,
    })
}

/// Times of a trial: requests go on from the first to the last; the runner names a rate between the other two.
const END: u64 = 30_000;
const NAMED_FROM: u64 = 2_000;
const NAMED_UNTIL: u64 = 20_000;

#[derive(Clone, Debug)]
enum Event {
    /// A daemon gets a request.
    Wants { daemon: usize },
    /// A question reaches the coordinator, behind what the daemon knows of the runner.
    Asks {
        daemon: usize,
        asked_at: Timestamp,
        told: Option<SharedNotice>,
    },
    /// A permit reaches a daemon.
    Permitted { daemon: usize, asked_at: Timestamp },
    /// A daemon sends a request, if it still may.
    Sends {
        daemon: usize,
        permit: Option<Timestamp>,
    },
    /// The runner gets a request.
    Arrives { daemon: usize, sent_at: Timestamp },
    /// An answer reaches a daemon.
    Answers {
        daemon: usize,
        sent_at: Timestamp,
        notice: RunnerNotice,
    },
    /// A daemon hears what another one knows.
    Hears { daemon: usize, told: SharedNotice },
}

struct World {
    trouble: Trouble,
    events: Events<Event>,
    notices: Vec<Notices>,
    /// When each daemon first passed on an answer that named the rate.
    told_at: Vec<Option<Timestamp>>,
    keeper: PermitKeeper,
    coordinator: usize,
    has_changed: bool,
    /// When requests arrived, and from whom.
    arrived: Vec<(Timestamp, usize)>,
}

impl World {
    fn new(trouble: Trouble) -> Self {
        let daemons = trouble.daemons;
        Self {
            events: Events::new(trouble.seed),
            notices: (0..daemons).map(|_| Notices::default()).collect(),
            told_at: vec![None; daemons],
            keeper: PermitKeeper::new(at(0)),
            coordinator: 0,
            has_changed: false,
            arrived: Vec::new(),
            trouble,
        }
    }

    /// Time of an answer, or of a message that is not lost.
    fn travel(&mut self) -> Duration {
        let delay = self.trouble.delay;
        Duration::from_millis(self.events.draw(delay) + 1)
    }

    fn send(&mut self, now: Timestamp, event: Event) {
        let loss = self.trouble.loss;
        if self.events.draw(loss) > 0 {
            let travel = self.travel();
            self.events.schedule(now + travel, event);
        }
    }

    fn run(&mut self) {
        let pause = (1_000 / self.trouble.demand).max(1);
        for begun in (0..END).step_by(usize::try_from(pause).unwrap()) {
            let daemons = self.trouble.daemons as u64;
            let daemon = usize::try_from(self.events.draw(daemons)).unwrap();
            self.events.schedule(at(begun), Event::Wants { daemon });
        }
        while let Some((now, event)) = self.events.next() {
            self.change_coordinator(now);
            self.happens(event, now);
        }
    }

    fn change_coordinator(&mut self, now: Timestamp) {
        let is_due = self.trouble.succession.is_some_and(|due| now >= at(due));
        if is_due && !self.has_changed {
            self.has_changed = true;
            self.coordinator = self.trouble.daemons - 1;
            self.keeper = PermitKeeper::new(now);
        }
    }

    fn happens(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Wants { daemon } => self.wants(daemon, now),
            Event::Asks {
                daemon,
                asked_at,
                told,
            } => self.asks(daemon, asked_at, told, now),
            Event::Permitted { daemon, asked_at } => {
                let permit = Some(asked_at);
                self.sends_soon(Event::Sends { daemon, permit }, now);
            }
            Event::Sends { daemon, permit } => self.sends(daemon, permit, now),
            Event::Arrives { daemon, sent_at } => self.arrives(daemon, sent_at, now),
            Event::Answers {
                daemon,
                sent_at,
                notice,
            } => self.answers(daemon, notice, sent_at, now),
            Event::Hears { daemon, told } => self.hears(daemon, &told, now),
        }
    }

    fn wants(&mut self, daemon: usize, now: Timestamp) {
        if self.notices[daemon].rate_limit(&id()).is_none() {
            let permit = None;
            self.sends_soon(Event::Sends { daemon, permit }, now);
            return;
        }
        let told = self.notices[daemon].shared(&id(), now);
        let event = Event::Asks {
            daemon,
            asked_at: now,
            told,
        };
        self.send(now, event);
    }

    fn sends_soon(&mut self, event: Event, now: Timestamp) {
        let freezes = self.trouble.freezes;
        let frozen = if self.events.draw(freezes) == 0 {
            self.events.draw(2_000)
        } else {
            self.events.draw(10)
        };
        self.events
            .schedule(now + Duration::from_millis(frozen), event);
    }

    fn asks(
        &mut self,
        daemon: usize,
        asked_at: Timestamp,
        told: Option<SharedNotice>,
        now: Timestamp,
    ) {
        if let Some(told) = told {
            self.hears_as_coordinator(daemon, &told, now);
        }
        let known = &self.notices[self.coordinator];
        if !known.has_named_rate(&id()) {
            return;
        }
        let asked = Asked {
            runner: &id(),
            rank: 0,
            cold: None,
            rate_limit: known.rate_limit(&id()),
        };
        if self.keeper.ask(&asked, now) == PermitDecision::Given {
            self.send(now, Event::Permitted { daemon, asked_at });
        }
    }

    fn sends(&mut self, daemon: usize, permit: Option<Timestamp>, now: Timestamp) {
        let is_free = self.notices[daemon].rate_limit(&id()).is_none();
        let is_permitted = permit.is_some_and(|asked_at| now.since(asked_at) < PERMIT_LIFE);
        if is_free || is_permitted {
            let sent_at = now;
            self.events
                .schedule(now, Event::Arrives { daemon, sent_at });
        }
    }

    fn arrives(&mut self, daemon: usize, sent_at: Timestamp, now: Timestamp) {
        self.arrived.push((now, daemon));
        let is_named = (at(NAMED_FROM)..at(NAMED_UNTIL)).contains(&now);
        let named = rate(f64::from(self.trouble.rate) / 1_000.0);
        let notice = names(is_named.then_some(named));
        let travel = self.travel();
        let event = Event::Answers {
            daemon,
            sent_at,
            notice,
        };
        self.events.schedule(now + travel, event);
    }

    fn answers(&mut self, daemon: usize, notice: RunnerNotice, sent_at: Timestamp, now: Timestamp) {
        if notice.rate_limit.is_some() {
            self.told_at[daemon].get_or_insert(now);
        }
        if !self.notices[daemon].take_in(&id(), notice, sent_at, now) {
            return;
        }
        let Some(told) = self.notices[daemon].shared(&id(), now) else {
            return;
        };
        if daemon == self.coordinator {
            self.tell_all(&told, now);
        } else {
            let daemon = self.coordinator;
            self.send(now, Event::Hears { daemon, told });
        }
    }

    fn hears(&mut self, daemon: usize, told: &SharedNotice, now: Timestamp) {
        if daemon == self.coordinator {
            self.hears_as_coordinator(daemon, told, now);
        } else {
            self.notices[daemon].hear(told, now, now);
        }
    }

    fn hears_as_coordinator(&mut self, from: usize, told: &SharedNotice, now: Timestamp) {
        let heard = self.notices[self.coordinator].hear(told, now, now);
        let Some(known) = self.notices[self.coordinator].shared(&id(), now) else {
            return;
        };
        match heard {
            Heard::News => self.tell_all(&known, now),
            Heard::Outdated => {
                let event = Event::Hears {
                    daemon: from,
                    told: known,
                };
                self.send(now, event);
            }
            Heard::Known => {}
        }
    }

    fn tell_all(&mut self, told: &SharedNotice, now: Timestamp) {
        let coordinator = self.coordinator;
        for daemon in (0..self.trouble.daemons).filter(|daemon| *daemon != coordinator) {
            let told = told.clone();
            self.send(now, Event::Hears { daemon, told });
        }
    }

    /// The most arrivals in any span while the runner names its rate, from daemons that had been told.
    fn most(&self) -> usize {
        let Some(first_told) = self.told_at.iter().flatten().min() else {
            return 0;
        };
        let from = *first_told + GRACE;
        let was_told = |at: Timestamp, daemon: usize| {
            self.told_at[daemon].is_some_and(|told_at| at >= told_at + TOLD)
        };
        let counted = self.arrived.iter();
        let counted = counted.filter(|(arrived, daemon)| {
            *arrived >= from && *arrived < at(NAMED_UNTIL) && was_told(*arrived, *daemon)
        });
        most_within(counted.map(|(arrived, _)| *arrived), SPAN)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn no_span_holds_more_than_the_bound(trouble in trouble()) {
        let mut world = World::new(trouble);
        world.run();
        let most = world.most();
        let per_second = f64::from(world.trouble.rate) / 1_000.0;
        let bound = per_second * SPAN.as_secs_f64() * FACTOR + SLACK - CALLS;
        #[allow(clippy::cast_precision_loss)]
        let is_within = most as f64 <= bound;
        prop_assert!(is_within, "{most} of {bound}: {:?}", world.trouble);
    }

    /// A daemon learns it from its next answer at the latest, which it gets within the rate; with enough requests and
    /// without losses that is before the end.
    #[test]
    fn all_come_to_know_that_the_rate_is_over(seed in any::<u64>(), rate in 500..4_000_u32, daemons in 1..20_usize) {
        let trouble = Trouble {
            seed,
            daemons,
            rate,
            demand: 50,
            loss: u64::MAX,
            delay: 10,
            freezes: u64::MAX,
            succession: None,
        };
        let mut world = World::new(trouble);
        world.run();
        let believes = world.notices.iter().filter(|it| it.rate_limit(&id()).is_some());
        prop_assert_eq!(believes.count(), 0);
    }
}

/// Addresses are not needed here, but the message that carries a notice has one.
#[test]
fn notices_pass_as_a_message() {
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
