//! Keeps the list of runners up to date.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::membership::MembershipUpdate;
use flaxward_routing::names::RunnerId;
use flaxward_routing::runners::Runner;
use tokio::time::sleep;

use super::{
    Backoff, changes_mode, first_freshness, log_history_gone, starts_until, wait_for_word,
    watch_wait,
};
use crate::outside::{Listing, RunnerChange, StoreError};
use crate::state::Shared;
use crate::store_word::StoreWord;

/// Time that the store holds a watch that is only to tell what has happened before.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);
/// Pause after changes of runners, so that several come with one call.
const RUNNERS_PAUSE: Duration = Duration::from_millis(600);
/// Part of the bound on news for which a daemon that knows less than the coordinator waits to be told before it
/// reads the store.
const UPDATE_PATIENCE_SHARE: f64 = 0.2;

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
            Ok(changes) => {
                backoff.succeeded(&shared);
                shared.note_store_seen();
                revision = Some(changes.revision);
                if !changes.items.is_empty() {
                    apply_changes(&shared, changes);
                    sleep(RUNNERS_PAUSE).await;
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
async fn catch_up(shared: &Shared, listed_at: u64) {
    let Some(known) = shared.known_runners().filter(|&known| known < listed_at) else {
        return;
    };
    let changes = shared.store.watch_runners(known, CATCH_UP_WAIT).await;
    if let Ok(changes) = changes
        && changes.revision >= listed_at
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
    let fields: &[(&str, &dyn std::fmt::Display)] = &[("runners", &page.len())];
    shared
        .log
        .write(shared.now(), "runners-page-listed", fields);
    shared.changed.notify_waiters();
}

fn replace_runners(shared: &Shared, listing: Listing<Runner>, cause: ReadCause) {
    let count = listing.items.len();
    let mut tables = shared.tables();
    tables.runners.replace(listing.items, listing.revision);
    tables.runners_known = true;
    tables.forget_gone_runners();
    drop(tables);
    let fields: &[(&str, &dyn std::fmt::Display)] = &[
        ("runners", &count),
        ("store_revision", &listing.revision),
        ("cause", &format!("{cause:?}")),
    ];
    shared.log.write(shared.now(), "runners-listed", fields);
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
    after_change(shared);
    true
}

fn apply_changes(shared: &Shared, changes: Listing<RunnerChange>) {
    let revision = changes.revision;
    for change in changes.items {
        let id = match &change {
            RunnerChange::Present(runner) => runner.id.clone(),
            RunnerChange::Gone(id) => id.clone(),
        };
        let mut tables = shared.tables();
        let before = tables.runners.membership_revision();
        match change {
            RunnerChange::Present(runner) => tables.runners.insert(*runner, revision),
            RunnerChange::Gone(id) => tables.runners.remove(&id, revision),
        }
        let is_news = tables.runners.membership_revision() != before;
        drop(tables);
        if is_news {
            log_runner(shared, &id, revision, "store");
        }
    }
    let mut tables = shared.tables();
    tables.runners.set_revision(revision);
    tables.forget_gone_runners();
    drop(tables);
    after_change(shared);
}

/// Logs that a runner has come, gone, or begun to drain, and who has told it.
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
        ("store_revision", &revision),
        ("told_by", &source),
    ];
    shared.log.write(shared.now(), "runner-state", fields);
}

/// Wakes those who wait, and closes connections to runners that are gone.
fn after_change(shared: &Shared) {
    let addresses: std::collections::HashSet<std::net::SocketAddr> = shared
        .tables()
        .runners
        .iter()
        .map(|runner| runner.address)
        .collect();
    shared.pool.sweep(|address| addresses.contains(address));
    shared.changed.notify_waiters();
}
