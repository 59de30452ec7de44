//! Copies of the origins of streams in the store, which outlive all daemons.
//!
//! Keepers hold the origins in memory, so that they are gone once all keepers have failed. The coordinator therefore also
//! writes them to the store, and reads them when it is elected. A daemon without a coordinator writes what it knows itself.
//! Each write creates an object of its own with the streams that have come since the last one; it is deleted once no client
//! can take these streams up any more. Nothing is written while all services have one version.

use std::collections::VecDeque;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::StreamOrigins;
use super::messages::StreamOriginRecords;

/// Time between two writes of the coordinator. What began in the last one before all daemons are killed is unknown.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two writes of a daemon without a coordinator. At hundreds of daemons, all of them may write.
const LONE_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Time until a failed call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of streams in one object: some 110 KB in the store, a ninth of what an object may hold.
const MAX_STREAMS_PER_OBJECT: usize = 8_192;

/// An object in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredOrigins {
    /// Its name.
    pub name: String,
    /// Its contents.
    pub records: StreamOriginRecords,
}

/// A store call requested by the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackupCall {
    /// Read all objects.
    Read,
    /// Create an object.
    Write(StoredOrigins),
    /// Delete an object.
    Delete(String),
}

/// Outcome of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackupAnswer {
    /// All objects, after a read.
    Objects(Vec<StoredOrigins>),
    /// The change was applied, or is not needed any more.
    Done,
    /// The store does not support the call, or refuses it for good.
    Unsupported,
    /// The call failed, or its outcome is unknown.
    Failed,
}

/// The part of a daemon in writing origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackupRole {
    /// It coordinates under this term.
    Coordinator {
        /// The term.
        term: u64,
    },
    /// It knows no coordinator.
    Alone,
    /// It sends origins to keepers.
    Member,
}

/// An object that is to be deleted.
#[derive(Clone, Debug)]
struct Expiring {
    name: String,
    expires_at: Timestamp,
}

/// State machine of the calls to the store, one at a time.
#[derive(Debug)]
pub struct OriginBackup {
    /// Distinguishes the objects of this process from those of others.
    writer: String,
    sequence: u64,
    pending: Option<BackupCall>,
    next_write: Timestamp,
    /// Earliest time of the next call after a failed one.
    retry_at: Timestamp,
    /// The term under which the objects were last read.
    read_in_term: Option<u64>,
    expiring: VecDeque<Expiring>,
}

impl OriginBackup {
    /// Creates the state of a process with a unique name.
    pub fn new(writer: String) -> Self {
        Self {
            writer,
            sequence: 0,
            pending: None,
            next_write: Timestamp::ZERO,
            retry_at: Timestamp::ZERO,
            read_in_term: None,
            expiring: VecDeque::new(),
        }
    }

    /// Returns the call that is due.
    pub fn poll(
        &mut self,
        role: BackupRole,
        origins: &mut StreamOrigins,
        now: Timestamp,
    ) -> Option<BackupCall> {
        if self.pending.is_some() || now < self.retry_at {
            return None;
        }
        let call = match role {
            BackupRole::Coordinator { term } if self.read_in_term != Some(term) => {
                self.read_in_term = Some(term);
                Some(BackupCall::Read)
            }
            BackupRole::Coordinator { .. } => self.due_write(WRITE_INTERVAL, origins, now),
            BackupRole::Alone => self.due_write(LONE_WRITE_INTERVAL, origins, now),
            BackupRole::Member => None,
        };
        self.pending = call.or_else(|| self.due_deletion(now));
        self.pending.clone()
    }

    fn due_write(
        &mut self,
        interval: Duration,
        origins: &mut StreamOrigins,
        now: Timestamp,
    ) -> Option<BackupCall> {
        if now < self.next_write {
            return None;
        }
        self.next_write = now + interval;
        let records = origins.take_unstored(MAX_STREAMS_PER_OBJECT, now);
        if records.streams.is_empty() {
            return None;
        }
        self.sequence += 1;
        let name = format!("{}-{}", self.writer, self.sequence);
        let stored = StoredOrigins { name, records };
        self.delete_after_expiry(&stored, now);
        Some(BackupCall::Write(stored))
    }

    /// Schedules the deletion of an object for when none of its streams can be taken up any more.
    fn delete_after_expiry(&mut self, stored: &StoredOrigins, now: Timestamp) {
        let streams = stored.records.streams.iter();
        let longest = streams.map(|stream| stream.seconds_left).max();
        let life = Duration::from_secs(longest.unwrap_or_default().into());
        self.expiring.push_back(Expiring {
            name: stored.name.clone(),
            expires_at: now + life,
        });
    }

    fn due_deletion(&mut self, now: Timestamp) -> Option<BackupCall> {
        let is_expired = |it: &Expiring| it.expires_at <= now;
        let position = self.expiring.iter().position(is_expired)?;
        let expired = self.expiring.remove(position)?;
        Some(BackupCall::Delete(expired.name))
    }

    /// Whether all objects have been read in the term under which this daemon coordinates.
    pub fn has_read(&self, term: u64) -> bool {
        let is_reading = matches!(self.pending, Some(BackupCall::Read));
        self.read_in_term == Some(term) && !is_reading
    }

    /// Processes the outcome of the pending call.
    pub fn handle_answer(
        &mut self,
        answer: BackupAnswer,
        origins: &mut StreamOrigins,
        now: Timestamp,
    ) {
        let Some(call) = self.pending.take() else {
            return;
        };
        match (call, answer) {
            (BackupCall::Read, BackupAnswer::Objects(objects)) => {
                self.handle_objects(&objects, origins, now);
            }
            (BackupCall::Read, _) => {
                self.read_in_term = None;
                self.retry_at = now + RETRY_INTERVAL;
            }
            (BackupCall::Write(stored), BackupAnswer::Failed | BackupAnswer::Unsupported) => {
                origins.mark_unstored(&stored.records);
                self.retry_at = now + RETRY_INTERVAL;
            }
            (BackupCall::Delete(name), BackupAnswer::Failed) => {
                self.retry_at = now + RETRY_INTERVAL;
                self.expiring.push_back(Expiring {
                    name,
                    expires_at: now,
                });
            }
            (BackupCall::Write(_) | BackupCall::Delete(_), _) => {}
        }
    }

    /// Restores the origins from all objects. Those of other processes are deleted by this one from now on.
    fn handle_objects(
        &mut self,
        objects: &[StoredOrigins],
        origins: &mut StreamOrigins,
        now: Timestamp,
    ) {
        for stored in objects {
            origins.restore(&stored.records, now);
            if !self.expiring.iter().any(|it| it.name == stored.name) {
                self.delete_after_expiry(stored, now);
            }
        }
    }
}
