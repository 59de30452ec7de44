//! The machine of one request.

use flaxward_types::{AttemptId, ResultCode, RunnerName, Timestamp};

use super::budget::RetryBudget;
use super::interface::{AttemptEnd, AttemptSettings, Delivered, RequestPolicy, Step};

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// No attempt is under way; one may begin.
    Waiting,
    /// This attempt is under way.
    Sent(AttemptId, RunnerName),
    /// The caller has its answer or refusal.
    Finished,
}

/// One request's life. The driver calls [`RequestMachine::begin`] before each attempt and
/// [`RequestMachine::on_end`] after it; attempt ids are never used twice.
#[derive(Clone, Debug)]
pub struct RequestMachine {
    policy: RequestPolicy,
    settings: AttemptSettings,
    phase: Phase,
    attempts: u32,
    delivered: Delivered,
    /// Whether a byte of any ended attempt may have reached a back end.
    may_have_reached: bool,
    /// Whether any ended attempt may have run.
    may_have_run: bool,
}

impl RequestMachine {
    /// A request that has not been sent.
    pub fn new(policy: RequestPolicy, settings: AttemptSettings) -> Self {
        Self {
            policy,
            settings,
            phase: Phase::Waiting,
            attempts: 0,
            delivered: Delivered::Nothing,
            may_have_reached: false,
            may_have_run: false,
        }
    }

    /// Begins an attempt; only after this may a byte be sent.
    ///
    /// # Errors
    /// The code to refuse the request with: its deadline has passed, or no attempt may begin now
    /// (a fault of the driver).
    pub fn begin(
        &mut self,
        attempt: AttemptId,
        runner: RunnerName,
        now: Timestamp,
        budget: &mut RetryBudget,
    ) -> Result<(), ResultCode> {
        if self.phase != Phase::Waiting {
            return Err(ResultCode::Internal);
        }
        if now >= self.policy.deadline {
            self.phase = Phase::Finished;
            return Err(self.deadline_code());
        }
        if self.attempts == 0 {
            budget.deposit(now);
        }
        self.attempts += 1;
        self.phase = Phase::Sent(attempt, runner);
        Ok(())
    }

    /// Notes what the caller has received by now from the current attempt.
    pub fn note_delivered(&mut self, attempt: AttemptId, delivered: Delivered) {
        if self.is_current(attempt) {
            self.delivered = self.delivered.max(delivered);
        }
    }

    /// Decides what follows the end of an attempt.
    pub fn on_end(
        &mut self,
        attempt: AttemptId,
        end: AttemptEnd,
        now: Timestamp,
        budget: &mut RetryBudget,
    ) -> Step {
        let runner = match &self.phase {
            Phase::Sent(current, runner) if *current == attempt => runner.clone(),
            _ => return Step::Stale,
        };
        self.phase = Phase::Finished;
        self.absorb(end);
        let refusal = match self.obstacle(end, now) {
            Some(code) => code,
            None if budget.withdraw(now) => {
                self.phase = Phase::Waiting;
                return Step::SendAgain {
                    resume_from: self.resume_from(),
                    avoid: runner,
                };
            }
            None => self.budget_code(end),
        };
        if matches!(end, AttemptEnd::Status(_)) {
            return Step::Done;
        }
        Step::Finish(refusal)
    }

    /// Ends a request that waits between attempts, such as when no back end takes it in time, and
    /// gives the code to tell the caller in place of `code`.
    pub fn give_up(&mut self, code: ResultCode) -> ResultCode {
        let code = self.final_code(code);
        self.phase = Phase::Finished;
        code
    }

    /// The code to tell the caller in place of `code`: never "not run" if any attempt, the current
    /// one included, may have run.
    pub fn final_code(&self, code: ResultCode) -> ResultCode {
        if !code.not_run() || !self.may_have_run() {
            return code;
        }
        if self.delivered == Delivered::Nothing {
            ResultCode::OutcomeUnknown
        } else {
            ResultCode::StreamBroken
        }
    }

    /// Whether any attempt, the current one included, may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || matches!(self.phase, Phase::Sent(..))
    }

    /// Whether what this attempt brings is to be used.
    pub fn is_current(&self, attempt: AttemptId) -> bool {
        matches!(&self.phase, Phase::Sent(current, _) if *current == attempt)
    }

    /// Attempts begun.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// What the caller has received.
    pub fn delivered(&self) -> Delivered {
        self.delivered
    }

    /// First frame still needed, if the caller already has some.
    pub fn resume_from(&self) -> Option<u64> {
        match self.delivered {
            Delivered::Frames(next_index) if next_index > 0 => Some(next_index),
            _ => None,
        }
    }

    fn absorb(&mut self, end: AttemptEnd) {
        self.may_have_reached |= end.may_have_reached();
        self.may_have_run |= end.may_have_run();
        if let AttemptEnd::BrokenMidStream { next_index } = end {
            self.delivered = self.delivered.max(Delivered::Frames(next_index));
        }
    }

    /// Why the request is not sent again, apart from the budget. For an attempt that was answered
    /// the code is not shown.
    fn obstacle(&self, end: AttemptEnd, now: Timestamp) -> Option<ResultCode> {
        if end.has_completed() || end == AttemptEnd::Cancelled {
            return Some(self.final_code(end.code()));
        }
        if now >= self.policy.deadline {
            return Some(self.deadline_code());
        }
        let forbidden = !self.policy.repeatable && self.may_have_reached;
        let cannot_continue = self.delivered == Delivered::Bytes;
        let exhausted = self.attempts >= self.settings.max_attempts;
        if forbidden || cannot_continue || exhausted {
            return Some(self.final_code(end.code()));
        }
        None
    }

    fn deadline_code(&self) -> ResultCode {
        if self.may_have_run {
            ResultCode::DeadlineWhileRunning
        } else {
            ResultCode::DeadlinePassed
        }
    }

    /// A request that certainly did not run is better told so than that the budget is spent.
    fn budget_code(&self, end: AttemptEnd) -> ResultCode {
        let code = self.final_code(end.code());
        if code.not_run() {
            code
        } else {
            ResultCode::RetryBudgetSpent
        }
    }
}
