//! A zone cut off from the others: each side goes on serving what it holds, no replica is too many,
//! and after the join the newest configuration is in force everywhere.
//!
//! What is cut are the messages between daemons and, in the second test, also the object API for the
//! zone. Engines stay within reach of all daemons.

use std::time::Duration;

use flaxward_emulator::objects::ObjectApiFaults;
use serde_json::Value;

use crate::support::callers::{Ask, Ending, assert_all_whole};
use crate::support::records::{assert_memory_kept, loads, most_at_once};
use crate::support::{Region, Shape, eventually};

const CONFIGURATION: &[&str] = &[
    "create version north@v1 checkpoint 'north/v1' weights 1GiB kv 1GiB",
    "create model north serving v1 copies at most 1 in zones zone-a",
    "create version south@v1 checkpoint 'south/v1' weights 1GiB kv 1GiB",
    "create model south serving v1 copies at most 1 in zones zone-b",
    "create version anywhere@v1 checkpoint 'anywhere/v1' weights 1GiB kv 1GiB",
    "create model anywhere serving v1 copies at most 1",
    "create version twice@v1 checkpoint 'twice/v1' weights 1GiB kv 1GiB",
    "create model twice serving v1 copies at most 2",
];

/// The daemon of the zone that is cut off, and that zone.
const CUT_OFF: usize = 1;
const CUT_ZONE: &str = "zone-b";

/// Daemons on the other side.
const OTHERS: [usize; 2] = [0, 2];

/// Length of a cut: many times as long as a lease holds or a dead member is suspected.
const CUT: Duration = Duration::from_secs(5);

fn cut(region: &Region, zones: &[&'static str]) {
    let network = region.network.as_ref().expect("the region can be cut");
    network.cut(zones);
}

async fn assert_served(region: &Region, daemon: usize, model: &str) {
    let ending = region.ask(daemon, &Ask::new(model, "why", 3)).await;
    assert_eq!(ending, Ending::Whole, "{model} at daemon {daemon}");
}

/// The priority of a model, as the configuration in force at a daemon has it.
async fn priority(region: &Region, daemon: usize) -> Value {
    let rows = region.rows(daemon, "show models where name = north", &["priority"]);
    rows.await[0][0].clone()
}

/// Asks every daemon for models that any zone may serve; each request must be answered in time, served
/// or not.
async fn ask_for_shared(region: &Region) {
    let requests: Vec<Ask> = ["anywhere", "twice"]
        .iter()
        .flat_map(|model| Ask::many(model, 6, 3))
        .map(|request| request.with("x-flaxward-deadline", "5s"))
        .collect();
    for ending in region.ask_all(&requests).await {
        assert!(ending.is_stated(), "{ending:?}");
    }
}

fn assert_no_replica_too_many(region: &Region) {
    for (model, most) in [("north", 1), ("south", 1), ("anywhere", 1), ("twice", 2)] {
        let found = most_at_once(&region.platform, &format!("{model}@v1"));
        assert!(found <= most, "{model}: {found} replicas at once");
    }
    assert_memory_kept(&region.platform);
}

/// A cut of one zone, which this fault of the object API comes with.
async fn cut_and_join(fault: impl Fn(&mut ObjectApiFaults)) {
    let shape = Shape {
        can_be_cut: true,
        ..Shape::default()
    };
    let region = Region::start(shape, CONFIGURATION).await;
    for model in ["north", "south"] {
        assert_all_whole(&region.ask_all(&Ask::many(model, 3, 3)).await);
    }
    cut(&region, &[CUT_ZONE]);
    region.platform.objects.update_faults(fault);
    eventually("the others have lost the zone", async || {
        region.coordinator(0, CUT_ZONE).await.is_none()
    })
    .await;
    region.command(0, "change model north set priority 9").await;
    eventually("the change is in force on this side", async || {
        let [one, two] = OTHERS.map(|daemon| priority(&region, daemon));
        one.await == 9 && two.await == 9
    })
    .await;
    let began = tokio::time::Instant::now();
    while began.elapsed() < CUT {
        assert_served(&region, CUT_OFF, "south").await;
        for daemon in OTHERS {
            assert_served(&region, daemon, "north").await;
        }
        ask_for_shared(&region).await;
    }
    assert_no_replica_too_many(&region);

    cut(&region, &[]);
    let faults = ObjectApiFaults::default();
    region.platform.objects.update_faults(|all| *all = faults);
    region.settle().await;
    for daemon in 0..region.daemons.len() {
        assert_eq!(priority(&region, daemon).await, 9, "daemon {daemon}");
        for model in ["north", "south", "anywhere", "twice"] {
            eventually("every model is served everywhere", async || {
                let ending = region.ask(daemon, &Ask::new(model, "after", 3)).await;
                assert!(ending.is_stated(), "{ending:?}");
                ending == Ending::Whole
            })
            .await;
        }
    }
    assert_no_replica_too_many(&region);
    for model in ["north", "south"] {
        let loads = loads(&region.platform, &format!("{model}@v1"));
        assert_eq!(loads.len(), 1, "{model} was loaded again");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_from_the_others_keeps_the_bounds_and_catches_up() {
    cut_and_join(|_| ()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_from_the_others_and_the_object_api_keeps_the_bounds_and_catches_up() {
    cut_and_join(|faults| faults.cut_zones = [CUT_ZONE.to_owned()].into()).await;
}
