//! HTTP client of the model engines.

use async_trait::async_trait;
use bytes::Bytes;
use flaxward_types::AttemptId;
use flaxward_types::engine::{CacheEvent, Inventory, LoadReport, Order, OrderAnswer};
use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;

use crate::engine::{EngineApi, EngineError};
use crate::http_client::{Answer, CallError, Timeouts, call, client, text_of};

const SUCCESS: std::ops::Range<u16> = 200..300;
const NOT_FOUND: u16 = 404;
const SERVICE_UNAVAILABLE: u16 = 503;

/// HTTP client shared by all model engines.
#[derive(Clone, Debug)]
pub struct EngineHttp {
    client: Client,
    limits: Timeouts,
}

impl EngineHttp {
    /// Creates a client.
    ///
    /// # Errors
    /// Fails if the HTTP library cannot be set up.
    pub fn new(limits: Timeouts) -> Result<Self, EngineError> {
        let client = client(limits).map_err(|error| EngineError::Unreachable(text_of(&error)))?;
        Ok(Self { client, limits })
    }

    async fn call(&self, request: RequestBuilder) -> Result<Answer, EngineError> {
        let answer = call(request, self.limits).await.map_err(engine_error)?;
        match answer.status {
            status if SUCCESS.contains(&status) => Ok(answer),
            SERVICE_UNAVAILABLE => Err(EngineError::Unreachable(answer.text())),
            _ => Err(EngineError::OutcomeUnknown(answer.text())),
        }
    }

    async fn json<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, EngineError> {
        let answer = self.call(request).await?;
        serde_json::from_slice(&answer.body)
            .map_err(|error| EngineError::OutcomeUnknown(error.to_string()))
    }

    async fn stream_call(&self, request: RequestBuilder) -> Result<Bytes, EngineError> {
        let answer = call(request, self.limits).await.map_err(engine_error)?;
        match answer.status {
            status if SUCCESS.contains(&status) => Ok(answer.body),
            NOT_FOUND => Err(EngineError::UnknownStream),
            SERVICE_UNAVAILABLE => Err(EngineError::Unreachable(answer.text())),
            _ => Err(EngineError::OutcomeUnknown(answer.text())),
        }
    }
}

#[async_trait]
impl EngineApi for EngineHttp {
    async fn order(&self, address: &str, order: &Order) -> Result<OrderAnswer, EngineError> {
        let url = format!("http://{address}/engine/orders");
        self.json(self.client.post(url).json(order)).await
    }

    async fn inventory(&self, address: &str) -> Result<Inventory, EngineError> {
        let url = format!("http://{address}/engine/inventory");
        self.json(self.client.get(url)).await
    }

    async fn load_report(&self, address: &str) -> Result<LoadReport, EngineError> {
        let url = format!("http://{address}/engine/load");
        self.json(self.client.get(url)).await
    }

    async fn cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<Vec<CacheEvent>, EngineError> {
        let url = format!("http://{address}/engine/events?after={after}");
        self.json(self.client.get(url)).await
    }

    async fn cancel(&self, address: &str, attempt: AttemptId) -> Result<(), EngineError> {
        let url = format!("http://{address}/engine/streams/{attempt}");
        self.stream_call(self.client.delete(url)).await?;
        Ok(())
    }

    async fn export_kv(&self, address: &str, attempt: AttemptId) -> Result<Bytes, EngineError> {
        let url = format!("http://{address}/engine/streams/{attempt}/kv");
        self.stream_call(self.client.get(url)).await
    }

    async fn import_kv(
        &self,
        address: &str,
        attempt: AttemptId,
        cache: Bytes,
    ) -> Result<(), EngineError> {
        let url = format!("http://{address}/engine/streams/{attempt}/kv");
        self.stream_call(self.client.put(url).body(cache)).await?;
        Ok(())
    }
}

fn engine_error(error: CallError) -> EngineError {
    match error {
        CallError::NotSent(text) => EngineError::Unreachable(text),
        CallError::Unknown(text) => EngineError::OutcomeUnknown(text),
    }
}
