//! Refuses requests as soon as it is known that they cannot be served.

use flaxward_types::{ArtifactId, Refusal, ResultCode, Timestamp};

use super::interface::{AdmissionAction, RequestId};
use super::queue::Waiting;
use super::routes::{Availability, Target};
use super::{Admission, ArtifactState};

impl Admission {
    /// Expected availability of replicas for the requests waiting for an artifact.
    pub(super) fn availability(&self, state: &ArtifactState, now: Timestamp) -> Availability {
        match state.routes.target(now, &self.zones, &self.settings) {
            Target::Zone(zone) => state.routes.availability(&zone, now, &self.settings),
            Target::Nowhere { .. } => Availability::Unknown,
        }
    }

    /// Refuses the waiting requests that are known not to be servable in time.
    pub(super) fn refuse_unservable(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if self.queue.count(artifact) == 0 {
            return;
        }
        let Some(state) = self.artifacts.get(artifact) else {
            return;
        };
        let availability = self.availability(state, now);
        self.record_availability(now, artifact, &availability);
        match availability {
            Availability::Ready => {}
            Availability::Unknown => self.refuse_after_grace(now, artifact, actions),
            Availability::At(time) => self.refuse_too_late(now, artifact, time, actions),
            Availability::Refused(refusal) => {
                let all = self.select(artifact, |_| true);
                for request in all {
                    self.queue.remove(request);
                    let refusal = refusal.clone();
                    actions.push(AdmissionAction::Refuse { request, refusal });
                }
            }
        }
    }

    fn record_availability(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        availability: &Availability,
    ) {
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        state.unknown_since = match availability {
            Availability::Unknown => state.unknown_since.or(Some(now)),
            _ => None,
        };
    }

    fn refuse_too_late(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        ready: Timestamp,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let late = self.select(artifact, |waiting| waiting.arrival.deadline < ready);
        for request in late {
            let Some(waiting) = self.queue.remove(request) else {
                continue;
            };
            self.keep_demand_for_retry(now, artifact, ready, waiting.arrival.priority);
            let refusal = self.refusal(ResultCode::DeadlineTooShort, artifact, now);
            actions.push(AdmissionAction::Refuse { request, refusal });
        }
    }

    fn refuse_after_grace(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(state) = self.artifacts.get(artifact) else {
            return;
        };
        let Some(unknown_since) = state.unknown_since else {
            return;
        };
        let grace = self.settings.coordinator_grace;
        let expired = self.select(artifact, |waiting| {
            now.since(waiting.since.max(unknown_since)) >= grace
        });
        let Some(state) = self.artifacts.get(artifact) else {
            return;
        };
        let all_redirect = matches!(
            state.routes.target(now, &self.zones, &self.settings),
            Target::Nowhere {
                is_any_silent: false,
                ..
            }
        );
        let code = if all_redirect {
            ResultCode::NoQuota
        } else {
            ResultCode::NoCoordinator
        };
        for request in expired {
            self.refuse(now, Some(request), code, actions);
        }
    }

    fn select(&self, artifact: &ArtifactId, wanted: impl Fn(&Waiting) -> bool) -> Vec<RequestId> {
        self.queue
            .in_order(artifact)
            .filter(|waiting| wanted(waiting))
            .map(|waiting| waiting.arrival.request)
            .collect()
    }

    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        request: Option<RequestId>,
        code: ResultCode,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(waiting) = request.and_then(|request| self.queue.remove(request)) else {
            return;
        };
        let refusal = self.refusal(code, &waiting.arrival.artifact, now);
        let request = waiting.arrival.request;
        actions.push(AdmissionAction::Refuse { request, refusal });
    }

    /// A refusal whose `retry_after` is the time until a replica is expected, or the default.
    pub(super) fn refusal(
        &self,
        code: ResultCode,
        artifact: &ArtifactId,
        now: Timestamp,
    ) -> Refusal {
        let availability = self
            .artifacts
            .get(artifact)
            .map(|state| self.availability(state, now));
        let retry_after = match availability {
            Some(Availability::At(time)) if time > now => time.since(now),
            _ => self.settings.retry_after,
        };
        Refusal::new(code).with_retry_after(retry_after)
    }
}
