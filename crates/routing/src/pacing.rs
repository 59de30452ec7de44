//! Keeps what a daemon sends within its link, so that its own calls are not held up behind it.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::messages::Direction;

/// Part of the link that messages to members may fill. The rest is for the renewal of the lease, orders,
/// reports and requests.
const LINK_SHARE: f64 = 0.4;
/// Time for which unused room is kept: a burst of this length may go out at once.
const BURST: Duration = Duration::from_millis(200);
/// Bytes in a second of one Mbit/s.
const BYTES_A_MEGABIT: f64 = 125_000.0;

/// Size of a message without lists, with the headers of its datagram, in bytes.
const MESSAGE_BYTES: u32 = 110;
/// Size of what one runner holds: its name, two models and some adapters.
const HOLDINGS_BYTES: u32 = 60;
/// Size of a change of one runner.
const CHANGE_BYTES: u32 = 70;
/// Size of an outlook, a load or an address.
const ENTRY_BYTES: u32 = 24;

/// Room on the link that fills with time.
#[derive(Debug)]
pub struct Pacer {
    /// Bytes a second; `None` if the link was not told.
    rate: Option<f64>,
    room: f64,
    filled_at: Timestamp,
}

impl Pacer {
    /// A pacer for a link of a speed in Mbit/s; 0 if it was not told, which bounds nothing.
    pub fn new(link: u32, now: Timestamp) -> Self {
        let rate = (link > 0).then(|| f64::from(link) * BYTES_A_MEGABIT * LINK_SHARE);
        Self {
            rate,
            room: rate.map_or(0.0, |rate| rate * BURST.as_secs_f64()),
            filled_at: now,
        }
    }

    /// Takes in that time has passed.
    pub fn fill(&mut self, now: Timestamp) {
        let Some(rate) = self.rate else {
            return;
        };
        let gained = rate * now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.room = (self.room + gained).min(rate * BURST.as_secs_f64());
    }

    /// Time in which so many bytes may be sent; none if the link was not told.
    pub fn time_for(&self, bytes: usize) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let bytes = bytes as f64;
        self.rate
            .map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes / rate))
    }

    /// Whether something more may be sent now.
    pub fn has_room(&self) -> bool {
        self.rate.is_none() || self.room > 0.0
    }

    /// Counts a message as sent.
    pub fn take(&mut self, direction: &Direction) {
        self.room -= f64::from(size(direction));
    }
}

/// About how many bytes tell a daemon all there is to know of a number of runners.
pub fn bytes_of_everything(runners: usize) -> usize {
    runners * usize::try_from(HOLDINGS_BYTES + CHANGE_BYTES).unwrap_or(usize::MAX)
}

/// About how many bytes tell the loads of a number of runners.
pub fn bytes_of_loads(runners: usize) -> usize {
    runners * usize::try_from(ENTRY_BYTES).unwrap_or(usize::MAX)
}

/// About how many bytes a message takes.
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
