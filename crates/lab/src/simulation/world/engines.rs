//! Calls in the engines: taken, processed, answered, or sent back.

use flaxward_types::RunnerName;

use super::{Event, World};
use crate::simulation::batch::{BatchRequest, CallIndex};

impl World<'_> {
    pub(super) fn dispatched(&mut self, name: &RunnerName, index: CallIndex) {
        let call = &self.run.calls[index];
        let runner = self.runners.get_mut(name);
        let Some(runner) = runner.filter(|runner| runner.is_ready(&call.artifact)) else {
            self.bounced(name, index);
            return;
        };
        for (bytes, since) in runner.count_running(&call.artifact, true, self.now) {
            self.measures.idle(bytes, since, self.now);
        }
        runner.batch.push(BatchRequest {
            call: index,
            artifact: call.artifact.clone(),
            prompt_tokens: call.prompt_tokens,
            prefix_tokens: call.prefix_tokens,
            output_tokens: call.output_tokens,
        });
        let limited = self.store.limited_millis(self.now);
        let measures = &mut self.measures;
        self.cold_starts
            .taken(&call.artifact, limited, self.now, measures);
        self.admit(name);
    }

    /// The replica is not there any more: the call waits again.
    pub(super) fn bounced(&mut self, name: &RunnerName, index: CallIndex) {
        let Some(flight) = self.in_flight.remove(&index) else {
            return;
        };
        let call = &self.run.calls[index];
        let gateway = &mut self.gateways[flight.gateway];
        gateway.forget_replica(&call.artifact, name);
        let pending = gateway.pending(&call.artifact);
        pending.running = pending.running.saturating_sub(1);
        pending.waiting.push_front(index);
        self.schedule(call.deadline, Event::Deadline(index));
        let limited = self.store.limited_millis(self.now);
        let measures = &mut self.measures;
        self.cold_starts
            .called(&call.artifact, false, limited, self.now, measures);
        self.demand(flight.gateway, &call.artifact);
    }

    pub(super) fn admit(&mut self, name: &RunnerName) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        for (call, at) in runner.batch.admit(self.now) {
            self.schedule(at, Event::Prefilled(name.clone(), call));
        }
    }

    pub(super) fn prefilled(&mut self, name: &RunnerName, index: CallIndex) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        if !runner.batch.prefilled(index, self.now) {
            return;
        }
        if let Some(flight) = self.in_flight.get_mut(&index) {
            flight.first_token = Some(self.now);
            let sent = self.run.calls[index].at;
            let first_token = (self.now + self.one_way).since(sent);
            self.measures.first_token.record(first_token);
        }
        self.batch_due(name);
    }

    /// Finishes what is done on a machine, and looks again when the next is.
    pub(super) fn batch_due(&mut self, name: &RunnerName) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let done = runner.batch.take_done(self.now);
        for call in &done {
            self.finished(name, *call);
        }
        if !done.is_empty() {
            self.admit(name);
        }
        self.schedule_batch(name);
    }

    /// Schedules a look at a machine for when its next request is done, once.
    pub(super) fn schedule_batch(&mut self, name: &RunnerName) {
        let runner = self.runners.get(name);
        let Some(next) = runner.and_then(|runner| runner.batch.next_done()) else {
            return;
        };
        let due = self.batches_due.get(name);
        if due.is_none_or(|due| *due <= self.now || next < *due) {
            self.batches_due.insert(name.clone(), next);
            self.schedule(next, Event::BatchDue(name.clone()));
        }
    }

    pub(super) fn finished(&mut self, name: &RunnerName, index: CallIndex) {
        let call = &self.run.calls[index];
        let Some(flight) = self.in_flight.remove(&index) else {
            return;
        };
        self.measures.answered += 1;
        let gaps = u64::from(call.output_tokens.saturating_sub(1));
        if let Some(first) = flight.first_token.filter(|_| gaps > 0) {
            let gap = self
                .now
                .since(first)
                .div_f64(f64::from(call.output_tokens - 1));
            self.measures.between_tokens.record_many(gap, gaps);
        }
        self.cold_starts.note_activity(&call.artifact, self.now);
        if let Some(runner) = self.runners.get_mut(name) {
            runner.count_running(&call.artifact, false, self.now);
        }
        for artifact in [call.artifact.clone(), call.artifact.base()] {
            self.settle_unload(name, &artifact);
        }
        let pending = self.gateways[flight.gateway].pending(&call.artifact);
        pending.running = pending.running.saturating_sub(1);
        if !pending.is_active() {
            self.demand(flight.gateway, &call.artifact);
        }
    }
}
