//! Limits a daemon's outgoing messages to a share of its link, so that its own calls are not queued behind them.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::messages::Direction;

/// Share of the link that messages to members may use. The rest is left for the lease renewal, orders, reports and
/// requests.
const LINK_SHARE: f64 = 0.4;
/// How long unused capacity is kept: a burst of this length may be sent at once.
const BURST: Duration = Duration::from_millis(200);
/// Bytes per second in 1 Mbit/s.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Size of a message without lists, including the headers of its datagram, in bytes.
const MESSAGE_BYTES: u32 = 110;
/// Size of the holdings of one runner: its name, two models and some adapters.
const HOLDINGS_BYTES: u32 = 60;
/// Size of a change of one runner.
const CHANGE_BYTES: u32 = 70;
/// Size of an outlook, a load or an address.
const ENTRY_BYTES: u32 = 24;

/// A token bucket for bytes on the link.
#[derive(Debug)]
pub struct Pacer {
    /// Bytes per second; `None` if the link speed is unknown.
    rate: Option<f64>,
    tokens: f64,
    refilled_at: Timestamp,
}

impl Pacer {
    /// A pacer for a link speed in Mbit/s; 0 means unknown and sets no limit.
    pub fn new(link: u32, now: Timestamp) -> Self {
        let rate = (link > 0).then(|| f64::from(link) * BYTES_PER_MEGABIT * LINK_SHARE);
        Self {
            rate,
            tokens: rate.map_or(0.0, |rate| rate * BURST.as_secs_f64()),
            refilled_at: now,
        }
    }

    /// Refills the bucket up to `now`.
    pub fn refill(&mut self, now: Timestamp) {
        let Some(rate) = self.rate else {
            return;
        };
        let gained = rate * now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + gained).min(rate * BURST.as_secs_f64());
    }

    /// Time needed to send a number of bytes; zero if the link speed is unknown.
    pub fn transmission_time(&self, bytes: usize) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let bytes = bytes as f64;
        self.rate
            .map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes / rate))
    }

    /// Whether another message may be sent now.
    pub fn can_send(&self) -> bool {
        self.rate.is_none() || self.tokens > 0.0
    }

    /// Counts a message as sent.
    pub fn consume(&mut self, direction: &Direction) {
        self.tokens -= f64::from(size(direction));
    }
}

/// Approximate number of bytes that send the whole state of a number of runners to one daemon.
pub fn full_state_bytes(runners: usize) -> usize {
    runners * usize::try_from(HOLDINGS_BYTES + CHANGE_BYTES).unwrap_or(usize::MAX)
}

/// Approximate number of bytes that send the loads of a number of runners.
pub fn loads_bytes(runners: usize) -> usize {
    runners * usize::try_from(ENTRY_BYTES).unwrap_or(usize::MAX)
}

/// Approximate size of a message in bytes.
fn size(direction: &Direction) -> u32 {
    let count = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
    let changes = direction
        .membership
        .as_ref()
        .map_or(0, |it| it.changes.len());
    let loads = direction.loads.as_ref().map_or(0, Vec::len);
    let members = direction.members.as_ref().map_or(0, Vec::len);
    let quota = direction.quota.keepers.len() + direction.quota.limits.len();
    let entries = direction.outlooks.len() + loads + members + quota;
    MESSAGE_BYTES
        + HOLDINGS_BYTES * count(direction.holdings.len())
        + CHANGE_BYTES * count(changes)
        + ENTRY_BYTES * count(entries)
}
