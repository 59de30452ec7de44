//! One completion over HTTP, measured.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures::StreamExt;
use reqwest::Client;
use serde::Deserialize;
use serde_json::{Value, json};

/// What ends a streamed answer.
const END_OF_STREAM: &str = "[DONE]";

/// What to ask.
#[derive(Clone, Debug)]
pub struct Question {
    /// Base URL of a daemon or an engine.
    pub target: String,
    /// Model, as callers name it.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// Whether the answer comes token by token.
    pub streamed: bool,
    /// Deadline for the first token.
    pub deadline: Duration,
}

/// How a question ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered whole.
    Answered,
    /// Refused or failed with a result code; 0 if it has none.
    Coded(u64),
    /// The answer broke off, or no connection could be made.
    Broken(String),
}

/// A question's measures, from a moment that the asker chose.
#[derive(Clone, Debug)]
pub struct Answer {
    /// How it ended.
    pub ending: Ending,
    /// Time to the first token, if there was one.
    pub first_token: Option<Duration>,
    /// Times between the tokens that followed.
    pub between_tokens: Vec<Duration>,
    /// Time to the end.
    pub took: Duration,
    /// Tokens received.
    pub tokens: u64,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// Asks, measuring from `since`.
pub async fn ask(client: &Client, question: &Question, since: Instant) -> Answer {
    let mut answer = Answer {
        ending: Ending::Answered,
        first_token: None,
        between_tokens: Vec::new(),
        took: Duration::ZERO,
        tokens: 0,
    };
    if let Err(error) = exchange(client, question, since, &mut answer).await {
        answer.ending = Ending::Broken(error.to_string());
    }
    answer.took = since.elapsed();
    answer
}

async fn exchange(
    client: &Client,
    question: &Question,
    since: Instant,
    answer: &mut Answer,
) -> anyhow::Result<()> {
    let body = json!({
        "model": question.model,
        "prompt": question.prompt,
        "max_tokens": question.max_tokens,
        "stream": question.streamed,
    });
    let deadline = format!("{}ms", question.deadline.as_millis());
    let request = client
        .post(format!("{}/v1/completions", question.target))
        .header("x-flaxward-deadline", deadline)
        .json(&body);
    let response = request.send().await?;
    if !response.status().is_success() {
        let body: Value = response.json().await.unwrap_or_default();
        answer.ending = Ending::Coded(code_of(&body));
        return Ok(());
    }
    if question.streamed {
        return read_stream(response, since, answer).await;
    }
    let body: Value = response.json().await?;
    let usage: Usage = serde_json::from_value(body["usage"].clone())?;
    answer.tokens = usage.completion_tokens;
    answer.first_token = Some(since.elapsed());
    Ok(())
}

async fn read_stream(
    response: reqwest::Response,
    since: Instant,
    answer: &mut Answer,
) -> anyhow::Result<()> {
    let mut events = response.bytes_stream().eventsource();
    let mut last = None;
    while let Some(event) = events.next().await {
        let data = event?.data;
        if data == END_OF_STREAM {
            return Ok(());
        }
        let now = Instant::now();
        let chunk: Value = serde_json::from_str(&data)?;
        if chunk.get("error").is_some() {
            answer.ending = Ending::Coded(code_of(&chunk));
            return Ok(());
        }
        answer.tokens += 1;
        answer.first_token.get_or_insert(now - since);
        answer
            .between_tokens
            .extend(last.map(|last| now.duration_since(last)));
        last = Some(now);
    }
    anyhow::bail!("the answer ended without its end mark")
}

fn code_of(body: &Value) -> u64 {
    body["error"]["code"].as_u64().unwrap_or(0)
}
