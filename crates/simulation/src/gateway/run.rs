//! One request: claim, queue, attempts, answer.

use std::sync::Arc;

use flaxward_control::admission::{AdmissionEvent, Arrival, BackEndFault, RequestId};
use flaxward_control::attempt::{AttemptEnd, Delivered, RequestMachine, RequestPolicy, Step};
use flaxward_control::claims::{
    ClaimAction, ClaimEvent, ClaimFault, ClaimMachine, ClaimRequest, RequestEnd, claim_name,
};
use flaxward_control::stream::FrameChecker;
use flaxward_types::{ArtifactId, AttemptId, Refusal, ResultCode, Revision, RunnerName, Timestamp};
use rand::RngExt;

use super::service_pool::Decision;
use super::{Attempt, Gateway, GatewayAction};
use crate::caller::{CallerRequest, Delivery, Target};
use crate::weakness::DaemonWeakness;

/// Status of a stream and of a service's answer.
const OK: u16 = 200;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its key is being claimed.
    Claiming,
    /// It waits for a back end.
    Waiting,
    /// It is sent; the head of the answer must come by this time.
    Opening { until: Timestamp },
    /// A stream comes, and last brought something at this time.
    Streaming { last: Timestamp },
    /// A whole answer is being read.
    Reading,
    /// The caller has its answer; the outcome of the claim is being recorded.
    Settling,
}

/// One request.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request: Arc<CallerRequest>,
    artifact: Option<ArtifactId>,
    queue_limit: usize,
    deadline: Timestamp,
    pub(super) machine: RequestMachine,
    pub(super) checker: FrameChecker,
    policy: RequestPolicy,
    /// The attempt that a claim names.
    pub(super) first_attempt: AttemptId,
    is_begun: bool,
    current: Option<(AttemptId, RunnerName)>,
    pub(super) claim: Option<ClaimMachine>,
    pub(super) phase: Phase,
}

impl Run {
    /// Whether an attempt is the current one.
    pub(super) fn is_at(&self, attempt: AttemptId) -> bool {
        matches!(&self.current, Some((current, _)) if *current == attempt)
    }

    /// What a broken connection means now.
    pub(super) fn broken(&self) -> AttemptEnd {
        match self.phase {
            Phase::Streaming { .. } => AttemptEnd::BrokenMidStream {
                next_index: self.checker.next_index(),
            },
            Phase::Reading => AttemptEnd::Truncated,
            _ => AttemptEnd::BrokenBeforeHead,
        }
    }
}

impl Gateway {
    pub(super) fn arrive(&mut self, request: Arc<CallerRequest>) {
        let number = request.number;
        if self.is_stopping {
            return self.refuse_arrival(number, ResultCode::Stopping);
        }
        if self.configuration.revision() == Revision(0) {
            return self.refuse_arrival(number, ResultCode::NoConfiguration);
        }
        let artifact = match self.resolve(&request.target) {
            Ok(artifact) => artifact,
            Err(code) => return self.refuse_arrival(number, code),
        };
        let deadline = self.now + request.deadline;
        let last_attempt = if request.stream {
            deadline + self.settings.stream_limit
        } else {
            deadline
        };
        let policy = RequestPolicy {
            repeatable: request.repeatable,
            has_key: request.key.is_some(),
            deadline: last_attempt,
        };
        let first_attempt = AttemptId(self.random.random());
        let model = artifact
            .as_ref()
            .and_then(|artifact| self.configuration.model(&artifact.model));
        let run = Run {
            queue_limit: model.map_or(0, |model| model.queue_limit as usize),
            artifact,
            deadline,
            machine: RequestMachine::new(policy, self.settings.attempts),
            checker: FrameChecker::new(first_attempt),
            policy,
            first_attempt,
            is_begun: false,
            current: None,
            claim: None,
            phase: Phase::Waiting,
            request,
        };
        self.runs.insert(number, run);
        if policy.needs_claim() && self.settings.weakness != DaemonWeakness::SkipsClaims {
            self.start_claim(number);
        } else {
            self.enter(number);
        }
    }

    fn resolve(&self, target: &Target) -> Result<Option<ArtifactId>, ResultCode> {
        match target {
            Target::Model(reference) => self.configuration.resolve(reference).map(Some),
            Target::Service(name) => match self.configuration.service(name) {
                Some(_) => Ok(None),
                None => Err(ResultCode::UnknownService),
            },
        }
    }

    fn start_claim(&mut self, number: u64) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let request = ClaimRequest {
            digest: run.request.answer(),
            attempt: run.first_attempt,
            daemon: self.me.clone(),
            deadline_unix: self.now_unix + run.request.deadline.as_secs() + 1,
        };
        let settings = self.settings.claims.clone();
        let (machine, first) = ClaimMachine::start(settings, request, self.now_unix);
        run.claim = Some(machine);
        run.phase = Phase::Claiming;
        self.follow_claim(number, vec![first]);
    }

    pub(super) fn claim_written(&mut self, number: u64, result: Result<Revision, ClaimFault>) {
        self.tell_claim(number, ClaimEvent::Written(result));
    }

    fn tell_claim(&mut self, number: u64, event: ClaimEvent) {
        let now_unix = self.now_unix;
        let machine = self
            .runs
            .get_mut(&number)
            .and_then(|run| run.claim.as_mut());
        if let Some(machine) = machine {
            let actions = machine.handle(event, now_unix);
            self.follow_claim(number, actions);
        }
    }

    fn follow_claim(&mut self, number: u64, actions: Vec<ClaimAction>) {
        for action in actions {
            let Some(run) = self.runs.get_mut(&number) else {
                return;
            };
            match action {
                ClaimAction::Write { after, write } => {
                    let target = match &run.request.target {
                        Target::Model(model) => model.to_string(),
                        Target::Service(service) => service.to_string(),
                    };
                    let key = run.request.key.as_deref().unwrap_or_default();
                    let name = claim_name(&target, key);
                    let action = GatewayAction::WriteClaim(number, name, after, write);
                    self.actions.push(action);
                }
                ClaimAction::Proceed => self.enter(number),
                ClaimAction::Replay { status, body, .. } => {
                    let delivery = Delivery::Answer(status, body);
                    self.actions.push(GatewayAction::Deliver(number, delivery));
                    self.leave(number);
                }
                ClaimAction::Refuse(refusal) => {
                    self.deliver_refusal(number, refusal);
                    self.leave(number);
                }
                ClaimAction::Close => {
                    run.claim = None;
                    if run.phase == Phase::Settling {
                        self.forget(number);
                    }
                }
            }
        }
    }

    /// Waits for a back end.
    fn enter(&mut self, number: u64) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        run.phase = Phase::Waiting;
        match (&run.artifact, &run.request.target) {
            (Some(artifact), _) => {
                let arrival = Arrival {
                    request: RequestId(number),
                    artifact: artifact.clone(),
                    priority: run.request.priority,
                    deadline: run.deadline,
                    queue_limit: run.queue_limit,
                    prefix: None,
                };
                self.admit(AdmissionEvent::Arrive(arrival));
            }
            (None, Target::Service(service)) => {
                let concurrency = self.configuration.service(service);
                let concurrency = concurrency.map_or(1, |service| service.concurrency);
                let priority = run.request.priority;
                let decision = self.pool.enter(number, service, concurrency, priority);
                self.follow_pool(number, decision);
            }
            (None, Target::Model(_)) => {}
        }
    }

    fn follow_pool(&mut self, number: u64, decision: Decision) {
        match decision {
            Decision::Go(runner) => self.dispatch(number, &runner),
            Decision::Wait => {}
            Decision::Refuse(code) => self.give_up(number, Refusal::new(code)),
        }
    }

    /// Sends the next attempt.
    pub(super) fn dispatch(&mut self, number: u64, runner: &RunnerName) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let id = if std::mem::replace(&mut run.is_begun, true) {
            AttemptId(self.random.random())
        } else {
            run.first_attempt
        };
        let begun = run
            .machine
            .begin(id, runner.clone(), self.now, &mut self.budget);
        if let Err(code) = begun {
            return self.fail(number, Refusal::new(code));
        }
        run.checker.begin(id);
        run.current = Some((id, runner.clone()));
        let until = match run.machine.delivered() {
            Delivered::Nothing => run.deadline,
            _ => self.now + self.settings.stream_idle,
        };
        run.phase = Phase::Opening { until };
        self.attempts.insert(id, number);
        self.actions.push(GatewayAction::Send(Attempt {
            id,
            runner: runner.clone(),
            request: Arc::clone(&run.request),
            artifact: run.artifact.clone(),
            resume_from: run.machine.resume_from(),
        }));
    }

    pub(super) fn check_timers(&mut self, number: u64) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let now = self.now;
        let is_late = now >= run.deadline;
        match run.phase {
            Phase::Claiming if is_late => {
                self.tell_claim(number, ClaimEvent::GiveUp(ResultCode::DeadlinePassed));
            }
            Phase::Waiting if is_late && run.artifact.is_none() => {
                self.give_up(number, Refusal::new(ResultCode::DeadlinePassed));
            }
            Phase::Opening { until } if now >= until => self.end(number, AttemptEnd::TimedOut),
            Phase::Reading if is_late => self.end(number, AttemptEnd::TimedOut),
            Phase::Streaming { last } => {
                let has_nothing = run.checker.next_index() == 0;
                let is_idle = now.since(last) >= self.settings.stream_idle;
                if is_idle || (has_nothing && is_late) {
                    self.end(number, AttemptEnd::TimedOut);
                }
            }
            _ => {}
        }
    }

    /// The current attempt has ended.
    pub(super) fn end(&mut self, number: u64, end: AttemptEnd) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let is_late = self.now >= run.deadline && run.machine.delivered() == Delivered::Nothing;
        if end == AttemptEnd::TimedOut && is_late {
            self.step(number, AttemptEnd::Cancelled);
            return self.fail(number, Refusal::new(ResultCode::DeadlineWhileRunning));
        }
        let lost_counts_as_unsent =
            self.settings.weakness == DaemonWeakness::ResendsAfterLostAnswer;
        let end = match end {
            AttemptEnd::BrokenBeforeHead if lost_counts_as_unsent => AttemptEnd::NotSent,
            end => end,
        };
        let step = self.step(number, end);
        if self.may_queue_again(number, &step, end) {
            return self.queue_again(number, end);
        }
        self.follow(number, &step, end);
    }

    /// Whether the request waits for another replica although it was tried often enough: it has
    /// certainly not run.
    fn may_queue_again(&self, number: u64, step: &Step, end: AttemptEnd) -> bool {
        self.runs.get(&number).is_some_and(|run| {
            run.artifact.is_some()
                && matches!(step, Step::Finish(code) if code.not_run())
                && !end.may_have_run()
                && self.now < run.deadline
        })
    }

    fn queue_again(&mut self, number: u64, end: AttemptEnd) {
        if let Some(run) = self.runs.get_mut(&number) {
            run.machine = RequestMachine::new(run.policy, self.settings.attempts);
        }
        self.give_back(number, None, end);
    }

    fn step(&mut self, number: u64, end: AttemptEnd) -> Step {
        let Some(run) = self.runs.get_mut(&number) else {
            return Step::Stale;
        };
        let Some((attempt, runner)) = run.current.take() else {
            return Step::Stale;
        };
        let may_be_running = matches!(
            end,
            AttemptEnd::TimedOut
                | AttemptEnd::Cancelled
                | AttemptEnd::Truncated
                | AttemptEnd::BrokenBeforeHead
                | AttemptEnd::BrokenMidStream { .. }
        );
        if may_be_running && run.artifact.is_some() {
            self.actions.push(GatewayAction::Cancel(attempt, runner));
        }
        run.machine.on_end(attempt, end, self.now, &mut self.budget)
    }

    fn follow(&mut self, number: u64, step: &Step, end: AttemptEnd) {
        match step {
            Step::Retry { resume_from, .. } => self.give_back(number, *resume_from, end),
            Step::Finish(code) => self.fail(number, Refusal::new(*code)),
            Step::Done | Step::Stale => self.fail(number, Refusal::new(ResultCode::Internal)),
        }
    }

    fn give_back(&mut self, number: u64, resume_from: Option<u64>, end: AttemptEnd) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        run.phase = Phase::Waiting;
        if run.artifact.is_none() {
            let decision = self.pool.give_back(number);
            return self.follow_pool(number, decision);
        }
        let deadline = match resume_from {
            Some(_) => self.now + self.settings.stream_resume_wait,
            None => run.deadline,
        };
        let fault = match end {
            AttemptEnd::NotSent => BackEndFault::Unreachable,
            AttemptEnd::RefusedBeforeRunning => BackEndFault::Refused,
            _ => BackEndFault::Broken,
        };
        self.admit(AdmissionEvent::Returned {
            request: RequestId(number),
            fault,
            deadline,
        });
    }

    /// No back end takes the request.
    pub(super) fn give_up(&mut self, number: u64, refusal: Refusal) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let code = run.machine.give_up(refusal.code);
        self.fail(number, Refusal { code, ..refusal });
    }

    pub(super) fn take_body(&mut self, number: u64, status: u16, body: String) {
        match self.step(number, AttemptEnd::Status(status)) {
            Step::Done => {
                self.settle(
                    number,
                    RequestEnd::Answered {
                        status,
                        content_type: "text/plain".to_owned(),
                        body: Some(body.clone()),
                    },
                );
                let delivery = Delivery::Answer(status, body);
                self.actions.push(GatewayAction::Deliver(number, delivery));
                self.leave(number);
            }
            step => self.follow(number, &step, AttemptEnd::Status(status)),
        }
    }

    /// The caller has the whole stream.
    pub(super) fn complete(&mut self, number: u64) {
        self.step(number, AttemptEnd::Status(OK));
        self.settle(
            number,
            RequestEnd::Answered {
                status: OK,
                content_type: "text/event-stream".to_owned(),
                body: None,
            },
        );
        self.actions
            .push(GatewayAction::Deliver(number, Delivery::StreamEnd));
        self.leave(number);
    }

    fn fail(&mut self, number: u64, refusal: Refusal) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let has_part = run.checker.next_index() > 0;
        let code = match refusal.code {
            code if code.not_run() && has_part => ResultCode::StreamBroken,
            code => code,
        };
        self.settle(number, RequestEnd::refused(code));
        let code = match self.settings.weakness {
            DaemonWeakness::SaysNotRun if !has_part => ResultCode::BackendUnreachable,
            _ => code,
        };
        let is_silent = self.settings.weakness == DaemonWeakness::DropsSilently
            && code == ResultCode::DeadlinePassed;
        if !is_silent {
            self.deliver_refusal(number, Refusal { code, ..refusal });
        }
        self.leave(number);
    }

    /// Records the end of the request in its claim, if it has one.
    fn settle(&mut self, number: u64, end: RequestEnd) {
        self.tell_claim(number, ClaimEvent::Ended(end));
    }

    /// The caller has its answer.
    fn leave(&mut self, number: u64) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        run.phase = Phase::Settling;
        let has_claim = run.claim.is_some();
        if run.artifact.is_none() {
            self.pool.leave(number);
        } else {
            self.admit(AdmissionEvent::CallerGone(RequestId(number)));
        }
        if !has_claim {
            self.forget(number);
        }
    }

    fn forget(&mut self, number: u64) {
        self.runs.remove(&number);
        self.attempts.retain(|_, run| *run != number);
    }
}
