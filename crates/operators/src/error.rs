//! Errors of commands, inside and as JSON.

use flaxward_query::{Current, Position, Rejection, SyntaxError};
use flaxward_types::{Refusal, ResultCode};
use serde::{Deserialize, Serialize};

/// Why a command was not carried out, or not wholly.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{refusal}")]
pub struct OperatorError {
    /// The numbered code and what exactly.
    pub refusal: Refusal,
    /// Where in the command, if it cannot be read.
    pub position: Option<Position>,
    /// What the winner wrote, if another operator came first.
    pub current: Option<Current>,
    /// Steps that were carried out before the failure.
    pub done: Vec<String>,
}

impl OperatorError {
    /// Whether the command certainly changed nothing.
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

/// An error as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What an error says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The number of the result code.
    pub code: u16,
    /// The name of the result code.
    pub name: String,
    /// What exactly is wrong.
    pub message: String,
    /// Whether the command certainly changed nothing.
    pub not_run: bool,
    /// Where in the command, if it cannot be read.
    pub position: Option<Position>,
    /// What stands there now, if another operator came first.
    pub current: Option<Current>,
    /// Steps that were carried out before the failure.
    #[serde(default)]
    pub done: Vec<String>,
}

impl ErrorDetail {
    /// The result code, if this program knows it.
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
