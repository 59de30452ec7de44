//! Faults in settings.

use std::fmt;

use flaxward_types::ResultCode;
use serde_json::{Value, json};

/// One fault in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// One of the result codes from 6001 to 6004.
    pub code: ResultCode,
    /// The key, or the path of the file if it cannot be read.
    pub key: String,
    /// The value found, if there is one.
    pub value: Option<String>,
    /// What is wrong, for people.
    pub reason: String,
    /// Line of a syntax error in the file, from 1.
    pub line: Option<usize>,
}

impl SettingError {
    /// A fault without a value or a line.
    pub(crate) fn new(code: ResultCode, key: &str, reason: impl Into<String>) -> Self {
        Self {
            code,
            key: key.to_owned(),
            value: None,
            reason: reason.into(),
            line: None,
        }
    }

    /// Adds the value found.
    pub(crate) fn with_value(mut self, value: Option<String>) -> Self {
        self.value = value;
        self
    }

    /// The fault as one JSON object.
    pub fn to_json(&self) -> Value {
        json!({
            "code": self.code.number(),
            "key": self.key,
            "value": self.value,
            "reason": self.reason,
            "line": self.line,
        })
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.code.number(), self.key)?;
        if let Some(value) = &self.value {
            write!(formatter, " = {value}")?;
        }
        if let Some(line) = self.line {
            write!(formatter, " line {line}")?;
        }
        write!(formatter, ": {}", self.reason)
    }
}

/// All faults found in the settings; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsErrors(pub Vec<SettingError>);

impl SettingsErrors {
    /// One JSON object a line.
    pub fn to_json_lines(&self) -> String {
        let lines: Vec<String> = self
            .0
            .iter()
            .map(|error| error.to_json().to_string())
            .collect();
        lines.join("\n")
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}
