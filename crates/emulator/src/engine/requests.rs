//! Accepting and ending requests, with their records.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use flaxward_types::{ArtifactId, AttemptId, BootId};

use super::faults::{Leaving, StreamPlan};
use super::prefix::prefix_digests;
use super::record::{RefusalRecord, RequestOutcome, RequestRecord};
use super::state::{Shared, State};
use super::streams::Stream;
use super::tokens::{prompt_digest, prompt_tokens};
use crate::fault::{lock, unix_ms};

/// What a request says of itself.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) attempt: AttemptId,
    pub(crate) request_id: Option<String>,
    pub(crate) artifact: ArtifactId,
    pub(crate) prompt: String,
    pub(crate) priority: u8,
    pub(crate) first_token: u32,
}

/// Why a request was refused before running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// The artifact cannot take it, or the engine is leaving.
    NotReady(&'static str),
    /// The attempt is running already; this copy of it does not run.
    AttemptRuns,
}

/// An accepted request; its end is noted when it is dropped.
pub(crate) struct AcceptedRequest {
    pub(crate) shared: Arc<Shared>,
    pub(crate) stream: Arc<Stream>,
    pub(crate) plan: StreamPlan,
    /// Prompt tokens that are not cached.
    pub(crate) prefill_tokens: u64,
    /// What becomes of it.
    pub(crate) outcome: RequestOutcome,
    attempt: AttemptId,
    boot: BootId,
    number: u64,
    first_token: u32,
}

/// Accepts a request, or refuses it before it runs.
pub(crate) fn accept(shared: &Arc<Shared>, head: &RequestHead) -> Result<AcceptedRequest, Refused> {
    let digest = prompt_digest(&head.prompt);
    let mut state = lock(&shared.state);
    if let Err(refused) = check(&mut state, head) {
        note_refusal(shared, &mut state, head, refused);
        return Err(refused);
    }
    let boot = state.holdings.boot();
    let number = state.requests_accepted;
    let stream = Stream::new(head.artifact.clone(), digest, head.first_token);
    state.streams.begin(head.attempt, Arc::clone(&stream));
    let imported = takes_over(&mut state, head, &stream);
    let prefill_tokens = if imported {
        0
    } else {
        prefill(shared, &mut state, head)
    };
    note_request(shared, &mut state, head, &stream, imported);
    let plan = state.faults.plan(&head.artifact, &shared.dice);
    Ok(AcceptedRequest {
        shared: Arc::clone(shared),
        stream,
        plan,
        prefill_tokens,
        outcome: RequestOutcome::Abandoned,
        attempt: head.attempt,
        boot,
        number,
        first_token: head.first_token,
    })
}

fn check(state: &mut State, head: &RequestHead) -> Result<(), Refused> {
    if state.faults.leaving == Leaving::Refusing {
        return Err(Refused::NotReady("the engine is leaving"));
    }
    if state.streams.has(head.attempt) {
        return Err(Refused::AttemptRuns);
    }
    let begun = state.holdings.begin_request(&head.artifact);
    begun.map_err(Refused::NotReady)
}

/// Whether an imported KV cache spares the request its prefill.
fn takes_over(state: &mut State, head: &RequestHead, stream: &Stream) -> bool {
    let Some(cache) = state.streams.take_imported(head.attempt) else {
        return false;
    };
    cache.artifact == head.artifact
        && cache.prompt_digest == stream.prompt_digest
        && cache.tokens >= head.first_token
}

/// Tokens to prefill: those of the prompt that are not cached, and those to resume after.
fn prefill(shared: &Shared, state: &mut State, head: &RequestHead) -> u64 {
    let tokens = prompt_tokens(&head.prompt) + u64::from(head.first_token);
    if !state.prefixes.is_on() {
        return tokens;
    }
    let digests = prefix_digests(&head.artifact.to_string(), &head.prompt);
    let cached = state.prefixes.use_prefixes(&digests);
    if state.faults.lose_events.strike(&shared.dice) {
        state.prefixes.lose_newest_event();
    }
    tokens.saturating_sub(cached)
}

fn note_request(
    shared: &Shared,
    state: &mut State,
    head: &RequestHead,
    stream: &Stream,
    cache_imported: bool,
) {
    let record = RequestRecord {
        number: state.requests_accepted,
        attempt: head.attempt,
        request_id: head.request_id.clone(),
        boot: state.holdings.boot(),
        artifact: head.artifact.clone(),
        prompt_digest: stream.prompt_digest.clone(),
        priority: head.priority,
        first_token: head.first_token,
        cache_imported,
        tokens: 0,
        begun_unix_ms: unix_ms(),
        ended_unix_ms: None,
        after_leaving_ms: state.after_leaving_ms(),
        outcome: RequestOutcome::Running,
    };
    state.requests_accepted += 1;
    state.requests.push_back(record);
    while state.requests.len() > shared.config.record_limit {
        state.requests.pop_front();
    }
    shared.note_load_report(state);
}

fn note_refusal(shared: &Shared, state: &mut State, head: &RequestHead, refused: Refused) {
    let reason = match refused {
        Refused::NotReady(reason) => reason,
        Refused::AttemptRuns => "the attempt runs already",
    };
    state.requests_refused += 1;
    let record = RefusalRecord {
        at_unix_ms: unix_ms(),
        attempt: head.attempt,
        request_id: head.request_id.clone(),
        artifact: head.artifact.clone(),
        reason: reason.to_owned(),
        after_leaving_ms: state.after_leaving_ms(),
    };
    state.refusals.push_back(record);
    while state.refusals.len() > shared.config.record_limit {
        state.refusals.pop_front();
    }
}

impl Drop for AcceptedRequest {
    fn drop(&mut self) {
        let shared = Arc::clone(&self.shared);
        let mut state = lock(&shared.state);
        let next_token = self.stream.next_token.load(Ordering::Acquire);
        state.streams.end(self.attempt, &self.stream);
        if let Some(record) = state.request_record(self.number) {
            record.tokens = next_token - self.first_token;
            record.ended_unix_ms = Some(unix_ms());
            record.outcome = self.outcome;
        }
        let effects = state.holdings.end_request(self.boot, &self.stream.artifact);
        shared.apply(&mut state, effects);
        shared.note_load_report(&mut state);
    }
}

impl State {
    fn request_record(&mut self, number: u64) -> Option<&mut RequestRecord> {
        let first = self.requests.front()?.number;
        let position = number.checked_sub(first)?;
        self.requests.get_mut(usize::try_from(position).ok()?)
    }
}
