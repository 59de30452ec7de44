//! Continuous batching on one machine: prompts are processed one after the other, tokens of all
//! running requests are generated together, each further request slowing all.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use flaxward_types::{ArtifactId, Timestamp};

use super::cache::Cache;
use crate::scenario::EngineSpec;

/// Position of a call in the experiment's calls.
pub type CallIndex = usize;

/// A request in the engine.
#[derive(Clone, Debug)]
pub struct BatchRequest {
    /// The call.
    pub call: CallIndex,
    /// What it runs on.
    pub artifact: ArtifactId,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt shared with other calls of the artifact.
    pub prefix_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
}

/// All requests of one machine.
#[derive(Clone, Debug)]
pub struct Batch {
    spec: EngineSpec,
    prefixes: Cache<ArtifactId>,
    waiting: VecDeque<BatchRequest>,
    prefilling: BTreeMap<CallIndex, BatchRequest>,
    prefill_free: Timestamp,
    /// Tokens generated for a request that has run since the beginning.
    progress: f64,
    advanced: Timestamp,
    /// Requests by the progress at which they are done, in thousandths of a token.
    running: BTreeSet<(u64, CallIndex)>,
}

impl Batch {
    /// An empty one.
    pub fn new(spec: EngineSpec, now: Timestamp) -> Self {
        Self {
            prefixes: Cache::new(spec.prefix_cache_tokens),
            spec,
            waiting: VecDeque::new(),
            prefilling: BTreeMap::new(),
            prefill_free: now,
            progress: 0.0,
            advanced: now,
            running: BTreeSet::new(),
        }
    }

    /// Requests in the engine.
    pub fn outstanding(&self) -> usize {
        self.waiting.len() + self.prefilling.len() + self.running.len()
    }

    /// Takes a request in.
    pub fn push(&mut self, request: BatchRequest) {
        self.waiting.push_back(request);
    }

    /// Moves waiting requests on while there is room. Returns them with the times at which their
    /// prompts are processed, which is when their first tokens come.
    pub fn admit(&mut self, now: Timestamp) -> Vec<(CallIndex, Timestamp)> {
        let mut admitted = Vec::new();
        while self.prefilling.len() + self.running.len() < self.spec.batch_limit {
            let Some(request) = self.waiting.pop_front() else {
                break;
            };
            let cached = self
                .prefixes
                .touch(&request.artifact, u64::from(request.prefix_tokens));
            let known = if cached { request.prefix_tokens } else { 0 };
            let tokens = f64::from(request.prompt_tokens - known);
            let takes = Duration::from_secs_f64(tokens / self.spec.prefill_tokens_per_second);
            self.prefill_free = self.prefill_free.max(now) + takes;
            admitted.push((request.call, self.prefill_free));
            self.prefilling.insert(request.call, request);
        }
        admitted
    }

    /// The prompt of a request is processed: it joins those that generate tokens.
    pub fn prefilled(&mut self, call: CallIndex, now: Timestamp) -> bool {
        self.advance(now);
        let Some(request) = self.prefilling.remove(&call) else {
            return false;
        };
        let done = self.progress + f64::from(request.output_tokens.saturating_sub(1));
        self.running.insert((thousandths(done), call));
        true
    }

    /// Takes out the requests that are done.
    pub fn take_done(&mut self, now: Timestamp) -> Vec<CallIndex> {
        self.advance(now);
        let progress = thousandths(self.progress);
        let mut done = Vec::new();
        while let Some(&(at, call)) = self.running.first() {
            if at > progress {
                break;
            }
            self.running.pop_first();
            done.push(call);
        }
        done
    }

    /// When the next request is done if nothing changes.
    pub fn next_done(&self) -> Option<Timestamp> {
        let (at, _) = self.running.first()?;
        let left = at.saturating_sub(thousandths(self.progress));
        #[allow(clippy::cast_precision_loss)] // far below 2^52
        let millis = (left as f64 / 1_000.0 * self.millis_per_token()).ceil();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive and small
        let millis = (millis as u64).max(u64::from(left > 0));
        Some(self.advanced + Duration::from_millis(millis))
    }

    #[allow(clippy::cast_precision_loss)] // few requests
    fn millis_per_token(&self) -> f64 {
        let others = self.running.len().saturating_sub(1) as f64;
        let base = self.spec.decode_base.as_secs_f64();
        (base + others * self.spec.decode_per_request.as_secs_f64()) * 1_000.0
    }

    #[allow(clippy::cast_precision_loss)] // durations stay far below 2^52 ms
    fn advance(&mut self, now: Timestamp) {
        let millis = now.0.saturating_sub(self.advanced.0) as f64;
        if !self.running.is_empty() {
            self.progress += millis / self.millis_per_token();
        }
        self.advanced = self.advanced.max(now);
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive, far below 2^63
fn thousandths(tokens: f64) -> u64 {
    (tokens * 1_000.0).round() as u64
}
