//! When a keeper announces to all daemons which tenants are near their limit.
//!
//! The coordinator includes the list in its heartbeats, and sends it at once when a tenant is added or removed. While
//! the coordinator is silent, the first deputy takes over, and after it the next one.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::{QuotaNews, TenantLimit};
use crate::names::TenantName;

/// Number of standbys that track the quotas besides the coordinator. With two, the coordinator and one standby can be
/// lost at the same time.
pub const DEPUTIES: usize = 2;
/// Minimum interval between two announcements.
const MIN_INTERVAL: Duration = Duration::from_millis(80);
/// Interval between announcements of a deputy when nothing has changed.
const DEPUTY_INTERVAL: Duration = Duration::from_millis(500);
/// Silence of the coordinator after which the first deputy takes over. The coordinator announces twice per second.
const DEPUTY_TAKEOVER_DELAY: Duration = Duration::from_millis(700);
/// Additional delay for each further deputy.
const DEPUTY_STAGGER: Duration = Duration::from_millis(250);

/// The role in which a daemon announces limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncerRole {
    /// The coordinator, whose heartbeats also carry the limits.
    Coordinator,
    /// A deputy that replaces a silent coordinator.
    Deputy,
}

/// Announcements that one daemon has received and sent.
#[derive(Debug)]
pub struct Announcer {
    own_address: SocketAddr,
    keepers: Vec<SocketAddr>,
    observed_at: Timestamp,
    announced: Vec<TenantName>,
    announced_at: Timestamp,
}

impl Announcer {
    /// A daemon that listens on `own_address` and knows of no keeper.
    pub fn new(own_address: SocketAddr, now: Timestamp) -> Self {
        Self {
            own_address,
            keepers: Vec::new(),
            observed_at: now,
            announced: Vec::new(),
            announced_at: Timestamp::ZERO,
        }
    }

    /// Records an announcement of a keeper.
    pub fn observe(&mut self, news: &QuotaNews, now: Timestamp) {
        self.observed_at = now;
        if !news.keepers.is_empty() {
            self.keepers.clone_from(&news.keepers);
        }
    }

    /// The keepers to which this daemon reports what it admits.
    pub fn keepers(&self) -> &[SocketAddr] {
        &self.keepers
    }

    /// Whether other daemons report to this one what they admit.
    pub fn is_keeper(&self) -> bool {
        self.keepers.contains(&self.own_address)
    }

    /// Whether this daemon announces in place of a silent coordinator.
    pub fn acts_as_deputy(&self, now: Timestamp) -> bool {
        let position = self
            .keepers
            .iter()
            .position(|keeper| *keeper == self.own_address);
        let Some(position) = position.and_then(|position| u32::try_from(position).ok()) else {
            return false;
        };
        // The coordinator is the first of the keepers.
        let stagger_steps = position.saturating_sub(1);
        now.since(self.observed_at) >= DEPUTY_TAKEOVER_DELAY + DEPUTY_STAGGER * stagger_steps
    }

    /// Whether an announcement is due.
    pub fn is_due(&self, role: AnnouncerRole, limits: &[TenantLimit], now: Timestamp) -> bool {
        let age = now.since(self.announced_at);
        let is_heartbeat_due = role == AnnouncerRole::Deputy && age >= DEPUTY_INTERVAL;
        is_heartbeat_due || (age >= MIN_INTERVAL && !self.announced.iter().eq(tenants(limits)))
    }

    /// Records that the limits were announced to all daemons. Returns whether the set of tenants near their limit has
    /// changed.
    pub fn record_announced(&mut self, limits: &[TenantLimit], now: Timestamp) -> bool {
        let has_changed = !self.announced.iter().eq(tenants(limits));
        self.announced = tenants(limits).cloned().collect();
        self.announced_at = now;
        has_changed
    }

    /// Stops announcing.
    pub fn stop(&mut self) {
        self.announced.clear();
    }
}

fn tenants(limits: &[TenantLimit]) -> impl Iterator<Item = &TenantName> {
    limits.iter().map(|limit| &limit.tenant)
}
