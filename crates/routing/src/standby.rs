//! Which members stand by for the coordinator.
//!
//! Standbys look for a free lease first, know where all members listen, and watch the store when the
//! coordinator does not tell of it. So the calls to the store grow with their number and not with the
//! number of members.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::names::Zone;
use crate::strength::MachineStrength;

/// Standbys at most. Outages were seen to strike the coordinator and one or two more machines at a time.
const STANDBYS: usize = 5;
/// Members up to which all of them stand by: their calls to the store count for nothing.
const ALL_STAND_BY: usize = 12;

/// What a coordinator says to a member of its standing by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StandbyPlace {
    /// Nothing: the coordinator has only just begun, and the standbys of the one before it stay.
    #[default]
    Unsaid,
    /// It does not stand by.
    None,
    /// It stands by; the first to act has the place 0.
    Place(u8),
}

impl StandbyPlace {
    /// Whether the member stands by, if that is said.
    pub fn stands_by(self) -> Option<bool> {
        match self {
            Self::Unsaid => None,
            Self::None => Some(false),
            Self::Place(_) => Some(true),
        }
    }
}

/// A member that may stand by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the daemon.
    pub name: String,
    /// Its zone.
    pub zone: Zone,
    /// Its machine.
    pub strength: MachineStrength,
}

/// The standbys under one coordinator, the first to act first.
#[derive(Debug, Default)]
pub struct Standbys {
    names: Vec<String>,
}

impl Standbys {
    /// Chooses among the members that live and do not stop, the coordinator left out. Those that stand by
    /// already go on unless a stronger kind of machine is there; the others are taken by strength, from the
    /// zone with the fewest.
    pub fn choose(&mut self, mut candidates: Vec<Candidate>) {
        let wanted = if candidates.len() < ALL_STAND_BY {
            candidates.len()
        } else {
            STANDBYS
        };
        let strongest = candidates.iter().map(|it| it.strength).max();
        candidates.sort_by(|left, right| left.name.cmp(&right.name));
        let is_fit = |it: &&Candidate| !it.strength.is_weak_beside(strongest);
        let fit: BTreeMap<&String, &Candidate> = candidates
            .iter()
            .filter(is_fit)
            .map(|it| (&it.name, it))
            .collect();
        let mut chosen: Vec<Candidate> = self
            .names
            .iter()
            .filter_map(|name| fit.get(name).map(|&it| it.clone()))
            .take(wanted)
            .collect();
        while chosen.len() < wanted {
            let Some(next) = next_candidate(&candidates, &chosen, strongest) else {
                break;
            };
            chosen.push(next);
        }
        self.names = chosen.into_iter().map(|it| it.name).collect();
    }

    /// Place of a member among the standbys.
    pub fn place(&self, member: &str) -> StandbyPlace {
        let place = self.names.iter().position(|name| name == member);
        let place = place.and_then(|place| u8::try_from(place).ok());
        place.map_or(StandbyPlace::None, StandbyPlace::Place)
    }

    /// Names of the standbys, the first to act first.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}

/// The candidate to take next: fit ones first, then one of the zone with the fewest standbys.
fn next_candidate(
    candidates: &[Candidate],
    chosen: &[Candidate],
    strongest: Option<MachineStrength>,
) -> Option<Candidate> {
    let in_zone = |zone: &Zone| chosen.iter().filter(|it| it.zone == *zone).count();
    let free = candidates
        .iter()
        .filter(|it| !chosen.iter().any(|taken| taken.name == it.name));
    free.min_by_key(|it| (it.strength.is_weak_beside(strongest), in_zone(&it.zone)))
        .cloned()
}
