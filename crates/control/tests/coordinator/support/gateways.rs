//! Gateways: they ask, renew, and follow an answer to another zone.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_control::coordinator::CoordinatorEvent;
use flaxward_types::routing::{AnswerVersion, Demand, Outlook, RouteAnswer};
use flaxward_types::{ArtifactId, DaemonName};

use super::world::{Happening, Want, World};

impl World {
    /// A gateway begins to want an artifact.
    pub fn demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId, millis: u64) {
        let until = self.now + millis;
        let (zone, wants) = self.gateways.get_mut(gateway).expect("a known gateway");
        let zone = zone.clone();
        let known = wants.contains_key(artifact);
        let want = wants.entry(artifact.clone()).or_insert_with(|| Want {
            until,
            zone,
            tried: BTreeSet::new(),
            newest: BTreeMap::new(),
            outlook: None,
            ready: Vec::new(),
        });
        want.until = want.until.max(until);
        if !known {
            self.renew(gateway, artifact);
        }
    }

    /// The gateway wants the artifact no longer.
    pub fn end_demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId) {
        if let Some((_, wants)) = self.gateways.get_mut(gateway)
            && let Some(want) = wants.get_mut(artifact)
        {
            want.until = self.now;
        }
    }

    pub(super) fn renew(&mut self, gateway: &DaemonName, artifact: &ArtifactId) {
        let now = self.now;
        let (_, wants) = self.gateways.get_mut(gateway).expect("a known gateway");
        let Some(want) = wants.get(artifact) else {
            return;
        };
        if want.until <= now {
            wants.remove(artifact);
            return;
        }
        self.send_demand(gateway, artifact);
        self.at(
            now + 1_000,
            Happening::Renew(gateway.clone(), artifact.clone()),
        );
    }

    pub(super) fn send_demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId) {
        let want = &self.gateways[gateway].1[artifact];
        let ready = u32::from(want.outlook == Some(Outlook::Ready));
        let demand = Demand {
            artifact: artifact.clone(),
            waiting: 1 - ready,
            running: ready,
            priority: 1,
            earliest_deadline_ms: want.until.saturating_sub(self.now),
            arrivals: 0,
            known: want
                .newest
                .get(&want.zone)
                .map(|&(term, sequence)| AnswerVersion { term, sequence }),
        };
        let zone = want.zone.clone();
        let daemons: Vec<(DaemonName, u64)> = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.zone == zone)
            .map(|(name, daemon)| (name.clone(), daemon.start))
            .collect();
        for (name, start) in daemons {
            let time = self.now + self.latency();
            if !self.is_lossy() {
                let event = CoordinatorEvent::Demanded(gateway.clone(), demand.clone());
                self.tell_at(time, name, start, event);
            }
        }
    }

    pub(super) fn take_answer(&mut self, gateway: &DaemonName, answer: RouteAnswer) {
        let Some((_, wants)) = self.gateways.get_mut(gateway) else {
            return;
        };
        let Some(want) = wants.get_mut(&answer.artifact) else {
            return;
        };
        let order = (answer.term, answer.sequence);
        let newest = want.newest.entry(answer.zone.clone()).or_default();
        if *newest >= order || answer.zone != want.zone {
            return;
        }
        *newest = order;
        want.outlook = Some(answer.outlook.clone());
        want.ready = answer
            .ready
            .into_iter()
            .map(|replica| replica.runner)
            .collect();
        let Outlook::Elsewhere { zones } = answer.outlook else {
            return;
        };
        want.tried.insert(answer.zone);
        let next = zones.iter().find(|zone| !want.tried.contains(*zone));
        // Whoever has tried all begins anew with the next renewal.
        let Some(next) = next.cloned() else {
            want.tried.clear();
            return;
        };
        want.zone = next;
        self.send_demand(gateway, &answer.artifact);
    }
}
