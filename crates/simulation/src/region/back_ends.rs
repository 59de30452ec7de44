//! Calls to engines and services, and what happens at them.

use std::time::Duration;

use flaxward_control::coordinator::{CoordinatorEvent, EngineFault};
use flaxward_control::node::NodeEvent;
use flaxward_types::{AttemptId, RunnerName};
use flaxward_wire::{InventoryUpdate, RunnerReport};

use super::{Event, Region};
use crate::gateway::News;
use crate::network::{Place, between, chance};
use crate::process::{Input, Operation, ProcessId};

/// Time after which an order or a connection attempt without an answer is given up.
pub(super) const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time that an order whose sender has given up stays on its way.
const LATEST: Duration = Duration::from_secs(9);
/// Longest cut that a connection survives.
const LONGEST_STALL: Duration = Duration::from_secs(20);

/// Status of a whole answer.
pub(super) const OK: u16 = 200;

/// A call on its way to a back end.
#[derive(Clone, Debug)]
pub(super) struct BackEndCall {
    process: ProcessId,
    operation: Operation,
    /// Whether its answer gets back.
    answers: bool,
}

impl Region {
    /// A call leaves a process.
    pub(super) fn call_back_end(&mut self, process: ProcessId, operation: Operation) {
        let runner = match &operation {
            Operation::Order(runner, _)
            | Operation::ReadInventory(runner)
            | Operation::ReadLoad(runner)
            | Operation::Cancel(_, runner) => runner.clone(),
            Operation::Attempt(attempt) => {
                self.check_leaving(process, &attempt.runner);
                attempt.runner.clone()
            }
            Operation::Store(_) | Operation::ReadMachines => return,
        };
        let here = self.zone_of(process);
        let Some(there) = self.place_of(&runner) else {
            return self.unreached(process, &operation, Duration::from_millis(1));
        };
        if !self.is_up(&runner) {
            return self.unreached(process, &operation, Duration::from_millis(1));
        }
        if self.is_cut(&here, &there, &runner) {
            return self.unreached(process, &operation, ENGINE_TIMEOUT);
        }
        let (loses_until, percent) = self.faults.back_ends_lose;
        let answers = self.now >= loses_until || !chance(percent, &mut self.random);
        let mut way = self.network.latency(&here, &there, &mut self.random);
        if !answers && matches!(operation, Operation::Order(..)) {
            // The order itself may be late as well, so that its sender has given up long before.
            way = between(way, LATEST, &mut self.random);
        }
        let call = BackEndCall {
            process,
            operation,
            answers,
        };
        self.after(way, Event::AtBackEnd(runner, Box::new(call)));
    }

    fn place_of(&self, runner: &RunnerName) -> Option<Place> {
        let engine = self.engines.get(runner).map(|engine| &engine.machine);
        let service = self.services.get(runner).map(|service| &service.machine);
        Some(Place::Zone(engine.or(service)?.zone.clone()))
    }

    fn is_up(&self, runner: &RunnerName) -> bool {
        let engine = self.engines.get(runner);
        let service = self.services.get(runner);
        engine.is_some_and(|engine| engine.alive && !engine.gone)
            || service.is_some_and(|service| service.alive && !service.gone)
    }

    fn is_cut(&self, here: &Place, there: &Place, runner: &RunnerName) -> bool {
        let engine = self.engines.get(runner);
        let is_isolated = engine.is_some_and(|engine| self.now < engine.faults.cut_until);
        is_isolated || self.network.cut_until(here, there, self.now).is_some()
    }

    /// A call certainly did not arrive.
    fn unreached(&mut self, process: ProcessId, operation: &Operation, after: Duration) {
        let input = match operation {
            Operation::Attempt(attempt) => Input::News(attempt.id, News::NotSent),
            operation => match failed(operation, EngineFault::Unreachable) {
                Some(event) => Input::Node(NodeEvent::Answered(event)),
                None => return,
            },
        };
        self.tell(after, process, input);
    }

    pub(super) fn at_back_end(&mut self, runner: &RunnerName, call: BackEndCall) {
        let BackEndCall {
            process,
            operation,
            answers,
        } = call;
        if !self.is_up(runner) {
            let input = match &operation {
                Operation::Attempt(attempt) => Some(Input::News(attempt.id, News::Broken)),
                operation => failed(operation, EngineFault::Unknown)
                    .map(|event| Input::Node(NodeEvent::Answered(event))),
            };
            if let Some(input) = input {
                self.tell(ENGINE_TIMEOUT, process, input);
            }
            return;
        }
        match operation {
            Operation::Attempt(attempt) if self.engines.contains_key(runner) => {
                self.generate(runner, process, attempt, !answers);
            }
            Operation::Attempt(attempt) => self.serve(runner, process, attempt, !answers),
            Operation::Cancel(attempt, _) => self.end_generation(runner, attempt),
            operation => {
                let event = self.at_engine(runner, &operation);
                self.answer_node(runner, process, &operation, event, answers);
            }
        }
    }

    /// An order or a read arrives at an engine.
    fn at_engine(&mut self, runner: &RunnerName, operation: &Operation) -> Option<NodeEvent> {
        let answer = match operation {
            Operation::Order(_, order) => Some(self.at_engine_order(runner, order)),
            _ => None,
        };
        let engine = self.engines.get_mut(runner)?;
        Some(match operation {
            Operation::Order(_, order) => NodeEvent::Answered(CoordinatorEvent::OrderAnswered {
                runner: runner.clone(),
                order: order.id,
                answer: Ok(answer?),
            }),
            Operation::ReadInventory(_) => NodeEvent::Answered(CoordinatorEvent::InventoryRead {
                runner: runner.clone(),
                inventory: Ok(engine.inventory()),
            }),
            _ => NodeEvent::Observed(vec![RunnerReport {
                runner: runner.clone(),
                load: Some(engine.load_report()),
                inventory: InventoryUpdate::Unread,
            }]),
        })
    }

    fn answer_node(
        &mut self,
        runner: &RunnerName,
        process: ProcessId,
        operation: &Operation,
        event: Option<NodeEvent>,
        answers: bool,
    ) {
        let (Some(event), Some(there)) = (event, self.place_of(runner)) else {
            return;
        };
        let here = self.zone_of(process);
        if answers && !self.is_cut(&here, &there, runner) {
            let way = self.network.latency(&there, &here, &mut self.random);
            return self.tell(way, process, Input::Node(event));
        }
        if let Some(event) = failed(operation, EngineFault::Unknown) {
            self.tell(
                ENGINE_TIMEOUT,
                process,
                Input::Node(NodeEvent::Answered(event)),
            );
        }
    }

    /// Brings news to a process over the connection of an attempt. A cut delays it, or breaks the
    /// connection without a sign.
    pub(super) fn bring(
        &mut self,
        runner: &RunnerName,
        process: ProcessId,
        attempt: AttemptId,
        news: News,
    ) {
        let Some(there) = self.place_of(runner) else {
            return;
        };
        let here = self.zone_of(process);
        let isolated = self
            .engines
            .get(runner)
            .map(|engine| engine.faults.cut_until);
        let isolated = isolated.filter(|until| *until > self.now);
        let cut = self
            .network
            .cut_until(&here, &there, self.now)
            .max(isolated);
        let delay = match cut {
            Some(until) if until.since(self.now) > LONGEST_STALL => return,
            Some(until) => until.since(self.now),
            None => self.network.latency(&there, &here, &mut self.random),
        };
        // What one connection brings stays in order.
        let arrival = (self.now + delay).max(self.arrivals.remove(&attempt).unwrap_or_default());
        if matches!(news, News::Head | News::Token(..)) {
            self.arrivals.insert(attempt, arrival);
        }
        let delay = arrival.since(self.now);
        self.tell(delay, process, Input::News(attempt, news));
    }

    /// The connections of a process break: engines stop what they were doing for it.
    pub(super) fn break_connections(&mut self, process: ProcessId) {
        let broken: Vec<(RunnerName, AttemptId)> = self
            .engines
            .iter()
            .flat_map(|(name, engine)| {
                let own = engine
                    .generations
                    .iter()
                    .filter(|(_, generation)| generation.process == process);
                own.map(|(attempt, _)| (name.clone(), *attempt))
            })
            .collect();
        for (name, attempt) in broken {
            self.end_generation(&name, attempt);
        }
    }
}

/// The event that tells the node that a call has failed, unless nothing is told then.
fn failed(operation: &Operation, fault: EngineFault) -> Option<CoordinatorEvent> {
    match operation {
        Operation::Order(runner, order) => Some(CoordinatorEvent::OrderAnswered {
            runner: runner.clone(),
            order: order.id,
            answer: Err(fault),
        }),
        Operation::ReadInventory(runner) => Some(CoordinatorEvent::InventoryRead {
            runner: runner.clone(),
            inventory: Err(fault),
        }),
        _ => None,
    }
}
