//! Requests that may not be repeated: whichever daemons a caller sends one to, and whatever dies or is
//! lost between, it runs once at most by the service's own record, and "not run" is true.

use flaxward_emulator::fault::Strikes;
use flaxward_emulator::objects::ObjectApiFaults;
use nix::sys::signal::Signal;

use crate::support::orders::{Order, Orders, Reply, received, times_run};
use crate::support::{Region, Shape, eventually};

const CONFIGURATION: &[&str] = &["create service field-api concurrency 8"];

/// Result codes of requests that may not be repeated.
const OUTCOME_UNKNOWN: u64 = 3001;
const KEY_IN_PROGRESS: u64 = 4001;
const KEY_OUTCOME_UNKNOWN: u64 = 4002;
const CLAIM_NOT_RECORDED: u64 = 4003;
const KEY_REUSED: u64 = 4004;

async fn start(service_time_ms: u64) -> Region {
    let shape = Shape {
        engines: 0,
        services: 1,
        service_time_ms,
        ..Shape::default()
    };
    let region = Region::start(shape, CONFIGURATION).await;
    region.wait_for_services("field-api").await;
    region
}

fn address(region: &Region, daemon: usize) -> String {
    region.daemons[daemon].address.clone()
}

/// Repeats a request at a daemon until the one before it is no longer in progress.
async fn settled(region: &Region, orders: &Orders, daemon: usize, order: &Order) -> Reply {
    let address = address(region, daemon);
    let mut reply = Reply::Broken;
    eventually("the key is settled", async || {
        reply = orders.send(&address, order).await;
        reply.code() != Some(KEY_IN_PROGRESS)
    })
    .await;
    reply
}

fn lose_answers(region: &Region, strikes: Strikes) {
    for service in region.platform.services().values() {
        service.update_faults(|faults| faults.lose_answers = strikes);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_gets_the_recorded_answer_from_every_daemon() {
    let region = start(0).await;
    let orders = Orders::default();
    let order = Order::keyed("tablet-7/31");
    let first = orders.send(&address(&region, 0), &order).await;
    assert!(matches!(first, Reply::Answered(_)), "{first:?}");
    for daemon in 0..region.daemons.len() {
        assert_eq!(settled(&region, &orders, daemon, &order).await, first);
    }
    let other = Order {
        body: "another order".to_owned(),
        ..order
    };
    let reply = orders.send(&address(&region, 1), &other).await;
    assert_eq!(reply.code(), Some(KEY_REUSED), "{reply:?}");
    assert_eq!(times_run(&region.platform, "tablet-7/31"), 1);
    orders.assert_not_run_was_true(&region.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_all_daemons_at_once_runs_once() {
    let region = start(200).await;
    let orders = Orders::default();
    for round in 0..10 {
        let order = Order::keyed(&format!("round-{round}"));
        let sending = (0..12).map(|caller| {
            let address = address(&region, caller % region.daemons.len());
            let (orders, order) = (&orders, &order);
            async move { orders.send(&address, order).await }
        });
        let replies = futures::future::join_all(sending).await;
        let answered = |reply: &&Reply| matches!(reply, Reply::Answered(_));
        assert!(replies.iter().any(|reply| answered(&reply)), "{replies:?}");
        for reply in replies.iter().filter(|reply| !answered(reply)) {
            assert_eq!(reply.code(), Some(KEY_IN_PROGRESS));
        }
        let key = order.key.as_deref().expect("it has a key");
        assert_eq!(times_run(&region.platform, key), 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_answer_was_lost_does_not_run_again() {
    let region = start(0).await;
    let orders = Orders::default();
    lose_answers(&region, Strikes::always());
    let order = Order::keyed("lost");
    let first = orders.send(&address(&region, 0), &order).await;
    assert_eq!(first.code(), Some(OUTCOME_UNKNOWN), "{first:?}");
    lose_answers(&region, Strikes::default());
    for daemon in 0..region.daemons.len() {
        let reply = settled(&region, &orders, daemon, &order).await;
        assert_eq!(reply.code(), Some(KEY_OUTCOME_UNKNOWN), "{reply:?}");
    }
    assert_eq!(times_run(&region.platform, "lost"), 1);
    orders.assert_not_run_was_true(&region.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_key_whose_answer_was_lost_runs_once_and_says_so() {
    let region = start(0).await;
    let orders = Orders::default();
    let before = received(&region.platform);
    lose_answers(&region, Strikes::always());
    for daemon in 0..region.daemons.len() {
        let reply = orders
            .send(&address(&region, daemon), &Order::default())
            .await;
        let Reply::Refused(refused) = reply else {
            panic!("not refused: {reply:?}");
        };
        assert_eq!((refused.code, refused.not_run), (OUTCOME_UNKNOWN, false));
        assert_eq!(received(&region.platform), before + 1 + daemon as u64);
    }
    orders.assert_not_run_was_true(&region.platform);
}

/// A daemon dies at some moment of a request with a key.
struct Death {
    /// Whether the request has reached the service by then, or only its claim the object API.
    received: bool,
}

impl Death {
    async fn has_come(&self, region: &Region, before: u64) {
        eventually("the request is far enough", async || {
            if self.received {
                return received(&region.platform) > before;
            }
            let writes = region.platform.objects.record();
            writes.iter().any(|write| write.collection == "claims")
        })
        .await;
    }

    async fn leaves_one_run_at_most(self) {
        let mut region = start(1_000).await;
        let orders = Orders::default();
        // Short, since the claim of a dead daemon counts as in progress until its deadline and a
        // margin of 30 s have passed.
        let order = Order {
            deadline: Some("2s"),
            ..Order::keyed("killed")
        };
        let first = address(&region, 0);
        let before = received(&region.platform);
        let (broken, ()) = tokio::join!(orders.send(&first, &order), async {
            self.has_come(&region, before).await;
            region.daemons[0].signal(Signal::SIGKILL);
        });
        assert_eq!(broken, Reply::Broken);
        let at_once = orders.send(&address(&region, 1), &order).await;
        assert_eq!(at_once.code(), Some(KEY_IN_PROGRESS), "{at_once:?}");
        let reply = settled(&region, &orders, 1, &order).await;
        assert_eq!(reply.code(), Some(KEY_OUTCOME_UNKNOWN), "{reply:?}");
        region.daemons[0].ended().await;
        region.restart(0).await;
        let reply = settled(&region, &orders, 0, &order).await;
        assert_eq!(reply.code(), Some(KEY_OUTCOME_UNKNOWN), "{reply:?}");
        let times = times_run(&region.platform, "killed");
        assert!(times <= 1, "{times} runs");
        assert!(times == 1 || !self.received, "it had reached the service");
        orders.assert_not_run_was_true(&region.platform);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_killed_after_its_claim_leaves_one_run_at_most() {
    Death { received: false }.leaves_one_run_at_most().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_killed_while_the_service_runs_the_request_leaves_one_run() {
    Death { received: true }.leaves_one_run_at_most().await;
}

/// While the object API has this fault, requests with a key are refused and not run; those without
/// one are served. Afterwards the key runs once.
async fn outage(fault: impl Fn(&mut ObjectApiFaults)) {
    let region = start(0).await;
    let orders = Orders::default();
    let order = Order::keyed("outage");
    region.platform.objects.update_faults(fault);
    for daemon in 0..region.daemons.len() {
        let reply = orders.send(&address(&region, daemon), &order).await;
        let Reply::Refused(refused) = reply else {
            panic!("not refused: {reply:?}");
        };
        assert_eq!((refused.code, refused.not_run), (CLAIM_NOT_RECORDED, true));
        let unkeyed = orders
            .send(&address(&region, daemon), &Order::default())
            .await;
        assert!(matches!(unkeyed, Reply::Answered(_)), "{unkeyed:?}");
    }
    assert_eq!(times_run(&region.platform, "outage"), 0);
    let faults = ObjectApiFaults::default();
    region.platform.objects.update_faults(|all| *all = faults);
    for daemon in 0..region.daemons.len() {
        let reply = settled(&region, &orders, daemon, &order).await;
        assert!(matches!(reply, Reply::Answered(_)), "{reply:?}");
    }
    assert_eq!(times_run(&region.platform, "outage"), 1);
    orders.assert_not_run_was_true(&region.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_object_api_no_request_with_a_key_runs() {
    outage(|faults| faults.down = true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_answers_of_the_object_api_are_lost_a_key_runs_once_at_most() {
    let region = start(0).await;
    let orders = Orders::default();
    region.platform.objects.update_faults(|faults| {
        faults.lose_answers = Strikes::with_probability(0.4);
        faults.late_writes = Strikes::with_probability(0.2);
        faults.late_ms = 150;
        faults.collections = ["claims".to_owned()].into();
    });
    let keys: Vec<String> = (0..20).map(|number| format!("key-{number}")).collect();
    let sending = keys.iter().map(|key| async {
        let order = Order::keyed(key);
        for daemon in 0..region.daemons.len() {
            orders.send(&address(&region, daemon), &order).await;
        }
    });
    futures::future::join_all(sending).await;
    let faults = ObjectApiFaults::default();
    region.platform.objects.update_faults(|all| *all = faults);
    for key in &keys {
        let reply = settled(&region, &orders, 1, &Order::keyed(key)).await;
        assert!(matches!(reply, Reply::Answered(_)), "{key}: {reply:?}");
        assert_eq!(times_run(&region.platform, key), 1, "{key}");
    }
    orders.assert_not_run_was_true(&region.platform);
}
