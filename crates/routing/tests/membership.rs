//! Replication of runner changes between daemons: reordered, lost and duplicated messages, and
//! senders that know less than the receiver.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::cold::periods::ColdPeriods;
use flaxward_routing::membership::{MembershipUpdate, UpdateScope};
use flaxward_routing::names::{RunnerId, RunnerStart, ServiceName, Zone};
use flaxward_routing::runners::{Holdings, Runner, RunnerTable};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn id(index: usize) -> RunnerId {
    RunnerId::new(&format!("r{index:03}"))
}

fn runner(index: usize, revision: u64, draining: bool) -> Runner {
    Runner {
        id: id(index),
        revision,
        service: ServiceName::new("pool"),
        software_version: None,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new("z"),
        slots: 8,
        draining,
        leaves_in: None,
        cold_for: Duration::ZERO,
        holdings: Holdings::new(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

/// Identity and draining state of all runners, for comparison.
fn state(table: &RunnerTable) -> Vec<(RunnerId, bool)> {
    let runners = table.iter();
    runners
        .map(|runner| (runner.id.clone(), runner.draining))
        .collect()
}

#[test]
fn a_daemon_that_lags_behind_receives_only_new_changes() {
    let mut coordinator = RunnerTable::default();
    coordinator.replace(vec![runner(0, 1, false), runner(1, 2, false)], 5);
    let mut member = RunnerTable::default();
    member.replace(vec![runner(0, 1, false), runner(1, 2, false)], 5);
    coordinator.insert(runner(1, 7, true), 7);
    coordinator.insert(runner(2, 8, false), 8);
    coordinator.remove(&id(0), 9);
    coordinator.set_revision(9);

    let updates = coordinator.updates_after(member.revision()).unwrap();
    assert_eq!(updates.len(), 1);
    assert_eq!(updates[0].changes.len(), 3);
    let changed = member.update(updates[0].clone()).unwrap();
    assert_eq!(changed.len(), 3);
    assert_eq!(state(&member), state(&coordinator));
    assert_eq!(member.revision(), 9);
    assert_eq!(member.membership_revision(), 9);
    assert_eq!(coordinator.updates_after(9).unwrap()[0].changes, vec![]);
}

#[test]
fn a_late_change_does_not_restore_a_removed_runner() {
    let mut coordinator = RunnerTable::default();
    coordinator.replace(Vec::new(), 1);
    let mut member = RunnerTable::default();
    member.replace(Vec::new(), 1);
    coordinator.insert(runner(0, 3, false), 3);
    coordinator.set_revision(3);
    let early = coordinator.updates_after(1).unwrap().remove(0);
    coordinator.remove(&id(0), 4);
    coordinator.set_revision(4);
    let late = coordinator.updates_after(1).unwrap().remove(0);

    member.update(late).unwrap();
    member.update(early).unwrap();
    assert_eq!(state(&member), []);
    assert_eq!(member.revision(), 4);
}

/// A list read from the store may arrive after newer changes from the coordinator.
#[test]
fn an_older_list_does_not_undo_newer_updates() {
    let mut table = RunnerTable::default();
    table.replace(vec![runner(0, 1, false)], 2);
    let update = {
        let mut coordinator = RunnerTable::default();
        coordinator.replace(vec![runner(0, 1, false)], 2);
        coordinator.insert(runner(0, 6, true), 6);
        coordinator.insert(runner(1, 7, false), 7);
        coordinator.set_revision(7);
        coordinator.updates_after(2).unwrap().remove(0)
    };
    table.update(update).unwrap();
    table.replace(vec![runner(0, 1, false)], 4);
    assert_eq!(state(&table), [(id(0), true), (id(1), false)]);
    assert_eq!(table.revision(), 7);
}

#[test]
fn an_update_after_a_gap_is_not_applied() {
    let mut coordinator = RunnerTable::default();
    assert!(coordinator.updates_after(4).is_none(), "it has no list yet");
    coordinator.replace(vec![runner(0, 1, false)], 10);
    let whole = coordinator.updates_after(4).unwrap();
    assert_eq!(whole[0].scope, UpdateScope::Whole { is_last: true });
    coordinator.insert(runner(1, 12, false), 12);
    coordinator.set_revision(12);
    let update = coordinator.updates_after(10).unwrap().remove(0);
    let mut member = RunnerTable::default();
    member.replace(Vec::new(), 8);
    assert_eq!(member.update(update), None);
    assert_eq!(member.revision(), 8);
}

#[test]
fn many_changes_come_in_parts_that_each_fit_a_datagram() {
    let mut coordinator = RunnerTable::default();
    coordinator.replace(Vec::new(), 1);
    for index in 0..100 {
        let revision = 2 + u64::try_from(index).unwrap();
        coordinator.insert(runner(index, revision, false), revision);
    }
    coordinator.set_revision(200);
    let updates = coordinator.updates_after(1).unwrap();
    assert!(updates.len() > 1);
    let mut member = RunnerTable::default();
    member.replace(Vec::new(), 1);
    for update in updates {
        assert!(postcard::to_allocvec(&update).unwrap().len() < 1_400);
        member.update(update).unwrap();
    }
    assert_eq!(state(&member), state(&coordinator));
    assert_eq!(member.revision(), 200);
}

/// Guards against full reads of the store by starting daemons: with 295 daemons, each one that had
/// just started read the whole list in five calls.
#[test]
fn a_daemon_without_a_list_receives_the_full_list() {
    let mut coordinator = RunnerTable::default();
    let listed = (0..70).map(|index| runner(index, 1 + u64::try_from(index).unwrap(), false));
    coordinator.replace(listed.collect(), 100);
    let parts = coordinator.updates_after(0).unwrap();
    assert!(parts.len() > 1);
    let mut member = RunnerTable::default();
    for part in &parts {
        assert!(postcard::to_allocvec(part).unwrap().len() < 1_400);
        assert_eq!(member.revision(), 0, "a partial list is not applied");
        member.update(part.clone()).unwrap();
    }
    assert_eq!(state(&member), state(&coordinator));
    assert_eq!(member.revision(), 100);
}

#[test]
fn a_list_with_a_missing_part_is_not_applied() {
    let mut coordinator = RunnerTable::default();
    let listed = (0..70).map(|index| runner(index, 1 + u64::try_from(index).unwrap(), false));
    coordinator.replace(listed.collect(), 100);
    let parts = coordinator.updates_after(0).unwrap();
    let mut member = RunnerTable::default();
    member.update(parts[0].clone()).unwrap();
    assert_eq!(member.update(parts[2].clone()), None);
    assert_eq!(member.revision(), 0);
}

/// How a daemon gets changes from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    List,
    Watch,
    ListAndWatch,
}

/// One step of a scenario: a runner change, a read or a message.
#[derive(Clone, Debug)]
enum Step {
    Appear(usize),
    Drain(usize),
    Leave(usize),
    /// It restarts under its name, with a clock that may have been set back, or without a known
    /// start time.
    Restart(usize, Option<u64>),
    /// A daemon reads the list, receives all changes by a watch, or does both, applying the list
    /// last.
    Read {
        reader: usize,
        way: Reading,
    },
    /// A daemon sends the changes that another one lacks; the messages are delivered now, later, or
    /// never.
    Tell {
        from: usize,
        to: usize,
        kept: bool,
    },
    /// Delivers a delayed message, possibly more than once.
    Deliver(usize),
}

fn reading() -> impl Strategy<Value = Reading> {
    prop_oneof![
        Just(Reading::List),
        Just(Reading::Watch),
        Just(Reading::ListAndWatch),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0_usize..8).prop_map(Step::Appear),
        2 => (0_usize..8).prop_map(Step::Drain),
        2 => (0_usize..8).prop_map(Step::Leave),
        2 => (0_usize..8, prop::option::of(0_u64..4))
            .prop_map(|(index, start)| Step::Restart(index, start)),
        2 => (0_usize..3, reading()).prop_map(|(reader, way)| Step::Read { reader, way }),
        3 => (0_usize..3, 0_usize..3, any::<bool>())
            .prop_map(|(from, to, kept)| Step::Tell { from, to, kept }),
        2 => (0_usize..16).prop_map(Step::Deliver),
    ]
}

/// The store and its change history.
#[derive(Default)]
struct Store {
    revision: u64,
    runners: Vec<Runner>,
    history: Vec<(u64, RunnerId, Option<Runner>)>,
    starts: BTreeMap<usize, RunnerStart>,
}

impl Store {
    fn set(&mut self, index: usize, draining: bool) {
        self.revision += 1;
        let start = self.starts.get(&index).copied();
        let runner = Runner {
            id: RunnerId::from_parts(id(index).name().clone(), start),
            ..runner(index, self.revision, draining)
        };
        self.runners
            .retain(|known| known.id.name() != runner.id.name());
        self.runners.push(runner.clone());
        self.history
            .push((self.revision, runner.id.clone(), Some(runner)));
    }

    fn remove(&mut self, index: usize) {
        self.revision += 1;
        self.runners
            .retain(|known| known.id.name() != id(index).name());
        self.history.push((self.revision, id(index), None));
    }

    fn restart(&mut self, index: usize, start: Option<u64>) {
        match start.and_then(RunnerStart::from_millis) {
            Some(start) => self.starts.insert(index, start),
            None => self.starts.remove(&index),
        };
        self.set(index, false);
    }

    fn holds(&self, index: usize) -> bool {
        let mut runners = self.runners.iter();
        runners.any(|known| known.id.name() == id(index).name())
    }

    fn read(&self, table: &mut RunnerTable, way: Reading) {
        let list = self.runners.clone();
        match way {
            Reading::List => table.replace(list, self.revision),
            Reading::Watch => self.watch(table),
            Reading::ListAndWatch => {
                self.watch(table);
                table.replace(list, self.revision);
            }
        }
    }

    fn watch(&self, table: &mut RunnerTable) {
        let known = table.revision();
        for (revision, id, runner) in self.history.iter().filter(|(at, _, _)| *at > known) {
            match runner {
                Some(runner) => table.insert(runner.clone(), *revision),
                None => table.remove(id, *revision),
            }
        }
        table.set_revision(self.revision);
    }

    /// Runners at a revision.
    fn state_at(&self, revision: u64) -> Vec<(RunnerId, bool)> {
        let mut state = BTreeMap::new();
        for (_, id, runner) in self.history.iter().filter(|(at, _, _)| *at <= revision) {
            match runner {
                Some(runner) => state.insert(id.name(), (id.clone(), runner.draining)),
                None => state.remove(id.name()),
            };
        }
        state.into_values().collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x10ad_0002),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A daemon that knows all changes up to a revision has exactly the runners of that revision,
    /// and its revision never decreases.
    #[test]
    fn daemons_know_what_the_store_held(steps in prop::collection::vec(step(), 1..80)) {
        let mut store = Store::default();
        store.set(0, false);
        let mut tables: Vec<RunnerTable> = (0..3).map(|_| RunnerTable::default()).collect();
        for table in &mut tables {
            store.read(table, Reading::List);
        }
        let mut kept: Vec<(usize, MembershipUpdate)> = Vec::new();
        for step in steps {
            let before: Vec<u64> = tables.iter().map(RunnerTable::revision).collect();
            match step {
                Step::Appear(index) if !store.holds(index) => store.set(index, false),
                Step::Drain(index) if store.holds(index) => store.set(index, true),
                Step::Leave(index) if store.holds(index) => store.remove(index),
                Step::Restart(index, start) if store.holds(index) => store.restart(index, start),
                Step::Read { reader, way } => store.read(&mut tables[reader], way),
                Step::Tell { from, to, kept: is_kept } => {
                    let known = tables[to].revision();
                    for update in tables[from].updates_after(known).unwrap_or_default() {
                        if is_kept {
                            kept.push((to, update));
                        } else {
                            tables[to].update(update);
                        }
                    }
                }
                Step::Deliver(index) if !kept.is_empty() => {
                    let (to, update) = kept[index % kept.len()].clone();
                    tables[to].update(update);
                }
                _ => {}
            }
            for (table, before) in tables.iter().zip(before) {
                prop_assert!(table.revision() >= before);
                prop_assert_eq!(state(table), store.state_at(table.revision()));
            }
        }
    }
}

fn cold_runner(revision: u64, cold_ms: u64) -> Runner {
    Runner {
        cold_for: Duration::from_millis(cold_ms),
        ..runner(0, revision, false)
    }
}

/// Sends a member all changes that it lacks. Returns the runners that changed for it.
fn bring_up_to_date(member: &mut RunnerTable, coordinator: &RunnerTable) -> Vec<RunnerId> {
    let updates = coordinator.updates_after(member.revision()).unwrap();
    let changed = updates.into_iter().map(|update| member.update(update));
    changed.flat_map(|changed| changed.unwrap()).collect()
}

/// Guards against requests to runners that have become cold: formerly only draining was replicated,
/// so daemons kept sending to a cold runner.
#[test]
fn consecutive_cold_spells_of_equal_length_are_both_replicated() {
    let mut coordinator = RunnerTable::default();
    coordinator.replace(vec![runner(0, 1, false)], 1);
    let mut member = RunnerTable::default();
    member.replace(vec![runner(0, 1, false)], 1);
    let mut revision = 1;
    let mut entry = |cold_ms: u64| {
        revision += 1;
        coordinator.insert(cold_runner(revision, cold_ms), revision);
        coordinator.set_revision(revision);
        bring_up_to_date(&mut member, &coordinator)
    };
    assert_eq!(entry(3_000), vec![id(0)]);
    // Later entries of the same spell, and its end, are not changes.
    assert_eq!(entry(1_000), vec![]);
    assert_eq!(entry(0), vec![]);
    assert_eq!(entry(3_000), vec![id(0)]);
    assert_eq!(member.get(&id(0)).unwrap().revision, 5);
}

/// Guards against a missed cold spell, seen in a soak test: the entry of a spell stayed unchanged
/// until the next one reported a shorter spell, which looked like the remainder of the first. The
/// coordinator could tell them apart by its clock, but members were not notified.
#[test]
fn a_shorter_cold_spell_after_an_ended_one_is_replicated() {
    let mut coordinator = RunnerTable::default();
    coordinator.replace(vec![runner(0, 1, false)], 1);
    let mut member = RunnerTable::default();
    member.replace(vec![runner(0, 1, false)], 1);
    let mut spells = ColdPeriods::default();
    let mut entry = |revision: u64, cold_ms: u64, now: u64| {
        coordinator.insert(cold_runner(revision, cold_ms), revision);
        let turns = spells.update_all(&mut coordinator, Timestamp(now));
        coordinator.set_revision(revision);
        (turns.len(), bring_up_to_date(&mut member, &coordinator))
    };
    assert_eq!(entry(2, 3_000, 1_000), (1, vec![id(0)]));
    assert_eq!(entry(3, 1_000, 3_000), (0, vec![]), "the rest of the spell");
    assert_eq!(entry(4, 900, 9_000), (1, vec![id(0)]));
    assert_eq!(member.get(&id(0)).unwrap().revision, 4);
}
