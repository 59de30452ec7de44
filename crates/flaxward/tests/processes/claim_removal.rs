//! Expired claims are removed from the object API, and no others.

use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};

use flaxward_backends::Collection;
use flaxward_control::claims::RemovalGroup;
use flaxward_emulator::objects::{API_PATH, WriteAction};
use flaxward_types::records::{Claim, ClaimOutcome};
use flaxward_types::{AttemptId, DaemonName};
use serde_json::{Value, json};

use crate::support::orders::{Order, Orders, Reply, times_run};
use crate::support::{Region, Shape, eventually};

const HOUR: u64 = 3_600;

/// Fast enough for a test; the hours of a whole pass are selected in it.
const FAST: &[(&str, &str)] = &[("claims.removal_calls_per_second", "2000")];

fn claims_url(region: &Region) -> String {
    let objects = region.platform.objects.url();
    format!("{objects}/{API_PATH}/{}", Collection::Claims)
}

/// Puts a claim into the object API that expires at this second, in the group of another one.
async fn put(region: &Region, number: u128, expires_unix: u64, group_of: u64) -> String {
    let name = format!("claim-{number}");
    let attempt = AttemptId(number);
    let claim = Claim {
        request_digest: "digest".to_owned(),
        attempt,
        daemon: DaemonName::literal("daemon-gone"),
        expires_unix,
        removal_group: RemovalGroup::of(group_of, attempt).to_string(),
        abandoned_unix: 0,
        outcome: ClaimOutcome::Unknown,
    };
    let object = json!({"metadata": {"name": name}, "spec": claim});
    let sent = region
        .http
        .post(claims_url(region))
        .body(object.to_string());
    let status = sent.send().await.expect("an answer").status();
    assert!(status.is_success(), "{status}");
    name
}

async fn names(region: &Region) -> BTreeSet<String> {
    let sent = region.http.get(claims_url(region)).send().await;
    let list: Value = sent.expect("an answer").json().await.expect("a list");
    let items = list["items"].as_array().expect("a list").iter();
    let name = |item: &Value| {
        item["metadata"]["name"]
            .as_str()
            .expect("a name")
            .to_owned()
    };
    items.map(name).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_coordinators_remove_expired_claims_and_no_others() {
    let shape = Shape {
        engines: 0,
        services: 1,
        settings: FAST,
        ..Shape::default()
    };
    let region = Region::start(shape, &["create service field-api concurrency 8"]).await;
    region.wait_for_services("field-api").await;
    let orders = Orders::default();
    let order = Order::keyed("fresh");
    let first = orders.send(&region.daemons[0].address, &order).await;
    assert!(matches!(first, Reply::Answered(_)), "{first:?}");
    let kept = names(&region).await;
    assert_eq!(kept.len(), 1);

    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.expect("the clock is right").as_secs();
    let old = now - 2 * HOUR;
    // More than a batch of one group, some of every shard, and one that names a wrong group.
    for number in 0..150 {
        put(&region, 32 * number, old, old).await;
    }
    for number in 0..32 {
        put(&region, 10_000 + number, old - 5 * HOUR, old - 5 * HOUR).await;
    }
    let misplaced = put(&region, 20_000, now + HOUR, old).await;
    let kept: BTreeSet<String> = kept.into_iter().chain([misplaced]).collect();

    // The first pass is over by now; a new coordinator begins with one.
    let mut region = region;
    for daemon in 0..region.daemons.len() {
        region.daemons[daemon].signal(nix::sys::signal::Signal::SIGTERM);
        region.daemons[daemon].ended().await;
        region.restart(daemon).await;
    }
    region.settle().await;
    eventually("the expired claims are removed", async || {
        names(&region).await == kept
    })
    .await;
    let writes = region.platform.objects.record();
    let is_removal = |action: &WriteAction| *action == WriteAction::Delete;
    let removals = writes.iter().filter(|write| is_removal(&write.action));
    let removers: BTreeSet<&str> = removals
        .filter_map(|write| write.client.as_deref()?.split_once('/'))
        .map(|(zone, _)| zone)
        .collect();
    assert_eq!(
        removers.len(),
        3,
        "each zone removes its share: {removers:?}"
    );
    let again = orders.send(&region.daemons[1].address, &order).await;
    assert_eq!(again, first);
    assert_eq!(times_run(&region.platform, "fresh"), 1);
}
