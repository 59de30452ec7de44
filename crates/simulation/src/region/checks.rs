//! The invariants, checked from the records of engines, store, services and callers.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_control::configuration::Configuration;
use flaxward_types::engine::{HeldState, Order, OrderAction, OrderAnswer};
use flaxward_types::records::QuotaSubject;
use flaxward_types::{
    ArtifactId, ConfigurationItem, ItemKey, ResultCode, Revision, RunnerName, ZoneName,
};

use super::{Event, Region};
use crate::caller::{CallerRequest, Delivery, Frame, Outcome, RequestRecord};
use crate::invariant::{Invariant, Violation};
use crate::process::{Input, ProcessId};
use crate::store::{Change, Key, Object, Record};
use crate::time::VirtualTime;

/// Time in which a region finds itself again after a fault: suspicion, lease, seeds asked again.
const RECOVERY: Duration = Duration::from_secs(25);
/// Time in which an undisturbed region has carried out a lowered rule.
const RULE_TIME: Duration = Duration::from_secs(40);
/// Time in which a leaving mark reaches every gateway.
const MARK_TIME: Duration = Duration::from_secs(3);
/// Time in which an accepted change is in force at every daemon.
const IN_FORCE: Duration = Duration::from_secs(5);
/// How late an answer at a deadline may be: two ticks.
const LATENESS: Duration = Duration::from_millis(110);

/// What the checks remember.
#[derive(Debug)]
pub(super) struct Checks {
    /// Until when communication or authority is disturbed, recovery included.
    disturbed_until: VirtualTime,
    /// Until when answers may break off, recovery included.
    answers_disturbed_until: VirtualTime,
    leaving_since: BTreeMap<RunnerName, VirtualTime>,
    rules: BTreeMap<QuotaSubject, Rule>,
    key_executions: BTreeMap<String, u32>,
    in_force: BTreeMap<ProcessId, Revision>,
    pauses: Vec<(usize, VirtualTime, VirtualTime)>,
    through_stop: BTreeMap<u64, VirtualTime>,
}

impl Default for Checks {
    fn default() -> Self {
        let started = VirtualTime::default() + RECOVERY;
        Self {
            disturbed_until: started,
            answers_disturbed_until: started,
            leaving_since: BTreeMap::new(),
            rules: BTreeMap::new(),
            key_executions: BTreeMap::new(),
            in_force: BTreeMap::new(),
            pauses: Vec::new(),
            through_stop: BTreeMap::new(),
        }
    }
}

/// How many replicas a rule allows, and what it allowed before and when that ended.
#[derive(Clone, Debug, Default)]
struct Rule {
    limit: u32,
    former: Vec<(u32, VirtualTime)>,
}

impl Region {
    pub(super) fn violate(&mut self, invariant: Invariant, detail: String) {
        let at = self.now;
        self.violation.get_or_insert(Violation {
            invariant,
            at,
            detail,
        });
    }

    /// Notes a fault of communication or authority that ends at a time.
    pub(super) fn disturb(&mut self, until: VirtualTime) {
        let until = until + RECOVERY;
        self.checks.disturbed_until = self.checks.disturbed_until.max(until);
        self.disturb_answers(until);
    }

    /// Notes a fault that breaks off answers and ends at a time.
    pub(super) fn disturb_answers(&mut self, until: VirtualTime) {
        let until = until + RECOVERY;
        self.checks.answers_disturbed_until = self.checks.answers_disturbed_until.max(until);
    }

    pub(super) fn note_pause(&mut self, daemon: usize, until: VirtualTime) {
        self.checks.pauses.push((daemon, self.now, until));
    }

    pub(super) fn note_change(&mut self, change: &Change) {
        let Key::Item(key) = &change.key else {
            return;
        };
        let item = match &change.object {
            Some(Object {
                record: Record::Item(item),
                ..
            }) => Some(item),
            _ => None,
        };
        self.note_rule(key, item);
        if let ItemKey::Drain(runner) = key {
            match item {
                Some(_) => self.note_leaving(runner),
                None => self.note_staying(runner),
            }
        }
        let since = self.now;
        self.after(IN_FORCE, Event::InForce(change.revision, since));
    }

    fn note_rule(&mut self, key: &ItemKey, item: Option<&ConfigurationItem>) {
        let (subject, limit) = match (key, item) {
            (ItemKey::Model(model), Some(ConfigurationItem::Model(spec))) => {
                (QuotaSubject::Model(model.clone()), spec.copies.at_most)
            }
            (ItemKey::Adapter(model, adapter), Some(ConfigurationItem::Adapter(spec))) => {
                let subject = QuotaSubject::Adapter(model.clone(), adapter.clone());
                (subject, spec.at_most)
            }
            _ => return,
        };
        let now = self.now;
        let rule = self.checks.rules.entry(subject).or_default();
        rule.former.push((rule.limit, now));
        rule.limit = limit;
    }

    pub(super) fn note_leaving(&mut self, runner: &RunnerName) {
        let now = self.now;
        self.checks
            .leaving_since
            .entry(runner.clone())
            .or_insert(now);
    }

    fn note_staying(&mut self, runner: &RunnerName) {
        let is_listed = self
            .listed
            .get(runner)
            .is_some_and(|machine| machine.leaving);
        let is_told = self
            .engines
            .get(runner)
            .is_some_and(|engine| engine.leaving);
        if !is_listed && !is_told {
            self.checks.leaving_since.remove(runner);
        }
    }

    /// A request leaves a daemon for a runner.
    pub(super) fn check_leaving(&mut self, process: ProcessId, runner: &RunnerName) {
        let Some(since) = self.checks.leaving_since.get(runner) else {
            return;
        };
        let reachable_since = (*since).max(self.checks.disturbed_until);
        if self.now > reachable_since + MARK_TIME {
            let name = &self.daemons[process.daemon].peer.name;
            let late = self.now.since(reachable_since).as_millis();
            let detail = format!("{name} sends work to {runner}, marked {late} ms ago");
            self.violate(Invariant::NoNewWorkOnLeaving, detail);
        }
    }

    /// An engine has answered an order.
    pub(super) fn check_order(&mut self, runner: &RunnerName, order: &Order, answer: &OrderAnswer) {
        let engine = &self.engines[runner];
        let (used, memory, term) = (engine.used(), engine.memory, engine.term);
        if used > memory {
            let detail = format!("{runner} holds {used} of {memory} bytes");
            self.violate(Invariant::MemoryWithinSize, detail);
        }
        if matches!(answer, OrderAnswer::NoMemory { .. }) && order.term == term {
            let detail = format!("{runner} has no memory for {:?}", order.action);
            self.violate(Invariant::MemoryWithinSize, detail);
        }
        if let OrderAction::Load { artifact, .. } = &order.action {
            self.check_replicas(&subject(artifact));
        }
    }

    fn check_replicas(&mut self, subject_checked: &QuotaSubject) {
        let undisturbed = self.checks.disturbed_until;
        let now = self.now;
        let Some(rule) = self.checks.rules.get_mut(subject_checked) else {
            return;
        };
        rule.former
            .retain(|(_, ended)| now <= undisturbed.max(*ended) + RULE_TIME);
        let former = rule.former.iter().map(|(limit, _)| *limit);
        let allowed = former.fold(rule.limit, u32::max);
        let replicas: Vec<String> = self
            .engines()
            .flat_map(|engine| engine.held().map(move |held| (&engine.machine.name, held)))
            .filter(|(_, held)| held.state != HeldState::Failed)
            .filter(|(_, held)| subject(&held.artifact) == *subject_checked)
            .map(|(runner, held)| format!("{} {:?} on {runner}", held.artifact, held.state))
            .collect();
        if replicas.len() > allowed as usize {
            let detail = format!("{allowed} allowed: {replicas:?}");
            self.violate(Invariant::ReplicasWithinRule, detail);
        }
    }

    /// A back end begins to run a request.
    pub(super) fn check_execution(&mut self, request: &CallerRequest) {
        let Some(record) = self.records.get_mut(&request.number) else {
            return;
        };
        record.executions += 1;
        let executions = record.executions;
        let ended = record.ended;
        if let Some((_, Outcome::Refused(code) | Outcome::BrokenOff(code))) = ended
            && code.not_run()
        {
            let detail = format!("request {} runs after refusal {code}", request.number);
            self.violate(Invariant::NotRunIsTrue, detail);
        }
        if request.repeatable {
            return;
        }
        let runs = match &request.key {
            Some(key) => {
                let runs = self.checks.key_executions.entry(key.clone()).or_default();
                *runs += 1;
                *runs
            }
            None => executions,
        };
        if runs > 1 {
            let detail = format!("request {} ({:?}) runs again", request.number, request.key);
            self.violate(Invariant::AtMostOnce, detail);
        }
    }

    /// A caller sends a request to a daemon. Nothing is recorded if no process takes it.
    pub(super) fn call(&mut self, daemon: usize, request: std::sync::Arc<CallerRequest>) {
        let Some(process) = &self.daemons[daemon].process else {
            return;
        };
        let id = process.id;
        let record = RequestRecord {
            process: id,
            arrived: self.now,
            frames: 0,
            first: None,
            ended: None,
            executions: 0,
        };
        self.records.insert(request.number, record);
        self.open.insert(request.number);
        self.tell(Duration::ZERO, id, Input::Request(request));
    }

    /// A caller receives something.
    pub(super) fn deliver(&mut self, number: u64, delivery: Delivery) {
        let request = std::sync::Arc::clone(&self.requests[&number]);
        let Some(record) = self.records.get(&number) else {
            return;
        };
        let frames = record.frames;
        if record.ended.is_some() {
            let detail = format!("request {number} gets {delivery:?} after its end");
            return self.violate(Invariant::WholeAnswer, detail);
        }
        match delivery {
            Delivery::Frame(frame) => self.deliver_frame(&request, frame, frames),
            Delivery::StreamEnd => {
                if frames != request.tokens {
                    let detail =
                        format!("{number} ends after {frames} of {} frames", request.tokens);
                    self.violate(Invariant::WholeAnswer, detail);
                }
                self.end_request(number, Outcome::Answered);
            }
            Delivery::Answer(_, body) => {
                if body != request.answer() {
                    let detail = format!("request {number} gets {body:?}");
                    self.violate(Invariant::WholeAnswer, detail);
                }
                self.end_request(number, Outcome::Answered);
            }
            Delivery::Refusal(refusal) if frames > 0 => {
                self.end_request(number, Outcome::BrokenOff(refusal.code));
            }
            Delivery::Refusal(refusal) => {
                self.end_request(number, Outcome::Refused(refusal.code));
            }
        }
    }

    fn deliver_frame(&mut self, request: &CallerRequest, frame: Frame, frames: u64) {
        let number = request.number;
        if frame != request.frame(frames) {
            let detail = format!("request {number} gets {frame:?} as frame {frames}");
            self.violate(Invariant::WholeAnswer, detail);
        }
        let now = self.now;
        if let Some(record) = self.records.get_mut(&number) {
            record.frames += 1;
            record.first.get_or_insert(now);
        }
        if frames == 0 {
            self.check_in_time(number);
        }
    }

    pub(super) fn end_request(&mut self, number: u64, outcome: Outcome) {
        let now = self.now;
        let Some(record) = self.records.get_mut(&number) else {
            return;
        };
        record.ended = Some((now, outcome));
        let record = record.clone();
        self.trace(|| {
            format!(
                "request {number} {:?}: {record:?}",
                self.requests[&number].target
            )
        });
        self.open.remove(&number);
        let (frames, executions) = (record.frames, record.executions);
        if let Outcome::Refused(code) | Outcome::BrokenOff(code) = outcome
            && code.not_run()
            && (executions > 0 || frames > 0)
        {
            let detail =
                format!("request {number} is refused as {code} and ran {executions} times");
            self.violate(Invariant::NotRunIsTrue, detail);
        }
        if frames == 0 && outcome != Outcome::ConnectionLost {
            self.check_in_time(number);
        }
        self.check_not_cut(number, outcome);
    }

    /// In a region without faults no answer breaks off, whatever stops as planned.
    fn check_not_cut(&mut self, number: u64, outcome: Outcome) {
        let record = &self.records[&number];
        if record.arrived < self.checks.answers_disturbed_until {
            return;
        }
        let is_cut = match outcome {
            Outcome::BrokenOff(_) | Outcome::ConnectionLost => true,
            Outcome::Refused(code) => {
                let is_through_stop = self.checks.through_stop.contains_key(&number);
                is_through_stop
                    && matches!(
                        code,
                        ResultCode::Stopping
                            | ResultCode::NoCoordinator
                            | ResultCode::DeadlinePassed
                            | ResultCode::DeadlineWhileRunning
                            | ResultCode::OutcomeUnknown
                    )
            }
            Outcome::Answered => false,
        };
        if is_cut {
            let detail = format!("request {number} ends as {outcome:?} without any fault");
            self.violate(Invariant::PlannedStopCutsNothing, detail);
        }
    }

    pub(super) fn note_planned_stop(&mut self, unanswered: &[u64]) {
        let now = self.now;
        // The zone finds another coordinator, but no request may suffer by that.
        let until = now + RECOVERY;
        self.checks.disturbed_until = self.checks.disturbed_until.max(until);
        for number in unanswered {
            self.checks.through_stop.insert(*number, now);
        }
    }

    /// Until when a caller must have the first part of an answer or a refusal.
    fn due(&self, number: u64) -> VirtualTime {
        let record = &self.records[&number];
        let deadline = self.requests[&number].deadline;
        let drift = u32::try_from(self.settings.clock_drift).unwrap_or(0);
        let mut due = record.arrived + deadline + deadline * drift / 1_000_000 + LATENESS;
        for (daemon, from, until) in &self.checks.pauses {
            if *daemon == record.process.daemon && *until > record.arrived && *from < due {
                due = due.max(*until + LATENESS) + until.since((*from).max(record.arrived));
            }
        }
        due
    }

    fn check_in_time(&mut self, number: u64) {
        let due = self.due(number);
        if self.now > due {
            let late = self.now.since(due).as_millis();
            let detail = format!("request {number} is answered {late} ms late");
            self.violate(Invariant::EveryRequestAnswered, detail);
        }
    }

    /// Looks for requests that are overdue, and at all rules.
    pub(super) fn sweep(&mut self) {
        let open: Vec<u64> = self.open.iter().copied().collect();
        for number in open {
            let waits = self.records[&number].frames == 0;
            if waits && self.now > self.due(number) {
                let process = self.records[&number].process;
                let name = self.daemons[process.daemon].peer.name.clone();
                let detail = format!("request {number} at {name} has no answer");
                self.violate(Invariant::EveryRequestAnswered, detail);
            }
        }
        let subjects: Vec<QuotaSubject> = self.checks.rules.keys().cloned().collect();
        for subject in subjects {
            self.check_replicas(&subject);
        }
    }

    /// A process is about to serve by a configuration.
    pub(super) fn check_configuration(&mut self, id: ProcessId, configuration: &Configuration) {
        let revision = configuration.revision();
        let before = self
            .checks
            .in_force
            .insert(id, revision)
            .unwrap_or_default();
        let name = self.daemons[id.daemon].peer.name.clone();
        if revision < before {
            let detail = format!("{name} goes back from {before} to {revision}");
            return self.violate(Invariant::ConfigurationMonotonic, detail);
        }
        let expected = self.store.items_at(revision);
        let is_same = configuration.items().count() == expected.len()
            && configuration.items().all(|(key, changed, item)| {
                expected
                    .get(key)
                    .is_some_and(|known| *known == (changed, item.clone()))
            });
        if !is_same {
            let detail = format!("{name} has another content at {revision} than the store");
            self.violate(Invariant::ConfigurationMonotonic, detail);
        }
    }

    /// A change made at a time must be in force by now, if nothing was disturbed since.
    pub(super) fn check_in_force(&mut self, revision: Revision, since: VirtualTime) {
        if self.checks.disturbed_until > since {
            return;
        }
        let processes = self
            .daemons
            .iter()
            .filter_map(|daemon| daemon.process.as_ref());
        let behind: Vec<String> = processes
            .filter(|process| process.stopping_since.is_none())
            .filter(|process| process.gateway.configuration().revision() < revision)
            .map(|process| process.gateway.me().to_string())
            .collect();
        if !behind.is_empty() {
            let detail = format!("{revision} is not in force at {behind:?}");
            self.violate(Invariant::ConfigurationMonotonic, detail);
        }
    }

    /// Daemons of a zone that coordinate it, as they believe.
    pub fn coordinators(&self, zone: &ZoneName) -> Vec<ProcessId> {
        let daemons = self
            .daemons
            .iter()
            .filter(|daemon| daemon.peer.zone == *zone);
        daemons
            .filter_map(|daemon| daemon.process.as_ref())
            .filter(|process| process.node.leading().is_some())
            .map(|process| process.id)
            .collect()
    }

    /// Checks what must hold when all faults have ended a while ago: each zone has one
    /// coordinator, and no request that has had its time is left.
    pub fn check_settled(&mut self) {
        let zones: Vec<ZoneName> = self
            .settings
            .zones
            .iter()
            .map(|zone| zone.name.clone())
            .collect();
        for zone in zones {
            let coordinators = self.coordinators(&zone);
            if coordinators.len() != 1 {
                let detail = format!("{zone} has the coordinators {coordinators:?}");
                self.violate(Invariant::OneCoordinator, detail);
            }
        }
        self.sweep();
    }

    /// Notes that a model did not wake.
    pub fn fail_to_wake(&mut self, detail: String) {
        self.violate(Invariant::ModelsWake, detail);
    }
}

fn subject(artifact: &ArtifactId) -> QuotaSubject {
    match &artifact.adapter {
        Some(adapter) => QuotaSubject::Adapter(artifact.model.clone(), adapter.clone()),
        None => QuotaSubject::Model(artifact.model.clone()),
    }
}
