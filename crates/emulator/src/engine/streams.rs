//! Requests by attempt: cancelling them, and exporting and importing their KV cache.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};

use flaxward_types::{ArtifactId, AttemptId};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Ended streams whose KV cache can still be exported.
const MAX_ENDED: usize = 256;

/// Imported KV caches that wait for their request.
const MAX_IMPORTED: usize = 256;

const RUNNING: u8 = 0;
const CANCELLED: u8 = 1;
const CRASHED: u8 = 2;

/// Why a stream must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    Cancelled,
    Crashed,
}

/// A KV cache as it is exported and imported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KvCache {
    pub(crate) artifact: ArtifactId,
    pub(crate) prompt_digest: String,
    pub(crate) tokens: u32,
}

/// One stream, as the request and the endpoints see it.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) artifact: ArtifactId,
    pub(crate) prompt_digest: String,
    /// Index of the next token.
    pub(crate) next_token: AtomicU32,
    control: AtomicU8,
    stopped: Notify,
}

impl Stream {
    pub(crate) fn new(artifact: ArtifactId, prompt_digest: String, first_token: u32) -> Arc<Self> {
        Arc::new(Self {
            artifact,
            prompt_digest,
            next_token: AtomicU32::new(first_token),
            control: AtomicU8::new(RUNNING),
            stopped: Notify::new(),
        })
    }

    /// Why it must stop, if it must.
    pub(crate) fn stop(&self) -> Option<Stop> {
        match self.control.load(Ordering::Acquire) {
            CANCELLED => Some(Stop::Cancelled),
            CRASHED => Some(Stop::Crashed),
            _ => None,
        }
    }

    /// Returns once it must stop.
    pub(crate) async fn wait_for_stop(&self) -> Stop {
        loop {
            let notified = self.stopped.notified();
            if let Some(stop) = self.stop() {
                return stop;
            }
            notified.await;
        }
    }

    fn set(&self, control: u8) {
        self.control.store(control, Ordering::Release);
        self.stopped.notify_waiters();
    }

    fn cache(&self) -> KvCache {
        KvCache {
            artifact: self.artifact.clone(),
            prompt_digest: self.prompt_digest.clone(),
            tokens: self.next_token.load(Ordering::Acquire),
        }
    }
}

/// All streams of an engine.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    running: HashMap<AttemptId, Arc<Stream>>,
    ended: VecDeque<(AttemptId, KvCache)>,
    imported: VecDeque<(AttemptId, KvCache)>,
}

impl Streams {
    /// Whether an attempt is running.
    pub(crate) fn has(&self, attempt: AttemptId) -> bool {
        self.running.contains_key(&attempt)
    }

    pub(crate) fn begin(&mut self, attempt: AttemptId, stream: Arc<Stream>) {
        self.running.insert(attempt, stream);
    }

    /// Ends a stream, if it still is the one of its attempt.
    pub(crate) fn end(&mut self, attempt: AttemptId, stream: &Arc<Stream>) {
        let current = self.running.get(&attempt);
        if !current.is_some_and(|current| Arc::ptr_eq(current, stream)) {
            return;
        }
        self.running.remove(&attempt);
        self.ended.push_back((attempt, stream.cache()));
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }

    /// Cancels a stream; false if there is none.
    pub(crate) fn cancel(&self, attempt: AttemptId) -> bool {
        let stream = self.running.get(&attempt);
        if let Some(stream) = stream {
            stream.set(CANCELLED);
        }
        stream.is_some()
    }

    /// Breaks all streams: the engine has crashed.
    pub(crate) fn crash(&mut self) {
        for (_, stream) in self.running.drain() {
            stream.set(CRASHED);
        }
        self.ended.clear();
        self.imported.clear();
    }

    /// The KV cache of a running or lately ended stream.
    pub(crate) fn export(&self, attempt: AttemptId) -> Option<KvCache> {
        if let Some(stream) = self.running.get(&attempt) {
            return Some(stream.cache());
        }
        let mut ended = self.ended.iter().rev();
        let found = ended.find(|(named, _)| *named == attempt);
        found.map(|(_, cache)| cache.clone())
    }

    /// Keeps a KV cache for the next request of an attempt.
    pub(crate) fn import(&mut self, attempt: AttemptId, cache: KvCache) {
        self.imported.push_back((attempt, cache));
        if self.imported.len() > MAX_IMPORTED {
            self.imported.pop_front();
        }
    }

    /// Takes the KV cache that was imported for an attempt.
    pub(crate) fn take_imported(&mut self, attempt: AttemptId) -> Option<KvCache> {
        let position = self
            .imported
            .iter()
            .position(|(named, _)| *named == attempt)?;
        self.imported.remove(position).map(|(_, cache)| cache)
    }
}
