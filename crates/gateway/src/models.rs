//! `GET /v1/models`: what callers can ask for.

use flaxward_control::configuration::Configuration;
use flaxward_types::{ConfigurationItem, ItemKey};
use serde::Serialize;

/// The list of models.
#[derive(Serialize)]
pub(crate) struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

/// One model, or an adapter of one.
#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// All models and adapters of a configuration.
pub(crate) fn list(configuration: &Configuration) -> ModelList {
    let data = configuration
        .items()
        .filter_map(|(key, _, item)| match (key, item) {
            (ItemKey::Model(model), ConfigurationItem::Model(_)) => Some(model.to_string()),
            (ItemKey::Adapter(model, adapter), _) => Some(format!("{model}:{adapter}")),
            _ => None,
        })
        .map(|id| ModelEntry {
            id,
            object: "model",
            owned_by: "flaxward",
        })
        .collect();
    ModelList {
        object: "list",
        data,
    }
}
