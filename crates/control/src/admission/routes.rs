//! The latest answers of the zones about one artifact, and the choice of the zone to send demands
//! to.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use flaxward_types::routing::{AnswerVersion, HeldAnswers, Outlook, Replica, RouteAnswer};
use flaxward_types::{Refusal, Timestamp, ZoneName};

use super::interface::AdmissionSettings;

/// The latest answer of one zone about one artifact, and the demands sent to it.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneRoute {
    /// Its latest answer and when it was received.
    answer: Option<(Timestamp, RouteAnswer)>,
    /// When the zone last sent or confirmed the answer.
    confirmed_at: Timestamp,
    /// When the last demand was sent to it.
    demand_sent_at: Option<Timestamp>,
    /// When the first demand since its last answer was sent.
    unanswered_since: Option<Timestamp>,
    /// Requests arrived since the last demand.
    pub arrivals: u32,
    /// Requests running on its replicas.
    pub running: u32,
    /// Running requests as reported in the last demand.
    announced_running: u32,
    /// Whether the last demand reported waiting requests.
    pub announced_waiting: bool,
}

/// Whether demands may be sent to a zone.
enum ZoneStatus<'a> {
    /// Demands may be sent to it, or one is outstanding.
    Open,
    /// Its coordinator is not known or does not answer.
    Silent,
    /// It refers demands to these zones.
    Elsewhere(&'a [ZoneName]),
}

/// The known zones in order of preference.
#[derive(Clone, Debug)]
pub(super) struct Zones {
    /// All zones, own zone first.
    pub order: Vec<ZoneName>,
    /// Zones whose coordinator is known.
    pub heads: BTreeSet<ZoneName>,
}

impl Zones {
    /// Replaces the set of zones whose coordinator is known; new zones are appended to the order.
    pub fn set_heads(&mut self, heads: BTreeSet<ZoneName>) {
        for zone in &heads {
            if !self.order.contains(zone) {
                self.order.push(zone.clone());
            }
        }
        self.heads = heads;
    }
}

/// Where to send the demand for an artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// This zone.
    Zone(ZoneName),
    /// Every zone is silent or refers to another. Demands go to all of them, since their answers
    /// may change.
    Nowhere {
        /// The zones.
        zones: Vec<ZoneName>,
        /// Whether one of them is silent, so that it is unknown whether it can serve the artifact.
        is_any_silent: bool,
    },
}

/// When a replica is expected for waiting requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// Nothing is known yet.
    Unknown,
    /// A replica is ready.
    Ready,
    /// A replica is expected at this time.
    At(Timestamp),
    /// The coordinator refuses.
    Refused(Refusal),
}

impl ZoneRoute {
    /// Stores an answer unless it is older than the stored one. Returns whether it was stored.
    fn apply(&mut self, now: Timestamp, answer: RouteAnswer) -> bool {
        let is_older = self
            .answer
            .as_ref()
            .is_some_and(|(_, last)| (answer.term, answer.sequence) < (last.term, last.sequence));
        if is_older {
            return false;
        }
        self.answer = Some((now, answer));
        self.confirm(now);
        true
    }

    fn confirm(&mut self, now: Timestamp) {
        self.confirmed_at = now;
        self.unanswered_since = None;
    }

    /// Version of the latest answer, if the zone has sent one.
    pub fn version(&self) -> Option<AnswerVersion> {
        let (_, answer) = self.answer.as_ref()?;
        Some(answer.version())
    }

    /// Whether this gateway has requests in the zone, or last reported some to its coordinator.
    pub fn is_in_use(&self) -> bool {
        self.running > 0 || self.arrivals > 0 || self.announced_running > 0
    }

    /// Whether the demand for running requests is due for renewal.
    pub fn renewal_is_due(&self, now: Timestamp, settings: &AdmissionSettings) -> bool {
        let is_changed = has_changed(self.announced_running, self.running);
        let period = if is_changed || self.unanswered_since.is_some() {
            settings.running_demand_period
        } else {
            settings.renewal_period
        };
        self.may_send_demand(now, period)
    }

    fn status(&self, now: Timestamp, settings: &AdmissionSettings) -> ZoneStatus<'_> {
        let silent_for = self.unanswered_since.map(|since| now.since(since));
        let silence = settings.zone_timeout..settings.zone_timeout + settings.zone_retry_interval;
        if silent_for.is_some_and(|duration| silence.contains(&duration)) {
            return ZoneStatus::Silent;
        }
        match self.fresh_answer(now, settings.zone_retry_interval) {
            Some((_, answer)) => match &answer.outlook {
                Outlook::Elsewhere { zones } => ZoneStatus::Elsewhere(zones),
                _ => ZoneStatus::Open,
            },
            None => ZoneStatus::Open,
        }
    }

    fn fresh_answer(
        &self,
        now: Timestamp,
        validity: Duration,
    ) -> Option<(Timestamp, &RouteAnswer)> {
        let (received, answer) = self.answer.as_ref()?;
        (now.since(self.confirmed_at) < validity).then_some((*received, answer))
    }

    /// Whether the last demand is at least this long ago.
    pub fn may_send_demand(&self, now: Timestamp, period: Duration) -> bool {
        self.demand_sent_at
            .is_none_or(|sent_at| now.since(sent_at) >= period)
    }

    /// Records that a demand is sent now.
    pub fn record_demand_sent(&mut self, now: Timestamp, settings: &AdmissionSettings) {
        self.demand_sent_at = Some(now);
        self.arrivals = 0;
        self.announced_running = self.running;
        let silence = settings.zone_timeout + settings.zone_retry_interval;
        let expired = self
            .unanswered_since
            .is_none_or(|since| now.since(since) >= silence);
        if expired {
            self.unanswered_since = Some(now);
        }
    }

    /// The ready replicas of the latest answer.
    pub fn ready(&self) -> &[Replica] {
        self.answer
            .as_ref()
            .map_or(&[], |(_, answer)| answer.ready.as_slice())
    }

    fn availability(&self, now: Timestamp, settings: &AdmissionSettings) -> Availability {
        let Some((received, answer)) = self.fresh_answer(now, settings.coordinator_grace) else {
            return Availability::Unknown;
        };
        match &answer.outlook {
            Outlook::Ready => Availability::Ready,
            Outlook::Loading { estimate_ms } => {
                Availability::At(received + Duration::from_millis(*estimate_ms))
            }
            Outlook::Elsewhere { .. } => Availability::Unknown,
            Outlook::Refused {
                code,
                retry_after_ms,
            } => {
                let retry_after = Duration::from_millis(*retry_after_ms);
                let age = now.since(received);
                // A refusal applies to the requests waiting when it is received, and for one
                // demand period at most. Then the zone is sent a demand again, since callers
                // may have retried by then.
                if age > Duration::ZERO && age >= retry_after.min(settings.demand_period) {
                    return Availability::Unknown;
                }
                let left = retry_after.saturating_sub(age);
                Availability::Refused(Refusal::new(*code).with_retry_after(left))
            }
        }
    }
}

/// Whether a number of requests has doubled or halved since it was last reported.
fn has_changed(announced: u32, now: u32) -> bool {
    announced != now && (now >= announced.saturating_mul(2) || now.saturating_mul(2) <= announced)
}

/// The routes of all zones for one artifact.
#[derive(Clone, Debug, Default)]
pub(super) struct Routes {
    zones: BTreeMap<ZoneName, ZoneRoute>,
}

impl Routes {
    /// The route of a zone, if it has one.
    pub fn zone(&self, zone: &ZoneName) -> Option<&ZoneRoute> {
        self.zones.get(zone)
    }

    /// The route of a zone, created if there is none.
    pub fn zone_mut(&mut self, zone: &ZoneName) -> &mut ZoneRoute {
        self.zones.entry(zone.clone()).or_default()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&ZoneName, &ZoneRoute)> {
        self.zones.iter()
    }

    /// Whether any zone has a ready replica.
    pub fn has_replica(&self) -> bool {
        self.zones.values().any(|route| !route.ready().is_empty())
    }

    /// Stores an answer unless it is older than the stored one of that zone. Returns whether it was
    /// stored.
    pub fn apply(&mut self, now: Timestamp, answer: RouteAnswer) -> bool {
        let zone = answer.zone.clone();
        self.zone_mut(&zone).apply(now, answer)
    }

    /// Applies a zone's confirmation that some of its answers are still valid.
    pub fn confirm(&mut self, now: Timestamp, confirmation: &HeldAnswers) {
        let Some(route) = self.zones.get_mut(&confirmation.zone) else {
            return;
        };
        let is_confirmed = route.version().is_some_and(|version| {
            version.term == confirmation.term && confirmation.sequences.contains(&version.sequence)
        });
        if is_confirmed {
            route.confirm(now);
        }
    }

    /// The zone to send the demand to: the own zone first, then those it refers to, then the others
    /// in order.
    pub fn target(&self, now: Timestamp, zones: &Zones, settings: &AdmissionSettings) -> Target {
        let mut next: VecDeque<ZoneName> = zones.order.first().cloned().into_iter().collect();
        let mut visited = Vec::new();
        let mut is_any_silent = false;
        while let Some(zone) = next.pop_front() {
            if visited.contains(&zone) {
                continue;
            }
            match self.status(&zone, now, zones, settings) {
                ZoneStatus::Open => return Target::Zone(zone),
                ZoneStatus::Elsewhere(named) => {
                    named
                        .iter()
                        .rev()
                        .for_each(|zone| next.push_front(zone.clone()));
                }
                ZoneStatus::Silent => {
                    next.extend(zones.order.iter().cloned());
                    is_any_silent = true;
                }
            }
            visited.push(zone);
        }
        Target::Nowhere {
            zones: visited,
            is_any_silent,
        }
    }

    fn status(
        &self,
        zone: &ZoneName,
        now: Timestamp,
        zones: &Zones,
        settings: &AdmissionSettings,
    ) -> ZoneStatus<'_> {
        if !zones.heads.contains(zone) {
            return ZoneStatus::Silent;
        }
        self.zones
            .get(zone)
            .map_or(ZoneStatus::Open, |route| route.status(now, settings))
    }

    /// When a zone expects a replica for waiting requests.
    pub fn availability(
        &self,
        zone: &ZoneName,
        now: Timestamp,
        settings: &AdmissionSettings,
    ) -> Availability {
        self.zones.get(zone).map_or(Availability::Unknown, |route| {
            route.availability(now, settings)
        })
    }
}
