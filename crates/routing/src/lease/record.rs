//! The lease object, calls about it and what they come to.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::quarantine::QuarantineEntry;
use crate::revision::{StoreEra, StoreRevision};
use crate::strength::MachineStrength;

/// What the lease object says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the daemon that holds it.
    pub holder: String,
    /// Tells one life of the daemon from the next.
    pub incarnation: u64,
    /// Where the holder hears other daemons.
    pub address: SocketAddr,
    /// Rises with each holder.
    pub term: u64,
    /// Rises with each renewal.
    pub renewals: u64,
    /// The holder has given it back.
    pub released: bool,
    /// The holder does not act yet: it has taken the lease from one that may still act for a while.
    #[serde(default)]
    pub provisional: bool,
    /// The era of the store in which the holder wrote this, as far as it knew. A record of an earlier era than the
    /// store's was in the copy from which it came back: what was written after it is lost.
    #[serde(default)]
    pub era: StoreEra,
    /// The strongest machine that the holder has heard of, so that a daemon which hears nobody knows whether
    /// it is a weak one.
    #[serde(default)]
    pub strongest: MachineStrength,
    /// Where the daemons listen that the holder has heard of lately, itself included. After all were lost at once,
    /// the next holder tells them that it is there; those that the store turns away learn it in no other way.
    #[serde(default)]
    pub members: Vec<SocketAddr>,
    /// The requests that are or were in quarantine. Daemons that all start anew at once learn them in no other way.
    #[serde(default)]
    pub quarantine: Vec<QuarantineEntry>,
}

/// The object as read, with the revision that a change of it must name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLease {
    /// The record.
    pub record: LeaseRecord,
    /// Its revision.
    pub revision: StoreRevision,
}

/// A lease object that can't be read, since somebody else has written it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadableLease {
    /// Its revision, which a change of it must name.
    pub revision: StoreRevision,
    /// The term in it, if that can be read.
    pub term: Option<u64>,
}

impl UnreadableLease {
    /// What stands for it: held by nobody who could be asked, under a term that no holder was above. Each term took one
    /// change of the store, and those of an era begin at its start, so none is above the store's revision.
    pub(super) fn stand_in(self) -> StoredLease {
        let record = LeaseRecord {
            holder: String::new(),
            incarnation: 0,
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            term: self.term.unwrap_or(0).max(self.revision.ordered()),
            // No renewal that a holder has told of is this one.
            renewals: u64::MAX,
            released: false,
            provisional: false,
            era: StoreEra::FIRST,
            strongest: MachineStrength::default(),
            members: Vec::new(),
            quarantine: Vec::new(),
        };
        StoredLease {
            record,
            revision: self.revision,
        }
    }
}

/// Durations of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a renewal holds.
    pub duration: Duration,
    /// Time between renewals.
    pub renewal: Duration,
    /// Part of the duration that the holder leaves unused, for clocks that run at different speeds.
    pub margin: Duration,
    /// Time after which a daemon that hears nothing of a holder reads the lease.
    pub silence: Duration,
}

/// A call to the store that the machine asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read the object.
    Read,
    /// Make it; fails if there is one.
    Create(LeaseRecord),
    /// Replace it, on the condition that its revision is this one.
    Replace(LeaseRecord, StoreRevision),
}

/// What a call came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The object as it is now, after a read, a change, or a refused change.
    Found(StoredLease),
    /// The object is there and can't be read.
    Unreadable(UnreadableLease),
    /// There is none, in an answer of this era.
    Missing(StoreEra),
    /// The change was made; the object has this revision.
    Written(StoredLease),
    /// No answer, or one that says nothing of what was done.
    Unknown,
}

impl LeaseAnswer {
    /// The store's revision in it, if it is an answer of the store; its number is 0 if there is no object.
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

/// What has changed for this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// This daemon coordinates from now on, under this term; the first order may go out at the time
    /// given.
    Acquired {
        /// The term.
        term: u64,
        /// Earliest time of the first order, so that orders of two holders lie a lease apart.
        orders_from: Timestamp,
    },
    /// This daemon has taken the lease from a holder that nobody follows, and coordinates once that one can't act any more.
    Claimed {
        /// The term.
        term: u64,
    },
    /// This daemon no longer coordinates, or has lost the lease before it did.
    Lost {
        /// The term that has ended.
        term: u64,
        /// Why.
        reason: LossReason,
    },
    /// Another daemon coordinates.
    Holder {
        /// Where it hears other daemons.
        address: SocketAddr,
        /// Its term.
        term: u64,
    },
}

/// Why a daemon coordinates no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// No renewal was confirmed in time.
    Expired,
    /// It has given the lease back.
    Released,
    /// Another daemon has taken the lease over.
    TakenOver,
    /// A runner has seen a later term.
    FencedOff,
}

/// What a holder tells of its lease with each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasePulse {
    /// Its term.
    pub term: u64,
    /// Number of its last confirmed renewal.
    pub renewals: u64,
    /// Time since it sent that renewal, in ms.
    pub age_ms: u32,
}
