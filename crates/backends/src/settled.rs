//! An object API whose lost answers are settled.
//!
//! A compare-and-swap may be sent again as often as one likes: it takes effect once at most. So when
//! the answer to a write is lost, the object is read back, and if it still has the version that the
//! write named, the same write is sent again under the same operation. An unchanged object proves
//! nothing by itself, since the first write may still be on its way.
//!
//! An object that another operation changed proves that the write failed only if that operation
//! replaced the very version that the write named; otherwise the write may have come between.

use std::time::Duration;

use async_trait::async_trait;
use flaxward_types::{OperationId, Revision};
use futures::stream::BoxStream;
use serde_json::Value;
use tokio::time::Instant;

use crate::objects::{
    Collection, Object, ObjectApi, ObjectList, Selection, StoreError, WatchEvent,
};

/// How hard a lost answer is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettleLimits {
    /// Tries after the first, at most.
    pub tries: u32,
    /// Wait before each try.
    pub pause: Duration,
    /// Time for all of it, from the first answer lost.
    pub time: Duration,
}

impl Default for SettleLimits {
    fn default() -> Self {
        Self {
            tries: 5,
            pause: Duration::from_millis(100),
            time: Duration::from_secs(20),
        }
    }
}

/// An object API whose lost answers are settled where that can be done.
#[derive(Clone, Debug)]
pub struct SettledStore<A> {
    inner: A,
    limits: SettleLimits,
}

/// A write that can be sent again.
#[derive(Clone, Debug)]
struct Write<'a> {
    collection: Collection,
    name: &'a str,
    /// The version it replaces, or `None` if it creates the object.
    expected: Option<Revision>,
    operation: OperationId,
    body: Value,
}

/// What the object read back says of a write whose answer was lost.
enum Finding {
    Settled(Result<Object, StoreError>),
    /// The write can still take effect, so it may be sent again.
    Open,
}

impl<A: ObjectApi> SettledStore<A> {
    /// Settles the lost answers of an object API.
    pub fn new(inner: A, limits: SettleLimits) -> Self {
        Self { inner, limits }
    }

    /// The object API without settling.
    pub fn inner(&self) -> &A {
        &self.inner
    }

    async fn write(&self, write: Write<'_>) -> Result<Object, StoreError> {
        match self.send(&write).await {
            Err(StoreError::OutcomeUnknown(text)) => self.settle(&write, text).await,
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

    async fn settle(&self, write: &Write<'_>, mut text: String) -> Result<Object, StoreError> {
        let end = Instant::now() + self.limits.time;
        for _ in 0..self.limits.tries {
            tokio::time::sleep(self.limits.pause).await;
            match tokio::time::timeout_at(end, self.try_to_settle(write)).await {
                Ok(Ok(Finding::Settled(result))) => return result,
                Ok(Ok(Finding::Open)) => {}
                Ok(Err(later)) => text = later,
                Err(_) => break,
            }
        }
        Err(StoreError::OutcomeUnknown(text))
    }

    /// Reads back, and sends again if that can still take effect.
    async fn try_to_settle(&self, write: &Write<'_>) -> Result<Finding, String> {
        let found = match self.inner.get(write.collection, write.name).await {
            Ok(object) => finding(write, object),
            Err(StoreError::NotFound) => absent(write),
            Err(error) => return Err(error.to_string()),
        };
        if let Finding::Settled(_) = found {
            return Ok(found);
        }
        Ok(match self.send(write).await {
            Ok(object) => Finding::Settled(Ok(object)),
            Err(StoreError::Exists(object) | StoreError::Conflict(object)) => {
                finding(write, *object)
            }
            Err(StoreError::NotFound) => absent(write),
            Err(error) => return Err(error.to_string()),
        })
    }
}

fn finding(write: &Write<'_>, object: Object) -> Finding {
    if object.operation == Some(write.operation) {
        return Finding::Settled(Ok(object));
    }
    if Some(object.version) == write.expected {
        return Finding::Open;
    }
    let proven = object.replaced == write.expected;
    Finding::Settled(Err(match write.expected {
        _ if !proven => overtaken(),
        None => StoreError::Exists(Box::new(object)),
        Some(_) => StoreError::Conflict(Box::new(object)),
    }))
}

/// What it says that the object does not exist.
fn absent(write: &Write<'_>) -> Finding {
    match write.expected {
        None => Finding::Open,
        Some(_) => Finding::Settled(Err(overtaken())),
    }
}

fn overtaken() -> StoreError {
    StoreError::OutcomeUnknown("later operations have changed the object".to_owned())
}

#[async_trait]
impl<A: ObjectApi> ObjectApi for SettledStore<A> {
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
        let end = Instant::now() + self.limits.time;
        for _ in 0..self.limits.tries {
            let Err(StoreError::OutcomeUnknown(_)) = result else {
                return result;
            };
            tokio::time::sleep(self.limits.pause).await;
            let again = self.inner.delete(collection, name, expected);
            match tokio::time::timeout_at(end, again).await {
                Ok(later) => result = removal(later, expected),
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

/// What a repeated removal says of the first one, whose answer was lost.
fn removal(later: Result<(), StoreError>, expected: Revision) -> Result<(), StoreError> {
    match later {
        // The version named is gone, by this removal or by one that wanted the same.
        Ok(()) | Err(StoreError::NotFound) => Ok(()),
        Err(StoreError::Conflict(object)) if object.replaced == Some(expected) => {
            Err(StoreError::Conflict(object))
        }
        Err(StoreError::Conflict(_)) => Err(overtaken()),
        Err(error) => Err(StoreError::OutcomeUnknown(error.to_string())),
    }
}
