//! The connections of callers, of which there is a limited number.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use flaxward_client_limits::{ClientActivity, ConnectionSlot, ConnectionTable};
use salvo::async_trait;
use salvo::conn::ConnCtrl;
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use salvo::prelude::Request;
use tokio_util::task::AbortOnDropHandle;

use crate::counters;

/// Admits connections and closes those of stalled callers when there are too many.
#[derive(Clone, Debug)]
pub(crate) struct CallerConnections {
    table: ConnectionTable,
    timeouts: FuseConfig,
    /// Admitted connections by the address of the caller.
    open: Arc<Mutex<HashMap<SocketAddr, Arc<ClientActivity>>>>,
    /// Slots of connections that have been admitted and are not observed yet.
    admitted: Arc<Mutex<HashMap<SocketAddr, ConnectionSlot>>>,
}

impl CallerConnections {
    /// Admits at most `limit` connections, each with `timeouts`.
    pub(crate) fn new(limit: usize, timeouts: FuseConfig) -> Self {
        Self {
            table: ConnectionTable::new(limit),
            timeouts,
            open: Arc::default(),
            admitted: Arc::default(),
        }
    }

    /// Activity of the connection on which a request has arrived.
    pub(crate) fn activity(&self, request: &Request) -> Option<Arc<ClientActivity>> {
        let caller = request.remote_addr().clone().into_std()?;
        locked(&self.open).get(&caller).cloned()
    }
}

fn locked<Contents>(mutex: &Mutex<Contents>) -> MutexGuard<'_, Contents> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[async_trait]
impl FusePolicy for CallerConnections {
    async fn decide(&self, info: &FuseInfo) -> FuseAction {
        let Some(caller) = info.remote_addr.clone().into_std() else {
            return FuseAction::Reject;
        };
        let Some(slot) = self.table.admit().await else {
            return FuseAction::Reject;
        };
        locked(&self.admitted).insert(caller, slot);
        FuseAction::Accept(self.timeouts)
    }

    fn observe(&self, info: &FuseInfo, control: &ConnCtrl) -> Option<ArcConnObserver> {
        let caller = info.remote_addr.clone().into_std()?;
        let slot = locked(&self.admitted).remove(&caller)?;
        let activity = Arc::clone(slot.activity());
        locked(&self.open).insert(caller, Arc::clone(&activity));
        let control = control.clone();
        let closing = tokio::spawn(async move {
            activity.given_up().await;
            counters::count_connection_given_up();
            control.abort();
        });
        Some(Arc::new(OpenConnection {
            caller,
            open: Arc::clone(&self.open),
            _slot: slot,
            _closing: AbortOnDropHandle::new(closing),
        }))
    }
}

/// An admitted connection, until it is closed.
struct OpenConnection {
    caller: SocketAddr,
    open: Arc<Mutex<HashMap<SocketAddr, Arc<ClientActivity>>>>,
    _slot: ConnectionSlot,
    _closing: AbortOnDropHandle<()>,
}

impl ConnObserver for OpenConnection {}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        locked(&self.open).remove(&self.caller);
    }
}
