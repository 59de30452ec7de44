//! Formats commands as text that parses back to the same command.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bytesize::ByteSize;
use flaxward_types::configuration::DrainSpec;
use flaxward_types::{ConfigurationItem, ItemKey};

use crate::command::{
    Change, Command, Comparison, Condition, Edit, Operator, Order, ReplicaScope, Show, Value,
};
use crate::settings::{
    AdapterSetting, ModelSetting, PolicySetting, ServiceSetting, VersionSetting,
};

/// Binary units, largest first.
const UNITS: [(u64, &str); 4] = [
    (1 << 40, "TiB"),
    (1 << 30, "GiB"),
    (1 << 20, "MiB"),
    (1 << 10, "KiB"),
];

/// Formats a size in the largest unit that gives a whole number.
pub fn print_size(size: ByteSize) -> String {
    let bytes = size.as_u64();
    UNITS
        .iter()
        .find(|(unit, _)| bytes > 0 && bytes.is_multiple_of(*unit))
        .map_or_else(
            || format!("{bytes}B"),
            |(unit, name)| format!("{}{name}", bytes / unit),
        )
}

fn print_millis(millis: u64) -> String {
    print_duration(Duration::from_millis(millis))
}

fn print_duration(duration: Duration) -> String {
    humantime::format_duration(duration)
        .to_string()
        .replace(' ', "")
}

fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn join<T: Display>(parts: impl IntoIterator<Item = T>, separator: &str) -> String {
    let parts: Vec<String> = parts.into_iter().map(|part| part.to_string()).collect();
    parts.join(separator)
}

/// Formats all settings of an item in the syntax of `create`.
pub fn describe(item: &ConfigurationItem) -> String {
    match item {
        ConfigurationItem::Model(spec) => join(ModelSetting::from_spec(spec), " "),
        ConfigurationItem::Version(spec) => join(VersionSetting::from_spec(spec), " "),
        ConfigurationItem::Adapter(spec) => join(AdapterSetting::from_spec(spec), " "),
        ConfigurationItem::Service(spec) => join(ServiceSetting::from_spec(spec), " "),
        ConfigurationItem::Drain(DrainSpec { reason }) => format!("reason {}", quote(reason)),
        ConfigurationItem::Policy(spec) => join(PolicySetting::from_spec(spec), " "),
    }
}

impl Display for ModelSetting {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Serving(version) => write!(formatter, "serving {version}"),
            Self::AtMost(count) => write!(formatter, "at most {count}"),
            Self::AtLeast(count) => write!(formatter, "at least {count}"),
            Self::Zones(zones) if zones.is_empty() => write!(formatter, "in all zones"),
            Self::Zones(zones) => write!(formatter, "in zones {}", join(zones, ", ")),
            Self::Priority(priority) => write!(formatter, "priority {priority}"),
            Self::QueueLimit(limit) => write!(formatter, "queue {limit}"),
        }
    }
}

impl Display for VersionSetting {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Checkpoint(path) => write!(formatter, "checkpoint {}", quote(path)),
            Self::Weights(size) => write!(formatter, "weights {}", print_size(*size)),
            Self::KvCache(size) => write!(formatter, "kv {}", print_size(*size)),
        }
    }
}

impl Display for AdapterSetting {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Checkpoint(path) => write!(formatter, "checkpoint {}", quote(path)),
            Self::Weights(size) => write!(formatter, "weights {}", print_size(*size)),
            Self::AtMost(count) => write!(formatter, "at most {count}"),
        }
    }
}

impl Display for ServiceSetting {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self::Concurrency(count) = self;
        write!(formatter, "concurrency {count}")
    }
}

impl Display for PolicySetting {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::ColdStartWeight(weight) => write!(formatter, "cold_start_weight {weight}"),
            Self::WeightStoreParallel(count) => write!(formatter, "weight_store_parallel {count}"),
            Self::WeightStorePerSecond(rate) => write!(formatter, "weight_store_per_second {rate}"),
            Self::KeepAliveMin(millis) => {
                write!(formatter, "keep_alive_min {}", print_millis(*millis))
            }
            Self::KeepAliveMax(millis) => {
                write!(formatter, "keep_alive_max {}", print_millis(*millis))
            }
        }
    }
}

impl Display for Command {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(show) => show.fmt(formatter),
            Self::Explain(model) => write!(formatter, "explain model {model}"),
            Self::Change(change) => change.fmt(formatter),
        }
    }
}

impl Display for Show {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "show {}", self.table.keyword())?;
        self.scope.fmt(formatter)?;
        if let Some(condition) = &self.condition {
            write!(formatter, " where {condition}")?;
        }
        if let Some(Order { field, descending }) = &self.order {
            let direction = if *descending { " desc" } else { "" };
            write!(formatter, " order by {field}{direction}")?;
        }
        if let Some(limit) = self.limit {
            write!(formatter, " limit {limit}")?;
        }
        Ok(())
    }
}

impl Display for ReplicaScope {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if let Some(reference) = &self.of {
            write!(formatter, " of {}", reference.model)?;
            if let Some(adapter) = &reference.adapter {
                write!(formatter, ":{adapter}")?;
            }
            if let Some(version) = &reference.version {
                write!(formatter, "@{version}")?;
            }
        }
        if let Some(zone) = &self.zone {
            write!(formatter, " in zone {zone}")?;
        }
        Ok(())
    }
}

impl Display for Condition {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let groups = self.any_of.iter().map(|group| join(group, " and "));
        write!(formatter, "{}", join(groups, " or "))
    }
}

impl Display for Comparison {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {} {}", self.field, self.operator, self.value)
    }
}

impl Display for Operator {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.symbol())
    }
}

impl Display for Value {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => formatter.write_str(&quote(text)),
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Size(size) => formatter.write_str(&print_size(*size)),
            Self::Duration(duration) => formatter.write_str(&print_duration(*duration)),
            Self::Flag(flag) => write!(formatter, "{flag}"),
        }
    }
}

/// Formats a key in the syntax of commands.
pub fn print_key(key: &ItemKey) -> String {
    match key {
        ItemKey::Model(model) => format!("model {model}"),
        ItemKey::Version(model, version) => format!("version {model}@{version}"),
        ItemKey::Adapter(model, adapter) => format!("adapter {model}:{adapter}"),
        ItemKey::Service(service) => format!("service {service}"),
        ItemKey::Drain(runner) => format!("machine {runner}"),
        ItemKey::Policy => "policy".to_owned(),
    }
}

impl Display for Change {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let key = print_key(&self.key);
        match &self.edit {
            Edit::Create(item @ ConfigurationItem::Drain(_)) => {
                write!(formatter, "drain {key} {}", describe(item))?;
            }
            Edit::Create(item) => write!(formatter, "create {key} {}", describe(item))?,
            Edit::SetModel(settings) => print_set(formatter, &key, settings)?,
            Edit::SetVersion(settings) => print_set(formatter, &key, settings)?,
            Edit::SetAdapter(settings) => print_set(formatter, &key, settings)?,
            Edit::SetService(settings) => print_set(formatter, &key, settings)?,
            Edit::SetPolicy(settings) => print_set(formatter, &key, settings)?,
            Edit::Remove { .. } if matches!(self.key, ItemKey::Drain(_)) => {
                write!(formatter, "resume {key}")?;
            }
            Edit::Remove { with_all } => {
                let all = if *with_all { " with all" } else { "" };
                write!(formatter, "remove {key}{all}")?;
            }
        }
        match self.expected {
            Some(version) => write!(formatter, " if version {version}"),
            None => Ok(()),
        }
    }
}

fn print_set<T: Display>(formatter: &mut Formatter<'_>, key: &str, settings: &[T]) -> fmt::Result {
    write!(formatter, "change {key} set {}", join(settings, ", "))
}
