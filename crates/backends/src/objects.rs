//! The object API: versioned objects with compare-and-swap and watches.

use std::fmt;

use async_trait::async_trait;
use flaxward_types::{OperationId, Revision};
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// A collection of objects; each is a resource type of the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Collection {
    /// Configuration items written by operators ([`flaxward_types::ConfigurationItem`]).
    Configurations,
    /// Zone leases ([`flaxward_types::records::ZoneLease`]), named by zone.
    Leases,
    /// Slots of each zone ([`flaxward_types::records::ZonePlacement`]), named by zone.
    Placements,
    /// Quotas ([`flaxward_types::records::Quota`]).
    Quotas,
    /// Claims of requests that must not be retried ([`flaxward_types::records::Claim`]).
    Claims,
}

impl Collection {
    /// The plural name used in URL paths.
    pub fn plural(self) -> &'static str {
        match self {
            Self::Configurations => "configurations",
            Self::Leases => "leases",
            Self::Placements => "placements",
            Self::Quotas => "quotas",
            Self::Claims => "claims",
        }
    }
}

impl fmt::Display for Collection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.plural())
    }
}

/// A versioned object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name within the collection.
    pub name: String,
    /// Revision of its last change; the expected version for a compare-and-swap.
    pub version: Revision,
    /// The operation that made the last change, used to resolve a write whose response was lost.
    pub operation: Option<OperationId>,
    /// The version that the last change replaced, or `None` if it created the object. It shows
    /// that no other change happened in between.
    pub replaced: Option<Revision>,
    /// Content of the object.
    pub body: Value,
}

/// All objects of a collection at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectList {
    /// Revision of the list; a watch from this revision misses no change.
    pub revision: Revision,
    /// The objects.
    pub items: Vec<Object>,
}

/// Which objects of a collection to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Name of a text field in the object's content.
    pub field: &'static str,
    /// Value that the field must have.
    pub value: String,
    /// Maximum number of objects to return.
    pub limit: u32,
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The object was created or replaced.
    Put(Object),
    /// The object was removed by the change with this revision.
    Deleted {
        /// Its name.
        name: String,
        /// Revision of the removal.
        revision: Revision,
    },
    /// Nothing changed up to this revision.
    Bookmark(Revision),
}

/// Error of an operation on the object API.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum StoreError {
    /// The object does not exist.
    #[error("no such object")]
    NotFound,
    /// The object already exists; contains the existing object.
    #[error("the object exists already at version {}", .0.version)]
    Exists(Box<Object>),
    /// The object's version is not the expected one; contains the current object.
    #[error("the object has version {}", .0.version)]
    Conflict(Box<Object>),
    /// The revision to watch from is too old; list again.
    #[error("the revision is too old to watch from")]
    Compacted,
    /// The object API refused or could not be reached: the operation was definitely not
    /// applied.
    #[error("object API unavailable: {0}")]
    Unavailable(String),
    /// The response was lost: the operation may have been applied.
    #[error("the outcome of the operation is unknown: {0}")]
    OutcomeUnknown(String),
}

/// The object API.
#[async_trait]
pub trait ObjectApi: Send + Sync {
    /// Reads one object.
    async fn get(&self, collection: Collection, name: &str) -> Result<Object, StoreError>;

    /// Reads a whole collection.
    async fn list(&self, collection: Collection) -> Result<ObjectList, StoreError>;

    /// Reads the objects of a collection that match the selection, or some of them if more than the
    /// limit match.
    async fn select(
        &self,
        collection: Collection,
        selection: &Selection,
    ) -> Result<Vec<Object>, StoreError>;

    /// Creates an object; fails with [`StoreError::Exists`] if it already exists.
    async fn create(
        &self,
        collection: Collection,
        name: &str,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError>;

    /// Replaces an object whose version is `expected`; else fails with [`StoreError::Conflict`].
    async fn replace(
        &self,
        collection: Collection,
        name: &str,
        expected: Revision,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError>;

    /// Removes an object whose version is `expected`; else fails with [`StoreError::Conflict`].
    async fn delete(
        &self,
        collection: Collection,
        name: &str,
        expected: Revision,
    ) -> Result<(), StoreError>;

    /// Streams the changes of a collection after `from`.
    async fn watch(
        &self,
        collection: Collection,
        from: Revision,
    ) -> Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError>;
}
