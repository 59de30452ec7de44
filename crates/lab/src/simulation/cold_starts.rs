//! Follows each artifact from the first call that finds no replica to the first that is taken.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::{ArtifactId, Timestamp};

use super::measures::Measures;

/// Idle time after which a call begins a new busy period.
const BUSY_GAP: Duration = Duration::from_secs(30);

/// An artifact that callers wait for.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Timestamp,
    limited_before: u64,
    begins_busy_period: bool,
}

/// The last load of an artifact.
#[derive(Clone, Copy, Debug)]
struct LastLoad {
    ready: Timestamp,
    physical: Duration,
}

/// All artifacts.
#[derive(Clone, Debug, Default)]
pub struct ColdStarts {
    waiting: BTreeMap<ArtifactId, Waiting>,
    last_activity: BTreeMap<ArtifactId, Timestamp>,
    last_loads: BTreeMap<ArtifactId, LastLoad>,
}

impl ColdStarts {
    /// Notes use of an artifact.
    pub fn note_activity(&mut self, artifact: &ArtifactId, now: Timestamp) {
        self.last_activity.insert(artifact.clone(), now);
    }

    /// A call has come; there is a replica or not.
    pub fn called(
        &mut self,
        artifact: &ArtifactId,
        ready: bool,
        limited_millis: u64,
        now: Timestamp,
        measures: &mut Measures,
    ) {
        let last = self.last_activity.insert(artifact.clone(), now);
        let begins_busy_period = last.is_none_or(|last| now.since(last) >= BUSY_GAP);
        if ready {
            if begins_busy_period {
                measures.starts.record(Duration::ZERO);
            }
            return;
        }
        self.waiting.entry(artifact.clone()).or_insert(Waiting {
            since: now,
            limited_before: limited_millis,
            begins_busy_period,
        });
    }

    /// A load is done.
    pub fn loaded(&mut self, artifact: &ArtifactId, physical: Duration, now: Timestamp) {
        let load = LastLoad {
            ready: now,
            physical,
        };
        self.last_loads.insert(artifact.clone(), load);
    }

    /// An engine has taken a call.
    pub fn taken(
        &mut self,
        artifact: &ArtifactId,
        limited_millis: u64,
        now: Timestamp,
        measures: &mut Measures,
    ) {
        let Some(waiting) = self.waiting.remove(artifact) else {
            return;
        };
        let took = now.since(waiting.since);
        measures.cold_starts.record(took);
        if waiting.begins_busy_period {
            measures.starts.record(took);
        }
        let physical = self.physical(artifact, waiting.since);
        if physical.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / physical.as_secs_f64();
        measures.cold_ratio.record_ratio(ratio);
        if waiting.limited_before == limited_millis {
            measures.cold_ratio_unlimited.record_ratio(ratio);
        }
    }

    /// Nobody waits any more and nobody was served.
    pub fn given_up(&mut self, artifact: &ArtifactId, measures: &mut Measures) {
        if self.waiting.remove(artifact).is_some() {
            measures.unserved += 1;
        }
    }

    /// Time that the loads since some moment take when nothing holds them up: those of an adapter
    /// and, if it was not there, of its base.
    fn physical(&self, artifact: &ArtifactId, since: Timestamp) -> Duration {
        let load_of = |artifact: &ArtifactId| {
            let load = self.last_loads.get(artifact);
            load.filter(|load| load.ready >= since)
                .map_or(Duration::ZERO, |load| load.physical)
        };
        let own = load_of(artifact);
        if artifact.is_adapter() {
            own + load_of(&artifact.base())
        } else {
            own
        }
    }
}
