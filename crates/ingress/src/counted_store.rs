//! Counts calls to the store by purpose and outcome. Each call puts load on the operators' store,
//! and the sum alone does not show which kind of call grows with the fleet.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use flaxward_routing::configuration::Configuration;
use flaxward_routing::lease::LeaseRecord;
use flaxward_routing::names::Zone;
use flaxward_routing::revision::StoreRevision;
use flaxward_routing::runners::Runner;
use flaxward_routing::stream_origins::backup::StoredOrigins;

use crate::counters::STORE_CALLS;
use crate::interfaces::{
    Changed, ClusterStore, Freshness, LeaseLookup, Listing, PageHandler, RunnerChange, StoreError,
    Watched,
};

/// A store whose calls are counted.
pub(crate) struct CountedStore(Arc<dyn ClusterStore>);

impl CountedStore {
    /// Counts the calls to a store.
    pub(crate) fn new(store: Arc<dyn ClusterStore>) -> Self {
        Self(store)
    }
}

/// Counts a completed call.
fn counted<Answer>(
    call: &'static str,
    answer: Result<Answer, StoreError>,
) -> Result<Answer, StoreError> {
    let outcome = match &answer {
        Ok(_) => "answered",
        Err(StoreError::NoAnswer(_)) => "no-answer",
        Err(StoreError::Refused(_)) => "refused",
        Err(StoreError::HistoryGone) => "history-gone",
        Err(
            StoreError::Malformed(_)
            | StoreError::InvalidConfiguration(_)
            | StoreError::UnreadableLease { .. },
        ) => "unusable",
    };
    metrics::counter!(STORE_CALLS.name, "call" => call, "outcome" => outcome).increment(1);
    answer
}

#[async_trait]
impl ClusterStore for CountedStore {
    async fn configuration(
        &self,
        freshness: Freshness,
    ) -> Result<Listing<Configuration>, StoreError> {
        counted("configuration", self.0.configuration(freshness).await)
    }

    async fn watch_configuration(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Listing<Configuration>, StoreError> {
        let answer = self.0.watch_configuration(after, wait).await;
        counted("watch-configuration", answer)
    }

    async fn runners(&self, freshness: Freshness) -> Result<Listing<Runner>, StoreError> {
        counted("runners", self.0.runners(freshness).await)
    }

    async fn runners_by_page(
        &self,
        freshness: Freshness,
        take_page: &PageHandler<'_>,
    ) -> Result<Listing<Runner>, StoreError> {
        counted(
            "runners",
            self.0.runners_by_page(freshness, take_page).await,
        )
    }

    async fn watch_runners(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Listing<RunnerChange>, StoreError> {
        counted("watch-runners", self.0.watch_runners(after, wait).await)
    }

    async fn evacuated_zones(&self) -> Result<Listing<Zone>, StoreError> {
        counted("evacuations", self.0.evacuated_zones().await)
    }

    async fn watch_evacuation_changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        let answer = self.0.watch_evacuation_changes(after, wait).await;
        counted("watch-evacuations", answer)
    }

    async fn lease(&self) -> Result<LeaseLookup, StoreError> {
        counted("lease", self.0.lease().await)
    }

    async fn create_lease(&self, record: &LeaseRecord) -> Result<Changed, StoreError> {
        counted("create-lease", self.0.create_lease(record).await)
    }

    async fn replace_lease(
        &self,
        record: &LeaseRecord,
        revision: StoreRevision,
    ) -> Result<Changed, StoreError> {
        let answer = self.0.replace_lease(record, revision).await;
        counted("replace-lease", answer)
    }

    async fn stream_origins(&self) -> Result<Listing<StoredOrigins>, StoreError> {
        counted("stream-origins", self.0.stream_origins().await)
    }

    async fn create_stream_origins(&self, stored: &StoredOrigins) -> Result<(), StoreError> {
        let answer = self.0.create_stream_origins(stored).await;
        counted("create-stream-origins", answer)
    }

    async fn delete_stream_origins(&self, name: &str) -> Result<(), StoreError> {
        let answer = self.0.delete_stream_origins(name).await;
        counted("delete-stream-origins", answer)
    }
}
