//! Counters of what a daemon decides and asks of the platform.

use flaxward_control::coordinator::{EngineFault, StoreFault};
use flaxward_types::{Metric, Revision};

/// Metrics of this module.
pub const METRICS: [Metric; 6] = [
    LEADS,
    REVISION,
    LEAVING,
    DECISIONS,
    STORE_OPERATIONS,
    ENGINE_CALLS,
];

const LEADS: Metric = Metric::gauge(
    "flaxward_coordinator_leads",
    "1 while this daemon coordinates its zone, else 0.",
);
const REVISION: Metric = Metric::gauge(
    "flaxward_configuration_revision",
    "Revision of the configuration in force at this daemon.",
);
const LEAVING: Metric = Metric::gauge(
    "flaxward_leaving_runners",
    "Runners that take no new work, as this daemon knows.",
);
const DECISIONS: Metric = Metric::counter(
    "flaxward_coordinator_decisions_total",
    "Decisions recorded while coordinating, by `decision`.",
);
const STORE_OPERATIONS: Metric = Metric::counter(
    "flaxward_store_operations_total",
    "Reads and writes of records at the object API, by `operation` and `result`.",
);
const ENGINE_CALLS: Metric = Metric::counter(
    "flaxward_engine_calls_total",
    "Orders to engines and reads of their inventories, by `call` and `result`.",
);

/// What is done at the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOperation {
    /// One record, or a list of them, is read.
    Read,
    /// One record is written.
    Write,
}

/// What is asked of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineCall {
    /// An order to load, to unload or to seal.
    Order,
    /// A read of the inventory.
    Inventory,
}

/// Notes whether this daemon coordinates its zone.
pub fn leads(leads: bool) {
    metrics::gauge!(LEADS.name).set(u8::from(leads));
}

/// Notes the configuration in force.
#[expect(clippy::cast_precision_loss, reason = "revisions stay far below 2^52")]
pub fn in_force(revision: Revision) {
    metrics::gauge!(REVISION.name).set(revision.0 as f64);
}

/// Notes how many runners take no new work.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn leaving(runners: usize) {
    metrics::gauge!(LEAVING.name).set(runners as f64);
}

/// Counts a decision.
pub fn decided(decision: &'static str) {
    metrics::counter!(DECISIONS.name, "decision" => decision).increment(1);
}

/// Counts an operation on the object API.
pub fn stored<Answer>(operation: StoreOperation, result: &Result<Answer, StoreFault>) {
    let operation = match operation {
        StoreOperation::Read => "read",
        StoreOperation::Write => "write",
    };
    let result = match result {
        Ok(_) => "ok",
        Err(StoreFault::Unavailable) => "unavailable",
        Err(StoreFault::Conflict) => "conflict",
        Err(StoreFault::Unknown) => "unknown",
    };
    metrics::counter!(STORE_OPERATIONS.name, "operation" => operation, "result" => result)
        .increment(1);
}

/// Counts a call to an engine.
pub fn called<Answer>(call: EngineCall, result: &Result<Answer, EngineFault>) {
    let call = match call {
        EngineCall::Order => "order",
        EngineCall::Inventory => "inventory",
    };
    let result = match result {
        Ok(_) => "ok",
        Err(EngineFault::Unreachable) => "unreachable",
        Err(EngineFault::Unknown) => "unknown",
    };
    metrics::counter!(ENGINE_CALLS.name, "call" => call, "result" => result).increment(1);
}
