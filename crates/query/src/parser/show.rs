//! Parser for the `show` command.

use flaxward_types::ModelRef;
use winnow::combinator::{opt, preceded, separated};
use winnow::prelude::*;

use super::primitives::{
    Input, Parsed, accept, count, duration, keyword, name, number, one_keyword, size, symbol, text,
};
use super::track::Expectation;
use crate::command::{Comparison, Condition, Operator, Order, ReplicaScope, Show, Value};
use crate::table::{Field, FieldKind, Table};
use crate::token::TokenKind;

/// Parses the remainder of a command after `show`.
pub(super) fn show(input: &mut Input) -> Parsed<Show> {
    let table = table(input)?;
    let scope = match table {
        Table::Replicas => scope(input)?,
        _ => ReplicaScope::default(),
    };
    let condition = opt(preceded(keyword("where"), |input: &mut Input| {
        condition(input, table)
    }))
    .parse_next(input)?;
    let order = opt(|input: &mut Input| order(input, table)).parse_next(input)?;
    let limit = opt(preceded(keyword("limit"), count)).parse_next(input)?;
    Ok(Show {
        table,
        scope,
        condition,
        order,
        limit,
    })
}

fn table(input: &mut Input) -> Parsed<Table> {
    let tables = Table::ALL.iter().filter(|table| table.is_shown());
    let word = one_keyword(input, tables.clone().map(|table| table.keyword()))?;
    let found = tables.copied().find(|table| table.keyword() == word);
    Ok(found.unwrap_or(Table::Models))
}

fn scope(input: &mut Input) -> Parsed<ReplicaScope> {
    let of = opt(preceded(keyword("of"), model_reference)).parse_next(input)?;
    let zone = opt(preceded(
        (keyword("in"), keyword("zone")),
        name("the name of a zone"),
    ))
    .parse_next(input)?;
    Ok(ReplicaScope { of, zone })
}

fn model_reference(input: &mut Input) -> Parsed<ModelRef> {
    let model = name("the name of a model").parse_next(input)?;
    let adapter = opt(preceded(symbol(":"), name("the name of an adapter"))).parse_next(input)?;
    let version = opt(preceded(symbol("@"), name("the name of a version"))).parse_next(input)?;
    Ok(ModelRef {
        model,
        adapter,
        version,
    })
}

fn condition(input: &mut Input, table: Table) -> Parsed<Condition> {
    let any_of = separated(
        1..,
        |input: &mut Input| comparisons(input, table),
        keyword("or"),
    )
    .parse_next(input)?;
    Ok(Condition { any_of })
}

fn comparisons(input: &mut Input, table: Table) -> Parsed<Vec<Comparison>> {
    let comparison = |input: &mut Input| comparison(input, table);
    separated(1.., comparison, keyword("and")).parse_next(input)
}

fn comparison(input: &mut Input, table: Table) -> Parsed<Comparison> {
    let field = field(input, table)?;
    let operator = operator(input, field.kind)?;
    let value = value(input, field.kind, operator)?;
    Ok(Comparison {
        field: field.name,
        operator,
        value,
    })
}

fn field(input: &mut Input, table: Table) -> Parsed<&'static Field> {
    let fields = table.fields();
    let name = one_keyword(input, fields.iter().map(|field| field.name))?;
    Ok(table.field(name).unwrap_or(&fields[0]))
}

/// Parses an operator that the field kind supports: flags and states are not ordered, and only text
/// and state fields match patterns.
fn operator(input: &mut Input, kind: FieldKind) -> Parsed<Operator> {
    let allowed = Operator::ALL.into_iter().filter(|operator| match operator {
        Operator::Equal | Operator::NotEqual => true,
        Operator::Like => matches!(kind, FieldKind::Text | FieldKind::State(_)),
        _ => !matches!(kind, FieldKind::Flag | FieldKind::State(_)),
    });
    let expected = allowed
        .clone()
        .map(|operator| Expectation::Word(operator.symbol()));
    accept(input, expected, |kind| {
        let found = match kind {
            TokenKind::Symbol(symbol) => symbol,
            TokenKind::Word(word) => word.as_str(),
            _ => return None,
        };
        let mut allowed = allowed;
        allowed.find(|operator| operator.symbol().eq_ignore_ascii_case(found))
    })
}

fn value(input: &mut Input, kind: FieldKind, operator: Operator) -> Parsed<Value> {
    match kind {
        FieldKind::State(words) if operator != Operator::Like => state(input, words),
        FieldKind::Text | FieldKind::State(_) => text.map(Value::Text).parse_next(input),
        FieldKind::Number => number.map(Value::Number).parse_next(input),
        FieldKind::Size => size.map(Value::Size).parse_next(input),
        FieldKind::Duration => duration.map(Value::Duration).parse_next(input),
        FieldKind::Flag => one_keyword(input, ["true", "false"].into_iter())
            .map(|word| Value::Flag(word == "true")),
    }
}

/// Parses one of the states of a field, optionally quoted.
fn state(input: &mut Input, words: &'static [&'static str]) -> Parsed<Value> {
    let expected = words.iter().map(|word| Expectation::Word(word));
    accept(input, expected, |kind| match kind {
        TokenKind::Word(found) | TokenKind::Text(found) => words
            .iter()
            .find(|word| found.eq_ignore_ascii_case(word))
            .map(|word| Value::Text((*word).to_owned())),
        _ => None,
    })
}

fn order(input: &mut Input, table: Table) -> Parsed<Order> {
    (keyword("order"), keyword("by")).parse_next(input)?;
    let field = field(input, table)?.name;
    let descending = opt(keyword("desc")).parse_next(input)?.is_some();
    Ok(Order { field, descending })
}
