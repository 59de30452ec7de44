//! Scenarios of single faults in a zone.

use flaxward_control::coordinator::{CoordinatorAction, Weakness};
use flaxward_types::engine::{Order, OrderAction};
use flaxward_types::records::{Quota, QuotaSubject, Slot};
use flaxward_types::routing::Outlook;
use flaxward_types::{DaemonName, ModelName, OrderId, ResultCode, RunnerName, Term, ZoneName};

use crate::support::models::{Rules, artifact};
use crate::support::schedule::Fault;
use crate::support::simulation::{GIGABYTE, Simulation};

/// Time by which every zone has a coordinator and every model has its slots.
const SETTLED_MILLIS: u64 = 10_000;
const LONG_MILLIS: u64 = 100_000;
const SEED: u64 = 11;

/// Indices of the artifacts `three@v1`, which only the zone alpha may load, and `four@v2`, which
/// has no slot; of the gateway of alpha; and of the first daemon of alpha.
const THREE_V1: u8 = 2;
const FOUR_V2: u8 = 4;
const ALPHA_GATEWAY: u8 = 0;
const FIRST_DAEMON: u8 = 0;

fn settled_simulation(seed: u64, weakness: Weakness) -> Simulation {
    let mut simulation = Simulation::new(seed, weakness);
    simulation.run_until(SETTLED_MILLIS);
    simulation
}

fn demand_in_alpha(simulation: &mut Simulation, number: u8) {
    simulation.inject(Fault::Demand {
        gateway: ALPHA_GATEWAY,
        artifact: number,
        millis: LONG_MILLIS,
    });
}

fn alpha_gateway() -> DaemonName {
    DaemonName::literal("alpha-gateway")
}

/// The last answer for an artifact that the gateway of alpha received.
fn reported_answer(simulation: &Simulation, name: &str) -> (Option<Outlook>, Vec<RunnerName>) {
    let demand = &simulation.gateways[&alpha_gateway()].1[&artifact(name)];
    (demand.outlook.clone(), demand.ready.clone())
}

/// The zone and slot of an artifact.
fn slot_of(simulation: &Simulation, name: &str) -> (ZoneName, Slot) {
    let zones = ["alpha", "beta", "gamma"].map(ZoneName::literal);
    let find = |zone: ZoneName| {
        let mut slots = simulation.store.placement(&zone)?.slots.iter();
        let slot = slots.find(|slot| slot.artifact == artifact(name))?;
        Some((zone, slot.clone()))
    };
    zones.into_iter().find_map(find).expect("a home")
}

/// The index of the runner on which an artifact has its slot.
fn home_runner(simulation: &Simulation, name: &str) -> u8 {
    let (_, slot) = slot_of(simulation, name);
    let number = simulation
        .engines
        .keys()
        .position(|name| *name == slot.runner);
    u8::try_from(number.expect("a known runner")).expect("few runners")
}

fn others_in_alpha(home: u8) -> impl Iterator<Item = u8> {
    (0..3).filter(move |number| *number != home)
}

/// A name; the faults, given the index of the model's home runner; the index and the name of the
/// artifact that is demanded and the delay before the demand; and the answer that the gateway must
/// receive and within which time.
type Case = (
    &'static str,
    fn(u8) -> Vec<Fault>,
    u8,
    &'static str,
    u64,
    fn(&Outlook) -> bool,
    u64,
);

fn is_ready(outlook: &Outlook) -> bool {
    *outlook == Outlook::Ready
}

fn is_refused(outlook: &Outlook, expected: ResultCode) -> bool {
    matches!(outlook, Outlook::Refused { code, .. } if *code == expected)
}

const CASES: &[Case] = &[
    (
        "nothing fails",
        |_| vec![],
        THREE_V1,
        "three@v1",
        0,
        is_ready,
        3_500,
    ),
    (
        "the store has just failed",
        |_| {
            vec![Fault::StoreDown {
                millis: LONG_MILLIS,
            }]
        },
        THREE_V1,
        "three@v1",
        500,
        is_ready,
        3_500,
    ),
    (
        "the store has failed for longer than the lease duration",
        |_| {
            vec![Fault::StoreDown {
                millis: LONG_MILLIS,
            }]
        },
        THREE_V1,
        "three@v1",
        20_000,
        is_ready,
        3_500,
    ),
    (
        "the store has failed and the model has no slot",
        |_| {
            vec![Fault::StoreDown {
                millis: LONG_MILLIS,
            }]
        },
        FOUR_V2,
        "four@v2",
        20_000,
        |outlook| is_refused(outlook, ResultCode::NoSlotInOutage),
        500,
    ),
    (
        "the store has failed and the home runner restarts",
        |home| {
            vec![
                Fault::StoreDown {
                    millis: LONG_MILLIS,
                },
                Fault::Reboot { runner: home },
            ]
        },
        THREE_V1,
        "three@v1",
        10_000,
        |outlook| is_refused(outlook, ResultCode::NoSlotInOutage),
        500,
    ),
    (
        "the lease holder crashes",
        |_| {
            vec![Fault::Kill {
                daemon: FIRST_DAEMON,
            }]
        },
        THREE_V1,
        "three@v1",
        100,
        is_ready,
        9_000,
    ),
    (
        "the lease holder stalls",
        |_| {
            vec![Fault::Pause {
                daemon: FIRST_DAEMON,
                millis: LONG_MILLIS,
            }]
        },
        THREE_V1,
        "three@v1",
        100,
        is_ready,
        10_000,
    ),
    (
        "the lease holder stops gracefully",
        |_| {
            vec![Fault::Stop {
                daemon: FIRST_DAEMON,
            }]
        },
        THREE_V1,
        "three@v1",
        100,
        is_ready,
        5_500,
    ),
    (
        "the home runner is reclaimed without notice",
        |home| vec![Fault::Reclaim { runner: home }],
        THREE_V1,
        "three@v1",
        100,
        is_ready,
        12_000,
    ),
    (
        "loads fail on the home runner",
        |home| {
            vec![Fault::FailLoads {
                runner: home,
                count: 1,
            }]
        },
        THREE_V1,
        "three@v1",
        100,
        is_ready,
        8_000,
    ),
    (
        "loads fail everywhere",
        |_| {
            let failing = |runner| Fault::FailLoads { runner, count: 200 };
            (0..3).map(failing).collect()
        },
        THREE_V1,
        "three@v1",
        100,
        |outlook| is_refused(outlook, ResultCode::LoadFailed),
        12_000,
    ),
];

#[test]
fn a_zone_answers_as_expected_under_each_fault() {
    for (name, faults, number, wanted, after, expected, timeout) in CASES {
        let mut simulation = settled_simulation(SEED, Weakness::None);
        let home = home_runner(&simulation, "three@v1");
        for fault in faults(home) {
            simulation.inject(fault);
        }
        simulation.run_until(SETTLED_MILLIS + after);
        demand_in_alpha(&mut simulation, *number);
        let deadline = simulation.now + timeout;
        let mut outlook = None;
        while !outlook.as_ref().is_some_and(expected) && simulation.now < deadline {
            simulation.run_until(simulation.now + 100);
            outlook = reported_answer(&simulation, wanted).0;
        }
        assert_eq!(simulation.violation, None, "{}", name);
        let as_expected = outlook.as_ref().is_some_and(expected);
        assert!(as_expected, "{}: {outlook:?}", name);
    }
}

/// Only one zone has the quota unit of the model `one`, and thus its slot.
#[test]
fn in_an_outage_a_zone_without_a_quota_unit_redirects_to_the_zone_that_has_it() {
    let mut simulation = settled_simulation(SEED, Weakness::None);
    simulation.inject(Fault::StoreDown {
        millis: LONG_MILLIS,
    });
    simulation.run_until(simulation.now + 20_000);
    let gateways: Vec<DaemonName> = simulation.gateways.keys().cloned().collect();
    for gateway in &gateways {
        simulation.demand(gateway, &artifact("one@v1"), LONG_MILLIS);
    }
    simulation.run_until(simulation.now + 5_000);
    for gateway in &gateways {
        let outlook = &simulation.gateways[gateway].1[&artifact("one@v1")].outlook;
        assert_eq!(*outlook, Some(Outlook::Ready), "{gateway}");
    }
    assert_eq!(simulation.violation, None);
}

/// The model may have one copy, and the demand for its old version has not expired yet.
#[test]
fn a_new_version_takes_over_the_unit_of_an_old_version_without_waiting_requests() {
    let mut simulation = settled_simulation(SEED, Weakness::None);
    let (old, new) = (artifact("three@v1"), artifact("three@v2"));
    simulation.demand(&alpha_gateway(), &old, LONG_MILLIS);
    simulation.run_until(simulation.now + 5_000);
    assert_eq!(
        reported_answer(&simulation, "three@v1").0,
        Some(Outlook::Ready)
    );
    simulation.end_demand(&alpha_gateway(), &old);
    simulation.set_rules(Rules {
        three_v2_serves: true,
        ..Rules::default()
    });
    simulation.run_until(simulation.now + 100);
    simulation.demand(&alpha_gateway(), &new, LONG_MILLIS);
    for _ in 0..80 {
        simulation.run_until(simulation.now + 100);
        let (outlook, _) = reported_answer(&simulation, "three@v2");
        let refused = matches!(outlook, Some(Outlook::Refused { .. }));
        assert!(!refused, "{outlook:?}");
    }
    assert_eq!(
        reported_answer(&simulation, "three@v2").0,
        Some(Outlook::Ready)
    );
    assert_eq!(simulation.violation, None);
}

#[test]
fn a_replica_moves_off_a_leaving_runner() {
    let mut simulation = settled_simulation(SEED, Weakness::None);
    let home = home_runner(&simulation, "three@v1");
    demand_in_alpha(&mut simulation, THREE_V1);
    simulation.run_until(simulation.now + 5_000);
    let (_, before) = reported_answer(&simulation, "three@v1");
    assert_eq!(before.len(), 1);
    simulation.inject(Fault::Leave {
        runner: home,
        millis: LONG_MILLIS,
    });
    simulation.run_until(simulation.now + 2_500);
    let (_, ready) = reported_answer(&simulation, "three@v1");
    assert_ne!(ready, before, "the leaving runner still receives requests");
    simulation.run_until(simulation.now + 8_000);
    let (outlook, after) = reported_answer(&simulation, "three@v1");
    assert_eq!(outlook, Some(Outlook::Ready));
    assert_ne!(after, before);
    assert_eq!(simulation.violation, None);
}

#[test]
fn lowering_the_copy_limit_unloads_and_raising_it_allows_loads_again() {
    let mut simulation = settled_simulation(SEED, Weakness::None);
    let subject = QuotaSubject::Model(ModelName::literal("two"));
    let gateways: Vec<DaemonName> = simulation.gateways.keys().cloned().collect();
    for gateway in &gateways {
        simulation.demand(gateway, &artifact("two@v1"), 10 * LONG_MILLIS);
    }
    for copies_of_two in [2, 1, 0, 2] {
        let rules = Rules {
            copies_of_two,
            ..simulation.rules
        };
        simulation.set_rules(rules);
        simulation.run_until(simulation.now + 20_000);
        let quota = simulation.store.quota(&subject).expect("a quota").1;
        assert_eq!(simulation.violation, None);
        let units = quota.units.values().sum::<u32>();
        assert_eq!(units, copies_of_two, "{quota:?}");
        let replicas = simulation.replicas(&subject);
        let allowed = copies_of_two.min(1) as usize..=copies_of_two as usize;
        assert!(
            allowed.contains(&replicas),
            "{replicas} replicas, {quota:?}"
        );
    }
}

#[test]
fn removing_a_model_unloads_its_adapters() {
    let mut simulation = settled_simulation(SEED, Weakness::None);
    simulation.demand(&alpha_gateway(), &artifact("one:a@v1"), LONG_MILLIS);
    simulation.run_until(simulation.now + 8_000);
    let model = QuotaSubject::Model(ModelName::literal("one"));
    assert_eq!(simulation.replicas(&model), 1);
    simulation.set_rules(Rules {
        has_one: false,
        ..simulation.rules
    });
    simulation.run_until(simulation.now + 15_000);
    assert_eq!(simulation.replicas(&model), 0);
    let (outlook, _) = reported_answer(&simulation, "one:a@v1");
    let refused = outlook.is_some_and(|outlook| is_refused(&outlook, ResultCode::UnknownModel));
    assert!(refused);
    assert_eq!(simulation.violation, None);
}

/// A lease holder is cut off from the store and paused, and its successor moves a model. Then the
/// model's former runner reboots while the others are unreachable, and the former holder resumes.
/// Without observers, it does not learn of its successor's term.
fn former_holder_resumes_after_a_reboot(seed: u64, weakness: Weakness) -> Option<String> {
    let mut simulation = Simulation::new(seed, weakness);
    simulation.has_observers = false;
    simulation.run_until(SETTLED_MILLIS);
    let home = home_runner(&simulation, "three@v1");
    simulation.inject(Fault::Pause {
        daemon: FIRST_DAEMON,
        millis: 20_000,
    });
    simulation.inject(Fault::CutFromStore {
        daemon: FIRST_DAEMON,
        millis: LONG_MILLIS,
    });
    simulation.run_until(SETTLED_MILLIS + 8_000);
    simulation.inject(Fault::FailLoads {
        runner: home,
        count: 1,
    });
    demand_in_alpha(&mut simulation, THREE_V1);
    simulation.run_until(SETTLED_MILLIS + 19_900);
    for runner in others_in_alpha(home) {
        simulation.inject(Fault::CutRunner {
            runner,
            millis: LONG_MILLIS,
        });
    }
    simulation.inject(Fault::Reboot { runner: home });
    simulation.run_until(SETTLED_MILLIS + 25_000);
    simulation.violation
}

#[test]
fn a_former_holder_cannot_seal_a_new_boot() {
    let seeds = || 0..30;
    let sound = seeds().find_map(|seed| former_holder_resumes_after_a_reboot(seed, Weakness::None));
    assert_eq!(sound, None);
    let weak = seeds()
        .find_map(|seed| former_holder_resumes_after_a_reboot(seed, Weakness::UnverifiedBoot));
    let violation = weak.expect("an unverified boot must be detected");
    assert!(violation.contains("without a slot"), "{violation}");
}

/// A former lease holder ordered a load. The order arrives after the model was removed from the
/// configuration and the successor has released the slot because of the runner's inventory.
fn former_holder_orders_a_load(weakness: Weakness) -> Option<String> {
    let mut simulation = settled_simulation(SEED, weakness);
    let (zone, slot) = slot_of(&simulation, "one@v1");
    let order = Order {
        id: OrderId(1),
        term: Term(1),
        boot: simulation.engines[&slot.runner].boot,
        action: OrderAction::Load {
            artifact: slot.artifact,
            checkpoint: "weights".to_owned(),
            bytes: GIGABYTE,
        },
    };
    let daemon = format!("{zone}-daemon-0");
    simulation.send_delayed_order(&daemon, slot.runner, order, SETTLED_MILLIS + 12_000);
    for daemon in [0, 2, 4] {
        simulation.inject(Fault::Kill { daemon });
    }
    simulation.run_until(SETTLED_MILLIS + 4_000);
    simulation.set_rules(Rules {
        has_one: false,
        ..simulation.rules
    });
    simulation.run_until(SETTLED_MILLIS + 13_000);
    simulation.violation
}

#[test]
fn a_former_holder_cannot_load_without_a_slot() {
    assert_eq!(former_holder_orders_a_load(Weakness::None), None);
    let violation = former_holder_orders_a_load(Weakness::NoSeal);
    let violation = violation.expect("an order to an unsealed runner must be detected");
    assert!(violation.contains("without a slot"), "{violation}");
}

/// A former lease holder transferred a unit that had no slot yet. The write arrives after its
/// successor has recorded a slot.
fn former_holder_transfers_a_unit(weakness: Weakness) -> Option<String> {
    let mut simulation = Simulation::new(SEED, weakness);
    let alpha = ZoneName::literal("alpha");
    let subject = QuotaSubject::Model(ModelName::literal("three"));
    while simulation.store.quota(&subject).is_none() {
        simulation.run_until(simulation.now + 1);
    }
    let (revision, quota) = simulation.store.quota(&subject).expect("a quota");
    let transferred = Quota {
        units: [(ZoneName::literal("beta"), 1)].into(),
        ..quota
    };
    assert!(simulation.store.placement(&alpha).is_none_or(|placement| {
        placement
            .slots
            .iter()
            .all(|slot| slot.artifact != artifact("three@v1"))
    }));
    simulation.inject(Fault::Kill {
        daemon: FIRST_DAEMON,
    });
    let write = CoordinatorAction::WriteQuota(Some(revision), transferred);
    simulation.send_delayed_operation("alpha-daemon-0", write, simulation.now + 9_000);
    simulation.run_until(simulation.now + 5_000);
    demand_in_alpha(&mut simulation, THREE_V1);
    simulation.run_until(simulation.now + 10_000);
    simulation.violation
}

#[test]
fn a_former_holder_cannot_transfer_units_that_are_in_use() {
    assert_eq!(former_holder_transfers_a_unit(Weakness::None), None);
    let violation = former_holder_transfers_a_unit(Weakness::UnclaimedQuota);
    assert!(violation.is_some(), "an unclaimed quota must be detected");
}
