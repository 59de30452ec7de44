//! What happens when this daemon gets or loses the lease, or hears of another holder.

use std::fmt::Display;
use std::net::SocketAddr;

use flaxward_routing::lease::{LeaseChange, LossReason};
use flaxward_routing::messages::Message;
use flaxward_routing::placement::Placement;
use flaxward_routing::store_trust::WatchRole;
use flaxward_types::time::Timestamp;

use super::Coordination;
use super::leading::{self, Leading};

impl Coordination {
    pub(super) fn lease_changed(&mut self, change: &LeaseChange) {
        match *change {
            LeaseChange::Acquired { term, orders_from } => self.begin_leading(term, orders_from),
            LeaseChange::Claimed { term } => self.log_lease("lease-claimed", term),
            LeaseChange::Lost { term, reason } => self.end_leading(term, reason),
            LeaseChange::Holder { address, term } => self.follow(address, term),
        }
    }

    /// This daemon coordinates from now on, and watches the store for all.
    pub(super) fn begin_leading(&mut self, term: u64, orders_from: Timestamp) {
        let now = self.shared.now();
        let placement = Placement::new(self.shared.settings.placement, now, orders_from);
        let regions = self.shared.locality.regions().clone();
        let placement = placement.in_regions(regions);
        let mut placement = placement.with_versions_above(self.holdings_version);
        if let Some(configuration) = self.shared.configuration() {
            placement.configure(&configuration);
        }
        placement.inherit_store_limits(self.following.store_limits(), now);
        self.shared.set_watch_role(WatchRole::Coordinator);
        self.announce();
        let link = self.shared.settings.strength.link;
        self.leading = Some(Leading::new(term, placement, link, now));
        self.log_lease("lease-acquired", term);
        self.follow(self.address, term);
    }

    /// This daemon coordinates no longer. The standbys need not wait until it is silent.
    pub(super) fn end_leading(&mut self, term: u64, reason: LossReason) {
        let now = self.shared.now();
        self.shared.tables().loads.clear();
        self.shared.set_watch_role(WatchRole::Member);
        if let Some(leading) = self.leading.take() {
            self.holdings_version = leading.placement.version();
            for address in leading.standby_addresses(now) {
                self.peers.send(address, &Message::LeaseEnded { term });
            }
        }
        self.following.forget();
        let fields: &[(&str, &dyn Display)] =
            &[("term", &term), ("reason", &format!("{reason:?}"))];
        self.shared.log.write(now, "lease-lost", fields);
    }

    /// Tells the members that this daemon knows and has not heard yet that it coordinates.
    pub(super) fn announce(&mut self) {
        let now = self.shared.now();
        let Some(pulse) = self.lease.heartbeat(now) else {
            return;
        };
        let quota = self.quotas.news(&[], self.shared.daemons(), now);
        let header = leading::header(&self.shared, pulse, self.address, &quota);
        let heard = match &self.leading {
            Some(leading) => leading.member_addresses(now),
            None => Vec::new(),
        };
        let mut members = self.following.members().to_vec();
        if members.is_empty() {
            members = self.lease.recorded_members().to_vec();
        }
        let is_unheard =
            |address: &&SocketAddr| **address != self.address && !heard.contains(*address);
        for address in members.iter().filter(is_unheard) {
            self.peers
                .send(*address, &Message::Direction(Box::new(header.clone())));
        }
    }

    pub(super) fn log_lease(&self, event: &str, term: u64) {
        let fields: &[(&str, &dyn Display)] = &[("term", &term)];
        self.shared.log.write(self.shared.now(), event, fields);
    }

    /// Turns to a coordinator, unless a later one is known.
    pub(super) fn follow(&mut self, address: SocketAddr, term: u64) {
        if self.following.follow(address, term) {
            // It has not been silent: it was not known.
            self.coordinator_heard_at = self.shared.now();
            self.log_lease("coordinator-known", term);
        }
    }
}
