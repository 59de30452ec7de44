//! The tables that operators ask for, put together from this daemon and the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use async_trait::async_trait;
use flaxward_backends::{Collection, ObjectApi};
use flaxward_control::configuration::Configuration;
use flaxward_operators::{
    AdapterRow, ConfigRow, DaemonRow, DecisionRow, DrainRow, ModelRow, ModelState, PolicyRow,
    QuotaRow, ReplicaRow, ReplicaState, RequestRow, RunnerRow, RunnerState, ServiceRow, VersionRow,
    Views, ZoneRow,
};
use flaxward_types::records::{Quota, QuotaSubject};
use flaxward_types::{ConfigurationItem, ItemKey, ModelName, Refusal, ResultCode};
use flaxward_wire::{Peer, View};
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot, watch};

use super::event::CoreEvent;
use super::reports::{ArtifactsReport, DaemonReport};
use super::store_driver::decode;

/// Views of one daemon.
pub struct DaemonViews {
    /// The daemon's core.
    pub core: mpsc::UnboundedSender<CoreEvent>,
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// The object API, for what no daemon keeps.
    pub store: Arc<dyn ObjectApi>,
}

/// Whom a question goes to.
enum Whom {
    /// Members of the own zone and all coordinators.
    Acquaintances,
    /// All coordinators.
    Coordinators,
    /// These.
    These(Vec<Peer>),
}

impl DaemonViews {
    async fn ask<Report: DeserializeOwned>(&self, whom: Whom, view: View) -> Vec<Report> {
        let (done, answers) = oneshot::channel();
        let question = move |core: &mut super::core::Core| {
            let peers = match whom {
                Whom::Acquaintances => core.acquaintances(),
                Whom::Coordinators => core.parts.node.coordinators(),
                Whom::These(peers) => peers,
            };
            core.ask(&peers, &view, done);
        };
        if self
            .core
            .send(CoreEvent::Question(Box::new(question)))
            .is_err()
        {
            return Vec::new();
        }
        let answers = answers.await.unwrap_or_default();
        answers
            .iter()
            .filter_map(|answer| serde_json::from_str(answer).ok())
            .collect()
    }

    /// Reports of all daemons: first of those known here, then of the members that they know.
    async fn daemon_reports(&self) -> Vec<DaemonReport> {
        let mut reports: Vec<DaemonReport> = self.ask(Whom::Acquaintances, View::Daemon).await;
        let strangers = strangers(&reports);
        reports.extend(self.ask(Whom::These(strangers), View::Daemon).await);
        reports
    }

    async fn artifacts(&self) -> ArtifactsReport {
        let reports: Vec<ArtifactsReport> = self.ask(Whom::Coordinators, View::Artifacts).await;
        let mut all = ArtifactsReport::default();
        for report in reports {
            all.replicas.extend(report.replicas);
            all.waiting.extend(report.waiting);
            all.failing.extend(report.failing);
        }
        all
    }

    async fn all_requests(&self) -> Vec<RequestRow> {
        let reports: Vec<DaemonReport> = self.ask(Whom::Acquaintances, View::Daemon).await;
        let mut whom = strangers(&reports);
        whom.extend(answered(&reports));
        let rows: Vec<Vec<RequestRow>> = self.ask(Whom::These(whom), View::Requests).await;
        rows.into_iter().flatten().collect()
    }

    fn configuration(&self) -> Arc<Configuration> {
        self.configuration.borrow().clone()
    }
}

/// Members that are alive and have not reported.
fn strangers(reports: &[DaemonReport]) -> Vec<Peer> {
    let known: BTreeSet<&str> = reports
        .iter()
        .map(|report| report.daemon.name.as_str())
        .collect();
    let mut strangers: BTreeMap<String, Peer> = BTreeMap::new();
    for (peer, state) in reports.iter().flat_map(|report| &report.members) {
        let is_alive = *state == flaxward_operators::DaemonState::Alive;
        if is_alive && !known.contains(peer.name.as_str()) {
            strangers.insert(peer.name.to_string(), peer.clone());
        }
    }
    strangers.into_values().collect()
}

/// The daemons that have reported.
fn answered(reports: &[DaemonReport]) -> Vec<Peer> {
    let peers = reports.iter().filter_map(|report| {
        Some(Peer {
            name: report.daemon.name.parse().ok()?,
            zone: report.daemon.zone.parse().ok()?,
            address: report.daemon.address.parse().ok()?,
        })
    });
    peers.collect()
}

#[async_trait]
impl Views for DaemonViews {
    async fn models(&self) -> Result<Vec<ModelRow>, Refusal> {
        let artifacts = self.artifacts().await;
        let requests = self.all_requests().await;
        let configuration = self.configuration();
        let rows = configuration
            .items()
            .filter_map(|(key, revision, item)| match (key, item) {
                (ItemKey::Model(name), ConfigurationItem::Model(spec)) => {
                    let mut row = ModelRow {
                        name: name.to_string(),
                        serving: spec.serving.to_string(),
                        at_least: spec.copies.at_least,
                        at_most: spec.copies.at_most,
                        zones: join(spec.copies.zones.iter()),
                        priority: spec.priority,
                        queue_limit: spec.queue_limit,
                        version: revision.0,
                        ..ModelRow::default()
                    };
                    fill_model(&mut row, &artifacts, &requests);
                    Some(row)
                }
                _ => None,
            });
        Ok(rows.collect())
    }

    async fn replicas(&self) -> Result<Vec<ReplicaRow>, Refusal> {
        Ok(self.artifacts().await.replicas)
    }

    async fn runners(&self) -> Result<Vec<RunnerRow>, Refusal> {
        let rows: Vec<Vec<RunnerRow>> = self.ask(Whom::Coordinators, View::Runners).await;
        Ok(rows.into_iter().flatten().collect())
    }

    async fn daemons(&self) -> Result<Vec<DaemonRow>, Refusal> {
        let reports = self.daemon_reports().await;
        let mut rows: BTreeMap<String, DaemonRow> = BTreeMap::new();
        for (peer, state) in reports.iter().flat_map(|report| &report.members) {
            let row = DaemonRow {
                name: peer.name.to_string(),
                zone: peer.zone.to_string(),
                address: peer.address.to_string(),
                state: *state,
                ..DaemonRow::default()
            };
            rows.insert(row.name.clone(), row);
        }
        let answered = reports.into_iter().map(|report| report.daemon);
        rows.extend(answered.map(|row| (row.name.clone(), row)));
        Ok(rows.into_values().collect())
    }

    async fn requests(&self) -> Result<Vec<RequestRow>, Refusal> {
        Ok(self.all_requests().await)
    }

    async fn zones(&self) -> Result<Vec<ZoneRow>, Refusal> {
        let reports: Vec<DaemonReport> = self.ask(Whom::Coordinators, View::Daemon).await;
        Ok(reports
            .into_iter()
            .filter_map(|report| report.zone)
            .collect())
    }

    async fn adapters(&self) -> Result<Vec<AdapterRow>, Refusal> {
        let replicas = self.artifacts().await.replicas;
        let configuration = self.configuration();
        let rows = configuration
            .items()
            .filter_map(|(key, revision, item)| match (key, item) {
                (ItemKey::Adapter(model, name), ConfigurationItem::Adapter(spec)) => {
                    let is_this = |row: &&ReplicaRow| {
                        row.model == model.as_str() && row.adapter.as_deref() == Some(name.as_str())
                    };
                    Some(AdapterRow {
                        model: model.to_string(),
                        name: name.to_string(),
                        checkpoint: spec.checkpoint.clone(),
                        weights: spec.weights.as_u64(),
                        at_most: spec.at_most,
                        ready: count_ready(replicas.iter().filter(is_this)),
                        version: revision.0,
                    })
                }
                _ => None,
            });
        Ok(rows.collect())
    }

    async fn versions(&self) -> Result<Vec<VersionRow>, Refusal> {
        let replicas = self.artifacts().await.replicas;
        let configuration = self.configuration();
        let rows = configuration
            .items()
            .filter_map(|(key, revision, item)| match (key, item) {
                (ItemKey::Version(model, name), ConfigurationItem::Version(spec)) => {
                    let is_this = |row: &&ReplicaRow| {
                        row.model == model.as_str()
                            && row.release == name.as_str()
                            && row.adapter.is_none()
                    };
                    let model_spec = configuration.model(model);
                    Some(VersionRow {
                        model: model.to_string(),
                        name: name.to_string(),
                        checkpoint: spec.checkpoint.clone(),
                        weights: spec.weights.as_u64(),
                        kv: spec.kv_cache.as_u64(),
                        serving: model_spec.is_some_and(|model| model.serving == *name),
                        ready: count_ready(replicas.iter().filter(is_this)),
                        version: revision.0,
                    })
                }
                _ => None,
            });
        Ok(rows.collect())
    }

    async fn services(&self) -> Result<Vec<ServiceRow>, Refusal> {
        let runners = self.runners().await?;
        let requests = self.all_requests().await;
        let configuration = self.configuration();
        let rows = configuration
            .items()
            .filter_map(|(key, revision, item)| match (key, item) {
                (ItemKey::Service(name), ConfigurationItem::Service(spec)) => {
                    let takes_work = |row: &&RunnerRow| {
                        row.service.as_deref() == Some(name.as_str())
                            && row.state == RunnerState::Ready
                    };
                    let running = requests
                        .iter()
                        .filter(|request| request.model == name.as_str());
                    Some(ServiceRow {
                        name: name.to_string(),
                        concurrency: spec.concurrency,
                        machines: count(runners.iter().filter(takes_work)),
                        running: count(running),
                        version: revision.0,
                    })
                }
                _ => None,
            });
        Ok(rows.collect())
    }

    async fn quotas(&self) -> Result<Vec<QuotaRow>, Refusal> {
        let unavailable = |error: flaxward_backends::StoreError| {
            Refusal::new(ResultCode::StoreUnavailable).with_detail(error.to_string())
        };
        let list = self
            .store
            .list(Collection::Quotas)
            .await
            .map_err(unavailable)?;
        let quotas = list
            .items
            .into_iter()
            .filter_map(|object| decode::<Quota>(object).ok());
        Ok(quotas
            .flat_map(|(revision, quota)| quota_rows(&quota, revision.0))
            .collect())
    }

    async fn drains(&self) -> Result<Vec<DrainRow>, Refusal> {
        let configuration = self.configuration();
        let rows = configuration
            .items()
            .filter_map(|(key, revision, item)| match (key, item) {
                (ItemKey::Drain(name), ConfigurationItem::Drain(spec)) => Some(DrainRow {
                    name: name.to_string(),
                    reason: spec.reason.clone(),
                    version: revision.0,
                }),
                _ => None,
            });
        Ok(rows.collect())
    }

    async fn policy(&self) -> Result<Vec<PolicyRow>, Refusal> {
        let configuration = self.configuration();
        let policy = configuration.policy();
        let version = configuration
            .item(&ItemKey::Policy)
            .map_or(0, |(revision, _)| revision.0);
        Ok(vec![PolicyRow {
            cold_start_weight: policy.cold_start_weight,
            weight_store_parallel: policy.weight_store_parallel,
            weight_store_per_second: policy.weight_store_per_second,
            keep_alive_min: policy.keep_alive_min_ms,
            keep_alive_max: policy.keep_alive_max_ms,
            version,
        }])
    }

    async fn config(&self) -> Result<Vec<ConfigRow>, Refusal> {
        let reports = self.daemon_reports().await;
        let rows = reports.into_iter().map(|report| ConfigRow {
            daemon: report.daemon.name,
            zone: report.daemon.zone,
            revision: report.daemon.revision,
        });
        Ok(rows.collect())
    }

    async fn explain(&self, model: &ModelName) -> Result<Vec<DecisionRow>, Refusal> {
        if self.configuration().model(model).is_none() {
            return Err(Refusal::new(ResultCode::UnknownObject));
        }
        let view = View::Decisions(model.clone());
        let rows: Vec<Vec<DecisionRow>> = self.ask(Whom::Coordinators, view).await;
        let mut rows: Vec<DecisionRow> = rows.into_iter().flatten().collect();
        rows.sort_by_key(|row| row.age);
        Ok(rows)
    }
}

fn fill_model(row: &mut ModelRow, artifacts: &ArtifactsReport, requests: &[RequestRow]) {
    let is_base = |replica: &&ReplicaRow| replica.model == row.name && replica.adapter.is_none();
    let replicas: Vec<&ReplicaRow> = artifacts.replicas.iter().filter(is_base).collect();
    row.ready = count_ready(replicas.iter().copied());
    row.loading = count(
        replicas
            .iter()
            .filter(|replica| replica.state == ReplicaState::Loading),
    );
    let of_model = |request: &&RequestRow| model_of(&request.model) == row.name;
    let waits = |request: &&RequestRow| request.state == flaxward_operators::RequestState::Waiting;
    let waiting = count(requests.iter().filter(of_model).filter(waits));
    row.running = count(requests.iter().filter(of_model)) - waiting;
    row.waiting = waiting;
    let is_failing = artifacts
        .failing
        .iter()
        .any(|artifact| artifact.model.as_str() == row.name);
    row.state = match row {
        ModelRow { ready: 1.., .. } => ModelState::Ready,
        ModelRow { loading: 1.., .. } => ModelState::Loading,
        _ if is_failing => ModelState::Failing,
        ModelRow { waiting: 1.., .. } => ModelState::Waiting,
        _ => ModelState::Idle,
    };
}

/// The model of `model[:adapter][@version]`.
fn model_of(artifact: &str) -> &str {
    artifact.split([':', '@']).next().unwrap_or(artifact)
}

fn quota_rows(quota: &Quota, version: u64) -> Vec<QuotaRow> {
    let subject = match &quota.subject {
        QuotaSubject::Model(model) => model.to_string(),
        QuotaSubject::Adapter(model, adapter) => format!("{model}:{adapter}"),
        QuotaSubject::WeightStore => "weight-store".to_owned(),
    };
    let zones: BTreeSet<_> = quota.units.keys().chain(quota.wanted.keys()).collect();
    zones
        .into_iter()
        .map(|zone| QuotaRow {
            subject: subject.clone(),
            zone: zone.to_string(),
            units: quota.units.get(zone).copied().unwrap_or(0),
            wanted: quota.wanted.get(zone).copied().unwrap_or(0),
            limit: quota.limit,
            version,
        })
        .collect()
}

fn count_ready<'a>(replicas: impl Iterator<Item = &'a ReplicaRow>) -> u32 {
    count(replicas.filter(|replica| replica.state == ReplicaState::Ready))
}

fn count<Item>(items: impl Iterator<Item = Item>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}

fn join<Name: ToString>(names: impl Iterator<Item = Name>) -> String {
    names
        .map(|name| name.to_string())
        .collect::<Vec<_>>()
        .join(",")
}
