//! Reports on the store from the daemons that watch it.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::messages::StoreState;
use flaxward_routing::revision::StoreRevision;
use flaxward_routing::store_trust::WatchRole;
use flaxward_types::time::{Timestamp, millis};

use crate::state::Shared;

/// The merged reports on the store from the daemons that watch it. While it is valid, a daemon
/// reads the store only when there is a newer version, instead of watching it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StoreReport {
    /// Until when the report is valid.
    pub trusted_until: Option<Timestamp>,
    /// Only a probe may be made: see [`flaxward_routing::store_trust::StoreTrust::is_probe_due`].
    pub is_probe_due: bool,
    /// The newest version of the configuration.
    pub configuration_version: u64,
    /// Revision of the last change that daemons other than the coordinator must know of.
    pub membership_revision: u64,
    /// This daemon's role in watching the store.
    pub role: WatchRole,
}

/// The facts about the store that a watching daemon announces to all others alike.
pub(crate) struct StoreFacts {
    pub state: StoreState,
    pub evacuations: Evacuations,
    /// See [`flaxward_routing::quarantine::Quarantine::digest`].
    pub quarantine_digest: u64,
}

impl StoreReport {
    /// Until when the store need not be watched; `None` if the report has expired.
    pub(crate) fn valid_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.trusted_until.filter(|&until| until > now)
    }

    /// Whether this daemon watches the store for others while the report has expired.
    pub(crate) fn watches_for_others(&self) -> bool {
        self.role != WatchRole::Member
    }
}

impl Shared {
    /// Records a watching daemon's report on the store, from a message that arrived no earlier than
    /// `earliest_arrival`.
    pub(crate) fn record_store_report(
        &self,
        from: SocketAddr,
        state: &StoreState,
        earliest_arrival: Timestamp,
    ) {
        let revision = StoreRevision::from_ordered(state.membership_revision);
        // A sender that has not observed the restore of the store can't vouch for its content.
        if !self.is_past_era(revision) {
            self.observe_store_era(revision);
            self.apply_store_report(from, state, earliest_arrival);
        }
        self.store_report.send_modify(|report| {
            report.configuration_version = report
                .configuration_version
                .max(state.configuration_version);
            report.membership_revision = report.membership_revision.max(state.membership_revision);
        });
        self.refresh_store_report();
    }

    fn apply_store_report(
        &self,
        from: SocketAddr,
        state: &StoreState,
        earliest_arrival: Timestamp,
    ) {
        let now = self.now();
        let mut tables = self.tables();
        tables.store_trust.record_report(from, state, now);
        if state.configuration_age_ms < u32::MAX {
            let age = Duration::from_millis(u64::from(state.configuration_age_ms));
            let version = state.configuration_version;
            tables
                .configuration_age
                .confirmed(version, earliest_arrival - age);
        }
    }

    /// Sets this daemon's role in watching the store.
    pub(crate) fn set_watch_role(&self, role: WatchRole) {
        if self.store_report.borrow().role == role {
            return;
        }
        self.store_report.send_modify(|report| report.role = role);
        self.refresh_store_report();
    }

    /// Recomputes until when the report on the store is valid.
    pub(crate) fn refresh_store_report(&self) {
        let now = self.now();
        let role = self.store_report.borrow().role;
        let tables = self.tables();
        let trusted_until = tables.store_trust.fresh_until(role, now);
        let is_probe_due = tables.store_trust.is_probe_due(role, now);
        drop(tables);
        let mut begins_probe = false;
        self.store_report.send_if_modified(|report| {
            let before = *report;
            begins_probe = is_probe_due && !report.is_probe_due;
            report.trusted_until = trusted_until;
            report.is_probe_due = is_probe_due;
            *report != before
        });
        if begins_probe {
            self.log.write(now, "store-probe", &[]);
        }
    }

    /// Records that the store has answered a call of this daemon.
    pub(crate) fn record_store_answer(&self) {
        let now = self.now();
        self.store_answered_ms.store(now.0, Ordering::Relaxed);
        self.tables().store_trust.record_own_answer(now);
        self.refresh_store_report();
    }

    /// Records that a call of this daemon to the store has failed.
    pub(crate) fn record_store_failure(&self) {
        let now = self.now();
        self.tables().store_trust.record_own_failure(now);
        self.refresh_store_report();
    }

    /// The facts that this daemon announces while it watches the store.
    pub(crate) fn store_facts(&self) -> StoreFacts {
        let state = self.store_state();
        let now = self.now();
        let tables = self.tables();
        StoreFacts {
            state,
            evacuations: tables.evacuations.clone(),
            quarantine_digest: tables.quarantine.digest(now),
        }
    }

    /// The state of the store as this daemon knows it.
    pub(crate) fn store_state(&self) -> StoreState {
        let silence = millis(self.store_silence());
        let age = self.configuration_age();
        let age = age.and_then(|age| u32::try_from(millis(age)).ok());
        let tables = self.tables();
        StoreState {
            configuration_version: tables.configuration.as_ref().map_or(0, |it| it.version),
            membership_revision: tables.runners.membership_revision(),
            silence_ms: u32::try_from(silence).unwrap_or(u32::MAX),
            configuration_age_ms: age.unwrap_or(u32::MAX),
        }
    }
}
