//! A history of configuration changes, as the store would deliver it.

use std::collections::BTreeMap;

use flaxward_control::configuration::Configuration;
use flaxward_types::configuration::{DrainSpec, ServiceSpec};
use flaxward_types::{ConfigurationItem, ItemKey, Revision, RunnerName, ServiceName};
use flaxward_wire::{ConfigurationChange, ConfigurationDelta, ConfigurationSnapshot};
use proptest::prelude::*;

/// Changes in order; revisions have gaps because other objects change as well.
#[derive(Clone, Debug, Default)]
pub struct History(pub Vec<ConfigurationChange>);

impl History {
    pub fn last(&self) -> Revision {
        self.0.last().map_or(Revision(0), |change| change.revision)
    }

    /// The configuration in force at a revision.
    pub fn at(&self, revision: Revision) -> Configuration {
        let mut items = BTreeMap::new();
        for change in self.0.iter().filter(|change| change.revision <= revision) {
            items.remove(&change.key);
            if let Some(item) = &change.item {
                items.insert(change.key.clone(), (change.revision, item.clone()));
            }
        }
        let items = items
            .into_iter()
            .map(|(key, (changed, item))| (key, changed, item));
        Configuration::new(revision, items)
    }

    pub fn delta(&self, from: Revision, to: Revision) -> ConfigurationDelta {
        let within =
            |change: &&ConfigurationChange| change.revision > from && change.revision <= to;
        let changes = self.0.iter().filter(within).cloned().collect();
        ConfigurationDelta { from, to, changes }
    }

    pub fn snapshot(&self, revision: Revision) -> ConfigurationSnapshot {
        self.at(revision).snapshot()
    }

    /// Appends a change of a key: a removal without a number, otherwise a put.
    pub fn change(&mut self, key: u8, number: Option<u32>, gap: u64) -> Revision {
        let revision = Revision(self.last().0 + 1 + gap);
        let (key, item) = if key.is_multiple_of(2) {
            let key = ItemKey::Service(ServiceName::literal(&format!("service-{key}")));
            let item = |concurrency| ConfigurationItem::Service(ServiceSpec { concurrency });
            (key, number.map(item))
        } else {
            let key = ItemKey::Drain(RunnerName::literal(&format!("runner-{key}")));
            let item = |number: u32| {
                let reason = format!("reason {number}");
                ConfigurationItem::Drain(DrainSpec { reason })
            };
            (key, number.map(item))
        };
        self.0.push(ConfigurationChange {
            revision,
            key,
            item,
        });
        revision
    }
}

/// A history of fewer than `length` changes of six keys, with removals and re-creations.
pub fn history(length: usize) -> impl Strategy<Value = History> {
    let change = (0..6_u8, prop::option::weighted(0.7, 0..100_u32), 0..4_u64);
    prop::collection::vec(change, 1..length).prop_map(|changes| {
        let mut history = History::default();
        for (key, number, gap) in changes {
            history.change(key, number, gap);
        }
        history
    })
}
