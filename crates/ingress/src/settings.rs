//! Settings of the ingress, as the daemon's settings file gives them.

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

/// For how long after its configuration was surely the newest a daemon relies on it for keys; `None` for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyTrust {
    /// For keys that it holds, which may have been taken away.
    pub known: Option<Duration>,
    /// For keys that it does not hold, which may have been added.
    pub unknown: Option<Duration>,
}

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct IngressSettings {
    /// Name of the daemon.
    pub name: String,
    /// What its clock goes by.
    pub time: Arc<dyn TimeSource>,
    /// Its zone.
    pub zone: Zone,
    /// The region of each zone; those that are not told count as near, and as nobody's home.
    pub regions: Regions,
    /// Where clients reach it.
    pub listen: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready_listen: SocketAddr,
    /// Where other daemons reach it, by UDP.
    pub peer_listen: SocketAddr,
    /// Where its counters are read, if anywhere.
    pub metrics_listen: Option<SocketAddr>,
    /// The machine.
    pub strength: MachineStrength,
    /// Time within which a change of the store must be known.
    pub news_bound: Duration,
    /// Time within which the evacuation of a zone must be followed; `None` if the operators evacuate no zones.
    pub evacuation_bound: Option<Duration>,
    /// How far requests of all daemons may pass what cold runners bear; `None` if nothing bounds them.
    pub cold_runners: Option<ColdRunnerSettings>,
    /// For how long keys are relied on.
    pub key_trust: KeyTrust,
    /// Time from the order to stop until it must have ended.
    pub stop_grace: Duration,
    /// The budget for sending requests again.
    pub retry_budget: RetryBudgetSettings,
    /// When requests that crash runners are not sent any more.
    pub quarantine: QuarantineSettings,
    /// The lease of the coordinator.
    pub lease: LeaseSettings,
    /// The placement of models.
    pub placement: PlacementSettings,
}
