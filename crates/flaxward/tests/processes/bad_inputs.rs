//! Bad input of callers, operators and settings files: a numbered code each, and nobody else is
//! disturbed.

use std::process::{Command, Output, Stdio};
use std::time::Duration;

use flaxward_emulator::engine::EngineTiming;
use reqwest::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

use crate::support::callers::{Ask, Ending, Refused, judge_refusal};
use crate::support::daemon::{PROGRAM, settings_text};
use crate::support::{Region, Shape, eventually, records};

const CONFIGURATION: &[&str] = &[
    "create version turbine@v1 checkpoint 'turbine/v1' weights 1GiB kv 1GiB",
    "create model turbine serving v1 copies at most 1",
    "create adapter turbine:chiloe checkpoint 'turbine/chiloe' weights 100MiB",
    "create version cold@v1 checkpoint 'cold/v1' weights 8GiB kv 1GiB",
    "create model cold serving v1",
    "create version giant@v1 checkpoint 'giant/v1' weights 100GiB kv 1GiB",
    "create model giant serving v1",
    "create version barred@v1 checkpoint 'barred/v1' weights 1GiB kv 1GiB",
    "create model barred serving v1 copies at most 0",
    "create service field-api concurrency 4",
    "create service despacho concurrency 4",
];

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const GOOD: &str = r#"{"model": "turbine", "prompt": "why"}"#;

/// Longest body and headers in these tests.
const SMALL: &[(&str, &str)] = &[
    ("gateway.body_limit", "16 KiB"),
    ("gateway.header_limit", "4 KiB"),
    ("gateway.body_timeout", "500ms"),
];

/// A bad request and the status and code that answer it.
struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, Vec<u8>)>,
    body: Vec<u8>,
    status: u16,
    code: u64,
}

fn body(name: &'static str, path: &'static str, body: &str, status: u16, code: u64) -> Case {
    Case {
        name,
        method: Method::POST,
        path,
        headers: Vec::new(),
        body: body.as_bytes().to_vec(),
        status,
        code,
    }
}

fn header(name: &'static str, headers: &[(&'static str, &[u8])], status: u16, code: u64) -> Case {
    let headers = headers.iter().map(|(name, value)| (*name, value.to_vec()));
    Case {
        headers: headers.collect(),
        ..body(name, COMPLETIONS, GOOD, status, code)
    }
}

fn method(method: Method, path: &'static str, status: u16, code: u64) -> Case {
    Case {
        method,
        ..body("path or method", path, GOOD, status, code)
    }
}

/// Names and values of headers.
type BadHeaders = &'static [(&'static str, &'static [u8])];

fn cases() -> Vec<Case> {
    let long_prompt = format!(
        r#"{{"model": "turbine", "prompt": "{}"}}"#,
        "x".repeat(20_000)
    );
    let bad_headers: &[(&'static str, BadHeaders)] = &[
        ("deadline", &[("x-flaxward-deadline", b"soon")]),
        ("negative deadline", &[("x-flaxward-deadline", b"-3s")]),
        ("rank too high", &[("x-flaxward-priority", b"10")]),
        ("no rank", &[("x-flaxward-priority", b"high")]),
        (
            "two ranks",
            &[("x-flaxward-priority", b"1"), ("x-flaxward-priority", b"2")],
        ),
        ("repeatable", &[("x-flaxward-repeatable", b"perhaps")]),
        ("empty key", &[("idempotency-key", b"")]),
        ("long key", &[("idempotency-key", &[b'k'; 256])]),
        ("key of no text", &[("idempotency-key", &[0xff, 0xfe])]),
        ("request id", &[("x-request-id", &[0xc3, 0xa9])]),
    ];
    let mut cases = vec![
        body("empty", COMPLETIONS, "", 400, 1001),
        body("no JSON", COMPLETIONS, "{", 400, 1001),
        body("no object", COMPLETIONS, "[1, 2]", 400, 1001),
        body("no model", COMPLETIONS, r#"{"prompt": "why"}"#, 400, 1001),
        body(
            "no prompt",
            COMPLETIONS,
            r#"{"model": "turbine"}"#,
            400,
            1001,
        ),
        body("no messages", CHAT, GOOD, 400, 1001),
        body(
            "model of a wrong type",
            COMPLETIONS,
            r#"{"model": 7, "prompt": ""}"#,
            400,
            1001,
        ),
        body(
            "stream of a wrong type",
            COMPLETIONS,
            r#"{"model": "turbine", "prompt": "", "stream": "yes"}"#,
            400,
            1001,
        ),
        body(
            "no such model",
            COMPLETIONS,
            r#"{"model": "wind", "prompt": ""}"#,
            404,
            1003,
        ),
        body(
            "no name",
            COMPLETIONS,
            r#"{"model": "Wind ?", "prompt": ""}"#,
            404,
            1003,
        ),
        body(
            "no such adapter",
            COMPLETIONS,
            r#"{"model": "turbine:x", "prompt": ""}"#,
            404,
            1003,
        ),
        body(
            "no such version",
            CHAT,
            r#"{"model": "turbine@v9", "messages": []}"#,
            404,
            1003,
        ),
        body("no such service", "/services/parts/stock", "{}", 404, 1004),
        body(
            "no name of a service",
            "/services/PARTS/stock",
            "{}",
            404,
            1004,
        ),
        body("long", COMPLETIONS, &long_prompt, 413, 1005),
        body(
            "long, to a service",
            "/services/field-api/x",
            &long_prompt,
            413,
            1005,
        ),
        header("long headers", &[("x-note", &[b'n'; 5000])], 431, 1008),
        method(Method::GET, COMPLETIONS, 404, 1007),
        method(Method::POST, "/v1/models", 404, 1007),
        method(Method::POST, "/v2/completions", 404, 1007),
        method(Method::GET, "/", 404, 1007),
        method(Method::GET, "/operators/query", 404, 1007),
        // What the region cannot do is told at once as well.
        Case {
            body: br#"{"model": "cold", "prompt": ""}"#.to_vec(),
            ..header(
                "too little time",
                &[("x-flaxward-deadline", b"1s")],
                503,
                2001,
            )
        },
        body(
            "too large",
            COMPLETIONS,
            r#"{"model": "giant", "prompt": ""}"#,
            503,
            2004,
        ),
        body(
            "no copies",
            COMPLETIONS,
            r#"{"model": "barred", "prompt": ""}"#,
            503,
            2005,
        ),
        body("no machine", "/services/despacho/vans", "{}", 503, 2010),
    ];
    let refused = |(name, headers): &(&'static str, &[(&'static str, &[u8])])| {
        header(name, headers, 400, 1002)
    };
    cases.extend(bad_headers.iter().map(refused));
    cases
}

async fn send(region: &Region, case: &Case) -> Ending {
    let url = format!("http://{}{}", region.daemons[0].address, case.path);
    let mut request = region.http.request(case.method.clone(), url);
    for (name, value) in &case.headers {
        request = request.header(*name, value.as_slice());
    }
    let response = request.body(case.body.clone()).send().await;
    let response = response.expect("an answer");
    let status = response.status().as_u16();
    judge_refusal(status, &response.text().await.expect("a whole answer"))
}

/// What a daemon answers to raw bytes, until it closes the connection.
async fn send_raw(region: &Region, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(&region.daemons[0].address)
        .await
        .expect("a connection");
    stream.write_all(bytes).await.expect("the bytes are sent");
    let mut answer = Vec::new();
    // A connection that is reset has nothing more to say.
    let _ = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_their_codes_and_disturb_no_neighbour() {
    let shape = Shape {
        zones: 1,
        services: 1,
        timing: EngineTiming {
            decode_us: 20_000,
            ..EngineTiming::default()
        },
        settings: SMALL,
        ..Shape::default()
    };
    let region = Region::start(shape, CONFIGURATION).await;
    let neighbour = Ask::new("turbine", "the neighbour", 400);
    let disturb = async {
        eventually("the neighbour runs", async || {
            records::requests(&region.platform).len() == 1
        })
        .await;
        bad_requests(&region).await;
    };
    let (ending, ()) = tokio::join!(region.ask(0, &neighbour), disturb);
    assert_eq!(ending, Ending::Whole, "the neighbour");
    assert_eq!(
        records::requests(&region.platform).len(),
        1,
        "nothing else ran"
    );
    let services = region.platform.services().values();
    let executions = services.map(|service| service.record().executions.len());
    assert_eq!(executions.sum::<usize>(), 0, "nothing ran");
}

async fn bad_requests(region: &Region) {
    for case in cases() {
        let refused = Refused {
            status: case.status,
            code: case.code,
            not_run: true,
        };
        let ending = send(region, &case).await;
        assert_eq!(ending, Ending::Refused(refused), "{}", case.name);
    }
    let slow = send_raw(
        region,
        b"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{",
    );
    let slow = slow.await;
    assert!(
        slow.starts_with("HTTP/1.1 408") && slow.contains("1006"),
        "{slow}"
    );
    for garbage in [&b"\x16\x03\x01\x02\x00"[..], b"GET\r\n\r\n", &[0; 4096]] {
        let answer = send_raw(region, garbage).await;
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    let peer = &region.daemons[0].peer_address;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    for garbage in [&b""[..], b"hello", &[0xff; 1200]] {
        socket.send_to(garbage, peer).await.expect("it is sent");
        let mut stream = TcpStream::connect(peer).await.expect("a connection");
        // The daemon may close the connection first.
        let _ = stream.write_all(garbage).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_commands_get_their_codes_and_exit_codes() {
    let shape = Shape {
        zones: 1,
        ..Shape::default()
    };
    let region = Region::start(shape, CONFIGURATION).await;
    let before = region.newest_configuration();
    // Command, result code, exit code of `flaxward query`.
    let cases = [
        ("", 5001, 0),
        ("shwo models", 5001, 2),
        ("show models where state = redy", 5001, 2),
        ("create model Turbine serving v1", 5001, 2),
        ("change model turbine set at most 2 if version 1", 5002, 3),
        ("change model wind set at most 2", 5003, 4),
        ("explain model wind", 5003, 4),
        ("resume machine zone-a-engine-1", 5003, 4),
        ("create model turbine serving v1", 5004, 3),
        ("change model turbine set serving v9", 5005, 2),
        ("change model turbine set at least 3", 5005, 2),
        ("change policy set cold_start_weight 2", 5005, 2),
        ("remove version turbine@v1", 5007, 3),
        ("remove model turbine", 5007, 3),
    ];
    for (command, code, exit) in cases {
        let error = region.execute(0, command).await.expect_err(command);
        assert_eq!(
            (error.code, error.not_run),
            (code, true),
            "{command}: {error:?}"
        );
        assert_eq!(error.position.is_some(), code == 5001, "{command}");
        assert_eq!(
            error.current.is_some(),
            matches!(code, 5002 | 5004),
            "{command}"
        );
        let output = query(&region.daemons[0].address, command);
        assert_eq!(output.status.code(), Some(exit), "{command}: {output:?}");
    }
    let url = format!("http://{}/operators/query", region.daemons[0].address);
    let bodies = [
        (vec![0xff, 0xfe], 400, 1001),
        (vec![b' '; 70_000], 413, 1005),
    ];
    for (body, status, code) in bodies {
        let response = region.http.post(&url).body(body).send().await;
        let response = response.expect("an answer");
        assert_eq!(response.status().as_u16(), status);
        let text = response.text().await.expect("a whole answer");
        assert_eq!(judge_refusal(status, &text).code(), Some(code), "{text}");
    }
    assert_eq!(region.newest_configuration(), before, "nothing was changed");
    let unreachable = query("127.0.0.1:1", "show models");
    assert_eq!(unreachable.status.code(), Some(5), "{unreachable:?}");
}

fn query(address: &str, command: &str) -> Output {
    let mut program = Command::new(PROGRAM);
    program.args(["query", "--daemon", address, command]);
    let output = program.stdin(Stdio::null()).output();
    output.expect("the program runs")
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_settings_are_told_by_key_and_code_and_start_no_daemon() {
    let shape = Shape {
        zones: 1,
        ..Shape::default()
    };
    let region = Region::start(shape, &[]).await;
    let good = region.settings("daemon-x", "zone-a");
    // Key, value, result code, the key that is named.
    let cases = [
        ("daemon.name", "Daemon X", 6002, "daemon.name"),
        ("daemon.nmae", "x", 6001, "daemon.nmae"),
        ("daemons.name", "x", 6001, "daemons"),
        ("daemon.zone", "zone-z", 6002, "daemon.zone"),
        ("daemon.zones", "", 6002, "daemon.zones"),
        ("daemon.zones", "zone-a,zone-a", 6002, "daemon.zones"),
        ("daemon.listen", "localhost:80", 6002, "daemon.listen"),
        ("daemon.listen", "127.0.0.1:99999", 6002, "daemon.listen"),
        (
            "daemon.peer_listen",
            "0.0.0.0:8701",
            6003,
            "daemon.peer_advertise",
        ),
        (
            "daemon.peer_advertise",
            "0.0.0.0:8701",
            6002,
            "daemon.peer_advertise",
        ),
        ("daemon.seeds", "10.0.0.1:0", 6002, "daemon.seeds"),
        ("daemon.seeds", "zone-z=10.0.0.1:1", 6002, "daemon.seeds"),
        (
            "platform.object_api",
            "10.0.0.1:80",
            6002,
            "platform.object_api",
        ),
        (
            "platform.machine_list",
            "https://x",
            6002,
            "platform.machine_list",
        ),
        (
            "platform.engine_timeout",
            "0s",
            6002,
            "platform.engine_timeout",
        ),
        ("gateway.body_limit", "big", 6002, "gateway.body_limit"),
        ("gateway.attempts", "0", 6002, "gateway.attempts"),
        ("gateway.retry_share", "2", 6002, "gateway.retry_share"),
        (
            "gateway.default_deadline",
            "11m",
            6002,
            "gateway.default_deadline",
        ),
        ("gateway.body_timeout", "10m", 6002, "gateway.body_timeout"),
        (
            "gateway.demand_renewal",
            "2s",
            6002,
            "gateway.demand_renewal",
        ),
        ("claims.lifetime", "10m", 6002, "gateway.max_deadline"),
        (
            "coordinator.lease_renewal",
            "1400ms",
            6002,
            "coordinator.lease_renewal",
        ),
        (
            "coordinator.load_timeout",
            "500ms",
            6002,
            "coordinator.inventory_refresh",
        ),
        (
            "membership.probe_timeout",
            "200ms",
            6002,
            "membership.probe_timeout",
        ),
        ("logs.level", "loud", 6002, "logs.level"),
    ];
    for (key, value, code, named) in cases {
        let mut settings = good.clone();
        settings.insert(key.to_owned(), value.to_owned());
        let text = settings_text(&settings);
        assert_refused(&region, &text, &format!("{code} {named}"), key);
    }
    let required = ["daemon.name", "daemon.zones", "platform.object_api"];
    for key in required {
        let mut settings = good.clone();
        settings.remove(key);
        let text = settings_text(&settings);
        assert_refused(&region, &text, &format!("6003 {key}"), key);
    }
    for text in ["[daemon]\nname = \n", "[daemon\n", "\u{0}"] {
        assert_refused(&region, text, "6004 ", text);
    }
    let file = region.file("good.toml", &settings_text(&good));
    let accepted = run("check-config", &file);
    assert_eq!(accepted.status.code(), Some(0), "{accepted:?}");
    for command in ["check-config", "serve"] {
        let absent = run(command, &file.with_file_name("absent.toml"));
        assert_eq!(absent.status.code(), Some(2), "{absent:?}");
    }
}

/// Asserts that both `check-config` and `serve` refuse a settings file, with this line.
fn assert_refused(region: &Region, text: &str, line: &str, name: &str) {
    let file = region.file("bad.toml", text);
    for command in ["check-config", "serve"] {
        let output = run(command, &file);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{command}, {name}: {output:?}"
        );
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        let told = text.lines().any(|told| told.starts_with(line));
        assert!(told, "{command}, {name}: {line} is not in {text}");
    }
}

fn run(command: &str, file: &std::path::Path) -> Output {
    let mut program = Command::new(PROGRAM);
    let output = program.arg(command).arg("--config").arg(file).output();
    output.expect("the program runs")
}
