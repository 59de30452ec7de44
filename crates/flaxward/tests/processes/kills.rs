//! Daemons that die or are paused in the middle of a load: never a replica or a byte too many, and
//! whoever waits at a living daemon is answered in time.

use std::time::{Duration, Instant};

use flaxward_emulator::engine::EngineTiming;
use nix::sys::signal::Signal;

use crate::support::callers::{Ask, Ending, ask, assert_all_whole};
use crate::support::records::{assert_memory_kept, loads, most_at_once};
use crate::support::{Region, Shape, eventually};

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(15);

const ONE_MODEL: &[&str] = &[
    "create version turbine@v1 checkpoint 'turbine/v1' weights 1GiB kv 1GiB",
    "create model turbine serving v1 copies at most 1",
];

fn shape(zones: usize, daemons: u32) -> Shape {
    Shape {
        zones,
        daemons,
        timing: EngineTiming {
            load_ms: 3_000,
            decode_us: 2_000,
            ..EngineTiming::default()
        },
        ..Shape::default()
    }
}

/// Sends requests to one daemon from tasks of their own.
fn ask_there(region: &Region, daemon: usize, requests: Vec<Ask>) -> Calls {
    let calls = requests.into_iter().map(|request| {
        let http = region.http.clone();
        let address = region.daemons[daemon].address.clone();
        tokio::spawn(async move {
            let request = request.with("x-flaxward-deadline", "15s");
            let started = Instant::now();
            let ending = ask(&http, &address, &request).await;
            (ending, started.elapsed())
        })
    });
    Calls(calls.collect())
}

/// Requests in progress.
struct Calls(Vec<tokio::task::JoinHandle<(Ending, Duration)>>);

impl Calls {
    /// Waits for all answers, each of which must state what became of its request and come about when
    /// its deadline passes at the latest.
    async fn answered(self) -> Vec<Ending> {
        let mut endings = Vec::new();
        for call in self.0 {
            let (ending, took) = call.await.expect("no caller panics");
            assert!(ending.is_stated(), "{ending:?}");
            assert!(took < DEADLINE * 2, "{ending:?} only after {took:?}");
            endings.push(ending);
        }
        endings
    }
}

async fn coordinator(region: &Region, asked: usize) -> usize {
    let mut found = None;
    eventually("the zone has a coordinator", async || {
        found = region.coordinator(asked, "zone-a").await;
        found.is_some()
    })
    .await;
    found.expect("it was found")
}

#[tokio::test(flavor = "multi_thread")]
async fn coordinators_killed_one_after_the_other_in_the_middle_of_a_load_leave_one_load() {
    let mut region = Region::start(shape(1, 3), ONE_MODEL).await;
    let first = coordinator(&region, 0).await;
    let others = [(first + 1) % 3, (first + 2) % 3];
    let waiting = others.map(|daemon| {
        let requests = Ask::many("turbine", 20, 12);
        ask_there(&region, daemon, requests)
    });
    eventually("the load has begun", async || {
        !loads(&region.platform, "turbine@v1").is_empty()
    })
    .await;
    region.daemons[first].signal(Signal::SIGKILL);
    let mut second = first;
    eventually("another one leads", async || {
        let found = region.coordinator(others[0], "zone-a").await;
        second = found.unwrap_or(first);
        second != first
    })
    .await;
    let third = 3 - first - second;
    region.daemons[second].signal(Signal::SIGKILL);
    for (daemon, calls) in others.into_iter().zip(waiting) {
        if daemon == third {
            assert_all_whole(&calls.answered().await);
        }
    }
    eventually("the last one leads", async || {
        region.coordinator(third, "zone-a").await == Some(third)
    })
    .await;
    let ending = region.ask(third, &Ask::new("turbine", "after", 5)).await;
    assert_eq!(ending, Ending::Whole);
    assert_eq!(loads(&region.platform, "turbine@v1").len(), 1);
    assert_memory_kept(&region.platform);
    region.daemons.clear();
}

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_killed_in_the_middle_of_a_load_are_replaced_and_load_nothing_again() {
    let mut region = Region::start(shape(3, 1), ONE_MODEL).await;
    let lost: Vec<Calls> = (0..3)
        .map(|daemon| ask_there(&region, daemon, Ask::many("turbine", 5, 12)))
        .collect();
    eventually("the load has begun", async || {
        !loads(&region.platform, "turbine@v1").is_empty()
    })
    .await;
    for daemon in &region.daemons {
        daemon.signal(Signal::SIGKILL);
    }
    drop(lost);
    for daemon in 0..3 {
        region.daemons[daemon].ended().await;
        region.restart(daemon).await;
    }
    region.settle().await;
    let calls: Vec<Calls> = (0..3)
        .map(|daemon| ask_there(&region, daemon, Ask::many("turbine", 5, 12)))
        .collect();
    for calls in calls {
        assert_all_whole(&calls.answered().await);
    }
    assert_eq!(loads(&region.platform, "turbine@v1").len(), 1);
    assert_memory_kept(&region.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_coordinator_cannot_load_what_its_successor_has_moved() {
    let mut shape = shape(1, 2);
    shape.timing.load_ms = 100;
    let region = Region::start(shape, ONE_MODEL).await;
    let short = "change policy set keep_alive_min 100ms, keep_alive_max 200ms";
    region.command(0, short).await;
    let holder = coordinator(&region, 0).await;
    let other = 1 - holder;
    let first = region.ask(holder, &Ask::new("turbine", "first", 1)).await;
    assert_eq!(first, Ending::Whole);
    eventually("the model sleeps again", async || {
        let loads = loads(&region.platform, "turbine@v1");
        loads.iter().all(|(_, load)| load.freed_unix_ms.is_some())
    })
    .await;
    let home = loads(&region.platform, "turbine@v1")[0].0.clone();

    region.daemons[holder].signal(Signal::SIGSTOP);
    eventually("the other one leads", async || {
        region.coordinator(other, "zone-a").await == Some(other)
    })
    .await;
    let drain = format!("drain machine {home} reason 'the model must move'");
    region.command(other, &drain).await;
    // A request that came before the successor knows of the drain would be served at home first.
    let shown = format!("show runners where name = {home}");
    eventually("the successor knows of the drain", async || {
        region.rows(other, &shown, &["state"]).await == [["drained"]]
    })
    .await;
    let long = ask_there(&region, other, vec![Ask::new("turbine", "long", 1_000)]);
    eventually("the model has moved", async || {
        let loads = loads(&region.platform, "turbine@v1");
        loads.len() == 2 && loads[1].0 != home
    })
    .await;
    region.daemons[holder].signal(Signal::SIGCONT);
    let late = ask_there(&region, holder, Ask::many("turbine", 5, 5));
    late.answered().await;
    assert_all_whole(&long.answered().await);
    assert_eq!(most_at_once(&region.platform, "turbine@v1"), 1);
}

/// Models that do not all fit at once: two on each of two engines.
const MODELS: [&str; 6] = ["m1", "m2", "m3", "m4", "m5", "m6"];

#[tokio::test(flavor = "multi_thread")]
async fn a_coordinator_paused_past_its_lease_does_no_harm_when_it_goes_on() {
    let mut shape = shape(1, 2);
    shape.memory = 7 << 30;
    shape.timing.load_ms = 300;
    let mut commands = vec!["change policy set keep_alive_min 100ms, keep_alive_max 1s".to_owned()];
    for model in MODELS {
        commands.push(format!(
            "create version {model}@v1 checkpoint '{model}/v1' weights 2GiB kv 1GiB"
        ));
        commands.push(format!("create model {model} serving v1 copies at most 1"));
    }
    let commands: Vec<&str> = commands.iter().map(String::as_str).collect();
    let region = Region::start(shape, &commands).await;
    for engine in region.platform.engines().values() {
        // Orders are on their way for a while, so that some overtake the pause.
        engine.update_faults(|faults| faults.delay_orders_ms = 50);
    }
    let mut paused = 0;
    let mut served = 0;
    for round in 0..4 {
        let holder = coordinator(&region, paused).await;
        let other = 1 - holder;
        let before = ask_everything(&region, holder, round);
        tokio::time::sleep(Duration::from_millis(40 * round)).await;
        region.daemons[holder].signal(Signal::SIGSTOP);
        let during = ask_everything(&region, other, round);
        eventually("the other one leads", async || {
            region.coordinator(other, "zone-a").await == Some(other)
        })
        .await;
        region.daemons[holder].signal(Signal::SIGCONT);
        let after = ask_everything(&region, holder, round);
        for calls in [before, during, after] {
            let endings = calls.answered().await;
            served += endings
                .iter()
                .filter(|ending| **ending == Ending::Whole)
                .count();
        }
        paused = holder;
    }
    for model in MODELS {
        let most = most_at_once(&region.platform, &format!("{model}@v1"));
        assert!(most <= 1, "{model}: {most} replicas at once");
    }
    assert_memory_kept(&region.platform);
    assert!(served > 0, "something was served");
    for model in MODELS {
        eventually("each model is served again", async || {
            region.ask(0, &Ask::new(model, "why", 3)).await == Ending::Whole
        })
        .await;
    }
}

fn ask_everything(region: &Region, daemon: usize, round: u64) -> Calls {
    let requests = MODELS.iter().flat_map(|model| {
        let ask = move |number| Ask::new(model, format!("{round}, {number}"), 8);
        (0..3).map(ask)
    });
    ask_there(region, daemon, requests.collect())
}
