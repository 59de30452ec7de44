//! The end of an outage of the store: what a request without a slot is told when it is known that
//! the store answers again.

use flaxward_control::coordinator::Weakness;
use flaxward_types::routing::Outlook;
use flaxward_types::{DaemonName, ResultCode};

use crate::support::models::{Rules, artifact};
use crate::support::schedule::Fault;
use crate::support::world::World;

/// By then every zone has a coordinator and every model its home.
const SETTLED: u64 = 10_000;
/// Many times as long as a lease holds.
const OUTAGE: u64 = 20_000;
const LONG: u64 = 100_000;
/// Time in which a model is loaded once the store answers, with the slot of its old version.
const WAKE: u64 = 6_000;
/// Time in which a coordinator must know that the store does not answer it after all.
const CERTAINTY: u64 = 3_500;
/// Seeds; each has other latencies and so other moments at which the lease is tried again.
const SEEDS: u64 = 12;
/// Without a slot until a configuration names it.
const WITHOUT_SLOT: &str = "three@v2";

/// How the store fails.
type StoreFault = fn(&mut World);

const STORE_FAULTS: &[(&str, StoreFault)] = &[
    ("down", |world| {
        world.inject(Fault::StoreDown { millis: OUTAGE });
    }),
    ("silent", |world| {
        world.store_silent_until = world.now + OUTAGE;
    }),
];

fn gateway() -> DaemonName {
    DaemonName::literal("alpha-gateway")
}

fn told(world: &World) -> Option<Outlook> {
    world.gateways[&gateway()].1[&artifact(WITHOUT_SLOT)]
        .outlook
        .clone()
}

fn is_refused(outlook: Option<&Outlook>) -> bool {
    matches!(outlook, Some(Outlook::Refused { .. }))
}

/// A settled world at the end of an outage of the store, in which the artifact was refused.
fn refused_in_outage(seed: u64, fault: StoreFault) -> World {
    let mut world = World::new(seed, Weakness::None);
    world.run_until(SETTLED);
    fault(&mut world);
    world.run_until(SETTLED + OUTAGE - 1_000);
    world.demand(&gateway(), &artifact(WITHOUT_SLOT), 300);
    world.run_until(SETTLED + OUTAGE - 750);
    let outlook = told(&world);
    let refused = matches!(&outlook, Some(Outlook::Refused { code, .. })
        if *code == ResultCode::NoSlotInOutage);
    assert!(refused, "seed {seed}: {outlook:?}");
    world
}

/// A configuration that was written after the outage began is in force.
fn news(world: &mut World) {
    world.set_rules(Rules {
        second_of_three_serves: true,
        ..world.rules
    });
}

#[test]
fn a_request_waits_once_a_new_configuration_shows_that_the_store_answers_again() {
    for (name, fault) in STORE_FAULTS {
        for seed in 0..SEEDS {
            let mut world = refused_in_outage(seed, *fault);
            world.run_until(SETTLED + OUTAGE);
            news(&mut world);
            world.demand(&gateway(), &artifact(WITHOUT_SLOT), LONG);
            let deadline = world.now + WAKE;
            while world.now < deadline {
                world.run_until(world.now + 5);
                let outlook = told(&world);
                let refused = is_refused(outlook.as_ref());
                assert!(
                    !refused,
                    "{name}, seed {seed}: {outlook:?} at {}",
                    world.now
                );
            }
            assert_eq!(told(&world), Some(Outlook::Ready), "{name}, seed {seed}");
            assert_eq!(world.violation, None, "{name}, seed {seed}");
        }
    }
}

/// The configuration came by way of another zone, while this one stays cut off from the store.
#[test]
fn a_zone_that_is_still_cut_off_refuses_soon_after_a_new_configuration() {
    for seed in 0..SEEDS {
        let mut world = refused_in_outage(seed, |world| {
            for daemon in [0, 1] {
                world.inject(Fault::CutFromStore {
                    daemon,
                    millis: LONG,
                });
            }
        });
        news(&mut world);
        world.demand(&gateway(), &artifact(WITHOUT_SLOT), LONG);
        world.run_until(world.now + CERTAINTY);
        let outlook = told(&world);
        assert!(is_refused(outlook.as_ref()), "seed {seed}: {outlook:?}");
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

/// The same when the store does not answer at all: the wait for certainty is bounded.
#[test]
fn a_store_that_stays_silent_is_given_up_on_soon_after_a_new_configuration() {
    for seed in 0..SEEDS {
        let mut world = refused_in_outage(seed, |world| {
            world.store_silent_until = world.now + LONG;
        });
        news(&mut world);
        world.demand(&gateway(), &artifact(WITHOUT_SLOT), LONG);
        world.run_until(world.now + CERTAINTY);
        let outlook = told(&world);
        assert!(is_refused(outlook.as_ref()), "seed {seed}: {outlook:?}");
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

/// A single lost answer leaves the lease in doubt for a moment; that is no outage.
#[test]
fn a_request_waits_while_only_the_lease_is_in_doubt() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, Weakness::None);
        world.run_until(SETTLED);
        news(&mut world);
        world.store_silent_until = world.now + 900;
        world.demand(&gateway(), &artifact(WITHOUT_SLOT), LONG);
        let deadline = world.now + WAKE;
        while world.now < deadline {
            world.run_until(world.now + 5);
            let outlook = told(&world);
            let refused = is_refused(outlook.as_ref());
            assert!(!refused, "seed {seed}: {outlook:?} at {}", world.now);
        }
        assert_eq!(told(&world), Some(Outlook::Ready), "seed {seed}");
        assert_eq!(world.violation, None, "seed {seed}");
    }
}
