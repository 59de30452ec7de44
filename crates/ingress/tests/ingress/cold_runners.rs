//! Requests to cold runners from several daemons.

use std::sync::Arc;
use std::time::{Duration, Instant};

use flaxward_routing::cold::{ColdRunnerSettings, ColdStart};
use flaxward_routing::configuration::{ClientLimits, Configuration, RouteKind};
use flaxward_routing::permits::PERMIT_LIFE;
use flaxward_routing::runners::Runner;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::runner::ScriptedRunner;
use crate::stall::StallMonitor;
use crate::store::MemoryStore;
use crate::support::{ImmediateLoadControl, TestIngress, route, runner, service, settings};

const RATE: f64 = 4.0;
const SETTINGS: ColdRunnerSettings = ColdRunnerSettings {
    rate_factor: 1.5,
    slack: 2.0,
};
/// Maximum requests to a cold runner per second: 4 x 1.5 + 2.
const BOUND: usize = 8;
const COLD_PERIOD: Duration = Duration::from_secs(6);
const REQUESTS: usize = 20;
const EVACUATION_BOUND: Duration = Duration::from_secs(2);

fn configuration() -> Configuration {
    let mut service = service();
    service.cold_start = Some(ColdStart {
        duration: COLD_PERIOD,
        requests_per_second: RATE,
    });
    let route = route("/safe/", RouteKind::Repeatable);
    Configuration::new(1, ClientLimits::default(), vec![route], vec![service])
}

fn entry(server: &ScriptedRunner, revision: u64, cold_for: Duration) -> Runner {
    Runner {
        revision,
        cold_for,
        ..runner(0, server.address)
    }
}

/// Two daemons with one warm runner, and their store.
async fn warm_daemons(server: &ScriptedRunner) -> (Vec<TestIngress>, MemoryStore) {
    let store = MemoryStore::default();
    store.set_runners(vec![entry(server, 1, Duration::ZERO)]);
    store.set_configuration(configuration());
    let control = Arc::new(ImmediateLoadControl::default());
    let mut daemons = Vec::new();
    for name in ["a", "b"] {
        let mut own = settings(name);
        own.cold_runners = Some(SETTINGS);
        own.evacuation_bound = Some(EVACUATION_BOUND);
        let daemon = TestIngress::start_with(own, store.share(), control.clone()).await;
        daemon.until_ready().await;
        sleep(Duration::from_millis(1_200)).await;
        daemons.push(daemon);
    }
    (daemons, store)
}

/// Two daemons with one cold runner.
async fn daemons(server: &ScriptedRunner) -> Vec<TestIngress> {
    let (daemons, store) = warm_daemons(server).await;
    store.set_runners(vec![entry(server, 10, COLD_PERIOD)]);
    sleep(Duration::from_millis(900)).await;
    daemons
}

/// The answer to a request.
struct Answer {
    status: u16,
    retry_after: Option<f64>,
    after: Duration,
}

/// Sends requests to all daemons concurrently.
async fn burst(daemons: &[TestIngress]) -> Vec<Answer> {
    let mut requests = JoinSet::new();
    for (index, daemon) in daemons.iter().enumerate() {
        for number in 0..REQUESTS {
            let request = daemon.request("/safe/x", &format!("id-{index}-{number}"));
            let request = request.header("x-model", crate::support::MODEL);
            requests.spawn(async move {
                let started = Instant::now();
                let response = request.send().await.unwrap();
                let retry_after = response.headers().get("retry-after");
                Answer {
                    status: response.status().as_u16(),
                    retry_after: retry_after.map(|it| it.to_str().unwrap().parse().unwrap()),
                    after: started.elapsed(),
                }
            });
        }
    }
    requests.join_all().await
}

/// The maximum number of requests that a runner received in any second.
fn peak_per_second(server: &ScriptedRunner) -> usize {
    let received: Vec<Instant> = server.received().iter().map(|it| it.at).collect();
    let count = |from: &Instant| {
        let within =
            |at: &&Instant| **at >= *from && at.duration_since(*from) < Duration::from_secs(1);
        received.iter().filter(within).count()
    };
    received.iter().map(count).max().unwrap_or(0)
}

/// Guards against exceeding a cold runner's limit in total although each daemon on its own prefers
/// other runners.
#[tokio::test]
async fn a_cold_runner_gets_no_more_than_its_bound_from_all_daemons() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let daemons = daemons(&server).await;
    let answers = burst(&daemons).await;
    let served = answers.iter().filter(|it| it.status == 200).count();
    let peak = peak_per_second(&server);
    assert!(peak <= BOUND, "{peak} in a second");
    assert!(served >= 4, "{served} served");
    assert_eq!(served, server.received().len());
}

/// Answers to a burst during which the test's runtime never stalled long enough for permits to
/// expire unused: a request that waited for such a permit is refused late, as it must be.
async fn answers_without_stall() -> Vec<Answer> {
    const TRIES: usize = 10;
    for _ in 0..TRIES {
        let server = ScriptedRunner::start(Vec::new()).await;
        let daemons = daemons(&server).await;
        let stall_monitor = StallMonitor::start();
        let answers = burst(&daemons).await;
        if stall_monitor.max_stall() < PERMIT_LIFE / 2 {
            return answers;
        }
    }
    panic!("the runtime stalled in each of {TRIES} tries");
}

/// Guards against a busy loop: requests for which every runner was withheld retried without a pause
/// and used up all processor time. Here such a loop would never end, since the test runtime has one
/// thread.
#[tokio::test]
async fn requests_that_cold_runners_cannot_serve_in_time_are_refused_at_once() {
    let answers = answers_without_stall().await;
    let refused: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    assert!(!refused.is_empty());
    for answer in refused {
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.is_some_and(|after| after > 1.0));
        assert!(
            answer.after < Duration::from_millis(600),
            "{:?}",
            answer.after
        );
    }
}

/// Runners of an evacuated zone may have turned cold meanwhile, whatever their entries say.
#[tokio::test]
async fn a_returned_zone_counts_as_cold_for_a_cold_period() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let (daemons, store) = warm_daemons(&server).await;
    store.set_evacuated_zones(&["z0"]);
    sleep(EVACUATION_BOUND).await;
    store.set_evacuated_zones(&[]);
    sleep(EVACUATION_BOUND).await;
    let answers = burst(&daemons).await;
    assert!(answers.iter().any(|it| it.status == 200));
    let peak = peak_per_second(&server);
    assert!(peak <= BOUND, "{peak} in a second");
}
