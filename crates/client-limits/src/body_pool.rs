//! Memory for the bodies of all requests, or of all responses, of a daemon.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::activity::ClientActivity;

/// Bodies longer than this leave a part of the pool to others, in bytes.
const ORDINARY_BODY_BYTES: usize = 256 * 1_024;
/// The part of the pool that long bodies leave to others: one in so many bytes.
const ORDINARY_SHARE: usize = 4;
/// Time for which the daemon must have waited for a client before it gives up on it.
const MIN_STALL: Duration = Duration::from_millis(500);

/// Why bytes are not reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReserveError {
    /// The pool is exhausted, by clients that the daemon does not wait for.
    #[error("the memory for bodies is exhausted")]
    Exhausted,
    /// The daemon has given up on this client in favour of others.
    #[error("the client has stalled while others need the memory")]
    GivenUp,
}

/// Memory for bodies, shared by all clients.
#[derive(Clone, Debug)]
pub struct BodyPool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    capacity: usize,
    state: Mutex<State>,
    /// Notified when bytes are released.
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Sum of all reservations, in bytes.
    reserved: usize,
    next_id: u64,
    /// Reservations whose clients the daemon may give up on.
    open: HashMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    activity: Arc<ClientActivity>,
}

/// Outcome of a request for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Reserved,
    /// Bytes of clients that were given up on are about to be released.
    Pending,
    Exhausted,
}

impl BodyPool {
    /// Creates a pool of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                capacity,
                state: Mutex::default(),
                released: Notify::new(),
            }),
        }
    }

    /// Begins a body, which has no bytes reserved yet.
    pub fn open(&self, activity: Arc<ClientActivity>) -> Reservation {
        let mut state = self.shared.state();
        let id = state.next_id;
        state.next_id += 1;
        let entry = Entry {
            bytes: 0,
            activity: Arc::clone(&activity),
        };
        state.open.insert(id, entry);
        drop(state);
        Reservation {
            shared: Arc::clone(&self.shared),
            id,
            bytes: 0,
            activity,
        }
    }

    /// Bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.shared.state().reserved
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes that all reservations may have once a body has `bytes` bytes.
    fn limit(&self, bytes: usize) -> usize {
        if bytes > ORDINARY_BODY_BYTES {
            self.capacity - self.capacity / ORDINARY_SHARE
        } else {
            self.capacity
        }
    }
}

impl State {
    /// Raises a reservation to `bytes`. If the pool has too few, the daemon gives up on stalled clients, those first that
    /// have kept the most bytes for the longest.
    fn try_raise(&mut self, id: u64, bytes: usize, limit: usize, now: Instant) -> Outcome {
        let own = self.open.get(&id).map_or(0, |entry| entry.bytes);
        let needed = self.reserved + bytes.saturating_sub(own);
        let Some(mut shortage) = needed.checked_sub(limit).filter(|shortage| *shortage > 0) else {
            self.set(id, bytes);
            return Outcome::Reserved;
        };
        if bytes > limit {
            return Outcome::Exhausted;
        }
        let pending: usize = self
            .open
            .values()
            .filter(|entry| entry.activity.is_given_up())
            .map(|entry| entry.bytes)
            .sum();
        shortage = shortage.saturating_sub(pending);
        let stalled = self.stalled(id, now);
        let available: usize = stalled.iter().map(|entry| entry.bytes).sum();
        if available < shortage {
            return Outcome::Exhausted;
        }
        for entry in stalled {
            if shortage == 0 {
                break;
            }
            entry.activity.give_up();
            shortage = shortage.saturating_sub(entry.bytes);
        }
        Outcome::Pending
    }

    /// Reservations of stalled clients other than `id`, in the order in which they are given up.
    fn stalled(&self, id: u64, now: Instant) -> Vec<&Entry> {
        let mut stalled: Vec<(u128, &Entry)> = self
            .open
            .iter()
            .filter(|(other, entry)| **other != id && entry.bytes > 0)
            .filter_map(|(_, entry)| {
                let stalled_for = entry.activity.stalled_for(now)?;
                let bytes = u128::try_from(entry.bytes).unwrap_or(u128::MAX);
                let occupancy = bytes.saturating_mul(stalled_for.as_millis());
                (stalled_for >= MIN_STALL).then_some((occupancy, entry))
            })
            .collect();
        stalled.sort_by_key(|(occupancy, _)| Reverse(*occupancy));
        stalled.into_iter().map(|(_, entry)| entry).collect()
    }

    fn set(&mut self, id: u64, bytes: usize) {
        if let Some(entry) = self.open.get_mut(&id) {
            self.reserved = self.reserved - entry.bytes + bytes;
            entry.bytes = bytes;
        }
    }
}

/// Bytes of one body. They are released on drop.
#[derive(Debug)]
pub struct Reservation {
    shared: Arc<Shared>,
    id: u64,
    bytes: usize,
    activity: Arc<ClientActivity>,
}

impl Reservation {
    /// Raises the reservation to `bytes`. Waits if clients that were given up on are about to release enough.
    ///
    /// # Errors
    /// Fails if the pool is exhausted, or if the daemon has given up on this client.
    pub async fn raise(&mut self, bytes: usize) -> Result<(), ReserveError> {
        loop {
            let shared = Arc::clone(&self.shared);
            let released = shared.released.notified();
            match self.try_raise(bytes) {
                Outcome::Reserved => return Ok(()),
                Outcome::Exhausted => return Err(ReserveError::Exhausted),
                Outcome::Pending => {}
            }
            tokio::select! {
                () = released => {}
                () = self.activity.given_up() => return Err(ReserveError::GivenUp),
            }
        }
    }

    /// Raises the reservation to `bytes` without waiting and without giving up on anyone.
    ///
    /// # Errors
    /// Fails if the pool has too few.
    pub fn raise_at_once(&mut self, bytes: usize) -> Result<(), ReserveError> {
        let additional = bytes.saturating_sub(self.bytes);
        if self.raise_within(additional, self.shared.limit(bytes)) {
            Ok(())
        } else {
            Err(ReserveError::Exhausted)
        }
    }

    /// Raises the reservation to `bytes`. Waits until the pool has enough, which is never if it is smaller than that.
    pub async fn raise_when_free(&mut self, bytes: usize) {
        loop {
            let shared = Arc::clone(&self.shared);
            let released = shared.released.notified();
            if self.try_raise(bytes) == Outcome::Reserved {
                return;
            }
            // Clients may have stalled by then, so the end of the wait is no error.
            let _ = timeout(MIN_STALL, released).await;
        }
    }

    /// Raises the reservation by `additional` bytes if the pool has them and half of it stays free.
    pub fn raise_if_spare(&mut self, additional: usize) -> bool {
        self.raise_within(additional, self.shared.capacity / 2)
    }

    /// Raises the reservation by `additional` bytes if all reservations stay within `limit`.
    fn raise_within(&mut self, additional: usize, limit: usize) -> bool {
        let mut state = self.shared.state();
        if state.reserved + additional > limit {
            return false;
        }
        self.bytes += additional;
        state.set(self.id, self.bytes);
        true
    }

    /// Lowers the reservation to `bytes`, and keeps it until it is dropped: the body is complete, and its client waits
    /// for the daemon.
    pub fn seal(&mut self, bytes: usize) {
        let mut state = self.shared.state();
        state.set(self.id, bytes);
        state.open.remove(&self.id);
        drop(state);
        self.bytes = bytes;
        self.shared.released.notify_waiters();
    }

    fn try_raise(&mut self, bytes: usize) -> Outcome {
        if bytes <= self.bytes {
            return Outcome::Reserved;
        }
        let limit = self.shared.limit(bytes);
        let mut state = self.shared.state();
        let outcome = state.try_raise(self.id, bytes, limit, Instant::now());
        if outcome == Outcome::Reserved {
            self.bytes = bytes;
        }
        outcome
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.reserved -= self.bytes;
        state.open.remove(&self.id);
        drop(state);
        self.shared.released.notify_waiters();
    }
}
