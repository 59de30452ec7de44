//! The object API: versioned objects, compare-and-swap, and the log that watches read.

use std::collections::BTreeMap;

use flaxward_types::records::{Claim, Quota, QuotaSubject, ZoneLease, ZonePlacement};
use flaxward_types::{ConfigurationItem, ItemKey, Revision, ZoneName};

/// Names one object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The lease of a zone.
    Lease(ZoneName),
    /// The slots of a zone.
    Placement(ZoneName),
    /// A quota.
    Quota(QuotaSubject),
    /// A claim.
    Claim(String),
    /// An item of configuration.
    Item(ItemKey),
}

/// What an object contains.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Of [`Key::Lease`].
    Lease(ZoneLease),
    /// Of [`Key::Placement`].
    Placement(ZonePlacement),
    /// Of [`Key::Quota`].
    Quota(Quota),
    /// Of [`Key::Claim`].
    Claim(Claim),
    /// Of [`Key::Item`].
    Item(ConfigurationItem),
}

/// One object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Revision of its last change.
    pub version: Revision,
    /// Operation of its last change.
    pub operation: u64,
    /// Version that the last change replaced.
    pub replaced: Option<Revision>,
    /// Its content.
    pub record: Record,
}

/// A collection that daemons list and watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listing {
    /// All quotas.
    Quotas,
    /// All items of configuration.
    Items,
}

impl Listing {
    /// Whether an object belongs to the collection.
    pub fn has(self, key: &Key) -> bool {
        match self {
            Self::Quotas => matches!(key, Key::Quota(_)),
            Self::Items => matches!(key, Key::Item(_)),
        }
    }
}

/// A request to the object API.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Read one object.
    Get(Key),
    /// Read a collection.
    List(Listing),
    /// Create an object (`None`) or replace the version named.
    Put(Key, Option<Revision>, Record),
    /// Remove the version named.
    Delete(Key, Revision),
}

/// Its answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// One object, if it exists.
    Object(Option<Object>),
    /// A collection at a revision.
    List(Revision, Vec<(Key, Object)>),
    /// Written at this revision.
    Written(Revision),
    /// Not written: the object is another one or is absent.
    Conflict(Option<Object>),
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Certainly not carried out.
    Unavailable,
    /// May have been carried out.
    Unknown,
}

/// One change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Its revision.
    pub revision: Revision,
    /// What changed.
    pub key: Key,
    /// Its new content, or `None` if it was removed.
    pub object: Option<Object>,
}

/// All objects and their history.
#[derive(Debug, Default)]
pub struct Store {
    revision: Revision,
    objects: BTreeMap<Key, Object>,
    log: Vec<Change>,
}

impl Store {
    /// Carries out a request.
    pub fn handle(&mut self, request: &Request, operation: u64) -> Answer {
        match request {
            Request::Get(key) => Answer::Object(self.objects.get(key).cloned()),
            Request::List(listing) => {
                let items = self.objects.iter().filter(|(key, _)| listing.has(key));
                let items = items.map(|(key, object)| (key.clone(), object.clone()));
                Answer::List(self.revision, items.collect())
            }
            Request::Put(key, expected, record) => {
                self.swap(key, *expected, Some(record.clone()), operation)
            }
            Request::Delete(key, expected) => self.swap(key, Some(*expected), None, operation),
        }
    }

    /// Settles a write whose answer was lost as the client library does: reads the object back, and
    /// writes again if that can still take effect.
    ///
    /// # Errors
    /// The outcome stays unknown when later operations have changed the object.
    pub fn settle(&mut self, request: &Request, operation: u64) -> Result<Answer, Fault> {
        let (key, expected) = match request {
            Request::Put(key, expected, _) => (key, *expected),
            Request::Delete(key, expected) => (key, Some(*expected)),
            Request::Get(_) | Request::List(_) => return Ok(self.handle(request, operation)),
        };
        let found = self.objects.get(key);
        if found.map(|object| object.version) == expected {
            return Ok(self.handle(request, operation));
        }
        match found {
            Some(object) if object.operation == operation => Ok(Answer::Written(object.version)),
            Some(object) if object.replaced == expected => Ok(Answer::Conflict(found.cloned())),
            _ => Err(Fault::Unknown),
        }
    }

    fn swap(
        &mut self,
        key: &Key,
        expected: Option<Revision>,
        record: Option<Record>,
        operation: u64,
    ) -> Answer {
        let present = self.objects.get(key);
        if present.map(|object| object.version) != expected {
            return Answer::Conflict(present.cloned());
        }
        self.revision = self.revision.next();
        let object = record.map(|record| Object {
            version: self.revision,
            operation,
            replaced: expected,
            record,
        });
        match &object {
            Some(object) => self.objects.insert(key.clone(), object.clone()),
            None => self.objects.remove(key),
        };
        self.log.push(Change {
            revision: self.revision,
            key: key.clone(),
            object,
        });
        Answer::Written(self.revision)
    }

    /// The present revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// One object.
    pub fn get(&self, key: &Key) -> Option<&Object> {
        self.objects.get(key)
    }

    /// All quotas.
    pub fn quotas(&self) -> impl Iterator<Item = &Quota> {
        self.objects
            .values()
            .filter_map(|object| match &object.record {
                Record::Quota(quota) => Some(quota),
                _ => None,
            })
    }

    /// Changes after a revision.
    pub fn changes_after(&self, revision: Revision) -> &[Change] {
        let first = self
            .log
            .partition_point(|change| change.revision <= revision);
        &self.log[first..]
    }

    /// The items of configuration as they stood at a revision.
    pub fn items_at(&self, revision: Revision) -> BTreeMap<ItemKey, (Revision, ConfigurationItem)> {
        let mut items = BTreeMap::new();
        for change in self
            .log
            .iter()
            .take_while(|change| change.revision <= revision)
        {
            let Key::Item(key) = &change.key else {
                continue;
            };
            match &change.object {
                Some(Object {
                    record: Record::Item(item),
                    ..
                }) => {
                    items.insert(key.clone(), (change.revision, item.clone()));
                }
                _ => {
                    items.remove(key);
                }
            }
        }
        items
    }
}
