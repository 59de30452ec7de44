//! Daemons are killed, and their clients take the streams up at daemons in touch. There is one software version only, and
//! nothing ails the runners.

use std::io;
use std::net::{Shutdown, TcpStream};
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
const STREAMS: usize = 24;
/// Events of a stream, 100 ms apart.
const EVENTS: u64 = 60;
/// Time after the start of traffic until the disruption, more than a request of the route may take (15 s), so that each
/// daemon has known the runners for longer than any stream lasts.
const CALM: Duration = Duration::from_secs(17);
/// After a kill, a process starts again after a short delay.
const RESTART: Duration = Duration::from_millis(500);
/// Time until the streams are broken off.
const STREAMS_LAST: Duration = Duration::from_millis(1_500);

/// Which daemons are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Story {
    /// Two of three at the same moment; the third is left alone from its start on.
    OneSurvives,
    /// All at the same moment; seconds later, when all have been in touch, one of them once more.
    AllThenOne,
}

impl Story {
    /// The daemons at which the streams begin, and those at which they are taken up.
    fn sides(self) -> (&'static [usize], &'static [usize]) {
        match self {
            Self::OneSurvives => (&[0, 1], &[2]),
            Self::AllThenOne => (&[0], &[1, 2]),
        }
    }
}

pub fn play(
    story: Story,
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
            step: Duration::from_millis(100),
            work: Duration::ZERO,
            crashing_part: None,
            down: Duration::from_secs(3),
        };
        fleet.runners.add(&kind, &[MODEL])?;
    }
    fleet.start_daemons()?;
    thread::sleep(CALM);
    let (first, next) = story.sides();
    let mut in_touch_at = 0.0;
    if story == Story::AllThenOne {
        if has_trouble {
            fleet.kill(&[0, 1, 2], RESTART)?;
            fleet.wait_until_ready()?;
        }
        in_touch_at = record.now() + CONTACT;
        thread::sleep(Duration::from_secs_f64(CONTACT + 0.5));
    }
    let fronts: Vec<_> = fleet.daemons.iter().map(|it| it.front).collect();
    for index in first {
        record.tell(format!(
            "{} streams begin at {}",
            STREAMS / first.len(),
            fleet.daemons[*index].name
        ));
    }
    let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let taken_up: Arc<Mutex<Vec<(f64, u64, StreamEnd)>>> = Arc::default();
    let begun: Arc<Mutex<Vec<StreamEnd>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        let (record, connections, taken_up) =
            (record.clone(), connections.clone(), taken_up.clone());
        let (first_front, next_front) = (
            fronts[first[number % first.len()]],
            fronts[next[number % next.len()]],
        );
        callers.push(thread::spawn(move || {
            let id = format!("first-{number:03}");
            let prompt = format!(
                "5c1e07a2:210,91bd3f06:140,{:08x}:250",
                0xe000_0000_u64 + number as u64
            );
            let wanted = StreamTry {
                id: &id,
                path: "/summary/turbine",
                model: MODEL,
                prompt: &prompt,
                events: EVENTS,
                deadline_ms: 15_000,
                resumes: None,
            };
            let end = stream(&record, first_front, &wanted, |opened| {
                lock(&connections).extend(opened.try_clone());
            });
            let Some(last) = end.events.last().copied().filter(|_| !end.is_complete) else {
                return;
            };
            let id = format!("taken-up-{number:03}");
            let again = StreamTry {
                id: &id,
                deadline_ms: 12_000,
                resumes: Some((last, wanted.id)),
                ..wanted
            };
            let at = record.now();
            let end = stream(&record, next_front, &again, |_| {});
            lock(&taken_up).push((at, last, end));
        }));
    }
    let breaks_at = record.now() + STREAMS_LAST.as_secs_f64();
    for number in 0..STREAMS {
        let (record, begun) = (record.clone(), begun.clone());
        let front = fronts[next[number % next.len()]];
        callers.push(thread::spawn(move || {
            // They come in the half second after the others are taken up.
            #[allow(clippy::cast_precision_loss)]
            let at = breaks_at + 0.02 * (number + 1) as f64;
            thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
            let id = format!("new-{number:03}");
            let prompt = format!(
                "5c1e07a2:210,91bd3f06:140,{:08x}:250",
                0xf000_0000_u64 + number as u64
            );
            let wanted = StreamTry {
                id: &id,
                path: "/summary/turbine",
                model: MODEL,
                prompt: &prompt,
                events: 10,
                deadline_ms: 15_000,
                resumes: None,
            };
            let end = stream(&record, front, &wanted, |_| {});
            lock(&begun).push(end);
        }));
    }
    thread::sleep(Duration::from_secs_f64((breaks_at - record.now()).max(0.0)));
    if has_trouble {
        fleet.kill(first, RESTART)?;
    } else {
        record.tell("the clients leave their connections");
        for connection in lock(&connections).drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    for daemon in &fleet.daemons {
        for line in daemon.log_lines("stream-origin") {
            record.note(format!("{} logs {line}", daemon.name));
        }
    }
    Ok(judge(record, in_touch_at, &lock(&taken_up), &lock(&begun)))
}

#[allow(clippy::cast_precision_loss)]
fn share(count: usize, of: usize) -> f64 {
    count as f64 / of.max(1) as f64
}

fn judge(
    record: &Record,
    in_touch_at: f64,
    taken_up: &[(f64, u64, StreamEnd)],
    begun: &[StreamEnd],
) -> Verdict {
    let counted: Vec<_> = taken_up
        .iter()
        .filter(|(at, _, _)| *at >= in_touch_at)
        .collect();
    let goes_on = |(_, last, end): &&&(f64, u64, StreamEnd)| {
        end.status == 200 && end.events.first() == Some(&(last + 1))
    };
    let gone_on = counted.iter().filter(goes_on).count();
    let new = begun.iter().filter(|end| end.has_begun()).count();
    record.tell(format!(
        "{gone_on} of {} streams that were taken up at machines in touch went on; {new} of {} new streams there began; {RUNNERS} runners of the version serve",
        counted.len(),
        begun.len()
    ));
    let is_broken =
        counted.len() >= 12 && share(gone_on, counted.len()) < share(new, begun.len()) / 2.0;
    if is_broken {
        record.tell("LOST is broken");
        Verdict::Broken
    } else {
        record.tell("LOST held");
        Verdict::Held
    }
}
