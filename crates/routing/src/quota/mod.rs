//! Quotas of tenants, taken over all daemons together.
//!
//! Every daemon counts what it admits and what is asked of it, and tells a few **keepers**: the coordinator and the
//! first standbys ([`meter`]). Each keeper adds the counts up and keeps one bucket for each tenant ([`keeper`]). While
//! a bucket is well filled, daemons admit all that comes without asking anybody: a tenant far below its rate costs a
//! message a second from each daemon and no time. When it is no longer, all daemons are told, and ask the coordinator
//! for each request of that tenant. So requests within the quota are served in the order in which they come, whichever
//! daemons they reach, and only those beyond it are refused.
//!
//! A daemon whose question is not answered admits the part of the requests that was last told. One that has heard no
//! keeper lately admits its equal share of each quota and no more. What is told are counts since the daemon's start,
//! so messages may be lost, doubled or reordered.
//!
//! How far the sum can pass a quota: by what is asked between two reports ([`meter::REPORT_SHARE`] of a second's rate,
//! all daemons together), within the time of a report and of the keeper's answer to it. A bucket counts as well filled
//! only above [`keeper::NEAR_SHARE`], which covers that.

pub mod announcer;
pub mod keeper;
pub mod meter;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::TenantName;
use crate::tenants::Quota;

/// Capacity of the bucket of a quota without a burst, in seconds of its rate: no request could pass otherwise.
const LEAST_CAPACITY_SECONDS: f64 = 0.4;

/// What a tenant's bucket holds when it is full, in units.
pub(crate) fn capacity(quota: &Quota) -> f64 {
    quota.burst.max(quota.rate * LEAST_CAPACITY_SECONDS)
}

/// What a daemon has admitted of a tenant and was asked, since its start, in units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantName,
    /// Admitted, by whose word ever, less what has surely not run.
    pub admitted: i64,
    /// Asked, whether admitted or not.
    pub asked: u64,
}

/// From a daemon to the keepers: what it has admitted lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseReport {
    /// Where the daemon listens.
    pub from: SocketAddr,
    /// Tells one life of the daemon from the next.
    pub life: u64,
    /// Time since its start, in ms.
    pub age_ms: u32,
    /// The tenants whose counts have changed lately.
    pub uses: Vec<TenantUse>,
}

/// A tenant near its limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLimit {
    /// The tenant.
    pub tenant: TenantName,
    /// Part of its requests to admit without an answer of the keeper, in thousandths.
    pub admit: u16,
}

/// From a keeper to all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaNews {
    /// Where the keeper listens; it is to be asked.
    pub from: SocketAddr,
    /// Whom daemons tell what they admit; empty if that is to stay.
    pub keepers: Vec<SocketAddr>,
    /// Daemons that share the quotas.
    pub daemons: u32,
    /// The tenants near their limit. All requests of any other are admitted.
    pub limits: Vec<TenantLimit>,
}

/// From a daemon to the keeper: whether requests of tenants near their limit are admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaQuestions {
    /// Where the answers go.
    pub from: SocketAddr,
    /// The requests.
    pub requests: Vec<QuotaQuestion>,
}

/// Whether one request is admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaQuestion {
    /// The asking daemon's number of the request.
    pub number: u64,
    /// Its tenant.
    pub tenant: TenantName,
    /// Units that it counts.
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
    /// The asking daemon's number of the request.
    pub number: u64,
    /// Whether it is admitted.
    pub grant: Grant,
}

/// A keeper's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The request falls within the quota, and is counted.
    Granted,
    /// It does not.
    Refused {
        /// Time until it would, if those refused before it came back first, in ms.
        room_in_ms: u32,
    },
}
