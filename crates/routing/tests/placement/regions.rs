//! Placement of loads in the regions of the callers.

use flaxward_routing::homes::Requirement;
use flaxward_routing::messages::Usage;
use flaxward_routing::names::Zone;
use flaxward_routing::placement::Placement;
use flaxward_types::time::Timestamp;

use crate::homes::{loads, placement, usage};
use crate::simulation::model;

const NOW: Timestamp = Timestamp(1_000);

/// A daemon in the given zone whose requests wait for the first model and have used it.
fn daemon(zone: usize, waiting: u32, used: u32) -> Usage {
    let unit = Requirement::anywhere(model(0));
    let some = |requests: u32| (requests > 0).then(|| (unit.clone(), requests));
    let lists = (some(waiting), some(used));
    Usage {
        from: format!("d{zone}"),
        zone: Zone::new(&format!("z{zone}")),
        ..usage(
            lists.0.into_iter().collect(),
            lists.1.into_iter().collect(),
            0,
        )
    }
}

fn first_load(mut placement: Placement, daemons: Vec<Usage>) -> Option<String> {
    for daemon in daemons {
        placement.update_usage(daemon, NOW);
    }
    let load = loads(&mut placement, NOW).into_iter().next();
    load.map(|(runner, _, _)| runner.to_string())
}

/// The runners 0, 1 and 2 are in the west, the east and the north, and so on.
#[test]
fn a_model_is_loaded_in_the_region_where_most_requests_wait_for_it() {
    let at = |daemons| first_load(placement(6, None, NOW), daemons).unwrap();
    assert_eq!(at(vec![daemon(0, 1, 0)]), "r0");
    assert_eq!(at(vec![daemon(1, 1, 0)]), "r1");
    assert_eq!(at(vec![daemon(0, 1, 0), daemon(2, 5, 0)]), "r2");
    // Zone 7 has no known region, so that its requests have no influence.
    assert_eq!(at(vec![daemon(7, 5, 0)]), "r0");
}

#[test]
fn the_next_copy_of_a_busy_model_goes_where_it_is_used_without_one() {
    let at = |daemons| first_load(placement(9, Some(0), NOW), daemons).unwrap();
    assert_eq!(at(vec![daemon(0, 0, 30), daemon(1, 0, 10)]), "r1");
    assert_eq!(at(vec![daemon(0, 0, 30), daemon(2, 0, 10)]), "r2");
}
