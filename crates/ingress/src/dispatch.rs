//! Dispatch of a request: attempts at one runner after another until one responds.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flaxward_client_limits::{BufferedResponse, ClientActivity};
use flaxward_routing::attempt::{Attempts, Failure};
use flaxward_routing::balance::{NoRunner, PermitWait, SelectionCriteria};
use flaxward_routing::configuration::Route;
use flaxward_routing::fingerprint::RequestFingerprint;
use flaxward_routing::health::Observation;
use flaxward_routing::names::{RunnerId, ServiceName};
use flaxward_routing::runners::Runner;
use flaxward_types::ResultCode;
use flaxward_types::refusal::Refusal;
use flaxward_types::time::Timestamp;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, timeout_at};

use crate::counters::{ATTEMPTS_FAILED, HEAD_SECONDS, SERVED};
use crate::crashes::{check_for_crash, wait_until_quarantined};
use crate::exchange::{
    ClientRequest, Continuation, Exchange, FailedAttempt, exchange, remove_hop_by_hop_headers,
};
use crate::notices::format_rate;
use crate::permits::{Admission, admit};
use crate::refused::{Details, RETRY_AFTER, RETRY_STOPPING, Refused};
use crate::relay::StreamRelay;
use crate::responses::{self, ResponseBody};
use crate::state::Shared;
use crate::waiting::{wait_for_capacity, wait_for_unit};

/// Maximum size of a response that is buffered completely before it is forwarded.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;
/// Minimum timeout of an attempt that may be followed by another one.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);
/// Timeout of a stream attempt that may be followed by another one, as a fraction of the route's stream silence
/// timeout.
const STREAM_TIMEOUT_SHARE: f64 = 0.5;
/// The same timeout for other requests, as a multiple of the route's latency target.
const TARGET_TIMEOUT_FACTOR: f64 = 1.6;
/// First delay before runners that were full are tried again.
const FULL_BACKOFF: Duration = Duration::from_millis(80);
/// Growth of that delay per round: a runner that is full twice has a long queue, and each attempt consumes retry
/// budget.
const FULL_BACKOFF_FACTOR: u32 = 4;
/// Delay before a runner is selected again after a permit for it has expired unused, because connecting to it currently
/// takes too long.
const PERMIT_EXPIRED_BACKOFF: Duration = Duration::from_millis(100);
/// Minimum time to the deadline with which a request is still sent to a runner.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// `Retry-After` if no runner in the home regions of a request accepts work: a runner that is being replaced is back
/// within seconds.
const RETRY_NO_HOME_RUNNER: Duration = Duration::from_secs(3);

/// `Retry-After` if no runner has the software version that began a stream: one that has crashed is back within seconds.
const RETRY_NO_RUNNER_OF_VERSION: Duration = Duration::from_secs(2);

/// State of a request that is being sent to runners.
pub(crate) struct Dispatch {
    shared: Arc<Shared>,
    request: Arc<ClientRequest>,
    /// Activity of the client's connection.
    client: Arc<ClientActivity>,
    route: Arc<Route>,
    service: ServiceName,
    attempts: Attempts,
    tried: Vec<RunnerId>,
    /// Runners that need a permit and have no capacity for the request yet.
    permit_waits: Vec<PermitWait>,
    last_failure: Option<Failure>,
    /// A runner's own error response, forwarded if no other runner succeeds.
    error_response: Option<Response<ResponseBody>>,
    arrived_at: Instant,
    /// Whether an attempt is in progress.
    is_attempting: bool,
    guard: Option<Box<dyn Send>>,
}

impl Dispatch {
    /// Creates the dispatch of a request that has not been sent to any runner.
    pub(crate) fn new(
        shared: Arc<Shared>,
        request: ClientRequest,
        client: Arc<ClientActivity>,
        route: Arc<Route>,
        service: ServiceName,
        arrived_at: Instant,
    ) -> Self {
        Self {
            shared,
            request: Arc::new(request),
            client,
            route,
            service,
            attempts: Attempts::default(),
            tried: Vec::new(),
            permit_waits: Vec::new(),
            last_failure: None,
            error_response: None,
            arrived_at,
            is_attempting: false,
            guard: None,
        }
    }

    /// Sends the request to runners until there is a final response or the daemon terminates.
    ///
    /// `guard` is dropped after the response has ended.
    pub(crate) async fn run(
        mut self,
        guard: Box<dyn Send>,
    ) -> Result<Response<ResponseBody>, Refused> {
        self.guard = Some(guard);
        if self.shared.quarantine_remaining(&self.request).is_none() {
            self.count_request();
        }
        let ending = self.shared.ending.clone();
        let result = tokio::select! {
            biased;
            result = self.send() => Some(result),
            () = ending.cancelled() => None,
        };
        if let Some(result) = result {
            return result;
        }
        if self.is_attempting {
            self.attempts.record_failure(Failure::Silent);
        }
        self.give_up("the daemon is terminating")
    }

    async fn send(&mut self) -> Result<Response<ResponseBody>, Refused> {
        let mut full_rounds = 0;
        loop {
            if self.request.time_left() < MIN_TIME_LEFT {
                return self.give_up("the deadline has passed");
            }
            if self.shared.may_be_cut_off(self.request.deadline) {
                return self.stopping();
            }
            if let Some((fingerprint, remaining)) = self.shared.find_quarantined(&self.request) {
                return self.quarantined(fingerprint, remaining);
            }
            let runner = match self.choose() {
                Ok(runner) => runner,
                Err(NoRunner::NotLoaded) => match self.wait_until_loaded().await {
                    Ok(()) => continue,
                    Err(refusal) => return self.not_ready(refusal),
                },
                Err(NoRunner::NoRoom { until }) => match self.wait_for_room(until).await {
                    Ok(()) => continue,
                    // Runners that were full may have capacity sooner.
                    Err(_) if !self.tried.is_empty() && self.may_retry_full(full_rounds) => {
                        self.back_off(full_rounds).await;
                        full_rounds += 1;
                        continue;
                    }
                    Err(refusal) => return self.no_capacity(refusal),
                },
                Err(NoRunner::AllTried) if self.may_retry_full(full_rounds) => {
                    self.back_off(full_rounds).await;
                    full_rounds += 1;
                    continue;
                }
                Err(NoRunner::AllTried) => return self.give_up("no other runner available"),
                Err(NoRunner::NoneAtHome) => return self.no_home_runner(),
                Err(NoRunner::NoneOfVersion) => return self.no_runner_of_version(),
                Err(NoRunner::NoneOfService) => return self.give_up("the service has no runner"),
            };
            let admission = match admit(&self.shared, &self.request, &runner).await {
                Ok(admission) => admission,
                Err(until) => {
                    self.defer_runner(&runner, until);
                    continue;
                }
            };
            // The request was not quarantined above; if it is now, the check is repeated.
            if !self.shared.begin_run(&self.request) {
                continue;
            }
            let is_retry = self.attempts.sent > 0;
            if is_retry && !self.shared.try_retry(&self.service, &self.request) {
                return self.give_up("the retry budget is spent");
            }
            self.is_attempting = true;
            let sent_at = self.shared.now();
            let result = self.attempt(&runner, admission).await;
            self.is_attempting = false;
            match result {
                Ok(response) => return Ok(response),
                Err(failed) if failed.failure == Failure::NotPermitted => {
                    self.permit_expired(&runner);
                    continue;
                }
                Err(failed) => {
                    let lasted = self.shared.now().since(sent_at);
                    self.record_failed_attempt(&runner, failed, lasted);
                }
            }
            if self.last_failure == Some(Failure::Broken) {
                check_for_crash(&self.shared, &self.request, &runner, sent_at, false).await;
            }
            let max_attempts = self.route.max_attempts;
            if !self.attempts.may_retry(self.route.kind, max_attempts) {
                return self.give_up("the request may not be retried");
            }
        }
    }

    fn count_request(&self) {
        let now = self.shared.now();
        let mut tables = self.shared.tables();
        tables.budget.count_request(&self.service, now);
        if let Some(requirement) = self.request.requirement() {
            tables.uses.count(requirement, now);
        }
    }

    fn choose(&self) -> Result<Runner, NoRunner> {
        self.choose_except(&self.tried)
    }

    fn choose_except(&self, tried: &[RunnerId]) -> Result<Runner, NoRunner> {
        let has_parts = self.request.profile.parts.len() > 1;
        let criteria = SelectionCriteria {
            service: &self.service,
            unit: self.request.unit.as_ref(),
            affinity: has_parts.then(|| self.request.profile.affinity()),
            homes: &self.request.homes,
            software_version: self.request.software_version.as_ref(),
            tried,
            permit_waits: &self.permit_waits,
        };
        self.shared.choose(&criteria)
    }

    async fn wait_until_loaded(&mut self) -> Result<(), Refusal> {
        let Some(requirement) = self.request.requirement() else {
            return Ok(());
        };
        let (shared, request) = (&self.shared, &self.request);
        let waiting = wait_for_unit(
            shared,
            request,
            &self.route,
            &requirement,
            self.arrived_at,
            Duration::ZERO,
        );
        tokio::select! {
            result = waiting => result,
            // The caller checks the quarantine and whether the daemon closes next.
            () = wait_until_quarantined(&self.shared, &self.request) => Ok(()),
            () = self.shared.until_cut_off_possible(self.request.deadline) => Ok(()),
        }
    }

    /// Excludes a runner that needs a permit from selection until it may have capacity.
    fn defer_runner(&mut self, runner: &Runner, until: Timestamp) {
        let now = self.shared.now();
        self.permit_waits.retain(|it| it.until > now);
        self.permit_waits.push(PermitWait {
            runner: runner.id.clone(),
            until,
        });
    }

    /// Handles a permit that expired before the request was sent, or a runner that has meanwhile announced that it does
    /// not accept such requests.
    fn permit_expired(&mut self, runner: &Runner) {
        let fields: &[(&str, &dyn Display)] = &[
            ("request", &self.request.profile.id),
            ("runner", &runner.id),
        ];
        let now = self.shared.now();
        self.shared.log.write(now, "permit-ended", fields);
        self.defer_runner(runner, now + PERMIT_EXPIRED_BACKOFF);
    }

    async fn wait_for_room(&mut self, until: Timestamp) -> Result<(), Refusal> {
        let waiting = wait_for_capacity(
            &self.shared,
            &self.request,
            &self.route,
            until,
            self.arrived_at,
        );
        tokio::select! {
            result = waiting => result,
            // The caller checks the quarantine and whether the daemon closes next.
            () = wait_until_quarantined(&self.shared, &self.request) => Ok(()),
            () = self.shared.until_cut_off_possible(self.request.deadline) => Ok(()),
        }
    }

    /// Final response if the daemon ends before the request may.
    fn stopping(&mut self) -> Result<Response<ResponseBody>, Refused> {
        const REASON: &str = "the daemon is stopping";
        if !self.attempts.definitely_not_run() {
            return self.give_up(REASON);
        }
        let refusal = Refusal::new(ResultCode::Stopping).with_retry_after(RETRY_STOPPING);
        Err(self.refused(refusal, REASON))
    }

    /// Final response if no runner that holds the unit has capacity in time.
    fn no_capacity(&mut self, refusal: Refusal) -> Result<Response<ResponseBody>, Refused> {
        const REASON: &str =
            "all runners are resting, cold, rate-limited or full, and none has capacity in time";
        if !self.attempts.definitely_not_run() {
            return self.give_up(REASON);
        }
        Err(self.refused(refusal, REASON))
    }

    /// Final response if the unit is not ready in time. It says that the request has not run only if that is certain.
    fn not_ready(&mut self, refusal: Refusal) -> Result<Response<ResponseBody>, Refused> {
        let reason = match self.request.requirement() {
            Some(requirement) => format!("{requirement} is not ready in time"),
            None => "not ready in time".to_owned(),
        };
        if !self.attempts.definitely_not_run() {
            return self.give_up(&reason);
        }
        Err(self.refused(refusal, &reason))
    }

    /// Waits before runners that were full are tried again.
    async fn back_off(&mut self, full_rounds: u32) {
        let backoff = FULL_BACKOFF * FULL_BACKOFF_FACTOR.pow(full_rounds);
        self.tried.clear();
        sleep(backoff.min(self.request.time_left())).await;
    }

    fn may_retry_full(&self, full_rounds: u32) -> bool {
        let may_serve = match self.last_failure {
            Some(Failure::NotRun | Failure::Misdirected | Failure::Broken) => true,
            Some(Failure::NotSent | Failure::NotPermitted | Failure::Failed | Failure::Silent)
            | None => false,
        };
        may_serve && full_rounds < 2
    }

    fn record_failed_attempt(&mut self, runner: &Runner, failed: FailedAttempt, lasted: Duration) {
        if let Some(observation) = failed.observation {
            self.shared.observe(&runner.id, observation);
        }
        if failed.failure == Failure::NotRun {
            let now = self.shared.now();
            self.shared.tables().health.record_refusal(&runner.id, now);
        }
        self.attempts.record_failure(failed.failure);
        self.tried.push(runner.id.clone());
        self.last_failure = Some(failed.failure);
        let fields: &[(&str, &dyn Display)] = &[
            ("request", &self.request.profile.id),
            ("runner", &runner.id),
            ("failure", &format!("{:?}", failed.failure)),
            ("connection", &failed.connection),
            ("runs", &self.attempts.runs),
            ("left_ms", &self.request.time_left().as_millis()),
            ("lasted_ms", &lasted.as_millis()),
            ("fingerprint", &self.request.fingerprint()),
            ("rejection_limit", &format_rate(failed.rejection_limit)),
        ];
        let failure = format!("{:?}", failed.failure);
        let connection = failed.connection.to_string();
        metrics::counter!(ATTEMPTS_FAILED.name, "failure" => failure, "connection" => connection)
            .increment(1);
        self.shared
            .log
            .write(self.shared.now(), "attempt-failed", fields);
    }

    /// The time at which this attempt is abandoned in favour of another one. A runner may be silent because it is full,
    /// so the attempt is abandoned before the request's deadline only if there is another runner.
    fn attempt_deadline(&self, runner: &Runner) -> Instant {
        let mut next = self.attempts;
        next.record_failure(Failure::Silent);
        let tried: Vec<RunnerId> = self.tried.iter().chain([&runner.id]).cloned().collect();
        let may_retry = next.may_retry(self.route.kind, self.route.max_attempts);
        if !may_retry || self.choose_except(&tried).is_err() {
            return self.request.deadline;
        }
        let timeout = if self.route.kind.is_stream() {
            self.route
                .stream_silence_timeout()
                .mul_f64(STREAM_TIMEOUT_SHARE)
        } else {
            let timeout = self.route.target.mul_f64(TARGET_TIMEOUT_FACTOR);
            timeout.max(MIN_ATTEMPT_TIMEOUT)
        };
        (Instant::now() + timeout).min(self.request.deadline)
    }

    async fn attempt(
        &mut self,
        runner: &Runner,
        admission: Admission,
    ) -> Result<Response<ResponseBody>, FailedAttempt> {
        let attempt_deadline = self.attempt_deadline(runner);
        let continuation = Continuation::default();
        let exchange = exchange(
            &self.shared,
            &self.request,
            runner,
            admission,
            continuation,
            attempt_deadline,
        )
        .await?;
        if exchange.head.status.is_success() && self.route.kind.is_stream() {
            return self.stream_response(exchange, attempt_deadline).await;
        }
        self.buffered_response(exchange, attempt_deadline).await
    }

    async fn stream_response(
        &mut self,
        exchange: Exchange,
        attempt_deadline: Instant,
    ) -> Result<Response<ResponseBody>, FailedAttempt> {
        let mut response = forwarded_head(&exchange);
        let runner = exchange.runner.clone();
        let connection = exchange.connection_kind;
        let mut relay = StreamRelay::new(
            self.shared.clone(),
            self.request.clone(),
            self.route.clone(),
            self.service.clone(),
            exchange,
        );
        if let Err(failure) = relay.wait_first_event(attempt_deadline).await {
            let observation = Some(Observation::Failure);
            return Err(FailedAttempt::new(failure, observation, connection));
        }
        self.shared.record_stream_origin(&self.request, &runner);
        relay.attempts = self.attempts;
        relay.tried = self.tried.clone();
        if let Some(guard) = self.guard.take() {
            relay.guard = guard;
        }
        self.log_served(&runner, response.status().as_u16());
        *response.body_mut() = relay.into_body();
        Ok(response)
    }

    async fn buffered_response(
        &mut self,
        exchange: Exchange,
        attempt_deadline: Instant,
    ) -> Result<Response<ResponseBody>, FailedAttempt> {
        let mut response = forwarded_head(&exchange);
        let Exchange {
            body,
            connection,
            connection_kind,
            runner,
            in_flight,
            ..
        } = exchange;
        let collected = collect(&self.shared, self.client.clone(), body, attempt_deadline).await;
        let sent_at = in_flight.sent_at();
        drop(in_flight);
        let failed =
            |failure| FailedAttempt::new(failure, Some(Observation::Failure), connection_kind);
        let body = collected.map_err(failed)?;
        if let Some(connection) = connection {
            self.shared.pool.put(connection);
        }
        *response.body_mut() = body.map_err(|never| match never {}).boxed_unsync();
        let is_error = response.status().is_server_error();
        if is_error {
            self.shared.record_error_answered(&self.request, sent_at);
        } else {
            self.shared.record_answered(&self.request, sent_at);
        }
        if is_error && self.may_replace_failure() {
            self.error_response = Some(response);
            return Err(failed(Failure::Failed));
        }
        let observation = if is_error {
            Observation::Failure
        } else {
            Observation::Success
        };
        self.shared.observe(&runner.id, observation);
        self.log_served(&runner, response.status().as_u16());
        Ok(response)
    }

    /// Returns whether another runner may be tried after an error response of this one.
    fn may_replace_failure(&self) -> bool {
        let mut next = self.attempts;
        next.record_failure(Failure::Failed);
        next.may_retry(self.route.kind, self.route.max_attempts)
    }

    fn log_served(&self, runner: &Runner, status: u16) {
        let elapsed = self.arrived_at.elapsed();
        let class = format!("{}xx", status / 100);
        metrics::counter!(SERVED.name, "status" => class).increment(1);
        metrics::histogram!(HEAD_SECONDS.name).record(elapsed.as_secs_f64());
        let profile = &self.request.profile;
        let fields: &[(&str, &dyn Display)] = &[
            ("request", &profile.id),
            ("route", &self.route.name),
            ("runner", &runner.id),
            ("version", &runner.version_label()),
            ("status", &status),
            ("sent", &(self.attempts.sent + 1)),
            ("after_ms", &elapsed.as_millis()),
            ("after_event", &profile.last_event.as_deref().unwrap_or("")),
            ("resumes", &profile.resumes.as_deref().unwrap_or("")),
        ];
        self.shared
            .log
            .write(self.shared.now(), "request-served", fields);
    }

    /// Final response if the request is quarantined because runners have crashed while running it. Otherwise it would
    /// be sent to runner after runner, and each crash aborts all other requests on that runner.
    fn quarantined(
        &mut self,
        fingerprint: RequestFingerprint,
        remaining: Duration,
    ) -> Result<Response<ResponseBody>, Refused> {
        let reason = format!(
            "runners have crashed while running the request or a part of it, {fingerprint}"
        );
        if !self.attempts.definitely_not_run() {
            return self.give_up(&reason);
        }
        let refusal = Refusal::new(ResultCode::RequestQuarantined).with_retry_after(remaining);
        Err(self.refused(refusal, &reason))
    }

    /// Final response if no runner in the request's home regions accepts work.
    fn no_home_runner(&mut self) -> Result<Response<ResponseBody>, Refused> {
        let reason = format!(
            "no runner of {} accepts work in the home regions {}",
            self.service, self.request.homes
        );
        if !self.attempts.definitely_not_run() {
            return self.give_up(&reason);
        }
        let refusal = Refusal::new(ResultCode::NoHomeRunner).with_retry_after(RETRY_NO_HOME_RUNNER);
        Err(self.refused(refusal, &reason))
    }

    /// Final response if no runner has the software version that began the stream.
    fn no_runner_of_version(&mut self) -> Result<Response<ResponseBody>, Refused> {
        const REASON: &str = "no runner has the software version that began the stream";
        if !self.attempts.definitely_not_run() {
            return self.give_up(REASON);
        }
        let refusal = Refusal::new(ResultCode::NoRunnerOfVersion)
            .with_retry_after(RETRY_NO_RUNNER_OF_VERSION);
        Err(self.refused(refusal, REASON))
    }

    /// Final response when no further attempt is made.
    fn give_up(&mut self, reason: &str) -> Result<Response<ResponseBody>, Refused> {
        if let Some(response) = self.error_response.take() {
            return Ok(response);
        }
        let is_late = self.request.time_left() < MIN_TIME_LEFT;
        let refusal = if self.attempts.definitely_not_run() {
            let code = match self.last_failure {
                _ if is_late => ResultCode::DeadlineTooShort,
                None => ResultCode::NoServiceMachine,
                Some(Failure::NotSent) => ResultCode::BackendUnreachable,
                Some(_) => ResultCode::BackendRefused,
            };
            Refusal::new(code).with_retry_after(RETRY_AFTER)
        } else if is_late {
            Refusal::new(ResultCode::DeadlineWhileRunning)
        } else {
            Refusal::new(ResultCode::OutcomeUnknown)
        };
        let reason = match self.last_failure {
            Some(failure) => format!("{reason}, last attempt: {failure:?}"),
            None => reason.to_owned(),
        };
        Err(self.refused(refusal, &reason))
    }

    fn refused(&self, refusal: Refusal, reason: &str) -> Refused {
        Refused::new(Details {
            request: self.request.profile.id.clone(),
            route: self.route.name.to_string(),
            refusal,
            attempts: self.attempts,
            reason: reason.to_owned(),
        })
    }
}

/// Collects the body of a response that is not a stream.
async fn collect(
    shared: &Shared,
    client: Arc<ClientActivity>,
    body: Incoming,
    until: Instant,
) -> Result<BufferedResponse, Failure> {
    let pool = &shared.response_bodies;
    let collecting = BufferedResponse::collect(body, pool, client, MAX_BUFFERED_BYTES);
    match timeout_at(until, collecting).await {
        Ok(collected) => collected.map_err(|_| Failure::Broken),
        Err(_) => Err(Failure::Silent),
    }
}

/// Copies a runner's response head without its hop-by-hop headers and content length.
fn forwarded_head(exchange: &Exchange) -> Response<ResponseBody> {
    let mut response = Response::new(responses::full_body(Bytes::new()));
    *response.status_mut() = exchange.head.status;
    let mut headers = exchange.head.headers.clone();
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}
