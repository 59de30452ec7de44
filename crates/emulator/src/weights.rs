//! Stand-in for the weight store: only the time of loads is real, their bytes are not sent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use salvo::Router;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch as signal;

use crate::fault::{Dice, Strikes, lock, pause_ms, unix_ms};
use crate::http::{Call, Listening, Refusing, Reply, endpoint};

/// Least value of the fault that slows loads down; keeps speeds finite.
const LEAST_SLOW_DOWN: f64 = 0.001;

/// How a weight store stand-in is made.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Loads started in a second; further ones wait for their turn. 0 means no limit.
    pub starts_per_second: f64,
    /// Loads at one time at full speed; with more, all slow down in proportion. 0 means no limit.
    pub parallel: u32,
    /// Speed of one load at full speed, in bytes a second. 0 means no time passes.
    pub bytes_per_second: u64,
    /// Seed of its randomness.
    pub seed: u64,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self {
            listen: crate::platform::ANY_PORT,
            starts_per_second: 0.0,
            parallel: 0,
            bytes_per_second: 0,
            seed: 1,
        }
    }
}

/// Faults of a weight store stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreFaults {
    /// Loads are answered with 503.
    pub down: bool,
    /// Every load waits so many milliseconds more.
    pub delay_ms: u64,
    /// How many times slower every load is.
    pub slow_down: f64,
    /// Loads that break off at their end.
    pub break_loads: Strikes,
    /// Loads that never end.
    pub stick_loads: Strikes,
}

impl Default for WeightStoreFaults {
    fn default() -> Self {
        Self {
            down: false,
            delay_ms: 0,
            slow_down: 1.0,
            break_loads: Strikes::default(),
            stick_loads: Strikes::default(),
        }
    }
}

/// What became of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightLoadOutcome {
    /// It runs, or its client has gone.
    Begun,
    /// It was delivered.
    Delivered,
    /// It broke off.
    Broken,
}

/// One load from the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoad {
    /// The checkpoint.
    pub checkpoint: String,
    /// Its size, in bytes.
    pub bytes: u64,
    /// Who asked, from the header `x-flaxward-client`.
    pub client: Option<String>,
    /// Wall-clock milliseconds at which it was asked for.
    pub asked_unix_ms: u64,
    /// Wall-clock milliseconds at which it began.
    pub begun_unix_ms: u64,
    /// Loads at that moment, this one included.
    pub parallel: u32,
    /// What became of it.
    pub outcome: WeightLoadOutcome,
}

/// What really happened at the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStoreRecord {
    /// Most loads at one time.
    pub max_parallel: u32,
    /// Every load, in the order of their beginnings.
    pub loads: Vec<WeightLoad>,
}

struct Shared {
    config: WeightStoreConfig,
    dice: Dice,
    state: Mutex<State>,
    /// Changes whenever the speed of loads does.
    changed: signal::Sender<()>,
}

struct State {
    active: u32,
    /// Bytes that a load would have got that ran from the start of the store on.
    progress: f64,
    /// Up to when the progress is counted.
    progress_until: Instant,
    next_start: Instant,
    faults: WeightStoreFaults,
    record: WeightStoreRecord,
}

impl Shared {
    /// Changes what the speed of loads depends on; what was loaded before keeps its speed.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = lock(&self.state);
        state.advance(&self.config);
        let result = change(&mut state);
        drop(state);
        self.changed.send_replace(());
        result
    }

    fn progress(&self) -> f64 {
        let mut state = lock(&self.state);
        state.advance(&self.config);
        state.progress
    }

    /// Time left until the progress reaches a target, if the speed stays; `None` once it has.
    fn time_to(&self, target: f64) -> Option<Duration> {
        let mut state = lock(&self.state);
        state.advance(&self.config);
        let left = target - state.progress;
        (left > 0.0).then(|| Duration::from_secs_f64(left / state.speed(&self.config)))
    }
}

impl State {
    fn advance(&mut self, config: &WeightStoreConfig) {
        let now = Instant::now();
        let passed = now - self.progress_until;
        self.progress += self.speed(config) * passed.as_secs_f64();
        self.progress_until = now;
    }

    /// Bytes a second that each load gets now.
    fn speed(&self, config: &WeightStoreConfig) -> f64 {
        let full = as_float(config.bytes_per_second) / self.faults.slow_down.max(LEAST_SLOW_DOWN);
        if config.parallel > 0 && self.active > config.parallel {
            full * f64::from(config.parallel) / f64::from(self.active)
        } else {
            full
        }
    }
}

#[allow(clippy::cast_precision_loss)] // sizes and speeds stay far below 2^52
fn as_float(bytes: u64) -> f64 {
    bytes as f64
}

/// A running weight store stand-in.
pub struct WeightStore {
    shared: Arc<Shared>,
    listening: Listening,
}

impl WeightStore {
    /// Starts one.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(config: WeightStoreConfig) -> std::io::Result<Self> {
        let listen = config.listen;
        let shared = Arc::new(Shared {
            dice: Dice::new(config.seed),
            config,
            state: Mutex::new(State {
                active: 0,
                progress: 0.0,
                progress_until: Instant::now(),
                next_start: Instant::now(),
                faults: WeightStoreFaults::default(),
                record: WeightStoreRecord::default(),
            }),
            changed: signal::Sender::new(()),
        });
        let listening = Listening::start(listen, router(&shared), Refusing::default()).await?;
        Ok(Self { shared, listening })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// The base URL for engines.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Changes the faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut WeightStoreFaults)) {
        self.shared.change(|state| change(&mut state.faults));
    }

    /// What really happened.
    pub fn record(&self) -> WeightStoreRecord {
        lock(&self.shared.state).record.clone()
    }

    /// Stops it; loads in progress break off.
    pub async fn shutdown(self) {
        self.listening.stop().await;
    }
}

fn router(shared: &Arc<Shared>) -> Router {
    let faults = Router::with_path("faults")
        .get(endpoint(shared, show_faults))
        .post(endpoint(shared, set_faults));
    Router::new()
        .push(Router::with_path("weights/{first}").get(endpoint(shared, load)))
        .push(Router::with_path("record").get(endpoint(shared, record)))
        .push(faults)
}

async fn record(shared: Arc<Shared>, _call: Call) -> Reply {
    Reply::ok(&lock(&shared.state).record)
}

async fn show_faults(shared: Arc<Shared>, _call: Call) -> Reply {
    Reply::ok(&lock(&shared.state).faults)
}

async fn set_faults(shared: Arc<Shared>, call: Call) -> Reply {
    match call.json::<WeightStoreFaults>() {
        Ok(faults) => {
            shared.change(|state| state.faults = faults);
            Reply::ok(&faults)
        }
        Err(reply) => reply,
    }
}

async fn load(shared: Arc<Shared>, call: Call) -> Reply {
    let asked_unix_ms = unix_ms();
    let bytes = call.query("bytes").and_then(|text| text.parse().ok());
    let bytes: u64 = bytes.unwrap_or(0);
    let faults = lock(&shared.state).faults;
    pause_ms(faults.delay_ms).await;
    if faults.down {
        return Reply::down();
    }
    wait_for_turn(&shared).await;
    let active = ActiveLoad::begin(&shared, &call, bytes, asked_unix_ms);
    let stuck = lock(&shared.state).faults.stick_loads.strike(&shared.dice);
    if stuck {
        std::future::pending::<()>().await;
    }
    active.run(bytes).await;
    let broken = {
        let mut state = lock(&shared.state);
        let down = state.faults.down;
        state.faults.break_loads.strike(&shared.dice) || down
    };
    if broken {
        active.end(WeightLoadOutcome::Broken);
        return Reply::broken();
    }
    active.end(WeightLoadOutcome::Delivered);
    Reply::ok(&json!({"checkpoint": call.first(), "bytes": bytes}))
}

/// Waits until the limit on starts lets one more load begin.
async fn wait_for_turn(shared: &Shared) {
    if shared.config.starts_per_second <= 0.0 {
        return;
    }
    let between = Duration::from_secs_f64(1.0 / shared.config.starts_per_second);
    let turn = {
        let mut state = lock(&shared.state);
        let turn = state.next_start.max(Instant::now());
        state.next_start = turn + between;
        turn
    };
    tokio::time::sleep_until(turn.into()).await;
}

/// A load in progress; counts as one until it is dropped.
struct ActiveLoad {
    shared: Arc<Shared>,
    position: usize,
}

impl ActiveLoad {
    fn begin(shared: &Arc<Shared>, call: &Call, bytes: u64, asked_unix_ms: u64) -> Self {
        let position = shared.change(|state| {
            state.active += 1;
            state.record.max_parallel = state.record.max_parallel.max(state.active);
            state.record.loads.push(WeightLoad {
                checkpoint: call.first().to_owned(),
                bytes,
                client: call.header(crate::http::CLIENT_HEADER).map(str::to_owned),
                asked_unix_ms,
                begun_unix_ms: unix_ms(),
                parallel: state.active,
                outcome: WeightLoadOutcome::Begun,
            });
            state.record.loads.len() - 1
        });
        Self {
            shared: Arc::clone(shared),
            position,
        }
    }

    /// Lets the time of the load pass, at the speed that the other loads leave it.
    async fn run(&self, bytes: u64) {
        if self.shared.config.bytes_per_second == 0 {
            return;
        }
        let mut changed = self.shared.changed.subscribe();
        let target = self.shared.progress() + as_float(bytes);
        while let Some(wait) = self.shared.time_to(target) {
            // Ends early when the speed changes; then the time left is another one.
            let _ = tokio::time::timeout(wait, changed.changed()).await;
        }
    }

    fn end(&self, outcome: WeightLoadOutcome) {
        lock(&self.shared.state).record.loads[self.position].outcome = outcome;
    }
}

impl Drop for ActiveLoad {
    fn drop(&mut self) {
        self.shared.change(|state| state.active -= 1);
    }
}
