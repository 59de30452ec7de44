//! Failure detection: probes, indirect probes and suspicion; also sends join requests.

use flaxward_types::{DaemonName, Timestamp};
use flaxward_wire::{MemberState, Message, Peer};
use rand::seq::IndexedRandom;

use super::probes::Probe;
use super::{Membership, MembershipAction};

impl Membership {
    pub(super) fn tick(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let gap = now.since(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if gap > self.settings.stall_threshold {
            self.reset_after_stall(now);
        }
        self.expire_suspicions(now, actions);
        self.advance_probe(now, actions);
        self.send_joins(now, actions);
        self.purge_expired(now);
    }

    /// Discards the current probe and restarts all suspicions after a stall of this daemon itself:
    /// answers that it missed meanwhile say nothing about other members.
    fn reset_after_stall(&mut self, now: Timestamp) {
        self.probes.current = None;
        self.next_probe = now;
        for since in self.suspects.values_mut() {
            *since = now;
        }
    }

    fn expire_suspicions(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let over: Vec<DaemonName> = self
            .suspects
            .iter()
            .filter(|(_, since)| now.since(**since) >= self.settings.suspicion_timeout)
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
        self.finish_probe(now, actions);
        self.next_probe = now + self.settings.probe_interval;
        self.start_probe(now, actions);
    }

    fn start_probe(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let Some(target) = self.probe_rotation.next(&self.others, &mut self.random) else {
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
            started_at: now,
            indirect: false,
            answered: false,
        });
    }

    fn probe_indirectly(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let timeout = self.settings.probe_timeout;
        let Some(probe) = self.probes.current.as_mut().filter(|probe| {
            !probe.answered && !probe.indirect && now.since(probe.started_at) >= timeout
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

    fn finish_probe(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
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

    fn send_joins(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if self.has_left {
            return;
        }
        let is_isolated = self.others.is_empty();
        for to in self
            .joining
            .due(is_isolated, &self.table, now, &mut self.random)
        {
            actions.push(MembershipAction::Send {
                to,
                message: Message::Join,
            });
        }
    }

    fn purge_expired(&mut self, now: Timestamp) {
        for name in self
            .table
            .remove_expired(now - self.settings.dead_member_retention)
        {
            self.rumors.remove(&name);
        }
    }

    pub(super) fn answer_probe(
        &self,
        from: &Peer,
        sequence: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.has_left {
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
        if let Some((requester, sequence)) = self.probes.take_relayed(sequence) {
            let target = target.clone();
            actions.push(MembershipAction::Send {
                to: requester.address,
                message: Message::Alive { sequence, target },
            });
        }
    }
}
