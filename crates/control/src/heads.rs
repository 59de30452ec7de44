//! The coordinator of each zone, as known to this daemon.

use std::collections::BTreeMap;

use flaxward_types::ZoneName;
use flaxward_wire::ZoneHead;

use crate::rumors::{Budget, Rumors};

/// The known coordinators of all zones.
#[derive(Clone, Debug, Default)]
pub struct Heads {
    by_zone: BTreeMap<ZoneName, ZoneHead>,
    zone_rumors: Rumors<ZoneName>,
    cross_zone_rumors: Rumors<ZoneName>,
    last_anti_entropy: Option<ZoneName>,
}

impl Heads {
    /// The head of a zone.
    pub fn get(&self, zone: &ZoneName) -> Option<&ZoneHead> {
        self.by_zone.get(zone)
    }

    /// Every head, in the order of the zones.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneHead> {
        self.by_zone.values()
    }

    /// Merges a head; the higher term wins. Returns whether anything changed.
    pub fn merge(&mut self, head: &ZoneHead) -> bool {
        if self
            .by_zone
            .get(&head.zone)
            .is_some_and(|known| rank(known) >= rank(head))
        {
            return false;
        }
        self.by_zone.insert(head.zone.clone(), head.clone());
        self.zone_rumors.push(head.zone.clone());
        self.cross_zone_rumors.push(head.zone.clone());
        true
    }

    /// The head known here, if it is newer than the one given.
    pub fn newer_than(&self, head: &ZoneHead) -> Option<&ZoneHead> {
        self.by_zone
            .get(&head.zone)
            .filter(|known| rank(known) > rank(head))
    }

    /// Number of heads still to be disseminated within the zone.
    pub fn pending_rumors(&self) -> usize {
        self.zone_rumors.len()
    }

    /// Whether heads are still to be disseminated to other zones.
    pub fn has_cross_zone_rumors(&self) -> bool {
        !self.cross_zone_rumors.is_empty()
    }

    /// Selects heads for an envelope to a member of the own zone.
    pub fn for_zone(&mut self, budget: &mut Budget, limit: u32) -> Vec<ZoneHead> {
        let heads = &self.by_zone;
        self.zone_rumors
            .select(budget, limit, |zone| heads.get(zone).cloned())
    }

    /// Selects heads for an envelope to another zone.
    pub fn for_other_zone(&mut self, budget: &mut Budget, limit: u32) -> Vec<ZoneHead> {
        let heads = &self.by_zone;
        self.cross_zone_rumors
            .select(budget, limit, |zone| heads.get(zone).cloned())
    }

    /// The next head in round-robin order, for anti-entropy: repairs updates that rumors missed.
    pub fn next_for_anti_entropy(&mut self) -> Option<ZoneHead> {
        let next = crate::rumors::next_round_robin(&self.by_zone, self.last_anti_entropy.as_ref())?;
        self.last_anti_entropy = Some(next.clone());
        self.by_zone.get(&next).cloned()
    }
}

/// Total order of the heads of a zone. A term has one holder, so the coordinator only breaks ties
/// between two of its addresses; every daemon must break them the same way.
fn rank(head: &ZoneHead) -> (flaxward_types::Term, &flaxward_wire::Peer) {
    (head.term, &head.coordinator)
}
