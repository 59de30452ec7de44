//! Tables, filters and rendering of answers.

use std::collections::BTreeSet;

use crate::support::executor;
use flaxward_operators::{Answer, Column, ColumnKind, render_json, render_table};
use flaxward_query::Table;
use flaxward_types::ResultCode;
use serde_json::{Value, json};

fn texts(answer: &Answer, field: &str) -> Vec<String> {
    let cells = answer.rows.iter().map(|row| &row[field]);
    cells
        .map(|cell| {
            cell.as_str()
                .map_or_else(|| cell.to_string(), str::to_owned)
        })
        .collect()
}

#[tokio::test]
async fn every_row_has_exactly_the_fields_of_its_table() {
    let (_, executor) = executor().await;
    for table in Table::ALL {
        let command = match table {
            Table::Decisions => "explain model m".to_owned(),
            _ => format!("show {}", table.keyword()),
        };
        let answer = executor.execute(&command).await.expect("rows");
        let fields: BTreeSet<&str> = table.fields().iter().map(|field| field.name).collect();
        assert!(!answer.rows.is_empty());
        for row in &answer.rows {
            let found: BTreeSet<&str> = row.keys().map(String::as_str).collect();
            assert_eq!(found, fields, "{command}");
        }
        for column in &answer.columns {
            let has_type = match column.kind {
                ColumnKind::Text => Value::is_string,
                ColumnKind::Flag => Value::is_boolean,
                ColumnKind::Number => Value::is_number,
                ColumnKind::Size | ColumnKind::Duration => Value::is_u64,
            };
            let cell = &answer.rows[0][&column.name];
            assert!(
                cell.is_null() || has_type(cell),
                "{command}: {column:?} {cell}"
            );
        }
    }
}

#[tokio::test]
async fn filters_order_and_limit() {
    let cases: &[(&str, &str, &[&str])] = &[
        (
            "show models",
            "name",
            &["parts", "scada-draft", "scada-summary"],
        ),
        (
            "show models where name like 'scada*'",
            "name",
            &["scada-draft", "scada-summary"],
        ),
        ("show models where name like 'part?'", "name", &["parts"]),
        (
            "show models where state = ready",
            "name",
            &["scada-summary"],
        ),
        (
            "show models where state != ready",
            "name",
            &["parts", "scada-draft"],
        ),
        (
            "show models where waiting > 8 and name like 's*' or state = idle",
            "name",
            &["parts", "scada-draft"],
        ),
        (
            "show models where waiting >= 9 and waiting < 10",
            "name",
            &["scada-draft"],
        ),
        ("show models where waiting <= 0", "name", &["scada-summary"]),
        ("show models order by waiting", "waiting", &["0", "9", "10"]),
        (
            "show models order by waiting desc limit 1",
            "name",
            &["parts"],
        ),
        (
            "SHOW models ORDER BY name LIMIT 2",
            "name",
            &["parts", "scada-draft"],
        ),
        ("show models limit 0", "name", &[]),
        ("show replicas of m", "zone", &["a", "a", "b"]),
        ("show replicas of m in zone a", "adapter", &["x", "null"]),
        ("show replicas of m:x@v1", "memory", &["209715200"]),
        ("show replicas of m@v2", "zone", &[]),
        (
            "show replicas in zone b where memory > 1GiB",
            "model",
            &["m"],
        ),
        (
            "show replicas where adapter != x and zone = a",
            "adapter",
            &["null"],
        ),
        ("show replicas where adapter <= x", "adapter", &["x"]),
        (
            "show replicas order by adapter desc limit 1",
            "adapter",
            &["x"],
        ),
        ("show requests where age < 1s", "age", &["0"]),
        ("show daemons where coordinator = true", "name", &[]),
        (
            "show daemons where coordinator != true",
            "coordinator",
            &["false"],
        ),
    ];
    let (_, executor) = executor().await;
    for (command, field, expected) in cases {
        let answer = executor.execute(command).await.expect(command);
        assert_eq!(texts(&answer, field), *expected, "{command}");
    }
}

#[tokio::test]
async fn query_errors_have_their_result_codes() {
    let (_, executor) = executor().await;
    let error = executor
        .execute("explain model nobody")
        .await
        .expect_err("unknown");
    assert_eq!(error.refusal.code, ResultCode::UnknownObject);
    let error = executor
        .execute("show\tmodles")
        .await
        .expect_err("a syntax error");
    assert_eq!(error.refusal.code, ResultCode::BadCommand);
    assert_eq!(
        error
            .position
            .map(|position| (position.line, position.column)),
        Some((1, 6))
    );
}

#[test]
fn tables_format_sizes_and_times_and_json_keeps_them_exact() {
    let column = |name: &str, kind| Column {
        name: name.to_owned(),
        kind,
    };
    let row = json!({"name": "m", "memory": 20_u64 << 30, "age": 90_000, "runner": null});
    let Value::Object(row) = row else {
        panic!("an object")
    };
    let answer = Answer {
        columns: vec![
            column("name", ColumnKind::Text),
            column("memory", ColumnKind::Size),
            column("age", ColumnKind::Duration),
            column("runner", ColumnKind::Text),
        ],
        rows: vec![row],
        message: "1 row".to_owned(),
    };
    let table = render_table(&answer);
    let cells_by_line: Vec<Vec<&str>> = table
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(cells_by_line[0], ["name", "memory", "age", "runner"]);
    assert_eq!(cells_by_line[1], ["m", "20.0", "GiB", "1m", "30s", "-"]);
    assert_eq!(cells_by_line[2], ["1", "row"]);
    let json = render_json(&answer).expect("encodes");
    assert_eq!(
        serde_json::from_str::<Answer>(&json).expect("decodes"),
        answer
    );
    assert!(json.contains("\"memory\":21474836480"));
}
