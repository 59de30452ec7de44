//! One of two subjects that callers ask about crashes each runner that begins to write an answer on it.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{CONTACT_MS, Fleet};
use crate::http;
use crate::record::Record;
use crate::runner::{Runner, Work};
use crate::store::Store;

const ZONES: [&str; 4] = ["pascuales", "duran", "centro", "daule"];
const DAEMONS: usize = 9;
/// Runners that hold the model.
const RUNNERS: usize = 1;
const MODEL: &str = "m10";
/// The first part, which all prompts of the route have, and the two subjects, of which one crashes runners.
const FIRST_PART: &str = "5c1e07a2";
const SOUND_SUBJECT: &str = "0d0c0001";
const BAD_SUBJECT: &str = "badbad01";
/// Time in which a runner is back.
const DOWN: Duration = Duration::from_millis(2_500);
const DEADLINE_MS: u64 = 25_000;
/// When traffic begins after the daemons, when the bad requests begin after that, and when all ends.
const QUIET: Duration = Duration::from_secs(10);
const BAD_AFTER: f64 = 8.0;
const LENGTH: f64 = 42.0;
/// Sound and bad requests in a second.
const SOUND_RATE: f64 = 10.0;
const BAD_RATE: f64 = 10.0;
/// The rule counts from so many requests on.
const LEAST_REQUESTS: usize = 20;
/// Crashes from which on the part has to be known.
const KNOWN_AFTER: usize = 5;

/// The first try of a request.
struct Try {
    at: f64,
    is_bad: bool,
    has_begun: bool,
}

fn configuration() -> String {
    let limits = "{\"header_bytes\":16384,\"body_bytes\":1048576,\"header_ms\":3000,\"idle_ms\":15000}";
    let model = format!(
        "{{\"name\":\"{MODEL}\",\"weights_mb\":42700,\"load_s\":2.5,\"adapters\":0,\"adapter_mb\":66,\"warm_s\":0.89,\
         \"disk_load_s\":1.2}}"
    );
    format!(
        "{{\"version\":1,\"limits\":{limits},\"services\":[{{\"name\":\"asistente\",\"health_path\":\"/health\",\
         \"max_conns\":370,\"engine\":{{\"slots\":64,\"kv_tokens\":129500,\"weights_mb\":200000,\"adapter_slots\":8,\
         \"loads_per_s\":2.2,\"models\":[{model}]}}}}],\"routes\":[\
         {{\"name\":\"overhaul\",\"host\":\"desk.example\",\"prefix\":\"/overhaul/\",\"kind\":\"stream\",\
         \"timeout_ms\":{DEADLINE_MS},\"target_ms\":6000,\"gap_target_ms\":300,\"priority\":1,\
         \"service\":\"asistente\",\"max_attempts\":1,\"sticky\":true,\"can_resume\":false}}]}}"
    )
}

/// Sends one request. Returns its status and the number of events that came.
fn request(front: SocketAddr, id: &str, prompt: &str) -> (u16, usize) {
    let deadline = DEADLINE_MS.to_string();
    let headers = [
        ("Host", "desk.example"),
        ("X-Flaxward-Request-Id", id),
        ("X-Flaxward-Deadline-Ms", deadline.as_str()),
        ("X-Flaxward-Model", MODEL),
        ("X-Flaxward-Token-Counts", "1110,200"),
        ("X-Flaxward-Prompt-Prefix", prompt),
        ("Connection", "close"),
    ];
    // No two requests are alike.
    let body = format!("{{\"prompt\":\"the text of {id}\"}}");
    let patience = Duration::from_millis(DEADLINE_MS);
    let reader = http::send(front, "POST /overhaul/x", &headers, body.as_bytes(), patience);
    let Some(mut reader) = reader else {
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
    let work = Work {
        first_event: Duration::from_millis(300),
        first_event_spread: Duration::from_millis(600),
        events: 100,
        event_gap: Duration::from_millis(20),
        model: Some((MODEL, Duration::from_millis(2_500))),
        crashing_part: Some((BAD_SUBJECT, DOWN)),
    };
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|index| {
            let id = format!("i-as-{index}");
            Runner::start(&id, "asistente", "v1", ZONES[index], work.clone(), &store, record)
        })
        .collect();
    let mut fleet = Fleet::new(DAEMONS, &ZONES, store.address, folder, record);
    for index in 0..DAEMONS {
        fleet.start(index);
    }
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return Verdict::CouldNotRun("the daemons are not ready".to_owned());
    }
    std::thread::sleep(QUIET);
    let fronts: Vec<SocketAddr> = fleet.daemons.iter().map(|it| it.front).collect();
    let began = record.seconds();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let mut schedule: Vec<(f64, bool, usize)> = Vec::new();
    schedule.extend((0..(LENGTH * SOUND_RATE) as usize).map(|it| (it as f64 / SOUND_RATE, false, it)));
    if has_trouble {
        let count = ((LENGTH - BAD_AFTER) * BAD_RATE) as usize;
        schedule.extend((0..count).map(|it| (BAD_AFTER + it as f64 / BAD_RATE, true, it)));
    }
    schedule.sort_by(|left, right| left.0.total_cmp(&right.0));
    let mut callers = Vec::new();
    for (at, is_bad, number) in schedule {
        let wait = began + at - record.seconds();
        std::thread::sleep(Duration::from_secs_f64(wait.max(0.0)));
        let daemon = number * 5 % fronts.len();
        let (front, record, tries) = (fronts[daemon], record.clone(), tries.clone());
        let send = move || {
            let (kind, subject, own) = match is_bad {
                true => ("bad", BAD_SUBJECT, 0xe000_0000 + number),
                false => ("sound", SOUND_SUBJECT, 0xf000_0000 + number),
            };
            let id = format!("{own:016x}");
            let prompt = format!("{FIRST_PART}:210,{subject}:140,{own:08x}:760");
            let at = record.seconds();
            let (status, events) = request(front, &id, &prompt);
            record.line_at(at, &format!("{kind} request {id} at daemon {daemon}: {status}, {events} events"));
            tries.lock().unwrap().push(Try {
                at,
                is_bad,
                has_begun: events > 0,
            });
        };
        callers.push(std::thread::spawn(send));
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(fleet);
    let mut crashes: Vec<f64> = Vec::new();
    for runner in &runners {
        crashes.extend(runner.crashes.lock().unwrap().iter());
    }
    crashes.sort_by(f64::total_cmp);
    judge(&tries.lock().unwrap(), &crashes, record)
}

/// From 2 x `contact_ms` after the fifth crash (the last, if there are fewer), while bad requests still come, sound
/// requests begin at the first try less than half as often as before the first crash.
fn judge(tries: &[Try], crashes: &[f64], record: &Record) -> Verdict {
    let count = |from: f64, to: f64| {
        let of_sound = tries.iter().filter(|it| !it.is_bad && from <= it.at && it.at < to);
        let begun: Vec<bool> = of_sound.map(|it| it.has_begun).collect();
        (begun.iter().filter(|it| **it).count(), begun.len())
    };
    let Some((first, last)) = crashes.first().zip(crashes.get(KNOWN_AFTER - 1).or(crashes.last())) else {
        let (begun, all) = count(0.0, f64::MAX);
        record.say(&format!("no runner has crashed; {begun} of {all} sound requests began"));
        return match begun * 2 < all {
            true => Verdict::CouldNotRun("sound requests do not begin".to_owned()),
            false => Verdict::Held,
        };
    };
    let contact = Duration::from_millis(CONTACT_MS).as_secs_f64();
    let last_bad = tries.iter().filter(|it| it.is_bad).map(|it| it.at).fold(0.0, f64::max);
    let (before, of_before) = count(0.0, *first);
    let (after, of_after) = count(last + 2.0 * contact, last_bad);
    record.say(&format!(
        "{} crashes, the first at {first:.3}, the one that counts at {last:.3}, the last bad request at {last_bad:.3}; \
         {before} of {of_before} sound requests began before the first crash, {after} of {of_after} from 6 s after the \
         one that counts until the last bad request",
        crashes.len()
    ));
    let is_enough = of_before >= LEAST_REQUESTS && of_after >= LEAST_REQUESTS;
    match is_enough && 2 * after * of_before < before * of_after {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
