//! The paths of an engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flaxward_types::AttemptId;
use flaxward_types::engine::Order;
use salvo::Router;
use salvo::http::StatusCode;
use serde_json::{Value, json};

use super::completions::{Form, answer};
use super::faults::EngineFaults;
use super::state::Shared;
use super::streams::KvCache;
use crate::fault::{lock, pause_ms};
use crate::http::{Call, Reply, endpoint};

pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    let cache = Router::with_path("kv")
        .get(endpoint(shared, export_kv))
        .put(endpoint(shared, import_kv));
    let stream = Router::with_path("streams/{first}")
        .delete(endpoint(shared, cancel))
        .push(cache);
    let engine = Router::with_path("engine")
        .push(Router::with_path("orders").post(endpoint(shared, order)))
        .push(Router::with_path("inventory").get(endpoint(shared, inventory)))
        .push(Router::with_path("load").get(endpoint(shared, load)))
        .push(Router::with_path("events").get(endpoint(shared, events)))
        .push(Router::with_path("crash").post(endpoint(shared, crash)))
        .push(stream);
    let text = endpoint(shared, |shared, call| answer(shared, call, Form::Text));
    let chat = endpoint(shared, |shared, call| answer(shared, call, Form::Chat));
    let faults = Router::with_path("faults")
        .get(endpoint(shared, show_faults))
        .post(endpoint(shared, set_faults));
    Router::new()
        .push(engine)
        .push(Router::with_path("v1/completions").post(text))
        .push(Router::with_path("v1/chat/completions").post(chat))
        .push(Router::with_path("v1/models").get(endpoint(shared, models)))
        .push(Router::with_path("record").get(endpoint(shared, record)))
        .push(faults)
}

async fn record(shared: Arc<Shared>, _call: Call) -> Reply {
    Reply::ok(&shared.record())
}

async fn show_faults(shared: Arc<Shared>, _call: Call) -> Reply {
    Reply::ok(&lock(&shared.state).faults)
}

async fn set_faults(shared: Arc<Shared>, call: Call) -> Reply {
    match call.json::<EngineFaults>() {
        Ok(faults) => {
            let reply = Reply::ok(&faults);
            shared.update_faults(|current| *current = faults);
            reply
        }
        Err(reply) => reply,
    }
}

async fn crash(shared: Arc<Shared>, _call: Call) -> Reply {
    shared.crash();
    Reply::ok(&json!({}))
}

/// Lets a fault answer in the engine's place.
fn fault(shared: &Shared) -> Option<Reply> {
    if shared.refusing.is_set() {
        return Some(Reply::broken());
    }
    lock(&shared.state).faults.down.then(Reply::down)
}

async fn order(shared: Arc<Shared>, call: Call) -> Reply {
    if let Some(reply) = fault(&shared) {
        return reply;
    }
    let order = match call.json::<Order>() {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    let delay = lock(&shared.state).faults.delay_orders_ms;
    pause_ms(delay).await;
    let lost = {
        let mut state = lock(&shared.state);
        state.faults.lose_order_answers.strike(&shared.dice)
    };
    let answer = shared.order_and_note(&order, lost);
    if lost {
        return Reply::broken();
    }
    Reply::ok(&answer)
}

async fn inventory(shared: Arc<Shared>, _call: Call) -> Reply {
    fault(&shared).unwrap_or_else(|| Reply::ok(&shared.inventory()))
}

async fn load(shared: Arc<Shared>, _call: Call) -> Reply {
    if let Some(reply) = fault(&shared) {
        return reply;
    }
    let report = lock(&shared.state).load_report();
    Reply::ok(&report)
}

async fn events(shared: Arc<Shared>, call: Call) -> Reply {
    if let Some(reply) = fault(&shared) {
        return reply;
    }
    let after = call.query("after").and_then(|text| text.parse().ok());
    let lag = Duration::from_millis(shared.config.timing.event_lag_ms);
    let events = lock(&shared.state).prefixes.events(after.unwrap_or(0), lag);
    Reply::ok(&events)
}

async fn models(shared: Arc<Shared>, _call: Call) -> Reply {
    if let Some(reply) = fault(&shared) {
        return reply;
    }
    let state = lock(&shared.state);
    let entry = |artifact| json!({"id": artifact, "object": "model"});
    let models: Vec<Value> = state.holdings.ready().map(entry).collect();
    Reply::ok(&json!({"object": "list", "data": models}))
}

async fn cancel(shared: Arc<Shared>, call: Call) -> Reply {
    if let Some(reply) = fault(&shared) {
        return reply;
    }
    let attempt = call.first().parse::<AttemptId>();
    let known = attempt.is_ok_and(|attempt| lock(&shared.state).streams.cancel(attempt));
    if known {
        Reply::ok(&json!({}))
    } else {
        unknown_stream()
    }
}

async fn export_kv(shared: Arc<Shared>, call: Call) -> Reply {
    if let Some(reply) = fault(&shared) {
        return reply;
    }
    let attempt = call.first().parse::<AttemptId>();
    let cache = attempt
        .ok()
        .and_then(|attempt| lock(&shared.state).streams.export(attempt));
    let Some(cache) = cache else {
        return unknown_stream();
    };
    let bytes = serde_json::to_vec(&cache).unwrap_or_default();
    Reply::whole(
        StatusCode::OK,
        "application/octet-stream",
        Bytes::from(bytes),
    )
}

async fn import_kv(shared: Arc<Shared>, call: Call) -> Reply {
    if let Some(reply) = fault(&shared) {
        return reply;
    }
    let Ok(attempt) = call.first().parse::<AttemptId>() else {
        return unknown_stream();
    };
    match call.json::<KvCache>() {
        Ok(cache) => {
            lock(&shared.state).streams.import(attempt, cache);
            Reply::ok(&json!({}))
        }
        Err(reply) => reply,
    }
}

fn unknown_stream() -> Reply {
    let message = json!({"message": "no such stream"});
    Reply::json(StatusCode::NOT_FOUND, &message)
}
