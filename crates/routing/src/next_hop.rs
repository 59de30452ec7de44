//! Relay routing to daemons that cannot be reached directly.
//!
//! Two zones may lose connectivity to each other while both still reach a third. A daemon that
//! receives nothing from its coordinator then also sends to it through one of the coordinator's
//! standbys, a different one on each attempt until an answer comes back through it. Answers take
//! the same route, since each daemon remembers the relay through which it received messages from
//! another. A relay makes no decisions and keeps no state.
//!
//! Without relays such a zone has no coordinator for the duration of the partition: no models are
//! loaded for its waiting requests, and its daemons stay within their own quota shares. With 91
//! daemons in three zones and two zones partitioned from each other for 8 s, 877 of about 1,000
//! requests refused there were refused for this reason.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};
use serde::{Deserialize, Serialize};

use crate::encoding::{Encoding, MessageError};
use crate::messages::Message;
use crate::revision::EraStart;

/// Time without a message through a relay after which its route expires. A member and its
/// coordinator send to each other at least once a second.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a message from the coordinator after which a member also sends to it through
/// relays. The coordinator sends twice a second, and one message may be lost.
pub const COORDINATOR_SILENCE: Duration = Duration::from_millis(1_100);

/// A message that a daemon forwards to another one. It is forwarded only once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarded {
    /// Address of the original sender.
    pub from: SocketAddr,
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Upper bound of the time that the relay held the message, in ms. Its content is older by up
    /// to that time.
    pub held_ms: u32,
    /// Whether the sender gets no direct messages from the receiver and must be answered through
    /// the relay.
    pub is_sought: bool,
    /// The encoded message.
    pub message: Vec<u8>,
}

/// A message addressed to this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Address of the original sender.
    pub from: SocketAddr,
    /// The message.
    pub message: Message,
    /// Upper bound of the time that a relay held it.
    pub held: Duration,
    /// Whether its sender runs a build that does not support trailing parts after messages.
    pub is_from_earlier_build: bool,
}

/// Result of processing a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A message addressed to this daemon.
    Arrival(Arrival),
    /// A message to forward.
    PassOn(Forwarded),
}

/// A route to a daemon through a relay.
#[derive(Clone, Copy, Debug)]
struct Route {
    relay: SocketAddr,
    known_at: Timestamp,
    origin: RouteOrigin,
}

/// Why a route through a relay exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RouteOrigin {
    /// Nothing is received from the destination, and this relay is being tried.
    Tried,
    /// Nothing is received from the destination directly, but it has answered through this relay.
    Found,
    /// The destination has requested answers through this relay.
    Asked,
}

impl Route {
    fn is_valid(&self, now: Timestamp) -> bool {
        now.since(self.known_at) < ROUTE_TIMEOUT
    }

    fn is_sought(&self) -> bool {
        matches!(self.origin, RouteOrigin::Tried | RouteOrigin::Found)
    }
}

/// Routing table of one daemon.
#[derive(Debug)]
pub struct NextHops {
    own: SocketAddr,
    encoding: Encoding,
    routes: HashMap<SocketAddr, Route>,
    /// Daemons that can act as relays.
    relays: Vec<SocketAddr>,
    /// Index of the relay to try next.
    next: usize,
}

impl NextHops {
    /// Creates a table without relayed routes: all daemons are assumed to be reachable directly.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            encoding: Encoding::default(),
            routes: HashMap::new(),
            relays: Vec::new(),
            next: 0,
        }
    }

    /// Records the era of the store and how it began for this daemon.
    pub fn note_era(&mut self, start: EraStart) {
        self.encoding.note_era(start);
    }

    /// Records the ordered revision up to which this daemon knows all runner changes.
    pub fn note_known(&mut self, revision: u64) {
        self.encoding.note_known(revision);
    }

    /// Sets the daemons that can act as relays.
    pub fn set_relays(&mut self, relays: &[SocketAddr]) {
        if self.relays != relays {
            self.relays = relays.to_vec();
            self.next = 0;
        }
    }

    /// Processes a datagram.
    ///
    /// # Errors
    /// Fails if it cannot be decoded.
    pub fn received(
        &mut self,
        source: SocketAddr,
        datagram: &[u8],
        now: Timestamp,
    ) -> Result<Received, MessageError> {
        let read = self.encoding.read(datagram)?;
        let forwarded = match read.message {
            Message::Forwarded(forwarded) => forwarded,
            message => {
                self.note_direct_message(source);
                return Ok(Received::Arrival(Arrival {
                    from: source,
                    message,
                    held: Duration::ZERO,
                    is_from_earlier_build: read.is_from_earlier_build,
                }));
            }
        };
        if forwarded.to != self.own {
            return Ok(Received::PassOn(forwarded));
        }
        let read = self.encoding.read(&forwarded.message)?;
        self.note_relayed_message(source, &forwarded, now);
        Ok(Received::Arrival(Arrival {
            from: forwarded.from,
            message: read.message,
            held: Duration::from_millis(u64::from(forwarded.held_ms)),
            is_from_earlier_build: read.is_from_earlier_build,
        }))
    }

    /// Removes a route that is no longer needed. A route that the other side requested stays until
    /// it stops asking for it: connectivity may exist in one direction only.
    fn note_direct_message(&mut self, source: SocketAddr) {
        if self.routes.get(&source).is_some_and(Route::is_sought) {
            self.routes.remove(&source);
        }
    }

    fn note_relayed_message(&mut self, relay: SocketAddr, forwarded: &Forwarded, now: Timestamp) {
        self.routes.retain(|_, route| route.is_valid(now));
        let is_sought = self
            .routes
            .get(&forwarded.from)
            .is_some_and(Route::is_sought);
        let origin = match (forwarded.is_sought, is_sought) {
            (true, _) => RouteOrigin::Asked,
            (false, true) => RouteOrigin::Found,
            // A late answer to a message sent before the direct route was restored.
            (false, false) => return,
        };
        let route = Route {
            relay,
            known_at: now,
            origin,
        };
        self.routes.insert(forwarded.from, route);
    }

    /// Selects the next relay to try for an unresponsive daemon, unless a working route exists.
    pub fn try_relay(&mut self, to: SocketAddr, now: Timestamp) {
        let has_route = |route: &Route| route.origin != RouteOrigin::Tried && route.is_valid(now);
        if self.routes.get(&to).is_some_and(has_route) {
            return;
        }
        let usable = |relay: &&SocketAddr| **relay != to && **relay != self.own;
        let usable: Vec<SocketAddr> = self.relays.iter().filter(usable).copied().collect();
        if usable.is_empty() {
            return;
        }
        let route = Route {
            relay: usable[self.next % usable.len()],
            known_at: now,
            origin: RouteOrigin::Tried,
        };
        self.next = self.next.wrapping_add(1);
        self.routes.insert(to, route);
    }

    /// Returns the datagrams that carry a message to a daemon: one sent directly, which reveals
    /// when the direct route is restored, and one through a relay if there is a route.
    pub fn datagrams(
        &self,
        to: SocketAddr,
        message: &Message,
        now: Timestamp,
    ) -> Vec<(SocketAddr, Vec<u8>)> {
        let encoded = self.encoding.encode(message);
        let route = self.routes.get(&to).filter(|route| route.is_valid(now));
        let Some(route) = route else {
            return vec![(to, encoded)];
        };
        let forwarded = Message::Forwarded(Forwarded {
            from: self.own,
            to,
            held_ms: 0,
            is_sought: route.is_sought(),
            message: encoded.clone(),
        });
        vec![
            (to, encoded),
            (route.relay, self.encoding.encode(&forwarded)),
        ]
    }

    /// Returns the relay through which an otherwise unresponsive daemon has answered.
    pub fn confirmed_relay(&self, to: SocketAddr, now: Timestamp) -> Option<SocketAddr> {
        let route = self.routes.get(&to).filter(|route| route.is_valid(now))?;
        (route.origin == RouteOrigin::Found).then_some(route.relay)
    }
}

impl Forwarded {
    /// Returns the datagram that forwards it, with the time that it may have been held here added.
    /// It carries no revisions of the relay.
    pub fn pass_on(self, held: Duration) -> (SocketAddr, Vec<u8>) {
        let held_ms = u32::try_from(millis(held)).unwrap_or(u32::MAX);
        let to = self.to;
        let passed = Self {
            held_ms: self.held_ms.saturating_add(held_ms),
            ..self
        };
        (to, Encoding::default().encode(&Message::Forwarded(passed)))
    }
}
