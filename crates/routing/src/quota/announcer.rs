//! When a keeper tells all daemons which tenants are near their limit.
//!
//! The coordinator tells it with its heartbeats, and at once when a tenant joins or leaves them. While the coordinator
//! is silent the first deputy does, and after it the next one.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::{QuotaNews, TenantLimit};
use crate::names::TenantName;

/// Standbys that keep the quotas beside the coordinator. With two, a coordinator and a standby can be lost at once.
pub const DEPUTIES: usize = 2;
/// Shortest time between two announcements.
const LEAST_INTERVAL: Duration = Duration::from_millis(80);
/// Time between two announcements of a deputy without news.
const DEPUTY_INTERVAL: Duration = Duration::from_millis(500);
/// Silence of the coordinator after which the first deputy speaks. It tells twice a second.
const DEPUTY_SILENCE: Duration = Duration::from_millis(700);
/// How much later each next one does.
const DEPUTY_TURN: Duration = Duration::from_millis(250);

/// In which place a daemon speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speaker {
    /// It coordinates, and its heartbeats tell the limits too.
    Coordinator,
    /// It speaks for a coordinator that is silent.
    Deputy,
}

/// What one daemon has heard and told of limits.
#[derive(Debug)]
pub struct Announcer {
    own: SocketAddr,
    keepers: Vec<SocketAddr>,
    heard_at: Timestamp,
    told: Vec<TenantName>,
    told_at: Timestamp,
}

impl Announcer {
    /// A daemon that listens at an address and knows of no keeper.
    pub fn new(own: SocketAddr, now: Timestamp) -> Self {
        Self {
            own,
            keepers: Vec::new(),
            heard_at: now,
            told: Vec::new(),
            told_at: Timestamp::ZERO,
        }
    }

    /// Takes in what a keeper has told.
    pub fn heard(&mut self, news: &QuotaNews, now: Timestamp) {
        self.heard_at = now;
        if !news.keepers.is_empty() {
            self.keepers.clone_from(&news.keepers);
        }
    }

    /// Whom this daemon tells what it admits.
    pub fn keepers(&self) -> &[SocketAddr] {
        &self.keepers
    }

    /// Whether others tell this daemon what they admit.
    pub fn is_keeper(&self) -> bool {
        self.keepers.contains(&self.own)
    }

    /// Whether this daemon speaks for a coordinator that is silent.
    pub fn speaks_as_deputy(&self, now: Timestamp) -> bool {
        let place = self.keepers.iter().position(|keeper| *keeper == self.own);
        let Some(place) = place.and_then(|place| u32::try_from(place).ok()) else {
            return false;
        };
        // The coordinator is the first of the keepers.
        let turn = place.saturating_sub(1);
        now.since(self.heard_at) >= DEPUTY_SILENCE + DEPUTY_TURN * turn
    }

    /// Whether an announcement is due.
    pub fn is_due(&self, speaker: Speaker, limits: &[TenantLimit], now: Timestamp) -> bool {
        let age = now.since(self.told_at);
        let is_heartbeat_due = speaker == Speaker::Deputy && age >= DEPUTY_INTERVAL;
        is_heartbeat_due || (age >= LEAST_INTERVAL && !self.told.iter().eq(tenants(limits)))
    }

    /// Notes that all daemons were told. Returns whether other tenants are near their limit than before.
    pub fn told(&mut self, limits: &[TenantLimit], now: Timestamp) -> bool {
        let is_news = !self.told.iter().eq(tenants(limits));
        self.told = tenants(limits).cloned().collect();
        self.told_at = now;
        is_news
    }

    /// This daemon does not speak any more.
    pub fn stop(&mut self) {
        self.told.clear();
    }
}

fn tenants(limits: &[TenantLimit]) -> impl Iterator<Item = &TenantName> {
    limits.iter().map(|limit| &limit.tenant)
}
