//! The attempts of one request, until it is answered or refused.

use std::sync::Arc;

use bytes::Bytes;
use flaxward_control::admission::BackEndFault;
use flaxward_control::attempt::{AttemptEnd, Delivered, RequestMachine, Step};
use flaxward_control::claims::RequestEnd;
use flaxward_types::{AttemptId, Refusal, ResultCode};
use reqwest::StatusCode;
use reqwest::header::{CONTENT_TYPE, HeaderMap};
use serde::de::IgnoredAny;
use tokio::time::Instant;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::answer::Answer;
use crate::attempt::{CancelGuard, Collected, Hold, collect, send};
use crate::bytes_budget::HeldBytes;
use crate::call::{Call, CallKind, new_attempt};
use crate::claims::ClaimTicket;
use crate::counters;
use crate::crashes::may_be_crash;
use crate::gateway::{Admitted, Gateway};
use crate::head::answer_headers;
use crate::place::Place;
use crate::registry::Registration;
use crate::remainder::Remainder;
use crate::scheduler::BackEnd;

/// One request and its attempts. When it is dropped, the current attempt is cancelled.
pub(crate) struct Run {
    gateway: Arc<Gateway>,
    call: Call,
    place: Place,
    machine: RequestMachine,
    current: Option<CurrentAttempt>,
    /// The attempt that a claim names, until it is begun.
    first_attempt: Option<AttemptId>,
    held_bytes: HeldBytes,
    claim: Option<ClaimTicket>,
    registration: Registration,
    _in_progress: TaskTrackerToken,
}

/// The attempt that is under way.
struct CurrentAttempt {
    id: AttemptId,
    back_end: BackEnd,
    /// Cancels it.
    guard: CancelGuard,
}

impl Run {
    /// A request that has not been sent.
    pub fn new(
        gateway: Arc<Gateway>,
        call: Call,
        place: Place,
        claim: Option<ClaimTicket>,
        admitted: Admitted,
    ) -> Self {
        let registration = gateway.registry.register(
            &call.request_id,
            call.target.clone(),
            call.priority,
            gateway.clock.now(),
            call.deadline,
        );
        let machine = RequestMachine::new(call.policy, gateway.settings.attempts);
        Self {
            first_attempt: Some(call.first_attempt),
            held_bytes: admitted.held_bytes,
            gateway,
            call,
            place,
            machine,
            current: None,
            claim,
            registration,
            _in_progress: admitted.in_progress,
        }
    }

    /// Records the end of the request in its claim, if it has one.
    pub fn settle(&mut self, end: RequestEnd) {
        if let Some(claim) = self.claim.take() {
            claim.end(end);
        }
    }

    /// The current attempt.
    pub fn attempt(&self) -> AttemptId {
        self.current
            .as_ref()
            .map_or(self.call.first_attempt, |current| current.id)
    }

    /// The gateway.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// The request.
    pub fn call(&self) -> &Call {
        &self.call
    }

    /// Notes what the caller has received.
    pub fn note_delivered(&mut self, delivered: Delivered) {
        let attempt = self.attempt();
        self.machine.record_delivered(attempt, delivered);
    }

    /// Sends the request until a back end answers with the head of an answer.
    pub async fn open(&mut self) -> Result<reqwest::Response, Refusal> {
        loop {
            let back_end = match self.back_end().await {
                Ok(back_end) => back_end,
                Err(refusal) => return Err(self.give_up(refusal)),
            };
            let attempt = self.next_attempt();
            let gateway = Arc::clone(&self.gateway);
            let now = gateway.clock.now();
            self.machine
                .begin(attempt, back_end.runner.clone(), now, &mut gateway.budget())
                .map_err(Refusal::new)?;
            counters::attempted();
            self.registration.sent_to(&back_end.runner);
            let guard = CancelGuard::new(&gateway.http, &self.call, &back_end, attempt);
            self.current = Some(CurrentAttempt {
                id: attempt,
                back_end: back_end.clone(),
                guard,
            });
            let resume_from = self.machine.resume_from();
            let until = self.head_timer();
            let sent = send(
                &gateway.http,
                &self.call,
                &back_end,
                attempt,
                resume_from,
                until,
            );
            match sent.await {
                Ok(response) => return Ok(response),
                Err(end) => {
                    self.note_break(end).await;
                    self.end(end)?;
                }
            }
        }
    }

    /// Waits for a back end. A request that is in quarantine, or put there meanwhile, gets none.
    async fn back_end(&mut self) -> Result<BackEnd, Refusal> {
        let Self {
            gateway,
            call,
            place,
            ..
        } = self;
        tokio::select! {
            biased;
            refusal = gateway.crashes.until_quarantined(call) => Err(refusal),
            back_end = place.back_end() => back_end,
        }
    }

    /// Finds out whether the current back end has crashed, if the attempt ended in a way that makes it possible.
    pub async fn note_break(&self, end: AttemptEnd) {
        let Some(current) = self.current.as_ref().filter(|_| may_be_crash(end)) else {
            return;
        };
        let crashes = &self.gateway.crashes;
        crashes.note_break(&self.call, &current.back_end).await;
    }

    /// Sends the request until a whole answer has come, or one too long to be held.
    pub async fn whole(&mut self) -> Result<Held, Refusal> {
        loop {
            let response = self.open().await?;
            if let Some(held) = self.hold(response).await? {
                return Ok(held);
            }
        }
    }

    /// Reads the answer whose head has come. `None` if the request is to be sent again.
    pub async fn hold(&mut self, response: reqwest::Response) -> Result<Option<Held>, Refusal> {
        let status = response.status();
        let headers = answer_headers(response.headers(), &self.call.method);
        let until = self.gateway.clock.instant(self.call.deadline);
        let hold = Hold {
            limit: self.gateway.settings.answer_hold,
            budget: &self.gateway.bytes,
            held: &mut self.held_bytes,
        };
        let collected = match collect(response, hold, until).await {
            Ok(collected) => collected,
            Err(end) => {
                self.note_break(end).await;
                self.end(end)?;
                return Ok(None);
            }
        };
        if self.is_malformed(status, &headers, &collected) {
            self.end(AttemptEnd::Truncated)?;
            return Ok(None);
        }
        if collected.rest.is_some() {
            self.note_delivered(Delivered::Bytes);
        } else if !self.answered(status.as_u16())? {
            return Ok(None);
        }
        Ok(Some(Held {
            status,
            headers,
            collected,
        }))
    }

    /// Whether an engine's whole answer is not what it says. A document cut off in its middle can
    /// come under a length that fits.
    fn is_malformed(&self, status: StatusCode, headers: &HeaderMap, body: &Collected) -> bool {
        let says_json = headers
            .get(CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"application/json"));
        self.call.kind == CallKind::Engine
            && status.is_success()
            && says_json
            && body.rest.is_none()
            && !is_json(&body.chunks)
    }

    /// Notes that the current attempt has brought a whole answer. Returns whether it is the
    /// caller's; otherwise the request is to be sent again.
    pub fn answered(&mut self, status: u16) -> Result<bool, Refusal> {
        match self.step(AttemptEnd::Status(status)) {
            Step::Done => Ok(true),
            step => self
                .follow(&step, AttemptEnd::Status(status))
                .map(|()| false),
        }
    }

    /// Notes the end of the current attempt. An error if the request is not sent again.
    pub fn end(&mut self, end: AttemptEnd) -> Result<(), Refusal> {
        if end == AttemptEnd::TimedOut && self.is_too_late() {
            self.step(AttemptEnd::Cancelled);
            return Err(Refusal::new(ResultCode::DeadlineWhileRunning));
        }
        let step = self.step(end);
        if self.may_queue_again(&step, end) {
            self.machine = RequestMachine::new(self.call.policy, self.gateway.settings.attempts);
            self.place.give_back(fault(end), self.call.deadline);
            return Ok(());
        }
        self.follow(&step, end)
    }

    /// Whether the request waits for another replica although it was tried often enough. It has
    /// certainly not run, the runner is left alone for a while, and the coordinator will show
    /// another; until the deadline that is better than a refusal.
    fn may_queue_again(&self, step: &Step, end: AttemptEnd) -> bool {
        self.call.kind == CallKind::Engine
            && matches!(step, Step::Finish(code) if code.not_run())
            && !end.may_have_run()
            && self.gateway.clock.now() < self.call.deadline
    }

    fn step(&mut self, end: AttemptEnd) -> Step {
        let Some(mut current) = self.current.take() else {
            return Step::Stale;
        };
        if end.has_completed() {
            self.gateway.crashes.note_completed(&self.call);
        }
        let may_be_running = matches!(
            end,
            AttemptEnd::TimedOut
                | AttemptEnd::Cancelled
                | AttemptEnd::Truncated
                | AttemptEnd::BrokenBeforeHead
                | AttemptEnd::BrokenMidStream { .. }
        );
        if !may_be_running {
            current.guard.disarm();
        }
        let now = self.gateway.clock.now();
        self.machine
            .on_end(current.id, end, now, &mut self.gateway.budget())
    }

    fn follow(&mut self, step: &Step, end: AttemptEnd) -> Result<(), Refusal> {
        match step {
            Step::Retry { resume_from, .. } => {
                let deadline = match resume_from {
                    Some(_) => self.gateway.clock.now() + self.gateway.settings.stream_resume_wait,
                    None => self.call.deadline,
                };
                self.place.give_back(fault(end), deadline);
                Ok(())
            }
            Step::Finish(code) => Err(Refusal::new(*code)),
            Step::Done | Step::Stale => Err(Refusal::new(ResultCode::Internal)),
        }
    }

    /// Whether the deadline has passed before the caller has received anything.
    fn is_too_late(&self) -> bool {
        let is_late = self.gateway.clock.now() >= self.call.deadline;
        is_late && self.machine.delivered() == Delivered::Nothing
    }

    /// Until when the first token of a stream must come.
    pub fn first_token_timer(&self) -> Instant {
        let idle = Instant::now() + self.gateway.settings.stream_idle;
        idle.min(self.gateway.clock.instant(self.call.deadline))
    }

    /// Until when the head of an answer must come.
    fn head_timer(&self) -> Instant {
        if self.machine.delivered() == Delivered::Nothing {
            return self.gateway.clock.instant(self.call.deadline);
        }
        Instant::now() + self.gateway.settings.stream_idle
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.first_attempt.take().unwrap_or_else(new_attempt)
    }

    /// The refusal of a request that finds no back end: "not run" only if that is certain.
    fn give_up(&mut self, refusal: Refusal) -> Refusal {
        let code = self.machine.give_up(refusal.code);
        if code == refusal.code {
            return refusal;
        }
        Refusal::new(code)
    }
}

/// Runs a request without frames to its end. A claimed one is run to its end even if the caller
/// goes, so that its outcome is recorded.
pub(crate) async fn finish(run: Run) -> Result<Answer, Refusal> {
    if run.claim.is_none() {
        return answer_whole(run).await;
    }
    tokio::spawn(answer_whole(run))
        .await
        .unwrap_or_else(|_| Err(Refusal::new(ResultCode::Internal)))
}

async fn answer_whole(mut run: Run) -> Result<Answer, Refusal> {
    match run.whole().await {
        Ok(held) => Ok(held.into_answer(run)),
        Err(refusal) => {
            run.settle(RequestEnd::refused(refusal.code));
            Err(refusal)
        }
    }
}

/// The answer that is the caller's, as far as it is held.
pub(crate) struct Held {
    status: StatusCode,
    headers: HeaderMap,
    collected: Collected,
}

impl Held {
    /// The answer to the caller. Records what became of the claim.
    pub fn into_answer(self, mut run: Run) -> Answer {
        if self.collected.rest.is_none() {
            run.settle(self.request_end());
        }
        let rest = self.collected.rest;
        let rest = rest.map(|response| Remainder { run, response });
        Answer {
            status: self.status,
            headers: self.headers,
            body: self.collected.chunks,
            rest,
        }
    }

    fn request_end(&self) -> RequestEnd {
        let content_type = self.headers.get(CONTENT_TYPE);
        RequestEnd::Answered {
            status: self.status.as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned(),
            body: String::from_utf8(self.collected.chunks.concat()).ok(),
        }
    }
}

/// Whether chunks make one whole document. Most answers are a single chunk, which is read in place.
fn is_json(chunks: &[Bytes]) -> bool {
    let read = match chunks {
        [whole] => serde_json::from_slice::<IgnoredAny>(whole),
        parts => serde_json::from_slice(&parts.concat()),
    };
    read.is_ok()
}

fn fault(end: AttemptEnd) -> BackEndFault {
    match end {
        AttemptEnd::NotSent => BackEndFault::Unreachable,
        AttemptEnd::RefusedBeforeRunning => BackEndFault::Refused,
        _ => BackEndFault::Broken,
    }
}
