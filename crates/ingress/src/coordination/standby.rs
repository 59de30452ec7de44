//! Standby role: announces the state of the store to the members while the coordinator does not.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::messages::{StoreNews, StoreState};
use flaxward_routing::store_trust::WatchRole;
use flaxward_types::time::Timestamp;

use crate::state::Shared;

/// Time between two announcements if nothing has changed.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Time allowed for the first answer of the store; until it ends, the state of the store is unknown.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// What a standby has announced.
#[derive(Debug, Default)]
pub(super) struct StandbyAnnouncer {
    period: Option<AnnouncementPeriod>,
}

/// A period in which this daemon reads the store itself and announces its state.
#[derive(Debug)]
struct AnnouncementPeriod {
    started_at: Timestamp,
    /// The revision up to which the members may already know all changes of runners.
    base_revision: u64,
    last: Option<Announced>,
}

/// The last announcement.
#[derive(Debug)]
struct Announced {
    announced_at: Timestamp,
    state: StoreState,
}

impl StandbyAnnouncer {
    /// The announcements that are due.
    pub fn due(&mut self, shared: &Shared, own: SocketAddr, now: Timestamp) -> Vec<StoreNews> {
        let observation = *shared.store_report.borrow();
        let is_standby = matches!(observation.role, WatchRole::Standby(_));
        if !is_standby || observation.valid_until(now).is_some() || shared.is_stopping() {
            self.period = None;
            return Vec::new();
        }
        let period = self.period.get_or_insert_with(|| AnnouncementPeriod {
            started_at: now,
            base_revision: shared.tables().runners.revision(),
            last: None,
        });
        let has_answer = shared.store_silence() <= now.since(period.started_at);
        if !has_answer && now.since(period.started_at) < FIRST_ANSWER_TIMEOUT {
            return Vec::new();
        }
        period.due(shared, own, now)
    }
}

impl AnnouncementPeriod {
    fn due(&mut self, shared: &Shared, own: SocketAddr, now: Timestamp) -> Vec<StoreNews> {
        let state = shared.store_state();
        let last = self.last.as_ref();
        let has_membership_changes =
            last.is_none_or(|last| last.state.membership_revision != state.membership_revision);
        let is_changed = has_membership_changes
            || last.is_some_and(|last| {
                last.state.configuration_version != state.configuration_version
            });
        let is_due = last.is_none_or(|last| now.since(last.announced_at) >= ANNOUNCEMENT_INTERVAL);
        if !is_changed && !is_due {
            return Vec::new();
        }
        let store = shared.store_facts();
        let state = store.state;
        self.last = Some(Announced {
            announced_at: now,
            state,
        });
        let announcement = |membership| StoreNews {
            from: own,
            state,
            membership,
            evacuations: store.evacuations.clone(),
            quarantine_digest: store.quarantine_digest,
        };
        let updates = if has_membership_changes {
            shared.tables().runners.updates_after(self.base_revision)
        } else {
            None
        };
        match updates {
            Some(updates) => updates.into_iter().map(Some).map(announcement).collect(),
            None => vec![announcement(None)],
        }
    }
}
