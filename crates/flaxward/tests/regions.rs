//! Daemons of several regions before one list of runners, with the settings of `deploy/flaxward.toml.template`.
//!
//! Seen: on a deployment of three regions runners were given orders by three holders of the fence 1. How it came about: the
//! settings named the lease after the region, so each region had a coordinator and a term of its own, but all of them
//! read the same list of runners. What proved it: `lease-acquired term=1` three times at the start, and orders of all three
//! to the same runner.

use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use flaxward_platform_stand_in::caller::request_headers;
use flaxward_platform_stand_in::{
    RouteSpec, RunnerStandIn, RunnerState, ServiceSpec, StoreStandIn, WorkKind,
};
use flaxward_soak::daemon::{Addresses, Daemon};
use flaxward_soak::ports::Ports;
use tokio::time::sleep;

const REGIONS: [&str; 3] = ["west", "north", "east"];
const MODELS: [&str; 4] = ["common", "rare-west", "rare-north", "rare-east"];
const SERVICE: &str = "pool";
const HOST: &str = "regions.example";
const LOAD_TIME: Duration = Duration::from_millis(300);
const START_PATIENCE: Duration = Duration::from_secs(15);
/// Time for an answer, a load included.
const PATIENCE: Duration = Duration::from_secs(10);

/// Fields that only some platforms give.
const OPTIONAL_FIELDS: [(&str, &str); 7] = [
    ("bounds.revoke_closed", "true"),
    ("bounds.revoke_ms", "2000"),
    ("bounds.evacuate_ms", "2000"),
    ("bounds.cold_over", "1.5"),
    ("bounds.cold_slack", "3"),
    ("limits.memory_mb", "260"),
    ("limits.max_fds", "4100"),
];
/// Those of [`OPTIONAL_FIELDS`] that describe the machine.
const MACHINE_FIELDS: Range<usize> = 5..7;

/// Fills the sections of the template. Those of fields that are not `given` are left out.
fn fill_sections(mut text: String, given: &[(&str, &str)]) -> String {
    while let Some(begin) = text.find("{{#") {
        let name_end = begin + text[begin..].find("}}").unwrap();
        let name = text[begin + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).unwrap();
        let is_given = given.iter().any(|(field, _)| *field == name);
        let inner = text[name_end + 2..end].to_owned();
        let filled = if is_given { inner.as_str() } else { "" };
        text.replace_range(begin..end + close.len(), filled);
    }
    for (field, value) in given {
        text = text.replace(&format!("{{{{{field}}}}}"), value);
    }
    text
}

/// The deployed template, filled for a daemon of a region as the platform does it. Of the fields that only some platforms
/// give, it has those `given`.
fn settings(
    region: &str,
    store: SocketAddr,
    own: Addresses,
    metrics: SocketAddr,
    given: &[(&str, &str)],
) -> String {
    let template =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/flaxward.toml.template");
    let mut text = fill_sections(std::fs::read_to_string(template).unwrap(), given);
    let quoted = |value: &str| format!("{value:?}");
    let fields = [
        ("{{node_name|json}}", quoted(&format!("daemon-{region}"))),
        ("{{zone|json}}", quoted(&format!("zone-{region}"))),
        ("{{region|json}}", quoted(region)),
        ("{{listen.front|json}}", quoted(&own.clients.to_string())),
        ("{{listen.ready|json}}", quoted(&own.ready.to_string())),
        ("{{ip}}", "127.0.0.1".to_owned()),
        ("{{internal_ports.0}}", own.peers.port().to_string()),
        ("{{internal_ports.1}}", metrics.port().to_string()),
        ("{{platform.address|json}}", quoted(&store.to_string())),
        ("{{bounds.grace_s}}", "8".to_owned()),
        ("{{bounds.lease_ms}}", "3000".to_owned()),
        ("{{bounds.ceiling_window_s}}", "5".to_owned()),
        ("{{bounds.budget_ratio}}", "0.2".to_owned()),
        ("{{bounds.budget_slack}}", "50".to_owned()),
        ("{{bounds.budget_window_s}}", "10".to_owned()),
        ("{{bounds.config_apply_ms}}", "2000".to_owned()),
        ("{{bounds.drain_ms}}", "2000".to_owned()),
        ("{{limits.cpu_share}}", "1.0".to_owned()),
        ("{{limits.link_mbps}}", "1000.0".to_owned()),
    ];
    for (gap, value) in fields {
        text = text.replace(gap, &value);
    }
    assert!(!text.contains("{{"), "a gap is not filled:\n{text}");
    text
}

fn start_daemon(
    region: &str,
    store: SocketAddr,
    folder: &Path,
    ports: &mut Ports,
    given: &[(&str, &str)],
) -> Daemon {
    let metrics = ports.free_address().unwrap();
    let binaries = [PathBuf::from(env!("CARGO_BIN_EXE_flaxward"))];
    let settings = |own| Ok(settings(region, store, own, metrics, given));
    let mut daemon = Daemon::prepare(region, &binaries, folder, ports, settings).unwrap();
    daemon.start().unwrap();
    daemon
}

async fn start_runners(store: &StoreStandIn) -> Vec<RunnerStandIn> {
    let mut runners = Vec::new();
    for region in REGIONS {
        let models = vec![MODELS[0].to_owned()];
        let id = format!("runner-{region}");
        let runner = RunnerStandIn::start(&id, 8, &models, 2, LOAD_TIME).await;
        let runner = runner.unwrap();
        let state = RunnerState {
            service: SERVICE.to_owned(),
            address: runner.address(),
            zone: format!("zone-{region}"),
            slots: 8,
            draining: false,
            models,
            cold_left: Duration::ZERO,
            born: runner.born(),
        };
        store.set_runner(&id, &state);
        runners.push(runner);
    }
    runners
}

fn publish(store: &StoreStandIn) {
    let route = RouteSpec {
        name: "stream".to_owned(),
        kind: WorkKind::Stream { resumable: true },
        service: SERVICE.to_owned(),
        timeout: PATIENCE,
        max_attempts: 2,
        home_regions: Vec::new(),
        needs_key: false,
    };
    let service = ServiceSpec {
        name: SERVICE.to_owned(),
        models: MODELS.map(str::to_owned).to_vec(),
        model_capacity: 2,
        load_time: LOAD_TIME,
        cold: None,
    };
    store.publish(1, HOST, &[route], &[service], &[]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_of_several_regions_have_one_holder_for_each_runner() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("regions");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let store = StoreStandIn::start().await.unwrap();
    let runners = start_runners(&store).await;
    publish(&store);
    let mut ports = Ports::claim().unwrap();
    let given = &OPTIONAL_FIELDS[MACHINE_FIELDS];
    let daemons =
        REGIONS.map(|region| start_daemon(region, store.address(), &folder, &mut ports, given));
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    for daemon in &daemons {
        let name = daemon.name();
        assert!(
            daemon.until_ready(START_PATIENCE).await,
            "{name} is not ready"
        );
    }
    // Each region's callers want a model that no runner holds.
    for (daemon, model) in daemons.iter().zip(&MODELS[1..]) {
        let url = format!("http://{}/stream/x", daemon.address());
        let end = Instant::now() + PATIENCE;
        let mut number = 0;
        loop {
            number += 1;
            let id = format!("{model}-{number}");
            let headers = request_headers(&id, PATIENCE, Some(model));
            let request = client.post(&url).headers(headers).header("host", HOST);
            let status = request.send().await.unwrap().status();
            if status.is_success() {
                break;
            }
            assert!(Instant::now() < end, "{model} is not served: {status}");
            sleep(Duration::from_millis(100)).await;
        }
    }
    let violations: Vec<String> = runners.iter().flat_map(RunnerStandIn::violations).collect();
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a daemon that can't start because the template needs a field that its platform does not give.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_starts_with_all_fields_of_the_platform_and_with_the_fewest() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("template");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let store = StoreStandIn::start().await.unwrap();
    let _runners = start_runners(&store).await;
    publish(&store);
    let mut ports = Ports::claim().unwrap();
    for (region, given) in [("west", &OPTIONAL_FIELDS[..]), ("north", &[])] {
        let daemon = start_daemon(region, store.address(), &folder, &mut ports, given);
        assert!(daemon.until_ready(START_PATIENCE).await, "{region}");
    }
}
