//! Where a request gets its back ends from.

use flaxward_control::admission::BackEndFault;
use flaxward_types::{Refusal, Timestamp};

use crate::scheduler::{BackEnd, Ticket};
use crate::service_pool::ServiceTicket;

/// A request's place among those that want a back end of the same kind.
pub(crate) enum Place {
    /// It wants a replica of a model.
    Engine(Ticket),
    /// It wants a machine of a plain service.
    Service(ServiceTicket),
}

impl Place {
    /// Waits for a back end.
    pub async fn back_end(&mut self) -> Result<BackEnd, Refusal> {
        match self {
            Self::Engine(ticket) => ticket.back_end().await,
            Self::Service(ticket) => ticket.back_end().await,
        }
    }

    /// Gives the back end up, to ask for another one in time.
    pub fn give_back(&mut self, fault: BackEndFault, deadline: Timestamp) {
        match self {
            Self::Engine(ticket) => ticket.give_back(fault, deadline),
            Self::Service(ticket) => ticket.give_back(fault),
        }
    }
}
