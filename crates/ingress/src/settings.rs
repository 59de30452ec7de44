//! Settings of the ingress, as the daemon's settings file gives them.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::budget::RetryBudgetSettings;
use flaxward_routing::lease::{LeaseSettings, candidacy_delay};
use flaxward_routing::names::Zone;
use flaxward_routing::placement::PlacementSettings;

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct IngressSettings {
    /// Name of the daemon.
    pub name: String,
    /// Its zone.
    pub zone: Zone,
    /// Where clients reach it.
    pub listen: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready_listen: SocketAddr,
    /// Where other daemons reach it, by UDP.
    pub peer_listen: SocketAddr,
    /// Where its counters are read, if anywhere.
    pub metrics_listen: Option<SocketAddr>,
    /// Processor share of the machine, in thousandths of a core; 0 if it was not told.
    pub capacity: u32,
    /// Time from the order to stop until it must have ended.
    pub stop_grace: Duration,
    /// The budget for sending requests again.
    pub retry_budget: RetryBudgetSettings,
    /// The lease of the coordinator.
    pub lease: LeaseSettings,
    /// The placement of models.
    pub placement: PlacementSettings,
}

impl IngressSettings {
    /// For how long this daemon leaves a free lease to others, if the strongest daemon has this processor
    /// share.
    pub(crate) fn candidacy_delay(&self, strongest: Option<u32>) -> Duration {
        candidacy_delay(self.capacity, strongest)
    }
}
