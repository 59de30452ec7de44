//! State machine of one claim: before, during and after its request.

use std::time::Duration;

use flaxward_types::records::{Claim, ClaimOutcome};
use flaxward_types::{Refusal, ResultCode, Revision};

use super::interface::{
    ClaimAction, ClaimEvent, ClaimFault, ClaimRequest, ClaimSettings, ClaimWrite, RequestEnd,
    StoredClaim,
};
use super::removal::RemovalGroup;

/// Detail text of refusals with [`ResultCode::ClaimNotRecorded`].
const NOT_RECORDED: &str = "the key could not be recorded, so this request was not run; an earlier \
    one with the same key may have run: repeat it with the same key";

/// Phase of the claim. In `Claiming`, `Marking` and `Settling` one write is outstanding.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The claim is being written; the caller waits.
    Claiming {
        /// The write outstanding.
        write: ClaimWrite,
        /// Whether an earlier write of the claim may have been applied.
        uncertain: bool,
    },
    /// Another daemon's abandoned claim is being marked as unknown; the caller waits.
    Marking,
    /// The request may be running; the claim has this version.
    Running(Revision),
    /// The caller has its answer; the outcome is being recorded.
    Settling(ClaimWrite),
    /// Done.
    Closed,
}

/// Creates the claim, allows its request to be sent, and records the outcome.
#[derive(Clone, Debug)]
pub struct ClaimMachine {
    settings: ClaimSettings,
    request: ClaimRequest,
    phase: Phase,
    /// Writes attempted in this phase.
    writes: u32,
    /// The code with which the request was given up while the caller waited.
    given_up: Option<ResultCode>,
}

impl ClaimMachine {
    /// Creates a machine and returns it with its first write.
    pub fn start(
        settings: ClaimSettings,
        request: ClaimRequest,
        now_unix: u64,
    ) -> (Self, ClaimAction) {
        let mut machine = Self {
            settings,
            request,
            phase: Phase::Closed,
            writes: 0,
            given_up: None,
        };
        let create = ClaimWrite::Create(machine.claim(ClaimOutcome::InProgress, now_unix));
        let action = machine.write_claim(create, false);
        (machine, action)
    }

    /// Applies an event and returns the actions to carry out.
    pub fn handle(&mut self, event: ClaimEvent, now_unix: u64) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Written(result) => self.on_written(result, now_unix),
            ClaimEvent::Ended(end) => self.on_ended(end, now_unix),
            ClaimEvent::GiveUp(code) => self.on_give_up(code),
        }
    }

    /// Whether the machine is done and may be dropped.
    pub fn is_closed(&self) -> bool {
        self.phase == Phase::Closed
    }

    /// Whether this machine has allowed the request to be sent and no end has been reported.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running(_))
    }

    fn on_written(
        &mut self,
        result: Result<Revision, ClaimFault>,
        now_unix: u64,
    ) -> Vec<ClaimAction> {
        match self.phase.clone() {
            Phase::Claiming { write, uncertain } => {
                self.on_claim_written(write, uncertain, result, now_unix)
            }
            Phase::Marking => self.on_marked(result, now_unix),
            Phase::Settling(write) => self.on_settled(write, result, now_unix),
            Phase::Running(_) | Phase::Closed => Vec::new(),
        }
    }

    fn on_claim_written(
        &mut self,
        write: ClaimWrite,
        uncertain: bool,
        result: Result<Revision, ClaimFault>,
        now_unix: u64,
    ) -> Vec<ClaimAction> {
        match result {
            Ok(revision) => self.on_claimed(revision, now_unix),
            Err(ClaimFault::Present(stored)) => self.on_existing_claim(&stored, now_unix),
            Err(ClaimFault::Missing) => {
                let create = ClaimWrite::Create(self.claim(ClaimOutcome::InProgress, now_unix));
                self.retry_claim(create, uncertain, now_unix)
            }
            Err(ClaimFault::Unreadable) => self.refuse(ResultCode::KeyOutcomeUnknown),
            Err(ClaimFault::Unavailable) if uncertain => self.release(&write, now_unix),
            Err(ClaimFault::Unavailable) => self.refuse(ResultCode::ClaimNotRecorded),
            Err(ClaimFault::Unknown) => self.retry_claim(write, true, now_unix),
        }
    }

    /// This attempt holds the claim, at this version.
    fn on_claimed(&mut self, revision: Revision, now_unix: u64) -> Vec<ClaimAction> {
        if self.given_up.is_some() {
            let outcome = ClaimOutcome::NotRun(self.refusal_code());
            return vec![self.settle(Some(revision), outcome, now_unix)];
        }
        self.phase = Phase::Running(revision);
        vec![ClaimAction::Proceed]
    }

    /// A claim exists under the key.
    fn on_existing_claim(&mut self, stored: &StoredClaim, now_unix: u64) -> Vec<ClaimAction> {
        let claim = &stored.claim;
        if claim.attempt == self.request.attempt {
            // An earlier write was applied and its answer was lost. The request has not been sent
            // yet, even if another daemon has since marked the claim because it took this
            // daemon for gone.
            return self.on_claimed(stored.revision, now_unix);
        }
        if claim.request_digest != self.request.digest {
            return self.refuse(ResultCode::KeyReused);
        }
        match &claim.outcome {
            ClaimOutcome::InProgress => self.on_claim_in_progress(stored, now_unix),
            ClaimOutcome::Answered {
                status,
                content_type,
                body: Some(body),
            } => self.reply(ClaimAction::Replay {
                status: *status,
                content_type: content_type.clone(),
                body: body.clone(),
            }),
            ClaimOutcome::Answered {
                status, body: None, ..
            } => {
                let detail = format!("{} (status {status})", ResultCode::KeyAnswerNotKept.text());
                let refusal = Refusal::new(ResultCode::KeyAnswerNotKept).with_detail(detail);
                self.reply(ClaimAction::Refuse(refusal))
            }
            ClaimOutcome::NotRun(_) => {
                let claim = self.claim(ClaimOutcome::InProgress, now_unix);
                let replace = ClaimWrite::Replace(stored.revision, claim);
                // Earlier writes can no longer be applied, since the record has another version.
                self.retry_claim(replace, false, now_unix)
            }
            ClaimOutcome::Unknown => self.refuse(ResultCode::KeyOutcomeUnknown),
        }
    }

    /// The request may be running on another daemon, or that daemon crashed. It is not run here in
    /// either case.
    fn on_claim_in_progress(&mut self, stored: &StoredClaim, now_unix: u64) -> Vec<ClaimAction> {
        if !stored.holder_gone && now_unix < stored.claim.abandoned_unix {
            return self.refuse(ResultCode::KeyInProgress);
        }
        self.phase = Phase::Marking;
        let expires_unix = self.expiry(now_unix);
        let claim = Claim {
            outcome: ClaimOutcome::Unknown,
            expires_unix,
            removal_group: RemovalGroup::of(expires_unix, stored.claim.attempt).to_string(),
            ..stored.claim.clone()
        };
        vec![ClaimAction::Write {
            after: Duration::ZERO,
            write: ClaimWrite::Replace(stored.revision, claim),
        }]
    }

    /// The outcome is unknown whether or not the mark was written, unless the holder has recorded
    /// the outcome in the meantime and so is still running.
    fn on_marked(
        &mut self,
        result: Result<Revision, ClaimFault>,
        now_unix: u64,
    ) -> Vec<ClaimAction> {
        match result {
            Err(ClaimFault::Present(stored))
                if stored.claim.outcome != ClaimOutcome::InProgress =>
            {
                self.on_existing_claim(&stored, now_unix)
            }
            _ => self.refuse(ResultCode::KeyOutcomeUnknown),
        }
    }

    /// Retries the write of the claim, or refuses once the limit is reached.
    fn retry_claim(
        &mut self,
        write: ClaimWrite,
        uncertain: bool,
        now_unix: u64,
    ) -> Vec<ClaimAction> {
        if self.writes < self.settings.max_claim_writes && self.given_up.is_none() {
            return vec![self.write_claim(write, uncertain)];
        }
        if uncertain {
            return self.release(&write, now_unix);
        }
        self.refuse(ResultCode::ClaimNotRecorded)
    }

    /// Refuses, and ensures that a claim which may have been written does not block the key.
    /// Writing "not run" under the same condition as the claim is correct in either case: if the
    /// claim was not written, this also prevents a write in flight from being applied later.
    fn release(&mut self, write: &ClaimWrite, now_unix: u64) -> Vec<ClaimAction> {
        let mut actions = self.reply_refusal(ResultCode::ClaimNotRecorded);
        let expected = match write {
            ClaimWrite::Create(_) => None,
            ClaimWrite::Replace(revision, _) => Some(*revision),
        };
        let outcome = ClaimOutcome::NotRun(self.refusal_code());
        actions.push(self.settle(expected, outcome, now_unix));
        actions
    }

    fn on_ended(&mut self, end: RequestEnd, now_unix: u64) -> Vec<ClaimAction> {
        let Phase::Running(revision) = self.phase else {
            return Vec::new();
        };
        let outcome = self.outcome(end);
        vec![self.settle(Some(revision), outcome, now_unix)]
    }

    fn on_settled(
        &mut self,
        write: ClaimWrite,
        result: Result<Revision, ClaimFault>,
        now_unix: u64,
    ) -> Vec<ClaimAction> {
        let (ClaimWrite::Create(wanted) | ClaimWrite::Replace(_, wanted)) = &write;
        match result {
            Ok(_) | Err(ClaimFault::Missing | ClaimFault::Unreadable) => self.close(),
            Err(ClaimFault::Present(stored)) => {
                let is_own = stored.claim.attempt == self.request.attempt;
                if !is_own || stored.claim.outcome == wanted.outcome {
                    return self.close();
                }
                let outcome = wanted.outcome.clone();
                let replace = ClaimWrite::Replace(stored.revision, self.claim(outcome, now_unix));
                self.retry_outcome(replace)
            }
            Err(ClaimFault::Unavailable | ClaimFault::Unknown) => self.retry_outcome(write),
        }
    }

    fn retry_outcome(&mut self, write: ClaimWrite) -> Vec<ClaimAction> {
        if self.writes >= self.settings.max_outcome_writes {
            return self.close();
        }
        vec![self.write_outcome(write)]
    }

    fn on_give_up(&mut self, code: ResultCode) -> Vec<ClaimAction> {
        let is_waiting = matches!(self.phase, Phase::Claiming { .. } | Phase::Marking);
        if !is_waiting || self.given_up.is_some() {
            return Vec::new();
        }
        let actions = self.reply_refusal(code);
        self.given_up = Some(code);
        actions
    }

    /// Starts to record an outcome, replacing this version or creating the record.
    fn settle(
        &mut self,
        expected: Option<Revision>,
        outcome: ClaimOutcome,
        now_unix: u64,
    ) -> ClaimAction {
        self.writes = 0;
        let claim = self.claim(outcome, now_unix);
        self.write_outcome(match expected {
            Some(revision) => ClaimWrite::Replace(revision, claim),
            None => ClaimWrite::Create(claim),
        })
    }

    fn write_claim(&mut self, write: ClaimWrite, uncertain: bool) -> ClaimAction {
        self.phase = Phase::Claiming {
            write: write.clone(),
            uncertain,
        };
        self.write(write)
    }

    fn write_outcome(&mut self, write: ClaimWrite) -> ClaimAction {
        self.phase = Phase::Settling(write.clone());
        self.write(write)
    }

    /// The first write of a phase is sent at once, retries with exponential backoff.
    fn write(&mut self, write: ClaimWrite) -> ClaimAction {
        let after = match self.writes.checked_sub(1) {
            None => Duration::ZERO,
            Some(doublings) => self
                .settings
                .initial_backoff
                .saturating_mul(1_u32.checked_shl(doublings).unwrap_or(u32::MAX))
                .min(self.settings.max_backoff),
        };
        self.writes += 1;
        ClaimAction::Write { after, write }
    }

    fn refuse(&mut self, code: ResultCode) -> Vec<ClaimAction> {
        let mut actions = self.reply_refusal(code);
        actions.extend(self.close());
        actions
    }

    /// The refusal, unless the caller was already refused when the request was given up.
    fn reply_refusal(&self, code: ResultCode) -> Vec<ClaimAction> {
        if self.given_up.is_some() {
            return Vec::new();
        }
        let refusal = Refusal::new(code);
        let refusal = match code {
            ResultCode::KeyInProgress => refusal.with_retry_after(self.settings.retry_after),
            ResultCode::ClaimNotRecorded => refusal
                .with_detail(NOT_RECORDED)
                .with_retry_after(self.settings.retry_after),
            _ => refusal,
        };
        vec![ClaimAction::Refuse(refusal)]
    }

    /// Replies to the caller, unless it was already refused, and closes.
    fn reply(&mut self, reply: ClaimAction) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        if self.given_up.is_none() {
            actions.push(reply);
        }
        actions.extend(self.close());
        actions
    }

    fn close(&mut self) -> Vec<ClaimAction> {
        self.phase = Phase::Closed;
        vec![ClaimAction::Close]
    }

    fn refusal_code(&self) -> ResultCode {
        self.given_up.unwrap_or(ResultCode::ClaimNotRecorded)
    }

    fn outcome(&self, end: RequestEnd) -> ClaimOutcome {
        match end {
            RequestEnd::Answered {
                status,
                content_type,
                body,
            } => ClaimOutcome::Answered {
                status,
                content_type,
                body: body.filter(|body| body.len() <= self.settings.max_kept_body),
            },
            RequestEnd::NotRun(code) => ClaimOutcome::NotRun(code),
            RequestEnd::Unknown => ClaimOutcome::Unknown,
        }
    }

    fn claim(&self, outcome: ClaimOutcome, now_unix: u64) -> Claim {
        let expires_unix = self.expiry(now_unix);
        Claim {
            request_digest: self.request.digest.clone(),
            attempt: self.request.attempt,
            daemon: self.request.daemon.clone(),
            expires_unix,
            removal_group: RemovalGroup::of(expires_unix, self.request.attempt).to_string(),
            abandoned_unix: self.abandoned_unix(),
            outcome,
        }
    }

    fn abandoned_unix(&self) -> u64 {
        let margin = self.settings.abandon_margin.as_secs();
        self.request.deadline_unix.saturating_add(margin)
    }

    /// A record is kept for its lifetime after the request can no longer run, however late the
    /// deadline.
    fn expiry(&self, now_unix: u64) -> u64 {
        now_unix
            .max(self.abandoned_unix())
            .saturating_add(self.settings.lifetime.as_secs())
    }
}
