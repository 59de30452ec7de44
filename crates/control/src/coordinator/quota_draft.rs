//! What a zone would write into the record of a quota: no state, only the rules of one record.
//!
//! The sum of all zones' units stays under the limit. What a zone frees goes to those who ask for it
//! in the same write.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::records::{Quota, QuotaSubject};
use flaxward_types::{Revision, Term, ZoneName};

use super::units::{own_units, set_units, split_units, total};
use super::weakness::Weakness;

/// What the configuration says about a subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct QuotaRule {
    /// Units in all.
    pub(super) limit: u32,
    /// Zones that may have units.
    pub(super) zones: BTreeSet<ZoneName>,
    /// Revision of the configuration item.
    pub(super) revision: Revision,
}

/// What the zone needs of a subject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct QuotaNeed {
    /// Units the zone could use now; what is missing it may ask for.
    pub(super) needed: u32,
    /// Units it keeps even if others ask.
    pub(super) kept: u32,
    /// Units that recorded slots may take up.
    pub(super) bound: u32,
    /// Whether it is to ask other zones for what is missing.
    pub(super) asks: bool,
    /// Whether the record must exist and bear the own term.
    pub(super) claims: bool,
}

/// One zone before the record of one subject.
pub(super) struct Draft<'a> {
    pub(super) zone: &'a ZoneName,
    /// The zone's term, which every write bears.
    pub(super) term: Term,
    pub(super) rule: &'a QuotaRule,
    pub(super) need: &'a QuotaNeed,
    pub(super) weakness: Weakness,
}

impl Draft<'_> {
    /// The first record of a subject.
    pub(super) fn created(&self, subject: &QuotaSubject) -> Quota {
        Quota {
            subject: subject.clone(),
            limit: self.rule.limit,
            units: split_units(subject, self.rule.limit, &self.rule.zones),
            wanted: BTreeMap::new(),
            rule: self.rule.revision,
            terms: BTreeMap::from([(self.zone.clone(), self.term)]),
        }
    }

    /// What is to be written in place of a record, if anything is. `is_unsettled` tells that the
    /// outcome of an earlier write is unknown, which another write settles.
    pub(super) fn successor(&self, quota: &Quota, goal: u32, is_unsettled: bool) -> Option<Quota> {
        let mut next = self.revised(quota, goal);
        let is_claimed = quota.terms.get(self.zone) == Some(&self.term);
        let must_claim =
            self.need.claims && !is_claimed && self.weakness != Weakness::UnclaimedQuota;
        if next == *quota && !must_claim && !is_unsettled {
            return None;
        }
        next.terms.insert(self.zone.clone(), self.term);
        Some(next)
    }

    /// The record as this zone would have it.
    fn revised(&self, quota: &Quota, goal: u32) -> Quota {
        let mut next = quota.clone();
        self.take_rule(&mut next);
        let own = own_units(quota, self.zone);
        let lowered = goal.max(self.need.bound).min(own);
        set_units(&mut next, self.zone, lowered);
        // What the goal leaves over goes to those who ask, as far as the rule allows.
        grant(&mut next, self.zone, own - lowered);
        if lowered == own && self.rule.zones.contains(self.zone) {
            self.raise(&mut next, own);
        } else {
            next.wanted.remove(self.zone);
        }
        if next.units == quota.units && next.wanted == quota.wanted && next.rule == quota.rule {
            return quota.clone();
        }
        next.terms.insert(self.zone.clone(), self.term);
        next
    }

    /// Brings the record up to a newer rule.
    fn take_rule(&self, next: &mut Quota) {
        // A removed item has no revision of its own, and its limit of zero is written once.
        let is_removed = self.rule.limit == 0 && next.limit == 0;
        if self.rule.revision > next.rule && !is_removed {
            next.rule = self.rule.revision;
            next.limit = self.rule.limit;
        }
    }

    /// Takes up free units, and asks for what is missing beyond them.
    fn raise(&self, next: &mut Quota, own: u32) {
        let free = next.limit.min(self.rule.limit).saturating_sub(total(next));
        let missing = self.need.needed.saturating_sub(own);
        let checked = missing.max(self.unused_share(next, own)).min(free);
        let raise = if self.weakness == Weakness::UncheckedRaise {
            missing
        } else {
            checked
        };
        set_units(next, self.zone, own + raise);
        ask(next, self.zone, self.need, missing.saturating_sub(raise));
    }

    /// Units that the zone may take up ahead of need, because its even share is larger than what it
    /// has.
    fn unused_share(&self, quota: &Quota, own: u32) -> u32 {
        if total(quota) >= self.rule.limit {
            return 0;
        }
        let split = split_units(&quota.subject, self.rule.limit, &self.rule.zones);
        let share = split.get(self.zone).copied().unwrap_or(0);
        share.saturating_sub(own)
    }
}

/// Passes freed units on to zones that ask for some.
fn grant(quota: &mut Quota, zone: &ZoneName, freed: u32) {
    let free = quota.limit.saturating_sub(total(quota));
    let mut left = freed.min(free);
    let asking: Vec<ZoneName> = quota
        .wanted
        .keys()
        .filter(|asking| *asking != zone)
        .cloned()
        .collect();
    for other in asking {
        let wanted = quota.wanted.get(&other).copied().unwrap_or(0);
        let granted = wanted.min(left);
        left -= granted;
        *quota.units.entry(other.clone()).or_default() += granted;
        if granted == wanted {
            quota.wanted.remove(&other);
        } else {
            quota.wanted.insert(other, wanted - granted);
        }
    }
}

/// Asks other zones for units that are missing, or takes the wish back.
fn ask(quota: &mut Quota, zone: &ZoneName, need: &QuotaNeed, missing: u32) {
    if missing == 0 || need.needed == 0 {
        quota.wanted.remove(zone);
    } else if need.asks {
        quota.wanted.insert(zone.clone(), missing);
    }
}
