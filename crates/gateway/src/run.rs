//! Runs the attempts of one request until it is answered or refused.

use std::sync::Arc;

use bytes::Bytes;
use flaxward_client_limits::Reservation;
use flaxward_control::admission::BackEndFault;
use flaxward_control::attempt::{AttemptEnd, Delivered, RequestMachine, Step};
use flaxward_control::claims::RequestEnd;
use flaxward_types::{AttemptId, Refusal, ResultCode};
use reqwest::StatusCode;
use reqwest::header::{CONTENT_TYPE, HeaderMap};
use serde::de::IgnoredAny;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::answer::Answer;
use crate::attempt::{BufferLimits, CancelGuard, Collected, collect, send};
use crate::back_end_ticket::BackEndTicket;
use crate::call::{Call, CallKind, new_attempt};
use crate::claims::ClaimTicket;
use crate::counters;
use crate::crashes::may_be_crash;
use crate::gateway::{Admitted, Gateway};
use crate::head::answer_headers;
use crate::registry::Registration;
use crate::remainder::Remainder;
use crate::scheduler::BackEnd;

/// One request and its attempts. When it is dropped, the current attempt is cancelled.
pub(crate) struct Run {
    gateway: Arc<Gateway>,
    call: Call,
    ticket: BackEndTicket,
    machine: RequestMachine,
    current: Option<CurrentAttempt>,
    /// The attempt id recorded in the claim, until that attempt starts.
    first_attempt: Option<AttemptId>,
    reservation: Reservation,
    claim: Option<ClaimTicket>,
    registration: Registration,
    _in_progress: TaskTrackerToken,
    _place: Option<OwnedSemaphorePermit>,
}

/// The attempt in progress.
struct CurrentAttempt {
    id: AttemptId,
    back_end: BackEnd,
    guard: CancelGuard,
}

impl Run {
    /// Registers a request that has not been sent.
    pub fn new(
        gateway: Arc<Gateway>,
        call: Call,
        ticket: BackEndTicket,
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
            reservation: admitted.reservation,
            gateway,
            call,
            ticket,
            machine,
            current: None,
            claim,
            registration,
            _in_progress: admitted.in_progress,
            _place: admitted.place,
        }
    }

    /// Records the outcome of the request in its claim, if it has one.
    pub fn settle_claim(&mut self, end: RequestEnd) {
        if let Some(claim) = self.claim.take() {
            claim.end(end);
        }
    }

    /// The id of the current attempt, or of the first one if none has started.
    pub fn attempt(&self) -> AttemptId {
        self.current
            .as_ref()
            .map_or(self.call.first_attempt, |current| current.id)
    }

    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    pub fn call(&self) -> &Call {
        &self.call
    }

    /// Records what the caller has received.
    pub fn record_delivered(&mut self, delivered: Delivered) {
        let attempt = self.attempt();
        self.machine.record_delivered(attempt, delivered);
    }

    /// Sends attempts until a back end returns the head of an answer.
    pub async fn open(&mut self) -> Result<reqwest::Response, Refusal> {
        loop {
            let back_end = match self.back_end().await {
                Ok(back_end) => back_end,
                Err(refusal) => return Err(self.no_back_end_refusal(refusal)),
            };
            let attempt = self.next_attempt();
            let gateway = Arc::clone(&self.gateway);
            let now = gateway.clock.now();
            self.machine
                .begin(
                    attempt,
                    back_end.runner.clone(),
                    now,
                    &mut gateway.retry_budget(),
                )
                .map_err(Refusal::new)?;
            counters::count_attempt();
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
                    self.check_for_crash(end).await;
                    self.end(end)?;
                }
            }
        }
    }

    /// Waits for a back end. A request that is quarantined, before or during the wait, is refused.
    async fn back_end(&mut self) -> Result<BackEnd, Refusal> {
        let Self {
            gateway,
            call,
            ticket,
            ..
        } = self;
        tokio::select! {
            biased;
            refusal = gateway.crashes.wait_until_quarantined(call) => Err(refusal),
            back_end = ticket.back_end() => back_end,
        }
    }

    /// Checks whether the current back end has crashed, if the attempt ended in a way that a crash
    /// can cause.
    pub async fn check_for_crash(&self, end: AttemptEnd) {
        let Some(current) = self.current.as_ref().filter(|_| may_be_crash(end)) else {
            return;
        };
        let crashes = &self.gateway.crashes;
        crashes.check_for_crash(&self.call, &current.back_end).await;
    }

    /// Sends attempts until an answer is complete or exceeds the buffer limits.
    pub async fn fetch_answer(&mut self) -> Result<BufferedAnswer, Refusal> {
        loop {
            let response = self.open().await?;
            if let Some(buffered) = self.buffer_answer(response).await? {
                return Ok(buffered);
            }
        }
    }

    /// Reads the body of an answer whose head was received. `None` if the request must be retried.
    pub async fn buffer_answer(
        &mut self,
        response: reqwest::Response,
    ) -> Result<Option<BufferedAnswer>, Refusal> {
        let status = response.status();
        let headers = answer_headers(response.headers(), &self.call.method);
        let until = self.gateway.clock.instant(self.call.deadline);
        let limits = BufferLimits {
            limit: self.gateway.settings.answer_hold,
            reservation: &mut self.reservation,
        };
        let collected = match collect(response, limits, until).await {
            Ok(collected) => collected,
            Err(end) => {
                self.check_for_crash(end).await;
                self.end(end)?;
                return Ok(None);
            }
        };
        if self.is_malformed(status, &headers, &collected) {
            self.end(AttemptEnd::Truncated)?;
            return Ok(None);
        }
        if collected.rest.is_some() {
            self.record_delivered(Delivered::Bytes);
        } else if !self.answered(status.as_u16())? {
            return Ok(None);
        }
        Ok(Some(BufferedAnswer {
            status,
            headers,
            collected,
        }))
    }

    /// Whether a complete answer of an engine has a JSON content type but is not valid JSON. The
    /// stated length does not show this: a truncated document can have a matching length.
    fn is_malformed(&self, status: StatusCode, headers: &HeaderMap, body: &Collected) -> bool {
        let has_json_content_type = headers
            .get(CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"application/json"));
        self.call.kind == CallKind::Engine
            && status.is_success()
            && has_json_content_type
            && body.rest.is_none()
            && !is_json(&body.chunks)
    }

    /// Records that the current attempt returned a complete answer. Returns whether that answer is
    /// for the caller; otherwise the request must be retried.
    pub fn answered(&mut self, status: u16) -> Result<bool, Refusal> {
        match self.step(AttemptEnd::Status(status)) {
            Step::Done => Ok(true),
            step => self
                .apply_step(&step, AttemptEnd::Status(status))
                .map(|()| false),
        }
    }

    /// Records the end of the current attempt. Returns an error if the request is not retried.
    pub fn end(&mut self, end: AttemptEnd) -> Result<(), Refusal> {
        if end == AttemptEnd::TimedOut && self.is_past_deadline() {
            self.step(AttemptEnd::Cancelled);
            return Err(Refusal::new(ResultCode::DeadlineWhileRunning));
        }
        let step = self.step(end);
        if self.may_queue_again(&step, end) {
            self.machine = RequestMachine::new(self.call.policy, self.gateway.settings.attempts);
            self.ticket
                .return_back_end(back_end_fault(end), self.call.deadline);
            return Ok(());
        }
        self.apply_step(&step, end)
    }

    /// Whether the request is queued for another replica although it has used all its attempts. It
    /// has definitely not run, the failed runner is avoided for a while, and the coordinator will
    /// offer another one; until the deadline, waiting is better than a refusal.
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
            self.gateway.crashes.record_completed(&self.call);
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
            .on_end(current.id, end, now, &mut self.gateway.retry_budget())
    }

    fn apply_step(&mut self, step: &Step, end: AttemptEnd) -> Result<(), Refusal> {
        match step {
            Step::Retry { resume_from, .. } => {
                let deadline = match resume_from {
                    Some(_) => self.gateway.clock.now() + self.gateway.settings.stream_resume_wait,
                    None => self.call.deadline,
                };
                self.ticket.return_back_end(back_end_fault(end), deadline);
                Ok(())
            }
            Step::Finish(code) => Err(Refusal::new(*code)),
            Step::Done | Step::Stale => Err(Refusal::new(ResultCode::Internal)),
        }
    }

    /// Whether the deadline has passed before the caller has received anything.
    fn is_past_deadline(&self) -> bool {
        let is_late = self.gateway.clock.now() >= self.call.deadline;
        is_late && self.machine.delivered() == Delivered::Nothing
    }

    /// When the wait for the first token of a stream times out.
    pub fn first_token_timer(&self) -> Instant {
        let idle = Instant::now() + self.gateway.settings.stream_idle;
        idle.min(self.gateway.clock.instant(self.call.deadline))
    }

    /// When the wait for the head of an answer times out.
    fn head_timer(&self) -> Instant {
        if self.machine.delivered() == Delivered::Nothing {
            return self.gateway.clock.instant(self.call.deadline);
        }
        Instant::now() + self.gateway.settings.stream_idle
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.first_attempt.take().unwrap_or_else(new_attempt)
    }

    /// The refusal of a request that finds no back end. It says "not run" only if the request has
    /// definitely not run.
    fn no_back_end_refusal(&mut self, refusal: Refusal) -> Refusal {
        let code = self.machine.give_up(refusal.code);
        if code == refusal.code {
            return refusal;
        }
        Refusal::new(code)
    }
}

/// Runs a request without streaming. A claimed request runs to its end even if the caller
/// disconnects, so that its outcome is recorded.
pub(crate) async fn finish(run: Run) -> Result<Answer, Refusal> {
    if run.claim.is_none() {
        return answer_whole(run).await;
    }
    tokio::spawn(answer_whole(run))
        .await
        .unwrap_or_else(|_| Err(Refusal::new(ResultCode::Internal)))
}

async fn answer_whole(mut run: Run) -> Result<Answer, Refusal> {
    match run.fetch_answer().await {
        Ok(buffered) => Ok(buffered.into_answer(run)),
        Err(refusal) => {
            run.settle_claim(RequestEnd::refused(refusal.code));
            Err(refusal)
        }
    }
}

/// The answer for the caller, as far as it is buffered.
pub(crate) struct BufferedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    collected: Collected,
}

impl BufferedAnswer {
    /// Converts it into the answer to the caller. If it is complete, records it in the claim.
    pub fn into_answer(self, mut run: Run) -> Answer {
        if self.collected.rest.is_none() {
            run.settle_claim(self.request_end());
        }
        let Collected { chunks, rest } = self.collected;
        let (body, rest) = match rest {
            Some(response) => (chunks, Some(Remainder { run, response })),
            None => (reserved_chunks(chunks, run.reservation), None),
        };
        Answer {
            status: self.status,
            headers: self.headers,
            body,
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

/// A part of an answer with the memory reserved for all of it.
struct ReservedChunk {
    bytes: Bytes,
    _reservation: Arc<Reservation>,
}

impl AsRef<[u8]> for ReservedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The chunks of an answer, whose memory stays reserved until the caller has taken in the last of them.
fn reserved_chunks(chunks: Vec<Bytes>, reservation: Reservation) -> Vec<Bytes> {
    let reservation = Arc::new(reservation);
    let reserved = chunks.into_iter().map(|bytes| {
        Bytes::from_owner(ReservedChunk {
            bytes,
            _reservation: Arc::clone(&reservation),
        })
    });
    reserved.collect()
}

/// Whether the chunks form one JSON document. Most answers are a single chunk, which is parsed in
/// place.
fn is_json(chunks: &[Bytes]) -> bool {
    let read = match chunks {
        [whole] => serde_json::from_slice::<IgnoredAny>(whole),
        parts => serde_json::from_slice(&parts.concat()),
    };
    read.is_ok()
}

fn back_end_fault(end: AttemptEnd) -> BackEndFault {
    match end {
        AttemptEnd::NotSent => BackEndFault::Unreachable,
        AttemptEnd::RefusedBeforeRunning => BackEndFault::Refused,
        _ => BackEndFault::Broken,
    }
}
