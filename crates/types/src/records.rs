//! Records that flaxward itself keeps in the object API: what must outlive every daemon.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::code::ResultCode;
use crate::ids::{ArtifactId, AttemptId, DaemonName, Revision, RunnerName, Term, ZoneName};

/// Who coordinates a zone, and under which term. Taken and renewed by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLease {
    /// The holder, or `None` after a planned hand-back.
    pub holder: Option<DaemonName>,
    /// The term; rises with every change of holder. Also the fencing token of the holder's orders.
    pub term: Term,
    /// How long the holder may decide after a renewal, in milliseconds.
    pub duration_ms: u64,
    /// Rises with every renewal, so that a watcher sees that the holder lives.
    pub renewals: u64,
}

/// A recorded permission: `artifact` may be on `runner`, now or after some order in flight.
///
/// The slots of a zone bound from above everything its runners can hold, whoever sent the orders.
/// A slot is recorded before the first order that uses it and removed only when the runner has
/// confirmed, under the current term, that it does not hold the artifact, or is gone for good.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot {
    /// What may be loaded.
    pub artifact: ArtifactId,
    /// Where.
    pub runner: RunnerName,
}

/// The slots of one zone. Written only by the holder of the zone's lease: a write carries the term
/// and the version read, so a former holder's write fails once the next has written its term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePlacement {
    /// Term of the coordinator that wrote this.
    pub term: Term,
    /// The slots.
    pub slots: Vec<Slot>,
}

/// What a quota counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum QuotaSubject {
    /// Replicas of the base weights of a model, over all versions.
    Model(crate::ids::ModelName),
    /// Replicas of an adapter.
    Adapter(crate::ids::ModelName, crate::ids::AdapterName),
    /// Parallel loads from the weight store.
    WeightStore,
}

/// How the copies that a rule allows are split among zones. One record per subject, so that moving
/// units is one compare-and-swap by the giver, after it has freed them: the sum never passes the
/// rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// What is counted.
    pub subject: QuotaSubject,
    /// The rule's limit that the split was made for.
    pub limit: u32,
    /// Units each zone may use.
    pub units: BTreeMap<ZoneName, u32>,
    /// Units that zones ask for, granted by zones that can spare them.
    pub wanted: BTreeMap<ZoneName, u32>,
    /// Revision of the configuration item that the limit was taken from; a zone that has an older
    /// configuration in force leaves the limit alone.
    pub rule: Revision,
    /// Term under which each zone last wrote this record. A coordinator adds slots only after it
    /// has written the record under its own term, so that a former coordinator of its zone cannot
    /// give units away any more.
    pub terms: BTreeMap<ZoneName, Term>,
}

/// State of a request that may not be repeated, recorded under its idempotency key before the
/// request is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the request, to notice a key used for another one.
    pub request_digest: String,
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// The daemon that sends it.
    pub daemon: DaemonName,
    /// Wall-clock second after which the record may be removed.
    pub expires_unix: u64,
    /// The group of claims that it is selected and removed with; none in records of before.
    #[serde(default)]
    pub removal_group: String,
    /// Wall-clock second from which a claim still in progress counts as abandoned: the request's
    /// deadline and a margin have passed, so its daemon has answered it or is gone.
    #[serde(default)]
    pub abandoned_unix: u64,
    /// What became of it.
    pub outcome: ClaimOutcome,
}

/// What became of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claim is recorded; the request may be running.
    InProgress,
    /// It was answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// The answer, if it is short enough to keep.
        body: Option<String>,
    },
    /// It certainly did not run; the key may be used again.
    NotRun(ResultCode),
    /// Nobody knows whether it ran.
    Unknown,
}
