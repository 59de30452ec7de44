//! Sliding-window count of the permits issued for one runner under one limit.

use std::collections::VecDeque;
use std::time::Duration;

use flaxward_types::time::Timestamp;

/// Longest retry delay. Callers that are given a later time have given up by then, so they reserve nothing.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Permits of one runner within a sliding window.
#[derive(Debug)]
pub(super) struct SlidingWindow {
    /// Length of the window.
    window: Duration,
    /// When permits were issued, within the window.
    issued: VecDeque<Timestamp>,
    /// When refused requests were told to retry, and their ranks.
    reservations: Vec<(Timestamp, u8)>,
}

impl SlidingWindow {
    /// An empty window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            issued: VecDeque::new(),
            reservations: Vec::new(),
        }
    }

    /// Removes permits that are older than the window, and reservations that have passed.
    pub fn advance(&mut self, now: Timestamp) {
        while self
            .issued
            .front()
            .is_some_and(|&at| now.since(at) >= self.window)
        {
            self.issued.pop_front();
        }
        self.reservations.retain(|&(at, _)| at > now);
    }

    /// Whether no permit was issued within the window.
    pub fn is_empty(&self) -> bool {
        self.issued.is_empty()
    }

    /// Whether the window holds fewer than `allowed` permits.
    pub fn has_room(&self, allowed: usize) -> bool {
        self.issued.len() < allowed
    }

    /// Records an issued permit.
    pub fn issue(&mut self, now: Timestamp) {
        self.issued.push_back(now);
    }

    /// Refuses a request whose rank may have `allowed` permits in a window of `permits`. Returns when a permit becomes
    /// available to it, assuming that requests refused earlier with the same or a more urgent rank come first, or the
    /// maximum retry delay if that is sooner.
    pub fn refuse(
        &mut self,
        allowed: usize,
        permits: usize,
        rank: u8,
        now: Timestamp,
    ) -> Timestamp {
        let available_at = self.available_at(allowed, permits, rank);
        let last = now + MAX_RETRY_DELAY;
        if available_at > last {
            return last;
        }
        self.reservations.push((available_at, rank));
        available_at
    }

    fn available_at(&self, allowed: usize, permits: usize, rank: u8) -> Timestamp {
        let ahead = self.reservations.iter();
        let ahead = ahead.filter(|(_, other)| *other <= rank).count();
        let position = self.issued.len() - allowed + ahead;
        if let Some(&issued_at) = self.issued.get(position) {
            return issued_at + self.window;
        }
        let last = self.issued.back().copied().unwrap_or(Timestamp::ZERO);
        let beyond = u32::try_from(position - self.issued.len() + 1).unwrap_or(u32::MAX);
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        last + self.window + (self.window / permits).saturating_mul(beyond)
    }
}
