//! Model engines: orders and inventory. Client requests are relayed by the daemon's own HTTP
//! client, since their bodies are forwarded without being parsed.

use async_trait::async_trait;
use bytes::Bytes;
use flaxward_types::AttemptId;
use flaxward_types::engine::{CacheEvent, Inventory, LoadReport, Order, OrderAnswer};
use thiserror::Error;

/// Error of a call to a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EngineError {
    /// No connection, or the engine answered 503: the engine did not act.
    #[error("engine unreachable: {0}")]
    Unreachable(String),
    /// The response was lost or could not be parsed: the engine may have acted.
    #[error("outcome of the engine call is unknown: {0}")]
    OutcomeUnknown(String),
    /// The engine does not know the stream.
    #[error("stream not found on the engine")]
    UnknownStream,
}

/// API of the model engines; each engine is identified by its address `ip:port`.
#[async_trait]
pub trait EngineApi: Send + Sync {
    /// Sends an order and returns the engine's response.
    async fn order(&self, address: &str, order: &Order) -> Result<OrderAnswer, EngineError>;

    /// Reads the engine's inventory.
    async fn inventory(&self, address: &str) -> Result<Inventory, EngineError>;

    /// Reads the load report, which lags behind the actual load.
    async fn load_report(&self, address: &str) -> Result<LoadReport, EngineError>;

    /// Reads the cache events after a sequence number; the sequence may have gaps.
    async fn cache_events(&self, address: &str, after: u64)
    -> Result<Vec<CacheEvent>, EngineError>;

    /// Cancels a stream; the engine releases its resources.
    async fn cancel(&self, address: &str, attempt: AttemptId) -> Result<(), EngineError>;

    /// Exports the KV cache of a stream, for resuming it on another engine.
    async fn export_kv(&self, address: &str, attempt: AttemptId) -> Result<Bytes, EngineError>;

    /// Imports a KV cache under an attempt, so that the next request with this attempt resumes
    /// from it.
    async fn import_kv(
        &self,
        address: &str,
        attempt: AttemptId,
        cache: Bytes,
    ) -> Result<(), EngineError>;
}
