//! One command to a daemon and its answer.

use std::time::Duration;

use flaxward_types::{Refusal, ResultCode};
use reqwest::{Client, Response};

use crate::answer::Answer;
use crate::error::{ErrorBody, OperatorError};
use crate::http::QUERY_PATH;

/// Longest time to wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time to wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

/// A daemon that takes commands.
pub struct Connection {
    client: Client,
    url: String,
}

impl Connection {
    /// Names a daemon by its address, `ip:port`.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be set up.
    pub fn new(address: &str) -> reqwest::Result<Self> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT)
            .build()?;
        Ok(Self {
            client,
            url: format!("http://{address}/{QUERY_PATH}"),
        })
    }

    /// Sends one command, once.
    ///
    /// # Errors
    /// Gives the daemon's error, or says that it could not be reached (certainly not run) or that
    /// its answer was lost (outcome unknown).
    pub async fn execute(&self, command: &str) -> Result<Answer, Box<ErrorBody>> {
        let request = self.client.post(&self.url).body(command.to_owned());
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() || error.is_builder() => {
                return Err(failure(ResultCode::BackendUnreachable, &error));
            }
            Err(error) => return Err(failure(ResultCode::ChangeOutcomeUnknown, &error)),
        };
        read(response).await
    }
}

async fn read(response: Response) -> Result<Answer, Box<ErrorBody>> {
    let accepted = response.status().is_success();
    let lost = |error: &dyn std::error::Error| failure(ResultCode::ChangeOutcomeUnknown, error);
    let body = response.bytes().await.map_err(|error| lost(&error))?;
    if accepted {
        return serde_json::from_slice(&body).map_err(|error| lost(&error));
    }
    match serde_json::from_slice(&body) {
        Ok(error) => Err(Box::new(error)),
        Err(error) => Err(lost(&error)),
    }
}

fn failure(code: ResultCode, error: &dyn std::error::Error) -> Box<ErrorBody> {
    let detail = format!("the daemon's answer cannot be had: {error}");
    let refusal = Refusal::new(code).with_detail(detail);
    Box::new(ErrorBody::from(&OperatorError::from(refusal)))
}
