//! How old a message can be at most when a daemon takes it in.
//!
//! A daemon that was frozen finds messages in its socket that lie there for as long as it was. What they say of the
//! present was true before. So a message counts as having come at the last moment before which it surely had not.

use std::time::Duration;

use flaxward_types::time::Timestamp;

/// Time between two looks at the socket after which a daemon is taken to have stood still. It looks four times a
/// second at least.
const STANDSTILL: Duration = Duration::from_millis(600);

/// When a daemon has looked at its socket.
#[derive(Debug)]
pub struct Arrivals {
    looked_at: Timestamp,
    /// It stood still from then on, and has not taken in all since that came meanwhile.
    stood_still_since: Option<Timestamp>,
    came_after: Timestamp,
}

impl Arrivals {
    /// A daemon that begins to look.
    pub fn new(now: Timestamp) -> Self {
        Self {
            looked_at: now,
            stood_still_since: None,
            came_after: now,
        }
    }

    /// The daemon looks for the next message. `is_empty` tells whether none was there just after `now` was read; it is
    /// asked only after a standstill.
    pub fn looks(&mut self, now: Timestamp, is_empty: impl FnOnce() -> bool) {
        let before = std::mem::replace(&mut self.looked_at, now);
        if now.since(before) >= STANDSTILL {
            self.stood_still_since.get_or_insert(before);
        }
        if self.stood_still_since.is_some() && is_empty() {
            self.stood_still_since = None;
        }
        self.came_after = self.stood_still_since.unwrap_or(before);
    }

    /// The next message came no earlier than this.
    pub fn came_after(&self) -> Timestamp {
        self.came_after
    }
}
