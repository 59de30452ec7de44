//! Validation rules for configuration items.

use flaxward_control::configuration::Configuration;
use flaxward_types::configuration::{
    AdapterSpec, DrainSpec, ModelSpec, PolicySpec, ServiceSpec, VersionSpec,
};
use flaxward_types::{ArtifactId, ConfigurationItem, ItemKey, ModelName, Refusal, ResultCode};

type ValidationResult = Result<(), Refusal>;

/// Validates an item before it is written under a key.
pub(crate) fn check_item(
    key: &ItemKey,
    item: &ConfigurationItem,
    configuration: &Configuration,
) -> ValidationResult {
    match (key, item) {
        (ItemKey::Model(model), ConfigurationItem::Model(spec)) => {
            check_model(model, spec, configuration)
        }
        (ItemKey::Version(..), ConfigurationItem::Version(spec)) => check_version_spec(spec),
        (ItemKey::Adapter(model, _), ConfigurationItem::Adapter(spec)) => {
            check_adapter(model, spec, configuration)
        }
        (ItemKey::Service(_), ConfigurationItem::Service(spec)) => check_service(spec),
        (ItemKey::Drain(_), ConfigurationItem::Drain(spec)) => check_drain(spec),
        (ItemKey::Policy, ConfigurationItem::Policy(spec)) => check_policy(spec),
        _ => ensure(false, "the item is of another kind"),
    }
}

fn ensure(condition: bool, detail: impl Into<String>) -> ValidationResult {
    if condition {
        return Ok(());
    }
    Err(Refusal::new(ResultCode::InvalidValue).with_detail(detail))
}

fn check_model(
    model: &ModelName,
    spec: &ModelSpec,
    configuration: &Configuration,
) -> ValidationResult {
    ensure(
        spec.copies.at_least <= spec.copies.at_most,
        "`at least` must not be greater than `at most`",
    )?;
    let serving = ArtifactId {
        model: model.clone(),
        version: spec.serving.clone(),
        adapter: None,
    };
    if configuration.version(&serving).is_some() {
        return Ok(());
    }
    let detail = format!("version {serving} does not exist; create it first");
    ensure(false, detail)
}

fn check_version_spec(spec: &VersionSpec) -> ValidationResult {
    ensure(
        !spec.checkpoint.trim().is_empty(),
        "the checkpoint must not be empty",
    )?;
    ensure(
        spec.weights.as_u64() > 0,
        "the weights must be greater than 0",
    )?;
    let total = spec.weights.as_u64().checked_add(spec.kv_cache.as_u64());
    ensure(
        total.is_some(),
        "the weights and the KV cache are too large",
    )
}

fn check_adapter(
    model: &ModelName,
    spec: &AdapterSpec,
    configuration: &Configuration,
) -> ValidationResult {
    ensure(
        !spec.checkpoint.trim().is_empty(),
        "the checkpoint must not be empty",
    )?;
    ensure(
        spec.weights.as_u64() > 0,
        "the weights must be greater than 0",
    )?;
    if configuration.model(model).is_some() {
        return Ok(());
    }
    let detail = format!("model {model} does not exist; create it first");
    ensure(false, detail)
}

fn check_service(spec: &ServiceSpec) -> ValidationResult {
    ensure(
        spec.concurrency > 0,
        "the concurrency must be greater than 0",
    )
}

fn check_drain(spec: &DrainSpec) -> ValidationResult {
    ensure(
        !spec.reason.trim().is_empty(),
        "the reason must not be empty",
    )
}

fn check_policy(spec: &PolicySpec) -> ValidationResult {
    ensure(
        (0.0..=1.0).contains(&spec.cold_start_weight),
        "cold_start_weight must be between 0 and 1",
    )?;
    ensure(
        spec.weight_store_parallel > 0,
        "weight_store_parallel must be greater than 0",
    )?;
    ensure(
        spec.weight_store_per_second > 0.0 && spec.weight_store_per_second.is_finite(),
        "weight_store_per_second must be greater than 0",
    )?;
    ensure(
        spec.keep_alive_min_ms <= spec.keep_alive_max_ms,
        "keep_alive_min must not be greater than keep_alive_max",
    )
}
