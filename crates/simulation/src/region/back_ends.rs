//! Calls to engines and services, and what happens at them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flaxward_control::coordinator::{CoordinatorEvent, EngineFault};
use flaxward_control::node::NodeEvent;
use flaxward_types::engine::{Machine, MachineRole, Order, OrderAnswer};
use flaxward_types::{AttemptId, BootId, RunnerName};
use flaxward_wire::{InventoryNews, RunnerReport};
use rand::RngExt;

use super::{Event, Region};
use crate::caller::CallerRequest;
use crate::engine::{Effect, Generation, Source};
use crate::gateway::{Attempt, News};
use crate::network::{Place, between, chance};
use crate::process::{Input, Operation, ProcessId};

/// Time after which an order or a connection attempt without an answer is given up.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time that an order whose sender has given up stays on its way.
const LATEST: Duration = Duration::from_secs(9);
/// Time until the memory of an unloaded artifact is free.
const UNLOAD: Duration = Duration::from_millis(300);
/// Longest cut that a connection survives.
const LONGEST_STALL: Duration = Duration::from_secs(20);
/// Status of a whole answer.
const OK: u16 = 200;

/// A call on its way to a back end.
#[derive(Clone, Debug)]
pub(super) struct BackEndCall {
    process: ProcessId,
    operation: Operation,
    /// Whether its answer gets back.
    answers: bool,
}

/// What ends at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) enum EngineTimer {
    /// A load; whether it succeeds, and whether it came from the weight store.
    Loaded(u64, bool, bool),
    /// The unload of a load.
    Unloaded(u64),
    /// The next token of an answer.
    Token(AttemptId),
}

/// A machine that runs a plain service.
#[derive(Clone, Debug)]
pub(super) struct ServiceMachine {
    pub machine: Machine,
    pub alive: bool,
    pub gone: bool,
    /// Number of its start.
    pub start: u64,
    running: BTreeMap<AttemptId, (ProcessId, Arc<CallerRequest>, bool)>,
}

impl ServiceMachine {
    pub(super) fn new(machine: Machine) -> Self {
        Self {
            machine,
            alive: true,
            gone: false,
            start: 0,
            running: BTreeMap::new(),
        }
    }
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
                inventory: InventoryNews::Unread,
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

    fn at_engine_order(&mut self, runner: &RunnerName, order: &Order) -> OrderAnswer {
        let engine = self
            .engines
            .get_mut(runner)
            .expect("an engine takes orders");
        let boot = engine.boot;
        let (answer, effect) = engine.order(order);
        match effect {
            Some(Effect::Load(number, source, bytes)) => {
                self.begin_load(runner, boot, number, source, bytes);
            }
            Some(Effect::Unload(number)) => {
                let timer = EngineTimer::Unloaded(number);
                self.after(UNLOAD, Event::Engine(runner.clone(), boot, timer));
            }
            None => {}
        }
        self.check_order(runner, order, &answer);
        answer
    }

    fn begin_load(
        &mut self,
        runner: &RunnerName,
        boot: BootId,
        number: u64,
        source: Source,
        bytes: u64,
    ) {
        let is_remote = source == Source::WeightStore;
        self.remote_loads += u32::from(is_remote);
        let speed = match source {
            Source::Memory => self.settings.memory_speed,
            Source::Disk => self.settings.disk_speed,
            Source::WeightStore => {
                let sharing = self.remote_loads.max(self.settings.weight_store_parallel);
                let speed = self.settings.weight_store_speed;
                speed * u64::from(self.settings.weight_store_parallel) / u64::from(sharing)
            }
        };
        let mut time = Duration::from_millis(bytes.saturating_mul(1_000) / speed.max(1));
        let (slow_until, factor) = self.faults.weight_store_slow;
        if is_remote && self.now < slow_until {
            time *= factor;
        }
        let Some(engine) = self.engines.get_mut(runner) else {
            return;
        };
        if engine.faults.stuck_loads > 0 {
            engine.faults.stuck_loads -= 1;
            return;
        }
        let fails = engine.faults.failing_loads > 0;
        engine.faults.failing_loads -= u8::from(fails);
        let timer = EngineTimer::Loaded(number, !fails, is_remote);
        self.after(time, Event::Engine(runner.clone(), boot, timer));
    }

    pub(super) fn engine_timer(&mut self, runner: &RunnerName, boot: BootId, timer: EngineTimer) {
        if let EngineTimer::Loaded(_, _, true) = timer {
            self.remote_loads = self.remote_loads.saturating_sub(1);
        }
        let Some(engine) = self.engines.get_mut(runner) else {
            return;
        };
        if engine.boot != boot || !engine.alive || engine.gone {
            return;
        }
        match timer {
            EngineTimer::Loaded(number, succeeded, _) => engine.end_load(number, succeeded),
            EngineTimer::Unloaded(number) => {
                engine.end_unload(number);
            }
            EngineTimer::Token(attempt) => self.next_token(runner, boot, attempt),
        }
    }

    /// An engine begins to answer a request.
    fn generate(&mut self, runner: &RunnerName, process: ProcessId, attempt: Attempt, lost: bool) {
        let Some(artifact) = attempt.artifact else {
            return;
        };
        let generation = Generation {
            process,
            request: Arc::clone(&attempt.request),
            artifact,
            next: attempt.resume_from.unwrap_or(0),
            lost,
        };
        let Some(engine) = self.engines.get_mut(runner) else {
            return;
        };
        let boot = engine.boot;
        if engine.begin(attempt.id, generation).is_none() {
            return self.bring(runner, process, attempt.id, News::NotRun);
        }
        self.check_execution(&attempt.request);
        if lost {
            let delay = between(Duration::ZERO, ENGINE_TIMEOUT, &mut self.random);
            self.tell(delay, process, Input::News(attempt.id, News::Broken));
        } else {
            self.bring(runner, process, attempt.id, News::Head);
        }
        let timer = EngineTimer::Token(attempt.id);
        self.after(
            self.settings.token_time,
            Event::Engine(runner.clone(), boot, timer),
        );
    }

    fn next_token(&mut self, runner: &RunnerName, boot: BootId, attempt: AttemptId) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(runner) else {
            return;
        };
        let (hung_until, garbled_until) = (engine.faults.hung_until, engine.faults.garbled_until);
        let Some(generation) = engine.generations.get_mut(&attempt) else {
            return;
        };
        let again = Event::Engine(runner.clone(), boot, EngineTimer::Token(attempt));
        if now < hung_until {
            self.events.push(hung_until, again);
            return;
        }
        let index = generation.next;
        generation.next += 1;
        let (process, lost) = (generation.process, generation.lost);
        let request = Arc::clone(&generation.request);
        let is_over = generation.next >= request.tokens;
        if request.stream && !lost {
            let garbled = now < garbled_until;
            self.bring_token(runner, process, attempt, &request, index, garbled);
        }
        if !is_over {
            return self.after(self.settings.token_time, again);
        }
        if !lost {
            let news = if request.stream {
                News::Terminator
            } else {
                News::Body(OK, request.answer())
            };
            self.bring(runner, process, attempt, news);
        }
        self.end_generation(runner, attempt);
    }

    /// One token, unless the engine loses, doubles or swaps it. The last one is never lost without
    /// another after it: the end mark states no number, so that could not be noticed.
    fn bring_token(
        &mut self,
        runner: &RunnerName,
        process: ProcessId,
        attempt: AttemptId,
        request: &CallerRequest,
        index: u64,
        garbled: bool,
    ) {
        let news = News::Token(index, request.frame(index));
        let fate = if garbled {
            self.random.random_range(0..10)
        } else {
            9
        };
        let is_last = index + 1 >= request.tokens;
        match fate {
            0 if !is_last => {}
            1 => {
                self.bring(runner, process, attempt, news.clone());
                self.bring(runner, process, attempt, news);
            }
            2 if !is_last => {
                let later = Input::News(attempt, news);
                self.tell(self.settings.token_time * 2, process, later);
            }
            _ => self.bring(runner, process, attempt, news),
        }
    }

    /// Brings news to a process over the connection of an attempt. A cut delays it, or breaks the
    /// connection without a sign.
    fn bring(&mut self, runner: &RunnerName, process: ProcessId, attempt: AttemptId, news: News) {
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

    fn end_generation(&mut self, runner: &RunnerName, attempt: AttemptId) {
        if let Some(engine) = self.engines.get_mut(runner)
            && let Some(number) = engine.end(attempt)
        {
            let boot = engine.boot;
            let timer = EngineTimer::Unloaded(number);
            self.after(UNLOAD, Event::Engine(runner.clone(), boot, timer));
        }
    }

    /// A service takes a request, runs it, and answers later.
    fn serve(&mut self, runner: &RunnerName, process: ProcessId, attempt: Attempt, lost: bool) {
        let request = Arc::clone(&attempt.request);
        let Some(service) = self.services.get_mut(runner) else {
            return;
        };
        let start = service.start;
        let work = (process, Arc::clone(&request), lost);
        service.running.insert(attempt.id, work);
        self.check_execution(&request);
        let time = between(
            Duration::from_millis(10),
            self.settings.service_time,
            &mut self.random,
        );
        let done = Event::ServiceDone(runner.clone(), start, attempt.id);
        self.after(time, done);
    }

    pub(super) fn service_done(&mut self, runner: &RunnerName, start: u64, attempt: AttemptId) {
        let Some(service) = self.services.get_mut(runner) else {
            return;
        };
        if service.start != start || !service.alive || service.gone {
            return;
        }
        let Some((process, request, lost)) = service.running.remove(&attempt) else {
            return;
        };
        let news = if lost {
            News::Broken
        } else {
            News::Body(OK, request.answer())
        };
        if !lost {
            self.bring(runner, process, attempt, News::Head);
        }
        self.bring(runner, process, attempt, news);
    }

    /// An engine or a service dies; what it was doing breaks off.
    pub(super) fn back_end_down(&mut self, name: &RunnerName) {
        if let Some(engine) = self.engines.get_mut(name) {
            let boot = BootId(self.random.random());
            let broken = engine.restart(boot);
            engine.alive = false;
            for (attempt, generation) in broken {
                self.bring(name, generation.process, attempt, News::Broken);
            }
        }
        if let Some(service) = self.services.get_mut(name) {
            service.alive = false;
            service.start += 1;
            for (attempt, (process, ..)) in std::mem::take(&mut service.running) {
                self.bring(name, process, attempt, News::Broken);
            }
        }
    }

    pub(super) fn back_end_up(&mut self, name: &RunnerName) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.alive = !engine.gone;
        }
        if let Some(service) = self.services.get_mut(name) {
            service.alive = !service.gone;
        }
    }

    /// A machine is taken away for good, and another one takes its place.
    pub(super) fn take_machine(&mut self, name: &RunnerName) {
        self.back_end_down(name);
        let machine = if let Some(engine) = self.engines.get_mut(name) {
            engine.gone = true;
            engine.machine.clone()
        } else if let Some(service) = self.services.get_mut(name) {
            service.gone = true;
            service.machine.clone()
        } else {
            return;
        };
        let lag = between(
            Duration::ZERO,
            self.settings.machine_list_lag,
            &mut self.random,
        );
        self.after(lag, Event::Listed(name.clone(), None));
        let lag = between(
            Duration::ZERO,
            self.settings.machine_list_lag,
            &mut self.random,
        );
        let role: MachineRole = machine.role;
        self.add_machine(&machine.zone, role, lag);
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
