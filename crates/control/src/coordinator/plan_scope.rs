//! The scope of a plan: what events have touched, what is in progress, and a slice of the rest.
//!
//! Slices cycle through all entries in a bounded time, so that conditions without an event, such as
//! a rule that becomes true only as time passes, are noticed as well. Small zones fit into one slice.

use std::collections::BTreeSet;
use std::ops::Range;

use flaxward_types::ArtifactId;
use flaxward_types::records::{QuotaSubject, Slot};

use super::leading::{Context, Leading};
use super::runner::Availability;
use super::slots::subject_of;

/// Number of full slices that cover all required or held artifacts once. Plans that an event
/// triggers between two full slices take only the minimum slice.
const SLICES_PER_PASS: usize = 16;
/// Minimum size of a housekeeping round, in minimum slices.
const MIN_SLICES_PER_ROUND: usize = 16;
/// Maximum number of changed quotas that one plan checks; the others are left to the next plan.
const MAX_QUOTAS_PER_PLAN: usize = 512;
/// Number of housekeeping rounds that cover all entries once.
const ROUNDS_PER_PASS: usize = 16;
/// Number of housekeeping rounds that cover all quotas once. Events report every known change that
/// affects a quota, so this pass only catches what no event has reported.
const QUOTA_ROUNDS_PER_PASS: usize = 128;

/// Positions at which the last slices ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Cursors {
    pub(super) wanted: Option<ArtifactId>,
    pub(super) held: Option<ArtifactId>,
    pub(super) quotas: Option<QuotaSubject>,
    pub(super) slots: Option<Slot>,
    pub(super) prewarmed: usize,
    pub(super) homes: usize,
}

/// Number of entries to check in one housekeeping round so that `rounds` rounds cover all of them.
fn round_size(all: usize, rounds: usize, context: &Context) -> usize {
    let min = context.settings.min_slice * MIN_SLICES_PER_ROUND;
    all.div_ceil(rounds).max(min)
}

/// The index range to check in this housekeeping round. It starts at the cursor, which is moved to
/// its end.
pub(super) fn next_slice(cursor: &mut usize, all: usize, context: &Context) -> Range<usize> {
    let start = if *cursor < all { *cursor } else { 0 };
    let end = (start + round_size(all, ROUNDS_PER_PASS, context)).min(all);
    *cursor = end;
    start..end
}

impl Leading {
    /// Takes the artifacts that the plan covers.
    pub(super) fn take_scope(&mut self, context: &Context) -> BTreeSet<ArtifactId> {
        self.touch_by_runners(context);
        let mut scope = std::mem::take(&mut self.touched);
        scope.extend(context.demands.waiting().cloned());
        scope.extend(self.blocks.keys().cloned());
        let ordered = self.loads.keys().chain(self.unloads.keys());
        scope.extend(ordered.map(|slot| slot.artifact.clone()));
        let bases: Vec<ArtifactId> = scope
            .iter()
            .filter(|artifact| artifact.is_adapter())
            .map(ArtifactId::base)
            .collect();
        scope.extend(bases);
        scope
    }

    /// Number of entries to check in this plan, besides those touched.
    fn plan_size(&self, all: usize, context: &Context) -> usize {
        let slices = if self.whole_slices {
            SLICES_PER_PASS
        } else {
            usize::MAX
        };
        all.div_ceil(slices).max(context.settings.min_slice)
    }

    /// Artifacts whose requirements are recomputed although no event has touched them.
    pub(super) fn wanted_slice(&mut self, context: &Context) -> Vec<ArtifactId> {
        let size = self.plan_size(self.wanted.len(), context);
        let following = self.wanted.following(self.cursors.wanted.as_ref());
        let slice: Vec<ArtifactId> = following.take(size).cloned().collect();
        self.cursors.wanted = slice.last().cloned();
        slice
    }

    /// Artifacts whose replicas are checked for whether they are still needed.
    pub(super) fn held_slice(&mut self, context: &Context) -> Vec<ArtifactId> {
        let size = self.plan_size(self.holdings.len(), context);
        let following = self.holdings.following(self.cursors.held.as_ref());
        let slice: Vec<ArtifactId> = following.take(size).map(|(held, _)| held.clone()).collect();
        self.cursors.held = slice.last().cloned();
        slice
    }

    /// Touches the artifacts on runners that have started or stopped serving or taking loads.
    fn touch_by_runners(&mut self, context: &Context) {
        for (name, runner) in &mut self.runners {
            let serves = runner.serves(context.now) && !self.drained.contains(name);
            let availability = Availability {
                serves,
                takes_loads: serves && runner.sealed_boot().is_some(),
            };
            if std::mem::replace(&mut runner.last_availability, availability) == availability {
                continue;
            }
            let slots = self.placement.slots().on_runner(name);
            self.touched.extend(slots.map(|slot| slot.artifact.clone()));
            self.touched.extend(self.holdings.on(name).cloned());
        }
    }

    /// Touches all required, demanded, kept, prewarmed or answered artifacts that match a predicate.
    pub(super) fn touch_where(
        &mut self,
        is_of_kind: impl Fn(&ArtifactId) -> bool,
        context: &Context,
    ) {
        let known = self.wanted.keys();
        let known = known.chain(context.demands.artifacts());
        let known = known.chain(self.kept.keys());
        let known = known.chain(&self.prewarmed);
        let known = known.chain(self.answers.artifacts());
        let of_kind = known.filter(|artifact| is_of_kind(artifact));
        self.touched.extend(of_kind.cloned());
    }

    fn quota_slice(&mut self, context: &Context) -> Vec<QuotaSubject> {
        let size = round_size(self.quotas.len(), QUOTA_ROUNDS_PER_PASS, context);
        let following = self.quotas.following(self.cursors.quotas.as_ref());
        let slice: Vec<QuotaSubject> = following.take(size).cloned().collect();
        self.cursors.quotas = slice.last().cloned();
        slice
    }

    /// Slots that are checked for use in this housekeeping round.
    pub(super) fn slot_slice(&mut self, context: &Context) -> Vec<Slot> {
        let slots = self.placement.slots();
        let following = slots.following(self.cursors.slots.as_ref());
        let size = round_size(slots.len(), ROUNDS_PER_PASS, context);
        let slice: Vec<Slot> = following.take(size).cloned().collect();
        self.cursors.slots = slice.last().cloned();
        slice
    }

    /// The quota subjects that the plan checks.
    pub(super) fn subjects_due(
        &mut self,
        scope: &BTreeSet<ArtifactId>,
        housekeeping: bool,
        context: &Context,
    ) -> BTreeSet<QuotaSubject> {
        let mut subjects = self.quotas.take_changed(MAX_QUOTAS_PER_PLAN);
        subjects.extend(self.quotas.unfinished().cloned());
        subjects.extend(self.contested.iter().cloned());
        self.quotas_due.extend(self.placement.take_changed());
        if context.may_record {
            self.quotas_due.append(&mut self.unwritten_quotas);
        }
        let due = std::iter::from_fn(|| self.quotas_due.pop_first());
        subjects.extend(due.take(MAX_QUOTAS_PER_PLAN));
        if housekeeping {
            subjects.extend(self.quota_slice(context));
        }
        // Units may still be requested for an artifact that is no longer required.
        let concerned = scope.iter().filter(|artifact| {
            self.wanted.contains_key(artifact) || self.redirected_since.contains_key(artifact)
        });
        subjects.extend(concerned.map(subject_of));
        subjects.insert(QuotaSubject::WeightStore);
        subjects
    }
}
