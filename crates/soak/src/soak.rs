//! The soak: starts everything, lets faults and callers loose, and checks what they saw.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use flaxward_platform_stand_in::{
    RouteSpec, RunnerStandIn, RunnerState, ServiceSpec, StoreStandIn, TenantSpec, WorkKind,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::caller_faults::{KEYED_ROUTE, tenant};
use crate::callers::{Ask, Ending, HOST, Outcome, send};
use crate::checks;
use crate::daemon::Daemon;
use crate::disturbances::{Disturbances, Target};
use crate::faults::{self, FaultKind};
use crate::ports::Ports;
use crate::proxy::{Mode, Proxy};
use crate::regions::{REGIONS, Region};
use crate::runner_faults::{COLD_AFTER_START, COLD_PER_SECOND, cold_bound};
use crate::settings::settings_text;

/// Callers at one time.
const CALLERS: usize = 12;
/// Runners with an engine.
const ENGINES: usize = 3;
/// Runners of the plain service.
const PLAIN_RUNNERS: usize = 2;
/// Models of the service with an engine; the first is the one that most requests need.
pub(crate) const MODELS: [&str; 4] = ["common", "rare-a", "rare-b", "rare-c"];
/// Models that a runner holds at once.
const MODELS_HELD: usize = 2;
/// Time that a load takes.
const LOAD_TIME: Duration = Duration::from_millis(600);
/// Requests that a runner runs at once.
const SLOTS: u32 = 16;
/// Time for a plain answer.
pub(crate) const PLAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a stream.
pub(crate) const STREAM_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a daemon must be ready after its start.
pub(crate) const START_PATIENCE: Duration = Duration::from_secs(15);
/// Time from the last fault until everything must be served again.
const RECOVERY: Duration = Duration::from_secs(20);
/// Time between two looks at what runners hold, for the list.
const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two looks at whether a request has crashed a runner.
const CRASH_INTERVAL: Duration = Duration::from_millis(2);
/// Name of the service with an engine.
const ENGINE_SERVICE: &str = "pool";
/// Name of the plain service.
const PLAIN_SERVICE: &str = "desk";

/// What is to be run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// All that is random comes from it.
    pub seed: u64,
    /// Time with faults.
    pub duration: Duration,
    /// Daemons.
    pub daemons: usize,
    /// The faults and how often each strikes; none for a calm run.
    pub faults: Vec<(FaultKind, u32)>,
    /// The program.
    pub binary: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests sent.
    pub requests: usize,
    /// Requests served whole.
    pub served: usize,
    /// Faults injected, by name.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

/// A runner with the way to it.
#[derive(Debug)]
pub(crate) struct Place {
    pub runner: Arc<RunnerStandIn>,
    pub proxy: Proxy,
    pub state: RunnerState,
}

/// One start of a runner.
#[derive(Debug)]
pub(crate) struct Started {
    pub runner: Arc<RunnerStandIn>,
    pub zone: String,
}

/// When a runner said that it leaves.
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    pub runner: String,
    pub at: Instant,
}

/// A time in which the way to a runner was disturbed.
#[derive(Clone, Debug)]
pub(crate) struct Cut {
    pub runner: String,
    pub begun: Instant,
    pub ended: Instant,
}

/// A planned stop of a daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    pub daemon: usize,
    pub begun: Instant,
    pub ended: Instant,
}

/// Everything that runs.
pub(crate) struct Fleet {
    pub store: StoreStandIn,
    pub store_ways: Vec<Proxy>,
    pub daemons: Vec<tokio::sync::Mutex<Daemon>>,
    pub addresses: Vec<std::net::SocketAddr>,
    pub places: Mutex<Vec<Place>>,
    /// All runners that there ever were.
    pub runners: Mutex<Vec<Started>>,
    pub disturbances: Disturbances,
    pub drains: Mutex<Vec<Drain>>,
    pub cuts: Mutex<Vec<Cut>>,
    pub stops: Mutex<Vec<PlannedStop>>,
    pub violations: Mutex<Vec<String>>,
    pub outcomes: Mutex<Vec<Outcome>>,
    pub faults: Mutex<Vec<String>>,
    pub routes: Mutex<Vec<RouteSpec>>,
    /// Runners turn cold, and are so after their start.
    has_cold: bool,
    tenants: Vec<TenantSpec>,
    version: AtomicU64,
    runner_count: AtomicU64,
    is_over: AtomicBool,
    /// Those of the daemons, for as long as the soak runs.
    _ports: Ports,
}

/// The contents of a lock, whoever has panicked with it.
pub(crate) fn locked<Contents>(mutex: &Mutex<Contents>) -> MutexGuard<'_, Contents> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn route(name: &str, kind: WorkKind, service: &str) -> RouteSpec {
    let is_stream = matches!(kind, WorkKind::Stream { .. });
    RouteSpec {
        name: name.to_owned(),
        kind,
        service: service.to_owned(),
        timeout: if is_stream {
            STREAM_TIMEOUT
        } else {
            PLAIN_TIMEOUT
        },
        max_attempts: 2,
        home_regions: Vec::new(),
        needs_key: false,
    }
}

/// The routes at the start: a few for each soak, and those that its kinds of faults need.
fn first_routes(has_kind: impl Fn(FaultKind) -> bool) -> Vec<RouteSpec> {
    let mut routes = vec![
        route("safe", WorkKind::Repeatable, PLAIN_SERVICE),
        route("once", WorkKind::AtMostOnce, PLAIN_SERVICE),
        route(
            "stream",
            WorkKind::Stream { resumable: true },
            ENGINE_SERVICE,
        ),
        route(
            "stream-once",
            WorkKind::Stream { resumable: false },
            ENGINE_SERVICE,
        ),
    ];
    if has_kind(FaultKind::HomeRoutes) {
        let like = [&routes[0], &routes[2]];
        let homes: Vec<RouteSpec> = like
            .into_iter()
            .flat_map(|route| REGIONS.map(|region| region.home_route(route)))
            .collect();
        routes.extend(homes);
    }
    if has_kind(FaultKind::TenantQuota) {
        routes.push(RouteSpec {
            needs_key: true,
            ..route(KEYED_ROUTE, WorkKind::Repeatable, PLAIN_SERVICE)
        });
    }
    routes
}

fn services(has_cold: bool) -> Vec<ServiceSpec> {
    let cold = has_cold.then_some((COLD_PER_SECOND, COLD_AFTER_START));
    let engine = ServiceSpec {
        name: ENGINE_SERVICE.to_owned(),
        models: MODELS.map(str::to_owned).to_vec(),
        models_held: u32::try_from(MODELS_HELD).unwrap_or(u32::MAX),
        load_time: LOAD_TIME,
        cold,
    };
    let plain = ServiceSpec {
        name: PLAIN_SERVICE.to_owned(),
        models: Vec::new(),
        models_held: 0,
        load_time: Duration::ZERO,
        cold,
    };
    vec![engine, plain]
}

impl Fleet {
    async fn start(plan: &Plan) -> anyhow::Result<Self> {
        let has_kind = |kind: FaultKind| plan.faults.iter().any(|(it, _)| *it == kind);
        let has_regions = plan.faults.iter().any(|(kind, _)| kind.needs_regions());
        let store = StoreStandIn::start().await?;
        let mut ports = Ports::claim()?;
        let mut store_ways = Vec::new();
        let mut daemons = Vec::new();
        let mut addresses = Vec::new();
        for index in 0..plan.daemons {
            let way = Proxy::start(store.address()).await?;
            let name = format!("daemon-{index}");
            let region = Region::of(index, has_regions);
            let settings = |own| Ok(settings_text(&name, region, own, way.address())?);
            let daemon = Daemon::prepare(&name, &plan.binary, &plan.folder, &mut ports, settings)?;
            addresses.push(daemon.address());
            daemons.push(tokio::sync::Mutex::new(daemon));
            store_ways.push(way);
        }
        let fleet = Self {
            store,
            store_ways,
            daemons,
            addresses,
            places: Mutex::default(),
            runners: Mutex::default(),
            disturbances: Disturbances::default(),
            drains: Mutex::default(),
            cuts: Mutex::default(),
            stops: Mutex::default(),
            violations: Mutex::default(),
            outcomes: Mutex::default(),
            faults: Mutex::default(),
            routes: Mutex::new(first_routes(has_kind)),
            tenants: if has_kind(FaultKind::TenantQuota) {
                vec![tenant()]
            } else {
                Vec::new()
            },
            has_cold: has_kind(FaultKind::ColdRunner),
            version: AtomicU64::new(0),
            runner_count: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            _ports: ports,
        };
        for number in 0..ENGINES {
            let region = Region::of(number, has_regions);
            fleet.add_warm_runner(ENGINE_SERVICE, region.zone).await?;
        }
        for number in 0..PLAIN_RUNNERS {
            let region = Region::of(number, has_regions);
            fleet.add_warm_runner(PLAIN_SERVICE, region.zone).await?;
        }
        fleet.publish();
        for daemon in &fleet.daemons {
            daemon.lock().await.start()?;
        }
        for daemon in &fleet.daemons {
            let daemon = daemon.lock().await;
            anyhow::ensure!(
                daemon.until_ready(START_PATIENCE).await,
                "{} is not ready",
                daemon.name()
            );
        }
        Ok(fleet)
    }

    /// Starts a runner of a service and puts it on the list. It is cold at first, if runners are ever cold here.
    pub async fn add_runner(&self, service: &str, zone: &str) -> std::io::Result<()> {
        let id = self.add_warm_runner(service, zone).await?;
        if self.has_cold {
            self.turn_cold(&id, COLD_AFTER_START);
        }
        Ok(())
    }

    /// Starts a runner of a service and puts it on the list. Returns its identity.
    async fn add_warm_runner(&self, service: &str, zone: &str) -> std::io::Result<String> {
        let number = self.runner_count.fetch_add(1, Ordering::Relaxed);
        let id = format!("runner-{number}");
        let has_engine = service == ENGINE_SERVICE;
        let models = if has_engine {
            vec![MODELS[0].to_owned()]
        } else {
            Vec::new()
        };
        let held = if has_engine { MODELS_HELD } else { 0 };
        let runner = RunnerStandIn::start(&id, SLOTS, &models, held, LOAD_TIME).await?;
        let proxy = Proxy::start(runner.address()).await?;
        let state = RunnerState {
            service: service.to_owned(),
            address: proxy.address(),
            zone: zone.to_owned(),
            slots: SLOTS,
            draining: false,
            models,
            cold_left: Duration::ZERO,
            born: runner.born(),
        };
        self.store.set_runner(&id, &state);
        let runner = Arc::new(runner);
        locked(&self.runners).push(Started {
            runner: runner.clone(),
            zone: zone.to_owned(),
        });
        locked(&self.places).push(Place {
            runner,
            proxy,
            state,
        });
        Ok(id)
    }

    /// Starts a runner again that has ended: under its identity and at its address, with nothing loaded.
    pub async fn start_anew(&self, id: &str) -> std::io::Result<()> {
        let held = {
            let places = locked(&self.places);
            let place = places.iter().find(|place| place.runner.id() == id);
            place.map(|place| {
                if place.state.service == ENGINE_SERVICE {
                    MODELS_HELD
                } else {
                    0
                }
            })
        };
        // It may have been taken away meanwhile.
        let Some(held) = held else { return Ok(()) };
        let runner = RunnerStandIn::start(id, SLOTS, &[], held, LOAD_TIME).await?;
        let runner = Arc::new(runner);
        for place in locked(&self.places).iter_mut() {
            if place.runner.id() != id {
                continue;
            }
            locked(&self.runners).push(Started {
                runner: runner.clone(),
                zone: place.state.zone.clone(),
            });
            place.runner = runner.clone();
            place.state.models = Vec::new();
            place.state.born = runner.born();
            place.proxy.set_target(runner.address());
            place.proxy.set_mode(Mode::Pass);
        }
        self.renew_entry(id);
        if self.has_cold {
            self.turn_cold(id, COLD_AFTER_START);
        }
        Ok(())
    }

    /// A runner is cold from now on, for some time, and says so.
    pub fn turn_cold(&self, id: &str, duration: Duration) {
        for place in locked(&self.places).iter() {
            if place.runner.id() == id {
                place.runner.turn_cold(cold_bound(), duration);
            }
        }
        self.renew_entry(id);
    }

    /// Writes the entry of a runner anew, if it is still there.
    pub fn renew_entry(&self, id: &str) {
        for place in locked(&self.places).iter_mut() {
            if place.runner.id() == id {
                place.state.cold_left = place.runner.cold_left();
                self.store.set_runner(id, &place.state);
            }
        }
    }

    /// The zone of a runner.
    pub fn zone_of(&self, id: &str) -> String {
        let runners = locked(&self.runners);
        let started = runners.iter().find(|started| started.runner.id() == id);
        started.map_or_else(|| REGIONS[0].zone.to_owned(), |it| it.zone.clone())
    }

    /// Puts the present routes in force.
    pub fn publish(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let routes = locked(&self.routes).clone();
        let services = services(self.has_cold);
        self.store
            .publish(version, HOST, &routes, &services, &self.tenants);
    }

    /// Adds a route under a name.
    pub fn add_route(&self, name: &str) {
        locked(&self.routes).push(route(name, WorkKind::Repeatable, PLAIN_SERVICE));
        self.publish();
    }

    /// Notes a broken promise.
    pub fn violation(&self, text: String) {
        locked(&self.violations).push(text);
    }

    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Keeps the list up to date with what the runners hold.
    async fn keep_list(&self) {
        while !self.is_over() {
            for place in locked(&self.places).iter_mut() {
                let models = place.runner.models();
                if models != place.state.models {
                    place.state.models = models;
                    place.state.cold_left = place.runner.cold_left();
                    self.store.set_runner(place.runner.id(), &place.state);
                }
            }
            sleep(LIST_INTERVAL).await;
        }
    }

    /// Ends runners that a request crashes, and starts others in their place a while later.
    async fn crash_runners(self: &Arc<Self>, mut random: ChaCha8Rng) {
        let mut restarts = JoinSet::new();
        while !self.is_over() {
            let crashing: Vec<Place> = locked(&self.places)
                .extract_if(.., |place| place.runner.is_crashing())
                .collect();
            for place in crashing {
                let down = Duration::from_millis(random.random_range(500..3_000));
                let ongoing = self.disturbances.begin(Target::Runner);
                place.proxy.close().await;
                place.runner.end();
                let fleet = self.clone();
                restarts.spawn(async move {
                    sleep(down).await;
                    fleet.store.remove_runner(place.runner.id());
                    if let Err(error) = fleet
                        .add_runner(&place.state.service, &place.state.zone)
                        .await
                    {
                        fleet.violation(format!("START of a runner: {error}"));
                    }
                    fleet.disturbances.end(&ongoing);
                });
            }
            sleep(CRASH_INTERVAL).await;
        }
        while restarts.join_next().await.is_some() {}
    }

    /// One caller: sends requests one after the other.
    async fn call(&self, mut random: ChaCha8Rng) {
        let client = reqwest::Client::builder().no_proxy().build();
        let Ok(client) = client else {
            return;
        };
        while !self.is_over() {
            let ask = random_ask(&mut random);
            let daemon = random.random_range(0..self.daemons.len());
            let outcome = send(&client, ask, daemon, self.addresses[daemon]).await;
            locked(&self.outcomes).push(outcome);
            sleep(Duration::from_millis(random.random_range(10..120))).await;
        }
    }

    /// Checks that a daemon serves each model again, within a time for all of them.
    async fn recovers(&self, daemon: usize, mut random: ChaCha8Rng) {
        let Ok(client) = reqwest::Client::builder().no_proxy().build() else {
            return;
        };
        let end = Instant::now() + RECOVERY;
        for model in MODELS {
            let mut is_served = false;
            while Instant::now() < end && !is_served {
                let request = format!("{:016x}", random.next_u64());
                let ask = Ask {
                    model: Some(model.to_owned()),
                    ..Ask::new(request, "/stream/x", WorkKind::Stream { resumable: true })
                };
                let outcome = send(&client, ask, daemon, self.addresses[daemon]).await;
                is_served = outcome.ending == Ending::Served;
            }
            if !is_served {
                self.violation(format!("RECOVER daemon-{daemon} does not serve {model}"));
            }
        }
    }
}

fn random_ask(random: &mut ChaCha8Rng) -> Ask {
    let request = format!("{:016x}", random.next_u64());
    let (path, kind) = match random.random_range(0..10) {
        0..=2 => ("/safe/x", WorkKind::Repeatable),
        3..=5 => ("/once/x", WorkKind::AtMostOnce),
        6..=8 => ("/stream/x", WorkKind::Stream { resumable: true }),
        _ => ("/stream-once/x", WorkKind::Stream { resumable: false }),
    };
    let is_stream = matches!(kind, WorkKind::Stream { .. });
    let model = if random.random_bool(0.85) {
        MODELS[0]
    } else {
        MODELS[random.random_range(1..MODELS.len())]
    };
    Ask {
        model: is_stream.then(|| model.to_owned()),
        ..Ask::new(request, path, kind)
    }
}

/// Runs a soak.
///
/// # Errors
/// Fails if the processes or stand-ins cannot be started.
pub async fn soak(plan: &Plan) -> anyhow::Result<Report> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let fleet = Arc::new(Fleet::start(plan).await?);
    let mut tasks = JoinSet::new();
    for _ in 0..CALLERS {
        let (fleet, random) = (fleet.clone(), ChaCha8Rng::seed_from_u64(random.next_u64()));
        tasks.spawn(async move { fleet.call(random).await });
    }
    let listing = fleet.clone();
    tasks.spawn(async move { listing.keep_list().await });
    let (crashing, own) = (fleet.clone(), ChaCha8Rng::seed_from_u64(random.next_u64()));
    tasks.spawn(async move { crashing.crash_runners(own).await });
    if plan.faults.is_empty() {
        sleep(plan.duration).await;
    } else {
        faults::inject(&fleet, &plan.faults, &mut random, plan.duration).await;
    }
    let mut recoveries = JoinSet::new();
    for daemon in 0..plan.daemons {
        let (fleet, random) = (fleet.clone(), ChaCha8Rng::seed_from_u64(random.next_u64()));
        recoveries.spawn(async move { fleet.recovers(daemon, random).await });
    }
    while recoveries.join_next().await.is_some() {}
    fleet.is_over.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    for daemon in &fleet.daemons {
        let mut daemon = daemon.lock().await;
        if daemon.has_ended() {
            fleet.violation(format!("EXIT {} has ended by itself", daemon.name()));
        }
        daemon.kill().await;
    }
    checks::check(&fleet);
    let outcomes = locked(&fleet.outcomes);
    let served = outcomes.iter().filter(|it| it.ending == Ending::Served);
    Ok(Report {
        requests: outcomes.len(),
        served: served.count(),
        faults: locked(&fleet.faults).clone(),
        violations: locked(&fleet.violations).clone(),
    })
}
