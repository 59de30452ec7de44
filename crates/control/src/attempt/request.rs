//! State machine of one request.

use flaxward_types::{AttemptId, ResultCode, RunnerName, Timestamp};

use super::budget::RetryBudget;
use super::interface::{AttemptEnd, AttemptSettings, Delivered, RequestPolicy, Step};

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// No attempt is in progress; one may begin.
    Waiting,
    /// This attempt is in progress.
    Sent(AttemptId, RunnerName),
    /// The caller has its answer or refusal.
    Finished,
}

/// State machine of one request and its attempts. The driver calls [`RequestMachine::begin`] before
/// each attempt and [`RequestMachine::on_end`] after it; attempt ids are never reused.
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
    /// Creates the machine of a request that has not been sent.
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

    /// Begins an attempt. No byte of it may be sent before this call succeeds.
    ///
    /// # Errors
    /// The code to refuse the request with: its deadline has passed, or no attempt may begin now
    /// (a bug in the driver).
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

    /// Records how much the caller has received so far from the current attempt.
    pub fn record_delivered(&mut self, attempt: AttemptId, delivered: Delivered) {
        if self.is_current(attempt) {
            self.delivered = self.delivered.max(delivered);
        }
    }

    /// Decides the next step after the end of an attempt.
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
        self.record_end(end);
        let refusal = match self.refusal_to_retry(end, now) {
            Some(code) => code,
            None if budget.withdraw(now) => {
                self.phase = Phase::Waiting;
                return Step::Retry {
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

    /// Ends a request that waits between attempts, for example because no back end accepts it in
    /// time. Returns the code to report to the caller in place of `code`.
    pub fn give_up(&mut self, code: ResultCode) -> ResultCode {
        let code = self.final_code(code);
        self.phase = Phase::Finished;
        code
    }

    /// The code to report to the caller in place of `code`: never "not run" if any attempt,
    /// including the current one, may have run.
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

    /// Whether any attempt, including the current one, may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || matches!(self.phase, Phase::Sent(..))
    }

    /// Whether this attempt is the one in progress, so that its answer is used.
    pub fn is_current(&self, attempt: AttemptId) -> bool {
        matches!(&self.phase, Phase::Sent(current, _) if *current == attempt)
    }

    /// Number of attempts begun.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// How much of the answer the caller has received.
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

    fn record_end(&mut self, end: AttemptEnd) {
        self.may_have_reached |= end.may_have_reached();
        self.may_have_run |= end.may_have_run();
        if let AttemptEnd::BrokenMidStream { next_index } = end {
            self.delivered = self.delivered.max(Delivered::Frames(next_index));
        }
    }

    /// Why the request is not retried, apart from the budget. The code is not used if the attempt
    /// ended with an answer.
    fn refusal_to_retry(&self, end: AttemptEnd, now: Timestamp) -> Option<ResultCode> {
        if end.has_completed() || end == AttemptEnd::Cancelled {
            return Some(self.final_code(end.code()));
        }
        if now >= self.policy.deadline {
            return Some(self.deadline_code());
        }
        let may_not_repeat = !self.policy.repeatable && self.may_have_reached;
        let cannot_continue = self.delivered == Delivered::Bytes;
        let exhausted = self.attempts >= self.settings.max_attempts;
        if may_not_repeat || cannot_continue || exhausted {
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

    /// The code if the budget is spent. A code that states "not run" takes precedence, since it
    /// tells the caller more.
    fn budget_code(&self, end: AttemptEnd) -> ResultCode {
        let code = self.final_code(end.code());
        if code.not_run() {
            code
        } else {
            ResultCode::RetryBudgetSpent
        }
    }
}
