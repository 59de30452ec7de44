//! What a plan looks at: what events have touched, what is in progress, and a slice of the rest.
//!
//! Slices go round everything in a fixed time, so that what no event tells, such as a rule that
//! time alone fulfils, is noticed as well. Small zones fit into one slice.

use std::collections::BTreeSet;
use std::ops::Range;

use flaxward_types::ArtifactId;
use flaxward_types::records::{QuotaSubject, Slot};

use super::leading::{Context, Leading};
use super::runner::Availability;
use super::slots::subject_of;

/// Whole slices in which all artifacts that are wanted or held are looked at once. Plans between
/// them, which an event calls for, take only the least slice.
const SLICES: usize = 16;
/// Least slices that a round of housekeeping takes.
const LEAST_SLICES_PER_ROUND: usize = 16;
/// Quotas that have changed and are looked at in one plan; the others follow in the next.
const QUOTAS_PER_PLAN: usize = 512;
/// Rounds of housekeeping in which everything is looked at once.
const ROUNDS: usize = 16;
/// Rounds in which every quota is looked at once. Events tell of all that is known to matter to a
/// quota, so that this is only to make good what no event told.
const QUOTA_ROUNDS: usize = 128;

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

/// Things to look at in a round of housekeeping, so that all are in so many of them.
fn round_size(all: usize, rounds: usize, context: &Context) -> usize {
    let least = context.settings.min_slice * LEAST_SLICES_PER_ROUND;
    all.div_ceil(rounds).max(least)
}

/// The next things to look at among all in a round of housekeeping, from a cursor on, which goes on
/// behind them.
pub(super) fn next_slice(cursor: &mut usize, all: usize, context: &Context) -> Range<usize> {
    let start = if *cursor < all { *cursor } else { 0 };
    let end = (start + round_size(all, ROUNDS, context)).min(all);
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
        let bases: Vec<ArtifactId> = focus
            .iter()
            .filter(|artifact| artifact.is_adapter())
            .map(ArtifactId::base)
            .collect();
        focus.extend(bases);
        focus
    }

    /// Things to look at in this plan, besides those touched.
    fn plan_size(&self, all: usize, context: &Context) -> usize {
        let slices = if self.whole_slices {
            SLICES
        } else {
            usize::MAX
        };
        all.div_ceil(slices).max(context.settings.min_slice)
    }

    /// Artifacts whose wants are worked out anew although nothing has touched them.
    pub(super) fn wanted_slice(&mut self, context: &Context) -> Vec<ArtifactId> {
        let size = self.plan_size(self.wanted.len(), context);
        let following = self.wanted.following(self.cursors.wanted.as_ref());
        let slice: Vec<ArtifactId> = following.take(size).cloned().collect();
        self.cursors.wanted = slice.last().cloned();
        slice
    }

    /// Artifacts whose replicas are looked at for whether they are still needed.
    pub(super) fn held_slice(&mut self, context: &Context) -> Vec<ArtifactId> {
        let size = self.plan_size(self.holdings.len(), context);
        let following = self.holdings.following(self.cursors.held.as_ref());
        let slice: Vec<ArtifactId> = following.take(size).map(|(held, _)| held.clone()).collect();
        self.cursors.held = slice.last().cloned();
        slice
    }

    /// Touches what is on runners that have begun or ceased to serve or to take loads.
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

    /// Touches what is wanted, demanded, kept, held or answered, if it is of a kind.
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
        let size = round_size(self.quotas.len(), QUOTA_ROUNDS, context);
        let following = self.quotas.following(self.cursors.quotas.as_ref());
        let slice: Vec<QuotaSubject> = following.take(size).cloned().collect();
        self.cursors.quotas = slice.last().cloned();
        slice
    }

    /// Slots whose use is looked at in this round.
    pub(super) fn slot_slice(&mut self, context: &Context) -> Vec<Slot> {
        let slots = self.placement.slots();
        let following = slots.following(self.cursors.slots.as_ref());
        let size = round_size(slots.len(), ROUNDS, context);
        let slice: Vec<Slot> = following.take(size).cloned().collect();
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
        subjects.extend(self.contested.iter().cloned());
        self.quotas_due.extend(self.placement.take_changed());
        if context.may_record {
            self.quotas_due.append(&mut self.unwritten_quotas);
        }
        let due = std::iter::from_fn(|| self.quotas_due.pop_first());
        subjects.extend(due.take(QUOTAS_PER_PLAN));
        if housekeeping {
            subjects.extend(self.quota_slice(context));
        }
        // What is wanted no longer may have been asked for.
        let concerned = focus.iter().filter(|artifact| {
            self.wanted.contains_key(artifact) || self.redirected_since.contains_key(artifact)
        });
        subjects.extend(concerned.map(subject_of));
        subjects.insert(QuotaSubject::WeightStore);
        subjects
    }
}
