//! What a daemon has been told of the store by those who watch it.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::messages::StoreState;
use flaxward_routing::revision::StoreRevision;
use flaxward_routing::store_trust::WatchRole;
use flaxward_types::time::{Timestamp, millis};

use crate::state::Shared;

/// What those who watch the store say of it. While it stands, a daemon reads the store only when there is
/// something new, instead of watching it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreWord {
    /// Until when it stands.
    pub trusted_until: Option<Timestamp>,
    /// The newest version of the configuration.
    pub configuration_version: u64,
    /// Revision of the last change that daemons other than the coordinator must know of.
    pub membership_revision: u64,
    /// What this daemon does for the others.
    pub role: WatchRole,
}

/// What those who watch the store tell all others alike.
pub(crate) struct StoreFacts {
    pub state: StoreState,
    pub evacuations: Evacuations,
    /// See [`flaxward_routing::quarantine::Quarantine::digest`].
    pub quarantine_digest: u64,
}

impl StoreWord {
    /// Until when the store need not be watched.
    pub(crate) fn stands_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.trusted_until.filter(|&until| until > now)
    }

    /// Whether this daemon watches the store for others while the word does not stand.
    pub(crate) fn watches_for_others(&self) -> bool {
        self.role != WatchRole::Member
    }
}

impl Shared {
    /// Takes in what a daemon that watches the store says of it, in a message that came no earlier than at a time.
    pub(crate) fn hear_store(&self, from: SocketAddr, state: &StoreState, came_after: Timestamp) {
        let revision = StoreRevision::from_ordered(state.membership_revision);
        // Who has not noticed that the store came back from a copy can't vouch for what it holds.
        if !self.is_of_past(revision) {
            self.hear_store_era(revision);
            self.trust_word(from, state, came_after);
        }
        self.store_word.send_modify(|word| {
            word.configuration_version =
                word.configuration_version.max(state.configuration_version);
            word.membership_revision = word.membership_revision.max(state.membership_revision);
        });
        self.renew_store_word();
    }

    fn trust_word(&self, from: SocketAddr, state: &StoreState, came_after: Timestamp) {
        let now = self.now();
        let mut tables = self.tables();
        tables.store_trust.record_report(from, state, now);
        if state.configuration_age_ms < u32::MAX {
            let age = Duration::from_millis(u64::from(state.configuration_age_ms));
            let version = state.configuration_version;
            tables
                .configuration_age
                .confirmed(version, came_after - age);
        }
    }

    /// Sets what this daemon does for the others.
    pub(crate) fn set_watch_role(&self, role: WatchRole) {
        if self.store_word.borrow().role == role {
            return;
        }
        self.store_word.send_modify(|word| word.role = role);
        self.renew_store_word();
    }

    /// Works out anew until when the word on the store stands.
    pub(crate) fn renew_store_word(&self) {
        let now = self.now();
        let role = self.store_word.borrow().role;
        let until = self.tables().store_trust.fresh_until(role, now);
        self.store_word
            .send_modify(|word| word.trusted_until = until);
    }

    /// What this daemon tells of the store while it watches it.
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

    /// What this daemon knows of the store.
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
