//! Many daemons before a few brittle runners.
//!
//! Guards against daemons that each keep to their own share of the rejections that a runner tolerates: where there are
//! more daemons than rejections, each may cause one, and all of them in the same second. Runners failed far below
//! their capacity.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::runners::Runner;
use futures::future::join_all;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::brittle_runner::{BrittleRunner, CONTACT_TIME, Properties};
use crate::store::MemoryStore;
use crate::support::{SilentControl, TestIngress, configuration, runner, settings};

const DAEMONS: usize = 24;
const RUNNERS: usize = 3;
/// Failures that operators accept in a period in which the runners of a service are brittle: 2 and a tenth of their
/// number.
const FAILURES_ACCEPTED: usize = 2 + RUNNERS / 10;
const ROOM: u32 = 2;
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Requests per second that all runners together can serve.
const CAPACITY: u32 = 60;
const LOAD_TIME: Duration = Duration::from_secs(12);
/// Body of the refusal of a quarantined request.
const QUARANTINED: &str = "\"code\":3008,";
/// Time in which the first daemon becomes coordinator.
const ELECTION_TIME: Duration = Duration::from_millis(1_500);
/// Time in which a coordinator hears from all daemons.
const COORDINATION_TIME: Duration = Duration::from_secs(3);

/// Daemons before brittle runners.
struct Fleet {
    daemons: Vec<TestIngress>,
    runners: Vec<BrittleRunner>,
    /// Runs the first daemon, which coordinates.
    coordinator: Option<Runtime>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_coordinator();
    }
}

/// The answers to the requests of a load period.
#[derive(Debug, Default)]
struct Outcome {
    sent: usize,
    served: usize,
    /// Answers other than 200 without `retry-after`.
    failed: usize,
    /// Refusals of quarantined requests.
    quarantined: usize,
}

impl Fleet {
    async fn start(limit: usize) -> Self {
        let properties = Properties {
            limit,
            room: ROOM as usize,
            service_time: SERVICE_TIME,
            fails: true,
        };
        let runners = join_all((0..RUNNERS).map(|_| BrittleRunner::start(properties))).await;
        let store = MemoryStore::default();
        let entries = runners.iter().enumerate().map(|(index, started)| Runner {
            slots: ROOM,
            ..runner(index, started.address)
        });
        store.set_runners(entries.collect());
        store.set_configuration(configuration(1, Vec::new()));
        let runtime = Runtime::new().unwrap();
        let start = |name: String| {
            let settings = settings(&name);
            TestIngress::start_with(settings, store.share(), Arc::new(SilentControl))
        };
        let coordinator = runtime.spawn(start("d0".to_owned())).await.unwrap();
        coordinator.until_ready().await;
        sleep(ELECTION_TIME).await;
        let members = join_all((1..DAEMONS).map(|index| start(format!("d{index}")))).await;
        join_all(members.iter().map(TestIngress::until_ready)).await;
        sleep(COORDINATION_TIME).await;
        Self {
            daemons: std::iter::once(coordinator).chain(members).collect(),
            runners,
            coordinator: Some(runtime),
        }
    }

    fn kill_coordinator(&mut self) {
        if let Some(runtime) = self.coordinator.take() {
            runtime.shutdown_background();
        }
    }

    /// Sends requests at an even rate to all daemons in turn. If they are alike, they differ in their IDs only.
    async fn send_load(&self, rate: u32, are_alike: bool) -> Outcome {
        self.send_load_to(&self.daemons, rate, are_alike).await
    }

    async fn send_load_to(&self, daemons: &[TestIngress], rate: u32, are_alike: bool) -> Outcome {
        let mut requests = JoinSet::new();
        let count = rate * u32::try_from(LOAD_TIME.as_secs()).unwrap();
        for index in 0..count {
            let daemon = &daemons[index as usize % daemons.len()];
            let path = if are_alike {
                "/safe/x".to_owned()
            } else {
                format!("/safe/{index}")
            };
            requests.spawn(daemon.request(&path, &format!("{index}")).send());
            sleep(Duration::from_secs(1) / rate).await;
        }
        let mut outcome = Outcome::default();
        for answer in requests.join_all().await {
            let answer = answer.unwrap();
            outcome.sent += 1;
            let is_served = answer.status() == 200;
            let has_retry_after = answer.headers().contains_key("retry-after");
            outcome.served += usize::from(is_served);
            outcome.failed += usize::from(!is_served && !has_retry_after);
            let text = answer.text().await.unwrap();
            outcome.quarantined += usize::from(text.contains(QUARANTINED));
        }
        outcome
    }

    fn assert_runners_have_survived(&self, outcome: &Outcome) {
        let failures: Vec<usize> = self.runners.iter().map(|it| it.state().failures).collect();
        let total: usize = failures.iter().sum();
        assert!(
            total <= FAILURES_ACCEPTED,
            "runners failed {failures:?} times, {FAILURES_ACCEPTED} accepted: {outcome:?}"
        );
    }
}

/// Guards against failures of runners that have room for all requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn many_daemons_below_the_capacity_of_brittle_runners_do_not_make_them_fail() {
    let fleet = Fleet::start(6).await;
    let outcome = fleet.send_load(CAPACITY * 2 / 3, false).await;
    fleet.assert_runners_have_survived(&outcome);
    assert!(outcome.served * 10 >= outcome.sent * 9, "{outcome:?}");
}

/// Guards against failures of overloaded runners, and against overload protection that leaves them idle.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn many_daemons_above_the_capacity_of_brittle_runners_do_not_make_them_fail() {
    let fleet = Fleet::start(6).await;
    let outcome = fleet.send_load(CAPACITY * 3 / 2, false).await;
    fleet.assert_runners_have_survived(&outcome);
    let capacity = (CAPACITY * 12) as usize;
    assert!(outcome.served * 3 >= capacity * 2, "{outcome:?}");
}

/// Guards against failures of runners that tolerate fewer rejections than there are runners.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn many_daemons_do_not_make_runners_fail_that_tolerate_two_rejections() {
    let fleet = Fleet::start(2).await;
    let outcome = fleet.send_load(CAPACITY * 3 / 2, false).await;
    fleet.assert_runners_have_survived(&outcome);
    let capacity = (CAPACITY * 12) as usize;
    assert!(outcome.served * 3 >= capacity * 2, "{outcome:?}");
}

/// Guards against a quarantine of sound requests that were at runners which failed under rejections.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn requests_at_runners_that_fail_under_rejections_are_not_quarantined() {
    let fleet = Fleet::start(6).await;
    let outcome = fleet.send_load(CAPACITY * 3 / 2, true).await;
    assert_eq!(outcome.quarantined, 0, "{outcome:?}");
    fleet.assert_runners_have_survived(&outcome);
}

/// Guards against failures of runners while no coordinator counts the requests at them, and against a service that waits
/// for the next one longer than a lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn brittle_runners_survive_the_loss_of_the_coordinator() {
    let mut fleet = Fleet::start(6).await;
    let warm_up = fleet.daemons[1..].iter().take(3);
    for (index, daemon) in warm_up.enumerate() {
        let request = daemon.request("/safe/x", &format!("{}", 1_000_000 + index));
        assert_eq!(request.send().await.unwrap().status(), 200);
    }
    sleep(CONTACT_TIME).await;
    fleet.kill_coordinator();
    let outcome = fleet
        .send_load_to(&fleet.daemons[1..], CAPACITY * 2 / 3, false)
        .await;
    fleet.assert_runners_have_survived(&outcome);
    assert!(outcome.served * 2 >= outcome.sent, "{outcome:?}");
}
