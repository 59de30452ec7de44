//! A part in the middle of prompts crashes each runner that begins to write an answer on it. Sound requests share the parts
//! before and behind it.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{StreamEnd, StreamTry, stream};
use crate::fleet::{CONTACT, Fleet, MODEL, SERVICE, ZONES, stream_route};
use crate::record::Record;
use crate::runner::Kind;
use crate::{Verdict, lock};

const RUNNERS: usize = 9;
const DAEMONS: usize = 3;
/// The first part, which all prompts of the route have, and the one before the request's own, likewise.
const FIRST_PART: &str = "5c1e07a2";
const LAST_SHARED_PART: &str = "91bd3f06";
/// Parts between them: the one that crashes runners, and the first of the sound ones.
const BAD_PART: &str = "badbad01";
const SOUND_PARTS: u64 = 0x0d0c_0000;
const SOUND_PART_COUNT: u64 = 12;
/// Sound requests, and the time between two.
const SOUND: (u64, f64) = (450, 0.1);
/// Late requests with the part that may reach runners.
const ALLOWED: usize = 3;
/// Crashes from which on the part has to be known.
const KNOWN_AFTER: usize = 5;
/// Sound requests below which their share tells nothing.
const ENOUGH: usize = 20;

/// How often requests with the part come, and which rule is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// One each 2.5 s, beside sound answers that take 0.3 s. BUDGET.
    Slow,
    /// Three a second, beside sound answers that take 2 s. LOST.
    Fast,
}

impl Pace {
    /// Number of the requests with the part, when the first comes, and the time between two.
    fn bad(self) -> (u64, f64, f64) {
        match self {
            Self::Slow => (14, 5.0, 2.5),
            Self::Fast => (90, 10.0, 0.33),
        }
    }

    /// Events of an answer, 20 ms apart.
    fn events(self) -> u64 {
        match self {
            Self::Slow => 15,
            Self::Fast => 100,
        }
    }
}

/// A request and how it ended.
#[derive(Clone, Debug)]
struct Ended {
    is_bad: bool,
    at: f64,
    end: StreamEnd,
}

pub fn play(
    pace: Pace,
    root: &Path,
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Verdict> {
    let mut fleet = Fleet::prepare(record, root, DAEMONS)?;
    fleet.publish(1, vec![stream_route("r-summary", "/summary/")]);
    for index in 0..RUNNERS {
        let kind = Kind {
            service: SERVICE.to_owned(),
            zone: ZONES[index % 3].to_owned(),
            version: "v1".to_owned(),
            slots: 64,
            has_engine: true,
            load: Duration::from_millis(2_500),
            disk_load: Duration::from_millis(1_200),
            prefill: Duration::from_millis(40),
            step: Duration::from_millis(20),
            work: Duration::ZERO,
            crashing_part: has_trouble.then(|| BAD_PART.to_owned()),
            down: Duration::from_millis(2_500),
        };
        fleet.runners.add(&kind, &[MODEL])?;
    }
    fleet.start_daemons()?;
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<_> = fleet.daemons.iter().map(|it| it.front).collect();
    let begun = record.now();
    record.tell("traffic begins");
    let ends: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let mut callers = Vec::new();
    for (at, is_bad, number) in schedule(pace, begun) {
        thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
        let (record, ends) = (record.clone(), ends.clone());
        let front = fronts[usize::try_from(number).unwrap_or(0) % fronts.len()];
        callers.push(thread::spawn(move || {
            let end = request(&record, front, pace, is_bad, number);
            lock(&ends).push(Ended { is_bad, at, end });
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    if fleet.daemons.iter_mut().any(|daemon| daemon.has_ended()) {
        record.tell("a daemon has ended by itself");
    }
    for daemon in &fleet.daemons {
        for event in ["runner-crashed", "request-quarantined", "request-cleared"] {
            let count = daemon.log_lines(event).len();
            record.tell(format!("{}: {count} lines {event}", daemon.name));
        }
    }
    let ends = lock(&ends).clone();
    Ok(match pace {
        Pace::Slow => judge_budget(&fleet),
        Pace::Fast => judge_lost(&fleet, &ends),
    })
}

/// When which request comes: the time, whether it has the part, and its number.
fn schedule(pace: Pace, begun: f64) -> Vec<(f64, bool, u64)> {
    let mut schedule = Vec::new();
    for (is_bad, (count, first, gap)) in [(false, (SOUND.0, 0.0, SOUND.1)), (true, pace.bad())] {
        #[allow(clippy::cast_precision_loss)]
        let at = |number: u64| begun + first + gap * number as f64;
        schedule.extend((0..count).map(|number| (at(number), is_bad, number)));
    }
    schedule.sort_by(|left, right| left.0.total_cmp(&right.0));
    schedule
}

/// Sends one request; its own part and its body are like those of no other.
fn request(record: &Record, front: SocketAddr, pace: Pace, is_bad: bool, number: u64) -> StreamEnd {
    let (id, middle, own) = if is_bad {
        (
            format!("bad-{number:04}"),
            BAD_PART.to_owned(),
            0xe000_0000 + number,
        )
    } else {
        let part = SOUND_PARTS + number % SOUND_PART_COUNT;
        (
            format!("sound-{number:04}"),
            format!("{part:08x}"),
            0xf000_0000 + number,
        )
    };
    let prompt = format!("{FIRST_PART}:210,{middle}:140,{LAST_SHARED_PART}:60,{own:08x}:190");
    let wanted = StreamTry {
        id: &id,
        path: "/summary/turbine",
        model: MODEL,
        prompt: &prompt,
        events: pace.events(),
        deadline_ms: 15_000,
        resumes: None,
    };
    stream(record, front, &wanted, |_| {})
}

/// Times of the crashes, the first one first.
fn crashes(fleet: &Fleet) -> Vec<f64> {
    let mut crashes = lock(&fleet.runners.crashes).clone();
    crashes.sort_by(f64::total_cmp);
    crashes
}

/// More than three requests with the part reach runners later than `contact_ms` after the fifth crash.
fn judge_budget(fleet: &Fleet) -> Verdict {
    let record = &fleet.record;
    let crashes = crashes(fleet);
    let arrivals = lock(&fleet.runners.arrivals).clone();
    let bad: Vec<_> = arrivals
        .iter()
        .filter(|it| it.prompt.contains(BAD_PART))
        .collect();
    record.tell(format!(
        "{} crashes of runners, {} arrivals with the part",
        crashes.len(),
        bad.len()
    ));
    let Some(fifth) = crashes.get(KNOWN_AFTER - 1) else {
        record.tell("fewer than five crashes: BUDGET held");
        return Verdict::Held;
    };
    let late: Vec<_> = bad.iter().filter(|it| it.at > fifth + CONTACT).collect();
    record.tell(format!(
        "fifth crash at {fifth:.3}; {} requests with the part reached runners later than {CONTACT} s after it, {ALLOWED} allowed",
        late.len()
    ));
    for arrival in &late {
        record.note(format!(
            "late: {:.3} {} at runner {}",
            arrival.at, arrival.request, arrival.runner
        ));
    }
    if late.len() > ALLOWED {
        record.tell("BUDGET is broken");
        Verdict::Broken
    } else {
        record.tell("BUDGET held");
        Verdict::Held
    }
}

/// From 2 x `contact_ms` after the fifth crash (the last, if there are fewer), while requests with the part still come,
/// sound requests with the same first part begin at the first try less than half as often as before the first crash.
fn judge_lost(fleet: &Fleet, ends: &[Ended]) -> Verdict {
    let record = &fleet.record;
    let crashes = crashes(fleet);
    let Some((first, last)) = crashes
        .first()
        .zip(crashes.get(KNOWN_AFTER - 1).or(crashes.last()))
    else {
        let begun = ends.iter().filter(|it| it.end.has_begun()).count();
        record.tell(format!(
            "no crash; {begun} of {} requests began: LOST held",
            ends.len()
        ));
        return Verdict::Held;
    };
    let bad = ends.iter().filter(|it| it.is_bad);
    let last_bad = bad.map(|it| it.at).fold(0.0, f64::max);
    let begun = |range: Range<f64>| {
        let sound = ends
            .iter()
            .filter(|it| !it.is_bad && range.contains(&it.at));
        let sound: Vec<_> = sound.collect();
        let begun = sound.iter().filter(|it| it.end.has_begun()).count();
        (begun, sound.len())
    };
    let (before, of_before) = begun(0.0..*first);
    let (after, of_after) = begun(last + 2.0 * CONTACT..last_bad);
    record.tell(format!(
        "{} crashes of runners, the first at {first:.3}, the one that counts at {last:.3}; the last request with the part at {last_bad:.3}",
        crashes.len()
    ));
    record.tell(format!(
        "sound requests that began at the first try: {before} of {of_before} before the first crash, \
         {after} of {of_after} from 6 s after the one that counts on"
    ));
    let is_enough = of_before >= ENOUGH && of_after >= ENOUGH;
    // after / of_after < before / of_before / 2
    if is_enough && 2 * after * of_before < before * of_after {
        record.tell("LOST is broken");
        Verdict::Broken
    } else {
        record.tell("LOST held");
        Verdict::Held
    }
}
