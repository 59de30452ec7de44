//! Computes the quota record that a zone writes: stateless rules over a single record.
//!
//! The sum of all zones' units never exceeds the limit. Units that a zone frees are granted to the
//! requesting zones in the same write.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::records::{Quota, QuotaSubject};
use flaxward_types::{Revision, Term, ZoneName};

use super::units::{own_units, set_units, split_units, total};
use super::weakness::Weakness;

/// The limits that the configuration sets for a subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct QuotaRule {
    /// Total units of all zones.
    pub(super) limit: u32,
    /// Zones that may hold units.
    pub(super) zones: BTreeSet<ZoneName>,
    /// Revision of the configuration item.
    pub(super) revision: Revision,
}

/// The units that the zone needs of a subject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct QuotaNeed {
    /// Units that the zone could use now; it may request the missing ones.
    pub(super) needed: u32,
    /// Units that it retains even if other zones request some.
    pub(super) retained: u32,
    /// Units that recorded slots may occupy.
    pub(super) committed: u32,
    /// Whether it requests missing units from other zones.
    pub(super) requests_units: bool,
    /// Whether the record must exist and carry this coordinator's term.
    pub(super) requires_claim: bool,
}

/// The inputs from which one zone computes its next version of a record.
pub(super) struct Draft<'a> {
    pub(super) zone: &'a ZoneName,
    /// The coordinator's term, which every write carries.
    pub(super) term: Term,
    pub(super) rule: &'a QuotaRule,
    pub(super) need: &'a QuotaNeed,
    pub(super) weakness: Weakness,
}

impl Draft<'_> {
    /// The first record of a subject.
    pub(super) fn initial_record(&self, subject: &QuotaSubject) -> Quota {
        Quota {
            subject: subject.clone(),
            limit: self.rule.limit,
            units: split_units(subject, self.rule.limit, &self.rule.zones),
            wanted: BTreeMap::new(),
            rule: self.rule.revision,
            terms: BTreeMap::from([(self.zone.clone(), self.term)]),
        }
    }

    /// The record to write in place of the given one, if a write is needed. `is_unsettled` means that
    /// the outcome of an earlier write is unknown; another write resolves it.
    pub(super) fn successor(&self, quota: &Quota, goal: u32, is_unsettled: bool) -> Option<Quota> {
        let mut next = self.revised(quota, goal);
        let is_claimed = quota.terms.get(self.zone) == Some(&self.term);
        let must_claim =
            self.need.requires_claim && !is_claimed && self.weakness != Weakness::UnclaimedQuota;
        if next == *quota && !must_claim && !is_unsettled {
            return None;
        }
        next.terms.insert(self.zone.clone(), self.term);
        Some(next)
    }

    /// The record with this zone's changes applied.
    fn revised(&self, quota: &Quota, goal: u32) -> Quota {
        let mut next = quota.clone();
        self.apply_rule(&mut next);
        let own = own_units(quota, self.zone);
        let lowered = goal.max(self.need.committed).min(own);
        set_units(&mut next, self.zone, lowered);
        // Units above the goal are granted to the requesting zones, up to the limit.
        grant_freed(&mut next, self.zone, own - lowered);
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

    /// Applies a newer rule to the record.
    fn apply_rule(&self, next: &mut Quota) {
        // A removed item has no revision of its own, so its limit of zero is written only once.
        let is_removed = self.rule.limit == 0 && next.limit == 0;
        if self.rule.revision > next.rule && !is_removed {
            next.rule = self.rule.revision;
            next.limit = self.rule.limit;
        }
    }

    /// Acquires free units, and requests the units that are still missing.
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
        update_request(next, self.zone, self.need, missing.saturating_sub(raise));
    }

    /// Units that the zone may acquire before it needs them, because its even share is larger than
    /// what it has.
    fn unused_share(&self, quota: &Quota, own: u32) -> u32 {
        if total(quota) >= self.rule.limit {
            return 0;
        }
        let split = split_units(&quota.subject, self.rule.limit, &self.rule.zones);
        let share = split.get(self.zone).copied().unwrap_or(0);
        share.saturating_sub(own)
    }
}

/// Grants freed units to the zones that request some.
fn grant_freed(quota: &mut Quota, zone: &ZoneName, freed: u32) {
    let free = quota.limit.saturating_sub(total(quota));
    let mut remaining = freed.min(free);
    let requesting: Vec<ZoneName> = quota
        .wanted
        .keys()
        .filter(|requesting| *requesting != zone)
        .cloned()
        .collect();
    for other in requesting {
        let wanted = quota.wanted.get(&other).copied().unwrap_or(0);
        let granted = wanted.min(remaining);
        remaining -= granted;
        *quota.units.entry(other.clone()).or_default() += granted;
        if granted == wanted {
            quota.wanted.remove(&other);
        } else {
            quota.wanted.insert(other, wanted - granted);
        }
    }
}

/// Requests missing units from other zones, or withdraws the request.
fn update_request(quota: &mut Quota, zone: &ZoneName, need: &QuotaNeed, missing: u32) {
    if missing == 0 || need.needed == 0 {
        quota.wanted.remove(zone);
    } else if need.requests_units {
        quota.wanted.insert(zone.clone(), missing);
    }
}
