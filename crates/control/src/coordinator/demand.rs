//! What the gateways want, and until when that holds.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::routing::Demand;
use flaxward_types::{ArtifactId, DaemonName, Timestamp};

/// What all gateways together want of one artifact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DemandSummary {
    /// Requests waiting.
    pub(super) waiting: u32,
    /// Requests running.
    pub(super) running: u32,
    /// Highest priority among those waiting.
    pub(super) priority: u8,
    /// Earliest deadline among those waiting.
    pub(super) deadline: Timestamp,
    /// Since when there has been demand without a break.
    pub(super) since: Timestamp,
    /// Since when requests have been waiting without a break.
    pub(super) waiting_since: Option<Timestamp>,
    /// When a gateway last said that requests wait.
    pub(super) waiting_told: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct ArtifactDemand {
    gateways: BTreeMap<DaemonName, (Demand, Timestamp)>,
    since: Timestamp,
    waiting_since: Option<Timestamp>,
}

/// All demand in force.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTable {
    entries: BTreeMap<ArtifactId, ArtifactDemand>,
    last_active: BTreeMap<ArtifactId, Timestamp>,
}

impl DemandTable {
    /// Takes in a demand. Returns whether it changes what is wanted.
    pub(super) fn put(&mut self, gateway: DaemonName, demand: Demand, now: Timestamp) -> bool {
        let artifact = demand.artifact.clone();
        let active = demand.waiting > 0 || demand.running > 0;
        if active || demand.arrivals > 0 {
            self.last_active.insert(artifact.clone(), now);
        }
        if !active {
            return self.remove(&artifact, &gateway);
        }
        let entry = self
            .entries
            .entry(artifact)
            .or_insert_with(|| ArtifactDemand {
                gateways: BTreeMap::new(),
                since: now,
                waiting_since: None,
            });
        let before = entry.gateways.insert(gateway, (demand, now));
        entry.note_waiting(now);
        before.is_none() || entry.waiting_since.is_some()
    }

    fn remove(&mut self, artifact: &ArtifactId, gateway: &DaemonName) -> bool {
        let Some(entry) = self.entries.get_mut(artifact) else {
            return false;
        };
        let removed = entry.gateways.remove(gateway).is_some();
        if entry.gateways.is_empty() {
            self.entries.remove(artifact);
        }
        removed
    }

    /// Forgets a gateway.
    pub(super) fn forget_gateway(&mut self, gateway: &DaemonName) {
        self.retain(|name, _| name != gateway);
    }

    /// Forgets demand that was not renewed.
    pub(super) fn expire(&mut self, now: Timestamp, expiry: Duration) {
        self.retain(|_, at| now.since(at) < expiry);
        for entry in self.entries.values_mut() {
            entry.note_waiting(now);
        }
    }

    fn retain(&mut self, mut keep: impl FnMut(&DaemonName, Timestamp) -> bool) {
        for entry in self.entries.values_mut() {
            entry.gateways.retain(|name, (_, at)| keep(name, *at));
        }
        self.entries.retain(|_, entry| !entry.gateways.is_empty());
    }

    /// The artifacts wanted.
    pub(super) fn artifacts(&self) -> impl Iterator<Item = &ArtifactId> {
        self.entries.keys()
    }

    /// Gateways that want an artifact.
    pub(super) fn gateways(&self, artifact: &ArtifactId) -> impl Iterator<Item = &DaemonName> {
        let entry = self.entries.get(artifact);
        entry.into_iter().flat_map(|entry| entry.gateways.keys())
    }

    /// When the artifact was last wanted, if ever.
    pub(super) fn last_active(&self, artifact: &ArtifactId) -> Option<Timestamp> {
        self.last_active.get(artifact).copied()
    }

    /// What all gateways together want of an artifact.
    pub(super) fn summary(&self, artifact: &ArtifactId) -> Option<DemandSummary> {
        let entry = self.entries.get(artifact)?;
        let mut summary = DemandSummary {
            waiting: 0,
            running: 0,
            priority: 0,
            deadline: Timestamp(u64::MAX),
            since: entry.since,
            waiting_since: entry.waiting_since,
            waiting_told: None,
        };
        for (demand, at) in entry.gateways.values() {
            summary.waiting = summary.waiting.saturating_add(demand.waiting);
            summary.running = summary.running.saturating_add(demand.running);
            if demand.waiting > 0 {
                let deadline = *at + Duration::from_millis(demand.earliest_deadline_ms);
                summary.priority = summary.priority.max(demand.priority);
                summary.deadline = summary.deadline.min(deadline);
                summary.waiting_told = summary.waiting_told.max(Some(*at));
            }
        }
        Some(summary)
    }
}

impl ArtifactDemand {
    fn note_waiting(&mut self, now: Timestamp) {
        if self.gateways.values().any(|(demand, _)| demand.waiting > 0) {
            self.waiting_since.get_or_insert(now);
        } else {
            self.waiting_since = None;
        }
    }
}
