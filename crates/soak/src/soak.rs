//! The soak: lets faults and callers loose, and checks what they saw.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flaxward_platform_stand_in::WorkKind;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::callers::{Ask, Ending, send};
use crate::checks;
use crate::faults::{self, FaultKind};
use crate::fleet::{Fleet, locked};
use crate::setup::MODELS;
use crate::store_checks;

/// Callers at one time.
const CALLERS: usize = 12;
/// Time from the last fault until everything must be served again.
const RECOVERY: Duration = Duration::from_secs(20);

/// What is to be run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// All that is random comes from it.
    pub seed: u64,
    /// Time with faults.
    pub duration: Duration,
    /// Daemons.
    pub daemons: usize,
    /// The faults and how often each strikes; none for a calm run.
    pub faults: Vec<(FaultKind, u32)>,
    /// Builds of the program that take turns from start to start of each daemon.
    pub binaries: Vec<PathBuf>,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests sent.
    pub requests: usize,
    /// Requests served whole.
    pub served: usize,
    /// Faults injected, by name.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

/// One caller: sends requests one after the other.
async fn call(fleet: &Fleet, mut random: ChaCha8Rng) {
    let client = reqwest::Client::builder().no_proxy().build();
    let Ok(client) = client else {
        return;
    };
    while !fleet.is_over() {
        let ask = random_ask(&mut random);
        let daemon = random.random_range(0..fleet.daemons.len());
        let outcome = send(&client, ask, daemon, fleet.addresses[daemon]).await;
        locked(&fleet.outcomes).push(outcome);
        sleep(Duration::from_millis(random.random_range(10..120))).await;
    }
}

/// Checks that a daemon serves each model again, within a time for all of them.
async fn recovers(fleet: &Fleet, daemon: usize, mut random: ChaCha8Rng) {
    let Ok(client) = reqwest::Client::builder().no_proxy().build() else {
        return;
    };
    let end = Instant::now() + RECOVERY;
    for model in MODELS {
        let mut is_served = false;
        while Instant::now() < end && !is_served {
            let request = format!("{:016x}", random.next_u64());
            let ask = Ask {
                model: Some(model.to_owned()),
                ..Ask::new(request, "/stream/x", WorkKind::Stream { resumable: true })
            };
            let outcome = send(&client, ask, daemon, fleet.addresses[daemon]).await;
            is_served = outcome.ending == Ending::Served;
        }
        if !is_served {
            fleet.violation(format!("RECOVER daemon-{daemon} does not serve {model}"));
        }
    }
}

fn random_ask(random: &mut ChaCha8Rng) -> Ask {
    let request = format!("{:016x}", random.next_u64());
    let (path, kind) = match random.random_range(0..10) {
        0..=2 => ("/safe/x", WorkKind::Repeatable),
        3..=5 => ("/once/x", WorkKind::AtMostOnce),
        6..=8 => ("/stream/x", WorkKind::Stream { resumable: true }),
        _ => ("/stream-once/x", WorkKind::Stream { resumable: false }),
    };
    let is_stream = matches!(kind, WorkKind::Stream { .. });
    let model = if random.random_bool(0.85) {
        MODELS[0]
    } else {
        MODELS[random.random_range(1..MODELS.len())]
    };
    Ask {
        model: is_stream.then(|| model.to_owned()),
        ..Ask::new(request, path, kind)
    }
}

/// Runs a soak.
///
/// # Errors
/// Fails if the processes or stand-ins cannot be started.
pub async fn soak(plan: &Plan) -> anyhow::Result<Report> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let fleet = Arc::new(Fleet::start(plan).await?);
    let mut tasks = JoinSet::new();
    for _ in 0..CALLERS {
        let (fleet, random) = (fleet.clone(), ChaCha8Rng::seed_from_u64(random.next_u64()));
        tasks.spawn(async move { call(&fleet, random).await });
    }
    let listing = fleet.clone();
    tasks.spawn(async move { listing.keep_list().await });
    let (crashing, own) = (fleet.clone(), ChaCha8Rng::seed_from_u64(random.next_u64()));
    tasks.spawn(async move { crashing.crash_runners(own).await });
    if plan.faults.is_empty() {
        sleep(plan.duration).await;
    } else {
        faults::inject(&fleet, &plan.faults, &mut random, plan.duration).await;
    }
    let mut recoveries = JoinSet::new();
    for daemon in 0..plan.daemons {
        let (fleet, random) = (fleet.clone(), ChaCha8Rng::seed_from_u64(random.next_u64()));
        recoveries.spawn(async move { recovers(&fleet, daemon, random).await });
    }
    while recoveries.join_next().await.is_some() {}
    fleet.end();
    while tasks.join_next().await.is_some() {}
    for daemon in &fleet.daemons {
        let mut daemon = daemon.lock().await;
        if daemon.has_ended() {
            fleet.violation(format!("EXIT {} has ended by itself", daemon.name()));
        }
        daemon.kill().await;
    }
    checks::check(&fleet);
    store_checks::write_log(&fleet, &plan.folder)?;
    let outcomes = locked(&fleet.outcomes);
    let served = outcomes.iter().filter(|it| it.ending == Ending::Served);
    Ok(Report {
        requests: outcomes.len(),
        served: served.count(),
        faults: locked(&fleet.faults).clone(),
        violations: locked(&fleet.violations).clone(),
    })
}
