//! Rules derived from the configuration: the limit of each quota, the replicas kept loaded, and the
//! changes between revisions.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::records::QuotaSubject;
use flaxward_types::{ArtifactId, ConfigurationItem, ItemKey, ModelName, Revision};

use super::homes::configured;
use super::leading::{Context, Leading};
use super::quota_draft::QuotaRule;
use super::slots::subject_of;
use super::units::split_units;

impl Leading {
    /// Applies the policy, the drains and the kept replicas when the configuration has changed.
    pub(super) fn apply_configuration(&mut self, context: &Context) {
        let configuration = context.configuration;
        if self.configured == Some(configuration.revision()) {
            return;
        }
        let known = self.configured.unwrap_or_default();
        self.mark_changed_rules(known, context);
        self.configured = Some(configuration.revision());
        let policy = configuration.policy();
        let affects_all = known == Revision(0) || policy != self.policy;
        self.policy = policy;
        self.drained = configuration.drained();
        self.kept = self.kept_by_rule(context);
        if affects_all {
            self.touch_where(|_| true, context);
        }
    }

    /// Marks the quotas and artifacts that the configuration has changed since a revision.
    fn mark_changed_rules(&mut self, known: Revision, context: &Context) {
        let configured = configured(context);
        let changes = Changes::since(known, context);
        let removed = missing(&self.configured_artifacts, &configured);
        let mut models: BTreeSet<ModelName> = removed.map(|gone| gone.model.clone()).collect();
        models.extend(changes.models);
        models.extend(self.models_without_served_version(context));
        // The zones of a model also apply to its adapters.
        let of_models = self.configured_artifacts.iter().chain(&configured);
        let of_models = of_models.filter(|artifact| models.contains(&artifact.model));
        // With the first configuration, every quota that is read is checked anyway.
        if known > Revision(0) {
            self.quotas_due.extend(of_models.map(subject_of));
            self.quotas_due.extend(changes.adapters.iter().cloned());
        }
        let touches = |artifact: &ArtifactId| {
            models.contains(&artifact.model) || changes.adapters.contains(&subject_of(artifact))
        };
        self.touch_where(touches, context);
        self.configured_artifacts = configured;
    }

    /// Models whose previously served version is no longer configured.
    fn models_without_served_version(&self, context: &Context) -> Vec<ModelName> {
        let bases = self.configured_artifacts.iter();
        let bases = bases.take_while(|artifact| !artifact.is_adapter());
        bases
            .filter(|base| context.configuration.bytes(base).is_none())
            .map(|base| base.model.clone())
            .collect()
    }

    /// Number of replicas of each artifact that the rules keep loaded in this zone.
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

    /// The limits that the configuration sets for a subject.
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
            // A removed item has no revision; that of the whole configuration is newer.
            revision: revision.unwrap_or(configuration.revision()),
        }
    }
}

/// Items written after a revision. Removed items are not included.
struct Changes {
    /// Models that have changed themselves or in one of their versions.
    models: BTreeSet<ModelName>,
    adapters: BTreeSet<QuotaSubject>,
}

impl Changes {
    fn since(known: Revision, context: &Context) -> Self {
        let mut changes = Self {
            models: BTreeSet::new(),
            adapters: BTreeSet::new(),
        };
        for (key, revision, _) in context.configuration.items() {
            if revision <= known {
                continue;
            }
            match key {
                ItemKey::Model(model) | ItemKey::Version(model, _) => {
                    changes.models.insert(model.clone());
                }
                ItemKey::Adapter(model, adapter) => {
                    let subject = QuotaSubject::Adapter(model.clone(), adapter.clone());
                    changes.adapters.insert(subject);
                }
                ItemKey::Service(_) | ItemKey::Drain(_) | ItemKey::Policy => {}
            }
        }
        changes
    }
}

/// The artifacts that are in one list but not in another, both in the order of [`configured`].
fn missing<'a>(
    before: &'a [ArtifactId],
    after: &'a [ArtifactId],
) -> impl Iterator<Item = &'a ArtifactId> {
    let order = |artifact: &'a ArtifactId| (artifact.is_adapter(), artifact);
    let mut after = after.iter().peekable();
    before.iter().filter(move |artifact| {
        while after
            .next_if(|other| order(other) < order(artifact))
            .is_some()
        {}
        after.peek() != Some(artifact)
    })
}
