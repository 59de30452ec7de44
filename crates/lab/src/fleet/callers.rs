//! Callers: steady ones of busy models, and those who wake a sleeping artifact.

use std::collections::BTreeSet;

use flaxward_control::admission::{AdmissionEvent, RequestId};
use flaxward_control::node::NodeEvent;
use flaxward_types::engine::LoadReport;
use flaxward_types::routing::{HeldAnswers, RouteAnswer};
use flaxward_types::{ArtifactId, RunnerName, ZoneName};
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::catalogue::Catalogue;
use super::gateway::{Caller, Outcome, Weights};
use super::shape::Shape;
use super::tally::Purpose;
use super::world::{Happening, Process, World};

/// Simulated requests that one daemon has running on each busy model.
const BUSY_CALLERS: u32 = 2;
/// Requests that a replica of a busy model runs; below the coordinator's threshold for one more.
const RUNNING_PER_REPLICA: u32 = 25;
/// Requests a second at one daemon of the target: 73,000 / 640.
const REQUESTS_PER_SECOND: f64 = 114.0;
/// Mean time of a request, in milliseconds.
const REQUEST_TIME: f64 = 15_000.0;
/// Pause of a caller between two requests for a woken artifact, in milliseconds.
const PAUSE: u64 = 10_000;
/// Pause of a caller after a refusal, in milliseconds.
const RETRY_PAUSE: u64 = 2_000;
/// Daemons at which the first requests for a woken artifact come in.
const BURST_DAEMONS: usize = 8;
/// Time for which a woken artifact is wanted, in milliseconds.
const WANTED_TIME: u64 = 180_000;
/// Time between changes of the loads of runners, in milliseconds.
const LOAD_INTERVAL: u64 = 1_000;
/// Share of wakes that are for a model itself, as models among all artifacts.
const MODELS_PER_THOUSAND: u32 = 19;

/// What the simulated requests for busy models stand for.
pub(super) fn weights(shape: &Shape, catalogue: &Catalogue) -> Weights {
    let busy = catalogue.models.iter().filter(|model| model.busy);
    let busy: BTreeSet<ArtifactId> = busy.map(|model| model.artifact.clone()).collect();
    let models = catalogue.busy_in(0).count().max(1);
    let replicas_per_daemon = 2.0 * f64::from(shape.runners) / f64::from(shape.daemons);
    let running = f64::from(RUNNING_PER_REPLICA) * replicas_per_daemon;
    let simulated = f64::from(BUSY_CALLERS) * models as f64;
    let arrivals = REQUESTS_PER_SECOND / (simulated * 1_000.0 / REQUEST_TIME);
    Weights {
        busy,
        running: whole(running / simulated),
        arrivals: whole(arrivals),
    }
}

fn whole(number: f64) -> u32 {
    number.round().clamp(1.0, 1e9) as u32
}

impl World {
    /// The steady callers of a daemon.
    pub(super) fn add_callers(&mut self, process: Process) {
        let region = self.daemons[process.place].region;
        let artifacts: Vec<ArtifactId> = self
            .catalogue
            .busy_in(region)
            .map(|model| model.artifact.clone())
            .collect();
        for artifact in artifacts {
            for _ in 0..BUSY_CALLERS {
                let caller = Caller {
                    artifact: artifact.clone(),
                    until: None,
                };
                let at = self.now + 10_000 + self.random.random_range(0..10_000);
                self.queue.add(at, Happening::Arrive(process, caller));
            }
        }
    }

    pub(super) fn arrive(&mut self, process: Process, caller: Caller) {
        self.with_gateway(process, |gateway, now| gateway.arrive(caller, now));
    }

    pub(super) fn finish(&mut self, process: Process, request: RequestId) {
        let mut finished = None;
        self.with_gateway(process, |gateway, now| {
            let (caller, outcome) = gateway.finish(request, now);
            finished = caller;
            outcome
        });
        let Some(caller) = finished else {
            return;
        };
        match caller.until {
            None => self.arrive(process, caller),
            Some(until) => {
                let at = self.now + self.random.random_range(PAUSE / 2..PAUSE * 3 / 2);
                if at < until {
                    self.queue.add(at, Happening::Arrive(process, caller));
                }
            }
        }
    }

    pub(super) fn tick_gateway(&mut self, process: Process) {
        self.with_gateway(process, |gateway, now| {
            gateway.handle(AdmissionEvent::Tick, now)
        });
    }

    pub(super) fn routes(&mut self, process: Process, answers: Vec<RouteAnswer>) {
        for answer in answers {
            self.with_gateway(process, |gateway, now| {
                gateway.handle(AdmissionEvent::Routes(answer), now)
            });
        }
    }

    pub(super) fn routes_held(&mut self, process: Process, held: HeldAnswers) {
        self.with_gateway(process, |gateway, now| {
            gateway.handle(AdmissionEvent::RoutesHeld(held), now)
        });
    }

    pub(super) fn heads(&mut self, process: Process, zones: BTreeSet<ZoneName>) {
        self.with_gateway(process, |gateway, now| {
            gateway.handle(AdmissionEvent::Heads(zones), now)
        });
    }

    pub(super) fn leaving(&mut self, process: Process, runners: BTreeSet<RunnerName>) {
        self.with_gateway(process, |gateway, now| {
            gateway.handle(AdmissionEvent::Leaving(runners), now)
        });
    }

    /// Hands something to a daemon's gateway and carries out what follows.
    fn with_gateway(
        &mut self,
        process: Process,
        work: impl FnOnce(&mut super::gateway::HollowGateway, flaxward_types::Timestamp) -> Outcome,
    ) {
        if !self.is_running(process) {
            return;
        }
        let now = self.now;
        let daemon = &mut self.daemons[process.place];
        let Some(running) = daemon.running.as_mut() else {
            return;
        };
        let clock = running.clock(now);
        let began = std::time::Instant::now();
        let outcome = work(&mut running.gateway, clock);
        daemon.spending.admission += began.elapsed();
        self.carry_out(process, outcome);
    }

    fn carry_out(&mut self, process: Process, outcome: Outcome) {
        for request in outcome.running {
            self.counts.dispatched += 1;
            let draw: f64 = self.random.random_range(0.0001..1.0);
            let time = (-draw.ln() * REQUEST_TIME) as u64 + 1;
            let at = self.now + time;
            self.queue.add(at, Happening::Finish(process, request));
        }
        for caller in outcome.refused {
            self.counts.refused += 1;
            let at = self.now + RETRY_PAUSE;
            if caller.until.is_none_or(|until| at < until) {
                self.queue.add(at, Happening::Arrive(process, caller));
            }
        }
        for (zone, demands) in outcome.demands {
            self.drive(process, Purpose::Demand, NodeEvent::Demands(zone, demands));
        }
    }

    /// Plans the next wake.
    pub(super) fn add_wake(&mut self) {
        let rate = self.rates.wakes * self.scale;
        if rate > 0.0 {
            let at = self.now + self.pause_at(rate);
            self.queue.add(at, Happening::Wake);
        }
    }

    /// A random pause between events of a rate in a second.
    pub(super) fn pause_at(&mut self, rate: f64) -> u64 {
        let draw: f64 = self.random.random_range(1e-9..1.0);
        ((-draw.ln() / rate) * 1_000.0) as u64 + 1
    }

    pub(super) fn wake(&mut self) {
        self.add_wake();
        let rare: Vec<usize> = (0..self.catalogue.models.len())
            .filter(|model| !self.catalogue.models[*model].busy)
            .collect();
        let Some(model) = rare.choose(&mut self.random) else {
            return;
        };
        let model = &self.catalogue.models[*model];
        let is_model = self.random.random_range(0..1_000) < MODELS_PER_THOUSAND;
        let adapter = model.adapters.choose(&mut self.random);
        let artifact = adapter.filter(|_| !is_model).unwrap_or(&model.artifact);
        let artifact = artifact.clone();
        let region = model.region;
        let places: Vec<usize> = (0..self.daemons.len())
            .filter(|place| self.daemons[*place].running.is_some())
            .filter(|place| region.is_none_or(|region| self.daemons[*place].region == region))
            .collect();
        let burst: Vec<usize> = places
            .sample(&mut self.random, BURST_DAEMONS)
            .copied()
            .collect();
        self.counts.wakes += 1;
        for place in burst {
            let caller = Caller {
                artifact: artifact.clone(),
                until: Some(self.now + WANTED_TIME),
            };
            let at = self.now + self.random.random_range(0..500);
            let process = self.process(place);
            self.queue.add(at, Happening::Arrive(process, caller));
        }
    }

    /// Lets the loads of all runners that hold something go up and down.
    pub(super) fn move_loads(&mut self) {
        self.queue
            .add(self.now + LOAD_INTERVAL, Happening::MoveLoads);
        for place in 0..self.engines.len() {
            let ready = self.engines[place].count(flaxward_types::engine::HeldState::Ready);
            let running = u32::try_from(ready).unwrap_or(u32::MAX) * RUNNING_PER_REPLICA;
            let load = if running == 0 {
                LoadReport::default()
            } else {
                LoadReport {
                    running: self.random.random_range(running * 4 / 5..running * 6 / 5),
                    waiting: self.random.random_range(0..3),
                    kv_tokens: u64::from(running) * self.random.random_range(800..1_200),
                    age_ms: self.random.random_range(0..1_000),
                    leaving: false,
                }
            };
            self.engines[place].set_load(load);
        }
    }
}
