//! Runners that announce in their answers that they are leaving.
//!
//! Guards against requests to a runner after its leaving notice: two requests reached a runner 2.9
//! s after the notice, in an answer that the same daemon had forwarded. Daemons relied on the
//! store's list alone, and the store did not answer in between. These tests, whose list never shows
//! the runner as leaving, failed on that code. A notice now counts beside the list: at the daemon
//! that received it, at all others, and at the coordinator that places models.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::names::ModelName;
use flaxward_routing::runners::Runner;
use tokio::time::sleep;

use crate::runner::ScriptedRunner;
use crate::store::MemoryStore;
use crate::support::{
    ImmediateLoadControl, MODEL, RARE_MODEL, TestIngress, configuration, runner, settings,
};

const LEAVES: &str = "x-leaves: 1\r\n";
/// Time within which an update of one daemon reaches all others.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

async fn daemon(
    name: &str,
    store: &MemoryStore,
    control: &Arc<ImmediateLoadControl>,
) -> TestIngress {
    let daemon = TestIngress::start_with(settings(name), store.share(), control.clone()).await;
    daemon.until_ready().await;
    daemon
}

fn store(runners: Vec<Runner>) -> MemoryStore {
    let store = MemoryStore::default();
    store.set_runners(runners);
    store.set_configuration(configuration(1, Vec::new()));
    store
}

/// The status of the answer to a request for a model.
async fn status(daemon: &TestIngress, id: &str, model: &str) -> u16 {
    let request = daemon.request("/safe/x", id).header("x-model", model);
    request.send().await.unwrap().status().as_u16()
}

/// Sends requests until one has reached a runner. Until a coordinator has announced the number of
/// daemons, a daemon assumes more of them than the runners have slots for, and picks a runner at
/// random instead of the nearest.
async fn send_until_reached(daemon: &TestIngress, runner: &ScriptedRunner) {
    const TRIES: usize = 200;
    for number in 0..TRIES {
        assert_eq!(status(daemon, &format!("told-{number}"), MODEL).await, 200);
        if !runner.received().is_empty() {
            return;
        }
    }
    panic!("no request of {TRIES} has reached the runner");
}

#[tokio::test]
async fn a_runner_that_announced_leaving_gets_no_more_requests() {
    let (leaving, other) = (
        ScriptedRunner::start(Vec::new()).await,
        ScriptedRunner::start(Vec::new()).await,
    );
    let store = store(vec![runner(0, leaving.address), runner(1, other.address)]);
    let daemon = daemon("d", &store, &Arc::default()).await;
    leaving.set_notice(LEAVES);
    send_until_reached(&daemon, &leaving).await;
    assert_eq!(leaving.received().len(), 1);
    let before = other.received().len();
    // The notice stays in effect when later answers carry none.
    leaving.set_notice("");
    for number in 0..10 {
        assert_eq!(status(&daemon, &format!("id-{number}"), MODEL).await, 200);
    }
    assert_eq!(leaving.received().len(), 1);
    assert_eq!(other.received().len(), before + 10);
}

#[tokio::test]
async fn requests_that_only_a_leaving_runner_could_serve_are_refused_with_retry_after() {
    let leaving = ScriptedRunner::start(Vec::new()).await;
    let store = store(vec![runner(0, leaving.address)]);
    let daemon = daemon("d", &store, &Arc::default()).await;
    leaving.set_notice(LEAVES);
    assert_eq!(status(&daemon, "told", MODEL).await, 200);
    let request = daemon.request("/safe/x", "id").header("x-model", MODEL);
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(leaving.received().len(), 1);
}

#[tokio::test]
async fn daemons_announce_leaving_runners_to_each_other() {
    let (leaving, other) = (
        ScriptedRunner::start(Vec::new()).await,
        ScriptedRunner::start(Vec::new()).await,
    );
    let store = store(vec![runner(0, leaving.address), runner(1, other.address)]);
    let control = Arc::default();
    let announcer = daemon("a", &store, &control).await;
    let receiver = daemon("b", &store, &control).await;
    sleep(Duration::from_millis(1_200)).await;
    leaving.set_notice(LEAVES);
    send_until_reached(&announcer, &leaving).await;
    sleep(PROPAGATION_TIME).await;
    for number in 0..10 {
        assert_eq!(status(&receiver, &format!("id-{number}"), MODEL).await, 200);
    }
    assert_eq!(leaving.received().len(), 1);
}

/// The coordinator must know it too: otherwise it considers the model loaded, and no request is
/// served.
#[tokio::test]
async fn what_a_leaving_runner_holds_is_loaded_elsewhere() {
    let (leaving, other) = (
        ScriptedRunner::start(Vec::new()).await,
        ScriptedRunner::start(Vec::new()).await,
    );
    let rare = Runner {
        holdings: [(ModelName::new(RARE_MODEL), BTreeSet::new())].into(),
        ..runner(0, leaving.address)
    };
    let store = store(vec![rare, runner(1, other.address)]);
    let daemon = daemon("d", &store, &Arc::default()).await;
    leaving.set_notice(LEAVES);
    assert_eq!(status(&daemon, "told", RARE_MODEL).await, 200);
    let mut last = 0;
    for number in 0..20 {
        last = status(&daemon, &format!("id-{number}"), RARE_MODEL).await;
        if last == 200 {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(last, 200);
    assert_eq!(leaving.received().len(), 1);
}
