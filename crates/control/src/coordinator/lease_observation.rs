//! The state of a lease that this daemon does not hold, and when the daemon may acquire it.

use std::time::Duration;

use flaxward_types::records::ZoneLease;
use flaxward_types::{DaemonName, Revision, Timestamp};

use super::interface::CoordinatorSettings;

/// The last read state of a lease that is free or held by another daemon.
#[derive(Clone, Debug)]
pub(super) struct ObservedLease {
    record: Option<(Revision, ZoneLease)>,
    /// When the record was first read in this state.
    first_read: Timestamp,
    /// When it was last read in this state.
    last_read: Timestamp,
}

impl ObservedLease {
    pub(super) fn new(record: Option<(Revision, ZoneLease)>, now: Timestamp) -> Self {
        Self {
            record,
            first_read: now,
            last_read: now,
        }
    }

    /// Records the result of a read.
    pub(super) fn update(&mut self, record: Option<(Revision, ZoneLease)>, now: Timestamp) {
        if self.record == record {
            self.last_read = now;
        } else {
            *self = Self::new(record, now);
        }
    }

    /// The record as last read.
    pub(super) fn record(&self) -> Option<&(Revision, ZoneLease)> {
        self.record.as_ref()
    }

    /// Whether a daemon may acquire the lease.
    pub(super) fn is_free(
        &self,
        own_name: &DaemonName,
        is_standby: bool,
        settings: &CoordinatorSettings,
    ) -> bool {
        let unchanged = self.last_read.since(self.first_read);
        let Some((_, lease)) = &self.record else {
            return !is_standby || unchanged >= settings.lease_duration;
        };
        match &lease.holder {
            None => true,
            // Held by a former incarnation of this daemon, whose orders are not known to this one.
            Some(holder) if holder == own_name => true,
            Some(_) => {
                let grace = settings.clock_drift * if is_standby { 2 } else { 1 };
                unchanged >= Duration::from_millis(lease.duration_ms) + grace
            }
        }
    }
}
