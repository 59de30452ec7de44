//! Handles received member updates and messages.

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
            self.joining.record_other_zone(from.address);
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
        self.join_unknown_sender(from, now, actions);
    }

    fn answer_join(&self, from: &Peer, actions: &mut Vec<MembershipAction>) {
        if self.has_left {
            return;
        }
        let members = self.members().cloned().collect();
        actions.push(MembershipAction::Send {
            to: from.address,
            message: Message::Members { members },
        });
    }

    /// Sends a join request to a sender that is not a live member here. The envelope also tells the
    /// sender which state this daemon has recorded for it.
    fn join_unknown_sender(
        &mut self,
        from: &Peer,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let known = self.table.get(&from.name).is_some_and(|member| {
            let present = member.is_live() || member.update.state == MemberState::Left;
            present && member.update.peer.address == from.address
        });
        if !known && !self.has_left && self.joining.may_ask_sender(from.address, now) {
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
            self.after_update(before.as_ref(), update, now, actions);
        }
    }

    /// Refutes a false update about this daemon itself by raising the incarnation.
    fn refute(
        &mut self,
        update: &MemberUpdate,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let own = self.own_update();
        if self.has_left || !replaces(update, &own) {
            return;
        }
        self.incarnation = update.incarnation.saturating_add(1);
        let update = alive(self.me.clone(), self.incarnation);
        self.apply_own_update(&update, now, actions);
    }

    pub(super) fn apply_own_update(
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
        self.after_update(before.as_ref(), update, now, actions);
    }

    /// Updates derived state after an update was applied.
    fn after_update(
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
            self.probe_rotation.add(name.clone(), &mut self.random);
            self.rumor_rotation.add(name.clone(), &mut self.random);
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
