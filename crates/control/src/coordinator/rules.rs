//! What the configuration says: the limit of each quota, what is kept loaded, what has changed.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::records::QuotaSubject;
use flaxward_types::{ArtifactId, ConfigurationItem, ItemKey, ModelName, Revision};

use super::homes::configured;
use super::leading::{Context, Leading};
use super::quota::{QuotaRule, split_units};
use super::slots::subject_of;

impl Leading {
    /// Takes over the policy and the drains when the configuration has changed.
    pub(super) fn apply_configuration(&mut self, context: &Context) {
        let configuration = context.configuration;
        if self.configured == Some(configuration.revision()) {
            return;
        }
        self.touch_all(context);
        self.note_changed_rules(context);
        self.configured = Some(configuration.revision());
        self.policy = configuration.policy();
        self.drained = configuration.drained();
        self.kept = self.kept_by_rule(context);
        self.touched.extend(self.kept.keys().cloned());
    }

    /// Notes which rules the configuration has changed since it was last looked at.
    fn note_changed_rules(&mut self, context: &Context) {
        let known = self.configured.unwrap_or_default();
        let configured = configured(context);
        let models = changed_models(known, context);
        let removed = self
            .configured_artifacts
            .iter()
            .filter(|artifact| context.configuration.bytes(artifact).is_none());
        // A model's zones count for its adapters as well.
        let of_models = configured
            .iter()
            .filter(|artifact| models.contains(&artifact.model));
        let changed = removed.chain(of_models).map(subject_of);
        self.rules_changed.extend(changed);
        self.rules_changed.extend(changed_adapters(known, context));
        self.configured_artifacts = configured;
    }

    /// Replicas that the rules keep loaded in this zone.
    pub(super) fn kept_by_rule(&self, context: &Context) -> BTreeMap<ArtifactId, u32> {
        let mut kept = BTreeMap::new();
        for (key, _, item) in context.configuration.items() {
            let (ItemKey::Model(model), ConfigurationItem::Model(spec)) = (key, item) else {
                continue;
            };
            if spec.copies.at_least == 0 {
                continue;
            }
            let subject = QuotaSubject::Model(model.clone());
            let rule = self.rule(&subject, context);
            let split = split_units(&subject, spec.copies.at_least.min(rule.limit), &rule.zones);
            let share = split.get(context.zone).copied().unwrap_or(0);
            let artifact = ArtifactId {
                model: model.clone(),
                version: spec.serving.clone(),
                adapter: None,
            };
            if share > 0 && context.configuration.bytes(&artifact).is_some() {
                kept.insert(artifact, share);
            }
        }
        kept
    }

    /// What the configuration says about a subject.
    pub(super) fn rule(&self, subject: &QuotaSubject, context: &Context) -> QuotaRule {
        let configuration = context.configuration;
        let revision_of = |key: &ItemKey| configuration.item(key).map(|(revision, _)| *revision);
        let all_zones: BTreeSet<_> = context.zones.iter().cloned().collect();
        let (QuotaSubject::Model(model) | QuotaSubject::Adapter(model, _)) = subject else {
            return QuotaRule {
                limit: self.policy.weight_store_parallel,
                zones: all_zones,
                revision: revision_of(&ItemKey::Policy).unwrap_or_default(),
            };
        };
        let model_key = ItemKey::Model(model.clone());
        let mut revision = revision_of(&model_key);
        let copies = configuration.model(model).map(|spec| &spec.copies);
        let mut limit = copies.map_or(0, |copies| copies.at_most);
        if let QuotaSubject::Adapter(_, adapter) = subject {
            let key = ItemKey::Adapter(model.clone(), adapter.clone());
            revision = revision.max(revision_of(&key));
            limit = match configuration.item(&key) {
                Some((_, ConfigurationItem::Adapter(spec))) if copies.is_some() => spec.at_most,
                _ => 0,
            };
        }
        let chosen = copies
            .map(|copies| &copies.zones)
            .filter(|zones| !zones.is_empty());
        let zones = match chosen {
            Some(chosen) => all_zones.intersection(chosen).cloned().collect(),
            None => all_zones,
        };
        QuotaRule {
            limit,
            zones,
            // A removed item leaves no revision behind; the configuration's own is newer.
            revision: revision.unwrap_or(configuration.revision()),
        }
    }
}

/// Models changed after a revision.
fn changed_models<'a>(known: Revision, context: &Context<'a>) -> BTreeSet<&'a ModelName> {
    let changed = context.configuration.items();
    let changed = changed.filter(|(_, revision, _)| *revision > known);
    let model = |key: &'a ItemKey| match key {
        ItemKey::Model(model) => Some(model),
        _ => None,
    };
    changed.filter_map(|(key, ..)| model(key)).collect()
}

/// Adapters changed after a revision.
fn changed_adapters(known: Revision, context: &Context) -> Vec<QuotaSubject> {
    let changed = context.configuration.items();
    let changed = changed.filter(|(_, revision, _)| *revision > known);
    let adapter = |key: &ItemKey| match key {
        ItemKey::Adapter(model, adapter) => {
            Some(QuotaSubject::Adapter(model.clone(), adapter.clone()))
        }
        _ => None,
    };
    changed.filter_map(|(key, ..)| adapter(key)).collect()
}
