//! Where values come from: the file, and the flags over it.

use std::path::Path;

use figment::Figment;
use figment::providers::{Format, Serialized, Toml};
use figment::value::Dict;
use flaxward_types::ResultCode;

use crate::error::SettingError;
use crate::flags::Flags;

/// Reads the file and lays the flags over it.
pub(crate) fn merged(path: Option<&Path>, flags: &Flags) -> Result<Dict, SettingError> {
    let mut figment = Figment::new();
    if let Some(path) = path {
        figment = figment.merge(Serialized::defaults(file(path)?));
    }
    for entry in flags.overrides() {
        figment = figment.merge(Serialized::default(&entry.key, entry.value));
    }
    figment
        .extract()
        .map_err(|error| SettingError::new(ResultCode::UnreadableSettings, "", error.to_string()))
}

/// Reads the file as TOML.
fn file(path: &Path) -> Result<Dict, SettingError> {
    let unreadable = |reason: String| {
        let key = path.display().to_string();
        SettingError::new(ResultCode::UnreadableSettings, &key, reason)
    };
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))?;
    Toml::from_str(&text).map_err(|error| SettingError {
        line: error.span().map(|span| line_of(&text, span.start)),
        ..unreadable(error.message().to_owned())
    })
}

/// The line of a byte offset, from 1.
fn line_of(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    before.filter(|&&byte| byte == b'\n').count() + 1
}
