//! Tenant quotas, enforced across all daemons.
//!
//! Every daemon counts what it admits and what is requested from it, and reports to a few **keepers**: the coordinator
//! and the first standbys ([`meter`]). Each keeper sums up the counts and maintains one bucket for each tenant
//! ([`keeper`]). While a bucket is well filled, daemons admit all requests without asking: a tenant far below its rate
//! costs one message per second from each daemon and no latency. Once it is not, all daemons are told, and ask the
//! coordinator for each request of that tenant. Requests within the quota are thus served in the order of their
//! arrival, whichever daemons they reach, and only those beyond it are refused.
//!
//! A daemon whose question is not answered admits the share of the requests that was last announced. A daemon that has
//! not heard a keeper recently admits its equal share of each quota and no more. Reports carry counts since the
//! daemon's start, so messages may be lost, duplicated or reordered.
//!
//! The total can exceed a quota by what is requested between two reports ([`meter::REPORT_SHARE`] of a second's rate,
//! over all daemons), within the time of a report and of the keeper's answer to it. A bucket counts as well filled only
//! above [`keeper::NEAR_SHARE`], which covers that.

pub mod announcer;
pub mod keeper;
pub mod meter;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::TenantName;
use crate::tenants::Quota;

/// Capacity of the bucket of a quota without a burst, in seconds of its rate; no request could pass otherwise.
const MIN_CAPACITY_SECONDS: f64 = 0.4;

/// Capacity of a tenant's bucket, in units.
pub(crate) fn capacity(quota: &Quota) -> f64 {
    quota.burst.max(quota.rate * MIN_CAPACITY_SECONDS)
}

/// What a daemon has admitted for a tenant and what was requested from it, since its start, in units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantName,
    /// Admitted on any basis, less what has certainly not run.
    pub admitted: i64,
    /// Requested, whether admitted or not.
    pub asked: u64,
}

/// From a daemon to the keepers: what it has admitted recently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseReport {
    /// Address on which the daemon listens.
    pub from: SocketAddr,
    /// Distinguishes one start of the daemon from the next.
    pub life: u64,
    /// Time since its start, in ms.
    pub age_ms: u32,
    /// The tenants whose counts have changed recently.
    pub uses: Vec<TenantUse>,
}

/// A tenant near its limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLimit {
    /// The tenant.
    pub tenant: TenantName,
    /// Share of its requests to admit without an answer of the keeper, in thousandths.
    pub admit: u16,
}

/// From a keeper to all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaNews {
    /// Address on which the keeper listens; questions are sent there.
    pub from: SocketAddr,
    /// The daemons to which admissions are reported; empty if unchanged.
    pub keepers: Vec<SocketAddr>,
    /// Number of daemons that share the quotas.
    pub daemons: u32,
    /// The tenants near their limit. All requests of other tenants are admitted.
    pub limits: Vec<TenantLimit>,
}

/// From a daemon to the keeper: asks whether requests of tenants near their limit are admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaQuestions {
    /// Address to which the answers are sent.
    pub from: SocketAddr,
    /// The requests.
    pub requests: Vec<QuotaQuestion>,
}

/// Asks whether one request is admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaQuestion {
    /// Number that the asking daemon has given to the request.
    pub number: u64,
    /// Its tenant.
    pub tenant: TenantName,
    /// Its cost in units.
    pub cost: u32,
    /// Rank of its route; 0 is the most urgent.
    pub rank: u8,
}

/// From a keeper: its answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAnswers {
    /// The keeper.
    pub from: SocketAddr,
    /// The answers.
    pub answers: Vec<QuotaAnswer>,
}

/// A keeper's answer for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// Number that the asking daemon has given to the request.
    pub number: u64,
    /// Whether it is admitted.
    pub grant: Grant,
}

/// A keeper's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The request is within the quota, and is counted.
    Granted,
    /// The request exceeds the quota.
    Refused {
        /// Time until it would be granted if requests refused earlier retry first, in ms.
        room_in_ms: u32,
    },
}
