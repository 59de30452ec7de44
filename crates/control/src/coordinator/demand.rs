//! What the gateways want, and until when that holds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::routing::Demand;
use flaxward_types::{ArtifactId, DaemonName, Timestamp};

use super::interface::CoordinatorSettings;

/// Requests running on each replica above which one more is called for.
pub(super) const RUNNING_PER_REPLICA: u32 = 32;

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
    /// Since when requests have been waiting without a break.
    pub(super) waiting_since: Option<Timestamp>,
    /// When a gateway last said that requests wait.
    pub(super) waiting_told: Option<Timestamp>,
}

/// What a demand changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DemandChange {
    /// Nothing that matters now.
    None,
    /// As many more or fewer requests run as call for another number of replicas.
    Crowd,
    /// Who wants what, or somebody waits.
    Wanted,
}

/// What one gateway wants of one artifact.
#[derive(Clone, Debug)]
struct GatewayDemand {
    demand: Demand,
    since: Timestamp,
    renewed: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct ArtifactDemand {
    /// Requests running, at all gateways.
    running: u32,
    gateways: BTreeMap<DaemonName, GatewayDemand>,
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
    /// Takes in a demand.
    pub(super) fn put(
        &mut self,
        gateway: DaemonName,
        demand: Demand,
        now: Timestamp,
    ) -> DemandChange {
        let artifact = demand.artifact.clone();
        let active = demand.waiting > 0 || demand.running > 0;
        if active || demand.arrivals > 0 || self.is_running(&artifact) {
            self.last_active.insert(artifact.clone(), now);
        }
        if !active {
            return if self.remove(&artifact, &gateway) {
                DemandChange::Wanted
            } else {
                DemandChange::None
            };
        }
        let entry = self.entries.entry(artifact.clone()).or_default();
        let crowd_before = crowd(entry.running);
        let running = demand.running;
        let known = entry.gateways.get(&gateway);
        let renewal = GatewayDemand {
            demand,
            since: known.map_or(now, |known| known.since),
            renewed: now,
        };
        let before = entry.gateways.insert(gateway, renewal);
        let ran = before.as_ref().map_or(0, |before| before.demand.running);
        entry.running = entry.running.saturating_sub(ran).saturating_add(running);
        let other_crowd = crowd(entry.running) != crowd_before;
        entry.note_waiting(now);
        let waits = entry.waiting_since.is_some();
        if waits {
            self.waiting.insert(artifact);
        } else {
            self.waiting.remove(&artifact);
        }
        if before.is_none() || waits {
            DemandChange::Wanted
        } else if other_crowd {
            DemandChange::Crowd
        } else {
            DemandChange::None
        }
    }

    fn remove(&mut self, artifact: &ArtifactId, gateway: &DaemonName) -> bool {
        let Some(entry) = self.entries.get_mut(artifact) else {
            return false;
        };
        let removed = entry.gateways.remove(gateway).is_some();
        entry.count_running();
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
        entry.is_some_and(|entry| entry.running > 0)
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
        let lives = |demand: &Demand, at: Timestamp| now.since(at) < lifetime(demand, settings);
        let expired = self.retain(|_, demand, at| lives(demand, at));
        self.next_expiry = self.earliest_expiry(now, settings);
        self.settle_waiting(now);
        expired
    }

    /// When the first demand expires. What is put from now on expires no earlier than the lifetime
    /// of waiting demand from now, the shorter one.
    fn earliest_expiry(&self, now: Timestamp, settings: &CoordinatorSettings) -> Timestamp {
        let demands = self
            .entries
            .values()
            .flat_map(|entry| entry.gateways.values());
        let expiries = demands.map(|gateway| gateway.renewed + lifetime(&gateway.demand, settings));
        expiries.fold(now + settings.demand_expiry, Timestamp::min)
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
            gateways.retain(|name, demand| keep(name, &demand.demand, demand.renewed));
            if gateways.len() < before {
                entry.count_running();
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

    /// For how long one and the same gateway has renewed its demand for an artifact, or for an
    /// adapter on it, counted from some time on. A gateway that has found a place elsewhere renews
    /// nothing, so what is left of its demand grows no older.
    pub(super) fn persistence(&self, artifact: &ArtifactId, from: Timestamp) -> Duration {
        // The adapters on a base follow it in the order of the names.
        let following = self.entries.range(artifact.clone()..);
        let needing = following.take_while(|(other, _)| needs(other, artifact));
        let demands = needing.flat_map(|(_, entry)| entry.gateways.values());
        let durations = demands.map(|demand| demand.renewed.since(demand.since.max(from)));
        durations.max().unwrap_or_default()
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
            waiting_since: entry.waiting_since,
            waiting_told: None,
        };
        for GatewayDemand {
            demand, renewed, ..
        } in entry.gateways.values()
        {
            summary.waiting = summary.waiting.saturating_add(demand.waiting);
            summary.running = summary.running.saturating_add(demand.running);
            if demand.waiting > 0 {
                let deadline = *renewed + Duration::from_millis(demand.earliest_deadline_ms);
                summary.priority = summary.priority.max(demand.priority);
                summary.deadline = summary.deadline.min(deadline);
                summary.waiting_told = summary.waiting_told.max(Some(*renewed));
            }
        }
        Some(summary)
    }
}

/// Whether an artifact is another one, or an adapter on it.
fn needs(artifact: &ArtifactId, other: &ArtifactId) -> bool {
    artifact == other || (artifact.is_adapter() && artifact.base() == *other)
}

/// How long a demand holds that is not renewed.
fn lifetime(demand: &Demand, settings: &CoordinatorSettings) -> Duration {
    if demand.waiting > 0 {
        settings.demand_expiry
    } else {
        settings.running_demand_expiry
    }
}

/// The replicas that so many requests running fill, as far as another number matters.
fn crowd(running: u32) -> u32 {
    running.saturating_sub(1) / RUNNING_PER_REPLICA
}

impl ArtifactDemand {
    fn count_running(&mut self) {
        let running = self.gateways.values().map(|gateway| gateway.demand.running);
        self.running = running.fold(0, u32::saturating_add);
    }

    fn note_waiting(&mut self, now: Timestamp) {
        let mut demands = self.gateways.values();
        if demands.any(|gateway| gateway.demand.waiting > 0) {
            self.waiting_since.get_or_insert(now);
        } else {
            self.waiting_since = None;
        }
    }
}
