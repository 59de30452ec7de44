//! Demands: what coordinators are told, and until when.

use std::collections::BTreeSet;

use flaxward_types::routing::Demand;
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, Timestamp, ZoneName};

use super::interface::AdmissionAction;
use super::routes::Target;
use super::{Admission, ArtifactState, Promise};

impl Admission {
    pub(super) fn count_waiting_arrival(&mut self, now: Timestamp, artifact: &ArtifactId) {
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        if let Target::Zone(zone) = state.routes.target(now, &self.zones, &self.settings) {
            state.routes.zone_mut(&zone).arrivals += 1;
        }
    }

    /// Keeps up the demand for callers who were told to come back when the replica is ready.
    pub(super) fn promise(
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
        let priority = state
            .promise
            .map_or(priority, |promise| promise.priority.max(priority));
        state.promise = Some(Promise { until, priority });
    }

    pub(super) fn end_promise(&mut self, now: Timestamp, artifact: &ArtifactId) {
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        if state.promise.is_some_and(|promise| promise.until <= now) {
            state.promise = None;
        }
    }

    /// Sends the demands for an artifact that are due, one to each zone concerned.
    pub(super) fn send_demands(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(state) = self.artifacts.get(artifact) else {
            return;
        };
        let is_wanted = self.queue.count(artifact) > 0 || state.promise.is_some();
        let mut due = self.zones_in_use(now, state);
        if !is_wanted && state.routes.has_replica() {
            due.extend(zones_told_of_waiting(state));
        }
        if due.is_empty() && !is_wanted {
            return;
        }
        let asked = match state.routes.target(now, &self.zones, &self.settings) {
            Target::Zone(zone) => vec![zone],
            Target::Nowhere { zones, .. } => zones,
        };
        if is_wanted {
            due.extend(asked.iter().cloned());
        }
        for zone in due {
            let is_asked = asked.contains(&zone);
            self.send_demand(now, artifact, &zone, is_asked, actions);
        }
    }

    /// Zones whose replicas are used and that have not been told for a while.
    fn zones_in_use(&self, now: Timestamp, state: &ArtifactState) -> BTreeSet<ZoneName> {
        state
            .routes
            .iter()
            .filter(|(_, route)| route.is_in_use() && route.renewal_is_due(now, &self.settings))
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Renews the demands that are due soon in zones that are sent a demand anyway, so that they
    /// go in one message from then on.
    pub(super) fn renew_along(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        let zones: BTreeSet<ZoneName> = actions.iter().filter_map(demanded_zone).collect();
        for zone in zones {
            for artifact in self.due_soon(now, &zone) {
                self.send_demand(now, &artifact, &zone, false, actions);
            }
        }
    }

    /// Artifacts that nobody waits for and whose demand to a zone is due in half a period or less.
    fn due_soon(&self, now: Timestamp, zone: &ZoneName) -> Vec<ArtifactId> {
        let period = self.settings.renewal_period / 2;
        let is_due = |(artifact, state): &(&ArtifactId, &ArtifactState)| {
            let is_wanted = self.queue.count(artifact) > 0 || state.promise.is_some();
            let route = state.routes.zone(zone);
            !is_wanted && route.is_some_and(|route| route.is_in_use() && route.may_ask(now, period))
        };
        let due = self.artifacts.iter().filter(is_due);
        due.map(|(artifact, _)| artifact.clone()).collect()
    }

    fn send_demand(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        zone: &ZoneName,
        is_asked: bool,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let waiting = self.queue.count(artifact);
        let queued_priority = self.queue.highest_priority(artifact);
        let earliest = self.queue.earliest_deadline(artifact);
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        let promise = state.promise.filter(|_| waiting == 0);
        let route = state.routes.zone_mut(zone);
        if !self.zones.heads.contains(zone) {
            // A later coordinator of the zone will know of no one who waits.
            route.told_of_waiting = false;
            return;
        }
        if !route.may_ask(now, self.settings.demand_period) {
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
        if is_asked {
            demand.waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            demand.priority = queued_priority.unwrap_or(0);
            demand.earliest_deadline_ms =
                earliest.map_or(u64::MAX, |deadline| millis(deadline.since(now)));
        }
        if let Some(promise) = promise.filter(|_| is_asked) {
            demand.waiting = 1;
            demand.priority = promise.priority;
            demand.earliest_deadline_ms = millis(promise.until.since(now));
        }
        route.told_of_waiting = is_asked && waiting > 0;
        route.note_asked(now, &self.settings);
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

/// Zones that must hear that all who waited have been sent, so that none of them loads a replica, or
/// keeps asking for a unit, for requests that are through.
fn zones_told_of_waiting(state: &ArtifactState) -> impl Iterator<Item = ZoneName> {
    let routes = state.routes.iter();
    routes
        .filter(|(_, route)| route.told_of_waiting)
        .map(|(zone, _)| zone.clone())
}
