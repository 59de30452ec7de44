//! What the ingress needs of the outside: a surface for requests, a store, and the control interface
//! of model runners. An adapter implements these traits; it translates and decides nothing.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use flaxward_routing::configuration::Configuration;
use flaxward_routing::lease::{LeaseRecord, StoredLease, UnreadableLease};
use flaxward_routing::names::{RunnerId, RunnerName, TenantName, Zone};
use flaxward_routing::notices::RunnerNotice;
use flaxward_routing::placement::{Order, OrderAnswer, RunnerReport};
use flaxward_routing::request::RequestProfile;
use flaxward_routing::revision::{StoreEra, StoreRevision};
use flaxward_routing::runners::Runner;
use flaxward_routing::tenants::KeyDigest;
use http::{HeaderMap, StatusCode};
use thiserror::Error;

/// Why a request cannot be passed on as it is.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProfileError {
    /// A header is missing that every request must have.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// A header cannot be read.
    #[error("the header {0} cannot be read")]
    Malformed(&'static str),
}

/// What the ingress sets in a request that it passes on.
#[derive(Clone, Debug)]
pub struct Passage<'a> {
    /// What is left of the time.
    pub time_left: Duration,
    /// The runner for which the request is meant.
    pub runner: &'a RunnerId,
    /// Rank of the request.
    pub priority: u8,
    /// The tenant whose key the request carried.
    pub tenant: Option<&'a TenantName>,
    /// The last event that the client has, if a stream is continued.
    pub last_event: Option<&'a str>,
    /// The version of the weights that a continued stream has begun with.
    pub weights_version: Option<u64>,
}

/// What the head of a runner's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadKind {
    /// The answer of a run to this request.
    Answer,
    /// The runner says that it did not run the request.
    NotRun,
    /// Another runner has the address, or this one does not hold what the request needs.
    Misdirected,
    /// No answer of the runner to this request.
    Foreign,
}

/// How requests and answers look on the wire.
pub trait Surface: Send + Sync {
    /// Path at which the daemon is asked whether it is ready.
    fn ready_path(&self) -> &str;

    /// Reads what the ingress has to know of a request.
    ///
    /// # Errors
    /// Fails if a header is missing or malformed.
    fn profile(&self, headers: &HeaderMap) -> Result<RequestProfile, ProfileError>;

    /// Digest of the key that a request carries, if it carries just one.
    fn key(&self, headers: &HeaderMap) -> Option<KeyDigest>;

    /// Removes the key, which no runner may learn.
    fn remove_key(&self, headers: &mut HeaderMap);

    /// Sets the headers of a request that is passed on, and removes those that only the ingress sets.
    fn prepare(&self, headers: &mut HeaderMap, passage: &Passage<'_>);

    /// Tells what the head of an answer to the request with this identity says.
    fn judge(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> HeadKind;

    /// Tells what the head of an answer says of the runner that gave it, besides the answer. What cannot be read counts as
    /// not said.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> RunnerNotice;

    /// The version of the weights that an answer was made with.
    fn weights_version(&self, headers: &HeaderMap) -> Option<u64>;
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No answer, so the call may have been done or may still be done.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The store refused; nothing was done.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The history since the revision is gone.
    #[error("the history is gone")]
    HistoryGone,
    /// The answer cannot be read.
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
    /// The configuration contradicts itself; the version before stays in force.
    #[error("the configuration contradicts itself: {0}")]
    InvalidConfiguration(String),
    /// The lease object is there, and somebody has written something into it that can't be read.
    #[error("the lease cannot be read: {reason}")]
    UnreadableLease {
        /// What of it can be read.
        lease: UnreadableLease,
        /// Why the rest cannot.
        reason: String,
    },
}

/// How new an answer of the store must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It holds every change that was acknowledged before the call.
    Latest,
    /// It may be seconds old, and costs the store less.
    MayBeOld,
}

/// All objects of a kind at a revision, or changes of them up to it.
#[derive(Clone, Debug)]
pub struct Listing<Item> {
    /// The objects.
    pub items: Vec<Item>,
    /// The store's revision.
    pub revision: StoreRevision,
    /// The objects that can't be read. They name nothing; the others hold.
    pub unreadable: Vec<UnreadableEntry>,
}

impl<Item> Listing<Item> {
    /// A list of objects that could all be read.
    pub fn new(items: Vec<Item>, revision: StoreRevision) -> Self {
        Self {
            items,
            revision,
            unreadable: Vec::new(),
        }
    }
}

/// An object of the store that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// Its name, if that can be read.
    pub name: Option<String>,
    /// The store's revision at which it last changed, if that can be read.
    pub revision: Option<u64>,
    /// Why it can't be read, for the log.
    pub reason: String,
}

/// What a watch has told of which only that something has changed counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watched {
    /// Something has changed.
    pub has_changes: bool,
    /// The store's revision up to which that is told.
    pub revision: StoreRevision,
}

/// A change of one runner in the list.
#[derive(Clone, Debug, PartialEq)]
pub enum RunnerChange {
    /// It is there, as follows.
    Present(Box<Runner>),
    /// It is gone, in whichever life.
    Gone(RunnerName),
    /// Its entry can't be read any more, so it is as if gone.
    Unreadable(UnreadableEntry),
}

/// What a read of the lease came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReading {
    /// The object as it is.
    Found(StoredLease),
    /// There is no such object, in an answer of this era.
    Missing(StoreEra),
}

/// What a conditional change came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changed {
    /// It was made.
    Made(StoredLease),
    /// The object is another one by now.
    Conflict(StoredLease),
    /// There is no such object, in an answer of this era.
    Missing(StoreEra),
}

/// What takes a page of a list that is read page by page.
pub type TakePage<'a> = dyn Fn(&[Runner]) + Send + Sync + 'a;

/// The store, which holds configuration, runners and the lease.
#[async_trait]
pub trait ClusterStore: Send + Sync {
    /// The configuration in force, if there is one.
    async fn configuration(
        &self,
        freshness: Freshness,
    ) -> Result<Listing<Configuration>, StoreError>;

    /// Waits for changes of the configuration after a revision, for some time at most.
    async fn watch_configuration(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Listing<Configuration>, StoreError>;

    /// All runners. The revision is one at which none of the list's changes was missing.
    async fn runners(&self, freshness: Freshness) -> Result<Listing<Runner>, StoreError>;

    /// The same, if the store tells them page by page. Each page but the last is handed over as it comes.
    async fn runners_by_page(
        &self,
        freshness: Freshness,
        _take_page: &TakePage<'_>,
    ) -> Result<Listing<Runner>, StoreError> {
        self.runners(freshness).await
    }

    /// Waits for changes of the runners after a revision, for some time at most.
    async fn watch_runners(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Listing<RunnerChange>, StoreError>;

    /// The zones that are evacuated.
    async fn evacuated_zones(&self) -> Result<Listing<Zone>, StoreError>;

    /// Waits for a change of the evacuated zones after a revision, for some time at most.
    async fn evacuations_changed(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Watched, StoreError>;

    /// The lease.
    async fn lease(&self) -> Result<LeaseReading, StoreError>;

    /// Makes the lease object.
    async fn create_lease(&self, record: &LeaseRecord) -> Result<Changed, StoreError>;

    /// Replaces the lease if its revision is this one.
    async fn replace_lease(
        &self,
        record: &LeaseRecord,
        revision: StoreRevision,
    ) -> Result<Changed, StoreError>;
}

/// An order with what makes it safe.
#[derive(Clone, Debug)]
pub struct FencedOrder<'a> {
    /// The runner for which it is meant.
    pub runner: &'a RunnerId,
    /// The order.
    pub order: &'a Order,
    /// The order count that the runner must have.
    pub expected_count: u64,
    /// Name of the coordinator.
    pub holder: &'a str,
    /// Its term.
    pub fence: u64,
}

/// The control interface of model runners.
#[async_trait]
pub trait RunnerControl: Send + Sync {
    /// The report of the runner at an address, which names the life that reports; `None` if none could be had.
    async fn report(&self, address: SocketAddr) -> Option<RunnerReport>;

    /// Gives an order. Another life of the same name may take it if it has the same order count.
    async fn order(&self, address: SocketAddr, order: &FencedOrder<'_>) -> OrderAnswer;
}
