//! A keeper's side of the quotas: aggregates what all daemons admit, and decides on requests of tenants near their
//! limit.
//!
//! Each tenant has one token bucket. A request is granted if the bucket holds its cost. For daemons that get no answer,
//! the keeper announces which share of the requests to admit, so that together they admit
//!
//! `rate + (level - margin) / correction time`
//!
//! units per second, and the level converges to the margin.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use super::{Grant, QuotaQuestion, TenantLimit, TenantUse, UseReport, capacity};
use crate::configuration::Configuration;
use crate::names::TenantName;
use crate::tenants::Quota;

/// Share of the capacity below which a tenant counts as near its limit. Until daemons learn of that, they admit
/// requests that no keeper has counted yet.
pub const NEAR_SHARE: f64 = 0.7;
/// Share of the capacity above which a tenant may stop counting as near its limit.
const CLEAR_SHARE: f64 = 0.85;
/// How long the level must stay above that share; every change is announced to all daemons.
const CLEAR_HOLD: Duration = Duration::from_secs(3);
/// Share of the capacity at which the level is held while daemons get no answers.
const MARGIN_SHARE: f64 = 0.3;
/// Time in which the level is brought back to the margin.
const CORRECTION: Duration = Duration::from_millis(500);
/// Share of the capacity that each rank must leave for every more urgent one.
const RESERVE_SHARE: f64 = 0.15;
/// Number of distinct ranks; less urgent ones count as the last.
const RANKS: usize = 4;
/// One in this many requests of a rank may use the whole bucket, so that no rank is starved.
const UNRESERVED_INTERVAL: u32 = 4;
/// Time constant of the average of the demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(700);
/// Maximum debt of a bucket, as a multiple of its capacity; a larger one would refuse a tenant for a long time after a
/// fault.
const MAX_DEBT: f64 = 4.0;
/// Initial level of a bucket, as a share of its capacity: a new keeper does not know what was admitted before.
const STARTUP_SHARE: f64 = 0.15;
/// How long a new keeper caps buckets at that level. Without a keeper, daemons admit less than the rate to compensate
/// for what they admitted beyond it when the keepers were lost, for as long as they remember that (the maximum debt of
/// [`super::meter`]). A new keeper would see this as free capacity: where a coordinator and both deputies were lost as
/// a tenant started to ask for 4.2 times its rate, the keeper granted a whole bucket on top, 1.02 times the allowed
/// total.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// Time without a report after which a daemon may be admitting from its local share, unseen by the keeper.
const MISSING_AFTER: Duration = Duration::from_millis(1_600);
/// Time without any report after which a keeper resets its state, because it was not a keeper in the meantime.
const IDLE_RESET: Duration = Duration::from_secs(3);
/// Minimum interval between checks for silent daemons; each check iterates over all of them.
const REACHABILITY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a report after which a daemon is removed.
const GONE_AFTER: Duration = Duration::from_secs(10);

/// The token bucket of one tenant.
#[derive(Debug)]
struct TenantBucket {
    quota: Quota,
    level: f64,
    /// Requested units, decaying with a time constant of [`DEMAND_WINDOW`].
    recent_demand: f64,
    /// When the keeper that owns the bucket started.
    started_at: Timestamp,
    /// Cost of refused requests that were told to retry, less what could have been admitted since.
    deferred: f64,
    updated_at: Timestamp,
    /// Number of requests of each rank.
    requests_by_rank: [u32; RANKS],
    is_near: bool,
    /// Since when the level has been high enough to stop counting as near the limit.
    clear_since: Option<Timestamp>,
    /// Share of the daemons that report; the others may be admitting from their local shares.
    reachable_share: f64,
}

impl TenantBucket {
    /// The bucket of a keeper that has just started.
    fn new(quota: Quota, now: Timestamp) -> Self {
        Self {
            quota,
            level: capacity(&quota) * STARTUP_SHARE,
            recent_demand: 0.0,
            started_at: now,
            deferred: 0.0,
            updated_at: now,
            requests_by_rank: [0; RANKS],
            is_near: true,
            clear_since: None,
            reachable_share: 1.0,
        }
    }

    /// Units per second that the reporting daemons may admit.
    fn rate(&self) -> f64 {
        self.quota.rate * self.reachable_share
    }

    /// Capacity that is left to the reporting daemons; the others have their local shares.
    fn effective_capacity(&self) -> f64 {
        capacity(&self.quota) * self.reachable_share
    }

    /// Advances the bucket to `now`.
    fn advance(&mut self, now: Timestamp) {
        let passed = now.since(self.updated_at);
        if passed.is_zero() {
            return;
        }
        self.updated_at = now;
        let full = self.effective_capacity();
        let is_starting = now.since(self.started_at) < STARTUP_TIME;
        let max_level = if is_starting {
            full * STARTUP_SHARE
        } else {
            full
        };
        let filled = self.level + self.rate() * passed.as_secs_f64();
        self.level = filled.clamp(-MAX_DEBT * full, max_level);
        self.deferred = (self.deferred - self.rate() * passed.as_secs_f64()).max(0.0);
        self.recent_demand *= (-passed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
    }

    #[allow(clippy::cast_precision_loss)]
    fn count(&mut self, admitted: i64, asked: u64) {
        self.level -= admitted as f64;
        self.recent_demand += asked as f64;
    }

    /// Grants a request if the bucket holds its cost plus the reserve for more urgent ranks. A request that costs more
    /// than a full bucket less the reserve is granted by a full bucket, and leaves a debt.
    fn ask(&mut self, cost: u32, rank: u8) -> Grant {
        let cost = f64::from(cost);
        let needed = cost + self.reserve(rank);
        let shortfall = needed.min(self.effective_capacity()) - self.level;
        if shortfall <= 0.0 {
            self.level -= cost;
            return Grant::Granted;
        }
        // Each refused request gets a later time than the one before, by which the earlier ones could have been served.
        self.deferred += cost;
        let retry_after = Duration::try_from_secs_f64((shortfall + self.deferred) / self.rate());
        let retry_after =
            retry_after.map_or(u32::MAX, |it| u32::try_from(millis(it)).unwrap_or(u32::MAX));
        Grant::Refused {
            room_in_ms: retry_after,
        }
    }

    /// Requested units per second.
    fn demand(&self) -> f64 {
        self.recent_demand / DEMAND_WINDOW.as_secs_f64()
    }

    /// Units that a request of a rank must leave in the bucket.
    fn reserve(&mut self, rank: u8) -> f64 {
        if self.demand() <= self.rate() {
            return 0.0;
        }
        let rank_index = usize::from(rank).min(RANKS - 1);
        let count = &mut self.requests_by_rank[rank_index];
        *count = count.wrapping_add(1);
        if count.is_multiple_of(UNRESERVED_INTERVAL) {
            return 0.0;
        }
        #[allow(clippy::cast_precision_loss)]
        let more_urgent = rank_index as f64;
        self.effective_capacity() * RESERVE_SHARE * more_urgent
    }

    /// Updates whether the tenant is near its limit.
    fn update_near_limit(&mut self, now: Timestamp) {
        let full = self.effective_capacity();
        if self.level < full * NEAR_SHARE {
            self.is_near = true;
        }
        if self.level < full * CLEAR_SHARE {
            self.clear_since = None;
            return;
        }
        let since = *self.clear_since.get_or_insert(now);
        if now.since(since) >= CLEAR_HOLD {
            self.is_near = false;
        }
    }

    /// Share of the requests that daemons admit without an answer, in thousandths.
    fn admitted_share(&self) -> u16 {
        let margin = self.effective_capacity() * MARGIN_SHARE;
        let correction = (self.level - margin) / CORRECTION.as_secs_f64();
        let allowed = (self.rate() + correction).max(0.0);
        let demand = self.demand();
        if demand <= allowed {
            return thousandths(1.0);
        }
        thousandths(allowed / demand)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn thousandths(part: f64) -> u16 {
    (part * 1_000.0).round().clamp(0.0, 1_000.0) as u16
}

/// A keeper's counts for one tenant at one daemon.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedUse {
    /// Reported by the daemon, counted from its start.
    admitted: i64,
    asked: u64,
    /// Granted by this keeper since that report, and already counted.
    granted: i64,
}

impl ReportedUse {
    fn of(reported: &TenantUse) -> Self {
        Self {
            admitted: reported.admitted,
            asked: reported.asked,
            granted: 0,
        }
    }
}

/// A daemon as known to a keeper.
#[derive(Debug)]
struct Member {
    life: u64,
    heard_at: Timestamp,
    uses: HashMap<TenantName, ReportedUse>,
}

/// The buckets of all tenants.
#[derive(Debug)]
pub struct QuotaKeeper {
    /// Since when this keeper receives the reports of all daemons.
    observing_since: Timestamp,
    heard_at: Option<Timestamp>,
    configuration_version: Option<u64>,
    buckets: HashMap<TenantName, TenantBucket>,
    members: HashMap<SocketAddr, Member>,
    /// Number of daemons, as far as is known.
    daemons: u32,
    /// When silent daemons were last checked for.
    checked_at: Timestamp,
}

impl QuotaKeeper {
    /// A keeper that has received no report.
    pub fn new(now: Timestamp) -> Self {
        Self {
            observing_since: now,
            heard_at: None,
            configuration_version: None,
            buckets: HashMap::new(),
            members: HashMap::new(),
            daemons: 0,
            checked_at: now,
        }
    }

    /// Applies the quotas of a configuration, unless they are already applied.
    pub fn configure(&mut self, configuration: &Configuration, now: Timestamp) {
        if self.configuration_version == Some(configuration.version) {
            return;
        }
        self.configuration_version = Some(configuration.version);
        let mut buckets = HashMap::new();
        for tenant in configuration.tenants().iter() {
            let Some(quota) = tenant.quota.filter(|quota| quota.rate > 0.0) else {
                continue;
            };
            let bucket = self.buckets.remove(&tenant.name);
            let mut bucket = bucket.unwrap_or_else(|| TenantBucket::new(quota, now));
            bucket.advance(now);
            bucket.quota = quota;
            bucket.level = bucket.level.min(bucket.effective_capacity());
            buckets.insert(tenant.name.clone(), bucket);
        }
        self.buckets = buckets;
    }

    /// Whether any tenant has a quota.
    pub fn has_buckets(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// Records a daemon's report of what it has admitted.
    pub fn record_report(&mut self, report: UseReport, now: Timestamp) {
        if self.heard_at.is_none_or(|at| now.since(at) >= IDLE_RESET) {
            self.reset(now);
        }
        self.heard_at = Some(now);
        if now.since(self.checked_at) >= REACHABILITY_CHECK_INTERVAL {
            self.update_reachable_share(now);
        }
        let daemon_started_at = now - Duration::from_millis(u64::from(report.age_ms));
        // A keeper that was running before the daemon started has not counted any of its admissions yet.
        let observed_from_start = daemon_started_at >= self.observing_since;
        let member = self.members.entry(report.from).or_insert_with(|| Member {
            life: report.life,
            heard_at: now,
            uses: HashMap::new(),
        });
        if member.life != report.life {
            member.life = report.life;
            member.uses.clear();
        }
        member.heard_at = now;
        for reported in report.uses {
            let known = match member.uses.get(&reported.tenant) {
                Some(known) => *known,
                None if observed_from_start => ReportedUse::default(),
                None => ReportedUse::of(&reported),
            };
            if reported.asked < known.asked {
                // A reordered message: a later report was already applied.
                continue;
            }
            if let Some(bucket) = self.buckets.get_mut(&reported.tenant) {
                bucket.advance(now);
                // A grant that did not reach the daemon in time is missing from its count, and so is refunded.
                let admitted = reported.admitted - known.admitted - known.granted;
                bucket.count(admitted, reported.asked - known.asked);
            }
            member
                .uses
                .insert(reported.tenant.clone(), ReportedUse::of(&reported));
        }
    }

    /// Decides on a request of a tenant near its limit. A tenant that this keeper does not know has no quota.
    pub fn ask(&mut self, from: SocketAddr, question: &QuotaQuestion, now: Timestamp) -> Grant {
        let Some(bucket) = self.buckets.get_mut(&question.tenant) else {
            return Grant::Granted;
        };
        bucket.advance(now);
        let grant = bucket.ask(question.cost, question.rank);
        let member = self.members.get_mut(&from);
        let known = member.and_then(|member| member.uses.get_mut(&question.tenant));
        if let Some(known) = known.filter(|_| grant == Grant::Granted) {
            known.granted += i64::from(question.cost);
        }
        grant
    }

    /// The tenants near their limit. `daemons` is the known number of daemons: a keeper in a network partition receives
    /// only a few reports and may admit only the share of those daemons.
    pub fn limits(&mut self, daemons: u32, now: Timestamp) -> Vec<TenantLimit> {
        self.daemons = daemons;
        self.update_reachable_share(now);
        let mut limits = Vec::new();
        for (tenant, bucket) in &mut self.buckets {
            bucket.update_near_limit(now);
            if bucket.is_near {
                limits.push(TenantLimit {
                    tenant: tenant.clone(),
                    admit: bucket.admitted_share(),
                });
            }
        }
        limits.sort_by(|left, right| left.tenant.cmp(&right.tenant));
        limits
    }

    /// Level of a tenant's bucket in units, for diagnostics.
    pub fn level(&self, tenant: &TenantName) -> Option<f64> {
        self.buckets.get(tenant).map(|bucket| bucket.level)
    }

    /// Updates the share of the rates that the reporting daemons may admit. A deputy does so even while it only
    /// listens: otherwise its buckets filled at the whole rate although some daemons did not reach it, and when it took
    /// over from a coordinator whose messages were lost, it considered a tenant far from a limit that was already
    /// reached, 1.024 times the allowed total.
    fn update_reachable_share(&mut self, now: Timestamp) {
        self.checked_at = now;
        self.members
            .retain(|_, member| now.since(member.heard_at) < GONE_AFTER);
        let reachable_share = self.reachable_share(now);
        for bucket in self.buckets.values_mut() {
            bucket.advance(now);
            bucket.reachable_share = reachable_share;
        }
    }

    /// Resets all state; what was admitted before is unknown.
    fn reset(&mut self, now: Timestamp) {
        self.observing_since = now;
        self.members.clear();
        for bucket in self.buckets.values_mut() {
            *bucket = TenantBucket::new(bucket.quota, now);
        }
    }

    /// Share of the daemons that report; the others may be admitting from their local shares.
    #[allow(clippy::cast_precision_loss)]
    fn reachable_share(&self, now: Timestamp) -> f64 {
        let daemons = usize::try_from(self.daemons).unwrap_or(usize::MAX);
        let all = self.members.len().max(daemons).max(1);
        let is_heard = |member: &&Member| now.since(member.heard_at) < MISSING_AFTER;
        let heard = self.members.values().filter(is_heard).count();
        heard.max(1) as f64 / all as f64
    }
}
