//! Store objects that can't be decoded. An unreadable object is ignored and does not affect others.

use std::collections::HashSet;
use std::fmt::Display;
use std::sync::Mutex;

use crate::counters::ENTRIES_UNREADABLE;
use crate::interfaces::UnreadableEntry;
use crate::state::Shared;

/// Upper bound of the revisions remembered as logged. When it is reached, the set is cleared and
/// objects may be logged again.
const MAX_REMEMBERED: usize = 1_024;

/// Kind of an unreadable object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ObjectKind {
    Runner,
    Configuration,
    Evacuation,
    Lease,
    StreamOrigins,
}

impl ObjectKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Runner => "runner",
            Self::Configuration => "configuration",
            Self::Evacuation => "evacuation",
            Self::Lease => "lease",
            Self::StreamOrigins => "stream-origins",
        }
    }
}

/// A revision of an object, as far as its name and revision can be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObjectRevision {
    kind: ObjectKind,
    name: Option<String>,
    revision: Option<u64>,
}

/// Revisions of objects already logged as unreadable.
#[derive(Debug, Default)]
pub(crate) struct UnreadableLog {
    logged: Mutex<HashSet<ObjectRevision>>,
}

impl UnreadableLog {
    /// Records a revision of an object. Returns whether it had not been recorded before.
    fn insert_new(&self, kind: ObjectKind, entry: &UnreadableEntry) -> bool {
        let Ok(mut logged) = self.logged.lock() else {
            return false;
        };
        if logged.len() >= MAX_REMEMBERED {
            logged.clear();
        }
        logged.insert(ObjectRevision {
            kind,
            name: entry.name.clone(),
            revision: entry.revision,
        })
    }
}

impl Shared {
    /// Logs and counts unreadable objects, each revision once.
    pub(crate) fn record_unreadable(&self, kind: ObjectKind, entries: &[UnreadableEntry]) {
        for entry in entries {
            if !self.unreadable.insert_new(kind, entry) {
                continue;
            }
            let kind = kind.as_str();
            metrics::counter!(ENTRIES_UNREADABLE.name, "kind" => kind).increment(1);
            let name = entry.name.as_deref().unwrap_or_default();
            let fields: &[(&str, &dyn Display)] = &[
                ("kind", &kind),
                ("name", &format!("{name:?}")),
                ("store_revision", &entry.revision.unwrap_or_default()),
                ("reason", &format!("{:?}", entry.reason)),
            ];
            self.log.write(self.now(), "entry-unreadable", fields);
        }
    }
}
