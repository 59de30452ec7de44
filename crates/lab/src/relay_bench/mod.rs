//! What a relay costs: the same requests to an engine stand-in directly, through a bare
//! pass-through of the same libraries, and through a daemon, side by side in one run.
//!
//! The pass-through and the daemon each have one thread, whose processor time the kernel tells;
//! engine and callers have threads of their own. The ways take turns in every round, so that what
//! else the machine does falls on all of them, and ratios are taken within a round.

mod askers;
mod command;
mod one_core;
mod pass_through;
mod region;
mod result;

use std::time::Duration;

use anyhow::Result;

pub use command::{RelayBenchArguments, relay_bench};
pub use result::{BenchResult, Ratio, table};

use askers::{Asked, Asking, ask_for};
use region::{Region, Target};
use result::{Round, results};

/// Tokens of an answer where the way is kept busy.
const SHORT_ANSWER: u32 = 64;
/// Tokens of an answer at the target: 31,000 tokens over 114 requests a second.
const TARGET_ANSWER: u32 = 272;

/// How to measure.
#[derive(Clone, Debug)]
pub struct BenchPlan {
    /// Times that each way has its turn.
    pub rounds: u32,
    /// How long a way is measured in each turn.
    pub span: Duration,
    /// Requests at one time while a way is kept busy.
    pub connections: usize,
    /// Streams at one time while tokens come at the pace of an engine.
    pub paced_streams: usize,
    /// Time between the tokens of such a stream.
    pub pace: Duration,
}

/// A way to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// The engine itself.
    Direct,
    /// Salvo in front, reqwest behind, no checks, on one core.
    PassThrough,
    /// A daemon on one core.
    Daemon,
}

impl Way {
    const ALL: [Self; 3] = [Self::Direct, Self::PassThrough, Self::Daemon];

    /// Its name, for people.
    pub fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::PassThrough => "pass-through",
            Self::Daemon => "daemon",
        }
    }
}

/// What is asked of every way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// One stream after the other.
    StreamedAlone,
    /// One whole answer after the other.
    WholeAlone,
    /// Many streams at one time, whose tokens come as fast as they are taken, many in a packet.
    StreamedBusy,
    /// Many whole answers at one time.
    WholeBusy,
    /// Many streams at one time, whose tokens come one by one at the pace of an engine.
    Paced,
}

impl Workload {
    /// Those before engines that take no time.
    const UNPACED: [Self; 4] = [
        Self::StreamedAlone,
        Self::WholeAlone,
        Self::StreamedBusy,
        Self::WholeBusy,
    ];

    /// Its name, for people.
    pub fn name(self) -> &'static str {
        match self {
            Self::StreamedAlone => "streamed, alone",
            Self::WholeAlone => "whole, alone",
            Self::StreamedBusy => "streamed, busy",
            Self::WholeBusy => "whole, busy",
            Self::Paced => "streamed, paced",
        }
    }

    /// Whether answers come token by token.
    pub fn is_streamed(self) -> bool {
        matches!(self, Self::StreamedAlone | Self::StreamedBusy | Self::Paced)
    }

    /// Whether requests come one at a time.
    pub fn is_alone(self) -> bool {
        matches!(self, Self::StreamedAlone | Self::WholeAlone)
    }

    fn tokens(self) -> u32 {
        match self {
            Self::Paced => TARGET_ANSWER,
            _ => SHORT_ANSWER,
        }
    }

    fn askers(self, plan: &BenchPlan) -> usize {
        match self {
            Self::StreamedAlone | Self::WholeAlone => 1,
            Self::StreamedBusy | Self::WholeBusy => plan.connections,
            Self::Paced => plan.paced_streams,
        }
    }
}

/// Measures every way under every workload.
///
/// # Errors
/// Fails if a stand-in, the pass-through or the daemon cannot be started or does not answer.
pub async fn run(plan: &BenchPlan) -> Result<Vec<BenchResult>> {
    let mut all = measure(plan, Duration::ZERO, &Workload::UNPACED).await?;
    all.extend(measure(plan, plan.pace, &[Workload::Paced]).await?);
    Ok(all)
}

/// Measures workloads before an engine of one pace.
async fn measure(
    plan: &BenchPlan,
    pace: Duration,
    workloads: &[Workload],
) -> Result<Vec<BenchResult>> {
    let region = Region::start(pace).await?;
    let mut all = Vec::new();
    for workload in workloads {
        let mut rounds = Vec::new();
        for _ in 0..plan.rounds {
            rounds.push(round(plan, &region, *workload).await?);
        }
        all.extend(results(*workload, &rounds));
    }
    region.stop().await?;
    Ok(all)
}

/// Gives each way one turn.
async fn round(plan: &BenchPlan, region: &Region, workload: Workload) -> Result<Round> {
    let mut round = Round::new();
    for way in Way::ALL {
        // The daemon may have let the model go while the others had their turns.
        region.wake().await?;
        let asked = turn(plan, &region.target(way), workload).await?;
        round.insert(way, asked);
    }
    Ok(round)
}

async fn turn(plan: &BenchPlan, target: &Target<'_>, workload: Workload) -> Result<Asked> {
    let asking = Asking {
        url: target.url.clone(),
        model: target.model.clone(),
        tokens: workload.tokens(),
        streamed: workload.is_streamed(),
        askers: workload.askers(plan),
    };
    ask_for(&asking, target.core, plan.span).await
}
