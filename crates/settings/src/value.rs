//! Types of values, each with its form in the file and in a flag.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;
use figment::value::Value;
use flaxward_types::{DaemonName, ZoneName};
use spdlog::Level;
use url::Url;

/// A value that stands under a key.
pub(crate) trait SettingValue: Sized {
    /// What it looks like, for people.
    const KIND: &'static str;

    /// Reads it from a text, as in a flag, a default or a string of the file.
    fn from_text(text: &str) -> Result<Self, String>;

    /// Reads it from the file.
    fn from_value(value: &Value) -> Result<Self, String> {
        match scalar_text(value) {
            Some(text) => Self::from_text(&text),
            None => Err(format!("expected {}", Self::KIND)),
        }
    }

    /// The value of a key that is not set and has no default, if that is allowed.
    fn absent() -> Option<Self> {
        None
    }
}

/// The text of a string or number.
fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::String(_, text) => Some(text.clone()),
        Value::Num(_, number) => number
            .to_i128()
            .map(|number| number.to_string())
            .or_else(|| number.to_u128().map(|number| number.to_string()))
            .or_else(|| number.to_f64().map(|number| number.to_string())),
        _ => None,
    }
}

/// Reads a text with the type's own parser.
fn parse<T: FromStr<Err: fmt::Display>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|error: T::Err| error.to_string())
}

impl SettingValue for DaemonName {
    const KIND: &'static str = "name";

    fn from_text(text: &str) -> Result<Self, String> {
        parse(text)
    }
}

impl SettingValue for ZoneName {
    const KIND: &'static str = "name";

    fn from_text(text: &str) -> Result<Self, String> {
        parse(text)
    }
}

impl SettingValue for SocketAddr {
    const KIND: &'static str = "IP address and port";

    fn from_text(text: &str) -> Result<Self, String> {
        text.parse()
            .map_err(|_| "expected an IP address and a port, such as 10.0.0.1:8700".to_owned())
    }
}

impl SettingValue for Url {
    const KIND: &'static str = "http URL";

    fn from_text(text: &str) -> Result<Self, String> {
        let url: Self = parse(text)?;
        if url.scheme() == "http" && url.has_host() {
            Ok(url)
        } else {
            Err("expected a URL that starts with http:// and has a host".to_owned())
        }
    }
}

impl SettingValue for Duration {
    const KIND: &'static str = "duration";

    fn from_text(text: &str) -> Result<Self, String> {
        let duration = humantime::parse_duration(text).map_err(|error| error.to_string())?;
        if duration.is_zero() {
            return Err("a duration must be longer than zero".to_owned());
        }
        Ok(duration)
    }
}

impl SettingValue for ByteSize {
    const KIND: &'static str = "size";

    fn from_text(text: &str) -> Result<Self, String> {
        let size: Self = parse(text)?;
        if size.as_u64() == 0 {
            return Err("a size must be more than zero".to_owned());
        }
        Ok(size)
    }
}

impl SettingValue for u32 {
    const KIND: &'static str = "count";

    fn from_text(text: &str) -> Result<Self, String> {
        match text.parse() {
            Ok(0) => Err("a count must be at least 1".to_owned()),
            Ok(count) => Ok(count),
            Err(_) => Err(format!("expected a whole number from 1 to {}", u32::MAX)),
        }
    }
}

/// A part of a whole, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Share(f64);

impl Share {
    /// The part, from 0 to 1.
    pub fn get(self) -> f64 {
        self.0
    }

    /// The part in whole thousandths, rounded.
    pub fn per_thousand(self) -> u32 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let thousandths = (self.0 * 1000.0).round() as u32;
        thousandths
    }
}

impl SettingValue for Share {
    const KIND: &'static str = "number from 0 to 1";

    fn from_text(text: &str) -> Result<Self, String> {
        match text.parse() {
            Ok(share) if (0.0..=1.0).contains(&share) => Ok(Self(share)),
            _ => Err("expected a number from 0 to 1".to_owned()),
        }
    }
}

impl SettingValue for Level {
    const KIND: &'static str = "critical, error, warn, info, debug or trace";

    fn from_text(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_| format!("expected {}", Self::KIND))
    }
}

impl<T: SettingValue> SettingValue for Option<T> {
    const KIND: &'static str = T::KIND;

    fn from_text(text: &str) -> Result<Self, String> {
        T::from_text(text).map(Some)
    }

    fn from_value(value: &Value) -> Result<Self, String> {
        T::from_value(value).map(Some)
    }

    fn absent() -> Option<Self> {
        Some(None)
    }
}

/// A daemon that a starting daemon asks for the members. Text form: `address` or `zone=address`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its zone; the starting daemon's own zone if not given.
    pub zone: Option<ZoneName>,
    /// Where it listens for daemons.
    pub address: SocketAddr,
}

impl SettingValue for Seed {
    const KIND: &'static str = "zone=address, address or { zone, address }";

    fn from_text(text: &str) -> Result<Self, String> {
        let (zone, address) = match text.split_once('=') {
            Some((zone, address)) => (Some(ZoneName::from_text(zone)?), address),
            None => (None, text),
        };
        let address = SocketAddr::from_text(address)?;
        Ok(Self { zone, address })
    }

    fn from_value(value: &Value) -> Result<Self, String> {
        let Value::Dict(_, fields) = value else {
            return scalar_text(value)
                .ok_or_else(|| format!("expected {}", Self::KIND))
                .and_then(|text| Self::from_text(&text));
        };
        if let Some(other) = fields
            .keys()
            .find(|key| !matches!(key.as_str(), "zone" | "address"))
        {
            return Err(format!("{other:?} is neither zone nor address"));
        }
        let address = fields.get("address").ok_or("the address is missing")?;
        let zone = fields.get("zone").map(ZoneName::from_value).transpose()?;
        let address = SocketAddr::from_value(address)?;
        Ok(Self { zone, address })
    }
}

/// Reads the elements of a list; a text has commas between them.
fn list_from_text<T: SettingValue>(text: &str) -> Result<Vec<T>, String> {
    text.split(',')
        .map(str::trim)
        .filter(|element| !element.is_empty())
        .map(T::from_text)
        .collect()
}

/// Reads the elements of a list from the file.
fn list_from_value<T: SettingValue>(value: &Value) -> Result<Vec<T>, String> {
    match value {
        Value::Array(_, elements) => elements.iter().map(T::from_value).collect(),
        Value::String(_, text) => list_from_text(text),
        _ => Err("expected a list".to_owned()),
    }
}

impl SettingValue for Vec<ZoneName> {
    const KIND: &'static str = "list of names";

    fn from_text(text: &str) -> Result<Self, String> {
        list_from_text(text)
    }

    fn from_value(value: &Value) -> Result<Self, String> {
        list_from_value(value)
    }
}

impl SettingValue for Vec<Seed> {
    const KIND: &'static str = "list of addresses, `zone=address` or `{ zone, address }`";

    fn from_text(text: &str) -> Result<Self, String> {
        list_from_text(text)
    }

    fn from_value(value: &Value) -> Result<Self, String> {
        list_from_value(value)
    }
}
