//! Two runners crash while they are cut off from the store, and start again under their ids with other software.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::origins::{DAEMONS, EVENT_GAP, EVENTS, Traffic, ZONES, configuration};
use crate::record::Record;
use crate::runner::{Rebirth, Runner, Work};
use crate::store::Store;

/// Software versions of the runners: eight of ten have been upgraded.
const VERSIONS: [&str; 10] = ["v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2"];
/// The other two are cut off from the store for 5 s, and are upgraded too, one after the other. Their entries lapse three
/// heartbeats of 1,200 ms after the last ones, which they wrote 100 ms before.
const REBIRTHS: [Rebirth; 2] = [
    Rebirth {
        crash_after: Duration::ZERO,
        start_after: Duration::from_millis(1_500),
        ..SECOND
    },
    SECOND,
];
const SECOND: Rebirth = Rebirth {
    crash_after: Duration::from_millis(2_000),
    start_after: Duration::from_millis(3_500),
    version: "v2",
    lapse_after: Duration::from_millis(3_500),
    heal_after: Duration::from_millis(5_000),
};
/// Tries of a client after its first one, as the sheet has them.
const RETRIES: u32 = 1;
const QUIET: Duration = Duration::from_secs(10);
const TRAFFIC_BEFORE: Duration = Duration::from_secs(10);
const TRAFFIC_AFTER: Duration = Duration::from_secs(5);
const STREAM_GAP: Duration = Duration::from_millis(50);
/// Streams that may hold events of two software versions.
const ALLOWED: usize = 2;

pub fn run(has_trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let store = Store::start();
    let work = Work {
        first_event: EVENT_GAP,
        events: EVENTS,
        event_gap: EVENT_GAP,
        keeps_id: true,
        ..Work::default()
    };
    store.put("config", "main", &configuration());
    let start = |(index, version): (usize, &str)| {
        let (id, zone) = (format!("i-as-{index}"), ZONES[index % ZONES.len()]);
        Runner::start(
            &id,
            "asistente",
            version,
            zone,
            work.clone(),
            &store,
            record,
        )
    };
    let runners: Vec<Runner> = VERSIONS.into_iter().enumerate().map(start).collect();
    let mut fleet = Fleet::new(DAEMONS, &ZONES, store.address, folder, record);
    for index in 0..DAEMONS {
        fleet.start(index);
    }
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return Verdict::CouldNotRun("the daemons are not ready".to_owned());
    }
    std::thread::sleep(QUIET);
    let fronts: Vec<SocketAddr> = fleet.daemons.iter().map(|it| it.front).collect();
    let traffic = Traffic::open(fronts, STREAM_GAP, RETRIES, record);
    std::thread::sleep(TRAFFIC_BEFORE);
    if has_trouble {
        std::thread::scope(|scope| {
            for (runner, rebirth) in runners.iter().zip(REBIRTHS) {
                scope.spawn(move || runner.crash_behind_cut(rebirth));
            }
        });
    }
    std::thread::sleep(TRAFFIC_AFTER);
    traffic.is_over.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(10));
    let ended = traffic.ended.lock().unwrap().clone();
    drop(fleet);
    judge(&ended, record)
}

fn judge(ended: &[(u64, Vec<String>, bool)], record: &Record) -> Verdict {
    let complete = ended
        .iter()
        .filter(|(_, _, is_complete)| *is_complete)
        .count();
    let mixed = ended.iter().filter(|(_, versions, _)| versions.len() > 1);
    let (mixed, whole) = mixed.fold((0, 0), |(all, whole), (stream, versions, is_complete)| {
        record.line(&format!(
            "stream {stream} holds events of {versions:?}, complete {is_complete}"
        ));
        (all + 1, whole + usize::from(*is_complete))
    });
    record.say(&format!(
        "{mixed} of {} streams hold events of two software versions, {whole} of these are complete; {complete} are in all",
        ended.len()
    ));
    if complete == 0 {
        return Verdict::CouldNotRun("no stream was served".to_owned());
    }
    match mixed > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
