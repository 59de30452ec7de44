//! Orders to runners, and the loads and unloads that they set off.

use flaxward_control::coordinator::EngineFault;
use flaxward_types::engine::{Order, OrderAction};
use flaxward_types::{ArtifactId, RunnerName, Timestamp};

use super::{Event, Transfer, World, is_of_group};
use crate::simulation::runner::{Effect, Runner, Source, physical_load_time};
use crate::simulation::weight_store::TransferId;

impl World<'_> {
    pub(super) fn ordered(&mut self, name: &RunnerName, order: &Order) {
        let answer = match self.runners.get_mut(name) {
            None => Err(EngineFault::Unreachable),
            Some(runner) => {
                let (answer, effect) = runner.order(order);
                self.follow(name, effect, order);
                Ok(answer)
            }
        };
        self.later(Event::OrderAnswered(name.clone(), order.id, answer));
    }

    pub(super) fn follow(&mut self, name: &RunnerName, effect: Effect, order: &Order) {
        match effect {
            Effect::None => {}
            Effect::NoMemory => self.measures.memory_refusals += 1,
            Effect::Unloaded(artifact, bytes, idle_since) => {
                self.unloaded(name, &artifact, bytes, idle_since);
            }
            Effect::Load(artifact) => {
                if let OrderAction::Load { .. } = &order.action {
                    self.begin_load(name, &artifact);
                }
            }
        }
    }

    pub(super) fn unloaded(
        &mut self,
        name: &RunnerName,
        artifact: &ArtifactId,
        bytes: u64,
        idle_since: Option<Timestamp>,
    ) {
        if let Some(since) = idle_since {
            self.measures.idle(bytes, since, self.now);
        }
        let stopped: Vec<TransferId> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.runner == *name && transfer.artifact == *artifact)
            .map(|(id, _)| *id)
            .collect();
        for transfer in stopped {
            self.transfers.remove(&transfer);
            self.store.cancel(transfer, self.now);
        }
    }

    pub(super) fn settle_unload(&mut self, name: &RunnerName, artifact: &ArtifactId) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let effect = runner.settle_unload(artifact);
        if let Effect::Unloaded(artifact, bytes, idle_since) = effect {
            self.unloaded(name, &artifact, bytes, idle_since);
        }
    }

    pub(super) fn begin_load(&mut self, name: &RunnerName, artifact: &ArtifactId) {
        let Some(runner) = self.runners.get(name) else {
            return;
        };
        self.measures.loads_begun += 1;
        let source = runner.source(artifact);
        let id = self.next_transfer;
        self.next_transfer += 1;
        let transfer = Transfer {
            runner: name.clone(),
            artifact: artifact.clone(),
            source,
            asked: self.now,
        };
        self.transfers.insert(id, transfer);
        self.note_replicas(artifact);
        if source == Source::WeightStore {
            let start = self.store.reserve_start(self.now);
            self.schedule(start, Event::TransferBegins(id));
        } else {
            let takes = physical_load_time(self.run.scenario, source, self.weights_of(artifact));
            self.schedule(self.now + takes, Event::LoadDone(id));
        }
    }

    pub(super) fn note_replicas(&mut self, artifact: &ArtifactId) {
        let holds = |runner: &&Runner| runner.holdings.contains_key(artifact);
        let replicas = self.runners.values().filter(holds).count();
        let groups = self.run.scenario.models.iter();
        let allowed = groups
            .filter(|group| is_of_group(artifact, &group.prefix))
            .map(|group| group.at_most)
            .max()
            .unwrap_or(1);
        #[allow(clippy::cast_precision_loss)] // few replicas
        let share = replicas as f64 / f64::from(allowed);
        self.measures.most_replicas = self.measures.most_replicas.max(share);
    }

    pub(super) fn transfer_begins(&mut self, id: TransferId) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let bytes = self.weights_of(&transfer.artifact.clone());
        self.store.begin(id, bytes, self.now);
        self.schedule_store();
    }

    pub(super) fn schedule_store(&mut self) {
        if let Some(next) = self.store.next_done() {
            self.schedule(next, Event::StoreDue);
        }
    }

    pub(super) fn store_due(&mut self) {
        let done = self.store.take_done(self.now);
        if done.is_empty() {
            return;
        }
        for transfer in done {
            let warm = self.now + self.run.scenario.runner.warm_up;
            self.schedule(warm, Event::LoadDone(transfer));
        }
        self.schedule_store();
    }

    pub(super) fn load_done(&mut self, id: TransferId) {
        let Some(transfer) = self.transfers.remove(&id) else {
            return;
        };
        let weights = self.weights_of(&transfer.artifact);
        let Some(runner) = self.runners.get_mut(&transfer.runner) else {
            return;
        };
        if !runner.loaded(&transfer.artifact, weights, self.now) {
            return;
        }
        let bytes = runner
            .holdings
            .get(&transfer.artifact)
            .map_or(0, |holding| holding.bytes);
        self.measures.loads_done += 1;
        self.measures.loading(bytes, self.now.since(transfer.asked));
        let physical = physical_load_time(self.run.scenario, transfer.source, weights);
        self.cold_starts
            .loaded(&transfer.artifact, physical, self.now);
    }

    pub(super) fn weights_of(&self, artifact: &ArtifactId) -> u64 {
        self.weights.get(artifact).copied().unwrap_or(0)
    }
}
