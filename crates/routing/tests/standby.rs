//! Selection of the coordinator's standbys.

use std::collections::BTreeSet;

use flaxward_routing::names::Zone;
use flaxward_routing::standby::{Candidate, StandbyPlace, Standbys};
use flaxward_routing::strength::MachineStrength;

const STRONG: MachineStrength = MachineStrength {
    processor: 500,
    link: 200,
};
const WEAK: MachineStrength = MachineStrength {
    processor: 120,
    link: 20,
};

fn candidate(index: usize, strength: MachineStrength) -> Candidate {
    Candidate {
        name: format!("d{index:03}"),
        zone: Zone::new(&format!("z{}", index % 5)),
        strength,
    }
}

/// 295 machines, 15 of them strong, three in each zone.
fn fleet() -> Vec<Candidate> {
    let weak = (0..280).map(|index| candidate(index, WEAK));
    let strong = (280..295).map(|index| candidate(index, STRONG));
    weak.chain(strong).collect()
}

#[test]
fn a_few_strong_machines_of_several_zones_stand_by() {
    let mut standbys = Standbys::default();
    standbys.choose(fleet());
    let names = standbys.names();
    assert_eq!(names.len(), 5);
    let fleet = fleet();
    let chosen = fleet.iter().filter(|it| names.contains(&it.name));
    let chosen: Vec<&Candidate> = chosen.collect();
    assert!(chosen.iter().all(|it| it.strength == STRONG));
    let zones: BTreeSet<&Zone> = chosen.iter().map(|it| &it.zone).collect();
    assert_eq!(zones.len(), 5);
    assert_eq!(standbys.place(&names[2]), StandbyPlace::Place(2));
    assert_eq!(standbys.place("d000"), StandbyPlace::None);
}

#[test]
fn standbys_stay_while_alive() {
    let mut standbys = Standbys::default();
    standbys.choose(fleet());
    let before = standbys.names().to_vec();
    let mut rest = fleet();
    rest.retain(|it| it.name != before[1]);
    standbys.choose(rest);
    let after = standbys.names();
    assert_eq!(after.len(), 5);
    assert!(!after.contains(&before[1]));
    for name in before.iter().filter(|name| **name != before[1]) {
        assert!(after.contains(name), "{name} was a standby and is alive");
    }
}

#[test]
fn weak_machines_stand_by_if_there_are_no_others() {
    let mut standbys = Standbys::default();
    let weak = (0..40).map(|index| candidate(index, WEAK));
    standbys.choose(weak.collect());
    assert_eq!(standbys.names().len(), 5);
    let few = (0..3).map(|index| candidate(index, WEAK));
    let few = few.chain([candidate(3, STRONG)]);
    standbys.choose(few.collect());
    assert_eq!(
        standbys.names().len(),
        4,
        "all of a few members are standbys"
    );
    assert_eq!(
        standbys.place("d003"),
        StandbyPlace::Place(0),
        "the strong one acts first"
    );
}
