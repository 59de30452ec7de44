//! Stand-in for a machine of a plain service: any path runs, and every execution is counted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use flaxward_types::{RunnerName, ServiceName, ZoneName};
use salvo::Router;
use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::fault::{Dice, Strikes, lock, pause_ms, unix_ms};
use crate::http::{Call, Listening, Refusing, Reply, endpoint};

/// How a service stand-in is made.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Its machine.
    pub name: RunnerName,
    /// Its zone.
    pub zone: ZoneName,
    /// The service.
    pub service: ServiceName,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Time each request takes, in milliseconds.
    pub time_ms: u64,
    /// Seed of its randomness.
    pub seed: u64,
}

/// Faults of a service stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Everything is answered with 503 and does not run.
    pub down: bool,
    /// New connections are closed at once, and requests on open ones are not run.
    pub refuse_connections: bool,
    /// Every request takes so many milliseconds more before it runs.
    pub slow_ms: u64,
    /// Requests refused before they run, which the answer says.
    pub refuse: Strikes,
    /// Requests that run and whose connection is then closed without an answer.
    pub lose_answers: Strikes,
    /// It is leaving; requests still run and are recorded as received after leaving.
    pub leaving: bool,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// It ran and was answered.
    Answered,
    /// It ran and the answer was lost on purpose.
    AnswerLost,
    /// It was refused and did not run.
    Refused,
}

/// One request received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Method and path.
    pub target: String,
    /// Digest of method, path and body.
    pub digest: String,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Header `x-request-id`.
    pub request_id: Option<String>,
    /// Wall-clock milliseconds of its arrival.
    pub received_unix_ms: u64,
    /// Wall-clock milliseconds of its end.
    pub at_unix_ms: u64,
    /// Milliseconds since the machine began to leave, if it is leaving.
    pub after_leaving_ms: Option<u64>,
    /// What became of it.
    pub outcome: ExecutionOutcome,
}

/// What really happened at a machine of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Requests received, also those that are not at their end.
    pub received: u64,
    /// Every request at its end, in the order of the ends.
    pub executions: Vec<Execution>,
}

impl ServiceRecord {
    /// How often a request with this value of `idempotency-key` or `x-request-id` ran.
    pub fn times_run(&self, key: &str) -> usize {
        let named = |execution: &&Execution| {
            execution.idempotency_key.as_deref() == Some(key)
                || execution.request_id.as_deref() == Some(key)
        };
        let ran = |execution: &&Execution| execution.outcome != ExecutionOutcome::Refused;
        self.executions.iter().filter(named).filter(ran).count()
    }
}

struct Shared {
    config: ServiceConfig,
    dice: Dice,
    refusing: Refusing,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    leaving_since_ms: Option<u64>,
    record: ServiceRecord,
}

impl Shared {
    fn update_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        let mut state = lock(&self.state);
        change(&mut state.faults);
        self.refusing.set(state.faults.refuse_connections);
        state.leaving_since_ms = match (state.faults.leaving, state.leaving_since_ms) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            (true, None) => Some(unix_ms()),
        };
    }
}

/// A running service stand-in.
pub struct Service {
    shared: Arc<Shared>,
    listening: Listening,
}

impl Service {
    /// Starts one.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(config: ServiceConfig) -> std::io::Result<Self> {
        let listen = config.listen;
        let refusing = Refusing::default();
        let shared = Arc::new(Shared {
            dice: Dice::new(config.seed),
            config,
            refusing: refusing.clone(),
            state: Mutex::default(),
        });
        let listening = Listening::start(listen, router(&shared), refusing).await?;
        Ok(Self { shared, listening })
    }

    /// Its configuration.
    pub fn config(&self) -> &ServiceConfig {
        &self.shared.config
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Changes the faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        self.shared.update_faults(change);
    }

    /// What really happened.
    pub fn record(&self) -> ServiceRecord {
        lock(&self.shared.state).record.clone()
    }

    /// Stops it; open connections break.
    pub async fn shutdown(self) {
        self.listening.stop().await;
    }
}

fn router(shared: &Arc<Shared>) -> Router {
    let faults = Router::with_path("faults")
        .get(endpoint(shared, show_faults))
        .post(endpoint(shared, set_faults));
    Router::new()
        .push(faults)
        .push(Router::with_path("record").get(endpoint(shared, record)))
        .push(Router::with_path("{**rest}").goal(endpoint(shared, run)))
}

async fn record(shared: Arc<Shared>, _call: Call) -> Reply {
    Reply::ok(&lock(&shared.state).record)
}

async fn show_faults(shared: Arc<Shared>, _call: Call) -> Reply {
    Reply::ok(&lock(&shared.state).faults)
}

async fn set_faults(shared: Arc<Shared>, call: Call) -> Reply {
    match call.json::<ServiceFaults>() {
        Ok(faults) => {
            shared.update_faults(|current| *current = faults);
            Reply::ok(&faults)
        }
        Err(reply) => reply,
    }
}

async fn run(shared: Arc<Shared>, call: Call) -> Reply {
    if shared.refusing.is_set() {
        return Reply::broken();
    }
    let received = receive(&shared);
    if refused(&shared) {
        note(&shared, &call, received, ExecutionOutcome::Refused);
        let message = json!({"message": "refused before running"});
        return Reply::json(StatusCode::SERVICE_UNAVAILABLE, &message).not_run();
    }
    // A service goes on with a request whose client has gone.
    let execution = tokio::spawn(execute(shared, call, received));
    execution.await.unwrap_or_else(|_| Reply::broken())
}

async fn execute(shared: Arc<Shared>, call: Call, received: u64) -> Reply {
    let slow_ms = lock(&shared.state).faults.slow_ms;
    pause_ms(shared.config.time_ms.saturating_add(slow_ms)).await;
    let lost = lock(&shared.state).faults.lose_answers.strike(&shared.dice);
    if lost {
        note(&shared, &call, received, ExecutionOutcome::AnswerLost);
        return Reply::broken();
    }
    let times = note(&shared, &call, received, ExecutionOutcome::Answered);
    Reply::ok(&json!({
        "service": shared.config.service,
        "machine": shared.config.name,
        "target": target(&call),
        "digest": digest(&call),
        "executions": times,
    }))
}

fn refused(shared: &Shared) -> bool {
    let mut state = lock(&shared.state);
    state.faults.down || state.faults.refuse.strike(&shared.dice)
}

/// Counts a request that has arrived and tells the wall-clock milliseconds.
fn receive(shared: &Shared) -> u64 {
    lock(&shared.state).record.received += 1;
    unix_ms()
}

/// Records a request and tells how many are recorded.
fn note(shared: &Shared, call: &Call, received: u64, outcome: ExecutionOutcome) -> usize {
    let now = unix_ms();
    let mut state = lock(&shared.state);
    let execution = Execution {
        target: target(call),
        digest: digest(call),
        idempotency_key: call.header("idempotency-key").map(str::to_owned),
        request_id: call.header("x-request-id").map(str::to_owned),
        received_unix_ms: received,
        at_unix_ms: now,
        after_leaving_ms: state
            .leaving_since_ms
            .map(|since| now.saturating_sub(since)),
        outcome,
    };
    state.record.executions.push(execution);
    state.record.executions.len()
}

fn target(call: &Call) -> String {
    format!("{} {}", call.method, call.path)
}

fn digest(call: &Call) -> String {
    let mut text = target(call).into_bytes();
    text.push(b'\n');
    text.extend_from_slice(&call.body);
    format!("{:016x}", xxh3_64(&text))
}
