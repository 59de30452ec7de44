//! Relays an event stream to the client and continues it at another runner if it breaks or stalls.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flaxward_routing::attempt::{Attempts, Failure};
use flaxward_routing::balance::{NoRunner, SelectionCriteria};
use flaxward_routing::configuration::Route;
use flaxward_routing::events::EventSplitter;
use flaxward_routing::health::Observation;
use flaxward_routing::names::{RunnerId, ServiceName, SoftwareVersion};
use flaxward_routing::runners::Runner;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use thiserror::Error;
use tokio::time::{Instant, timeout, timeout_at};

use crate::counters::{STREAMS_BROKEN, STREAMS_LATE, STREAMS_RESUMED};
use crate::crashes::{check_for_crash, check_whether_down};
use crate::exchange::{ClientRequest, Continuation, Exchange, FailedAttempt, exchange};
use crate::permits::{Admission, admit_until};
use crate::responses::ResponseBody;
use crate::state::Shared;
use crate::waiting::{wait_for_capacity, wait_for_unit};

/// Minimum timeout for the response head of a continued stream.
const MIN_CONTINUATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Fraction of the route's stream silence timeout after which a stalled stream is continued at another runner. It is
/// high because a runner may be silent while it serves requests of higher priority.
const STALL_TIMEOUT_SHARE: f64 = 0.7;
/// Time in which a full runner rejects a stream that is to be continued there. The stalled runner is still running the
/// request during this time, and both must not run it for longer.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after its first events during which a stream is suspected of having crashed its runner. A request that crashes
/// runners does so in its first steps, within some tenths of a second, so streams that have run longer are not
/// suspected.
const CRASH_SUSPICION_WINDOW: Duration = Duration::from_secs(1);

/// Why a response is aborted. The connection to the client is closed without the end of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RelayError {
    /// The runner aborted the stream, and no other runner could continue it.
    #[error("the runner aborted the stream")]
    Broken,
    /// The request's deadline has passed.
    #[error("the deadline of the request has passed")]
    Expired,
}

/// Outcome of reading from a runner's stream.
enum ReadOutcome {
    Events(Bytes),
    End,
    Broken,
    Silent,
}

/// A stream that is relayed to the client.
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
    /// The software version that began the stream; `None` if it is not known, so that the stream cannot be continued.
    software_version: Option<SoftwareVersion>,
    first: Option<Bytes>,
    /// When the last events arrived.
    last_events_at: Option<Instant>,
    /// When the first events of the current runner arrived.
    started_at: Option<Instant>,
    /// Whether the current runner's answer has been recorded as one that did not crash it.
    is_answer_recorded: bool,
    /// Maximum time between two arrivals of events.
    max_gap: Duration,
    is_done: bool,
}

impl StreamRelay {
    /// Creates a relay for an exchange whose response head has been received.
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
            software_version: exchange.runner.software_version.clone(),
            exchange: Some(exchange),
            splitter: EventSplitter::default(),
            first: None,
            last_events_at: None,
            started_at: None,
            is_answer_recorded: false,
            max_gap: Duration::ZERO,
            is_done: false,
        }
    }

    /// Waits for the first event, so that a runner that fails before it can be replaced without the client noticing.
    ///
    /// # Errors
    /// Returns how the attempt failed.
    pub(crate) async fn wait_first_event(
        &mut self,
        attempt_deadline: Instant,
    ) -> Result<(), Failure> {
        match self.read_events(attempt_deadline).await {
            ReadOutcome::Events(bytes) => {
                self.first = Some(bytes);
                Ok(())
            }
            ReadOutcome::End => {
                self.is_done = true;
                Ok(())
            }
            ReadOutcome::Broken => Err(Failure::Broken),
            ReadOutcome::Silent => Err(Failure::Silent),
        }
    }

    /// Converts the relay into the response body for the client.
    pub(crate) fn into_body(self) -> ResponseBody {
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
            let stall_deadline = self.stall_deadline();
            match self.read_events(stall_deadline).await {
                ReadOutcome::Events(bytes) => return Some(Ok(Frame::data(bytes))),
                ReadOutcome::End => {
                    self.is_done = true;
                    return None;
                }
                ReadOutcome::Broken => {
                    if let Err(error) = self.resume(Failure::Broken).await {
                        return Some(Err(error));
                    }
                }
                ReadOutcome::Silent => {
                    if let Err(error) = self.resume(Failure::Silent).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// The time at which a silent runner is considered stalled.
    fn stall_deadline(&self) -> Instant {
        if !self.may_resume() || self.choose_next().is_err() {
            return self.request.deadline;
        }
        let timeout = self
            .route
            .stream_silence_timeout()
            .mul_f64(STALL_TIMEOUT_SHARE);
        (Instant::now() + timeout).min(self.request.deadline)
    }

    /// Selects the runner at which the stream would be continued.
    fn choose_next(&self) -> Result<Runner, NoRunner> {
        let Some(version) = &self.software_version else {
            return Err(NoRunner::NoneOfVersion);
        };
        let current = self.exchange.iter().map(|exchange| &exchange.runner.id);
        let tried: Vec<RunnerId> = self.tried.iter().chain(current).cloned().collect();
        let criteria = SelectionCriteria {
            service: &self.service,
            unit: self.request.unit.as_ref(),
            affinity: Some(self.request.profile.affinity()),
            homes: &self.request.homes,
            software_version: Some(version),
            tried: &tried,
            permit_waits: &[],
        };
        self.shared.choose(&criteria)
    }

    fn is_quarantined(&self) -> bool {
        self.shared.quarantine_remaining(&self.request).is_some()
    }

    fn may_resume(&self) -> bool {
        let mut next = self.attempts;
        next.record_failure(Failure::Broken);
        next.may_retry(self.route.kind, self.route.max_attempts)
    }

    async fn read_events(&mut self, until: Instant) -> ReadOutcome {
        loop {
            let Some(exchange) = &mut self.exchange else {
                return ReadOutcome::Broken;
            };
            let frame = match timeout_at(until, exchange.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return ReadOutcome::Broken,
                Ok(None) => return self.end(),
                Err(_) => return ReadOutcome::Silent,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let events = self.splitter.push(&data);
            if self.splitter.is_oversized() {
                return ReadOutcome::Broken;
            }
            if !events.is_empty() {
                self.record_events();
                return ReadOutcome::Events(Bytes::from(events));
            }
        }
    }

    fn record_events(&mut self) {
        let now = Instant::now();
        let started_at = *self.started_at.get_or_insert(now);
        if now - started_at >= CRASH_SUSPICION_WINDOW && !self.is_answer_recorded {
            self.record_answer();
        }
        if let Some(last) = self.last_events_at.replace(now) {
            self.max_gap = self.max_gap.max(now - last);
        }
    }

    /// Records that the request has not crashed the current runner.
    fn record_answer(&mut self) {
        if let Some(exchange) = &self.exchange {
            let sent_at = exchange.in_flight.sent_at();
            self.shared.record_answered(&self.request, sent_at);
            self.is_answer_recorded = true;
        }
    }

    fn end(&mut self) -> ReadOutcome {
        if self.splitter.has_partial() {
            return ReadOutcome::Broken;
        }
        if !self.is_answer_recorded {
            self.record_answer();
        }
        if let Some(exchange) = self.exchange.take() {
            self.log_gap(&exchange.runner.id);
            self.shared
                .observe(&exchange.runner.id, Observation::Success);
            if let Some(connection) = exchange.connection {
                self.shared.pool.put(connection);
            }
        }
        ReadOutcome::End
    }

    /// Continues the stream at another runner. A run at a runner that is only silent is not cancelled until the other
    /// runner has had time to reject the request; if it does, the relay waits for the silent runner again.
    async fn resume(&mut self, failure: Failure) -> Result<(), RelayError> {
        if let Some(version) = &self.software_version {
            self.request = Arc::new(self.request.bound_to(version));
        }
        let current = self.exchange.take();
        if let Some(exchange) = &current {
            self.shared
                .observe(&exchange.runner.id, Observation::Failure);
            self.tried.push(exchange.runner.id.clone());
            self.log_break(exchange, failure);
        }
        let silent_since = self.last_events_at.take().unwrap_or_else(Instant::now);
        let started_at = self.started_at.take();
        self.is_answer_recorded = false;
        let is_crash_suspect =
            started_at.is_none_or(|started_at| started_at.elapsed() < CRASH_SUSPICION_WINDOW);
        if failure == Failure::Silent
            && let Some(exchange) = current
        {
            return self.replace_stalled(exchange, silent_since).await;
        }
        self.attempts.record_failure(failure);
        if let Some(exchange) = &current {
            if is_crash_suspect {
                let (sent_at, has_begun) = (exchange.in_flight.sent_at(), started_at.is_some());
                let (shared, request) = (&self.shared, &self.request);
                check_for_crash(shared, request, &exchange.runner, sent_at, has_begun).await;
            } else {
                check_whether_down(&self.shared, &exchange.runner).await;
            }
        }
        drop(current);
        self.fail_over(silent_since).await
    }

    /// Tries other runners until one continues the stream. `silent_since` is when the client was last sent events.
    async fn fail_over(&mut self, silent_since: Instant) -> Result<(), RelayError> {
        self.splitter.drop_partial();
        loop {
            if Instant::now() >= self.request.deadline {
                return Err(self.abort(RelayError::Expired, "the deadline has passed"));
            }
            let max_attempts = self.route.max_attempts;
            if !self.attempts.may_retry(self.route.kind, max_attempts) {
                return Err(self.abort(RelayError::Broken, "the request may not be retried"));
            }
            if self.is_quarantined() {
                return Err(self.abort(RelayError::Broken, "the request is quarantined"));
            }
            let runner = self.wait_for_next(silent_since).await?;
            if !self.shared.begin_run(&self.request) {
                return Err(self.abort(RelayError::Broken, "the request is quarantined"));
            }
            if !self.shared.try_retry(&self.service, &self.request) {
                return Err(self.abort(RelayError::Broken, "the retry budget is spent"));
            }
            if self.try_continue(&runner).await {
                return Ok(());
            }
        }
    }

    /// Replaces a stalled runner by another one, unless that one rejects the stream within `REJECTION_TIMEOUT`.
    async fn replace_stalled(
        &mut self,
        stalled: Exchange,
        silent_since: Instant,
    ) -> Result<(), RelayError> {
        if Instant::now() >= self.request.deadline {
            return Err(self.abort(RelayError::Expired, "the deadline has passed"));
        }
        let Ok(next) = self.choose_next() else {
            self.resume_waiting(stalled);
            return Ok(());
        };
        if self.is_quarantined() || !self.shared.try_retry(&self.service, &self.request) {
            self.resume_waiting(stalled);
            return Ok(());
        }
        let last_event = self.last_event();
        let continuation = Continuation {
            last_event: last_event.as_deref(),
            weights_version: self.weights_version,
        };
        let attempt_deadline = self.continuation_deadline();
        let (shared, request) = (self.shared.clone(), self.request.clone());
        let Ok(admission) = admit_until(&shared, &request, &next, Instant::now()).await else {
            self.resume_waiting(stalled);
            return Ok(());
        };
        let attempt = exchange(
            &shared,
            &request,
            &next,
            admission,
            continuation,
            attempt_deadline,
        );
        tokio::pin!(attempt);
        let early = timeout(REJECTION_TIMEOUT, &mut attempt).await;
        if let Ok(Err(failed)) = &early
            && !failed.failure.may_have_run()
        {
            self.record_failed_attempt(&next.id, *failed);
            self.resume_waiting(stalled);
            return Ok(());
        }
        drop(stalled);
        self.attempts.record_failure(Failure::Silent);
        self.splitter.drop_partial();
        let result = match early {
            Ok(result) => result,
            Err(_) => attempt.await,
        };
        if self.accept_continuation(&next, result, continuation.last_event) {
            return Ok(());
        }
        self.fail_over(silent_since).await
    }

    /// Selects the runner at which a broken stream is continued. If no runner of its software version holds the model or
    /// has room, it waits for one as long as the client waits for events.
    async fn wait_for_next(&mut self, silent_since: Instant) -> Result<Runner, RelayError> {
        loop {
            let reason = match self.choose_next() {
                Ok(runner) => return Ok(runner),
                Err(reason) => reason,
            };
            let waited = match reason {
                NoRunner::NotLoaded => self.wait_until_loaded(silent_since).await,
                NoRunner::NoRoom { until } => {
                    let (shared, request) = (&self.shared, &self.request);
                    wait_for_capacity(shared, request, &self.route, until, silent_since)
                        .await
                        .is_ok()
                }
                _ => false,
            };
            if !waited {
                return Err(self.abort(RelayError::Broken, &format!("{reason:?}")));
            }
        }
    }

    /// Waits until a runner of the stream's software version has loaded the unit. Returns false as soon as it is certain
    /// that none will have in time, neither for this answer nor for the client's next attempt: most clients attempt it
    /// once, at once, and wait for events as long as here.
    async fn wait_until_loaded(&mut self, silent_since: Instant) -> bool {
        let Some(requirement) = self.request.requirement() else {
            return false;
        };
        let waiting = wait_for_unit(
            &self.shared,
            &self.request,
            &self.route,
            &requirement,
            silent_since,
            self.route.stream_silence_timeout(),
        );
        waiting.await.is_ok()
    }

    /// Resumes waiting for a stalled runner because no other runner takes over its stream.
    fn resume_waiting(&mut self, stalled: Exchange) {
        self.tried.retain(|tried| *tried != stalled.runner.id);
        self.exchange = Some(stalled);
    }

    /// The ID of the last event that the client has received, in this response or an earlier one.
    fn last_event(&self) -> Option<String> {
        let earlier = self.request.profile.last_event.as_deref();
        self.splitter.last_id().or(earlier).map(str::to_owned)
    }

    fn continuation_deadline(&self) -> Instant {
        (Instant::now() + self.route.target.max(MIN_CONTINUATION_TIMEOUT))
            .min(self.request.deadline)
    }

    fn record_failed_attempt(&mut self, runner: &RunnerId, failed: FailedAttempt) {
        if let Some(observation) = failed.observation {
            self.shared.observe(runner, observation);
        }
        self.attempts.record_failure(failed.failure);
        self.tried.push(runner.clone());
    }

    /// Records the response of a runner that was to continue the stream. Returns whether it continues it.
    fn accept_continuation(
        &mut self,
        runner: &Runner,
        result: Result<Exchange, FailedAttempt>,
        last_event: Option<&str>,
    ) -> bool {
        match result {
            Ok(exchange) if exchange.head.status.is_success() => {
                let fields: &[(&str, &dyn std::fmt::Display)] = &[
                    ("request", &self.request.profile.id),
                    ("runner", &runner.id),
                    ("version", &runner.version_label()),
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
                self.record_failed_attempt(&runner.id, failed);
                false
            }
        }
    }

    /// Sends the request to another runner. Returns whether that one continues the stream.
    async fn try_continue(&mut self, runner: &Runner) -> bool {
        let last_event = self.last_event();
        let continuation = Continuation {
            last_event: last_event.as_deref(),
            weights_version: self.weights_version,
        };
        let attempt_deadline = self.continuation_deadline();
        let admission = admit_until(&self.shared, &self.request, runner, attempt_deadline).await;
        let result = match admission {
            Ok(admission) => {
                self.send_continuation(runner, admission, continuation, attempt_deadline)
                    .await
            }
            Err(_) => Err(FailedAttempt::not_permitted()),
        };
        self.accept_continuation(runner, result, continuation.last_event)
    }

    async fn send_continuation(
        &mut self,
        runner: &Runner,
        admission: Admission,
        continuation: Continuation<'_>,
        attempt_deadline: Instant,
    ) -> Result<Exchange, FailedAttempt> {
        let (shared, request) = (&self.shared, &self.request);
        exchange(
            shared,
            request,
            runner,
            admission,
            continuation,
            attempt_deadline,
        )
        .await
    }

    /// Logs why the stream is aborted, and returns the error.
    fn abort(&self, error: RelayError, reason: &str) -> RelayError {
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

    /// Logs a gap between events that exceeds the route's limit although no attempt failed.
    fn log_gap(&self, runner: &RunnerId) {
        if self.max_gap <= self.route.event_gap {
            return;
        }
        let fields: &[(&str, &dyn std::fmt::Display)] = &[
            ("request", &self.request.profile.id),
            ("route", &self.route.name),
            ("runner", runner),
            ("longest_gap_ms", &self.max_gap.as_millis()),
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
            ("version", &exchange.runner.version_label()),
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
