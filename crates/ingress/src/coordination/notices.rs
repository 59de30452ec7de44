//! What answers have told of runners, on its way to the coordinator and from it to all other daemons.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use flaxward_routing::messages::Message;
use flaxward_routing::names::RunnerId;
use flaxward_routing::notices::{NoticeUpdate, RunnerNotices, SharedNotice};
use flaxward_types::time::Timestamp;

use super::Coordination;

/// Runners in one message at most, so that it fits a datagram.
const RUNNERS_A_MESSAGE: usize = 24;

impl Coordination {
    /// Passes on what answers to this daemon's requests have told: to all daemons, if this one coordinates, else to the
    /// coordinator. It waits for one if none is known.
    pub(super) fn tell_notices(&mut self, now: Timestamp) {
        let coordinator = self.following.coordinator();
        if self.leading.is_none() && coordinator.is_none() {
            return;
        }
        let runners = self.shared.take_unsent_notices();
        if runners.is_empty() {
            return;
        }
        if self.leading.is_some() {
            self.tell_members(&runners, self.address, now);
        } else if let Some(coordinator) = coordinator {
            self.tell_of(coordinator, &runners, now);
        }
    }

    /// Takes in what another daemon tells, in a message that came no earlier than at a time. The coordinator passes on what is
    /// news, and corrects who believes something that has changed since.
    pub(super) fn heard_notices(&mut self, told: &RunnerNotices, came_after: Timestamp) {
        let now = self.shared.now();
        let mut news = BTreeSet::new();
        let mut outdated = BTreeSet::new();
        for notice in &told.notices {
            match self.shared.merge_shared_notice(notice, came_after) {
                NoticeUpdate::Changed => news.insert(notice.runner.clone()),
                NoticeUpdate::SenderOutdated => outdated.insert(notice.runner.clone()),
                NoticeUpdate::Unchanged => false,
            };
        }
        if self.leading.is_none() {
            return;
        }
        self.tell_members(&news, told.from, now);
        self.tell_of(told.from, &outdated, now);
    }

    /// Tells a daemon what is known of some runners.
    pub(super) fn tell_of(&self, to: SocketAddr, runners: &BTreeSet<RunnerId>, now: Timestamp) {
        for message in self.notices_of(runners, now) {
            self.peers.send(to, &message);
        }
    }

    /// Tells all members but one, and this daemon itself, what is known of some runners.
    fn tell_members(&self, runners: &BTreeSet<RunnerId>, except: SocketAddr, now: Timestamp) {
        let Some(leading) = &self.leading else {
            return;
        };
        let members = leading.member_addresses(now).into_iter();
        let others: Vec<SocketAddr> = members.filter(|address| *address != except).collect();
        for message in self.notices_of(runners, now) {
            self.send_to_others(&others, &message);
        }
    }

    /// What is known of some runners by answers, in messages that fit a datagram each.
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
        notices.chunks(RUNNERS_A_MESSAGE).map(message).collect()
    }
}
