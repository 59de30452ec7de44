//! Parsers for the settings of items in `create` and `change`.

use std::collections::BTreeSet;

use flaxward_types::ZoneName;
use winnow::combinator::{alt, not, opt, preceded, repeat, separated};
use winnow::error::EmptyError;
use winnow::prelude::*;

use super::primitives::{
    Input, Parsed, count, keyword, millis, name, number, reject, size, symbol, text,
};
use crate::settings::{
    AdapterSetting, ModelSetting, PolicySetting, ServiceSetting, VersionSetting, has_no_duplicates,
};

/// Parses the settings of `create`, without separators between them.
pub(super) fn setting_sequence<'a, T>(
    setting: impl Parser<Input<'a>, T, EmptyError>,
) -> impl Parser<Input<'a>, Vec<T>, EmptyError> {
    distinct(repeat(1.., setting))
}

/// Parses the settings of `change`, separated by commas.
pub(super) fn comma_separated<'a, T>(
    setting: impl Parser<Input<'a>, T, EmptyError>,
) -> impl Parser<Input<'a>, Vec<T>, EmptyError> {
    distinct(separated(1.., setting, symbol(",")))
}

fn distinct<'a, T>(
    mut settings: impl Parser<Input<'a>, Vec<T>, EmptyError>,
) -> impl Parser<Input<'a>, Vec<T>, EmptyError> {
    move |input: &mut Input<'a>| {
        let settings = settings.parse_next(input)?;
        if has_no_duplicates(&settings) {
            return Ok(settings);
        }
        reject(input, "each setting once only")
    }
}

pub(super) fn model_setting(input: &mut Input) -> Parsed<ModelSetting> {
    alt((
        preceded(keyword("serving"), name("the name of a version")).map(ModelSetting::Serving),
        preceded(
            (opt(keyword("copies")), keyword("at")),
            alt((
                preceded(keyword("most"), count).map(ModelSetting::AtMost),
                preceded(keyword("least"), count).map(ModelSetting::AtLeast),
            )),
        ),
        preceded(keyword("in"), zones).map(ModelSetting::Zones),
        preceded(keyword("priority"), count).map(ModelSetting::Priority),
        preceded(keyword("queue"), count).map(ModelSetting::QueueLimit),
    ))
    .parse_next(input)
}

fn zones(input: &mut Input) -> Parsed<BTreeSet<ZoneName>> {
    let all = (keyword("all"), keyword("zones")).map(|_| BTreeSet::new());
    let some = preceded(keyword("zones"), separated(1.., zone, symbol(",")));
    alt((all, some)).parse_next(input)
}

/// Parses the name of a zone, unless the word starts the next setting after a comma. The lookahead
/// is limited to two words, so that its cost does not depend on what follows.
fn zone(input: &mut Input) -> Parsed<ZoneName> {
    let rule = (keyword("at"), alt((keyword("most"), keyword("least")))).void();
    let copies = (keyword("copies"), keyword("at")).void();
    let placement = (keyword("in"), alt((keyword("zones"), keyword("all")))).void();
    let number = (alt((keyword("priority"), keyword("queue"))), count::<u32>).void();
    let serving = (
        keyword("serving"),
        name::<flaxward_types::VersionName>("the name of a version"),
    )
        .void();
    not(alt((rule, copies, placement, number, serving))).parse_next(input)?;
    name("the name of a zone").parse_next(input)
}

pub(super) fn version_setting(input: &mut Input) -> Parsed<VersionSetting> {
    alt((
        preceded(keyword("checkpoint"), text).map(VersionSetting::Checkpoint),
        preceded(keyword("weights"), size).map(VersionSetting::Weights),
        preceded(keyword("kv"), size).map(VersionSetting::KvCache),
    ))
    .parse_next(input)
}

pub(super) fn adapter_setting(input: &mut Input) -> Parsed<AdapterSetting> {
    alt((
        preceded(keyword("checkpoint"), text).map(AdapterSetting::Checkpoint),
        preceded(keyword("weights"), size).map(AdapterSetting::Weights),
        preceded((keyword("at"), keyword("most")), count).map(AdapterSetting::AtMost),
    ))
    .parse_next(input)
}

pub(super) fn service_setting(input: &mut Input) -> Parsed<ServiceSetting> {
    preceded(keyword("concurrency"), count)
        .map(ServiceSetting::Concurrency)
        .parse_next(input)
}

pub(super) fn policy_setting(input: &mut Input) -> Parsed<PolicySetting> {
    alt((
        preceded(keyword("cold_start_weight"), number).map(PolicySetting::ColdStartWeight),
        preceded(keyword("weight_store_parallel"), count).map(PolicySetting::WeightStoreParallel),
        preceded(keyword("weight_store_per_second"), number)
            .map(PolicySetting::WeightStorePerSecond),
        preceded(keyword("keep_alive_min"), millis).map(PolicySetting::KeepAliveMin),
        preceded(keyword("keep_alive_max"), millis).map(PolicySetting::KeepAliveMax),
    ))
    .parse_next(input)
}
