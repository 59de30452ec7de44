//! Keeps the list of runners up to date.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::membership::MembershipUpdate;
use flaxward_routing::names::{RunnerId, RunnerName};
use flaxward_routing::revision::StoreRevision;
use flaxward_routing::runners::{Runner, RunnerTable};
use tokio::time::{sleep, timeout};

use super::{
    Backoff, changes_mode, first_freshness, is_same_era, log_history_gone, probe_until,
    startup_until, wait_for_report, watch_wait,
};
use crate::cold_periods::update_cold_periods;
use crate::interfaces::{Listing, RunnerChange, StoreError};
use crate::pool::RunnersByAddress;
use crate::state::Shared;
use crate::store_report::StoreReport;
use crate::unreadable::ObjectKind;

/// Duration of a watch that only reads past changes.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);
/// Timeout for that watch, which the store may never answer.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after changes of runners, so that several changes come with one call.
const RUNNERS_PAUSE: Duration = Duration::from_millis(600);
/// Pause where requests to cold runners are limited: requests sent before a runner is known to be
/// cold count towards its limit.
const COLD_RUNNERS_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a daemon that is behind the coordinator waits for an update before it reads the
/// store, as a share of the propagation bound.
const UPDATE_TIMEOUT_SHARE: f64 = 0.2;

/// The pause after changes of runners: shorter where cold runners must be known early.
fn runners_pause(shared: &Shared) -> Duration {
    match shared.settings.cold_runners {
        Some(_) => COLD_RUNNERS_PAUSE,
        None => RUNNERS_PAUSE,
    }
}

/// Keeps the list of runners up to date.
pub(crate) async fn watch_runners(shared: Arc<Shared>) {
    let mut backoff = Backoff::new("store/runners");
    let mut restarts = shared.watch_restarts.subscribe();
    let mut reports = shared.store_report.subscribe();
    let mut revision = None;
    let mut behind_since = None;
    loop {
        let report = *reports.borrow_and_update();
        let known = shared.known_runners_revision();
        let valid_until = report.valid_until(shared.now());
        let valid_until = valid_until
            .or_else(|| startup_until(&shared, report, known.is_some()))
            .or_else(|| probe_until(&shared, report));
        if let (Some(until), Some(known)) = (valid_until, known) {
            revision = None;
            if known >= report.membership_revision {
                behind_since = None;
                wait_for_report(&shared, &mut reports, until).await;
                continue;
            }
            let max_wait = shared
                .settings
                .propagation_bound
                .mul_f64(UPDATE_TIMEOUT_SHARE);
            let read_at = *behind_since.get_or_insert(shared.now()) + max_wait;
            let read_at = read_at.max(startup_until(&shared, report, true).unwrap_or(read_at));
            if shared.now() < read_at {
                wait_for_report(&shared, &mut reports, until.min(read_at)).await;
                continue;
            }
        }
        behind_since = None;
        let Some(after) = revision else {
            let freshness = first_freshness(&shared, report, known.is_some());
            let cause = ReadCause::of(report, known, valid_until.is_some());
            let take_page = |page: &[Runner]| insert_first_pages(&shared, page);
            match shared.store.runners_by_page(freshness, &take_page).await {
                Ok(listing) => {
                    backoff.succeeded(&shared);
                    shared.record_store_answer();
                    shared.record_store_era(listing.revision);
                    if report.watches_for_others() {
                        catch_up(&shared, listing.revision).await;
                    }
                    revision = Some(listing.revision);
                    replace_runners(&shared, listing, cause);
                    if backoff.pause_before_relist(&shared).await {
                        revision = None;
                    }
                }
                Err(error) => backoff.failed(&shared, &error).await,
            }
            continue;
        };
        restarts.mark_unchanged();
        let read = tokio::select! {
            read = shared.store.watch_runners(after, watch_wait(report)) => read,
            _ = restarts.changed() => {
                revision = None;
                continue;
            }
            _ = reports.wait_for(|new| changes_mode(&shared, report, *new)) => continue,
        };
        match read {
            Ok(changes) if !is_same_era(after, changes.revision) => {
                shared.record_store_era(changes.revision);
                log_history_gone(&shared, "store/runners");
                revision = None;
            }
            Ok(changes) => {
                backoff.succeeded(&shared);
                shared.record_store_answer();
                revision = Some(changes.revision);
                if !changes.items.is_empty() {
                    apply_changes(&shared, changes);
                    sleep(runners_pause(&shared)).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                log_history_gone(&shared, "store/runners");
                revision = None;
            }
            Err(error) => {
                revision = None;
                backoff.failed(&shared, &error).await;
            }
        }
    }
}

/// Applies all changes between the known revision and a list. A coordinator announces them to the
/// others; the list alone would not show runners that were added and removed in between.
async fn catch_up(shared: &Shared, listed_at: StoreRevision) {
    let Some(known) = shared
        .known_runners_revision()
        .map(StoreRevision::from_ordered)
    else {
        return;
    };
    if known.number >= listed_at.number || !is_same_era(known, listed_at) {
        return;
    }
    let watch = shared.store.watch_runners(known, CATCH_UP_WAIT);
    if let Ok(Ok(changes)) = timeout(CATCH_UP_TIMEOUT, watch).await
        && changes.revision >= listed_at
        && is_same_era(listed_at, changes.revision)
    {
        apply_changes(shared, changes);
    }
}

/// Why the list of runners was read, for the log.
#[derive(Clone, Copy, Debug)]
enum ReadCause {
    /// The daemon had no list.
    Start,
    /// A newer revision was announced whose changes it did not receive.
    Behind,
    /// It watches the store for others.
    Watcher,
    /// No daemon that watches the store has sent a report.
    Silence,
}

impl ReadCause {
    fn of(report: StoreReport, known: Option<u64>, is_report_valid: bool) -> Self {
        match known {
            None => Self::Start,
            Some(_) if is_report_valid => Self::Behind,
            Some(_) if report.watches_for_others() => Self::Watcher,
            Some(_) => Self::Silence,
        }
    }
}

/// Applies a page of the list while this daemon has no list yet. In a large fleet all daemons may
/// have started at once, and the store's link takes seconds to send all pages to each; a daemon can
/// serve with the first page.
fn insert_first_pages(shared: &Shared, page: &[Runner]) {
    let mut tables = shared.tables();
    if tables.runners_known {
        return;
    }
    for runner in page {
        tables.runners.insert(runner.clone(), runner.revision);
    }
    tables.has_first_page = true;
    drop(tables);
    update_cold_periods(shared);
    let fields: &[(&str, &dyn std::fmt::Display)] = &[("runners", &page.len())];
    shared
        .log
        .write(shared.now(), "runners-page-listed", fields);
    shared.changed.notify_waiters();
}

fn replace_runners(shared: &Shared, listing: Listing<Runner>, cause: ReadCause) {
    let count = listing.items.len();
    shared.record_unreadable(ObjectKind::Runner, &listing.unreadable);
    let revision = listing.revision.ordered();
    let is_incomplete = shared.is_store_incomplete();
    let mut tables = shared.tables();
    if is_incomplete {
        tables
            .runners
            .replace_after_restore(listing.items, revision);
    } else {
        tables.runners.replace(listing.items, revision);
    }
    tables.runners_known = true;
    tables.note_software_versions(shared.now());
    tables.drop_removed_runners();
    drop(tables);
    let fields: &[(&str, &dyn std::fmt::Display)] = &[
        ("runners", &count),
        ("unreadable", &listing.unreadable.len()),
        ("store_revision", &listing.revision),
        ("cause", &format!("{cause:?}")),
    ];
    shared.log.write(shared.now(), "runners-listed", fields);
    update_cold_periods(shared);
    notify_change(shared);
}

/// Applies changes of runners from another daemon, which knows them up to revision `known`. Returns
/// false if earlier changes are missing.
pub(crate) fn apply_membership(shared: &Shared, update: MembershipUpdate, known: u64) -> bool {
    let revision = update.until;
    let mut tables = shared.tables();
    let Some(changed) = tables.runners.update(update) else {
        return false;
    };
    tables.runners_known |= tables.runners.revision() >= known.max(1);
    tables.note_software_versions(shared.now());
    if changed.is_empty() {
        return true;
    }
    tables.drop_removed_runners();
    drop(tables);
    for runner in &changed {
        log_runner(shared, runner, revision, "coordinator");
    }
    update_cold_periods(shared);
    notify_change(shared);
    true
}

fn apply_changes(shared: &Shared, changes: Listing<RunnerChange>) {
    let revision = changes.revision.ordered();
    let mut unreadable = changes.unreadable;
    for change in changes.items {
        let mut tables = shared.tables();
        let before = tables.runners.membership_revision();
        let id = match change {
            RunnerChange::Present(runner) => {
                let id = runner.id.clone();
                // A later change of the same batch may remove it again.
                let version = runner.software_version.as_ref();
                tables
                    .stream_origins
                    .note_listed(&runner.service, version, shared.now());
                tables.runners.insert(*runner, revision);
                id
            }
            RunnerChange::Gone(name) => remove_runner(&mut tables.runners, name, revision),
            RunnerChange::Unreadable(entry) => {
                let name = entry.name.clone();
                unreadable.push(entry);
                let Some(name) = name else {
                    continue;
                };
                remove_runner(&mut tables.runners, RunnerName::new(&name), revision)
            }
        };
        let is_changed = tables.runners.membership_revision() != before;
        drop(tables);
        if is_changed {
            log_runner(shared, &id, revision, "store");
        }
    }
    shared.record_unreadable(ObjectKind::Runner, &unreadable);
    // Once the revision is set, members may be sent all changes up to it, so cold periods must be
    // recorded first.
    update_cold_periods(shared);
    let mut tables = shared.tables();
    tables.runners.set_revision(revision);
    tables.note_software_versions(shared.now());
    tables.drop_removed_runners();
    drop(tables);
    notify_change(shared);
}

/// Removes a runner. Returns the incarnation that was known.
fn remove_runner(runners: &mut RunnerTable, name: RunnerName, revision: u64) -> RunnerId {
    let known = runners.get_by_name(&name).map(|runner| runner.id.clone());
    runners.remove(&name, revision);
    known.unwrap_or_else(|| RunnerId::from_parts(name, None))
}

/// Logs that an incarnation of a runner was added, removed, or is draining, and the source of the
/// change.
fn log_runner(shared: &Shared, id: &RunnerId, revision: u64, source: &str) {
    let runner = shared.tables().runners.get(id).cloned();
    let state = match &runner {
        None => "gone",
        Some(runner) if runner.draining => "draining",
        Some(_) => "ready",
    };
    let service = runner.as_ref().map_or("", |it| it.service.as_str());
    let zone = runner.as_ref().map_or("", |it| it.zone.as_str());
    let fields: &[(&str, &dyn std::fmt::Display)] = &[
        ("runner", id),
        ("service", &service),
        ("zone", &zone),
        ("state", &state),
        ("store_revision", &StoreRevision::from_ordered(revision)),
        ("told_by", &source),
    ];
    shared.log.write(shared.now(), "runner-state", fields);
}

/// Wakes waiting requests, and closes connections to ended incarnations of runners.
fn notify_change(shared: &Shared) {
    let mut incarnations = RunnersByAddress::new();
    for runner in shared.tables().runners.iter() {
        let at_address = incarnations.entry(runner.address).or_default();
        at_address.insert(runner.id.clone());
    }
    shared.pool.sweep(incarnations);
    shared.changed.notify_waiters();
}
