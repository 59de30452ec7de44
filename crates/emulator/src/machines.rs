//! Stand-in for the machine list: Prometheus' HTTP service discovery, with a lag.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use flaxward_types::RunnerName;
use flaxward_types::engine::{Machine, MachineRole};
use salvo::Router;
use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::fault::{lock, pause_ms};
use crate::http::{Call, Listening, Refusing, Reply, endpoint};

/// How a machine list stand-in is made.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineListConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How late changes show up, in milliseconds.
    pub lag_ms: u64,
    /// Whether it names the list by an entity tag and answers conditional requests.
    pub entity_tags: bool,
}

impl Default for MachineListConfig {
    fn default() -> Self {
        Self {
            listen: crate::platform::ANY_PORT,
            lag_ms: 0,
            entity_tags: true,
        }
    }
}

/// Faults of a machine list stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineListFaults {
    /// The list is answered with 503.
    pub down: bool,
    /// The list waits so many milliseconds.
    pub delay_ms: u64,
}

/// A change that was refused because the name belonged to another machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameReused(pub RunnerName);

impl std::fmt::Display for NameReused {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "a machine named {} existed before", self.0)
    }
}

impl std::error::Error for NameReused {}

/// The machines as they were from some moment on.
struct Snapshot {
    since: Instant,
    machines: BTreeMap<RunnerName, Machine>,
}

struct State {
    current: BTreeMap<RunnerName, Machine>,
    removed: BTreeSet<RunnerName>,
    snapshots: VecDeque<Snapshot>,
    lag: Duration,
    entity_tags: bool,
    lists_sent: u64,
    faults: MachineListFaults,
}

impl State {
    fn put(&mut self, machine: Machine) -> Result<(), NameReused> {
        if self.removed.contains(&machine.name) {
            return Err(NameReused(machine.name));
        }
        self.current.insert(machine.name.clone(), machine);
        self.note();
        Ok(())
    }

    fn remove(&mut self, name: &RunnerName) {
        if self.current.remove(name).is_some() {
            self.removed.insert(name.clone());
            self.note();
        }
    }

    fn note(&mut self) {
        self.snapshots.push_back(Snapshot {
            since: Instant::now(),
            machines: self.current.clone(),
        });
    }

    /// The machines as they were one lag ago.
    fn shown(&mut self) -> Vec<Machine> {
        let lag = self.lag;
        while self
            .snapshots
            .get(1)
            .is_some_and(|next| next.since.elapsed() >= lag)
        {
            self.snapshots.pop_front();
        }
        match self.snapshots.front() {
            Some(oldest) if oldest.since.elapsed() >= lag => {
                oldest.machines.values().cloned().collect()
            }
            _ => Vec::new(),
        }
    }
}

/// A running machine list stand-in.
pub struct MachineListServer {
    state: Arc<Mutex<State>>,
    listening: Listening,
}

impl MachineListServer {
    /// Starts one with an empty list.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(config: MachineListConfig) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            current: BTreeMap::new(),
            removed: BTreeSet::new(),
            snapshots: VecDeque::new(),
            lag: Duration::from_millis(config.lag_ms),
            entity_tags: config.entity_tags,
            lists_sent: 0,
            faults: MachineListFaults::default(),
        }));
        let listening =
            Listening::start(config.listen, router(&state), Refusing::default()).await?;
        Ok(Self { state, listening })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// The URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}/machines", self.address())
    }

    /// Adds or changes a machine.
    ///
    /// # Errors
    /// Fails if a machine of this name existed before and was removed.
    pub fn put(&self, machine: Machine) -> Result<(), NameReused> {
        lock(&self.state).put(machine)
    }

    /// Marks a machine as leaving.
    pub fn leave(&self, name: &RunnerName) {
        let mut state = lock(&self.state);
        if let Some(machine) = state.current.get_mut(name) {
            machine.leaving = true;
            state.note();
        }
    }

    /// Removes a machine for good.
    pub fn remove(&self, name: &RunnerName) {
        lock(&self.state).remove(name);
    }

    /// The machines as they are, without the lag.
    pub fn current(&self) -> Vec<Machine> {
        lock(&self.state).current.values().cloned().collect()
    }

    /// How often the list was sent whole.
    pub fn lists_sent(&self) -> u64 {
        lock(&self.state).lists_sent
    }

    /// Changes the faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut MachineListFaults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Stops it.
    pub async fn shutdown(self) {
        self.listening.stop().await;
    }
}

fn router(state: &Arc<Mutex<State>>) -> Router {
    let machine = Router::with_path("{first}")
        .put(endpoint(state, put))
        .delete(endpoint(state, delete));
    let machines = Router::with_path("machines")
        .get(endpoint(state, list))
        .push(machine);
    let faults = Router::with_path("faults")
        .get(endpoint(state, show_faults))
        .post(endpoint(state, set_faults));
    Router::new()
        .push(machines)
        .push(faults)
        .push(Router::with_path("record").get(endpoint(state, record)))
}

async fn list(state: Arc<Mutex<State>>, call: Call) -> Reply {
    let faults = lock(&state).faults;
    pause_ms(faults.delay_ms).await;
    if faults.down {
        return Reply::down();
    }
    let mut state = lock(&state);
    let groups: Vec<Value> = state.shown().iter().map(target_group).collect();
    let whole = Reply::ok(&groups);
    let reply = if state.entity_tags {
        whole.unless_held(&call)
    } else {
        whole
    };
    state.lists_sent += u64::from(reply.is_ok());
    reply
}

async fn record(state: Arc<Mutex<State>>, _call: Call) -> Reply {
    let machines: Vec<Machine> = lock(&state).current.values().cloned().collect();
    Reply::ok(&machines)
}

async fn show_faults(state: Arc<Mutex<State>>, _call: Call) -> Reply {
    Reply::ok(&lock(&state).faults)
}

async fn set_faults(state: Arc<Mutex<State>>, call: Call) -> Reply {
    match call.json::<MachineListFaults>() {
        Ok(faults) => {
            lock(&state).faults = faults;
            Reply::ok(&faults)
        }
        Err(reply) => reply,
    }
}

async fn put(state: Arc<Mutex<State>>, call: Call) -> Reply {
    let machine = match call.json::<Machine>() {
        Ok(machine) => machine,
        Err(reply) => return reply,
    };
    if machine.name.as_str() != call.first() {
        let message = json!({"message": "the name is not the one in the path"});
        return Reply::json(StatusCode::BAD_REQUEST, &message);
    }
    match lock(&state).put(machine) {
        Ok(()) => Reply::ok(&json!({})),
        Err(reused) => {
            let message = json!({"message": reused.to_string()});
            Reply::json(StatusCode::CONFLICT, &message)
        }
    }
}

async fn delete(state: Arc<Mutex<State>>, call: Call) -> Reply {
    let Ok(name) = call.first().parse() else {
        return Reply::json(StatusCode::NOT_FOUND, &json!({}));
    };
    lock(&state).remove(&name);
    Reply::ok(&json!({}))
}

fn target_group(machine: &Machine) -> Value {
    let role = match &machine.role {
        MachineRole::Engine => "engine".to_owned(),
        MachineRole::Service(service) => format!("service/{service}"),
    };
    let state = if machine.leaving { "leaving" } else { "live" };
    json!({
        "targets": [machine.address],
        "labels": {
            "__meta_machine": machine.name,
            "zone": machine.zone,
            "role": role,
            "state": state,
        },
    })
}
