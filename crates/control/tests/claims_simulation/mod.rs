//! Simulates daemons that race for one key on a store that loses answers, applies writes late and
//! becomes unavailable, while daemons crash at any step and back-end connections break.

mod removal;

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_control::attempt::{
    AttemptEnd, AttemptSettings, RequestMachine, RequestPolicy, RetryBudget, RetryBudgetSettings,
    Step,
};
use flaxward_control::claims::{
    ClaimAction, ClaimEvent, ClaimFault, ClaimMachine, ClaimRequest, ClaimSettings, ClaimWrite,
    RequestEnd, StoredClaim, request_digest,
};
use flaxward_types::records::{Claim, ClaimOutcome};
use flaxward_types::{AttemptId, DaemonName, ResultCode as Code, Revision, RunnerName, Timestamp};
use proptest::collection::vec;
use proptest::prelude::*;

use crate::requests_support::rule;

const DAEMONS: usize = 3;
/// Time from the arrival of a request to its deadline.
const REQUEST_TIMEOUT_SECONDS: u64 = 60;
/// Deadline of the first request.
pub const DEADLINE_UNIX: u64 = 1_060;
/// More than the operations of a case, so that only a crashed daemon leaves a claim in progress.
pub const MAX_OUTCOME_WRITES: u32 = 100;
/// Three writes of the claim, each of which may be followed by marking another claim as unknown.
const MAX_WRITES_BEFORE_REPLY: u32 = 6;
pub const BODY: &str = "work order 17";

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Flaw {
    #[default]
    None,
    /// A write whose outcome is unknown is treated as applied.
    RunsWhenUnknown,
    /// The claim of a crashed daemon is taken over.
    TakesOverFromGone,
    /// A connection that broke after sending is treated as one over which nothing was sent.
    ResendsAfterLostAnswer,
    /// A request whose outcome is unknown is recorded as not run.
    FreesKeyAfterLostAnswer,
    /// Claims are replaced without comparing versions.
    BlindReplace,
    /// The request is sent before the claim is recorded.
    SendsBeforeClaim,
    /// Claims are removed before they expire.
    RemovesEarly,
    /// Claims are removed without comparing versions.
    RemovesBlind,
}

/// How the store handles a write.
#[derive(Clone, Copy, Debug)]
pub enum StoreBehavior {
    Works,
    Down,
    LosesAnswer,
    LosesRequest,
    AppliesLate,
}

#[derive(Clone, Copy, Debug)]
pub enum Operation {
    Submit {
        daemon: usize,
        other_body: bool,
    },
    Write(usize, StoreBehavior, bool),
    ApplyLate(usize),
    /// The request of a submission is sent to a back end, which may run it before the connection
    /// ends.
    Send(usize, AttemptEnd, bool),
    GiveUp(usize),
    Kill(usize),
    Wait(u64),
    /// A removal pass, whose removals may be applied late.
    Remove(bool),
    RemoveLate,
}

pub fn operations() -> impl Strategy<Value = Vec<Operation>> {
    vec(operation(), 10..80)
}

/// Operations over hours, in which claims expire and are removed.
pub fn operations_with_removal() -> impl Strategy<Value = Vec<Operation>> {
    let operation = prop_oneof![
        12 => operation(),
        1 => (600_u64..9_000).prop_map(Operation::Wait),
        2 => any::<bool>().prop_map(Operation::Remove),
        1 => Just(Operation::RemoveLate),
    ];
    vec(operation, 80..200)
}

fn operation() -> impl Strategy<Value = Operation> {
    let behavior = prop_oneof![
        4 => Just(StoreBehavior::Works),
        1 => Just(StoreBehavior::Down),
        2 => Just(StoreBehavior::LosesAnswer),
        1 => Just(StoreBehavior::LosesRequest),
        1 => Just(StoreBehavior::AppliesLate),
    ];
    let end = prop_oneof![
        Just(AttemptEnd::Status(201)),
        Just(AttemptEnd::NotSent),
        Just(AttemptEnd::RefusedBeforeRunning),
        Just(AttemptEnd::BrokenBeforeHead),
    ];
    let index = 0_usize..8;
    prop_oneof![
        3 => (0..DAEMONS, prop::bool::weighted(0.1))
            .prop_map(|(daemon, other_body)| Operation::Submit { daemon, other_body }),
        8 => (index.clone(), behavior, prop::bool::weighted(0.1))
            .prop_map(|(index, behavior, wrong)| Operation::Write(index, behavior, wrong)),
        1 => index.clone().prop_map(Operation::ApplyLate),
        4 => (index.clone(), end, any::<bool>())
            .prop_map(|(index, end, ran)| Operation::Send(index, end, ran)),
        1 => index.prop_map(Operation::GiveUp),
        1 => (0..DAEMONS).prop_map(Operation::Kill),
        1 => (0_u64..60).prop_map(Operation::Wait),
    ]
}

/// One request of the caller, with its state machines.
pub struct Submission {
    daemon: usize,
    pub claim: ClaimMachine,
    request: RequestMachine,
    write: Option<ClaimWrite>,
    /// Writes requested before the caller has a reply.
    writes_before_reply: u32,
    pub may_send: bool,
    other_body: bool,
    ran: bool,
    /// Number of removals of the record before the request was submitted.
    removals: u32,
    pub replies: u32,
    pub refused: Option<Code>,
    closed: bool,
}

pub fn answer(body: String) -> RequestEnd {
    RequestEnd::Answered {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: Some(body),
    }
}

#[derive(Default)]
pub struct Simulation {
    flaw: Flaw,
    now_unix: u64,
    revision: u64,
    pub record: Option<(Revision, Claim)>,
    late_writes: Vec<ClaimWrite>,
    crashed: [bool; DAEMONS],
    pub submissions: Vec<Submission>,
    /// Runs of the request by its body, as recorded by the back ends.
    pub runs: BTreeMap<bool, u32>,
    lifetime: Duration,
    late_removals: Vec<Revision>,
    /// Number of removals of the record; `runs` counts from the last one.
    removals: u32,
    /// Times at which the request ran, as recorded by the back ends.
    run_at: Vec<u64>,
}

impl Simulation {
    pub fn new(flaw: Flaw) -> Self {
        Self {
            flaw,
            now_unix: 1_000,
            lifetime: ClaimSettings::default().lifetime,
            ..Self::default()
        }
    }

    fn all_runs(&self) -> u32 {
        self.runs.values().sum()
    }

    pub fn step(&mut self, operation: Operation) -> Result<(), String> {
        match operation {
            Operation::Submit { daemon, other_body } => self.submit(daemon, other_body)?,
            Operation::Write(index, behavior, wrongly_gone) => {
                self.write(index, behavior, wrongly_gone)?
            }
            Operation::ApplyLate(which) if which < self.late_writes.len() => {
                let write = self.late_writes.remove(which);
                let _ = self.apply(write, false);
            }
            Operation::Send(index, end, ran) => self.send(index, end, ran)?,
            Operation::GiveUp(index) => {
                self.event(index, ClaimEvent::GiveUp(Code::DeadlinePassed))?
            }
            Operation::Kill(daemon) => self.crashed[daemon] = true,
            Operation::Wait(seconds) => self.now_unix += seconds,
            Operation::Remove(late) => self.remove(late),
            Operation::RemoveLate => self.remove_late(),
            Operation::ApplyLate(_) => {}
        }
        self.check()
    }

    pub fn submit(&mut self, daemon: usize, other_body: bool) -> Result<(), String> {
        if self.crashed[daemon] {
            return Ok(());
        }
        let request = ClaimRequest {
            digest: request_digest("POST", "/orders", &[u8::from(other_body)]),
            attempt: AttemptId(self.submissions.len() as u128),
            daemon: DaemonName::literal(&format!("daemon-{daemon}")),
            deadline_unix: self.now_unix + REQUEST_TIMEOUT_SECONDS,
        };
        let settings = ClaimSettings {
            lifetime: self.lifetime,
            max_outcome_writes: MAX_OUTCOME_WRITES,
            ..ClaimSettings::default()
        };
        let (claim, first) = ClaimMachine::start(settings, request, self.now_unix);
        let policy = RequestPolicy {
            repeatable: false,
            has_key: true,
            deadline: Timestamp((self.now_unix + REQUEST_TIMEOUT_SECONDS) * 1_000),
        };
        assert!(policy.needs_claim());
        self.submissions.push(Submission {
            daemon,
            claim,
            request: RequestMachine::new(policy, AttemptSettings::default()),
            write: None,
            writes_before_reply: 0,
            may_send: self.flaw == Flaw::SendsBeforeClaim,
            other_body,
            ran: false,
            removals: self.removals,
            replies: 0,
            refused: None,
            closed: false,
        });
        self.act(self.submissions.len() - 1, vec![first])
    }

    /// Sends the outstanding write of a submission to the store.
    pub fn write(
        &mut self,
        index: usize,
        behavior: StoreBehavior,
        wrongly_gone: bool,
    ) -> Result<(), String> {
        let Some(write) = self
            .running_submission(index)
            .and_then(|submission| submission.write.take())
        else {
            return Ok(());
        };
        let result = match behavior {
            StoreBehavior::Works => self.apply(write, wrongly_gone),
            StoreBehavior::Down => Err(ClaimFault::Unavailable),
            StoreBehavior::LosesAnswer => {
                let _ = self.apply(write, wrongly_gone);
                Err(ClaimFault::Unknown)
            }
            StoreBehavior::LosesRequest => Err(ClaimFault::Unknown),
            StoreBehavior::AppliesLate => {
                self.late_writes.push(write);
                Err(ClaimFault::Unknown)
            }
        };
        let result = self.apply_flaw(result);
        self.event(index, ClaimEvent::Written(result))
    }

    /// The store: create-if-absent and compare-and-swap.
    fn apply(&mut self, write: ClaimWrite, wrongly_gone: bool) -> Result<Revision, ClaimFault> {
        let blind = self.flaw == Flaw::BlindReplace;
        let (claim, allowed) = match (write, &self.record) {
            (ClaimWrite::Create(claim), None) => (claim, true),
            (ClaimWrite::Create(claim), Some(_)) => (claim, false),
            (ClaimWrite::Replace(..), None) => return Err(ClaimFault::Missing),
            (ClaimWrite::Replace(expected, claim), Some((revision, _))) => {
                (claim, blind || expected == *revision)
            }
        };
        if allowed {
            self.revision += 1;
            self.record = Some((Revision(self.revision), claim));
            return Ok(Revision(self.revision));
        }
        let (revision, claim) = self
            .record
            .clone()
            .expect("a write is refused for a record");
        let holder = claim
            .daemon
            .as_str()
            .trim_start_matches("daemon-")
            .parse::<usize>();
        Err(ClaimFault::Present(Box::new(StoredClaim {
            revision,
            holder_gone: wrongly_gone || self.crashed[holder.expect("a daemon's number")],
            claim,
        })))
    }

    /// Alters a result as the broken variant does.
    fn apply_flaw(&self, result: Result<Revision, ClaimFault>) -> Result<Revision, ClaimFault> {
        match result {
            Err(ClaimFault::Unknown) if self.flaw == Flaw::RunsWhenUnknown => Ok(Revision(0)),
            Err(ClaimFault::Present(mut stored)) if self.flaw == Flaw::TakesOverFromGone => {
                if stored.holder_gone {
                    stored.claim.outcome = ClaimOutcome::NotRun(Code::BackendUnreachable);
                }
                Err(ClaimFault::Present(stored))
            }
            other => other,
        }
    }

    fn send(&mut self, index: usize, end: AttemptEnd, ran: bool) -> Result<(), String> {
        let flaw = self.flaw;
        let now = Timestamp(self.now_unix * 1_000);
        let mut budget = RetryBudget::new(RetryBudgetSettings::default(), now);
        let Some(submission) = self
            .running_submission(index)
            .filter(|submission| submission.may_send)
        else {
            return Ok(());
        };
        let attempt = AttemptId(1_000 + u128::from(submission.request.attempts()));
        let runner = RunnerName::literal("despacho-1");
        if let Err(code) = submission.request.begin(attempt, runner, now, &mut budget) {
            return self.finish(index, Some(code), RequestEnd::refused(code));
        }
        let broken = end == AttemptEnd::BrokenBeforeHead;
        let runs = matches!(end, AttemptEnd::Status(_)) || broken && ran;
        let resends = broken && flaw == Flaw::ResendsAfterLostAnswer;
        let seen = if resends { AttemptEnd::NotSent } else { end };
        submission.ran |= runs;
        let step = submission.request.on_end(attempt, seen, now, &mut budget);
        let other_body = submission.other_body;
        *self.runs.entry(other_body).or_default() += u32::from(runs);
        if runs {
            self.run_at.push(self.now_unix);
        }
        match step {
            Step::Retry { .. } => Ok(()),
            Step::Done => self.finish(index, None, answer(BODY.to_owned())),
            Step::Finish(code) => self.finish(index, Some(code), RequestEnd::refused(code)),
            Step::Stale => Err("the current attempt is stale".to_owned()),
        }
    }

    /// Replies to the caller and reports the end to the claim.
    fn finish(
        &mut self,
        index: usize,
        refused: Option<Code>,
        end: RequestEnd,
    ) -> Result<(), String> {
        let forgotten = self.submissions[index].removals < self.removals;
        if refused.is_some_and(Code::not_run) && !forgotten {
            rule(self.all_runs() == 0, "not run, though its key had run")?;
        }
        let end = match end {
            RequestEnd::Unknown if self.flaw == Flaw::FreesKeyAfterLostAnswer => {
                RequestEnd::NotRun(Code::BackendUnreachable)
            }
            other => other,
        };
        self.submissions[index].may_send = false;
        self.submissions[index].refused = refused;
        self.submissions[index].replies += 1;
        self.event(index, ClaimEvent::Ended(end))
    }

    fn event(&mut self, index: usize, event: ClaimEvent) -> Result<(), String> {
        let now_unix = self.now_unix;
        let Some(submission) = self.running_submission(index) else {
            return Ok(());
        };
        let actions = submission.claim.handle(event, now_unix);
        self.act(index, actions)
    }

    fn act(&mut self, index: usize, actions: Vec<ClaimAction>) -> Result<(), String> {
        for action in actions {
            let runs = self.all_runs();
            let submission = &mut self.submissions[index];
            rule(!submission.closed, "an action after closing")?;
            match action {
                ClaimAction::Write { write, .. } => {
                    rule(submission.write.is_none(), "two writes at a time")?;
                    let (ClaimWrite::Create(claim) | ClaimWrite::Replace(_, claim)) = &write;
                    let claims = claim.outcome == ClaimOutcome::InProgress;
                    rule(
                        !claims || submission.replies == 0,
                        "claimed after the reply",
                    )?;
                    submission.write = Some(write);
                    submission.writes_before_reply += u32::from(submission.replies == 0);
                    rule(
                        submission.writes_before_reply <= MAX_WRITES_BEFORE_REPLY,
                        "the caller waits for too many writes",
                    )?;
                }
                ClaimAction::Proceed => submission.may_send = true,
                ClaimAction::Replay { status, body, .. } => {
                    submission.replies += 1;
                    rule(
                        status == 201 && body == BODY && runs == 1,
                        "replayed a different answer",
                    )?;
                }
                ClaimAction::Refuse(refusal) => {
                    submission.replies += 1;
                    submission.refused = Some(refusal.code);
                }
                ClaimAction::Close => submission.closed = true,
            }
        }
        Ok(())
    }

    fn running_submission(&mut self, index: usize) -> Option<&mut Submission> {
        let submission = self.submissions.get_mut(index)?;
        (!self.crashed[submission.daemon]).then_some(submission)
    }

    /// Checks the invariants that hold after each operation.
    fn check(&self) -> Result<(), String> {
        rule(self.all_runs() <= 1, "ran twice")?;
        self.check_runs_apart()?;
        for submission in &self.submissions {
            rule(submission.replies <= 1, "replied twice")?;
            let not_run = submission.refused.is_some_and(Code::not_run);
            rule(!(not_run && submission.ran), "not run, but it ran")?;
        }
        match self.record.as_ref().map(|(_, claim)| &claim.outcome) {
            Some(ClaimOutcome::NotRun(_)) => rule(self.all_runs() == 0, "recorded as not run"),
            Some(ClaimOutcome::Answered { .. }) => {
                rule(self.all_runs() == 1, "recorded an answer without a run")
            }
            _ => Ok(()),
        }
    }

    /// After the faults end, each machine must close and each caller whose daemon is running must
    /// get exactly one reply. After that the key must not stay blocked.
    pub fn settle(&mut self) -> Result<(), String> {
        for _ in 0..30 {
            for index in 0..self.submissions.len() {
                self.step(Operation::Write(index, StoreBehavior::Works, false))?;
                self.step(Operation::Send(index, AttemptEnd::Status(201), true))?;
            }
        }
        for submission in &self.submissions {
            if !self.crashed[submission.daemon] {
                rule(submission.replies == 1, "a caller got no answer")?;
                rule(
                    submission.closed && submission.claim.is_closed(),
                    "never closed",
                )?;
            }
        }
        for write in std::mem::take(&mut self.late_writes) {
            let _ = self.apply(write, false);
        }
        let record = self.record.as_ref().map(|(_, claim)| &claim.outcome);
        let unsettled = record == Some(&ClaimOutcome::InProgress);
        // A late creation that is applied after a removal belongs to a machine that is closed.
        let forgotten = self.removals > 0;
        rule(
            !unsettled || forgotten || self.crashed.contains(&true),
            "a claim was left in progress",
        )?;
        self.now_unix += REQUEST_TIMEOUT_SECONDS + 31;
        self.crashed[0] = false;
        self.submit(0, false)?;
        let last = self.submissions.len() - 1;
        for _ in 0..5 {
            self.step(Operation::Write(last, StoreBehavior::Works, false))?;
        }
        let submission = &self.submissions[last];
        rule(
            submission.refused != Some(Code::KeyInProgress),
            "the key stays blocked",
        )?;
        rule(
            submission.replies == 1 || submission.may_send,
            "the last caller got no answer",
        )
    }
}
