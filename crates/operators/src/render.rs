//! Renders answers as tables or JSON.

use std::time::Duration;

use bytesize::ByteSize;
use comfy_table::{Cell, CellAlignment, Table, presets};
use serde_json::Value;

use crate::answer::{Answer, Column, ColumnKind};

/// Renders an answer as a table followed by its message; a change has only the message.
pub fn render_table(answer: &Answer) -> String {
    if answer.columns.is_empty() {
        return answer.message.clone();
    }
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(answer.columns.iter().map(|column| column.name.as_str()));
    for row in &answer.rows {
        let cells = answer
            .columns
            .iter()
            .map(|column| render_cell(column, row.get(&column.name)));
        table.add_row(cells);
    }
    let lines: Vec<String> = table
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect();
    format!("{}\n{}", lines.join("\n"), answer.message)
}

fn render_cell(column: &Column, value: Option<&Value>) -> Cell {
    let text = match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => render_number(column.kind, value),
    };
    let alignment = match column.kind {
        ColumnKind::Text | ColumnKind::Flag => CellAlignment::Left,
        ColumnKind::Number | ColumnKind::Size | ColumnKind::Duration => CellAlignment::Right,
    };
    Cell::new(text).set_alignment(alignment)
}

fn render_number(kind: ColumnKind, value: &Value) -> String {
    match (kind, value.as_u64()) {
        (ColumnKind::Size, Some(bytes)) => ByteSize(bytes).to_string(),
        (ColumnKind::Duration, Some(millis)) => {
            humantime::format_duration(Duration::from_millis(millis)).to_string()
        }
        _ => value.to_string(),
    }
}

/// Renders an answer as one line of JSON, with sizes in bytes and times in milliseconds.
///
/// # Errors
/// Never fails for an answer produced by this crate.
pub fn render_json(answer: &Answer) -> serde_json::Result<String> {
    serde_json::to_string(answer)
}
