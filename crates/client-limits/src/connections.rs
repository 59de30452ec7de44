//! A limit on the open connections of a listener.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::activity::ClientActivity;

/// Open connections, of which there are at most a given number.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    state: Mutex<State>,
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
            }),
        }
    }

    /// Admits a connection. If the table is full, the daemon gives up on the client that it has waited for the longest;
    /// if it waits for none, the connection is not admitted.
    pub fn admit(&self) -> Option<ConnectionSlot> {
        let now = Instant::now();
        let mut state = self.shared.state();
        if state.open.len() >= self.shared.limit {
            state.give_up_longest(now)?;
        }
        let id = state.next_id;
        state.next_id += 1;
        let activity = Arc::new(ClientActivity::new(now));
        state.open.insert(id, Arc::clone(&activity));
        drop(state);
        Some(ConnectionSlot {
            shared: Arc::clone(&self.shared),
            id,
            activity,
        })
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
    fn give_up_longest(&mut self, now: Instant) -> Option<()> {
        let stalled = self.open.iter().filter_map(|(id, activity)| {
            let stalled_for = activity.stalled_for(now)?;
            Some((stalled_for, *id))
        });
        let (_, id) = stalled.max()?;
        let activity = self.open.remove(&id)?;
        activity.give_up();
        Some(())
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
    }
}
