//! Reads the configuration from the object API and writes the steps of a plan to it.

use flaxward_backends::{Collection, Object, ObjectApi, StoreError};
use flaxward_control::configuration::Configuration;
use flaxward_query::{Current, Rejection, Step, Write, print_key};
use flaxward_types::{ConfigurationItem, ItemKey, OperationId, Refusal, ResultCode, Revision};

/// Reads the whole configuration. Objects that cannot be decoded are skipped, unless the change
/// targets one of them.
pub(crate) async fn read(
    store: &dyn ObjectApi,
    changed: &ItemKey,
) -> Result<Configuration, Refusal> {
    let list = store.list(Collection::Configurations).await;
    let list = list.map_err(|error| read_error(&error))?;
    let mut items = Vec::new();
    for object in list.items {
        let Ok(key) = object.name.parse::<ItemKey>() else {
            continue;
        };
        match decode(&object) {
            Some(item) => items.push((key, object.version, item)),
            None if key == *changed => return Err(undecodable(&key)),
            None => {}
        }
    }
    Ok(Configuration::new(list.revision, items))
}

fn decode(object: &Object) -> Option<ConfigurationItem> {
    serde_json::from_value(object.body.clone()).ok()
}

fn undecodable(key: &ItemKey) -> Refusal {
    let detail = format!("the stored object for {} cannot be decoded", print_key(key));
    Refusal::new(ResultCode::Internal).with_detail(detail)
}

fn read_error(error: &StoreError) -> Refusal {
    Refusal::new(ResultCode::StoreUnavailable).with_detail(error.to_string())
}

/// Executes one step; returns a description with the new version, unless the object was removed.
pub(crate) async fn write(store: &dyn ObjectApi, step: &Step) -> Result<String, Rejection> {
    let collection = Collection::Configurations;
    let name = step.key.to_string();
    let operation = OperationId(rand::random());
    let result = match &step.write {
        Write::Create(item) => {
            let body = encode(item)?;
            store
                .create(collection, &name, operation, body)
                .await
                .map(Some)
        }
        Write::Replace(expected, item) => {
            let body = encode(item)?;
            let replaced = store.replace(collection, &name, *expected, operation, body);
            replaced.await.map(Some)
        }
        Write::Delete(expected) => {
            let deleted = store.delete(collection, &name, *expected);
            deleted.await.map(|()| None)
        }
    };
    match result {
        Ok(object) => Ok(describe_step(step, object.map(|object| object.version))),
        Err(error) => Err(rejection(step, error)),
    }
}

fn encode(item: &ConfigurationItem) -> Result<serde_json::Value, Refusal> {
    serde_json::to_value(item)
        .map_err(|error| Refusal::new(ResultCode::Internal).with_detail(error.to_string()))
}

fn describe_step(step: &Step, version: Option<Revision>) -> String {
    let key = print_key(&step.key);
    let is_drain = matches!(step.key, ItemKey::Drain(_));
    let verb = match step.write {
        Write::Create(_) if is_drain => "drained",
        Write::Create(_) => "created",
        Write::Replace(..) => "changed",
        Write::Delete(_) if is_drain => "resumed",
        Write::Delete(_) => "removed",
    };
    match version {
        Some(version) => format!("{verb} {key}, now at version {version}"),
        None => format!("{verb} {key}"),
    }
}

fn rejection(step: &Step, error: StoreError) -> Rejection {
    let creates_named_item = matches!(step.write, Write::Create(_)) && step.key != ItemKey::Policy;
    match error {
        StoreError::Exists(object) if creates_named_item => {
            Rejection::exists(&step.key, current_state(&object))
        }
        StoreError::Exists(object) | StoreError::Conflict(object) => {
            Rejection::conflict(&step.key, current_state(&object))
        }
        StoreError::NotFound => Rejection::conflict(
            &step.key,
            Current {
                version: Revision(0),
                item: None,
            },
        ),
        StoreError::OutcomeUnknown(detail) => {
            let refusal = Refusal::new(ResultCode::ChangeOutcomeUnknown);
            refusal
                .with_detail(format!("{}: {detail}", print_key(&step.key)))
                .into()
        }
        error @ (StoreError::Unavailable(_) | StoreError::Compacted) => {
            let refusal = Refusal::new(ResultCode::StoreUnavailable);
            refusal.with_detail(error.to_string()).into()
        }
    }
}

fn current_state(object: &Object) -> Current {
    Current {
        version: object.version,
        item: decode(object),
    }
}
