//! Daemons that have lost their path to all runners while other daemons still reach them.
//!
//! Guards against clients of such a daemon being refused for as long as the partition lasts. The daemon had one way to
//! a runner, its own connection, so it tried runner after runner until the deadline, and took new clients all the while.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::sleep;

use crate::partition::{Cluster, Path};
use crate::runner::Behaviour;
use crate::support::RARE_MODEL;

const DAEMONS: usize = 4;
const RUNNERS: usize = 4;
/// Time after the start of a partition from which requests are to be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests sent to the partitioned daemon.
const REQUESTS: usize = 60;
/// Time between two of them.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const SERVED_NUMERATOR: usize = 2;
const SERVED_DENOMINATOR: usize = 3;

impl Cluster {
    /// Sends requests of all routes to a daemon, one after the other. Returns how many are served.
    async fn served(&self, daemon: usize, name: &str) -> usize {
        let requests = (0..REQUESTS).map(|index| async move {
            sleep(REQUEST_INTERVAL * u32::try_from(index).unwrap()).await;
            let path = ["/safe/x", "/unsafe/x"][index % 2];
            self.is_served(daemon, path, &format!("{name}-{daemon}-{index}"))
                .await
        });
        let served = join_all(requests).await;
        served.into_iter().filter(|is_served| *is_served).count()
    }

    /// Cuts two of the daemons off and checks what the last one, which does not coordinate, serves.
    async fn check_partition(&self, path: Path) {
        let partitioned = DAEMONS - 1;
        // Both kinds of routes have kept connections as the partition begins.
        assert_eq!(self.served(partitioned, "before").await, REQUESTS);
        self.networks[1].set(path);
        self.networks[partitioned].set(path);
        let (_, ()) = tokio::join!(self.served(partitioned, "early"), sleep(CONTACT_TIME));
        let (served, others) = tokio::join!(
            self.served(partitioned, "partitioned"),
            self.served(2, "others")
        );
        assert!(
            served * SERVED_DENOMINATOR >= others * SERVED_NUMERATOR,
            "{served} of {REQUESTS} served at the partitioned daemon, {others} at another one"
        );
    }
}

/// Guards against refusals while the connections to runners are silent and no new ones are established.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_with_silent_paths_to_all_runners_serves_its_clients() {
    Cluster::start(DAEMONS, RUNNERS)
        .await
        .check_partition(Path::Silent)
        .await;
}

/// Guards against refusals while the connections to runners break and new ones are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_whose_paths_to_all_runners_are_reset_serves_its_clients() {
    Cluster::start(DAEMONS, RUNNERS)
        .await
        .check_partition(Path::Reset)
        .await;
}

/// Guards against refusals while new connections to runners are refused and the runners close the kept ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_whose_new_connections_to_runners_are_refused_serves_its_clients() {
    let cluster = Cluster::start(DAEMONS, RUNNERS).await;
    for runner in &cluster.runners {
        runner.set_notice("connection: close\r\n");
    }
    cluster.check_partition(Path::NewRefused).await;
}

/// Guards against a partitioned daemon blaming requests for crashes of runners: their connections break, and new ones
/// are refused as if nothing listened there. Three such requests with the same content were quarantined everywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_with_broken_paths_does_not_report_crashes_of_runners() {
    let cluster = Cluster::start(DAEMONS, RUNNERS).await;
    let partitioned = DAEMONS - 1;
    for round in 0..6 {
        for runner in &cluster.runners {
            runner.set_script(vec![Behaviour::Hang]);
        }
        let id = format!("broken-{round}");
        let request = cluster.is_served(partitioned, "/unsafe/same", &id);
        let cut = async {
            sleep(Duration::from_millis(200)).await;
            cluster.networks[partitioned].set(Path::Reset);
        };
        tokio::join!(request, cut);
        sleep(Duration::from_millis(500)).await;
        cluster.networks[partitioned].set(Path::Whole);
        sleep(Duration::from_millis(1_500)).await;
    }
    for runner in &cluster.runners {
        runner.set_script(Vec::new());
    }
    for daemon in 0..DAEMONS {
        let id = format!("after-{daemon}");
        assert!(cluster.is_served(daemon, "/unsafe/same", &id).await);
    }
}

/// Guards against a coordinator that reaches no runner keeping the lease: none of its orders arrived, so nothing was
/// loaded anywhere while the partition lasted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_coordinator_without_paths_to_runners_hands_the_lease_over() {
    let cluster = Cluster::start(DAEMONS, RUNNERS).await;
    cluster.networks[0].set(Path::Silent);
    // Its orders for this request stay without an answer.
    let request = cluster.daemons[1].request("/safe/x", "first");
    let _ = request.header("x-model", RARE_MODEL).send().await;
    sleep(CONTACT_TIME).await;
    let request = cluster.daemons[1].request("/safe/x", "second");
    let response = request.header("x-model", RARE_MODEL).send().await.unwrap();
    assert_eq!(response.status(), 200);
}
