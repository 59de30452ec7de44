//! Back-end assignment for requests to engines and to plain services.

use flaxward_control::admission::BackEndFault;
use flaxward_types::{Refusal, Timestamp};

use crate::scheduler::{BackEnd, Ticket};
use crate::service_pool::ServiceTicket;

/// The queue entry of a request that needs a back end, by kind of back end.
pub(crate) enum BackEndTicket {
    /// Needs a replica of a model.
    Engine(Ticket),
    /// Needs a machine of a plain service.
    Service(ServiceTicket),
}

impl BackEndTicket {
    /// Waits for a back end.
    pub async fn back_end(&mut self) -> Result<BackEnd, Refusal> {
        match self {
            Self::Engine(ticket) => ticket.back_end().await,
            Self::Service(ticket) => ticket.back_end().await,
        }
    }

    /// Returns the back end after a fault and asks for another one until the deadline.
    pub fn return_back_end(&mut self, fault: BackEndFault, deadline: Timestamp) {
        match self {
            Self::Engine(ticket) => ticket.return_back_end(fault, deadline),
            Self::Service(ticket) => ticket.return_back_end(fault),
        }
    }
}
