//! Runners that say in their answers that they leave.
//!
//! Seen: two requests reached a runner 2.9 s after it had said so in an answer that the same daemon had passed on. The store
//! did not answer meanwhile, so that no list told it. The list was all that daemons believed: these tests, with a list that
//! never tells it, failed on that code. What a runner says of itself counts beside the list now, for the daemon that was
//! told, for all others, and for the coordinator that places models.

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
/// Time in which one daemon's word reaches all others.
const WORD: Duration = Duration::from_millis(500);

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

/// Sends requests until one has reached a runner. Until a coordinator has told a daemon how many daemons there are, it assumes
/// more than the runners have slots for, and takes a runner at random instead of the nearest.
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
async fn a_runner_that_has_said_that_it_leaves_gets_nothing_more() {
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
    // What it says of itself stands also where it says nothing more.
    leaving.set_notice("");
    for number in 0..10 {
        assert_eq!(status(&daemon, &format!("id-{number}"), MODEL).await, 200);
    }
    assert_eq!(leaving.received().len(), 1);
    assert_eq!(other.received().len(), before + 10);
}

#[tokio::test]
async fn what_only_a_leaving_runner_could_serve_is_refused_with_a_time_to_come_back() {
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
async fn daemons_tell_each_other_that_a_runner_leaves() {
    let (leaving, other) = (
        ScriptedRunner::start(Vec::new()).await,
        ScriptedRunner::start(Vec::new()).await,
    );
    let store = store(vec![runner(0, leaving.address), runner(1, other.address)]);
    let control = Arc::default();
    let told = daemon("a", &store, &control).await;
    let untold = daemon("b", &store, &control).await;
    sleep(Duration::from_millis(1_200)).await;
    leaving.set_notice(LEAVES);
    send_until_reached(&told, &leaving).await;
    sleep(WORD).await;
    for number in 0..10 {
        assert_eq!(status(&untold, &format!("id-{number}"), MODEL).await, 200);
    }
    assert_eq!(leaving.received().len(), 1);
}

/// The coordinator must know it too: otherwise it takes the model for loaded, and no request is served.
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
