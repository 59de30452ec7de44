//! What daemons ask of the store, and its answers to them.

use std::time::Duration;

use flaxward_control::coordinator::CoordinatorAction;
use flaxward_control::node::NodeEvent;
use flaxward_types::records::QuotaSubject;
use rand::RngExt;

use super::Region;
use crate::gateway::GatewayEvent;
use crate::process::{Asker, Input, Operation, ProcessId, StoreCall, coordinator_event, snapshot};
use crate::store::{Answer, Fault, Key, Listing, Record, Request};

/// Pause before a broken watch is set up again.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

impl Region {
    /// Begins another round of following a collection after a pause.
    pub(super) fn follow_later(&mut self, id: ProcessId, listing: Listing) {
        if let Some(process) = self.process(id) {
            let round = process.next_round(listing);
            self.tell(FOLLOW_PAUSE, id, Input::Follow(listing, round));
        }
    }

    pub(super) fn follow(&mut self, id: ProcessId, listing: Listing, round: u64) {
        if self
            .process(id)
            .is_some_and(|process| process.follows(listing, round))
        {
            self.ask_store(id, Asker::Follower(listing, round), Request::List(listing));
        }
    }

    pub(super) fn operate(&mut self, id: ProcessId, action: CoordinatorAction) {
        let zone = self.daemons[id.daemon].peer.zone.clone();
        let quota = |subject: QuotaSubject| Key::Quota(subject);
        let request = match action {
            CoordinatorAction::ReadLease => Request::Get(Key::Lease(zone)),
            CoordinatorAction::WriteLease(expected, lease) => {
                Request::Put(Key::Lease(zone), expected, Record::Lease(lease))
            }
            CoordinatorAction::ReadPlacement => Request::Get(Key::Placement(zone)),
            CoordinatorAction::WritePlacement(expected, placement) => {
                Request::Put(Key::Placement(zone), expected, Record::Placement(placement))
            }
            CoordinatorAction::ReadQuotas => Request::List(Listing::Quotas),
            CoordinatorAction::ReadQuota(subject) => Request::Get(quota(subject)),
            CoordinatorAction::WriteQuota(expected, record) => {
                let key = quota(record.subject.clone());
                Request::Put(key, expected, Record::Quota(record))
            }
            CoordinatorAction::SendOrder { runner, order, .. } => {
                return self.send(id, Operation::Order(runner, order));
            }
            CoordinatorAction::ReadInventory { runner, .. } => {
                return self.send(id, Operation::ReadInventory(runner));
            }
            // The node keeps the others to itself.
            _ => return,
        };
        self.ask_store(id, Asker::Coordinator, request);
    }

    pub(super) fn store_call(
        &mut self,
        process: ProcessId,
        asker: Asker,
        request: Request,
    ) -> StoreCall {
        StoreCall {
            process,
            asker,
            request,
            operation: self.random.random(),
            lost: 0,
        }
    }

    fn ask_store(&mut self, id: ProcessId, asker: Asker, request: Request) {
        let call = self.store_call(id, asker, request);
        self.send(id, Operation::Store(call));
    }

    pub(super) fn store_answered(
        &mut self,
        id: ProcessId,
        call: &StoreCall,
        result: Result<Answer, Fault>,
    ) {
        match call.asker {
            Asker::Coordinator => {
                if let Some(event) = coordinator_event(&call.request, result) {
                    self.tell_node(id, NodeEvent::Answered(event));
                }
            }
            Asker::Claim(number) => {
                let Some(process) = self.process(id) else {
                    return;
                };
                let result = process.claim_result(result);
                self.tell_gateway(id, GatewayEvent::ClaimWritten(number, result));
            }
            Asker::Follower(listing, round) => self.listed_for(id, listing, round, result),
        }
    }

    fn listed_for(
        &mut self,
        id: ProcessId,
        listing: Listing,
        round: u64,
        result: Result<Answer, Fault>,
    ) {
        let Some(process) = self
            .process(id)
            .filter(|process| process.follows(listing, round))
        else {
            return;
        };
        let Ok(Answer::List(revision, items)) = result else {
            return self.follow_later(id, listing);
        };
        if listing == Listing::Items {
            process.seen = revision;
            let event = NodeEvent::Listed(snapshot(revision, items));
            self.tell_node(id, event);
        } else {
            for (_, object) in items {
                if let Some(event) = coordinator_event(
                    &Request::Get(Key::Quota(QuotaSubject::WeightStore)),
                    Ok(Answer::Object(Some(object))),
                ) {
                    self.tell_node(id, NodeEvent::Answered(event));
                }
            }
        }
        self.watch(id, listing, round, revision);
    }
}
