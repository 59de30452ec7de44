//! Maintains the zone's units of each quota.
//!
//! The sum of all zones' units never exceeds the limit: a zone raises its own units only in the
//! compare-and-swap that checks the sum, and releases units only after their slots are freed. A
//! former coordinator of this zone might still release units; so a coordinator uses its units for
//! new slots only once it has written the record under its own term.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::records::{Quota, QuotaSubject};
use flaxward_types::{Revision, Term, Timestamp, ZoneName};

use super::interface::{CoordinatorAction, CoordinatorSettings, StoreFault};
use super::quota_draft::{Draft, QuotaNeed, QuotaRule};
use super::rounds::following;
use super::units::{own_units, split_units, total};
use super::weakness::Weakness;

/// A write that is outstanding, or whose outcome is unknown.
#[derive(Clone, Debug)]
struct Write {
    base: Option<Revision>,
    quota: Quota,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    record: Option<(Revision, Quota)>,
    outstanding: Option<Write>,
    unsettled: Vec<Write>,
    /// The record must be read before the next write.
    stale: bool,
    /// A write of an earlier term by this daemon is outstanding.
    has_earlier_term_write: bool,
    next_step: Timestamp,
}

/// The last known records of all quotas, and the writes in progress.
#[derive(Clone, Debug)]
pub(super) struct QuotaTable {
    term: Term,
    zone: ZoneName,
    weakness: Weakness,
    loaded: bool,
    reading: bool,
    next_read: Timestamp,
    entries: BTreeMap<QuotaSubject, Entry>,
    /// Highest term of this zone in any record.
    highest_term: Term,
    /// Subjects whose records have changed since they were last returned by `take_changed`.
    changed: BTreeSet<QuotaSubject>,
    /// Subjects with a write that failed or whose outcome is unknown.
    unfinished: BTreeSet<QuotaSubject>,
}

impl QuotaTable {
    pub(super) fn new(term: Term, zone: ZoneName, weakness: Weakness) -> Self {
        Self {
            term,
            zone,
            weakness,
            loaded: false,
            reading: false,
            next_read: Timestamp::ZERO,
            entries: BTreeMap::new(),
            highest_term: term,
            changed: BTreeSet::new(),
            unfinished: BTreeSet::new(),
        }
    }

    /// Whether the quotas have been read.
    pub(super) fn loaded(&self) -> bool {
        self.loaded
    }

    /// Highest term under which this zone has written a quota.
    pub(super) fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Subjects with a write outstanding.
    pub(super) fn outstanding(&self) -> Vec<QuotaSubject> {
        let writing = |entry: &&Entry| entry.outstanding.is_some();
        let entries = self.entries.iter().filter(|(_, entry)| writing(entry));
        entries.map(|(subject, _)| subject.clone()).collect()
    }

    /// Blocks writes to these subjects until their writes of an earlier term are answered.
    pub(super) fn await_earlier_term_writes(&mut self, subjects: &[QuotaSubject]) {
        for subject in subjects {
            self.entries
                .entry(subject.clone())
                .or_default()
                .has_earlier_term_write = true;
        }
    }

    /// Handles the answer to a write of an earlier term.
    pub(super) fn earlier_term_write_answered(&mut self, subject: &QuotaSubject) {
        if let Some(entry) = self.entries.get_mut(subject) {
            entry.has_earlier_term_write = false;
        }
    }

    /// Number of known subjects.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// All subjects in cyclic order, starting after the given one.
    pub(super) fn following(
        &self,
        last: Option<&QuotaSubject>,
    ) -> impl Iterator<Item = &QuotaSubject> + use<'_> {
        following(&self.entries, last).map(|(subject, _)| subject)
    }

    /// Takes up to `max` of the subjects whose records have changed since they were last taken.
    pub(super) fn take_changed(&mut self, max: usize) -> BTreeSet<QuotaSubject> {
        let taken = std::iter::from_fn(|| self.changed.pop_first());
        taken.take(max).collect()
    }

    /// The subjects with a write to retry or whose outcome must be resolved.
    pub(super) fn unfinished(&self) -> impl Iterator<Item = &QuotaSubject> {
        self.unfinished.iter()
    }

    /// The record of a subject as last read.
    pub(super) fn record(&self, subject: &QuotaSubject) -> Option<&Quota> {
        let entry = self.entries.get(subject)?;
        entry.record.as_ref().map(|(_, quota)| quota)
    }

    /// Units that the zone has under every possible outcome of its writes.
    pub(super) fn units(&self, subject: &QuotaSubject) -> u32 {
        let Some(entry) = self.entries.get(subject) else {
            return 0;
        };
        let Some((_, quota)) = &entry.record else {
            return 0;
        };
        let recorded = own_units(quota, &self.zone);
        let writes = entry.outstanding.iter().chain(&entry.unsettled);
        writes
            .map(|write| own_units(&write.quota, &self.zone))
            .fold(recorded, u32::min)
    }

    /// Units that new slots may use: those of a record written under this coordinator's term.
    pub(super) fn claimed_units(&self, subject: &QuotaSubject) -> u32 {
        let claimed = self
            .record(subject)
            .is_some_and(|quota| quota.terms.get(&self.zone) == Some(&self.term));
        if claimed || self.weakness == Weakness::UnclaimedQuota {
            self.units(subject)
        } else {
            0
        }
    }

    /// Other zones with units, most units first.
    pub(super) fn other_zones(&self, subject: &QuotaSubject) -> Vec<ZoneName> {
        let Some(quota) = self.record(subject) else {
            return Vec::new();
        };
        let mut zones: Vec<(u32, &ZoneName)> = quota
            .units
            .iter()
            .filter(|(zone, units)| **zone != self.zone && **units > 0)
            .map(|(zone, units)| (*units, zone))
            .collect();
        zones.sort_by_key(|(units, zone)| (std::cmp::Reverse(*units), *zone));
        zones.into_iter().map(|(_, zone)| zone.clone()).collect()
    }

    /// Units that other zones request.
    pub(super) fn requested_by_others(&self, subject: &QuotaSubject) -> u32 {
        let others = |quota: &Quota| {
            let wanted = quota.wanted.iter().filter(|(zone, _)| **zone != self.zone);
            wanted.map(|(_, units)| *units).sum()
        };
        self.record(subject).map_or(0, others)
    }

    /// The number of units down to which the zone should free its slots.
    pub(super) fn goal(&self, subject: &QuotaSubject, rule: &QuotaRule, need: &QuotaNeed) -> u32 {
        let Some(quota) = self.record(subject) else {
            return 0;
        };
        let own = own_units(quota, &self.zone);
        let surplus = own.saturating_sub(need.retained);
        let released = surplus.min(self.requested_by_others(subject));
        let goal = own - released;
        // If the local configuration is older than the record's, the record takes precedence.
        let outdated = rule.revision < quota.rule;
        let allowed = total(quota) <= rule.limit && rule.zones.contains(&self.zone);
        if outdated || allowed {
            return goal;
        }
        let split = split_units(subject, rule.limit, &rule.zones);
        goal.min(split.get(&self.zone).copied().unwrap_or(0))
    }

    /// Reads all quotas unless a read has succeeded or is in progress.
    pub(super) fn read_all(&mut self, now: Timestamp) -> Option<CoordinatorAction> {
        if self.loaded || self.reading || now < self.next_read {
            return None;
        }
        self.reading = true;
        Some(CoordinatorAction::ReadQuotas)
    }

    /// The next operation on one record, if one is due.
    pub(super) fn step(
        &mut self,
        subject: &QuotaSubject,
        rule: &QuotaRule,
        need: &QuotaNeed,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> Option<CoordinatorAction> {
        if !self.loaded || self.highest_term > self.term {
            return None;
        }
        let goal = self.goal(subject, rule, need);
        let draft = Draft {
            zone: &self.zone,
            term: self.term,
            rule,
            need,
            weakness: self.weakness,
        };
        let entry = self.entries.entry(subject.clone()).or_default();
        if entry.has_earlier_term_write || entry.outstanding.is_some() || now < entry.next_step {
            return None;
        }
        if entry.stale {
            entry.next_step = now + settings.order_retry;
            // A record that was never read may not exist, and reading it then gives no answer.
            entry.stale = entry.record.is_some();
            return Some(CoordinatorAction::ReadQuota(subject.clone()));
        }
        let next = match &entry.record {
            None => need.requires_claim.then(|| draft.initial_record(subject)),
            Some((_, quota)) => draft.successor(quota, goal, !entry.unsettled.is_empty()),
        };
        let Some(next) = next else {
            self.unfinished.remove(subject);
            return None;
        };
        let base = entry.record.as_ref().map(|(revision, _)| *revision);
        entry.outstanding = Some(Write {
            base,
            quota: next.clone(),
        });
        Some(CoordinatorAction::WriteQuota(base, next))
    }

    pub(super) fn on_read_all(
        &mut self,
        result: Result<Vec<(Revision, Quota)>, StoreFault>,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) {
        self.reading = false;
        let Ok(quotas) = result else {
            self.next_read = now + settings.order_retry;
            return;
        };
        self.loaded = true;
        for (revision, quota) in quotas {
            self.on_changed(revision, quota);
        }
    }

    /// Applies a record that was read or reported as changed. Returns whether its revision is new.
    pub(super) fn on_changed(&mut self, revision: Revision, quota: Quota) -> bool {
        let written_under = quota.terms.get(&self.zone).copied().unwrap_or_default();
        self.highest_term = self.highest_term.max(written_under);
        let entry = self.entries.entry(quota.subject.clone()).or_default();
        let known = entry.record.as_ref().map(|(known, _)| *known);
        if known > Some(revision) {
            return false;
        }
        entry.stale = false;
        entry.unsettled.retain(|write| write.base == Some(revision));
        if entry.unsettled.is_empty() {
            self.unfinished.remove(&quota.subject);
        }
        self.changed.insert(quota.subject.clone());
        entry.record = Some((revision, quota));
        known != Some(revision)
    }

    pub(super) fn on_written(
        &mut self,
        subject: &QuotaSubject,
        result: Result<Revision, StoreFault>,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) {
        let Some(entry) = self.entries.get_mut(subject) else {
            return;
        };
        let Some(write) = entry.outstanding.take() else {
            return;
        };
        if result.is_err() {
            self.unfinished.insert(subject.clone());
        }
        match result {
            Ok(revision) => {
                self.on_changed(revision, write.quota);
            }
            Err(StoreFault::Conflict) => entry.stale = true,
            Err(StoreFault::Unavailable) => entry.next_step = now + settings.order_retry,
            Err(StoreFault::Unknown) => {
                entry.stale = true;
                entry.unsettled.push(write);
            }
        }
    }
}
