//! Schedule of join requests for the members of the zone, to seeds, dead members and unknown
//! senders.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::Timestamp;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::MembershipSettings;
use super::table::MemberTable;

/// Minimum time between two join requests to the same sender.
const SENDER_JOIN_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of senders remembered as asked.
const MAX_RECENTLY_ASKED: usize = 256;

/// Decides which addresses to send join requests to, and when.
#[derive(Clone, Debug)]
pub struct JoinSchedule {
    seeds: Vec<SocketAddr>,
    /// Seeds found to be in another zone.
    other_zone_seeds: BTreeSet<SocketAddr>,
    first_backoff: Duration,
    backoff: Duration,
    backoff_limit: Duration,
    interval: Duration,
    next: Timestamp,
    recently_asked: BTreeMap<SocketAddr, Timestamp>,
}

impl JoinSchedule {
    /// A schedule for these seeds, without the daemon's own address.
    pub fn new(settings: &MembershipSettings, me: SocketAddr, mut seeds: Vec<SocketAddr>) -> Self {
        seeds.retain(|seed| *seed != me);
        Self {
            seeds,
            other_zone_seeds: BTreeSet::new(),
            first_backoff: settings.join_backoff,
            backoff: settings.join_backoff,
            backoff_limit: settings.join_backoff_limit,
            interval: settings.rejoin_interval,
            next: Timestamp::ZERO,
            recently_asked: BTreeMap::new(),
        }
    }

    /// Records that a daemon of another zone listens at this address.
    pub fn record_other_zone(&mut self, address: SocketAddr) {
        if self.seeds.contains(&address) {
            self.other_zone_seeds.insert(address);
        }
    }

    /// Whether an unknown sender may be sent a join request now; records the request if so.
    pub fn may_ask_sender(&mut self, address: SocketAddr, now: Timestamp) -> bool {
        self.recently_asked
            .retain(|_, asked| now.since(*asked) < SENDER_JOIN_INTERVAL);
        if self.recently_asked.contains_key(&address)
            || self.recently_asked.len() >= MAX_RECENTLY_ASKED
        {
            return false;
        }
        self.recently_asked.insert(address, now);
        true
    }

    /// The addresses to send join requests to now. An isolated daemon asks all its seeds, with
    /// exponential backoff; any other asks one dead member or unseen seed per rejoin interval.
    pub fn due(
        &mut self,
        is_isolated: bool,
        table: &MemberTable,
        now: Timestamp,
        random: &mut ChaCha8Rng,
    ) -> Vec<SocketAddr> {
        if now < self.next {
            return Vec::new();
        }
        if is_isolated {
            self.next = now + jitter(self.backoff, random);
            self.backoff = (self.backoff * 2).min(self.backoff_limit);
            let mut targets = self.missing_addresses(table);
            targets.extend(&self.other_zone_seeds);
            return targets;
        }
        self.backoff = self.first_backoff;
        self.next = now + jitter(self.interval, random);
        self.missing_addresses(table)
            .choose(random)
            .copied()
            .into_iter()
            .collect()
    }

    /// Addresses of dead members, and of seeds of this zone that are not live members.
    fn missing_addresses(&self, table: &MemberTable) -> Vec<SocketAddr> {
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
            .filter(|seed| !self.other_zone_seeds.contains(seed));
        let absent: BTreeSet<SocketAddr> = dead
            .chain(seeds)
            .filter(|address| !live.contains(address))
            .collect();
        absent.into_iter().collect()
    }
}

/// A random duration from 75 % to 125 % of the given one, so that daemons do not synchronize.
fn jitter(duration: Duration, random: &mut ChaCha8Rng) -> Duration {
    duration.mul_f64(random.random_range(0.75..1.25))
}
