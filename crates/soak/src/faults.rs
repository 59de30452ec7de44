//! The faults, one after another and a few at a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::ValueEnum;
use flaxward_platform_stand_in::{Notice, WorkKind};
use nix::sys::signal::Signal;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::caller_faults::{ask_for_homes, crashing_part, crashing_request, exceed_quota};
use crate::callers::{Ask, Ending, send};
use crate::checks::CALM;
use crate::daemon::Stop;
use crate::disturbances::Target;
use crate::fleet::{Cut, Drain, Fleet, PlannedStop, START_PATIENCE, locked};
use crate::proxy::Mode;
use crate::runner_faults::{
    cut_region, limit_runner, rest_runner, start_anew, turn_brittle, turn_cold,
    write_foreign_entries,
};

/// Faults at one time.
const AT_ONCE: usize = 3;
/// Time in which a new configuration must be in force.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(2_500);
/// Time in which daemons must have noticed that connections are silent.
const SILENCE_NOTICED: Duration = Duration::from_secs(3);
/// How often each fault strikes that is not a standard one.
const FURTHER_SHARE: u32 = 3;
/// Time for which a runner that leaves goes on serving.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum FaultKind {
    /// A daemon is killed, and starts again.
    KillDaemon,
    /// A daemon is stopped as planned, and starts again.
    StopDaemon,
    /// A daemon is paused.
    PauseDaemon,
    /// A daemon's way to the store is disturbed.
    CutFromStore,
    /// The ways of all daemons to the store are disturbed.
    StoreOut,
    /// The store forgets its history.
    ForgetHistory,
    /// The way to a runner is disturbed.
    CutRunner,
    /// A runner crashes; another one is started.
    CrashRunner,
    /// A runner is replaced as planned.
    DrainRunner,
    /// A caller repeats a request that crashes each runner which begins to run it.
    CrashingRequest,
    /// Open connections go silent for good.
    SilenceConnections,
    /// A route is added.
    NewRoute,
    /// A runner turns cold. Runners that start while there are faults are cold at first.
    ColdRunner,
    /// A runner crashes and starts again under its identity.
    RebornRunner,
    /// Entries that nobody can read come and go on the list of runners.
    ForeignEntries,
    /// Callers ask for routes with a home region.
    HomeRoutes,
    /// A region is cut off from the store.
    CutRegion,
    /// A tenant asks for more than its quota, and somebody tries keys that belong to nobody.
    TenantQuota,
    /// The store is away for a moment and comes back from a copy some seconds old.
    RestoreStore,
    /// A runner names a rate in its answers.
    LimitedRunner,
    /// A runner turns requests away and asks for rest.
    RestingRunner,
    /// A runner is replaced as planned, and says so in its answers seconds before the list does.
    LateDrain,
    /// The runners of a service run few requests at a time, and fail if they reject too many in a second.
    BrittleService,
    /// Callers send requests, no two alike, with one part in their prompts that crashes each runner which begins to run it.
    CrashingPart,
}

impl FaultKind {
    /// Those that a soak has unless told otherwise, and how often each strikes. What a seed brings about depends on the
    /// order.
    pub const STANDARD: [(Self, u32); 12] = [
        (Self::KillDaemon, 3),
        (Self::StopDaemon, 4),
        (Self::PauseDaemon, 2),
        (Self::CutFromStore, 2),
        (Self::StoreOut, 1),
        (Self::ForgetHistory, 1),
        (Self::CutRunner, 2),
        (Self::CrashRunner, 1),
        (Self::DrainRunner, 2),
        (Self::CrashingRequest, 2),
        (Self::SilenceConnections, 1),
        (Self::NewRoute, 2),
    ];

    /// The shares of the faults of a soak that has these beside the standard ones.
    pub fn with(further: &[Self]) -> Vec<(Self, u32)> {
        let standard = Self::STANDARD.into_iter();
        standard.chain(Self::alone(further)).collect()
    }

    /// The shares of the faults of a soak that has these only.
    pub fn alone(kinds: &[Self]) -> Vec<(Self, u32)> {
        kinds.iter().map(|kind| (*kind, FURTHER_SHARE)).collect()
    }

    /// Whether it needs daemons and runners in several regions.
    pub fn needs_regions(self) -> bool {
        matches!(self, Self::HomeRoutes | Self::CutRegion)
    }
}

/// Injects faults for some time, and waits until they are over.
pub(crate) async fn inject(
    fleet: &Arc<Fleet>,
    kinds: &[(FaultKind, u32)],
    random: &mut ChaCha8Rng,
    duration: Duration,
) {
    let end = Instant::now() + duration;
    let mut running = JoinSet::new();
    while Instant::now() < end {
        while running.len() >= AT_ONCE {
            running.join_next().await;
        }
        let daemon = random.random_range(0..fleet.daemons.len());
        let kind = draw(random, kinds);
        let own = ChaCha8Rng::seed_from_u64(random.next_u64());
        locked(&fleet.faults).push(format!("{kind:?} (daemon-{daemon})"));
        let fleet = fleet.clone();
        running.spawn(async move { strike(&fleet, kind, daemon, own).await });
        sleep(Duration::from_millis(random.random_range(200..2_500))).await;
    }
    while running.join_next().await.is_some() {}
}

fn draw(random: &mut ChaCha8Rng, kinds: &[(FaultKind, u32)]) -> FaultKind {
    let mut drawn = random.random_range(0..kinds.iter().map(|(_, share)| share).sum());
    for (kind, share) in kinds {
        if drawn < *share {
            return *kind;
        }
        drawn -= share;
    }
    unreachable!("the shares add up to more than was drawn")
}

pub(crate) fn some_time(random: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(random.random_range(300..5_000))
}

fn some_mode(random: &mut ChaCha8Rng) -> Mode {
    match random.random_range(0..4) {
        0 => Mode::Delay(Duration::from_millis(random.random_range(20..400))),
        1 => Mode::Reset,
        2 => Mode::Silent,
        _ => Mode::NoAnswers,
    }
}

async fn strike(fleet: &Fleet, kind: FaultKind, daemon: usize, mut random: ChaCha8Rng) {
    let random = &mut random;
    match kind {
        FaultKind::KillDaemon => kill_daemon(fleet, daemon, some_time(random)).await,
        FaultKind::StopDaemon => stop_daemon(fleet, daemon).await,
        FaultKind::PauseDaemon => pause_daemon(fleet, daemon, some_time(random)).await,
        FaultKind::CutFromStore => cut_from_store(fleet, daemon, random).await,
        FaultKind::StoreOut => store_out(fleet, random).await,
        FaultKind::ForgetHistory => fleet.store.compact_history(),
        FaultKind::CutRunner => cut_runner(fleet, random).await,
        FaultKind::CrashRunner => crash_runner(fleet, random).await,
        FaultKind::DrainRunner => drain_runner(fleet, random).await,
        FaultKind::CrashingRequest => crashing_request(fleet, random).await,
        FaultKind::CrashingPart => crashing_part(fleet, random).await,
        FaultKind::SilenceConnections => silence_connections(fleet).await,
        FaultKind::NewRoute => new_route(fleet, random).await,
        FaultKind::ColdRunner => turn_cold(fleet, random).await,
        FaultKind::RebornRunner => start_anew(fleet, random).await,
        FaultKind::ForeignEntries => write_foreign_entries(fleet, random).await,
        FaultKind::HomeRoutes => ask_for_homes(fleet, random).await,
        FaultKind::CutRegion => cut_region(fleet, random).await,
        FaultKind::TenantQuota => exceed_quota(fleet, random).await,
        FaultKind::RestoreStore => restore_store(fleet, random).await,
        FaultKind::LimitedRunner => limit_runner(fleet, random).await,
        FaultKind::RestingRunner => rest_runner(fleet, random).await,
        FaultKind::LateDrain => drain_runner_late(fleet, random).await,
        FaultKind::BrittleService => turn_brittle(fleet, random).await,
    }
}

async fn cut_from_store(fleet: &Fleet, daemon: usize, random: &mut ChaCha8Rng) {
    let ongoing = fleet.disturbances.begin(Target::Daemon(daemon));
    fleet.store_ways[daemon].set_mode(some_mode(random));
    sleep(some_time(random)).await;
    fleet.store_ways[daemon].set_mode(Mode::Pass);
    fleet.disturbances.end(&ongoing);
}

async fn store_out(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let ongoing = fleet.disturbances.begin(Target::Store);
    let mode = some_mode(random);
    for way in &fleet.store_ways {
        way.set_mode(mode);
    }
    sleep(some_time(random)).await;
    for way in &fleet.store_ways {
        way.set_mode(Mode::Pass);
    }
    fleet.disturbances.end(&ongoing);
}

/// What operators and runners have written since the copy was made, they write again some time after.
async fn restore_store(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let ongoing = fleet.disturbances.begin(Target::Store);
    for way in &fleet.store_ways {
        way.set_mode(Mode::Reset);
    }
    sleep(Duration::from_millis(random.random_range(50..2_500))).await;
    fleet
        .store
        .restore(Duration::from_millis(random.random_range(200..8_000)));
    for way in &fleet.store_ways {
        way.set_mode(Mode::Pass);
    }
    sleep(Duration::from_millis(random.random_range(0..1_500))).await;
    fleet.write_again();
    fleet.disturbances.end(&ongoing);
}

async fn kill_daemon(fleet: &Fleet, index: usize, down: Duration) {
    let Ok(mut daemon) = fleet.daemons[index].try_lock() else {
        return;
    };
    let ongoing = fleet.disturbances.begin(Target::Daemon(index));
    if daemon.has_ended() {
        fleet.violation(format!("EXIT {} has ended by itself", daemon.name()));
    }
    daemon.kill().await;
    sleep(down).await;
    start_again(fleet, &mut daemon).await;
    fleet.disturbances.end(&ongoing);
}

async fn start_again(fleet: &Fleet, daemon: &mut crate::daemon::Daemon) {
    if let Err(error) = daemon.start() {
        fleet.violation(format!("START {}: {error}", daemon.name()));
        return;
    }
    if !daemon.until_ready(START_PATIENCE).await {
        fleet.violation(format!("START {} is not ready", daemon.name()));
    }
}

async fn stop_daemon(fleet: &Fleet, index: usize) {
    let Ok(mut daemon) = fleet.daemons[index].try_lock() else {
        return;
    };
    if daemon.has_ended() {
        fleet.violation(format!("EXIT {} has ended by itself", daemon.name()));
    }
    let begun = Instant::now();
    let stop = daemon.stop().await;
    locked(&fleet.stops).push(PlannedStop {
        daemon: index,
        begun,
        ended: Instant::now(),
    });
    if stop != Stop::Clean {
        fleet.violation(format!("STOP {} ended {stop:?}", daemon.name()));
    }
    let ongoing = fleet.disturbances.begin(Target::Daemon(index));
    start_again(fleet, &mut daemon).await;
    fleet.disturbances.end(&ongoing);
}

async fn pause_daemon(fleet: &Fleet, index: usize, pause: Duration) {
    let Ok(daemon) = fleet.daemons[index].try_lock() else {
        return;
    };
    let ongoing = fleet.disturbances.begin(Target::Daemon(index));
    daemon.signal(Signal::SIGSTOP);
    sleep(pause).await;
    daemon.signal(Signal::SIGCONT);
    fleet.disturbances.end(&ongoing);
}

async fn cut_runner(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Some((id, _)) = some_runner(fleet, random) else {
        return;
    };
    let ongoing = fleet.disturbances.begin(Target::Runner);
    let begun = Instant::now();
    fleet.set_way(&id, some_mode(random));
    sleep(some_time(random)).await;
    fleet.set_way(&id, Mode::Pass);
    locked(&fleet.cuts).push(Cut {
        runner: id,
        begun,
        ended: Instant::now(),
    });
    fleet.disturbances.end(&ongoing);
}

/// Identity and service of some runner; `None` while all have crashed.
pub(crate) fn some_runner(fleet: &Fleet, random: &mut ChaCha8Rng) -> Option<(String, String)> {
    let places = locked(&fleet.places);
    if places.is_empty() {
        return None;
    }
    let place = &places[random.random_range(0..places.len())];
    Some((place.runner.id().to_owned(), place.state.service.clone()))
}

async fn crash_runner(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Some((id, service)) = some_runner(fleet, random) else {
        return;
    };
    let ongoing = fleet.disturbances.begin(Target::Runner);
    fleet.end_runner(&id);
    sleep(some_time(random)).await;
    let zone = fleet.zone_of(&id);
    locked(&fleet.places).retain(|place| place.runner.id() != id);
    fleet.store.remove_runner(&id);
    if let Err(error) = fleet.add_runner(&service, &zone).await {
        fleet.violation(format!("START of a runner: {error}"));
    }
    fleet.disturbances.end(&ongoing);
}

/// Replaces a runner as planned.
async fn drain_runner(fleet: &Fleet, random: &mut ChaCha8Rng) {
    replace_runner(fleet, random, Duration::ZERO).await;
}

/// The same; its answers say so before the list does.
async fn drain_runner_late(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let list_delay = some_time(random);
    replace_runner(fleet, random, list_delay).await;
}

async fn replace_runner(fleet: &Fleet, random: &mut ChaCha8Rng, list_delay: Duration) {
    let Some((id, service)) = some_runner(fleet, random) else {
        return;
    };
    if locked(&fleet.drains).iter().any(|drain| drain.runner == id) {
        return;
    }
    if let Err(error) = fleet.add_runner(&service, &fleet.zone_of(&id)).await {
        fleet.violation(format!("START of a runner: {error}"));
    }
    sleep(Duration::from_secs(1)).await;
    if !list_delay.is_zero() {
        fleet.say(&id, Notice::Leaving, None);
        sleep(list_delay).await;
    }
    for place in locked(&fleet.places).iter_mut() {
        if place.runner.id() == id {
            place.state.draining = true;
            fleet.store.set_runner(&id, &place.state);
        }
    }
    locked(&fleet.drains).push(Drain {
        runner: id.clone(),
        at: Instant::now(),
    });
    sleep(DRAIN_TIME).await;
    fleet.store.remove_runner(&id);
    let leaving = {
        let mut places = locked(&fleet.places);
        let index = places.iter().position(|place| place.runner.id() == id);
        index.map(|index| places.remove(index))
    };
    if let Some(place) = leaving {
        while place.runner.running() > 0 {
            sleep(Duration::from_millis(50)).await;
        }
        place.runner.kill();
    }
}

/// Adds a route and asks every daemon for it.
async fn new_route(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let name = format!("extra-{:08x}", random.next_u32());
    fleet.add_route(&name);
    let published = Instant::now();
    sleep(CONFIGURATION_BOUND).await;
    let Ok(client) = reqwest::Client::builder().no_proxy().build() else {
        return;
    };
    for (daemon, address) in fleet.addresses.iter().enumerate() {
        let request = format!("{:016x}", random.next_u64());
        let ask = Ask::new(request, &format!("/{name}/x"), WorkKind::Repeatable);
        let outcome = send(&client, ask, daemon, *address).await;
        let concerns =
            |target: Target| matches!(target, Target::Store) || target == Target::Daemon(daemon);
        let touched = fleet
            .disturbances
            .touched(concerns, published, outcome.ended_at, CALM);
        if outcome.ending == Ending::Refused(404) && !touched {
            let text = format!("CONFIG daemon-{daemon} does not know {name} after 2.5 s");
            fleet.violation(text);
        }
    }
}

/// Open connections to the store and to runners go silent for good, while new ones work.
async fn silence_connections(fleet: &Fleet) {
    let store = fleet.disturbances.begin(Target::Store);
    let runners = fleet.disturbances.begin(Target::Runner);
    for way in &fleet.store_ways {
        way.silence_open();
    }
    for place in locked(&fleet.places).iter() {
        place.proxy.silence_open();
    }
    // Only a time-out of the daemons' own shows it.
    sleep(SILENCE_NOTICED).await;
    fleet.disturbances.end(&store);
    fleet.disturbances.end(&runners);
}
