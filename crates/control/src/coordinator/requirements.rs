//! The required replicas of each artifact, updated incrementally per artifact.
//!
//! A required adapter makes its base required as well. Each artifact therefore has a requirement of
//! its own, and the target of a base is merged from its own requirement and those of its adapters.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

use flaxward_types::records::QuotaSubject;
use flaxward_types::{ArtifactId, Timestamp};

use super::rounds::following;
use super::slots::subject_of;

/// The target state of one artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ReplicaTarget {
    pub(super) replicas: u32,
    pub(super) priority: u8,
    pub(super) deadline: Timestamp,
    /// Memory to reserve in addition to the artifact itself, for an adapter.
    pub(super) extra_bytes: u64,
    /// Required by demand or by a rule, and so not evictable for another artifact.
    pub(super) required: bool,
}

impl ReplicaTarget {
    /// Combines two values into one that satisfies both.
    pub(super) fn merged(mut self, other: &Self) -> Self {
        self.replicas = self.replicas.max(other.replicas);
        self.priority = self.priority.max(other.priority);
        self.deadline = self.deadline.min(other.deadline);
        self.extra_bytes = self.extra_bytes.max(other.extra_bytes);
        self.required |= other.required;
        self
    }
}

/// The targets that result from demand or rules for one artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Requirement {
    /// Target of the artifact itself.
    pub(super) own: ReplicaTarget,
    /// Target of its base, if it is an adapter.
    pub(super) of_base: Option<ReplicaTarget>,
}

impl Requirement {
    /// Combines two values into one that satisfies both.
    pub(super) fn merged(self, other: &Self) -> Self {
        let of_base = match (self.of_base, &other.of_base) {
            (Some(ours), Some(theirs)) => Some(ours.merged(theirs)),
            (ours, theirs) => ours.or_else(|| theirs.clone()),
        };
        Self {
            own: self.own.merged(&other.own),
            of_base,
        }
    }
}

/// All requirements, and the targets merged from them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RequirementTable {
    requirements: BTreeMap<ArtifactId, Requirement>,
    targets: BTreeMap<ArtifactId, ReplicaTarget>,
    by_subject: BTreeMap<QuotaSubject, BTreeSet<ArtifactId>>,
}

impl RequirementTable {
    /// The merged target of an artifact.
    pub(super) fn get(&self, artifact: &ArtifactId) -> Option<&ReplicaTarget> {
        self.targets.get(artifact)
    }

    pub(super) fn contains_key(&self, artifact: &ArtifactId) -> bool {
        self.targets.contains_key(artifact)
    }

    /// The artifacts with a target, in order.
    pub(super) fn keys(&self) -> impl Iterator<Item = &ArtifactId> {
        self.targets.keys()
    }

    /// Number of artifacts with a target.
    pub(super) fn len(&self) -> usize {
        self.targets.len()
    }

    /// The artifacts with a target in cyclic order, starting after the given one.
    pub(super) fn following(
        &self,
        last: Option<&ArtifactId>,
    ) -> impl Iterator<Item = &ArtifactId> + use<'_> {
        following(&self.targets, last).map(|(artifact, _)| artifact)
    }

    /// The targets of the artifacts that count against a subject.
    pub(super) fn of_subject(
        &self,
        subject: &QuotaSubject,
    ) -> impl Iterator<Item = (&ArtifactId, &ReplicaTarget)> + use<'_> {
        let artifacts = self.by_subject.get(subject).into_iter().flatten();
        artifacts.filter_map(|artifact| self.targets.get_key_value(artifact))
    }

    /// Sets or removes the requirement of an artifact. Returns whether it has changed.
    pub(super) fn set(&mut self, artifact: &ArtifactId, requirement: Option<Requirement>) -> bool {
        if self.requirements.get(artifact) == requirement.as_ref() {
            return false;
        }
        match requirement {
            Some(requirement) => self.requirements.insert(artifact.clone(), requirement),
            None => self.requirements.remove(artifact),
        };
        self.merge(artifact);
        if artifact.is_adapter() {
            self.merge(&artifact.base());
        }
        true
    }

    /// Recomputes the merged target of an artifact.
    fn merge(&mut self, artifact: &ArtifactId) {
        let own = self
            .requirements
            .get(artifact)
            .map(|requirement| requirement.own.clone());
        let adapters = self.adapters_of(artifact);
        let merged = adapters.fold(own, |merged, of_base| match merged {
            Some(merged) => Some(merged.merged(of_base)),
            None => Some(of_base.clone()),
        });
        let subject = subject_of(artifact);
        match merged {
            Some(merged) => {
                self.targets.insert(artifact.clone(), merged);
                let artifacts = self.by_subject.entry(subject).or_default();
                artifacts.insert(artifact.clone());
            }
            None => self.remove_target(artifact, &subject),
        }
    }

    /// The targets that the adapters of a base set for it. Adapters directly follow their base in key
    /// order.
    fn adapters_of<'a>(&'a self, base: &'a ArtifactId) -> impl Iterator<Item = &'a ReplicaTarget> {
        let following = self.requirements.range((Excluded(base), Unbounded));
        let of_model = following.take_while(|(artifact, _)| {
            !base.is_adapter() && artifact.model == base.model && artifact.version == base.version
        });
        of_model.filter_map(|(_, requirement)| requirement.of_base.as_ref())
    }

    fn remove_target(&mut self, artifact: &ArtifactId, subject: &QuotaSubject) {
        self.targets.remove(artifact);
        if let Some(artifacts) = self.by_subject.get_mut(subject) {
            artifacts.remove(artifact);
            if artifacts.is_empty() {
                self.by_subject.remove(subject);
            }
        }
    }

    /// Whether the merged targets and the index equal freshly built ones; used by tests.
    pub(super) fn is_consistent(&self) -> bool {
        let mut rebuilt = Self::default();
        for (artifact, requirement) in &self.requirements {
            rebuilt.set(artifact, Some(requirement.clone()));
        }
        *self == rebuilt
    }
}
