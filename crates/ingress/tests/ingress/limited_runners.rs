//! Runners that name a rate which they take from all daemons together.
//!
//! Seen: a runner that had named 1 request a second got 12 in 4 s, and one that had named 1.6 got 17, from daemons that had
//! all passed on an answer which said so. No daemon read the rate. Keeping to it at each daemon would not have helped: the
//! twelve requests came from seven daemons. So such requests need permits of the coordinator. That the rate was the cause is
//! shown by these tests, which failed before, and by a model in virtual time (`limited_runners` of the routing crate).

use std::sync::Arc;
use std::time::{Duration, Instant};

use flaxward_routing::configuration::{ClientLimits, Configuration, RouteKind};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::runner::ScriptedRunner;
use crate::store::MemoryStore;
use crate::support::{ImmediateLoadControl, MODEL, TestIngress, route, runner, service, settings};

/// Requests a second that the runner names.
const RATE: f64 = 1.0;
const NAMES_RATE: &str = "x-rate-limit: 1\r\n";
/// Time over which operators bound what a runner gets.
const SPAN: Duration = Duration::from_secs(4);
/// Requests in any [`SPAN`] at most: one and a half times the rate, and 5.
const BOUND: f64 = RATE * 4.0 * 1.5 + 5.0;
/// Time after it was told from which a daemon's requests count.
const TOLD: Duration = Duration::from_millis(500);
/// Time after which a coordinator knows all permits that still count.
const COORDINATED: Duration = Duration::from_millis(5_000);
/// Requests that each daemon gets in a second.
const DEMAND: u64 = 5;

/// Three daemons before some runners.
async fn daemons(
    servers: &[&ScriptedRunner],
    control: Arc<ImmediateLoadControl>,
) -> Vec<TestIngress> {
    let store = MemoryStore::default();
    let entries = servers.iter().enumerate();
    store.set_runners(
        entries
            .map(|(index, it)| runner(index, it.address))
            .collect(),
    );
    let route = route("/safe/", RouteKind::Repeatable);
    let limits = ClientLimits::default();
    store.set_configuration(Configuration::new(1, limits, vec![route], vec![service()]));
    let mut daemons = Vec::new();
    for name in ["a", "b", "c"] {
        let daemon = TestIngress::start_with(settings(name), store.share(), control.clone()).await;
        daemon.until_ready().await;
        daemons.push(daemon);
    }
    sleep(COORDINATED).await;
    daemons
}

fn request(daemon: &TestIngress, id: &str) -> reqwest::RequestBuilder {
    daemon.request("/safe/x", id).header("x-model", MODEL)
}

/// Has each daemon pass on one answer of a runner, at one time: they tell each other what it says.
async fn tell(daemons: &[TestIngress]) {
    let mut told = JoinSet::new();
    for (place, daemon) in daemons.iter().enumerate() {
        told.spawn(request(daemon, &format!("told-{place}")).send());
    }
    for answer in told.join_all().await {
        assert_eq!(answer.unwrap().status(), 200);
    }
}

/// What became of the requests of some seconds.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    /// Refused with a time to come back.
    refused: usize,
}

/// Sends requests to all daemons for some time.
async fn press(daemons: &[TestIngress], time: Duration) -> Outcome {
    let mut requests = JoinSet::new();
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < time {
        for (place, daemon) in daemons.iter().enumerate() {
            let request = request(daemon, &format!("id-{place}-{number}"));
            requests.spawn(async move {
                let response = request.send().await.unwrap();
                let comes_back = response.headers().contains_key("retry-after");
                (response.status().as_u16(), comes_back)
            });
        }
        number += 1;
        sleep(Duration::from_millis(1_000 / DEMAND)).await;
    }
    let mut outcome = Outcome::default();
    for (status, comes_back) in requests.join_all().await {
        if status == 200 {
            outcome.served += 1;
        } else {
            assert!(status == 503 && comes_back, "{status}");
            outcome.refused += 1;
        }
    }
    outcome
}

/// The most arrivals in any [`SPAN`] from a time on.
fn most_in_a_span(arrivals: &[Instant], from: Instant) -> usize {
    let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let count = |first: &Instant| {
        let within = |at: &&Instant| **at >= *first && at.duration_since(*first) < SPAN;
        counted.iter().filter(within).count()
    };
    counted.iter().map(count).max().unwrap_or(0)
}

fn arrivals(server: &ScriptedRunner) -> Vec<Instant> {
    server.received().iter().map(|it| it.at).collect()
}

#[allow(clippy::cast_precision_loss)]
fn assert_within_bound(most: usize) {
    assert!(most as f64 <= BOUND, "{most} in {SPAN:?}");
}

#[tokio::test]
async fn a_limited_runner_gets_no_more_than_its_rate_from_all_daemons() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let daemons = daemons(&[&server], Arc::default()).await;
    server.set_notice(NAMES_RATE);
    tell(&daemons).await;
    let told_at = Instant::now();
    sleep(TOLD).await;
    let outcome = press(&daemons, Duration::from_secs(9)).await;
    assert_within_bound(most_in_a_span(&arrivals(&server), told_at + TOLD));
    // It takes its rate, and what it can't take is refused with a time to come back.
    assert!(outcome.served >= 7, "{outcome:?}");
    assert!(outcome.refused > 0, "{outcome:?}");
}

/// Seen beside 6 requests of clients in 4 s: 12 were counted at the runner. The coordinator's reports and orders reach it as
/// requests do, and a report is read up to seven times a second while an order is under way.
#[tokio::test]
async fn a_limited_runner_is_asked_for_reports_within_its_rate() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let control = Arc::new(ImmediateLoadControl::default());
    // A report that shows an order which nobody here has given is read again and again.
    control.set_busy(true);
    let daemons = daemons(&[&server], control.clone()).await;
    server.set_notice(NAMES_RATE);
    tell(&daemons).await;
    let told_at = Instant::now();
    sleep(TOLD).await;
    let outcome = press(&daemons, Duration::from_secs(9)).await;
    let mut all = arrivals(&server);
    all.extend(control.calls());
    all.sort();
    assert_within_bound(most_in_a_span(&all, told_at + TOLD));
    assert!(outcome.served >= 7, "{outcome:?}");
}

#[tokio::test]
async fn a_runner_that_names_no_rate_any_more_gets_all_again() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let daemons = daemons(&[&server], Arc::default()).await;
    server.set_notice(NAMES_RATE);
    tell(&daemons).await;
    press(&daemons, Duration::from_secs(2)).await;
    server.set_notice("");
    press(&daemons, Duration::from_secs(3)).await;
    let outcome = press(&daemons, Duration::from_secs(2)).await;
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}

/// One that holds the same and names no rate comes first.
#[tokio::test]
async fn requests_go_to_runners_that_name_no_rate() {
    let (limited, other) = (
        ScriptedRunner::start(Vec::new()).await,
        ScriptedRunner::start(Vec::new()).await,
    );
    let daemons = daemons(&[&limited, &other], Arc::default()).await;
    limited.set_notice(NAMES_RATE);
    press(&daemons, Duration::from_secs(1)).await;
    sleep(TOLD).await;
    let from = Instant::now();
    let outcome = press(&daemons, Duration::from_secs(5)).await;
    assert_within_bound(most_in_a_span(&arrivals(&limited), from));
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}
