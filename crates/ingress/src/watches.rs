//! Reads configuration and runners from the store and keeps them up to date.
//!
//! The coordinator watches the store, and a standby while the coordinator does not tell of it. Any other daemon
//! reads the store when one of them has told of something new that it was not told itself, and watches it while
//! all of them are silent.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::configuration::Configuration;
use flaxward_routing::membership::MembershipUpdate;
use flaxward_routing::names::RunnerId;
use flaxward_routing::runners::Runner;
use flaxward_routing::store_trust::WatchRole;
use flaxward_types::ResultCode;
use flaxward_types::time::Timestamp;
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

use crate::counters::STORE_CALLS_FAILED;
use crate::outside::{Freshness, Listing, RunnerChange, StoreError};
use crate::state::Shared;
use crate::store_word::StoreWord;

/// Longest time that the store holds a watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The same for those who watch for others.
const SHARED_WATCH_WAIT: Duration = Duration::from_millis(600);
/// Part of the time for which keys are relied on that the store holds a watch of the configuration.
const KEY_TRUST_SHARE: f64 = 0.25;
/// Time that the store holds a watch that is only to tell what has happened before.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);
/// Pause before a configuration that contradicts itself is read again.
const INVALID_PAUSE: Duration = Duration::from_secs(1);
/// Part of the bound on news for which a peer is waited for that has a newer configuration.
const PEER_PATIENCE_SHARE: f64 = 0.12;
/// Pause after changes of runners, so that several come with one call.
const RUNNERS_PAUSE: Duration = Duration::from_millis(600);
/// Pause after a change of the configuration, for the same reason.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(250);
/// Time after a failed call in which the store is read whole again and again: it may be losing its
/// history, and a watch that is begun meanwhile may hear nothing.
const CAREFUL: Duration = Duration::from_millis(2_500);
/// Pause between these reads.
const CAREFUL_PAUSE: Duration = Duration::from_millis(700);
/// Part of the bound on news for which a daemon that knows less than the coordinator waits to be told before it
/// reads the store.
const UPDATE_PATIENCE_SHARE: f64 = 0.2;
/// Answers that may be old which are asked for until one holds the version that was told.
const OLD_ANSWERS: u32 = 3;
/// Part of the bound on news between two of them.
const OLD_ANSWER_PAUSE_SHARE: f64 = 0.08;
/// First pause after a failed call of those who watch for others.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The same of all others, whose calls are many.
const FIRST_MEMBER_BACKOFF: Duration = Duration::from_millis(250);
/// Longest pause after a failed call.
const LONGEST_BACKOFF: Duration = Duration::from_millis(800);

/// Pauses between failed calls, longer each time and never alike at two daemons.
struct Backoff {
    next: Duration,
    /// Until then the store is read and not watched; see [`CAREFUL`].
    careful_until: Timestamp,
    what: &'static str,
    is_lost: bool,
}

impl Backoff {
    fn new(what: &'static str) -> Self {
        Self {
            next: FIRST_BACKOFF,
            careful_until: Timestamp::ZERO,
            what,
            is_lost: false,
        }
    }

    async fn failed(&mut self, shared: &Shared, error: &StoreError) {
        self.log_failure(shared, error);
        if !shared.store_word.borrow().watches_for_others() {
            self.next = self.next.max(FIRST_MEMBER_BACKOFF);
        }
        let pause = self.next.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next = (self.next * 2).min(LONGEST_BACKOFF);
        sleep(pause).await;
    }

    /// Pauses before the next full read, if the store is not to be watched yet.
    async fn pause_if_careful(&self, shared: &Shared) -> bool {
        let is_careful = shared.now() < self.careful_until;
        if is_careful {
            sleep(CAREFUL_PAUSE).await;
        }
        is_careful
    }

    fn log_failure(&mut self, shared: &Shared, error: &StoreError) {
        let event = if self.is_lost {
            "store-call-failed"
        } else {
            "dependency-lost"
        };
        self.is_lost = true;
        self.careful_until = shared.now() + CAREFUL;
        metrics::counter!(STORE_CALLS_FAILED.name).increment(1);
        let fields: &[(&str, &dyn std::fmt::Display)] =
            &[("dependency", &self.what), ("error", error)];
        shared.log.write(shared.now(), event, fields);
    }

    fn succeeded(&mut self, shared: &Shared) {
        self.next = FIRST_BACKOFF;
        if self.is_lost {
            let fields: &[(&str, &dyn std::fmt::Display)] = &[("dependency", &self.what)];
            shared
                .log
                .write(shared.now(), "dependency-regained", fields);
            self.is_lost = false;
        }
    }
}

/// Waits until the word of the coordinator changes or no longer stands.
async fn wait_for_word(
    shared: &Shared,
    words: &mut watch::Receiver<StoreWord>,
    stands_until: Timestamp,
) {
    tokio::select! {
        _ = words.changed() => {}
        () = sleep_until(shared.clock.instant(stands_until)) => {}
    }
}

/// How long the store holds a watch. Those who watch for others must soon notice a watch that will never be
/// answered.
fn watch_wait(word: StoreWord) -> Duration {
    if word.watches_for_others() {
        SHARED_WATCH_WAIT
    } else {
        WATCH_WAIT
    }
}

/// The same for the configuration: a daemon that relies on keys for a while must hear within a part of that time
/// that nothing has changed.
fn configuration_watch_wait(shared: &Shared, word: StoreWord) -> Duration {
    let wait = watch_wait(word);
    let trust = shared.settings.key_trust.known;
    trust.map_or(wait, |trust| wait.min(trust.mul_f64(KEY_TRUST_SHARE)))
}

/// Until when a daemon that has just started and has read something waits for the word of those who watch,
/// before it watches the store itself. Nobody may rely on what a daemon knows so soon after its start.
fn starts_until(shared: &Shared, word: StoreWord, has_read: bool) -> Option<Timestamp> {
    let ends = Timestamp::ZERO + shared.settings.news_bound;
    let waits = has_read && word.role == WatchRole::Member && shared.now() < ends;
    waits.then_some(ends)
}

/// The same for the configuration: an old answer says nothing of which keys hold now.
fn first_configuration_freshness(shared: &Shared, word: StoreWord, has_read: bool) -> Freshness {
    if shared.settings.key_trust.known.is_some() {
        return Freshness::Latest;
    }
    first_freshness(shared, word, has_read)
}

/// How new an answer must be for a daemon that has read nothing yet or, if it has, knows of nothing newer.
fn first_freshness(shared: &Shared, word: StoreWord, has_read: bool) -> Freshness {
    let is_first = !has_read && starts_until(shared, word, true).is_some();
    if is_first {
        Freshness::MayBeOld
    } else {
        Freshness::Latest
    }
}

/// Keeps the configuration up to date.
pub(crate) async fn watch_configuration(shared: Arc<Shared>) {
    let mut backoff = Backoff::new("store/configuration");
    let mut restarts = shared.store_restarts.subscribe();
    let mut words = shared.store_word.subscribe();
    let mut revision = None;
    let mut has_read = false;
    loop {
        let word = *words.borrow_and_update();
        let known = shared.configuration().map(|known| known.version);
        let stands_until = word.stands_until(shared.now());
        if let Some(until) = stands_until.or_else(|| starts_until(&shared, word, has_read)) {
            revision = None;
            if known.unwrap_or(0) >= word.configuration_version {
                wait_for_word(&shared, &mut words, until).await;
                continue;
            }
        }
        if stands_until.is_some() && ask_peers(&shared, word).await {
            continue;
        }
        let asked_at = shared.now();
        let read = match revision {
            None => read_configuration(&shared, word, has_read).await,
            Some(after) => {
                let wait = configuration_watch_wait(&shared, word);
                restarts.mark_unchanged();
                tokio::select! {
                    read = shared.store.watch_configuration(after, wait) => read.map(Answer::latest),
                    _ = restarts.changed() => {
                        revision = None;
                        continue;
                    }
                    _ = words.wait_for(|new| changes_mode(&shared, word, *new)) => continue,
                }
            }
        };
        match read {
            Ok(Answer { listing, freshness }) => {
                backoff.succeeded(&shared);
                shared.note_store_seen();
                revision = Some(listing.revision);
                has_read = true;
                let is_news = take_listing(&shared, listing);
                if freshness == Freshness::Latest {
                    confirm_configuration(&shared, asked_at);
                }
                if backoff.pause_if_careful(&shared).await {
                    revision = None;
                } else if is_news {
                    sleep(CONFIGURATION_PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                log_history_gone(&shared, "store/configuration");
                revision = None;
            }
            Err(StoreError::InvalidConfiguration(reason)) => {
                // The version before stays in force, and is the newest that can be.
                log_invalid(&shared, &reason);
                confirm_configuration(&shared, asked_at);
                revision = None;
                sleep(INVALID_PAUSE).await;
            }
            Err(error) => {
                // A watch from an old revision may miss what has changed meanwhile.
                revision = None;
                backoff.failed(&shared, &error).await;
            }
        }
    }
}

/// An answer of the store about the configuration.
struct Answer {
    listing: Listing<Configuration>,
    freshness: Freshness,
}

impl Answer {
    fn latest(listing: Listing<Configuration>) -> Self {
        Self {
            listing,
            freshness: Freshness::Latest,
        }
    }

    fn may_be_old(listing: Listing<Configuration>) -> Self {
        Self {
            listing,
            freshness: Freshness::MayBeOld,
        }
    }
}

/// Asks the daemon that has told of a newer configuration for it. Returns whether it has come.
///
/// So a daemon that the store turns away still gets each version, and a change costs the store one read and not one
/// for each daemon.
async fn ask_peers(shared: &Shared, word: StoreWord) -> bool {
    let known = || shared.configuration().map_or(0, |known| known.version);
    let patience = shared.settings.news_bound.mul_f64(PEER_PATIENCE_SHARE);
    let until = shared.clock.instant(shared.now() + patience);
    shared.configuration_wanted.notify_one();
    loop {
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if known() >= word.configuration_version {
            return true;
        }
        tokio::select! {
            () = changed => {}
            () = sleep_until(until) => return false,
        }
    }
}

/// Notes that the configuration in force here was the newest at a time.
fn confirm_configuration(shared: &Shared, at: Timestamp) {
    let mut tables = shared.tables();
    if let Some(version) = tables.configuration.as_ref().map(|known| known.version) {
        tables.configuration_age.confirmed(version, at);
    }
}

fn log_invalid(shared: &Shared, reason: &str) {
    let code = ResultCode::InvalidConfiguration.number();
    let known = shared.configuration().map_or(0, |known| known.version);
    let fields: &[(&str, &dyn std::fmt::Display)] =
        &[("code", &code), ("reason", &reason), ("in_force", &known)];
    shared
        .log
        .write(shared.now(), "configuration-rejected", fields);
}

/// Reads the configuration. If it was told which version there is, an answer that may be old is enough once it
/// holds that version; and so is any to a daemon that has just started.
async fn read_configuration(
    shared: &Shared,
    word: StoreWord,
    has_read: bool,
) -> Result<Answer, StoreError> {
    let is_told = word.stands_until(shared.now()).is_some() && word.configuration_version > 0;
    if !is_told {
        let freshness = first_configuration_freshness(shared, word, has_read);
        let listing = shared.store.configuration(freshness).await?;
        return Ok(Answer { listing, freshness });
    }
    for _ in 0..OLD_ANSWERS {
        let listing = shared.store.configuration(Freshness::MayBeOld).await?;
        let versions = listing.items.iter().map(|item| item.version);
        if versions.max() >= Some(word.configuration_version) {
            return Ok(Answer::may_be_old(listing));
        }
        let pause = shared.settings.news_bound.mul_f64(OLD_ANSWER_PAUSE_SHARE);
        let part = rand::rng().random_range(0.5..1.0);
        sleep(pause.mul_f64(part)).await;
    }
    let listing = shared.store.configuration(Freshness::Latest).await?;
    Ok(Answer::latest(listing))
}

/// Whether a watch under way is no longer what the daemon should do: the coordinator's word stands again,
/// or this daemon coordinates now.
fn changes_mode(shared: &Shared, old: StoreWord, new: StoreWord) -> bool {
    old.role != new.role || new.stands_until(shared.now()).is_some()
}

fn log_history_gone(shared: &Shared, dependency: &str) {
    let fields: &[(&str, &dyn std::fmt::Display)] = &[("dependency", &dependency)];
    shared.log.write(shared.now(), "store-history-gone", fields);
}

/// Takes in the newest configuration that the store has told.
fn take_listing(shared: &Shared, listing: Listing<Configuration>) -> bool {
    let source = format!("store@{}", listing.revision);
    let newest = listing.items.into_iter().max_by_key(|item| item.version);
    newest.is_some_and(|newest| apply_configuration(shared, newest, &source))
}

/// Puts a configuration in force, unless a newer one is. Returns whether it did.
pub(crate) fn apply_configuration(
    shared: &Shared,
    configuration: Configuration,
    source: &str,
) -> bool {
    let version = configuration.version;
    let routes = configuration.route_count();
    let mut tables = shared.tables();
    let old = tables.configuration.as_ref().map(|old| old.version);
    if old.is_some_and(|old| old >= version) {
        return false;
    }
    tables.configuration = Some(Arc::new(configuration));
    tables.configuration_age.applied(version);
    drop(tables);
    let fields: &[(&str, &dyn std::fmt::Display)] = &[
        ("version", &version),
        ("before", &old.unwrap_or(0)),
        ("routes", &routes),
        ("source", &source),
    ];
    shared
        .log
        .write(shared.now(), "configuration-applied", fields);
    shared.changed.notify_waiters();
    true
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
            match shared.store.runners(freshness).await {
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
