//! A store in memory, with faults.

use std::cmp::Ordering;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use flaxward_ingress::interfaces::{
    Changed, ClusterStore, Freshness, LeaseLookup, Listing, PageHandler, RunnerChange, StoreError,
    UnreadableEntry, Watched,
};
use flaxward_routing::configuration::Configuration;
use flaxward_routing::lease::{LeaseRecord, StoredLease};
use flaxward_routing::names::{RunnerName, Zone};
use flaxward_routing::revision::{StoreEra, StoreRevision};
use flaxward_routing::runners::Runner;
use tokio::sync::Notify;

const FIRST: StoreRevision = StoreRevision {
    era: StoreEra::FIRST,
    number: 1,
};

#[derive(Clone, Default)]
struct Contents {
    configuration: Option<Configuration>,
    runners: Vec<Runner>,
    gone: Vec<RunnerName>,
    unreadable: Vec<UnreadableEntry>,
    evacuated: Vec<Zone>,
    revision: u64,
    /// How often the store has come back from a copy.
    eras: u64,
    /// The record and its number.
    lease: Option<(LeaseRecord, u64)>,
}

impl Contents {
    fn lease(&self) -> Option<StoredLease> {
        let (record, number) = self.lease.clone()?;
        let revision = StoreRevision {
            number,
            ..self.at()
        };
        Some(StoredLease { record, revision })
    }

    fn at(&self) -> StoreRevision {
        StoreRevision {
            era: StoreEra::new(self.eras),
            number: self.revision,
        }
    }
}

/// What the store held at some time.
pub struct StoreCopy(Contents);

/// One daemon's way to the store.
#[derive(Default)]
pub struct MemoryStore {
    contents: Arc<Mutex<Contents>>,
    changed: Arc<Notify>,
    /// Calls get no answer, and watches begun meanwhile never get one.
    pub is_silent: AtomicBool,
    /// Time after which a change of the lease, once made, is answered, in ms.
    pub lease_delay_ms: AtomicU64,
    /// Watches begun and lists read.
    pub reads: AtomicU64,
    /// Configurations read that had to be the latest.
    pub latest_reads: AtomicU64,
    /// Answers that may be old hold this configuration.
    pub old_configuration: Mutex<Option<Configuration>>,
    /// Lists of runners have further pages that never come.
    pub lacks_pages: AtomicBool,
    /// Lists of runners are not answered.
    pub lacks_lists: AtomicBool,
    cut: Notify,
    history_from: AtomicU64,
}

impl MemoryStore {
    /// Another daemon's way to the same store.
    pub fn share(&self) -> Self {
        Self {
            contents: self.contents.clone(),
            changed: self.changed.clone(),
            ..Self::default()
        }
    }

    pub fn set_configuration(&self, configuration: Configuration) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        contents.configuration = Some(configuration);
        drop(contents);
        self.changed.notify_waiters();
    }

    pub fn set_runners(&self, runners: Vec<Runner>) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let names: Vec<RunnerName> = runners.iter().map(|it| it.id.name().clone()).collect();
        let before = std::mem::replace(&mut contents.runners, runners);
        let before = before.into_iter().map(|it| it.id.name().clone());
        contents
            .gone
            .extend(before.filter(|name| !names.contains(name)));
        drop(contents);
        self.changed.notify_waiters();
    }

    /// Somebody writes an entry that can't be read over that of a runner, and one without a name.
    pub fn overwrite_runner(&self, name: &str) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        contents.runners.retain(|it| it.id.as_str() != name);
        let entry = |name: Option<&str>| UnreadableEntry {
            name: name.map(str::to_owned),
            revision: Some(revision),
            reason: "no slots".to_owned(),
        };
        contents.unreadable.extend([entry(Some(name)), entry(None)]);
        drop(contents);
        self.changed.notify_waiters();
    }

    pub fn set_evacuated(&self, zones: &[&str]) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        contents.evacuated = zones.iter().map(|zone| Zone::new(zone)).collect();
        drop(contents);
        self.changed.notify_waiters();
    }

    /// Makes a change of which watches hear nothing, forgets the history, and cuts the watches. One from
    /// an older revision hears nothing any more.
    pub fn change_and_lose_history(&self, configuration: Configuration) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        contents.configuration = Some(configuration);
        self.history_from.store(contents.revision, Relaxed);
        drop(contents);
        self.cut.notify_waiters();
    }

    /// What the store holds now.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.contents.lock().unwrap().clone())
    }

    /// The store comes back from a copy. What was written since is lost, and its revisions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut contents = self.contents.lock().unwrap();
        let eras = contents.eras + 1;
        *contents = copy.0.clone();
        contents.eras = eras;
        drop(contents);
        self.changed.notify_waiters();
    }

    async fn answer_list(&self) -> Result<(), StoreError> {
        self.reads.fetch_add(1, Relaxed);
        self.answer().await
    }

    async fn answer(&self) -> Result<(), StoreError> {
        if self.is_silent.load(Relaxed) {
            tokio::time::sleep(Duration::from_millis(200)).await;
            return Err(StoreError::NoAnswer("silent".to_owned()));
        }
        Ok(())
    }

    async fn wait(&self, after: StoreRevision, wait: Duration) -> Result<(), StoreError> {
        self.reads.fetch_add(1, Relaxed);
        let is_forgotten = after.number < self.history_from.load(Relaxed);
        if is_forgotten || self.is_silent.load(Relaxed) {
            return std::future::pending().await;
        }
        let changed = self.changed.notified();
        match self.contents.lock().unwrap().revision.cmp(&after.number) {
            Ordering::Greater => return Ok(()),
            // That revision is none of this history.
            Ordering::Less => return Err(StoreError::HistoryGone),
            Ordering::Equal => {}
        }
        tokio::select! {
            _ = tokio::time::timeout(wait, changed) => {}
            () = self.cut.notified() => return Err(StoreError::NoAnswer("cut".to_owned())),
        }
        if self.is_silent.load(Relaxed) {
            std::future::pending::<()>().await;
        }
        Ok(())
    }
}

#[async_trait]
impl ClusterStore for MemoryStore {
    async fn configuration(
        &self,
        freshness: Freshness,
    ) -> Result<Listing<Configuration>, StoreError> {
        self.answer_list().await?;
        let old = self.old_configuration.lock().unwrap().clone();
        match (freshness, old) {
            (Freshness::MayBeStale, Some(old)) => {
                return Ok(Listing::new(vec![old], FIRST));
            }
            (Freshness::MayBeStale, None) => {}
            (Freshness::Latest, _) => {
                self.latest_reads.fetch_add(1, Relaxed);
            }
        }
        let contents = self.contents.lock().unwrap();
        Ok(Listing::new(
            contents.configuration.iter().cloned().collect(),
            contents.at(),
        ))
    }

    async fn watch_configuration(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Listing<Configuration>, StoreError> {
        self.wait(after, wait).await?;
        self.configuration(Freshness::Latest).await
    }

    async fn runners(&self, _freshness: Freshness) -> Result<Listing<Runner>, StoreError> {
        self.answer_list().await?;
        if self.lacks_lists.load(Relaxed) {
            std::future::pending::<()>().await;
        }
        let contents = self.contents.lock().unwrap();
        Ok(Listing {
            items: contents.runners.clone(),
            revision: contents.at(),
            unreadable: contents.unreadable.clone(),
        })
    }

    async fn runners_by_page(
        &self,
        freshness: Freshness,
        take_page: &PageHandler<'_>,
    ) -> Result<Listing<Runner>, StoreError> {
        let listing = self.runners(freshness).await?;
        if self.lacks_pages.load(Relaxed) {
            take_page(&listing.items);
            std::future::pending::<()>().await;
        }
        Ok(listing)
    }

    async fn watch_runners(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Listing<RunnerChange>, StoreError> {
        self.wait(after, wait).await?;
        let listing = self.runners(Freshness::Latest).await?;
        let gone = self.contents.lock().unwrap().gone.clone();
        let gone = gone.into_iter().map(RunnerChange::Gone);
        let unreadable = listing.unreadable.into_iter();
        let odd = gone.chain(unreadable.map(RunnerChange::Unreadable));
        let present = listing.items.into_iter().map(Box::new);
        Ok(Listing::new(
            odd.chain(present.map(RunnerChange::Present)).collect(),
            listing.revision,
        ))
    }

    async fn evacuated_zones(&self) -> Result<Listing<Zone>, StoreError> {
        self.answer_list().await?;
        let contents = self.contents.lock().unwrap();
        Ok(Listing::new(contents.evacuated.clone(), contents.at()))
    }

    async fn watch_evacuation_changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        self.wait(after, wait).await?;
        let revision = self.contents.lock().unwrap().at();
        Ok(Watched {
            has_changes: revision > after,
            revision,
        })
    }

    async fn lease(&self) -> Result<LeaseLookup, StoreError> {
        self.answer().await?;
        let contents = self.contents.lock().unwrap();
        Ok(match contents.lease() {
            Some(lease) => LeaseLookup::Found(lease),
            None => LeaseLookup::Missing(contents.at().era),
        })
    }

    async fn create_lease(&self, record: &LeaseRecord) -> Result<Changed, StoreError> {
        self.answer().await?;
        let mut contents = self.contents.lock().unwrap();
        if let Some(lease) = contents.lease() {
            return Ok(Changed::Conflict(lease));
        }
        contents.lease = Some((record.clone(), 1));
        Ok(Changed::Made(contents.lease().unwrap()))
    }

    async fn replace_lease(
        &self,
        record: &LeaseRecord,
        revision: StoreRevision,
    ) -> Result<Changed, StoreError> {
        self.answer().await?;
        let lease = {
            let mut contents = self.contents.lock().unwrap();
            match contents.lease() {
                None => return Ok(Changed::Missing(contents.at().era)),
                Some(lease) if lease.revision.number != revision.number => {
                    return Ok(Changed::Conflict(lease));
                }
                Some(_) => {}
            }
            contents.lease = Some((record.clone(), revision.number + 1));
            contents.lease().unwrap()
        };
        let delay = self.lease_delay_ms.load(Relaxed);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        Ok(Changed::Made(lease))
    }
}
