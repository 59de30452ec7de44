//! Copies of the origins of streams in the store: whatever calls fail, none is lost for longer than a few writes take, and
//! none stays for good.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_routing::names::{ServiceName, SoftwareVersion};
use flaxward_routing::runners::{Runner, RunnerTable};
use flaxward_routing::stream_origins::backup::{
    BackupAnswer, BackupCall, BackupRole, OriginBackup, StoredOrigins,
};
use flaxward_routing::stream_origins::messages::StreamOriginRecords;
use flaxward_routing::stream_origins::{OriginKnowledge, StreamKey, StreamOrigin, StreamOrigins};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod support;

const LIFE: Duration = Duration::from_secs(20);
/// Time between two polls, in ms.
const STEP_MS: u64 = 100;
/// Time in which a write is due and made.
const WRITE_TIME_MS: u64 = 1_000;
const COORDINATOR: BackupRole = BackupRole::Coordinator { term: 1 };

fn service() -> ServiceName {
    ServiceName::new("s")
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: service(),
        version: SoftwareVersion::new(version),
    }
}

fn origins(versions: &[&str]) -> StreamOrigins {
    let runners = versions.iter().enumerate().map(|(index, version)| Runner {
        software_version: Some(SoftwareVersion::new(version)),
        ..support::runner(index, support::at(0, 1), false)
    });
    let mut table = RunnerTable::default();
    table.replace(runners.collect(), 1);
    let mut origins = StreamOrigins::default();
    origins.note_runners(&table, Timestamp(0));
    origins
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    /// It was not executed.
    Refused,
    /// It was executed, and its answer was lost.
    AnswerLost,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Answered),
        1 => Just(Fate::Refused),
        1 => Just(Fate::AnswerLost),
    ]
}

#[derive(Default)]
struct Store {
    objects: BTreeMap<String, StreamOriginRecords>,
}

impl Store {
    fn execute(&mut self, call: BackupCall, fate: Fate) -> BackupAnswer {
        if fate == Fate::Refused {
            return BackupAnswer::Failed;
        }
        let answer = match call {
            BackupCall::Read => {
                let objects = self.objects.iter().map(|(name, records)| StoredOrigins {
                    name: name.clone(),
                    records: records.clone(),
                });
                BackupAnswer::Objects(objects.collect())
            }
            BackupCall::Write(stored) => {
                self.objects.insert(stored.name, stored.records);
                BackupAnswer::Done
            }
            BackupCall::Delete(name) => {
                self.objects.remove(&name);
                BackupAnswer::Done
            }
        };
        match fate {
            Fate::AnswerLost => BackupAnswer::Failed,
            _ => answer,
        }
    }

    fn holds(&self, key: StreamKey) -> bool {
        let mut streams = self.objects.values().flat_map(|it| &it.streams);
        streams.any(|stream| stream.key == key)
    }
}

/// Polls for a time; returns the number of calls.
fn run(
    backup: &mut OriginBackup,
    role: BackupRole,
    origins: &mut StreamOrigins,
    store: &mut Store,
    times: std::ops::Range<u64>,
) -> usize {
    let mut calls = 0;
    for ms in times.step_by(usize::try_from(STEP_MS).unwrap()) {
        let now = Timestamp(ms);
        if let Some(call) = backup.poll(role, origins, now) {
            calls += 1;
            let answer = store.execute(call, Fate::Answered);
            backup.handle_answer(answer, origins, now);
        }
    }
    calls
}

/// Guards against calls that nobody needs: the store is written to only while a service has several versions.
#[test]
fn nothing_is_written_while_there_is_one_version() {
    let mut origins = origins(&["v1"]);
    let mut backup = OriginBackup::new("d".to_owned());
    let mut store = Store::default();
    origins.begin(StreamKey::of("a"), origin("v1"), LIFE, Timestamp(0));
    let calls = run(&mut backup, COORDINATOR, &mut origins, &mut store, 0..5_000);
    assert_eq!(calls, 1, "one read at the start of the term");
}

/// Guards against a member that writes what its keepers write, and against a daemon without keepers whose streams nobody
/// writes.
#[test]
fn a_daemon_writes_what_it_knows_only_without_a_coordinator() {
    let mut origins = origins(&["v1", "v2"]);
    let mut backup = OriginBackup::new("d".to_owned());
    let mut store = Store::default();
    let key = StreamKey::of("a");
    origins.begin(key, origin("v1"), LIFE, Timestamp(0));
    let member = BackupRole::Member;
    run(&mut backup, member, &mut origins, &mut store, 0..3_000);
    assert!(!store.holds(key));
    let alone = BackupRole::Alone;
    run(&mut backup, alone, &mut origins, &mut store, 3_000..5_000);
    assert!(store.holds(key));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x0e7a_0080),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against streams that are lost when all daemons are killed: the next coordinator knows each stream that was
    /// written, at the version that began it, and deletes it once no client can take it up any more.
    #[test]
    fn the_next_coordinator_knows_all_streams_and_deletes_their_objects(
        streams in prop::collection::vec((0_u64..10_000, any::<bool>()), 1..60),
        fates in prop::collection::vec(fate(), 400),
    ) {
        let mut streams = streams;
        streams.sort_unstable();
        let mut origins = origins(&["v1", "v2"]);
        let mut backup = OriginBackup::new("d1".to_owned());
        let mut store = Store::default();
        let mut fates = fates.into_iter();
        let version = |is_second: bool| if is_second { "v2" } else { "v1" };
        let key = |index: usize| StreamKey::of(&index.to_string());
        let mut begun = 0;
        for ms in (0..10_000).step_by(usize::try_from(STEP_MS).unwrap()) {
            let now = Timestamp(ms);
            while let Some((at, is_second)) = streams.get(begun).filter(|(at, _)| *at <= ms) {
                origins.begin(key(begun), origin(version(*is_second)), LIFE, Timestamp(*at));
                begun += 1;
            }
            if let Some(call) = backup.poll(COORDINATOR, &mut origins, now) {
                let answer = store.execute(call, fates.next().unwrap());
                backup.handle_answer(answer, &mut origins, now);
            }
        }
        let killed_at = 10_000 + WRITE_TIME_MS * 3;
        run(&mut backup, COORDINATOR, &mut origins, &mut store, 10_000..killed_at);

        let mut next = self::origins(&["v1", "v2"]);
        let mut backup = OriginBackup::new("d2".to_owned());
        let term = BackupRole::Coordinator { term: 2 };
        run(&mut backup, term, &mut next, &mut store, killed_at..killed_at + STEP_MS);
        let now = Timestamp(killed_at + STEP_MS);
        for (index, (at, is_second)) in streams.iter().take(begun).enumerate() {
            let is_live = Timestamp(*at) + LIFE > now;
            let knowledge = next.knowledge(Some(key(index)), &service(), LIFE, now);
            let recorded = OriginKnowledge::Recorded(origin(version(*is_second)));
            prop_assert!(!is_live || knowledge == recorded, "{index}: {knowledge:?}");
        }
        let expired_at = killed_at + 600_000;
        run(&mut backup, term, &mut next, &mut store, killed_at + STEP_MS..expired_at);
        prop_assert!(store.objects.is_empty());
    }
}
