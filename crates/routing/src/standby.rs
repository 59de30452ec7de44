//! Selects the members that act as standbys for the coordinator.
//!
//! Standbys are the first to check for a free lease, know the addresses of all members, and watch
//! the store when the coordinator does not report on it. The number of store calls therefore grows
//! with the number of standbys, not with the number of members.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::names::Zone;
use crate::strength::MachineStrength;

/// Maximum number of standbys. Observed outages hit the coordinator and one or two more machines at
/// a time.
const MAX_STANDBYS: usize = 5;
/// Number of candidates below which all members are standbys: so few add no significant load on the
/// store.
const MIN_MEMBERS_FOR_SELECTION: usize = 12;

/// Standby status that a coordinator assigns to a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StandbyPlace {
    /// Not assigned: the coordinator has just started, and its predecessor's standbys remain.
    #[default]
    Unsaid,
    /// The member is not a standby.
    None,
    /// The member is a standby with this rank; rank 0 acts first.
    Place(u8),
}

impl StandbyPlace {
    /// Whether the member is a standby; `None` if not assigned.
    pub fn stands_by(self) -> Option<bool> {
        match self {
            Self::Unsaid => None,
            Self::None => Some(false),
            Self::Place(_) => Some(true),
        }
    }
}

/// A member that can become a standby.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of its daemon.
    pub name: String,
    /// Its zone.
    pub zone: Zone,
    /// Capacity of its machine.
    pub strength: MachineStrength,
}

/// The standbys of one coordinator, in order of rank.
#[derive(Debug, Default)]
pub struct Standbys {
    names: Vec<String>,
}

impl Standbys {
    /// Selects from the members that are alive and not stopping, excluding the coordinator. Current
    /// standbys stay unless they are weak compared with the strongest machine. The remaining places
    /// go to non-weak machines first, then to those in the zone with the fewest standbys.
    pub fn choose(&mut self, mut candidates: Vec<Candidate>) {
        let wanted = if candidates.len() < MIN_MEMBERS_FOR_SELECTION {
            candidates.len()
        } else {
            MAX_STANDBYS
        };
        let strongest = candidates.iter().map(|it| it.strength).max();
        candidates.sort_by(|left, right| left.name.cmp(&right.name));
        let is_eligible = |it: &&Candidate| !it.strength.is_weak_beside(strongest);
        let eligible: BTreeMap<&String, &Candidate> = candidates
            .iter()
            .filter(is_eligible)
            .map(|it| (&it.name, it))
            .collect();
        let mut chosen: Vec<Candidate> = self
            .names
            .iter()
            .filter_map(|name| eligible.get(name).map(|&it| it.clone()))
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

    /// Rank of a member among the standbys.
    pub fn place(&self, member: &str) -> StandbyPlace {
        let place = self.names.iter().position(|name| name == member);
        let place = place.and_then(|place| u8::try_from(place).ok());
        place.map_or(StandbyPlace::None, StandbyPlace::Place)
    }

    /// Names of the standbys, in order of rank.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}

/// Returns the next candidate to add: non-weak ones first, then one from the zone with the fewest
/// standbys.
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
