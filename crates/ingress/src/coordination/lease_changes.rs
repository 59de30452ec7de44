//! Handles changes of the lease: this daemon acquires or loses it, or learns of another holder.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use flaxward_routing::lease::{LeaseChange, LossReason};
use flaxward_routing::messages::Message;
use flaxward_routing::placement::Placement;
use flaxward_routing::store_trust::WatchRole;
use flaxward_types::time::Timestamp;

use super::Coordination;
use super::leader::{self, Leader};

impl Coordination {
    pub(super) fn lease_changed(&mut self, change: &LeaseChange) {
        match *change {
            LeaseChange::Acquired { term, orders_from } => self.begin_leading(term, orders_from),
            LeaseChange::Claimed { term } => self.log_lease("lease-claimed", term),
            LeaseChange::Lost { term, reason } => self.end_leading(term, reason),
            LeaseChange::Holder { address, term } => self.follow(address, term),
        }
    }

    /// Starts coordinating under a term, and watches the store for all members.
    pub(super) fn begin_leading(&mut self, term: u64, orders_from: Timestamp) {
        let now = self.shared.now();
        let placement = Placement::new(self.shared.settings.placement, now, orders_from);
        let regions = self.shared.locality.regions().clone();
        let placement = placement.in_regions(regions);
        let mut placement = placement.with_versions_above(self.holdings_version);
        if let Some(configuration) = self.shared.configuration() {
            placement.configure(&configuration);
        }
        placement.inherit_store_limits(self.follower.store_limits(), now);
        self.shared.set_watch_role(WatchRole::Coordinator);
        self.announce_leadership();
        let link = self.shared.settings.strength.link;
        self.leader = Some(Leader::new(term, placement, link, now));
        self.log_lease("lease-acquired", term);
        self.follow(self.address, term);
    }

    /// Stops coordinating. The standbys are notified, so that they need not wait for the heartbeats to time out.
    pub(super) fn end_leading(&mut self, term: u64, reason: LossReason) {
        let now = self.shared.now();
        self.shared.tables().loads.clear();
        self.shared.set_watch_role(WatchRole::Member);
        if let Some(leader) = self.leader.take() {
            self.holdings_version = leader.placement.version();
            for address in leader.standby_addresses(now) {
                self.peers.send(address, &Message::LeaseEnded { term });
            }
        }
        self.follower.forget();
        let fields: &[(&str, &dyn Display)] =
            &[("term", &term), ("reason", &format!("{reason:?}"))];
        self.shared.log.write(now, "lease-lost", fields);
    }

    /// Announces to the known members that have not reported yet that this daemon coordinates.
    pub(super) fn announce_leadership(&mut self) {
        let now = self.shared.now();
        let Some(heartbeat) = self.lease.heartbeat(now) else {
            return;
        };
        let quota = self.quotas.announcement(&[], self.shared.daemons(), now);
        let header = leader::header(&self.shared, heartbeat, self.address, &quota);
        let reporting = match &self.leader {
            Some(leader) => leader.member_addresses(now),
            None => Vec::new(),
        };
        let mut members = self.follower.members().to_vec();
        if members.is_empty() {
            members = self.lease.recorded_members().to_vec();
        }
        let has_not_reported =
            |address: &&SocketAddr| **address != self.address && !reporting.contains(*address);
        for address in members.iter().filter(has_not_reported) {
            self.peers
                .send(*address, &Message::Direction(Box::new(header.clone())));
        }
    }

    pub(super) fn log_lease(&self, event: &str, term: u64) {
        let fields: &[(&str, &dyn Display)] = &[("term", &term)];
        self.shared.log.write(self.shared.now(), event, fields);
    }

    /// Follows a coordinator, unless one with a later term is known.
    pub(super) fn follow(&mut self, address: SocketAddr, term: u64) {
        if self.follower.follow(address, term) {
            // Its silence is counted from now: before this, it was not known.
            self.coordinator_seen_at = self.shared.now();
            self.shared.has_lease.store(true, Ordering::Relaxed);
            self.log_lease("coordinator-known", term);
        }
    }
}
