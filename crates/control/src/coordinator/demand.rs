//! The demand that gateways report per artifact, and its expiry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::routing::Demand;
use flaxward_types::{ArtifactId, DaemonName, Timestamp};

use super::interface::CoordinatorSettings;

/// Number of running requests per replica above which one more replica is required.
pub(super) const RUNNING_PER_REPLICA: u32 = 32;

/// The combined demand of all gateways for one artifact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DemandSummary {
    /// Number of waiting requests.
    pub(super) waiting: u32,
    /// Number of running requests.
    pub(super) running: u32,
    /// Highest priority among the waiting requests.
    pub(super) priority: u8,
    /// Earliest deadline among the waiting requests.
    pub(super) deadline: Timestamp,
    /// Start of the current uninterrupted period with waiting requests.
    pub(super) waiting_since: Option<Timestamp>,
    /// When a gateway last reported waiting requests.
    pub(super) waiting_reported_at: Option<Timestamp>,
}

/// The effect of a demand report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DemandChange {
    /// No decision depends on the change.
    None,
    /// The number of running requests now requires another number of replicas.
    RunningLevel,
    /// A gateway's demand started or ended, or requests are waiting.
    Urgent,
}

/// The demand of one gateway for one artifact.
#[derive(Clone, Debug)]
struct GatewayDemand {
    demand: Demand,
    since: Timestamp,
    renewed: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct ArtifactDemand {
    /// Number of running requests, summed over all gateways.
    running: u32,
    gateways: BTreeMap<DaemonName, GatewayDemand>,
    waiting_since: Option<Timestamp>,
}

/// All unexpired demand.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTable {
    entries: BTreeMap<ArtifactId, ArtifactDemand>,
    /// Artifacts with waiting requests.
    waiting: BTreeSet<ArtifactId>,
    /// Lower bound of the time at which the next demand expires.
    next_expiry: Timestamp,
    last_active: BTreeMap<ArtifactId, Timestamp>,
}

impl DemandTable {
    /// Applies a demand report.
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
                DemandChange::Urgent
            } else {
                DemandChange::None
            };
        }
        let entry = self.entries.entry(artifact.clone()).or_default();
        let known = entry.gateways.get(&gateway);
        let is_new = known.is_none();
        let renewal = GatewayDemand {
            since: known.map_or(now, |known| known.since),
            demand,
            renewed: now,
        };
        entry.gateways.insert(gateway, renewal);
        let level_before = running_level(entry.running);
        entry.count_running();
        let is_level_changed = running_level(entry.running) != level_before;
        entry.update_waiting_since(now);
        let waits = entry.waiting_since.is_some();
        if waits {
            self.waiting.insert(artifact);
        } else {
            self.waiting.remove(&artifact);
        }
        if is_new || waits {
            DemandChange::Urgent
        } else if is_level_changed {
            DemandChange::RunningLevel
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

    /// Removes all demand of a gateway. Returns the artifacts concerned.
    pub(super) fn forget_gateway(&mut self, gateway: &DaemonName) -> Vec<ArtifactId> {
        self.retain(|name, _, _| name != gateway)
    }

    /// Whether requests run on the artifact, according to the last reports.
    pub(super) fn is_running(&self, artifact: &ArtifactId) -> bool {
        let entry = self.entries.get(artifact);
        entry.is_some_and(|entry| entry.running > 0)
    }

    /// Removes demand that was not renewed in time. Returns the artifacts concerned.
    pub(super) fn expire(
        &mut self,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> Vec<ArtifactId> {
        self.prune_waiting(now);
        if now < self.next_expiry {
            return Vec::new();
        }
        let is_current =
            |demand: &Demand, at: Timestamp| now.since(at) < lifetime(demand, settings);
        let expired = self.retain(|_, demand, at| is_current(demand, at));
        self.next_expiry = self.earliest_expiry(now, settings);
        self.prune_waiting(now);
        expired
    }

    /// When the next demand expires. Demand reported from now on lasts at least as long as waiting
    /// demand, whose lifetime is the shorter one.
    fn earliest_expiry(&self, now: Timestamp, settings: &CoordinatorSettings) -> Timestamp {
        let demands = self
            .entries
            .values()
            .flat_map(|entry| entry.gateways.values());
        let expiries = demands.map(|gateway| gateway.renewed + lifetime(&gateway.demand, settings));
        expiries.fold(now + settings.demand_expiry, Timestamp::min)
    }

    /// Removes the artifacts without waiting requests from the index.
    fn prune_waiting(&mut self, now: Timestamp) {
        let entries = &mut self.entries;
        self.waiting.retain(|artifact| {
            entries.get_mut(artifact).is_some_and(|entry| {
                entry.update_waiting_since(now);
                entry.waiting_since.is_some()
            })
        });
    }

    fn retain(
        &mut self,
        keep: impl Fn(&DaemonName, &Demand, Timestamp) -> bool,
    ) -> Vec<ArtifactId> {
        let mut reduced = Vec::new();
        for (artifact, entry) in &mut self.entries {
            let before = entry.gateways.len();
            let gateways = &mut entry.gateways;
            gateways.retain(|name, demand| keep(name, &demand.demand, demand.renewed));
            if gateways.len() < before {
                entry.count_running();
                reduced.push(artifact.clone());
            }
        }
        self.entries.retain(|_, entry| !entry.gateways.is_empty());
        reduced
    }

    /// The artifacts with waiting requests.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &ArtifactId> {
        self.waiting.iter()
    }

    /// The artifacts with demand.
    pub(super) fn artifacts(&self) -> impl Iterator<Item = &ArtifactId> {
        self.entries.keys()
    }

    /// Whether there is demand for an artifact.
    pub(super) fn is_demanded(&self, artifact: &ArtifactId) -> bool {
        self.entries.contains_key(artifact)
    }

    /// Gateways with demand for an artifact.
    pub(super) fn gateways(&self, artifact: &ArtifactId) -> impl Iterator<Item = &DaemonName> {
        let entry = self.entries.get(artifact);
        entry.into_iter().flat_map(|entry| entry.gateways.keys())
    }

    /// The maximum time for which a single gateway has renewed its demand for an artifact, or for an
    /// adapter on it, counted from a given time. A gateway that is served elsewhere stops renewing,
    /// so the age of its remaining demand does not grow.
    pub(super) fn max_renewal_age(&self, artifact: &ArtifactId, from: Timestamp) -> Duration {
        // The adapters of a base directly follow it in key order.
        let following = self.entries.range(artifact.clone()..);
        let related = following.take_while(|(other, _)| is_same_or_adapter_on(other, artifact));
        let demands = related.flat_map(|(_, entry)| entry.gateways.values());
        let durations = demands.map(|demand| demand.renewed.since(demand.since.max(from)));
        durations.max().unwrap_or_default()
    }

    /// When there was last activity on the artifact, if ever.
    pub(super) fn last_active(&self, artifact: &ArtifactId) -> Option<Timestamp> {
        self.last_active.get(artifact).copied()
    }

    /// The combined demand of all gateways for an artifact.
    pub(super) fn summary(&self, artifact: &ArtifactId) -> Option<DemandSummary> {
        let entry = self.entries.get(artifact)?;
        let mut summary = DemandSummary {
            waiting: 0,
            running: 0,
            priority: 0,
            deadline: Timestamp(u64::MAX),
            waiting_since: entry.waiting_since,
            waiting_reported_at: None,
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
                summary.waiting_reported_at = summary.waiting_reported_at.max(Some(*renewed));
            }
        }
        Some(summary)
    }
}

/// Whether an artifact equals another one or is an adapter on it.
fn is_same_or_adapter_on(artifact: &ArtifactId, other: &ArtifactId) -> bool {
    artifact == other || (artifact.is_adapter() && artifact.base() == *other)
}

/// How long a demand is valid without renewal.
fn lifetime(demand: &Demand, settings: &CoordinatorSettings) -> Duration {
    if demand.waiting > 0 {
        settings.demand_expiry
    } else {
        settings.running_demand_expiry
    }
}

/// Number of replicas whose capacity this many running requests exceed; planning depends only on
/// changes of this value.
fn running_level(running: u32) -> u32 {
    running.saturating_sub(1) / RUNNING_PER_REPLICA
}

impl ArtifactDemand {
    fn count_running(&mut self) {
        let running = self.gateways.values().map(|gateway| gateway.demand.running);
        self.running = running.fold(0, u32::saturating_add);
    }

    fn update_waiting_since(&mut self, now: Timestamp) {
        let mut demands = self.gateways.values();
        if demands.any(|gateway| gateway.demand.waiting > 0) {
            self.waiting_since.get_or_insert(now);
        } else {
            self.waiting_since = None;
        }
    }
}
