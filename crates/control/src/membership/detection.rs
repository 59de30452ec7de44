//! Failure detection: probes, indirect probes and suspicion, and whom to ask for members.

use flaxward_types::{DaemonName, Timestamp};
use flaxward_wire::{MemberState, Message, Peer};
use rand::seq::IndexedRandom;

use super::probes::Probe;
use super::{Membership, MembershipAction};

impl Membership {
    pub(super) fn tick(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let gap = now.since(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if gap > self.settings.pause {
            self.forgive(now);
        }
        self.end_suspicions(now, actions);
        self.advance_probe(now, actions);
        self.ask_strangers(now, actions);
        self.forget(now);
    }

    /// After a pause of this daemon itself, nobody else is to blame for what it did not hear.
    fn forgive(&mut self, now: Timestamp) {
        self.probes.current = None;
        self.next_probe = now;
        for since in self.suspects.values_mut() {
            *since = now;
        }
    }

    fn end_suspicions(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let over: Vec<DaemonName> = self
            .suspects
            .iter()
            .filter(|(_, since)| now.since(**since) >= self.settings.suspicion)
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            self.change_state(&name, MemberState::Dead, now, actions);
        }
    }

    fn change_state(
        &mut self,
        name: &DaemonName,
        state: MemberState,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        let mut update = member.update.clone();
        update.state = state;
        self.merge(&update, now, actions);
    }

    fn advance_probe(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        self.probes
            .expire_before(now - self.settings.probe_interval);
        self.probe_indirectly(now, actions);
        if now < self.next_probe {
            return;
        }
        self.end_probe(now, actions);
        self.next_probe = now + self.settings.probe_interval;
        self.begin_probe(now, actions);
    }

    fn begin_probe(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let Some(target) = self.probe_turn.next(&self.others, &mut self.random) else {
            return;
        };
        let sequence = self.probes.next_sequence();
        actions.push(MembershipAction::Send {
            to: target.address,
            message: Message::Probe { sequence },
        });
        self.probes.current = Some(Probe {
            sequence,
            target,
            began: now,
            indirect: false,
            answered: false,
        });
    }

    fn probe_indirectly(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let timeout = self.settings.probe_timeout;
        let Some(probe) = self.probes.current.as_mut().filter(|probe| {
            !probe.answered && !probe.indirect && now.since(probe.began) >= timeout
        }) else {
            return;
        };
        probe.indirect = true;
        let (sequence, target) = (probe.sequence, probe.target.clone());
        actions.push(MembershipAction::Send {
            to: target.address,
            message: Message::Probe { sequence },
        });
        let helpers: Vec<&Peer> = self
            .others
            .iter()
            .filter(|peer| peer.name != target.name)
            .collect();
        let chosen: Vec<Peer> = helpers
            .sample(&mut self.random, self.settings.indirect_probes)
            .map(|peer| (*peer).clone())
            .collect();
        for helper in chosen {
            let target = target.clone();
            actions.push(MembershipAction::Send {
                to: helper.address,
                message: Message::ProbeFor { sequence, target },
            });
        }
    }

    fn end_probe(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let Some(probe) = self.probes.current.take() else {
            return;
        };
        let same_address = self
            .table
            .get(&probe.target.name)
            .is_some_and(|member| member.update.peer == probe.target);
        if !probe.answered && same_address {
            self.change_state(&probe.target.name, MemberState::Suspect, now, actions);
        }
    }

    fn ask_strangers(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if self.left {
            return;
        }
        let alone = self.others.is_empty();
        for to in self.joining.due(alone, &self.table, now, &mut self.random) {
            actions.push(MembershipAction::Send {
                to,
                message: Message::Join,
            });
        }
    }

    fn forget(&mut self, now: Timestamp) {
        for name in self.table.forget_before(now - self.settings.forget_after) {
            self.rumors.remove(&name);
        }
    }

    pub(super) fn answer_probe(
        &self,
        from: &Peer,
        sequence: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.left {
            return;
        }
        let target = self.me.name.clone();
        actions.push(MembershipAction::Send {
            to: from.address,
            message: Message::Alive { sequence, target },
        });
    }

    pub(super) fn relay_probe(
        &mut self,
        from: &Peer,
        sequence: u64,
        target: &Peer,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(sequence) = self.probes.relay(from.clone(), sequence, now) {
            actions.push(MembershipAction::Send {
                to: target.address,
                message: Message::Probe { sequence },
            });
        }
    }

    pub(super) fn probe_answered(
        &mut self,
        sequence: u64,
        target: &DaemonName,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.probes.answered(sequence, target);
        if let Some((asker, sequence)) = self.probes.relayed(sequence) {
            let target = target.clone();
            actions.push(MembershipAction::Send {
                to: asker.address,
                message: Message::Alive { sequence, target },
            });
        }
    }
}
