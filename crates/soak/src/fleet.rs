//! Everything that runs under a soak: the store, the daemons and the runners.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use flaxward_platform_stand_in::{
    Notice, RouteSpec, RunnerStandIn, RunnerState, StoreStandIn, TenantSpec, WorkKind,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::caller_faults::tenant;
use crate::callers::{HOST, Outcome};
use crate::daemon::Daemon;
use crate::disturbances::{Disturbances, Target};
use crate::faults::FaultKind;
use crate::ports::Ports;
use crate::proxy::{Mode, Proxy};
use crate::regions::{REGIONS, Region};
use crate::runner_faults::{COLD_AFTER_START, cold_bound};
use crate::settings::settings_text;
use crate::setup::{
    ENGINE_SERVICE, ENGINES, LOAD_TIME, MODELS, MODELS_HELD, PLAIN_RUNNERS, PLAIN_SERVICE, SLOTS,
    first_routes, route, services,
};
use crate::soak::Plan;

/// Time in which a daemon must be ready after its start.
pub(crate) const START_PATIENCE: Duration = Duration::from_secs(15);
/// Time between two looks at what runners hold, for the list.
const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two looks at whether a request has crashed a runner.
const CRASH_INTERVAL: Duration = Duration::from_millis(2);

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

/// A period in which the runners of a service are brittle.
#[derive(Clone, Debug)]
pub(crate) struct BrittlePeriod {
    pub service: String,
    pub runners: Vec<String>,
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
    pub brittle_periods: Mutex<Vec<BrittlePeriod>>,
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
impl Fleet {
    /// Starts everything.
    pub async fn start(plan: &Plan) -> anyhow::Result<Self> {
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
            let daemon =
                Daemon::prepare(&name, &plan.binaries, &plan.folder, &mut ports, settings)?;
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
            brittle_periods: Mutex::default(),
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
            fleet.put_runner(ENGINE_SERVICE, region.zone, false).await?;
        }
        for number in 0..PLAIN_RUNNERS {
            let region = Region::of(number, has_regions);
            fleet.put_runner(PLAIN_SERVICE, region.zone, false).await?;
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
        self.put_runner(service, zone, self.has_cold).await
    }

    /// Starts a runner of a service and puts it on the list. Its first entry already says whether it is cold.
    async fn put_runner(&self, service: &str, zone: &str, is_cold: bool) -> std::io::Result<()> {
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
        if is_cold {
            runner.start_cold_period(cold_bound(), COLD_AFTER_START);
        }
        let proxy = Proxy::start(runner.address()).await?;
        let state = RunnerState {
            service: service.to_owned(),
            address: proxy.address(),
            zone: zone.to_owned(),
            slots: SLOTS,
            draining: false,
            models,
            cold_left: runner.cold_left(),
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
        Ok(())
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
        if self.has_cold {
            runner.start_cold_period(cold_bound(), COLD_AFTER_START);
        }
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
        Ok(())
    }

    /// What the way to a runner does from now on.
    pub fn set_way(&self, id: &str, mode: Mode) {
        for place in locked(&self.places).iter() {
            if place.runner.id() == id {
                place.proxy.set_mode(mode);
            }
        }
    }

    /// Ends a runner without a word.
    pub fn end_runner(&self, id: &str) {
        for place in locked(&self.places).iter() {
            if place.runner.id() == id {
                place.runner.kill();
            }
        }
    }

    /// The answers of a runner say something of it from now on, for some time or for good.
    pub fn say(&self, id: &str, notice: Notice, duration: Option<Duration>) {
        for place in locked(&self.places).iter() {
            if place.runner.id() == id {
                place.runner.set_notice(notice, duration);
            }
        }
    }

    /// The runners of a service are brittle from now on, for some time, and say so. They run fewer requests at a time.
    /// Returns their identities.
    pub fn turn_brittle(
        &self,
        service: &str,
        limit: usize,
        slots: u32,
        duration: Duration,
    ) -> Vec<String> {
        let mut turned = Vec::new();
        for place in locked(&self.places).iter_mut() {
            if place.state.service == service {
                place.state.slots = slots;
                place.runner.start_brittle_period(limit, slots, duration);
                turned.push(place.runner.id().to_owned());
            }
        }
        for runner in &turned {
            self.renew_entry(runner);
        }
        turned
    }

    /// A runner is cold from now on, for some time, and says so.
    pub fn turn_cold(&self, id: &str, duration: Duration) {
        for place in locked(&self.places).iter() {
            if place.runner.id() == id {
                place.runner.start_cold_period(cold_bound(), duration);
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

    /// Writes all entries and the configuration again, after the store has lost some of them; those of runners that are
    /// gone go again.
    pub fn write_again(&self) {
        self.publish();
        let mut places = locked(&self.places);
        for place in places.iter_mut() {
            place.state.cold_left = place.runner.cold_left();
            self.store.set_runner(place.runner.id(), &place.state);
        }
        let is_there = |id: &str| places.iter().any(|place| place.runner.id() == id);
        for started in locked(&self.runners).iter() {
            let id = started.runner.id();
            if !is_there(id) {
                self.store.remove_runner(id);
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

    /// Nothing more is to be asked.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// Whether nothing more is to be asked.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Keeps the list up to date with what the runners hold.
    pub async fn keep_list(&self) {
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
    pub async fn crash_runners(self: &Arc<Self>, mut random: ChaCha8Rng) {
        let mut restarts = JoinSet::new();
        while !self.is_over() {
            let crashing: Vec<Place> = locked(&self.places)
                .extract_if(.., |place| place.runner.is_crashing())
                .collect();
            for place in crashing {
                let down = Duration::from_millis(random.random_range(500..3_000));
                let ongoing = self.disturbances.begin(Target::Runner);
                place.proxy.close().await;
                place.runner.kill();
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
}
