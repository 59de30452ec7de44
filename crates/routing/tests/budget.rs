//! The retry budget of a fleet of daemons, in virtual time: daemons are killed and start again, lose the coordinator,
//! and take over each other's callers, while runners fail requests. In every window, the retries of all daemons are
//! within the budget that the operators set.

use std::time::Duration;

use flaxward_routing::budget::{RetryBudget, RetryBudgetSettings};
use flaxward_routing::names::ServiceName;
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u32 = 0x0f1a_0053;
const RATIO: f64 = 0.2;
const ALLOWANCE: f64 = 52.0;
const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(50);
/// After this time with a coordinator and without a fault, every daemon has its whole part.
const SETTLED: Duration = Duration::from_secs(60);

/// More cases and other seeds by hand: `FLAXWARD_PROPTEST_CASES`, `FLAXWARD_PROPTEST_SEED`.
fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    ProptestConfig {
        cases: number("FLAXWARD_PROPTEST_CASES").unwrap_or(256),
        rng_seed: RngSeed::Fixed(number("FLAXWARD_PROPTEST_SEED").unwrap_or(SEED).into()),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn settings(allowance: f64) -> RetryBudgetSettings {
    RetryBudgetSettings {
        ratio: RATIO,
        allowance,
        window: WINDOW,
    }
}

fn service() -> ServiceName {
    ServiceName::new("pool")
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs_f64(seconds)
}

/// One life of a daemon.
struct Daemon {
    budget: RetryBudget,
}

impl Daemon {
    fn start(allowance: f64) -> Self {
        Self {
            budget: RetryBudget::new(settings(allowance)),
        }
    }

    /// A daemon that has heard a coordinator count `daemons` daemons for a long time until `now`.
    fn settled(daemons: usize, now: Timestamp) -> Self {
        let mut daemon = Self::start(ALLOWANCE);
        let mut time = now - SETTLED;
        while time < now {
            daemon.hear(daemons, time);
            time = time + Duration::from_millis(500);
        }
        daemon
    }

    fn hear(&mut self, daemons: usize, now: Timestamp) {
        self.budget.record_daemons(daemons, now);
    }

    fn request(&mut self, now: Timestamp) {
        self.budget.count_request(&service(), now);
    }

    fn retry(&mut self, now: Timestamp) -> bool {
        self.budget.try_retry(&service(), now).is_granted
    }

    /// Asks for `wanted` retries at once, and returns how many were granted.
    fn retries(&mut self, wanted: usize, now: Timestamp) -> usize {
        (0..wanted).filter(|_| self.retry(now)).count()
    }
}

fn daemons(count: usize, now: Timestamp) -> Vec<Daemon> {
    (0..count).map(|_| Daemon::settled(count, now)).collect()
}

/// Guards against daemons that each take their part of the allowance anew after a restart.
#[test]
fn restarted_daemons_do_not_spend_the_allowance_again() {
    let now = at(100.0);
    let mut granted = 0;
    for life in 0..5_u32 {
        let started_at = now + Duration::from_secs(2) * life;
        for _ in 0..6 {
            let mut daemon = if life == 0 {
                Daemon::settled(6, now)
            } else {
                Daemon::start(ALLOWANCE)
            };
            daemon.hear(6, started_at);
            granted += daemon.retries(100, started_at + Duration::from_millis(100));
        }
    }
    assert!(granted as f64 <= ALLOWANCE, "{granted} retries");
}

/// Guards against survivors that take over the part of daemons whose retries are still in the window.
#[test]
fn survivors_do_not_spend_the_allowance_of_daemons_that_have_just_died() {
    let mut fleet = daemons(6, at(100.0));
    let mut granted = 0;
    for daemon in &mut fleet {
        granted += daemon.retries(100, at(100.0));
    }
    for daemon in &mut fleet[..2] {
        daemon.hear(2, at(104.0));
        granted += daemon.retries(100, at(104.1));
    }
    assert!(granted as f64 <= ALLOWANCE, "{granted} retries");
}

/// Guards against an allowance that is spent from full buckets and again by what flows into them in the same window.
#[test]
fn in_a_window_no_more_than_the_allowance_is_spent_of_it() {
    let mut fleet = daemons(6, at(100.0));
    let mut granted = 0;
    for step in 0..200_u32 {
        let now = at(100.0) + STEP * step;
        for daemon in &mut fleet {
            daemon.hear(6, now);
            granted += daemon.retries(100, now);
        }
    }
    assert!(granted as f64 <= ALLOWANCE, "{granted} retries");
}

/// Guards against a daemon that was cut off and goes on spending a part that others have been given.
#[test]
fn a_daemon_that_hears_no_coordinator_has_no_part_of_the_allowance() {
    let mut daemon = Daemon::settled(2, at(100.0));
    assert!(daemon.retry(at(104.0)));
    assert!(!daemon.retry(at(110.0)));
    // What it had left is not given back with the next word of a coordinator.
    daemon.hear(2, at(120.0));
    assert!(!daemon.retry(at(120.1)));
}

/// Guards against requests that move to another daemon and earn the retries that earlier ones have already paid for.
#[test]
fn callers_that_move_to_another_daemon_do_not_pay_for_retries_twice() {
    let mut left = Daemon::settled(2, at(90.0));
    let mut joined = Daemon::settled(2, at(90.0));
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..400_u32 {
        let now = at(90.0) + STEP * step;
        left.hear(2, now);
        joined.hear(2, now);
        let has_moved = now > at(100.0);
        let daemon = if has_moved { &mut joined } else { &mut left };
        for _ in 0..10 {
            requests.push(now);
            daemon.request(now);
        }
        if now >= at(100.0) {
            retries.extend((0..daemon.retries(500, now)).map(|_| now));
        }
    }
    check_all_windows(&requests, &retries, ALLOWANCE);
}

/// Guards against a budget that forbids retries: one service whose runners fail a few requests gets its retries.
#[test]
fn a_steady_share_of_failures_is_retried() {
    let mut daemon = Daemon::settled(6, at(90.0));
    for step in 0..400_u32 {
        let now = at(90.0) + STEP * step;
        daemon.hear(6, now);
        daemon.request(now);
        if step % 10 == 0 {
            assert!(daemon.retry(now), "no retry at {now:?}");
        }
    }
}

/// Guards against a budget that forbids retries: requests that break with their runner are retried at once.
#[test]
fn a_settled_fleet_retries_the_requests_that_break_with_a_runner() {
    let now = at(100.0);
    let mut fleet = daemons(6, now);
    let granted: usize = fleet.iter_mut().map(|it| it.retries(100, now)).sum();
    assert!(granted as f64 >= ALLOWANCE * 0.6, "{granted} retries");
}

/// Checks every window that ends with a retry. The requests are those of that window, of the one before it, or of the
/// one half a window earlier, whichever has the most: a retry may follow its request into the next window.
fn check_all_windows(requests: &[Timestamp], retries: &[Timestamp], allowance: f64) {
    let mut retries = retries.to_vec();
    retries.sort();
    let mut first = 0;
    for (last, &end) in retries.iter().enumerate() {
        while retries[first] + WINDOW <= end {
            first += 1;
        }
        let within = |end: Timestamp| {
            let until = requests.partition_point(|&it| it <= end);
            let from = requests.partition_point(|&it| it + WINDOW <= end);
            until - from
        };
        let counted = within(end)
            .max(within(end - WINDOW / 2))
            .max(within(end - WINDOW));
        let allowed = RATIO * counted as f64 + allowance;
        let sent = last + 1 - first;
        assert!(
            sent as f64 <= allowed,
            "{sent} retries in the window that ends at {end:?}, {allowed} allowed for {counted} requests"
        );
    }
}

#[derive(Clone, Debug)]
enum Fault {
    /// Daemons are killed and start again some time later.
    Kill { share: f64, down: f64 },
    /// Daemons neither hear the coordinator nor are heard by it, and go on serving.
    Cut { share: f64, lasts: f64 },
    /// Callers move to a part of the daemons.
    Move { share: f64, lasts: f64 },
    /// Runners fail a share of the requests.
    Fail { share: f64, lasts: f64 },
    /// More callers.
    Burst { factor: f64, lasts: f64 },
    /// The coordinator is lost; its successor has heard from nobody yet.
    Successor { after: f64 },
}

fn fault() -> impl Strategy<Value = Fault> {
    let share = 0.2..1.0_f64;
    let lasts = 1.0..15.0_f64;
    prop_oneof![
        (share.clone(), 0.1..3.0_f64).prop_map(|(share, down)| Fault::Kill { share, down }),
        (share.clone(), lasts.clone()).prop_map(|(share, lasts)| Fault::Cut { share, lasts }),
        (share.clone(), lasts.clone()).prop_map(|(share, lasts)| Fault::Move { share, lasts }),
        (share, 1.0..25.0_f64).prop_map(|(share, lasts)| Fault::Fail { share, lasts }),
        (1.2..4.0_f64, lasts).prop_map(|(factor, lasts)| Fault::Burst { factor, lasts }),
        (3.0..6.0_f64).prop_map(|after| Fault::Successor { after }),
    ]
}

/// A machine that a daemon runs on.
struct Machine {
    daemon: Option<Daemon>,
    starts_at: Timestamp,
    cut_until: Timestamp,
    reported_at: Timestamp,
}

struct Fleet {
    allowance: f64,
    random: ChaCha8Rng,
    machines: Vec<Machine>,
    /// Callers reach the machines before this one only, until the given time.
    reached: (usize, Timestamp),
    failing: (f64, Timestamp),
    burst: (f64, Timestamp),
    coordinator_since: Timestamp,
    /// The count that the coordinator announced last.
    announced: usize,
    requests: Vec<Timestamp>,
    retries: Vec<Timestamp>,
}

/// How long the coordinator counts a daemon that it does not hear.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a new coordinator announces no less than the count that it knew.
const STARTUP: Duration = Duration::from_secs(4);

impl Fleet {
    fn new(machines: usize, allowance: f64, seed: u64) -> Self {
        let machine = || Machine {
            daemon: Some(Daemon::start(allowance)),
            starts_at: Timestamp::ZERO,
            cut_until: Timestamp::ZERO,
            reported_at: Timestamp::ZERO,
        };
        Self {
            allowance,
            random: ChaCha8Rng::seed_from_u64(seed),
            machines: (0..machines).map(|_| machine()).collect(),
            reached: (machines, Timestamp::ZERO),
            failing: (0.0, Timestamp::ZERO),
            burst: (1.0, Timestamp::ZERO),
            coordinator_since: at(1.0),
            announced: machines,
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn begin(&mut self, fault: &Fault, now: Timestamp) {
        let seconds = Duration::from_secs_f64;
        match *fault {
            Fault::Kill { share, down } => {
                for index in self.some_machines(share) {
                    self.machines[index].daemon = None;
                    self.machines[index].starts_at = now + seconds(down);
                }
            }
            Fault::Cut { share, lasts } => {
                for index in self.some_machines(share) {
                    self.machines[index].cut_until = now + seconds(lasts);
                }
            }
            Fault::Move { share, lasts } => {
                let reached = (share * self.machines.len() as f64).ceil() as usize;
                self.reached = (reached.max(1), now + seconds(lasts));
            }
            Fault::Fail { share, lasts } => self.failing = (share, now + seconds(lasts)),
            Fault::Burst { factor, lasts } => self.burst = (factor, now + seconds(lasts)),
            Fault::Successor { after } => self.coordinator_since = now + seconds(after),
        }
    }

    fn some_machines(&mut self, share: f64) -> Vec<usize> {
        let count = (share * self.machines.len() as f64).ceil() as usize;
        let first = self.random.random_range(0..self.machines.len());
        (0..count)
            .map(|it| (first + it) % self.machines.len())
            .collect()
    }

    /// Daemons start, report to the coordinator, and hear its count.
    fn coordinate(&mut self, now: Timestamp) {
        let has_coordinator = now >= self.coordinator_since;
        for machine in &mut self.machines {
            if machine.daemon.is_none() && now >= machine.starts_at {
                machine.daemon = Some(Daemon::start(self.allowance));
            }
            let is_heard = machine.daemon.is_some() && now >= machine.cut_until;
            if is_heard && has_coordinator {
                machine.reported_at = now;
            }
        }
        if !has_coordinator {
            return;
        }
        let since = self.coordinator_since;
        let is_member =
            |it: &Machine| it.reported_at >= since && now.since(it.reported_at) < MEMBER_TIMEOUT;
        let reporting = self.machines.iter().filter(|it| is_member(it)).count();
        let is_starting = now.since(since) < STARTUP;
        self.announced = if is_starting {
            reporting.max(self.announced)
        } else {
            reporting
        };
        for machine in &mut self.machines {
            if now >= machine.cut_until
                && let Some(daemon) = &mut machine.daemon
            {
                daemon.hear(self.announced, now);
            }
        }
    }

    fn serve(&mut self, per_second: f64, now: Timestamp) {
        let factor = if now < self.burst.1 {
            self.burst.0
        } else {
            1.0
        };
        let expected = per_second * factor * STEP.as_secs_f64();
        let mut arrivals = expected as usize;
        if self.random.random_bool(expected.fract()) {
            arrivals += 1;
        }
        for _ in 0..arrivals {
            self.requests.push(now);
            let reached = if now < self.reached.1 {
                self.reached.0
            } else {
                self.machines.len()
            };
            let index = self.random.random_range(0..reached);
            let fails = if now < self.failing.1 {
                self.failing.0
            } else {
                0.0
            };
            let failures = (0..3)
                .take_while(|_| self.random.random_bool(fails))
                .count();
            let Some(daemon) = &mut self.machines[index].daemon else {
                continue;
            };
            daemon.request(now);
            for _ in 0..failures {
                if !daemon.retry(now) {
                    break;
                }
                let delay = self.random.random_range(0..300);
                self.retries.push(now + Duration::from_millis(delay));
            }
        }
    }
}

/// Plays a fleet under faults that begin at the given seconds, and checks its budget.
fn play(
    machines: usize,
    per_second: f64,
    allowance: f64,
    mut faults: Vec<(f64, Fault)>,
    seed: u64,
) {
    let mut fleet = Fleet::new(machines, allowance, seed);
    faults.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mut faults = faults.into_iter().peekable();
    for step in 0..1_700_u32 {
        let now = Timestamp::ZERO + STEP * step;
        while let Some((_, fault)) = faults.next_if(|(begins_at, _)| at(*begins_at) <= now) {
            fleet.begin(&fault, now);
        }
        fleet.coordinate(now);
        fleet.serve(per_second, now);
    }
    check_all_windows(&fleet.requests, &fleet.retries, allowance);
}

proptest! {
    #![proptest_config(config())]

    /// Guards against retries that pile up beyond the budget while daemons restart, are counted wrongly, or take over
    /// each other's callers.
    #[test]
    fn in_every_window_the_retries_of_all_daemons_are_within_the_budget(
        machines in 2..40_usize,
        per_second in 5.0..150.0_f64,
        faults in prop::collection::vec((5.0..70.0_f64, fault()), 1..12),
        seed in any::<u64>(),
    ) {
        play(machines, per_second, ALLOWANCE, faults, seed);
    }

    /// Guards against a budget that holds only because the allowance is large beside the requests.
    #[test]
    fn the_budget_holds_whatever_the_allowance_and_the_rate_of_requests(
        machines in 2..40_usize,
        per_second in 5.0..300.0_f64,
        allowance in 5.0..100.0_f64,
        faults in prop::collection::vec((5.0..70.0_f64, fault()), 1..12),
        seed in any::<u64>(),
    ) {
        play(machines, per_second, allowance, faults, seed);
    }
}
