//! Network traffic of gossip: bytes per second sent by each daemon, including IP and UDP headers.

use flaxward_control::gossip::GossipEvent;
use flaxward_types::{RunnerName, Term};

use crate::history::History;
use crate::network::{Faults, LOSSY_NETWORK, NO_FAULTS, Network};

const SECONDS: u64 = 600;

/// Mean and maximum bytes per second over the daemons of a zone of 29.
fn measure(faults: Faults, changes: bool) -> (u64, u64) {
    let mut network = Network::new(&[29, 1], faults, 31);
    network.run(10_000);
    network.handle_event(0, GossipEvent::Lead(Term(1)));
    network.handle_event(29, GossipEvent::Lead(Term(1)));
    network.run(30_000);
    let before: Vec<u64> = network
        .daemons
        .iter()
        .map(|daemon| daemon.bytes_sent)
        .collect();
    let mut history = History::default();
    for second in 0..SECONDS {
        network.run(1_000);
        // 11,000 changes per day and one mark per minute.
        if changes && second % 8 == 0 {
            let from = history.last();
            let to = history.change(u8::try_from(second % 40).unwrap(), Some(1), 2);
            network.handle_event(0, GossipEvent::Watched(history.delta(from, to)));
        }
        if changes && second % 60 == 0 {
            let runner = RunnerName::literal(&format!("runner-{second}"));
            network.handle_event(
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
        ("idle, 10 % loss", LOSSY_NETWORK, false, 450),
        ("with changes, 10 % loss", LOSSY_NETWORK, true, 600),
    ] {
        let (mean, max) = measure(faults, changes);
        println!("29 daemons {name}: {mean} B/s each, highest {max} B/s");
        assert!(mean <= limit);
    }
}
