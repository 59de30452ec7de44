//! What gossip costs: bytes sent by each daemon in a second, with IP and UDP headers.

use flaxward_control::gossip::GossipEvent;
use flaxward_types::{RunnerName, Term};

use crate::history::History;
use crate::network::{BAD_NETWORK, Faults, NO_FAULTS, Network};

const SECONDS: u64 = 600;

/// Mean and highest bytes a second over the daemons of a zone of 29.
fn measure(faults: Faults, changes: bool) -> (u64, u64) {
    let mut network = Network::new(&[29, 1], faults, 31);
    network.run(10_000);
    network.tell(0, GossipEvent::Lead(Term(1)));
    network.tell(29, GossipEvent::Lead(Term(1)));
    network.run(30_000);
    let before: Vec<u64> = network
        .daemons
        .iter()
        .map(|daemon| daemon.bytes_sent)
        .collect();
    let mut history = History::default();
    for second in 0..SECONDS {
        network.run(1_000);
        // 11,000 changes a day, and a mark each minute.
        if changes && second % 8 == 0 {
            let from = history.last();
            let to = history.change(u8::try_from(second % 40).unwrap(), Some(1), 2);
            network.tell(0, GossipEvent::Learnt(history.delta(from, to)));
        }
        if changes && second % 60 == 0 {
            let runner = RunnerName::literal(&format!("runner-{second}"));
            network.tell(
                3,
                GossipEvent::Runner {
                    runner,
                    leaving: true,
                },
            );
        }
    }
    let sent = network.daemons.iter().zip(&before).take(29);
    let rates: Vec<u64> = sent
        .map(|(daemon, before)| (daemon.bytes_sent - before) / SECONDS)
        .collect();
    (
        rates.iter().sum::<u64>() / 29,
        rates.into_iter().max().unwrap_or_default(),
    )
}

#[test]
fn gossip_of_a_zone_of_29_fits_its_budget() {
    for (name, faults, changes, limit) in [
        ("idle", NO_FAULTS, false, 300),
        ("with changes", NO_FAULTS, true, 450),
        ("idle, 10 % loss", BAD_NETWORK, false, 450),
        ("with changes, 10 % loss", BAD_NETWORK, true, 600),
    ] {
        let (mean, highest) = measure(faults, changes);
        println!("29 daemons {name}: {mean} B/s each, highest {highest} B/s");
        assert!(mean <= limit);
    }
}
