//! Faults of runners and of their list: cold spells, rates and rests, new lives under an old identity, entries that nobody can
//! read.

use std::time::{Duration, Instant};

use flaxward_platform_stand_in::{
    ColdLimit, FOREIGN_ENTRY_KINDS, Notice, RunnerStandIn, foreign_entries,
};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::disturbances::Target;
use crate::faults::{some_runner, some_time};
use crate::fleet::{BrittlePeriod, Fleet, locked};
use crate::proxy::Mode;
use crate::regions::{REGIONS, Region};

/// Requests a second that a cold runner bears.
pub const COLD_PER_SECOND: u32 = 2;
/// By how much the requests of a second may pass that.
pub const COLD_FACTOR: f64 = 1.5;
/// How many more they may be in any second.
pub const COLD_SLACK: usize = 5;
/// For how long a runner is cold after its start.
pub const COLD_AFTER_START: Duration = Duration::from_secs(3);

/// Time for which a runner names a rate, at least.
const LIMITED_FOR: Duration = Duration::from_secs(6);

/// Time for which the runners of a service are brittle, at least.
const BRITTLE_FOR: Duration = Duration::from_secs(8);

/// Time after which the entries of runners lapse that don't reach the store: three heartbeats.
const LAPSE: Duration = Duration::from_millis(1_500);

/// What a cold runner may get.
pub fn cold_bound() -> ColdLimit {
    let borne = (f64::from(COLD_PER_SECOND) * COLD_FACTOR).floor();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few"
    )]
    let borne = borne as usize;
    ColdLimit {
        per_second: COLD_PER_SECOND,
        max_in_window: borne + COLD_SLACK,
    }
}

/// A runner turns cold for a while, and says so.
pub(crate) async fn turn_cold(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Some((id, _)) = some_runner(fleet, random) else {
        return;
    };
    let duration = some_time(random);
    let ongoing = fleet.disturbances.begin(Target::Runner);
    fleet.turn_cold(&id, duration);
    sleep(duration).await;
    fleet.renew_entry(&id);
    fleet.disturbances.end(&ongoing);
}

/// A runner names a rate in its answers for a while. Some seconds pass until the bound holds.
pub(crate) async fn limit_runner(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Some((id, _)) = some_runner(fleet, random) else {
        return;
    };
    let rate = random.random_range(0.2..3.0);
    let duration = LIMITED_FOR + some_time(random);
    fleet.say(&id, Notice::Rate(rate), Some(duration));
    sleep(duration).await;
}

/// The runners of a service are brittle for a while, and say so. Some seconds pass until they can fail.
pub(crate) async fn turn_brittle(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Some((_, service)) = some_runner(fleet, random) else {
        return;
    };
    let limit = random.random_range(1..8);
    let slots = random.random_range(1..4);
    let duration = BRITTLE_FOR + some_time(random);
    let begun = Instant::now();
    let runners = fleet.turn_brittle(&service, limit, slots, duration);
    sleep(duration).await;
    locked(&fleet.brittle_periods).push(BrittlePeriod {
        service,
        runners,
        begun,
        ended: Instant::now(),
    });
}

/// A runner turns all requests away for a while, and asks for rest.
pub(crate) async fn rest_runner(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Some((id, _)) = some_runner(fleet, random) else {
        return;
    };
    let rest = Duration::from_millis(random.random_range(600..4_000));
    let duration = some_time(random);
    fleet.say(&id, Notice::Rest(rest), Some(duration));
    sleep(duration).await;
}

/// A runner crashes and starts again under its identity, at its address: it holds nothing, and its counts begin anew.
pub(crate) async fn start_anew(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Some((id, _)) = some_runner(fleet, random) else {
        return;
    };
    if locked(&fleet.drains).iter().any(|drain| drain.runner == id) {
        return;
    }
    let ongoing = fleet.disturbances.begin(Target::Runner);
    fleet.set_way(&id, Mode::Reset);
    fleet.end_runner(&id);
    sleep(Duration::from_millis(random.random_range(100..2_000))).await;
    if let Err(error) = fleet.start_anew(&id).await {
        fleet.violation(format!("START of a runner: {error}"));
    }
    fleet.disturbances.end(&ongoing);
}

/// An entry that names no runner, and what listens at its address.
struct ForeignEntry {
    kind: &'static str,
    name: String,
    decoy: RunnerStandIn,
}

impl ForeignEntry {
    /// Writes one of the entries, by its number; `None` if there are fewer.
    async fn write(
        fleet: &Fleet,
        name: String,
        service: &str,
        number: usize,
    ) -> std::io::Result<Option<Self>> {
        // Without an engine it runs whatever it gets.
        let decoy = RunnerStandIn::start(&name, 16, &[], 0, Duration::ZERO).await?;
        let entries = foreign_entries(&decoy.address().to_string(), service);
        let Some((kind, entry)) = entries.into_iter().nth(number) else {
            return Ok(None);
        };
        fleet.store.put_foreign(&name, entry);
        Ok(Some(Self { kind, name, decoy }))
    }
}

/// Another program writes entries among those of the runners. They name addresses that answer, where nothing may be sent.
/// No runner is disturbed by it.
pub(crate) async fn write_foreign_entries(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Some((_, service)) = some_runner(fleet, random) else {
        return;
    };
    // One that can't be read at all may hide what another one does.
    let share = if random.random_bool(0.5) { 0.1 } else { 0.6 };
    let mut written = Vec::new();
    for number in 0..FOREIGN_ENTRY_KINDS {
        if !random.random_bool(share) {
            continue;
        }
        let name = format!("foreign-{:08x}", random.next_u32());
        match ForeignEntry::write(fleet, name, &service, number).await {
            Ok(entry) => written.extend(entry),
            Err(error) => fleet.violation(format!("START of a decoy: {error}")),
        }
    }
    sleep(some_time(random)).await;
    for entry in &written {
        fleet.store.remove_runner(&entry.name);
    }
    // What was on its way may still arrive.
    sleep(Duration::from_millis(100)).await;
    for ForeignEntry { kind, decoy, .. } in written {
        let runs = decoy.runs().len();
        if runs > 0 {
            fleet.violation(format!("FOREIGN {runs} requests by an entry: {kind}"));
        }
    }
}

/// A region loses the store: its daemons can't reach it, and the entries of its runners lapse. Daemons and runners of the
/// region go on with each other.
pub(crate) async fn cut_region(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let region = REGIONS[random.random_range(0..REGIONS.len())];
    let is_cut = |daemon: &usize| Region::of(*daemon, true) == region;
    let daemons: Vec<usize> = (0..fleet.daemons.len()).filter(is_cut).collect();
    let begin = |&daemon: &usize| fleet.disturbances.begin(Target::Daemon(daemon));
    let ongoing: Vec<_> = daemons.iter().map(begin).collect();
    let runners = fleet.disturbances.begin(Target::Runner);
    for &daemon in &daemons {
        fleet.store_ways[daemon].set_mode(Mode::Silent);
    }
    sleep(LAPSE).await;
    let lapsed: Vec<String> = locked(&fleet.places)
        .iter()
        .filter(|place| place.state.zone == region.zone)
        .map(|place| place.runner.id().to_owned())
        .collect();
    for id in &lapsed {
        fleet.store.remove_runner(id);
    }
    sleep(some_time(random)).await;
    for &daemon in &daemons {
        fleet.store_ways[daemon].set_mode(Mode::Pass);
    }
    for id in &lapsed {
        fleet.renew_entry(id);
    }
    for one in &ongoing {
        fleet.disturbances.end(one);
    }
    fleet.disturbances.end(&runners);
}
