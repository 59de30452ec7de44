//! The client against the HTTP endpoint.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::support::{Fault, executor};
use flaxward_operators::client::{Connection, Format, LineSource, Session};
use flaxward_operators::{ErrorBody, Executor, MAX_COMMAND_BYTES, exit_code, router};
use flaxward_types::ResultCode;
use salvo::conn::{Acceptor, Listener, TcpListener};
use tokio::task::JoinHandle;

async fn serve(executor: Arc<Executor>) -> (SocketAddr, JoinHandle<()>) {
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let address = acceptor.holdings()[0].local_addr.clone().into_std();
    let server = salvo::Server::new(acceptor).serve(router(executor));
    (address.expect("an address"), tokio::spawn(server))
}

struct Outcome {
    code: u8,
    output: String,
    errors: String,
}

impl Outcome {
    fn error(&self) -> ErrorBody {
        serde_json::from_str(&self.errors).expect("one error as JSON")
    }
}

struct Lines(Vec<&'static str>);

impl LineSource for Lines {
    fn next_line(&mut self) -> anyhow::Result<Option<String>> {
        let next = (!self.0.is_empty()).then(|| self.0.remove(0).to_owned());
        Ok(next)
    }
}

async fn run(address: SocketAddr, format: Format, lines: Vec<&'static str>) -> Outcome {
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let mut session = Session {
        connection: Connection::new(&address.to_string()).expect("a client"),
        format,
        output: &mut output,
        errors: &mut errors,
    };
    let code = session.run_pipe(Lines(lines)).await.expect("lines run");
    Outcome {
        code,
        output: String::from_utf8(output).expect("text"),
        errors: String::from_utf8(errors).expect("text"),
    }
}

#[tokio::test]
async fn commands_run_in_order_up_to_the_first_failure() {
    let (store, executor) = executor().await;
    let (address, server) = serve(executor).await;
    let lines = vec![
        "-- a comment\n",
        "change model m set at most 5; change model m set at most 6 if version 9\n",
        "remove model m\n",
    ];
    let outcome = run(address, Format::Table, lines).await;
    assert_eq!(outcome.output, "changed model m, now at version 4\n");
    assert_eq!(outcome.code, exit_code(ResultCode::VersionConflict));
    let error = outcome.error().error;
    assert_eq!((error.code, error.name.as_str()), (5002, "VersionConflict"));
    assert!(error.not_run);
    assert_eq!(error.current.expect("the current state").version.0, 4);
    assert!(store.object("model.m").is_some());
    server.abort();
}

#[tokio::test]
async fn faults_have_their_exit_codes() {
    for (command, fault, exit, code, not_run) in [
        ("shwo models", Fault::None, 2, 5001, true),
        ("change model m set at least 9", Fault::None, 2, 5005, true),
        ("create model m serving v1", Fault::None, 3, 5004, true),
        ("remove version m@v1", Fault::None, 3, 5007, true),
        ("remove service s", Fault::None, 4, 5003, true),
        ("explain model nobody", Fault::None, 4, 5003, true),
        ("change model m set at most 5", Fault::Down, 5, 7001, true),
        (
            "change model m set at most 5",
            Fault::LostResponse,
            5,
            5006,
            false,
        ),
    ] {
        let (store, executor) = executor().await;
        store.set_fault(fault);
        let (address, server) = serve(executor).await;
        let outcome = run(address, Format::Json, vec![command]).await;
        let error = outcome.error().error;
        assert_eq!(
            (outcome.code, error.code, error.not_run),
            (exit, code, not_run),
            "{command}"
        );
        assert_eq!(outcome.output, "");
        server.abort();
    }
}

#[tokio::test]
async fn an_unreachable_daemon_gives_definitely_not_run() {
    let (_, executor) = executor().await;
    let (address, server) = serve(executor).await;
    server.abort();
    assert!(server.await.is_err());
    let outcome = run(address, Format::Json, vec!["show models"]).await;
    let error = outcome.error().error;
    assert_eq!((outcome.code, error.code, error.not_run), (5, 3004, true));
}

#[tokio::test]
async fn a_closed_connection_leaves_the_outcome_unknown() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            let _ = connection.readable().await;
        }
    });
    let outcome = run(address, Format::Json, vec!["remove model m"]).await;
    let error = outcome.error().error;
    assert_eq!((outcome.code, error.code, error.not_run), (5, 5006, false));
    server.abort();
}

#[tokio::test]
async fn an_oversized_command_is_refused() {
    let (_, executor) = executor().await;
    let (address, server) = serve(executor).await;
    let connection = Connection::new(&address.to_string()).expect("a client");
    let command = format!("show models --{}", "x".repeat(MAX_COMMAND_BYTES));
    let body = connection.execute(&command).await.expect_err("too long");
    assert_eq!(body.error.result_code(), Some(ResultCode::BodyTooLong));
    server.abort();
}

#[tokio::test]
async fn answers_in_json_are_one_line_each() {
    let (_, executor) = executor().await;
    let (address, server) = serve(executor).await;
    let outcome = run(
        address,
        Format::Json,
        vec!["show models limit 1; show zones"],
    )
    .await;
    let answers: Vec<flaxward_operators::Answer> = outcome
        .output
        .lines()
        .map(|line| serde_json::from_str(line).expect("an answer"))
        .collect();
    assert_eq!(answers.len(), 2);
    assert_eq!(answers[0].rows[0]["name"], "parts");
    assert_eq!((outcome.code, outcome.errors.as_str()), (0, ""));
    server.abort();
}

#[test]
fn every_result_code_has_a_failure_exit_code() {
    for code in ResultCode::ALL {
        assert!((1..=5).contains(&exit_code(*code)), "{code:?}");
    }
}
