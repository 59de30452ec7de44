//! The list of runners after the store came back from a copy: its last changes are lost, their revisions are given out again,
//! and what runners have written is written again some time later.

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

/// The coordinator tells a member what it lacks, in messages that all come.
fn tell(coordinator: &RunnerTable, member: &mut RunnerTable) {
    for update in coordinator.updates_after(member.revision()).unwrap() {
        member.update(update).unwrap();
    }
}

#[test]
fn a_revision_of_a_later_era_is_higher_as_one_number_too() {
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
fn news_under_a_revision_given_out_again_reach_members() {
    let (mut coordinator, mut member) = (RunnerTable::default(), RunnerTable::default());
    coordinator.replace(vec![runner(0, 40, false), runner(1, 41, false)], at(0, 65));
    tell(&coordinator, &mut member);
    coordinator.replace_after_restore(vec![runner(0, at(1, 40), false)], at(1, 48));
    tell(&coordinator, &mut member);
    assert_eq!(draining(&member), [(id(0), false)]);
    coordinator.insert(runner(0, at(1, 65), true), at(1, 65));
    coordinator.set_revision(at(1, 65));
    tell(&coordinator, &mut member);
    assert_eq!(draining(&member), [(id(0), true)]);
}

/// A member that heard nothing from the coordinator would rely on what it knew before the store lost it.
#[test]
fn the_first_list_of_an_era_is_news_also_if_nothing_has_changed() {
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
fn a_runner_that_was_seen_to_leave_leaves_though_the_store_has_lost_that() {
    let (mut coordinator, mut member) = (RunnerTable::default(), RunnerTable::default());
    coordinator.replace(vec![runner(0, 60, true)], at(0, 65));
    tell(&coordinator, &mut member);
    for number in [48, 49, 52] {
        coordinator.replace_after_restore(vec![runner(0, at(1, 40), false)], at(1, number));
        coordinator.insert(runner(0, at(1, number + 1), false), at(1, number + 1));
        assert_eq!(draining(&coordinator), [(id(0), true)]);
    }
    // One that began after that knows no better, and a member that does is not talked out of it.
    let mut fresh = RunnerTable::default();
    fresh.replace(vec![runner(0, at(1, 40), false)], at(1, 60));
    assert_eq!(draining(&fresh), [(id(0), false)]);
    tell(&fresh, &mut member);
    assert_eq!(draining(&member), [(id(0), true)]);
}

#[test]
fn a_runner_that_is_gone_does_not_come_back_by_an_old_entry() {
    let mut table = RunnerTable::default();
    table.replace(vec![runner(0, 40, false), runner(1, 41, false)], at(0, 60));
    table.remove(&id(0), at(0, 65));
    let old = runner(0, at(1, 40), false);
    table.replace_after_restore(vec![old.clone(), runner(1, at(1, 41), false)], at(1, 48));
    assert_eq!(draining(&table), [(id(1), false)]);
    // It lives if it writes its entry again, or if that is still there once those of runners that are gone have lapsed.
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
fn the_next_life_of_a_runner_is_not_followed_by_the_one_before() {
    let life = |start: u64, revision: u64| Runner {
        id: RunnerId::from_parts(RunnerName::new("r"), RunnerStart::from_millis(start)),
        ..runner(0, revision, false)
    };
    let mut table = RunnerTable::default();
    table.replace(vec![life(1_000, 40)], at(0, 41));
    table.insert(life(2_000, 60), at(0, 60));
    table.replace_after_restore(vec![life(1_000, at(1, 40))], at(1, 48));
    let known = table.get_by_name(&RunnerName::new("r")).unwrap();
    assert_eq!(known.id, life(2_000, 0).id);
}

#[test]
fn evacuations_of_a_later_era_stand_though_their_number_is_lower() {
    let mut known = Evacuations {
        revision: at(0, 65),
        zones: Vec::new(),
    };
    let listed = Evacuations {
        revision: at(1, 48),
        zones: vec![Zone::new("z")],
    };
    assert!(known.take_in(listed));
}

/// A change of the store, or of what daemons know.
#[derive(Clone, Copy, Debug)]
enum Step {
    Come(usize),
    Drain(usize),
    Go(usize),
    /// The store comes back from the copy of some changes ago.
    Restore(usize),
    /// The coordinator reads the list soon after the store came back, or later, or hears the changes.
    ReadOfCopy,
    Read,
    Watch,
    /// The member is told what it lacks.
    Tell,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0_usize..6).prop_map(Step::Come),
        2 => (0_usize..6).prop_map(Step::Drain),
        2 => (0_usize..6).prop_map(Step::Go),
        1 => (0_usize..8).prop_map(Step::Restore),
        2 => Just(Step::ReadOfCopy),
        1 => Just(Step::Read),
        2 => Just(Step::Watch),
        4 => Just(Step::Tell),
    ]
}

#[derive(Clone, Debug, Default)]
struct History {
    era: u64,
    /// Runners after each revision of the present era, from the first of all.
    states: Vec<BTreeMap<usize, (u64, bool)>>,
}

impl History {
    fn number(&self) -> u64 {
        self.states.len() as u64
    }

    fn present(&self) -> BTreeMap<usize, (u64, bool)> {
        self.states.last().cloned().unwrap_or_default()
    }

    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<usize, (u64, bool)>, u64)) {
        let mut next = self.present();
        change(&mut next, self.number() + 1);
        self.states.push(next);
    }

    fn at(&self) -> u64 {
        at(self.era, self.number())
    }

    /// Tells a coordinator what has changed since its last list, if that is of this history.
    fn tell(&self, coordinator: &mut RunnerTable) {
        let known = StoreRevision::from_ordered(coordinator.revision());
        let is_of_this = known.era == StoreEra::new(self.era) && known.number > 0;
        if !is_of_this || known.number >= self.number() {
            return;
        }
        let before = &self.states[usize::try_from(known.number).unwrap() - 1];
        for index in before
            .keys()
            .filter(|index| !self.present().contains_key(index))
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
        let present = self.present().into_iter();
        let listed = present
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

    /// A member knows what its coordinator knows once it is told, and no runner that either has seen to leave gets work.
    #[test]
    fn members_follow_their_coordinator_through_restores(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut store = History::default();
        let (mut coordinator, mut member) = (RunnerTable::default(), RunnerTable::default());
        let mut lives = 0;
        let mut left: BTreeSet<RunnerId> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Come(index) => {
                    // Each start has a new name.
                    lives += 10;
                    store.change(|runners, number| {
                        runners.insert(lives + index, (number, false));
                    });
                }
                Step::Drain(index) => store.change(|runners, number| {
                    if let Some(entry) = runners.values_mut().nth(index) {
                        *entry = (number, true);
                    }
                }),
                Step::Go(index) => store.change(|runners, _| {
                    let gone = runners.keys().nth(index).copied();
                    gone.map(|gone| runners.remove(&gone));
                }),
                Step::Restore(changes) => {
                    let kept = store.states.len().saturating_sub(changes);
                    store.states.truncate(kept);
                    store.era += 1;
                }
                Step::ReadOfCopy => coordinator.replace_after_restore(store.list(), store.at()),
                Step::Read => coordinator.replace(store.list(), store.at()),
                Step::Watch => store.tell(&mut coordinator),
                Step::Tell if coordinator.updates_after(0).is_some() => {
                    tell(&coordinator, &mut member);
                    prop_assert_eq!(draining(&member), draining(&coordinator));
                }
                Step::Tell => {}
            }
            for table in [&coordinator, &member] {
                left.extend(table.iter().filter(|it| it.draining).map(|it| it.id.clone()));
                let takes_work = |id: &RunnerId| table.get(id).is_some_and(|it| !it.draining);
                prop_assert!(!left.iter().any(takes_work) || table.revision() < coordinator.revision());
            }
        }
    }
}
