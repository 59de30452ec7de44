//! Puts facts on outgoing messages.

use std::net::SocketAddr;

use flaxward_wire::{Envelope, MAX_DATAGRAM_BYTES, Message, Peer, encoded_size};

use super::Gossip;
use crate::rumors::{Budget, transmissions};

/// Bytes of a datagram kept free for the lengths of the lists of facts.
const RESERVE_BYTES: usize = 16;

impl Gossip {
    /// Puts a message for a daemon of any zone into an envelope, with facts that are news to it.
    pub fn wrap(&mut self, to: &Peer, message: Message) -> Envelope {
        if to.zone == self.me.zone {
            self.wrap_for_zone(to.address, message)
        } else {
            self.wrap_for_outside(message)
        }
    }

    pub(super) fn wrap_for_zone(&mut self, to: SocketAddr, message: Message) -> Envelope {
        match message {
            Message::Join => self.wrap_join(),
            Message::Members { .. } => self.wrap_everything(message),
            Message::Probe { .. } | Message::Alive { .. } => self.wrap_probe(to, message),
            message => self.wrap_news(to, message),
        }
    }

    /// News for a member of the zone, as much as fits.
    fn wrap_news(&mut self, to: SocketAddr, message: Message) -> Envelope {
        let mut envelope = self.bare(message);
        let mut budget = self.budget(&envelope);
        let limit = transmissions(self.settings.rumor_factor, self.membership.size());
        envelope.marks = self.marks.for_zone(&mut budget, limit);
        envelope.heads = self.heads.for_zone(&mut budget, limit);
        envelope.members = self.membership.updates_to_piggyback(to, &mut budget, limit);
        envelope
    }

    /// News, and if there is none, one fact in turn that may have been missed.
    fn wrap_probe(&mut self, to: SocketAddr, message: Message) -> Envelope {
        let mut envelope = self.wrap_news(to, message);
        let no_news =
            envelope.marks.is_empty() && envelope.heads.is_empty() && envelope.members.is_empty();
        if no_news {
            self.repeat_one(&mut envelope);
        }
        envelope
    }

    fn repeat_one(&mut self, envelope: &mut Envelope) {
        self.repeat_turn = self.repeat_turn.wrapping_add(1);
        match self.repeat_turn % 3 {
            0 => envelope.members.extend(self.membership.repeat()),
            1 => envelope.heads.extend(self.heads.repeat()),
            _ => envelope.marks.extend(self.marks.repeat()),
        }
    }

    /// A question to someone who may know nothing of this daemon.
    fn wrap_join(&self) -> Envelope {
        let mut envelope = self.bare(Message::Join);
        envelope.members.push(self.membership.own_update());
        envelope
            .heads
            .extend(self.heads.get(&self.me.zone).cloned());
        envelope
    }

    /// Everything known, for a daemon that has just come; goes over TCP if it is long.
    pub(super) fn wrap_everything(&self, message: Message) -> Envelope {
        let mut envelope = self.bare(message);
        envelope.heads = self.heads.iter().cloned().collect();
        envelope.marks = self.marks.all();
        envelope
    }

    /// News for another zone: no members.
    pub(super) fn wrap_for_outside(&mut self, message: Message) -> Envelope {
        let mut envelope = self.bare(message);
        if self.coordinates {
            let mut budget = self.budget(&envelope);
            let limit = transmissions(self.settings.rumor_factor, self.heads.iter().count());
            envelope.marks = self.marks.for_outside(&mut budget, limit);
            envelope.heads = self.heads.for_outside(&mut budget, limit);
        }
        envelope
    }

    pub(super) fn bare(&self, message: Message) -> Envelope {
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
