//! The settings of the state machines of `flaxward_control`.

use std::net::SocketAddr;

use flaxward_control::admission::AdmissionSettings;
use flaxward_control::attempt::{AttemptSettings, RetryBudgetSettings};
use flaxward_control::claims::ClaimSettings;
use flaxward_control::coordinator::CoordinatorSettings;

use crate::sections::Settings;

impl Settings {
    /// The settings of the zone's coordinator.
    pub fn coordinator(&self) -> CoordinatorSettings {
        let section = &self.coordinator;
        CoordinatorSettings {
            lease_duration: section.lease_duration,
            lease_renewal: section.lease_renewal,
            clock_drift: section.clock_drift,
            order_retry: section.order_retry,
            inventory_poll: section.inventory_poll,
            inventory_refresh: section.inventory_refresh,
            load_timeout: section.load_timeout,
            load_tries: section.load_tries,
            load_backoff: section.load_backoff,
            demand_expiry: section.demand_expiry,
            remote_bytes_per_second: section.remote_bytes_per_second.as_u64(),
            disk_bytes_per_second: section.disk_bytes_per_second.as_u64(),
            memory_bytes_per_second: section.memory_bytes_per_second.as_u64(),
            ..CoordinatorSettings::default()
        }
    }

    /// Where other daemons reach this one; `bound` is the address actually bound.
    pub fn peer_address(&self, bound: SocketAddr) -> SocketAddr {
        self.daemon.peer_advertise.unwrap_or(bound)
    }

    /// The settings of admission.
    pub fn admission(&self) -> AdmissionSettings {
        AdmissionSettings {
            total_limit: self.gateway.queue_total as usize,
            coordinator_grace: self.gateway.coordinator_grace,
            demand_period: self.gateway.demand_renewal,
            running_demand_period: self.gateway.running_demand_period,
            unreachable_period: self.gateway.unreachable_period,
            ..AdmissionSettings::default()
        }
    }

    /// The settings of the attempts of one request.
    pub fn attempts(&self) -> AttemptSettings {
        AttemptSettings {
            max_attempts: self.gateway.attempts,
        }
    }

    /// The settings of the retries of all requests together.
    pub fn retries(&self) -> RetryBudgetSettings {
        RetryBudgetSettings {
            per_thousand: self.gateway.retry_share.per_thousand(),
            ..RetryBudgetSettings::default()
        }
    }

    /// The settings of idempotency keys.
    pub fn claims(&self) -> ClaimSettings {
        ClaimSettings {
            lifetime: self.claims.lifetime,
            ..ClaimSettings::default()
        }
    }
}
