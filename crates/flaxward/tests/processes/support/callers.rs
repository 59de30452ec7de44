//! Callers of completions, who check every answer.

use std::time::Duration;

use flaxward_emulator::engine::tokens::answer_text;
use reqwest::header::HeaderMap;
use serde_json::{Value, json};

/// Longest time a caller waits for the whole of an answer.
const CALLER_PATIENCE: Duration = Duration::from_secs(120);

/// Last event of a whole stream.
const END_MARK: &str = "[DONE]";

/// A request for a streamed completion.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The model as callers name it.
    pub model: String,
    /// What must answer: `model[:adapter]@version`.
    pub artifact: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens wanted.
    pub tokens: u32,
    /// Headers besides.
    pub headers: Vec<(&'static str, String)>,
}

impl Ask {
    /// A request to a model whose version `v1` answers.
    pub fn new(model: &str, prompt: impl Into<String>, tokens: u32) -> Self {
        Self {
            model: model.to_owned(),
            artifact: format!("{model}@v1"),
            prompt: prompt.into(),
            tokens,
            headers: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Many requests that differ in their prompts.
    pub fn many(model: &str, count: usize, tokens: u32) -> Vec<Self> {
        let ask = |number| Self::new(model, format!("request {number} to {model}"), tokens);
        (0..count).map(ask).collect()
    }
}

/// How a request ended, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer to this very request, with its end mark.
    Whole,
    /// A refusal.
    Refused(Refused),
    /// The stream ended in a stated error after so many tokens.
    Failed {
        /// Its result code.
        code: u64,
        /// Tokens before it, all of them right.
        tokens: usize,
    },
    /// No connection could be made.
    NotConnected,
    /// Anything that must never happen, such as a wrong text or a silent end.
    Wrong(String),
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// HTTP status.
    pub status: u16,
    /// Result code.
    pub code: u64,
    /// Whether the request certainly did not run.
    pub not_run: bool,
}

impl Ending {
    /// The result code of a refusal or stated error.
    pub fn code(&self) -> Option<u64> {
        match self {
            Self::Refused(refused) => Some(refused.code),
            Self::Failed { code, .. } => Some(*code),
            _ => None,
        }
    }

    /// Whether the answer came whole or the request was refused or failed with a code.
    pub fn is_stated(&self) -> bool {
        matches!(self, Self::Whole) || self.code().is_some()
    }
}

/// Sends a request and reads the answer to its end.
pub async fn ask(http: &reqwest::Client, address: &str, request: &Ask) -> Ending {
    let mut headers = HeaderMap::new();
    for (name, value) in &request.headers {
        headers.insert(*name, value.parse().expect("a header"));
    }
    let body = json!({
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.tokens,
        "stream": true,
    });
    let sent = http
        .post(format!("http://{address}/v1/completions"))
        .timeout(CALLER_PATIENCE)
        .headers(headers)
        .body(body.to_string())
        .send();
    let response = match sent.await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Ending::NotConnected,
        Err(error) => return Ending::Wrong(format!("no answer: {error:?}")),
    };
    let status = response.status().as_u16();
    match response.text().await {
        Ok(text) if status == 200 => judge_stream(&text, request),
        Ok(text) => judge_refusal(status, &text),
        Err(error) => Ending::Wrong(format!("the answer broke off: {error:?}")),
    }
}

/// Reads a refusal.
pub fn judge_refusal(status: u16, text: &str) -> Ending {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    let error = &body["error"];
    match (error["code"].as_u64(), error["not_run"].as_bool()) {
        (Some(code), Some(not_run)) => Ending::Refused(Refused {
            status,
            code,
            not_run,
        }),
        _ => Ending::Wrong(format!("status {status} without a code: {text}")),
    }
}

fn judge_stream(text: &str, request: &Ask) -> Ending {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut received = String::new();
    let mut tokens = 0;
    for data in data {
        let expected = answer_text(&request.artifact, &request.prompt, request.tokens);
        if data == END_MARK {
            if received == expected {
                return Ending::Whole;
            }
            return Ending::Wrong(format!("{received:?} instead of {expected:?}"));
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(code) = event["error"]["code"].as_u64() {
            if expected.starts_with(&received) {
                return Ending::Failed { code, tokens };
            }
            return Ending::Wrong(format!("{received:?} is no start of {expected:?}"));
        }
        received.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
        tokens += 1;
    }
    Ending::Wrong(format!("a silent end after {tokens} tokens: {text:?}"))
}

/// Asserts that every request was answered whole.
pub fn assert_all_whole(endings: &[Ending]) {
    for (number, ending) in endings.iter().enumerate() {
        assert_eq!(*ending, Ending::Whole, "request {number}");
    }
}
