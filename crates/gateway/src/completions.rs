//! `POST /v1/completions` and `POST /v1/chat/completions`.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use bytes::Bytes;
use flaxward_control::admission::Arrival;
use flaxward_control::attempt::RequestPolicy;
use flaxward_control::claims::RequestEnd;
use flaxward_control::configuration::Configuration;
use flaxward_types::{ArtifactId, ModelRef, Refusal, ResultCode, Timestamp};
use reqwest::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use salvo::http::ResBody;
use salvo::prelude::{Request, Response};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::bad_request;
use crate::back_end_ticket::BackEndTicket;
use crate::body::read_request_body;
use crate::call::{Call, CallKind, new_attempt};
use crate::endpoint::{Endpoint, IncomingRequest};
use crate::gateway::{ClaimOutcome, Gateway};
use crate::head::{RequestHead, back_end_headers, forwarded_headers};
use crate::relay::{EVENT_STREAM, Relay};
use crate::run::{BufferedAnswer, Run, finish};

/// Maximum length of the prompt prefix used for prefix affinity, in bytes.
const MAX_PREFIX_BYTES: usize = 1_024;
/// Minimum length of a prompt prefix, in bytes; caching a shorter one has no benefit.
const MIN_PREFIX_BYTES: usize = 64;

/// The kind of completion endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    /// Prompt in `prompt`.
    Text,
    /// Prompt in `messages`.
    Chat,
}

impl CompletionKind {
    fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }

    fn prompt_field(self) -> &'static str {
        match self {
            Self::Text => "prompt",
            Self::Chat => "messages",
        }
    }
}

/// Handles requests to one completion endpoint.
pub(crate) struct Completions {
    pub kind: CompletionKind,
}

/// A completion request, parsed from its body.
struct CompletionRequest {
    artifact: ArtifactId,
    /// The artifact in its text form.
    name: String,
    queue_limit: usize,
    stream: bool,
    prefix: Option<u64>,
    /// The body for the engine.
    body: Bytes,
}

impl Endpoint for Completions {
    async fn answer(
        &self,
        gateway: &Arc<Gateway>,
        request: &mut Request,
        response: &mut Response,
        request_id: &str,
    ) -> Result<(), Refusal> {
        let started = Instant::now();
        let IncomingRequest {
            mut admitted,
            head,
            deadline,
        } = IncomingRequest::new(gateway, request, request_id)?;
        let body = read_request_body(request, gateway, &mut admitted).await?;
        let configuration = gateway.configuration().await?;
        let completion = self.read(&body, &configuration)?;
        // The engine is sent a rewritten body; the original is not kept while the request waits.
        drop(body);
        admitted.reserve_body(&completion.body)?;
        let call = self.call(gateway, request.headers(), &head, &completion, deadline);
        let target = completion.artifact.model.as_str();
        let claim = match gateway.claim(&call, &head, target).await? {
            ClaimOutcome::Proceed(claim) => claim,
            ClaimOutcome::Recorded(answer) => {
                answer.write(response);
                return Ok(());
            }
        };
        let ticket = enqueue(gateway, &head, &completion, deadline);
        let run = Run::new(Arc::clone(gateway), call, ticket, claim, admitted);
        if completion.stream {
            return answer_streamed(run, response, started).await;
        }
        let answer = finish(run).await?;
        answer.write(response);
        Ok(())
    }
}

impl Completions {
    /// Parses the body and resolves the requested artifact.
    fn read(
        &self,
        body: &Bytes,
        configuration: &Configuration,
    ) -> Result<CompletionRequest, Refusal> {
        let mut fields: BTreeMap<Cow<'_, str>, &RawValue> =
            serde_json::from_slice(body).map_err(|error| {
                bad_request(ResultCode::BadBody, format!("not a JSON object: {error}"))
            })?;
        let reference: Cow<'_, str> = field(&fields, "model")?
            .ok_or_else(|| bad_request(ResultCode::BadBody, "the field model is missing"))?;
        let stream: bool = field(&fields, "stream")?.unwrap_or(false);
        let prompt_field = self.kind.prompt_field();
        let prompt = fields.get(prompt_field).ok_or_else(|| {
            let detail = format!("the field {prompt_field} is missing");
            bad_request(ResultCode::BadBody, detail)
        })?;
        let prefix = prefix_digest(prompt.get().as_bytes());
        let reference: ModelRef = reference
            .parse()
            .map_err(|_| Refusal::new(ResultCode::UnknownModel))?;
        let artifact = configuration.resolve(&reference).map_err(Refusal::new)?;
        let queue_limit = configuration
            .model(&artifact.model)
            .map_or(0, |model| model.queue_limit as usize);
        let name = artifact.to_string();
        let model = serde_json::value::to_raw_value(&name)
            .map_err(|_| Refusal::new(ResultCode::Internal))?;
        fields.insert(Cow::Borrowed("model"), &model);
        let body = serde_json::to_vec(&fields).map_err(|_| Refusal::new(ResultCode::Internal))?;
        Ok(CompletionRequest {
            artifact,
            name,
            queue_limit,
            stream,
            prefix,
            body: body.into(),
        })
    }

    fn call(
        &self,
        gateway: &Gateway,
        headers: &HeaderMap,
        head: &RequestHead,
        completion: &CompletionRequest,
        deadline: Timestamp,
    ) -> Call {
        let mut headers = back_end_headers(headers, head);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        // A stream may continue long after its first token, so attempts may start until the stream
        // limit.
        let last_attempt = if completion.stream {
            deadline + gateway.settings.stream_limit
        } else {
            deadline
        };
        Call {
            kind: CallKind::Engine,
            target: completion.name.clone(),
            method: reqwest::Method::POST,
            path_and_query: self.kind.path().to_owned(),
            headers,
            body: completion.body.clone(),
            request_id: head.request_id.clone(),
            priority: head.priority,
            deadline,
            first_attempt: new_attempt(),
            fingerprint: OnceLock::new(),
            policy: RequestPolicy {
                repeatable: head.repeatable.unwrap_or(true),
                has_key: head.key.is_some(),
                deadline: last_attempt,
            },
        }
    }
}

fn enqueue(
    gateway: &Gateway,
    head: &RequestHead,
    completion: &CompletionRequest,
    deadline: Timestamp,
) -> BackEndTicket {
    let ticket = gateway.scheduler.enqueue(|request| Arrival {
        request,
        artifact: completion.artifact.clone(),
        priority: head.priority,
        deadline,
        queue_limit: completion.queue_limit,
        prefix: completion.prefix,
    });
    BackEndTicket::Engine(ticket)
}

/// Answers a streaming request. A refusal before the first bytes of the stream is still returned as
/// an HTTP status.
async fn answer_streamed(
    mut run: Run,
    response: &mut Response,
    started: Instant,
) -> Result<(), Refusal> {
    match open_stream(&mut run).await {
        Ok(Opened::Stream(opened)) => {
            let headers = forwarded_headers(opened.headers());
            let mut relay = Relay::new(run, opened, started);
            let first = relay.advance().await?.unwrap_or_default();
            response.headers_mut().extend(headers);
            response.body(ResBody::stream(relay.into_stream(first)));
        }
        Ok(Opened::Whole(answer)) => answer.into_answer(run).write(response),
        Err(refusal) => {
            run.settle_claim(RequestEnd::refused(refusal.code));
            return Err(refusal);
        }
    }
    Ok(())
}

/// The answer of an engine to a streaming request.
enum Opened {
    /// A stream.
    Stream(reqwest::Response),
    /// An answer without a stream, such as an error.
    Whole(BufferedAnswer),
}

/// Sends attempts until a stream starts or an answer without a stream is received.
async fn open_stream(run: &mut Run) -> Result<Opened, Refusal> {
    loop {
        let head = run.open().await?;
        if is_event_stream(&head) {
            return Ok(Opened::Stream(head));
        }
        if let Some(buffered) = run.buffer_answer(head).await? {
            return Ok(Opened::Whole(buffered));
        }
    }
}

/// Parses one field of a body.
fn field<'a, T: serde::Deserialize<'a>>(
    fields: &BTreeMap<Cow<'_, str>, &'a RawValue>,
    name: &str,
) -> Result<Option<T>, Refusal> {
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    let value = serde_json::from_str(value.get());
    value.map(Some).map_err(|_| {
        bad_request(
            ResultCode::BadBody,
            format!("the field {name} has the wrong type"),
        )
    })
}

fn prefix_digest(prompt: &[u8]) -> Option<u64> {
    let prefix = &prompt[..prompt.len().min(MAX_PREFIX_BYTES)];
    (prefix.len() >= MIN_PREFIX_BYTES).then(|| xxh3_64(prefix))
}

fn is_event_stream(response: &reqwest::Response) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    response.status().is_success()
        && content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()))
}
