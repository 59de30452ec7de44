//! The gateways of the zone: the last answer that each has received, and the time of its next
//! demand.
//!
//! They follow the rules of `control::admission`: a demand names the last answer received; demand
//! with waiting requests is sent every second, demand with running requests every 20 s, and the end
//! of demand after 2 s.

use std::collections::BTreeMap;

use flaxward_types::routing::{AnswerVersion, RouteAnswer};
use flaxward_types::{ArtifactId, DaemonName};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Number of daemons in the zone, each of which is a gateway.
const GATEWAYS: usize = 29;
/// Number of gateways that use an artifact that is not busy.
const GATEWAYS_PER_RARE_ARTIFACT: usize = 2;
/// Time between renewals of a demand without waiting requests.
const RENEWAL_MILLIS: u64 = 20_000;

/// One gateway's use of one artifact.
#[derive(Default)]
struct ArtifactUse {
    last_answer: Option<AnswerVersion>,
    next_demand: u64,
}

/// All gateways of the zone.
pub struct Gateways {
    names: Vec<DaemonName>,
    uses: BTreeMap<ArtifactId, BTreeMap<DaemonName, ArtifactUse>>,
}

impl Gateways {
    pub fn new() -> Self {
        let name = |number| DaemonName::literal(&format!("daemon-{number:02}"));
        Self {
            names: (0..GATEWAYS).map(name).collect(),
            uses: BTreeMap::new(),
        }
    }

    /// The first gateway by name.
    pub fn first(&self) -> &DaemonName {
        &self.names[0]
    }

    /// All gateways for a busy artifact, a few random ones otherwise.
    pub fn choose(&self, is_busy: bool, generator: &mut ChaCha8Rng) -> Vec<DaemonName> {
        if is_busy {
            return self.names.clone();
        }
        let first = generator.random_range(0..GATEWAYS);
        let chosen = (0..GATEWAYS_PER_RARE_ARTIFACT).map(|step| (first + step) % GATEWAYS);
        chosen.map(|number| self.names[number].clone()).collect()
    }

    /// Gateways that use an artifact.
    pub fn using(&self, artifact: &ArtifactId) -> Vec<DaemonName> {
        let uses = self.uses.get(artifact);
        uses.into_iter()
            .flat_map(|uses| uses.keys())
            .cloned()
            .collect()
    }

    /// Sets the time of a gateway's next demand, replacing an earlier setting.
    pub fn schedule_demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId, time: u64) {
        let uses = self.uses.entry(artifact.clone()).or_default();
        uses.entry(gateway.clone()).or_default().next_demand = time;
    }

    /// Whether a gateway's next demand is due at exactly this time.
    pub fn is_due(&self, gateway: &DaemonName, artifact: &ArtifactId, time: u64) -> bool {
        let entry = self.entry(gateway, artifact);
        entry.is_some_and(|entry| entry.next_demand == time)
    }

    /// The version of the last answer that a gateway received.
    pub fn last_answer(
        &self,
        gateway: &DaemonName,
        artifact: &ArtifactId,
    ) -> Option<AnswerVersion> {
        self.entry(gateway, artifact)?.last_answer
    }

    /// Records the answer that a gateway received.
    pub fn record_answer(&mut self, gateway: &DaemonName, answer: &RouteAnswer) {
        let uses = self.uses.get_mut(&answer.artifact);
        if let Some(entry) = uses.and_then(|uses| uses.get_mut(gateway)) {
            entry.last_answer = Some(answer.version());
        }
    }

    /// Ends a gateway's use of an artifact.
    pub fn remove(&mut self, gateway: &DaemonName, artifact: &ArtifactId) {
        if let Some(uses) = self.uses.get_mut(artifact) {
            uses.remove(gateway);
        }
    }

    /// Time until a gateway renews its demands without waiting requests. It sends all of them in
    /// one message, and the gateways are spread evenly over the period.
    pub fn until_renewal(&self, gateway: &DaemonName, now: u64) -> u64 {
        let index = self.names.iter().position(|name| name == gateway);
        let index = index.expect("a gateway of the zone");
        let phase = RENEWAL_MILLIS * index as u64 / GATEWAYS as u64;
        RENEWAL_MILLIS - (now + RENEWAL_MILLIS - phase) % RENEWAL_MILLIS
    }

    fn entry(&self, gateway: &DaemonName, artifact: &ArtifactId) -> Option<&ArtifactUse> {
        self.uses.get(artifact)?.get(gateway)
    }
}
