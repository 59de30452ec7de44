//! Keeps the configuration up to date: from those who have told of a newer version, or else from the store.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::configuration::Configuration;
use flaxward_types::ResultCode;
use flaxward_types::time::Timestamp;
use rand::RngExt;
use tokio::time::{sleep, sleep_until};

use super::{
    Backoff, changes_mode, first_freshness, goes_on, log_history_gone, starts_until, wait_for_word,
    watch_wait,
};
use crate::interfaces::{Freshness, Listing, StoreError};
use crate::state::Shared;
use crate::store_word::StoreWord;
use crate::unreadable::ObjectKind;

/// Part of the time for which keys are relied on that the store holds a watch of the configuration.
const KEY_TRUST_SHARE: f64 = 0.25;
/// Pause before a configuration that contradicts itself is read again.
const INVALID_PAUSE: Duration = Duration::from_secs(1);
/// Part of the bound on news for which a peer is waited for that has a newer configuration.
const PEER_PATIENCE_SHARE: f64 = 0.12;
/// Pause after a change of the configuration, for the same reason.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(250);
/// Answers that may be old which are asked for until one holds the version that was told.
const OLD_ANSWERS: u32 = 3;
/// Part of the bound on news between two of them.
const OLD_ANSWER_PAUSE_SHARE: f64 = 0.08;

/// The same for the configuration: a daemon that relies on keys for a while must hear within a part of that time
/// that nothing has changed.
fn configuration_watch_wait(shared: &Shared, word: StoreWord) -> Duration {
    let wait = watch_wait(word);
    let trust = shared.settings.key_trust.known;
    trust.map_or(wait, |trust| wait.min(trust.mul_f64(KEY_TRUST_SHARE)))
}

/// The same for the configuration: an old answer says nothing of which keys hold now.
fn first_configuration_freshness(shared: &Shared, word: StoreWord, has_read: bool) -> Freshness {
    if shared.settings.key_trust.known.is_some() {
        return Freshness::Latest;
    }
    first_freshness(shared, word, has_read)
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
        let follows =
            |answer: &Answer| revision.is_none_or(|after| goes_on(after, answer.listing.revision));
        match read {
            Ok(answer) if !follows(&answer) => {
                shared.note_store_era(answer.listing.revision);
                log_history_gone(&shared, "store/configuration");
                revision = None;
            }
            Ok(Answer { listing, freshness }) => {
                backoff.succeeded(&shared);
                shared.note_store_seen();
                shared.note_store_era(listing.revision);
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
            freshness: Freshness::MayBeStale,
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
        let listing = shared.store.configuration(Freshness::MayBeStale).await?;
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

/// Takes in the newest configuration that the store has told.
fn take_listing(shared: &Shared, listing: Listing<Configuration>) -> bool {
    let source = format!("store@{}", listing.revision);
    shared.note_unreadable(ObjectKind::Configuration, &listing.unreadable);
    let newest = listing.items.into_iter().max_by_key(|item| item.version);
    let is_news = newest.is_some_and(|newest| apply_configuration(shared, newest, &source));
    for entry in listing.unreadable.iter().filter(|it| it.name.is_some()) {
        log_invalid(shared, &entry.reason);
    }
    is_news
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
