//! Operators at a live region: every read of the language, races, and answers that are lost.

use std::time::Duration;

use flaxward_emulator::engine::EngineTiming;
use flaxward_emulator::fault::Strikes;
use flaxward_emulator::objects::{ObjectWrite, WriteAction};
use flaxward_operators::{Answer, ErrorDetail};
use flaxward_types::ConfigurationItem;
use serde_json::{Value, json};

use crate::support::callers::{Ask, Ending};
use crate::support::records::loads;
use crate::support::{Region, Shape, eventually};

const CONFIGURATION: &[&str] = &[
    "create version turbine@v1 checkpoint 'turbine/v1' weights 1GiB kv 1GiB",
    "create version turbine@v2 checkpoint 'turbine/v2' weights 2GiB kv 1GiB",
    "create model turbine serving v1 copies at most 1 in zones zone-b priority 7",
    "create adapter turbine:chiloe checkpoint 'turbine/chiloe' weights 100MiB",
    "create version stuck@v1 checkpoint 'stuck/v1' weights 1GiB",
    "create model stuck serving v1 copies at most 1 queue 9",
    "create version broken@v1 checkpoint 'broken/v1' weights 1GiB",
    "create model broken serving v1 copies at most 1",
    "create version parts@v1 checkpoint 'parts/v1' weights 1GiB",
    "create model parts serving v1 copies at most 3",
    "create service field-api concurrency 4",
    "change policy set cold_start_weight 0.7",
    "drain machine zone-c-engine-7 reason 'fan'",
];

/// Rows that every daemon shows sooner or later.
async fn assert_shown(region: &Region, command: &str, columns: &[&str], expected: &Value) {
    for daemon in 0..region.daemons.len() {
        let mut last = Value::Null;
        let shown = eventually(command, async || {
            let rows = region.rows(daemon, command, columns).await;
            let same = json!(rows) == *expected;
            if !same && last != json!(rows) {
                last = json!(rows);
                println!("daemon {daemon}, {command}: {last}, not yet {expected}");
            }
            same
        });
        shown.await;
    }
}

/// The machine that holds an artifact.
fn holder(region: &Region, artifact: &str) -> String {
    let loads = loads(&region.platform, artifact);
    loads.last().expect("it was loaded").0.to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_read_shows_the_region_as_it_is_from_each_daemon() {
    let shape = Shape {
        services: 1,
        service_time_ms: 30_000,
        timing: EngineTiming {
            decode_us: 100_000,
            ..EngineTiming::default()
        },
        ..Shape::default()
    };
    let region = Region::start(shape, CONFIGURATION).await;
    for engine in region.platform.engines().values() {
        engine.update_faults(|faults| {
            faults.stick_artifacts = ["stuck@v1".parse().expect("an artifact")].into();
            faults.fail_artifacts = ["broken@v1".parse().expect("an artifact")].into();
        });
    }
    let broken = region.ask(0, &Ask::new("broken", "why", 2)).await;
    assert_eq!(broken.code(), Some(2006), "{broken:?}");
    let mut running = Ask::new("turbine:chiloe", "why", 600).with("x-request-id", "runs");
    running.artifact = "turbine:chiloe@v1".to_owned();
    let waiting = Ask::new("stuck", "why", 2).with("x-request-id", "waits");
    let url = format!(
        "http://{}/services/field-api/stock",
        region.daemons[2].address
    );
    let serving = region.http.get(url).header("x-request-id", "serves").send();
    // The requests are in progress for as long as the reads take.
    tokio::select! {
        ending = region.ask(0, &running) => panic!("{ending:?}"),
        ending = region.ask(1, &waiting) => panic!("{ending:?}"),
        answer = serving => panic!("{answer:?}"),
        () = reads(&region) => {}
    }
}

async fn reads(region: &Region) {
    let ready = ["turbine@v1", "turbine:chiloe@v1", "stuck@v1"];
    eventually("all is loaded", async || {
        ready
            .iter()
            .all(|artifact| !loads(&region.platform, artifact).is_empty())
    })
    .await;
    let runner = holder(region, "turbine@v1");
    let stuck = holder(region, "stuck@v1");
    let stuck_zone = &stuck[.."zone-a".len()];
    let newest = region.newest_configuration();
    let gibibyte = 1_u64 << 30;
    let reads: [(&str, &[&str], Value); 19] = [
        (
            "show models order by name",
            &["name", "state", "ready", "loading", "waiting", "running"],
            json!([
                ["broken", "failing", 0, 0, 0, 0],
                ["parts", "idle", 0, 0, 0, 0],
                ["stuck", "loading", 0, 1, 1, 0],
                ["turbine", "ready", 1, 0, 0, 1],
            ]),
        ),
        (
            "show models where name like 't*' or queue_limit = 9 order by name desc limit 2",
            &[
                "name",
                "serving",
                "at_least",
                "at_most",
                "zones",
                "priority",
                "queue_limit",
            ],
            json!([
                ["turbine", "v1", 0, 1, "zone-b", 7, 1000],
                ["stuck", "v1", 0, 1, "", 100, 9],
            ]),
        ),
        (
            "show replicas of turbine order by memory desc",
            &[
                "model", "adapter", "release", "zone", "runner", "state", "memory",
            ],
            json!([
                [
                    "turbine",
                    null,
                    "v1",
                    "zone-b",
                    runner,
                    "ready",
                    2 * gibibyte
                ],
                [
                    "turbine",
                    "chiloe",
                    "v1",
                    "zone-b",
                    runner,
                    "ready",
                    100 << 20
                ],
            ]),
        ),
        (
            "show replicas where state = loading",
            &["model", "zone", "runner"],
            json!([["stuck", stuck_zone, stuck]]),
        ),
        (
            "show replicas of turbine in zone zone-c",
            &["runner"],
            json!([]),
        ),
        (
            "show runners where service = field-api order by zone",
            &["name", "zone", "state"],
            json!([
                ["zone-a-field-api-3", "zone-a", "ready"],
                ["zone-b-field-api-6", "zone-b", "ready"],
                ["zone-c-field-api-9", "zone-c", "ready"],
            ]),
        ),
        (
            "show runners where memory = 16GiB and state != ready",
            &["name", "state", "used"],
            json!([["zone-c-engine-7", "drained", 0]]),
        ),
        (
            "show runners where replicas > 1",
            &["name", "memory", "used"],
            json!([[runner, 16 * gibibyte, 2 * gibibyte + (100 << 20)]]),
        ),
        (
            "show daemons order by name",
            &["name", "zone", "state", "coordinator", "revision"],
            json!([
                ["daemon-1", "zone-a", "alive", true, newest],
                ["daemon-2", "zone-b", "alive", true, newest],
                ["daemon-3", "zone-c", "alive", true, newest],
            ]),
        ),
        (
            "show requests where priority >= 0 order by id",
            &["id", "model", "daemon", "zone", "state", "runner"],
            json!([
                [
                    "runs",
                    "turbine:chiloe@v1",
                    "daemon-1",
                    "zone-a",
                    "running",
                    runner
                ],
                [
                    "serves",
                    "field-api",
                    "daemon-3",
                    "zone-c",
                    "running",
                    "zone-c-field-api-9"
                ],
                ["waits", "stuck@v1", "daemon-2", "zone-b", "waiting", null],
            ]),
        ),
        ("show requests where age > 1h", &["id"], json!([])),
        (
            "show zones order by name",
            &["name", "coordinator", "daemons", "runners", "memory"],
            json!([
                ["zone-a", "daemon-1", 1, 2, 32 * gibibyte],
                ["zone-b", "daemon-2", 1, 2, 32 * gibibyte],
                ["zone-c", "daemon-3", 1, 2, 32 * gibibyte],
            ]),
        ),
        (
            "show adapters",
            &["model", "name", "checkpoint", "weights", "at_most", "ready"],
            json!([["turbine", "chiloe", "turbine/chiloe", 100 << 20, 1, 1]]),
        ),
        (
            "show versions where model = turbine order by name",
            &["name", "checkpoint", "weights", "kv", "serving", "ready"],
            json!([
                ["v1", "turbine/v1", gibibyte, gibibyte, true, 1],
                ["v2", "turbine/v2", 2 * gibibyte, gibibyte, false, 0],
            ]),
        ),
        (
            "show services",
            &["name", "concurrency", "machines", "running"],
            json!([["field-api", 4, 3, 1]]),
        ),
        (
            "show quotas where subject = turbine and units > 0",
            &["zone", "units", "limit"],
            json!([["zone-b", 1, 1]]),
        ),
        (
            "show drains",
            &["name", "reason"],
            json!([["zone-c-engine-7", "fan"]]),
        ),
        (
            "show policy",
            &["cold_start_weight", "keep_alive_min"],
            json!([[0.7, 30_000]]),
        ),
        (
            "show config order by daemon",
            &["daemon", "zone", "revision"],
            json!([
                ["daemon-1", "zone-a", newest],
                ["daemon-2", "zone-b", newest],
                ["daemon-3", "zone-c", newest],
            ]),
        ),
    ];
    for (command, columns, expected) in reads {
        assert_shown(region, command, columns, &expected).await;
    }
    let decisions = region.rows(
        2,
        "explain model turbine",
        &["artifact", "decision", "runner"],
    );
    let decisions = decisions.await;
    for decision in ["load", "ready"] {
        for artifact in ["turbine@v1", "turbine:chiloe@v1"] {
            let expected: Vec<Value> =
                vec![artifact.into(), decision.into(), runner.clone().into()];
            assert!(decisions.contains(&expected), "{expected:?}: {decisions:?}");
        }
    }
}

/// The priority that an operator's command sets.
fn set_priority(priority: usize, version: u64) -> String {
    format!("change model turbine set priority {priority} if version {version}")
}

/// Priority and version of the model as the object API holds them, by a read at a daemon.
async fn model(region: &Region, daemon: usize) -> (u64, u64) {
    let columns = ["priority", "version"];
    let rows = region.rows(daemon, "show models where name = turbine", &columns);
    let rows = rows.await;
    let number = |column: usize| rows[0][column].as_u64().expect("a number");
    (number(0), number(1))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_race_of_two_changes_has_one_winner_and_a_conflict_that_shows_it() {
    let region = Region::start(Shape::default(), CONFIGURATION).await;
    // Without faults, with every answer lost after its effect, and with every effect late.
    for round in 0..12 {
        region.platform.objects.update_faults(|faults| {
            faults.collections = ["configurations".to_owned()].into();
            faults.lose_answers = match round % 3 {
                1 => Strikes::next(2),
                _ => Strikes::default(),
            };
            faults.late_writes = match round % 3 {
                2 => Strikes::next(1),
                _ => Strikes::default(),
            };
            faults.late_ms = 30;
        });
        let (_, version) = model(&region, 0).await;
        let commands = [
            set_priority(10 + round, version),
            set_priority(50 + round, version),
        ];
        let (left, right) = tokio::join!(
            region.execute(0, &commands[0]),
            region.execute(1, &commands[1]),
        );
        let (winner, conflict) = match (left, right) {
            (Ok(_), Err(error)) => (10 + round, error),
            (Err(error), Ok(_)) => (50 + round, error),
            both => panic!("round {round}: no single winner: {both:?}"),
        };
        assert_eq!(
            (conflict.code, conflict.not_run),
            (5002, true),
            "round {round}"
        );
        assert_eq!(
            shown_priority(&conflict),
            Some(winner),
            "round {round}: {conflict:?}"
        );
        region.settle().await;
        for daemon in 0..3 {
            let (priority, _) = model(&region, daemon).await;
            assert_eq!(priority, winner as u64, "round {round}, daemon {daemon}");
        }
    }
    let record = region.platform.objects.record();
    let changes = changes_of(&record, "model.turbine", WriteAction::Replace);
    assert_eq!(changes, 12, "one change a round");
}

/// The priority that the winner of a conflict has written.
fn shown_priority(conflict: &ErrorDetail) -> Option<usize> {
    match conflict.current.as_ref()?.item.as_ref()? {
        ConfigurationItem::Model(spec) => Some(spec.priority.into()),
        _ => None,
    }
}

fn changes_of(record: &[ObjectWrite], name: &str, action: WriteAction) -> usize {
    let is_meant = |write: &&ObjectWrite| {
        write.collection == "configurations" && write.name == name && write.action == action
    };
    record.iter().filter(is_meant).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answers_are_lost_is_made_once_and_reported_as_made() {
    let shape = Shape {
        zones: 1,
        ..Shape::default()
    };
    let region = Region::start(shape, CONFIGURATION).await;
    let faults: [(&str, Strikes, Strikes, u64); 4] = [
        ("one answer lost", Strikes::next(1), Strikes::default(), 0),
        (
            "three answers lost",
            Strikes::next(3),
            Strikes::default(),
            0,
        ),
        (
            "effect a little late",
            Strikes::default(),
            Strikes::next(1),
            20,
        ),
        (
            "effect later than the next try",
            Strikes::default(),
            Strikes::next(1),
            1500,
        ),
    ];
    for (name, lose_answers, late_writes, late_ms) in faults {
        for (command, object, action) in [
            (
                "create service despacho concurrency 2",
                "service.despacho",
                WriteAction::Create,
            ),
            (
                "change service despacho set concurrency 3",
                "service.despacho",
                WriteAction::Replace,
            ),
            (
                "remove service despacho",
                "service.despacho",
                WriteAction::Delete,
            ),
        ] {
            let before = changes_of(&region.platform.objects.record(), object, action);
            region.platform.objects.update_faults(|faults| {
                faults.collections = ["configurations".to_owned()].into();
                faults.lose_answers = lose_answers;
                faults.late_writes = late_writes;
                faults.late_ms = late_ms;
            });
            let answer: Answer = region.command(0, command).await;
            assert!(
                answer.message.contains("service despacho"),
                "{name}: {answer:?}"
            );
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
            let after = changes_of(&region.platform.objects.record(), object, action);
            assert_eq!(after, before + 1, "{name}: {command}");
        }
    }
    region.settle().await;
    assert_eq!(
        region.rows(0, "show services", &["name"]).await,
        [["field-api"]]
    );
    let ending = region.ask(0, &Ask::new("parts", "why", 3)).await;
    assert_eq!(ending, Ending::Whole);
}
