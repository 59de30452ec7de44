//! What is wanted of each artifact, kept up to date artifact by artifact.
//!
//! An adapter that is wanted makes its base wanted as well. So each artifact has wants of its own,
//! and what is wanted of a base is merged from its own and those of its adapters.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

use flaxward_types::records::QuotaSubject;
use flaxward_types::{ArtifactId, Timestamp};

use super::rounds::following;
use super::slots::subject_of;

/// What is wanted of an artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Wanted {
    pub(super) replicas: u32,
    pub(super) priority: u8,
    pub(super) deadline: Timestamp,
    /// Memory to leave room for besides the artifact itself: that of an adapter.
    pub(super) extra_bytes: u64,
    /// Demanded or kept by a rule, so that it must not make way for something else.
    pub(super) firm: bool,
}

impl Wanted {
    /// What satisfies both.
    pub(super) fn merged(mut self, other: &Self) -> Self {
        self.replicas = self.replicas.max(other.replicas);
        self.priority = self.priority.max(other.priority);
        self.deadline = self.deadline.min(other.deadline);
        self.extra_bytes = self.extra_bytes.max(other.extra_bytes);
        self.firm |= other.firm;
        self
    }
}

/// What is wanted for the sake of one artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Want {
    /// Of itself.
    pub(super) own: Wanted,
    /// Of its base, if it is an adapter.
    pub(super) of_base: Option<Wanted>,
}

impl Want {
    /// What satisfies both.
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

/// All that is wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct WantTable {
    wants: BTreeMap<ArtifactId, Want>,
    wanted: BTreeMap<ArtifactId, Wanted>,
    by_subject: BTreeMap<QuotaSubject, BTreeSet<ArtifactId>>,
}

impl WantTable {
    /// What is wanted of an artifact.
    pub(super) fn get(&self, artifact: &ArtifactId) -> Option<&Wanted> {
        self.wanted.get(artifact)
    }

    pub(super) fn contains_key(&self, artifact: &ArtifactId) -> bool {
        self.wanted.contains_key(artifact)
    }

    /// The artifacts wanted, in order.
    pub(super) fn keys(&self) -> impl Iterator<Item = &ArtifactId> {
        self.wanted.keys()
    }

    /// Number of artifacts wanted.
    pub(super) fn len(&self) -> usize {
        self.wanted.len()
    }

    /// The artifacts wanted that follow one in the order, round and round.
    pub(super) fn following(
        &self,
        last: Option<&ArtifactId>,
    ) -> impl Iterator<Item = &ArtifactId> + use<'_> {
        following(&self.wanted, last).map(|(artifact, _)| artifact)
    }

    /// What is wanted of the artifacts that count against a subject.
    pub(super) fn of_subject(
        &self,
        subject: &QuotaSubject,
    ) -> impl Iterator<Item = (&ArtifactId, &Wanted)> + use<'_> {
        let artifacts = self.by_subject.get(subject).into_iter().flatten();
        artifacts.filter_map(|artifact| self.wanted.get_key_value(artifact))
    }

    /// Sets what is wanted for the sake of an artifact.
    pub(super) fn set(&mut self, artifact: &ArtifactId, want: Option<Want>) {
        if self.wants.get(artifact) == want.as_ref() {
            return;
        }
        match want {
            Some(want) => self.wants.insert(artifact.clone(), want),
            None => self.wants.remove(artifact),
        };
        self.merge(artifact);
        if artifact.is_adapter() {
            self.merge(&artifact.base());
        }
    }

    /// Works out anew what is wanted of an artifact.
    fn merge(&mut self, artifact: &ArtifactId) {
        let own = self.wants.get(artifact).map(|want| want.own.clone());
        let adapters = self.adapters_of(artifact);
        let merged = adapters.fold(own, |merged, of_base| match merged {
            Some(merged) => Some(merged.merged(of_base)),
            None => Some(of_base.clone()),
        });
        let subject = subject_of(artifact);
        match merged {
            Some(merged) => {
                self.wanted.insert(artifact.clone(), merged);
                let artifacts = self.by_subject.entry(subject).or_default();
                artifacts.insert(artifact.clone());
            }
            None => self.take_out(artifact, &subject),
        }
    }

    /// What the adapters of a base want of it. They follow it in the order.
    fn adapters_of<'a>(&'a self, base: &'a ArtifactId) -> impl Iterator<Item = &'a Wanted> {
        let following = self.wants.range((Excluded(base), Unbounded));
        let of_model = following.take_while(|(artifact, _)| {
            !base.is_adapter() && artifact.model == base.model && artifact.version == base.version
        });
        of_model.filter_map(|(_, want)| want.of_base.as_ref())
    }

    fn take_out(&mut self, artifact: &ArtifactId, subject: &QuotaSubject) {
        self.wanted.remove(artifact);
        if let Some(artifacts) = self.by_subject.get_mut(subject) {
            artifacts.remove(artifact);
            if artifacts.is_empty() {
                self.by_subject.remove(subject);
            }
        }
    }

    /// Whether the merged wants and the index say the same as ones made anew; for proofs.
    pub(super) fn is_consistent(&self) -> bool {
        let mut anew = Self::default();
        for (artifact, want) in &self.wants {
            anew.set(artifact, Some(want.clone()));
        }
        *self == anew
    }
}
