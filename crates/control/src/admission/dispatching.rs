//! Dispatches requests to replicas and requeues those that back ends return.

use flaxward_types::routing::Replica;
use flaxward_types::{ArtifactId, Timestamp, ZoneName};

use super::interface::{AdmissionAction, BackEndFault, RequestId};
use super::queue::Waiting;
use super::{Admission, Running};

impl Admission {
    pub(super) fn requeue(
        &mut self,
        now: Timestamp,
        request: RequestId,
        fault: BackEndFault,
        deadline: Timestamp,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(running) = self.end(request) else {
            return;
        };
        let until = now + self.settings.avoid_period;
        if fault == BackEndFault::Unreachable {
            let until = now + self.settings.unreachable_period;
            self.unreachable.insert(running.runner.clone(), until);
        }
        let mut waiting = running.waiting;
        waiting.arrival.deadline = deadline;
        waiting.since = now;
        waiting.counted = true;
        waiting.avoided.insert(running.runner, until);
        self.admit(now, waiting, actions);
    }

    pub(super) fn dispatch_waiting(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if self.queue.count(artifact) == 0 || !self.has_replica(artifact) {
            return;
        }
        let requests: Vec<RequestId> = self
            .queue
            .in_order(artifact)
            .map(|waiting| waiting.arrival.request)
            .collect();
        for request in requests {
            let Some(waiting) = self.queue.get(request).cloned() else {
                continue;
            };
            if let Some(action) = self.dispatch(now, &waiting) {
                self.queue.remove(request);
                actions.push(action);
            }
        }
    }

    fn has_replica(&self, artifact: &ArtifactId) -> bool {
        let state = self.artifacts.get(artifact);
        state.is_some_and(|state| state.routes.has_replica())
    }

    /// Dispatches a request if a replica accepts it now.
    pub(super) fn dispatch(
        &mut self,
        now: Timestamp,
        waiting: &Waiting,
    ) -> Option<AdmissionAction> {
        let (zone, replica) = self.choose(now, waiting)?;
        let request = waiting.arrival.request;
        let state = self.artifacts.get_mut(&waiting.arrival.artifact)?;
        let route = state.routes.zone_mut(&zone);
        route.running += 1;
        route.arrivals += u32::from(!waiting.counted);
        self.router.record_start(&replica.runner);
        let running = Running {
            waiting: waiting.clone(),
            runner: replica.runner.clone(),
            zone,
        };
        self.running.insert(request, running);
        Some(AdmissionAction::Dispatch {
            request,
            runner: replica.runner,
            address: replica.address,
        })
    }

    /// Chooses a replica in the first zone, by order of preference, that has an eligible one.
    fn choose(&mut self, now: Timestamp, waiting: &Waiting) -> Option<(ZoneName, Replica)> {
        let state = self.artifacts.get(&waiting.arrival.artifact)?;
        let unreachable = &self.unreachable;
        let accepts = |replica: &&Replica| {
            let is_excluded = |until: &Timestamp| *until > now;
            !waiting
                .avoided
                .get(&replica.runner)
                .is_some_and(is_excluded)
                && !unreachable.get(&replica.runner).is_some_and(is_excluded)
        };
        for zone in &self.zones.order {
            let Some(route) = state.routes.zone(zone) else {
                continue;
            };
            let candidates = route.ready().iter().filter(accepts);
            if let Some(replica) = self.router.choose(candidates, waiting.arrival.prefix) {
                return Some((zone.clone(), replica.clone()));
            }
        }
        None
    }
}
