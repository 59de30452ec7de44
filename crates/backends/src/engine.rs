//! Model engines: orders and inventory. Requests of callers are relayed by the daemon's own HTTP
//! client, since their bodies are passed on and not understood.

use async_trait::async_trait;
use bytes::Bytes;
use flaxward_types::AttemptId;
use flaxward_types::engine::{CacheEvent, Inventory, LoadReport, Order, OrderAnswer};
use thiserror::Error;

/// Why an engine gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EngineError {
    /// No connection: the engine certainly saw nothing.
    #[error("the engine cannot be reached: {0}")]
    Unreachable(String),
    /// The answer was lost or unreadable: the engine may have acted.
    #[error("the engine's answer is unknown: {0}")]
    OutcomeUnknown(String),
    /// The engine does not know the stream.
    #[error("the engine knows no such stream")]
    UnknownStream,
}

/// One model engine, named by its address `ip:port`.
#[async_trait]
pub trait EngineApi: Send + Sync {
    /// Sends an order and returns the engine's answer to it.
    async fn order(&self, address: &str, order: &Order) -> Result<OrderAnswer, EngineError>;

    /// Reads what the engine holds.
    async fn inventory(&self, address: &str) -> Result<Inventory, EngineError>;

    /// Reads the lagging load report.
    async fn load_report(&self, address: &str) -> Result<LoadReport, EngineError>;

    /// Reads cache events after a sequence number; there may be gaps.
    async fn cache_events(&self, address: &str, after: u64)
    -> Result<Vec<CacheEvent>, EngineError>;

    /// Stops a stream; the engine frees what it took.
    async fn cancel(&self, address: &str, attempt: AttemptId) -> Result<(), EngineError>;

    /// Exports the KV cache of a stream, for resuming it on another engine.
    async fn export_kv(&self, address: &str, attempt: AttemptId) -> Result<Bytes, EngineError>;

    /// Imports a KV cache under an attempt, so that the next request with it resumes.
    async fn import_kv(
        &self,
        address: &str,
        attempt: AttemptId,
        cache: Bytes,
    ) -> Result<(), EngineError>;
}
