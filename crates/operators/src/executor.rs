//! Carries out one command.

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

/// Carries out commands, for any number of operators at once.
pub struct Executor {
    store: Arc<dyn ObjectApi>,
    views: Arc<dyn Views>,
}

impl Executor {
    /// Changes go to `store`, which settles lost answers itself; reads come from `views`.
    pub fn new(store: Arc<dyn ObjectApi>, views: Arc<dyn Views>) -> Self {
        Self { store, views }
    }

    /// Carries out one command.
    ///
    /// # Errors
    /// Says why it was not carried out, or not wholly.
    pub async fn execute(&self, text: &str) -> Result<Answer, OperatorError> {
        match parse(text)? {
            Command::Show(show) => Ok(self.show(&show).await?),
            Command::Explain(model) => Ok(self.explain(&model).await?),
            Command::Change(change) => self.change(&change).await,
        }
    }

    async fn show(&self, show: &Show) -> Result<Answer, Refusal> {
        let rows = self.rows(show.table).await?;
        Ok(Answer::of_table(show.table, filter::select(show, rows)))
    }

    async fn rows(&self, table: Table) -> Result<Vec<Map<String, Value>>, Refusal> {
        let views = &self.views;
        match table {
            Table::Models => maps(views.models().await?),
            Table::Replicas => maps(views.replicas().await?),
            Table::Runners => maps(views.runners().await?),
            Table::Daemons => maps(views.daemons().await?),
            Table::Requests => maps(views.requests().await?),
            Table::Zones => maps(views.zones().await?),
            Table::Adapters => maps(views.adapters().await?),
            Table::Versions => maps(views.versions().await?),
            Table::Services => maps(views.services().await?),
            Table::Quotas => maps(views.quotas().await?),
            Table::Drains => maps(views.drains().await?),
            Table::Policy => maps(views.policy().await?),
            Table::Config => maps(views.config().await?),
            Table::Decisions => Ok(Vec::new()),
        }
    }

    async fn explain(&self, model: &ModelName) -> Result<Answer, Refusal> {
        let rows = maps(self.views.explain(model).await?)?;
        Ok(Answer::of_table(Table::Decisions, rows))
    }

    async fn change(&self, change: &Change) -> Result<Answer, OperatorError> {
        let configuration = store::read(self.store.as_ref(), &change.key).await?;
        let steps = plan(change, &configuration)?;
        let mut message = self.write(&steps).await?.join("; ");
        if let Some(warning) = self.warn_of_unknown_zones(change).await {
            message.push_str(&warning);
        }
        Ok(Answer::of_change(message))
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

    /// A zone that no daemon sees may be a slip or may be cut off, so it is no reason to refuse.
    async fn warn_of_unknown_zones(&self, change: &Change) -> Option<String> {
        let named = named_zones(change);
        if named.is_empty() {
            return None;
        }
        let seen = self.views.zones().await.ok()?;
        let unseen: Vec<&str> = named
            .iter()
            .map(ZoneName::as_str)
            .filter(|zone| seen.iter().all(|row| row.name != *zone))
            .collect();
        (!unseen.is_empty()).then(|| format!("; not seen here now: zone {}", unseen.join(", ")))
    }
}

fn named_zones(change: &Change) -> BTreeSet<ZoneName> {
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

fn maps<T: Serialize>(rows: Vec<T>) -> Result<Vec<Map<String, Value>>, Refusal> {
    rows.into_iter().map(map).collect()
}

fn map<T: Serialize>(row: T) -> Result<Map<String, Value>, Refusal> {
    match serde_json::to_value(row) {
        Ok(Value::Object(map)) => Ok(map),
        _ => Err(Refusal::new(ResultCode::Internal).with_detail("a row cannot be encoded")),
    }
}
