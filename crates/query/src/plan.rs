//! Checks a change against the configuration and says what to write.

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
    /// Which item.
    pub key: ItemKey,
    /// What to write.
    pub write: Write,
}

/// What to write, and over what.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Create it; there must be none.
    Create(ConfigurationItem),
    /// Replace it if it still has this version.
    Replace(Revision, ConfigurationItem),
    /// Remove it if it still has this version.
    Delete(Revision),
}

/// What stands where a change was meant to go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// Its version; zero if there is none.
    pub version: Revision,
    /// Its content, or `None` if there is none or it cannot be read.
    pub item: Option<ConfigurationItem>,
}

/// Why a change is refused, with what stands in its way if another operator came first.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// Why.
    pub refusal: Refusal,
    /// What stands there now, for conflicts.
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
    /// The object is not the one that the change was meant for.
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

    /// The object to create is there already.
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

/// Says what to write for a change, in order. Only `remove model M with all` takes more than one
/// step; each step leaves a valid configuration, so the command can be repeated after a failure.
///
/// # Errors
/// Refuses a change that breaks a rule, names a version other than the current one, or refers to
/// what does not exist.
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
        None => return unknown(&change.key),
    };
    set(&change.edit, &mut item)?;
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

fn unknown<T>(key: &ItemKey) -> Result<T, Rejection> {
    let detail = format!("{} does not exist", print_key(key));
    refuse(ResultCode::UnknownObject, detail)
}

fn set(edit: &Edit, item: &mut ConfigurationItem) -> Result<(), Rejection> {
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
    let own = current.map(|(version, _)| delete(&change.key, *version));
    if let (ItemKey::Model(model), true) = (&change.key, with_all) {
        return plan_remove_all(model, own, configuration);
    }
    let Some(own) = own else {
        return unknown(&change.key);
    };
    match &change.key {
        ItemKey::Model(model) => {
            check_no_adapters(model, configuration)?;
            Ok(vec![own])
        }
        ItemKey::Version(model, version) => {
            check_not_serving(model, version, configuration)?;
            Ok(vec![own])
        }
        _ => Ok(vec![own]),
    }
}

/// Adapters, model, versions. The model may be gone already, by a removal that stopped halfway.
fn plan_remove_all(
    model: &ModelName,
    own: Option<Step>,
    configuration: &Configuration,
) -> Result<Vec<Step>, Rejection> {
    let mut steps = parts(configuration, |key| is_adapter_of(key, model));
    steps.extend(own);
    steps.extend(parts(configuration, |key| is_version_of(key, model)));
    if steps.is_empty() {
        return unknown(&ItemKey::Model(model.clone()));
    }
    Ok(steps)
}

fn delete(key: &ItemKey, version: Revision) -> Step {
    Step {
        key: key.clone(),
        write: Write::Delete(version),
    }
}

fn parts(configuration: &Configuration, belongs: impl Fn(&ItemKey) -> bool) -> Vec<Step> {
    configuration
        .items()
        .filter(|(key, _, _)| belongs(key))
        .map(|(key, version, _)| delete(key, version))
        .collect()
}

fn is_adapter_of(key: &ItemKey, model: &ModelName) -> bool {
    matches!(key, ItemKey::Adapter(owner, _) if owner == model)
}

fn is_version_of(key: &ItemKey, model: &ModelName) -> bool {
    matches!(key, ItemKey::Version(owner, _) if owner == model)
}

fn check_no_adapters(model: &ModelName, configuration: &Configuration) -> Result<(), Rejection> {
    let adapters: Vec<String> = parts(configuration, |key| is_adapter_of(key, model))
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
