//! The configuration in the object API: reads all of it, writes one step of a plan.

use flaxward_backends::{Collection, Object, ObjectApi, StoreError};
use flaxward_control::configuration::Configuration;
use flaxward_query::{Current, Rejection, Step, Write, print_key};
use flaxward_types::{ConfigurationItem, ItemKey, OperationId, Refusal, ResultCode, Revision};

/// Reads the whole configuration. Objects that cannot be read are left out, unless the change is
/// about one of them.
pub(crate) async fn read(
    store: &dyn ObjectApi,
    changed: &ItemKey,
) -> Result<Configuration, Refusal> {
    let list = store.list(Collection::Configurations).await;
    let list = list.map_err(|error| refuse_read(&error))?;
    let mut items = Vec::new();
    for object in list.items {
        let Ok(key) = object.name.parse::<ItemKey>() else {
            continue;
        };
        match decode(&object) {
            Some(item) => items.push((key, object.version, item)),
            None if key == *changed => return Err(unreadable(&key)),
            None => {}
        }
    }
    Ok(Configuration::new(list.revision, items))
}

fn decode(object: &Object) -> Option<ConfigurationItem> {
    serde_json::from_value(object.body.clone()).ok()
}

fn unreadable(key: &ItemKey) -> Refusal {
    let detail = format!("the object of {} cannot be read", print_key(key));
    Refusal::new(ResultCode::Internal).with_detail(detail)
}

fn refuse_read(error: &StoreError) -> Refusal {
    Refusal::new(ResultCode::StoreUnavailable).with_detail(error.to_string())
}

/// Carries out one step; answers what was done, with the new version unless it was removed.
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
        Ok(object) => Ok(report(step, object.map(|object| object.version))),
        Err(error) => Err(reject(step, error)),
    }
}

fn encode(item: &ConfigurationItem) -> Result<serde_json::Value, Refusal> {
    serde_json::to_value(item)
        .map_err(|error| Refusal::new(ResultCode::Internal).with_detail(error.to_string()))
}

fn report(step: &Step, version: Option<Revision>) -> String {
    let key = print_key(&step.key);
    let drain = matches!(step.key, ItemKey::Drain(_));
    let verb = match step.write {
        Write::Create(_) if drain => "drained",
        Write::Create(_) => "created",
        Write::Replace(..) => "changed",
        Write::Delete(_) if drain => "resumed",
        Write::Delete(_) => "removed",
    };
    match version {
        Some(version) => format!("{verb} {key}, now at version {version}"),
        None => format!("{verb} {key}"),
    }
}

fn reject(step: &Step, error: StoreError) -> Rejection {
    let creates_named_item = matches!(step.write, Write::Create(_)) && step.key != ItemKey::Policy;
    match error {
        StoreError::Exists(object) if creates_named_item => {
            Rejection::exists(&step.key, current(&object))
        }
        StoreError::Exists(object) | StoreError::Conflict(object) => {
            Rejection::conflict(&step.key, current(&object))
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

fn current(object: &Object) -> Current {
    Current {
        version: object.version,
        item: decode(object),
    }
}
