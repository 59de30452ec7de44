//! The paths of the object API.

use std::sync::Arc;

use salvo::Router;
use salvo::http::StatusCode;
use serde_json::{Value, json};

use super::store::{FieldSelection, ObjectDocument, Origin, Refused, Store};
use super::{API_PATH, ObjectApiFaults, Shared, watch};
use crate::fault::{lock, pause_ms};
use crate::http::{CLIENT_HEADER, Call, Reply, endpoint};

pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    let object = Router::with_path("{second}")
        .get(endpoint(shared, get))
        .put(endpoint(shared, replace))
        .delete(endpoint(shared, delete));
    let collection = Router::with_path(format!("{API_PATH}/{{first}}"))
        .get(endpoint(shared, list))
        .post(endpoint(shared, create))
        .push(object);
    let faults = Router::with_path("faults")
        .get(endpoint(shared, show_faults))
        .post(endpoint(shared, set_faults));
    Router::new()
        .push(collection)
        .push(faults)
        .push(Router::with_path("record").get(endpoint(shared, record)))
        .push(Router::with_path("compact").post(endpoint(shared, compact)))
}

async fn show_faults(shared: Arc<Shared>, _call: Call) -> Reply {
    Reply::ok(&*lock(&shared.faults))
}

async fn set_faults(shared: Arc<Shared>, call: Call) -> Reply {
    match call.json::<ObjectApiFaults>() {
        Ok(faults) => {
            let reply = Reply::ok(&faults);
            *lock(&shared.faults) = faults;
            shared.changed.send_replace(());
            reply
        }
        Err(reply) => reply,
    }
}

async fn record(shared: Arc<Shared>, _call: Call) -> Reply {
    Reply::ok(&lock(&shared.store).record())
}

async fn compact(shared: Arc<Shared>, _call: Call) -> Reply {
    lock(&shared.store).compact();
    shared.changed.send_replace(());
    Reply::ok(&json!({}))
}

/// Lets a fault answer in the place of the object API.
async fn fault(shared: &Shared, call: &Call) -> Option<Reply> {
    let delay = lock(&shared.faults).delay_ms;
    pause_ms(delay).await;
    let faults = lock(&shared.faults);
    if is_cut(&faults, call.client_zone()) {
        return Some(Reply::broken());
    }
    faults.down.then(Reply::down)
}

pub(crate) fn is_cut(faults: &ObjectApiFaults, zone: Option<&str>) -> bool {
    zone.is_some_and(|zone| faults.cut_zones.contains(zone))
}

async fn get(shared: Arc<Shared>, call: Call) -> Reply {
    if let Some(reply) = fault(&shared, &call).await {
        return reply;
    }
    let object = lock(&shared.store).get(call.first(), call.second());
    reply_object(StatusCode::OK, object)
}

async fn list(shared: Arc<Shared>, call: Call) -> Reply {
    if let Some(reply) = fault(&shared, &call).await {
        return reply;
    }
    if call.query("watch") == Some("true") {
        return watch::open(shared, &call);
    }
    let selected = match selection(&call) {
        Ok(selected) => selected,
        Err(reply) => return reply,
    };
    let list = lock(&shared.store).list(call.first(), selected.as_ref());
    Reply::ok(&list)
}

/// The selection of a list, if it has one.
fn selection(call: &Call) -> Result<Option<FieldSelection>, Reply> {
    let Some(selector) = call.query("fieldSelector") else {
        return Ok(None);
    };
    let limit = call.query("limit").map_or(Ok(usize::MAX), str::parse);
    let parts = selector
        .strip_prefix("spec.")
        .and_then(|rest| rest.split_once('='));
    match (parts, limit) {
        (Some((field, value)), Ok(limit)) => Ok(Some(FieldSelection {
            field: field.to_owned(),
            value: value.to_owned(),
            limit,
        })),
        _ => Err(invalid("only fieldSelector=spec.FIELD=VALUE and limit")),
    }
}

async fn create(shared: Arc<Shared>, call: Call) -> Reply {
    if let Some(reply) = fault(&shared, &call).await {
        return reply;
    }
    let object = match call.json::<ObjectDocument>() {
        Ok(object) => object,
        Err(reply) => return reply,
    };
    if object.metadata.name.is_empty() {
        return invalid("metadata.name is missing");
    }
    let origin = origin(&call);
    write(
        &shared,
        origin,
        StatusCode::CREATED,
        move |store, origin| store.create(origin, object),
    )
}

async fn replace(shared: Arc<Shared>, call: Call) -> Reply {
    if let Some(reply) = fault(&shared, &call).await {
        return reply;
    }
    let object = match call.json::<ObjectDocument>() {
        Ok(object) => object,
        Err(reply) => return reply,
    };
    if object.metadata.name != call.second() {
        return invalid("metadata.name is not the name in the path");
    }
    let Ok(expected) = object.metadata.resource_version.parse() else {
        return invalid("metadata.resourceVersion must be specified for an update");
    };
    let origin = origin(&call);
    write(&shared, origin, StatusCode::OK, move |store, origin| {
        store.replace(origin, object, expected)
    })
}

async fn delete(shared: Arc<Shared>, call: Call) -> Reply {
    if let Some(reply) = fault(&shared, &call).await {
        return reply;
    }
    let options = match call.json::<Value>() {
        Ok(options) => options,
        Err(reply) => return reply,
    };
    let version = options["preconditions"]["resourceVersion"].as_str();
    let Some(expected) = version.and_then(|version| version.parse().ok()) else {
        return invalid("preconditions.resourceVersion must be specified");
    };
    let name = call.second().to_owned();
    let origin = origin(&call);
    write(&shared, origin, StatusCode::OK, move |store, origin| {
        store.delete(origin, &name, expected)
    })
}

fn origin(call: &Call) -> Origin {
    Origin {
        collection: call.first().to_owned(),
        client: call.header(CLIENT_HEADER).map(str::to_owned),
    }
}

/// Which fault strikes a write.
enum WriteFault {
    None,
    AnswerLost,
    Late(u64),
}

fn write_fault(shared: &Shared, collection: &str) -> WriteFault {
    let mut faults = lock(&shared.faults);
    if !faults.collections.is_empty() && !faults.collections.contains(collection) {
        return WriteFault::None;
    }
    if faults.late_writes.strike(&shared.dice) {
        return WriteFault::Late(faults.late_ms);
    }
    if faults.lose_answers.strike(&shared.dice) {
        return WriteFault::AnswerLost;
    }
    WriteFault::None
}

fn write<Action>(shared: &Arc<Shared>, origin: Origin, done: StatusCode, action: Action) -> Reply
where
    Action: FnOnce(&mut Store, &Origin) -> Result<ObjectDocument, Refused> + Send + 'static,
{
    let fault = write_fault(shared, &origin.collection);
    if let WriteFault::Late(late_ms) = fault {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            pause_ms(late_ms).await;
            // Nobody hears of the result.
            let _ = carry_out(&shared, &origin, action);
        });
        return Reply::broken();
    }
    let result = carry_out(shared, &origin, action);
    match fault {
        WriteFault::AnswerLost => Reply::broken(),
        _ => reply_object(done, result),
    }
}

fn carry_out<Action>(
    shared: &Shared,
    origin: &Origin,
    action: Action,
) -> Result<ObjectDocument, Refused>
where
    Action: FnOnce(&mut Store, &Origin) -> Result<ObjectDocument, Refused>,
{
    let result = action(&mut lock(&shared.store), origin);
    shared.changed.send_replace(());
    result
}

fn reply_object(done: StatusCode, result: Result<ObjectDocument, Refused>) -> Reply {
    match result {
        Ok(object) => Reply::json(done, &object),
        Err(refused) => refusal(refused),
    }
}

pub(crate) fn refusal(refused: Refused) -> Reply {
    let (status, reason) = match refused {
        Refused::NotFound => (StatusCode::NOT_FOUND, "NotFound"),
        Refused::AlreadyExists => (StatusCode::CONFLICT, "AlreadyExists"),
        Refused::Conflict => (StatusCode::CONFLICT, "Conflict"),
        Refused::Expired => (StatusCode::GONE, "Expired"),
    };
    Reply::json(status, &status_document(status, reason, reason))
}

fn invalid(message: &str) -> Reply {
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    Reply::json(status, &status_document(status, "Invalid", message))
}

pub(crate) fn status_document(status: StatusCode, reason: &str, message: &str) -> Value {
    json!({
        "kind": "Status",
        "apiVersion": "v1",
        "status": "Failure",
        "message": message,
        "reason": reason,
        "code": status.as_u16(),
    })
}
