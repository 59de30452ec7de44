//! Which daemon coordinates which zone, as far as this daemon has heard.

use std::collections::BTreeMap;

use flaxward_types::ZoneName;
use flaxward_wire::ZoneHead;

use crate::rumors::{Budget, Rumors};

/// The heads of all zones known.
#[derive(Clone, Debug, Default)]
pub struct Heads {
    by_zone: BTreeMap<ZoneName, ZoneHead>,
    zone_rumors: Rumors<ZoneName>,
    outside_rumors: Rumors<ZoneName>,
    repeated: Option<ZoneName>,
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

    /// Takes over a head if it is newer than the one known: a higher term wins. Returns whether
    /// anything changed.
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
        self.outside_rumors.push(head.zone.clone());
        true
    }

    /// The head known here, if it is newer than the one given.
    pub fn newer_than(&self, head: &ZoneHead) -> Option<&ZoneHead> {
        self.by_zone
            .get(&head.zone)
            .filter(|known| rank(known) > rank(head))
    }

    /// Number of heads on their way through the zone.
    pub fn news(&self) -> usize {
        self.zone_rumors.len()
    }

    /// Whether heads are on their way to other zones.
    pub fn spreading_outside(&self) -> bool {
        !self.outside_rumors.is_empty()
    }

    /// Picks heads for an envelope to a member of the own zone.
    pub fn for_zone(&mut self, budget: &mut Budget, limit: u32) -> Vec<ZoneHead> {
        let heads = &self.by_zone;
        self.zone_rumors
            .select(budget, limit, |zone| heads.get(zone).cloned())
    }

    /// Picks heads for an envelope to another zone.
    pub fn for_outside(&mut self, budget: &mut Budget, limit: u32) -> Vec<ZoneHead> {
        let heads = &self.by_zone;
        self.outside_rumors
            .select(budget, limit, |zone| heads.get(zone).cloned())
    }

    /// The next head in turn, whether it is news or not: repairs what rumors missed.
    pub fn repeat(&mut self) -> Option<ZoneHead> {
        let next = crate::rumors::next_in_turn(&self.by_zone, self.repeated.as_ref())?;
        self.repeated = Some(next.clone());
        self.by_zone.get(&next).cloned()
    }
}

/// Order of two heads of a zone. A term has one holder, so the coordinator decides only between
/// two addresses of it; what matters is that everyone decides alike.
fn rank(head: &ZoneHead) -> (flaxward_types::Term, &flaxward_wire::Peer) {
    (head.term, &head.coordinator)
}
