//! The faults, one after another and a few at a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use flaxward_platform_stand_in::{CRASHING_BODY, WorkKind};
use nix::sys::signal::Signal;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::callers::{Ask, COMMON_BODY, Ending, send};
use crate::checks::CALM;
use crate::daemon::Stop;
use crate::disturbances::Target;
use crate::proxy::Mode;
use crate::soak::{
    Drain, Fleet, MODELS, PLAIN_TIMEOUT, PlannedStop, START_PATIENCE, STREAM_TIMEOUT, locked,
};

/// Faults at one time.
const AT_ONCE: usize = 3;
/// Time in which a new configuration must be in force.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(2_500);
/// Time in which daemons must have noticed that connections are silent.
const SILENCE_NOTICED: Duration = Duration::from_secs(3);
/// Time for which a runner that leaves goes on serving.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillDaemon(usize),
    StopDaemon(usize),
    PauseDaemon(usize),
    CutFromStore(usize),
    StoreOut,
    ForgetHistory,
    CutRunner,
    CrashRunner,
    DrainRunner,
    NewRoute,
    CrashingRequest,
    SilenceConnections,
}

/// Injects faults for some time, and waits until they are over.
pub(crate) async fn inject(fleet: &Arc<Fleet>, random: &mut ChaCha8Rng, duration: Duration) {
    let end = Instant::now() + duration;
    let mut running = JoinSet::new();
    while Instant::now() < end {
        while running.len() >= AT_ONCE {
            running.join_next().await;
        }
        let fault = draw(random, fleet.daemons.len());
        let own = ChaCha8Rng::seed_from_u64(random.next_u64());
        locked(&fleet.faults).push(format!("{fault:?}"));
        let fleet = fleet.clone();
        running.spawn(async move { strike(&fleet, fault, own).await });
        sleep(Duration::from_millis(random.random_range(200..2_500))).await;
    }
    while running.join_next().await.is_some() {}
}

fn draw(random: &mut ChaCha8Rng, daemons: usize) -> Fault {
    let daemon = random.random_range(0..daemons);
    match random.random_range(0..23) {
        0..=2 => Fault::KillDaemon(daemon),
        3..=6 => Fault::StopDaemon(daemon),
        7..=8 => Fault::PauseDaemon(daemon),
        9..=10 => Fault::CutFromStore(daemon),
        11 => Fault::StoreOut,
        12 => Fault::ForgetHistory,
        13..=14 => Fault::CutRunner,
        15 => Fault::CrashRunner,
        16..=17 => Fault::DrainRunner,
        18..=19 => Fault::CrashingRequest,
        20 => Fault::SilenceConnections,
        _ => Fault::NewRoute,
    }
}

fn some_time(random: &mut ChaCha8Rng) -> Duration {
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

async fn strike(fleet: &Fleet, fault: Fault, mut random: ChaCha8Rng) {
    match fault {
        Fault::KillDaemon(daemon) => kill_daemon(fleet, daemon, some_time(&mut random)).await,
        Fault::StopDaemon(daemon) => stop_daemon(fleet, daemon).await,
        Fault::PauseDaemon(daemon) => pause_daemon(fleet, daemon, some_time(&mut random)).await,
        Fault::CutFromStore(daemon) => {
            let ongoing = fleet.disturbances.begin(Target::Daemon(daemon));
            fleet.store_ways[daemon].set_mode(some_mode(&mut random));
            sleep(some_time(&mut random)).await;
            fleet.store_ways[daemon].set_mode(Mode::Pass);
            fleet.disturbances.end(&ongoing);
        }
        Fault::StoreOut => {
            let ongoing = fleet.disturbances.begin(Target::Store);
            let mode = some_mode(&mut random);
            for way in &fleet.store_ways {
                way.set_mode(mode);
            }
            sleep(some_time(&mut random)).await;
            for way in &fleet.store_ways {
                way.set_mode(Mode::Pass);
            }
            fleet.disturbances.end(&ongoing);
        }
        Fault::ForgetHistory => fleet.store.forget_history(),
        Fault::CutRunner => cut_runner(fleet, &mut random).await,
        Fault::CrashRunner => crash_runner(fleet, &mut random).await,
        Fault::DrainRunner => drain_runner(fleet, &mut random).await,
        Fault::NewRoute => new_route(fleet, &mut random).await,
        Fault::CrashingRequest => crashing_request(fleet, &mut random).await,
        Fault::SilenceConnections => silence_connections(fleet).await,
    }
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
    let ongoing = fleet.disturbances.begin(Target::Runner);
    let id = {
        let places = locked(&fleet.places);
        let place = &places[random.random_range(0..places.len())];
        place.proxy.set_mode(some_mode(random));
        place.runner.id().to_owned()
    };
    sleep(some_time(random)).await;
    for place in locked(&fleet.places).iter() {
        if place.runner.id() == id {
            place.proxy.set_mode(Mode::Pass);
        }
    }
    fleet.disturbances.end(&ongoing);
}

/// Identity and service of some runner, unless it is the last but one of its service.
fn some_runner(fleet: &Fleet, random: &mut ChaCha8Rng) -> (String, String) {
    let places = locked(&fleet.places);
    let place = &places[random.random_range(0..places.len())];
    (place.runner.id().to_owned(), place.state.service.clone())
}

async fn crash_runner(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let (id, service) = some_runner(fleet, random);
    let ongoing = fleet.disturbances.begin(Target::Runner);
    for place in locked(&fleet.places).iter() {
        if place.runner.id() == id {
            place.runner.end();
        }
    }
    sleep(some_time(random)).await;
    locked(&fleet.places).retain(|place| place.runner.id() != id);
    fleet.store.remove_runner(&id);
    if let Err(error) = fleet.add_runner(&service).await {
        fleet.violation(format!("START of a runner: {error}"));
    }
    fleet.disturbances.end(&ongoing);
}

/// Replaces a runner as planned.
async fn drain_runner(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let (id, service) = some_runner(fleet, random);
    if locked(&fleet.drains).iter().any(|drain| drain.runner == id) {
        return;
    }
    if let Err(error) = fleet.add_runner(&service).await {
        fleet.violation(format!("START of a runner: {error}"));
    }
    sleep(Duration::from_secs(1)).await;
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
        place.runner.end();
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
        let ask = Ask {
            request: format!("{:016x}", random.next_u64()),
            path: format!("/{name}/x"),
            kind: WorkKind::Repeatable,
            model: None,
            body: COMMON_BODY.to_owned(),
            deadline: Duration::from_secs(2),
        };
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

/// A caller repeats a request that crashes each runner which begins to run it, at any daemon.
async fn crashing_request(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Ok(client) = reqwest::Client::builder().no_proxy().build() else {
        return;
    };
    let body = format!("{CRASHING_BODY}-{:08x}", random.next_u32());
    let (path, kind) = match random.random_range(0..3) {
        0 => ("/safe/x", WorkKind::Repeatable),
        1 => ("/once/x", WorkKind::AtMostOnce),
        _ => ("/stream/x", WorkKind::Stream { resumable: true }),
    };
    let is_stream = matches!(kind, WorkKind::Stream { .. });
    let end = Instant::now() + Duration::from_millis(random.random_range(4_000..20_000));
    while Instant::now() < end {
        let ask = Ask {
            request: format!("{:016x}", random.next_u64()),
            path: path.to_owned(),
            kind,
            model: is_stream.then(|| MODELS[0].to_owned()),
            body: body.clone(),
            deadline: if is_stream {
                STREAM_TIMEOUT
            } else {
                PLAIN_TIMEOUT
            },
        };
        let daemon = random.random_range(0..fleet.addresses.len());
        let outcome = send(&client, ask, daemon, fleet.addresses[daemon]).await;
        locked(&fleet.outcomes).push(outcome);
        sleep(Duration::from_millis(random.random_range(100..700))).await;
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
