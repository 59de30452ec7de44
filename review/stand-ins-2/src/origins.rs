//! Daemons are killed, and clients take their streams up again.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{CONTACT_MS, Fleet};
use crate::http;
use crate::record::Record;
use crate::runner::{Runner, Work};
use crate::store::Store;

pub const ZONES: [&str; 4] = ["pascuales", "duran", "centro", "daule"];
pub const DAEMONS: usize = 9;
pub const EVENTS: u64 = 100;
pub const EVENT_GAP: Duration = Duration::from_millis(80);
const DEADLINE: Duration = Duration::from_secs(25);
/// Time that the platform takes to start a process again.
const RESTART: Duration = Duration::from_millis(500);
/// Tries of a client after its first one: PROTOCOL.md says "a few".
const RETRIES: u32 = 4;
/// Time after a refused connection until a client tries again.
const REFUSED_PAUSE: Duration = Duration::from_millis(700);
const TRAFFIC_AFTER: Duration = Duration::from_secs(12);
/// The rule counts from so many streams on.
const LEAST_STREAMS: usize = 12;

/// What is played.
pub struct Scene {
    /// Software versions of the runners.
    pub versions: [&'static str; 8],
    /// Time from the start of the daemons to that of the traffic, and from there to the kill.
    pub quiet: Duration,
    pub traffic_before: Duration,
    /// Time between two new streams.
    pub stream_gap: Duration,
    /// How many daemons are killed at the same moment.
    pub killed: usize,
}

/// Two software versions side by side, and all daemons are killed.
pub const ALL: Scene = Scene {
    versions: ["v1", "v2", "v1", "v2", "v2", "v1", "v2", "v1"],
    quiet: Duration::from_secs(10),
    traffic_before: Duration::from_secs(14),
    stream_gap: Duration::from_millis(90),
    killed: DAEMONS,
};

/// One software version, and one daemon is killed soon after the system has started.
pub const EARLY: Scene = Scene {
    versions: ["v1"; 8],
    quiet: Duration::from_secs(10),
    traffic_before: Duration::from_secs(4),
    stream_gap: Duration::from_millis(25),
    killed: 1,
};

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Try {
    at: f64,
    stream: u64,
    is_resumed: bool,
    daemon: usize,
    status: u16,
    /// Whether at least one event came.
    goes_on: bool,
}

/// Streams of clients.
#[derive(Default)]
pub struct Traffic {
    /// Tries of a client after its first one.
    retries: u32,
    pub is_over: AtomicBool,
    number: AtomicU64,
    tries: Mutex<Vec<Try>>,
    /// Software versions of the events of each stream that ended, and whether it was complete.
    pub ended: Mutex<Vec<(u64, Vec<String>, bool)>>,
}

impl Traffic {
    /// Opens a stream each `gap` until the traffic is over.
    pub fn open(
        fronts: Vec<SocketAddr>,
        gap: Duration,
        retries: u32,
        record: &Record,
    ) -> Arc<Self> {
        let traffic = Arc::new(Self {
            retries,
            ..Self::default()
        });
        let (opening, record) = (traffic.clone(), record.clone());
        std::thread::spawn(move || {
            let fronts = Arc::new(fronts);
            while !opening.is_over.load(Ordering::SeqCst) {
                let (traffic, fronts, record) = (opening.clone(), fronts.clone(), record.clone());
                let stream = traffic.number.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || client(&traffic, stream, &fronts, &record));
                std::thread::sleep(gap);
            }
        });
        traffic
    }
}

pub fn configuration() -> String {
    let limits =
        "{\"header_bytes\":16384,\"body_bytes\":1048576,\"header_ms\":3000,\"idle_ms\":15000}";
    format!(
        "{{\"version\":1,\"limits\":{limits},\"services\":[{{\"name\":\"asistente\",\"max_conns\":360}}],\"routes\":[\
         {{\"name\":\"diag\",\"host\":\"desk.example\",\"prefix\":\"/stream/\",\"kind\":\"stream\",\
         \"timeout_ms\":25000,\"target_ms\":600,\"gap_target_ms\":300,\"priority\":1,\"service\":\"asistente\",\
         \"max_attempts\":2,\"can_resume\":true}}]}}"
    )
}

/// What a client has of a stream.
#[derive(Default)]
struct Received {
    last_event: Option<u64>,
    versions: Vec<String>,
    /// The try that brought the first event.
    first_by: Option<String>,
    is_complete: bool,
}

/// How a try ended.
struct Outcome {
    status: u16,
    has_events: bool,
    retry_after: Option<Duration>,
}

fn try_once(address: SocketAddr, id: &str, left: Duration, received: &mut Received) -> Outcome {
    let mut outcome = Outcome {
        status: 0,
        has_events: false,
        retry_after: None,
    };
    let (left_ms, last) = (
        left.as_millis().to_string(),
        received.last_event.map(|it| it.to_string()),
    );
    let resumes = received.first_by.clone();
    let mut headers = vec![
        ("Host", "desk.example"),
        ("X-Flaxward-Request-Id", id),
        ("X-Flaxward-Deadline-Ms", left_ms.as_str()),
        ("Connection", "close"),
    ];
    if let (Some(last), Some(resumes)) = (&last, &resumes) {
        headers.push(("Last-Event-Id", last));
        headers.push(("Resumes", resumes));
    }
    // A client gives a stream up after a gap of eight times 300 ms.
    let gap = Duration::from_millis(2_400);
    let Some(mut reader) = http::send(address, "POST /stream/x", &headers, b"{}", gap) else {
        return outcome;
    };
    let Some(head) = http::read_head(&mut reader) else {
        return outcome;
    };
    outcome.status = head.status();
    let retry_after = head
        .header("Retry-After")
        .and_then(|text| text.parse().ok());
    outcome.retry_after = retry_after.map(Duration::from_secs_f64);
    if outcome.status != 200 {
        return outcome;
    }
    let mut text = String::new();
    while let Some(chunk) = http::read_chunk(&mut reader) {
        if chunk.is_empty() {
            received.is_complete = received.last_event == Some(EVENTS);
            break;
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let line = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            received.last_event = line("id: ").and_then(|id| id.parse().ok());
            let version = line("data: ").and_then(|data| data.split(' ').nth(1));
            let version = version.unwrap_or("").to_owned();
            if received.versions.last() != Some(&version) {
                received.versions.push(version);
            }
            received.first_by.get_or_insert_with(|| id.to_owned());
            outcome.has_events = true;
        }
    }
    outcome
}

fn client(traffic: &Traffic, stream: u64, fronts: &[SocketAddr], record: &Record) {
    let began = Instant::now();
    let mut received = Received::default();
    for attempt in 0..=traffic.retries {
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left < Duration::from_millis(100) {
            break;
        }
        let daemon = (stream as usize * 5 + attempt as usize * 7) % fronts.len();
        let id = format!("{stream:012x}{attempt:04x}");
        let (at, is_resumed) = (record.seconds(), received.last_event.is_some());
        let outcome = try_once(fronts[daemon], &id, left, &mut received);
        let kind = if is_resumed { "takes up" } else { "begins" };
        record.line_at(at, &format!(
            "stream {stream} {kind} at daemon {daemon}: {} {}, has event {:?} of {:?}, retry after {:?}",
            outcome.status, if outcome.has_events { "with events" } else { "without events" },
            received.last_event, received.versions, outcome.retry_after));
        traffic.tries.lock().unwrap().push(Try {
            at,
            stream,
            is_resumed,
            daemon,
            status: outcome.status,
            goes_on: outcome.has_events,
        });
        if received.is_complete {
            break;
        }
        let left = DEADLINE.saturating_sub(began.elapsed());
        let pause = match (outcome.status, outcome.retry_after) {
            (0, _) => REFUSED_PAUSE,
            (_, Some(wanted)) => wanted.min(left / 3),
            _ => Duration::ZERO,
        };
        std::thread::sleep(pause);
    }
    let ended = (stream, received.versions, received.is_complete);
    traffic.ended.lock().unwrap().push(ended);
}

pub fn run(scene: &Scene, has_trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let store = Store::start();
    let work = Work {
        first_event: EVENT_GAP,
        events: EVENTS,
        event_gap: EVENT_GAP,
        ..Work::default()
    };
    store.put("config", "main", &configuration());
    for (index, version) in scene.versions.into_iter().enumerate() {
        let (id, zone) = (format!("i-as-{index}"), ZONES[index % ZONES.len()]);
        Runner::start(
            &id,
            "asistente",
            version,
            zone,
            work.clone(),
            &store,
            record,
        );
    }
    let mut fleet = Fleet::new(DAEMONS, &ZONES, store.address, folder, record);
    let first_started_at = Instant::now();
    for index in 0..DAEMONS {
        fleet.start(index);
    }
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return Verdict::CouldNotRun("the daemons are not ready".to_owned());
    }
    std::thread::sleep(scene.quiet.saturating_sub(first_started_at.elapsed()));
    let fronts: Vec<SocketAddr> = fleet.daemons.iter().map(|it| it.front).collect();
    let traffic = Traffic::open(fronts, scene.stream_gap, RETRIES, record);
    std::thread::sleep(scene.traffic_before);
    let killed_at = record.seconds();
    let killed: Vec<usize> = (0..scene.killed).collect();
    if has_trouble {
        fleet.kill_together(&killed);
        std::thread::sleep(RESTART);
        for &index in &killed {
            fleet.start(index);
        }
    }
    let started_at = record.seconds();
    std::thread::sleep(TRAFFIC_AFTER);
    traffic.is_over.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(10));
    let tries = traffic.tries.lock().unwrap().clone();
    let ended = traffic.ended.lock().unwrap().clone();
    drop(fleet);
    judge(&tries, &ended, &killed, killed_at, started_at, record)
}

fn judge(
    tries: &[Try],
    ended: &[(u64, Vec<String>, bool)],
    killed: &[usize],
    killed_at: f64,
    started_at: f64,
    record: &Record,
) -> Verdict {
    let contact = Duration::from_millis(CONTACT_MS).as_secs_f64();
    // Those that were not killed are in touch all the time.
    let in_touch = tries.iter().filter(|it| {
        let is_calm = !killed.contains(&it.daemon) && it.at >= killed_at;
        is_calm || it.at >= started_at + contact
    });
    let (resumed, new): (Vec<&Try>, Vec<&Try>) = in_touch.partition(|it| it.is_resumed);
    let streams = |tries: &[&Try], goes_on: bool| {
        let mut streams: Vec<u64> = tries
            .iter()
            .filter(|it| it.goes_on || !goes_on)
            .map(|it| it.stream)
            .collect();
        streams.sort_unstable();
        streams.dedup();
        streams.len()
    };
    let share = |tries: &[&Try]| streams(tries, true) as f64 / streams(tries, false).max(1) as f64;
    let mixed = ended
        .iter()
        .filter(|(_, versions, _)| versions.len() > 1)
        .count();
    let broken: Vec<&Try> = tries.iter().filter(|it| it.is_resumed).collect();
    let refused = broken.iter().filter(|it| it.status == 503).count();
    let unfinished = ended
        .iter()
        .filter(|(_, _, is_complete)| !is_complete)
        .count();
    record.say(&format!(
        "killed at {killed_at:.3}, started again at {started_at:.3}; of {} streams taken up at daemons in touch {} went on, \
         of {} new ones there {} began; in all {} tries to take a stream up, {refused} got 503; {unfinished} of {} streams \
         never finished, {mixed} hold events of two versions",
        streams(&resumed, false), streams(&resumed, true), streams(&new, false), streams(&new, true),
        broken.len(), ended.len()
    ));
    if streams(&new, true) == 0 {
        return Verdict::CouldNotRun("no new stream began".to_owned());
    }
    let is_lost = streams(&resumed, false) >= LEAST_STREAMS && share(&resumed) < share(&new) / 2.0;
    if is_lost || mixed > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
