//! Answers to the gateways: at once to each demand, and unasked when something changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::routing::{AnswerVersion, Outlook, Replica, RouteAnswer};
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, DaemonName, ResultCode, Timestamp};

use super::interface::{CoordinatorAction, DecisionKind};
use super::leading::{Block, Context, Leading};
use super::loads::Tier;
use super::sample::{SAMPLE, sample};
use crate::observation::is_similar_load;

/// Estimate added while something else has to happen before the load.
const PREPARATION: Duration = Duration::from_secs(1);
/// Estimates that grow by less than this are not worth an answer.
const ESTIMATE_SLACK: Duration = Duration::from_secs(1);
/// When to ask again about a model that is not configured.
const ASK_AGAIN_UNKNOWN: Duration = Duration::from_secs(1);

/// A gateway that has asked, and what it knows already.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) gateway: DaemonName,
    pub(super) artifact: ArtifactId,
    /// The answer that it holds.
    pub(super) known: Option<AnswerVersion>,
}

/// How an artifact stood when it was last answered about.
#[derive(Clone, Debug)]
struct Sent {
    ready: Vec<Replica>,
    outlook: Outlook,
    at: Timestamp,
}

/// Ready replicas that one gateway was told of.
#[derive(Clone, Debug)]
struct Told {
    version: AnswerVersion,
    sample: Vec<Replica>,
}

/// What was answered to whom.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    sequence: u64,
    sent: BTreeMap<ArtifactId, Sent>,
    /// Gateways that know of ready replicas and must hear when these go.
    told: BTreeMap<ArtifactId, BTreeMap<DaemonName, Told>>,
}

impl Answers {
    /// Artifacts about which something was answered.
    pub(super) fn artifacts(&self) -> impl Iterator<Item = &ArtifactId> {
        self.sent.keys().chain(self.told.keys())
    }

    /// Forgets a gateway.
    pub(super) fn forget_gateway(&mut self, gateway: &DaemonName) {
        for gateways in self.told.values_mut() {
            gateways.remove(gateway);
        }
        self.told.retain(|_, gateways| !gateways.is_empty());
    }

    fn told(&self, artifact: &ArtifactId, gateway: &DaemonName) -> Option<&Told> {
        self.told.get(artifact)?.get(gateway)
    }

    /// Notes what a gateway is told from now on.
    fn note_told(&mut self, artifact: &ArtifactId, gateway: &DaemonName, told: Told) {
        if told.sample.is_empty() {
            if let Some(gateways) = self.told.get_mut(artifact) {
                gateways.remove(gateway);
            }
            return;
        }
        let gateways = self.told.entry(artifact.clone()).or_default();
        gateways.insert(gateway.clone(), told);
    }

    /// Gateways that know of ready replicas of an artifact.
    fn informed(&self, artifact: &ArtifactId) -> impl Iterator<Item = &DaemonName> {
        let gateways = self.told.get(artifact);
        gateways.into_iter().flat_map(BTreeMap::keys)
    }
}

impl Told {
    /// Whether the gateway need not be told this sample, since it knows the same machines.
    fn names(&self, sample: &[Replica]) -> bool {
        same_machines(&self.sample, sample)
    }

    /// Whether the loads told are still near enough to choose by.
    fn has_loads_of(&self, sample: &[Replica]) -> bool {
        let mut pairs = self.sample.iter().zip(sample);
        pairs.all(|(old, new)| is_similar_load(old.outstanding, new.outstanding))
    }
}

impl Leading {
    /// Answers one gateway, unless it is being answered anyway. What it knows already is confirmed
    /// in a few bytes.
    pub(super) fn answer_gateway(&mut self, asked: &Asked, context: &Context) {
        let Asked {
            gateway,
            artifact,
            known,
        } = asked;
        let answered = self.actions.iter().any(|action| {
            matches!(action, CoordinatorAction::Answer(to, answer)
                if to == gateway && answer.artifact == *artifact)
        });
        if !self.placement.fenced() || answered {
            return;
        }
        let (ready, outlook) = self.state_of(artifact, context);
        // A change that others must hear of is left to the next plan.
        let sent = self.answers.sent.get(artifact);
        if sent.is_none_or(|sent| sent.still_holds(&ready, &outlook, context.now)) {
            self.note_sent(artifact, &ready, &outlook, context.now);
        }
        let sample = sample(gateway, ready, SAMPLE);
        let told = self.answers.told(artifact, gateway);
        let held = told.filter(|told| {
            Some(told.version) == *known && told.names(&sample) && told.has_loads_of(&sample)
        });
        match held.map(|told| told.version) {
            Some(version) => {
                let action = CoordinatorAction::Confirm(gateway.clone(), version);
                self.actions.push(action);
            }
            None => self.send_answer(gateway, artifact, sample, outlook, context),
        }
    }

    /// Answers every gateway concerned by what has changed about some artifacts.
    pub(super) fn answer_changes(&mut self, focus: &BTreeSet<ArtifactId>, context: &Context) {
        if !self.placement.fenced() {
            return;
        }
        for artifact in focus {
            let demanded = context.demands.is_demanded(artifact);
            if !demanded && !self.answers.told.contains_key(artifact) {
                self.answers.sent.remove(artifact);
                continue;
            }
            let (ready, outlook) = self.state_of(artifact, context);
            let sent = self.answers.sent.get(artifact);
            if sent.is_some_and(|sent| sent.still_holds(&ready, &outlook, context.now)) {
                continue;
            }
            self.record_refusal(artifact, &outlook);
            self.note_sent(artifact, &ready, &outlook, context.now);
            self.answer_all(artifact, &ready, &outlook, context);
        }
    }

    /// Answers the gateways that want an artifact or know of replicas of it, but none whose sample
    /// has stayed the same.
    fn answer_all(
        &mut self,
        artifact: &ArtifactId,
        ready: &[Replica],
        outlook: &Outlook,
        context: &Context,
    ) {
        let mut gateways: BTreeSet<DaemonName> =
            context.demands.gateways(artifact).cloned().collect();
        gateways.extend(self.answers.informed(artifact).cloned());
        for gateway in gateways {
            let sample = sample(&gateway, ready.to_vec(), SAMPLE);
            let told = self.answers.told(artifact, &gateway);
            if told.is_some_and(|told| told.names(&sample)) {
                continue;
            }
            self.send_answer(&gateway, artifact, sample, outlook.clone(), context);
        }
        if ready.is_empty() {
            self.answers.told.remove(artifact);
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

    fn note_sent(
        &mut self,
        artifact: &ArtifactId,
        ready: &[Replica],
        outlook: &Outlook,
        now: Timestamp,
    ) {
        let sent = Sent {
            ready: ready.to_vec(),
            outlook: outlook.clone(),
            at: now,
        };
        self.answers.sent.insert(artifact.clone(), sent);
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
        let told = Told {
            version: answer.version(),
            sample: answer.ready.clone(),
        };
        self.answers.note_told(artifact, gateway, told);
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
        let same_replicas = same_machines(&self.ready, ready);
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

fn same_machines(old: &[Replica], new: &[Replica]) -> bool {
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
