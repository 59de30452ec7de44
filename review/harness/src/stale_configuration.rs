//! The machines that watch the store for all lose their way to it, while the others keep theirs. A configuration comes.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::HOST;
use crate::daemon::{Daemon, Machine, Ports};
use crate::fleet::ZONES;
use crate::http::call;
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::runner::{Kind, Runners};
use crate::store::Store;
use crate::way::Way;
use crate::{Verdict, lock};

/// Machines of the two sorts that the sheets of the grown sites name. The strong ones come first; one of them coordinates
/// and the others stand by.
const STRONG: usize = 6;
const WEAK: usize = 12;
const RUNNERS: usize = 2;
const OLD_SERVICE: &str = "old-api";
const NEW_SERVICE: &str = "new-api";
/// Time until all have found each other.
const CALM: Duration = Duration::from_secs(15);
/// From the beginning of the cut until the configuration comes, and how long the cut lasts.
const CHANGE_AFTER: Duration = Duration::from_millis(2_500);
const CUT: Duration = Duration::from_secs(7);
/// `config_apply_ms`, in s.
const CONFIG_APPLY: f64 = 2.0;
/// Time between two requests to each weak machine, and how long they come.
const REQUEST_GAP: f64 = 0.1;
const REQUESTS_FOR: f64 = 8.0;

/// `drain_ms`, in s.
const DRAIN: f64 = 2.0;

/// What changes while the machines are cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    Configuration,
    /// A runner says that it drains.
    Drains,
    /// The entry of a runner goes away.
    Goes,
}

/// A request to one machine.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: f64,
    machine: usize,
    is_new_route: bool,
    status: u16,
}

fn route(name: &str, prefix: &str, service: &str) -> Json {
    object([
        ("name", text(name)),
        ("host", text(HOST)),
        ("prefix", text(prefix)),
        ("kind", text("safe")),
        ("timeout_ms", number(1_000)),
        ("target_ms", number(150)),
        ("priority", number(2)),
        ("service", text(service)),
        ("max_attempts", number(2)),
        ("sticky", Json::Bool(false)),
        ("can_resume", Json::Bool(false)),
    ])
}

/// The first version sends a route to the old service; the second sends it to the new one, and has one route more.
fn publish(store: &Store, version: u64) {
    let service = |name: &str| {
        object([
            ("name", text(name)),
            ("health_path", text("/health")),
            ("max_conns", number(360)),
            ("engine", Json::Null),
        ])
    };
    let mut routes = vec![route(
        "r-status",
        "/status/",
        if version == 1 {
            OLD_SERVICE
        } else {
            NEW_SERVICE
        },
    )];
    if version > 1 {
        routes.push(route("r-fresh", "/fresh/", NEW_SERVICE));
    }
    let limits = object([
        ("header_bytes", number(16_384)),
        ("body_bytes", number(4_194_304)),
        ("header_ms", number(10_000)),
        ("idle_ms", number(30_000)),
    ]);
    let spec = object([
        ("version", number(version)),
        ("routes", Json::List(routes)),
        (
            "services",
            Json::List(vec![service(OLD_SERVICE), service(NEW_SERVICE)]),
        ),
        ("limits", limits),
    ]);
    store.put("config", "main", spec);
}

pub fn play(
    change: Change,
    root: &Path,
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Verdict> {
    let folder = std::env::temp_dir().join(format!("flaxward-review-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let verdict = play_in(change, &folder, root, has_trouble, record);
    if std::env::var_os("KEEP_LOGS").is_some() {
        println!("logs are in {}", folder.display());
    } else {
        let _ = fs::remove_dir_all(&folder);
    }
    verdict
}

fn play_in(
    change: Change,
    folder: &Path,
    root: &Path,
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Verdict> {
    let store = Arc::new(Store::start()?);
    publish(&store, 1);
    let runners = Runners::new(record.clone(), store.clone());
    let mut first = None;
    for index in 0..RUNNERS * 2 {
        let kind = Kind {
            service: (if index < RUNNERS {
                OLD_SERVICE
            } else {
                NEW_SERVICE
            })
            .to_owned(),
            zone: ZONES[index % 3].to_owned(),
            version: "v1".to_owned(),
            slots: 64,
            has_engine: false,
            load: Duration::ZERO,
            disk_load: Duration::ZERO,
            prefill: Duration::ZERO,
            step: Duration::ZERO,
            work: Duration::from_millis(10),
            crashing_part: None,
            down: Duration::from_secs(3),
        };
        let runner = runners.add(&kind, &[])?;
        first.get_or_insert(runner);
    }
    let ports = Ports::find(STRONG + WEAK)?;
    let mut ways = Vec::new();
    let mut daemons = Vec::new();
    for index in 0..STRONG + WEAK {
        let way = Way::start(store.address)?;
        let machine = if index < STRONG {
            Machine::STRONG
        } else {
            Machine::WEAK
        };
        daemons.push(Daemon::prepare(
            root,
            folder,
            ports,
            index,
            ZONES[index % 3],
            way.address,
            machine,
        )?);
        ways.push(way);
    }
    for daemon in &mut daemons {
        daemon.start()?;
    }
    for daemon in &daemons {
        if !daemon.wait_until_ready(Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{} is not ready", daemon.name)));
        }
    }
    record.tell(format!("{} daemons are ready", daemons.len()));
    thread::sleep(CALM);
    if has_trouble {
        for way in &ways[..STRONG] {
            way.cut(true);
        }
        record.tell(format!(
            "{STRONG} of {} machines lose their way to the store",
            STRONG + WEAK
        ));
    }
    let cut_at = record.now();
    thread::sleep(CHANGE_AFTER);
    let leaving = match (change, &first) {
        (Change::Configuration, _) | (_, None) => {
            publish(&store, 2);
            None
        }
        (_, Some(runner)) => Some(runner.leave(change == Change::Drains)),
    };
    let acknowledged_at = record.now();
    record.tell(format!("acknowledged: {change:?}, {leaving:?}"));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for (machine, daemon) in daemons.iter().enumerate().skip(STRONG) {
        let (front, record, sent) = (daemon.front, record.clone(), sent.clone());
        clients.push(thread::spawn(move || {
            ask(&record, front, machine, acknowledged_at, change, &sent)
        }));
    }
    let left = cut_at + CUT.as_secs_f64() - record.now();
    thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    for way in &ways {
        way.cut(false);
    }
    let healed_at = record.now();
    record.tell("all have their way to the store");
    for client in clients {
        let _ = client.join();
    }
    for daemon in &daemons {
        for event in ["configuration-applied", "lease-acquired", "lease-lost"] {
            for line in daemon.log_lines(event) {
                record.note(format!("{} logs {line}", daemon.name));
            }
        }
    }
    if let Some(leaving) = leaving {
        return Ok(judge_drain(
            record,
            &runners,
            &leaving,
            acknowledged_at,
            healed_at,
        ));
    }
    Ok(judge(
        record,
        &runners,
        &lock(&sent),
        acknowledged_at,
        healed_at,
    ))
}

/// Sends requests to a machine, in turn on the route that has moved and on the one that is new.
fn ask(
    record: &Record,
    front: SocketAddr,
    machine: usize,
    from: f64,
    change: Change,
    sent: &Mutex<Vec<Sent>>,
) {
    let mut number = 0_u64;
    while record.now() < from + REQUESTS_FOR {
        let is_new_route = change == Change::Configuration && number % 2 == 1;
        let id = format!("r-{machine:02}-{number:03}");
        let path = if is_new_route {
            "/fresh/1"
        } else {
            "/status/1"
        };
        let headers = [
            ("Host", HOST),
            ("X-Flaxward-Request-Id", &id),
            ("X-Flaxward-Deadline-Ms", "1000"),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
        let at = record.now();
        let answer = call(
            front,
            "GET",
            path,
            &headers,
            b"",
            Duration::from_secs(2),
            |_| {},
        );
        let status = answer.map_or(0, |it| it.status);
        record.note(format!("client {id} {path} at machine {machine}: {status}"));
        lock(sent).push(Sent {
            id,
            at,
            machine,
            is_new_route,
            status,
        });
        number += 1;
        thread::sleep(Duration::from_secs_f64(REQUEST_GAP));
    }
}

/// A request sent later than `config_apply_ms` after the acknowledgement is handled as only an older version allows: it is
/// run by the service from which its route has moved, or refused with 404 though its route is there.
fn judge(
    record: &Record,
    runners: &Runners,
    sent: &[Sent],
    acknowledged_at: f64,
    healed_at: f64,
) -> Verdict {
    let arrivals = lock(&runners.arrivals);
    let is_run_by_old = |id: &str| {
        arrivals
            .iter()
            .any(|it| it.request == id && it.service == OLD_SERVICE)
    };
    let late: Vec<&Sent> = sent
        .iter()
        .filter(|it| it.at > acknowledged_at + CONFIG_APPLY)
        .collect();
    let denied: Vec<_> = late
        .iter()
        .filter(|it| it.is_new_route && it.status == 404)
        .collect();
    let old: Vec<_> = late
        .iter()
        .filter(|it| !it.is_new_route && is_run_by_old(&it.id))
        .collect();
    let mut machines: Vec<usize> = denied.iter().chain(&old).map(|it| it.machine).collect();
    machines.sort_unstable();
    machines.dedup();
    let last = denied
        .iter()
        .chain(&old)
        .map(|it| it.at)
        .fold(0.0, f64::max);
    for it in denied.iter().chain(&old) {
        record.note(format!(
            "by an older version: {:.3} {} at machine {}, {}",
            it.at, it.id, it.machine, it.status
        ));
    }
    record.tell(format!(
        "of {} requests sent to {WEAK} machines in touch later than {CONFIG_APPLY} s after the acknowledgement, {} were refused \
         with 404 and {} run by the old service, at {} machines; the last {:.3} s after the acknowledgement (way back after {:.3} s)",
        late.len(),
        denied.len(),
        old.len(),
        machines.len(),
        (last - acknowledged_at).max(0.0),
        healed_at - acknowledged_at
    ));
    if denied.is_empty() && old.is_empty() {
        record.tell("CONFIG held");
        Verdict::Held
    } else {
        record.tell("CONFIG is broken");
        Verdict::Broken
    }
}

/// A request, sent on by machines in touch, reaches a runner more than `drain_ms` after the acknowledgement that it drains or
/// is gone.
fn judge_drain(
    record: &Record,
    runners: &Runners,
    leaving: &str,
    acknowledged_at: f64,
    healed_at: f64,
) -> Verdict {
    let arrivals = lock(&runners.arrivals);
    let late: Vec<_> = arrivals
        .iter()
        .filter(|it| it.runner == leaving && it.at > acknowledged_at + DRAIN)
        .collect();
    for it in &late {
        record.note(format!(
            "late at {leaving}: {:.3} {}",
            it.at - acknowledged_at,
            it.request
        ));
    }
    let after = arrivals
        .iter()
        .filter(|it| it.at > acknowledged_at + DRAIN)
        .count();
    let last = late.iter().map(|it| it.at).fold(acknowledged_at, f64::max);
    record.tell(format!(
        "{} of {after} requests later than {DRAIN} s after the acknowledgement reach the leaving runner; the last {:.3} s after \
         it (way back after {:.3} s)",
        late.len(),
        last - acknowledged_at,
        healed_at - acknowledged_at
    ));
    if late.is_empty() {
        record.tell("DRAIN held");
        Verdict::Held
    } else {
        record.tell("DRAIN is broken");
        Verdict::Broken
    }
}
