//! Planned stops: no request in progress is cut, and the lease goes to the stand-by at once.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use flaxward_emulator::engine::EngineTiming;
use nix::sys::signal::Signal;

use crate::support::callers::{Ask, Ending, Refused, ask, assert_all_whole};
use crate::support::records::{assert_memory_kept, loads, most_at_once};
use crate::support::{Region, Shape, eventually, records};

const CONFIGURATION: &[&str] = &[
    "create version turbine@v1 checkpoint 'turbine/v1' weights 1GiB kv 1GiB",
    "create model turbine serving v1 copies at most 1",
    "create version cold@v1 checkpoint 'cold/v1' weights 1GiB kv 1GiB",
    "create model cold serving v1 copies at most 1",
];

/// What a stopping daemon answers to a new request.
const STOPPING: Ending = Ending::Refused(Refused {
    status: 503,
    code: 2008,
    not_run: true,
});

fn shape(zones: usize) -> Shape {
    Shape {
        zones,
        daemons: 2,
        timing: EngineTiming {
            load_ms: 2_000,
            decode_us: 15_000,
            ..EngineTiming::default()
        },
        // A lease that is not handed back would hold for longer than any test waits.
        settings: &[("coordinator.lease_duration", "10m")],
        ..Shape::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_no_request_and_hands_the_lease_to_the_stand_by() {
    let mut region = Region::start(shape(1), CONFIGURATION).await;
    let warm = region.ask(0, &Ask::new("turbine", "first", 1)).await;
    assert_eq!(warm, Ending::Whole);
    let coordinator = region.coordinator(0, "zone-a").await;
    let stopping = coordinator.expect("the zone has a coordinator");
    let stand_by = 1 - stopping;
    let address = region.daemons[stopping].address.clone();
    let before = records::requests(&region.platform).len();

    // Streams in progress, requests that wait for a load, all at the daemon that stops.
    let mut requests = Ask::many("turbine", 20, 200);
    requests.extend(Ask::many("cold", 20, 20));
    let running: Vec<_> = requests
        .into_iter()
        .map(|request| {
            let (http, address) = (region.http.clone(), address.clone());
            tokio::spawn(async move { ask(&http, &address, &request).await })
        })
        .collect();
    eventually("streams run and a load is under way", async || {
        records::requests(&region.platform).len() == before + 20
            && !loads(&region.platform, "cold@v1").is_empty()
    })
    .await;
    region.daemons[stopping].signal(Signal::SIGTERM);

    eventually("the stand-by leads", async || {
        region.coordinator(stand_by, "zone-a").await == Some(stand_by)
    })
    .await;
    let refused = region.ask(stopping, &Ask::new("turbine", "late", 1)).await;
    assert_eq!(refused, STOPPING, "the streams still run");
    let served = region
        .ask(stand_by, &Ask::new("turbine", "elsewhere", 1))
        .await;
    assert_eq!(served, Ending::Whole);

    let mut endings = Vec::new();
    for request in running {
        endings.push(request.await.expect("no caller panics"));
    }
    assert_all_whole(&endings);
    let status = region.daemons[stopping].ended().await;
    assert!(status.success(), "{status}");
    assert_eq!(most_at_once(&region.platform, "turbine@v1"), 1);
    assert_eq!(loads(&region.platform, "cold@v1").len(), 1);
    assert_memory_kept(&region.platform);
}

/// Callers at one time.
const CALLERS: usize = 32;

/// Callers that share what they know of daemons.
#[derive(Clone)]
struct Callers {
    http: reqwest::Client,
    addresses: Arc<Mutex<Vec<String>>>,
    stop: Arc<AtomicBool>,
}

impl Callers {
    fn new(region: &Region) -> Self {
        let addresses = region.daemons.iter().map(|daemon| daemon.address.clone());
        Self {
            http: region.http.clone(),
            addresses: Arc::new(Mutex::new(addresses.collect())),
            stop: Arc::default(),
        }
    }

    /// One caller: one request after the other, until told to stop. A request is sent again only if
    /// it certainly did not run: no connection, or a refusal by a stopping daemon, which is left
    /// alone from then on. Returns the requests served.
    async fn call(self, caller: usize) -> usize {
        let mut served = 0;
        while !self.stop.load(Ordering::Relaxed) {
            // Short answers and long ones: a daemon may be idle at the moment it is stopped.
            let tokens = if caller == 0 { 20 } else { 1 };
            let request = Ask::new("turbine", format!("{caller}, {served}"), tokens);
            let address = self.address(caller + served);
            match ask(&self.http, &address, &request).await {
                Ending::Whole => served += 1,
                Ending::NotConnected => self.leave_alone(&address),
                ending if ending == STOPPING => self.leave_alone(&address),
                ending => panic!("caller {caller}, request {served}: {ending:?}"),
            }
        }
        served
    }

    fn address(&self, number: usize) -> String {
        let addresses = self.addresses.lock().expect("no caller panics with it");
        addresses[number % addresses.len()].clone()
    }

    fn leave_alone(&self, address: &str) {
        let mut addresses = self.addresses.lock().expect("no caller panics with it");
        addresses.retain(|known| known != address);
    }

    fn add(&self, address: &str) {
        let mut addresses = self.addresses.lock().expect("no caller panics with it");
        addresses.push(address.to_owned());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn restarting_all_daemons_one_after_the_other_cuts_no_request() {
    let mut region = Region::start(shape(2), CONFIGURATION).await;
    let callers = Callers::new(&region);
    let calling: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(callers.clone().call(caller)))
        .collect();
    eventually("the load is steady", async || {
        records::requests(&region.platform).len() > 20
    })
    .await;
    for daemon in 0..region.daemons.len() {
        region.daemons[daemon].signal(Signal::SIGTERM);
        let status = region.daemons[daemon].ended().await;
        assert!(status.success(), "{status}");
        region.restart(daemon).await;
        callers.add(&region.daemons[daemon].address);
        region.settle().await;
    }
    callers.stop.store(true, Ordering::Relaxed);
    for caller in calling {
        let served = caller.await.expect("no request was cut");
        assert!(served > 0, "each caller was served");
    }
    assert_eq!(most_at_once(&region.platform, "turbine@v1"), 1);
    assert_eq!(
        loads(&region.platform, "turbine@v1").len(),
        1,
        "loaded once only"
    );
}
