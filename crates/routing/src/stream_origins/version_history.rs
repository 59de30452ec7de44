//! Software versions that the runners of each service have had.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::{MAX_LIFE, OriginKnowledge};
use crate::names::{ServiceName, SoftwareVersion};
use crate::runners::RunnerTable;

/// A version, or `None` for runners whose version is unknown.
type ListedVersion = Option<SoftwareVersion>;

/// Versions of one service.
#[derive(Debug, Default)]
struct ServiceVersions {
    listed: BTreeSet<ListedVersion>,
    /// Versions that are no longer listed, with the time until which they were.
    earlier: BTreeMap<ListedVersion, Timestamp>,
}

impl ServiceVersions {
    /// The versions listed at any time since `start`.
    fn since(&self, start: Timestamp) -> BTreeSet<&ListedVersion> {
        let earlier = self.earlier.iter().filter(|(_, until)| **until >= start);
        let earlier = earlier.map(|(version, _)| version);
        self.listed.iter().chain(earlier).collect()
    }
}

/// Versions of all services, as one daemon has known them.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    services: HashMap<ServiceName, ServiceVersions>,
    /// Since when all runners are known.
    known_since: Option<Timestamp>,
}

impl VersionHistory {
    /// Records the versions of all runners.
    pub(super) fn note_runners(&mut self, runners: &RunnerTable, now: Timestamp) {
        self.known_since.get_or_insert(now);
        let mut listed: HashMap<&ServiceName, BTreeSet<ListedVersion>> = HashMap::new();
        for runner in runners.iter() {
            let versions = listed.entry(&runner.service).or_default();
            if !versions.contains(&runner.software_version) {
                versions.insert(runner.software_version.clone());
            }
        }
        for (service, versions) in &mut self.services {
            let listed = listed.remove(service).unwrap_or_default();
            let before = std::mem::replace(&mut versions.listed, listed);
            versions
                .earlier
                .extend(before.into_iter().map(|version| (version, now)));
            versions
                .earlier
                .retain(|_, until| now.since(*until) <= MAX_LIFE);
        }
        for (service, listed) in listed {
            let versions = self.services.entry(service.clone()).or_default();
            versions.listed = listed;
        }
    }

    /// Records a version that was listed at some time up to now.
    pub(super) fn note_listed(
        &mut self,
        service: &ServiceName,
        version: Option<&SoftwareVersion>,
        now: Timestamp,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        let version = version.cloned();
        if !versions.listed.contains(&version) {
            versions.earlier.insert(version, now);
        }
    }

    /// Whether any service has had several versions lately.
    pub(super) fn any_has_several(&self, now: Timestamp) -> bool {
        let mut services = self.services.values();
        services.any(|versions| versions.since(now - MAX_LIFE).len() > 1)
    }

    /// Whether a service has had several versions lately, or some that are unknown.
    pub(super) fn has_several(&self, service: &ServiceName, now: Timestamp) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| versions.since(now - MAX_LIFE).len() > 1)
    }

    fn has_known_for(&self, window: Duration, now: Timestamp) -> bool {
        let known_since = self.known_since;
        known_since.is_some_and(|since| now.since(since) >= window)
    }

    /// What the versions of a service tell of a stream that began within a window before now.
    pub(super) fn knowledge(
        &self,
        service: &ServiceName,
        window: Duration,
        now: Timestamp,
    ) -> OriginKnowledge {
        let start = now - window;
        let versions = self.services.get(service);
        let versions = versions.map_or_else(BTreeSet::new, |it| it.since(start));
        let mut versions = versions.into_iter();
        match (versions.next(), versions.next()) {
            (None, _) => OriginKnowledge::NoRunner,
            (Some(Some(version)), None) => OriginKnowledge::OneVersion {
                version: version.clone(),
                covers_window: self.has_known_for(window, now),
            },
            _ => OriginKnowledge::SeveralVersions,
        }
    }
}
