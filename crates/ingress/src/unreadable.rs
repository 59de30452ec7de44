//! Objects of the store that can't be read. Whoever wrote them, each names nothing to use, and costs itself alone.

use std::collections::HashSet;
use std::fmt::Display;
use std::sync::Mutex;

use crate::counters::ENTRIES_UNREADABLE;
use crate::interfaces::UnreadableEntry;
use crate::state::Shared;

/// Revisions of objects that are remembered as logged, at most. Once there are more, all are forgotten and may be logged again.
const MAX_REMEMBERED: usize = 1_024;

/// What an object that can't be read should have told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ObjectKind {
    Runner,
    Configuration,
    Evacuation,
    Lease,
}

impl ObjectKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Runner => "runner",
            Self::Configuration => "configuration",
            Self::Evacuation => "evacuation",
            Self::Lease => "lease",
        }
    }
}

/// A revision of an object, as far as its name and its revision can be read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObjectRevision {
    kind: ObjectKind,
    name: Option<String>,
    revision: Option<u64>,
}

/// The revisions of objects that were logged as unreadable.
#[derive(Debug, Default)]
pub(crate) struct UnreadableLog {
    logged: Mutex<HashSet<ObjectRevision>>,
}

impl UnreadableLog {
    /// Whether this revision of an object was not noted before.
    fn is_news(&self, kind: ObjectKind, entry: &UnreadableEntry) -> bool {
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
    /// Logs and counts objects that can't be read, each revision of one once.
    pub(crate) fn note_unreadable(&self, kind: ObjectKind, entries: &[UnreadableEntry]) {
        for entry in entries {
            if !self.unreadable.is_news(kind, entry) {
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
