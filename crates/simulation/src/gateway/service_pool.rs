//! The machines of plain services: which of them takes a request, and who waits for one.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use flaxward_control::router::Router;
use flaxward_types::engine::{Machine, MachineRole};
use flaxward_types::routing::Replica;
use flaxward_types::{ResultCode, RunnerName, ServiceName, ZoneName};

/// What the pool says to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes to this machine.
    Go(RunnerName),
    /// It waits.
    Wait,
    /// It is refused.
    Refuse(ResultCode),
}

/// A request's place in the pool.
#[derive(Clone, Debug)]
struct Ticket {
    service: ServiceName,
    priority: u8,
    avoided: BTreeSet<RunnerName>,
    at: Option<RunnerName>,
}

/// All machines of services, as one gateway sees them.
#[derive(Debug)]
pub struct ServicePool {
    zone: ZoneName,
    router: Router,
    machines: Vec<Machine>,
    concurrency: BTreeMap<ServiceName, u32>,
    tickets: BTreeMap<u64, Ticket>,
}

impl ServicePool {
    /// A pool without machines.
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            router: Router::new(seed),
            machines: Vec::new(),
            concurrency: BTreeMap::new(),
            tickets: BTreeMap::new(),
        }
    }

    /// Replaces the machines.
    pub fn set_machines(&mut self, machines: Vec<Machine>) {
        self.machines = machines;
        self.machines.retain(|machine| !machine.leaving);
    }

    /// Replaces the set of machines that take no new work.
    pub fn set_leaving(&mut self, leaving: BTreeSet<RunnerName>) {
        self.router.set_leaving(leaving);
    }

    /// Takes a request in.
    pub fn enter(
        &mut self,
        request: u64,
        service: &ServiceName,
        concurrency: u32,
        priority: u8,
    ) -> Decision {
        self.concurrency.insert(service.clone(), concurrency);
        let ticket = Ticket {
            service: service.clone(),
            priority,
            avoided: BTreeSet::new(),
            at: None,
        };
        self.tickets.insert(request, ticket);
        self.decide(request)
    }

    /// Gives a machine back, to ask for another one.
    pub fn give_back(&mut self, request: u64) -> Decision {
        if let Some(ticket) = self.tickets.get_mut(&request)
            && let Some(runner) = ticket.at.take()
        {
            self.router.record_end(&runner);
            ticket.avoided.insert(runner);
        }
        self.decide(request)
    }

    /// Lets a request go. Others may be able to go now: see [`Self::next`].
    pub fn leave(&mut self, request: u64) {
        if let Some(Ticket {
            at: Some(runner), ..
        }) = self.tickets.remove(&request)
        {
            self.router.record_end(&runner);
        }
    }

    /// A waiting request that can go now, and where to.
    pub fn next(&mut self) -> Option<(u64, RunnerName)> {
        let waiting = self
            .tickets
            .iter()
            .filter(|(_, ticket)| ticket.at.is_none());
        let mut ranked: Vec<_> = waiting
            .map(|(request, ticket)| (Reverse(ticket.priority), *request))
            .collect();
        ranked.sort();
        ranked
            .into_iter()
            .find_map(|(_, request)| Some((request, self.choose(request)?)))
    }

    fn decide(&mut self, request: u64) -> Decision {
        if let Some(runner) = self.choose(request) {
            return Decision::Go(runner);
        }
        let Some(ticket) = self.tickets.get(&request) else {
            return Decision::Refuse(ResultCode::Internal);
        };
        let takes = |machine: &&Machine| !self.router.is_leaving(&machine.name);
        if self.of(&ticket.service).any(|machine| takes(&machine)) {
            return Decision::Wait;
        }
        Decision::Refuse(ResultCode::NoServiceMachine)
    }

    fn of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Machine> {
        self.machines.iter().filter(
            move |machine| matches!(&machine.role, MachineRole::Service(name) if name == service),
        )
    }

    /// Own zone first, avoided ones last.
    fn choose(&mut self, request: u64) -> Option<RunnerName> {
        let ticket = self.tickets.get(&request)?.clone();
        let concurrency = self.concurrency.get(&ticket.service).copied()?;
        for avoid in [true, false] {
            for own in [true, false] {
                let free: Vec<Replica> = self
                    .of(&ticket.service)
                    .filter(|machine| (machine.zone == self.zone) == own)
                    .filter(|machine| self.router.outstanding(&machine.name) < concurrency)
                    .filter(|machine| !avoid || !ticket.avoided.contains(&machine.name))
                    .map(|machine| Replica {
                        runner: machine.name.clone(),
                        address: machine.address.clone(),
                        outstanding: 0,
                    })
                    .collect();
                if let Some(replica) = self.router.choose(&free, None) {
                    let runner = replica.runner.clone();
                    self.router.record_start(&runner);
                    self.tickets.get_mut(&request)?.at = Some(runner.clone());
                    return Some(runner);
                }
            }
        }
        None
    }
}
