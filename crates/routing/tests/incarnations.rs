//! Incarnations of runners that keep their names: state of one never applies to the next, in whatever order a daemon
//! learns of them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::configuration::{
    ClientLimits, Configuration, Engine, ModelSpecification, Service,
};
use flaxward_routing::health::{HealthTable, Observation};
use flaxward_routing::homes::Requirement;
use flaxward_routing::messages::{KnownState, Usage, WaitingUnit};
use flaxward_routing::names::{ModelName, RunnerId, RunnerStart, ServiceName, Unit, Zone};
use flaxward_routing::placement::{
    Action, OrderAnswer, Placement, PlacementSettings, RunnerReport,
};
use flaxward_routing::runners::{Holdings, Runner, RunnerHoldings, RunnerTable};
use flaxward_routing::strength::MachineStrength;
use flaxward_types::time::Timestamp;

const SOME_START: u64 = 1_764_633_600_000;

fn incarnation(name: &str, start: Option<u64>) -> RunnerId {
    match start {
        Some(start) => RunnerId::with_start(name, RunnerStart::from_millis(start).unwrap()),
        None => RunnerId::new(name),
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn runner(id: RunnerId, revision: u64) -> Runner {
    Runner {
        id,
        revision,
        service: ServiceName::new("pool"),
        software_version: None,
        address: address(9),
        zone: Zone::new("z"),
        slots: 8,
        draining: false,
        leaves_in: None,
        cold_for: Duration::ZERO,
        holdings: Holdings::new(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

fn unit() -> Unit {
    Unit {
        service: ServiceName::new("pool"),
        model: ModelName::new("m"),
        adapter: None,
    }
}

fn loaded() -> Holdings {
    [(ModelName::new("m"), BTreeSet::new())].into()
}

fn ids(table: &RunnerTable) -> Vec<RunnerId> {
    table.iter().map(|runner| runner.id.clone()).collect()
}

#[test]
fn incarnations_of_a_name_are_distinct() {
    let incarnations = [
        incarnation("r", None),
        incarnation("r", Some(0)),
        incarnation("r", Some(1)),
        incarnation("s", Some(1)),
    ];
    for (index, one) in incarnations.iter().enumerate() {
        for (other_index, other) in incarnations.iter().enumerate() {
            assert_eq!(one == other, index == other_index);
        }
    }
    assert!(
        incarnations
            .iter()
            .take(3)
            .all(|incarnation| incarnation.as_str() == "r")
    );
    assert_eq!(RunnerStart::from_millis(u64::MAX), None);
    assert_eq!(incarnation("r", Some(5)).to_string(), "r@5");
}

#[test]
fn a_start_time_takes_few_bytes() {
    let length = |id: &RunnerId| postcard::to_allocvec(id).unwrap().len();
    let name = 1 + "i-7f3a91c2".len();
    assert_eq!(length(&incarnation("i-7f3a91c2", None)), name + 1);
    assert_eq!(
        length(&incarnation("i-7f3a91c2", Some(SOME_START))),
        name + 6
    );
    for id in [
        incarnation("r", None),
        incarnation("r", Some(0)),
        incarnation("r", Some(SOME_START)),
    ] {
        let bytes = postcard::to_allocvec(&id).unwrap();
        assert_eq!(postcard::from_bytes::<RunnerId>(&bytes).unwrap(), id);
    }
}

#[test]
fn updates_with_start_times_fit_a_datagram() {
    let mut coordinator = RunnerTable::default();
    coordinator.replace(Vec::new(), 1);
    for index in 0..60 {
        let revision = 1_000_000 + index;
        let id = incarnation(&format!("i-{index:010x}"), Some(SOME_START + index));
        coordinator.insert(runner(id, revision), revision);
    }
    coordinator.set_revision(2_000_000);
    let updates = coordinator.updates_after(1).unwrap();
    assert_eq!(updates.len(), 3);
    for update in updates {
        assert!(postcard::to_allocvec(&update).unwrap().len() < 1_400);
    }
}

/// Of two entries with one name, the one with the higher revision wins, then the one with the later start, in whichever
/// order they arrive.
#[test]
fn one_incarnation_of_a_name_is_kept() {
    let cases = [
        // The store revision decides, even if the runner's clock was set back.
        ((Some(5), 3), (Some(9), 7), 1),
        ((Some(9), 3), (Some(5), 7), 1),
        ((None, 3), (Some(5), 7), 1),
        ((Some(5), 3), (None, 7), 1),
        // Otherwise the later start decides; no start time counts as the earliest.
        ((Some(5), 4), (Some(9), 4), 1),
        ((None, 4), (Some(5), 4), 1),
        ((Some(5), 0), (Some(9), 0), 1),
    ];
    for (first, second, winner) in cases {
        let incarnations =
            [first, second].map(|(start, revision)| runner(incarnation("r", start), revision));
        for order in [[0, 1], [1, 0]] {
            let mut table = RunnerTable::default();
            for index in order {
                table.insert(incarnations[index].clone(), 10);
            }
            assert_eq!(
                ids(&table),
                [incarnations[winner].id.clone()],
                "{first:?} {second:?} {order:?}"
            );
            assert!(table.get(&incarnations[1 - winner].id).is_none());
        }
    }
}

#[test]
fn state_of_an_earlier_incarnation_does_not_apply() {
    let now = Timestamp::ZERO + Duration::from_secs(60);
    let (first, second) = (incarnation("r", Some(5)), incarnation("r", Some(9)));
    let mut table = RunnerTable::default();
    let with_model = Runner {
        holdings: loaded(),
        ..runner(first.clone(), 1)
    };
    table.replace(vec![with_model], 1);
    let reported = |id: &RunnerId| RunnerHoldings {
        runner: id.clone(),
        holdings: vec![(ModelName::new("m"), Vec::new())],
    };
    table.record_holdings(reported(&first), now);
    assert!(table.holds(table.get(&first).unwrap(), &unit(), now));

    table.insert(runner(second.clone(), 2), 2);
    // Holdings reported for the first incarnation may arrive late.
    table.record_holdings(reported(&first), now);
    table.confirm_holdings(now);
    assert!(!table.holds(table.get(&second).unwrap(), &unit(), now));

    let mut health = HealthTable::default();
    health.observe(&first, Observation::Unreachable, now);
    assert!(health.is_ejected(&first, now) && !health.is_ejected(&second, now));
    health.retain(|id| table.get(id).is_some());
    assert!(!health.is_ejected(&first, now));

    // A refusal affects only the incarnation that it was recorded for.
    table.record_holdings(reported(&second), now);
    table.record_absent_unit(&first, &unit(), now);
    assert!(table.holds(table.get(&second).unwrap(), &unit(), now));
}

#[test]
fn removal_applies_to_any_incarnation() {
    let mut table = RunnerTable::default();
    table.insert(runner(incarnation("r", Some(5)), 1), 1);
    table.remove(incarnation("r", Some(9)).name(), 2);
    assert_eq!(ids(&table), []);
    table.insert(runner(incarnation("r", Some(9)), 1), 1);
    assert_eq!(
        ids(&table),
        [],
        "an entry with an older revision brought an incarnation back"
    );
}

/// A new incarnation and a new address are sent to members like any other change.
#[test]
fn members_receive_new_incarnations_and_addresses() {
    let mut coordinator = RunnerTable::default();
    let first = runner(incarnation("r", Some(5)), 1);
    coordinator.replace(vec![first.clone()], 1);
    let mut member = RunnerTable::default();
    member.replace(vec![first.clone()], 1);
    let restarted = runner(incarnation("r", Some(9)), 2);
    let moved = Runner {
        address: address(10),
        revision: 3,
        ..restarted.clone()
    };
    for (next, revision) in [(restarted, 2), (moved, 3)] {
        coordinator.insert(next.clone(), revision);
        coordinator.set_revision(revision);
        assert_ne!(coordinator.digest(), 0);
        for update in coordinator.updates_after(member.revision()).unwrap() {
            assert_eq!(member.update(update), Some(vec![next.id.clone()]));
        }
        let known = member.get(&next.id).unwrap();
        assert_eq!((known.address, &known.id), (next.address, &next.id));
    }
    let mut other = RunnerTable::default();
    other.replace(vec![first], 1);
    assert_ne!(other.digest(), coordinator.digest());
}

/// All changes from one watch response are applied at the revision up to which it reports. A member that is updated between
/// the removal of a runner and the addition of its next incarnation, both from one response, must still receive the
/// addition.
#[test]
fn an_incarnation_added_in_the_watch_that_removes_another_is_sent() {
    let mut coordinator = RunnerTable::default();
    let first = runner(incarnation("r", Some(5)), 1);
    coordinator.replace(vec![first.clone()], 50);
    let mut member = RunnerTable::default();
    member.replace(vec![first.clone()], 50);
    coordinator.remove(&first.id, 100);
    for update in coordinator.updates_after(50).unwrap() {
        member.update(update).unwrap();
    }
    let second = runner(incarnation("r", Some(9)), 80);
    coordinator.insert(second.clone(), 100);
    coordinator.set_revision(100);
    for update in coordinator.updates_after(member.revision()).unwrap() {
        member.update(update).unwrap();
    }
    assert_eq!(ids(&member), [second.id]);
}

/// A list older than the known revision must not bring back a runner that was removed unnoticed in between.
#[test]
fn an_outdated_list_restores_no_removed_runner() {
    let mut table = RunnerTable::default();
    table.replace(vec![runner(incarnation("r0", Some(5)), 1)], 8);
    table.replace(
        vec![
            runner(incarnation("r0", Some(5)), 1),
            runner(incarnation("r1", Some(5)), 2),
        ],
        4,
    );
    assert_eq!(ids(&table), [incarnation("r0", Some(5))]);
}

// Placement by the coordinator.

const NOW: Timestamp = Timestamp(100_000);

fn placement(runners: &[Runner]) -> Placement {
    let model = ModelSpecification {
        weights_mb: 1.0,
        adapter_mb: 0.0,
        store_load: Duration::from_millis(200),
        disk_load: Duration::from_millis(200),
        memory_load: Duration::from_millis(200),
    };
    let engine = Engine {
        slots: 8,
        weights_mb: 4.0,
        adapter_slots: 2,
        loads_per_second: 10.0,
        models: ["m", "n"]
            .map(|name| (ModelName::new(name), model.clone()))
            .into(),
    };
    let service = Service {
        name: ServiceName::new("pool"),
        max_connections: 100,
        engine: Some(engine),
        cold_start: None,
    };
    let configuration = Configuration::new(1, ClientLimits::default(), Vec::new(), vec![service]);
    let mut placement = Placement::new(
        PlacementSettings::default(),
        Timestamp::ZERO,
        Timestamp::ZERO,
    );
    placement.configure(&configuration);
    placement.set_runners(runners.iter());
    placement
}

fn report(start: Option<u64>, order_count: u64, holdings: Holdings) -> RunnerReport {
    RunnerReport {
        start: start.and_then(RunnerStart::from_millis),
        order_count,
        holdings,
        ..RunnerReport::default()
    }
}

fn wait_for(placement: &mut Placement, model: &str, now: Timestamp) {
    let usage = Usage {
        from: "d".to_owned(),
        address: address(7),
        zone: Zone::new("z"),
        strength: MachineStrength::default(),
        is_stopping: false,
        known: KnownState::default(),
        waiting: vec![WaitingUnit {
            requirement: Requirement::anywhere(Unit {
                model: ModelName::new(model),
                ..unit()
            }),
            requests: 1,
            late: 0,
            priority: 0,
        }],
        used: Vec::new(),
        running: Vec::new(),
    };
    placement.update_usage(usage, now);
}

fn orders(actions: &[Action]) -> Vec<(RunnerId, u64)> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Order {
            runner,
            expected_count,
            ..
        } => Some((runner.clone(), *expected_count)),
        Action::Report { .. } => None,
    });
    orders.collect()
}

fn reports(actions: &[Action]) -> usize {
    let is_report = |action: &&Action| matches!(action, Action::Report { .. });
    actions.iter().filter(is_report).count()
}

#[test]
fn a_report_of_another_incarnation_is_ignored() {
    for other in [None, Some(9)] {
        let known = runner(incarnation("r", Some(5)), 1);
        let mut placement = placement(std::slice::from_ref(&known));
        assert_eq!(reports(&placement.plan(NOW)), 1);
        let foreign = report(other, 3, loaded());
        assert_eq!(
            placement.apply_report(&known.id, Some(foreign), NOW, NOW),
            None
        );
        assert_eq!(placement.announced().count(), 0);
        // The runner is asked again, as if no report had arrived.
        assert_eq!(reports(&placement.plan(NOW + Duration::from_secs(1))), 1);
        let own = report(Some(5), 3, loaded());
        placement.apply_report(&known.id, Some(own), NOW, NOW);
        assert_eq!(placement.announced().count(), 1);
    }
}

/// An order to the first incarnation is in flight when the second one starts. Its answer is ignored, and the second gets
/// no order before its own report has provided its order count.
#[test]
fn an_order_to_an_earlier_incarnation_does_not_affect_the_next() {
    let first = runner(incarnation("r", Some(5)), 1);
    let second = runner(incarnation("r", Some(9)), 2);
    for answer in [
        OrderAnswer::Accepted,
        OrderAnswer::Conflict,
        OrderAnswer::Unknown,
        OrderAnswer::Invalid,
    ] {
        let mut placement = placement(std::slice::from_ref(&first));
        placement.plan(NOW);
        placement.apply_report(&first.id, Some(report(Some(5), 3, loaded())), NOW, NOW);
        wait_for(&mut placement, "n", NOW);
        assert_eq!(orders(&placement.plan(NOW)), [(first.id.clone(), 3)]);

        placement.set_runners([&second].into_iter());
        placement.apply_answer(&first.id, answer, NOW);
        assert_eq!(placement.announced().count(), 0, "{answer:?}");
        let later = NOW + Duration::from_millis(50);
        let actions = placement.plan(later);
        assert_eq!(
            (orders(&actions).len(), reports(&actions)),
            (0, 1),
            "{answer:?}"
        );
        // A report of the first incarnation that was in flight does not apply to the second.
        placement.apply_report(&first.id, Some(report(Some(5), 4, loaded())), NOW, later);
        assert_eq!(placement.announced().count(), 0, "{answer:?}");
        placement.apply_report(
            &second.id,
            Some(report(Some(9), 0, Holdings::new())),
            later,
            later,
        );
        assert_eq!(
            orders(&placement.plan(later)),
            [(second.id.clone(), 0)],
            "{answer:?}"
        );
    }
}
