//! A limit on the open connections of a listener.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::activity::ClientActivity;

/// Receive buffer of a client's connection. What the client sends and the daemon does not read is held there.
pub const RECEIVE_BUFFER_BYTES: usize = 32 * 1_024;

/// Open connections, of which there are at most a given number.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    state: Mutex<State>,
    /// Notified when a connection is closed.
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    open: HashMap<u64, Arc<ClientActivity>>,
}

impl ConnectionTable {
    /// Creates a table for `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                limit,
                state: Mutex::default(),
                released: Notify::new(),
            }),
        }
    }

    /// Admits a connection. If the table is full, the daemon gives up on the client that it has waited for the longest, and
    /// this waits until that connection is closed; if it waits for no client, the connection is not admitted.
    pub async fn admit(&self) -> Option<ConnectionSlot> {
        loop {
            let released = self.shared.released.notified();
            let has_room = self
                .shared
                .state()
                .make_room(self.shared.limit, Instant::now())?;
            if has_room {
                return Some(self.insert());
            }
            released.await;
        }
    }

    fn insert(&self) -> ConnectionSlot {
        let activity = Arc::new(ClientActivity::new(Instant::now()));
        let mut state = self.shared.state();
        let id = state.next_id;
        state.next_id += 1;
        state.open.insert(id, Arc::clone(&activity));
        drop(state);
        ConnectionSlot {
            shared: Arc::clone(&self.shared),
            id,
            activity,
        }
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.shared.state().open.len()
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether there is room for a connection now. If there is none, one connection is about to be closed, unless all
    /// clients wait for the daemon, in which case this returns `None`.
    fn make_room(&self, limit: usize, now: Instant) -> Option<bool> {
        if self.open.len() < limit {
            return Some(true);
        }
        let is_closing = self.open.values().any(|activity| activity.is_given_up());
        if !is_closing {
            let stalled = self.open.values().filter_map(|activity| {
                let stalled_for = activity.stalled_for(now)?;
                Some((stalled_for, activity))
            });
            let (_, longest) = stalled.max_by_key(|(stalled_for, _)| *stalled_for)?;
            longest.give_up();
        }
        Some(false)
    }
}

/// The place of one connection. It is free again when this is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    shared: Arc<Shared>,
    id: u64,
    activity: Arc<ClientActivity>,
}

impl ConnectionSlot {
    /// The activity of the connection. The connection must be closed when the daemon gives up on its client.
    pub fn activity(&self) -> &Arc<ClientActivity> {
        &self.activity
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.shared.state().open.remove(&self.id);
        self.shared.released.notify_waiters();
    }
}
