//! Answers to gateways: in response to each demand, and unsolicited when something changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::routing::{AnswerVersion, Outlook, Replica, RouteAnswer};
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, DaemonName, ResultCode, Timestamp};

use super::interface::{CoordinatorAction, DecisionKind};
use super::leading::{Block, Context, Leading};
use super::loads::Tier;
use super::sample::{SAMPLE_SIZE, sample};
use crate::observation::is_similar_load;

/// Added to the estimate while another operation must complete before the load.
const PREPARATION_ESTIMATE: Duration = Duration::from_secs(1);
/// An estimate that grows by less than this does not cause a new answer.
const ESTIMATE_SLACK: Duration = Duration::from_secs(1);
/// Retry interval given for a model that is not configured.
const UNKNOWN_MODEL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A gateway's query about an artifact.
#[derive(Clone, Debug)]
pub(super) struct GatewayQuery {
    pub(super) gateway: DaemonName,
    pub(super) artifact: ArtifactId,
    /// Version of the answer that the gateway has.
    pub(super) known: Option<AnswerVersion>,
}

/// State of an artifact when gateways were last answered about it.
#[derive(Clone, Debug)]
struct PublishedState {
    ready: Vec<Replica>,
    outlook: Outlook,
    at: Timestamp,
}

/// Ready replicas that were announced to one gateway.
#[derive(Clone, Debug)]
struct Announced {
    version: AnswerVersion,
    sample: Vec<Replica>,
}

/// Answers that were sent to gateways.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    sequence: u64,
    published: BTreeMap<ArtifactId, PublishedState>,
    /// Gateways that know of ready replicas and must be notified when these are removed.
    announced: BTreeMap<ArtifactId, BTreeMap<DaemonName, Announced>>,
}

impl Answers {
    /// Artifacts for which an answer was sent.
    pub(super) fn artifacts(&self) -> impl Iterator<Item = &ArtifactId> {
        self.published.keys().chain(self.announced.keys())
    }

    /// Removes a gateway.
    pub(super) fn remove_gateway(&mut self, gateway: &DaemonName) {
        for gateways in self.announced.values_mut() {
            gateways.remove(gateway);
        }
        self.announced.retain(|_, gateways| !gateways.is_empty());
    }

    fn announced(&self, artifact: &ArtifactId, gateway: &DaemonName) -> Option<&Announced> {
        self.announced.get(artifact)?.get(gateway)
    }

    /// Records the replicas that a gateway knows from now on.
    fn record_announced(
        &mut self,
        artifact: &ArtifactId,
        gateway: &DaemonName,
        announced: Announced,
    ) {
        if announced.sample.is_empty() {
            if let Some(gateways) = self.announced.get_mut(artifact) {
                gateways.remove(gateway);
            }
            return;
        }
        let gateways = self.announced.entry(artifact.clone()).or_default();
        gateways.insert(gateway.clone(), announced);
    }

    /// Gateways that know of ready replicas of an artifact.
    fn informed_gateways(&self, artifact: &ArtifactId) -> impl Iterator<Item = &DaemonName> {
        let gateways = self.announced.get(artifact);
        gateways.into_iter().flat_map(BTreeMap::keys)
    }
}

impl Announced {
    /// Whether the sample names the runners that the gateway already knows.
    fn has_same_runners(&self, sample: &[Replica]) -> bool {
        same_runners(&self.sample, sample)
    }

    /// Whether the announced loads are still accurate enough for routing.
    fn has_similar_loads(&self, sample: &[Replica]) -> bool {
        let mut pairs = self.sample.iter().zip(sample);
        pairs.all(|(old, new)| is_similar_load(old.outstanding, new.outstanding))
    }
}

impl Leading {
    /// Answers one gateway, unless an answer to it is already among the actions. An answer that it
    /// already has is confirmed in a few bytes.
    pub(super) fn answer_gateway(&mut self, query: &GatewayQuery, context: &Context) {
        let GatewayQuery {
            gateway,
            artifact,
            known,
        } = query;
        let answered = self.actions.iter().any(|action| {
            matches!(action, CoordinatorAction::Answer(to, answer)
                if to == gateway && answer.artifact == *artifact)
        });
        if !self.placement.fenced() || answered {
            return;
        }
        let (ready, outlook) = self.routing_state(artifact, context);
        // A change that other gateways must be notified of is left to the next plan.
        let published = self.answers.published.get(artifact);
        if published.is_none_or(|published| published.is_current(&ready, &outlook, context.now)) {
            self.record_published(artifact, &ready, &outlook, context.now);
        }
        let sample = sample(gateway, ready, SAMPLE_SIZE);
        let announced = self.answers.announced(artifact, gateway);
        let unchanged = announced.filter(|announced| {
            Some(announced.version) == *known
                && announced.has_same_runners(&sample)
                && announced.has_similar_loads(&sample)
        });
        match unchanged.map(|announced| announced.version) {
            Some(version) => {
                let action = CoordinatorAction::Confirm(gateway.clone(), version);
                self.actions.push(action);
            }
            None => self.send_answer(gateway, artifact, sample, outlook, context),
        }
    }

    /// Notifies the gateways affected by changes to some artifacts.
    pub(super) fn answer_changes(&mut self, focus: &BTreeSet<ArtifactId>, context: &Context) {
        if !self.placement.fenced() {
            return;
        }
        for artifact in focus {
            let demanded = context.demands.is_demanded(artifact);
            if !demanded && !self.answers.announced.contains_key(artifact) {
                self.answers.published.remove(artifact);
                continue;
            }
            let (ready, outlook) = self.routing_state(artifact, context);
            let published = self.answers.published.get(artifact);
            if published
                .is_some_and(|published| published.is_current(&ready, &outlook, context.now))
            {
                continue;
            }
            self.record_refusal(artifact, &outlook);
            self.record_published(artifact, &ready, &outlook, context.now);
            self.answer_all(artifact, &ready, &outlook, context);
        }
    }

    /// Answers the gateways that want an artifact or know of replicas of it, except those whose
    /// sample is unchanged.
    fn answer_all(
        &mut self,
        artifact: &ArtifactId,
        ready: &[Replica],
        outlook: &Outlook,
        context: &Context,
    ) {
        let mut gateways: BTreeSet<DaemonName> =
            context.demands.gateways(artifact).cloned().collect();
        gateways.extend(self.answers.informed_gateways(artifact).cloned());
        for gateway in gateways {
            let sample = sample(&gateway, ready.to_vec(), SAMPLE_SIZE);
            let announced = self.answers.announced(artifact, &gateway);
            if announced.is_some_and(|announced| announced.has_same_runners(&sample)) {
                continue;
            }
            self.send_answer(&gateway, artifact, sample, outlook.clone(), context);
        }
        if ready.is_empty() {
            self.answers.announced.remove(artifact);
        }
    }

    fn record_refusal(&mut self, artifact: &ArtifactId, outlook: &Outlook) {
        let Outlook::Refused { code, .. } = outlook else {
            return;
        };
        let before = self
            .answers
            .published
            .get(artifact)
            .map(|published| &published.outlook);
        let known = matches!(before, Some(Outlook::Refused { code: before, .. }) if before == code);
        if !known {
            self.record(artifact, DecisionKind::Refuse(*code));
        }
    }

    fn record_published(
        &mut self,
        artifact: &ArtifactId,
        ready: &[Replica],
        outlook: &Outlook,
        now: Timestamp,
    ) {
        let published = PublishedState {
            ready: ready.to_vec(),
            outlook: outlook.clone(),
            at: now,
        };
        self.answers.published.insert(artifact.clone(), published);
    }

    fn send_answer(
        &mut self,
        gateway: &DaemonName,
        artifact: &ArtifactId,
        sample: Vec<Replica>,
        outlook: Outlook,
        context: &Context,
    ) {
        self.answers.sequence += 1;
        let answer = RouteAnswer {
            artifact: artifact.clone(),
            zone: context.zone.clone(),
            term: self.term,
            sequence: self.answers.sequence,
            ready: sample,
            outlook,
        };
        let announced = Announced {
            version: answer.version(),
            sample: answer.ready.clone(),
        };
        self.answers.record_announced(artifact, gateway, announced);
        self.actions
            .push(CoordinatorAction::Answer(gateway.clone(), answer));
    }

    /// Replicas of an artifact that accept requests, and the outlook for callers if there are none.
    fn routing_state(&self, artifact: &ArtifactId, context: &Context) -> (Vec<Replica>, Outlook) {
        if context.configuration.bytes(artifact).is_none() {
            let code = if context.has_configuration() {
                ResultCode::UnknownModel
            } else {
                ResultCode::NoConfiguration
            };
            let outlook = refused(code, UNKNOWN_MODEL_RETRY_AFTER);
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
            Some(Block::Waiting) | None => loading(own + PREPARATION_ESTIMATE),
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

impl PublishedState {
    /// Whether the answer is still valid and need not be sent again.
    fn is_current(&self, ready: &[Replica], outlook: &Outlook, now: Timestamp) -> bool {
        let same_replicas = same_runners(&self.ready, ready);
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

fn same_runners(old: &[Replica], new: &[Replica]) -> bool {
    let same =
        |(old, new): (&Replica, &Replica)| old.runner == new.runner && old.address == new.address;
    old.len() == new.len() && old.iter().zip(new).all(same)
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
