//! What the coordinator answers to gateways while one event is handled, joined for each of them.

use std::collections::BTreeMap;

use flaxward_types::routing::{AnswerVersion, HeldAnswers, RouteAnswer};
use flaxward_types::{DaemonName, Term};
use flaxward_wire::Message;

use super::{Node, NodeAction};

/// Answers and confirmations that are not sent yet.
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

    /// Adds an answer that a gateway holds and that still holds.
    pub(super) fn confirm(&mut self, gateway: DaemonName, version: AnswerVersion) {
        let key = (gateway, version.term);
        self.confirmed
            .entry(key)
            .or_default()
            .push(version.sequence);
    }
}

impl Node {
    /// Sends what the coordinator has answered, one message of each kind for each gateway.
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
