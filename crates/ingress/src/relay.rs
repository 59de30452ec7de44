//! Passes a stream of events on, and continues it at another runner if it breaks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flaxward_routing::attempt::{Attempts, Failure};
use flaxward_routing::balance::{NoRunner, SelectionCriteria};
use flaxward_routing::configuration::Route;
use flaxward_routing::events::EventSplitter;
use flaxward_routing::health::Observation;
use flaxward_routing::names::{RunnerId, ServiceName};
use flaxward_routing::runners::Runner;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use thiserror::Error;
use tokio::time::{Instant, timeout, timeout_at};

use crate::answers::AnswerBody;
use crate::counters::{STREAMS_BROKEN, STREAMS_LATE, STREAMS_RESUMED};
use crate::crashes::check_for_crash;
use crate::exchange::{ClientRequest, Continuation, Exchange, FailedAttempt, exchange};
use crate::permits::{Admission, admit_until};
use crate::state::Shared;

/// Shortest time for the head and first event of a continued stream.
const LEAST_PATIENCE: Duration = Duration::from_secs(1);
/// Part of the callers' patience after which a silent stream is continued elsewhere. A runner may be
/// silent while it serves more urgent requests, so this is late.
const SILENCE_SHARE: f64 = 0.7;
/// Time in which a runner that is full rejects a stream which is to be continued there. The silent one still runs it
/// meanwhile; both must not do so for longer.
const REJECTION_WAIT: Duration = Duration::from_millis(200);

/// Time after its first events in which a stream counts as just begun when its runner crashes: a request that crashes
/// runners does so within its first steps, some tenths of a second, and streams that have run longer are innocent.
const JUST_BEGUN: Duration = Duration::from_secs(1);

/// Why an answer breaks off. The connection to the client is closed without the end of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RelayError {
    /// The runner broke off, and no other one could go on.
    #[error("the runner broke off")]
    Broken,
    /// The time of the request is up.
    #[error("the time of the request is up")]
    Expired,
}

/// What comes next from a runner.
enum Piece {
    Events(Bytes),
    End,
    Broken,
    Silent,
}

/// A stream on its way to the client.
pub(crate) struct StreamRelay {
    pub shared: Arc<Shared>,
    pub request: Arc<ClientRequest>,
    pub route: Arc<Route>,
    pub service: ServiceName,
    pub attempts: Attempts,
    pub tried: Vec<RunnerId>,
    pub guard: Box<dyn Send>,
    exchange: Option<Exchange>,
    splitter: EventSplitter,
    weights_version: Option<u64>,
    first: Option<Bytes>,
    /// When the last events came, and the longest time between two.
    last_events_at: Option<Instant>,
    /// When the first events of the present runner came.
    begun_at: Option<Instant>,
    longest_gap: Duration,
    is_done: bool,
}

impl StreamRelay {
    /// A relay for an exchange of which the head has come.
    pub(crate) fn new(
        shared: Arc<Shared>,
        request: Arc<ClientRequest>,
        route: Arc<Route>,
        service: ServiceName,
        exchange: Exchange,
    ) -> Self {
        Self {
            shared,
            request,
            route,
            service,
            attempts: Attempts::default(),
            tried: Vec::new(),
            guard: Box::new(()),
            weights_version: exchange.weights_version,
            exchange: Some(exchange),
            splitter: EventSplitter::default(),
            first: None,
            last_events_at: None,
            begun_at: None,
            longest_gap: Duration::ZERO,
            is_done: false,
        }
    }

    /// Waits for the first event, so that a runner which breaks before it costs nothing.
    ///
    /// # Errors
    /// Says how the attempt failed.
    pub(crate) async fn first_event(&mut self, patience: Instant) -> Result<(), Failure> {
        match self.next_piece(patience).await {
            Piece::Events(bytes) => {
                self.first = Some(bytes);
                Ok(())
            }
            Piece::End => {
                self.is_done = true;
                Ok(())
            }
            Piece::Broken => Err(Failure::Broken),
            Piece::Silent => Err(Failure::Silent),
        }
    }

    /// The body for the client.
    pub(crate) fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(self, |mut relay| async move {
            let frame = relay.next_frame().await?;
            Some((frame, relay))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, RelayError>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(Frame::data(first)));
        }
        loop {
            if self.is_done {
                return None;
            }
            let silence = self.allowed_silence();
            match self.next_piece(silence).await {
                Piece::Events(bytes) => return Some(Ok(Frame::data(bytes))),
                Piece::End => {
                    self.is_done = true;
                    return None;
                }
                Piece::Broken => {
                    if let Err(error) = self.resume(Failure::Broken).await {
                        return Some(Err(error));
                    }
                }
                Piece::Silent => {
                    if let Err(error) = self.resume(Failure::Silent).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// When a silent runner is given up.
    fn allowed_silence(&self) -> Instant {
        if !self.may_resume() || self.choose_next().is_err() {
            return self.request.deadline;
        }
        let silence = self.route.stream_silence_timeout().mul_f64(SILENCE_SHARE);
        (Instant::now() + silence).min(self.request.deadline)
    }

    /// The runner at which the stream would be continued.
    fn choose_next(&self) -> Result<Runner, NoRunner> {
        let present = self.exchange.iter().map(|exchange| &exchange.runner.id);
        let tried: Vec<RunnerId> = self.tried.iter().chain(present).cloned().collect();
        let wanted = SelectionCriteria {
            service: &self.service,
            unit: self.request.unit.as_ref(),
            affinity: Some(self.request.profile.affinity()),
            homes: &self.request.homes,
            tried: &tried,
            permit_waits: &[],
        };
        self.shared.choose(&wanted)
    }

    fn is_quarantined(&self) -> bool {
        self.shared.quarantine_remaining(&self.request).is_some()
    }

    fn may_resume(&self) -> bool {
        let mut next = self.attempts;
        next.record_failure(Failure::Broken);
        next.may_retry(self.route.kind, self.route.max_attempts)
    }

    async fn next_piece(&mut self, until: Instant) -> Piece {
        loop {
            let Some(exchange) = &mut self.exchange else {
                return Piece::Broken;
            };
            let frame = match timeout_at(until, exchange.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Piece::Broken,
                Ok(None) => return self.end(),
                Err(_) => return Piece::Silent,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let events = self.splitter.push(&data);
            if self.splitter.is_oversized() {
                return Piece::Broken;
            }
            if !events.is_empty() {
                self.note_events();
                return Piece::Events(Bytes::from(events));
            }
        }
    }

    fn note_events(&mut self) {
        let now = Instant::now();
        self.begun_at.get_or_insert(now);
        if let Some(last) = self.last_events_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
    }

    fn end(&mut self) -> Piece {
        if self.splitter.has_partial() {
            return Piece::Broken;
        }
        if let Some(exchange) = self.exchange.take() {
            self.log_gap(&exchange.runner.id);
            self.shared.record_completed(&self.request);
            self.shared
                .observe(&exchange.runner.id, Observation::Success);
            if let Some(connection) = exchange.connection {
                self.shared.pool.put(connection);
            }
        }
        Piece::End
    }

    /// Goes on at another runner. The run at a runner that is only silent is not ended before another one has had
    /// its chance to reject the request: then the silent one is waited for again.
    async fn resume(&mut self, failure: Failure) -> Result<(), RelayError> {
        let present = self.exchange.take();
        if let Some(exchange) = &present {
            self.shared
                .observe(&exchange.runner.id, Observation::Failure);
            self.tried.push(exchange.runner.id.clone());
            self.log_break(exchange, failure);
        }
        self.last_events_at = None;
        let has_just_begun = self
            .begun_at
            .take()
            .is_none_or(|begun_at| begun_at.elapsed() < JUST_BEGUN);
        if failure == Failure::Silent
            && let Some(exchange) = present
        {
            return self.leave_silent(exchange).await;
        }
        self.attempts.record_failure(failure);
        if has_just_begun && let Some(exchange) = &present {
            check_for_crash(&self.shared, &self.request, &exchange.runner).await;
        }
        drop(present);
        self.go_on().await
    }

    /// Goes on at another runner, until one takes the stream.
    async fn go_on(&mut self) -> Result<(), RelayError> {
        self.splitter.drop_partial();
        loop {
            if Instant::now() >= self.request.deadline {
                return Err(self.given_up(RelayError::Expired, "time is up"));
            }
            let max_attempts = self.route.max_attempts;
            if !self.attempts.may_retry(self.route.kind, max_attempts) {
                return Err(self.given_up(RelayError::Broken, "it may not be sent again"));
            }
            if self.is_quarantined() {
                return Err(self.given_up(RelayError::Broken, "it is in quarantine"));
            }
            if !self.shared.try_retry(&self.service) {
                return Err(self.given_up(RelayError::Broken, "the retry budget is spent"));
            }
            if self.try_continue().await? {
                return Ok(());
            }
        }
    }

    /// Leaves a silent runner for another one, unless that one rejects the stream at once.
    async fn leave_silent(&mut self, silent: Exchange) -> Result<(), RelayError> {
        if Instant::now() >= self.request.deadline {
            return Err(self.given_up(RelayError::Expired, "time is up"));
        }
        let Ok(next) = self.choose_next() else {
            self.wait_again(silent);
            return Ok(());
        };
        if self.is_quarantined() || !self.shared.try_retry(&self.service) {
            self.wait_again(silent);
            return Ok(());
        }
        let last_event = self.last_event();
        let continuation = Continuation {
            last_event: last_event.as_deref(),
            weights_version: self.weights_version,
        };
        let patience = self.continuation_patience();
        let (shared, request) = (self.shared.clone(), self.request.clone());
        let Ok(admission) = admit_until(&shared, &request, &next, Instant::now()).await else {
            self.wait_again(silent);
            return Ok(());
        };
        let attempt = exchange(&shared, &request, &next, &admission, continuation, patience);
        tokio::pin!(attempt);
        let early = timeout(REJECTION_WAIT, &mut attempt).await;
        if let Ok(Err(failed)) = &early
            && !failed.failure.may_have_run()
        {
            self.note_failed(&next.id, *failed);
            self.wait_again(silent);
            return Ok(());
        }
        drop(silent);
        self.attempts.record_failure(Failure::Silent);
        self.splitter.drop_partial();
        let attempted = match early {
            Ok(attempted) => attempted,
            Err(_) => attempt.await,
        };
        if self.take_continuation(&next, attempted, continuation.last_event) {
            return Ok(());
        }
        self.go_on().await
    }

    /// Waits again for a silent runner that nobody takes the stream from.
    fn wait_again(&mut self, silent: Exchange) {
        self.tried.retain(|tried| *tried != silent.runner.id);
        self.exchange = Some(silent);
    }

    /// The last event that the client has, from this answer or from one before it.
    fn last_event(&self) -> Option<String> {
        let before = self.request.profile.last_event.as_deref();
        self.splitter.last_id().or(before).map(str::to_owned)
    }

    fn continuation_patience(&self) -> Instant {
        (Instant::now() + self.route.target.max(LEAST_PATIENCE)).min(self.request.deadline)
    }

    fn note_failed(&mut self, runner: &RunnerId, failed: FailedAttempt) {
        if let Some(observation) = failed.observation {
            self.shared.observe(runner, observation);
        }
        self.attempts.record_failure(failed.failure);
        self.tried.push(runner.clone());
    }

    /// Takes in what a runner has answered that was to go on. Tells whether it goes on.
    fn take_continuation(
        &mut self,
        runner: &Runner,
        attempted: Result<Exchange, FailedAttempt>,
        last_event: Option<&str>,
    ) -> bool {
        match attempted {
            Ok(exchange) if exchange.head.status.is_success() => {
                let fields: &[(&str, &dyn std::fmt::Display)] = &[
                    ("request", &self.request.profile.id),
                    ("runner", &runner.id),
                    ("after_event", &last_event.unwrap_or("")),
                ];
                self.shared
                    .log
                    .write(self.shared.now(), "stream-resumed", fields);
                metrics::counter!(STREAMS_RESUMED.name).increment(1);
                self.exchange = Some(exchange);
                true
            }
            Ok(_) => {
                self.attempts.record_failure(Failure::Failed);
                self.tried.push(runner.id.clone());
                false
            }
            Err(failed) => {
                self.note_failed(&runner.id, failed);
                false
            }
        }
    }

    /// Sends the request to another runner. Tells whether that one goes on.
    async fn try_continue(&mut self) -> Result<bool, RelayError> {
        let runner = match self.choose_next() {
            Ok(runner) => runner,
            Err(reason) => {
                let reason = format!("{reason:?}");
                return Err(self.given_up(RelayError::Broken, &reason));
            }
        };
        let last_event = self.last_event();
        let continuation = Continuation {
            last_event: last_event.as_deref(),
            weights_version: self.weights_version,
        };
        let patience = self.continuation_patience();
        let admission = admit_until(&self.shared, &self.request, &runner, patience).await;
        let attempted = match &admission {
            Ok(admission) => {
                self.send_on(&runner, admission, continuation, patience)
                    .await
            }
            Err(_) => Err(FailedAttempt::not_permitted()),
        };
        Ok(self.take_continuation(&runner, attempted, continuation.last_event))
    }

    async fn send_on(
        &mut self,
        runner: &Runner,
        admission: &Admission,
        continuation: Continuation<'_>,
        patience: Instant,
    ) -> Result<Exchange, FailedAttempt> {
        let (shared, request) = (&self.shared, &self.request);
        exchange(shared, request, runner, admission, continuation, patience).await
    }

    /// Logs why the stream ends without its end.
    fn given_up(&self, error: RelayError, reason: &str) -> RelayError {
        let fields: &[(&str, &dyn std::fmt::Display)] = &[
            ("request", &self.request.profile.id),
            ("reason", &reason),
            ("last_event", &self.splitter.last_id().unwrap_or("")),
            ("runs", &self.attempts.runs),
        ];
        self.shared
            .log
            .write(self.shared.now(), "stream-given-up", fields);
        error
    }

    /// Logs a pause that makes the answer late, though nothing failed.
    fn log_gap(&self, runner: &RunnerId) {
        if self.longest_gap <= self.route.event_gap {
            return;
        }
        let fields: &[(&str, &dyn std::fmt::Display)] = &[
            ("request", &self.request.profile.id),
            ("route", &self.route.name),
            ("runner", runner),
            ("longest_gap_ms", &self.longest_gap.as_millis()),
        ];
        metrics::counter!(STREAMS_LATE.name).increment(1);
        self.shared
            .log
            .write(self.shared.now(), "stream-late", fields);
    }

    fn log_break(&self, exchange: &Exchange, failure: Failure) {
        let lasted = self.shared.now().since(exchange.in_flight.sent_at());
        let fields: &[(&str, &dyn std::fmt::Display)] = &[
            ("request", &self.request.profile.id),
            ("runner", &exchange.runner.id),
            ("failure", &format!("{failure:?}")),
            ("last_event", &self.splitter.last_id().unwrap_or("")),
            ("runs", &(self.attempts.runs + 1)),
            ("lasted_ms", &lasted.as_millis()),
            ("fingerprint", &self.request.fingerprint()),
        ];
        metrics::counter!(STREAMS_BROKEN.name).increment(1);
        self.shared
            .log
            .write(self.shared.now(), "stream-broken", fields);
    }
}

/// Reads a body whole, up to a length.
///
/// # Errors
/// Says how the attempt failed.
pub(crate) async fn collect(
    body: Incoming,
    limit: usize,
    until: Instant,
) -> Result<Bytes, Failure> {
    let limited = http_body_util::Limited::new(body, limit);
    match timeout_at(until, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(Failure::Broken),
        Err(_) => Err(Failure::Silent),
    }
}
