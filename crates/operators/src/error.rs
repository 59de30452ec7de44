//! Command errors and their JSON representation.

use flaxward_query::{Current, Position, Rejection, SyntaxError};
use flaxward_types::{Refusal, ResultCode};
use serde::{Deserialize, Serialize};

/// Why a command failed, in full or in part.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{refusal}")]
pub struct OperatorError {
    /// The result code and its detail.
    pub refusal: Refusal,
    /// Position of the syntax error, if the command cannot be parsed.
    pub position: Option<Position>,
    /// The stored state, if a concurrent change caused a conflict.
    pub current: Option<Current>,
    /// Steps completed before the failure.
    pub done: Vec<String>,
}

impl OperatorError {
    /// Whether the command definitely changed nothing.
    pub fn not_run(&self) -> bool {
        self.done.is_empty() && self.refusal.code.not_run()
    }
}

impl From<Refusal> for OperatorError {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            position: None,
            current: None,
            done: Vec::new(),
        }
    }
}

impl From<Rejection> for OperatorError {
    fn from(rejection: Rejection) -> Self {
        Self {
            current: rejection.current,
            ..rejection.refusal.into()
        }
    }
}

impl From<SyntaxError> for OperatorError {
    fn from(error: SyntaxError) -> Self {
        let refusal = Refusal::new(ResultCode::BadCommand).with_detail(error.to_string());
        Self {
            position: Some(error.position),
            ..refusal.into()
        }
    }
}

/// JSON body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// The contents of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The number of the result code.
    pub code: u16,
    /// The name of the result code.
    pub name: String,
    /// Description of the error.
    pub message: String,
    /// Whether the command definitely changed nothing.
    pub not_run: bool,
    /// Position of the syntax error, if the command cannot be parsed.
    pub position: Option<Position>,
    /// The stored state, if a concurrent change caused a conflict.
    pub current: Option<Current>,
    /// Steps completed before the failure.
    #[serde(default)]
    pub done: Vec<String>,
}

impl ErrorDetail {
    /// The result code, if this build recognizes it.
    pub fn result_code(&self) -> Option<ResultCode> {
        let mut codes = ResultCode::ALL.iter().copied();
        codes.find(|code| code.number() == self.code)
    }
}

impl From<&OperatorError> for ErrorBody {
    fn from(error: &OperatorError) -> Self {
        let code = error.refusal.code;
        Self {
            error: ErrorDetail {
                code: code.number(),
                name: format!("{code:?}"),
                message: error.refusal.text().to_owned(),
                not_run: error.not_run(),
                position: error.position,
                current: error.current.clone(),
                done: error.done.clone(),
            },
        }
    }
}
