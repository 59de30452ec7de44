//! Several daemons and their coordinator.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use flaxward_routing::configuration::RouteKind;
use flaxward_routing::runners::Runner;
use tokio::time::sleep;

use crate::runner::{Behaviour, ScriptedRunner};
use crate::store::MemoryStore;
use crate::support::{
    ImmediateLoadControl, OTHER_RARE_MODEL, RARE_MODEL, TestIngress, configuration, route, runner,
    settings,
};

/// Time within which an evacuation must be followed.
const EVACUATION_BOUND: Duration = Duration::from_secs(2);

async fn status(test: &TestIngress, id: &str) -> u16 {
    status_of(test, RARE_MODEL, id).await
}

async fn status_of(test: &TestIngress, model: &str, id: &str) -> u16 {
    let request = test.request("/stream/", id).header("x-model", model);
    request.send().await.unwrap().status().as_u16()
}

#[tokio::test]
async fn a_model_that_is_asked_for_is_loaded_and_the_request_waits() {
    let server = ScriptedRunner::start(vec![Behaviour::Events(1, 2)]).await;
    let store = MemoryStore::default();
    store.set_runners(vec![runner(0, server.address)]);
    store.set_configuration(configuration(1, Vec::new()));
    let control = Arc::new(ImmediateLoadControl::default());
    let test = TestIngress::start_with_store("d", store, control).await;
    test.until_ready().await;
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(status(&test, "id-1").await, 200);
}

/// Seen in an incident: a daemon that was cut off from the store did not learn of the next coordinator,
/// and refused what that one had loaded.
#[tokio::test]
async fn a_daemon_cut_off_from_the_store_hears_of_the_next_coordinator() {
    let server = ScriptedRunner::start(vec![Behaviour::Events(1, 2)]).await;
    let store = MemoryStore::default();
    store.set_runners(vec![runner(0, server.address)]);
    store.set_configuration(configuration(1, Vec::new()));
    let control = Arc::new(ImmediateLoadControl::default());
    let mut first = TestIngress::start_with_store("a", store.share(), control.clone()).await;
    first.until_ready().await;
    sleep(Duration::from_millis(1_000)).await;
    let second = TestIngress::start_with_store("b", store.share(), control.clone()).await;
    let third = TestIngress::start_with_store("c", store.share(), control.clone()).await;
    second.until_ready().await;
    third.until_ready().await;
    sleep(Duration::from_millis(2_500)).await;

    third.store.is_silent.store(true, Ordering::Relaxed);
    first.ingress.take().unwrap().stop().await;
    // The successor waits a lease before its first order.
    sleep(Duration::from_millis(4_000)).await;
    assert_eq!(status(&third, "id-1").await, 200);
}

/// Seen on played days: before the first configuration, a daemon that heard a coordinator went round and
/// round between its watch and the coordinator's word, and had no time for anything else.
#[tokio::test]
async fn a_daemon_without_a_configuration_does_not_spin() {
    let store = MemoryStore::default();
    let control = Arc::new(ImmediateLoadControl::default());
    let first = TestIngress::start_with_store("a", store.share(), control.clone()).await;
    sleep(Duration::from_millis(1_000)).await;
    let second = TestIngress::start_with_store("b", store.share(), control).await;
    sleep(Duration::from_millis(1_000)).await;
    let begun = Instant::now();
    let reads = second.store.reads.load(Ordering::Relaxed);
    sleep(Duration::from_millis(500)).await;
    assert!(
        begun.elapsed() < Duration::from_millis(700),
        "the task was held up"
    );
    let more = second.store.reads.load(Ordering::Relaxed) - reads;
    assert!(more < 10, "{more} reads in half a second");
    assert_eq!(first.ready_status().await, 503);
}

/// Seen on a hunted day: a daemon that had once watched the store by itself kept a watch open that was never
/// answered, though the coordinator told of a new configuration.
#[tokio::test]
async fn a_daemon_turns_back_from_its_own_watch_to_the_coordinator() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let store = MemoryStore::default();
    store.set_runners(vec![runner(0, server.address)]);
    store.set_configuration(configuration(1, Vec::new()));
    let control = Arc::new(ImmediateLoadControl::default());
    let first = TestIngress::start_with_store("a", store.share(), control.clone()).await;
    first.until_ready().await;
    sleep(Duration::from_millis(1_000)).await;
    let second = TestIngress::start_with_store("b", store.share(), control).await;
    second.until_ready().await;
    sleep(Duration::from_millis(1_500)).await;

    // The coordinator hears nothing of the store for a while, so that the other daemon watches it.
    first.store.is_silent.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(1_700)).await;
    second.store.is_silent.store(true, Ordering::Relaxed);
    let new = route("/new/", RouteKind::Repeatable);
    store.set_configuration(configuration(2, vec![new]));
    sleep(Duration::from_millis(50)).await;
    first.store.is_silent.store(false, Ordering::Relaxed);
    second.store.is_silent.store(false, Ordering::Relaxed);
    sleep(Duration::from_millis(1_800)).await;
    let response = second.request("/new/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 200);
}

/// Two daemons of which the first coordinates.
pub async fn two_daemons(runners: Vec<Runner>) -> (MemoryStore, TestIngress, TestIngress) {
    let store = MemoryStore::default();
    store.set_runners(runners);
    store.set_configuration(configuration(1, Vec::new()));
    let control = Arc::new(ImmediateLoadControl::default());
    let first = TestIngress::start_with_store("a", store.share(), control.clone()).await;
    first.until_ready().await;
    sleep(Duration::from_millis(1_000)).await;
    let second = TestIngress::start_with_store("b", store.share(), control).await;
    second.until_ready().await;
    sleep(Duration::from_millis(1_500)).await;
    (store, first, second)
}

/// Seen at 80 daemons: each change of a runner made every daemon read the whole list.
#[tokio::test]
async fn changes_of_runners_come_from_the_coordinator_and_not_from_the_store() {
    let leaving = ScriptedRunner::start(Vec::new()).await;
    let new = ScriptedRunner::start(Vec::new()).await;
    let (store, first, second) = two_daemons(vec![runner(0, leaving.address)]).await;
    let reads = second.store.reads.load(Ordering::Relaxed);

    let drained = Runner {
        draining: true,
        revision: 3,
        ..runner(0, leaving.address)
    };
    let added = Runner {
        revision: 3,
        ..runner(1, new.address)
    };
    store.set_runners(vec![drained, added]);
    sleep(Duration::from_millis(1_500)).await;
    for id in ["id-1", "id-2", "id-3"] {
        let response = second.request("/unsafe/", id).send().await.unwrap();
        assert_eq!(response.status(), 200);
    }
    assert_eq!(new.received().len(), 3, "work went to a runner that leaves");
    assert_eq!(second.store.reads.load(Ordering::Relaxed), reads);
    assert_eq!(first.ready_status().await, 200);
}

#[tokio::test]
async fn an_old_answer_is_enough_if_it_holds_the_version_that_was_told() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let (store, first, second) = two_daemons(vec![runner(0, server.address)]).await;
    let latest = second.store.latest_reads.load(Ordering::Relaxed);

    let new = route("/new/", RouteKind::Repeatable);
    store.set_configuration(configuration(2, vec![new]));
    sleep(Duration::from_millis(1_000)).await;
    let response = second.request("/new/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(second.store.latest_reads.load(Ordering::Relaxed), latest);

    *second.store.old_configuration.lock().unwrap() = Some(configuration(2, Vec::new()));
    let newer = route("/newer/", RouteKind::Repeatable);
    store.set_configuration(configuration(3, vec![newer]));
    sleep(Duration::from_millis(1_000)).await;
    let response = second.request("/newer/", "id-2").send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(first.ready_status().await, 200);
}

/// Seen on played days: the runner whose holdings had changed last was gone, so that members were told of a
/// version which no message brought, and took nothing in any more.
#[tokio::test]
async fn holdings_are_heard_of_after_a_runner_is_gone() {
    let stays = ScriptedRunner::start(vec![Behaviour::Events(1, 2); 8]).await;
    let goes = ScriptedRunner::start(Vec::new()).await;
    let both = vec![runner(0, stays.address), runner(1, goes.address)];
    let (store, first, second) = two_daemons(both).await;
    // The second runner has the youngest holdings, and is gone before the third daemon comes.
    store.set_runners(vec![runner(0, stays.address)]);
    sleep(Duration::from_millis(1_200)).await;
    let control = Arc::new(ImmediateLoadControl::default());
    let third = TestIngress::start_with_store("c", store.share(), control).await;
    third.until_ready().await;
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(status(&third, "id-1").await, 200);
    assert_eq!(status(&second, "id-2").await, 200);
    assert_eq!(status(&first, "id-3").await, 200);
}

/// Seen in a soak: a daemon never learnt what was loaded. How it came about: the coordinator's lease ran out while a renewal
/// was under way; the renewal was answered late, so that the same term went on, but the coordinator numbered what it knows of
/// the runners from the beginning, and the daemon knew higher numbers of that term. What proved it: `lease-acquired term=2`
/// for the second time, and one daemon that sent requests to a runner which had dropped the model half a minute before.
#[tokio::test]
async fn members_learn_what_is_loaded_after_a_term_went_on_that_had_run_out() {
    let server = ScriptedRunner::start(vec![Behaviour::Events(1, 2); 3]).await;
    let (_store, first, second) = two_daemons(vec![runner(0, server.address)]).await;
    assert_eq!(status(&second, "id-1").await, 200);
    // The lease holds for 2.7 s and is renewed each 0.3 s: an answer that takes longer than the rest of it and shorter than
    // the whole.
    first.store.lease_delay_ms.store(2_550, Ordering::Relaxed);
    sleep(Duration::from_millis(2_000)).await;
    first.store.lease_delay_ms.store(0, Ordering::Relaxed);
    sleep(Duration::from_millis(1_700)).await;
    assert_eq!(status_of(&first, OTHER_RARE_MODEL, "id-2").await, 200);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(status_of(&second, OTHER_RARE_MODEL, "id-3").await, 200);
}

/// Seen on a day with an evacuation: nothing read them, and 626 requests reached the zone too late.
#[tokio::test]
async fn an_evacuated_zone_gets_nothing_until_that_is_taken_back() {
    let near = ScriptedRunner::start(Vec::new()).await;
    let far = ScriptedRunner::start(Vec::new()).await;
    let store = MemoryStore::default();
    store.set_runners(vec![runner(0, near.address), runner(1, far.address)]);
    store.set_configuration(configuration(1, Vec::new()));
    let control = Arc::new(ImmediateLoadControl::default());
    let mut daemons = Vec::new();
    for name in ["a", "b"] {
        let mut own = settings(name);
        own.evacuation_bound = Some(EVACUATION_BOUND);
        let daemon = TestIngress::start_with(own, store.share(), control.clone()).await;
        daemon.until_ready().await;
        sleep(Duration::from_millis(1_200)).await;
        daemons.push(daemon);
    }
    let mut number = 0;
    let mut served_by_near = async || {
        let before = near.received().len();
        for daemon in &daemons {
            number += 1;
            let response = daemon.request("/safe/x", &format!("id-{number}"));
            assert_eq!(response.send().await.unwrap().status(), 200);
        }
        near.received().len() - before
    };
    assert_eq!(served_by_near().await, 2);
    store.set_evacuated(&["z0"]);
    sleep(EVACUATION_BOUND).await;
    assert_eq!(served_by_near().await, 0);
    store.set_evacuated(&[]);
    sleep(EVACUATION_BOUND).await;
    assert_eq!(served_by_near().await, 2);
}

/// Guards against a runner that gets work for longer than it may after it has said that it leaves: a daemon that begins to watch
/// the store for others took in the list only after a watch of what came before it had ended, and that was not answered.
#[tokio::test]
async fn a_list_counts_though_a_watch_of_what_came_before_it_is_not_answered() {
    let leaving = ScriptedRunner::start(Vec::new()).await;
    let staying = ScriptedRunner::start(Vec::new()).await;
    let both = vec![runner(0, leaving.address), runner(1, staying.address)];
    let (store, first, second) = two_daemons(both.clone()).await;
    first.store.is_silent.store(true, Ordering::Relaxed);
    second
        .store
        .change_and_lose_history(configuration(2, Vec::new()));
    let drained = Runner {
        draining: true,
        ..runner(0, leaving.address)
    };
    store.set_runners(vec![drained, runner(1, staying.address)]);
    sleep(Duration::from_millis(3_000)).await;
    let response = second.request("/unsafe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(leaving.received().len(), 0);
}
