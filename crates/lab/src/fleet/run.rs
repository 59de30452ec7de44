//! One run at one size, and what it measured.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use flaxward_types::Revision;
use flaxward_types::time::millis;
use serde::Serialize;

use super::faults::Fault;
use super::limits::{Usage, Verdict};
use super::memory;
use super::shape::Shape;
use super::spread::SpreadSummary;
use super::tally::{PURPOSES, Purpose, ROLES, Role, SIDES, Side, Spending};
use super::world::{Counts, Rates, World};

/// Wakes a second at the target: 9.6 % of 31,590 artifacts wake or rest in an hour, half of them
/// wake.
const TARGET_WAKES: f64 = 0.096 * 31_590.0 / 2.0 / 3_600.0;
/// Changes of configuration a second at the target.
const TARGET_CHANGES: f64 = 11_000.0 / 86_400.0;

/// What to run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Plan {
    /// Daemons.
    pub daemons: u32,
    /// Seed of all random draws.
    pub seed: u64,
    /// Virtual time before counting, in milliseconds.
    pub warm_up_ms: u64,
    /// Virtual time counted, in milliseconds.
    pub span_ms: u64,
    /// Datagrams lost, of a million.
    pub lost_per_million: u32,
    /// Wakes a second at the target.
    pub wakes: f64,
    /// Changes of configuration a second at the target.
    pub changes: f64,
}

impl Plan {
    /// A run in steady state at this size.
    pub fn steady(daemons: u32, seed: u64, warm_up: Duration, span: Duration) -> Self {
        Self {
            daemons,
            seed,
            warm_up_ms: millis(warm_up),
            span_ms: millis(span),
            lost_per_million: 0,
            wakes: TARGET_WAKES,
            changes: TARGET_CHANGES,
        }
    }

    /// The fleet of this plan.
    pub fn world(&self) -> World {
        let rates = Rates {
            wakes: self.wakes,
            changes: self.changes,
        };
        World::new(
            Shape::of(self.daemons),
            rates,
            self.lost_per_million,
            self.seed,
        )
    }
}

/// Traffic of one kind at one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Messages sent or calls made, in a second.
    pub sent_per_second: f64,
    /// Messages received, in a second.
    pub received_per_second: f64,
    /// Bytes sent in a second.
    pub bytes_sent_per_second: f64,
    /// Bytes received in a second.
    pub bytes_received_per_second: f64,
}

/// What one daemon of a role takes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RoleMeasure {
    /// Daemons of the role.
    pub daemons: usize,
    /// Their mean.
    pub mean: Usage,
    /// The highest value of any of them, each figure by itself.
    pub highest: Usage,
    /// How the highest stand against the limits.
    pub verdict: Option<Verdict>,
    /// Mean traffic with each side.
    pub by_side: BTreeMap<Side, Traffic>,
    /// Mean traffic for each purpose.
    pub by_purpose: BTreeMap<Purpose, Traffic>,
    /// Mean processor time for each purpose, in percent of a core.
    pub processor_by_purpose: BTreeMap<Purpose, f64>,
    /// Mean processor time of admission in percent of a core; no part of control.
    pub admission_percent: f64,
}

/// What a run measured.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// What was run.
    pub plan: Plan,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// Runners.
    pub runners: u32,
    /// Models and adapters.
    pub artifacts: u32,
    /// Mean over all daemons.
    pub average: Usage,
    /// How the average stands against the limits.
    pub average_verdict: Verdict,
    /// Each role.
    pub roles: BTreeMap<Role, RoleMeasure>,
    /// Resident memory of the whole process, with platform and engines, for each daemon, in
    /// megabytes.
    pub resident_megabytes_per_daemon: f64,
    /// How fast changes of configuration came into force.
    pub spread: SpreadSummary,
    /// What happened.
    pub counts: Counts,
    /// Zones with a coordinator at the end.
    pub coordinated_zones: usize,
    /// Share of the wall-clock time that the thread was on a processor; measured times are corrected
    /// by it.
    pub on_processor: f64,
    /// Seconds of wall-clock time for the counted span.
    pub wall_seconds: f64,
}

/// A role, the daemons that have it, and their traffic with each side.
pub type RoleTraffic = (Role, usize, BTreeMap<Side, Traffic>);

impl Measurement {
    /// The parts that follow from the plan alone, for comparing two runs: no times.
    pub fn counted(&self) -> (Counts, SpreadSummary, Vec<RoleTraffic>) {
        let roles = self.roles.iter();
        let roles = roles.map(|(role, measure)| (*role, measure.daemons, measure.by_side.clone()));
        (self.counts, self.spread, roles.collect())
    }
}

/// Runs a plan; `faults` come at times in milliseconds after counting has begun.
pub fn run(plan: &Plan, faults: &[(u64, Fault)]) -> Measurement {
    let mut world = plan.world();
    world.run_until(plan.warm_up_ms);
    for (after, fault) in faults {
        world.add_fault(plan.warm_up_ms + after, *fault);
    }
    world.begin_counting();
    let processor_before = memory::thread_time();
    let began = Instant::now();
    world.run_until(plan.warm_up_ms + plan.span_ms);
    let wall = began.elapsed();
    let processor = memory::thread_time().zip(processor_before);
    world.end_counting();
    let on_processor = processor.map_or(1.0, |(after, before)| {
        ((after - before) as f64 / wall.as_nanos() as f64).min(1.0)
    });
    measure(plan, world, on_processor, wall)
}

fn measure(plan: &Plan, mut world: World, on_processor: f64, wall: Duration) -> Measurement {
    let resident = memory::resident();
    let shape = world.shape().clone();
    let (counts, spread) = (world.counts(), world.spread().summary());
    let mut all = Vec::new();
    for place in 0..world.daemons().len() {
        let daemon = &world.daemons()[place];
        if daemon.running.is_none() {
            continue;
        }
        let (role, spending) = (daemon.role(), daemon.spending.clone());
        let memory = world.measure_memory(place);
        all.push((role, usage(&spending, memory, on_processor), spending));
    }
    let usages: Vec<Usage> = all.iter().map(|(_, usage, _)| *usage).collect();
    let average = mean(&usages);
    let roles = ROLES.into_iter().filter_map(|role| {
        let of_role: Vec<_> = all.iter().filter(|(other, _, _)| *other == role).collect();
        (!of_role.is_empty()).then(|| (role, role_measure(&of_role, on_processor)))
    });
    let roles: BTreeMap<Role, RoleMeasure> = roles.collect();
    let coordinated_zones = roles
        .get(&Role::Coordinator)
        .map_or(0, |measure| measure.daemons);
    Measurement {
        plan: *plan,
        zones: shape.zones.len(),
        regions: shape.regions,
        runners: shape.runners,
        artifacts: shape.models + shape.adapters,
        average,
        average_verdict: average.verdict(),
        roles,
        resident_megabytes_per_daemon: resident as f64 / 1e6 / f64::from(shape.daemons),
        spread,
        counts,
        coordinated_zones,
        on_processor,
        wall_seconds: wall.as_secs_f64(),
    }
}

fn usage(spending: &Spending, memory: Option<u64>, on_processor: f64) -> Usage {
    let seconds = (spending.alive as f64 / 1e3).max(1e-3);
    Usage {
        processor_percent: spending.total_time().as_secs_f64() * on_processor / seconds * 100.0,
        memory_megabytes: memory.map(|bytes| bytes as f64 / 1e6),
        kilobytes_per_second: spending.bytes() as f64 / 1e3 / seconds,
    }
}

fn role_measure(of_role: &[&(Role, Usage, Spending)], on_processor: f64) -> RoleMeasure {
    let usages: Vec<Usage> = of_role.iter().map(|(_, usage, _)| *usage).collect();
    let mut sum = Spending::default();
    for (_, _, spending) in of_role {
        sum.add(spending);
    }
    let seconds = (sum.alive as f64 / 1e3).max(1e-3);
    let traffic = |exchange: super::tally::Exchange| Traffic {
        sent_per_second: exchange.sent as f64 / seconds,
        received_per_second: exchange.received as f64 / seconds,
        bytes_sent_per_second: exchange.bytes_sent as f64 / seconds,
        bytes_received_per_second: exchange.bytes_received as f64 / seconds,
    };
    let share = |time: Duration| time.as_secs_f64() * on_processor / seconds * 100.0;
    let highest = highest(&usages);
    RoleMeasure {
        daemons: of_role.len(),
        mean: mean(&usages),
        highest,
        verdict: Some(highest.verdict()),
        by_side: SIDES
            .into_iter()
            .map(|side| (side, traffic(sum.with(side))))
            .collect(),
        by_purpose: PURPOSES
            .into_iter()
            .map(|purpose| (purpose, traffic(sum.on(purpose))))
            .collect(),
        processor_by_purpose: PURPOSES
            .into_iter()
            .map(|purpose| {
                let time = sum.time.get(&purpose).copied().unwrap_or_default();
                (purpose, share(time))
            })
            .collect(),
        admission_percent: share(sum.admission),
    }
}

fn mean(usages: &[Usage]) -> Usage {
    let count = usages.len().max(1) as f64;
    let sum = |value: fn(&Usage) -> f64| usages.iter().map(value).sum::<f64>() / count;
    let memory: Option<Vec<f64>> = usages.iter().map(|usage| usage.memory_megabytes).collect();
    Usage {
        processor_percent: sum(|usage| usage.processor_percent),
        memory_megabytes: memory.map(|values| values.iter().sum::<f64>() / count),
        kilobytes_per_second: sum(|usage| usage.kilobytes_per_second),
    }
}

fn highest(usages: &[Usage]) -> Usage {
    let highest = |value: fn(&Usage) -> f64| usages.iter().map(value).fold(0.0, f64::max);
    let memory: Option<Vec<f64>> = usages.iter().map(|usage| usage.memory_megabytes).collect();
    Usage {
        processor_percent: highest(|usage| usage.processor_percent),
        memory_megabytes: memory.map(|values| values.into_iter().fold(0.0, f64::max)),
        kilobytes_per_second: highest(|usage| usage.kilobytes_per_second),
    }
}

impl World {
    /// Heap memory of the state machine at a place, by dropping it; `None` if it is not counted.
    fn measure_memory(&mut self, place: usize) -> Option<u64> {
        let before = memory::allocated()?;
        self.daemons[place].running = None;
        let after = memory::allocated()?;
        Some(before.saturating_sub(after))
    }

    /// The lowest and highest revision of the configuration in force at any running daemon.
    pub fn revisions(&self) -> (Revision, Revision) {
        let running = self
            .daemons
            .iter()
            .filter(|daemon| daemon.running.is_some());
        let revisions: Vec<Revision> = running.map(super::daemon::HollowDaemon::in_force).collect();
        let lowest = revisions.iter().min().copied().unwrap_or_default();
        let highest = revisions.iter().max().copied().unwrap_or_default();
        (lowest, highest)
    }
}
