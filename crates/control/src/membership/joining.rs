//! When a daemon asks strangers for the members of the zone: its seeds, dead members, and senders
//! that it does not know.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::Timestamp;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::MembershipSettings;
use super::table::MemberTable;

/// Shortest time between two asks of the same sender.
const GREETING_INTERVAL: Duration = Duration::from_secs(2);

/// Most senders remembered as asked.
const MAX_GREETED: usize = 256;

/// Whom to ask and when.
#[derive(Clone, Debug)]
pub struct Joining {
    seeds: Vec<SocketAddr>,
    /// Seeds that have shown to be in another zone.
    elsewhere: BTreeSet<SocketAddr>,
    first_backoff: Duration,
    backoff: Duration,
    backoff_limit: Duration,
    interval: Duration,
    next: Timestamp,
    greeted: BTreeMap<SocketAddr, Timestamp>,
}

impl Joining {
    /// Asks these seeds, without the daemon's own address.
    pub fn new(settings: &MembershipSettings, me: SocketAddr, mut seeds: Vec<SocketAddr>) -> Self {
        seeds.retain(|seed| *seed != me);
        Self {
            seeds,
            elsewhere: BTreeSet::new(),
            first_backoff: settings.join_backoff,
            backoff: settings.join_backoff,
            backoff_limit: settings.join_backoff_limit,
            interval: settings.rejoin_interval,
            next: Timestamp::ZERO,
            greeted: BTreeMap::new(),
        }
    }

    /// Notes that a daemon of another zone listens at this address.
    pub fn is_elsewhere(&mut self, address: SocketAddr) {
        if self.seeds.contains(&address) {
            self.elsewhere.insert(address);
        }
    }

    /// Whether a sender that is not known may be asked now.
    pub fn may_greet(&mut self, address: SocketAddr, now: Timestamp) -> bool {
        self.greeted
            .retain(|_, asked| now.since(*asked) < GREETING_INTERVAL);
        if self.greeted.contains_key(&address) || self.greeted.len() >= MAX_GREETED {
            return false;
        }
        self.greeted.insert(address, now);
        true
    }

    /// Whom to ask now. A daemon that is alone asks all its seeds, at growing pauses; one that is
    /// not asks one dead member or unseen seed now and then.
    pub fn due(
        &mut self,
        alone: bool,
        table: &MemberTable,
        now: Timestamp,
        random: &mut ChaCha8Rng,
    ) -> Vec<SocketAddr> {
        if now < self.next {
            return Vec::new();
        }
        if alone {
            self.next = now + jitter(self.backoff, random);
            self.backoff = (self.backoff * 2).min(self.backoff_limit);
            let mut asked = self.absent(table);
            asked.extend(&self.elsewhere);
            return asked;
        }
        self.backoff = self.first_backoff;
        self.next = now + jitter(self.interval, random);
        self.absent(table)
            .choose(random)
            .copied()
            .into_iter()
            .collect()
    }

    /// Addresses of dead members, and of seeds of this zone that are no live member.
    fn absent(&self, table: &MemberTable) -> Vec<SocketAddr> {
        let live: BTreeSet<SocketAddr> = table
            .live()
            .map(|member| member.update.peer.address)
            .collect();
        let dead = table
            .iter()
            .filter(|member| member.update.state == flaxward_wire::MemberState::Dead)
            .map(|member| member.update.peer.address);
        let seeds = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !self.elsewhere.contains(seed));
        let absent: BTreeSet<SocketAddr> = dead
            .chain(seeds)
            .filter(|address| !live.contains(address))
            .collect();
        absent.into_iter().collect()
    }
}

/// Between three quarters and five quarters of a duration, so that daemons do not fall into step.
fn jitter(duration: Duration, random: &mut ChaCha8Rng) -> Duration {
    duration.mul_f64(random.random_range(0.75..1.25))
}
