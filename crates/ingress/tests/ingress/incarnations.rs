//! Runners that restart under the same name, and unreadable entries beside valid ones.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::names::{RunnerId, RunnerStart};
use flaxward_routing::runners::Runner;
use tokio::time::sleep;

use crate::runner::{Behaviour, ScriptedRunner};
use crate::store::MemoryStore;
use crate::support::{ImmediateLoadControl, RARE_MODEL, TestIngress, configuration, runner};

/// Time within which a daemon that watches the store has applied a change and confirmed it with
/// reports.
const CONFIRMATION_TIME: Duration = Duration::from_millis(1_500);

fn start(millis: u64) -> RunnerStart {
    RunnerStart::from_millis(millis).unwrap()
}

async fn status(test: &TestIngress, id: &str) -> u16 {
    let request = test.request("/stream/", id).header("x-model", RARE_MODEL);
    request.send().await.unwrap().status().as_u16()
}

/// What the first incarnation had loaded is loaded again before the second gets a request for it,
/// by orders whose numbers start over.
#[tokio::test]
async fn state_of_an_ended_incarnation_is_discarded() {
    let server = ScriptedRunner::start(vec![Behaviour::Events(1, 2); 2]).await;
    let incarnation = |millis: u64| Runner {
        id: RunnerId::with_start("r0", start(millis)),
        ..runner(0, server.address)
    };
    let control = Arc::new(ImmediateLoadControl::default());
    control.restart(start(5));
    let store = MemoryStore::default();
    store.set_runners(vec![incarnation(5)]);
    store.set_configuration(configuration(1, Vec::new()));
    let test = TestIngress::start_with_store("d", store, control.clone()).await;
    test.until_ready().await;
    sleep(CONFIRMATION_TIME).await;
    assert_eq!(status(&test, "id-1").await, 200);
    assert_eq!(*control.expected.lock().unwrap(), [0]);

    control.restart(start(9));
    test.store.set_runners(vec![incarnation(9)]);
    sleep(CONFIRMATION_TIME).await;
    assert_eq!(status(&test, "id-2").await, 200);
    assert_eq!(*control.expected.lock().unwrap(), [0, 0]);
    assert_eq!(
        control.order_count(),
        1,
        "the second incarnation has loaded it"
    );
}

/// Reports of the next incarnation arrive before its entry: they confirm nothing, and no order goes
/// to the ended incarnation.
#[tokio::test]
async fn a_runner_gets_no_order_while_another_incarnation_of_it_reports() {
    let server = ScriptedRunner::start(vec![Behaviour::Events(1, 2)]).await;
    let listed = Runner {
        id: RunnerId::with_start("r0", start(5)),
        ..runner(0, server.address)
    };
    let control = Arc::new(ImmediateLoadControl::default());
    control.restart(start(9));
    let store = MemoryStore::default();
    store.set_runners(vec![listed]);
    store.set_configuration(configuration(1, Vec::new()));
    let test = TestIngress::start_with_store("d", store, control.clone()).await;
    test.until_ready().await;
    sleep(CONFIRMATION_TIME).await;
    assert_eq!(status(&test, "id-1").await, 503);
    assert_eq!(control.order_count(), 0);
}

/// Requests are still served; none goes to the runner whose entry was overwritten.
#[tokio::test]
async fn an_entry_that_cannot_be_read_costs_its_runner_alone() {
    let near = ScriptedRunner::start(Vec::new()).await;
    let far = ScriptedRunner::start(Vec::new()).await;
    let test = TestIngress::start(&[&near, &far]).await;
    let send = async |id: &str| test.request("/unsafe/", id).send().await.unwrap().status();
    assert_eq!(send("id-1").await, 200);
    assert_eq!((near.received().len(), far.received().len()), (1, 0));
    test.store.overwrite_runner("r0");
    sleep(CONFIRMATION_TIME).await;
    for id in ["id-2", "id-3", "id-4"] {
        assert_eq!(send(id).await, 200);
    }
    assert_eq!((near.received().len(), far.received().len()), (1, 3));

    // A daemon that starts now reads the same list.
    let store = test.store.share();
    let late =
        TestIngress::start_with_store("late", store, Arc::new(ImmediateLoadControl::default()))
            .await;
    late.until_ready().await;
    let response = late.request("/unsafe/", "id-5").send().await.unwrap();
    assert_eq!((response.status().as_u16(), far.received().len()), (200, 4));
}

/// An idle connection to an ended incarnation would break with its next request. Other connections
/// stay open, also when an ended incarnation is still listed beside the next one at its address and
/// is then removed.
#[tokio::test]
async fn idle_connections_close_with_the_incarnation_they_go_to() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let incarnation = |name: &str, millis: u64| Runner {
        id: RunnerId::with_start(name, start(millis)),
        ..runner(0, server.address)
    };
    let test = TestIngress::start_unconfigured().await;
    test.store.set_runners(vec![incarnation("r0", 5)]);
    test.store.set_configuration(configuration(1, Vec::new()));
    test.until_ready().await;
    let propagation_time = Duration::from_millis(900);
    // Runners listed at the address next, and the number of connections that this closes.
    let steps = [
        (vec![incarnation("r0", 5), incarnation("r9", 5)], 1),
        (vec![incarnation("r9", 5)], 0),
        (vec![incarnation("r9", 9)], 1),
    ];
    for (index, (runners, expected)) in steps.into_iter().enumerate() {
        let before = server.closed();
        let response = test.request("/safe/", &format!("id-{index}")).send();
        assert_eq!(response.await.unwrap().status(), 200);
        test.store.set_runners(runners);
        sleep(propagation_time).await;
        assert_eq!(server.closed() - before, expected, "step {index}");
    }
}
