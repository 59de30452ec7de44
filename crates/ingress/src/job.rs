//! A request that is sent to runners, one after another, until there is an answer.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flaxward_routing::attempt::{Attempts, Failure};
use flaxward_routing::balance::{NoRunner, PermitWait, SelectionCriteria};
use flaxward_routing::configuration::Route;
use flaxward_routing::health::Observation;
use flaxward_routing::names::{RunnerId, ServiceName};
use flaxward_routing::runners::Runner;
use flaxward_types::ResultCode;
use flaxward_types::refusal::Refusal;
use flaxward_types::time::Timestamp;
use http::Response;
use http::header::CONTENT_LENGTH;
use tokio::time::{Instant, sleep};

use crate::answers::{self, AnswerBody};
use crate::counters::{ATTEMPTS_FAILED, HEAD_SECONDS, SERVED};
use crate::crashes::{check_for_crash, wait_until_quarantined};
use crate::exchange::{
    ClientRequest, Continuation, Exchange, FailedAttempt, exchange, remove_connection_headers,
};
use crate::permits::{Admission, admit};
use crate::refused::{Details, RETRY_AFTER, Refused};
use crate::relay::{self, StreamRelay};
use crate::state::Shared;
use crate::waiting::{wait_for_capacity, wait_for_unit};

/// Longest answer without a stream that is held until it is whole.
const HELD_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Shortest time that one attempt of several gets.
const LEAST_PATIENCE: Duration = Duration::from_millis(450);
/// Part of the callers' patience that one attempt of several at a stream gets.
const PATIENCE_SHARE: f64 = 0.5;
/// The same for other requests, in targets.
const PATIENCE_TARGETS: f64 = 1.6;
/// Pause before runners that were full are asked again.
const FULL_PAUSE: Duration = Duration::from_millis(80);
/// How much longer the next such pause is: a runner that is full twice has a long queue, and each time it is asked
/// costs a repeat of the budget.
const FULL_PAUSE_GROWTH: u32 = 4;
/// Pause before a runner is asked for again after a permit that ended unused: connecting takes too long just now.
const PERMIT_ENDED_PAUSE: Duration = Duration::from_millis(100);
/// Shortest time left with which a request is sent to a runner.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// When to come back if no runner in the homes of a request takes work: one that is replaced is back after some seconds.
const RETRY_NO_HOME_RUNNER: Duration = Duration::from_secs(3);

/// A request that is being sent to runners.
pub(crate) struct Job {
    shared: Arc<Shared>,
    request: Arc<ClientRequest>,
    route: Arc<Route>,
    service: ServiceName,
    attempts: Attempts,
    tried: Vec<RunnerId>,
    /// Runners that need a permit and have no room for the request yet.
    permit_waits: Vec<PermitWait>,
    last_failure: Option<Failure>,
    /// A runner's own failure, passed on if no other runner does better.
    held_answer: Option<Response<AnswerBody>>,
    begun: Instant,
    /// An attempt is under way.
    is_sending: bool,
    guard: Option<Box<dyn Send>>,
}

impl Job {
    /// A request that was sent nowhere yet.
    pub(crate) fn new(
        shared: Arc<Shared>,
        request: ClientRequest,
        route: Arc<Route>,
        service: ServiceName,
        begun: Instant,
    ) -> Self {
        Self {
            shared,
            request: Arc::new(request),
            route,
            service,
            attempts: Attempts::default(),
            tried: Vec::new(),
            permit_waits: Vec::new(),
            last_failure: None,
            held_answer: None,
            begun,
            is_sending: false,
            guard: None,
        }
    }

    /// Sends the request until there is an answer, or until the daemon ends.
    ///
    /// `guard` is kept until the answer has ended.
    pub(crate) async fn run(
        mut self,
        guard: Box<dyn Send>,
    ) -> Result<Response<AnswerBody>, Refused> {
        self.guard = Some(guard);
        if self.shared.quarantine_remaining(&self.request).is_none() {
            self.count();
        }
        let ending = self.shared.ending.clone();
        let answered = tokio::select! {
            biased;
            answered = self.send() => Some(answered),
            () = ending.cancelled() => None,
        };
        if let Some(answered) = answered {
            return answered;
        }
        if self.is_sending {
            self.attempts.record_failure(Failure::Silent);
        }
        self.give_up("the daemon ends")
    }

    async fn send(&mut self) -> Result<Response<AnswerBody>, Refused> {
        let mut full_rounds = 0;
        loop {
            if self.request.time_left() < LEAST_TIME {
                return self.give_up("time is up");
            }
            if let Some(remaining) = self.shared.quarantine_remaining(&self.request) {
                return self.quarantined(remaining);
            }
            let runner = match self.choose() {
                Ok(runner) => runner,
                Err(NoRunner::NotLoaded) => match self.wait().await {
                    Ok(()) => continue,
                    Err(refusal) => return self.not_ready(refusal),
                },
                Err(NoRunner::NoRoom { until }) => match self.wait_for_room(until).await {
                    Ok(()) => continue,
                    // Those that were full may have room sooner.
                    Err(_) if !self.tried.is_empty() && self.may_ask_again(full_rounds) => {
                        self.pause_before_round(full_rounds).await;
                        full_rounds += 1;
                        continue;
                    }
                    Err(refusal) => return self.no_room(refusal),
                },
                Err(NoRunner::AllTried) if self.may_ask_again(full_rounds) => {
                    self.pause_before_round(full_rounds).await;
                    full_rounds += 1;
                    continue;
                }
                Err(NoRunner::AllTried) => return self.give_up("no further runner"),
                Err(NoRunner::NoneAtHome) => return self.none_at_home(),
                Err(NoRunner::NoneOfService) => return self.give_up("no runner of the service"),
            };
            let admission = match admit(&self.shared, &self.request, &runner).await {
                Ok(admission) => admission,
                Err(until) => {
                    self.hold_back(&runner, until);
                    continue;
                }
            };
            let is_repeat = self.attempts.sent > 0;
            if is_repeat && !self.shared.try_retry(&self.service) {
                return self.give_up("the retry budget is spent");
            }
            self.is_sending = true;
            let sent_at = Instant::now();
            let attempted = self.attempt(&runner, &admission).await;
            self.is_sending = false;
            match attempted {
                Ok(response) => return Ok(response),
                Err(failed) if failed.failure == Failure::NotPermitted => {
                    self.permit_ended(&runner);
                    continue;
                }
                Err(failed) => self.count_failure(&runner, failed, sent_at.elapsed()),
            }
            if self.last_failure == Some(Failure::Broken) {
                check_for_crash(&self.shared, &self.request, &runner).await;
            }
            let max_attempts = self.route.max_attempts;
            if !self.attempts.may_retry(self.route.kind, max_attempts) {
                return self.give_up("the request may not be sent again");
            }
        }
    }

    fn count(&self) {
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
        let wanted = SelectionCriteria {
            service: &self.service,
            unit: self.request.unit.as_ref(),
            affinity: has_parts.then(|| self.request.profile.affinity()),
            homes: &self.request.homes,
            tried,
            permit_waits: &self.permit_waits,
        };
        self.shared.choose(&wanted)
    }

    async fn wait(&mut self) -> Result<(), Refusal> {
        let Some(requirement) = self.request.requirement() else {
            return Ok(());
        };
        let (shared, request) = (&self.shared, &self.request);
        let waiting = wait_for_unit(shared, request, &self.route, &requirement, self.begun);
        tokio::select! {
            waited = waiting => waited,
            // The next look tells the caller.
            () = wait_until_quarantined(&self.shared, &self.request) => Ok(()),
        }
    }

    /// Looks for other runners until a time at which one that needs a permit may have room.
    fn hold_back(&mut self, runner: &Runner, until: Timestamp) {
        let now = self.shared.now();
        self.permit_waits.retain(|it| it.until > now);
        self.permit_waits.push(PermitWait {
            runner: runner.id.clone(),
            until,
        });
    }

    /// The permit ended before the request could be sent, or the runner has said meanwhile that it takes no such request.
    fn permit_ended(&mut self, runner: &Runner) {
        let fields: &[(&str, &dyn Display)] = &[
            ("request", &self.request.profile.id),
            ("runner", &runner.id),
        ];
        let now = self.shared.now();
        self.shared.log.write(now, "permit-ended", fields);
        self.hold_back(runner, now + PERMIT_ENDED_PAUSE);
    }

    async fn wait_for_room(&mut self, until: Timestamp) -> Result<(), Refusal> {
        let waiting =
            wait_for_capacity(&self.shared, &self.request, &self.route, until, self.begun);
        tokio::select! {
            waited = waiting => waited,
            // The next look tells the caller.
            () = wait_until_quarantined(&self.shared, &self.request) => Ok(()),
        }
    }

    /// The final answer when no runner that holds the unit has room in time.
    fn no_room(&mut self, refusal: Refusal) -> Result<Response<AnswerBody>, Refused> {
        const REASON: &str = "the runners rest, are cold or name a rate, and have no room in time";
        if !self.attempts.definitely_not_run() {
            return self.give_up(REASON);
        }
        Err(self.refused(refusal, REASON))
    }

    /// The final answer when the unit is not ready in time. Only a request that surely has not run is told so.
    fn not_ready(&mut self, refusal: Refusal) -> Result<Response<AnswerBody>, Refused> {
        let reason = match self.request.requirement() {
            Some(requirement) => format!("{requirement} is not ready in time"),
            None => "not ready in time".to_owned(),
        };
        if !self.attempts.definitely_not_run() {
            return self.give_up(&reason);
        }
        Err(self.refused(refusal, &reason))
    }

    /// Pauses before runners that were full are asked again.
    async fn pause_before_round(&mut self, full_rounds: u32) {
        let pause = FULL_PAUSE * FULL_PAUSE_GROWTH.pow(full_rounds);
        self.tried.clear();
        sleep(pause.min(self.request.time_left())).await;
    }

    fn may_ask_again(&self, full_rounds: u32) -> bool {
        let may_serve = match self.last_failure {
            Some(Failure::NotRun | Failure::Misdirected | Failure::Broken) => true,
            Some(Failure::NotSent | Failure::NotPermitted | Failure::Failed | Failure::Silent)
            | None => false,
        };
        may_serve && full_rounds < 2
    }

    fn count_failure(&mut self, runner: &Runner, failed: FailedAttempt, lasted: Duration) {
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
            ("runs", &self.attempts.runs),
            ("left_ms", &self.request.time_left().as_millis()),
            ("lasted_ms", &lasted.as_millis()),
            ("fingerprint", &self.request.fingerprint()),
        ];
        let failure = format!("{:?}", failed.failure);
        metrics::counter!(ATTEMPTS_FAILED.name, "failure" => failure).increment(1);
        self.shared
            .log
            .write(self.shared.now(), "attempt-failed", fields);
    }

    /// When this attempt is given up so that another one is possible. A runner may be silent because
    /// it is full, so that giving up only helps if there is another one.
    fn patience(&self, runner: &Runner) -> Instant {
        let mut next = self.attempts;
        next.record_failure(Failure::Silent);
        let tried: Vec<RunnerId> = self.tried.iter().chain([&runner.id]).cloned().collect();
        let may_repeat = next.may_retry(self.route.kind, self.route.max_attempts);
        if !may_repeat || self.choose_except(&tried).is_err() {
            return self.request.deadline;
        }
        let patience = if self.route.kind.is_stream() {
            self.route.stream_silence_timeout().mul_f64(PATIENCE_SHARE)
        } else {
            let patience = self.route.target.mul_f64(PATIENCE_TARGETS);
            patience.max(LEAST_PATIENCE)
        };
        (Instant::now() + patience).min(self.request.deadline)
    }

    async fn attempt(
        &mut self,
        runner: &Runner,
        admission: &Admission,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        let patience = self.patience(runner);
        let continuation = Continuation::default();
        let exchange = exchange(
            &self.shared,
            &self.request,
            runner,
            admission,
            continuation,
            patience,
        )
        .await?;
        if exchange.head.status.is_success() && self.route.kind.is_stream() {
            return self.stream(exchange, patience).await;
        }
        self.whole_answer(exchange, patience).await
    }

    async fn stream(
        &mut self,
        exchange: Exchange,
        patience: Instant,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        let mut response = passed_head(&exchange);
        let runner = exchange.runner.id.clone();
        let mut relay = StreamRelay::new(
            self.shared.clone(),
            self.request.clone(),
            self.route.clone(),
            self.service.clone(),
            exchange,
        );
        if let Err(failure) = relay.first_event(patience).await {
            return Err(FailedAttempt {
                failure,
                observation: Some(Observation::Failure),
            });
        }
        relay.attempts = self.attempts;
        relay.tried = self.tried.clone();
        if let Some(guard) = self.guard.take() {
            relay.guard = guard;
        }
        self.log_served(&runner, response.status().as_u16());
        *response.body_mut() = relay.into_body();
        Ok(response)
    }

    async fn whole_answer(
        &mut self,
        exchange: Exchange,
        patience: Instant,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        let mut response = passed_head(&exchange);
        let Exchange {
            body,
            connection,
            runner,
            in_flight,
            ..
        } = exchange;
        let collected = relay::collect(body, HELD_ANSWER_BYTES, patience).await;
        drop(in_flight);
        let bytes = collected.map_err(|failure| FailedAttempt {
            failure,
            observation: Some(Observation::Failure),
        })?;
        if let Some(connection) = connection {
            self.shared.pool.put(connection);
        }
        self.shared.record_completed(&self.request);
        *response.body_mut() = answers::whole(bytes);
        let failed = response.status().is_server_error();
        if failed && self.may_replace_failure() {
            self.held_answer = Some(response);
            return Err(FailedAttempt {
                failure: Failure::Failed,
                observation: Some(Observation::Failure),
            });
        }
        let observation = if failed {
            Observation::Failure
        } else {
            Observation::Success
        };
        self.shared.observe(&runner.id, observation);
        self.log_served(&runner.id, response.status().as_u16());
        Ok(response)
    }

    /// Whether another runner may be asked after a failure that the runner itself has told.
    fn may_replace_failure(&self) -> bool {
        let mut next = self.attempts;
        next.record_failure(Failure::Failed);
        next.may_retry(self.route.kind, self.route.max_attempts)
    }

    fn log_served(&self, runner: &RunnerId, status: u16) {
        let elapsed = self.begun.elapsed();
        let class = format!("{}xx", status / 100);
        metrics::counter!(SERVED.name, "status" => class).increment(1);
        metrics::histogram!(HEAD_SECONDS.name).record(elapsed.as_secs_f64());
        let fields: &[(&str, &dyn Display)] = &[
            ("request", &self.request.profile.id),
            ("route", &self.route.name),
            ("runner", runner),
            ("status", &status),
            ("sent", &(self.attempts.sent + 1)),
            ("after_ms", &elapsed.as_millis()),
        ];
        self.shared
            .log
            .write(self.shared.now(), "request-served", fields);
    }

    /// The final answer when runners have crashed under the request. Without it the request would be sent on to runner
    /// after runner, and each crash breaks off all that the runner serves.
    fn quarantined(&mut self, remaining: Duration) -> Result<Response<AnswerBody>, Refused> {
        const REASON: &str = "runners have crashed under the request";
        if !self.attempts.definitely_not_run() {
            return self.give_up(REASON);
        }
        let refusal = Refusal::new(ResultCode::RequestQuarantined).with_retry_after(remaining);
        Err(self.refused(refusal, REASON))
    }

    /// The final answer when no runner that takes work is within the homes of the request.
    fn none_at_home(&mut self) -> Result<Response<AnswerBody>, Refused> {
        let reason = format!(
            "no runner of {} takes work in the homes {}",
            self.service, self.request.homes
        );
        if !self.attempts.definitely_not_run() {
            return self.give_up(&reason);
        }
        let refusal = Refusal::new(ResultCode::NoHomeRunner).with_retry_after(RETRY_NO_HOME_RUNNER);
        Err(self.refused(refusal, &reason))
    }

    /// The final answer when no further attempt is made.
    fn give_up(&mut self, reason: &str) -> Result<Response<AnswerBody>, Refused> {
        if let Some(response) = self.held_answer.take() {
            return Ok(response);
        }
        let is_late = self.request.time_left() < LEAST_TIME;
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

/// The head of a runner's answer without what concerns its connection.
fn passed_head(exchange: &Exchange) -> Response<AnswerBody> {
    let mut response = Response::new(answers::whole(Bytes::new()));
    *response.status_mut() = exchange.head.status;
    let mut headers = exchange.head.headers.clone();
    remove_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}
