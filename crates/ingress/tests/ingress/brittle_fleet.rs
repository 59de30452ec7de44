//! Many daemons before a few brittle runners.
//!
//! Guards against daemons that each keep to their own share of the rejections that a runner tolerates: where there are
//! more daemons than rejections, each may cause one, and all of them in the same second. Runners failed far below
//! their capacity.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::runners::Runner;
use futures::future::join_all;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::brittle_runner::{BrittleRunner, Properties};
use crate::store::MemoryStore;
use crate::support::{SilentControl, TestIngress, configuration, runner};

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
/// Time in which a coordinator takes over and hears from all daemons.
const COORDINATION_TIME: Duration = Duration::from_secs(3);

/// Daemons before brittle runners.
struct Fleet {
    daemons: Vec<TestIngress>,
    runners: Vec<BrittleRunner>,
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
        let names: Vec<String> = (0..DAEMONS).map(|index| format!("d{index}")).collect();
        let starting = names.iter().map(|name| {
            TestIngress::start_with_store(name, store.share(), Arc::new(SilentControl))
        });
        let daemons = join_all(starting).await;
        join_all(daemons.iter().map(TestIngress::until_ready)).await;
        sleep(COORDINATION_TIME).await;
        Self { daemons, runners }
    }

    /// Sends requests at an even rate to all daemons in turn. If they are alike, they differ in their IDs only.
    async fn send_load(&self, rate: u32, are_alike: bool) -> Outcome {
        let mut requests = JoinSet::new();
        let count = rate * u32::try_from(LOAD_TIME.as_secs()).unwrap();
        for index in 0..count {
            let daemon = &self.daemons[index as usize % DAEMONS];
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
