//! Properties and fault cases of one request's attempts and of the retry budget.

mod requests_support;

use flaxward_control::attempt::{
    AttemptEnd, AttemptSettings, Delivered, RequestMachine, RequestPolicy, RetryBudget,
    RetryBudgetSettings, Step,
};
use flaxward_types::{AttemptId, ResultCode, RunnerName, Timestamp};
use proptest::collection::vec;
use proptest::prelude::*;
use requests_support::{rule, violation};

const DEADLINE: Timestamp = Timestamp(1_000);

/// What one attempt meets: how it ends, whether the back end ran it where the end leaves that open,
/// how long it took, and whether the driver gives up instead of sending.
type Meeting = (AttemptEnd, bool, u64, bool);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// A broken connection is taken for one over which nothing was sent.
    BrokenMeansNotSent,
    /// Each attempt gets a machine that knows nothing of the former ones.
    ForgetsAttempts,
    /// The code of the last attempt is shown, whatever the former ones met.
    LastCodeOnly,
}

fn end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        3 => Just(AttemptEnd::NotSent),
        2 => Just(AttemptEnd::RefusedBeforeRunning),
        1 => prop_oneof![Just(200), Just(404), Just(503)].prop_map(AttemptEnd::Status),
        2 => Just(AttemptEnd::BrokenBeforeHead),
        2 => (0_u64..9).prop_map(|next_index| AttemptEnd::BrokenMidStream { next_index }),
        1 => Just(AttemptEnd::Truncated),
        1 => Just(AttemptEnd::TimedOut),
        1 => Just(AttemptEnd::Cancelled),
    ]
}

fn meetings() -> impl Strategy<Value = (bool, u32, Vec<Meeting>)> {
    let meeting = (end(), any::<bool>(), 0_u64..400, prop::bool::weighted(0.1));
    (any::<bool>(), 0_u32..4, vec(meeting, 8))
}

fn budget(retries: u32) -> RetryBudget {
    let settings = RetryBudgetSettings {
        per_thousand: 0,
        floor_per_second: retries,
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
    RequestMachine::new(policy, AttemptSettings::default())
}

/// Drives one request and compares what the caller is told with the back ends' own record.
fn check(
    (repeatable, retries, meetings): (bool, u32, Vec<Meeting>),
    flaw: Flaw,
) -> Result<(), String> {
    let mut budget = budget(retries);
    let mut request = machine(repeatable);
    let (mut now, mut runs, mut reached, mut begun, mut held) = (Timestamp::ZERO, 0, 0, 0_u32, 0);
    for (number, (end, ran, took, gives_up)) in (0_u128..).zip(meetings) {
        if flaw == Flaw::ForgetsAttempts {
            request = machine(repeatable);
        }
        if gives_up {
            let code = request.give_up(ResultCode::QueueFull);
            return rule(!code.not_run() || runs == 0, "not run, but it ran");
        }
        let attempt = AttemptId(number);
        let begin = request.begin(attempt, RunnerName::literal("runner"), now, &mut budget);
        if let Err(code) = begin {
            rule(now >= DEADLINE, "refused to begin in time")?;
            return rule(!code.not_run() || runs == 0, "not run, but it ran");
        }
        rule(now < DEADLINE, "sent past the deadline")?;
        begun += 1;
        rule(
            begun <= AttemptSettings::default().max_attempts,
            "too many attempts",
        )?;
        rule(begun <= 1 + 2 * retries, "more retries than the budget has")?;
        runs += u32::from(match end {
            AttemptEnd::NotSent | AttemptEnd::RefusedBeforeRunning => false,
            AttemptEnd::BrokenBeforeHead | AttemptEnd::TimedOut | AttemptEnd::Cancelled => ran,
            _ => true,
        });
        reached += u32::from(end != AttemptEnd::NotSent);
        rule(repeatable || reached <= 1, "reached back ends twice")?;
        rule(
            request.final_code(ResultCode::Stopping) != ResultCode::Stopping,
            "not run, while sent",
        )?;
        now.0 += took;
        let seen = match end {
            AttemptEnd::BrokenBeforeHead if flaw == Flaw::BrokenMeansNotSent => AttemptEnd::NotSent,
            other => other,
        };
        let late = request.on_end(
            AttemptId(u128::MAX),
            AttemptEnd::Status(200),
            now,
            &mut budget,
        );
        rule(late == Step::Stale, "took the answer of another attempt")?;
        if let AttemptEnd::BrokenMidStream { next_index } = end {
            held = held.max(next_index);
        }
        match request.on_end(attempt, seen, now, &mut budget) {
            Step::SendAgain { resume_from, .. } => {
                rule(
                    resume_from.unwrap_or(0) == held || flaw != Flaw::None,
                    "resumes elsewhere",
                )?;
            }
            Step::Finish(code) => {
                let last_is_certain = !end.may_have_run();
                let not_run = code.not_run() || flaw == Flaw::LastCodeOnly && last_is_certain;
                return rule(!not_run || runs == 0, "not run, but it ran");
            }
            Step::Done => return rule(matches!(end, AttemptEnd::Status(_)), "done without answer"),
            Step::Stale => return Err("the current attempt is stale".to_owned()),
        }
    }
    Err("the caller got no answer".to_owned())
}

#[test]
fn a_request_keeps_its_rules_whatever_its_attempts_meet() {
    assert_eq!(violation(&meetings(), |case| check(case, Flaw::None)), None);
}

#[test]
fn broken_variants_of_requests_are_found() {
    for flaw in [
        Flaw::BrokenMeansNotSent,
        Flaw::ForgetsAttempts,
        Flaw::LastCodeOnly,
    ] {
        let found = violation(&meetings(), |case| check(case, flaw));
        assert!(found.is_some(), "{flaw:?} was not found");
    }
}

#[test]
fn the_code_after_each_end() {
    use AttemptEnd::{
        BrokenBeforeHead, BrokenMidStream, Cancelled, NotSent, RefusedBeforeRunning, Status,
        TimedOut, Truncated,
    };
    use ResultCode as Code;
    let mid_stream = BrokenMidStream { next_index: 4 };
    // Repeatable, the ends in order, the time of the last, the retries granted, the last step.
    let table: &[(bool, &[AttemptEnd], u64, u32, Step)] = &[
        (
            false,
            &[NotSent, NotSent, NotSent],
            0,
            9,
            Step::Finish(Code::BackendUnreachable),
        ),
        (
            false,
            &[RefusedBeforeRunning],
            0,
            9,
            Step::Finish(Code::BackendRefused),
        ),
        (
            false,
            &[BrokenBeforeHead],
            0,
            9,
            Step::Finish(Code::OutcomeUnknown),
        ),
        (
            false,
            &[NotSent, mid_stream],
            0,
            9,
            Step::Finish(Code::StreamBroken),
        ),
        (false, &[Truncated], 0, 9, Step::Finish(Code::BadAnswer)),
        (false, &[Status(503)], 0, 9, Step::Done),
        (
            true,
            &[BrokenBeforeHead, NotSent, NotSent],
            0,
            9,
            Step::Finish(Code::OutcomeUnknown),
        ),
        (
            true,
            &[mid_stream, NotSent, RefusedBeforeRunning],
            0,
            9,
            Step::Finish(Code::StreamBroken),
        ),
        (true, &[BrokenBeforeHead, Status(200)], 0, 9, Step::Done),
        (
            true,
            &[Status(503), Status(503), Status(503)],
            0,
            9,
            Step::Done,
        ),
        (
            true,
            &[NotSent],
            0,
            0,
            Step::Finish(Code::BackendUnreachable),
        ),
        (
            true,
            &[TimedOut],
            0,
            0,
            Step::Finish(Code::RetryBudgetSpent),
        ),
        (
            true,
            &[TimedOut],
            1_000,
            9,
            Step::Finish(Code::DeadlineWhileRunning),
        ),
        (
            true,
            &[NotSent],
            1_000,
            9,
            Step::Finish(Code::DeadlinePassed),
        ),
        (true, &[Cancelled], 0, 9, Step::Finish(Code::OutcomeUnknown)),
    ];
    for (repeatable, ends, time, retries, expected) in table {
        let (mut request, mut budget) = (machine(*repeatable), budget(*retries));
        let mut step = Step::Stale;
        for (number, end) in (0_u128..).zip(*ends) {
            let (attempt, runner) = (AttemptId(number), RunnerName::literal("runner"));
            let begun = request.begin(attempt, runner, Timestamp::ZERO, &mut budget);
            assert_eq!(begun, Ok(()), "{ends:?}: {step:?}");
            step = request.on_end(attempt, *end, Timestamp(*time), &mut budget);
        }
        assert_eq!(step, *expected, "{repeatable} {ends:?}");
    }
}

#[test]
fn a_body_without_frames_is_not_continued_by_another_attempt() {
    let (mut request, mut budget) = (machine(true), budget(9));
    let (attempt, runner) = (AttemptId(1), RunnerName::literal("runner"));
    assert_eq!(
        request.begin(attempt, runner, Timestamp::ZERO, &mut budget),
        Ok(())
    );
    request.note_delivered(attempt, Delivered::Bytes);
    let step = request.on_end(attempt, AttemptEnd::Truncated, Timestamp::ZERO, &mut budget);
    assert_eq!(step, Step::Finish(ResultCode::BadAnswer));
}

proptest! {
    #![proptest_config(requests_support::config())]

    /// In each span: at most the burst, the floor for its time and the share of its traffic.
    #[test]
    fn retries_stay_a_share_of_the_traffic(steps in vec((0_u64..300, 0_u8..4), 1..150)) {
        let settings = RetryBudgetSettings { per_thousand: 100, floor_per_second: 2, burst: 5 };
        let mut budget = RetryBudget::new(settings, Timestamp::ZERO);
        let mut now = Timestamp::ZERO;
        // Thousandths of a retry that could be granted at most if a span began at each step.
        let mut spans: Vec<i128> = Vec::new();
        for (pause, kind) in steps {
            now.0 += pause;
            spans.push(5_000);
            let earned = i128::from(pause) * 2 + if kind == 0 { 100 } else { 0 };
            let granted = kind != 0 && budget.withdraw(now);
            if kind == 0 {
                budget.deposit(now);
            }
            for left in &mut spans {
                *left += earned - if granted { 1_000 } else { 0 };
                prop_assert!(*left >= 0);
            }
        }
    }
}
