//! Which services have brittle runners, from their responses and from other daemons.
//!
//! All runners of a service become brittle together and report it in each response. A daemon that has heard of one of
//! them therefore takes all for brittle, also runners that it has never used or that have just started.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};
use serde::{Deserialize, Serialize};

use crate::names::{RunnerId, ServiceName};
use crate::rate_limit::RequestRate;

/// Time for which a report counts. A service may get no request for a while and is as brittle as before.
const REPORT_TTL: Duration = Duration::from_secs(30);
/// Interval at which a member repeats a report to the coordinator while responses confirm it.
const MEMBER_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which the coordinator repeats a report to the members, some of which may have just started.
const COORDINATOR_INTERVAL: Duration = Duration::from_secs(1);

/// The latest report of a service's runners.
#[derive(Clone, Copy, Debug)]
struct Report {
    limit: RequestRate,
    /// When the response with the limit arrived.
    at: Timestamp,
    /// When it was last sent to the coordinator or received from it.
    shared_at: Option<Timestamp>,
}

impl Report {
    fn is_current(&self, now: Timestamp) -> bool {
        now.since(self.at) < REPORT_TTL
    }
}

/// A report as daemons tell it each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedRejectionLimit {
    /// The service.
    pub service: ServiceName,
    /// Rejections per second that each of its runners tolerates.
    pub limit: RequestRate,
    /// Age of the report, in ms.
    pub age_ms: u32,
    /// A runner of the service is near its capacity, as far as the coordinator knows; members do not say.
    pub is_busy: bool,
}

/// From any daemon to the coordinator, and from the coordinator to all others: services with brittle runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionLimitNews {
    /// Address on which the sender listens.
    pub from: SocketAddr,
    /// The services.
    pub limits: Vec<SharedRejectionLimit>,
}

/// What a daemon knows about brittle runners.
#[derive(Debug, Default)]
pub struct RejectionLimits {
    services: HashMap<ServiceName, Report>,
    /// When a request was sent to a runner whose response named no limit.
    sound_since: HashMap<RunnerId, Timestamp>,
}

impl RejectionLimits {
    /// Applies the limit in the response to a request that was sent at `sent_at`, or its absence. Returns whether the
    /// limit of the service has changed.
    pub fn apply(
        &mut self,
        runner: &RunnerId,
        service: &ServiceName,
        limit: Option<RequestRate>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Some(limit) = limit else {
            if self.services.contains_key(service) {
                self.sound_since.insert(runner.clone(), sent_at);
            }
            return false;
        };
        self.sound_since.remove(runner);
        self.record(service, limit, now, now)
    }

    /// Returns whether the limit of the service has changed.
    fn record(
        &mut self,
        service: &ServiceName,
        limit: RequestRate,
        at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let known = self.services.get(service).copied();
        if known.is_some_and(|known| known.at > at) {
            return false;
        }
        let has_changed = known.is_none_or(|known| known.limit != limit || !known.is_current(now));
        // A change is shared at once.
        let shared_at = known
            .filter(|_| !has_changed)
            .and_then(|known| known.shared_at);
        let report = Report {
            limit,
            at,
            shared_at,
        };
        self.services.insert(service.clone(), report);
        has_changed
    }

    /// Merges a report of another daemon. Returns whether the limit of the service has changed.
    pub fn merge(&mut self, shared: &SharedRejectionLimit, now: Timestamp) -> bool {
        let at = now - Duration::from_millis(u64::from(shared.age_ms));
        if now.since(at) >= REPORT_TTL {
            return false;
        }
        self.record(&shared.service, shared.limit, at, now)
    }

    /// Records that a daemon knows of the service from the coordinator, so that it need not repeat it.
    pub fn record_shared(&mut self, service: &ServiceName, now: Timestamp) {
        if let Some(report) = self.services.get_mut(service) {
            report.shared_at = Some(now);
        }
    }

    /// Rejections per second that a runner tolerates; `None` if it is not known to be brittle.
    pub fn limit(
        &self,
        runner: &RunnerId,
        service: &ServiceName,
        now: Timestamp,
    ) -> Option<RequestRate> {
        let report = self.services.get(service)?;
        let is_sound = self
            .sound_since
            .get(runner)
            .is_some_and(|since| *since > report.at);
        (report.is_current(now) && !is_sound).then_some(report.limit)
    }

    /// The reports that are due to be sent to the coordinator or, by the coordinator, to all members.
    pub fn due(&mut self, is_coordinator: bool, now: Timestamp) -> Vec<SharedRejectionLimit> {
        let interval = if is_coordinator {
            COORDINATOR_INTERVAL
        } else {
            MEMBER_INTERVAL
        };
        self.remove_expired(now);
        let is_due = |report: &Report| {
            let shared_at = report.shared_at;
            shared_at.is_none_or(|at| report.at > at && now.since(at) >= interval)
        };
        let due = self.services.iter_mut().filter(|(_, it)| is_due(it));
        due.map(|(service, report)| {
            report.shared_at = Some(now);
            SharedRejectionLimit {
                service: service.clone(),
                limit: report.limit,
                age_ms: u32::try_from(millis(now.since(report.at))).unwrap_or(u32::MAX),
                is_busy: false,
            }
        })
        .collect()
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.services.retain(|_, report| report.is_current(now));
        if self.services.is_empty() {
            self.sound_since.clear();
        }
    }
}
