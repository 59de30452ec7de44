//! Read-only views of the daemon's state, as rows.

use async_trait::async_trait;
use flaxward_types::{ModelName, Refusal};

use crate::rows::{
    AdapterRow, ConfigRow, DaemonRow, DecisionRow, DrainRow, ModelRow, PolicyRow, QuotaRow,
    ReplicaRow, RequestRow, RunnerRow, ServiceRow, VersionRow, ZoneRow,
};

/// Read-only views of the state of this daemon and its peers. A row that cannot be fetched within
/// about a second is omitted; a refusal means that no rows are available at all.
#[async_trait]
pub trait Views: Send + Sync {
    /// Models.
    async fn models(&self) -> Result<Vec<ModelRow>, Refusal>;

    /// Replicas.
    async fn replicas(&self) -> Result<Vec<ReplicaRow>, Refusal>;

    /// Machines.
    async fn runners(&self) -> Result<Vec<RunnerRow>, Refusal>;

    /// Daemons.
    async fn daemons(&self) -> Result<Vec<DaemonRow>, Refusal>;

    /// Waiting and running requests.
    async fn requests(&self) -> Result<Vec<RequestRow>, Refusal>;

    /// Zones.
    async fn zones(&self) -> Result<Vec<ZoneRow>, Refusal>;

    /// Adapters.
    async fn adapters(&self) -> Result<Vec<AdapterRow>, Refusal>;

    /// Model versions.
    async fn versions(&self) -> Result<Vec<VersionRow>, Refusal>;

    /// Services without a model engine.
    async fn services(&self) -> Result<Vec<ServiceRow>, Refusal>;

    /// Quotas, one row per zone.
    async fn quotas(&self) -> Result<Vec<QuotaRow>, Refusal>;

    /// Drained machines.
    async fn drains(&self) -> Result<Vec<DrainRow>, Refusal>;

    /// The policy, as a single row.
    async fn policy(&self) -> Result<Vec<PolicyRow>, Refusal>;

    /// The configuration revision in force at each daemon.
    async fn config(&self) -> Result<Vec<ConfigRow>, Refusal>;

    /// Decisions recorded for a model, newest first;
    /// [`flaxward_types::ResultCode::UnknownObject`] if the model does not exist.
    async fn explain(&self, model: &ModelName) -> Result<Vec<DecisionRow>, Refusal>;
}
