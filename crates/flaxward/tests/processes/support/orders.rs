//! Callers of a plain service whose requests may not be repeated, and what the service did with them.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flaxward_emulator::Platform;

use super::callers::{Ending, Refused, judge_refusal};

/// Longest time a caller waits for an answer.
const CALLER_PATIENCE: Duration = Duration::from_secs(120);

/// Path of the requests, at a daemon.
const PATH: &str = "/services/field-api/orders";

/// A request that may not be repeated.
#[derive(Clone, Debug, Default)]
pub struct Order {
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its body.
    pub body: String,
    /// Its deadline; that of the daemon if not given.
    pub deadline: Option<&'static str>,
}

impl Order {
    /// A request with a key.
    pub fn keyed(key: &str) -> Self {
        Self {
            key: Some(key.to_owned()),
            body: format!("order {key}"),
            deadline: None,
        }
    }
}

/// What a caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The service's answer.
    Answered(String),
    /// A refusal by the daemon.
    Refused(Refused),
    /// The daemon broke off.
    Broken,
}

impl Reply {
    /// The result code of a refusal.
    pub fn code(&self) -> Option<u64> {
        match self {
            Self::Refused(refused) => Some(refused.code),
            Self::Answered(_) | Self::Broken => None,
        }
    }
}

/// Sends requests, each under a request id of its own, and keeps those said not to have run.
#[derive(Default)]
pub struct Orders {
    http: reqwest::Client,
    sent: AtomicU64,
    not_run: Mutex<Vec<String>>,
}

impl Orders {
    /// Sends a request to a daemon.
    pub async fn send(&self, address: &str, order: &Order) -> Reply {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        let request_id = format!("order-{number}");
        let mut request = self
            .http
            .post(format!("http://{address}{PATH}"))
            .timeout(CALLER_PATIENCE)
            .header("x-request-id", &request_id)
            .body(order.body.clone());
        if let Some(key) = &order.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(deadline) = order.deadline {
            request = request.header("x-flaxward-deadline", deadline);
        }
        let Ok(response) = request.send().await else {
            return Reply::Broken;
        };
        let status = response.status().as_u16();
        match response.text().await {
            Ok(text) if status == 200 => Reply::Answered(text),
            Ok(text) => self.refused(request_id, status, &text),
            Err(_) => Reply::Broken,
        }
    }

    fn refused(&self, request_id: String, status: u16, text: &str) -> Reply {
        let Ending::Refused(refused) = judge_refusal(status, text) else {
            panic!("status {status} without a code: {text}");
        };
        if refused.not_run {
            let mut not_run = self.not_run.lock().expect("no caller panics with it");
            not_run.push(request_id);
        }
        Reply::Refused(refused)
    }

    /// Asserts that no request ran of which a caller was told that it did not run.
    pub fn assert_not_run_was_true(&self, platform: &Platform) {
        let not_run = self.not_run.lock().expect("no caller panics with it");
        for request_id in &*not_run {
            assert_eq!(times_run(platform, request_id), 0, "{request_id}");
        }
    }
}

/// How often a request with this idempotency key or request id ran, by the records of all machines.
pub fn times_run(platform: &Platform, name: &str) -> usize {
    let services = platform.services().values();
    services
        .map(|service| service.record().times_run(name))
        .sum()
}

/// Requests that have reached a machine of a service, also those that are still running.
pub fn received(platform: &Platform) -> u64 {
    let services = platform.services().values();
    services.map(|service| service.record().received).sum()
}
