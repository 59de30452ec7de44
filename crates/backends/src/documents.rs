//! JSON documents of the object API, following the conventions of Kubernetes for custom resources.

use std::collections::BTreeMap;

use flaxward_types::{OperationId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::objects::{Collection, Object, ObjectList};

/// Group and version of flaxward's resources.
pub(crate) const API_VERSION: &str = "flaxward.example/v1";

/// Annotation with the id of the operation that made the last change.
const OPERATION: &str = "flaxward.example/operation";

/// Annotation with the resource version that the last change replaced.
const REPLACED: &str = "flaxward.example/replaced";

/// Wire format of an object.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Document {
    #[serde(default)]
    api_version: String,
    #[serde(default)]
    kind: String,
    metadata: Metadata,
    #[serde(default)]
    spec: Value,
}

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Metadata {
    name: String,
    resource_version: String,
    annotations: BTreeMap<String, String>,
}

/// Wire format of a list.
#[derive(Debug, Deserialize)]
pub(crate) struct ListDocument {
    metadata: ListMetadata,
    items: Vec<Document>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListMetadata {
    resource_version: String,
}

/// Wire format of one watch event, sent as one line.
#[derive(Debug, Deserialize)]
pub(crate) struct EventDocument {
    #[serde(rename = "type")]
    pub(crate) kind: EventKind,
    /// The changed object, or a [`StatusDocument`] if the event is an error.
    pub(crate) object: Value,
}

/// Type of a watch event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    Added,
    Modified,
    Deleted,
    Bookmark,
    Error,
}

/// Status document with the reason for a rejected request.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct StatusDocument {
    /// Machine-readable reason, such as `AlreadyExists`.
    pub(crate) reason: String,
    /// HTTP status.
    pub(crate) code: u16,
    /// Human-readable message.
    pub(crate) message: String,
}

impl Document {
    /// Builds the document that creates an object, or that replaces the version `expected`.
    pub(crate) fn to_write(
        collection: Collection,
        name: &str,
        expected: Option<Revision>,
        operation: OperationId,
        body: Value,
    ) -> Self {
        let mut annotations = BTreeMap::new();
        annotations.insert(OPERATION.to_owned(), operation.to_string());
        if let Some(expected) = expected {
            annotations.insert(REPLACED.to_owned(), expected.to_string());
        }
        Self {
            api_version: API_VERSION.to_owned(),
            kind: kind(collection).to_owned(),
            metadata: Metadata {
                name: name.to_owned(),
                resource_version: expected.map_or_else(String::new, |version| version.to_string()),
                annotations,
            },
            spec: body,
        }
    }

    /// Converts the document into an object, or describes why it is invalid.
    pub(crate) fn into_object(self) -> Result<Object, String> {
        let annotations = &self.metadata.annotations;
        Ok(Object {
            version: revision(&self.metadata.resource_version)?,
            operation: annotations
                .get(OPERATION)
                .and_then(|text| text.parse().ok()),
            replaced: annotations
                .get(REPLACED)
                .and_then(|text| revision(text).ok()),
            name: self.metadata.name,
            body: self.spec,
        })
    }

    /// The revision of a deleted object or of a bookmark.
    pub(crate) fn revision(&self) -> Result<Revision, String> {
        revision(&self.metadata.resource_version)
    }

    pub(crate) fn name(&self) -> &str {
        &self.metadata.name
    }
}

impl ListDocument {
    /// Converts the document into a list, or describes why it is invalid.
    pub(crate) fn into_list(self) -> Result<ObjectList, String> {
        let items: Result<Vec<Object>, String> =
            self.items.into_iter().map(Document::into_object).collect();
        Ok(ObjectList {
            revision: revision(&self.metadata.resource_version)?,
            items: items?,
        })
    }
}

fn revision(text: &str) -> Result<Revision, String> {
    let number = text.parse();
    number
        .map(Revision)
        .map_err(|_| format!("{text:?} is not a resource version"))
}

fn kind(collection: Collection) -> &'static str {
    match collection {
        Collection::Configurations => "Configuration",
        Collection::Leases => "Lease",
        Collection::Placements => "Placement",
        Collection::Quotas => "Quota",
        Collection::Claims => "Claim",
    }
}
