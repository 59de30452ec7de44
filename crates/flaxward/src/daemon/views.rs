//! Questions to other daemons that wait for their answers.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::{DaemonName, Timestamp};
use flaxward_wire::{Message, Peer, View};
use tokio::sync::oneshot;

use super::core::Core;

/// How long a question waits for answers; whoever has not answered by then is left out.
const PATIENCE: Duration = Duration::from_millis(800);

/// One question to several daemons.
struct Survey {
    missing: Vec<DaemonName>,
    answers: Vec<String>,
    done: oneshot::Sender<Vec<String>>,
    until: Timestamp,
}

/// The questions that are open.
#[derive(Default)]
pub struct Views {
    next: u64,
    open: BTreeMap<u64, Survey>,
}

impl Views {
    /// Takes an answer. An answer to no open question is ignored.
    pub fn received(&mut self, sequence: u64, from: &Peer, answer: String) {
        let Some(survey) = self.open.get_mut(&sequence) else {
            return;
        };
        let Some(place) = survey.missing.iter().position(|name| *name == from.name) else {
            return;
        };
        survey.missing.swap_remove(place);
        survey.answers.push(answer);
        if survey.missing.is_empty() {
            self.finish(sequence);
        }
    }

    /// Ends the questions that have waited long enough.
    pub fn expire(&mut self, now: Timestamp) {
        let late: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, survey)| survey.until <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in late {
            self.finish(sequence);
        }
    }

    fn finish(&mut self, sequence: u64) {
        if let Some(survey) = self.open.remove(&sequence) {
            // Whoever asked may have gone away.
            let _ = survey.done.send(survey.answers);
        }
    }
}

impl Core {
    /// Asks these daemons for a view; this daemon itself is answered at once.
    pub(super) fn ask(&mut self, whom: &[Peer], view: &View, done: oneshot::Sender<Vec<String>>) {
        self.views.next += 1;
        let sequence = self.views.next;
        let me = self.parts.node.me().name.clone();
        let mut survey = Survey {
            missing: Vec::new(),
            answers: Vec::new(),
            done,
            until: self.now() + PATIENCE,
        };
        for peer in whom {
            if peer.name == me {
                survey.answers.push(self.view_rows(view));
            } else {
                survey.missing.push(peer.name.clone());
                self.send(
                    peer,
                    Message::ViewWanted {
                        sequence,
                        view: view.clone(),
                    },
                );
            }
        }
        let nobody_missing = survey.missing.is_empty();
        self.views.open.insert(sequence, survey);
        if nobody_missing {
            self.views.finish(sequence);
        }
    }

    /// This daemon, the members of its zone and the coordinators of the other zones.
    pub(super) fn acquaintances(&self) -> Vec<Peer> {
        let node = &self.parts.node;
        let mut peers = node.gossip_state().membership().alive();
        let coordinators = node.coordinators().into_iter();
        peers.extend(coordinators.filter(|peer| peer.zone != node.me().zone));
        peers
    }
}
