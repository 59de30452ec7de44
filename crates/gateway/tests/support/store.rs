//! An object API in memory that can be told to fail.

use std::collections::BTreeMap;
use std::sync::Mutex;

use async_trait::async_trait;
use flaxward_platform::{Collection, Object, ObjectApi, ObjectList, StoreError, WatchEvent};
use flaxward_types::{OperationId, Revision};
use futures::stream::BoxStream;
use serde_json::Value;

#[derive(Default)]
pub struct MemoryStore {
    objects: Mutex<BTreeMap<String, Object>>,
    pub is_down: std::sync::atomic::AtomicBool,
}

impl MemoryStore {
    fn check(&self) -> Result<(), StoreError> {
        if self.is_down.load(std::sync::atomic::Ordering::SeqCst) {
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        Ok(())
    }

    /// The bodies of all objects.
    pub fn bodies(&self) -> Vec<Value> {
        let objects = self.objects.lock().unwrap();
        objects.values().map(|object| object.body.clone()).collect()
    }
}

#[async_trait]
impl ObjectApi for MemoryStore {
    async fn get(&self, _: Collection, name: &str) -> Result<Object, StoreError> {
        self.check()?;
        let objects = self.objects.lock().unwrap();
        objects.get(name).cloned().ok_or(StoreError::NotFound)
    }

    async fn list(&self, _: Collection) -> Result<ObjectList, StoreError> {
        Err(StoreError::Unavailable("not used by a gateway".to_owned()))
    }

    async fn create(
        &self,
        _: Collection,
        name: &str,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError> {
        self.check()?;
        let mut objects = self.objects.lock().unwrap();
        if let Some(object) = objects.get(name) {
            return Err(StoreError::Exists(Box::new(object.clone())));
        }
        let object = Object {
            name: name.to_owned(),
            version: Revision(1),
            operation: Some(operation),
            replaced: None,
            body,
        };
        objects.insert(name.to_owned(), object.clone());
        Ok(object)
    }

    async fn replace(
        &self,
        _: Collection,
        name: &str,
        expected: Revision,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError> {
        self.check()?;
        let mut objects = self.objects.lock().unwrap();
        let object = objects.get_mut(name).ok_or(StoreError::NotFound)?;
        if object.version != expected {
            return Err(StoreError::Conflict(Box::new(object.clone())));
        }
        object.version = expected.next();
        object.replaced = Some(expected);
        object.operation = Some(operation);
        object.body = body;
        Ok(object.clone())
    }

    async fn delete(&self, _: Collection, _: &str, _: Revision) -> Result<(), StoreError> {
        Err(StoreError::Unavailable("not used by a gateway".to_owned()))
    }

    async fn watch(
        &self,
        _: Collection,
        _: Revision,
    ) -> Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError> {
        Err(StoreError::Unavailable("not used by a gateway".to_owned()))
    }
}
