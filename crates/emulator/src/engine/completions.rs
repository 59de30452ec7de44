//! Completions and chats: reading the request, and the answer token by token.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use flaxward_types::{ArtifactId, AttemptId};
use futures::StreamExt;
use salvo::http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::batch::Place;
use super::record::RequestOutcome;
use super::requests::{AcceptedRequest, Refused, RequestHead, accept};
use super::state::Shared;
use super::streams::Stop;
use super::tokens::{
    DEFAULT_MAX_TOKENS, TOKEN_TEXT_BYTES, answer_seed, chat_prompt, prompt_tokens, token_text,
};
use crate::fault::{lock, unix_ms};
use crate::http::{BrokenOff, Call, Reply};

/// Bytes of chunks sent together when no time passes between tokens.
const FRAME_BYTES: usize = 8 * 1024;

/// Time for what was sent to leave before the connection breaks.
const FLUSH: Duration = Duration::from_millis(2);

/// Which of the two forms a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    Text,
    Chat,
}

/// The parts of a request body that matter here.
#[derive(Debug, Deserialize)]
struct RequestBody {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

/// Answers a request.
pub(crate) async fn answer(shared: Arc<Shared>, call: Call, form: Form) -> Reply {
    if shared.refusing.is_set() {
        return Reply::broken();
    }
    if lock(&shared.state).faults.down {
        return Reply::down().not_run();
    }
    let body = match call.json::<RequestBody>() {
        Ok(body) => body,
        Err(reply) => return reply.not_run(),
    };
    let head = match request_head(&call, &body, form) {
        Ok(head) => head,
        Err(reply) => return reply.not_run(),
    };
    let request = match accept(&shared, &head) {
        Ok(request) => request,
        Err(refused) => return refusal(refused),
    };
    let generation = Generation::new(request, &head, &body, form);
    if generation.request.plan.lose_answer {
        generation.run_unheard().await;
        return Reply::broken();
    }
    if body.stream {
        return generation.stream();
    }
    generation.whole().await
}

fn request_head(call: &Call, body: &RequestBody, form: Form) -> Result<RequestHead, Reply> {
    let artifact: ArtifactId = body
        .model
        .parse()
        .map_err(|_| problem(StatusCode::NOT_FOUND, "no such model"))?;
    let bad_header = |_| problem(StatusCode::BAD_REQUEST, "a header cannot be read");
    let attempt = match call.header("x-flaxward-attempt") {
        Some(text) => text.parse().map_err(bad_header)?,
        None => AttemptId(rand::random()),
    };
    let number = |name: &str| call.header(name).unwrap_or("0").parse::<u32>();
    let priority = number("x-flaxward-priority").map_err(bad_header)?;
    Ok(RequestHead {
        attempt,
        request_id: call.header("x-request-id").map(str::to_owned),
        artifact,
        prompt: match form {
            Form::Text => body.prompt.clone(),
            Form::Chat => chat_prompt(&body.messages),
        },
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        first_token: number("x-flaxward-resume-from").map_err(bad_header)?,
    })
}

fn problem(status: StatusCode, message: &str) -> Reply {
    Reply::json(status, &json!({"error": {"message": message}}))
}

fn refusal(refused: Refused) -> Reply {
    match refused {
        Refused::NotReady(reason) => problem(StatusCode::CONFLICT, reason).not_run(),
        Refused::AttemptRuns => problem(StatusCode::CONFLICT, "the attempt runs already"),
    }
}

/// One step of an answer.
enum Step {
    /// The token with this index.
    Token(u32),
    /// All tokens were sent.
    Finished,
    /// The answer ends in good order but without its end marks.
    CutShort,
    /// The connection breaks.
    Broken,
}

/// An answer being made.
struct Generation {
    request: AcceptedRequest,
    place: Option<Place>,
    priority: u8,
    seed: u64,
    first: u32,
    end: u32,
    sent: u32,
    decode: Duration,
    next_at: Instant,
    chunk: ChunkText,
    prompt_tokens: u64,
    over: bool,
}

/// The parts of a streamed chunk that do not change from token to token.
struct ChunkText {
    id: String,
    model: String,
    form: Form,
    head: String,
    tail: &'static str,
    last_tail: &'static str,
}

impl ChunkText {
    fn new(attempt: AttemptId, model: &str, form: Form) -> Self {
        let created = unix_ms() / 1000;
        let (id, object, opening, tail, last_tail) = match form {
            Form::Text => (
                format!("cmpl-{attempt}"),
                "text_completion",
                "\"text\":\"",
                "\",\"finish_reason\":null}]}\n\n",
                "\",\"finish_reason\":\"length\"}]}\n\n",
            ),
            Form::Chat => (
                format!("chatcmpl-{attempt}"),
                "chat.completion.chunk",
                "\"delta\":{\"content\":\"",
                "\"},\"finish_reason\":null}]}\n\n",
                "\"},\"finish_reason\":\"length\"}]}\n\n",
            ),
        };
        let head = format!(
            "\ndata: {{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":{created},\
             \"model\":\"{model}\",\"choices\":[{{\"index\":0,{opening}"
        );
        Self {
            id,
            model: model.to_owned(),
            form,
            head,
            tail,
            last_tail,
        }
    }

    /// Appends the chunk of one token; its index is the id of the event.
    fn push(&self, frame: &mut Vec<u8>, index: u32, text: [u8; TOKEN_TEXT_BYTES], last: bool) {
        frame.extend_from_slice(b"id: ");
        frame.extend_from_slice(index.to_string().as_bytes());
        frame.extend_from_slice(self.head.as_bytes());
        frame.extend_from_slice(&text);
        let tail = if last { self.last_tail } else { self.tail };
        frame.extend_from_slice(tail.as_bytes());
    }
}

impl Generation {
    fn new(
        mut request: AcceptedRequest,
        head: &RequestHead,
        body: &RequestBody,
        form: Form,
    ) -> Self {
        let end = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let first = head.first_token.min(end);
        request.outcome = RequestOutcome::Abandoned;
        let model = head.artifact.to_string();
        Self {
            place: None,
            priority: head.priority,
            seed: answer_seed(&model, &head.prompt),
            first,
            end,
            sent: 0,
            decode: Duration::ZERO,
            next_at: Instant::now(),
            chunk: ChunkText::new(head.attempt, &model, form),
            prompt_tokens: prompt_tokens(&head.prompt),
            over: false,
            request,
        }
    }

    /// The answer as server-sent events.
    fn stream(self) -> Reply {
        let frames = futures::stream::unfold(self, |mut generation| async move {
            let frame = generation.frame().await?;
            Some((frame, generation))
        });
        Reply::stream("text/event-stream", frames.boxed())
    }

    /// The answer in one document.
    async fn whole(mut self) -> Reply {
        let mut text = Vec::new();
        loop {
            match self.step().await {
                Step::Token(index) => text.extend_from_slice(&token_text(self.seed, index)),
                Step::Finished => break,
                Step::CutShort => return self.half_document(&text),
                Step::Broken => return Reply::broken(),
            }
        }
        self.request.outcome = RequestOutcome::Finished;
        Reply::ok(&self.document(&text))
    }

    /// Runs to the end although nobody will hear of it.
    async fn run_unheard(mut self) {
        while let Step::Token(_) = self.step().await {}
        self.request.outcome = RequestOutcome::Broken;
    }

    fn document(&self, text: &[u8]) -> Value {
        let text = String::from_utf8_lossy(text);
        let (object, choice) = match self.chunk.form {
            Form::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": "length"}),
            ),
            Form::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "length",
                }),
            ),
        };
        let tokens = u64::from(self.end - self.first);
        json!({
            "id": self.chunk.id,
            "object": object,
            "created": unix_ms() / 1000,
            "model": self.chunk.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": self.prompt_tokens + tokens,
            },
        })
    }

    /// The document cut off in its middle, under a length that fits.
    fn half_document(&self, text: &[u8]) -> Reply {
        let whole = self.document(text).to_string();
        let half = Bytes::copy_from_slice(&whole.as_bytes()[..whole.len() / 2]);
        Reply::whole(StatusCode::OK, "application/json", half)
    }

    /// The next bytes of the stream: one chunk, or many if no time passes between tokens.
    async fn frame(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if self.over {
            return None;
        }
        let mut frame = Vec::with_capacity(FRAME_BYTES + 512);
        loop {
            match self.step().await {
                Step::Token(index) => {
                    let text = token_text(self.seed, index);
                    let last = index + 1 == self.end;
                    self.chunk.push(&mut frame, index, text, last);
                    if !self.decode.is_zero() || frame.len() >= FRAME_BYTES {
                        break;
                    }
                }
                Step::Finished => {
                    frame.extend_from_slice(b"data: [DONE]\n\n");
                    self.request.outcome = RequestOutcome::Finished;
                    self.over = true;
                    break;
                }
                Step::CutShort => {
                    self.over = true;
                    break;
                }
                Step::Broken if frame.is_empty() => {
                    self.over = true;
                    tokio::time::sleep(FLUSH).await;
                    return Some(Err(BrokenOff));
                }
                // What was made leaves first; the next step breaks again.
                Step::Broken => break,
            }
        }
        Some(Ok(Bytes::from(frame)))
    }

    async fn step(&mut self) -> Step {
        if self.place.is_none()
            && let Some(stop) = self.begin().await
        {
            return self.stopped(stop);
        }
        let plan = self.request.plan;
        if plan.break_after.is_some_and(|tokens| self.sent >= tokens) {
            self.request.outcome = RequestOutcome::Broken;
            return Step::Broken;
        }
        if plan
            .truncate_after
            .is_some_and(|tokens| self.sent >= tokens)
        {
            self.request.outcome = RequestOutcome::Broken;
            return Step::CutShort;
        }
        if let Some(stop) = self.pace().await {
            return self.stopped(stop);
        }
        let Some(index) = plan.token_at(self.sent, self.first, self.end) else {
            return Step::Finished;
        };
        self.sent += 1;
        let next_token = &self.request.stream.next_token;
        next_token.fetch_max(index + 1, Ordering::AcqRel);
        Step::Token(index)
    }

    fn stopped(&mut self, stop: Stop) -> Step {
        match stop {
            Stop::Cancelled => {
                self.request.outcome = RequestOutcome::Cancelled;
                Step::CutShort
            }
            Stop::Crashed => {
                self.request.outcome = RequestOutcome::Crashed;
                Step::Broken
            }
        }
    }

    /// Waits for a place in the batch and for the prefill.
    async fn begin(&mut self) -> Option<Stop> {
        let shared = Arc::clone(&self.request.shared);
        let batch = Arc::clone(&shared.batch);
        let priority = self.priority;
        let place = self.unless_stopped(batch.place(priority)).await;
        self.place = Some(match place {
            Ok(place) => place,
            Err(stop) => return Some(stop),
        });
        let timing = &shared.config.timing;
        let running = batch.running().saturating_sub(1);
        let slowdown = 1.0 + timing.batch_slowdown * f64::from(running);
        self.decode = Duration::from_micros(timing.decode_us).mul_f64(slowdown);
        let prefill_us = timing.prefill_us_per_thousand * self.request.prefill_tokens / 1000;
        let delay = Duration::from_millis(self.request.plan.delay_ms);
        let wait = Duration::from_micros(prefill_us) + delay;
        let stop = self.sleep_until(Instant::now() + wait).await;
        self.next_at = Instant::now();
        stop
    }

    /// Waits for the time of the next token.
    async fn pace(&mut self) -> Option<Stop> {
        if self.decode.is_zero() {
            return self.stop();
        }
        self.next_at += self.decode;
        self.sleep_until(self.next_at).await
    }

    async fn sleep_until(&self, end: Instant) -> Option<Stop> {
        if end <= Instant::now() {
            return self.stop();
        }
        self.unless_stopped(tokio::time::sleep_until(end))
            .await
            .err()
    }

    fn stop(&self) -> Option<Stop> {
        let stop = self.request.stream.stop()?;
        let ignored = stop == Stop::Cancelled && self.request.plan.ignore_cancel;
        (!ignored).then_some(stop)
    }

    async fn unless_stopped<T>(&self, wait: impl Future<Output = T>) -> Result<T, Stop> {
        if self.request.plan.ignore_cancel {
            return Ok(wait.await);
        }
        tokio::select! {
            biased;
            stop = self.request.stream.wait_for_stop() => Err(stop),
            result = wait => Ok(result),
        }
    }
}
