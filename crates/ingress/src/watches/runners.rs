//! Keeps the list of runners up to date.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::membership::MembershipUpdate;
use flaxward_routing::names::{RunnerId, RunnerName};
use flaxward_routing::revision::StoreRevision;
use flaxward_routing::runners::{Runner, RunnerTable};
use tokio::time::{sleep, timeout};

use super::{
    Backoff, changes_mode, first_freshness, goes_on, log_history_gone, starts_until, wait_for_word,
    watch_wait,
};
use crate::interfaces::{Listing, RunnerChange, StoreError};
use crate::pool::RunnersByAddress;
use crate::spells::take_in_spells;
use crate::state::Shared;
use crate::store_word::StoreWord;
use crate::unreadable::ObjectKind;

/// Time that the store holds a watch that is only to tell what has happened before.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);
/// Time for which a list that was read waits for that watch, which the store may never answer.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after changes of runners, so that several come with one call.
const RUNNERS_PAUSE: Duration = Duration::from_millis(600);
/// The same where requests to cold runners are bounded: what is sent until they are known to be cold counts too.
const COLD_RUNNERS_PAUSE: Duration = Duration::from_millis(300);
/// Part of the bound on news for which a daemon that knows less than the coordinator waits to be told before it
/// reads the store.
const UPDATE_PATIENCE_SHARE: f64 = 0.2;

/// The pause after changes of runners: a short one where word of cold runners must soon be heard.
fn runners_pause(shared: &Shared) -> Duration {
    match shared.settings.cold_runners {
        Some(_) => COLD_RUNNERS_PAUSE,
        None => RUNNERS_PAUSE,
    }
}

/// Keeps the list of runners up to date.
pub(crate) async fn watch_runners(shared: Arc<Shared>) {
    let mut backoff = Backoff::new("store/runners");
    let mut restarts = shared.store_restarts.subscribe();
    let mut words = shared.store_word.subscribe();
    let mut revision = None;
    let mut behind_since = None;
    loop {
        let word = *words.borrow_and_update();
        let known = shared.known_runners();
        let stands_until = word.stands_until(shared.now());
        let stands_until = stands_until.or_else(|| starts_until(&shared, word, known.is_some()));
        if let (Some(until), Some(known)) = (stands_until, known) {
            revision = None;
            if known >= word.membership_revision {
                behind_since = None;
                wait_for_word(&shared, &mut words, until).await;
                continue;
            }
            let patience = shared.settings.news_bound.mul_f64(UPDATE_PATIENCE_SHARE);
            let read_at = *behind_since.get_or_insert(shared.now()) + patience;
            let read_at = read_at.max(starts_until(&shared, word, true).unwrap_or(read_at));
            if shared.now() < read_at {
                wait_for_word(&shared, &mut words, until.min(read_at)).await;
                continue;
            }
        }
        behind_since = None;
        let Some(after) = revision else {
            let freshness = first_freshness(&shared, word, known.is_some());
            let cause = ReadCause::of(word, known, stands_until.is_some());
            let take_page = |page: &[Runner]| take_first_pages(&shared, page);
            match shared.store.runners_by_page(freshness, &take_page).await {
                Ok(listing) => {
                    backoff.succeeded(&shared);
                    shared.note_store_seen();
                    shared.note_store_era(listing.revision);
                    if word.watches_for_others() {
                        catch_up(&shared, listing.revision).await;
                    }
                    revision = Some(listing.revision);
                    replace_runners(&shared, listing, cause);
                    if backoff.pause_if_careful(&shared).await {
                        revision = None;
                    }
                }
                Err(error) => backoff.failed(&shared, &error).await,
            }
            continue;
        };
        restarts.mark_unchanged();
        let read = tokio::select! {
            read = shared.store.watch_runners(after, watch_wait(word)) => read,
            _ = restarts.changed() => {
                revision = None;
                continue;
            }
            _ = words.wait_for(|new| changes_mode(&shared, word, *new)) => continue,
        };
        match read {
            Ok(changes) if !goes_on(after, changes.revision) => {
                shared.note_store_era(changes.revision);
                log_history_gone(&shared, "store/runners");
                revision = None;
            }
            Ok(changes) => {
                backoff.succeeded(&shared);
                shared.note_store_seen();
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

/// Hears of all changes since those that are known, up to a list. A coordinator tells them to the others;
/// from a list alone it would not know of runners that came and went.
async fn catch_up(shared: &Shared, listed_at: StoreRevision) {
    let Some(known) = shared.known_runners().map(StoreRevision::from_ordered) else {
        return;
    };
    if known.number >= listed_at.number || !goes_on(known, listed_at) {
        return;
    }
    let watch = shared.store.watch_runners(known, CATCH_UP_WAIT);
    if let Ok(Ok(changes)) = timeout(CATCH_UP_TIMEOUT, watch).await
        && changes.revision >= listed_at
        && goes_on(listed_at, changes.revision)
    {
        apply_changes(shared, changes);
    }
}

/// Why the list of runners was read, for the log.
#[derive(Clone, Copy, Debug)]
enum ReadCause {
    /// The daemon knew no list.
    Start,
    /// It was told of changes that it was not told.
    Behind,
    /// It watches for others.
    Watcher,
    /// Nobody who watches was heard.
    Silence,
}

impl ReadCause {
    fn of(word: StoreWord, known: Option<u64>, stands: bool) -> Self {
        match known {
            None => Self::Start,
            Some(_) if stands => Self::Behind,
            Some(_) if word.watches_for_others() => Self::Watcher,
            Some(_) => Self::Silence,
        }
    }
}

/// Takes in a part of the list while this daemon knows no list yet. In a large fleet all daemons may have started at
/// once, and the store's link takes seconds to tell each of them all pages; with the first one a daemon serves.
fn take_first_pages(shared: &Shared, page: &[Runner]) {
    let mut tables = shared.tables();
    if tables.runners_known {
        return;
    }
    for runner in page {
        tables.runners.insert(runner.clone(), runner.revision);
    }
    tables.has_first_page = true;
    drop(tables);
    take_in_spells(shared);
    let fields: &[(&str, &dyn std::fmt::Display)] = &[("runners", &page.len())];
    shared
        .log
        .write(shared.now(), "runners-page-listed", fields);
    shared.changed.notify_waiters();
}

fn replace_runners(shared: &Shared, listing: Listing<Runner>, cause: ReadCause) {
    let count = listing.items.len();
    shared.note_unreadable(ObjectKind::Runner, &listing.unreadable);
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
    tables.forget_gone_runners();
    drop(tables);
    let fields: &[(&str, &dyn std::fmt::Display)] = &[
        ("runners", &count),
        ("unreadable", &listing.unreadable.len()),
        ("store_revision", &listing.revision),
        ("cause", &format!("{cause:?}")),
    ];
    shared.log.write(shared.now(), "runners-listed", fields);
    take_in_spells(shared);
    after_change(shared);
}

/// Takes in changes of runners that another daemon has told, which knows them up to a revision. Returns false if
/// changes before them are missing.
pub(crate) fn take_membership(shared: &Shared, update: MembershipUpdate, known: u64) -> bool {
    let revision = update.until;
    let mut tables = shared.tables();
    let Some(changed) = tables.runners.update(update) else {
        return false;
    };
    tables.runners_known |= tables.runners.revision() >= known.max(1);
    if changed.is_empty() {
        return true;
    }
    tables.forget_gone_runners();
    drop(tables);
    for runner in &changed {
        log_runner(shared, runner, revision, "coordinator");
    }
    take_in_spells(shared);
    after_change(shared);
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
        let is_news = tables.runners.membership_revision() != before;
        drop(tables);
        if is_news {
            log_runner(shared, &id, revision, "store");
        }
    }
    shared.note_unreadable(ObjectKind::Runner, &unreadable);
    // Members may be told of all up to this revision from now on, so spells must be noted before.
    take_in_spells(shared);
    let mut tables = shared.tables();
    tables.runners.set_revision(revision);
    tables.forget_gone_runners();
    drop(tables);
    after_change(shared);
}

/// Removes a runner. Returns the life of it that was known.
fn remove_runner(runners: &mut RunnerTable, name: RunnerName, revision: u64) -> RunnerId {
    let known = runners.get_by_name(&name).map(|runner| runner.id.clone());
    runners.remove(&name, revision);
    known.unwrap_or_else(|| RunnerId::from_parts(name, None))
}

/// Logs that a life of a runner has come, gone, or begun to drain, and who has told it.
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

/// Wakes those who wait, and closes connections to lives of runners that are over.
fn after_change(shared: &Shared) {
    let mut lives = RunnersByAddress::new();
    for runner in shared.tables().runners.iter() {
        let at_address = lives.entry(runner.address).or_default();
        at_address.insert(runner.id.clone());
    }
    shared.pool.sweep(lives);
    shared.changed.notify_waiters();
}
