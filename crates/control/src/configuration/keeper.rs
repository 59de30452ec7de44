//! Keeps the configuration in force and decides what to tell whom.
//!
//! A change is sent on once to a few random members by each daemon that applies it. Every envelope
//! carries its sender's revision; a daemon that sees a higher one, and is not told shortly after,
//! asks for what it lacks. So what the first way misses, the second repairs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flaxward_types::{DaemonName, Revision, Timestamp, ZoneName};
use flaxward_wire::{
    ConfigurationChange, ConfigurationDelta, ConfigurationSnapshot, Message, Peer,
};
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::log::ChangeLog;
use super::{Applied, Configuration};

/// Most daemons of other zones whose revision is remembered.
const MAX_OUTSIDE: usize = 128;

/// Questions for a few changes in a row without an answer before the pauses grow.
pub const FAST_QUESTIONS: u32 = 8;

/// Durations and sizes that steer the spread of configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// Members that a change is sent on to by each daemon that applies it.
    pub fanout: usize,
    /// Time between two sends; changes that come in between are sent together.
    pub push_interval: Duration,
    /// Changes kept for daemons that are a little behind.
    pub recent_changes: usize,
    /// Time that a daemon waits to be told before it asks a member of its zone.
    pub patience: Duration,
    /// Time that a daemon which does not coordinate waits before it asks another zone.
    pub outside_patience: Duration,
    /// Time to wait for a few changes before another daemon is asked; doubles after
    /// [`FAST_QUESTIONS`].
    pub answer_timeout: Duration,
    /// Time to wait for a whole configuration before another daemon is asked; doubles.
    pub snapshot_timeout: Duration,
    /// Longest time to wait for an answer.
    pub timeout_limit: Duration,
    /// Shortest time between two snapshots to the same daemon.
    pub snapshot_interval: Duration,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        Self {
            fanout: 3,
            push_interval: Duration::from_millis(200),
            recent_changes: 1_000,
            patience: Duration::from_millis(400),
            outside_patience: Duration::from_secs(5),
            answer_timeout: Duration::from_millis(500),
            snapshot_timeout: Duration::from_secs(2),
            timeout_limit: Duration::from_secs(16),
            snapshot_interval: Duration::from_millis(500),
        }
    }
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum KeeperAction {
    /// Send a message.
    Send {
        /// To whom.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// Another configuration is in force.
    Changed,
}

/// A daemon with another revision than this one's, as last heard.
#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    revision: Revision,
    /// Since when it has been ahead of this daemon.
    ahead_since: Option<Timestamp>,
}

/// The one question that may be outstanding.
#[derive(Clone, Debug)]
struct Question {
    to: DaemonName,
    asked: Timestamp,
}

/// The configuration in force and what is known of others'.
#[derive(Clone, Debug)]
pub struct ConfigurationKeeper {
    settings: KeeperSettings,
    zone: ZoneName,
    current: Arc<Configuration>,
    /// Up to where the store has shown that nothing else changed; at or after the revision in force.
    covered: Revision,
    log: ChangeLog,
    /// The revision that was last sent on.
    pushed: Revision,
    next_push: Timestamp,
    members: Vec<Peer>,
    known: BTreeMap<DaemonName, Known>,
    question: Option<Question>,
    /// Questions in a row without an answer.
    unanswered: u32,
    snapshots_sent: BTreeMap<DaemonName, Timestamp>,
    random: ChaCha8Rng,
}

impl ConfigurationKeeper {
    /// A keeper without any configuration, for a daemon of a zone.
    pub fn new(settings: KeeperSettings, zone: ZoneName, seed: u64) -> Self {
        Self {
            log: ChangeLog::new(settings.recent_changes),
            settings,
            zone,
            current: Arc::default(),
            covered: Revision(0),
            pushed: Revision(0),
            next_push: Timestamp::ZERO,
            members: Vec::new(),
            known: BTreeMap::new(),
            question: None,
            unanswered: 0,
            snapshots_sent: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.current)
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.current.revision()
    }

    /// Takes in what a watch of the store has shown: everything that changed after `delta.from` up
    /// to `delta.to`. A delta without changes only notes how far the watch has come. When the answer
    /// is [`Applied::Behind`], the store must be listed again.
    pub fn learn(&mut self, delta: &ConfigurationDelta) -> Applied {
        if delta.from > self.covered {
            return Applied::Behind;
        }
        let revision = self.revision();
        let changes: Vec<ConfigurationChange> = delta
            .changes
            .iter()
            .filter(|change| change.revision > revision)
            .cloned()
            .collect();
        let last = changes.iter().map(|change| change.revision).max();
        let applied = match last {
            Some(to) if to <= delta.to => self.apply(&ConfigurationDelta {
                from: revision,
                to,
                changes,
            }),
            Some(_) => return Applied::Malformed,
            None => Applied::Old,
        };
        self.covered = self.covered.max(delta.to);
        applied
    }

    /// Takes in a whole list of the store. Returns whether anything changed. A list that differs in
    /// nothing but its revision only notes how far the store has come.
    pub fn learn_snapshot(&mut self, snapshot: &ConfigurationSnapshot) -> bool {
        let known = self.revision() > Revision(0)
            && snapshot.revision > self.revision()
            && self.current.changes_to(snapshot).is_empty();
        let changed = !known && self.replace(snapshot);
        if known {
            self.covered = self.covered.max(snapshot.revision);
        }
        changed
    }

    /// Notes the revision in force at a sender.
    pub fn heard(&mut self, from: &Peer, revision: Revision, now: Timestamp) {
        let outside = from.zone != self.zone;
        if outside && !self.known.contains_key(&from.name) && self.outside() >= MAX_OUTSIDE {
            return;
        }
        let ahead_since = (revision > self.revision()).then(|| {
            self.known
                .get(&from.name)
                .filter(|known| known.revision > self.revision())
                .and_then(|known| known.ahead_since)
                .unwrap_or(now)
        });
        let known = Known {
            peer: from.clone(),
            revision,
            ahead_since,
        };
        self.known.insert(from.name.clone(), known);
    }

    /// Handles a message about configuration; others are ignored.
    pub fn receive(&mut self, from: &Peer, message: &Message, now: Timestamp) -> Vec<KeeperAction> {
        let before = self.revision();
        let mut actions = Vec::new();
        match message {
            Message::Configuration(delta) => {
                self.apply(delta);
                self.answered(&from.name);
            }
            Message::Snapshot(snapshot) => {
                self.replace(snapshot);
                self.answered(&from.name);
            }
            Message::ConfigurationWanted { have } => {
                actions.extend(self.answer(from, *have, now));
            }
            _ => {}
        }
        if self.revision() > before {
            actions.push(KeeperAction::Changed);
        }
        actions
    }

    /// Notes the other live members of the zone.
    pub fn set_members(&mut self, members: &[Peer]) {
        self.members = members.to_vec();
        let zone = &self.zone;
        self.known.retain(|name, known| {
            known.peer.zone != *zone || members.iter().any(|peer| peer.name == *name)
        });
    }

    /// Sends on what is new and asks for what is missing. `coordinates` says whether this daemon
    /// speaks for the zone.
    pub fn tick(&mut self, coordinates: bool, now: Timestamp) -> Vec<KeeperAction> {
        let interval = self.settings.snapshot_interval;
        self.snapshots_sent
            .retain(|_, sent| now.since(*sent) < interval);
        let mut actions = self.push(now);
        actions.extend(self.ask(coordinates, now));
        actions
    }

    fn apply(&mut self, delta: &ConfigurationDelta) -> Applied {
        let before = self.revision();
        let applied = self.current.check_delta(delta);
        if applied == Applied::Applied {
            Arc::make_mut(&mut self.current).apply_delta(delta);
            self.log.append(delta, before);
            self.risen();
        }
        applied
    }

    /// Takes over a newer snapshot as the changes that lead to it, so that daemons which are behind
    /// can still be sent changes.
    fn replace(&mut self, snapshot: &ConfigurationSnapshot) -> bool {
        let from = self.revision();
        if snapshot.revision <= from {
            return false;
        }
        let delta = ConfigurationDelta {
            from,
            to: snapshot.revision,
            changes: self.current.changes_to(snapshot),
        };
        if from > Revision(0) && self.apply(&delta) == Applied::Applied {
            self.log.note_gap(from, snapshot.revision);
            return true;
        }
        let replaced = Arc::make_mut(&mut self.current).apply_snapshot(snapshot);
        self.log.restart(snapshot.revision);
        self.risen();
        replaced
    }

    /// Follows up a rise of the revision in force: whatever was asked for may have come.
    fn risen(&mut self) {
        self.covered = self.covered.max(self.revision());
        self.question = None;
        self.unanswered = 0;
    }

    fn push(&mut self, now: Timestamp) -> Vec<KeeperAction> {
        let revision = self.revision();
        if self.pushed >= revision || now < self.next_push {
            return Vec::new();
        }
        let from = self.pushed;
        self.pushed = revision;
        self.next_push = now + self.settings.push_interval;
        let behind: Vec<&Peer> = self
            .members
            .iter()
            .filter(|peer| self.known_revision(peer) < Some(revision))
            .collect();
        let chosen: Vec<Peer> = behind
            .sample(&mut self.random, self.settings.fanout)
            .map(|peer| (*peer).clone())
            .collect();
        chosen
            .into_iter()
            .filter_map(|to| self.push_to(to, from))
            .collect()
    }

    /// A delta for one member; a member that lacks more than is kept asks for a snapshot itself.
    fn push_to(&self, to: Peer, from: Revision) -> Option<KeeperAction> {
        let have = self.known_revision(&to).unwrap_or(from);
        let message = Message::Configuration(self.log.since(have)?);
        Some(KeeperAction::Send { to, message })
    }

    fn known_revision(&self, peer: &Peer) -> Option<Revision> {
        self.known.get(&peer.name).map(|known| known.revision)
    }

    fn ask(&mut self, coordinates: bool, now: Timestamp) -> Option<KeeperAction> {
        if let Some(question) = &self.question {
            if now.since(question.asked) < self.timeout() {
                return None;
            }
            // One that did not answer is asked again only after it has been heard again.
            self.known.remove(&question.to);
            self.question = None;
            self.unanswered += 1;
        }
        let candidates: Vec<&Known> = self
            .known
            .values()
            .filter(|known| self.may_ask(known, coordinates, now))
            .collect();
        let to = candidates.choose(&mut self.random)?.peer.clone();
        self.question = Some(Question {
            to: to.name.clone(),
            asked: now,
        });
        let have = self.revision();
        let message = Message::ConfigurationWanted { have };
        Some(KeeperAction::Send { to, message })
    }

    /// How long the present question may stay unanswered.
    fn timeout(&self) -> Duration {
        let (first, doublings) = if self.revision() == Revision(0) {
            (self.settings.snapshot_timeout, self.unanswered)
        } else {
            let doublings = self.unanswered.saturating_sub(FAST_QUESTIONS);
            (self.settings.answer_timeout, doublings)
        };
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        first
            .saturating_mul(factor)
            .min(self.settings.timeout_limit)
    }

    fn may_ask(&self, known: &Known, coordinates: bool, now: Timestamp) -> bool {
        let patience = if known.peer.zone == self.zone || coordinates {
            self.settings.patience
        } else {
            self.settings.outside_patience
        };
        known.revision > self.revision()
            && known
                .ahead_since
                .is_some_and(|since| now.since(since) >= patience)
    }

    fn answered(&mut self, by: &DaemonName) {
        if self
            .question
            .as_ref()
            .is_some_and(|question| question.to == *by)
        {
            self.question = None;
            self.unanswered = 0;
        }
    }

    fn answer(&mut self, from: &Peer, have: Revision, now: Timestamp) -> Option<KeeperAction> {
        if have >= self.revision() {
            return None;
        }
        let delta = self
            .log
            .since(have)
            .filter(|delta| delta.changes.len() <= self.current.items().count().max(1));
        let message = match delta {
            Some(delta) => Message::Configuration(delta),
            None => self.snapshot_for(&from.name, now)?,
        };
        let to = from.clone();
        Some(KeeperAction::Send { to, message })
    }

    /// A snapshot, unless the same daemon was just sent one: a doubled question costs nothing.
    fn snapshot_for(&mut self, name: &DaemonName, now: Timestamp) -> Option<Message> {
        let recent = self
            .snapshots_sent
            .get(name)
            .is_some_and(|sent| now.since(*sent) < self.settings.snapshot_interval);
        if recent {
            return None;
        }
        self.snapshots_sent.insert(name.clone(), now);
        Some(Message::Snapshot(self.current.snapshot()))
    }

    fn outside(&self) -> usize {
        self.known
            .values()
            .filter(|known| known.peer.zone != self.zone)
            .count()
    }
}
