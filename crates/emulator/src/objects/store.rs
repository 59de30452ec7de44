//! The objects, their versions and the kept changes; no I/O.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::OPERATION_ANNOTATION;
use crate::fault::unix_ms;

/// What a client sends and what is kept of it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct ObjectDocument {
    pub(crate) api_version: String,
    pub(crate) kind: String,
    pub(crate) metadata: Metadata,
    pub(crate) spec: Value,
}

/// Metadata of an object.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct Metadata {
    pub(crate) name: String,
    pub(crate) resource_version: String,
    pub(crate) annotations: BTreeMap<String, String>,
}

/// What a write did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteAction {
    /// Created an object.
    Create,
    /// Replaced an object.
    Replace,
    /// Removed an object.
    Delete,
}

/// One write that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectWrite {
    /// Revision it made.
    pub revision: u64,
    /// Wall-clock milliseconds.
    pub at_unix_ms: u64,
    /// Who sent it, as `ZONE/DAEMON`, if told.
    pub client: Option<String>,
    /// What it did.
    pub action: WriteAction,
    /// Plural name of the collection.
    pub collection: String,
    /// Name of the object.
    pub name: String,
    /// Version it named, if it replaced or removed one.
    pub expected: Option<u64>,
    /// Its operation id.
    pub operation: Option<String>,
}

/// Why a write or read was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    NotFound,
    AlreadyExists,
    Conflict,
    Expired,
}

/// One kept change.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) revision: u64,
    pub(crate) collection: String,
    pub(crate) kind: &'static str,
    pub(crate) object: ObjectDocument,
}

/// Which objects of a collection are listed.
#[derive(Clone, Debug)]
pub(crate) struct FieldSelection {
    /// A field of the content.
    pub(crate) field: String,
    /// The text it holds.
    pub(crate) value: String,
    /// Objects listed, at most.
    pub(crate) limit: usize,
}

/// Whom and what a write comes from.
#[derive(Clone, Debug, Default)]
pub(crate) struct Origin {
    pub(crate) collection: String,
    pub(crate) client: Option<String>,
}

/// All collections under one rising revision.
pub(crate) struct Store {
    revision: u64,
    objects: BTreeMap<String, BTreeMap<String, ObjectDocument>>,
    history: VecDeque<Change>,
    history_limit: usize,
    compacted: u64,
    record: VecDeque<ObjectWrite>,
    record_limit: usize,
}

impl Store {
    pub(crate) fn new(history_limit: usize, record_limit: usize) -> Self {
        Self {
            revision: 1,
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit,
            compacted: 0,
            record: VecDeque::new(),
            record_limit,
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn record(&self) -> Vec<ObjectWrite> {
        self.record.iter().cloned().collect()
    }

    pub(crate) fn get(&self, collection: &str, name: &str) -> Result<ObjectDocument, Refused> {
        let object = self.objects.get(collection).and_then(|all| all.get(name));
        object.cloned().ok_or(Refused::NotFound)
    }

    pub(crate) fn list(&self, collection: &str, selected: Option<&FieldSelection>) -> Value {
        let objects = self.objects.get(collection).into_iter().flatten();
        let objects = objects.map(|(_, object)| object);
        let items: Vec<&ObjectDocument> = match selected {
            None => objects.collect(),
            Some(selection) => objects
                .filter(|object| object.spec[&selection.field] == *selection.value)
                .take(selection.limit)
                .collect(),
        };
        json!({
            "apiVersion": "flaxward.example/v1",
            "kind": "List",
            "metadata": {"resourceVersion": self.revision.to_string()},
            "items": items,
        })
    }

    pub(crate) fn create(
        &mut self,
        origin: &Origin,
        object: ObjectDocument,
    ) -> Result<ObjectDocument, Refused> {
        if self.get(&origin.collection, &object.metadata.name).is_ok() {
            return Err(Refused::AlreadyExists);
        }
        Ok(self.put(origin, object, None))
    }

    pub(crate) fn replace(
        &mut self,
        origin: &Origin,
        object: ObjectDocument,
        expected: u64,
    ) -> Result<ObjectDocument, Refused> {
        self.check_version(origin, &object.metadata.name, expected)?;
        Ok(self.put(origin, object, Some(expected)))
    }

    pub(crate) fn delete(
        &mut self,
        origin: &Origin,
        name: &str,
        expected: u64,
    ) -> Result<ObjectDocument, Refused> {
        let mut object = self.check_version(origin, name, expected)?;
        if let Some(all) = self.objects.get_mut(&origin.collection) {
            all.remove(name);
        }
        self.revision += 1;
        object.metadata.resource_version = self.revision.to_string();
        self.note(origin, &object, WriteAction::Delete, Some(expected));
        Ok(object)
    }

    /// The changes of a collection after a revision.
    pub(crate) fn changes(&self, collection: &str, after: u64) -> Result<Vec<&Change>, Refused> {
        if after < self.compacted {
            return Err(Refused::Expired);
        }
        let start = self
            .history
            .partition_point(|change| change.revision <= after);
        let newer = self.history.range(start..);
        Ok(newer
            .filter(|change| change.collection == collection)
            .collect())
    }

    /// Forgets all kept changes.
    pub(crate) fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    fn check_version(
        &self,
        origin: &Origin,
        name: &str,
        expected: u64,
    ) -> Result<ObjectDocument, Refused> {
        let object = self.get(&origin.collection, name)?;
        if object.metadata.resource_version != expected.to_string() {
            return Err(Refused::Conflict);
        }
        Ok(object)
    }

    fn put(
        &mut self,
        origin: &Origin,
        mut object: ObjectDocument,
        expected: Option<u64>,
    ) -> ObjectDocument {
        self.revision += 1;
        object.metadata.resource_version = self.revision.to_string();
        let all = self.objects.entry(origin.collection.clone()).or_default();
        all.insert(object.metadata.name.clone(), object.clone());
        let action = match expected {
            None => WriteAction::Create,
            Some(_) => WriteAction::Replace,
        };
        self.note(origin, &object, action, expected);
        object
    }

    fn note(
        &mut self,
        origin: &Origin,
        object: &ObjectDocument,
        action: WriteAction,
        expected: Option<u64>,
    ) {
        let kind = match action {
            WriteAction::Create => "ADDED",
            WriteAction::Replace => "MODIFIED",
            WriteAction::Delete => "DELETED",
        };
        self.history.push_back(Change {
            revision: self.revision,
            collection: origin.collection.clone(),
            kind,
            object: object.clone(),
        });
        while self.history.len() > self.history_limit {
            if let Some(dropped) = self.history.pop_front() {
                self.compacted = dropped.revision;
            }
        }
        self.record.push_back(ObjectWrite {
            revision: self.revision,
            at_unix_ms: unix_ms(),
            client: origin.client.clone(),
            action,
            collection: origin.collection.clone(),
            name: object.metadata.name.clone(),
            expected,
            operation: match action {
                WriteAction::Delete => None,
                _ => object
                    .metadata
                    .annotations
                    .get(OPERATION_ANNOTATION)
                    .cloned(),
            },
        });
        while self.record.len() > self.record_limit {
            self.record.pop_front();
        }
    }
}
