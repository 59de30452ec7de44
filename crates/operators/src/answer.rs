//! Command results.

use flaxward_query::{Field, FieldKind, Table};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The value type of a column, which determines how it is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColumnKind {
    /// A string.
    Text,
    /// A number.
    Number,
    /// A size in bytes.
    Size,
    /// A time in milliseconds.
    Duration,
    /// A boolean.
    Flag,
}

/// A column of a result table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Column {
    /// Column name, also the key in each row.
    pub name: String,
    /// Type of its values.
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

/// The result of a command.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Columns in display order; empty for a change.
    pub columns: Vec<Column>,
    /// Rows; each has a value for every column.
    pub rows: Vec<Map<String, Value>>,
    /// The changes made, or the number of rows.
    pub message: String,
}

impl Answer {
    /// Creates the result of a query.
    pub(crate) fn from_rows(table: Table, rows: Vec<Map<String, Value>>) -> Self {
        let noun = if rows.len() == 1 { "row" } else { "rows" };
        Self {
            columns: table.fields().iter().map(Column::from).collect(),
            message: format!("{} {noun}", rows.len()),
            rows,
        }
    }

    /// Creates the result of a change.
    pub(crate) fn from_change(message: String) -> Self {
        Self {
            message,
            ..Self::default()
        }
    }
}
