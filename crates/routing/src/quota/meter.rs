//! One daemon's side of the quotas: what it admits, and what it reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use super::{Grant, QuotaNews, TenantLimit, TenantUse, UseReport, capacity};
use crate::names::TenantName;
use crate::tenants::{Quota, Tenant};

/// Maximum number of requested units, over all daemons, that no keeper has been told of, in seconds of a tenant's rate.
/// Each daemon reports when its part of that is reached.
pub const REPORT_SHARE: f64 = 0.35;
/// Minimum interval between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum interval between two reports: keepers count a daemon as governed by them only while it reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a changed count is repeated in each report, in case one is lost.
const REPEAT_FOR: Duration = Duration::from_secs(2);
/// Time without an announcement of a keeper after which a daemon falls back to its local share. Keepers announce twice
/// per second, and a standby replaces the coordinator within a second. A tenant whose excess starts just as all keepers
/// are lost is bounded by this and by [`MAX_DEBT`]: at four times its rate, it exceeds its quota by at most a tenth
/// over eight seconds.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(1_050);
/// Consecutive unanswered questions after which a keeper is suspected to have failed; a single one may just be lost.
const SUSPECT_AFTER: u32 = 2;
/// How long a suspected keeper is not asked, unless it announces earlier.
const SUSPECT_DURATION: Duration = Duration::from_millis(500);
/// What a daemon admits without a keeper, as a multiple of an equal share of the rate. Clients are spread unevenly.
const LOCAL_RATE_FACTOR: f64 = 1.1;
/// Capacity of a daemon's local bucket, as a multiple of an equal share of the whole one.
const LOCAL_CAPACITY_FACTOR: f64 = 0.3;
/// Maximum debt of a daemon's local bucket from what it admits while it hears keepers.
const MAX_DEBT: Duration = Duration::from_secs(4);
/// Bounds of the retry delay for refused requests.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(15);
/// Number of thousandths in one.
const THOUSANDTHS: u64 = 1_000;

/// The decision on whether a request is within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is admitted.
    Admitted,
    /// The request is refused.
    Refused {
        /// When the caller should retry.
        retry_after: Duration,
        /// What the refusal is based on.
        basis: RefusalBasis,
    },
    /// The keeper at this address must be asked.
    Ask(SocketAddr),
}

/// What a refusal is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalBasis {
    /// The keeper's answer.
    Keeper,
    /// The share that the keeper last announced, because it has not answered.
    LastAnnouncedShare {
        /// The announced share, in thousandths.
        admit: u16,
    },
    /// The exhausted local share, because no keeper is heard.
    LocalShare,
}

/// This daemon's local share of a quota, used while no keeper is heard. Requests that keepers admit are charged to it
/// too, so that an excess that started just before the keepers were lost is compensated.
#[derive(Clone, Copy, Debug)]
struct LocalBucket {
    share: LocalShare,
    level: f64,
    refilled_at: Timestamp,
}

impl LocalBucket {
    fn new(share: LocalShare, now: Timestamp) -> Self {
        Self {
            share,
            level: share.capacity,
            refilled_at: now,
        }
    }

    /// Refills the bucket up to `now`, and applies a changed share.
    fn refill(&mut self, share: LocalShare, now: Timestamp) {
        let gained = share.rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + gained).min(share.capacity);
        self.refilled_at = now;
        self.share = share;
    }

    /// Charges a request that was admitted while keepers are heard.
    fn charge(&mut self, cost: u32) {
        let min_level = -self.share.rate * MAX_DEBT.as_secs_f64();
        self.level = (self.level - f64::from(cost)).max(min_level);
    }

    /// Decides on a request. A share may be smaller than one request; the request is then admitted with a probability,
    /// so that all daemons together admit the sum of their shares.
    fn try_consume(&mut self, cost: u32, random: u64) -> bool {
        let cost = f64::from(cost).max(1.0);
        let spent = self.level.clamp(0.0, cost);
        self.level -= spent;
        #[allow(clippy::cast_precision_loss)]
        let drawn = (random % THOUSANDTHS) as f64 / THOUSANDTHS as f64;
        drawn < spent / cost
    }
}

/// What each daemon may admit on its own, in units.
#[derive(Clone, Copy, Debug)]
struct LocalShare {
    /// Per second.
    rate: f64,
    capacity: f64,
}

impl LocalShare {
    #[allow(clippy::cast_precision_loss)]
    fn of(quota: &Quota, daemons: usize) -> Self {
        let daemons = daemons as f64;
        Self {
            rate: quota.rate * LOCAL_RATE_FACTOR / daemons,
            capacity: capacity(quota) * LOCAL_CAPACITY_FACTOR / daemons,
        }
    }
}

/// The counts for one tenant.
#[derive(Debug, Default)]
struct TenantCount {
    admitted: i64,
    asked: u64,
    /// Units requested since the last report.
    unreported: u64,
    changed_at: Timestamp,
    local: Option<LocalBucket>,
}

impl TenantCount {
    /// Charges a request that was admitted while keepers are heard to the local share.
    fn charge_local(&mut self, cost: u32) {
        if let Some(local) = &mut self.local {
            local.charge(cost);
        }
    }
}

/// The keeper that is asked.
#[derive(Clone, Copy, Debug)]
struct ActiveKeeper {
    address: SocketAddr,
    /// Unanswered questions since its last message.
    unanswered: u32,
    /// It is not asked until then.
    suspected_until: Timestamp,
}

/// Counts and admits the requests of one daemon.
#[derive(Debug)]
pub struct QuotaMeter {
    life: u64,
    daemons: usize,
    counts: HashMap<TenantName, TenantCount>,
    limits: HashMap<TenantName, u16>,
    keeper: Option<ActiveKeeper>,
    keeper_heard_at: Option<Timestamp>,
    reported_at: Timestamp,
    is_report_due: bool,
}

impl QuotaMeter {
    /// A daemon that has admitted nothing and shares the quotas among `daemons` daemons, itself included.
    pub fn new(life: u64, daemons: usize) -> Self {
        Self {
            life,
            daemons: daemons.max(1),
            counts: HashMap::new(),
            limits: HashMap::new(),
            keeper: None,
            keeper_heard_at: None,
            reported_at: Timestamp::ZERO,
            is_report_due: false,
        }
    }

    /// Sets the number of daemons that share the quotas, as reported by something other than a keeper.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Applies the announcement of a keeper.
    pub fn apply_announcement(&mut self, news: &QuotaNews, now: Timestamp) {
        self.daemons = usize::try_from(news.daemons).unwrap_or(usize::MAX).max(1);
        let limit = |it: &TenantLimit| (it.tenant.clone(), it.admit);
        self.limits = news.limits.iter().map(limit).collect();
        self.keeper_heard_at = Some(now);
        self.keeper = Some(ActiveKeeper {
            address: news.from,
            unanswered: 0,
            suspected_until: Timestamp::ZERO,
        });
    }

    /// Decides on a request of a tenant that costs `cost` units. `random` is uniformly distributed.
    pub fn admit(
        &mut self,
        tenant: &Tenant,
        cost: u32,
        random: u64,
        now: Timestamp,
    ) -> QuotaDecision {
        let Some(quota) = tenant.quota.filter(|quota| quota.rate > 0.0) else {
            return QuotaDecision::Admitted;
        };
        self.record_demand(&tenant.name, &quota, cost, now);
        if !self.hears_keeper(now) {
            return self.admit_from_local_share(&tenant.name, &quota, cost, random);
        }
        if !self.limits.contains_key(&tenant.name) {
            return self.admitted(&tenant.name, cost);
        }
        match self.keeper {
            Some(keeper) if now >= keeper.suspected_until => QuotaDecision::Ask(keeper.address),
            _ => self.admit_announced_share(&tenant.name, cost, random),
        }
    }

    /// Handles a keeper's answer for a request.
    pub fn on_answer(
        &mut self,
        tenant: &TenantName,
        cost: u32,
        from: SocketAddr,
        grant: Grant,
    ) -> QuotaDecision {
        if let Some(keeper) = self.keeper.as_mut().filter(|it| it.address == from) {
            keeper.unanswered = 0;
        }
        match grant {
            Grant::Granted => self.admitted(tenant, cost),
            Grant::Refused { room_in_ms } => {
                let room_in = Duration::from_millis(u64::from(room_in_ms));
                QuotaDecision::Refused {
                    retry_after: room_in.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
                    basis: RefusalBasis::Keeper,
                }
            }
        }
    }

    /// Decides on a request for which the keeper has not answered in time.
    pub fn on_timeout(
        &mut self,
        tenant: &TenantName,
        cost: u32,
        random: u64,
        now: Timestamp,
    ) -> QuotaDecision {
        if let Some(keeper) = &mut self.keeper {
            keeper.unanswered += 1;
            if keeper.unanswered >= SUSPECT_AFTER {
                keeper.suspected_until = now + SUSPECT_DURATION;
            }
        }
        self.admit_announced_share(tenant, cost, random)
    }

    /// Refunds an admitted request that has certainly not run.
    pub fn refund(&mut self, tenant: &TenantName, cost: u32, now: Timestamp) {
        if let Some(count) = self.counts.get_mut(tenant) {
            count.admitted -= i64::from(cost);
            count.changed_at = now;
        }
    }

    /// When the next report is due.
    pub fn report_due_at(&self) -> Timestamp {
        if self.is_report_due {
            self.reported_at + MIN_REPORT_INTERVAL
        } else {
            self.reported_at + REPORT_INTERVAL
        }
    }

    /// The report to the keepers, if it is due.
    pub fn due_report(&mut self, own: SocketAddr, now: Timestamp) -> Option<UseReport> {
        if now < self.report_due_at() {
            return None;
        }
        self.reported_at = now;
        self.is_report_due = false;
        let mut uses = Vec::new();
        for (tenant, count) in &mut self.counts {
            count.unreported = 0;
            if now.since(count.changed_at) < REPEAT_FOR {
                uses.push(TenantUse {
                    tenant: tenant.clone(),
                    admitted: count.admitted,
                    asked: count.asked,
                });
            }
        }
        Some(UseReport {
            from: own,
            life: self.life,
            age_ms: u32::try_from(millis(now.since(Timestamp::ZERO))).unwrap_or(u32::MAX),
            uses,
        })
    }

    fn hears_keeper(&self, now: Timestamp) -> bool {
        self.keeper_heard_at
            .is_some_and(|at| now.since(at) < KEEPER_TIMEOUT)
    }

    #[allow(clippy::cast_precision_loss)]
    fn record_demand(&mut self, tenant: &TenantName, quota: &Quota, cost: u32, now: Timestamp) {
        let threshold = quota.rate * REPORT_SHARE / self.daemons as f64;
        let share = LocalShare::of(quota, self.daemons);
        let count = self.counts.entry(tenant.clone()).or_default();
        let local = count
            .local
            .get_or_insert_with(|| LocalBucket::new(share, now));
        local.refill(share, now);
        count.asked += u64::from(cost);
        count.unreported += u64::from(cost);
        count.changed_at = now;
        self.is_report_due |= count.unreported as f64 >= threshold;
    }

    fn admitted(&mut self, tenant: &TenantName, cost: u32) -> QuotaDecision {
        let count = self.counts.entry(tenant.clone()).or_default();
        count.admitted += i64::from(cost);
        count.charge_local(cost);
        QuotaDecision::Admitted
    }

    fn admit_announced_share(
        &mut self,
        tenant: &TenantName,
        cost: u32,
        random: u64,
    ) -> QuotaDecision {
        let Some(&admit) = self.limits.get(tenant) else {
            return self.admitted(tenant, cost);
        };
        if random % THOUSANDTHS < u64::from(admit) {
            return self.admitted(tenant, cost);
        }
        QuotaDecision::Refused {
            retry_after: MIN_RETRY_AFTER * 2,
            basis: RefusalBasis::LastAnnouncedShare { admit },
        }
    }

    fn admit_from_local_share(
        &mut self,
        tenant: &TenantName,
        quota: &Quota,
        cost: u32,
        random: u64,
    ) -> QuotaDecision {
        let share = LocalShare::of(quota, self.daemons);
        let count = self.counts.entry(tenant.clone()).or_default();
        let is_admitted = count
            .local
            .as_mut()
            .is_some_and(|local| local.try_consume(cost, random));
        if is_admitted {
            count.admitted += i64::from(cost);
            return QuotaDecision::Admitted;
        }
        let until = Duration::try_from_secs_f64(f64::from(cost) / share.rate);
        QuotaDecision::Refused {
            retry_after: until.map_or(MAX_RETRY_AFTER, |it| {
                it.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
            }),
            basis: RefusalBasis::LocalShare,
        }
    }
}
