//! Parsers for the `create`, `change`, `remove`, `drain` and `resume` commands.

use flaxward_types::configuration::DrainSpec;
use flaxward_types::{ConfigurationItem, ItemKey, Revision};
use winnow::combinator::{alt, opt, preceded, separated_pair};
use winnow::prelude::*;

use super::primitives::{Input, Parsed, keyword, name, reject, revision, symbol, text};
use super::settings::{
    adapter_setting, comma_separated, model_setting, policy_setting, service_setting,
    setting_sequence, version_setting,
};
use crate::command::{Change, Edit};
use crate::settings::{AdapterSetting, ModelSetting, ServiceSetting, VersionSetting};

/// Parses any command that changes the configuration.
pub(super) fn change(input: &mut Input) -> Parsed<Change> {
    alt((
        preceded(keyword("create"), create),
        preceded(keyword("change"), set),
        preceded(keyword("remove"), remove),
        preceded(keyword("drain"), drain),
        preceded(keyword("resume"), resume),
    ))
    .parse_next(input)
}

fn model_key(input: &mut Input) -> Parsed<ItemKey> {
    preceded(keyword("model"), name("the name of a model"))
        .map(ItemKey::Model)
        .parse_next(input)
}

fn version_key(input: &mut Input) -> Parsed<ItemKey> {
    let model = name("the name of a model");
    let version = name("the name of a version");
    preceded(
        keyword("version"),
        separated_pair(model, symbol("@"), version),
    )
    .map(|(model, version)| ItemKey::Version(model, version))
    .parse_next(input)
}

fn adapter_key(input: &mut Input) -> Parsed<ItemKey> {
    let model = name("the name of a model");
    let adapter = name("the name of an adapter");
    preceded(
        keyword("adapter"),
        separated_pair(model, symbol(":"), adapter),
    )
    .map(|(model, adapter)| ItemKey::Adapter(model, adapter))
    .parse_next(input)
}

fn service_key(input: &mut Input) -> Parsed<ItemKey> {
    preceded(keyword("service"), name("the name of a service"))
        .map(ItemKey::Service)
        .parse_next(input)
}

fn machine_key(input: &mut Input) -> Parsed<ItemKey> {
    preceded(keyword("machine"), name("the name of a machine"))
        .map(ItemKey::Drain)
        .parse_next(input)
}

fn if_version(input: &mut Input) -> Parsed<Option<Revision>> {
    opt(preceded((keyword("if"), keyword("version")), revision)).parse_next(input)
}

fn create(input: &mut Input) -> Parsed<Change> {
    let (key, item) =
        alt((create_model, create_version, create_adapter, create_service)).parse_next(input)?;
    Ok(Change {
        key,
        expected: None,
        edit: Edit::Create(item),
    })
}

fn create_model(input: &mut Input) -> Parsed<(ItemKey, ConfigurationItem)> {
    let key = model_key(input)?;
    let settings = setting_sequence(model_setting).parse_next(input)?;
    match ModelSetting::from_settings(&settings) {
        Some(spec) => Ok((key, ConfigurationItem::Model(spec))),
        None => reject(input, "`serving` and the name of a version"),
    }
}

fn create_version(input: &mut Input) -> Parsed<(ItemKey, ConfigurationItem)> {
    let key = version_key(input)?;
    let settings = setting_sequence(version_setting).parse_next(input)?;
    match VersionSetting::from_settings(&settings) {
        Some(spec) => Ok((key, ConfigurationItem::Version(spec))),
        None => reject(input, "both `checkpoint` and `weights`"),
    }
}

fn create_adapter(input: &mut Input) -> Parsed<(ItemKey, ConfigurationItem)> {
    let key = adapter_key(input)?;
    let settings = setting_sequence(adapter_setting).parse_next(input)?;
    match AdapterSetting::from_settings(&settings) {
        Some(spec) => Ok((key, ConfigurationItem::Adapter(spec))),
        None => reject(input, "both `checkpoint` and `weights`"),
    }
}

fn create_service(input: &mut Input) -> Parsed<(ItemKey, ConfigurationItem)> {
    let key = service_key(input)?;
    let settings = setting_sequence(service_setting).parse_next(input)?;
    match ServiceSetting::from_settings(&settings) {
        Some(spec) => Ok((key, ConfigurationItem::Service(spec))),
        None => reject(input, "`concurrency`"),
    }
}

fn set(input: &mut Input) -> Parsed<Change> {
    let (key, edit) = alt((
        (
            model_key,
            set_clause(comma_separated(model_setting), Edit::SetModel),
        ),
        (
            version_key,
            set_clause(comma_separated(version_setting), Edit::SetVersion),
        ),
        (
            adapter_key,
            set_clause(comma_separated(adapter_setting), Edit::SetAdapter),
        ),
        (
            service_key,
            set_clause(comma_separated(service_setting), Edit::SetService),
        ),
        (
            keyword("policy").value(ItemKey::Policy),
            set_clause(comma_separated(policy_setting), Edit::SetPolicy),
        ),
    ))
    .parse_next(input)?;
    let expected = if_version(input)?;
    Ok(Change {
        key,
        expected,
        edit,
    })
}

fn set_clause<'a, T>(
    settings: impl Parser<Input<'a>, Vec<T>, winnow::error::EmptyError>,
    edit: fn(Vec<T>) -> Edit,
) -> impl Parser<Input<'a>, Edit, winnow::error::EmptyError> {
    preceded(keyword("set"), settings.map(edit))
}

fn remove(input: &mut Input) -> Parsed<Change> {
    let (key, with_all) = alt((
        (
            model_key,
            opt((keyword("with"), keyword("all"))).map(|all| all.is_some()),
        ),
        (
            alt((version_key, adapter_key, service_key)),
            winnow::combinator::empty.value(false),
        ),
    ))
    .parse_next(input)?;
    let expected = if_version(input)?;
    Ok(Change {
        key,
        expected,
        edit: Edit::Remove { with_all },
    })
}

fn drain(input: &mut Input) -> Parsed<Change> {
    let key = machine_key(input)?;
    let reason = preceded(keyword("reason"), text).parse_next(input)?;
    Ok(Change {
        key,
        expected: None,
        edit: Edit::Create(ConfigurationItem::Drain(DrainSpec { reason })),
    })
}

fn resume(input: &mut Input) -> Parsed<Change> {
    let key = machine_key(input)?;
    let expected = if_version(input)?;
    Ok(Change {
        key,
        expected,
        edit: Edit::Remove { with_all: false },
    })
}
