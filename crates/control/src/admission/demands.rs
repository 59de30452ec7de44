//! Demands sent to coordinators, and when they are renewed or ended.

use std::collections::BTreeSet;

use flaxward_types::routing::Demand;
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, Timestamp, ZoneName};

use super::interface::AdmissionAction;
use super::routes::Target;
use super::{Admission, ArtifactState, PendingRetry};

impl Admission {
    pub(super) fn count_waiting_arrival(&mut self, now: Timestamp, artifact: &ArtifactId) {
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        if let Target::Zone(zone) = state.routes.target(now, &self.zones, &self.settings) {
            state.routes.zone_mut(&zone).arrivals += 1;
        }
    }

    /// Keeps the demand up for refused callers that are expected to retry once the replica is
    /// ready.
    pub(super) fn keep_demand_for_retry(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        ready: Timestamp,
        priority: u8,
    ) {
        let until = ready.max(now) + self.settings.retry_after;
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        let priority = state.pending_retry.map_or(priority, |pending_retry| {
            pending_retry.priority.max(priority)
        });
        state.pending_retry = Some(PendingRetry { until, priority });
    }

    pub(super) fn expire_pending_retry(&mut self, now: Timestamp, artifact: &ArtifactId) {
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        if state
            .pending_retry
            .is_some_and(|pending_retry| pending_retry.until <= now)
        {
            state.pending_retry = None;
        }
    }

    /// Sends the demands for an artifact that are due, one to each affected zone.
    pub(super) fn send_demands(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(state) = self.artifacts.get(artifact) else {
            return;
        };
        let is_wanted = self.queue.count(artifact) > 0 || state.pending_retry.is_some();
        let mut due = self.zones_due_for_renewal(now, state);
        if !is_wanted && state.routes.has_replica() {
            due.extend(zones_announced_waiting(state));
        }
        if due.is_empty() && !is_wanted {
            return;
        }
        let targets = match state.routes.target(now, &self.zones, &self.settings) {
            Target::Zone(zone) => vec![zone],
            Target::Nowhere { zones, .. } => zones,
        };
        if is_wanted {
            due.extend(targets.iter().cloned());
        }
        for zone in due {
            let is_target = targets.contains(&zone);
            self.send_demand(now, artifact, &zone, is_target, actions);
        }
    }

    /// Zones whose replicas are in use and whose demand is due for renewal.
    fn zones_due_for_renewal(&self, now: Timestamp, state: &ArtifactState) -> BTreeSet<ZoneName> {
        state
            .routes
            .iter()
            .filter(|(_, route)| route.is_in_use() && route.renewal_is_due(now, &self.settings))
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Renews the demands that are due soon in the zones that `actions` already send a demand to,
    /// so that they go in one message from then on.
    pub(super) fn renew_due_soon(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        let zones: BTreeSet<ZoneName> = actions.iter().filter_map(demanded_zone).collect();
        for zone in zones {
            for artifact in self.due_soon(now, &zone) {
                self.send_demand(now, &artifact, &zone, false, actions);
            }
        }
    }

    /// Artifacts without waiting requests whose demand to a zone is due within half a renewal
    /// period.
    fn due_soon(&self, now: Timestamp, zone: &ZoneName) -> Vec<ArtifactId> {
        let period = self.settings.renewal_period / 2;
        let is_due = |(artifact, state): &(&ArtifactId, &ArtifactState)| {
            let is_wanted = self.queue.count(artifact) > 0 || state.pending_retry.is_some();
            let route = state.routes.zone(zone);
            !is_wanted
                && route
                    .is_some_and(|route| route.is_in_use() && route.may_send_demand(now, period))
        };
        let due = self.artifacts.iter().filter(is_due);
        due.map(|(artifact, _)| artifact.clone()).collect()
    }

    fn send_demand(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        zone: &ZoneName,
        is_target: bool,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let waiting = self.queue.count(artifact);
        let queued_priority = self.queue.highest_priority(artifact);
        let earliest = self.queue.earliest_deadline(artifact);
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        let pending_retry = state.pending_retry.filter(|_| waiting == 0);
        let route = state.routes.zone_mut(zone);
        if !self.zones.heads.contains(zone) {
            // The next coordinator of the zone starts without any demand, so none has to be
            // withdrawn.
            route.announced_waiting = false;
            return;
        }
        if !route.may_send_demand(now, self.settings.demand_period) {
            return;
        }
        let mut demand = Demand {
            artifact: artifact.clone(),
            waiting: 0,
            running: route.running,
            priority: 0,
            earliest_deadline_ms: u64::MAX,
            arrivals: route.arrivals,
            known: route.version(),
        };
        if is_target {
            demand.waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            demand.priority = queued_priority.unwrap_or(0);
            demand.earliest_deadline_ms =
                earliest.map_or(u64::MAX, |deadline| millis(deadline.since(now)));
        }
        if let Some(pending_retry) = pending_retry.filter(|_| is_target) {
            demand.waiting = 1;
            demand.priority = pending_retry.priority;
            demand.earliest_deadline_ms = millis(pending_retry.until.since(now));
        }
        route.announced_waiting = is_target && waiting > 0;
        route.record_demand_sent(now, &self.settings);
        let zone = zone.clone();
        actions.push(AdmissionAction::SendDemand { zone, demand });
    }
}

fn demanded_zone(action: &AdmissionAction) -> Option<ZoneName> {
    match action {
        AdmissionAction::SendDemand { zone, .. } => Some(zone.clone()),
        _ => None,
    }
}

/// Zones to which waiting requests were reported. Once all requests have been dispatched these
/// zones must be sent a demand without any, so that none of them loads a replica, or keeps
/// requesting a unit, for requests that were served elsewhere.
fn zones_announced_waiting(state: &ArtifactState) -> impl Iterator<Item = ZoneName> {
    let routes = state.routes.iter();
    routes
        .filter(|(_, route)| route.announced_waiting)
        .map(|(zone, _)| zone.clone())
}
