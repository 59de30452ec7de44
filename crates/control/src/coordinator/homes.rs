//! Assigns each configured artifact a home before it is needed: a recorded slot, so that a wake
//! needs no write and works while the store is down.

use flaxward_types::configuration::ModelSpec;
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, ConfigurationItem, ItemKey, ModelName, RunnerName};

use super::choice::{SlotSource, rank};
use super::leading::{Context, Leading, slot};
use super::placement::subject_of;
use super::plan_scope::next_slice;

/// Maximum number of homes added in one write.
const MAX_HOMES_PER_WRITE: usize = 4;
/// Maximum number of quota records claimed for homes at one time.
const MAX_PENDING_CLAIMS: usize = 4;

impl Leading {
    /// Requests homes for some of the artifacts that have none.
    pub(super) fn find_homes(&mut self, context: &Context) {
        self.homes_wanted.clear();
        let busy = self.loads.values().any(|load| !load.is_ordered());
        if busy || !context.may_record || !self.quotas.loaded() {
            return;
        }
        let slice = next_slice(
            &mut self.cursors.homes,
            self.configured_artifacts.len(),
            context,
        );
        let mut found = 0;
        let mut first = None;
        for index in slice {
            if found == MAX_HOMES_PER_WRITE || self.homes_wanted.len() == MAX_PENDING_CLAIMS {
                // Requested slots and claims may fail, so the next round starts with them.
                self.cursors.homes = first.unwrap_or(index);
                return;
            }
            let artifact = self.configured_artifacts[index].clone();
            if self.placement.slots().has(&artifact) {
                continue;
            }
            let claims = self.homes_wanted.len();
            let has_found = self.find_home(&artifact, context);
            found += usize::from(has_found);
            if has_found || self.homes_wanted.len() > claims {
                first.get_or_insert(index);
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
                self.placement.request_removal(&old);
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
        self.placement.request_addition(slot(artifact, &runner));
        true
    }

    /// Whether the zone has a unit for a home, or may receive one by the initial split.
    fn may_have_home(
        &self,
        artifact: &ArtifactId,
        subject: &QuotaSubject,
        context: &Context,
    ) -> bool {
        let record = self.quotas.record(subject);
        let has_units = record.is_none() || self.quotas.units(subject) > 0;
        // A zone that is about to release its units to others must not occupy them again.
        let is_requested = self.quotas.requested_by_others(subject) > 0;
        if !has_units || is_requested || context.configuration.bytes(artifact).is_none() {
            return false;
        }
        let rule = self.rule(subject, context);
        rule.limit > 0 && rule.zones.contains(context.zone)
    }

    /// The runner for a home: for an adapter, one with a slot of its base; otherwise the one with the
    /// least memory assigned to slots.
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
        let assigned_bytes = |name: &RunnerName| -> u64 {
            let slots = self.placement.on_runner(name);
            slots
                .filter_map(|slot| context.configuration.bytes(&slot.artifact))
                .sum()
        };
        let candidates = self.runners.keys().filter(fit);
        candidates
            .min_by_key(|name| (assigned_bytes(name), rank(artifact, name)))
            .cloned()
    }
}

/// Whether a slot is the home of a version that is no longer the default for requests.
fn is_outdated(old: &Slot, context: &Context) -> bool {
    let model = context.configuration.model(&old.artifact.model);
    model.is_none_or(|model| model.serving != old.artifact.version)
}

/// The artifacts that requests use by default: models first, then adapters, each sorted.
pub(super) fn configured(context: &Context) -> Vec<ArtifactId> {
    let configuration = context.configuration;
    let mut artifacts = Vec::new();
    // The adapters of a model are adjacent.
    let mut last: Option<(&ModelName, Option<&ModelSpec>)> = None;
    for (key, _, item) in configuration.items() {
        let (model, adapter) = match (key, item) {
            (ItemKey::Model(model), ConfigurationItem::Model(_)) => (model, None),
            (ItemKey::Adapter(model, adapter), ConfigurationItem::Adapter(_)) => {
                (model, Some(adapter.clone()))
            }
            _ => continue,
        };
        let spec = match last {
            Some((known, spec)) if known == model => spec,
            _ => configuration.model(model),
        };
        last = Some((model, spec));
        let Some(spec) = spec else {
            continue;
        };
        artifacts.push(ArtifactId {
            model: model.clone(),
            version: spec.serving.clone(),
            adapter,
        });
    }
    // Model keys sort before adapter keys.
    artifacts
}
