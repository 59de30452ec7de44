//! What is made of facts and messages that come in.

use flaxward_types::Timestamp;
use flaxward_wire::{MemberState, MemberUpdate, Message, Peer};

use super::table::{alive, is_live, replaces};
use super::{Membership, MembershipAction};

impl Membership {
    pub(super) fn receive(
        &mut self,
        from: &Peer,
        members: &[MemberUpdate],
        message: Message,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if from.zone != self.me.zone {
            self.joining.is_elsewhere(from.address);
            return;
        }
        if from.name == self.me.name {
            return;
        }
        for update in members {
            self.merge(update, now, actions);
        }
        match message {
            Message::Probe { sequence } => self.answer_probe(from, sequence, actions),
            Message::ProbeFor { sequence, target } => {
                self.relay_probe(from, sequence, &target, now, actions);
            }
            Message::Alive { sequence, target } => {
                self.probe_answered(sequence, &target, actions);
            }
            Message::Join => self.answer_join(from, actions),
            Message::Members { members } => {
                for update in &members {
                    self.merge(update, now, actions);
                }
            }
            _ => {}
        }
        self.greet(from, now, actions);
    }

    fn answer_join(&self, from: &Peer, actions: &mut Vec<MembershipAction>) {
        if self.left {
            return;
        }
        let members = self.members().cloned().collect();
        actions.push(MembershipAction::Send {
            to: from.address,
            message: Message::Members { members },
        });
    }

    /// A sender that is not a live member here is asked for its members, and so learns what is said
    /// of it.
    fn greet(&mut self, from: &Peer, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let known = self.table.get(&from.name).is_some_and(|member| {
            let present = member.is_live() || member.update.state == MemberState::Left;
            present && member.update.peer.address == from.address
        });
        if !known && !self.left && self.joining.may_greet(from.address, now) {
            actions.push(MembershipAction::Send {
                to: from.address,
                message: Message::Join,
            });
        }
    }

    pub(super) fn merge(
        &mut self,
        update: &MemberUpdate,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if update.peer.zone != self.me.zone {
            return;
        }
        if update.peer.name == self.me.name {
            self.refute(update, now, actions);
            return;
        }
        let before = self
            .table
            .get(&update.peer.name)
            .map(|member| member.update.clone());
        if self.table.merge(update, now) {
            self.note(before.as_ref(), update, now, actions);
        }
    }

    /// Answers a fact about this daemon itself that is not so.
    fn refute(
        &mut self,
        update: &MemberUpdate,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let own = self.own_update();
        if self.left || !replaces(update, &own) {
            return;
        }
        self.incarnation = update.incarnation.saturating_add(1);
        let update = alive(self.me.clone(), self.incarnation);
        self.adopt(&update, now, actions);
    }

    pub(super) fn adopt(
        &mut self,
        update: &MemberUpdate,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let before = self
            .table
            .get(&update.peer.name)
            .map(|member| member.update.clone());
        self.table.insert(update.clone(), now);
        self.note(before.as_ref(), update, now, actions);
    }

    /// Follows up a fact that was taken over.
    fn note(
        &mut self,
        before: Option<&MemberUpdate>,
        update: &MemberUpdate,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let name = &update.peer.name;
        self.rumors.push(name.clone());
        self.others = self
            .table
            .live()
            .map(|member| &member.update.peer)
            .filter(|peer| peer.name != self.me.name)
            .cloned()
            .collect();
        if update.state == MemberState::Suspect {
            self.suspects.insert(name.clone(), now);
        } else {
            self.suspects.remove(name);
        }
        if before.is_none_or(|before| !is_live(before.state)) && is_live(update.state) {
            self.probe_turn.add(name.clone(), &mut self.random);
            self.news_turn.add(name.clone(), &mut self.random);
        }
        let changed =
            before.is_none_or(|before| before.state != update.state || before.peer != update.peer);
        if changed {
            actions.push(MembershipAction::MemberChanged {
                peer: update.peer.clone(),
                state: update.state,
            });
        }
    }
}
