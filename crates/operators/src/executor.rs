//! Parses and executes commands.

use std::collections::BTreeSet;
use std::sync::Arc;

use flaxward_backends::ObjectApi;
use flaxward_query::{Change, Command, Edit, ModelSetting, Show, Step, Table, parse, plan};
use flaxward_types::{ConfigurationItem, ModelName, Refusal, ResultCode, ZoneName};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::answer::Answer;
use crate::error::OperatorError;
use crate::filter;
use crate::store;
use crate::views::Views;

/// Executes operator commands; safe for concurrent use.
pub struct Executor {
    store: Arc<dyn ObjectApi>,
    views: Arc<dyn Views>,
}

impl Executor {
    /// Changes go to `store`, which resolves lost responses itself; queries read from `views`.
    pub fn new(store: Arc<dyn ObjectApi>, views: Arc<dyn Views>) -> Self {
        Self { store, views }
    }

    /// Executes one command.
    ///
    /// # Errors
    /// Returns why the command failed, in full or in part.
    pub async fn execute(&self, text: &str) -> Result<Answer, OperatorError> {
        match parse(text)? {
            Command::Show(show) => Ok(self.show(&show).await?),
            Command::Explain(model) => Ok(self.explain(&model).await?),
            Command::Change(change) => self.change(&change).await,
        }
    }

    async fn show(&self, show: &Show) -> Result<Answer, Refusal> {
        let rows = self.fetch_rows(show.table).await?;
        Ok(Answer::from_rows(show.table, filter::select(show, rows)))
    }

    async fn fetch_rows(&self, table: Table) -> Result<Vec<Map<String, Value>>, Refusal> {
        let views = &self.views;
        match table {
            Table::Models => encode_rows(views.models().await?),
            Table::Replicas => encode_rows(views.replicas().await?),
            Table::Runners => encode_rows(views.runners().await?),
            Table::Daemons => encode_rows(views.daemons().await?),
            Table::Requests => encode_rows(views.requests().await?),
            Table::Zones => encode_rows(views.zones().await?),
            Table::Adapters => encode_rows(views.adapters().await?),
            Table::Versions => encode_rows(views.versions().await?),
            Table::Services => encode_rows(views.services().await?),
            Table::Quotas => encode_rows(views.quotas().await?),
            Table::Drains => encode_rows(views.drains().await?),
            Table::Policy => encode_rows(views.policy().await?),
            Table::Config => encode_rows(views.config().await?),
            Table::Decisions => Ok(Vec::new()),
        }
    }

    async fn explain(&self, model: &ModelName) -> Result<Answer, Refusal> {
        let rows = encode_rows(self.views.explain(model).await?)?;
        Ok(Answer::from_rows(Table::Decisions, rows))
    }

    async fn change(&self, change: &Change) -> Result<Answer, OperatorError> {
        let configuration = store::read(self.store.as_ref(), &change.key).await?;
        let steps = plan(change, &configuration)?;
        let mut message = self.write(&steps).await?.join("; ");
        if let Some(warning) = self.unknown_zones_warning(change).await {
            message.push_str(&warning);
        }
        Ok(Answer::from_change(message))
    }

    async fn write(&self, steps: &[Step]) -> Result<Vec<String>, OperatorError> {
        let mut done = Vec::new();
        for step in steps {
            match store::write(self.store.as_ref(), step).await {
                Ok(report) => done.push(report),
                Err(rejection) => {
                    return Err(OperatorError {
                        done,
                        ..rejection.into()
                    });
                }
            }
        }
        Ok(done)
    }

    /// A zone unknown to this daemon may be misspelled or partitioned, so it causes a warning
    /// rather than a refusal.
    async fn unknown_zones_warning(&self, change: &Change) -> Option<String> {
        let requested = requested_zones(change);
        if requested.is_empty() {
            return None;
        }
        let known = self.views.zones().await.ok()?;
        let unknown: Vec<&str> = requested
            .iter()
            .map(ZoneName::as_str)
            .filter(|zone| known.iter().all(|row| row.name != *zone))
            .collect();
        (!unknown.is_empty()).then(|| {
            format!(
                "; warning: zones not currently known to this daemon: {}",
                unknown.join(", ")
            )
        })
    }
}

fn requested_zones(change: &Change) -> BTreeSet<ZoneName> {
    match &change.edit {
        Edit::Create(ConfigurationItem::Model(spec)) => spec.copies.zones.clone(),
        Edit::SetModel(settings) => settings.iter().flat_map(zones_of).cloned().collect(),
        _ => BTreeSet::new(),
    }
}

fn zones_of(setting: &ModelSetting) -> impl Iterator<Item = &ZoneName> {
    let zones = match setting {
        ModelSetting::Zones(zones) => Some(zones),
        _ => None,
    };
    zones.into_iter().flatten()
}

fn encode_rows<T: Serialize>(rows: Vec<T>) -> Result<Vec<Map<String, Value>>, Refusal> {
    rows.into_iter().map(encode_row).collect()
}

fn encode_row<T: Serialize>(row: T) -> Result<Map<String, Value>, Refusal> {
    match serde_json::to_value(row) {
        Ok(Value::Object(map)) => Ok(map),
        _ => Err(Refusal::new(ResultCode::Internal).with_detail("a row cannot be encoded")),
    }
}
