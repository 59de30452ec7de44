//! Calls to the store and to runners that the coordination asks for. Each is a task of its own; what it
//! comes to goes back as an [`Event`].

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;

use flaxward_routing::lease::{LeaseAnswer, LeaseCall};
use flaxward_routing::names::RunnerId;
use flaxward_routing::placement::store_link::LoadSample;
use flaxward_routing::placement::{
    Action, Operation, Order, OrderAnswer, Reason, RunnerReport, SettledOrder,
};
use flaxward_types::time::Timestamp;
use tokio::sync::mpsc::UnboundedSender;

use crate::counters::{FOREIGN_REPORTS, ORDERS, STORE_LOAD_SECONDS, STORE_LOADS_ALLOWED};
use crate::outside::{Changed, FencedOrder, LeaseReading, StoreError, UnreadableEntry};
use crate::state::Shared;
use crate::unreadable::ObjectKind;

/// What a call has come to.
pub(super) enum Event {
    Lease(LeaseAnswer),
    Report {
        runner: RunnerId,
        report: Option<RunnerReport>,
        asked_at: Timestamp,
        term: u64,
    },
    Order {
        runner: RunnerId,
        answer: OrderAnswer,
        order: Order,
        term: u64,
    },
}

/// An order that goes to a runner.
struct Sending {
    runner: RunnerId,
    address: SocketAddr,
    order: Order,
    expected_count: u64,
    reason: Reason,
    term: u64,
}

/// Makes calls.
#[derive(Clone)]
pub(super) struct Caller {
    pub shared: Arc<Shared>,
    pub events: UnboundedSender<Event>,
}

impl Caller {
    /// Makes a call to the store about the lease.
    pub fn call_store(&self, call: LeaseCall) {
        let Self { shared, events } = self.clone();
        tokio::spawn(async move {
            let store = &shared.store;
            let answer = match call {
                LeaseCall::Read => match store.lease().await {
                    Ok(LeaseReading::Found(lease)) => LeaseAnswer::Found(lease),
                    Ok(LeaseReading::Missing(era)) => LeaseAnswer::Missing(era),
                    Err(error) => failed(&shared, error),
                },
                LeaseCall::Create(record) => changed(&shared, store.create_lease(&record).await),
                LeaseCall::Replace(record, revision) => {
                    changed(&shared, store.replace_lease(&record, revision).await)
                }
            };
            let _ = events.send(Event::Lease(answer));
        });
    }

    /// Carries out what a plan under a term has decided.
    pub fn carry_out(&self, action: Action, term: u64) {
        match action {
            Action::Report { runner, address } => self.read_report(runner, address, term),
            Action::Order {
                runner,
                address,
                order,
                expected_count,
                reason,
            } => self.send_order(Sending {
                runner,
                address,
                order,
                expected_count,
                reason,
                term,
            }),
        }
    }

    fn read_report(&self, runner: RunnerId, address: SocketAddr, term: u64) {
        let Self { shared, events } = self.clone();
        let asked_at = shared.now();
        tokio::spawn(async move {
            let report = shared.control.report(address).await;
            let _ = events.send(Event::Report {
                runner,
                report,
                asked_at,
                term,
            });
        });
    }

    fn send_order(&self, sending: Sending) {
        let Self { shared, events } = self.clone();
        log_order(&shared, &sending);
        metrics::counter!(ORDERS.name).increment(1);
        tokio::spawn(async move {
            let fenced = FencedOrder {
                runner: &sending.runner,
                order: &sending.order,
                expected_count: sending.expected_count,
                holder: &shared.settings.name,
                fence: sending.term,
            };
            let answer = shared.control.order(sending.address, &fenced).await;
            let _ = events.send(Event::Order {
                runner: sending.runner,
                answer,
                order: sending.order,
                term: sending.term,
            });
        });
    }
}

fn log_order(shared: &Shared, sending: &Sending) {
    let fields: &[(&str, &dyn Display)] = &[
        ("runner", &sending.runner),
        ("operation", &operation_name(sending.order.operation)),
        ("unit", &sending.order.unit),
        ("reason", &format!("{:?}", sending.reason)),
        ("expected_count", &sending.expected_count),
        ("term", &sending.term),
    ];
    shared.log.write(shared.now(), "order-sent", fields);
}

/// Logs that another life of a runner has reported than the one that was asked, so that its report counts for nothing.
pub(super) fn log_foreign_report(
    shared: &Shared,
    runner: &RunnerId,
    report: &RunnerReport,
    term: u64,
) {
    metrics::counter!(FOREIGN_REPORTS.name).increment(1);
    let reporter = RunnerId::from_parts(runner.name().clone(), report.start);
    let fields: &[(&str, &dyn Display)] =
        &[("runner", runner), ("reporter", &reporter), ("term", &term)];
    shared
        .log
        .write(shared.now(), "report-of-another-life", fields);
}

/// Logs that a report has settled an order, and what it says of the weight store.
pub(super) fn log_settled(shared: &Shared, runner: &RunnerId, settled: &SettledOrder, term: u64) {
    let operation = operation_name(settled.order.operation);
    let mut fields: Vec<(&str, &dyn Display)> = vec![
        ("runner", runner),
        ("operation", &operation),
        ("unit", &settled.order.unit),
        ("done", &settled.is_done),
        ("term", &term),
    ];
    if let Some(sample) = settled.sample {
        metrics::histogram!(STORE_LOAD_SECONDS.name).record(sample.took.as_secs_f64());
        metrics::histogram!(STORE_LOADS_ALLOWED.name).record(sample.limit);
    }
    let sample = settled.sample.map(SampleFields::of);
    if let Some(sample) = &sample {
        fields.push(("took_ms", &sample.took_ms));
        fields.push(("promised_ms", &sample.promised_ms));
        fields.push(("store_loads", &sample.in_flight));
        fields.push(("store_limit", &sample.limit));
    }
    shared.log.write(shared.now(), "order-settled", &fields);
}

/// A measurement of the weight store as it is logged.
struct SampleFields {
    took_ms: u128,
    promised_ms: u128,
    in_flight: String,
    limit: String,
}

impl SampleFields {
    fn of(sample: LoadSample) -> Self {
        Self {
            took_ms: sample.took.as_millis(),
            promised_ms: sample.nominal.as_millis(),
            in_flight: format!("{:.1}", sample.in_flight),
            limit: format!("{:.1}", sample.limit),
        }
    }
}

/// Name of an operation for the log.
pub(super) fn operation_name(operation: Operation) -> &'static str {
    match operation {
        Operation::Load => "load",
        Operation::Unload => "unload",
    }
}

fn changed(shared: &Shared, result: Result<Changed, StoreError>) -> LeaseAnswer {
    match result {
        Ok(Changed::Made(lease)) => LeaseAnswer::Written(lease),
        Ok(Changed::Conflict(lease)) => LeaseAnswer::Found(lease),
        Ok(Changed::Missing(era)) => LeaseAnswer::Missing(era),
        Err(error) => failed(shared, error),
    }
}

/// What a call about the lease came to that has failed.
fn failed(shared: &Shared, error: StoreError) -> LeaseAnswer {
    let StoreError::UnreadableLease { lease, reason } = error else {
        return LeaseAnswer::Unknown;
    };
    let entry = UnreadableEntry {
        name: None,
        revision: Some(lease.revision.number),
        reason,
    };
    shared.record_unreadable(ObjectKind::Lease, &[entry]);
    LeaseAnswer::Unreadable(lease)
}
