//! Refusing what cannot be served, as soon as that is known.

use flaxward_types::{ArtifactId, Refusal, ResultCode, Timestamp};

use super::interface::{AdmissionAction, RequestId};
use super::queue::Waiting;
use super::routes::{Hope, Target};
use super::{Admission, ArtifactState};

impl Admission {
    /// What the requests waiting for an artifact may hope for.
    pub(super) fn hope(&self, state: &ArtifactState, now: Timestamp) -> Hope {
        match state.routes.target(now, &self.zones, &self.settings) {
            Target::Zone(zone) => state.routes.hope(&zone, now, &self.settings),
            Target::Nowhere { .. } => Hope::Unknown,
        }
    }

    /// Refuses at once what certainly cannot be served.
    pub(super) fn refuse_hopeless(
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
        let hope = self.hope(state, now);
        self.note_hope(now, artifact, &hope);
        match hope {
            Hope::Ready => {}
            Hope::Unknown => self.refuse_after_grace(now, artifact, actions),
            Hope::At(time) => self.refuse_too_late(now, artifact, time, actions),
            Hope::Refused(refusal) => {
                let all = self.select(artifact, |_| true);
                for request in all {
                    self.queue.remove(request);
                    let refusal = refusal.clone();
                    actions.push(AdmissionAction::Refuse { request, refusal });
                }
            }
        }
    }

    fn note_hope(&mut self, now: Timestamp, artifact: &ArtifactId, hope: &Hope) {
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        state.hopeless_since = match hope {
            Hope::Unknown => state.hopeless_since.or(Some(now)),
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
            self.promise(now, artifact, ready, waiting.arrival.priority);
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
        let Some(hopeless_since) = state.hopeless_since else {
            return;
        };
        let grace = self.settings.coordinator_grace;
        let patient = self.select(artifact, |waiting| {
            now.since(waiting.since.max(hopeless_since)) >= grace
        });
        let Some(state) = self.artifacts.get(artifact) else {
            return;
        };
        let all_send_us_on = matches!(
            state.routes.target(now, &self.zones, &self.settings),
            Target::Nowhere {
                is_any_silent: false,
                ..
            }
        );
        let code = if all_send_us_on {
            ResultCode::NoQuota
        } else {
            ResultCode::NoCoordinator
        };
        for request in patient {
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

    /// A refusal that says when to come back: when a replica is expected, or after the default.
    pub(super) fn refusal(
        &self,
        code: ResultCode,
        artifact: &ArtifactId,
        now: Timestamp,
    ) -> Refusal {
        let hope = self
            .artifacts
            .get(artifact)
            .map(|state| self.hope(state, now));
        let retry_after = match hope {
            Some(Hope::At(time)) if time > now => time.since(now),
            _ => self.settings.retry_after,
        };
        Refusal::new(code).with_retry_after(retry_after)
    }
}
