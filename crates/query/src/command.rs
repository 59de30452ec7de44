//! Typed representation of commands.

use std::time::Duration;

use bytesize::ByteSize;
use flaxward_types::{ConfigurationItem, ItemKey, ModelName, ModelRef, Revision, ZoneName};

use crate::settings::{
    AdapterSetting, ModelSetting, PolicySetting, ServiceSetting, VersionSetting,
};
use crate::table::Table;

/// A parsed command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Reads a table.
    Show(Show),
    /// Explains why a model is loaded or not.
    Explain(ModelName),
    /// Changes the configuration.
    Change(Change),
}

/// A `show` command.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// Table to read.
    pub table: Table,
    /// Replicas to show; used only with [`Table::Replicas`].
    pub scope: ReplicaScope,
    /// Filter on the rows; `None` shows all of them.
    pub condition: Option<Condition>,
    /// Sort order; `None` leaves the rows unsorted.
    pub order: Option<Order>,
    /// Maximum number of rows.
    pub limit: Option<u32>,
}

/// Selects the replicas to show.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaScope {
    /// Model, adapter or version; `None` selects all.
    pub of: Option<ModelRef>,
    /// Zone; `None` selects all.
    pub zone: Option<ZoneName>,
}

/// A row filter in disjunctive normal form: a row matches if all comparisons of some group hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Groups joined by `or`; the comparisons of a group are joined by `and`. No group is empty.
    pub any_of: Vec<Vec<Comparison>>,
}

/// A comparison of a field with a value.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Name of the field, one of the table's.
    pub field: &'static str,
    /// Comparison operator.
    pub operator: Operator,
    /// Value to compare with; its type matches the kind of the field.
    pub value: Value,
}

/// A comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// Equal.
    Equal,
    /// Not equal.
    NotEqual,
    /// Less than.
    Less,
    /// Less than or equal.
    LessOrEqual,
    /// Greater than.
    Greater,
    /// Greater than or equal.
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

    /// The operator as written in the language.
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

/// A literal that a field is compared with.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A string.
    Text(String),
    /// A finite number.
    Number(f64),
    /// A size.
    Size(ByteSize),
    /// A duration in whole milliseconds.
    Duration(Duration),
    /// True or false.
    Flag(bool),
}

/// Sort order of the rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the field, one of the table's.
    pub field: &'static str,
    /// Sorts in descending order.
    pub descending: bool,
}

/// A change of one configuration item.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key of the item.
    pub key: ItemKey,
    /// Version that the operator expects, if given. Zero means that the item does not exist.
    pub expected: Option<Revision>,
    /// Operation on the item.
    pub edit: Edit,
}

/// An operation on a configuration item.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Creates the item.
    Create(ConfigurationItem),
    /// Changes settings of a model.
    SetModel(Vec<ModelSetting>),
    /// Changes settings of a version.
    SetVersion(Vec<VersionSetting>),
    /// Changes settings of an adapter.
    SetAdapter(Vec<AdapterSetting>),
    /// Changes settings of a service.
    SetService(Vec<ServiceSetting>),
    /// Changes settings of the policy.
    SetPolicy(Vec<PolicySetting>),
    /// Removes the item.
    Remove {
        /// Also removes the adapters and versions of the model; only for models.
        with_all: bool,
    },
}
