//! Sends commands to a daemon over HTTP.

use std::time::Duration;

use flaxward_answers::read_body;
use flaxward_types::{Refusal, ResultCode};
use reqwest::{Client, Response};

use crate::answer::Answer;
use crate::error::{ErrorBody, OperatorError};
use crate::http::QUERY_PATH;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for a request, including its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum length of an answer: a table of all that the largest fleet holds has some megabytes.
const MAX_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;

/// A client for one daemon's command endpoint.
pub struct Connection {
    client: Client,
    url: String,
}

impl Connection {
    /// Creates a client for the daemon at `address`, given as `ip:port`.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be set up.
    pub fn new(address: &str) -> reqwest::Result<Self> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(RESPONSE_TIMEOUT)
            .build()?;
        Ok(Self {
            client,
            url: format!("http://{address}/{QUERY_PATH}"),
        })
    }

    /// Sends one command, without retries.
    ///
    /// # Errors
    /// Returns the daemon's error, or reports that the daemon could not be reached (the command
    /// definitely did not run) or that its response was lost (the outcome is unknown).
    pub async fn execute(&self, command: &str) -> Result<Answer, Box<ErrorBody>> {
        let request = self.client.post(&self.url).body(command.to_owned());
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() || error.is_builder() => {
                return Err(error_body(ResultCode::BackendUnreachable, &error));
            }
            Err(error) => return Err(error_body(ResultCode::ChangeOutcomeUnknown, &error)),
        };
        decode_response(response).await
    }
}

async fn decode_response(response: Response) -> Result<Answer, Box<ErrorBody>> {
    let is_success = response.status().is_success();
    let outcome_unknown =
        |error: &dyn std::error::Error| error_body(ResultCode::ChangeOutcomeUnknown, error);
    let body = read_body(response, MAX_ANSWER_BYTES)
        .await
        .map_err(|error| outcome_unknown(&error))?;
    if is_success {
        return serde_json::from_slice(&body).map_err(|error| outcome_unknown(&error));
    }
    match serde_json::from_slice(&body) {
        Ok(error) => Err(Box::new(error)),
        Err(error) => Err(outcome_unknown(&error)),
    }
}

fn error_body(code: ResultCode, error: &dyn std::error::Error) -> Box<ErrorBody> {
    let detail = format!("no valid response from the daemon: {error}");
    let refusal = Refusal::new(code).with_detail(detail);
    Box::new(ErrorBody::from(&OperatorError::from(refusal)))
}
