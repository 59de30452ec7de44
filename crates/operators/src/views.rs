//! What the daemon knows, as rows.

use async_trait::async_trait;
use flaxward_types::{ModelName, Refusal};

use crate::rows::{
    AdapterRow, ConfigRow, DaemonRow, DecisionRow, DrainRow, ModelRow, PolicyRow, QuotaRow,
    ReplicaRow, RequestRow, RunnerRow, ServiceRow, VersionRow, ZoneRow,
};

/// What the daemon knows, asked of its own state and of other daemons. A row that cannot be had
/// within a second or so is left out; a refusal means that nothing can be told at all.
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

    /// Requests that wait or run.
    async fn requests(&self) -> Result<Vec<RequestRow>, Refusal>;

    /// Zones.
    async fn zones(&self) -> Result<Vec<ZoneRow>, Refusal>;

    /// Adapters.
    async fn adapters(&self) -> Result<Vec<AdapterRow>, Refusal>;

    /// Versions of models.
    async fn versions(&self) -> Result<Vec<VersionRow>, Refusal>;

    /// Plain services.
    async fn services(&self) -> Result<Vec<ServiceRow>, Refusal>;

    /// Quotas, a row for each zone.
    async fn quotas(&self) -> Result<Vec<QuotaRow>, Refusal>;

    /// Drained machines.
    async fn drains(&self) -> Result<Vec<DrainRow>, Refusal>;

    /// The policy; one row.
    async fn policy(&self) -> Result<Vec<PolicyRow>, Refusal>;

    /// Revisions in force.
    async fn config(&self) -> Result<Vec<ConfigRow>, Refusal>;

    /// Decisions recorded about a model, newest first;
    /// [`flaxward_types::ResultCode::UnknownObject`] if there is no such model.
    async fn explain(&self, model: &ModelName) -> Result<Vec<DecisionRow>, Refusal>;
}
