//! Batches the coordinator's replies to each gateway while one event is handled.

use std::collections::BTreeMap;

use flaxward_types::routing::{AnswerVersion, HeldAnswers, RouteAnswer};
use flaxward_types::{DaemonName, Term};
use flaxward_wire::Message;

use super::{Node, NodeAction};

/// Answers and confirmations to be sent.
#[derive(Debug, Default)]
pub(super) struct Replies {
    answers: BTreeMap<DaemonName, Vec<RouteAnswer>>,
    confirmed: BTreeMap<(DaemonName, Term), Vec<u64>>,
}

impl Replies {
    /// Adds an answer for a gateway.
    pub(super) fn answer(&mut self, gateway: DaemonName, answer: RouteAnswer) {
        self.answers.entry(gateway).or_default().push(answer);
    }

    /// Adds a confirmation that an answer which a gateway has is still valid.
    pub(super) fn confirm(&mut self, gateway: DaemonName, version: AnswerVersion) {
        let key = (gateway, version.term);
        self.confirmed
            .entry(key)
            .or_default()
            .push(version.sequence);
    }
}

impl Node {
    /// Sends the batched replies, one message of each kind per gateway.
    pub(super) fn send_replies(&mut self) {
        let replies = std::mem::take(&mut self.replies);
        for (gateway, answers) in replies.answers {
            if gateway == self.me.name {
                self.actions.push(NodeAction::Routes(answers));
            } else if let Some(peer) = self.peers.get(&gateway).cloned() {
                self.send(&peer, Message::Routes(answers));
            }
        }
        for ((gateway, term), sequences) in replies.confirmed {
            let zone = self.me.zone.clone();
            let held = HeldAnswers {
                zone,
                term,
                sequences,
            };
            if gateway == self.me.name {
                self.actions.push(NodeAction::RoutesHeld(held));
            } else if let Some(peer) = self.peers.get(&gateway).cloned() {
                self.send(&peer, Message::RoutesHeld(held));
            }
        }
    }
}
