//! Stand-in for the object API, after the conventions of Kubernetes for custom resources.

mod endpoints;
mod store;
mod watch;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::sync::watch as signal;

pub use store::{ObjectWrite, WriteAction};

use crate::fault::{Dice, Strikes, lock};
use crate::http::{Listening, Refusing};
use store::Store;

/// Group and version that stand in each path.
pub const API_PATH: &str = "apis/flaxward.example/v1";

/// Annotation that holds the operation of the last change.
pub const OPERATION_ANNOTATION: &str = "flaxward.example/operation";

/// How an object API stand-in is made.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectApiConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Changes kept for watches; older ones are compacted.
    pub history: usize,
    /// Time between bookmarks of a watch, in milliseconds.
    pub bookmark_ms: u64,
    /// Writes kept in the record; older ones are dropped.
    pub record_limit: usize,
    /// Seed of its randomness.
    pub seed: u64,
}

impl Default for ObjectApiConfig {
    fn default() -> Self {
        Self {
            listen: crate::platform::ANY_PORT,
            history: 10_000,
            bookmark_ms: 1000,
            record_limit: 1_000_000,
            seed: 1,
        }
    }
}

/// Faults of an object API stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectApiFaults {
    /// Everything is answered with 503, and watches break off.
    pub down: bool,
    /// Every call waits so many milliseconds before it is looked at.
    pub delay_ms: u64,
    /// Writes that are carried out and whose connection is then closed without an answer.
    pub lose_answers: Strikes,
    /// Writes whose connection is closed without an answer and that are carried out
    /// [`Self::late_ms`] later.
    pub late_writes: Strikes,
    /// How late, in milliseconds.
    pub late_ms: u64,
    /// Collections (plural names) that lost answers and late writes are limited to; all if empty.
    pub collections: BTreeSet<String>,
    /// Zones whose clients are cut off: connections are closed without an answer or an effect.
    pub cut_zones: BTreeSet<String>,
}

/// What all calls share.
pub(crate) struct Shared {
    pub(crate) store: Mutex<Store>,
    pub(crate) faults: Mutex<ObjectApiFaults>,
    pub(crate) dice: Dice,
    pub(crate) bookmark_ms: u64,
    /// Changes whenever the store or the faults do.
    pub(crate) changed: signal::Sender<()>,
}

/// A running object API stand-in.
pub struct ObjectApiServer {
    shared: Arc<Shared>,
    listening: Listening,
}

impl ObjectApiServer {
    /// Starts one.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(config: ObjectApiConfig) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            store: Mutex::new(Store::new(config.history, config.record_limit)),
            faults: Mutex::default(),
            dice: Dice::new(config.seed),
            bookmark_ms: config.bookmark_ms.max(1),
            changed: signal::Sender::new(()),
        });
        let router = endpoints::router(&shared);
        let listening = Listening::start(config.listen, router, Refusing::default()).await?;
        Ok(Self { shared, listening })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// The base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Changes the faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut ObjectApiFaults)) {
        change(&mut lock(&self.shared.faults));
        self.shared.changed.send_replace(());
    }

    /// Forgets the kept changes, so that older revisions can no longer be watched from.
    pub fn compact(&self) {
        lock(&self.shared.store).compact();
        self.shared.changed.send_replace(());
    }

    /// The writes that were carried out, in order.
    pub fn record(&self) -> Vec<ObjectWrite> {
        lock(&self.shared.store).record()
    }

    /// Stops it; open connections break.
    pub async fn shutdown(self) {
        self.listening.stop().await;
    }
}
