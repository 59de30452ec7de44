//! Several soaks on one machine.
//!
//! Seen: of four soaks beside each other one did not start, since a port of its daemon was in use. How it came about: each
//! drew ports at random from one range and let go of them until its daemons started, or were down. What proved it:
//! `Address already in use` in the log of the daemon, and the ranges of the four.

use std::collections::BTreeSet;

use flaxward_soak::ports::Ports;

/// Soaks at one time.
const SOAKS: usize = 12;
/// Addresses of each.
const ADDRESSES: usize = 24;

#[test]
fn soaks_beside_each_other_share_no_port() {
    let mut soaks: Vec<Ports> = (0..SOAKS).map(|_| Ports::claim().unwrap()).collect();
    let mut given = BTreeSet::new();
    for _ in 0..ADDRESSES {
        for ports in &mut soaks {
            // Nobody listens there: a daemon may be down.
            let address = ports.free_address().unwrap();
            assert!(given.insert(address), "{address} was given twice");
        }
    }
}

#[test]
fn a_block_that_is_used_up_says_so() {
    let mut ports = Ports::claim().unwrap();
    let given = std::iter::from_fn(|| ports.free_address().ok()).count();
    assert!(given > 100, "{given}");
    assert!(ports.free_address().is_err());
}
