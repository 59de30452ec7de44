//! What the gateways want, and until when that holds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::routing::Demand;
use flaxward_types::{ArtifactId, DaemonName, Timestamp};

use super::interface::CoordinatorSettings;

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
    /// Artifacts that requests wait for.
    waiting: BTreeSet<ArtifactId>,
    /// No demand expires before this.
    next_expiry: Timestamp,
    last_active: BTreeMap<ArtifactId, Timestamp>,
}

impl DemandTable {
    /// Takes in a demand. Returns whether it changes what is wanted.
    pub(super) fn put(&mut self, gateway: DaemonName, demand: Demand, now: Timestamp) -> bool {
        let artifact = demand.artifact.clone();
        let active = demand.waiting > 0 || demand.running > 0;
        if active || demand.arrivals > 0 || self.is_running(&artifact) {
            self.last_active.insert(artifact.clone(), now);
        }
        if !active {
            return self.remove(&artifact, &gateway);
        }
        let entry = self
            .entries
            .entry(artifact.clone())
            .or_insert_with(|| ArtifactDemand {
                gateways: BTreeMap::new(),
                since: now,
                waiting_since: None,
            });
        let before = entry.gateways.insert(gateway, (demand, now));
        entry.note_waiting(now);
        let waits = entry.waiting_since.is_some();
        if waits {
            self.waiting.insert(artifact);
        } else {
            self.waiting.remove(&artifact);
        }
        before.is_none() || waits
    }

    fn remove(&mut self, artifact: &ArtifactId, gateway: &DaemonName) -> bool {
        let Some(entry) = self.entries.get_mut(artifact) else {
            return false;
        };
        let removed = entry.gateways.remove(gateway).is_some();
        if entry.gateways.is_empty() {
            self.entries.remove(artifact);
            self.waiting.remove(artifact);
        }
        removed
    }

    /// Forgets a gateway. Returns the artifacts that it wanted.
    pub(super) fn forget_gateway(&mut self, gateway: &DaemonName) -> Vec<ArtifactId> {
        self.retain(|name, _, _| name != gateway)
    }

    /// Whether requests run on the artifact, as far as was told.
    pub(super) fn is_running(&self, artifact: &ArtifactId) -> bool {
        let entry = self.entries.get(artifact);
        let mut demands = entry.iter().flat_map(|entry| entry.gateways.values());
        demands.any(|(demand, _)| demand.running > 0)
    }

    /// Forgets demand that was not renewed. Returns the artifacts that it was about.
    pub(super) fn expire(
        &mut self,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> Vec<ArtifactId> {
        self.settle_waiting(now);
        if now < self.next_expiry {
            return Vec::new();
        }
        let expired = self.retain(|_, demand, at| now < expiry(demand, at, settings));
        let demands = self
            .entries
            .values()
            .flat_map(|entry| entry.gateways.values());
        let earliest = demands
            .map(|(demand, at)| expiry(demand, *at, settings))
            .min();
        // No demand that comes in later expires sooner than this.
        let soonest = now + settings.demand_expiry.min(settings.running_demand_expiry);
        self.next_expiry = earliest.map_or(soonest, |earliest| earliest.min(soonest));
        self.settle_waiting(now);
        expired
    }

    /// Notes where nobody waits any more.
    fn settle_waiting(&mut self, now: Timestamp) {
        let entries = &mut self.entries;
        self.waiting.retain(|artifact| {
            entries.get_mut(artifact).is_some_and(|entry| {
                entry.note_waiting(now);
                entry.waiting_since.is_some()
            })
        });
    }

    fn retain(
        &mut self,
        keep: impl Fn(&DaemonName, &Demand, Timestamp) -> bool,
    ) -> Vec<ArtifactId> {
        let mut fewer = Vec::new();
        for (artifact, entry) in &mut self.entries {
            let before = entry.gateways.len();
            let gateways = &mut entry.gateways;
            gateways.retain(|name, (demand, at)| keep(name, demand, *at));
            if entry.gateways.len() < before {
                fewer.push(artifact.clone());
            }
        }
        self.entries.retain(|_, entry| !entry.gateways.is_empty());
        fewer
    }

    /// The artifacts that requests wait for.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &ArtifactId> {
        self.waiting.iter()
    }

    /// The artifacts wanted.
    pub(super) fn artifacts(&self) -> impl Iterator<Item = &ArtifactId> {
        self.entries.keys()
    }

    /// Whether an artifact is wanted.
    pub(super) fn is_demanded(&self, artifact: &ArtifactId) -> bool {
        self.entries.contains_key(artifact)
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
        };
        for (demand, at) in entry.gateways.values() {
            summary.waiting = summary.waiting.saturating_add(demand.waiting);
            summary.running = summary.running.saturating_add(demand.running);
            if demand.waiting > 0 {
                let deadline = *at + Duration::from_millis(demand.earliest_deadline_ms);
                summary.priority = summary.priority.max(demand.priority);
                summary.deadline = summary.deadline.min(deadline);
            }
        }
        Some(summary)
    }
}

/// When a demand is forgotten if it is not renewed.
fn expiry(demand: &Demand, at: Timestamp, settings: &CoordinatorSettings) -> Timestamp {
    if demand.waiting > 0 {
        at + settings.demand_expiry
    } else {
        at + settings.running_demand_expiry
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
