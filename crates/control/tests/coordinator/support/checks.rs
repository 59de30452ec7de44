//! Invariants, checked against the state of the engines and of the store.

use flaxward_control::configuration::Configuration;
use flaxward_types::engine::{HeldState, Order, OrderAnswer};
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, RunnerName};

use super::models::artifact;
use super::simulation::Simulation;

impl Simulation {
    pub(super) fn record_violation(&mut self, description: String) {
        let time = self.now;
        self.violation
            .get_or_insert(format!("at {time} ms: {description}"));
    }

    pub(super) fn check_answer(
        &mut self,
        runner: &RunnerName,
        order: &Order,
        answer: &OrderAnswer,
    ) {
        match answer {
            OrderAnswer::NoMemory { .. } => {
                self.record_violation(format!("{runner} has no memory for {:?}", order.action));
            }
            OrderAnswer::Refused { reason } if self.refusals_are_violations => {
                self.record_violation(format!("{runner} refuses {:?}: {reason}", order.action));
            }
            _ => {}
        }
    }

    /// Checks that an accepted load has a slot and is within the limit.
    pub(super) fn check_load(&mut self, runner: &RunnerName, artifact: &ArtifactId) {
        let slot = Slot {
            artifact: artifact.clone(),
            runner: runner.clone(),
        };
        let recorded = self.zones.iter().any(|zone| {
            let placement = self.store.placement(zone);
            placement.is_some_and(|placement| placement.slots.contains(&slot))
        });
        if !recorded {
            self.record_violation(format!("{runner} loads {artifact} without a slot"));
        }
        let subject = subject_of(artifact);
        let limit = self.limit(&subject);
        let replicas = self.replicas(&subject);
        if replicas > limit {
            self.record_violation(format!(
                "{replicas} replicas of {subject:?}, {limit} allowed"
            ));
        }
        let engine = &self.engines[runner];
        if engine.used_memory() > engine.memory {
            self.record_violation(format!("{runner} uses {} bytes", engine.used_memory()));
        }
    }

    /// Replicas on all machines, including those being loaded or unloaded.
    pub fn replicas(&self, subject: &QuotaSubject) -> usize {
        let engines = self.engines.values().filter(|engine| engine.is_running);
        let entries = engines.flat_map(|engine| engine.entries.values());
        entries
            .filter(|entry| entry.state != HeldState::Failed)
            .filter(|entry| subject_of(&entry.artifact) == *subject)
            .count()
    }

    pub(super) fn limit(&self, subject: &QuotaSubject) -> usize {
        let previous = self
            .previous_configurations
            .iter()
            .filter(|(_, until)| *until > self.now);
        let allowed = previous
            .map(|(configuration, _)| configuration)
            .chain([&self.configuration]);
        let limits = allowed.map(|configuration| limit(configuration, subject));
        limits.max().unwrap_or(0)
    }

    /// Checks the stored records: units within the limit, slots within the units.
    pub(super) fn check_store(&mut self) {
        let mut violations = Vec::new();
        for (_, quota) in self.store.quotas() {
            let total: u32 = quota.units.values().sum();
            if total as usize > self.limit(&quota.subject) {
                violations.push(format!("{total} units of {:?}", quota.subject));
            }
            for zone in &self.zones {
                let units = quota.units.get(zone).copied().unwrap_or(0) as usize;
                let slots = self.store.placement(zone).map_or(0, |placement| {
                    let slots = placement.slots.iter();
                    slots
                        .filter(|slot| subject_of(&slot.artifact) == quota.subject)
                        .count()
                });
                if slots > units {
                    violations.push(format!("{slots} slots of {:?} in {zone}", quota.subject));
                }
            }
        }
        for description in violations {
            self.record_violation(description);
        }
    }
}

fn subject_of(artifact: &ArtifactId) -> QuotaSubject {
    match &artifact.adapter {
        Some(adapter) => QuotaSubject::Adapter(artifact.model.clone(), adapter.clone()),
        None => QuotaSubject::Model(artifact.model.clone()),
    }
}

fn limit(configuration: &Configuration, subject: &QuotaSubject) -> usize {
    let limit = match subject {
        QuotaSubject::Model(model) => {
            let spec = configuration.model(model);
            spec.map_or(0, |spec| spec.copies.at_most)
        }
        QuotaSubject::Adapter(model, adapter) => {
            let id = artifact(&format!("{model}:{adapter}@v1"));
            configuration.adapter(&id).map_or(0, |spec| spec.at_most)
        }
        QuotaSubject::WeightStore => configuration.policy().weight_store_parallel,
    };
    limit as usize
}
