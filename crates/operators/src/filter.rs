//! Evaluates `where`, `order by` and `limit` for every table.

use std::cmp::Ordering;

use flaxward_query::{Comparison, Condition, Operator, Order, ReplicaScope, Show, Table, Value};
use flaxward_types::{AdapterName, VersionName, ZoneName};
use serde_json::{Map, Value as Json};
use wildmatch::WildMatch;

type Row = Map<String, Json>;

/// Filters, sorts and limits rows. Ties are broken by comparing columns in table order, so that
/// every daemon returns the same order regardless of which peer responds first.
pub(crate) fn select(show: &Show, mut rows: Vec<Row>) -> Vec<Row> {
    rows.retain(|row| is_in_scope(row, &show.scope));
    if let Some(condition) = &show.condition {
        rows.retain(|row| matches_condition(row, condition));
    }
    rows.sort_by(|left, right| compare_columns(left, right, show.table));
    if let Some(order) = &show.order {
        rows.sort_by(|left, right| compare_rows(left, right, order));
    }
    if let Some(limit) = show.limit {
        rows.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    }
    rows
}

fn is_in_scope(row: &Row, scope: &ReplicaScope) -> bool {
    let field_matches = |field: &str, expected: Option<&str>| {
        expected.is_none_or(|expected| row.get(field).and_then(Json::as_str) == Some(expected))
    };
    let zone = field_matches("zone", scope.zone.as_ref().map(ZoneName::as_str));
    let target = scope.of.as_ref().is_none_or(|reference| {
        field_matches("model", Some(reference.model.as_str()))
            && field_matches(
                "adapter",
                reference.adapter.as_ref().map(AdapterName::as_str),
            )
            && field_matches(
                "release",
                reference.version.as_ref().map(VersionName::as_str),
            )
    });
    zone && target
}

fn matches_condition(row: &Row, condition: &Condition) -> bool {
    let mut groups = condition.any_of.iter();
    groups.any(|group| {
        group
            .iter()
            .all(|comparison| matches_comparison(row, comparison))
    })
}

/// A null field satisfies only `!=`; every other comparison with it is false.
fn matches_comparison(row: &Row, comparison: &Comparison) -> bool {
    let field = row.get(comparison.field).unwrap_or(&Json::Null);
    if comparison.operator == Operator::Like {
        return matches_pattern(field, &comparison.value);
    }
    let ordering = compare(field, &comparison.value);
    match comparison.operator {
        Operator::NotEqual => ordering != Some(Ordering::Equal),
        Operator::Equal => ordering == Some(Ordering::Equal),
        Operator::Less => ordering.is_some_and(Ordering::is_lt),
        Operator::LessOrEqual => ordering.is_some_and(Ordering::is_le),
        Operator::Greater => ordering.is_some_and(Ordering::is_gt),
        Operator::GreaterOrEqual => ordering.is_some_and(Ordering::is_ge),
        Operator::Like => false,
    }
}

fn matches_pattern(field: &Json, pattern: &Value) -> bool {
    match (field.as_str(), pattern) {
        (Some(text), Value::Text(pattern)) => WildMatch::new(pattern).matches(text),
        _ => false,
    }
}

fn compare(field: &Json, value: &Value) -> Option<Ordering> {
    match value {
        Value::Text(text) => Some(field.as_str()?.cmp(text)),
        Value::Number(number) => field.as_f64()?.partial_cmp(number),
        Value::Size(size) => Some(field.as_u64()?.cmp(&size.as_u64())),
        Value::Duration(duration) => Some(u128::from(field.as_u64()?).cmp(&duration.as_millis())),
        Value::Flag(flag) => Some(field.as_bool()?.cmp(flag)),
    }
}

fn compare_columns(left: &Row, right: &Row, table: Table) -> Ordering {
    table
        .fields()
        .iter()
        .map(|field| compare_by(left, right, field.name, false))
        .find(|ordering| ordering.is_ne())
        .unwrap_or(Ordering::Equal)
}

fn compare_rows(left: &Row, right: &Row, order: &Order) -> Ordering {
    compare_by(left, right, order.field, order.descending)
}

/// Null values sort last in either direction.
fn compare_by(left: &Row, right: &Row, field: &str, descending: bool) -> Ordering {
    let left = left.get(field).unwrap_or(&Json::Null);
    let right = right.get(field).unwrap_or(&Json::Null);
    let ordering = compare_fields(left, right);
    match (left.is_null(), right.is_null()) {
        (false, false) if descending => ordering.reverse(),
        (false, false) => ordering,
        (left_null, right_null) => left_null.cmp(&right_null),
    }
}

fn compare_fields(left: &Json, right: &Json) -> Ordering {
    match (left, right) {
        (Json::String(left), Json::String(right)) => left.cmp(right),
        (Json::Bool(left), Json::Bool(right)) => left.cmp(right),
        _ => compare_numbers(left, right),
    }
}

fn compare_numbers(left: &Json, right: &Json) -> Ordering {
    if let (Some(left), Some(right)) = (left.as_u64(), right.as_u64()) {
        return left.cmp(&right);
    }
    let left = left.as_f64().unwrap_or_default();
    left.total_cmp(&right.as_f64().unwrap_or_default())
}
