//! Calls to the store that keep the origins of streams there; see [`flaxward_routing::stream_origins::backup`].

use std::fmt::Display;

use flaxward_routing::stream_origins::backup::{BackupAnswer, BackupCall, BackupRole};
use flaxward_types::time::Timestamp;

use super::Coordination;
use super::calls::{Caller, Event};
use crate::counters::STORED_ORIGINS;
use crate::interfaces::StoreError;
use crate::state::Shared;
use crate::unreadable::ObjectKind;

/// Statuses with which the store refuses a call for now.
const TEMPORARY_REFUSALS: [u16; 2] = [429, 503];

impl Coordination {
    /// Makes the call that is due.
    pub(super) fn back_up_origins(&mut self, now: Timestamp) {
        let role = match &self.leader {
            Some(leader) => BackupRole::Coordinator { term: leader.term },
            None if self.lease.hears_holder(now) => BackupRole::Member,
            None => BackupRole::Alone,
        };
        let mut tables = self.shared.tables();
        let call = self
            .origin_backup
            .poll(role, &mut tables.stream_origins, now);
        tables.knows_stored_origins = match role {
            BackupRole::Coordinator { term } => self.origin_backup.has_read(term),
            BackupRole::Alone | BackupRole::Member => false,
        };
        drop(tables);
        if let Some(call) = call {
            self.caller.call_origins(call);
        }
    }

    /// Processes the outcome of a call.
    pub(super) fn handle_backup_answer(&mut self, answer: BackupAnswer) {
        let now = self.shared.now();
        if let BackupAnswer::Objects(objects) = &answer {
            let streams: usize = objects.iter().map(|it| it.records.streams.len()).sum();
            let fields: &[(&str, &dyn Display)] =
                &[("objects", &objects.len()), ("streams", &streams)];
            self.shared.log.write(now, "stream-origins-read", fields);
        }
        let mut tables = self.shared.tables();
        self.origin_backup
            .handle_answer(answer, &mut tables.stream_origins, now);
    }
}

impl Caller {
    /// Makes a call to the store about the origins of streams.
    fn call_origins(&self, call: BackupCall) {
        let Self { shared, events } = self.clone();
        tokio::spawn(async move {
            let answer = answer(&shared, call).await;
            let _ = events.send(Event::OriginBackup(answer));
        });
    }
}

async fn answer(shared: &Shared, call: BackupCall) -> BackupAnswer {
    let result = match &call {
        BackupCall::Read => return read_answer(shared).await,
        BackupCall::Write(stored) => shared.store.create_stream_origins(stored).await,
        BackupCall::Delete(name) => shared.store.delete_stream_origins(name).await,
    };
    match result {
        Ok(()) => {
            if let BackupCall::Write(stored) = &call {
                let streams = u64::try_from(stored.records.streams.len()).unwrap_or(u64::MAX);
                metrics::counter!(STORED_ORIGINS.name).increment(streams);
            }
            BackupAnswer::Done
        }
        Err(error) => failure_answer(shared, &error),
    }
}

async fn read_answer(shared: &Shared) -> BackupAnswer {
    match shared.store.stream_origins().await {
        Ok(listing) => {
            shared.record_unreadable(ObjectKind::StreamOrigins, &listing.unreadable);
            BackupAnswer::Objects(listing.items)
        }
        Err(error) => failure_answer(shared, &error),
    }
}

fn failure_answer(shared: &Shared, error: &StoreError) -> BackupAnswer {
    let fields: &[(&str, &dyn Display)] = &[("error", &format!("{:?}", error.to_string()))];
    shared
        .log
        .write(shared.now(), "stream-origins-call-failed", fields);
    match error {
        StoreError::Refused(status) if !TEMPORARY_REFUSALS.contains(status) => {
            BackupAnswer::Unsupported
        }
        _ => BackupAnswer::Failed,
    }
}
