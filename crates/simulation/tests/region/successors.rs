//! What it costs that nobody can take the lease of a zone while the store is down: wake-ups of
//! sleeping models while the holder of one zone is dead. `docs/design/authority.md` draws on it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

use flaxward_simulation::settings::{GIGABYTE, ZoneSettings, model};
use flaxward_simulation::store::{Key, Record};
use flaxward_simulation::{Happening, Outcome, Region, RegionSettings, Target};
use flaxward_types::configuration::{PolicySpec, VersionSpec};
use flaxward_types::{ConfigurationItem, ItemKey, ModelName, ModelRef, ZoneName};

use crate::support::{check, request, started};

/// The zone whose holder dies, and the one whose gateway the callers ask.
const DYING: &str = "alpha";
const ASKED: &str = "beta";
const ZONES: [&str; 3] = [DYING, ASKED, "gamma"];
const SEEDS: std::ops::Range<u64> = 1..5;
/// Time in which every model gets its homes.
const HOMES: Duration = Duration::from_secs(60);
const OUTAGE: Duration = Duration::from_mins(5);
/// Time from the start of the outage to the death of the holder.
const DEATH: Duration = Duration::from_secs(10);
/// Time from the death to the first wake-up, in which the others have noticed it.
const NOTICED: Duration = Duration::from_secs(20);
/// Time between two wake-ups: longer than a replica stays loaded.
const PAUSE: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_secs(20);
const KEEP_ALIVE_MS: u64 = 2_000;
/// Wake-ups of each model.
const ROUNDS: u32 = 4;
/// Models of each kind.
const MODELS: usize = 3;
/// Time after the outage in which every model must wake again.
const RECOVERY: Duration = Duration::from_secs(30);

/// Where the homes of a model are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Homes {
    /// Only in the zone whose holder dies.
    Dying,
    /// In that zone and in others.
    Spread,
    /// Only in others.
    Others,
}

/// What became of wake-ups.
#[derive(Debug, Default)]
struct Tally {
    answered: Vec<Duration>,
    refused: BTreeMap<u16, Vec<Duration>>,
}

impl Tally {
    fn note(&mut self, wait: Duration, outcome: Outcome) {
        match outcome {
            Outcome::Answered => self.answered.push(wait),
            Outcome::Refused(code) => self.refused.entry(code.number()).or_default().push(wait),
            other => panic!("a wake-up ends as {other:?}"),
        }
    }

    fn refusals(&self) -> usize {
        self.refused.values().map(Vec::len).sum()
    }
}

impl std::fmt::Display for Tally {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        let longest = |waits: &[Duration]| waits.iter().max().copied().unwrap_or_default();
        write!(
            formatter,
            "answered {} (longest {:.1?})",
            self.answered.len(),
            longest(&self.answered)
        )?;
        for (code, waits) in &self.refused {
            let longest = longest(waits);
            write!(
                formatter,
                ", refused {code}: {} ({longest:.1?})",
                waits.len()
            )?;
        }
        Ok(())
    }
}

fn settings(daemons: usize) -> RegionSettings {
    let zones = ZONES.map(|name| ZoneSettings {
        name: ZoneName::literal(name),
        daemons,
        engines: 2,
        services: 0,
    });
    RegionSettings {
        zones: zones.to_vec(),
        services: Vec::new(),
        items: configuration(),
        ..RegionSettings::small()
    }
}

fn configuration() -> Vec<(ItemKey, ConfigurationItem)> {
    let key = |text: String| text.parse().expect("a literal key is valid");
    let dying = (0..MODELS).map(|number| (format!("dying{number}"), 1, &[DYING][..]));
    let others = (0..MODELS).map(|number| (format!("other{number}"), 1, &ZONES[1..]));
    let spread = (0..MODELS).map(|number| (format!("spread{number}"), 3, &ZONES[..]));
    let mut items = Vec::new();
    for (name, copies, zones) in dying.chain(others).chain(spread) {
        let version = VersionSpec {
            checkpoint: "weights".to_owned(),
            weights: bytesize::ByteSize(2 * GIGABYTE),
            kv_cache: bytesize::ByteSize(GIGABYTE),
        };
        items.push((key(format!("model.{name}")), model(0, copies, zones, "v1")));
        items.push((
            key(format!("version.{name}@v1")),
            ConfigurationItem::Version(version),
        ));
    }
    let policy = PolicySpec {
        weight_store_parallel: 6,
        weight_store_per_second: 20.0,
        keep_alive_min_ms: KEEP_ALIVE_MS,
        keep_alive_max_ms: KEEP_ALIVE_MS,
        ..PolicySpec::default()
    };
    items.push((key("policy".to_owned()), ConfigurationItem::Policy(policy)));
    items
}

/// The models and where their homes are.
fn homes(region: &Region) -> BTreeMap<ModelName, Homes> {
    let mut zones: BTreeMap<ModelName, BTreeSet<&str>> = BTreeMap::new();
    for zone in ZONES {
        let object = region.store.get(&Key::Placement(ZoneName::literal(zone)));
        let Some(Record::Placement(placement)) = object.map(|object| &object.record) else {
            panic!("{zone} has no placement");
        };
        for slot in &placement.slots {
            let of_model = zones.entry(slot.artifact.model.clone()).or_default();
            of_model.insert(zone);
        }
    }
    let kind = |zones: &BTreeSet<&str>| match (zones.contains(DYING), zones.len()) {
        (true, 1) => Homes::Dying,
        (true, _) => Homes::Spread,
        (false, _) => Homes::Others,
    };
    zones
        .iter()
        .map(|(model, zones)| (model.clone(), kind(zones)))
        .collect()
}

fn wake(region: &mut Region, model: &ModelName) -> (Duration, Outcome) {
    let asked = region.daemons().iter();
    let mut positions = asked
        .enumerate()
        .filter(|(_, daemon)| daemon.peer.zone.as_str() == ASKED);
    let (gateway, _) = positions.next().expect("the zone has a daemon");
    let target = Target::Model(ModelRef {
        model: model.clone(),
        adapter: None,
        version: None,
    });
    let number = region.submit(gateway, request(target, DEADLINE));
    let end = region.now() + DEADLINE + PAUSE;
    loop {
        region.run_for(Duration::from_millis(100));
        check(region);
        let record = region.record(number).expect("the gateway lives");
        if let Some((at, outcome)) = record.ended {
            return (at.since(record.arrived), outcome);
        }
        assert!(region.now() < end, "{model} gets no answer");
    }
}

/// The holder of one zone dies, or not, while the store is down.
fn outage(daemons: usize, seed: u64, dies: bool) -> BTreeMap<Homes, Tally> {
    let mut region = started(settings(daemons), seed);
    region.run_for(HOMES);
    let homes = homes(&region);
    assert_eq!(homes.len(), 3 * MODELS, "each model has a home");
    let begin = region.now();
    region.plan(&vec![(
        Duration::ZERO,
        Happening::StoreDown { duration: OUTAGE },
    )]);
    region.run_for(DEATH);
    if dies {
        let holder = region.coordinators(&ZoneName::literal(DYING))[0].daemon;
        let holder = u8::try_from(holder).expect("few daemons");
        let kill = Happening::Kill {
            daemon: holder,
            down: OUTAGE,
        };
        region.plan(&vec![(Duration::ZERO, kill)]);
    }
    region.run_for(NOTICED);
    let mut tallies: BTreeMap<Homes, Tally> = BTreeMap::new();
    for _ in 0..ROUNDS {
        for (model, homes) in &homes {
            let (wait, outcome) = wake(&mut region, model);
            tallies.entry(*homes).or_default().note(wait, outcome);
            region.run_for(PAUSE);
        }
    }
    let left = OUTAGE.saturating_sub(region.now().since(begin));
    assert!(
        left > Duration::ZERO,
        "the outage is too short for all wake-ups"
    );
    region.run_for(left + RECOVERY);
    for model in homes.keys() {
        let (_, outcome) = wake(&mut region, model);
        assert_eq!(outcome, Outcome::Answered, "{model} after the outage");
    }
    tallies
}

fn outages(daemons: usize, dies: bool) -> BTreeMap<Homes, Tally> {
    let mut all: BTreeMap<Homes, Tally> = BTreeMap::new();
    let runs = std::thread::scope(|scope| {
        let runs = SEEDS.map(|seed| scope.spawn(move || outage(daemons, seed, dies)));
        let runs: Vec<_> = runs.collect();
        let ended = runs.into_iter().map(|run| run.join().expect("a run ends"));
        ended.collect::<Vec<_>>()
    });
    for (homes, tally) in runs.into_iter().flatten() {
        let sum = all.entry(homes).or_default();
        sum.answered.extend(tally.answered);
        for (code, waits) in tally.refused {
            sum.refused.entry(code).or_default().extend(waits);
        }
    }
    all
}

/// Prints the figures with `--nocapture`.
#[test]
fn while_the_store_is_down_a_dead_holder_costs_the_models_whose_only_home_is_in_its_zone() {
    let mut report = String::new();
    for daemons in 1..=3 {
        for dies in [false, true] {
            for (homes, tally) in outages(daemons, dies) {
                let _ = writeln!(report, "{daemons} daemons, dies {dies}, {homes:?}: {tally}");
                let is_lost = dies && homes == Homes::Dying;
                let served = if is_lost {
                    tally.answered.len()
                } else {
                    tally.refusals()
                };
                assert_eq!(served, 0, "{report}");
            }
        }
    }
    println!("{report}");
}

/// Guards against sleeping models that nobody can wake while the store is down, because the holder of the zone of their homes has
/// died.
#[test]
fn sleeping_models_wake_in_an_outage_though_the_holder_of_their_zone_has_died() {
    let tally = &outages(3, true)[&Homes::Dying];
    assert_eq!(tally.refusals(), 0, "{tally}");
}
