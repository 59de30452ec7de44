//! The runner table after a restore of the store from a backup: the latest changes are lost, their revisions are
//! reused, and runners write their entries again some time later.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::names::{RunnerId, RunnerName, RunnerStart, Zone};
use flaxward_routing::revision::{StoreEra, StoreRevision};
use flaxward_routing::runners::{Runner, RunnerTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{at, id, runner};

fn draining(table: &RunnerTable) -> Vec<(RunnerId, bool)> {
    let runners = table.iter();
    runners.map(|it| (it.id.clone(), it.draining)).collect()
}

/// Sends a member all updates that it is missing, without loss.
fn update_member(coordinator: &RunnerTable, member: &mut RunnerTable) {
    for update in coordinator.updates_after(member.revision()).unwrap() {
        member.update(update).unwrap();
    }
}

#[test]
fn ordered_revisions_increase_across_eras() {
    let revisions = [at(0, 0), at(0, 65), at(1, 0), at(1, 48), at(2, 1)];
    assert!(revisions.is_sorted());
    assert_eq!(at(0, 65), 65);
    for revision in revisions {
        assert_eq!(StoreRevision::from_ordered(revision).ordered(), revision);
    }
    let highest = StoreRevision {
        era: StoreEra::new(u64::MAX),
        number: u64::MAX,
    };
    assert_eq!(
        StoreRevision::from_ordered(highest.ordered()).era,
        highest.era
    );
    assert!(highest.era.start() < 1 << 53);
}

#[test]
fn updates_with_a_reused_revision_reach_members() {
    let (mut coordinator, mut member) = (RunnerTable::default(), RunnerTable::default());
    coordinator.replace(vec![runner(0, 40, false), runner(1, 41, false)], at(0, 65));
    update_member(&coordinator, &mut member);
    coordinator.replace_after_restore(vec![runner(0, at(1, 40), false)], at(1, 48));
    update_member(&coordinator, &mut member);
    assert_eq!(draining(&member), [(id(0), false)]);
    coordinator.insert(runner(0, at(1, 65), true), at(1, 65));
    coordinator.set_revision(at(1, 65));
    update_member(&coordinator, &mut member);
    assert_eq!(draining(&member), [(id(0), true)]);
}

/// Otherwise members would keep relying on state that the store has lost.
#[test]
fn the_first_list_of_an_era_is_an_update_even_without_changes() {
    let mut table = RunnerTable::default();
    table.replace(vec![runner(0, 40, false)], at(0, 65));
    let before = table.membership_revision();
    table.replace_after_restore(vec![runner(0, at(1, 40), false)], at(1, 48));
    assert!(table.membership_revision() > before);
    assert_eq!(table.membership_revision(), at(1, 48));
    table.replace_after_restore(vec![runner(0, at(1, 40), false)], at(1, 50));
    assert_eq!(table.membership_revision(), at(1, 48));
}

#[test]
fn a_draining_runner_stays_draining_though_the_store_has_lost_the_change() {
    let (mut coordinator, mut member) = (RunnerTable::default(), RunnerTable::default());
    coordinator.replace(vec![runner(0, 60, true)], at(0, 65));
    update_member(&coordinator, &mut member);
    for number in [48, 49, 52] {
        coordinator.replace_after_restore(vec![runner(0, at(1, 40), false)], at(1, number));
        coordinator.insert(runner(0, at(1, number + 1), false), at(1, number + 1));
        assert_eq!(draining(&coordinator), [(id(0), true)]);
    }
    // A coordinator started after the restore does not know of the drain, and must not revert it on a member that does.
    let mut fresh = RunnerTable::default();
    fresh.replace(vec![runner(0, at(1, 40), false)], at(1, 60));
    assert_eq!(draining(&fresh), [(id(0), false)]);
    update_member(&fresh, &mut member);
    assert_eq!(draining(&member), [(id(0), true)]);
}

#[test]
fn a_removed_runner_does_not_reappear_from_an_old_entry() {
    let mut table = RunnerTable::default();
    table.replace(vec![runner(0, 40, false), runner(1, 41, false)], at(0, 60));
    table.remove(&id(0), at(0, 65));
    let old = runner(0, at(1, 40), false);
    table.replace_after_restore(vec![old.clone(), runner(1, at(1, 41), false)], at(1, 48));
    assert_eq!(draining(&table), [(id(1), false)]);
    // It is back if it writes its entry again, or if the entry is still there once those of removed runners have
    // expired.
    let mut written = runner(0, at(1, 49), false);
    table.insert(written.clone(), at(1, 49));
    assert!(table.get(&id(0)).is_some());
    table.remove(&id(0), at(1, 50));
    written.revision = at(1, 51);
    table.replace_after_restore(vec![written], at(1, 52));
    assert!(table.get(&id(0)).is_some());
    table.remove(&id(0), at(1, 53));
    table.replace(vec![old], at(2, 48));
    assert!(table.get(&id(0)).is_some());
}

#[test]
fn a_restarted_runner_is_not_replaced_by_its_previous_instance() {
    let instance = |start: u64, revision: u64| Runner {
        id: RunnerId::from_parts(RunnerName::new("r"), RunnerStart::from_millis(start)),
        ..runner(0, revision, false)
    };
    let mut table = RunnerTable::default();
    table.replace(vec![instance(1_000, 40)], at(0, 41));
    table.insert(instance(2_000, 60), at(0, 60));
    table.replace_after_restore(vec![instance(1_000, at(1, 40))], at(1, 48));
    let known = table.get_by_name(&RunnerName::new("r")).unwrap();
    assert_eq!(known.id, instance(2_000, 0).id);
}

#[test]
fn evacuations_of_a_later_era_apply_though_their_number_is_lower() {
    let mut known = Evacuations {
        revision: at(0, 65),
        zones: Vec::new(),
    };
    let listed = Evacuations {
        revision: at(1, 48),
        zones: vec![Zone::new("z")],
    };
    assert!(known.update(listed));
}

/// A change of the store, or of the state known to daemons.
#[derive(Clone, Copy, Debug)]
enum Step {
    Add(usize),
    Drain(usize),
    Remove(usize),
    /// The store is restored to its state before this number of changes.
    Restore(usize),
    /// The coordinator reads the list soon after the restore (`ReadAfterRestore`) or later (`Read`), or watches the
    /// changes.
    ReadAfterRestore,
    Read,
    Watch,
    /// The member is sent the updates that it is missing.
    Update,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0_usize..6).prop_map(Step::Add),
        2 => (0_usize..6).prop_map(Step::Drain),
        2 => (0_usize..6).prop_map(Step::Remove),
        1 => (0_usize..8).prop_map(Step::Restore),
        2 => Just(Step::ReadAfterRestore),
        1 => Just(Step::Read),
        2 => Just(Step::Watch),
        4 => Just(Step::Update),
    ]
}

#[derive(Clone, Debug, Default)]
struct History {
    era: u64,
    /// State after each revision of the current history, starting with the first revision.
    states: Vec<BTreeMap<usize, (u64, bool)>>,
}

impl History {
    fn number(&self) -> u64 {
        self.states.len() as u64
    }

    fn current(&self) -> BTreeMap<usize, (u64, bool)> {
        self.states.last().cloned().unwrap_or_default()
    }

    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<usize, (u64, bool)>, u64)) {
        let mut next = self.current();
        change(&mut next, self.number() + 1);
        self.states.push(next);
    }

    fn at(&self) -> u64 {
        at(self.era, self.number())
    }

    /// Applies the changes since the last list of a coordinator, if that list belongs to this history.
    fn apply_changes(&self, coordinator: &mut RunnerTable) {
        let known = StoreRevision::from_ordered(coordinator.revision());
        let is_same_history = known.era == StoreEra::new(self.era) && known.number > 0;
        if !is_same_history || known.number >= self.number() {
            return;
        }
        let before = &self.states[usize::try_from(known.number).unwrap() - 1];
        for index in before
            .keys()
            .filter(|index| !self.current().contains_key(index))
        {
            coordinator.remove(&id(*index), self.at());
        }
        let written = self.list().into_iter();
        for runner in written.filter(|it| it.revision > known.ordered()) {
            coordinator.insert(runner, self.at());
        }
        coordinator.set_revision(self.at());
    }

    fn list(&self) -> Vec<Runner> {
        let current = self.current().into_iter();
        let listed = current
            .map(|(index, (number, draining))| runner(index, at(self.era, number), draining));
        listed.collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x0e7a_0001),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A member has the same state as its coordinator after an update, and no runner that either saw draining is
    /// eligible for requests again.
    #[test]
    fn members_stay_consistent_with_their_coordinator_across_restores(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut store = History::default();
        let (mut coordinator, mut member) = (RunnerTable::default(), RunnerTable::default());
        let mut starts = 0;
        let mut left: BTreeSet<RunnerId> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Add(index) => {
                    // Each start of a runner has a new identity.
                    starts += 10;
                    store.change(|runners, number| {
                        runners.insert(starts + index, (number, false));
                    });
                }
                Step::Drain(index) => store.change(|runners, number| {
                    if let Some(entry) = runners.values_mut().nth(index) {
                        *entry = (number, true);
                    }
                }),
                Step::Remove(index) => store.change(|runners, _| {
                    let gone = runners.keys().nth(index).copied();
                    gone.map(|gone| runners.remove(&gone));
                }),
                Step::Restore(changes) => {
                    let kept = store.states.len().saturating_sub(changes);
                    store.states.truncate(kept);
                    store.era += 1;
                }
                Step::ReadAfterRestore => coordinator.replace_after_restore(store.list(), store.at()),
                Step::Read => coordinator.replace(store.list(), store.at()),
                Step::Watch => store.apply_changes(&mut coordinator),
                Step::Update if coordinator.updates_after(0).is_some() => {
                    update_member(&coordinator, &mut member);
                    prop_assert_eq!(draining(&member), draining(&coordinator));
                }
                Step::Update => {}
            }
            for table in [&coordinator, &member] {
                left.extend(table.iter().filter(|it| it.draining).map(|it| it.id.clone()));
                let takes_work = |id: &RunnerId| table.get(id).is_some_and(|it| !it.draining);
                prop_assert!(!left.iter().any(takes_work) || table.revision() < coordinator.revision());
            }
        }
    }
}
