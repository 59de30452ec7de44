//! What the zones have told about one artifact, and which zone to ask next.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use flaxward_types::routing::{AnswerVersion, HeldAnswers, Outlook, Replica, RouteAnswer};
use flaxward_types::{Refusal, Timestamp, ZoneName};

use super::interface::AdmissionSettings;

/// What one zone has told about one artifact.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneRoute {
    /// Its latest answer and when it came.
    answer: Option<(Timestamp, RouteAnswer)>,
    /// When the zone last said that it holds, by sending or by confirming it.
    confirmed: Timestamp,
    /// When it was last asked.
    asked: Option<Timestamp>,
    /// When it was asked first since its last answer.
    unanswered_since: Option<Timestamp>,
    /// Requests begun since it was last asked.
    pub arrivals: u32,
    /// Requests that run on its replicas.
    pub running: u32,
    /// Requests that ran there when it was last asked.
    told_running: u32,
    /// Whether it was last told that requests wait.
    pub told_of_waiting: bool,
}

/// How a zone stands as a place to ask.
enum Standing<'a> {
    /// It may be asked, or is being asked.
    Open,
    /// It has no known coordinator or does not answer.
    Silent,
    /// It sends us on.
    Elsewhere(&'a [ZoneName]),
}

/// The zones and their order of preference, own zone first.
#[derive(Clone, Debug)]
pub(super) struct Zones {
    /// All zones, own zone first.
    pub order: Vec<ZoneName>,
    /// Zones whose coordinator is known.
    pub heads: BTreeSet<ZoneName>,
}

impl Zones {
    /// Replaces the zones whose coordinator is known; new ones go to the end of the order.
    pub fn set_heads(&mut self, heads: BTreeSet<ZoneName>) {
        for zone in &heads {
            if !self.order.contains(zone) {
                self.order.push(zone.clone());
            }
        }
        self.heads = heads;
    }
}

/// Where to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// This zone.
    Zone(ZoneName),
    /// Every zone is silent or sends us on. All are asked again, since one may change its mind.
    Nowhere {
        /// The zones.
        zones: Vec<ZoneName>,
        /// Whether one of them is silent, so that the artifact may have a place there.
        is_any_silent: bool,
    },
}

/// What waiting requests may hope for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Hope {
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
    /// Takes an answer, unless it is older than the last one taken. Returns whether it was taken.
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
        self.confirmed = now;
        self.unanswered_since = None;
    }

    /// What names the latest answer, if the zone has given one.
    pub fn version(&self) -> Option<AnswerVersion> {
        let (_, answer) = self.answer.as_ref()?;
        Some(answer.version())
    }

    /// Whether its coordinator counts on requests of this gateway, or should.
    pub fn is_in_use(&self) -> bool {
        self.running > 0 || self.arrivals > 0 || self.told_running > 0
    }

    /// Whether the coordinator should hear again of requests that run.
    pub fn renewal_is_due(&self, now: Timestamp, settings: &AdmissionSettings) -> bool {
        let is_news = has_changed(self.told_running, self.running);
        let period = if is_news || self.unanswered_since.is_some() {
            settings.running_demand_period
        } else {
            settings.renewal_period
        };
        self.may_ask(now, period)
    }

    fn standing(&self, now: Timestamp, settings: &AdmissionSettings) -> Standing<'_> {
        let silent_for = self.unanswered_since.map(|since| now.since(since));
        let silence = settings.zone_patience..settings.zone_patience + settings.zone_recheck;
        if silent_for.is_some_and(|duration| silence.contains(&duration)) {
            return Standing::Silent;
        }
        match self.fresh_answer(now, settings.zone_recheck) {
            Some((_, answer)) => match &answer.outlook {
                Outlook::Elsewhere { zones } => Standing::Elsewhere(zones),
                _ => Standing::Open,
            },
            None => Standing::Open,
        }
    }

    fn fresh_answer(
        &self,
        now: Timestamp,
        validity: Duration,
    ) -> Option<(Timestamp, &RouteAnswer)> {
        let (received, answer) = self.answer.as_ref()?;
        (now.since(self.confirmed) < validity).then_some((*received, answer))
    }

    /// Whether a demand may be sent now.
    pub fn may_ask(&self, now: Timestamp, period: Duration) -> bool {
        self.asked.is_none_or(|asked| now.since(asked) >= period)
    }

    /// Notes that a demand is sent now.
    pub fn note_asked(&mut self, now: Timestamp, settings: &AdmissionSettings) {
        self.asked = Some(now);
        self.arrivals = 0;
        self.told_running = self.running;
        let silence = settings.zone_patience + settings.zone_recheck;
        let expired = self
            .unanswered_since
            .is_none_or(|since| now.since(since) >= silence);
        if expired {
            self.unanswered_since = Some(now);
        }
    }

    /// The replicas last told.
    pub fn ready(&self) -> &[Replica] {
        self.answer
            .as_ref()
            .map_or(&[], |(_, answer)| answer.ready.as_slice())
    }

    fn hope(&self, now: Timestamp, settings: &AdmissionSettings) -> Hope {
        let Some((received, answer)) = self.fresh_answer(now, settings.coordinator_grace) else {
            return Hope::Unknown;
        };
        match &answer.outlook {
            Outlook::Ready => Hope::Ready,
            Outlook::Loading { estimate_ms } => {
                Hope::At(received + Duration::from_millis(*estimate_ms))
            }
            Outlook::Elsewhere { .. } => Hope::Unknown,
            Outlook::Refused {
                code,
                retry_after_ms,
            } => {
                let retry_after = Duration::from_millis(*retry_after_ms);
                let age = now.since(received);
                // A refusal stands for those who wait when it comes, and shortly after; then the
                // zone is asked again, since callers who were told to come back may be back.
                if age > Duration::ZERO && age >= retry_after.min(settings.demand_period) {
                    return Hope::Unknown;
                }
                let left = retry_after.saturating_sub(age);
                Hope::Refused(Refusal::new(*code).with_retry_after(left))
            }
        }
    }
}

/// Whether a number of requests has doubled or fallen by half since it was told.
fn has_changed(told: u32, now: u32) -> bool {
    told != now && (now >= told.saturating_mul(2) || now.saturating_mul(2) <= told)
}

/// What all zones have told about one artifact.
#[derive(Clone, Debug, Default)]
pub(super) struct Routes {
    zones: BTreeMap<ZoneName, ZoneRoute>,
}

impl Routes {
    /// What a zone has told.
    pub fn zone(&self, zone: &ZoneName) -> Option<&ZoneRoute> {
        self.zones.get(zone)
    }

    /// What a zone has told, to be changed.
    pub fn zone_mut(&mut self, zone: &ZoneName) -> &mut ZoneRoute {
        self.zones.entry(zone.clone()).or_default()
    }

    /// The zones with their routes.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneName, &ZoneRoute)> {
        self.zones.iter()
    }

    /// Whether some zone has a replica.
    pub fn has_replica(&self) -> bool {
        self.zones.values().any(|route| !route.ready().is_empty())
    }

    /// Takes an answer, unless it is older than the last one taken from that zone.
    pub fn apply(&mut self, now: Timestamp, answer: RouteAnswer) -> bool {
        let zone = answer.zone.clone();
        self.zone_mut(&zone).apply(now, answer)
    }

    /// Takes word of a zone that some of its answers still hold.
    pub fn confirm(&mut self, now: Timestamp, held: &HeldAnswers) {
        let Some(route) = self.zones.get_mut(&held.zone) else {
            return;
        };
        let is_held = route.version().is_some_and(|version| {
            version.term == held.term && held.sequences.contains(&version.sequence)
        });
        if is_held {
            route.confirm(now);
        }
    }

    /// The zone to ask now: the own zone first, then those it names, then the others in order.
    pub fn target(&self, now: Timestamp, zones: &Zones, settings: &AdmissionSettings) -> Target {
        let mut next: VecDeque<ZoneName> = zones.order.first().cloned().into_iter().collect();
        let mut visited = Vec::new();
        let mut is_any_silent = false;
        while let Some(zone) = next.pop_front() {
            if visited.contains(&zone) {
                continue;
            }
            match self.standing(&zone, now, zones, settings) {
                Standing::Open => return Target::Zone(zone),
                Standing::Elsewhere(named) => {
                    named
                        .iter()
                        .rev()
                        .for_each(|zone| next.push_front(zone.clone()));
                }
                Standing::Silent => {
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

    fn standing(
        &self,
        zone: &ZoneName,
        now: Timestamp,
        zones: &Zones,
        settings: &AdmissionSettings,
    ) -> Standing<'_> {
        if !zones.heads.contains(zone) {
            return Standing::Silent;
        }
        self.zones
            .get(zone)
            .map_or(Standing::Open, |route| route.standing(now, settings))
    }

    /// What a zone lets waiting requests hope for.
    pub fn hope(&self, zone: &ZoneName, now: Timestamp, settings: &AdmissionSettings) -> Hope {
        self.zones
            .get(zone)
            .map_or(Hope::Unknown, |route| route.hope(now, settings))
    }
}
