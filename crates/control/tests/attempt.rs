//! Property tests and fault cases of one request's attempts and of the retry budget.

mod requests_support;

use flaxward_control::attempt::AttemptEnd::{
    BrokenBeforeHead, BrokenMidStream, Cancelled, NotSent, RefusedBeforeRunning, Status, TimedOut,
    Truncated,
};
use flaxward_control::attempt::Step::{Done, Finish, Retry, Stale};
use flaxward_control::attempt::{
    AttemptEnd, AttemptSettings, Delivered, RequestMachine, RequestPolicy, RetryBudget,
    RetryBudgetSettings,
};
use flaxward_types::ResultCode as Code;
use flaxward_types::{AttemptId, RunnerName, Timestamp};
use proptest::collection::vec;
use proptest::prelude::*;
use requests_support::{rule, violation};

const DEADLINE: Timestamp = Timestamp(1_000);
const MAX_ATTEMPTS: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// A broken connection is treated as one over which nothing was sent.
    BrokenMeansNotSent,
    /// Each attempt gets a new machine without the state of the earlier attempts.
    ForgetsAttempts,
    /// The code of the last attempt is reported, however the earlier ones ended.
    LastCodeOnly,
}

/// The course of one attempt. The back end ran the request if the end implies it, or if the end
/// leaves it open and `ran` is set.
#[derive(Clone, Debug)]
struct AttemptCase {
    end: AttemptEnd,
    ran: bool,
    /// Milliseconds spent waiting before the attempt, and in it.
    spent: (u64, u64),
    gives_up: bool,
    delivers_bytes: bool,
}

fn attempt_case() -> impl Strategy<Value = AttemptCase> {
    let end = prop_oneof![
        3 => Just(NotSent),
        2 => Just(RefusedBeforeRunning),
        1 => prop_oneof![Just(200), Just(404), Just(503)].prop_map(Status),
        2 => Just(BrokenBeforeHead),
        2 => (0_u64..9).prop_map(|next_index| BrokenMidStream { next_index }),
        1 => Just(Truncated),
        1 => Just(TimedOut),
        1 => Just(Cancelled),
    ];
    let rarely = || prop::bool::weighted(0.1);
    let spent = (0_u64..300, 0_u64..300);
    (end, any::<bool>(), spent, rarely(), rarely()).prop_map(
        |(end, ran, spent, gives_up, delivers_bytes)| AttemptCase {
            end,
            ran,
            spent,
            gives_up,
            delivers_bytes,
        },
    )
}

fn requests() -> impl Strategy<Value = (bool, u32, Vec<AttemptCase>)> {
    (any::<bool>(), 0_u32..4, vec(attempt_case(), 8))
}

fn budget(retries: u32) -> RetryBudget {
    let settings = RetryBudgetSettings {
        per_thousand: 0,
        min_per_second: retries,
        burst: retries,
    };
    RetryBudget::new(settings, Timestamp::ZERO)
}

fn machine(repeatable: bool) -> RequestMachine {
    let policy = RequestPolicy {
        repeatable,
        has_key: false,
        deadline: DEADLINE,
    };
    let settings = AttemptSettings {
        max_attempts: MAX_ATTEMPTS,
    };
    RequestMachine::new(policy, settings)
}

/// Drives one request and compares the code that the caller gets with the runs counted at the back
/// ends.
fn check(case: (bool, u32, Vec<AttemptCase>), flaw: Flaw) -> Result<(), String> {
    let (repeatable, retries, attempt_cases) = case;
    let (mut request, mut budget) = (machine(repeatable), budget(retries));
    let (mut now, mut runs, mut reached, mut received) = (Timestamp::ZERO, 0, 0, 0);
    let check_code = |code: Code, runs| rule(!code.not_run() || runs == 0, "not run, but it ran");
    for (begun, attempt_case) in (1_u32..).zip(attempt_cases) {
        let end = attempt_case.end;
        if flaw == Flaw::ForgetsAttempts {
            request = machine(repeatable);
        }
        now.0 += attempt_case.spent.0;
        if attempt_case.gives_up {
            return check_code(request.give_up(Code::QueueFull), runs);
        }
        let (attempt, runner) = (AttemptId(begun.into()), RunnerName::literal("runner"));
        if let Err(code) = request.begin(attempt, runner, now, &mut budget) {
            rule(now >= DEADLINE, "refused to begin in time")?;
            return check_code(code, runs);
        }
        rule(now < DEADLINE, "sent past the deadline")?;
        rule(begun <= MAX_ATTEMPTS, "too many attempts")?;
        rule(begun <= 1 + 2 * retries, "more retries than the budget has")?;
        runs += u32::from(match end {
            NotSent | RefusedBeforeRunning => false,
            BrokenBeforeHead | TimedOut | Cancelled => attempt_case.ran,
            _ => true,
        });
        reached += u32::from(end != NotSent);
        rule(repeatable || reached <= 1, "reached back ends twice")?;
        rule(
            !request.final_code(Code::Stopping).not_run(),
            "not run, while sent",
        )?;
        now.0 += attempt_case.spent.1;
        if attempt_case.delivers_bytes {
            request.record_delivered(attempt, Delivered::Bytes);
        }
        if let BrokenMidStream { next_index } = end {
            received = received.max(next_index);
        }
        let broken_is_not_sent = flaw == Flaw::BrokenMeansNotSent && end == BrokenBeforeHead;
        let seen = if broken_is_not_sent { NotSent } else { end };
        let late = request.on_end(AttemptId(0), Status(200), now, &mut budget);
        rule(late == Stale, "accepted the answer of another attempt")?;
        match request.on_end(attempt, seen, now, &mut budget) {
            Retry { resume_from, .. } => {
                rule(
                    !attempt_case.delivers_bytes,
                    "resumes an answer without frames",
                )?;
                let forgets = flaw == Flaw::ForgetsAttempts;
                rule(
                    forgets || resume_from.unwrap_or(0) == received,
                    "resumes from the wrong frame",
                )?;
            }
            Finish(_) if flaw == Flaw::LastCodeOnly && !end.may_have_run() => {
                return check_code(Code::BackendRefused, runs);
            }
            Finish(code) => return check_code(code, runs),
            Done => return rule(matches!(end, Status(_)), "done without answer"),
            Stale => return Err("the current attempt is stale".to_owned()),
        }
    }
    Err("the caller got no answer".to_owned())
}

#[test]
fn a_request_keeps_its_invariants_however_its_attempts_end() {
    assert_eq!(violation(&requests(), |case| check(case, Flaw::None)), None);
}

#[test]
fn broken_variants_of_requests_are_detected() {
    use Flaw::{BrokenMeansNotSent, ForgetsAttempts, LastCodeOnly};
    for flaw in [BrokenMeansNotSent, ForgetsAttempts, LastCodeOnly] {
        let found = violation(&requests(), |case| check(case, flaw));
        assert!(found.is_some(), "{flaw:?} was not detected");
    }
}

/// Per line: whether the request is repeatable, the ends of its attempts in order, the time of the
/// last end, the retries in the budget, and the expected last step.
macro_rules! steps_after {
    ($( $repeatable:literal $ends:tt at $time:literal with $retries:literal => $step:expr; )*) => {
        $( assert_eq!(last_step($repeatable, &$ends, $time, $retries), $step); )*
    };
}

fn last_step(
    repeatable: bool,
    ends: &[AttemptEnd],
    time: u64,
    retries: u32,
) -> flaxward_control::attempt::Step {
    let (mut request, mut budget) = (machine(repeatable), budget(retries));
    let mut step = Stale;
    for (number, end) in (0_u128..).zip(ends) {
        let (attempt, runner) = (AttemptId(number), RunnerName::literal("runner"));
        let begun = request.begin(attempt, runner, Timestamp::ZERO, &mut budget);
        assert_eq!(begun, Ok(()), "{ends:?}: {step:?}");
        step = request.on_end(attempt, *end, Timestamp(time), &mut budget);
    }
    step
}

#[test]
fn the_step_after_each_end() {
    let mid_stream = BrokenMidStream { next_index: 4 };
    steps_after! {
        false [NotSent, NotSent, NotSent] at 0 with 9 => Finish(Code::BackendUnreachable);
        false [RefusedBeforeRunning] at 0 with 9 => Finish(Code::BackendRefused);
        false [BrokenBeforeHead] at 0 with 9 => Finish(Code::OutcomeUnknown);
        false [NotSent, mid_stream] at 0 with 9 => Finish(Code::StreamBroken);
        false [Truncated] at 0 with 9 => Finish(Code::BadAnswer);
        false [Status(503)] at 0 with 9 => Done;
        true [BrokenBeforeHead, NotSent, NotSent] at 0 with 9 => Finish(Code::OutcomeUnknown);
        true [mid_stream, NotSent, RefusedBeforeRunning] at 0 with 9 => Finish(Code::StreamBroken);
        true [BrokenBeforeHead, Status(200)] at 0 with 9 => Done;
        true [Status(503), Status(503), Status(503)] at 0 with 9 => Done;
        true [NotSent] at 0 with 0 => Finish(Code::BackendUnreachable);
        true [TimedOut] at 0 with 0 => Finish(Code::RetryBudgetSpent);
        true [TimedOut] at 1_000 with 9 => Finish(Code::DeadlineWhileRunning);
        true [NotSent] at 1_000 with 9 => Finish(Code::DeadlinePassed);
        true [Cancelled] at 0 with 9 => Finish(Code::OutcomeUnknown);
    }
}

proptest! {
    #![proptest_config(requests_support::config())]

    /// In every interval, the retries granted are at most the burst, plus the minimum rate times
    /// the interval, plus the share of its first attempts.
    #[test]
    fn retries_stay_a_share_of_the_traffic(
        steps in vec((prop_oneof![0_u64..10, 0_u64..4_000], any::<bool>(), 0_u8..9), 1..60),
    ) {
        let settings = RetryBudgetSettings { per_thousand: 100, min_per_second: 2, burst: 5 };
        let mut budget = RetryBudget::new(settings, Timestamp::ZERO);
        let mut now = Timestamp::ZERO;
        // Thousandths of a retry that may still be granted in the interval from each step on.
        let mut intervals: Vec<u64> = Vec::new();
        for (pause, is_first, retries) in steps {
            now.0 += pause;
            let earned = pause * 2 + if is_first { 100 } else { 0 };
            intervals.iter_mut().for_each(|left| *left += earned);
            intervals.push(5_100);
            if is_first {
                budget.deposit(now);
            }
            let granted = (0..retries).filter(|_| budget.withdraw(now)).count() as u64;
            for left in &mut intervals {
                prop_assert!(granted * 1_000 <= *left, "{granted} granted, {left} thousandths allowed");
                *left -= granted * 1_000;
            }
        }
    }
}
