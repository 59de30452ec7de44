//! Properties of a request that the selection of a runner depends on.

use std::time::Duration;

use crate::names::{AdapterName, ModelName, ServiceName, Unit};

/// One part of a prompt; equal parts have equal ids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A request as parsed by the API layer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// Request id given by the caller.
    pub id: String,
    /// Deadline given by the caller, if any.
    pub deadline: Option<Duration>,
    /// Model and adapter, if the request names them.
    pub model: Option<(ModelName, Option<AdapterName>)>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// The parts of the prompt, in order. The last part is specific to this request.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event: Option<String>,
    /// Id of the request that brought the first event of the stream, if it resumes a stream.
    pub resumes: Option<String>,
}

impl RequestProfile {
    /// The unit that a runner of a service must have loaded for the request, if any.
    pub fn unit(&self, service: &ServiceName) -> Option<Unit> {
        let (model, adapter) = self.model.as_ref()?;
        Some(Unit {
            service: service.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
        })
    }

    /// Number of prompt tokens and maximum number of output tokens, if the request gives any.
    pub fn tokens(&self) -> Option<(u32, u32)> {
        let tokens = (self.prompt_tokens, self.output_tokens);
        (tokens != (0, 0)).then_some(tokens)
    }

    /// Affinity key: equal for requests that share all but the last part of their prompt.
    pub fn affinity(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        let mut bytes = Vec::with_capacity(shared * size_of::<u64>());
        for part in &self.parts[..shared] {
            bytes.extend_from_slice(&part.id.to_le_bytes());
        }
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}
