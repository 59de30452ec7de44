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
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which a changed count is told again with each report, in case that one is lost.
const REPEATED_FOR: Duration = Duration::from_millis(2_000);
/// Time without word of a keeper after which a daemon keeps to its own share. Keepers tell twice a second, and a
/// standby takes the coordinator's place within a second.
const INFORMED_FOR: Duration = Duration::from_millis(1_600);
/// Time for which a keeper that has left a question without an answer is not asked, unless it is heard before.
const KEEPER_DOUBT: Duration = Duration::from_millis(500);
/// What a daemon without word admits, in equal shares of the rate. Clients are spread unevenly.
const OWN_SHARES: f64 = 1.2;
/// Part of its share of the bucket that such a daemon has at first.
const OWN_FILLED: f64 = 0.3;
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

/// This daemon's own share of a quota, for times without word.
#[derive(Clone, Copy, Debug)]
struct OwnBucket {
    level: f64,
    filled_at: Timestamp,
}

/// What is counted of one tenant.
#[derive(Debug, Default)]
struct Count {
    admitted: i64,
    granted: i64,
    asked: u64,
    /// Units asked since the last report.
    unreported: u64,
    changed_at: Timestamp,
    own: Option<OwnBucket>,
}

/// The keeper that is asked.
#[derive(Clone, Copy, Debug)]
struct Granter {
    address: SocketAddr,
    /// It has left a question without an answer; not asked until then.
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
        let is_new = self.granter.is_none_or(|it| it.address != news.from);
        for count in self.counts.values_mut() {
            count.own = None;
            if is_new {
                count.admitted += std::mem::take(&mut count.granted);
            }
        }
        self.granter = Some(Granter {
            address: news.from,
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
            return self.admit_by_own_share(&tenant.name, &quota, cost, now);
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
        let is_granter = self.granter.is_some_and(|it| it.address == from);
        match grant {
            Grant::Granted => {
                let count = self.counts.entry(tenant.clone()).or_default();
                let granted = if is_granter {
                    &mut count.granted
                } else {
                    &mut count.admitted
                };
                *granted += i64::from(cost);
                Verdict::Admitted
            }
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
            granter.doubted_until = now + KEEPER_DOUBT;
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
                    granted: count.granted,
                    asked: count.asked,
                });
            }
        }
        Some(UseReport {
            from: own,
            life: self.life,
            age_ms: u32::try_from(millis(now.since(Timestamp::ZERO))).unwrap_or(u32::MAX),
            granter: self.granter.map(|granter| granter.address),
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
        let count = self.counts.entry(tenant.clone()).or_default();
        count.asked += u64::from(cost);
        count.unreported += u64::from(cost);
        count.changed_at = now;
        self.is_report_due |= count.unreported as f64 >= threshold;
    }

    fn admitted(&mut self, tenant: &TenantName, cost: u32) -> Verdict {
        let count = self.counts.entry(tenant.clone()).or_default();
        count.admitted += i64::from(cost);
        Verdict::Admitted
    }

    fn admit_unanswered(&mut self, tenant: &TenantName, cost: u32, random: u64) -> Verdict {
        let admit = self.limits.get(tenant).copied();
        let admit = admit.unwrap_or(u16::try_from(WHOLE).unwrap_or(u16::MAX));
        if random % WHOLE < u64::from(admit) {
            return self.admitted(tenant, cost);
        }
        Verdict::Refused {
            retry_after: LEAST_RETRY * 2,
            basis: Basis::KeeperBefore { admit },
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn admit_by_own_share(
        &mut self,
        tenant: &TenantName,
        quota: &Quota,
        cost: u32,
        now: Timestamp,
    ) -> Verdict {
        let daemons = self.daemons as f64;
        let full = capacity(quota) / daemons;
        let rate = quota.rate * OWN_SHARES / daemons;
        let count = self.counts.entry(tenant.clone()).or_default();
        let bucket = count.own.get_or_insert(OwnBucket {
            level: full * OWN_FILLED,
            filled_at: now,
        });
        let gained = rate * now.since(bucket.filled_at).as_secs_f64();
        bucket.level = (bucket.level + gained).min(full);
        bucket.filled_at = now;
        // A share may be smaller than one request, which then passes on credit.
        if bucket.level > 0.0 {
            bucket.level -= f64::from(cost);
            count.admitted += i64::from(cost);
            return Verdict::Admitted;
        }
        let until = Duration::try_from_secs_f64(-bucket.level / rate).unwrap_or(LONGEST_RETRY);
        Verdict::Refused {
            retry_after: until.clamp(LEAST_RETRY, LONGEST_RETRY),
            basis: Basis::OwnShare,
        }
    }
}
