//! The gateway of a daemon.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxward_backends::ObjectApi;
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
use salvo::http::StatusCode;
use salvo::prelude::Router;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::answer::Answer;
use crate::bytes_budget::{BytesBudget, HeldBytes};
use crate::call::Call;
use crate::claims::{ClaimReply, ClaimTicket, Claims};
use crate::completions::{CompletionKind, Completions};
use crate::crashes::Crashes;
use crate::endpoint::{Endpoint, Served};
use crate::head::RequestHead;
use crate::models::Models;
use crate::registry::{Registry, RequestView};
use crate::scheduler::{DemandSender, Scheduler};
use crate::service_pool::ServicePool;
use crate::services::Services;
use crate::settings::GatewaySettings;
use crate::unknown_path::UnknownPath;

/// Time that a request waits for the first configuration of a daemon that has just started.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(2);

/// Time between two looks at deadlines and demands.
const TICK: Duration = Duration::from_millis(50);

/// The callers' interface of one daemon.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) http: reqwest::Client,
    pub(crate) clock: Clock,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) service_pool: Arc<ServicePool>,
    configuration: watch::Receiver<Arc<Configuration>>,
    pub(crate) bytes: BytesBudget,
    budget: Mutex<RetryBudget>,
    claims: Arc<Claims>,
    pub(crate) crashes: Arc<Crashes>,
    pub(crate) registry: Arc<Registry>,
    /// Requests in progress, and claims whose outcome is being recorded.
    requests: TaskTracker,
    is_stopping: AtomicBool,
}

/// A request that was taken in.
pub(crate) struct Admitted {
    /// Keeps a planned stop waiting.
    pub in_progress: TaskTrackerToken,
    /// Its bodies, as long as they are held.
    pub held_bytes: HeldBytes,
}

/// What a claim of a key has brought.
pub(crate) enum Reply {
    /// The request may be sent; with a ticket if it needed a claim.
    Proceed(Option<ClaimTicket>),
    /// The answer recorded under the key.
    Recorded(Box<Answer>),
}

impl Gateway {
    /// A gateway. Demands for coordinators go out on `demands`; answers come back by
    /// [`Gateway::on_routes`]. `http` should be made by [`crate::back_end_client`].
    pub fn new(
        settings: GatewaySettings,
        configuration: watch::Receiver<Arc<Configuration>>,
        http: reqwest::Client,
        demands: DemandSender,
        store: Arc<dyn ObjectApi>,
        me: DaemonName,
    ) -> Arc<Self> {
        let clock = Clock::start(Arc::new(SystemTime));
        let requests = TaskTracker::new();
        let zones = settings.zones.clone();
        let zone = zones.first().cloned();
        let admission = Admission::new(settings.admission.clone(), zones, rand::random());
        let claims = Claims::new(store, me, settings.claims.clone(), requests.clone());
        let budget = RetryBudget::new(settings.retries, clock.now());
        Arc::new(Self {
            http,
            clock: clock.clone(),
            crashes: Arc::new(Crashes::new(settings.quarantine, clock.clone())),
            scheduler: Arc::new(Scheduler::new(admission, demands, clock.clone())),
            service_pool: Arc::new(ServicePool::new(zone, clock, rand::random())),
            configuration,
            bytes: BytesBudget::new(settings.held_bytes),
            budget: Mutex::new(budget),
            claims: Arc::new(claims),
            requests,
            registry: Arc::default(),
            is_stopping: AtomicBool::new(false),
            settings,
        })
    }

    /// The paths of the callers' interface. Its last path takes whatever no other takes, so mount
    /// it after all others.
    pub fn router(self: &Arc<Self>) -> Router {
        let text = self.serve(Completions {
            kind: CompletionKind::Text,
        });
        let chat = self.serve(Completions {
            kind: CompletionKind::Chat,
        });
        Router::new()
            .push(Router::with_path("v1/completions").post(text))
            .push(Router::with_path("v1/chat/completions").post(chat))
            .push(Router::with_path("v1/models").get(self.serve(Models)))
            .push(Router::with_path("services/{name}/{**path}").goal(self.serve(Services)))
            .push(Router::with_path("{**path}").goal(self.serve(UnknownPath)))
    }

    fn serve<E: Endpoint>(self: &Arc<Self>, endpoint: E) -> Served<E> {
        Served {
            gateway: Arc::clone(self),
            endpoint,
        }
    }

    /// Takes answers of coordinators.
    pub fn on_routes(&self, answers: Vec<RouteAnswer>) {
        for answer in answers {
            self.scheduler.handle(AdmissionEvent::Routes(answer));
        }
    }

    /// Takes word of coordinators that answers which this gateway holds still hold.
    pub fn on_routes_held(&self, held: HeldAnswers) {
        self.scheduler.handle(AdmissionEvent::RoutesHeld(held));
    }

    /// Takes the zones whose coordinator is known.
    pub fn on_heads(&self, heads: BTreeSet<ZoneName>) {
        self.scheduler.handle(AdmissionEvent::Heads(heads));
    }

    /// Takes the runners that take no new work.
    pub fn on_leaving(&self, leaving: BTreeSet<RunnerName>) {
        self.service_pool.set_leaving(leaving.clone());
        self.crashes.set_leaving(leaving.clone());
        self.scheduler.handle(AdmissionEvent::Leaving(leaving));
    }

    /// Takes the machine list, for plain services.
    pub fn on_machines(&self, machines: &[Machine]) {
        self.service_pool.set_machines(machines);
    }

    /// How each artifact in use stands: requests waiting and running, replicas, expectations.
    pub fn artifacts(&self) -> Vec<ArtifactView> {
        self.scheduler.views()
    }

    /// Requests that wait for a model.
    pub fn waiting(&self) -> usize {
        self.artifacts().iter().map(|view| view.waiting).sum()
    }

    /// Requests that run on a model.
    pub fn running(&self) -> usize {
        self.artifacts().iter().map(|view| view.running).sum()
    }

    /// The requests in progress, oldest first.
    pub fn requests(&self) -> Vec<RequestView> {
        self.registry.views(self.clock.now())
    }

    /// Looks at deadlines and demands again and again. Ends when it is dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.scheduler.tick();
        }
    }

    /// Stops as planned: new requests are refused, and the future ends when all others have ended
    /// and the outcomes of claimed ones are recorded.
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

    /// Takes a request in. It is in progress until the result is dropped.
    pub(crate) fn enter(&self) -> Result<Admitted, Refusal> {
        if self.requests.len() >= self.settings.max_in_progress {
            return Err(Refusal::new(ResultCode::Overloaded));
        }
        let token = self.requests.token();
        // Looked at after taking the token, so that a stop waits for all it did not refuse.
        if self.is_stopping.load(Ordering::SeqCst) {
            return Err(Refusal::new(ResultCode::Stopping));
        }
        Ok(Admitted {
            in_progress: token,
            held_bytes: HeldBytes::default(),
        })
    }

    /// The configuration in force. A daemon that has just started has none; a request waits for it
    /// for a moment, since the first peer or the store is about to tell.
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

    /// The retry budget.
    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds when to come back to a refusal that another try may overcome.
    pub(crate) fn with_retry_after(&self, refusal: Refusal) -> Refusal {
        let may_pass = matches!(refusal.code.http_status(), 503 | 504);
        if may_pass && refusal.retry_after.is_none() {
            return refusal.with_retry_after(self.settings.retry_after);
        }
        refusal
    }

    /// Claims the key of a request, if it needs a claim. `target` is what the request goes to.
    pub(crate) async fn claim(
        &self,
        call: &Call,
        head: &RequestHead,
        target: &str,
    ) -> Result<Reply, Refusal> {
        match &head.key {
            // Boxed: few requests have a claim, and the others are not to carry its state.
            Some(key) if call.policy.needs_claim() => {
                self.take_claim(call, key, target).boxed().await
            }
            _ => Ok(Reply::Proceed(None)),
        }
    }

    async fn take_claim(&self, call: &Call, key: &str, target: &str) -> Result<Reply, Refusal> {
        let name = claim_name(target, key);
        let digest = request_digest(call.method.as_str(), &call.path_and_query, &call.body);
        let now = self.clock.now();
        let may_be_sent_for = call.policy.deadline.since(now);
        let caller_waits = call.deadline.since(now);
        let attempt = call.first_attempt;
        let taking = self
            .claims
            .take(name, digest, attempt, may_be_sent_for, caller_waits);
        match taking.await {
            ClaimReply::Proceed(ticket) => Ok(Reply::Proceed(Some(ticket))),
            ClaimReply::Replay {
                status,
                content_type,
                body,
            } => {
                let answer = recorded(status, &content_type, body);
                Ok(Reply::Recorded(Box::new(answer)))
            }
            ClaimReply::Refuse(refusal) => Err(refusal),
        }
    }
}

fn recorded(status: u16, content_type: &str, body: String) -> Answer {
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
