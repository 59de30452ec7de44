//! In-memory store with fault injection.

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
use flaxward_routing::stream_origins::backup::StoredOrigins;
use tokio::sync::Notify;

const FIRST_REVISION: StoreRevision = StoreRevision {
    era: StoreEra::FIRST,
    number: 1,
};

#[derive(Clone, Default)]
struct Contents {
    configuration: Option<Configuration>,
    runners: Vec<Runner>,
    removed: Vec<RunnerName>,
    unreadable: Vec<UnreadableEntry>,
    evacuated: Vec<Zone>,
    revision: u64,
    /// Number of times that the store has been restored from a backup.
    restores: u64,
    /// The record and its revision number.
    lease: Option<(LeaseRecord, u64)>,
    stream_origins: Vec<StoredOrigins>,
}

impl Contents {
    fn lease(&self) -> Option<StoredLease> {
        let (record, number) = self.lease.clone()?;
        let revision = StoreRevision {
            number,
            ..self.revision()
        };
        Some(StoredLease { record, revision })
    }

    fn revision(&self) -> StoreRevision {
        StoreRevision {
            era: StoreEra::new(self.restores),
            number: self.revision,
        }
    }
}

/// Contents of the store at some time.
pub struct StoreBackup(Contents);

/// One daemon's connection to the store.
#[derive(Default)]
pub struct MemoryStore {
    contents: Arc<Mutex<Contents>>,
    changed: Arc<Notify>,
    /// Calls get no answer, and watches started meanwhile never get one.
    pub is_silent: AtomicBool,
    /// Delay in ms between a change of the lease and its answer.
    pub lease_delay_ms: AtomicU64,
    /// Number of watches started and lists read.
    pub reads: AtomicU64,
    /// Number of configuration reads that required the latest version.
    pub latest_reads: AtomicU64,
    /// Configuration that is returned to reads that allow a stale answer.
    pub stale_configuration: Mutex<Option<Configuration>>,
    /// Lists of runners announce further pages that never arrive.
    pub withholds_pages: AtomicBool,
    /// Lists of runners are not answered.
    pub withholds_lists: AtomicBool,
    /// The lease can't be created.
    pub refuses_leases: Arc<AtomicBool>,
    watches_cut: Notify,
    history_start: AtomicU64,
}

impl MemoryStore {
    /// Another daemon's connection to the same store.
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
        let previous = std::mem::replace(&mut contents.runners, runners);
        let previous = previous.into_iter().map(|it| it.id.name().clone());
        contents
            .removed
            .extend(previous.filter(|name| !names.contains(name)));
        drop(contents);
        self.changed.notify_waiters();
    }

    /// Replaces the entry of a runner with an unreadable one, and adds an unreadable entry without a name.
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

    pub fn set_evacuated_zones(&self, zones: &[&str]) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        contents.evacuated = zones.iter().map(|zone| Zone::new(zone)).collect();
        drop(contents);
        self.changed.notify_waiters();
    }

    /// Makes a change without notifying watches, discards the history, and cuts the watches. Watches from an older revision
    /// are never answered from then on.
    pub fn change_and_lose_history(&self, configuration: Configuration) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        contents.configuration = Some(configuration);
        self.history_start.store(contents.revision, Relaxed);
        drop(contents);
        self.watches_cut.notify_waiters();
    }

    /// Backs up the present contents of the store.
    pub fn backup(&self) -> StoreBackup {
        StoreBackup(self.contents.lock().unwrap().clone())
    }

    /// Restores the store from a backup. Later writes are lost, and their revisions are issued again.
    pub fn restore(&self, backup: &StoreBackup) {
        let mut contents = self.contents.lock().unwrap();
        let restores = contents.restores + 1;
        *contents = backup.0.clone();
        contents.restores = restores;
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
        let is_discarded = after.number < self.history_start.load(Relaxed);
        if is_discarded || self.is_silent.load(Relaxed) {
            return std::future::pending().await;
        }
        let changed = self.changed.notified();
        match self.contents.lock().unwrap().revision.cmp(&after.number) {
            Ordering::Greater => return Ok(()),
            // The revision is not part of this history.
            Ordering::Less => return Err(StoreError::HistoryGone),
            Ordering::Equal => {}
        }
        tokio::select! {
            _ = tokio::time::timeout(wait, changed) => {}
            () = self.watches_cut.notified() => return Err(StoreError::NoAnswer("cut".to_owned())),
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
        let stale = self.stale_configuration.lock().unwrap().clone();
        match (freshness, stale) {
            (Freshness::MayBeStale, Some(stale)) => {
                return Ok(Listing::new(vec![stale], FIRST_REVISION));
            }
            (Freshness::MayBeStale, None) => {}
            (Freshness::Latest, _) => {
                self.latest_reads.fetch_add(1, Relaxed);
            }
        }
        let contents = self.contents.lock().unwrap();
        Ok(Listing::new(
            contents.configuration.iter().cloned().collect(),
            contents.revision(),
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
        if self.withholds_lists.load(Relaxed) {
            std::future::pending::<()>().await;
        }
        let contents = self.contents.lock().unwrap();
        Ok(Listing {
            items: contents.runners.clone(),
            revision: contents.revision(),
            unreadable: contents.unreadable.clone(),
        })
    }

    async fn runners_by_page(
        &self,
        freshness: Freshness,
        take_page: &PageHandler<'_>,
    ) -> Result<Listing<Runner>, StoreError> {
        let listing = self.runners(freshness).await?;
        if self.withholds_pages.load(Relaxed) {
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
        let removed = self.contents.lock().unwrap().removed.clone();
        let removed = removed.into_iter().map(RunnerChange::Gone);
        let unreadable = listing.unreadable.into_iter();
        let without_entry = removed.chain(unreadable.map(RunnerChange::Unreadable));
        let present = listing.items.into_iter().map(Box::new);
        Ok(Listing::new(
            without_entry
                .chain(present.map(RunnerChange::Present))
                .collect(),
            listing.revision,
        ))
    }

    async fn evacuated_zones(&self) -> Result<Listing<Zone>, StoreError> {
        self.answer_list().await?;
        let contents = self.contents.lock().unwrap();
        Ok(Listing::new(
            contents.evacuated.clone(),
            contents.revision(),
        ))
    }

    async fn watch_evacuation_changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        self.wait(after, wait).await?;
        let revision = self.contents.lock().unwrap().revision();
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
            None => LeaseLookup::Missing(contents.revision().era),
        })
    }

    async fn create_lease(&self, record: &LeaseRecord) -> Result<Changed, StoreError> {
        self.answer().await?;
        if self.refuses_leases.load(Relaxed) {
            return Err(StoreError::Refused(503));
        }
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
                None => return Ok(Changed::Missing(contents.revision().era)),
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

    async fn stream_origins(&self) -> Result<Listing<StoredOrigins>, StoreError> {
        self.answer().await?;
        let contents = self.contents.lock().unwrap();
        let items = contents.stream_origins.clone();
        Ok(Listing::new(items, contents.revision()))
    }

    async fn create_stream_origins(&self, stored: &StoredOrigins) -> Result<(), StoreError> {
        self.answer().await?;
        let mut contents = self.contents.lock().unwrap();
        contents.stream_origins.push(stored.clone());
        Ok(())
    }

    async fn delete_stream_origins(&self, name: &str) -> Result<(), StoreError> {
        self.answer().await?;
        let mut contents = self.contents.lock().unwrap();
        contents.stream_origins.retain(|it| it.name != name);
        Ok(())
    }
}
