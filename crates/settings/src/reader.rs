//! Takes typed values out of the merged sources and notes every fault.

use figment::value::{Dict, Value};
use flaxward_types::ResultCode;

use crate::error::SettingError;
use crate::key::{Key, Presence};
use crate::sections::Settings;
use crate::value::SettingValue;

/// How alike two keys must be for one to be suggested in place of the other, from 0 to 1.
const SUGGESTION_LIKENESS: f64 = 0.75;

/// Reads keys and collects faults.
pub(crate) struct Reader<'a> {
    values: &'a Dict,
    errors: Vec<SettingError>,
}

impl<'a> Reader<'a> {
    /// Reads from these values.
    pub(crate) fn new(values: &'a Dict) -> Self {
        Self {
            values,
            errors: Vec::new(),
        }
    }

    /// The faults found.
    pub(crate) fn into_errors(self) -> Vec<SettingError> {
        self.errors
    }

    /// Reads a key and notes the fault if it cannot be used.
    pub(crate) fn read<T: SettingValue>(&mut self, name: &str) -> Option<T> {
        match self.typed(name) {
            Ok(value) => Some(value),
            Err(error) => {
                self.errors.push(error);
                None
            }
        }
    }

    /// Reads a key again for a check; `None` if it cannot be used, which is noted elsewhere.
    pub(crate) fn peek<T: SettingValue>(&self, name: &str) -> Option<T> {
        self.typed(name).ok()
    }

    /// Notes a value that cannot be used together with others.
    pub(crate) fn refuse(&mut self, name: &str, reason: impl Into<String>) {
        let error = SettingError::new(ResultCode::InvalidSetting, name, reason);
        let value = self.shown(name);
        self.errors.push(error.with_value(value));
    }

    /// Notes a key that is missing.
    pub(crate) fn missing(&mut self, name: &str, reason: impl Into<String>) {
        let error = SettingError::new(ResultCode::MissingSetting, name, reason);
        self.errors.push(error);
    }

    /// Notes every key that does not exist and every section that is no table.
    pub(crate) fn check_names(&mut self) {
        for (section, value) in self.values {
            let known = Settings::keys().any(|key| key.section() == section);
            match value {
                Value::Dict(_, fields) if known => self.check_fields(section, fields),
                _ if known => self.refuse(section, format!("expected a table [{section}]")),
                _ => self.unknown(section),
            }
        }
    }

    fn check_fields(&mut self, section: &str, fields: &Dict) {
        for field in fields.keys() {
            let name = format!("{section}.{field}");
            if key(&name).is_none() {
                self.unknown(&name);
            }
        }
    }

    fn unknown(&mut self, name: &str) {
        let reason = match suggestion(name) {
            Some(suggestion) => format!("no such key; did you mean {suggestion}?"),
            None => "no such key".to_owned(),
        };
        let error = SettingError::new(ResultCode::UnknownSetting, name, reason);
        let value = self.shown(name);
        self.errors.push(error.with_value(value));
    }

    fn typed<T: SettingValue>(&self, name: &str) -> Result<T, SettingError> {
        let missing = || SettingError::new(ResultCode::MissingSetting, name, "must be set");
        let invalid = |reason| {
            let error = SettingError::new(ResultCode::InvalidSetting, name, reason);
            error.with_value(self.shown(name))
        };
        if let Some(value) = self.value(name) {
            return T::from_value(value).map_err(invalid);
        }
        match key(name).map(|key| key.presence) {
            Some(Presence::Default(text)) => T::from_text(text).map_err(invalid),
            _ => T::absent().ok_or_else(missing),
        }
    }

    fn value(&self, name: &str) -> Option<&'a Value> {
        let Some((section, field)) = name.split_once('.') else {
            return self.values.get(name);
        };
        match self.values.get(section)? {
            Value::Dict(_, fields) => fields.get(field),
            _ => None,
        }
    }

    /// The value of a key as people and JSON see it.
    fn shown(&self, name: &str) -> Option<String> {
        if let Some(value) = self.value(name) {
            return serde_json::to_string(value).ok();
        }
        match key(name)?.presence {
            Presence::Default(text) => Some(text.to_owned()),
            _ => None,
        }
    }
}

/// The key of a name.
fn key(name: &str) -> Option<&'static Key> {
    Settings::keys().find(|key| key.name == name)
}

/// The key most like an unknown one: the same name in another section, or else a similar spelling.
/// For a section, the section most like it.
fn suggestion(name: &str) -> Option<&'static str> {
    let field = name.rsplit('.').next().unwrap_or(name);
    if let Some(key) = Settings::keys().find(|key| key.field() == field) {
        return Some(key.name);
    }
    if field == name {
        return most_alike(name, Settings::keys().map(Key::section));
    }
    most_alike(name, Settings::keys().map(|key| key.name))
}

fn most_alike(name: &str, candidates: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    candidates
        .map(|candidate| {
            (
                strsim::normalized_damerau_levenshtein(candidate, name),
                candidate,
            )
        })
        .filter(|&(likeness, _)| likeness >= SUGGESTION_LIKENESS)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}
