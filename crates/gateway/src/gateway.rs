//! The gateway: shared state, routes and lifecycle of the API for callers.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use flaxward_backends::ObjectApi;
use flaxward_client_limits::{BodyPool, ClientActivity, ConnectionTable, Reservation};
use flaxward_clock::{Clock, SystemTime};
use flaxward_control::admission::{Admission, AdmissionEvent, ArtifactView};
use flaxward_control::attempt::RetryBudget;
use flaxward_control::claims::{claim_name, request_digest};
use flaxward_control::configuration::Configuration;
use flaxward_types::engine::Machine;
use flaxward_types::routing::{HeldAnswers, RouteAnswer};
use flaxward_types::{DaemonName, Refusal, ResultCode, Revision, RunnerName, ZoneName};
use futures::FutureExt;
use reqwest::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use salvo::conn::Acceptor;
use salvo::http::StatusCode;
use salvo::prelude::{Router, Server};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::answer::Answer;
use crate::call::Call;
use crate::claims::{ClaimReply, ClaimTicket, Claims};
use crate::completions::{CompletionKind, Completions};
use crate::connections::CallerConnections;
use crate::crashes::CrashTracker;
use crate::endpoint::{Endpoint, EndpointHandler};
use crate::head::RequestHead;
use crate::models::Models;
use crate::registry::{Registry, RequestView};
use crate::scheduler::{DemandSender, Scheduler};
use crate::service_pool::ServicePool;
use crate::services::Services;
use crate::settings::GatewaySettings;
use crate::unknown_path::UnknownPath;

/// Time that a request waits for a newly started daemon to receive its first configuration.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(2);

/// Interval between checks of deadlines and demands.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The API for callers of one daemon.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) http: reqwest::Client,
    pub(crate) clock: Clock,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) service_pool: Arc<ServicePool>,
    configuration: watch::Receiver<Arc<Configuration>>,
    /// The connections of callers.
    pub(crate) connections: CallerConnections,
    /// Memory for the bodies of requests and of buffered answers.
    pub(crate) bodies: BodyPool,
    /// Requests whose bodies are being read.
    pub(crate) unread_bodies: ConnectionTable,
    /// Places of requests with complete bodies.
    places: Arc<Semaphore>,
    retry_budget: Mutex<RetryBudget>,
    claims: Arc<Claims>,
    pub(crate) crashes: Arc<CrashTracker>,
    pub(crate) registry: Arc<Registry>,
    /// Requests in progress, and claims whose outcome is being recorded. A planned stop waits for
    /// them.
    requests: TaskTracker,
    is_stopping: AtomicBool,
}

/// A request that was admitted.
pub(crate) struct Admitted {
    /// Delays a planned stop until it is dropped.
    pub in_progress: TaskTrackerToken,
    /// Its place, once its body is complete.
    pub place: Option<OwnedSemaphorePermit>,
    /// Memory for its rewritten body and its buffered answer.
    pub reservation: Reservation,
}

impl Admitted {
    /// Reserves memory for a rewritten body.
    pub(crate) fn reserve_body(&mut self, body: &Bytes) -> Result<(), Refusal> {
        self.reservation
            .raise_at_once(body.len())
            .map_err(|_| Refusal::new(ResultCode::Overloaded))
    }
}

/// The outcome of claiming an idempotency key.
pub(crate) enum ClaimOutcome {
    /// The request may be sent; the ticket is present if it needed a claim.
    Proceed(Option<ClaimTicket>),
    /// The answer recorded under the key.
    Recorded(Box<Answer>),
}

impl Gateway {
    /// Creates a gateway. Demands for coordinators are sent on `demands`; their answers are passed
    /// to [`Gateway::on_routes`]. `http` should be built by [`crate::back_end_client`].
    pub fn new(
        settings: GatewaySettings,
        configuration: watch::Receiver<Arc<Configuration>>,
        http: reqwest::Client,
        demands: DemandSender,
        store: Arc<dyn ObjectApi>,
        daemon: DaemonName,
    ) -> Arc<Self> {
        let clock = Clock::start(Arc::new(SystemTime));
        let requests = TaskTracker::new();
        let zones = settings.zones.clone();
        let zone = zones.first().cloned();
        let admission = Admission::new(settings.admission.clone(), zones, rand::random());
        let claims = Claims::new(store, daemon, settings.claims.clone(), requests.clone());
        let retry_budget = RetryBudget::new(settings.retries, clock.now());
        Arc::new(Self {
            http,
            clock: clock.clone(),
            crashes: Arc::new(CrashTracker::new(settings.quarantine, clock.clone())),
            scheduler: Arc::new(Scheduler::new(admission, demands, clock.clone())),
            service_pool: Arc::new(ServicePool::new(zone, clock, rand::random())),
            configuration,
            connections: CallerConnections::new(
                settings.max_connections,
                settings.connection_timeouts(),
            ),
            bodies: BodyPool::new(settings.held_bytes),
            unread_bodies: ConnectionTable::new(settings.max_in_progress),
            places: Arc::new(Semaphore::new(
                settings.max_in_progress.min(Semaphore::MAX_PERMITS),
            )),
            retry_budget: Mutex::new(retry_budget),
            claims: Arc::new(claims),
            requests,
            registry: Arc::default(),
            is_stopping: AtomicBool::new(false),
            settings,
        })
    }

    /// The server for callers on a listening socket. Its connections are limited, as is what each
    /// of them buffers.
    pub fn server<A: Acceptor + Send>(&self, acceptor: A) -> Server<A> {
        let mut server = Server::new(acceptor).fuse_policy(self.connections.clone());
        let buffer_bytes = self.settings.buffer_bytes();
        server.http1_mut().max_buf_size(buffer_bytes);
        server
    }

    /// The routes of the API for callers. The last route matches every path, so mount this router
    /// after all others.
    pub fn router(self: &Arc<Self>) -> Router {
        let text = self.handler(Completions {
            kind: CompletionKind::Text,
        });
        let chat = self.handler(Completions {
            kind: CompletionKind::Chat,
        });
        Router::new()
            .push(Router::with_path("v1/completions").post(text))
            .push(Router::with_path("v1/chat/completions").post(chat))
            .push(Router::with_path("v1/models").get(self.handler(Models)))
            .push(Router::with_path("services/{name}/{**path}").goal(self.handler(Services)))
            .push(Router::with_path("{**path}").goal(self.handler(UnknownPath)))
    }

    fn handler<E: Endpoint>(self: &Arc<Self>, endpoint: E) -> EndpointHandler<E> {
        EndpointHandler {
            gateway: Arc::clone(self),
            endpoint,
        }
    }

    /// Applies routing answers of coordinators.
    pub fn on_routes(&self, answers: Vec<RouteAnswer>) {
        for answer in answers {
            self.scheduler.handle(AdmissionEvent::Routes(answer));
        }
    }

    /// Applies confirmations of coordinators that routing answers sent earlier are still valid.
    pub fn on_routes_confirmed(&self, held: HeldAnswers) {
        self.scheduler.handle(AdmissionEvent::RoutesHeld(held));
    }

    /// Replaces the set of zones whose coordinator is known.
    pub fn on_known_coordinators(&self, zones: BTreeSet<ZoneName>) {
        self.scheduler.handle(AdmissionEvent::Heads(zones));
    }

    /// Replaces the set of runners that accept no new work.
    pub fn on_leaving(&self, leaving: BTreeSet<RunnerName>) {
        self.service_pool.set_leaving(leaving.clone());
        self.crashes.set_leaving(leaving.clone());
        self.scheduler.handle(AdmissionEvent::Leaving(leaving));
    }

    /// Applies the machine list, which gives the machines of plain services.
    pub fn on_machines(&self, machines: &[Machine]) {
        self.service_pool.set_machines(machines);
    }

    /// The state of each artifact in use: waiting and running requests, replicas, and when the next
    /// replica is expected.
    pub fn artifacts(&self) -> Vec<ArtifactView> {
        self.scheduler.views()
    }

    /// Number of requests that wait for a model.
    pub fn waiting(&self) -> usize {
        self.artifacts().iter().map(|view| view.waiting).sum()
    }

    /// Number of requests that run on a model.
    pub fn running(&self) -> usize {
        self.artifacts().iter().map(|view| view.running).sum()
    }

    /// The requests in progress, oldest first.
    pub fn requests(&self) -> Vec<RequestView> {
        self.registry.views(self.clock.now())
    }

    /// Checks deadlines and demands periodically, until the future is dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.scheduler.tick();
        }
    }

    /// Performs a planned stop: new requests are refused, and the future completes when all others
    /// have ended and the outcomes of claimed ones are recorded.
    pub async fn stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        spdlog::info!(
            "gateway: stopping, {} requests in progress",
            self.requests.len()
        );
        self.requests.close();
        self.requests.wait().await;
        spdlog::info!("gateway: stopped");
    }

    /// Admits a request. It counts as in progress until the result is dropped.
    pub(crate) fn admit(&self) -> Result<Admitted, Refusal> {
        if self.places.available_permits() == 0 {
            return Err(Refusal::new(ResultCode::Overloaded));
        }
        let token = self.requests.token();
        // Checked after taking the token, so that a stop waits for every request it did not refuse.
        if self.is_stopping.load(Ordering::SeqCst) {
            return Err(Refusal::new(ResultCode::Stopping));
        }
        let client = ClientActivity::new(Instant::now());
        // The daemon never gives up on a caller that waits for its answer.
        client.await_daemon();
        Ok(Admitted {
            in_progress: token,
            place: None,
            reservation: self.bodies.open(Arc::new(client)),
        })
    }

    /// Gives a place to a request whose body is complete. A caller that does not send its body takes none.
    pub(crate) fn take_place(&self, admitted: &mut Admitted) -> Result<(), Refusal> {
        let place = Arc::clone(&self.places).try_acquire_owned();
        admitted.place = Some(place.map_err(|_| Refusal::new(ResultCode::Overloaded))?);
        Ok(())
    }

    /// The configuration in force. A newly started daemon has none; a request waits for it up to
    /// [`CONFIGURATION_WAIT`], since a peer or the store is expected to supply it.
    pub(crate) async fn configuration(&self) -> Result<Arc<Configuration>, Refusal> {
        let is_known = |known: &Arc<Configuration>| known.revision() != Revision(0);
        let known = Arc::clone(&self.configuration.borrow());
        if is_known(&known) {
            return Ok(known);
        }
        let mut reader = self.configuration.clone();
        let known = tokio::time::timeout(CONFIGURATION_WAIT, reader.wait_for(is_known)).await;
        match known {
            Ok(Ok(known)) => Ok(Arc::clone(&known)),
            _ => Err(Refusal::new(ResultCode::NoConfiguration)),
        }
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the retry delay of a refusal for which a later retry may succeed.
    pub(crate) fn with_retry_after(&self, refusal: Refusal) -> Refusal {
        let may_pass = matches!(refusal.code.http_status(), 503 | 504);
        if may_pass && refusal.retry_after.is_none() {
            return refusal.with_retry_after(self.settings.retry_after);
        }
        refusal
    }

    /// Claims the idempotency key of a request, if it needs a claim. `target` names the model or
    /// service that the request is for.
    pub(crate) async fn claim(
        &self,
        call: &Call,
        head: &RequestHead,
        target: &str,
    ) -> Result<ClaimOutcome, Refusal> {
        match &head.key {
            // Boxed so that the many requests without a claim do not carry the state of this
            // future.
            Some(key) if call.policy.needs_claim() => {
                self.take_claim(call, key, target).boxed().await
            }
            _ => Ok(ClaimOutcome::Proceed(None)),
        }
    }

    async fn take_claim(
        &self,
        call: &Call,
        key: &str,
        target: &str,
    ) -> Result<ClaimOutcome, Refusal> {
        let name = claim_name(target, key);
        let digest = request_digest(call.method.as_str(), &call.path_and_query, &call.body);
        let now = self.clock.now();
        let send_window = call.policy.deadline.since(now);
        let caller_timeout = call.deadline.since(now);
        let attempt = call.first_attempt;
        let taking = self
            .claims
            .take(name, digest, attempt, send_window, caller_timeout);
        match taking.await {
            ClaimReply::Proceed(ticket) => Ok(ClaimOutcome::Proceed(Some(ticket))),
            ClaimReply::Replay {
                status,
                content_type,
                body,
            } => {
                let answer = recorded_answer(status, &content_type, body);
                Ok(ClaimOutcome::Recorded(Box::new(answer)))
            }
            ClaimReply::Refuse(refusal) => Err(refusal),
        }
    }
}

fn recorded_answer(status: u16, content_type: &str, body: String) -> Answer {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    Answer {
        status: StatusCode::from_u16(status).unwrap_or(StatusCode::OK),
        headers,
        body: vec![body.into()],
        rest: None,
    }
}
