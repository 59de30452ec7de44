//! Tunnels to runners through other daemons.

use std::time::{Duration, Instant};

use flaxward_ingress::Ingress;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::partition::{Cluster, Path};
use crate::runner::Behaviour;

/// The daemon that is partitioned from the runners; the other one relays for it.
const PARTITIONED: usize = 1;
/// Time in which a daemon notices that it is partitioned.
const DETECTION_TIME: Duration = Duration::from_secs(2);
/// Time in which a request must be cancelled at its runner after its client has left.
const CANCELLATION_TIME: Duration = Duration::from_millis(500);

/// A cluster of two daemons and one runner in which one daemon reaches the runner through the other.
async fn partitioned_pair() -> Cluster {
    let cluster = Cluster::start(2, 1).await;
    cluster.networks[PARTITIONED].set(Path::Silent);
    let _ = cluster.is_served(PARTITIONED, "/safe/x", "first").await;
    sleep(DETECTION_TIME).await;
    cluster
}

fn relay(cluster: &Cluster) -> &Ingress {
    cluster.daemons[0].ingress.as_ref().unwrap()
}

pub async fn ask_for_tunnel(relay: &Ingress, target: &str) -> StatusCode {
    let url = format!("http://{}/tunnel/{target}", relay.peer_address);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let response = client.post(url).body("x").send().await.unwrap();
    response.status()
}

/// Guards against a response that was cut off looking complete, because a relay closes a connection that the runner has
/// reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_is_reset_behind_a_relay_is_not_complete() {
    let cluster = partitioned_pair().await;
    cluster.runners[0].set_script(vec![Behaviour::UnsizedThenReset("part"); 8]);
    for index in 0..4 {
        let request = cluster.daemons[PARTITIONED].request("/unsafe/x", &format!("r{index}"));
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    }
}

/// Guards against a complete response being refused, because it ends with its connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_ends_with_its_connection_passes_a_relay() {
    let cluster = partitioned_pair().await;
    cluster.runners[0].set_script(vec![Behaviour::UnsizedThenClose("whole"); 8]);
    for index in 0..4 {
        let request = cluster.daemons[PARTITIONED].request("/unsafe/x", &format!("r{index}"));
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.text().await.unwrap(), "whole");
    }
}

/// Guards against runners working on behind a relay for clients that have left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_behind_a_relay_is_cancelled_when_its_client_leaves() {
    let cluster = partitioned_pair().await;
    let runner = &cluster.runners[0];
    runner.set_script(vec![Behaviour::Hang]);
    let closed = runner.closed();
    let request = cluster.daemons[PARTITIONED].request("/unsafe/x", "left");
    let sent = request.timeout(Duration::from_millis(400)).send().await;
    assert!(sent.is_err(), "the client leaves before an answer");
    let left_at = Instant::now();
    while runner.closed() == closed {
        assert!(left_at.elapsed() < CANCELLATION_TIME);
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against daemons connecting to arbitrary addresses for whoever reaches their port.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relay_connects_to_listed_runners_only() {
    let cluster = Cluster::start(1, 1).await;
    let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = other.local_addr().unwrap().to_string();
    let relay = relay(&cluster);
    assert_eq!(ask_for_tunnel(relay, &target).await, StatusCode::FORBIDDEN);
    assert_eq!(ask_for_tunnel(relay, "x").await, StatusCode::NOT_FOUND);
}

/// Guards against requests of other daemons being cut off by a planned stop of their relay.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_of_a_relay_lets_a_stream_end() {
    let mut cluster = partitioned_pair().await;
    cluster.runners[0].set_script(vec![Behaviour::SlowEvents(1, 12)]);
    let request = cluster.daemons[PARTITIONED].request("/stream/x", "stopped-relay");
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let target = cluster.runners[0].address.to_string();
    let relay = cluster.daemons[0].ingress.take().unwrap();
    let peer_address = relay.peer_address;
    let stop = tokio::spawn(relay.stop());
    sleep(Duration::from_millis(100)).await;
    let url = format!("http://{peer_address}/tunnel/{target}");
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let refused = client.post(url).body("x").send().await.unwrap();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let body = response.text().await.unwrap();
    assert!(body.contains("id: 12"), "{body}");
    stop.await.unwrap();
}
