//! One start of one daemon: its state machines, and what comes in at its sockets and timers.

use std::collections::BTreeMap;
use std::sync::Arc;

use flaxward_control::claims::{ClaimFault, StoredClaim};
use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::{CoordinatorEvent, StoreFault};
use flaxward_control::node::{Node, NodeEvent};
use flaxward_types::engine::{Machine, Order};
use flaxward_types::records::Claim;
use flaxward_types::{AttemptId, Revision, RunnerName, Timestamp};
use flaxward_wire::{
    ConfigurationChange, ConfigurationDelta, ConfigurationSnapshot, Envelope, Peer,
};

use crate::caller::CallerRequest;
use crate::gateway::{Attempt, Gateway, News};
use crate::store::{Answer, Change, Fault, Key, Listing, Object, Record, Request};
use crate::time::{ProcessClock, VirtualTime};

/// Wall-clock second at which the simulation begins.
const EPOCH_UNIX: u64 = 1_800_000_000;

/// Names one start of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId {
    /// Place of the daemon among all.
    pub daemon: usize,
    /// Number of the start, over all daemons.
    pub start: u64,
}

/// Who in a process waits for an answer of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asker {
    /// The coordinator.
    Coordinator,
    /// The claim of a request.
    Claim(u64),
    /// The follower of a collection, in this round.
    Follower(Listing, u64),
}

/// A request to the store and who sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCall {
    /// The process.
    pub process: ProcessId,
    /// Who in it waits.
    pub asker: Asker,
    /// What is asked.
    pub request: Request,
    /// Names a write, so that it can be found again.
    pub operation: u64,
    /// Answers lost so far.
    pub lost: u32,
}

/// Something that leaves a process over a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// To the object API.
    Store(StoreCall),
    /// To the machine list.
    ReadMachines,
    /// To an engine.
    Order(RunnerName, Order),
    /// To an engine.
    ReadInventory(RunnerName),
    /// To an engine.
    ReadLoad(RunnerName),
    /// To an engine or a service.
    Attempt(Attempt),
    /// To an engine.
    Cancel(AttemptId, RunnerName),
}

/// Something that comes in at a process.
#[derive(Clone, Debug)]
pub enum Input {
    /// The 50 ms timer.
    Tick,
    /// An envelope from another daemon.
    Envelope(Box<Envelope>),
    /// An answer for the node.
    Node(NodeEvent),
    /// A task sends something.
    Depart(Box<Operation>),
    /// The store has answered, or certainly has not carried out the request.
    StoreAnswered(Box<StoreCall>, Result<Answer, Fault>),
    /// The store has not answered in time.
    StoreSilent(Box<StoreCall>),
    /// A watch shows a change.
    Watched(Listing, u64, Change),
    /// A collection is to be listed and watched, unless a later round has begun.
    Follow(Listing, u64),
    /// The machine list is to be read.
    ReadMachines,
    /// The runners of the share are to be observed.
    Observe,
    /// A caller asks.
    Request(Arc<CallerRequest>),
    /// A back end has brought something.
    News(AttemptId, News),
    /// A planned stop begins.
    Stop,
}

/// One daemon over all its starts.
#[derive(Debug)]
pub struct Daemon {
    /// Its name, zone and address.
    pub peer: Peer,
    /// The process, while one runs.
    pub process: Option<Process>,
    /// Until when the process is paused.
    pub paused_until: VirtualTime,
    /// What came in while it was paused.
    pub backlog: Vec<Input>,
    /// When its next start is due, while none runs.
    pub starts_at: VirtualTime,
}

/// One start of a daemon.
#[derive(Debug)]
pub struct Process {
    /// Which one.
    pub id: ProcessId,
    /// Its clock.
    pub clock: ProcessClock,
    /// Seconds by which its wall clock is late.
    pub wall_clock_late: u64,
    /// Gossip and coordinator.
    pub node: Node,
    /// The callers' side.
    pub gateway: Gateway,
    /// Whether it reads the platform's lists.
    pub reading: bool,
    /// The present round of following each collection.
    pub rounds: BTreeMap<Listing, u64>,
    /// How far its watch of the configuration has come.
    pub seen: Revision,
    /// The runners that it observes.
    pub share: Vec<Machine>,
    /// When its planned stop began.
    pub stopping_since: Option<VirtualTime>,
    /// Whether its requests have finished, so that it leaves the zone.
    pub hands_over: bool,
    /// Whether the lease is handed back.
    pub node_stopped: bool,
    /// The configuration before the one in force.
    pub former: Option<Arc<Configuration>>,
}

impl Process {
    /// What its monotonic clock shows.
    pub fn now(&self, now: VirtualTime) -> Timestamp {
        self.clock.read(now)
    }

    /// What its wall clock shows, in seconds.
    pub fn unix(&self, now: VirtualTime) -> u64 {
        EPOCH_UNIX + now.0 / 1_000_000 - self.wall_clock_late
    }

    /// Begins another round of following a collection; what belongs to an earlier one is ignored.
    pub fn next_round(&mut self, listing: Listing) -> u64 {
        let round = self.rounds.entry(listing).or_default();
        *round += 1;
        *round
    }

    /// Whether a round is the present one and wanted.
    pub fn follows(&self, listing: Listing, round: u64) -> bool {
        self.reading && self.rounds.get(&listing) == Some(&round)
    }

    /// The event that tells the node of a change seen by a watch.
    pub fn watched(&mut self, change: &Change) -> Option<NodeEvent> {
        match &change.key {
            Key::Quota(_) => quota_changed(change.object.as_ref()?),
            Key::Item(key) => {
                let from = std::mem::replace(&mut self.seen, change.revision);
                let item = change
                    .object
                    .as_ref()
                    .and_then(|object| match &object.record {
                        Record::Item(item) => Some(item.clone()),
                        _ => None,
                    });
                let delta = ConfigurationDelta {
                    from,
                    to: change.revision,
                    changes: vec![ConfigurationChange {
                        revision: change.revision,
                        key: key.clone(),
                        item,
                    }],
                };
                Some(NodeEvent::Watched(delta))
            }
            _ => None,
        }
    }

    /// What the claim's machine is told of a write.
    pub fn claim_result(&self, result: Result<Answer, Fault>) -> Result<Revision, ClaimFault> {
        match result {
            Ok(Answer::Written(revision)) => Ok(revision),
            Ok(Answer::Conflict(Some(object))) => Err(self.claim_present(&object)),
            Ok(Answer::Conflict(None)) => Err(ClaimFault::Missing),
            Err(Fault::Unavailable) => Err(ClaimFault::Unavailable),
            Ok(Answer::Object(_) | Answer::List(..)) | Err(Fault::Unknown) => {
                Err(ClaimFault::Unknown)
            }
        }
    }

    fn claim_present(&self, object: &Object) -> ClaimFault {
        let Record::Claim(claim) = &object.record else {
            return ClaimFault::Unreadable;
        };
        let claim: Claim = claim.clone();
        let is_own = claim.daemon == *self.gateway.me();
        ClaimFault::Present(Box::new(StoredClaim {
            revision: object.version,
            holder_gone: is_own && !self.gateway.holds_claim(claim.attempt),
            claim,
        }))
    }
}

/// The event that tells the coordinator of an answer, unless there is nothing to tell.
pub fn coordinator_event(
    request: &Request,
    result: Result<Answer, Fault>,
) -> Option<CoordinatorEvent> {
    let result = result.map_err(|fault| match fault {
        Fault::Unavailable => StoreFault::Unavailable,
        Fault::Unknown => StoreFault::Unknown,
    });
    let written = |result| match result {
        Ok(Answer::Written(revision)) => Ok(revision),
        Ok(_) => Err(StoreFault::Conflict),
        Err(fault) => Err(fault),
    };
    let found = |result| match result {
        Ok(Answer::Object(object)) => Ok(object),
        Ok(_) => Err(StoreFault::Conflict),
        Err(fault) => Err(fault),
    };
    Some(match request {
        Request::Get(Key::Lease(_)) => CoordinatorEvent::LeaseRead(found(result).map(|object| {
            object.and_then(|object| match object.record {
                Record::Lease(lease) => Some((object.version, lease)),
                _ => None,
            })
        })),
        Request::Get(Key::Placement(_)) => {
            CoordinatorEvent::PlacementRead(found(result).map(|object| {
                object.and_then(|object| match object.record {
                    Record::Placement(placement) => Some((object.version, placement)),
                    _ => None,
                })
            }))
        }
        Request::Get(_) => return single_quota(found(result).ok()??),
        Request::List(_) => CoordinatorEvent::QuotasRead(match result {
            Ok(Answer::List(_, items)) => Ok(items
                .into_iter()
                .filter_map(|(_, object)| match object.record {
                    Record::Quota(quota) => Some((object.version, quota)),
                    _ => None,
                })
                .collect()),
            Ok(_) => Err(StoreFault::Conflict),
            Err(fault) => Err(fault),
        }),
        Request::Put(Key::Lease(_), ..) => CoordinatorEvent::LeaseWritten(written(result)),
        Request::Put(Key::Placement(_), ..) => CoordinatorEvent::PlacementWritten(written(result)),
        Request::Put(Key::Quota(subject), ..) => {
            CoordinatorEvent::QuotaWritten(subject.clone(), written(result))
        }
        Request::Put(..) | Request::Delete(..) => return None,
    })
}

fn single_quota(object: Object) -> Option<CoordinatorEvent> {
    match object.record {
        Record::Quota(quota) => Some(CoordinatorEvent::QuotaChanged(object.version, quota)),
        _ => None,
    }
}

fn quota_changed(object: &Object) -> Option<NodeEvent> {
    single_quota(object.clone()).map(NodeEvent::Answered)
}

/// A list of the configuration as the node takes it.
pub fn snapshot(revision: Revision, items: Vec<(Key, Object)>) -> ConfigurationSnapshot {
    let items = items
        .into_iter()
        .filter_map(|(key, object)| match (key, object.record) {
            (Key::Item(key), Record::Item(item)) => Some((key, object.version, item)),
            _ => None,
        });
    ConfigurationSnapshot {
        revision,
        items: items.collect(),
    }
}
