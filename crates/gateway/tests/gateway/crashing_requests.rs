//! Requests that crash the machines that run them.
//!
//! Found by reading, after an incident at the ingress: the gateway, too, forgets a request with its try, so that a caller
//! who repeats one that crashes its machine is sent on to machine after machine. The ingress counts crashes by what a request
//! asks for; nothing does here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use flaxward_types::engine::Machine;
use reqwest::Method;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::support::{Bench, fetch, machine};

/// Machines that a request may crash until it must not be sent any more.
const CRASHES_ALLOWED: u32 = 3;
/// How often it may be sent after that.
const SENDS_ALLOWED: u32 = 3;
/// Tries of the caller.
const TRIES: u32 = 12;

/// A machine that ends with the first request that it gets; counts these.
async fn crashing_machine(crashes: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        drop(listener);
        let mut bytes = [0; 4096];
        if connection
            .read(&mut bytes)
            .await
            .is_ok_and(|length| length > 0)
        {
            crashes.fetch_add(1, Ordering::Relaxed);
        }
    });
    address
}

#[tokio::test]
async fn a_request_that_has_crashed_three_machines_is_not_sent_any_more() {
    let bench = Bench::start(|_| {}).await;
    let crashes = Arc::new(AtomicU32::new(0));
    let mut machines: Vec<Machine> = Vec::new();
    for number in 0..TRIES {
        let address = crashing_machine(crashes.clone()).await;
        machines.push(machine(&format!("s{number}"), address));
    }
    bench.gateway.on_machines(&machines);
    for _ in 0..TRIES {
        let request = bench.request(Method::POST, "/services/despacho/orders");
        fetch(request.body("crash")).await;
    }
    let sent = crashes.load(Ordering::Relaxed);
    assert!(
        sent <= CRASHES_ALLOWED + SENDS_ALLOWED,
        "{sent} machines crashed"
    );
}
