//! Tests of route lookup, splits, the retry budget, attempts, event streams, runner selection and messages.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::attempt::{Attempts, Failure};
use flaxward_routing::availability::Availability;
use flaxward_routing::balance::{NoRunner, SelectionContext, SelectionCriteria, choose};
use flaxward_routing::budget::{RetryBudget, RetryBudgetSettings};
use flaxward_routing::cold::periods::ColdPeriods;
use flaxward_routing::configuration::{
    ClientLimits, Configuration, Route, RouteKind, WeightedService,
};
use flaxward_routing::encoding::Encoding;
use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::events::EventSplitter;
use flaxward_routing::health::{HealthTable, Observation};
use flaxward_routing::homes::{Homes, Requirement};
use flaxward_routing::locality::{Locality, Regions};
use flaxward_routing::messages::{KnownState, Message, Usage, WaitingUnit};
use flaxward_routing::names::{ModelName, Region, RouteName, RunnerId, ServiceName, Unit, Zone};
use flaxward_routing::notices::Notices;
use flaxward_routing::runners::{Runner, RunnerHoldings, RunnerTable};
use flaxward_routing::split::SplitChooser;
use flaxward_routing::strength::MachineStrength;
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x0f1a_0001),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn route(prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: RouteName::new(prefix),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Repeatable,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        event_gap: Duration::ZERO,
        priority: 1,
        services: services
            .iter()
            .map(|&(service, weight)| WeightedService {
                service: ServiceName::new(service),
                weight,
            })
            .collect(),
        max_attempts: 2,
        is_generation: false,
        is_public: false,
        homes: Homes::Anywhere,
    }
}

fn runner(id: &str, zone: &str, models: &[&str]) -> Runner {
    let holdings: BTreeMap<ModelName, BTreeSet<_>> = models
        .iter()
        .map(|model| (ModelName::new(model), BTreeSet::new()))
        .collect();
    Runner {
        id: RunnerId::new(id),
        revision: 0,
        service: ServiceName::new("pool"),
        software_version: None,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Zone::new(zone),
        slots: 8,
        draining: false,
        leaves_in: None,
        cold_for: Duration::ZERO,
        holdings,
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

fn unit(model: &str) -> Unit {
    Unit {
        service: ServiceName::new("pool"),
        model: ModelName::new(model),
        adapter: None,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![route("/a/", &[("x", 1)]), route("/a/b/", &[("y", 1)])];
    let configuration = Configuration::new(1, ClientLimits::default(), routes, Vec::new());
    let found = |host: &str, path: &str| {
        let route = configuration.route(host, path)?;
        Some(route.prefix.clone())
    };
    assert_eq!(found("a.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(found("A.Example:8080", "/a/c").as_deref(), Some("/a/"));
    assert_eq!(found("a.example", "/a"), None);
    assert_eq!(found("b.example", "/a/b/"), None);
}

proptest! {
    #![proptest_config(config())]

    /// Over any sequence of requests, the count of each part of a split deviates from its share by at most the number of
    /// parts.
    #[test]
    fn a_split_keeps_its_shares(weights in prop::collection::vec(1_u32..40, 2..5), seed: u64) {
        let names: Vec<String> = (0..weights.len()).map(|part| format!("s{part}")).collect();
        let parts: Vec<(&str, u32)> = names.iter().map(String::as_str).zip(weights.iter().copied()).collect();
        let route = route("/s/", &parts);
        let total: u32 = weights.iter().sum();
        let mut chooser = SplitChooser::default();
        let mut counts: HashMap<ServiceName, u32> = HashMap::new();
        for _ in 0..200 {
            let service = chooser.choose(&route, &Homes::Anywhere, |_| true, seed).unwrap();
            *counts.entry(service).or_default() += 1;
        }
        for part in &route.services {
            let expected = 200.0 * f64::from(part.weight) / f64::from(total);
            let count = f64::from(counts.get(&part.service).copied().unwrap_or(0));
            prop_assert!((count - expected).abs() <= weights.len() as f64, "{count} of {expected}");
        }
    }

    /// All daemons together stay within the retry budget in every window.
    #[test]
    fn all_daemons_stay_within_the_retry_budget(
        daemons in 1_usize..12,
        events in prop::collection::vec((0_usize..12, 0_u64..200, any::<bool>()), 1..400),
    ) {
        let settings = RetryBudgetSettings {
            ratio: 0.2,
            allowance: 10.0,
            window: Duration::from_secs(10),
        };
        let service = ServiceName::new("pool");
        let mut budgets: Vec<RetryBudget> = (0..daemons).map(|_| RetryBudget::new(settings)).collect();
        let mut now = Timestamp::ZERO;
        for _ in 0..30 {
            now = now + Duration::from_secs(1);
            budgets.iter_mut().for_each(|budget| budget.record_daemons(daemons, now));
        }
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (daemon, wait, is_repeat) in events {
            now = now + Duration::from_millis(wait);
            let budget = &mut budgets[daemon % daemons];
            if !is_repeat {
                budget.count_request(&service, now);
                requests.push(now);
            } else if budget.try_retry(&service, now).is_granted {
                repeats.push(now);
            }
            let start = now - settings.window;
            let within = |times: &[Timestamp]| times.iter().filter(|&&at| at >= start).count() as f64;
            prop_assert!(within(&repeats) <= 0.2 * within(&requests) + 10.0);
        }
    }

    /// An at-most-once request is never resent after it may have run, and no request runs more often than its route
    /// allows.
    #[test]
    fn attempts_respect_the_route_kind(
        kind in prop_oneof![
            Just(RouteKind::Repeatable),
            Just(RouteKind::AtMostOnce),
            Just(RouteKind::Stream { resumable: false }),
            Just(RouteKind::Stream { resumable: true }),
        ],
        max_attempts in 1_u32..4,
        failures in prop::collection::vec(
            prop_oneof![
                Just(Failure::NotRun),
                Just(Failure::Misdirected),
                Just(Failure::NotSent),
                Just(Failure::Broken),
                Just(Failure::Failed),
                Just(Failure::Silent),
            ],
            1..8,
        ),
    ) {
        let mut attempts = Attempts::default();
        let mut runs = 0;
        for failure in failures {
            if !attempts.may_retry(kind, max_attempts) {
                break;
            }
            attempts.record_failure(failure);
            runs += u32::from(failure.may_have_run());
            prop_assert!(runs <= 1 || kind.may_repeat());
            prop_assert!(runs <= max_attempts.max(1));
            prop_assert_eq!(attempts.definitely_not_run(), runs == 0);
        }
    }

    /// However a stream is split into chunks, complete events come out in order and unaltered, and less than one event
    /// is buffered.
    #[test]
    fn only_complete_events_are_emitted(events in prop::collection::vec("[a-z]{0,20}", 0..12), cuts in prop::collection::vec(1_usize..9, 1..200)) {
        let mut stream = String::new();
        for (index, text) in events.iter().enumerate() {
            stream.push_str(&format!("id: {index}\ndata: {text}\n\n"));
        }
        let mut splitter = EventSplitter::default();
        let (mut passed, mut at, mut cuts) = (Vec::new(), 0, cuts.into_iter().cycle());
        while at < stream.len() {
            let end = (at + cuts.next().unwrap()).min(stream.len());
            passed.extend(splitter.push(&stream.as_bytes()[at..end]));
            let text = std::str::from_utf8(&passed).unwrap();
            prop_assert!(text.is_empty() || text.ends_with("\n\n"));
            prop_assert!(stream.starts_with(text));
            at = end;
        }
        prop_assert!(!splitter.has_partial());
        prop_assert_eq!(passed, stream.into_bytes());
        let last = events.len().checked_sub(1).map(|index| index.to_string());
        prop_assert_eq!(splitter.last_id(), last.as_deref());
    }
}

#[test]
fn a_partial_event_is_buffered_and_can_be_dropped() {
    let mut splitter = EventSplitter::default();
    assert_eq!(
        splitter.push(b"id: 4\ndata: x\n\nid: 5\nda"),
        b"id: 4\ndata: x\n\n"
    );
    assert!(splitter.has_partial());
    assert_eq!(splitter.last_id(), Some("4"));
    splitter.drop_partial();
    assert_eq!(splitter.push(b"id: 5\ndata: y\n\n"), b"id: 5\ndata: y\n\n");
}

/// Two zones of one region, and one of another.
fn regions() -> Regions {
    let regions = [("z1", "west"), ("z2", "west"), ("abroad", "east")];
    let regions = regions.map(|(zone, region)| (Zone::new(zone), Region::new(region)));
    Regions::from_iter(regions)
}

struct Selection {
    runners: RunnerTable,
    health: HealthTable,
    in_flight: HashMap<RunnerId, u32>,
    loads: HashMap<RunnerId, u32>,
}

impl Selection {
    fn new(runners: Vec<Runner>) -> Self {
        let mut table = RunnerTable::default();
        table.replace(runners, 1);
        Self {
            runners: table,
            health: HealthTable::default(),
            in_flight: HashMap::new(),
            loads: HashMap::new(),
        }
    }

    fn choose(&self, unit: Option<&Unit>, tried: &[RunnerId]) -> Result<String, NoRunner> {
        let service = ServiceName::new("pool");
        let zone = Zone::new("z1");
        let context = SelectionContext {
            availability: Availability {
                runners: &self.runners,
                evacuations: &Evacuations::default(),
                notices: &Notices::default(),
                locality: &Locality::new(zone.clone(), regions()),
            },
            spells: &ColdPeriods::default(),
            health: &self.health,
            in_flight: &self.in_flight,
            loads: &self.loads,
            daemons: 1,
            random: 3,
            now: Timestamp(1_000),
        };
        let criteria = SelectionCriteria {
            service: &service,
            unit,
            affinity: Some(7),
            homes: &Homes::Anywhere,
            software_version: None,
            tried,
            permit_waits: &[],
        };
        choose(&context, &criteria).map(|runner| runner.id.to_string())
    }
}

#[test]
fn a_runner_with_the_model_in_the_own_zone_is_preferred() {
    let selection = Selection::new(vec![
        runner("other-zone", "z2", &["m"]),
        runner("own-zone", "z1", &["m"]),
        runner("without", "z1", &[]),
    ]);
    let model = unit("m");
    assert_eq!(selection.choose(Some(&model), &[]).unwrap(), "own-zone");
    let tried = [RunnerId::new("own-zone")];
    assert_eq!(
        selection.choose(Some(&model), &tried).unwrap(),
        "other-zone"
    );
    assert_eq!(
        selection.choose(Some(&unit("n")), &[]),
        Err(NoRunner::NotLoaded)
    );
}

#[test]
fn a_runner_in_another_region_ranks_between_a_loaded_and_an_overloaded_near_one() {
    let mut selection = Selection::new(vec![
        runner("far", "abroad", &["m"]),
        runner("near", "z2", &["m"]),
    ]);
    selection.loads.insert(RunnerId::new("near"), 5);
    assert_eq!(selection.choose(Some(&unit("m")), &[]).unwrap(), "near");
    selection.loads.insert(RunnerId::new("near"), 7);
    assert_eq!(selection.choose(Some(&unit("m")), &[]).unwrap(), "far");
}

#[test]
fn a_runner_filled_by_other_daemons_ranks_after_one_with_capacity() {
    let mut selection = Selection::new(vec![
        runner("full", "z1", &["m"]),
        runner("free", "z2", &["m"]),
    ]);
    selection.loads.insert(RunnerId::new("full"), 7);
    assert_eq!(selection.choose(Some(&unit("m")), &[]).unwrap(), "free");
    selection.loads.insert(RunnerId::new("free"), 8);
    assert_eq!(selection.choose(Some(&unit("m")), &[]).unwrap(), "full");
}

#[test]
fn a_draining_runner_gets_no_requests() {
    let mut leaving = runner("leaving", "z1", &["m"]);
    leaving.draining = true;
    let selection = Selection::new(vec![leaving]);
    assert_eq!(
        selection.choose(Some(&unit("m")), &[]),
        Err(NoRunner::NoneOfService)
    );
}

#[test]
fn an_ejected_runner_is_selected_only_without_an_alternative() {
    let mut selection = Selection::new(vec![
        runner("bad", "z1", &["m"]),
        runner("good", "z2", &["m"]),
    ]);
    let bad = RunnerId::new("bad");
    let now = Timestamp(900);
    selection
        .health
        .observe(&bad, Observation::Unreachable, now);
    assert_eq!(selection.choose(Some(&unit("m")), &[]).unwrap(), "good");
    selection.runners.remove(&RunnerId::new("good"), 2);
    assert_eq!(selection.choose(Some(&unit("m")), &[]).unwrap(), "bad");
}

#[test]
fn reported_holdings_override_the_list_until_they_expire() {
    let mut table = RunnerTable::default();
    table.replace(vec![runner("r", "z1", &["old"])], 1);
    let reported = RunnerHoldings {
        runner: RunnerId::new("r"),
        holdings: vec![(ModelName::new("new"), Vec::new())],
    };
    table.record_holdings(reported, Timestamp(0));
    let holds = |table: &RunnerTable, model: &str, at: u64| {
        let runner = table.get(&RunnerId::new("r")).unwrap();
        table.holds(runner, &unit(model), Timestamp(at))
    };
    assert!(holds(&table, "new", 1_000));
    assert!(!holds(&table, "old", 1_000));
    assert!(
        holds(&table, "old", 10_000),
        "holdings reported by a silent coordinator must expire"
    );
}

#[test]
fn a_refused_unit_is_not_requested_again_immediately() {
    let mut table = RunnerTable::default();
    table.replace(vec![runner("r", "z1", &["m"])], 1);
    let id = RunnerId::new("r");
    table.record_absent_unit(&id, &unit("m"), Timestamp(0));
    let holds = |at: u64| table.holds(table.get(&id).unwrap(), &unit("m"), Timestamp(at));
    assert!(!holds(500));
    assert!(holds(3_000));
}

#[test]
fn messages_round_trip() {
    let message = Message::Usage(Usage {
        from: "d".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        zone: Zone::new("z"),
        strength: MachineStrength::default(),
        is_stopping: false,
        known: KnownState {
            term: 3,
            holdings_version: 9,
            ..KnownState::default()
        },
        waiting: vec![WaitingUnit {
            requirement: Requirement::anywhere(unit("m")),
            requests: 2,
            late: 0,
            priority: 1,
        }],
        used: Vec::new(),
        running: Vec::new(),
    });
    let mut encoding = Encoding::default();
    let bytes = encoding.encode(&message);
    assert_eq!(encoding.decode(&bytes).unwrap(), message);
    assert!(encoding.decode(&[]).is_err());
    assert!(encoding.decode(&[250, 1, 2]).is_err());
}
