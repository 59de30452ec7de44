//! The machine of one claim: before, during and after its request.

use std::time::Duration;

use flaxward_types::records::{Claim, ClaimOutcome};
use flaxward_types::{Refusal, ResultCode, Revision};

use super::interface::{
    ClaimAction, ClaimEvent, ClaimFault, ClaimRequest, ClaimSettings, ClaimWrite, RequestEnd,
    StoredClaim,
};
use super::removal::RemovalGroup;

/// What the caller reads beside [`ResultCode::ClaimNotRecorded`].
const NOT_RECORDED: &str = "the key could not be recorded, so this request was not run; an earlier \
    one with the same key may have run: repeat it with the same key";

/// How far the claim is. In `Claiming`, `Marking` and `Settling` one write is outstanding.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The claim is being written; the caller waits.
    Claiming {
        /// The write outstanding.
        write: ClaimWrite,
        /// Whether an earlier write of the claim may have been carried out.
        uncertain: bool,
    },
    /// The claim of another daemon that is gone is being marked unknown; the caller waits.
    Marking,
    /// The request may be running, under the claim at this version.
    Running(Revision),
    /// The caller has its answer; the outcome is being written.
    Settling(ClaimWrite),
    /// Nothing more to do.
    Closed,
}

/// Takes a claim, guards its request, and records what became of it.
#[derive(Clone, Debug)]
pub struct ClaimMachine {
    settings: ClaimSettings,
    request: ClaimRequest,
    phase: Phase,
    /// Writes tried in this phase.
    tries: u32,
    /// The code the request was given up with while the caller waited.
    given_up: Option<ResultCode>,
}

impl ClaimMachine {
    /// A machine and its first write.
    pub fn start(
        settings: ClaimSettings,
        request: ClaimRequest,
        now_unix: u64,
    ) -> (Self, ClaimAction) {
        let mut machine = Self {
            settings,
            request,
            phase: Phase::Closed,
            tries: 0,
            given_up: None,
        };
        let create = ClaimWrite::Create(machine.claim(ClaimOutcome::InProgress, now_unix));
        let action = machine.write_claim(create, false);
        (machine, action)
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, event: ClaimEvent, now_unix: u64) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Written(result) => self.on_written(result, now_unix),
            ClaimEvent::Ended(end) => self.on_ended(end, now_unix),
            ClaimEvent::GiveUp(code) => self.on_give_up(code),
        }
    }

    /// Whether nothing more is to do.
    pub fn is_closed(&self) -> bool {
        self.phase == Phase::Closed
    }

    /// Whether the request may be running, by this machine's leave.
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
            Err(ClaimFault::Present(stored)) => self.judge(&stored, now_unix),
            Err(ClaimFault::Missing) => {
                let create = ClaimWrite::Create(self.claim(ClaimOutcome::InProgress, now_unix));
                self.claim_again(create, uncertain, now_unix)
            }
            Err(ClaimFault::Unreadable) => self.refuse(ResultCode::KeyOutcomeUnknown),
            Err(ClaimFault::Unavailable) if uncertain => self.release(&write, now_unix),
            Err(ClaimFault::Unavailable) => self.refuse(ResultCode::ClaimNotRecorded),
            Err(ClaimFault::Unknown) => self.claim_again(write, true, now_unix),
        }
    }

    /// The claim is ours, at this version.
    fn on_claimed(&mut self, revision: Revision, now_unix: u64) -> Vec<ClaimAction> {
        if self.given_up.is_some() {
            let outcome = ClaimOutcome::NotRun(self.refusal_code());
            return vec![self.settle(Some(revision), outcome, now_unix)];
        }
        self.phase = Phase::Running(revision);
        vec![ClaimAction::Proceed]
    }

    /// There is a claim under the key.
    fn judge(&mut self, stored: &StoredClaim, now_unix: u64) -> Vec<ClaimAction> {
        let claim = &stored.claim;
        if claim.attempt == self.request.attempt {
            // A write whose answer was lost has been carried out. The request has not been sent,
            // even if a daemon that took this one for gone has marked the claim since.
            return self.on_claimed(stored.revision, now_unix);
        }
        if claim.request_digest != self.request.digest {
            return self.refuse(ResultCode::KeyReused);
        }
        match &claim.outcome {
            ClaimOutcome::InProgress => self.judge_in_progress(stored, now_unix),
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
                // Whatever was tried before is void: the record has another version by now.
                self.claim_again(replace, false, now_unix)
            }
            ClaimOutcome::Unknown => self.refuse(ResultCode::KeyOutcomeUnknown),
        }
    }

    /// The request may be running elsewhere, or its daemon died. It is not run here in either case.
    fn judge_in_progress(&mut self, stored: &StoredClaim, now_unix: u64) -> Vec<ClaimAction> {
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

    /// Whether the mark was written or not, the outcome is unknown; unless the holder has just
    /// recorded it, so that it is not gone after all.
    fn on_marked(
        &mut self,
        result: Result<Revision, ClaimFault>,
        now_unix: u64,
    ) -> Vec<ClaimAction> {
        match result {
            Err(ClaimFault::Present(stored))
                if stored.claim.outcome != ClaimOutcome::InProgress =>
            {
                self.judge(&stored, now_unix)
            }
            _ => self.refuse(ResultCode::KeyOutcomeUnknown),
        }
    }

    /// Writes the claim again, or refuses when it was tried often enough.
    fn claim_again(
        &mut self,
        write: ClaimWrite,
        uncertain: bool,
        now_unix: u64,
    ) -> Vec<ClaimAction> {
        if self.tries < self.settings.claim_tries && self.given_up.is_none() {
            return vec![self.write_claim(write, uncertain)];
        }
        if uncertain {
            return self.release(&write, now_unix);
        }
        self.refuse(ResultCode::ClaimNotRecorded)
    }

    /// Refuses, and makes sure that a claim which may have been written does not block the key.
    /// Writing "not run" in the same way as the claim works in each case: if the claim was not
    /// written, it also keeps a write still on its way from being carried out later.
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
                let own = stored.claim.attempt == self.request.attempt;
                if !own || stored.claim.outcome == wanted.outcome {
                    return self.close();
                }
                let outcome = wanted.outcome.clone();
                let replace = ClaimWrite::Replace(stored.revision, self.claim(outcome, now_unix));
                self.settle_again(replace)
            }
            Err(ClaimFault::Unavailable | ClaimFault::Unknown) => self.settle_again(write),
        }
    }

    fn settle_again(&mut self, write: ClaimWrite) -> Vec<ClaimAction> {
        if self.tries >= self.settings.settle_tries {
            return self.close();
        }
        vec![self.write_outcome(write)]
    }

    fn on_give_up(&mut self, code: ResultCode) -> Vec<ClaimAction> {
        let waits = matches!(self.phase, Phase::Claiming { .. } | Phase::Marking);
        if !waits || self.given_up.is_some() {
            return Vec::new();
        }
        let actions = self.reply_refusal(code);
        self.given_up = Some(code);
        actions
    }

    /// Begins to write an outcome: over this version, or where there is no record.
    fn settle(
        &mut self,
        expected: Option<Revision>,
        outcome: ClaimOutcome,
        now_unix: u64,
    ) -> ClaimAction {
        self.tries = 0;
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

    /// The first write of a phase goes out at once, later ones after a growing pause.
    fn write(&mut self, write: ClaimWrite) -> ClaimAction {
        let after = match self.tries.checked_sub(1) {
            None => Duration::ZERO,
            Some(doublings) => self
                .settings
                .first_pause
                .saturating_mul(1_u32.checked_shl(doublings).unwrap_or(u32::MAX))
                .min(self.settings.longest_pause),
        };
        self.tries += 1;
        ClaimAction::Write { after, write }
    }

    fn refuse(&mut self, code: ResultCode) -> Vec<ClaimAction> {
        let mut actions = self.reply_refusal(code);
        actions.extend(self.close());
        actions
    }

    /// The refusal, unless the caller was refused when the request was given up.
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

    /// Replies and closes.
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

    /// A record outlives its request, whatever the deadline.
    fn expiry(&self, now_unix: u64) -> u64 {
        now_unix
            .max(self.abandoned_unix())
            .saturating_add(self.settings.lifetime.as_secs())
    }
}
