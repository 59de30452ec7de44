//! Gives each configured artifact a home ahead of need: a recorded slot, so that a wake needs no
//! write and works while the store is down.

use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, ConfigurationItem, ItemKey, RunnerName};

use super::choice::{SlotSource, rank};
use super::focus::next_slice;
use super::leading::{Context, Leading, slot};
use super::placement::subject_of;

/// Homes added in one write.
const HOMES_PER_WRITE: usize = 4;
/// Quota records claimed ahead of need at one time.
const CLAIMS_AT_ONCE: usize = 4;

impl Leading {
    /// Wishes for homes for some artifacts that have none.
    pub(super) fn find_homes(&mut self, context: &Context) {
        self.homes_wanted.clear();
        let busy = self.loads.values().any(|load| !load.is_ordered());
        if busy || !context.may_record || !self.quotas.loaded() {
            return;
        }
        let slice = next_slice(&mut self.cursors.homes, self.configured_artifacts.len());
        let mut found = 0;
        let mut first = None;
        for place in slice {
            if found == HOMES_PER_WRITE || self.homes_wanted.len() == CLAIMS_AT_ONCE {
                // Wishes and claims may come to nothing, so the next round begins with them.
                self.cursors.homes = first.unwrap_or(place);
                return;
            }
            let artifact = self.configured_artifacts[place].clone();
            if self.placement.slots().has(&artifact) {
                continue;
            }
            let claims = self.homes_wanted.len();
            let has_found = self.find_home(&artifact, context);
            found += usize::from(has_found);
            if has_found || self.homes_wanted.len() > claims {
                first.get_or_insert(place);
            }
        }
    }

    fn find_home(&mut self, artifact: &ArtifactId, context: &Context) -> bool {
        let subject = subject_of(artifact);
        if !self.may_have_home(artifact, &subject, context) {
            return false;
        }
        let Some(runner) = self.home_for(artifact, context) else {
            return false;
        };
        match self.slot_source(artifact, context) {
            SlotSource::Unit => {}
            SlotSource::Replace(old) if is_outdated(&old, context) => {
                self.placement.wish_removed(&old);
            }
            SlotSource::Replace(_) | SlotSource::None => {
                let claimed = self.quotas.claimed_units(&subject);
                let units = self.quotas.units(&subject);
                if claimed < units || self.quotas.record(&subject).is_none() {
                    self.homes_wanted.insert(subject);
                }
                return false;
            }
        }
        self.placement.wish_added(slot(artifact, &runner));
        true
    }

    /// Whether the zone has a unit for a home, or may get one with the first split.
    fn may_have_home(
        &self,
        artifact: &ArtifactId,
        subject: &QuotaSubject,
        context: &Context,
    ) -> bool {
        let rule = self.rule(subject, context);
        let allowed = rule.limit > 0 && rule.zones.contains(context.zone);
        let record = self.quotas.record(subject);
        let has_units = record.is_none() || self.quotas.units(subject) > 0;
        // A zone that is about to give its units away must not take them up again.
        let asked = self.quotas.asked_by_others(subject) > 0;
        allowed && has_units && !asked && context.configuration.bytes(artifact).is_some()
    }

    /// The runner for a home: with the base, if it is an adapter; else the one with the least memory
    /// promised.
    fn home_for(&self, artifact: &ArtifactId, context: &Context) -> Option<RunnerName> {
        let bytes = context.configuration.bytes(artifact)?;
        let fit =
            |name: &&RunnerName| self.takes_loads(name, context.now) && self.could_fit(name, bytes);
        if artifact.is_adapter() {
            let base = artifact.base();
            let homes = self.placement.slots().of_subject(&subject_of(&base));
            let homes = homes.filter(|slot| slot.artifact == base);
            return homes.map(|slot| &slot.runner).find(fit).cloned();
        }
        let promised = |name: &RunnerName| -> u64 {
            let slots = self.placement.on_runner(name);
            slots
                .filter_map(|slot| context.configuration.bytes(&slot.artifact))
                .sum()
        };
        let candidates = self.runners.keys().filter(fit);
        candidates
            .min_by_key(|name| (promised(name), rank(artifact, name)))
            .cloned()
    }
}

/// Whether a slot is the home of a version that requests no longer name by default.
fn is_outdated(old: &Slot, context: &Context) -> bool {
    let model = context.configuration.model(&old.artifact.model);
    model.is_none_or(|model| model.serving != old.artifact.version)
}

/// The artifacts that requests name by default, models first and each kind in order.
pub(super) fn configured(context: &Context) -> Vec<ArtifactId> {
    let configuration = context.configuration;
    let mut artifacts = Vec::new();
    for (key, _, item) in configuration.items() {
        let (model, adapter) = match (key, item) {
            (ItemKey::Model(model), ConfigurationItem::Model(_)) => (model, None),
            (ItemKey::Adapter(model, adapter), ConfigurationItem::Adapter(_)) => {
                (model, Some(adapter.clone()))
            }
            _ => continue,
        };
        let Some(spec) = configuration.model(model) else {
            continue;
        };
        artifacts.push(ArtifactId {
            model: model.clone(),
            version: spec.serving.clone(),
            adapter,
        });
    }
    // Keys of models come before those of adapters.
    artifacts
}
