//! Commands as types.

use std::time::Duration;

use bytesize::ByteSize;
use flaxward_types::{ConfigurationItem, ItemKey, ModelName, ModelRef, Revision, ZoneName};

use crate::settings::{
    AdapterSetting, ModelSetting, PolicySetting, ServiceSetting, VersionSetting,
};
use crate::table::Table;

/// One command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Reads a table.
    Show(Show),
    /// Asks why a model is loaded or not.
    Explain(ModelName),
    /// Changes the configuration.
    Change(Change),
}

/// Reads a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// Which table.
    pub table: Table,
    /// Which replicas; only with [`Table::Replicas`].
    pub scope: ReplicaScope,
    /// Which rows, or all.
    pub condition: Option<Condition>,
    /// In which order, or as they come.
    pub order: Option<Order>,
    /// How many rows at most.
    pub limit: Option<u32>,
}

/// Which replicas are shown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaScope {
    /// Of which model, adapter or version, or of all.
    pub of: Option<ModelRef>,
    /// In which zone, or in all.
    pub zone: Option<ZoneName>,
}

/// Which rows are shown: those for which every comparison of any one group holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Groups joined by `or`; the comparisons of a group are joined by `and`. None is empty.
    pub any_of: Vec<Vec<Comparison>>,
}

/// One comparison of a field with a value.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Name of the field, one of the table's.
    pub field: &'static str,
    /// How to compare.
    pub operator: Operator,
    /// With what; has the kind of the field.
    pub value: Value,
}

/// How a field is compared with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// The same.
    Equal,
    /// Not the same.
    NotEqual,
    /// Smaller.
    Less,
    /// Smaller or the same.
    LessOrEqual,
    /// Greater.
    Greater,
    /// Greater or the same.
    GreaterOrEqual,
    /// Matches a pattern with `*` and `?`; text only.
    Like,
}

impl Operator {
    /// Every operator.
    pub const ALL: [Self; 7] = [
        Self::Equal,
        Self::NotEqual,
        Self::Less,
        Self::LessOrEqual,
        Self::Greater,
        Self::GreaterOrEqual,
        Self::Like,
    ];

    /// As it is written.
    pub fn symbol(self) -> &'static str {
        match self {
            Self::Equal => "=",
            Self::NotEqual => "!=",
            Self::Less => "<",
            Self::LessOrEqual => "<=",
            Self::Greater => ">",
            Self::GreaterOrEqual => ">=",
            Self::Like => "like",
        }
    }
}

/// What a field is compared with.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A text.
    Text(String),
    /// A number; finite.
    Number(f64),
    /// A size.
    Size(ByteSize),
    /// A time, in whole milliseconds.
    Duration(Duration),
    /// True or false.
    Flag(bool),
}

/// By which field rows are sorted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the field, one of the table's.
    pub field: &'static str,
    /// Greatest first.
    pub descending: bool,
}

/// Changes one item of configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Which item.
    pub key: ItemKey,
    /// The version the operator saw, if named. Zero means that there was none.
    pub expected: Option<Revision>,
    /// What to do with it.
    pub edit: Edit,
}

/// What to do with an item.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Create it.
    Create(ConfigurationItem),
    /// Set some settings of a model.
    SetModel(Vec<ModelSetting>),
    /// Set some settings of a version.
    SetVersion(Vec<VersionSetting>),
    /// Set some settings of an adapter.
    SetAdapter(Vec<AdapterSetting>),
    /// Set some settings of a service.
    SetService(Vec<ServiceSetting>),
    /// Set some settings of the policy.
    SetPolicy(Vec<PolicySetting>),
    /// Remove it.
    Remove {
        /// With all that refers to it or belongs to it; only for models.
        with_all: bool,
    },
}
