//! Registry of the requests in progress, for operators.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxward_types::{RunnerName, Timestamp};

/// A request in progress, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestView {
    /// The request id, as sent to the caller.
    pub id: String,
    /// The requested artifact or service.
    pub target: String,
    /// The machine it was sent to; `None` until the first attempt.
    pub runner: Option<RunnerName>,
    /// Priority from 0 to 9; higher goes first.
    pub priority: u8,
    /// Time since it arrived.
    pub age: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
}

/// Record of a request in progress.
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

/// The entry of a request in the registry, removed on drop.
#[derive(Debug)]
pub(crate) struct Registration {
    registry: Arc<Registry>,
    number: u64,
}

impl Registry {
    /// Adds a request.
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

    /// No code that holds the lock can panic during a change, so a poisoned lock is still usable.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registration {
    /// Records the machine that the request was sent to.
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
