//! Origins of streams: who is told, and what is certain of a stream that a client takes up.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::names::{ServiceName, SoftwareVersion};
use flaxward_routing::runners::{Runner, RunnerTable};
use flaxward_routing::stream_origins::{
    OriginKnowledge, StreamKey, StreamOrigin, StreamOrigins, VersionRecord, keepers_of, resolve,
};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod support;

const LIFE: Duration = Duration::from_secs(20);
const WINDOW: Duration = Duration::from_secs(15);

fn service() -> ServiceName {
    ServiceName::new("s")
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: service(),
        version: SoftwareVersion::new(version),
    }
}

fn table(versions: &[Option<&str>]) -> RunnerTable {
    let mut table = RunnerTable::default();
    let runners = versions.iter().enumerate().map(|(index, version)| Runner {
        software_version: version.map(SoftwareVersion::new),
        ..support::runner(index, support::at(0, 1), false)
    });
    table.replace(runners.collect(), 1);
    table
}

fn keepers(count: u8) -> Vec<SocketAddr> {
    let keeper = |last| SocketAddr::from(([10, 0, 0, last], 7_000));
    (1..=count).map(keeper).collect()
}

fn at(ms: u64) -> Timestamp {
    Timestamp(ms)
}

/// Guards against traffic that nobody needs: while a service has one version, keepers are told nothing; once it has a
/// second one, they are told of the streams that began before, too.
#[test]
fn keepers_are_told_once_a_service_has_several_versions() {
    let mut origins = StreamOrigins::default();
    origins.note_runners(&table(&[Some("v1")]), at(0));
    origins.begin(StreamKey::of("a"), origin("v1"), LIFE, at(1_000));
    assert_eq!(origins.next_message(), None);
    assert!(origins.due_records(&keepers(3), at(1_100)).is_empty());
    origins.note_runners(&table(&[Some("v1"), Some("v2")]), at(2_000));
    let told = origins.due_records(&keepers(3), at(2_100));
    assert_eq!(told.len(), 3);
    assert!(told.iter().all(|(_, records)| records.streams.len() == 1));
    assert!(origins.due_records(&keepers(3), at(2_200)).is_empty());
}

/// Guards against records that are lost as keepers change one after the other.
#[test]
fn a_new_keeper_is_told_of_all_streams_that_clients_may_still_take_up() {
    let mut origins = StreamOrigins::default();
    origins.note_runners(&table(&[Some("v1"), Some("v2")]), at(0));
    origins.begin(StreamKey::of("old"), origin("v1"), LIFE, at(0));
    origins.begin(StreamKey::of("new"), origin("v2"), LIFE, at(15_000));
    origins.due_records(&keepers(2), at(15_100));
    let told = origins.due_records(&keepers(3), at(25_000));
    let streams: Vec<StreamKey> = told[2].1.streams.iter().map(|it| it.key).collect();
    assert_eq!(streams, vec![StreamKey::of("new")]);
}

/// Guards against a guess by a daemon that has just started, or that heard of no second version because it is cut off.
#[test]
fn the_only_version_counts_only_if_somebody_knew_it_for_long_enough() {
    let known = |covers_window| OriginKnowledge::OneVersion {
        version: SoftwareVersion::new("v1"),
        covers_window,
    };
    let mut origins = StreamOrigins::default();
    assert_eq!(
        origins.knowledge(None, &service(), WINDOW, at(0)),
        OriginKnowledge::NoRunner
    );
    origins.note_runners(&table(&[Some("v1")]), at(1_000));
    let knowledge = |ms| origins.knowledge(None, &service(), WINDOW, at(ms));
    assert_eq!(knowledge(15_999), known(false));
    assert_eq!(knowledge(16_000), known(true));
    let resolved = |own: &OriginKnowledge, answers: &[OriginKnowledge], own_counts_alone| {
        resolve(&service(), own, answers, own_counts_alone)
    };
    let only = Some(origin("v1"));
    assert_eq!(resolved(&known(true), &[], true), only);
    assert_eq!(resolved(&known(true), &[], false), None);
    assert_eq!(resolved(&known(false), &[], true), None);
    assert_eq!(resolved(&known(false), &[known(false)], false), None);
    assert_eq!(resolved(&known(false), &[known(true)], false), only);
    let several = OriginKnowledge::SeveralVersions;
    assert_eq!(resolved(&several, &[], true), None);
    assert_eq!(resolved(&known(true), &[known(true), several], false), None);
    let recorded = OriginKnowledge::Recorded(origin("v2"));
    let answers = [known(true), recorded];
    assert_eq!(resolved(&known(true), &answers, false), Some(origin("v2")));
}

/// Guards against a second version that is overlooked because its runner has come and gone between two looks at the list.
#[test]
fn a_version_that_came_and_went_between_two_lists_counts() {
    let mut origins = StreamOrigins::default();
    origins.note_runners(&table(&[Some("v1")]), at(0));
    let second = SoftwareVersion::new("v2");
    origins.note_listed(&service(), Some(&second), at(30_000));
    origins.note_runners(&table(&[Some("v1")]), at(30_000));
    let knowledge = |ms| origins.knowledge(None, &service(), WINDOW, at(ms));
    assert_eq!(knowledge(285_000), OriginKnowledge::SeveralVersions);
    assert!(matches!(
        knowledge(285_001),
        OriginKnowledge::OneVersion { .. }
    ));
}

/// Guards against streams that began before the last runner of the earlier version left.
#[test]
fn a_version_that_has_left_counts_until_its_streams_have_ended() {
    let mut origins = StreamOrigins::default();
    origins.note_runners(&table(&[Some("v1"), Some("v2")]), at(0));
    origins.note_runners(&table(&[Some("v2")]), at(30_000));
    let knowledge = |ms| origins.knowledge(None, &service(), WINDOW, at(ms));
    assert_eq!(knowledge(285_000), OriginKnowledge::SeveralVersions);
    assert!(matches!(
        knowledge(285_001),
        OriginKnowledge::OneVersion { .. }
    ));
}

/// Guards against streams joined from two versions: the timeout of a route is shorter than the deadlines of its clients, or
/// was shortened while streams ran, so that a version that left counted as never having been.
#[test]
fn a_version_that_has_left_counts_for_streams_older_than_the_window_asked_for() {
    let mut origins = StreamOrigins::default();
    origins.note_runners(&table(&[Some("v1")]), at(0));
    origins.note_runners(&table(&[Some("v2")]), at(10_000));
    let short = Duration::from_secs(4);
    let knowledge = |window, ms| origins.knowledge(None, &service(), window, at(ms));
    assert_eq!(knowledge(short, 20_000), OriginKnowledge::SeveralVersions);
    let long = Duration::from_secs(400);
    assert_eq!(knowledge(long, 400_000), OriginKnowledge::SeveralVersions);
}

/// Guards against a daemon that has known the runners for as long as a late try may still take, but not for as long as
/// the deadlines that clients begin with.
#[test]
fn runners_must_be_known_for_the_longest_life_that_clients_ask_for() {
    let covers = |life: Option<Duration>, ms| {
        let mut origins = StreamOrigins::default();
        origins.note_runners(&table(&[Some("v2")]), at(0));
        origins.note_life(life);
        let short = Duration::from_secs(4);
        let knowledge = origins.knowledge(None, &service(), short, at(ms));
        knowledge.is_only_version()
    };
    assert!(!covers(Some(WINDOW), 14_999));
    assert!(covers(Some(WINDOW), 15_000));
    assert!(!covers(None, 254_999));
    assert!(covers(None, 255_000));
}

/// Guards against a restarted daemon that forgets which versions there were, or takes a version for the only one that was
/// not the only one before.
#[test]
fn a_daemon_that_adopts_the_recorded_versions_knows_what_was_listed_before() {
    let restarted = |record: &VersionRecord, changes: &[&str]| {
        let mut origins = StreamOrigins::default();
        origins.note_runners(&table(&[Some("v1")]), at(100));
        assert!(origins.lacks(record, at(200)));
        for version in changes {
            let version = SoftwareVersion::new(version);
            origins.note_listed(&service(), Some(&version), at(200));
        }
        origins.adopt(record, at(200));
        assert!(!origins.lacks(record, at(200)));
        origins.knowledge(None, &service(), WINDOW, at(300))
    };
    let only = OriginKnowledge::OneVersion {
        version: SoftwareVersion::new("v1"),
        covers_window: true,
    };
    let mut before = StreamOrigins::default();
    before.note_runners(&table(&[Some("v1")]), at(0));
    let record = before.version_record(9, at(20_000)).unwrap();
    assert_eq!(restarted(&record, &[]), only);
    assert_eq!(
        restarted(&record, &["v2"]),
        OriginKnowledge::SeveralVersions
    );
    before.note_runners(&table(&[Some("v1"), Some("v2")]), at(20_000));
    before.note_runners(&table(&[Some("v1")]), at(21_000));
    let record = before.version_record(9, at(22_000)).unwrap();
    assert_eq!(restarted(&record, &[]), OriginKnowledge::SeveralVersions);
    let short = VersionRecord {
        known_for_ms: 5_000,
        versions: Vec::new(),
        ..record
    };
    let uncovered = OriginKnowledge::OneVersion {
        version: SoftwareVersion::new("v1"),
        covers_window: false,
    };
    assert_eq!(restarted(&short, &[]), uncovered);
}

/// Guards against a new holder of the lease that replaces what its predecessor recorded by what little it knows itself.
#[test]
fn the_record_that_covers_the_longer_time_is_kept() {
    let record = |revision, known_for_ms| VersionRecord {
        revision,
        known_for_ms,
        versions: Vec::new(),
    };
    let better = |own: &VersionRecord, recorded: &VersionRecord| {
        VersionRecord::better_of(Some(own), Some(recorded)).unwrap()
    };
    let (own, recorded) = (record(12, 500), record(9, 20_000));
    assert_eq!(better(&own, &recorded), recorded);
    let own = record(12, 20_000);
    assert_eq!(better(&own, &recorded), own);
    assert_eq!(
        VersionRecord::better_of(None, Some(&recorded)),
        Some(recorded)
    );
}

/// Guards against a runner of unknown version that is taken for one of the known version.
#[test]
fn an_unknown_version_is_not_the_known_one() {
    let mut origins = StreamOrigins::default();
    origins.note_runners(&table(&[Some("v1"), None]), at(0));
    let knowledge = origins.knowledge(None, &service(), WINDOW, at(60_000));
    assert_eq!(knowledge, OriginKnowledge::SeveralVersions);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x0e7a_0059),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever daemons begin streams, lose messages and are killed: a stream is resolved to the version that began it, or
    /// not at all, as long as two versions are listed.
    #[test]
    fn a_stream_is_never_resolved_to_another_version(
        streams in prop::collection::vec((0_usize..6, any::<bool>(), 0_u64..40_000), 1..40),
        lost in prop::collection::vec(any::<bool>(), 64),
        killed in prop::collection::vec(any::<bool>(), 6),
        asked_by in 0_usize..6,
    ) {
        let addresses = keepers(6);
        let keepers = &addresses[..3];
        let mut daemons: Vec<StreamOrigins> = (0..6).map(|_| StreamOrigins::default()).collect();
        for daemon in &mut daemons {
            daemon.note_runners(&table(&[Some("v1")]), at(0));
            daemon.note_runners(&table(&[Some("v1"), Some("v2")]), at(20_000));
        }
        let mut streams = streams;
        streams.sort_by_key(|(_, _, begun_at)| *begun_at);
        let mut lost = lost.into_iter().cycle();
        for (index, (daemon, is_second, begun_at)) in streams.iter().enumerate() {
            let version = if *is_second && *begun_at >= 20_000 { "v2" } else { "v1" };
            let key = StreamKey::of(&index.to_string());
            daemons[*daemon].begin(key, origin(version), LIFE, at(*begun_at));
            for sender in 0..6 {
                for (to, records) in daemons[sender].due_records(keepers, at(begun_at + 100)) {
                    let receiver = addresses.iter().position(|it| *it == to).unwrap();
                    if !lost.next().unwrap() {
                        daemons[receiver].apply(&records, at(begun_at + 100));
                    }
                }
            }
        }
        let now = at(40_100);
        for (index, (_, is_second, begun_at)) in streams.iter().enumerate() {
            let version = if *is_second && *begun_at >= 20_000 { "v2" } else { "v1" };
            let key = Some(StreamKey::of(&index.to_string()));
            let knowledge = |daemon: &StreamOrigins| daemon.knowledge(key, &service(), WINDOW, now);
            let answers = (0..3).filter(|keeper| !killed[*keeper]);
            let answers: Vec<OriginKnowledge> = answers.map(|it| knowledge(&daemons[it])).collect();
            let own = if killed[asked_by] {
                OriginKnowledge::NoRunner
            } else {
                knowledge(&daemons[asked_by])
            };
            let resolved = resolve(&service(), &own, &answers, false);
            prop_assert!(resolved.is_none_or(|it| it == origin(version)));
        }
    }
}

/// Guards against daemons that ask others than those that were told.
#[test]
fn all_daemons_choose_the_same_keepers() {
    let key = StreamKey::of("a");
    let mut reversed = keepers(9);
    reversed.reverse();
    assert_eq!(keepers_of(key, &keepers(9)), keepers_of(key, &reversed));
    assert_eq!(keepers_of(key, &keepers(9)).len(), 3);
}
