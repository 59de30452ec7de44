//! One daemon's side of the quotas: what it admits, and what it tells of that.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use super::{Grant, QuotaNews, TenantLimit, TenantUse, UseReport, capacity};
use crate::names::TenantName;
use crate::tenants::{Quota, Tenant};

/// Units asked at all daemons together of which no keeper has heard, at most, in seconds of a tenant's rate. Each
/// daemon tells when its part of that has come.
pub const REPORT_SHARE: f64 = 0.35;
/// Shortest time between two reports.
const LEAST_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Longest time between two reports: keepers count a daemon that they hear as one that they govern.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a changed count is told again with each report, in case that one is lost.
const REPEATED_FOR: Duration = Duration::from_secs(2);
/// Time without word of a keeper after which a daemon keeps to its own share. Keepers tell twice a second, and a
/// standby takes the coordinator's place within a second. A tenant whose excess begins as all keepers are lost is
/// bounded by this and by [`DEEPEST_DEBT`]: at four times its rate, within a tenth of its quota in eight seconds.
const INFORMED_FOR: Duration = Duration::from_millis(1_050);
/// Questions in a row without an answer after which a keeper is doubted: one may just be lost.
const DOUBTED_AFTER: u32 = 2;
/// Time for which a doubted keeper is not asked, unless it is heard before.
const KEEPER_DOUBT: Duration = Duration::from_millis(500);
/// What a daemon without word admits, in equal shares of the rate. Clients are spread unevenly.
const OWN_SHARES: f64 = 1.1;
/// Capacity of a daemon's own bucket, in equal shares of the whole one.
const OWN_CAPACITY: f64 = 0.3;
/// Debt that a daemon's own bucket may have from what it admits while it hears keepers.
const DEEPEST_DEBT: Duration = Duration::from_secs(4);
/// Shortest and longest time after which a refused request may come back.
const LEAST_RETRY: Duration = Duration::from_millis(500);
const LONGEST_RETRY: Duration = Duration::from_secs(15);
/// Thousandths in a whole.
const WHOLE: u64 = 1_000;

/// Whether a request falls within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It does.
    Admitted,
    /// It does not.
    Refused {
        /// When to come back.
        retry_after: Duration,
        /// By whose word.
        basis: Basis,
    },
    /// The keeper at this address is to be asked.
    Ask(SocketAddr),
}

/// What a refusal rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The keeper's answer.
    Keeper,
    /// The keeper has not answered, and has said before which part to admit.
    KeeperBefore {
        /// Thousandths.
        admit: u16,
    },
    /// No keeper is heard: this daemon's own share is used up.
    OwnShare,
}

/// This daemon's own share of a quota, for times without word. What is admitted by the word of keepers is taken from
/// it too, so that an excess which began just before the word ceased is made good.
#[derive(Clone, Copy, Debug)]
struct OwnBucket {
    share: OwnShare,
    level: f64,
    filled_at: Timestamp,
}

impl OwnBucket {
    fn new(share: OwnShare, now: Timestamp) -> Self {
        Self {
            share,
            level: share.capacity,
            filled_at: now,
        }
    }

    /// Takes in that time has passed, and that the share may be another one.
    fn fill(&mut self, share: OwnShare, now: Timestamp) {
        let gained = share.rate * now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + gained).min(share.capacity);
        self.filled_at = now;
        self.share = share;
    }

    /// Takes what was admitted by the word of keepers.
    fn take(&mut self, cost: u32) {
        let deepest = -self.share.rate * DEEPEST_DEBT.as_secs_f64();
        self.level = (self.level - f64::from(cost)).max(deepest);
    }

    /// Decides on a request. A share may be smaller than one request; then it buys a chance, so that all daemons
    /// together admit what they all have.
    fn draw(&mut self, cost: u32, random: u64) -> bool {
        let cost = f64::from(cost).max(1.0);
        let spent = self.level.clamp(0.0, cost);
        self.level -= spent;
        #[allow(clippy::cast_precision_loss)]
        let drawn = (random % WHOLE) as f64 / WHOLE as f64;
        drawn < spent / cost
    }
}

/// What each daemon may admit by itself, in units.
#[derive(Clone, Copy, Debug)]
struct OwnShare {
    /// A second.
    rate: f64,
    capacity: f64,
}

impl OwnShare {
    #[allow(clippy::cast_precision_loss)]
    fn of(quota: &Quota, daemons: usize) -> Self {
        let daemons = daemons as f64;
        Self {
            rate: quota.rate * OWN_SHARES / daemons,
            capacity: capacity(quota) * OWN_CAPACITY / daemons,
        }
    }
}

/// What is counted of one tenant.
#[derive(Debug, Default)]
struct Count {
    admitted: i64,
    asked: u64,
    /// Units asked since the last report.
    unreported: u64,
    changed_at: Timestamp,
    own: Option<OwnBucket>,
}

impl Count {
    /// Takes what was admitted by the word of keepers from the own share.
    fn take_own(&mut self, cost: u32) {
        if let Some(own) = &mut self.own {
            own.take(cost);
        }
    }
}

/// The keeper that is asked.
#[derive(Clone, Copy, Debug)]
struct Granter {
    address: SocketAddr,
    /// Questions since its last word that it has left without an answer.
    unanswered: u32,
    /// It is not asked until then.
    doubted_until: Timestamp,
}

/// Counts and admits for one daemon.
#[derive(Debug)]
pub struct QuotaMeter {
    life: u64,
    daemons: usize,
    counts: HashMap<TenantName, Count>,
    limits: HashMap<TenantName, u16>,
    granter: Option<Granter>,
    informed_at: Option<Timestamp>,
    reported_at: Timestamp,
    is_report_due: bool,
}

impl QuotaMeter {
    /// A daemon that has admitted nothing and shares the quotas with this many, itself included.
    pub fn new(life: u64, daemons: usize) -> Self {
        Self {
            life,
            daemons: daemons.max(1),
            counts: HashMap::new(),
            limits: HashMap::new(),
            granter: None,
            informed_at: None,
            reported_at: Timestamp::ZERO,
            is_report_due: false,
        }
    }

    /// Sets how many daemons share the quotas, as somebody has said who is no keeper.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Takes in what a keeper tells.
    pub fn heard(&mut self, news: &QuotaNews, now: Timestamp) {
        self.daemons = usize::try_from(news.daemons).unwrap_or(usize::MAX).max(1);
        let limit = |it: &TenantLimit| (it.tenant.clone(), it.admit);
        self.limits = news.limits.iter().map(limit).collect();
        self.informed_at = Some(now);
        self.granter = Some(Granter {
            address: news.from,
            unanswered: 0,
            doubted_until: Timestamp::ZERO,
        });
    }

    /// Decides on a request of a tenant that counts `cost` units. `random` spreads over all numbers.
    pub fn admit(&mut self, tenant: &Tenant, cost: u32, random: u64, now: Timestamp) -> Verdict {
        let Some(quota) = tenant.quota.filter(|quota| quota.rate > 0.0) else {
            return Verdict::Admitted;
        };
        self.note_asked(&tenant.name, &quota, cost, now);
        if !self.is_informed(now) {
            return self.admit_by_own_share(&tenant.name, &quota, cost, random);
        }
        if !self.limits.contains_key(&tenant.name) {
            return self.admitted(&tenant.name, cost);
        }
        match self.granter {
            Some(granter) if now >= granter.doubted_until => Verdict::Ask(granter.address),
            _ => self.admit_unanswered(&tenant.name, cost, random),
        }
    }

    /// Takes in a keeper's answer for a request.
    pub fn answered(
        &mut self,
        tenant: &TenantName,
        cost: u32,
        from: SocketAddr,
        grant: Grant,
    ) -> Verdict {
        if let Some(granter) = self.granter.as_mut().filter(|it| it.address == from) {
            granter.unanswered = 0;
        }
        match grant {
            Grant::Granted => self.admitted(tenant, cost),
            Grant::Refused { room_in_ms } => {
                let room_in = Duration::from_millis(u64::from(room_in_ms));
                Verdict::Refused {
                    retry_after: room_in.clamp(LEAST_RETRY, LONGEST_RETRY),
                    basis: Basis::Keeper,
                }
            }
        }
    }

    /// Decides on a request for which a keeper was asked that has not answered.
    pub fn unanswered(
        &mut self,
        tenant: &TenantName,
        cost: u32,
        random: u64,
        now: Timestamp,
    ) -> Verdict {
        if let Some(granter) = &mut self.granter {
            granter.unanswered += 1;
            if granter.unanswered >= DOUBTED_AFTER {
                granter.doubted_until = now + KEEPER_DOUBT;
            }
        }
        self.admit_unanswered(tenant, cost, random)
    }

    /// A request that was admitted has surely not run.
    pub fn give_back(&mut self, tenant: &TenantName, cost: u32, now: Timestamp) {
        if let Some(count) = self.counts.get_mut(tenant) {
            count.admitted -= i64::from(cost);
            count.changed_at = now;
        }
    }

    /// When the next report is due.
    pub fn report_due_at(&self) -> Timestamp {
        if self.is_report_due {
            self.reported_at + LEAST_REPORT_INTERVAL
        } else {
            self.reported_at + REPORT_INTERVAL
        }
    }

    /// What the keepers are told, if that is due.
    pub fn due_report(&mut self, own: SocketAddr, now: Timestamp) -> Option<UseReport> {
        if now < self.report_due_at() {
            return None;
        }
        self.reported_at = now;
        self.is_report_due = false;
        let mut uses = Vec::new();
        for (tenant, count) in &mut self.counts {
            count.unreported = 0;
            if now.since(count.changed_at) < REPEATED_FOR {
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

    fn is_informed(&self, now: Timestamp) -> bool {
        self.informed_at
            .is_some_and(|at| now.since(at) < INFORMED_FOR)
    }

    #[allow(clippy::cast_precision_loss)]
    fn note_asked(&mut self, tenant: &TenantName, quota: &Quota, cost: u32, now: Timestamp) {
        let threshold = quota.rate * REPORT_SHARE / self.daemons as f64;
        let share = OwnShare::of(quota, self.daemons);
        let count = self.counts.entry(tenant.clone()).or_default();
        let own = count.own.get_or_insert_with(|| OwnBucket::new(share, now));
        own.fill(share, now);
        count.asked += u64::from(cost);
        count.unreported += u64::from(cost);
        count.changed_at = now;
        self.is_report_due |= count.unreported as f64 >= threshold;
    }

    fn admitted(&mut self, tenant: &TenantName, cost: u32) -> Verdict {
        let count = self.counts.entry(tenant.clone()).or_default();
        count.admitted += i64::from(cost);
        count.take_own(cost);
        Verdict::Admitted
    }

    fn admit_unanswered(&mut self, tenant: &TenantName, cost: u32, random: u64) -> Verdict {
        let Some(&admit) = self.limits.get(tenant) else {
            return self.admitted(tenant, cost);
        };
        if random % WHOLE < u64::from(admit) {
            return self.admitted(tenant, cost);
        }
        Verdict::Refused {
            retry_after: LEAST_RETRY * 2,
            basis: Basis::KeeperBefore { admit },
        }
    }

    fn admit_by_own_share(
        &mut self,
        tenant: &TenantName,
        quota: &Quota,
        cost: u32,
        random: u64,
    ) -> Verdict {
        let share = OwnShare::of(quota, self.daemons);
        let count = self.counts.entry(tenant.clone()).or_default();
        let is_drawn = count.own.as_mut().is_some_and(|own| own.draw(cost, random));
        if is_drawn {
            count.admitted += i64::from(cost);
            return Verdict::Admitted;
        }
        let until = Duration::try_from_secs_f64(f64::from(cost) / share.rate);
        Verdict::Refused {
            retry_after: until.map_or(LONGEST_RETRY, |it| it.clamp(LEAST_RETRY, LONGEST_RETRY)),
            basis: Basis::OwnShare,
        }
    }
}
