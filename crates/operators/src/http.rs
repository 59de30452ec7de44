//! HTTP endpoint for operator commands.

use std::sync::Arc;
use std::time::Duration;

use flaxward_types::{Refusal, ResultCode};
use salvo::http::{ParseError, StatusCode};
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use crate::answer::Answer;
use crate::error::{ErrorBody, OperatorError};
use crate::executor::Executor;

/// Path that accepts commands by `POST`.
pub const QUERY_PATH: &str = "operators/query";

/// Maximum size of a command, in bytes.
pub const MAX_COMMAND_BYTES: usize = 64 * 1024;

/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Operator routes: `POST /operators/query` with one command as plain text.
pub fn router(executor: Arc<Executor>) -> Router {
    Router::with_path(QUERY_PATH).post(QueryHandler { executor })
}

struct QueryHandler {
    executor: Arc<Executor>,
}

impl QueryHandler {
    async fn answer(&self, request: &mut Request) -> Result<Answer, OperatorError> {
        let command = read_command(request).await?;
        self.executor.execute(&command).await
    }
}

#[async_trait]
impl Handler for QueryHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        match self.answer(request).await {
            Ok(answer) => response.render(Json(answer)),
            Err(error) => {
                response.status_code(http_status(error.refusal.code));
                response.render(Json(ErrorBody::from(&error)));
            }
        }
    }
}

fn http_status(code: ResultCode) -> StatusCode {
    StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

async fn read_command(request: &mut Request) -> Result<String, Refusal> {
    let body = request.payload_with_max_size(MAX_COMMAND_BYTES);
    let body = match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(ParseError::PayloadTooLarge)) => return Err(Refusal::new(ResultCode::BodyTooLong)),
        Ok(Err(_)) => return Err(Refusal::new(ResultCode::BadBody)),
        Err(_) => return Err(Refusal::new(ResultCode::SlowSender)),
    };
    let text = std::str::from_utf8(body);
    text.map(str::to_owned).map_err(|_| {
        Refusal::new(ResultCode::BadBody).with_detail("the command is not valid UTF-8")
    })
}
