//! Settings of the ingress, as given in the daemon's settings file.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flaxward_clock::TimeSource;
use flaxward_routing::budget::RetryBudgetSettings;
use flaxward_routing::cold::ColdRunnerSettings;
use flaxward_routing::lease::LeaseSettings;
use flaxward_routing::locality::Regions;
use flaxward_routing::names::Zone;
use flaxward_routing::placement::PlacementSettings;
use flaxward_routing::quarantine::QuarantineSettings;
use flaxward_routing::strength::MachineStrength;

use crate::network::Network;

/// For how long after its configuration was last confirmed as the newest a daemon relies on it to
/// check keys; `None` means without limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyTrust {
    /// For keys in the configuration, which may have been revoked since.
    pub known: Option<Duration>,
    /// For keys not in the configuration, which may have been added since.
    pub unknown: Option<Duration>,
}

/// Part of a machine's memory that the bodies of requests may take: one in so many bytes.
const REQUEST_BODY_SHARE: usize = 8;

/// Part of a machine's memory that collected responses may take: one in so many bytes.
const RESPONSE_BODY_SHARE: usize = 16;
/// Part of a process's descriptors that connections of clients may take: one in so many.
const CONNECTION_SHARE: usize = 2;
/// Memory of a machine for each connection of a client, in bytes: its buffers in the process, what has arrived and is not
/// read, and as much again for everything else.
const MEMORY_PER_CONNECTION: usize = 160 * 1_024;

/// What all clients together may have open at one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverloadLimits {
    /// Requests in progress whose bodies are complete.
    pub requests: u32,
    /// Memory for the bodies of requests, in bytes.
    pub request_body_bytes: usize,
    /// Memory for the bodies of collected responses, in bytes.
    pub response_body_bytes: usize,
    /// Open connections.
    pub connections: usize,
}

impl OverloadLimits {
    /// Limits of a process that may use `memory_bytes` of memory and `descriptors` descriptors.
    pub fn of_machine(memory_bytes: usize, descriptors: usize, requests: u32) -> Self {
        let connections =
            (descriptors / CONNECTION_SHARE).min(memory_bytes / MEMORY_PER_CONNECTION);
        Self {
            requests,
            request_body_bytes: memory_bytes / REQUEST_BODY_SHARE,
            response_body_bytes: memory_bytes / RESPONSE_BODY_SHARE,
            connections: connections.max(1),
        }
    }
}

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct IngressSettings {
    /// Name of the daemon.
    pub name: String,
    /// Time source of its clock.
    pub time: Arc<dyn TimeSource>,
    /// The network between the daemon and the runners.
    pub network: Arc<dyn Network>,
    /// Its zone.
    pub zone: Zone,
    /// The region of each zone. Zones without an entry count as near, and are in no home region.
    pub regions: Regions,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address of the readiness endpoint.
    pub ready_listen: SocketAddr,
    /// Listen address for other daemons: UDP for messages, TCP for tunnels to runners.
    pub peer_listen: SocketAddr,
    /// Listen address of the metrics endpoint, if any.
    pub metrics_listen: Option<SocketAddr>,
    /// Capacity of the machine.
    pub strength: MachineStrength,
    /// Time within which a change in the store must reach this daemon.
    pub propagation_bound: Duration,
    /// Time within which the evacuation of a zone must take effect; `None` if the operators
    /// evacuate no zones.
    pub evacuation_bound: Option<Duration>,
    /// How far requests of all daemons may exceed the rate that cold runners sustain; `None` for no
    /// limit.
    pub cold_runners: Option<ColdRunnerSettings>,
    /// Limits on relying on keys without confirmation.
    pub key_trust: KeyTrust,
    /// Grace period from the order to stop until the process must have ended.
    pub stop_grace: Duration,
    /// Retry budget.
    pub retry_budget: RetryBudgetSettings,
    /// When requests that crash runners are quarantined.
    pub quarantine: QuarantineSettings,
    /// Lease of the coordinator.
    pub lease: LeaseSettings,
    /// Limits on all clients together.
    pub overload_limits: OverloadLimits,
    /// Placement of models.
    pub placement: PlacementSettings,
}
