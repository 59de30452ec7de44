//! Runner notices found in answers: passed on to the coordinator, and from it to all other daemons.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use flaxward_routing::messages::Message;
use flaxward_routing::names::RunnerId;
use flaxward_routing::notices::{NoticeUpdate, RunnerNotices, SharedNotice};
use flaxward_types::time::Timestamp;

use super::Coordination;

/// Maximum number of runners in one message, so that it fits a datagram.
const MAX_RUNNERS_PER_MESSAGE: usize = 24;

impl Coordination {
    /// Sends the notices from answers to this daemon's requests: to all members if this daemon coordinates, otherwise to
    /// the coordinator. While no coordinator is known, they stay queued.
    pub(super) fn send_notices(&mut self, now: Timestamp) {
        let coordinator = self.follower.coordinator();
        if self.leader.is_none() && coordinator.is_none() {
            return;
        }
        let runners = self.shared.take_unsent_notices();
        if runners.is_empty() {
            return;
        }
        if self.leader.is_some() {
            self.send_notices_to_members(&runners, self.address, now);
        } else if let Some(coordinator) = coordinator {
            self.send_notices_of(coordinator, &runners, now);
        }
    }

    /// Reports crashed runners to the coordinator, which loads elsewhere what they held.
    pub(super) fn report_runners_down(&mut self, now: Timestamp) {
        let unsent = self.shared.unsent_down.lock();
        let runners = unsent.map(|mut unsent| std::mem::take(&mut *unsent));
        let runners: Vec<RunnerId> = runners.unwrap_or_default().into_iter().collect();
        if runners.is_empty() {
            return;
        }
        if let Some(leader) = &mut self.leader {
            leader.schedule_plan(now);
        } else if let Some(coordinator) = self.follower.coordinator() {
            self.peers.send(coordinator, &Message::RunnersDown(runners));
        }
    }

    /// Records crashed runners that another daemon has reported.
    pub(super) fn record_runners_down(&mut self, runners: &[RunnerId]) {
        for runner in runners {
            self.shared.record_down(runner);
        }
    }

    /// Merges the notices of another daemon, from a message that arrived no earlier than `earliest_arrival`. The
    /// coordinator forwards what has changed, and sends the current state to a sender that is out of date.
    pub(super) fn merge_notices(&mut self, received: &RunnerNotices, earliest_arrival: Timestamp) {
        let now = self.shared.now();
        let mut changed = BTreeSet::new();
        let mut outdated = BTreeSet::new();
        for notice in &received.notices {
            match self.shared.merge_shared_notice(notice, earliest_arrival) {
                NoticeUpdate::Changed => changed.insert(notice.runner.clone()),
                NoticeUpdate::SenderOutdated => outdated.insert(notice.runner.clone()),
                NoticeUpdate::Unchanged => false,
            };
        }
        if self.leader.is_none() {
            return;
        }
        self.send_notices_to_members(&changed, received.from, now);
        self.send_notices_of(received.from, &outdated, now);
    }

    /// Sends a daemon the notices of some runners.
    pub(super) fn send_notices_of(
        &self,
        to: SocketAddr,
        runners: &BTreeSet<RunnerId>,
        now: Timestamp,
    ) {
        for message in self.notices_of(runners, now) {
            self.peers.send(to, &message);
        }
    }

    /// Sends the notices of some runners to all members except `except` and this daemon.
    fn send_notices_to_members(
        &self,
        runners: &BTreeSet<RunnerId>,
        except: SocketAddr,
        now: Timestamp,
    ) {
        let Some(leader) = &self.leader else {
            return;
        };
        let members = leader.member_addresses(now).into_iter();
        let others: Vec<SocketAddr> = members.filter(|address| *address != except).collect();
        for message in self.notices_of(runners, now) {
            self.send_to_others(&others, &message);
        }
    }

    /// The notices of some runners, in messages that each fit a datagram.
    fn notices_of(&self, runners: &BTreeSet<RunnerId>, now: Timestamp) -> Vec<Message> {
        let tables = self.shared.tables();
        let notices = runners.iter();
        let notices = notices.filter_map(|runner| tables.notices.shared(runner, now));
        let notices: Vec<SharedNotice> = notices.collect();
        let message = |notices: &[SharedNotice]| {
            Message::RunnerNotices(RunnerNotices {
                from: self.address,
                notices: notices.to_vec(),
            })
        };
        notices
            .chunks(MAX_RUNNERS_PER_MESSAGE)
            .map(message)
            .collect()
    }
}
