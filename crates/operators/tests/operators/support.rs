//! An in-memory object API with fault injection, and fixed views.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use flaxward_backends::{
    Collection, Object, ObjectApi, ObjectList, Selection, StoreError, WatchEvent,
};
use flaxward_operators::{
    AdapterRow, ConfigRow, DaemonRow, DecisionRow, DrainRow, Executor, ModelRow, ModelState,
    PolicyRow, QuotaRow, ReplicaRow, RequestRow, RunnerRow, ServiceRow, VersionRow, Views, ZoneRow,
};
use flaxward_types::{ModelName, OperationId, Refusal, ResultCode, Revision};
use futures::StreamExt;
use futures::stream::BoxStream;
use serde_json::Value;
use tokio::sync::Barrier;

/// Injected write fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Every write fails without effect.
    Down,
    /// The first write succeeds but its response is lost.
    LostResponse,
    /// Writes fail after this number of successes.
    DownAfter(u32),
}

#[derive(Default)]
struct State {
    revision: u64,
    writes: u32,
    objects: BTreeMap<String, Object>,
    operations: Vec<OperationId>,
    fault: Fault,
    /// Readers wait here, so that two operators read before either writes.
    barrier: Option<Arc<Barrier>>,
}

#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<State>,
}

impl MemoryStore {
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.state.lock().expect("no panic");
        state.fault = fault;
        state.writes = 0;
    }

    pub fn set_barrier(&self, barrier: Option<Arc<Barrier>>) {
        self.state.lock().expect("no panic").barrier = barrier;
    }

    pub fn object(&self, name: &str) -> Option<Object> {
        self.state
            .lock()
            .expect("no panic")
            .objects
            .get(name)
            .cloned()
    }

    pub fn names(&self) -> Vec<String> {
        self.state
            .lock()
            .expect("no panic")
            .objects
            .keys()
            .cloned()
            .collect()
    }

    pub fn put_raw(&self, name: &str, body: Value) {
        self.state.lock().expect("no panic").put(name, None, body);
    }

    /// Whether every write had a unique operation id.
    pub fn operations_are_unique(&self) -> bool {
        let mut operations = self.state.lock().expect("no panic").operations.clone();
        let count = operations.len();
        operations.sort_unstable();
        operations.dedup();
        operations.len() == count
    }

    fn write<T>(
        &self,
        change: impl FnOnce(&mut State) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut state = self.state.lock().expect("no panic");
        state.writes += 1;
        let is_first = state.writes == 1;
        match state.fault {
            Fault::Down => return Err(StoreError::Unavailable("down".to_owned())),
            Fault::DownAfter(writes) if state.writes > writes => {
                return Err(StoreError::Unavailable("down".to_owned()));
            }
            _ => {}
        }
        let result = change(&mut state)?;
        if state.fault == Fault::LostResponse && is_first {
            return Err(StoreError::OutcomeUnknown("lost".to_owned()));
        }
        Ok(result)
    }
}

impl State {
    fn put(&mut self, name: &str, operation: Option<OperationId>, body: Value) -> Object {
        self.revision += 1;
        self.operations.extend(operation);
        let replaced = self.objects.get(name).map(|object| object.version);
        let object = Object {
            name: name.to_owned(),
            version: Revision(self.revision),
            operation,
            replaced,
            body,
        };
        self.objects.insert(name.to_owned(), object.clone());
        object
    }

    fn check(&self, name: &str, expected: Revision) -> Result<(), StoreError> {
        match self.objects.get(name) {
            None => Err(StoreError::NotFound),
            Some(object) if object.version != expected => {
                Err(StoreError::Conflict(Box::new(object.clone())))
            }
            Some(_) => Ok(()),
        }
    }
}

#[async_trait]
impl ObjectApi for MemoryStore {
    async fn get(&self, _: Collection, name: &str) -> Result<Object, StoreError> {
        self.object(name).ok_or(StoreError::NotFound)
    }

    async fn list(&self, _: Collection) -> Result<ObjectList, StoreError> {
        let (list, fault, barrier) = {
            let state = self.state.lock().expect("no panic");
            let list = ObjectList {
                revision: Revision(state.revision),
                items: state.objects.values().cloned().collect(),
            };
            (list, state.fault, state.barrier.clone())
        };
        if let Some(barrier) = barrier {
            barrier.wait().await;
        }
        match fault {
            Fault::Down => Err(StoreError::Unavailable("down".to_owned())),
            _ => Ok(list),
        }
    }

    async fn select(
        &self,
        collection: Collection,
        selection: &Selection,
    ) -> Result<Vec<Object>, StoreError> {
        let list = self.list(collection).await?;
        let mut items = list.items;
        items.retain(|object| object.body[selection.field] == *selection.value);
        Ok(items)
    }

    async fn create(
        &self,
        _: Collection,
        name: &str,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError> {
        self.write(|state| match state.objects.get(name) {
            Some(object) => Err(StoreError::Exists(Box::new(object.clone()))),
            None => Ok(state.put(name, Some(operation), body)),
        })
    }

    async fn replace(
        &self,
        _: Collection,
        name: &str,
        expected: Revision,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError> {
        self.write(|state| {
            state.check(name, expected)?;
            Ok(state.put(name, Some(operation), body))
        })
    }

    async fn delete(
        &self,
        _: Collection,
        name: &str,
        expected: Revision,
    ) -> Result<(), StoreError> {
        self.write(|state| {
            state.check(name, expected)?;
            state.revision += 1;
            state.objects.remove(name);
            Ok(())
        })
    }

    async fn watch(
        &self,
        _: Collection,
        _: Revision,
    ) -> Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError> {
        Ok(futures::stream::empty().boxed())
    }
}

/// Three models, four replicas and one known zone; every other table has one default row.
pub struct FixedViews;

fn model(name: &str, state: ModelState, waiting: u32) -> ModelRow {
    ModelRow {
        name: name.to_owned(),
        state,
        waiting,
        ..ModelRow::default()
    }
}

fn replica(model: &str, adapter: Option<&str>, zone: &str, memory: u64) -> ReplicaRow {
    ReplicaRow {
        model: model.to_owned(),
        adapter: adapter.map(str::to_owned),
        release: "v1".to_owned(),
        zone: zone.to_owned(),
        memory,
        ..ReplicaRow::default()
    }
}

macro_rules! default_views {
    ($($name:ident $row:ident),* $(,)?) => {
        #[async_trait]
        impl Views for FixedViews {
            $(
                async fn $name(&self) -> Result<Vec<$row>, Refusal> {
                    Ok(vec![$row::default()])
                }
            )*

            async fn models(&self) -> Result<Vec<ModelRow>, Refusal> {
                Ok(vec![
                    model("scada-summary", ModelState::Ready, 0),
                    model("scada-draft", ModelState::Waiting, 9),
                    model("parts", ModelState::Idle, 10),
                ])
            }

            async fn replicas(&self) -> Result<Vec<ReplicaRow>, Refusal> {
                Ok(vec![
                    replica("m", None, "a", 20 << 30),
                    replica("m", Some("x"), "a", 200 << 20),
                    replica("m", None, "b", 30 << 30),
                    replica("n", None, "b", 1 << 30),
                ])
            }

            async fn zones(&self) -> Result<Vec<ZoneRow>, Refusal> {
                let name = "scl-a".to_owned();
                Ok(vec![ZoneRow { name, ..ZoneRow::default() }])
            }

            async fn explain(&self, model: &ModelName) -> Result<Vec<DecisionRow>, Refusal> {
                if model.as_str() == "nobody" {
                    return Err(Refusal::new(ResultCode::UnknownObject));
                }
                Ok(vec![DecisionRow::default()])
            }
        }
    };
}

default_views! {
    runners RunnerRow, daemons DaemonRow, requests RequestRow, adapters AdapterRow,
    versions VersionRow, services ServiceRow, quotas QuotaRow, drains DrainRow,
    policy PolicyRow, config ConfigRow,
}

/// An executor over a store that holds model `m` serving `v1` at version 3, and `v2`.
pub async fn executor() -> (Arc<MemoryStore>, Arc<Executor>) {
    let store = Arc::new(MemoryStore::default());
    let executor = Arc::new(Executor::new(store.clone(), Arc::new(FixedViews)));
    for command in [
        "create version m@v1 checkpoint 'm/1' weights 16GiB kv 4GiB",
        "create version m@v2 checkpoint 'm/2' weights 16GiB kv 4GiB",
        "create model m serving v1 at most 4",
    ] {
        executor.execute(command).await.expect(command);
    }
    (store, executor)
}
