//! The permits that were given for one runner under one bound.

use std::collections::VecDeque;
use std::time::Duration;

use flaxward_types::time::Timestamp;

/// Longest time for which room is promised: callers that are told a later one have given up by then, and hold up nobody.
const LONGEST_PROMISE: Duration = Duration::from_secs(10);

/// Permits of one runner within a sliding window.
#[derive(Debug)]
pub(super) struct Account {
    /// Time over which permits are counted.
    window: Duration,
    /// When permits were given, within the window.
    given: VecDeque<Timestamp>,
    /// When refused requests were told to come back, and their ranks.
    promised: Vec<(Timestamp, u8)>,
}

impl Account {
    /// No permits yet.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            given: VecDeque::new(),
            promised: Vec::new(),
        }
    }

    /// Forgets what lies further back than the window.
    pub fn advance(&mut self, now: Timestamp) {
        while self
            .given
            .front()
            .is_some_and(|&at| now.since(at) >= self.window)
        {
            self.given.pop_front();
        }
        self.promised.retain(|&(at, _)| at > now);
    }

    /// Whether nothing was given within the window.
    pub fn is_empty(&self) -> bool {
        self.given.is_empty()
    }

    /// Whether the window holds fewer permits than a number.
    pub fn has_room(&self, allowed: usize) -> bool {
        self.given.len() < allowed
    }

    /// Gives a permit.
    pub fn give(&mut self, now: Timestamp) {
        self.given.push_back(now);
    }

    /// Refuses a request of a rank which may have `allowed` permits in a window of `permits`. Returns when there is room
    /// for it, if those that were refused before it and are as urgent come first, or a time after which it asks again.
    pub fn refuse(
        &mut self,
        allowed: usize,
        permits: usize,
        rank: u8,
        now: Timestamp,
    ) -> Timestamp {
        let room_at = self.room_at(allowed, permits, rank);
        let last = now + LONGEST_PROMISE;
        if room_at > last {
            return last;
        }
        self.promised.push((room_at, rank));
        room_at
    }

    fn room_at(&self, allowed: usize, permits: usize, rank: u8) -> Timestamp {
        let before = self.promised.iter();
        let before = before.filter(|(_, other)| *other <= rank).count();
        let place = self.given.len() - allowed + before;
        if let Some(&given_at) = self.given.get(place) {
            return given_at + self.window;
        }
        let last = self.given.back().copied().unwrap_or(Timestamp::ZERO);
        let beyond = u32::try_from(place - self.given.len() + 1).unwrap_or(u32::MAX);
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        last + self.window + (self.window / permits).saturating_mul(beyond)
    }
}
