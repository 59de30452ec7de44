//! The answer to a command.

use flaxward_query::{Field, FieldKind, Table};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// What a column holds, for those who print it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColumnKind {
    /// A text.
    Text,
    /// A number.
    Number,
    /// A size in bytes.
    Size,
    /// A time in milliseconds.
    Duration,
    /// True or false.
    Flag,
}

/// A column of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Column {
    /// Its name, also the key in each row.
    pub name: String,
    /// What it holds.
    pub kind: ColumnKind,
}

impl From<&Field> for Column {
    fn from(field: &Field) -> Self {
        let kind = match field.kind {
            FieldKind::Text | FieldKind::State(_) => ColumnKind::Text,
            FieldKind::Number => ColumnKind::Number,
            FieldKind::Size => ColumnKind::Size,
            FieldKind::Duration => ColumnKind::Duration,
            FieldKind::Flag => ColumnKind::Flag,
        };
        Self {
            name: field.name.to_owned(),
            kind,
        }
    }
}

/// The answer to a command.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The columns, in the order to show; none for a change.
    pub columns: Vec<Column>,
    /// The rows; each has every column.
    pub rows: Vec<Map<String, Value>>,
    /// What was done, or how many rows there are.
    pub message: String,
}

impl Answer {
    /// Rows of a table.
    pub(crate) fn of_table(table: Table, rows: Vec<Map<String, Value>>) -> Self {
        let noun = if rows.len() == 1 { "row" } else { "rows" };
        Self {
            columns: table.fields().iter().map(Column::from).collect(),
            message: format!("{} {noun}", rows.len()),
            rows,
        }
    }

    /// What was done.
    pub(crate) fn of_change(message: String) -> Self {
        Self {
            message,
            ..Self::default()
        }
    }
}
