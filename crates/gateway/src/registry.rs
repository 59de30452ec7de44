//! The requests in progress, for operators.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxward_types::{RunnerName, Timestamp};

/// One request in progress, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestView {
    /// Its id, as told to the caller.
    pub id: String,
    /// What it wants: an artifact or a service.
    pub target: String,
    /// The machine it was sent to; none while it waits.
    pub runner: Option<RunnerName>,
    /// Its rank.
    pub priority: u8,
    /// Time since it came.
    pub age: Duration,
    /// Time to its deadline.
    pub time_left: Duration,
}

/// One request in progress.
#[derive(Debug)]
struct Entry {
    id: String,
    target: String,
    runner: Option<RunnerName>,
    priority: u8,
    arrived: Timestamp,
    deadline: Timestamp,
}

/// The requests in progress.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    entries: BTreeMap<u64, Entry>,
}

/// A request's place in the registry, which it leaves when this is dropped.
#[derive(Debug)]
pub(crate) struct Registration {
    registry: Arc<Registry>,
    number: u64,
}

impl Registry {
    /// Takes a request in.
    pub fn register(
        self: &Arc<Self>,
        id: &str,
        target: String,
        priority: u8,
        arrived: Timestamp,
        deadline: Timestamp,
    ) -> Registration {
        let entry = Entry {
            id: id.to_owned(),
            target,
            runner: None,
            priority,
            arrived,
            deadline,
        };
        let mut state = self.lock();
        state.next += 1;
        let number = state.next;
        state.entries.insert(number, entry);
        Registration {
            registry: Arc::clone(self),
            number,
        }
    }

    /// The requests in progress, oldest first.
    pub fn views(&self, now: Timestamp) -> Vec<RequestView> {
        let state = self.lock();
        let view = |entry: &Entry| RequestView {
            id: entry.id.clone(),
            target: entry.target.clone(),
            runner: entry.runner.clone(),
            priority: entry.priority,
            age: now.since(entry.arrived),
            time_left: entry.deadline.since(now),
        };
        state.entries.values().map(view).collect()
    }

    /// No code that holds the lock can panic half-way, so a poisoned lock is still usable.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registration {
    /// Notes that the request was sent to a machine.
    pub fn sent_to(&self, runner: &RunnerName) {
        if let Some(entry) = self.registry.lock().entries.get_mut(&self.number) {
            entry.runner = Some(runner.clone());
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.lock().entries.remove(&self.number);
    }
}
