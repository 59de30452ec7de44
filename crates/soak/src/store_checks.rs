//! What daemons asked the store to change.

use std::path::Path;
use std::time::UNIX_EPOCH;

use anyhow::Context;
use flaxward_platform_stand_in::{ChangeRequest, Condition};

use crate::fleet::Fleet;

/// File with a line for each change, in the folder of the logs.
const CHANGES_FILE: &str = "store-changes.log";

/// Checks that each change says which state of the object it replaces: without that, two daemons could hold the lease.
pub(crate) fn check(fleet: &Fleet) {
    let changes = fleet.store.change_requests();
    let is_unconditional = |it: &&ChangeRequest| it.condition == Condition::Unconditional;
    for change in changes.iter().filter(is_unconditional) {
        let line = line(change);
        fleet.violation(format!("CONDITION a change names no state: {line}"));
    }
}

/// Writes a line for each change.
///
/// # Errors
/// Fails if the file cannot be written.
pub(crate) fn write_log(fleet: &Fleet, folder: &Path) -> anyhow::Result<()> {
    let changes = fleet.store.change_requests();
    let lines: String = changes.iter().map(|it| line(it) + "\n").collect();
    let path = folder.join(CHANGES_FILE);
    std::fs::write(&path, lines).with_context(|| format!("cannot write {}", path.display()))
}

fn line(change: &ChangeRequest) -> String {
    let at_ms = change.at.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (kind, name) = &change.object;
    let condition = match change.condition {
        Condition::Absent => "absent".to_owned(),
        Condition::Revision(revision) => revision.to_string(),
        Condition::Unconditional => "none".to_owned(),
    };
    let made = change
        .new_revision
        .map_or("refused".to_owned(), |it| it.to_string());
    let (at_ms, era, spec) = (at_ms.as_millis(), change.era, &change.spec);
    let fields = ["holder", "incarnation", "term", "renewals", "released"];
    let fields = fields
        .map(|field| format!("{field}={}", spec[field]))
        .join(" ");
    format!(
        "at_ms={at_ms} object={kind}/{name} era={era} condition={condition} made={made} {fields}"
    )
}
