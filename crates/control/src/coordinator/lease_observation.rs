//! What a stand-by sees of a lease, and when it may take it.

use std::time::Duration;

use flaxward_types::records::ZoneLease;
use flaxward_types::{DaemonName, Revision, Timestamp};

use super::interface::CoordinatorSettings;

/// What was last read of a lease held by nobody or by someone else.
#[derive(Clone, Debug)]
pub(super) struct Observed {
    record: Option<(Revision, ZoneLease)>,
    /// When the record was first seen like this.
    since: Timestamp,
    /// When it was last seen like this.
    read: Timestamp,
}

impl Observed {
    pub(super) fn new(record: Option<(Revision, ZoneLease)>, now: Timestamp) -> Self {
        Self {
            record,
            since: now,
            read: now,
        }
    }

    /// Takes in what was read now.
    pub(super) fn see(&mut self, record: Option<(Revision, ZoneLease)>, now: Timestamp) {
        if self.record == record {
            self.read = now;
        } else {
            *self = Self::new(record, now);
        }
    }

    /// The record as last read.
    pub(super) fn record(&self) -> Option<&(Revision, ZoneLease)> {
        self.record.as_ref()
    }

    /// Whether a daemon may take the lease.
    pub(super) fn is_free(
        &self,
        me: &DaemonName,
        is_stand_by: bool,
        settings: &CoordinatorSettings,
    ) -> bool {
        let unchanged = self.read.since(self.since);
        let Some((_, lease)) = &self.record else {
            return !is_stand_by || unchanged >= settings.lease_duration;
        };
        match &lease.holder {
            None => true,
            // Held by an earlier start of this daemon, whose orders this one knows nothing of.
            Some(holder) if holder == me => true,
            Some(_) => {
                let grace = settings.clock_drift * if is_stand_by { 2 } else { 1 };
                unchanged >= Duration::from_millis(lease.duration_ms) + grace
            }
        }
    }
}
