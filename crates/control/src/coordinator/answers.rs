//! Answers to the gateways: at once to each demand, and unasked when something changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::routing::{Outlook, Replica, RouteAnswer};
use flaxward_types::{ArtifactId, DaemonName, ResultCode, Timestamp};

use super::interface::{CoordinatorAction, DecisionKind};
use super::leading::{Block, Context, Leading};
use super::loads::Tier;

/// Estimate added while something else has to happen before the load.
const PREPARATION: Duration = Duration::from_secs(1);
/// Estimates that grow by less than this are not worth an answer.
const ESTIMATE_SLACK: Duration = Duration::from_secs(1);
/// When to ask again about a model that is not configured.
const ASK_AGAIN_UNKNOWN: Duration = Duration::from_secs(1);

/// What was last answered about an artifact.
#[derive(Clone, Debug)]
struct Sent {
    ready: Vec<Replica>,
    outlook: Outlook,
    at: Timestamp,
}

/// What was answered to whom.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    sequence: u64,
    sent: BTreeMap<ArtifactId, Sent>,
    /// Gateways that know of ready replicas and must hear when they go.
    informed: BTreeMap<ArtifactId, BTreeSet<DaemonName>>,
}

impl Answers {
    /// Artifacts about which something was answered.
    pub(super) fn artifacts(&self) -> impl Iterator<Item = &ArtifactId> {
        self.sent.keys().chain(self.informed.keys())
    }

    /// Forgets a gateway.
    pub(super) fn forget_gateway(&mut self, gateway: &DaemonName) {
        for gateways in self.informed.values_mut() {
            gateways.remove(gateway);
        }
    }
}

impl Leading {
    /// Answers one gateway, unless it is being answered anyway.
    pub(super) fn answer_gateway(
        &mut self,
        gateway: &DaemonName,
        artifact: &ArtifactId,
        context: &Context,
    ) {
        let answered = self.actions.iter().any(|action| {
            matches!(action, CoordinatorAction::Answer(to, answer)
                if to == gateway && answer.artifact == *artifact)
        });
        if self.placement.fenced() && !answered {
            let (ready, outlook) = self.state_of(artifact, context);
            self.send_answer(gateway, artifact, ready, outlook, context);
        }
    }

    /// Answers every gateway concerned by what has changed about some artifacts.
    pub(super) fn answer_changes(&mut self, focus: &BTreeSet<ArtifactId>, context: &Context) {
        if !self.placement.fenced() {
            return;
        }
        for artifact in focus {
            let demanded = context.demands.is_demanded(artifact);
            if !demanded && !self.answers.informed.contains_key(artifact) {
                self.answers.sent.remove(artifact);
                continue;
            }
            let (ready, outlook) = self.state_of(artifact, context);
            let sent = self.answers.sent.get(artifact);
            if sent.is_some_and(|sent| sent.still_holds(&ready, &outlook, context.now)) {
                continue;
            }
            self.record_refusal(artifact, &outlook);
            let mut gateways: BTreeSet<DaemonName> =
                context.demands.gateways(artifact).cloned().collect();
            gateways.extend(self.answers.informed.remove(artifact).unwrap_or_default());
            for gateway in gateways {
                self.send_answer(&gateway, artifact, ready.clone(), outlook.clone(), context);
            }
        }
    }

    fn record_refusal(&mut self, artifact: &ArtifactId, outlook: &Outlook) {
        let Outlook::Refused { code, .. } = outlook else {
            return;
        };
        let before = self.answers.sent.get(artifact).map(|sent| &sent.outlook);
        let known = matches!(before, Some(Outlook::Refused { code: before, .. }) if before == code);
        if !known {
            self.record(artifact, DecisionKind::Refuse(*code));
        }
    }

    fn send_answer(
        &mut self,
        gateway: &DaemonName,
        artifact: &ArtifactId,
        ready: Vec<Replica>,
        outlook: Outlook,
        context: &Context,
    ) {
        let answers = &mut self.answers;
        answers.sequence += 1;
        if !ready.is_empty() {
            let informed = answers.informed.entry(artifact.clone()).or_default();
            informed.insert(gateway.clone());
        }
        let sent = Sent {
            ready: ready.clone(),
            outlook: outlook.clone(),
            at: context.now,
        };
        answers.sent.insert(artifact.clone(), sent);
        let answer = RouteAnswer {
            artifact: artifact.clone(),
            zone: context.zone.clone(),
            term: self.term,
            sequence: answers.sequence,
            ready,
            outlook,
        };
        self.actions
            .push(CoordinatorAction::Answer(gateway.clone(), answer));
    }

    /// Replicas of an artifact that take requests, and what those who find none can expect.
    fn state_of(&self, artifact: &ArtifactId, context: &Context) -> (Vec<Replica>, Outlook) {
        if context.configuration.bytes(artifact).is_none() {
            let code = if context.has_configuration() {
                ResultCode::UnknownModel
            } else {
                ResultCode::NoConfiguration
            };
            let outlook = refused(code, ASK_AGAIN_UNKNOWN);
            return (Vec::new(), outlook);
        }
        let ready: Vec<Replica> = self
            .ready_on(artifact, context.now)
            .filter_map(|name| {
                let runner = self.runners.get(name)?;
                Some(Replica {
                    runner: name.clone(),
                    address: runner.address.clone(),
                    outstanding: runner.report.running + runner.report.waiting,
                })
            })
            .collect();
        if !ready.is_empty() {
            return (ready, Outlook::Ready);
        }
        (ready, self.outlook(artifact, context))
    }

    fn outlook(&self, artifact: &ArtifactId, context: &Context) -> Outlook {
        let bytes = context.configuration.bytes(artifact).unwrap_or(0);
        let own = self.speeds.duration(Tier::Remote, bytes);
        if let Some(remaining) = self.shortest_load(artifact, context.now) {
            let base = artifact
                .is_adapter()
                .then(|| self.shortest_load(&artifact.base(), context.now));
            return loading(remaining + base.flatten().unwrap_or_default());
        }
        if artifact.is_adapter()
            && let Some(remaining) = self.shortest_load(&artifact.base(), context.now)
        {
            return loading(remaining + own);
        }
        match self.blocks.get(artifact) {
            Some(Block::Refused(code, after)) => refused(*code, *after),
            Some(Block::Elsewhere(zones)) => Outlook::Elsewhere {
                zones: zones.clone(),
            },
            Some(Block::Waiting) | None => loading(own + PREPARATION),
        }
    }

    fn shortest_load(&self, artifact: &ArtifactId, now: Timestamp) -> Option<Duration> {
        let loads = self
            .loads
            .iter()
            .filter(|(slot, _)| slot.artifact == *artifact && self.serves(&slot.runner, now));
        loads.map(|(_, load)| load.remaining(now)).min()
    }
}

impl Sent {
    /// Whether the answer need not be sent again.
    fn still_holds(&self, ready: &[Replica], outlook: &Outlook, now: Timestamp) -> bool {
        let same_replicas = self.ready.len() == ready.len()
            && self
                .ready
                .iter()
                .zip(ready)
                .all(|(old, new)| old.runner == new.runner && old.address == new.address);
        let same_outlook = match (&self.outlook, outlook) {
            (Outlook::Loading { estimate_ms: old }, Outlook::Loading { estimate_ms: new }) => {
                let left = Duration::from_millis(*old).saturating_sub(now.since(self.at));
                let slack = ESTIMATE_SLACK.max(left / 4);
                Duration::from_millis(*new) <= left + slack
            }
            (Outlook::Refused { code: old, .. }, Outlook::Refused { code: new, .. }) => old == new,
            (old, new) => old == new,
        };
        same_replicas && same_outlook
    }
}

fn loading(estimate: Duration) -> Outlook {
    Outlook::Loading {
        estimate_ms: millis(estimate),
    }
}

fn refused(code: ResultCode, after: Duration) -> Outlook {
    Outlook::Refused {
        code,
        retry_after_ms: millis(after),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
