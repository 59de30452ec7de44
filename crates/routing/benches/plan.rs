//! CPU time of the coordinator by the number of daemons and runners: for a usage message of a
//! member, for a plan, and for the messages to all members.
//!
//! Run with `cargo bench -p flaxward-routing`. No action is carried out, so each plan decides
//! afresh.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flaxward_routing::configuration::{
    ClientLimits, Configuration, Engine, ModelSpecification, Service,
};
use flaxward_routing::dissemination::Dissemination;
use flaxward_routing::homes::Requirement;
use flaxward_routing::lease::LeaseHeartbeat;
use flaxward_routing::messages::{
    Direction, KnownState, RunningUnit, StoreState, Usage, UsedUnit, WaitingUnit,
};
use flaxward_routing::names::{AdapterName, ModelName, RunnerId, ServiceName, Unit, Zone};
use flaxward_routing::placement::{Placement, PlacementSettings, RunnerReport};
use flaxward_routing::quota::QuotaNews;
use flaxward_routing::runners::{Holdings, Runner, RunnerTable};
use flaxward_routing::strength::MachineStrength;
use flaxward_types::time::Timestamp;

/// Numbers of daemons, runners and models.
const SIZES: [(usize, usize, usize); 4] = [
    (6, 9, 34),
    (80, 140, 481),
    (295, 240, 862),
    (300, 3_000, 590),
];
/// Units that a member has recently used.
const USED_UNITS: usize = 40;
/// Requests in progress at a member.
const RUNNING_REQUESTS: usize = 12;
/// Units that a member's requests wait for.
const WAITING_UNITS: usize = 2;
/// Models on each runner.
const MODELS_HELD: usize = 3;
/// Number of plans that are timed.
const PLANS: u32 = 10;

fn unit(index: usize, models: usize) -> Unit {
    Unit {
        service: ServiceName::new("pool"),
        model: ModelName::new(&format!("model-{:05}", index % models)),
        adapter: None,
    }
}

fn adapter(index: usize, models: usize) -> Unit {
    Unit {
        adapter: Some(AdapterName::new(&format!("a{}", index % 7))),
        ..unit(index, models)
    }
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(1_000 + index).expect("few daemons");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn configuration(models: usize) -> Configuration {
    let specification = ModelSpecification {
        weights_mb: 60_000.0,
        adapter_mb: 66.0,
        store_load: Duration::from_secs(4),
        disk_load: Duration::from_millis(1_700),
        memory_load: Duration::from_millis(1_300),
    };
    let engine = Engine {
        slots: 12,
        weights_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_second: 42.0,
        models: (0..models)
            .map(|index| (unit(index, models).model, specification.clone()))
            .collect(),
    };
    let service = Service {
        name: ServiceName::new("pool"),
        max_connections: 100,
        engine: Some(engine),
        cold_start: None,
    };
    Configuration::new(1, ClientLimits::default(), Vec::new(), vec![service])
}

fn runner(index: usize) -> Runner {
    Runner {
        id: RunnerId::new(&format!("i-{index:010x}")),
        revision: 0,
        service: ServiceName::new("pool"),
        software_version: None,
        address: address(index),
        zone: Zone::new(&format!("zone-{}", index % 3)),
        slots: 12,
        draining: false,
        leaves_in: None,
        cold_for: Duration::ZERO,
        holdings: Holdings::new(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

fn report(index: usize, models: usize) -> RunnerReport {
    let held = (0..MODELS_HELD).map(|place| {
        let model = unit(index * MODELS_HELD + place, models).model;
        (model, BTreeSet::from([AdapterName::new("a1")]))
    });
    RunnerReport {
        holdings: held.collect(),
        order_count: 1,
        ..RunnerReport::default()
    }
}

fn usage(member: usize, runners: usize, models: usize) -> Usage {
    let unit_of = |index: usize| {
        if index.is_multiple_of(2) {
            unit(index, models)
        } else {
            adapter(index, models)
        }
    };
    let used = (0..USED_UNITS).map(|index| UsedUnit {
        requirement: Requirement::anywhere(unit_of(member * 3 + index * 5)),
        requests: 2,
    });
    let running = (0..RUNNING_REQUESTS).map(|index| RunningUnit {
        runner: runner((member * 7 + index) % runners).id,
        unit: unit_of(member * 3 + index * 5),
        requests: 1,
    });
    let waiting = (0..WAITING_UNITS).map(|index| WaitingUnit {
        requirement: Requirement::anywhere(unit(
            MODELS_HELD * runners + member * 2 + index,
            models,
        )),
        requests: 1,
        late: 0,
        priority: 1,
    });
    Usage {
        from: format!("daemon-{member}"),
        address: address(member),
        zone: Zone::new(&format!("zone-{}", member % 3)),
        strength: MachineStrength::default(),
        is_stopping: false,
        known: KnownState {
            term: 1,
            holdings_version: 0,
            runners_revision: 5,
            ..KnownState::default()
        },
        waiting: waiting.collect(),
        used: used.collect(),
        running: running.collect(),
    }
}

/// A coordinator that has read all reports and received the usage of all members.
fn coordinator(members: usize, runners: usize, models: usize) -> Placement {
    let start = Timestamp(1_000);
    let mut placement = Placement::new(PlacementSettings::default(), start, start);
    placement.configure(&configuration(models));
    let all: Vec<Runner> = (0..runners).map(runner).collect();
    placement.set_runners(all.iter());
    for (index, runner) in all.iter().enumerate() {
        placement.apply_report(&runner.id, Some(report(index, models)), start, start);
    }
    for member in 0..members {
        placement.update_usage(usage(member, runners, models), start);
    }
    placement
}

/// Duration of one round of messages to all members after one runner began to drain.
fn measure_messages(members: usize, runners: usize, models: usize) -> Duration {
    let mut placement = coordinator(members, runners, models);
    let mut table = RunnerTable::default();
    table.replace((0..runners).map(runner).collect(), 5);
    let mut dissemination = Dissemination::new(1, 0, Timestamp(1_000));
    let mut header = header();
    let start = Timestamp(1_020);
    placement.plan(start);
    dissemination.messages(&placement, &table, &header, start);
    let drained = Runner {
        draining: true,
        ..runner(0)
    };
    table.insert(drained, 6);
    table.set_revision(6);
    header.store.membership_revision = 6;
    let started = Instant::now();
    let messages = dissemination.messages(&placement, &table, &header, Timestamp(1_620));
    assert!(messages.len() >= members, "{} messages", messages.len());
    started.elapsed()
}

fn header() -> Direction {
    let lease = LeaseHeartbeat {
        term: 1,
        renewals: 1,
        age_ms: 0,
    };
    let store = StoreState {
        configuration_version: 1,
        membership_revision: 5,
        silence_ms: 0,
        configuration_age_ms: 0,
    };
    let quota = QuotaNews {
        from: SocketAddr::from(([127, 0, 0, 1], 100)),
        keepers: Vec::new(),
        daemons: 1,
        limits: Vec::new(),
    };
    Direction {
        daemons: 0,
        ..Direction::heartbeat(lease, address(0), store, quota)
    }
}

fn measure(members: usize, runners: usize, models: usize) {
    let mut placement = coordinator(members, runners, models);
    let usages: Vec<Usage> = (0..members).map(|it| usage(it, runners, models)).collect();
    let started = Instant::now();
    for usage in usages {
        placement.update_usage(usage, Timestamp(1_010));
    }
    let per_message = started.elapsed() / u32::try_from(members).expect("few daemons");
    let mut planning_time = Duration::ZERO;
    for _ in 0..PLANS {
        let mut placement = coordinator(members, runners, models);
        let started = Instant::now();
        placement.plan(Timestamp(1_020));
        planning_time += started.elapsed();
    }
    println!(
        "{members} daemons, {runners} runners, {models} models: \
         {:.1} us per message, {:.1} us per plan, {:.1} us for the heartbeats to all members",
        per_message.as_secs_f64() * 1e6,
        (planning_time / PLANS).as_secs_f64() * 1e6,
        measure_messages(members, runners, models).as_secs_f64() * 1e6
    );
}

fn main() {
    for (members, runners, models) in SIZES {
        measure(members, runners, models);
    }
}
