//! `GET /v1/models`: lists the available models and adapters.

use std::sync::Arc;

use flaxward_control::configuration::Configuration;
use flaxward_types::{ConfigurationItem, ItemKey, Refusal};
use salvo::prelude::{Json, Request, Response, Scribe};
use serde::Serialize;

use crate::endpoint::Endpoint;
use crate::gateway::Gateway;

/// Handles requests for the list of models.
pub(crate) struct Models;

impl Endpoint for Models {
    async fn answer(
        &self,
        gateway: &Arc<Gateway>,
        _request: &mut Request,
        response: &mut Response,
        _request_id: &str,
    ) -> Result<(), Refusal> {
        let configuration = gateway.configuration().await?;
        Json(list(&configuration)).render(response);
        Ok(())
    }
}

/// Body of the answer.
#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

/// A model, or an adapter of a model.
#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// All models and adapters of a configuration.
fn list(configuration: &Configuration) -> ModelList {
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
