//! Builds envelopes: piggybacks facts on outgoing messages.

use std::net::SocketAddr;

use flaxward_wire::{Envelope, MAX_DATAGRAM_BYTES, Message, Peer, encoded_size};

use super::Gossip;
use crate::rumors::{Budget, transmissions};

/// Bytes of a datagram reserved for the length prefixes of the lists of facts.
const RESERVE_BYTES: usize = 16;

impl Gossip {
    /// Wraps a message for a daemon of any zone in an envelope with pending rumors.
    pub fn wrap(&mut self, to: &Peer, message: Message) -> Envelope {
        if to.zone == self.me.zone {
            self.wrap_for_zone(to.address, message)
        } else {
            self.wrap_for_other_zone(message)
        }
    }

    pub(super) fn wrap_for_zone(&mut self, to: SocketAddr, message: Message) -> Envelope {
        match message {
            Message::Join => self.wrap_join(),
            Message::Members { .. } => self.wrap_full_state(message),
            Message::Probe { .. } | Message::Alive { .. } => self.wrap_probe(to, message),
            message => self.wrap_with_rumors(to, message),
        }
    }

    /// Piggybacks as many pending rumors for a member of the zone as fit.
    fn wrap_with_rumors(&mut self, to: SocketAddr, message: Message) -> Envelope {
        let mut envelope = self.empty_envelope(message);
        let mut budget = self.budget(&envelope);
        let limit = transmissions(self.settings.rumor_factor, self.membership.size());
        envelope.marks = self.marks.for_zone(&mut budget, limit);
        envelope.heads = self.heads.for_zone(&mut budget, limit);
        envelope.members = self.membership.updates_to_piggyback(to, &mut budget, limit);
        envelope
    }

    /// Piggybacks pending rumors or, if there are none, one fact for anti-entropy.
    fn wrap_probe(&mut self, to: SocketAddr, message: Message) -> Envelope {
        let mut envelope = self.wrap_with_rumors(to, message);
        let no_rumors =
            envelope.marks.is_empty() && envelope.heads.is_empty() && envelope.members.is_empty();
        if no_rumors {
            self.add_anti_entropy_fact(&mut envelope);
        }
        envelope
    }

    fn add_anti_entropy_fact(&mut self, envelope: &mut Envelope) {
        self.anti_entropy_turn = self.anti_entropy_turn.wrapping_add(1);
        match self.anti_entropy_turn % 3 {
            0 => envelope
                .members
                .extend(self.membership.next_for_anti_entropy()),
            1 => envelope.heads.extend(self.heads.next_for_anti_entropy()),
            _ => envelope.marks.extend(self.marks.next_for_anti_entropy()),
        }
    }

    /// A join request to a daemon that may not know this one.
    fn wrap_join(&self) -> Envelope {
        let mut envelope = self.empty_envelope(Message::Join);
        envelope.members.push(self.membership.own_update());
        envelope
            .heads
            .extend(self.heads.get(&self.me.zone).cloned());
        envelope
    }

    /// All known heads and marks, for a daemon that has just joined. Sent over TCP if it exceeds a
    /// datagram.
    pub(super) fn wrap_full_state(&self, message: Message) -> Envelope {
        let mut envelope = self.empty_envelope(message);
        envelope.heads = self.heads.iter().cloned().collect();
        envelope.marks = self.marks.all();
        envelope
    }

    /// Piggybacks rumors for another zone; members are not sent across zones.
    pub(super) fn wrap_for_other_zone(&mut self, message: Message) -> Envelope {
        let mut envelope = self.empty_envelope(message);
        if self.is_coordinator {
            let mut budget = self.budget(&envelope);
            let limit = transmissions(self.settings.rumor_factor, self.heads.iter().count());
            envelope.marks = self.marks.for_other_zone(&mut budget, limit);
            envelope.heads = self.heads.for_other_zone(&mut budget, limit);
        }
        envelope
    }

    pub(super) fn empty_envelope(&self, message: Message) -> Envelope {
        Envelope {
            from: self.me.clone(),
            configuration: self.configuration.revision(),
            members: Vec::new(),
            heads: Vec::new(),
            marks: Vec::new(),
            message,
        }
    }

    fn budget(&self, envelope: &Envelope) -> Budget {
        let taken = encoded_size(envelope) + RESERVE_BYTES;
        let left = MAX_DATAGRAM_BYTES.saturating_sub(taken);
        if envelope.message == Message::Facts {
            return Budget::new(left);
        }
        Budget::new(left.min(self.settings.piggyback_bytes))
    }
}
