//! A standby's side: it tells the members of the store while the coordinator does not.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::messages::{StoreNews, StoreState};
use flaxward_routing::store_trust::WatchRole;
use flaxward_types::time::Timestamp;

use crate::state::Shared;

/// Time between two messages without news.
const NEWS_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the first answer of the store, before which nothing can be said of it.
const FIRST_ANSWER: Duration = Duration::from_millis(600);

/// What a standby has told.
#[derive(Debug, Default)]
pub(super) struct Informing {
    asking: Option<Asking>,
}

/// A time in which this daemon asks the store itself.
#[derive(Debug)]
struct Asking {
    since: Timestamp,
    /// The revision up to which the members may know all changes of runners.
    base: u64,
    told: Option<Told>,
}

/// The last message.
#[derive(Debug)]
struct Told {
    at: Timestamp,
    state: StoreState,
}

impl Informing {
    /// The messages that are due.
    pub fn due(&mut self, shared: &Shared, own: SocketAddr, now: Timestamp) -> Vec<StoreNews> {
        let word = *shared.store_report.borrow();
        let is_standby = matches!(word.role, WatchRole::Standby(_));
        if !is_standby || word.valid_until(now).is_some() || shared.is_stopping() {
            self.asking = None;
            return Vec::new();
        }
        let asking = self.asking.get_or_insert_with(|| Asking {
            since: now,
            base: shared.tables().runners.revision(),
            told: None,
        });
        let has_answer = shared.store_silence() <= now.since(asking.since);
        if !has_answer && now.since(asking.since) < FIRST_ANSWER {
            return Vec::new();
        }
        asking.tell(shared, own, now)
    }
}

impl Asking {
    fn tell(&mut self, shared: &Shared, own: SocketAddr, now: Timestamp) -> Vec<StoreNews> {
        let state = shared.store_state();
        let told = self.told.as_ref();
        let has_changes =
            told.is_none_or(|told| told.state.membership_revision != state.membership_revision);
        let has_news = has_changes
            || told.is_some_and(|told| {
                told.state.configuration_version != state.configuration_version
            });
        let is_due = told.is_none_or(|told| now.since(told.at) >= NEWS_INTERVAL);
        if !has_news && !is_due {
            return Vec::new();
        }
        let store = shared.store_facts();
        let state = store.state;
        self.told = Some(Told { at: now, state });
        let news = |membership| StoreNews {
            from: own,
            state,
            membership,
            evacuations: store.evacuations.clone(),
            quarantine_digest: store.quarantine_digest,
        };
        let updates = if has_changes {
            shared.tables().runners.updates_after(self.base)
        } else {
            None
        };
        match updates {
            Some(updates) => updates.into_iter().map(Some).map(news).collect(),
            None => vec![news(None)],
        }
    }
}
