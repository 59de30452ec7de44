//! The object API down, slow, losing answers, or out of reach for one zone: serving goes on, models
//! with a recorded slot wake, changes are refused and nothing reverts.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_emulator::engine::EngineTiming;
use flaxward_emulator::fault::Strikes;
use flaxward_emulator::objects::ObjectApiFaults;
use serde_json::Value;

use crate::support::callers::{Ask, Ending, assert_all_whole};
use crate::support::records::{assert_memory_kept, loads, most_at_once};
use crate::support::{Region, Shape, eventually};

const CONFIGURATION: &[&str] = &[
    "create version warm@v1 checkpoint 'warm/v1' weights 1GiB kv 1GiB",
    "create model warm serving v1 copies at most 1",
    "create version sleeping@v1 checkpoint 'sleeping/v1' weights 1GiB kv 1GiB",
    "create version sleeping@v2 checkpoint 'sleeping/v2' weights 1GiB kv 1GiB",
    "create model sleeping serving v1 copies at most 1",
];

/// Time for which the object API is out of reach: many times as long as a lease holds.
const OUTAGE: Duration = Duration::from_secs(6);

fn shape() -> Shape {
    Shape {
        timing: EngineTiming {
            load_ms: 300,
            decode_us: 2_000,
            ..EngineTiming::default()
        },
        ..Shape::default()
    }
}

/// Starts a region in which one model is loaded and the other has a recorded slot.
async fn start() -> Region {
    let region = Region::start(shape(), CONFIGURATION).await;
    assert_serves(&region, "warm").await;
    eventually("the sleeping model has a home", async || {
        region.has_slot("sleeping@v1", None).await
    })
    .await;
    region.command(0, "change model warm set priority 9").await;
    region.settle().await;
    region
}

/// Asserts that every daemon serves a model.
async fn assert_serves(region: &Region, model: &str) {
    let requests = Ask::many(model, region.daemons.len(), 5);
    assert_all_whole(&region.ask_all(&requests).await);
}

/// Revisions in force at all daemons, as one of them shows them.
async fn revisions(region: &Region) -> BTreeMap<String, u64> {
    let rows = region.rows(0, "show config", &["daemon", "revision"]).await;
    let pair = |row: &Vec<Value>| {
        let daemon = row[0].as_str().expect("a name").to_owned();
        (daemon, row[1].as_u64().expect("a number"))
    };
    rows.iter().map(pair).collect()
}

/// Asserts that no daemon has an older configuration in force than before.
async fn assert_nothing_reverts(region: &Region, before: &mut BTreeMap<String, u64>) {
    for (daemon, revision) in revisions(region).await {
        let known = before.entry(daemon.clone()).or_insert(revision);
        assert!(revision >= *known, "{daemon}: {revision} after {known}");
        *known = revision;
    }
    let columns = ["priority"];
    for daemon in 0..region.daemons.len() {
        let shown = region.rows(daemon, "show models where name = warm", &columns);
        assert_eq!(shown.await, [[9]], "daemon {daemon}");
    }
}

async fn assert_change_refused(region: &Region, daemon: usize) {
    let error = region.execute(daemon, "change model warm set priority 1");
    let error = error.await.expect_err("nothing can be changed");
    assert_eq!((error.code, error.not_run), (7001, true), "{error:?}");
}

/// An outage of the whole object API by this fault.
async fn outage(fault: impl Fn(&mut ObjectApiFaults)) {
    let mut region = start().await;
    let mut before = revisions(&region).await;
    let outage_began = tokio::time::Instant::now();
    region.platform.objects.update_faults(fault);
    assert_serves(&region, "warm").await;
    tokio::time::sleep(OUTAGE / 2).await;

    // The lease has lapsed by now.
    assert_serves(&region, "sleeping").await;
    assert_eq!(loads(&region.platform, "sleeping@v1").len(), 1);
    let mut other_version = Ask::new("sleeping@v2", "no slot", 3);
    other_version.artifact = "sleeping@v2".to_owned();
    let refused = region.ask(0, &other_version).await;
    assert_eq!(refused.code(), Some(2011), "{refused:?}");
    assert_change_refused(&region, 0).await;
    assert_change_refused(&region, 2).await;
    assert_nothing_reverts(&region, &mut before).await;

    let newcomer = region.add_daemon("zone-b").await;
    eventually("the newcomer takes requests", async || {
        let url = format!("http://{}/readyz", region.daemons[newcomer].address);
        let answer = region.http.get(url).send().await.expect("an answer");
        answer.status().is_success()
    })
    .await;
    let ending = region.ask(newcomer, &Ask::new("warm", "newcomer", 5)).await;
    assert_eq!(ending, Ending::Whole);
    while outage_began.elapsed() < OUTAGE {
        assert_serves(&region, "warm").await;
        assert_serves(&region, "sleeping").await;
        assert_nothing_reverts(&region, &mut before).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    region
        .platform
        .objects
        .update_faults(|faults| *faults = ObjectApiFaults::default());
    eventually("changes are accepted again", async || {
        let change = "change model sleeping set serving v2";
        region.execute(newcomer, change).await.is_ok()
    })
    .await;
    region.settle().await;
    assert_nothing_reverts(&region, &mut before).await;
    let ending = region.ask(1, &other_version).await;
    assert_eq!(ending, Ending::Whole);
    for artifact in ["warm@v1", "sleeping@v1"] {
        assert_eq!(loads(&region.platform, artifact).len(), 1, "{artifact}");
    }
    assert_memory_kept(&region.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn serving_goes_on_while_the_object_api_is_down() {
    outage(|faults| faults.down = true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serving_goes_on_while_the_object_api_is_slower_than_anyone_waits() {
    outage(|faults| faults.delay_ms = 10_000).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_from_the_object_api_serves_and_hears_of_changes() {
    let region = Region::start(
        shape(),
        &[
            "create version warm@v1 checkpoint 'warm/v1' weights 1GiB kv 1GiB",
            "create model warm serving v1 copies at most 1 in zones zone-b",
            "create version sleeping@v1 checkpoint 'sleeping/v1' weights 1GiB kv 1GiB",
            "create model sleeping serving v1 copies at most 1 in zones zone-b",
        ],
    )
    .await;
    assert_serves(&region, "warm").await;
    eventually("the sleeping model has a home", async || {
        region.has_slot("sleeping@v1", Some("zone-b")).await
    })
    .await;
    region
        .platform
        .objects
        .update_faults(|faults| faults.cut_zones = ["zone-b".to_owned()].into());
    tokio::time::sleep(OUTAGE / 2).await;
    assert_serves(&region, "warm").await;
    assert_serves(&region, "sleeping").await;
    assert_change_refused(&region, 1).await;
    region.command(0, "change model warm set priority 9").await;
    region.settle().await;
    let mut before = revisions(&region).await;
    assert_nothing_reverts(&region, &mut before).await;

    region
        .platform
        .objects
        .update_faults(|faults| *faults = ObjectApiFaults::default());
    eventually("changes are accepted again", async || {
        let change = "change model sleeping set priority 3";
        region.execute(1, change).await.is_ok()
    })
    .await;
    region.settle().await;
    for artifact in ["warm@v1", "sleeping@v1"] {
        assert_eq!(loads(&region.platform, artifact).len(), 1, "{artifact}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn models_wake_once_while_answers_of_store_and_engines_are_lost() {
    let models: Vec<String> = (0..8).map(|number| format!("m{number}")).collect();
    let mut commands = Vec::new();
    for model in &models {
        commands.push(format!(
            "create version {model}@v1 checkpoint '{model}/v1' weights 2GiB kv 1GiB"
        ));
        commands.push(format!("create model {model} serving v1 copies at most 1"));
    }
    let commands: Vec<&str> = commands.iter().map(String::as_str).collect();
    let region = Region::start(shape(), &commands).await;
    region.platform.objects.update_faults(|faults| {
        faults.lose_answers = Strikes::with_probability(0.3);
        faults.late_writes = Strikes::with_probability(0.1);
        faults.late_ms = 150;
    });
    for engine in region.platform.engines().values() {
        engine.update_faults(|faults| {
            faults.lose_order_answers = Strikes::with_probability(0.3);
        });
    }
    let requests: Vec<Ask> = models
        .iter()
        .flat_map(|model| Ask::many(model, 6, 5))
        .collect();
    assert_all_whole(&region.ask_all(&requests).await);
    for model in &models {
        let artifact = format!("{model}@v1");
        assert_eq!(most_at_once(&region.platform, &artifact), 1, "{model}");
        assert_eq!(loads(&region.platform, &artifact).len(), 1, "{model}");
    }
    assert_memory_kept(&region.platform);
}
