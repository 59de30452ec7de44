//! Object API wrapper that resolves writes whose response was lost.
//!
//! A compare-and-swap is idempotent: however often it is sent, it takes effect at most once. When
//! the response to a write is lost, the object is read back, and if it still has the expected
//! version, the same write is retried with the same operation id. An unchanged object alone proves
//! nothing, since the first write may still be in flight.
//!
//! If another operation changed the object, the write definitely failed only if that operation
//! replaced the expected version; otherwise the write may have been applied in between.

use std::time::Duration;

use async_trait::async_trait;
use flaxward_types::{OperationId, Revision};
use futures::stream::BoxStream;
use serde_json::Value;
use tokio::time::Instant;

use crate::objects::{
    Collection, Object, ObjectApi, ObjectList, Selection, StoreError, WatchEvent,
};

/// Retry limits for resolving a write whose response was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// Maximum number of retries.
    pub max_retries: u32,
    /// Delay before each retry.
    pub retry_delay: Duration,
    /// Total time for all retries, from the first lost response.
    pub total_timeout: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            max_retries: 5,
            retry_delay: Duration::from_millis(100),
            total_timeout: Duration::from_secs(20),
        }
    }
}

/// Object API that resolves lost responses where possible.
#[derive(Clone, Debug)]
pub struct ResolvingStore<A> {
    inner: A,
    limits: RetryLimits,
}

/// A write that can be retried.
#[derive(Clone, Debug)]
struct Write<'a> {
    collection: Collection,
    name: &'a str,
    /// The version to replace, or `None` if it creates the object.
    expected: Option<Revision>,
    operation: OperationId,
    body: Value,
}

/// Conclusion about a write whose response was lost, from the object read back.
enum Finding {
    Resolved(Result<Object, StoreError>),
    /// The write can still take effect, so it may be retried.
    Open,
}

impl<A: ObjectApi> ResolvingStore<A> {
    /// Wraps an object API.
    pub fn new(inner: A, limits: RetryLimits) -> Self {
        Self { inner, limits }
    }

    /// The wrapped object API, which does not resolve lost responses.
    pub fn inner(&self) -> &A {
        &self.inner
    }

    async fn write(&self, write: Write<'_>) -> Result<Object, StoreError> {
        match self.send(&write).await {
            Err(StoreError::OutcomeUnknown(text)) => self.resolve(&write, text).await,
            result => result,
        }
    }

    async fn send(&self, write: &Write<'_>) -> Result<Object, StoreError> {
        let body = write.body.clone();
        let Write {
            collection,
            name,
            operation,
            ..
        } = *write;
        match write.expected {
            None => self.inner.create(collection, name, operation, body).await,
            Some(expected) => {
                self.inner
                    .replace(collection, name, expected, operation, body)
                    .await
            }
        }
    }

    async fn resolve(&self, write: &Write<'_>, mut text: String) -> Result<Object, StoreError> {
        let end = Instant::now() + self.limits.total_timeout;
        for _ in 0..self.limits.max_retries {
            tokio::time::sleep(self.limits.retry_delay).await;
            match tokio::time::timeout_at(end, self.read_back_and_retry(write)).await {
                Ok(Ok(Finding::Resolved(result))) => return result,
                Ok(Ok(Finding::Open)) => {}
                Ok(Err(later)) => text = later,
                Err(_) => break,
            }
        }
        Err(StoreError::OutcomeUnknown(text))
    }

    /// Reads the object back, and retries the write if it can still take effect.
    async fn read_back_and_retry(&self, write: &Write<'_>) -> Result<Finding, String> {
        let found = match self.inner.get(write.collection, write.name).await {
            Ok(object) => classify_object(write, object),
            Err(StoreError::NotFound) => classify_missing(write),
            Err(error) => return Err(error.to_string()),
        };
        if let Finding::Resolved(_) = found {
            return Ok(found);
        }
        Ok(match self.send(write).await {
            Ok(object) => Finding::Resolved(Ok(object)),
            Err(StoreError::Exists(object) | StoreError::Conflict(object)) => {
                classify_object(write, *object)
            }
            Err(StoreError::NotFound) => classify_missing(write),
            Err(error) => return Err(error.to_string()),
        })
    }
}

fn classify_object(write: &Write<'_>, object: Object) -> Finding {
    if object.operation == Some(write.operation) {
        return Finding::Resolved(Ok(object));
    }
    if Some(object.version) == write.expected {
        return Finding::Open;
    }
    let proven = object.replaced == write.expected;
    Finding::Resolved(Err(match write.expected {
        _ if !proven => superseded(),
        None => StoreError::Exists(Box::new(object)),
        Some(_) => StoreError::Conflict(Box::new(object)),
    }))
}

/// Conclusion about a write whose object does not exist.
fn classify_missing(write: &Write<'_>) -> Finding {
    match write.expected {
        None => Finding::Open,
        Some(_) => Finding::Resolved(Err(superseded())),
    }
}

fn superseded() -> StoreError {
    StoreError::OutcomeUnknown("the object was changed by later operations".to_owned())
}

#[async_trait]
impl<A: ObjectApi> ObjectApi for ResolvingStore<A> {
    async fn get(&self, collection: Collection, name: &str) -> Result<Object, StoreError> {
        self.inner.get(collection, name).await
    }

    async fn list(&self, collection: Collection) -> Result<ObjectList, StoreError> {
        self.inner.list(collection).await
    }

    async fn select(
        &self,
        collection: Collection,
        selection: &Selection,
    ) -> Result<Vec<Object>, StoreError> {
        self.inner.select(collection, selection).await
    }

    async fn create(
        &self,
        collection: Collection,
        name: &str,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError> {
        self.write(Write {
            collection,
            name,
            expected: None,
            operation,
            body,
        })
        .await
    }

    async fn replace(
        &self,
        collection: Collection,
        name: &str,
        expected: Revision,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError> {
        self.write(Write {
            collection,
            name,
            expected: Some(expected),
            operation,
            body,
        })
        .await
    }

    async fn delete(
        &self,
        collection: Collection,
        name: &str,
        expected: Revision,
    ) -> Result<(), StoreError> {
        let mut result = self.inner.delete(collection, name, expected).await;
        let end = Instant::now() + self.limits.total_timeout;
        for _ in 0..self.limits.max_retries {
            let Err(StoreError::OutcomeUnknown(_)) = result else {
                return result;
            };
            tokio::time::sleep(self.limits.retry_delay).await;
            let again = self.inner.delete(collection, name, expected);
            match tokio::time::timeout_at(end, again).await {
                Ok(later) => result = delete_result(later, expected),
                Err(_) => break,
            }
        }
        result
    }

    async fn watch(
        &self,
        collection: Collection,
        from: Revision,
    ) -> Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError> {
        self.inner.watch(collection, from).await
    }
}

/// Result of a delete whose response was lost, derived from the result of its retry.
fn delete_result(later: Result<(), StoreError>, expected: Revision) -> Result<(), StoreError> {
    match later {
        // The expected version was deleted, by this call or by an equivalent one.
        Ok(()) | Err(StoreError::NotFound) => Ok(()),
        Err(StoreError::Conflict(object)) if object.replaced == Some(expected) => {
            Err(StoreError::Conflict(object))
        }
        Err(StoreError::Conflict(_)) => Err(superseded()),
        Err(error) => Err(StoreError::OutcomeUnknown(error.to_string())),
    }
}
