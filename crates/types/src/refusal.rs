//! A refusal as callers and operators see it.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::code::ResultCode;

/// Why a request or a command was not carried out, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct Refusal {
    /// The numbered code.
    pub code: ResultCode,
    /// What exactly, for people; the code's own text if empty.
    pub detail: String,
    /// When to ask again, if asking again can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal with nothing but a code.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            detail: String::new(),
            retry_after: None,
        }
    }

    /// Adds what exactly is wrong.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Adds when to ask again.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// The detail, or the code's own text.
    pub fn text(&self) -> &str {
        if self.detail.is_empty() {
            self.code.text()
        } else {
            &self.detail
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.code.number(), self.text())
    }
}
