//! Calls to the store and to runners that the coordination makes. Each runs as its own task, which sends its result back
//! as an [`Event`].

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;

use flaxward_routing::lease::{LeaseAnswer, LeaseCall};
use flaxward_routing::names::RunnerId;
use flaxward_routing::placement::store_link::LoadSample;
use flaxward_routing::placement::{
    Action, Operation, Order, OrderAnswer, Reason, RunnerReport, SettledOrder,
};
use flaxward_routing::stream_origins::backup::BackupAnswer;
use flaxward_types::time::Timestamp;
use tokio::sync::mpsc::UnboundedSender;

use crate::counters::{FOREIGN_REPORTS, ORDERS, STORE_LOAD_SECONDS, STORE_LOADS_ALLOWED};
use crate::interfaces::{Changed, FencedOrder, LeaseLookup, StoreError, UnreadableEntry};
use crate::state::Shared;
use crate::unreadable::ObjectKind;

/// Result of a call.
pub(super) enum Event {
    Lease(LeaseAnswer),
    OriginBackup(BackupAnswer),
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

/// An order to be sent to a runner.
struct OutgoingOrder {
    runner: RunnerId,
    address: SocketAddr,
    order: Order,
    expected_count: u64,
    reason: Reason,
    term: u64,
}

/// Starts the calls.
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
                    Ok(LeaseLookup::Found(lease)) => LeaseAnswer::Found(lease),
                    Ok(LeaseLookup::Missing(era)) => LeaseAnswer::Missing(era),
                    Err(error) => failure_answer(&shared, error),
                },
                LeaseCall::Create(record) => {
                    change_answer(&shared, store.create_lease(&record).await)
                }
                LeaseCall::Replace(record, revision) => {
                    change_answer(&shared, store.replace_lease(&record, revision).await)
                }
            };
            let _ = events.send(Event::Lease(answer));
        });
    }

    /// Executes an action that was planned under a term.
    pub fn execute(&self, action: Action, term: u64) {
        match action {
            Action::Report { runner, address } => self.read_report(runner, address, term),
            Action::Order {
                runner,
                address,
                order,
                expected_count,
                reason,
            } => self.send_order(OutgoingOrder {
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

    fn send_order(&self, outgoing: OutgoingOrder) {
        let Self { shared, events } = self.clone();
        log_order(&shared, &outgoing);
        metrics::counter!(ORDERS.name).increment(1);
        tokio::spawn(async move {
            let fenced = FencedOrder {
                runner: &outgoing.runner,
                order: &outgoing.order,
                expected_count: outgoing.expected_count,
                holder: &shared.settings.name,
                fence: outgoing.term,
            };
            let answer = shared.control.order(outgoing.address, &fenced).await;
            let _ = events.send(Event::Order {
                runner: outgoing.runner,
                answer,
                order: outgoing.order,
                term: outgoing.term,
            });
        });
    }
}

fn log_order(shared: &Shared, outgoing: &OutgoingOrder) {
    let fields: &[(&str, &dyn Display)] = &[
        ("runner", &outgoing.runner),
        ("operation", &operation_name(outgoing.order.operation)),
        ("unit", &outgoing.order.unit),
        ("reason", &format!("{:?}", outgoing.reason)),
        ("expected_count", &outgoing.expected_count),
        ("term", &outgoing.term),
    ];
    shared.log.write(shared.now(), "order-sent", fields);
}

/// Logs that a report came from another incarnation of the runner than the one that was asked, and is therefore ignored.
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

/// Logs that a report has settled an order, with the measurement of the weight store that follows from it.
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

/// A measurement of the weight store, as logged.
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

/// Name of an operation in the log.
pub(super) fn operation_name(operation: Operation) -> &'static str {
    match operation {
        Operation::Load => "load",
        Operation::Unload => "unload",
    }
}

fn change_answer(shared: &Shared, result: Result<Changed, StoreError>) -> LeaseAnswer {
    match result {
        Ok(Changed::Made(lease)) => LeaseAnswer::Written(lease),
        Ok(Changed::Conflict(lease)) => LeaseAnswer::Found(lease),
        Ok(Changed::Missing(era)) => LeaseAnswer::Missing(era),
        Err(error) => failure_answer(shared, error),
    }
}

/// Outcome of a call about the lease that has failed; an unreadable lease is also recorded.
fn failure_answer(shared: &Shared, error: StoreError) -> LeaseAnswer {
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
