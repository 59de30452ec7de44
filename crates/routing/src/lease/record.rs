//! The lease object, calls that read or change it, and their outcomes.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::quarantine::QuarantineEntry;
use crate::revision::{StoreEra, StoreRevision};
use crate::stream_origins::VersionRecord;
use crate::strength::MachineStrength;

/// Content of the lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the daemon that holds the lease.
    pub holder: String,
    /// Distinguishes process incarnations of the daemon.
    pub incarnation: u64,
    /// Address at which the holder receives messages of other daemons.
    pub address: SocketAddr,
    /// Increases with each holder.
    pub term: u64,
    /// Increases with each renewal.
    pub renewals: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
    /// Whether the holder does not act yet, because it has taken the lease from one that may still
    /// act for a while.
    #[serde(default)]
    pub provisional: bool,
    /// Era of the store in which the holder wrote this record, as far as it knew. A record with an
    /// earlier era than the store's comes from the backup from which the store was restored; later
    /// writes are lost.
    #[serde(default)]
    pub era: StoreEra,
    /// The strongest machine that the holder knows of. A daemon that receives no messages uses it
    /// to decide whether its own machine is weak.
    #[serde(default)]
    pub strongest: MachineStrength,
    /// Listen addresses of the daemons that the holder has recently received messages from,
    /// including its own. After all daemons have failed at the same time, the next holder uses them
    /// to announce itself; daemons that the store rejects can learn of it in no other way.
    #[serde(default)]
    pub members: Vec<SocketAddr>,
    /// Requests that are or were in quarantine. After a simultaneous restart of all daemons there
    /// is no other source for them.
    #[serde(default)]
    pub quarantine: Vec<QuarantineEntry>,
    /// Software versions of the runners. After a simultaneous restart of all daemons there is no other source for those
    /// that were listed before.
    #[serde(default)]
    pub versions: Option<VersionRecord>,
}

/// The object as read, with the revision to use as the precondition of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLease {
    /// The record.
    pub record: LeaseRecord,
    /// Its revision.
    pub revision: StoreRevision,
}

/// A lease object that cannot be decoded because another writer has overwritten it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadableLease {
    /// Its revision, to use as the precondition of a change.
    pub revision: StoreRevision,
    /// The term in it, if it can be decoded.
    pub term: Option<u64>,
}

impl UnreadableLease {
    /// Builds a placeholder record: one without a reachable holder, under a term that no earlier
    /// holder exceeded. Each term took one change of the store, and the terms of an era begin at
    /// its start, so no term exceeds the store's revision.
    pub(super) fn to_placeholder(self) -> StoredLease {
        let record = LeaseRecord {
            holder: String::new(),
            incarnation: 0,
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            term: self.term.unwrap_or(0).max(self.revision.ordered()),
            // Matches no renewal number that a holder has reported.
            renewals: u64::MAX,
            released: false,
            provisional: false,
            era: StoreEra::FIRST,
            strongest: MachineStrength::default(),
            members: Vec::new(),
            quarantine: Vec::new(),
            versions: None,
        };
        StoredLease {
            record,
            revision: self.revision,
        }
    }
}

/// Durations of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a renewal is valid.
    pub duration: Duration,
    /// Interval between renewals.
    pub renewal: Duration,
    /// Part of the duration that the holder does not use, to allow for clock rate differences.
    pub margin: Duration,
    /// Time without a heartbeat of a holder after which a daemon reads the lease.
    pub silence: Duration,
}

/// A store call requested by the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read the object.
    Read,
    /// Create the object; fails if it exists.
    Create(LeaseRecord),
    /// Replace the object, on the condition that it has this revision.
    Replace(LeaseRecord, StoreRevision),
}

/// Outcome of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The current object, after a read, a change, or a rejected change.
    Found(StoredLease),
    /// The object exists but cannot be decoded.
    Unreadable(UnreadableLease),
    /// The object does not exist, according to an answer of this era.
    Missing(StoreEra),
    /// The change was applied; the object has this revision.
    Written(StoredLease),
    /// No answer, or one that does not show whether the change was applied.
    Unknown,
}

impl LeaseAnswer {
    /// Store revision in the answer, if the store answered; its number is 0 if there is no object.
    pub fn revision(&self) -> Option<StoreRevision> {
        match self {
            Self::Found(lease) | Self::Written(lease) => Some(lease.revision),
            Self::Unreadable(lease) => Some(lease.revision),
            Self::Missing(era) => Some(StoreRevision {
                era: *era,
                number: 0,
            }),
            Self::Unknown => None,
        }
    }
}

/// Change of the coordination state of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// This daemon is coordinator from now on, under this term.
    Acquired {
        /// The term.
        term: u64,
        /// Earliest time of the first order, so that orders of two holders are at least a lease
        /// duration apart.
        orders_from: Timestamp,
    },
    /// This daemon has taken the lease from a holder that no daemon follows, and becomes
    /// coordinator once that holder can no longer act.
    Claimed {
        /// The term.
        term: u64,
    },
    /// This daemon is no longer coordinator, or has lost the lease before it became one.
    Lost {
        /// The term that has ended.
        term: u64,
        /// Reason for the loss.
        reason: LossReason,
    },
    /// Another daemon is coordinator.
    Holder {
        /// Address at which it receives messages of other daemons.
        address: SocketAddr,
        /// Its term.
        term: u64,
    },
}

/// Reason why a daemon is no longer coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// No renewal was confirmed in time.
    Expired,
    /// It has released the lease.
    Released,
    /// Another daemon has taken the lease over.
    TakenOver,
    /// A runner has rejected its term because it knows a later one.
    FencedOff,
}

/// State of the lease that a holder sends with each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHeartbeat {
    /// Its term.
    pub term: u64,
    /// Number of its last confirmed renewal.
    pub renewals: u64,
    /// Time since it sent that renewal, in ms.
    pub age_ms: u32,
}
