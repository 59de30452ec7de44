//! The end of a store outage: answers to requests without a slot once a new configuration shows
//! that the store answers again.

use flaxward_control::coordinator::Weakness;
use flaxward_types::routing::Outlook;
use flaxward_types::{ArtifactId, DaemonName, ResultCode};

use crate::support::models::{Rules, artifact};
use crate::support::schedule::Fault;
use crate::support::simulation::Simulation;

/// Time by which every zone has a coordinator and every model has its slots.
const SETTLED_MILLIS: u64 = 10_000;
/// Several times the lease duration.
const OUTAGE_MILLIS: u64 = 20_000;
const LONG_MILLIS: u64 = 100_000;
/// Time within which a model is loaded into the slot of its old version once the store answers.
const LOAD_MILLIS: u64 = 6_000;
/// Time within which a coordinator must detect that the store still does not answer it.
const DETECTION_MILLIS: u64 = 3_500;
/// Number of seeds; each gives different latencies and thus different times of lease retries.
const SEEDS: u64 = 12;
/// An artifact that has no slot until a configuration makes it the serving version.
const WITHOUT_SLOT: &str = "three@v2";

/// Makes the store fail.
type InjectStoreFault = fn(&mut Simulation);

const STORE_FAULTS: &[(&str, InjectStoreFault)] = &[
    ("down", |simulation| {
        simulation.inject(Fault::StoreDown {
            millis: OUTAGE_MILLIS,
        });
    }),
    ("silent", |simulation| {
        simulation.store_silent_until = simulation.now + OUTAGE_MILLIS;
    }),
];

fn gateway() -> DaemonName {
    DaemonName::literal("alpha-gateway")
}

fn reported_outlook_of(simulation: &Simulation, artifact: &ArtifactId) -> Option<Outlook> {
    simulation.gateways[&gateway()].1[artifact].outlook.clone()
}

fn reported_outlook(simulation: &Simulation) -> Option<Outlook> {
    reported_outlook_of(simulation, &artifact(WITHOUT_SLOT))
}

fn is_refused(outlook: Option<&Outlook>) -> bool {
    matches!(outlook, Some(Outlook::Refused { .. }))
}

/// A settled simulation at the end of a store outage in which the artifact was refused.
fn refused_in_outage(seed: u64, fault: InjectStoreFault) -> Simulation {
    let mut simulation = Simulation::new(seed, Weakness::None);
    simulation.run_until(SETTLED_MILLIS);
    fault(&mut simulation);
    simulation.run_until(SETTLED_MILLIS + OUTAGE_MILLIS - 1_000);
    simulation.demand(&gateway(), &artifact(WITHOUT_SLOT), 300);
    simulation.run_until(SETTLED_MILLIS + OUTAGE_MILLIS - 750);
    let outlook = reported_outlook(&simulation);
    let refused = matches!(&outlook, Some(Outlook::Refused { code, .. })
        if *code == ResultCode::NoSlotInOutage);
    assert!(refused, "seed {seed}: {outlook:?}");
    simulation
}

/// Applies a configuration that was written after the outage began.
fn apply_new_configuration(simulation: &mut Simulation) {
    simulation.set_rules(Rules {
        three_v2_serves: true,
        ..simulation.rules
    });
}

#[test]
fn a_request_waits_once_a_new_configuration_shows_that_the_store_answers_again() {
    for (name, fault) in STORE_FAULTS {
        for seed in 0..SEEDS {
            let mut simulation = refused_in_outage(seed, *fault);
            simulation.run_until(SETTLED_MILLIS + OUTAGE_MILLIS);
            apply_new_configuration(&mut simulation);
            simulation.demand(&gateway(), &artifact(WITHOUT_SLOT), LONG_MILLIS);
            let deadline = simulation.now + LOAD_MILLIS;
            while simulation.now < deadline {
                simulation.run_until(simulation.now + 5);
                let outlook = reported_outlook(&simulation);
                let refused = is_refused(outlook.as_ref());
                assert!(
                    !refused,
                    "{name}, seed {seed}: {outlook:?} at {}",
                    simulation.now
                );
            }
            assert_eq!(
                reported_outlook(&simulation),
                Some(Outlook::Ready),
                "{name}, seed {seed}"
            );
            assert_eq!(simulation.violation, None, "{name}, seed {seed}");
        }
    }
}

/// The configuration arrived through another zone, while this one stays cut off from the store.
#[test]
fn a_zone_that_is_still_cut_off_refuses_soon_after_a_new_configuration() {
    for seed in 0..SEEDS {
        let mut simulation = refused_in_outage(seed, |simulation| {
            for daemon in [0, 1] {
                simulation.inject(Fault::CutFromStore {
                    daemon,
                    millis: LONG_MILLIS,
                });
            }
        });
        apply_new_configuration(&mut simulation);
        simulation.demand(&gateway(), &artifact(WITHOUT_SLOT), LONG_MILLIS);
        simulation.run_until(simulation.now + DETECTION_MILLIS);
        let outlook = reported_outlook(&simulation);
        assert!(is_refused(outlook.as_ref()), "seed {seed}: {outlook:?}");
        assert_eq!(simulation.violation, None, "seed {seed}");
    }
}

/// The store does not answer at all: the wait until its outage is detected is bounded.
#[test]
fn a_zone_whose_store_stays_silent_refuses_soon_after_a_new_configuration() {
    for seed in 0..SEEDS {
        let mut simulation = refused_in_outage(seed, |simulation| {
            simulation.store_silent_until = simulation.now + LONG_MILLIS;
        });
        apply_new_configuration(&mut simulation);
        simulation.demand(&gateway(), &artifact(WITHOUT_SLOT), LONG_MILLIS);
        simulation.run_until(simulation.now + DETECTION_MILLIS);
        let outlook = reported_outlook(&simulation);
        assert!(is_refused(outlook.as_ref()), "seed {seed}: {outlook:?}");
        assert_eq!(simulation.violation, None, "seed {seed}");
    }
}

/// The gateway's last demand was sent while its requests for the old version waited; they were
/// dispatched afterwards.
#[test]
fn a_replaced_old_version_is_not_loaded_again_for_requests_it_has_served() {
    let old = artifact("three@v1");
    let mut simulation = Simulation::new(0, Weakness::None);
    simulation.run_until(SETTLED_MILLIS);
    simulation.demand(&gateway(), &old, LONG_MILLIS);
    while reported_outlook_of(&simulation, &old) != Some(Outlook::Ready) {
        simulation.run_until(simulation.now + 5);
    }
    simulation.end_demand(&gateway(), &old);
    apply_new_configuration(&mut simulation);
    simulation.demand(&gateway(), &artifact(WITHOUT_SLOT), LONG_MILLIS);
    let deadline = simulation.now + LOAD_MILLIS;
    while simulation.now < deadline {
        simulation.run_until(simulation.now + 5);
        let outlook = reported_outlook(&simulation);
        assert!(
            !is_refused(outlook.as_ref()),
            "{outlook:?} at {}",
            simulation.now
        );
    }
    assert_eq!(reported_outlook(&simulation), Some(Outlook::Ready));
    assert_eq!(simulation.violation, None);
}

/// A single lost answer makes the lease uncertain for a short time; this must not count as an
/// outage.
#[test]
fn a_request_waits_while_only_the_lease_is_uncertain() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, Weakness::None);
        simulation.run_until(SETTLED_MILLIS);
        apply_new_configuration(&mut simulation);
        simulation.store_silent_until = simulation.now + 900;
        simulation.demand(&gateway(), &artifact(WITHOUT_SLOT), LONG_MILLIS);
        let deadline = simulation.now + LOAD_MILLIS;
        while simulation.now < deadline {
            simulation.run_until(simulation.now + 5);
            let outlook = reported_outlook(&simulation);
            let refused = is_refused(outlook.as_ref());
            assert!(!refused, "seed {seed}: {outlook:?} at {}", simulation.now);
        }
        assert_eq!(
            reported_outlook(&simulation),
            Some(Outlook::Ready),
            "seed {seed}"
        );
        assert_eq!(simulation.violation, None, "seed {seed}");
    }
}
