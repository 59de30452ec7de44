//! One of two subjects that callers ask about crashes each runner that begins to write an answer on it. This happens to one
//! service after the other.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{CONTACT_MS, Fleet};
use crate::http;
use crate::record::Record;
use crate::runner::{Runner, Work};
use crate::store::Store;

const ZONES: [&str; 4] = ["pascuales", "duran", "centro", "daule"];
const DAEMONS: usize = 9;
/// Time in which a runner is back.
const DOWN: Duration = Duration::from_millis(1_500);
const DEADLINE_MS: u64 = 25_000;
/// When traffic begins after the daemons, when the first bad requests come after that, and how long they come for a service.
const QUIET: Duration = Duration::from_secs(10);
const BAD_AFTER: f64 = 5.0;
const BAD_LENGTH: f64 = 28.0;
/// Sound requests in a second to each service, and bad ones to one.
const SOUND_RATE: f64 = 10.0;
const BAD_RATE: f64 = 10.0;
/// The rule counts from so many requests on.
const LEAST_REQUESTS: usize = 20;
/// Crashes from which on the part has to be known.
const KNOWN_AFTER: usize = 5;

/// A service with one runner and one route, whose prompts have one first part and one of two subjects.
struct Service {
    name: &'static str,
    model: &'static str,
    path: &'static str,
    first_part: &'static str,
    sound_subject: &'static str,
    bad_subject: &'static str,
    /// The last parts of its prompts and the names of its requests begin with this.
    number: u32,
}

const SERVICES: [Service; 3] = [
    Service {
        name: "asistente",
        model: "m10",
        path: "/overhaul/",
        first_part: "5c1e07a2",
        sound_subject: "0d0c0001",
        bad_subject: "badbad01",
        number: 0xa000_0000,
    },
    Service {
        name: "redactor",
        model: "m11",
        path: "/report/",
        first_part: "91bd3f06",
        sound_subject: "0d0c0002",
        bad_subject: "badbad02",
        number: 0xc000_0000,
    },
    Service {
        name: "archivo",
        model: "m12",
        path: "/archive/",
        first_part: "e4402b7d",
        sound_subject: "0d0c0003",
        bad_subject: "badbad03",
        number: 0xe000_0000,
    },
];

/// The first try of a request.
struct Try {
    /// Index of its service.
    service: usize,
    at: f64,
    is_bad: bool,
    has_begun: bool,
}

impl Service {
    fn configuration(&self) -> String {
        let model = format!(
            "{{\"name\":\"{}\",\"weights_mb\":42700,\"load_s\":2.5,\"adapters\":0,\"adapter_mb\":66,\"warm_s\":0.89,\
             \"disk_load_s\":1.2}}",
            self.model
        );
        format!(
            "{{\"name\":\"{}\",\"health_path\":\"/health\",\"max_conns\":370,\"engine\":{{\"slots\":64,\
             \"kv_tokens\":129500,\"weights_mb\":200000,\"adapter_slots\":8,\"loads_per_s\":2.2,\"models\":[{model}]}}}}",
            self.name
        )
    }

    fn route(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"host\":\"desk.example\",\"prefix\":\"{}\",\"kind\":\"stream\",\
             \"timeout_ms\":{DEADLINE_MS},\"target_ms\":6000,\"gap_target_ms\":300,\"priority\":1,\"service\":\"{}\",\
             \"max_attempts\":1,\"sticky\":true,\"can_resume\":false}}",
            self.name, self.path, self.name
        )
    }

    fn work(&self) -> Work {
        Work {
            first_event: Duration::from_millis(300),
            first_event_spread: Duration::from_millis(600),
            events: 100,
            event_gap: Duration::from_millis(20),
            model: Some((self.model, Duration::from_millis(2_500))),
            crashing_part: Some((self.bad_subject, DOWN)),
            ..Work::default()
        }
    }
}

fn configuration() -> String {
    let limits =
        "{\"header_bytes\":16384,\"body_bytes\":1048576,\"header_ms\":3000,\"idle_ms\":15000}";
    let services = SERVICES.each_ref().map(Service::configuration).join(",");
    let routes = SERVICES.each_ref().map(Service::route).join(",");
    format!("{{\"version\":1,\"limits\":{limits},\"services\":[{services}],\"routes\":[{routes}]}}")
}

/// Sends one request. Returns its status and the number of events that came.
fn request(front: SocketAddr, service: &Service, id: &str, prompt: &str) -> (u16, usize) {
    let deadline = DEADLINE_MS.to_string();
    let headers = [
        ("Host", "desk.example"),
        ("X-Flaxward-Request-Id", id),
        ("X-Flaxward-Deadline-Ms", deadline.as_str()),
        ("X-Flaxward-Model", service.model),
        ("X-Flaxward-Token-Counts", "1110,200"),
        ("X-Flaxward-Prompt-Prefix", prompt),
        ("Connection", "close"),
    ];
    // No two requests are alike.
    let body = format!("{{\"prompt\":\"the text of {id}\"}}");
    let patience = Duration::from_millis(DEADLINE_MS);
    let target = format!("POST {}x", service.path);
    let Some(mut reader) = http::send(front, &target, &headers, body.as_bytes(), patience) else {
        return (0, 0);
    };
    let Some(head) = http::read_head(&mut reader) else {
        return (0, 0);
    };
    let mut events = 0;
    if head.status() == 200 {
        while let Some(chunk) = http::read_chunk(&mut reader).filter(|it| !it.is_empty()) {
            events += String::from_utf8_lossy(&chunk).matches("id: ").count();
        }
    }
    (head.status(), events)
}

pub fn run(has_trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let store = Store::start();
    store.put("config", "main", &configuration());
    let start = |(index, service): (usize, &Service)| {
        let (id, zone) = (format!("i-as-{index}"), ZONES[index]);
        Runner::start(
            &id,
            service.name,
            "v1",
            zone,
            service.work(),
            &store,
            record,
        )
    };
    let runners: Vec<Runner> = SERVICES.iter().enumerate().map(start).collect();
    let mut fleet = Fleet::new(DAEMONS, &ZONES, store.address, folder, record);
    for index in 0..DAEMONS {
        fleet.start(index);
    }
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return Verdict::CouldNotRun("the daemons are not ready".to_owned());
    }
    std::thread::sleep(QUIET);
    let fronts: Vec<SocketAddr> = fleet.daemons.iter().map(|it| it.front).collect();
    let tries = play(has_trouble, &fronts, record);
    drop(fleet);
    let crashes: Vec<Vec<f64>> = runners
        .iter()
        .map(|it| it.crashes.lock().unwrap().clone())
        .collect();
    let first_crash = crashes.iter().flatten().copied().fold(f64::MAX, f64::min);
    let judged = SERVICES
        .iter()
        .zip(&crashes)
        .enumerate()
        .map(|(index, (service, crashes))| {
            let tries: Vec<&Try> = tries.iter().filter(|it| it.service == index).collect();
            judge(service, &tries, first_crash, crashes, record)
        });
    let judged: Vec<Verdict> = judged.collect();
    let is_broken = judged.iter().any(|it| matches!(it, Verdict::Broken));
    let mut others = judged.into_iter().filter(|it| !matches!(it, Verdict::Held));
    match is_broken {
        true => Verdict::Broken,
        false => others.next().unwrap_or(Verdict::Held),
    }
}

/// A request to send.
struct Planned {
    at: f64,
    service: usize,
    is_bad: bool,
    number: u32,
}

/// Sound requests to all services all the time, and bad ones to one service after the other.
fn plan(has_trouble: bool) -> Vec<Planned> {
    let mut planned = Vec::new();
    let length = BAD_AFTER + BAD_LENGTH * SERVICES.len() as f64;
    for service in 0..SERVICES.len() {
        let mut add = |from: f64, length: f64, rate: f64, is_bad: bool| {
            planned.extend((0..(length * rate) as u32).map(|number| Planned {
                at: from + f64::from(number) / rate,
                service,
                is_bad,
                number,
            }));
        };
        add(0.0, length, SOUND_RATE, false);
        if has_trouble {
            add(
                BAD_AFTER + BAD_LENGTH * service as f64,
                BAD_LENGTH,
                BAD_RATE,
                true,
            );
        }
    }
    planned.sort_by(|left, right| left.at.total_cmp(&right.at));
    planned
}

/// Sends the requests, each from a thread of its own, and waits for their ends.
fn play(has_trouble: bool, fronts: &[SocketAddr], record: &Record) -> Vec<Try> {
    let began = record.seconds();
    let mut callers = Vec::new();
    for planned in plan(has_trouble) {
        let wait = began + planned.at - record.seconds();
        std::thread::sleep(Duration::from_secs_f64(wait.max(0.0)));
        let daemon = planned.number as usize * 5 % fronts.len();
        let (front, record) = (fronts[daemon], record.clone());
        callers.push(std::thread::spawn(move || {
            let service = &SERVICES[planned.service];
            let (kind, subject, own) = match planned.is_bad {
                true => (
                    "bad",
                    service.bad_subject,
                    service.number + 0x1000_0000 + planned.number,
                ),
                false => (
                    "sound",
                    service.sound_subject,
                    service.number + planned.number,
                ),
            };
            let id = format!("{own:016x}");
            let prompt = format!("{}:210,{subject}:140,{own:08x}:760", service.first_part);
            let at = record.seconds();
            let (status, events) = request(front, service, &id, &prompt);
            record.line_at(
                at,
                &format!(
                    "{kind} request {id} to {} at daemon {daemon}: {status}, {events} events",
                    service.name
                ),
            );
            Try {
                service: planned.service,
                at,
                is_bad: planned.is_bad,
                has_begun: events > 0,
            }
        }));
    }
    callers
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect()
}

/// From 2 x `contact_ms` after the fifth crash (the last, if there are fewer), while bad requests still come, sound
/// requests begin at the first try less than half as often as before anything crashed.
fn judge(
    service: &Service,
    tries: &[&Try],
    first_crash: f64,
    crashes: &[f64],
    record: &Record,
) -> Verdict {
    let name = service.name;
    let count = |from: f64, to: f64| {
        let of_sound = tries
            .iter()
            .filter(|it| !it.is_bad && from <= it.at && it.at < to);
        let begun: Vec<bool> = of_sound.map(|it| it.has_begun).collect();
        (begun.iter().filter(|it| **it).count(), begun.len())
    };
    let Some(last) = crashes.get(KNOWN_AFTER - 1).or(crashes.last()) else {
        let (begun, all) = count(0.0, f64::MAX);
        record.say(&format!(
            "{name}: its runner has not crashed; {begun} of {all} sound requests began"
        ));
        return match begun * 2 < all {
            true => Verdict::CouldNotRun("sound requests do not begin".to_owned()),
            false => Verdict::Held,
        };
    };
    let contact = Duration::from_millis(CONTACT_MS).as_secs_f64();
    let last_bad = tries
        .iter()
        .filter(|it| it.is_bad)
        .map(|it| it.at)
        .fold(0.0, f64::max);
    let (before, of_before) = count(0.0, first_crash);
    let (after, of_after) = count(last + 2.0 * contact, last_bad);
    record.say(&format!(
        "{name}: {} crashes, the one that counts at {last:.3}, the last bad request at {last_bad:.3}; {before} of \
         {of_before} sound requests began before the first crash of all, at {first_crash:.3}, {after} of {of_after} from 6 s \
         after the one that counts until the last bad request",
        crashes.len()
    ));
    let is_enough = of_before >= LEAST_REQUESTS && of_after >= LEAST_REQUESTS;
    match is_enough && 2 * after * of_before < before * of_after {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
