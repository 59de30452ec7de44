//! Machine selection and request queues for plain services.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxward_clock::Clock;
use flaxward_control::admission::BackEndFault;
use flaxward_control::router::Router;
use flaxward_types::engine::{Machine, MachineRole};
use flaxward_types::routing::Replica;
use flaxward_types::{Refusal, ResultCode, RunnerName, ServiceName, Timestamp, ZoneName};
use tokio::sync::oneshot;

use crate::scheduler::BackEnd;

/// Maximum number of requests waiting for one service.
const MAX_WAITING: usize = 1_024;

/// Time for which an unreachable machine is used only if there is no other.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(2);

/// Order of waiting requests: higher priority first, then first in, first out.
type Rank = (Reverse<u8>, u64);

/// The machines of all services.
pub(crate) struct ServicePool {
    state: Mutex<State>,
    clock: Clock,
    zone: Option<ZoneName>,
}

struct State {
    router: Router,
    /// Unreachable machines, and until when they are avoided.
    unreachable: BTreeMap<RunnerName, Timestamp>,
    services: BTreeMap<ServiceName, Service>,
    next_ticket: u64,
}

#[derive(Default)]
struct Service {
    own_zone: Vec<Replica>,
    other_zones: Vec<Replica>,
    concurrency: u32,
    waiters: BTreeMap<Rank, Waiter>,
}

struct Waiter {
    avoided: BTreeSet<RunnerName>,
    sender: oneshot::Sender<BackEnd>,
}

impl ServicePool {
    /// Creates a pool without machines for a daemon in this zone.
    pub fn new(zone: Option<ZoneName>, clock: Clock, seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                router: Router::new(seed),
                unreachable: BTreeMap::new(),
                services: BTreeMap::new(),
                next_ticket: 0,
            }),
            clock,
            zone,
        }
    }

    /// No code that holds the lock can panic during a change, so a poisoned lock is still usable.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the machines.
    pub fn set_machines(&self, machines: &[Machine]) {
        let mut state = self.lock();
        for service in state.services.values_mut() {
            service.own_zone.clear();
            service.other_zones.clear();
        }
        for machine in machines.iter().filter(|machine| !machine.leaving) {
            let MachineRole::Service(name) = &machine.role else {
                continue;
            };
            let service = state.services.entry(name.clone()).or_default();
            let replica = Replica {
                runner: machine.name.clone(),
                address: machine.address.clone(),
                outstanding: 0,
            };
            if Some(&machine.zone) == self.zone.as_ref() {
                service.own_zone.push(replica);
            } else {
                service.other_zones.push(replica);
            }
        }
        state.dispatch_all(self.clock.now());
    }

    /// Replaces the set of machines that accept no new work.
    pub fn set_leaving(&self, leaving: BTreeSet<RunnerName>) {
        let mut state = self.lock();
        state.router.set_leaving(leaving);
        state.dispatch_all(self.clock.now());
    }

    /// Creates the ticket of a request.
    pub fn issue_ticket(
        self: &Arc<Self>,
        service: ServiceName,
        concurrency: u32,
        priority: u8,
        deadline: Timestamp,
    ) -> ServiceTicket {
        let mut state = self.lock();
        let number = state.next_ticket;
        state.next_ticket += 1;
        let entry = state.services.entry(service.clone()).or_default();
        entry.concurrency = concurrency;
        drop(state);
        ServiceTicket {
            pool: Arc::clone(self),
            service,
            rank: (Reverse(priority), number),
            deadline,
            avoided: BTreeSet::new(),
            current: None,
        }
    }
}

impl State {
    /// Chooses a machine below its concurrency limit: own zone first, avoided ones last.
    fn choose(
        &mut self,
        name: &ServiceName,
        avoided: &BTreeSet<RunnerName>,
        now: Timestamp,
    ) -> Option<BackEnd> {
        self.unreachable.retain(|_, until| *until > now);
        let service = self.services.get(name)?;
        let router = &mut self.router;
        let unreachable = &self.unreachable;
        let is_avoided =
            |runner: &RunnerName| avoided.contains(runner) || unreachable.contains_key(runner);
        let concurrency = service.concurrency;
        for avoid in [true, false] {
            for replicas in [&service.own_zone, &service.other_zones] {
                let free: Vec<&Replica> = replicas
                    .iter()
                    .filter(|replica| router.outstanding(&replica.runner) < concurrency)
                    .filter(|replica| !avoid || !is_avoided(&replica.runner))
                    .collect();
                if let Some(replica) = router.choose(free, None) {
                    router.record_start(&replica.runner);
                    return Some(BackEnd {
                        runner: replica.runner.clone(),
                        address: replica.address.clone(),
                    });
                }
            }
        }
        None
    }

    fn has_machine(&self, name: &ServiceName) -> bool {
        self.services.get(name).is_some_and(|service| {
            service
                .own_zone
                .iter()
                .chain(&service.other_zones)
                .any(|replica| !self.router.is_leaving(&replica.runner))
        })
    }

    fn dispatch_all(&mut self, now: Timestamp) {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            self.dispatch_waiters(&service, now);
        }
    }

    fn dispatch_waiters(&mut self, name: &ServiceName, now: Timestamp) {
        while let Some((rank, waiter)) = self.pop_waiter(name) {
            let Some(back_end) = self.choose(name, &waiter.avoided, now) else {
                if let Some(service) = self.services.get_mut(name) {
                    service.waiters.insert(rank, waiter);
                }
                return;
            };
            let runner = back_end.runner.clone();
            if waiter.sender.send(back_end).is_err() {
                self.router.record_end(&runner);
            }
        }
    }

    fn pop_waiter(&mut self, name: &ServiceName) -> Option<(Rank, Waiter)> {
        self.services.get_mut(name)?.waiters.pop_first()
    }
}

/// The entry of one request in the pool. Dropping it ends the request.
pub(crate) struct ServiceTicket {
    pool: Arc<ServicePool>,
    service: ServiceName,
    rank: Rank,
    deadline: Timestamp,
    avoided: BTreeSet<RunnerName>,
    current: Option<Current>,
}

enum Current {
    Waiting(oneshot::Receiver<BackEnd>),
    Assigned(RunnerName),
}

impl ServiceTicket {
    /// Waits for a machine, until the deadline.
    pub async fn back_end(&mut self) -> Result<BackEnd, Refusal> {
        let receiver = match self.try_acquire()? {
            Ok(back_end) => return Ok(back_end),
            Err(receiver) => receiver,
        };
        let receiver = match self.current.insert(Current::Waiting(receiver)) {
            Current::Waiting(receiver) => receiver,
            Current::Assigned(_) => return Err(Refusal::new(ResultCode::Internal)),
        };
        let until = self.pool.clock.instant(self.deadline);
        match tokio::time::timeout_at(until, receiver).await {
            Ok(Ok(back_end)) => {
                self.current = Some(Current::Assigned(back_end.runner.clone()));
                Ok(back_end)
            }
            Ok(Err(_)) => Err(Refusal::new(ResultCode::Internal)),
            Err(_) => Err(Refusal::new(ResultCode::DeadlinePassed)),
        }
    }

    /// Returns a machine, or queues the request and returns the channel that will deliver one.
    fn try_acquire(&mut self) -> Result<Result<BackEnd, oneshot::Receiver<BackEnd>>, Refusal> {
        let mut state = self.pool.lock();
        if let Some(back_end) = state.choose(&self.service, &self.avoided, self.pool.clock.now()) {
            self.current = Some(Current::Assigned(back_end.runner.clone()));
            return Ok(Ok(back_end));
        }
        if !state.has_machine(&self.service) {
            return Err(Refusal::new(ResultCode::NoServiceMachine));
        }
        let service = state.services.entry(self.service.clone()).or_default();
        if service.waiters.len() >= MAX_WAITING {
            return Err(Refusal::new(ResultCode::QueueFull));
        }
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            avoided: self.avoided.clone(),
            sender,
        };
        service.waiters.insert(self.rank, waiter);
        Ok(Err(receiver))
    }

    /// Returns the machine after a fault and avoids it from now on, if there is another.
    pub fn return_back_end(&mut self, fault: BackEndFault) {
        if let Some(Current::Assigned(runner)) = self.current.take() {
            if fault == BackEndFault::Unreachable {
                let until = self.pool.clock.now() + UNREACHABLE_PERIOD;
                self.pool.lock().unreachable.insert(runner.clone(), until);
            }
            self.avoided.insert(runner.clone());
            self.release(&runner);
        }
    }

    fn release(&self, runner: &RunnerName) {
        let mut state = self.pool.lock();
        state.router.record_end(runner);
        state.dispatch_waiters(&self.service, self.pool.clock.now());
    }
}

impl Drop for ServiceTicket {
    fn drop(&mut self) {
        match self.current.take() {
            None => {}
            Some(Current::Assigned(runner)) => self.release(&runner),
            Some(Current::Waiting(mut receiver)) => {
                if let Some(service) = self.pool.lock().services.get_mut(&self.service) {
                    service.waiters.remove(&self.rank);
                }
                if let Ok(back_end) = receiver.try_recv() {
                    self.release(&back_end.runner);
                }
            }
        }
    }
}
