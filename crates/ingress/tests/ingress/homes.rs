//! Requests of routes and tenants with home regions, over sockets.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::configuration::{Configuration, Route, RouteKind};
use flaxward_routing::homes::Homes;
use flaxward_routing::locality::Regions;
use flaxward_routing::names::{Region, ServiceName, Zone};
use flaxward_routing::runners::Runner;
use flaxward_routing::tenants::{Tenant, TenantKeys, Tenants};
use http::StatusCode;
use tokio::time::sleep;

use crate::runner::{Behaviour, ScriptedRunner};
use crate::store::MemoryStore;
use crate::support::{
    MODEL, SilentControl, TestIngress, configuration, route, runner, settings, tenant,
};
use crate::tunnels::ask_for_tunnel;

/// Time within which a daemon that watches the store applies a change of the configuration.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

fn homes(names: &[&str]) -> Homes {
    Homes::from_regions(names.iter().map(|name| Region::new(name)))
}

/// A target that lets a request wait for some tenths of a second without a promise of a
/// coordinator.
const LONG_TARGET: Duration = Duration::from_secs(3);

fn restricted_route(prefix: &str, kind: RouteKind, names: &[&str]) -> Route {
    Route {
        target: LONG_TARGET,
        homes: homes(names),
        ..route(prefix, kind)
    }
}

fn restricted_tenant(name: &str, names: &[&str]) -> TenantKeys {
    let free = tenant(name, &[name], None);
    TenantKeys {
        tenant: Arc::new(Tenant {
            homes: homes(names),
            ..free.tenant.as_ref().clone()
        }),
        ..free
    }
}

/// Routes without home regions, with the east, and with a region without runners; tenants likewise.
fn restricted_configuration(version: u64, stream_homes: &[&str]) -> Configuration {
    let stream = RouteKind::Stream { resumable: true };
    let routes = vec![
        restricted_route("/east/", RouteKind::Repeatable, &["east"]),
        restricted_route("/south/", RouteKind::Repeatable, &["south"]),
        Route {
            is_public: true,
            ..restricted_route("/open/", RouteKind::Repeatable, &[])
        },
        Route {
            timeout: Duration::from_secs(6),
            target: Duration::from_millis(300),
            ..restricted_route("/events/", stream, stream_homes)
        },
    ];
    let tenants = vec![
        restricted_tenant("free", &[]),
        restricted_tenant("east", &["east", "north"]),
        restricted_tenant("west", &["west"]),
    ];
    configuration(version, routes).with_tenants(Tenants::new(tenants).unwrap())
}

/// A daemon in the west, with runners in the given zones.
async fn daemon(runners: &[(&ScriptedRunner, &str)], configuration: Configuration) -> TestIngress {
    daemon_in("w1", runners, configuration).await
}

async fn daemon_in(
    zone: &str,
    runners: &[(&ScriptedRunner, &str)],
    configuration: Configuration,
) -> TestIngress {
    let store = MemoryStore::default();
    let runners = runners
        .iter()
        .enumerate()
        .map(|(index, (server, zone))| Runner {
            zone: Zone::new(zone),
            ..runner(index, server.address)
        });
    store.set_runners(runners.collect());
    store.set_configuration(configuration);
    let mut settings = settings("d");
    settings.zone = Zone::new(zone);
    let regions = [("w1", "west"), ("e1", "east"), ("e2", "east")];
    let regions = regions.map(|(zone, region)| (Zone::new(zone), Region::new(region)));
    settings.regions = Regions::from_iter(regions);
    let test = TestIngress::start_with(settings, store, Arc::new(SilentControl)).await;
    test.until_ready().await;
    test
}

/// Guards against requests whose bytes pass through a region that is not among their homes, because a daemon that does not
/// reach a runner connects to it through one in another region.
#[tokio::test]
async fn a_daemon_relays_home_requests_only_to_runners_of_its_region() {
    let east = ScriptedRunner::start(Vec::new()).await;
    let unmapped = ScriptedRunner::start(Vec::new()).await;
    let servers = [(&east, "e1"), (&unmapped, "u1")];
    let homes = || restricted_configuration(1, &[]);
    let cases = [
        ("w1", homes(), &east, StatusCode::FORBIDDEN),
        ("u1", homes(), &east, StatusCode::FORBIDDEN),
        ("e2", homes(), &east, StatusCode::OK),
        // No request with homes goes to a runner of unknown region.
        ("w1", homes(), &unmapped, StatusCode::OK),
        ("w1", configuration(1, Vec::new()), &east, StatusCode::OK),
    ];
    for (zone, configuration, server, expected) in cases {
        let test = daemon_in(zone, &servers, configuration).await;
        let relay = test.ingress.as_ref().unwrap();
        let target = server.address.to_string();
        assert_eq!(ask_for_tunnel(relay, &target).await, expected, "{zone}");
    }
}

async fn status(test: &TestIngress, path: &str, key: &str) -> u16 {
    let request = test.request(path, "id").header("x-key", key);
    request.send().await.unwrap().status().as_u16()
}

#[tokio::test]
async fn a_request_is_served_within_its_homes_and_refused_at_once_if_it_has_none() {
    let west = ScriptedRunner::start(Vec::new()).await;
    let east = ScriptedRunner::start(Vec::new()).await;
    let unmapped = ScriptedRunner::start(Vec::new()).await;
    let servers = [(&west, "w1"), (&east, "e1"), (&unmapped, "u1")];
    let test = daemon(&servers, restricted_configuration(1, &[])).await;
    let cases = [
        ("/safe/", "free", 200, "west"),
        ("/safe/", "east", 200, "east"),
        ("/safe/", "west", 200, "west"),
        ("/open/", "free", 200, "west"),
        ("/open/", "nobody", 200, "west"),
        ("/open/", "east", 200, "east"),
        ("/east/", "free", 200, "east"),
        ("/east/", "east", 200, "east"),
        ("/east/", "west", 503, "nowhere"),
        ("/south/", "free", 503, "nowhere"),
        ("/south/", "east", 503, "nowhere"),
    ];
    for (path, key, expected, served_in) in cases {
        let before = [west.received().len(), east.received().len()];
        let started = std::time::Instant::now();
        let request = test.request(path, "id").header("x-key", key);
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), expected, "{path} of {key}");
        let added = [
            west.received().len() - before[0],
            east.received().len() - before[1],
        ];
        let expected_added = match served_in {
            "west" => [1, 0],
            "east" => [0, 1],
            _ => [0, 0],
        };
        assert_eq!(added, expected_added, "{path} of {key}");
        if expected == 503 {
            assert!(response.headers().contains_key("retry-after"));
            assert!(response.text().await.unwrap().contains("2013"));
            assert!(
                started.elapsed() < Duration::from_millis(250),
                "not at once"
            );
        }
    }
    assert!(unmapped.received().is_empty());
}

/// The runner in another region is healthy and has loaded the model, and those in the home region
/// fail.
#[tokio::test]
async fn retries_and_resumed_streams_stay_in_the_home_regions() {
    let breaking = vec![Behaviour::EventsThenReset(1, 2), Behaviour::NotRun];
    let first = ScriptedRunner::start(breaking).await;
    let second = ScriptedRunner::start(vec![Behaviour::NotRun, Behaviour::Events(3, 4)]).await;
    let other_region = ScriptedRunner::start(Vec::new()).await;
    let servers = [(&first, "e1"), (&second, "e2"), (&other_region, "w1")];
    let test = daemon(&servers, restricted_configuration(1, &["east"])).await;
    for path in ["/events/", "/east/"] {
        let request = test.request(path, "id").header("x-key", "free");
        let _ = request.send().await.unwrap().text().await;
    }
    assert!(other_region.received().is_empty());
    assert!(
        first.received().len() + second.received().len() >= 3,
        "nothing was retried"
    );
}

#[tokio::test]
async fn a_stream_is_continued_within_the_homes_that_it_came_with() {
    let silent = ScriptedRunner::start(vec![Behaviour::PausedEvents(1, 12)]).await;
    let next = ScriptedRunner::start(vec![Behaviour::Events(3, 4)]).await;
    let west = ScriptedRunner::start(vec![Behaviour::Events(1, 2)]).await;
    let servers = [(&silent, "e1"), (&next, "e2"), (&west, "w1")];
    // The daemon prefers the runner of its own zone.
    let test = daemon_in("e1", &servers, restricted_configuration(1, &["east"])).await;
    let request = test.request("/events/", "id").header("x-key", "free");
    let running = tokio::spawn(async move { request.send().await.unwrap().text().await });
    sleep(Duration::from_millis(300)).await;
    // The home region moves to the west while the stream runs in the east.
    test.store
        .set_configuration(restricted_configuration(2, &["west"]));
    sleep(PROPAGATION_TIME).await;
    assert_eq!(status(&test, "/events/", "free").await, 200);
    assert_eq!(
        west.received().len(),
        1,
        "new requests use the new home regions"
    );
    let events = running.await.unwrap().unwrap();
    assert!(events.ends_with("id: 4\ndata: e4\n\n"), "{events}");
    assert_eq!(west.received().len(), 1);
    assert_eq!(next.received().len(), 1);
}

/// The home regions change while a request waits for a model that a runner in another region then
/// loads.
#[tokio::test]
async fn a_waiting_request_is_not_served_in_another_region_when_its_homes_change() {
    let east = ScriptedRunner::start(Vec::new()).await;
    let west = ScriptedRunner::start(Vec::new()).await;
    let lacking = |index: usize, server: &ScriptedRunner, zone: &str| Runner {
        zone: Zone::new(zone),
        holdings: [].into(),
        ..runner(index, server.address)
    };
    let test = daemon(
        &[(&east, "e1"), (&west, "w1")],
        restricted_configuration(1, &[]),
    )
    .await;
    let runners = vec![lacking(0, &east, "e1"), lacking(1, &west, "w1")];
    test.store.set_runners(runners);
    sleep(PROPAGATION_TIME).await;
    let request = test.request("/east/", "id").header("x-key", "free");
    let request = request.header("x-model", MODEL);
    let waiting = tokio::spawn(async move { request.send().await.unwrap().status().as_u16() });
    sleep(Duration::from_millis(20)).await;
    let mut moved = restricted_configuration(2, &[]);
    moved = Configuration::new(
        2,
        moved.limits,
        vec![restricted_route("/east/", RouteKind::Repeatable, &["west"])],
        vec![
            moved
                .service(&ServiceName::new("pool"))
                .unwrap()
                .as_ref()
                .clone(),
        ],
    );
    test.store.set_configuration(moved);
    test.store.set_runners(vec![
        lacking(4, &east, "e1"),
        Runner {
            zone: Zone::new("w1"),
            ..runner(5, west.address)
        },
    ]);
    assert_eq!(waiting.await.unwrap(), 503);
    assert!(west.received().is_empty() && east.received().is_empty());
}
