//! What the ingress has to know of a request to choose a runner.

use std::time::Duration;

use crate::names::{AdapterName, ModelName, ServiceName, Unit};

/// One part of a prompt; equal parts have equal identities.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A request as the surface has parsed it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// The caller's identity of this request.
    pub id: String,
    /// What the caller waits, if it told.
    pub deadline: Option<Duration>,
    /// Model and adapter, if the request names them.
    pub model: Option<(ModelName, Option<AdapterName>)>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that may come out, at most.
    pub output_tokens: u32,
    /// The parts of the prompt, in order. The last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has, if it continues a stream.
    pub last_event: Option<String>,
}

impl RequestProfile {
    /// What the request needs at a runner of a service.
    pub fn unit(&self, service: &ServiceName) -> Option<Unit> {
        let (model, adapter) = self.model.as_ref()?;
        Some(Unit {
            service: service.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
        })
    }

    /// Tokens of the prompt and of the longest answer, if the request names any.
    pub fn tokens(&self) -> Option<(u32, u32)> {
        let tokens = (self.prompt_tokens, self.output_tokens);
        (tokens != (0, 0)).then_some(tokens)
    }

    /// A number that is equal for requests which share all but the last part of their prompt.
    pub fn affinity(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        let mut bytes = Vec::with_capacity(shared * size_of::<u64>());
        for part in &self.parts[..shared] {
            bytes.extend_from_slice(&part.id.to_le_bytes());
        }
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}
