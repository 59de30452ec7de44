//! Requests that crash runners: when they are put in quarantine, and that all daemons learn of it.
//!
//! The fleet is simulated in virtual time: messages are delayed or lost, daemons are killed and restarted, and the
//! coordinator fails. In every case, connected daemons send a request at most three more times after three runners have
//! crashed while processing it.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::fingerprint::{RequestContent, RequestFingerprint};
use flaxward_routing::names::RunnerId;
use flaxward_routing::quarantine::exchange::{QuarantineExchange, QuarantineNews};
use flaxward_routing::quarantine::{
    MAX_ENTRIES, Quarantine, QuarantineEntry, QuarantineSettings, Recorded, RunContext, RunOutcome,
    RunReport,
};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;

const SETTINGS: QuarantineSettings = QuarantineSettings {
    crashes: 3,
    first: Duration::from_secs(10),
    repeated: Duration::from_secs(60),
};

fn fingerprint(number: u64) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: "a.example",
        target: "/",
        tenant: None,
        body: &number.to_le_bytes(),
    })
}

fn crash(request: u64, runner: u64) -> RunReport {
    RunReport {
        fingerprint: fingerprint(request),
        outcome: RunOutcome::Crashed(RunnerId::new(&format!("r{runner}"))),
        context: None,
    }
}

fn completed(request: u64) -> RunReport {
    RunReport {
        fingerprint: fingerprint(request),
        outcome: RunOutcome::Completed,
        context: None,
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(seconds)
}

/// A daemon that has recorded three crashes during request 1, at `now`.
fn with_three_crashes(now: Timestamp) -> Quarantine {
    let mut quarantine = Quarantine::new(SETTINGS);
    for runner in 1..=3 {
        quarantine.record(&crash(1, runner), now);
    }
    quarantine
}

#[test]
fn three_crashed_runners_quarantine_a_request_and_one_reported_three_times_does_not() {
    let mut quarantine = Quarantine::new(SETTINGS);
    let mut record = |report, now| quarantine.record(&report, at(now));
    assert_eq!(record(crash(1, 1), 0), Recorded::Counted(1));
    assert_eq!(record(crash(1, 1), 1), Recorded::Unchanged);
    assert_eq!(record(crash(2, 1), 1), Recorded::Counted(1));
    assert_eq!(record(crash(1, 2), 1), Recorded::Counted(2));
    assert_eq!(record(crash(1, 3), 2), Recorded::Quarantined);
    let remaining = |request| quarantine.remaining(&fingerprint(request), at(2));
    assert_eq!(remaining(1), Some(SETTINGS.first));
    assert_eq!(remaining(2), None);
}

#[test]
fn one_more_crash_after_the_first_quarantine_starts_a_long_one() {
    let mut quarantine = with_three_crashes(at(0));
    assert_eq!(quarantine.remaining(&fingerprint(1), at(10)), None);
    let again = quarantine.record(&crash(1, 4), at(11));
    assert_eq!(again, Recorded::Quarantined);
    assert_eq!(
        quarantine.remaining(&fingerprint(1), at(11)),
        Some(SETTINGS.repeated)
    );
}

#[test]
fn a_completed_run_clears_a_request_everywhere() {
    let mut quarantine = with_three_crashes(at(0));
    let mut other = with_three_crashes(at(0));
    assert_eq!(quarantine.record(&completed(1), at(1)), Recorded::Cleared);
    assert_eq!(quarantine.remaining(&fingerprint(1), at(1)), None);
    // The entries of other daemons do not restore it, and it is cleared there too.
    assert!(quarantine.merge(&other.entries(at(1)), at(1)).is_empty());
    assert_eq!(quarantine.remaining(&fingerprint(1), at(1)), None);
    other.merge(&quarantine.entries(at(1)), at(1));
    assert_eq!(other.remaining(&fingerprint(1), at(1)), None);
    assert_eq!(other.digest(at(1)), quarantine.digest(at(1)));
    // The crash count starts from zero again.
    assert_eq!(quarantine.record(&crash(1, 4), at(2)), Recorded::Counted(1));
}

/// A report that a run of request 1 crashed its runner, by the times at which it was sent and at which it broke off.
fn crash_of_run(
    runner: u64,
    sent_at: Timestamp,
    broken_at: Timestamp,
    now: Timestamp,
) -> RunReport {
    let ms_ago = |at| u32::try_from(now.since(at).as_millis()).unwrap();
    RunReport {
        context: Some(RunContext {
            sent_ms_ago: ms_ago(sent_at),
            ended_ms_ago: ms_ago(broken_at),
            narrower: None,
        }),
        ..crash(1, runner)
    }
}

/// A keeper that has recorded a crash under request 1 in each of the first three seconds.
fn keeper_with_three_crashes() -> Quarantine {
    let mut keeper = Quarantine::new(SETTINGS);
    for second in 1..=3 {
        let broken_at = at(second);
        let sent_at = broken_at - Duration::from_millis(70);
        keeper.record(
            &crash_of_run(second, sent_at, broken_at, broken_at),
            broken_at,
        );
    }
    assert!(keeper.remaining(&fingerprint(1), at(3)).is_some());
    keeper
}

/// Guards against a quarantine that nothing can end although answers to runs sent between the crashes contradict it: while it
/// lasts no run is sent, so only answers to earlier runs can show the mistake.
#[test]
fn an_answer_to_a_run_sent_between_the_crashes_ends_a_quarantine() {
    let mut keeper = keeper_with_three_crashes();
    let sent_at = at(2);
    assert_eq!(
        keeper.record_answer(fingerprint(1), sent_at, at(4)),
        Recorded::Cleared
    );
    assert_eq!(keeper.remaining(&fingerprint(1), at(4)), None);
    // The crash after that answer still counts.
    let later = crash_of_run(4, at(5), at(6), at(6));
    assert_eq!(keeper.record(&later, at(6)), Recorded::Counted(2));
}

/// Guards against ending a quarantine because of a run that was sent before the request began to crash runners.
#[test]
fn an_answer_to_a_run_sent_before_the_crashes_ends_no_quarantine() {
    let mut keeper = keeper_with_three_crashes();
    keeper.record_answer(fingerprint(1), at(0), at(4));
    assert!(keeper.remaining(&fingerprint(1), at(4)).is_some());
}

/// Guards against requests that crash runners being sent again because a daemon that has seen one of the crashes takes
/// something else for its cause, which broke off with that runner and with others.
#[test]
fn a_daemon_that_knows_few_of_the_crashes_does_not_explain_them_away() {
    let keeper = with_three_crashes(at(0));
    let mut other = Quarantine::new(SETTINGS);
    other.record(&crash(1, 3), at(0));
    other.record(&crash(2, 3), at(0));
    other.merge(&keeper.entries(at(0)), at(0));
    for runner in 4..=6 {
        other.record(&crash(2, runner), at(1));
    }
    assert!(other.remaining(&fingerprint(2), at(1)).is_some());
    assert!(other.remaining(&fingerprint(1), at(1)).is_some());
}

/// Guards against ignoring such an answer at a daemon that has seen none of the crashes: it can't judge it, but the keepers
/// can.
#[test]
fn an_answer_to_an_earlier_run_is_passed_on_to_the_keepers() {
    let mut keeper = keeper_with_three_crashes();
    let mut other = Quarantine::new(SETTINGS);
    other.merge(&keeper.entries(at(3)), at(3));
    let recorded = other.record_answer(fingerprint(1), at(2), at(4));
    assert_eq!(recorded, Recorded::Undecided);
    assert!(other.remaining(&fingerprint(1), at(4)).is_some());
    // Of many such answers, those sent shortly after the last one are not passed on.
    let next = at(2) + Duration::from_millis(40);
    assert_eq!(
        other.record_answer(fingerprint(1), next, at(4)),
        Recorded::Unchanged
    );
    let report = RunReport::answered(fingerprint(1), at(2), at(4));
    assert_eq!(keeper.record(&report, at(4)), Recorded::Cleared);
    other.merge(&keeper.entries(at(4)), at(4));
    assert_eq!(other.remaining(&fingerprint(1), at(4)), None);
}

#[test]
fn a_request_that_completes_between_crashes_is_never_quarantined() {
    let mut quarantine = Quarantine::new(SETTINGS);
    for runner in 0..9 {
        assert_eq!(
            quarantine.record(&crash(1, runner), at(runner)),
            Recorded::Counted(1)
        );
        assert_eq!(
            quarantine.record(&completed(1), at(runner)),
            Recorded::Cleared
        );
    }
    assert!(quarantine.is_empty());
}

#[test]
fn a_quarantine_ends_and_no_message_prolongs_it() {
    let mut quarantine = with_three_crashes(at(0));
    let entries = quarantine.entries(at(6));
    assert!(quarantine.merge(&entries, at(6)).is_empty());
    assert!(quarantine.remaining(&fingerprint(1), at(9)).is_some());
    assert_eq!(quarantine.remaining(&fingerprint(1), at(10)), None);
    // The entry is retained for a while, and then removed.
    assert_ne!(quarantine.digest(at(11)), 0);
    assert_eq!(quarantine.digest(at(611)), 0);
    assert!(quarantine.entries(at(611)).is_empty());
}

#[test]
fn nothing_is_quarantined_if_quarantine_is_disabled() {
    let mut quarantine = Quarantine::new(QuarantineSettings {
        crashes: 0,
        ..SETTINGS
    });
    for runner in 0..9 {
        let recorded = quarantine.record(&crash(1, runner), at(0));
        assert_eq!(recorded, Recorded::Unchanged);
    }
    assert!(quarantine.is_empty());
}

fn entry(request: u64) -> QuarantineEntry {
    QuarantineEntry {
        fingerprint: fingerprint(request),
        step: 1,
        remaining_ms: 9_000,
        kept_ms: 30_000,
    }
}

#[test]
fn a_fingerprint_has_one_form_in_json_and_postcard() {
    let entry = entry(1);
    let json = serde_json::to_string(&entry).unwrap();
    assert_eq!(
        serde_json::from_str::<QuarantineEntry>(&json).unwrap(),
        entry
    );
    let bytes = postcard::to_allocvec(&entry).unwrap();
    assert_eq!(
        postcard::from_bytes::<QuarantineEntry>(&bytes).unwrap(),
        entry
    );
    let broken = json.replace(&fingerprint(1).to_string(), "+1");
    assert!(serde_json::from_str::<QuarantineEntry>(&broken).is_err());
}

/// Guards against a memory that callers fill with parts that they make up.
#[test]
fn the_crashes_recorded_first_are_forgotten_first() {
    let mut quarantine = Quarantine::new(SETTINGS);
    for runner in 1..=2 {
        quarantine.record(&crash(1, runner), at(0));
    }
    for request in 2..10_000 {
        quarantine.record(&crash(request, request), at(1));
    }
    // The third crash is counted as the first one.
    assert_eq!(quarantine.record(&crash(1, 3), at(2)), Recorded::Counted(1));
}

/// Guards against suspecting a part for ever.
#[test]
fn a_crash_is_forgotten_after_a_while() {
    let mut quarantine = Quarantine::new(SETTINGS);
    quarantine.record(&crash(1, 1), at(0));
    quarantine.record(&crash(1, 2), at(599));
    assert_eq!(
        quarantine.record(&crash(1, 3), at(601)),
        Recorded::Counted(2)
    );
}

fn dated(request: u64, runner: u64, sent_ms_ago: u32) -> RunReport {
    RunReport {
        context: Some(RunContext {
            sent_ms_ago,
            ended_ms_ago: 0,
            narrower: None,
        }),
        ..crash(request, runner)
    }
}

/// Guards against taking requests for the cause that were under way at runners which lost power together.
#[test]
fn runners_that_crash_together_count_once() {
    let mut quarantine = Quarantine::new(SETTINGS);
    for runner in 1..=9 {
        assert_eq!(
            quarantine.record(&dated(1, runner, 500), at(10)),
            Recorded::Counted(1)
        );
    }
    assert_eq!(quarantine.remaining(&fingerprint(1), at(10)), None);
}

/// Guards against counting by the identity of a runner, which outlives its process.
#[test]
fn each_process_of_a_runner_counts() {
    let mut quarantine = Quarantine::new(SETTINGS);
    let mut record = |now| quarantine.record(&dated(1, 1, 70), at(now));
    assert_eq!(record(10), Recorded::Counted(1));
    assert_eq!(record(10), Recorded::Unchanged);
    assert_eq!(record(13), Recorded::Counted(2));
    assert_eq!(record(16), Recorded::Quarantined);
}

/// Guards against an answer from before the crashes as proof that a request does not crash runners.
#[test]
fn only_answers_to_runs_sent_after_a_crash_clear_it() {
    let mut quarantine = Quarantine::new(SETTINGS);
    quarantine.record(&dated(1, 1, 70), at(10));
    quarantine.record(&dated(1, 2, 70), at(13));
    let sent_before = at(10) - Duration::from_millis(100);
    let answer = quarantine.record_answer(fingerprint(1), sent_before, at(14));
    assert_eq!(answer, Recorded::Unchanged);
    let answer = quarantine.record_answer(fingerprint(1), at(11), at(14));
    assert_eq!(answer, Recorded::Cleared);
    // The second crash still counts.
    assert_eq!(
        quarantine.record(&dated(1, 3, 70), at(16)),
        Recorded::Counted(2)
    );
}

proptest! {
    /// Daemons that receive the same entries hold the same ones, even if there are too many.
    #[test]
    fn the_order_of_messages_does_not_matter(
        seeds in prop::collection::hash_set(0_u64..10_000, 1..2 * MAX_ENTRIES),
        cut in 0_usize..600,
    ) {
        let requests: Vec<QuarantineEntry> = seeds.into_iter().map(entry).collect();
        let (early, late) = requests.split_at(cut.min(requests.len()));
        let mut first = Quarantine::new(SETTINGS);
        let mut second = Quarantine::new(SETTINGS);
        first.merge(early, at(0));
        first.merge(late, at(0));
        second.merge(late, at(0));
        second.merge(early, at(0));
        prop_assert_eq!(first.digest(at(1)), second.digest(at(1)));
        prop_assert!(first.entries(at(1)).len() <= MAX_ENTRIES);
        let news = second.entries(at(1));
        prop_assert!(first.merge(&news, at(1)).is_empty());
    }
}

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);
const DAEMONS: usize = 30;
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time without a coordinator after one is lost.
const FAILOVER_TIME: Duration = Duration::from_millis(3_300);
/// Time until the store holds a changed record.
const RECORD_WRITE_TIME: Duration = Duration::from_millis(30);
/// Time after a fault from which a daemon counts as connected.
const RECONNECT_TIME: Duration = Duration::from_secs(3);
/// How often connected daemons may send a request once all of them must know of its quarantine.
const SENDS_ALLOWED: usize = 3;

#[derive(Clone, Debug)]
enum Message {
    Reports(Vec<RunReport>),
    Digest(u64),
    News(QuarantineNews),
}

struct Daemon {
    quarantine: Quarantine,
    exchange: QuarantineExchange,
    is_running: bool,
    /// When it was last killed, started or disconnected.
    disrupted_at: Timestamp,
}

/// A fault injected into the simulated fleet.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    KillCoordinator,
    KillAll,
}

struct Fleet {
    daemons: Vec<Daemon>,
    /// The first is the coordinator, the others are its deputies.
    keepers: Vec<usize>,
    leads_from: Timestamp,
    record: Vec<QuarantineEntry>,
    pending_record: Option<(Timestamp, Vec<QuarantineEntry>)>,
    heartbeat_at: Timestamp,
    in_flight: Vec<(Timestamp, usize, Message)>,
    now: Timestamp,
    crashes: u64,
    third_crash_at: Option<Timestamp>,
    late_sends: usize,
    loss: f64,
    random: u64,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(daemon).unwrap() + 1))
}

fn daemon_at(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

impl Fleet {
    fn new(loss: f64, seed: u64) -> Self {
        let daemon = |index| Daemon {
            quarantine: Quarantine::new(SETTINGS),
            exchange: QuarantineExchange::new(address(index)),
            is_running: true,
            disrupted_at: Timestamp::ZERO,
        };
        Self {
            daemons: (0..DAEMONS).map(daemon).collect(),
            keepers: vec![0, 1, 2],
            leads_from: Timestamp::ZERO,
            record: Vec::new(),
            pending_record: None,
            heartbeat_at: Timestamp::ZERO,
            in_flight: Vec::new(),
            now: Timestamp::ZERO,
            crashes: 0,
            third_crash_at: None,
            late_sends: 0,
            loss,
            random: seed | 1,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    #[allow(clippy::cast_precision_loss)]
    fn send(&mut self, to: usize, message: Message) {
        let is_lost = (self.draw(1_000) as f64) < self.loss * 1_000.0;
        let delay = Duration::from_millis(1 + self.draw(20));
        if !is_lost {
            self.in_flight.push((self.now + delay, to, message));
        }
    }

    fn coordinator(&self) -> Option<usize> {
        let first = *self.keepers.first()?;
        (self.now >= self.leads_from && self.daemons[first].is_running).then_some(first)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        let due: Vec<_> = due;
        for (_, to, message) in due {
            if self.daemons[to].is_running {
                self.receive(to, message);
            }
        }
        self.elect_coordinator();
        for daemon in 0..DAEMONS {
            if self.daemons[daemon].is_running {
                self.tick(daemon);
            }
        }
        self.coordinate();
    }

    /// Another daemon takes over the lease, with the record that the last holder has written.
    fn elect_coordinator(&mut self) {
        let now = self.now;
        if self.coordinator().is_some() || now < self.leads_from {
            return;
        }
        let running: Vec<usize> = (0..DAEMONS)
            .filter(|&it| self.daemons[it].is_running)
            .collect();
        let known = self
            .keepers
            .iter()
            .copied()
            .filter(|it| running.contains(it));
        let mut keepers: Vec<usize> = known.collect();
        keepers.extend(
            running
                .iter()
                .copied()
                .filter(|it| !self.keepers.contains(it)),
        );
        keepers.truncate(3);
        let Some(&next) = keepers.first() else {
            return;
        };
        self.keepers = keepers;
        self.leads_from = now + FAILOVER_TIME;
        let record = self.record.clone();
        self.daemons[next].quarantine.merge(&record, now);
    }

    /// Sends the reports and announcements that are due at a daemon.
    fn tick(&mut self, daemon: usize) {
        let now = self.now;
        let reports = self.daemons[daemon].exchange.due_reports(true, now);
        if !reports.is_empty() {
            for keeper in self.keepers.clone() {
                if keeper != daemon {
                    self.send(keeper, Message::Reports(reports.clone()));
                }
            }
        }
        if !self.keepers.contains(&daemon) {
            return;
        }
        let it = &mut self.daemons[daemon];
        let news = it.exchange.announcement(&it.quarantine, now);
        for to in (0..DAEMONS).filter(|&to| to != daemon) {
            if let Some(news) = &news {
                self.send(to, Message::News(news.clone()));
            }
        }
    }

    fn coordinate(&mut self) {
        let now = self.now;
        let Some(coordinator) = self.coordinator() else {
            return;
        };
        let it = &mut self.daemons[coordinator];
        let news = it.exchange.due_record(&it.quarantine, now);
        if let Some(record) = news {
            // The lease is renewed soon after a change.
            self.pending_record = Some((now + RECORD_WRITE_TIME, record));
        }
        if let Some((_, record)) = self.pending_record.take_if(|(at, _)| *at <= now) {
            self.record = record;
        }
        if now.since(self.heartbeat_at) < HEARTBEAT {
            return;
        }
        self.heartbeat_at = now;
        let digest = self.daemons[coordinator].quarantine.digest(now);
        for to in (0..DAEMONS).filter(|&to| to != coordinator) {
            self.send(to, Message::Digest(digest));
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = self.now;
        let keeper = self.keepers[0];
        let it = &mut self.daemons[to];
        match message {
            Message::Reports(reports) => {
                for report in &reports {
                    it.quarantine.record(report, now);
                }
            }
            Message::Digest(digest) => {
                let news = it.exchange.compare(&it.quarantine, digest, now);
                if let Some(news) = news {
                    self.send(keeper, Message::News(news));
                }
            }
            Message::News(news) => {
                it.quarantine.merge(&news.entries, now);
                let answer = it.exchange.answer(&it.quarantine, &news, now);
                if let Some(answer) = answer {
                    self.send(daemon_at(news.from), Message::News(answer));
                }
            }
        }
    }

    /// The caller sends its request to a random daemon; if that daemon forwards it, a runner crashes.
    fn send_request(&mut self) {
        let now = self.now;
        let daemon = usize::try_from(self.draw(DAEMONS as u64)).unwrap();
        let it = &mut self.daemons[daemon];
        if !it.is_running || it.quarantine.remaining(&fingerprint(1), now).is_some() {
            return;
        }
        let is_connected = now.since(it.disrupted_at) >= RECONNECT_TIME;
        if is_connected
            && self
                .third_crash_at
                .is_some_and(|at| now.since(at) >= RECONNECT_TIME)
        {
            self.late_sends += 1;
        }
        self.crashes += 1;
        if self.crashes == 3 {
            self.third_crash_at = Some(now);
        }
        let crash = crash(1, self.crashes);
        it.quarantine.record(&crash, now);
        it.exchange.queue_report(crash, now);
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(daemon) => self.restart(daemon % DAEMONS),
            Fault::KillCoordinator => self.restart(self.keepers[0]),
            Fault::KillAll => (0..DAEMONS).for_each(|daemon| self.restart(daemon)),
        }
    }

    /// Kills and restarts a daemon, which loads the record from the store.
    fn restart(&mut self, daemon: usize) {
        let now = self.now;
        if self.coordinator() == Some(daemon) {
            self.leads_from = now + FAILOVER_TIME;
            self.pending_record = None;
        }
        let it = &mut self.daemons[daemon];
        it.quarantine = Quarantine::new(SETTINGS);
        it.quarantine.merge(&self.record, now);
        it.exchange = QuarantineExchange::new(address(daemon));
        it.disrupted_at = now;
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => (0..DAEMONS).prop_map(Fault::Kill),
        3 => Just(Fault::KillCoordinator),
        1 => Just(Fault::KillAll),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn connected_daemons_rarely_send_a_request_that_has_crashed_three_runners(
        loss in prop_oneof![Just(0.0), 0.0..0.2],
        seed in any::<u64>(),
        try_every in 10_u64..150,
        faults in prop::collection::vec((0_u64..2_500, fault()), 0..6),
    ) {
        let mut fleet = Fleet::new(loss, seed);
        for step in 0..2_500 {
            fleet.step();
            for (at, fault) in &faults {
                if *at == step {
                    fleet.inject(*fault);
                }
            }
            if step > 400 && step % try_every == 0 {
                fleet.send_request();
            }
        }
        prop_assert!(fleet.crashes >= 3, "fewer than three runners crashed");
        prop_assert!(
            fleet.late_sends <= SENDS_ALLOWED,
            "sent {} more times, {} runners crashed",
            fleet.late_sends,
            fleet.crashes
        );
    }
}
