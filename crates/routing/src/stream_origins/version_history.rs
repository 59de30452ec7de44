//! Software versions that the runners of each service have had.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use super::version_record::{MAX_RECORDED_VERSIONS, RecordedVersion, VersionRecord};
use super::{MAX_LIFE, OriginKnowledge};
use crate::names::{ServiceName, SoftwareVersion};
use crate::runners::RunnerTable;

/// Time for which versions that have left are remembered. It exceeds [`MAX_LIFE`] for requests with longer deadlines.
const VERSION_RETENTION: Duration = Duration::from_hours(1);

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

    fn recorded(&self, service: &ServiceName, now: Timestamp) -> Vec<RecordedVersion> {
        let listed = self.listed.iter().map(|version| (version, Duration::ZERO));
        let earlier = self.earlier.iter();
        let earlier = earlier.map(|(version, until)| (version, now.since(*until)));
        let recorded = listed.chain(earlier.filter(|(_, ago)| *ago <= MAX_LIFE));
        recorded
            .map(|(version, ago)| RecordedVersion {
                service: service.clone(),
                version: version.clone(),
                listed_ms_ago: saturating_ms(ago),
            })
            .collect()
    }
}

fn saturating_ms(duration: Duration) -> u32 {
    u32::try_from(millis(duration)).unwrap_or(u32::MAX)
}

/// Versions of all services, as one daemon has known them.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    services: HashMap<ServiceName, ServiceVersions>,
    /// Since when this daemon knows all runners.
    known_since: Option<Timestamp>,
    /// Time before that for which others knew them, as recorded.
    known_before: Duration,
    /// Longest life of a stream that a client has asked for.
    longest_life: Duration,
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
                .retain(|_, until| now.since(*until) <= VERSION_RETENTION);
        }
        for (service, listed) in listed {
            let versions = self.services.entry(service.clone()).or_default();
            versions.listed = listed;
        }
    }

    /// See [`super::StreamOrigins::note_life`].
    pub(super) fn note_life(&mut self, life: Duration) {
        self.longest_life = self.longest_life.max(life.min(MAX_LIFE));
    }

    /// See [`super::StreamOrigins::note_first_lease`].
    pub(super) fn note_first_lease(&mut self) {
        self.known_before = MAX_LIFE;
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

    /// Time for which all runners have been known.
    pub(super) fn known_for(&self, now: Timestamp) -> Duration {
        let known_since = self.known_since;
        known_since.map_or(Duration::ZERO, |since| now.since(since) + self.known_before)
    }

    /// See [`super::StreamOrigins::version_record`].
    pub(super) fn record(&self, revision: u64, now: Timestamp) -> Option<VersionRecord> {
        self.known_since?;
        let services = self.services.iter();
        let versions: Vec<RecordedVersion> = services
            .flat_map(|(service, versions)| versions.recorded(service, now))
            .take(MAX_RECORDED_VERSIONS + 1)
            .collect();
        (versions.len() <= MAX_RECORDED_VERSIONS).then(|| VersionRecord {
            revision,
            // No stream lasts longer. Without the limit, a record that can't be adopted any more would count as better.
            known_for_ms: saturating_ms(self.known_for(now).min(MAX_LIFE)),
            versions,
        })
    }

    /// See [`super::StreamOrigins::adopt`].
    pub(super) fn adopt(&mut self, record: &VersionRecord, now: Timestamp) {
        for recorded in &record.versions {
            let until = now - Duration::from_millis(recorded.listed_ms_ago.into());
            let versions = self.services.entry(recorded.service.clone()).or_default();
            let known = versions.earlier.entry(recorded.version.clone());
            let known = known.or_insert(until);
            *known = until.max(*known);
        }
        self.known_since = Some(now);
        self.known_before = Duration::from_millis(record.known_for_ms.into());
    }

    /// What the versions of a service tell of a stream that began within a window before now. Neither the window nor
    /// what clients have asked for so far is an upper bound for the age of a stream, so a version counts for as long as
    /// any stream may live.
    pub(super) fn knowledge(
        &self,
        service: &ServiceName,
        window: Duration,
        now: Timestamp,
    ) -> OriginKnowledge {
        let start = now - window.max(MAX_LIFE);
        let versions = self.services.get(service);
        let versions = versions.map_or_else(BTreeSet::new, |it| it.since(start));
        let mut versions = versions.into_iter();
        match (versions.next(), versions.next()) {
            (None, _) => OriginKnowledge::NoRunner,
            (Some(Some(version)), None) => OriginKnowledge::OneVersion {
                version: version.clone(),
                covers_window: self.known_for(now) >= window.max(self.longest_life),
            },
            _ => OriginKnowledge::SeveralVersions,
        }
    }
}
