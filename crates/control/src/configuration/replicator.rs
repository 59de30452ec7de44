//! Replicates configuration between daemons.
//!
//! Each daemon that applies a change pushes it once to a few random members. Every envelope carries
//! its sender's revision; a daemon that sees a higher one, and does not receive the changes shortly
//! after, requests them. Pulling thus repairs what pushing misses.

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
use super::{ApplyOutcome, Configuration};

/// Maximum number of daemons of other zones whose revision is remembered.
const MAX_OTHER_ZONE_PEERS: usize = 128;

/// Consecutive unanswered requests for changes before the timeout starts to double.
pub const FAST_REQUESTS: u32 = 8;

/// Durations and sizes that configure the dissemination of configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicatorSettings {
    /// Members to which each daemon that applies a change pushes it.
    pub fanout: usize,
    /// Time between two pushes; changes in between are pushed together.
    pub push_interval: Duration,
    /// Changes kept for daemons that lag slightly behind.
    pub recent_changes: usize,
    /// Time that a daemon waits for a push before it requests changes from a member of its zone.
    pub request_delay: Duration,
    /// Time that a daemon which is not the coordinator waits before it requests changes from another
    /// zone.
    pub cross_zone_request_delay: Duration,
    /// Time to wait for a few changes before another daemon is asked; doubles after
    /// [`FAST_REQUESTS`].
    pub answer_timeout: Duration,
    /// Time to wait for a whole configuration before another daemon is asked; doubles.
    pub snapshot_timeout: Duration,
    /// Maximum time to wait for an answer.
    pub timeout_limit: Duration,
    /// Minimum time between two snapshots to the same daemon.
    pub snapshot_interval: Duration,
}

impl Default for ReplicatorSettings {
    fn default() -> Self {
        Self {
            fanout: 3,
            push_interval: Duration::from_millis(200),
            recent_changes: 1_000,
            request_delay: Duration::from_millis(400),
            cross_zone_request_delay: Duration::from_secs(5),
            answer_timeout: Duration::from_millis(500),
            snapshot_timeout: Duration::from_secs(2),
            timeout_limit: Duration::from_secs(16),
            snapshot_interval: Duration::from_millis(500),
        }
    }
}

/// An output of the replicator.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicatorAction {
    /// Send a message.
    Send {
        /// The receiver.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// Another configuration is in force.
    Changed,
}

/// The revision last received from another daemon.
#[derive(Clone, Debug)]
struct PeerRevision {
    peer: Peer,
    revision: Revision,
    /// Since when it has been ahead of this daemon.
    ahead_since: Option<Timestamp>,
}

/// The single outstanding request for changes.
#[derive(Clone, Debug)]
struct OutstandingRequest {
    to: DaemonName,
    sent_at: Timestamp,
}

/// The configuration in force and the known revisions of other daemons.
#[derive(Clone, Debug)]
pub struct ConfigurationReplicator {
    settings: ReplicatorSettings,
    zone: ZoneName,
    current: Arc<Configuration>,
    /// The revision up to which the store is known to have no further changes; at or after the
    /// revision in force.
    covered_revision: Revision,
    log: ChangeLog,
    /// The revision that was last pushed.
    pushed_revision: Revision,
    next_push: Timestamp,
    members: Vec<Peer>,
    known: BTreeMap<DaemonName, PeerRevision>,
    request: Option<OutstandingRequest>,
    /// Consecutive requests without an answer.
    unanswered: u32,
    snapshots_sent: BTreeMap<DaemonName, Timestamp>,
    random: ChaCha8Rng,
}

impl ConfigurationReplicator {
    /// A replicator without any configuration, for a daemon of a zone.
    pub fn new(settings: ReplicatorSettings, zone: ZoneName, seed: u64) -> Self {
        Self {
            log: ChangeLog::new(settings.recent_changes),
            settings,
            zone,
            current: Arc::default(),
            covered_revision: Revision(0),
            pushed_revision: Revision(0),
            next_push: Timestamp::ZERO,
            members: Vec::new(),
            known: BTreeMap::new(),
            request: None,
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

    /// Applies the output of a watch of the store: all changes after `delta.from` up to `delta.to`. A
    /// delta without changes only records the progress of the watch. When the result is [`ApplyOutcome::Behind`], the store must be listed again.
    pub fn apply_watch_delta(&mut self, delta: &ConfigurationDelta) -> ApplyOutcome {
        if delta.from > self.covered_revision {
            return ApplyOutcome::Behind;
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
            Some(_) => return ApplyOutcome::Malformed,
            None => ApplyOutcome::Old,
        };
        self.covered_revision = self.covered_revision.max(delta.to);
        applied
    }

    /// Applies a complete listing of the store. Returns whether anything changed. A listing that
    /// differs only in its revision just records the progress of the store.
    pub fn apply_listing(&mut self, snapshot: &ConfigurationSnapshot) -> bool {
        let known = self.revision() > Revision(0)
            && snapshot.revision > self.revision()
            && self.current.changes_to(snapshot).is_empty();
        let changed = !known && self.replace(snapshot);
        if known {
            self.covered_revision = self.covered_revision.max(snapshot.revision);
        }
        changed
    }

    /// Records the revision in force at a sender.
    pub fn record_peer_revision(&mut self, from: &Peer, revision: Revision, now: Timestamp) {
        let is_other_zone = from.zone != self.zone;
        if is_other_zone
            && !self.known.contains_key(&from.name)
            && self.other_zone_peers() >= MAX_OTHER_ZONE_PEERS
        {
            return;
        }
        let ahead_since = (revision > self.revision()).then(|| {
            self.known
                .get(&from.name)
                .filter(|known| known.revision > self.revision())
                .and_then(|known| known.ahead_since)
                .unwrap_or(now)
        });
        let known = PeerRevision {
            peer: from.clone(),
            revision,
            ahead_since,
        };
        self.known.insert(from.name.clone(), known);
    }

    /// Handles a message about configuration; others are ignored.
    pub fn receive(
        &mut self,
        from: &Peer,
        message: &Message,
        now: Timestamp,
    ) -> Vec<ReplicatorAction> {
        let before = self.revision();
        let mut actions = Vec::new();
        match message {
            Message::Configuration(delta) => {
                self.apply(delta);
                self.clear_request(&from.name);
            }
            Message::Snapshot(snapshot) => {
                self.replace(snapshot);
                self.clear_request(&from.name);
            }
            Message::ConfigurationWanted { have } => {
                actions.extend(self.answer(from, *have, now));
            }
            _ => {}
        }
        if self.revision() > before {
            actions.push(ReplicatorAction::Changed);
        }
        actions
    }

    /// Sets the other live members of the zone.
    pub fn set_members(&mut self, members: &[Peer]) {
        self.members = members.to_vec();
        let zone = &self.zone;
        self.known.retain(|name, known| {
            known.peer.zone != *zone || members.iter().any(|peer| peer.name == *name)
        });
    }

    /// Pushes new changes and requests missing ones. `is_coordinator` says whether this daemon is the
    /// coordinator of its zone.
    pub fn tick(&mut self, is_coordinator: bool, now: Timestamp) -> Vec<ReplicatorAction> {
        let interval = self.settings.snapshot_interval;
        self.snapshots_sent
            .retain(|_, sent| now.since(*sent) < interval);
        let mut actions = self.push(now);
        actions.extend(self.request_missing(is_coordinator, now));
        actions
    }

    fn apply(&mut self, delta: &ConfigurationDelta) -> ApplyOutcome {
        let before = self.revision();
        let applied = self.current.check_delta(delta);
        if applied == ApplyOutcome::Applied {
            Arc::make_mut(&mut self.current).apply_delta(delta);
            self.log.append(delta, before);
            self.after_revision_advanced();
        }
        applied
    }

    /// Applies a newer snapshot as the changes that lead to it, so that daemons which are behind can
    /// still be sent changes.
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
        if from > Revision(0) && self.apply(&delta) == ApplyOutcome::Applied {
            self.log.record_gap(from, snapshot.revision);
            return true;
        }
        let replaced = Arc::make_mut(&mut self.current).apply_snapshot(snapshot);
        self.log.reset(snapshot.revision);
        self.after_revision_advanced();
        replaced
    }

    /// Updates state after the revision in force has advanced; clears the outstanding request, which
    /// may have been satisfied.
    fn after_revision_advanced(&mut self) {
        self.covered_revision = self.covered_revision.max(self.revision());
        self.request = None;
        self.unanswered = 0;
    }

    fn push(&mut self, now: Timestamp) -> Vec<ReplicatorAction> {
        let revision = self.revision();
        if self.pushed_revision >= revision || now < self.next_push {
            return Vec::new();
        }
        let from = self.pushed_revision;
        self.pushed_revision = revision;
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

    /// A delta for one member. A member that lacks more changes than are kept requests a snapshot
    /// itself.
    fn push_to(&self, to: Peer, from: Revision) -> Option<ReplicatorAction> {
        let have = self.known_revision(&to).unwrap_or(from);
        let message = Message::Configuration(self.log.since(have)?);
        Some(ReplicatorAction::Send { to, message })
    }

    fn known_revision(&self, peer: &Peer) -> Option<Revision> {
        self.known.get(&peer.name).map(|known| known.revision)
    }

    fn request_missing(
        &mut self,
        is_coordinator: bool,
        now: Timestamp,
    ) -> Option<ReplicatorAction> {
        if let Some(request) = &self.request {
            if now.since(request.sent_at) < self.timeout() {
                return None;
            }
            // A peer that did not answer is asked again only after another message from it.
            self.known.remove(&request.to);
            self.request = None;
            self.unanswered += 1;
        }
        let candidates: Vec<&PeerRevision> = self
            .known
            .values()
            .filter(|known| self.may_request_from(known, is_coordinator, now))
            .collect();
        let to = candidates.choose(&mut self.random)?.peer.clone();
        self.request = Some(OutstandingRequest {
            to: to.name.clone(),
            sent_at: now,
        });
        let have = self.revision();
        let message = Message::ConfigurationWanted { have };
        Some(ReplicatorAction::Send { to, message })
    }

    /// Timeout of the outstanding request.
    fn timeout(&self) -> Duration {
        let (first, doublings) = if self.revision() == Revision(0) {
            (self.settings.snapshot_timeout, self.unanswered)
        } else {
            let doublings = self.unanswered.saturating_sub(FAST_REQUESTS);
            (self.settings.answer_timeout, doublings)
        };
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        first
            .saturating_mul(factor)
            .min(self.settings.timeout_limit)
    }

    fn may_request_from(&self, known: &PeerRevision, is_coordinator: bool, now: Timestamp) -> bool {
        let request_delay = if known.peer.zone == self.zone || is_coordinator {
            self.settings.request_delay
        } else {
            self.settings.cross_zone_request_delay
        };
        known.revision > self.revision()
            && known
                .ahead_since
                .is_some_and(|since| now.since(since) >= request_delay)
    }

    fn clear_request(&mut self, by: &DaemonName) {
        if self
            .request
            .as_ref()
            .is_some_and(|request| request.to == *by)
        {
            self.request = None;
            self.unanswered = 0;
        }
    }

    fn answer(&mut self, from: &Peer, have: Revision, now: Timestamp) -> Option<ReplicatorAction> {
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
        Some(ReplicatorAction::Send { to, message })
    }

    /// A snapshot, unless the same daemon was sent one recently, so that duplicate requests cost
    /// nothing.
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

    fn other_zone_peers(&self) -> usize {
        self.known
            .values()
            .filter(|known| known.peer.zone != self.zone)
            .count()
    }
}
