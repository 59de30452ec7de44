//! The documents of the object API, after the conventions of Kubernetes for custom resources.

use std::collections::BTreeMap;

use flaxward_types::{OperationId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::objects::{Collection, Object, ObjectList};

/// Group and version of flaxward's resources.
pub(crate) const API_VERSION: &str = "flaxward.example/v1";

/// Annotation with the operation of the last change.
const OPERATION: &str = "flaxward.example/operation";

/// Annotation with the version that the last change replaced.
const REPLACED: &str = "flaxward.example/replaced";

/// One object as it travels.
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

/// A list as it travels.
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

/// One line of a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct EventDocument {
    /// What happened.
    #[serde(rename = "type")]
    pub(crate) kind: EventKind,
    /// To what; a status document if it is an error.
    pub(crate) object: Value,
}

/// What a line of a watch tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    Added,
    Modified,
    Deleted,
    Bookmark,
    Error,
}

/// A status document; says why something was refused.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct StatusDocument {
    /// One word, such as `AlreadyExists`.
    pub(crate) reason: String,
    /// HTTP status.
    pub(crate) code: u16,
    /// For people.
    pub(crate) message: String,
}

impl Document {
    /// What is sent to create an object, or to replace the version `expected`.
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

    /// The object, or what is wrong with the document.
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

    /// The revision of an object that was removed, or of a bookmark.
    pub(crate) fn revision(&self) -> Result<Revision, String> {
        revision(&self.metadata.resource_version)
    }

    /// The name of the object.
    pub(crate) fn name(&self) -> &str {
        &self.metadata.name
    }
}

impl ListDocument {
    /// The list, or what is wrong with the document.
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
