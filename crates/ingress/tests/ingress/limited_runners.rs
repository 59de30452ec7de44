//! Runners that announce a rate limit for the requests of all daemons together.
//!
//! Guards against exceeding the announced rate: a runner with a limit of 1 request per second
//! received 12 in 4 s, and one with 1.6 received 17, from daemons that had all forwarded an answer
//! with the limit. No daemon read the limit. Enforcing it at each daemon separately would not have
//! helped: the twelve requests came from seven daemons. Such requests therefore need permits of the
//! coordinator. These tests failed before that, and a model in virtual time (`limited_runners` of
//! the routing crate) shows the same cause.

use std::sync::Arc;
use std::time::{Duration, Instant};

use flaxward_routing::configuration::{ClientLimits, Configuration, RouteKind};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::runner::ScriptedRunner;
use crate::store::MemoryStore;
use crate::support::{self, ImmediateLoadControl, MODEL, TestIngress, route, service, settings};

/// Announced rate limit, in requests per second.
const RATE: f64 = 1.0;
const RATE_LIMIT_HEADER: &str = "x-rate-limit: 1\r\n";
/// Window over which operators limit the requests to a runner.
const WINDOW: Duration = Duration::from_secs(4);
/// Maximum requests in any [`WINDOW`]: one and a half times the rate, and 5.
const BOUND: f64 = RATE * 4.0 * 1.5 + 5.0;
/// Time after the announcement from which a daemon's requests count.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Time after which a coordinator knows all permits that still count.
const COORDINATION_TIME: Duration = Duration::from_millis(5_000);
/// Requests per second at each daemon.
const DEMAND: u64 = 5;

/// Three daemons with the given runners.
async fn daemons(
    servers: &[&ScriptedRunner],
    control: Arc<ImmediateLoadControl>,
) -> Vec<TestIngress> {
    let store = MemoryStore::default();
    let addresses = servers.iter().map(|it| it.address);
    store.set_runners(support::runners(addresses));
    let route = route("/safe/", RouteKind::Repeatable);
    let limits = ClientLimits::default();
    store.set_configuration(Configuration::new(1, limits, vec![route], vec![service()]));
    let mut daemons = Vec::new();
    for name in ["a", "b", "c"] {
        let daemon = TestIngress::start_with(settings(name), store.share(), control.clone()).await;
        daemon.until_ready().await;
        daemons.push(daemon);
    }
    sleep(COORDINATION_TIME).await;
    daemons
}

fn request(daemon: &TestIngress, id: &str) -> reqwest::RequestBuilder {
    daemon.request("/safe/x", id).header("x-model", MODEL)
}

/// Has each daemon forward one answer of a runner at the same time, so that they announce its limit
/// to each other.
async fn announce_limit(daemons: &[TestIngress]) {
    let mut answers = JoinSet::new();
    for (index, daemon) in daemons.iter().enumerate() {
        answers.spawn(request(daemon, &format!("told-{index}")).send());
    }
    for answer in answers.join_all().await {
        assert_eq!(answer.unwrap().status(), 200);
    }
}

/// Outcome of the requests of a load period.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    /// Refused with `retry-after`.
    refused: usize,
}

/// Sends requests to all daemons for some time.
async fn send_load(daemons: &[TestIngress], time: Duration) -> Outcome {
    let mut requests = JoinSet::new();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < time {
        for (index, daemon) in daemons.iter().enumerate() {
            let request = request(daemon, &format!("id-{index}-{number}"));
            requests.spawn(async move {
                let response = request.send().await.unwrap();
                let has_retry_after = response.headers().contains_key("retry-after");
                (response.status().as_u16(), has_retry_after)
            });
        }
        number += 1;
        sleep(Duration::from_millis(1_000 / DEMAND)).await;
    }
    let mut outcome = Outcome::default();
    for (status, has_retry_after) in requests.join_all().await {
        if status == 200 {
            outcome.served += 1;
        } else {
            assert!(status == 503 && has_retry_after, "{status}");
            outcome.refused += 1;
        }
    }
    outcome
}

/// The maximum number of arrivals in any [`WINDOW`] from a time on.
fn peak_per_window(arrivals: &[Instant], from: Instant) -> usize {
    let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let count = |first: &Instant| {
        let within = |at: &&Instant| **at >= *first && at.duration_since(*first) < WINDOW;
        counted.iter().filter(within).count()
    };
    counted.iter().map(count).max().unwrap_or(0)
}

fn arrivals(server: &ScriptedRunner) -> Vec<Instant> {
    server.received().iter().map(|it| it.at).collect()
}

#[allow(clippy::cast_precision_loss)]
fn assert_within_bound(peak: usize) {
    assert!(peak as f64 <= BOUND, "{peak} in {WINDOW:?}");
}

#[tokio::test]
async fn a_limited_runner_gets_no_more_than_its_rate_from_all_daemons() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let daemons = daemons(&[&server], Arc::default()).await;
    server.set_notice(RATE_LIMIT_HEADER);
    announce_limit(&daemons).await;
    let announced_at = Instant::now();
    sleep(PROPAGATION_TIME).await;
    let outcome = send_load(&daemons, Duration::from_secs(9)).await;
    assert_within_bound(peak_per_window(
        &arrivals(&server),
        announced_at + PROPAGATION_TIME,
    ));
    // The runner is used up to its rate, and the excess is refused with `retry-after`.
    assert!(outcome.served >= 7, "{outcome:?}");
    assert!(outcome.refused > 0, "{outcome:?}");
}

/// Guards against coordinator calls that exceed a runner's rate: while clients sent 6 requests in 4
/// s, 12 were counted at the runner. Reports and orders reach the runner as requests do, and a
/// report is read up to seven times a second while an order is in progress.
#[tokio::test]
async fn a_limited_runner_is_asked_for_reports_within_its_rate() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let control = Arc::new(ImmediateLoadControl::default());
    // A report with an order that no daemon here has sent is read repeatedly.
    control.set_busy(true);
    let daemons = daemons(&[&server], control.clone()).await;
    server.set_notice(RATE_LIMIT_HEADER);
    announce_limit(&daemons).await;
    let announced_at = Instant::now();
    sleep(PROPAGATION_TIME).await;
    let outcome = send_load(&daemons, Duration::from_secs(9)).await;
    let mut all = arrivals(&server);
    all.extend(control.calls());
    all.sort();
    assert_within_bound(peak_per_window(&all, announced_at + PROPAGATION_TIME));
    assert!(outcome.served >= 7, "{outcome:?}");
}

#[tokio::test]
async fn a_runner_that_withdraws_its_rate_limit_gets_all_requests_again() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let daemons = daemons(&[&server], Arc::default()).await;
    server.set_notice(RATE_LIMIT_HEADER);
    announce_limit(&daemons).await;
    send_load(&daemons, Duration::from_secs(2)).await;
    server.set_notice("");
    send_load(&daemons, Duration::from_secs(3)).await;
    let outcome = send_load(&daemons, Duration::from_secs(2)).await;
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}

/// A runner that has loaded the same model and has no rate limit is preferred.
#[tokio::test]
async fn requests_prefer_runners_without_a_rate_limit() {
    let (limited, other) = (
        ScriptedRunner::start(Vec::new()).await,
        ScriptedRunner::start(Vec::new()).await,
    );
    let daemons = daemons(&[&limited, &other], Arc::default()).await;
    limited.set_notice(RATE_LIMIT_HEADER);
    send_load(&daemons, Duration::from_secs(1)).await;
    sleep(PROPAGATION_TIME).await;
    let from = Instant::now();
    let outcome = send_load(&daemons, Duration::from_secs(5)).await;
    assert_within_bound(peak_per_window(&arrivals(&limited), from));
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}
