//! What a plan looks at: what events have touched, what is in progress, and a slice of the rest.
//!
//! Slices go round everything in a fixed time, so that what no event tells, such as a rule that
//! time alone fulfils, is noticed as well. Small zones fit into one slice.

use std::collections::BTreeSet;
use std::ops::Range;

use flaxward_types::ArtifactId;
use flaxward_types::records::{QuotaSubject, Slot};

use super::leading::{Context, Leading};
use super::slots::subject_of;

/// Artifacts looked at in each plan besides those touched, at least.
const LEAST_PER_PLAN: usize = 64;
/// Plans in which all artifacts that are wanted or held are looked at once.
const PLANS: usize = 8;
/// Quotas that have changed and are looked at in one plan; the others follow in the next.
const QUOTAS_PER_PLAN: usize = 512;
/// Things of one kind looked at in one round of housekeeping, at least.
const LEAST_PER_ROUND: usize = 256;
/// Rounds of housekeeping in which everything is looked at once.
const ROUNDS: usize = 16;

/// Where the last slices of everything ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Cursors {
    pub(super) wanted: Option<ArtifactId>,
    pub(super) held: Option<ArtifactId>,
    pub(super) quotas: Option<QuotaSubject>,
    pub(super) slots: Option<Slot>,
    pub(super) prewarmed: usize,
    pub(super) homes: usize,
}

fn plan_size(all: usize) -> usize {
    all.div_ceil(PLANS).max(LEAST_PER_PLAN)
}

/// Things to look at in one round of housekeeping.
pub(super) fn round_size(all: usize) -> usize {
    all.div_ceil(ROUNDS).max(LEAST_PER_ROUND)
}

/// The next things to look at among all, from a cursor on, which goes on behind them.
pub(super) fn next_slice(cursor: &mut usize, all: usize) -> Range<usize> {
    let start = if *cursor < all { *cursor } else { 0 };
    let end = (start + round_size(all)).min(all);
    *cursor = end;
    start..end
}

impl Leading {
    /// The artifacts that the plan looks at.
    pub(super) fn take_focus(&mut self, context: &Context) -> BTreeSet<ArtifactId> {
        self.touch_by_runners(context);
        let mut focus = std::mem::take(&mut self.touched);
        focus.extend(context.demands.waiting().cloned());
        focus.extend(self.blocks.keys().cloned());
        let ordered = self.loads.keys().chain(self.unloads.keys());
        focus.extend(ordered.map(|slot| slot.artifact.clone()));
        focus.extend(self.wanted_slice());
        let bases: Vec<ArtifactId> = focus
            .iter()
            .filter(|artifact| artifact.is_adapter())
            .map(ArtifactId::base)
            .collect();
        focus.extend(bases);
        focus
    }

    fn wanted_slice(&mut self) -> Vec<ArtifactId> {
        let size = plan_size(self.wanted.len());
        let following = self.wanted.following(self.cursors.wanted.as_ref());
        let slice: Vec<ArtifactId> = following.take(size).cloned().collect();
        self.cursors.wanted = slice.last().cloned();
        slice
    }

    /// Artifacts whose replicas are looked at for whether they are still needed.
    pub(super) fn held_slice(&mut self) -> Vec<ArtifactId> {
        let size = plan_size(self.holdings.len());
        let following = self.holdings.following(self.cursors.held.as_ref());
        let slice: Vec<ArtifactId> = following.take(size).map(|(held, _)| held.clone()).collect();
        self.cursors.held = slice.last().cloned();
        slice
    }

    /// Touches what is on runners that have begun or ceased to serve or to take loads.
    fn touch_by_runners(&mut self, context: &Context) {
        let mut turned = Vec::new();
        for (name, runner) in &self.runners {
            let serves = self.serves(name, context.now);
            let usable = (serves, serves && runner.sealed_boot().is_some());
            if self.usable.get(name) != Some(&usable) {
                turned.push((name.clone(), usable));
            }
        }
        for (name, usable) in turned {
            let slots = self.placement.slots().on_runner(&name);
            self.touched.extend(slots.map(|slot| slot.artifact.clone()));
            self.touched.extend(self.holdings.on(&name).cloned());
            self.usable.insert(name, usable);
        }
    }

    /// Touches everything that is wanted, demanded or kept.
    pub(super) fn touch_all(&mut self, context: &Context) {
        self.touched.extend(self.wanted.keys().cloned());
        self.touched.extend(context.demands.artifacts().cloned());
        self.touched.extend(self.kept.keys().cloned());
        self.touched.extend(self.prewarmed.iter().cloned());
        self.touched.extend(self.answers.artifacts().cloned());
    }

    fn quota_slice(&mut self) -> Vec<QuotaSubject> {
        let size = round_size(self.quotas.len());
        let following = self.quotas.following(self.cursors.quotas.as_ref());
        let slice: Vec<QuotaSubject> = following.take(size).cloned().collect();
        self.cursors.quotas = slice.last().cloned();
        slice
    }

    /// Slots whose use is looked at in this round.
    pub(super) fn slot_slice(&mut self) -> Vec<Slot> {
        let slots = self.placement.slots();
        let following = slots.following(self.cursors.slots.as_ref());
        let slice: Vec<Slot> = following.take(round_size(slots.len())).cloned().collect();
        self.cursors.slots = slice.last().cloned();
        slice
    }

    /// The quotas that the plan looks at.
    pub(super) fn subjects_due(
        &mut self,
        focus: &BTreeSet<ArtifactId>,
        housekeeping: bool,
        context: &Context,
    ) -> BTreeSet<QuotaSubject> {
        let mut subjects = self.quotas.take_changed(QUOTAS_PER_PLAN);
        subjects.extend(self.quotas.unfinished().cloned());
        subjects.extend(self.placement.take_changed());
        subjects.extend(std::mem::take(&mut self.rules_changed));
        subjects.extend(self.excess.iter().cloned());
        if context.may_record {
            let late = std::iter::from_fn(|| self.unstepped.pop_first());
            subjects.extend(late.take(QUOTAS_PER_PLAN));
        }
        if housekeeping {
            subjects.extend(self.quota_slice());
        }
        let wanted = focus
            .iter()
            .filter(|artifact| self.wanted.contains_key(artifact));
        subjects.extend(wanted.map(subject_of));
        subjects.insert(QuotaSubject::WeightStore);
        subjects
    }
}
