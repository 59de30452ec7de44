//! Validates a change against the configuration and plans its writes.

use flaxward_control::configuration::Configuration;
use flaxward_types::configuration::PolicySpec;
use flaxward_types::{
    ConfigurationItem, ItemKey, ModelName, Refusal, ResultCode, Revision, VersionName,
};
use serde::{Deserialize, Serialize};

use crate::command::{Change, Edit};
use crate::print::{describe, print_key};
use crate::rules::check_item;

/// One write to the object API.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Key of the item.
    pub key: ItemKey,
    /// The write operation.
    pub write: Write,
}

/// A write operation with its precondition.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Creates the item; it must not exist.
    Create(ConfigurationItem),
    /// Replaces the item if it still has this version.
    Replace(Revision, ConfigurationItem),
    /// Deletes the item if it still has this version.
    Delete(Revision),
}

/// Current state of the item that a change addresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// Version of the item; zero if it does not exist.
    pub version: Revision,
    /// Content of the item; `None` if it does not exist or cannot be read.
    pub item: Option<ConfigurationItem>,
}

/// Refusal of a change, with the current item if it conflicts with another operator's change.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// Reason for the refusal.
    pub refusal: Refusal,
    /// Current state of the item, for conflicts.
    pub current: Option<Current>,
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            current: None,
        }
    }
}

impl Rejection {
    /// Rejects a change of an item that no longer has the expected version or no longer exists.
    pub fn conflict(key: &ItemKey, current: Current) -> Self {
        let key = print_key(key);
        let detail = match &current.item {
            Some(item) => format!(
                "{key} has version {} now: {}",
                current.version,
                describe(item)
            ),
            None if current.version == Revision(0) => format!("{key} does not exist now"),
            None => format!("{key} has version {} now", current.version),
        };
        Self {
            refusal: Refusal::new(ResultCode::VersionConflict).with_detail(detail),
            current: Some(current),
        }
    }

    /// Rejects the creation of an item that already exists.
    pub fn exists(key: &ItemKey, current: Current) -> Self {
        let content = current.item.as_ref().map_or_else(String::new, describe);
        let detail = format!(
            "{} exists already at version {}: {content}",
            print_key(key),
            current.version
        );
        Self {
            refusal: Refusal::new(ResultCode::ObjectExists).with_detail(detail),
            current: Some(current),
        }
    }
}

fn refuse<T>(code: ResultCode, detail: impl Into<String>) -> Result<T, Rejection> {
    Err(Refusal::new(code).with_detail(detail).into())
}

/// Returns the writes for a change, in order. Only `remove model M with all` needs more than one
/// step. Each step leaves a valid configuration, so the command can be retried after a failure.
///
/// # Errors
/// Rejects a change that violates a validation rule, expects a version other than the current one,
/// or refers to an item that does not exist.
pub fn plan(change: &Change, configuration: &Configuration) -> Result<Vec<Step>, Rejection> {
    let current = configuration.item(&change.key);
    check_version(change, current)?;
    match &change.edit {
        Edit::Create(item) => plan_create(change, item, configuration),
        Edit::Remove { with_all } => plan_remove(change, *with_all, configuration),
        _ => plan_set(change, configuration),
    }
}

fn check_version(
    change: &Change,
    current: Option<&(Revision, ConfigurationItem)>,
) -> Result<(), Rejection> {
    let Some(expected) = change.expected else {
        return Ok(());
    };
    let version = current.map_or(Revision(0), |(version, _)| *version);
    if version == expected {
        return Ok(());
    }
    let item = current.map(|(_, item)| item.clone());
    Err(Rejection::conflict(&change.key, Current { version, item }))
}

fn plan_create(
    change: &Change,
    item: &ConfigurationItem,
    configuration: &Configuration,
) -> Result<Vec<Step>, Rejection> {
    if let Some((version, item)) = configuration.item(&change.key) {
        let current = Current {
            version: *version,
            item: Some(item.clone()),
        };
        return Err(Rejection::exists(&change.key, current));
    }
    check_item(&change.key, item, configuration)?;
    Ok(vec![Step {
        key: change.key.clone(),
        write: Write::Create(item.clone()),
    }])
}

fn plan_set(change: &Change, configuration: &Configuration) -> Result<Vec<Step>, Rejection> {
    let (version, mut item) = match configuration.item(&change.key) {
        Some((version, item)) => (Some(*version), item.clone()),
        None if change.key == ItemKey::Policy => {
            (None, ConfigurationItem::Policy(PolicySpec::default()))
        }
        None => return unknown_object(&change.key),
    };
    apply_edit(&change.edit, &mut item)?;
    check_item(&change.key, &item, configuration)?;
    let write = match version {
        Some(version) => Write::Replace(version, item),
        None => Write::Create(item),
    };
    Ok(vec![Step {
        key: change.key.clone(),
        write,
    }])
}

fn unknown_object<T>(key: &ItemKey) -> Result<T, Rejection> {
    let detail = format!("{} does not exist", print_key(key));
    refuse(ResultCode::UnknownObject, detail)
}

fn apply_edit(edit: &Edit, item: &mut ConfigurationItem) -> Result<(), Rejection> {
    match (edit, item) {
        (Edit::SetModel(settings), ConfigurationItem::Model(spec)) => {
            for setting in settings {
                setting.apply(spec);
            }
        }
        (Edit::SetVersion(settings), ConfigurationItem::Version(spec)) => {
            for setting in settings {
                setting.apply(spec);
            }
        }
        (Edit::SetAdapter(settings), ConfigurationItem::Adapter(spec)) => {
            for setting in settings {
                setting.apply(spec);
            }
        }
        (Edit::SetService(settings), ConfigurationItem::Service(spec)) => {
            for setting in settings {
                setting.apply(spec);
            }
        }
        (Edit::SetPolicy(settings), ConfigurationItem::Policy(spec)) => {
            for setting in settings {
                setting.apply(spec);
            }
        }
        _ => return refuse(ResultCode::InvalidValue, "the item is of another kind"),
    }
    Ok(())
}

fn plan_remove(
    change: &Change,
    with_all: bool,
    configuration: &Configuration,
) -> Result<Vec<Step>, Rejection> {
    let current = configuration.item(&change.key);
    let own_step = current.map(|(version, _)| delete_step(&change.key, *version));
    if let (ItemKey::Model(model), true) = (&change.key, with_all) {
        return plan_remove_all(model, own_step, configuration);
    }
    let Some(own_step) = own_step else {
        return unknown_object(&change.key);
    };
    match &change.key {
        ItemKey::Model(model) => {
            check_no_adapters(model, configuration)?;
            Ok(vec![own_step])
        }
        ItemKey::Version(model, version) => {
            check_not_serving(model, version, configuration)?;
            Ok(vec![own_step])
        }
        _ => Ok(vec![own_step]),
    }
}

/// Deletes the adapters, then the model, then the versions. The model may already be absent after
/// an earlier removal that was interrupted.
fn plan_remove_all(
    model: &ModelName,
    own_step: Option<Step>,
    configuration: &Configuration,
) -> Result<Vec<Step>, Rejection> {
    let mut steps = delete_steps(configuration, |key| is_adapter_of(key, model));
    steps.extend(own_step);
    steps.extend(delete_steps(configuration, |key| is_version_of(key, model)));
    if steps.is_empty() {
        return unknown_object(&ItemKey::Model(model.clone()));
    }
    Ok(steps)
}

fn delete_step(key: &ItemKey, version: Revision) -> Step {
    Step {
        key: key.clone(),
        write: Write::Delete(version),
    }
}

fn delete_steps(
    configuration: &Configuration,
    is_selected: impl Fn(&ItemKey) -> bool,
) -> Vec<Step> {
    configuration
        .items()
        .filter(|(key, _, _)| is_selected(key))
        .map(|(key, version, _)| delete_step(key, version))
        .collect()
}

fn is_adapter_of(key: &ItemKey, model: &ModelName) -> bool {
    matches!(key, ItemKey::Adapter(owner, _) if owner == model)
}

fn is_version_of(key: &ItemKey, model: &ModelName) -> bool {
    matches!(key, ItemKey::Version(owner, _) if owner == model)
}

fn check_no_adapters(model: &ModelName, configuration: &Configuration) -> Result<(), Rejection> {
    let adapters: Vec<String> = delete_steps(configuration, |key| is_adapter_of(key, model))
        .iter()
        .map(|step| print_key(&step.key))
        .collect();
    if adapters.is_empty() {
        return Ok(());
    }
    let detail = format!(
        "model {model} still has {}; remove them first, or add `with all`",
        adapters.join(", ")
    );
    refuse(ResultCode::StillReferenced, detail)
}

fn check_not_serving(
    model: &ModelName,
    version: &VersionName,
    configuration: &Configuration,
) -> Result<(), Rejection> {
    match configuration.model(model) {
        Some(spec) if spec.serving == *version => {
            let detail = format!("model {model} serves version {version}");
            refuse(ResultCode::StillReferenced, detail)
        }
        _ => Ok(()),
    }
}
