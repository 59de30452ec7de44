//! The batch of requests being decoded; the others wait, the highest priority first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::fault::lock;

/// The batch.
#[derive(Debug)]
pub(crate) struct Batch {
    limit: u32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    max_running: u32,
    arrivals: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Place>>,
}

/// A place in the batch; given on when dropped.
#[derive(Debug)]
pub(crate) struct Place {
    batch: Arc<Batch>,
    held: bool,
}

impl Batch {
    /// A batch of at most `limit` requests; 0 means no limit.
    pub(crate) fn new(limit: u32) -> Arc<Self> {
        Arc::new(Self {
            limit,
            state: Mutex::default(),
        })
    }

    /// Requests being decoded.
    pub(crate) fn running(&self) -> u32 {
        lock(&self.state).running
    }

    /// Requests waiting.
    pub(crate) fn waiting(&self) -> u32 {
        u32::try_from(lock(&self.state).waiting.len()).unwrap_or(u32::MAX)
    }

    /// Most requests decoded at one time.
    pub(crate) fn max_running(&self) -> u32 {
        lock(&self.state).max_running
    }

    /// Waits for a place.
    pub(crate) async fn place(self: &Arc<Self>, priority: u8) -> Place {
        let turn = {
            let mut state = lock(&self.state);
            if self.limit == 0 || state.running < self.limit {
                state.running += 1;
                state.max_running = state.max_running.max(state.running);
                return self.held_place();
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let key = (Reverse(priority), state.arrivals);
            state.waiting.insert(key, sender);
            receiver
        };
        match turn.await {
            Ok(place) => place,
            // The batch outlives its waiting requests, so the sender is never dropped.
            Err(_) => std::future::pending().await,
        }
    }

    fn held_place(self: &Arc<Self>) -> Place {
        Place {
            batch: Arc::clone(self),
            held: true,
        }
    }

    /// Gives a place to the next one waiting that is still there.
    fn pass_on(self: &Arc<Self>) {
        loop {
            let next = {
                let mut state = lock(&self.state);
                let next = state.waiting.pop_first();
                if next.is_none() {
                    state.running -= 1;
                }
                next
            };
            let Some((_, sender)) = next else {
                return;
            };
            match sender.send(self.held_place()) {
                Ok(()) => return,
                Err(mut place) => place.held = false,
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.held {
            self.batch.pass_on();
        }
    }
}
