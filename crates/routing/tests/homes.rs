//! Tests of runner selection and splits for requests with home regions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::availability::Availability;
use flaxward_routing::balance::{NoRunner, SelectionContext, SelectionCriteria, choose};
use flaxward_routing::cold::periods::ColdPeriods;
use flaxward_routing::configuration::{Route, RouteKind, WeightedService};
use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::health::{HealthTable, Observation};
use flaxward_routing::homes::Homes;
use flaxward_routing::locality::{Locality, Regions};
use flaxward_routing::names::{ModelName, Region, RouteName, RunnerId, ServiceName, Unit, Zone};
use flaxward_routing::notices::Notices;
use flaxward_routing::runners::{Runner, RunnerTable};
use flaxward_routing::split::SplitChooser;
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Zones with their regions; the region of the last zone is unknown.
const ZONES: [(&str, Option<&str>); 5] = [
    ("w1", Some("west")),
    ("w2", Some("west")),
    ("e1", Some("east")),
    ("n1", Some("north")),
    ("u1", None),
];

fn regions() -> Regions {
    let known = ZONES.iter().filter_map(|(zone, region)| {
        let region = (*region)?;
        Some((Zone::new(zone), Region::new(region)))
    });
    known.collect()
}

fn homes(names: &[&str]) -> Homes {
    Homes::from_regions(names.iter().map(|name| Region::new(name)))
}

fn unit() -> Unit {
    Unit {
        service: ServiceName::new("pool"),
        model: ModelName::new("m"),
        adapter: None,
    }
}

fn runner(id: &str, zone: &str, holds: bool) -> Runner {
    let models = holds.then(|| (ModelName::new("m"), BTreeSet::new()));
    Runner {
        id: RunnerId::new(id),
        revision: 1,
        service: ServiceName::new("pool"),
        software_version: None,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Zone::new(zone),
        slots: 8,
        draining: false,
        leaves_in: None,
        cold_for: Duration::ZERO,
        holdings: models.into_iter().collect::<BTreeMap<_, _>>(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

fn chosen(runners: Vec<Runner>, homes: &Homes, tried: &[RunnerId]) -> Result<String, NoRunner> {
    let mut table = RunnerTable::default();
    table.replace(runners, 1);
    let context = SelectionContext {
        availability: Availability {
            runners: &table,
            evacuations: &Evacuations::default(),
            notices: &Notices::default(),
            locality: &Locality::new(Zone::new("w1"), regions()),
        },
        spells: &ColdPeriods::default(),
        health: &HealthTable::default(),
        in_flight: &HashMap::new(),
        loads: &HashMap::new(),
        daemons: 1,
        random: 3,
        now: Timestamp(1_000),
    };
    let (service, unit) = (ServiceName::new("pool"), unit());
    let criteria = SelectionCriteria {
        service: &service,
        unit: Some(&unit),
        affinity: Some(7),
        homes,
        software_version: None,
        tried,
        permit_waits: &[],
    };
    choose(&context, &criteria).map(|runner| runner.id.to_string())
}

#[test]
fn homes_of_the_route_and_the_tenant_are_intersected() {
    let none = Homes::Anywhere;
    let cases = [
        (&[][..], &[][..], none.clone()),
        (&["east"], &[], homes(&["east"])),
        (&[], &["east"], homes(&["east"])),
        (&["east", "west"], &["north", "west"], homes(&["west"])),
    ];
    for (route, tenant, both) in cases {
        assert_eq!(
            homes(route).intersection(&homes(tenant)),
            both,
            "{route:?} {tenant:?}"
        );
    }
    let disjoint = homes(&["east"]).intersection(&homes(&["west"]));
    assert!(disjoint.is_empty() && !none.is_empty());
    assert!(!disjoint.allows(Some(&Region::new("east"))));
    assert!(
        disjoint.intersection(&none).is_empty(),
        "nowhere is not anywhere"
    );
}

#[test]
fn a_zone_of_unknown_region_is_not_in_a_home_region() {
    let regions = regions();
    assert!(regions.allow(&Homes::Anywhere, &Zone::new("u1")));
    assert!(!regions.allow(&homes(&["west"]), &Zone::new("u1")));
    assert!(!regions.allow(&homes(&["west"]), &Zone::new("never-heard-of")));
    assert!(regions.allow(&homes(&["west"]), &Zone::new("w2")));
}

#[test]
fn only_runners_in_home_regions_are_selected_and_the_reason_for_none_is_reported() {
    let runners = || {
        vec![
            runner("near", "w1", true),
            runner("far", "e1", true),
            runner("empty", "n1", false),
            runner("unknown", "u1", true),
        ]
    };
    let near = RunnerId::new("near");
    let far = RunnerId::new("far");
    assert_eq!(chosen(runners(), &Homes::Anywhere, &[]).unwrap(), "near");
    assert_eq!(chosen(runners(), &homes(&["east"]), &[]).unwrap(), "far");
    // A retry stays within the home regions as well.
    let again = chosen(runners(), &homes(&["east"]), std::slice::from_ref(&far));
    assert_eq!(again, Err(NoRunner::AllTried));
    let either = homes(&["east", "west"]);
    assert_eq!(chosen(runners(), &either, &[near]).unwrap(), "far");
    // A unit that is loaded only outside the home regions counts as not loaded.
    let unloaded = chosen(runners(), &homes(&["north"]), &[]);
    assert_eq!(unloaded, Err(NoRunner::NotLoaded));
    let nobody = chosen(runners(), &homes(&["south"]), &[]);
    assert_eq!(nobody, Err(NoRunner::NoneAtHome));
    let nowhere = homes(&["east"]).intersection(&homes(&["west"]));
    assert_eq!(chosen(runners(), &nowhere, &[]), Err(NoRunner::NoneAtHome));
    let empty = chosen(Vec::new(), &homes(&["west"]), &[]);
    assert_eq!(empty, Err(NoRunner::NoneOfService));
}

fn split() -> Route {
    let part = |(name, weight): (&str, u32)| WeightedService {
        service: ServiceName::new(name),
        weight,
    };
    Route {
        name: RouteName::new("r"),
        host: "a.example".to_owned(),
        prefix: "/s/".to_owned(),
        kind: RouteKind::Repeatable,
        timeout: Duration::from_secs(1),
        target: Duration::from_secs(1),
        event_gap: Duration::ZERO,
        priority: 0,
        services: [("old", 90), ("new", 10)].map(part).to_vec(),
        max_attempts: 2,
        is_generation: false,
        is_public: false,
        homes: Homes::Anywhere,
    }
}

/// A part of a split may have no runner in the home regions of a request while another part has one.
#[test]
fn a_request_with_homes_goes_to_a_split_part_with_a_home_runner() {
    let route = split();
    let mut chooser = SplitChooser::default();
    let only_new = |service: &ServiceName| service.as_str() == "new";
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..100 {
        let bound = chooser.choose(&route, &homes(&["east"]), only_new, 5);
        assert_eq!(bound.unwrap().as_str(), "new");
        let free = chooser.choose(&route, &Homes::Anywhere, only_new, 5);
        *counts.entry(free.unwrap().to_string()).or_default() += 1;
    }
    // The shares of requests without home regions are unaffected.
    assert_eq!(counts["old"], 90);
    let nobody = chooser.choose(&route, &homes(&["south"]), |_| false, 5);
    assert!(nobody.is_some(), "the refusal must name a service");
}

#[derive(Clone, Debug)]
struct Condition {
    zone: usize,
    holds: bool,
    draining: bool,
    is_evacuated: bool,
    is_cold: bool,
    failures: u8,
    load: u32,
    in_flight: u32,
    is_tried: bool,
}

prop_compose! {
    fn condition()(
        zone in 0..ZONES.len(),
        (holds, draining, is_evacuated) in (prop::bool::weighted(0.7), prop::bool::weighted(0.1), prop::bool::weighted(0.1)),
        (is_cold, is_tried) in (any::<bool>(), any::<bool>()),
        failures in 0_u8..6,
        (load, in_flight) in (0_u32..12, 0_u32..12),
    ) -> Condition {
        Condition { zone, holds, draining, is_evacuated, is_cold, failures, load, in_flight, is_tried }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, cases: 500, ..ProptestConfig::default() })]

    /// Whatever the health, loads, holdings and earlier attempts: a runner outside the home regions is never selected, and
    /// if a runner in them can serve the request, one is selected.
    #[test]
    fn no_selected_runner_is_outside_the_home_regions(
        conditions in prop::collection::vec(condition(), 0..12),
        names in prop::collection::btree_set(prop::sample::select(vec!["west", "east", "north", "south"]), 0..4),
        other in prop::collection::btree_set(prop::sample::select(vec!["west", "east", "north"]), 0..3),
        own in 0..ZONES.len(),
        daemons in prop::sample::select(vec![1_usize, 6, 300]),
        has_unit: bool,
        affinity: Option<u64>,
        random: u64,
    ) {
        let homes = Homes::from_regions(names.iter().map(|name| Region::new(name)));
        let homes = homes.intersection(&Homes::from_regions(other.iter().map(|name| Region::new(name))));
        let now = Timestamp(10_000);
        let (mut table, mut health) = (RunnerTable::default(), HealthTable::default());
        let (mut loads, mut in_flight, mut tried) = (HashMap::new(), HashMap::new(), Vec::new());
        let mut evacuations = Evacuations::default();
        let mut listed = Vec::new();
        for (index, condition) in conditions.iter().enumerate() {
            let mut runner = runner(&format!("r{index}"), ZONES[condition.zone].0, condition.holds);
            runner.draining = condition.draining;
            runner.cold_for = Duration::from_secs(u64::from(condition.is_cold));
            if condition.is_evacuated {
                evacuations.zones.push(runner.zone.clone());
            }
            for _ in 0..condition.failures {
                health.observe(&runner.id, Observation::Failure, now);
            }
            loads.insert(runner.id.clone(), condition.load);
            in_flight.insert(runner.id.clone(), condition.in_flight);
            if condition.is_tried {
                tried.push(runner.id.clone());
            }
            listed.push(runner);
        }
        table.replace(listed, 1);
        let locality = Locality::new(Zone::new(ZONES[own].0), regions());
        let context = SelectionContext {
            availability: Availability { runners: &table, evacuations: &evacuations, notices: &Notices::default(), locality: &locality },
            spells: &ColdPeriods::default(),
            health: &health,
            in_flight: &in_flight,
            loads: &loads,
            daemons,
            random,
            now,
        };
        let (service, unit) = (ServiceName::new("pool"), unit());
        let criteria = SelectionCriteria { service: &service, unit: has_unit.then_some(&unit), affinity, homes: &homes, software_version: None, tried: &tried, permit_waits: &[] };
        let can_serve = |runner: &&Runner| {
            let region = ZONES.iter().find(|(zone, _)| *zone == runner.zone.as_str()).unwrap().1;
            let is_in_home_region = match &homes {
                Homes::Anywhere => true,
                Homes::Only(all) => region.is_some_and(|region| all.contains(&Region::new(region))),
            };
            is_in_home_region && !runner.draining && !evacuations.includes(runner) && !tried.contains(&runner.id)
                && (!has_unit || !runner.holdings.is_empty())
        };
        match choose(&context, &criteria) {
            Ok(runner) => prop_assert!(can_serve(&runner), "{} for {}", runner.zone, homes),
            Err(reason) => prop_assert!(!table.iter().any(|it| can_serve(&it)), "{:?}", reason),
        }
    }
}
