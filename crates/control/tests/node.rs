//! The node connects gossip and the coordinator: start, planned stop and leaving runners.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_control::coordinator::{
    Coordinator, CoordinatorAction, CoordinatorEvent, CoordinatorSettings,
};
use flaxward_control::gossip::{Gossip, GossipSettings};
use flaxward_control::node::{Node, NodeAction, NodeEvent};
use flaxward_types::configuration::DrainSpec;
use flaxward_types::engine::LoadReport;
use flaxward_types::{
    ConfigurationItem, DaemonName, ItemKey, Revision, RunnerName, Timestamp, ZoneName,
};
use flaxward_wire::{
    ConfigurationSnapshot, Envelope, InventoryUpdate, MemberState, MemberUpdate, Message, Peer,
    RunnerReport,
};

const TICK: Duration = Duration::from_millis(50);

/// One node with a store that completes every operation immediately.
struct Harness {
    node: Node,
    now: Timestamp,
    revision: Revision,
    lease_holders: Vec<Option<DaemonName>>,
    leaving: BTreeSet<RunnerName>,
    reading: bool,
    stopped: bool,
}

fn peer(name: &str, port: u16) -> Peer {
    Peer {
        name: DaemonName::literal(name),
        zone: ZoneName::literal("zone-a"),
        address: ([127, 0, 0, 1], port).into(),
    }
}

impl Harness {
    fn new() -> Self {
        let me = peer("daemon-1", 1);
        let zones = vec![me.zone.clone()];
        let gossip = Gossip::new(GossipSettings::default(), me.clone(), Vec::new(), 1, 1);
        let coordinator = Coordinator::new(
            CoordinatorSettings::default(),
            me.name.clone(),
            me.zone.clone(),
            zones,
            1,
        );
        Self {
            node: Node::new(me, gossip, coordinator),
            now: Timestamp::ZERO,
            revision: Revision(0),
            lease_holders: Vec::new(),
            leaving: BTreeSet::new(),
            reading: false,
            stopped: false,
        }
    }

    fn handle(&mut self, event: NodeEvent) {
        for action in self.node.handle(event, self.now) {
            match action {
                NodeAction::Platform(operation) => self.answer(operation),
                NodeAction::Reading(reading) => self.reading = reading,
                NodeAction::Stopped => self.stopped = true,
                NodeAction::Leaving(leaving) => self.leaving = leaving,
                _ => {}
            }
        }
    }

    fn answer(&mut self, operation: CoordinatorAction) {
        self.revision = self.revision.next();
        let written = Ok(self.revision);
        let answer = match operation {
            CoordinatorAction::ReadLease => CoordinatorEvent::LeaseRead(Ok(None)),
            CoordinatorAction::WriteLease(_, lease) => {
                self.lease_holders.push(lease.holder);
                CoordinatorEvent::LeaseWritten(written)
            }
            CoordinatorAction::ReadPlacement => CoordinatorEvent::PlacementRead(Ok(None)),
            CoordinatorAction::WritePlacement(..) => CoordinatorEvent::PlacementWritten(written),
            CoordinatorAction::ReadQuotas => CoordinatorEvent::QuotasRead(Ok(Vec::new())),
            _ => return,
        };
        self.handle(NodeEvent::Answered(answer));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            self.handle(NodeEvent::Tick);
        }
    }

    fn receive_from(&mut self, other: &Peer) {
        let update = MemberUpdate {
            peer: other.clone(),
            incarnation: 1,
            state: MemberState::Alive,
        };
        let envelope = Envelope {
            from: other.clone(),
            configuration: Revision(0),
            members: vec![update],
            heads: Vec::new(),
            marks: Vec::new(),
            message: Message::Facts,
        };
        self.handle(NodeEvent::Received(Box::new(envelope)));
    }
}

#[test]
fn a_daemon_alone_in_its_zone_becomes_coordinator() {
    let mut harness = Harness::new();
    harness.run(Duration::from_secs(2));
    assert!(harness.node.leading().is_some());
    assert_eq!(
        harness.lease_holders[0],
        Some(DaemonName::literal("daemon-1"))
    );
}

#[test]
fn a_lone_daemon_keeps_coordinating_until_its_gateway_is_drained() {
    let mut harness = Harness::new();
    harness.run(Duration::from_secs(2));
    harness.handle(NodeEvent::Stop);
    harness.run(Duration::from_secs(1));
    assert!(
        harness.node.leading().is_some(),
        "waiting requests still need a coordinator"
    );
    assert!(!harness.stopped);
    harness.handle(NodeEvent::Drained);
    harness.run(Duration::from_secs(1));
    assert!(harness.stopped);
    assert_eq!(
        harness.lease_holders.last(),
        Some(&None),
        "the lease is released"
    );
}

#[test]
fn with_another_member_the_lease_is_released_at_once_and_the_daemon_runs_until_drained() {
    let mut harness = Harness::new();
    harness.run(Duration::from_secs(2));
    harness.receive_from(&peer("daemon-2", 2));
    harness.handle(NodeEvent::Stop);
    harness.run(Duration::from_millis(500));
    assert_eq!(
        harness.lease_holders.last(),
        Some(&None),
        "the lease is released"
    );
    assert!(!harness.stopped, "requests are still in progress");
    harness.handle(NodeEvent::Drained);
    harness.run(Duration::from_millis(500));
    assert!(harness.stopped);
}

/// A report of an observer on one engine.
fn report(leaving: bool) -> NodeEvent {
    let load = LoadReport {
        leaving,
        ..LoadReport::default()
    };
    NodeEvent::Observed(vec![RunnerReport {
        runner: RunnerName::literal("zone-a-engine-1"),
        load: Some(load),
        inventory: InventoryUpdate::Unread,
    }])
}

#[test]
fn an_engine_gets_no_new_work_once_its_load_report_says_that_it_is_leaving() {
    let mut harness = Harness::new();
    harness.run(Duration::from_secs(2));
    harness.handle(report(true));
    let leaving = BTreeSet::from([RunnerName::literal("zone-a-engine-1")]);
    assert_eq!(harness.leaving, leaving);

    // A load report does not clear it, since reports may arrive out of order.
    harness.handle(report(false));
    assert_eq!(harness.leaving, leaving);
}

#[test]
fn the_coordinator_reads_the_lists_at_any_rank() {
    let mut harness = Harness::new();
    harness.run(Duration::from_secs(2));
    assert!(harness.reading);
    let members = harness.node.gossip_state().membership();
    assert_eq!(members.rank(), 0);
    for port in 2..40 {
        harness.receive_from(&peer(&format!("daemon-{port}"), port));
    }
    let rank = harness.node.gossip_state().membership().rank();
    assert!(rank > 1, "expected a rank above 1: {rank}");
    assert!(harness.node.leading().is_some());
    assert!(harness.reading);
}

/// A listing of the configuration at a revision, with drains of these runners.
fn drains(revision: u64, runners: &BTreeSet<RunnerName>) -> NodeEvent {
    let revision = Revision(revision);
    let drain = ConfigurationItem::Drain(DrainSpec {
        reason: "repair".into(),
    });
    let item = |runner: &RunnerName| (ItemKey::Drain(runner.clone()), revision, drain.clone());
    NodeEvent::Listed(ConfigurationSnapshot {
        revision,
        items: runners.iter().map(item).collect(),
    })
}

/// Drains must not set marks: a mark could outlive its drain in other zones if all daemons of its own
/// zone were down when the drain ended.
#[test]
fn a_drained_runner_of_any_zone_gets_no_new_work_and_no_mark() {
    let mut harness = Harness::new();
    harness.run(Duration::from_secs(2));
    let drained = BTreeSet::from(["zone-a-engine-1", "zone-b-engine-1"].map(RunnerName::literal));
    harness.handle(drains(1, &drained));
    assert_eq!(harness.leaving, drained);
    assert_eq!(harness.node.gossip_state().marks().all(), []);

    harness.handle(drains(2, &BTreeSet::new()));
    assert_eq!(harness.leaving, BTreeSet::new());
}
