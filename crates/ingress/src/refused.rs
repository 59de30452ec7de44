//! Refusals and how they are logged.

use std::fmt::Display;
use std::time::Duration;

use flaxward_routing::attempt::Attempts;
use flaxward_types::refusal::Refusal;
use tokio::time::Instant;

use crate::counters::REFUSED;
use crate::state::Shared;

/// `Retry-After` of a refusal because no runner is available.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` of a daemon that is stopping; the client should reach another one.
pub(crate) const RETRY_STOPPING: Duration = Duration::from_millis(20);

/// A refusal with the context that is logged with it.
pub(crate) struct Refused(Box<Details>);

/// Context logged with a refusal.
pub(crate) struct Details {
    pub request: String,
    pub route: String,
    pub refusal: Refusal,
    pub attempts: Attempts,
    pub reason: String,
}

impl Refused {
    pub(crate) fn new(details: Details) -> Self {
        Self(Box::new(details))
    }

    /// Creates the refusal of a request that was not sent to any runner.
    pub(crate) fn unsent(request: &str, route: &str, refusal: Refusal, reason: String) -> Self {
        Self::new(Details {
            request: request.to_owned(),
            route: route.to_owned(),
            refusal,
            attempts: Attempts::default(),
            reason,
        })
    }

    /// The refusal as sent to the client.
    pub(crate) fn refusal(&self) -> &Refusal {
        &self.0.refusal
    }

    pub(crate) fn refusal_mut(&mut self) -> &mut Refusal {
        &mut self.0.refusal
    }

    /// Increments the refusal counter and logs the refusal.
    pub(crate) fn log(&self, shared: &Shared, arrived_at: Instant) {
        let Details {
            request,
            route,
            refusal,
            attempts,
            reason,
        } = self.0.as_ref();
        let code = refusal.code.number();
        metrics::counter!(REFUSED.name, "code" => code.to_string()).increment(1);
        let retry_after = refusal.retry_after.map_or(0, |after| after.as_millis());
        let fields: &[(&str, &dyn Display)] = &[
            ("request", request),
            ("route", route),
            ("code", &code),
            ("reason", reason),
            ("sent", &attempts.sent),
            ("runs", &attempts.runs),
            ("after_ms", &arrived_at.elapsed().as_millis()),
            ("retry_after_ms", &retry_after),
        ];
        shared.log.write(shared.now(), "request-refused", fields);
    }
}
