//! Stand-in for a model engine: orders, loads, streams and what it really did.

mod batch;
mod completions;
mod config;
mod endpoints;
mod faults;
mod holdings;
mod load_report;
mod loads;
mod prefix;
mod record;
mod requests;
mod state;
mod streams;
pub mod tokens;

use std::net::SocketAddr;
use std::sync::Arc;

use flaxward_types::engine::{Inventory, Order, OrderAnswer};

pub use config::{EngineConfig, EngineTiming, LoadedAtStart};
pub use faults::{EngineFaults, Leaving, StreamFault, StreamFaultRule};
pub use prefix::prefix_digests;
pub use record::{
    EngineRecord, LoadOutcome, LoadRecord, LoadSource, OrderRecord, RefusalRecord, RequestOutcome,
    RequestRecord,
};

use crate::http::{Listening, Refusing};
use state::Shared;

/// A running engine stand-in.
pub struct Engine {
    shared: Arc<Shared>,
    listening: Listening,
}

impl Engine {
    /// Starts one.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or the HTTP library cannot be set up.
    pub async fn start(config: EngineConfig) -> std::io::Result<Self> {
        let listen = config.listen;
        let refusing = Refusing::default();
        let shared = Shared::new(config, refusing.clone())?;
        let listening = Listening::start(listen, endpoints::router(&shared), refusing).await?;
        Ok(Self { shared, listening })
    }

    /// Its configuration.
    pub fn config(&self) -> &EngineConfig {
        &self.shared.config
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// What it holds.
    pub fn inventory(&self) -> Inventory {
        self.shared.inventory()
    }

    /// Carries out an order, without HTTP.
    pub fn order(&self, order: &Order) -> OrderAnswer {
        self.shared.order(order)
    }

    /// Changes the faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        self.shared.update_faults(change);
    }

    /// Starts the engine anew: everything it held and did is gone, but for its disk.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// What really happened.
    pub fn record(&self) -> EngineRecord {
        self.shared.record()
    }

    /// Stops it; open connections break.
    pub async fn shutdown(self) {
        self.shared.stop_loads();
        self.listening.stop().await;
    }
}
