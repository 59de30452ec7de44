//! Open-loop load: requests are sent when they are due, whether earlier ones have ended or not, and
//! latencies count from when each was due. So a stalled server cannot hide its stall.

mod result;

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use indicatif::{ProgressBar, ProgressStyle};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use reqwest::{Client, Url};
use tokio::task::JoinSet;

pub use result::{LoadResult, Tally, table};

use crate::client::{Answer, Question, ask};

/// Scheme of the targets.
const SCHEME: &str = "http";

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Base URLs, taken in turn.
    pub targets: Vec<String>,
    /// Models, chosen at random.
    pub models: Vec<String>,
    /// Requests a second, on average; exponential pauses.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Time between bursts, if there are any.
    pub burst_every: Option<Duration>,
    /// Requests of one burst, all for one model, spread over all targets.
    pub burst_size: u32,
    /// Tokens wanted of each.
    pub max_tokens: u32,
    /// Whether answers come token by token.
    pub streamed: bool,
    /// Deadline for the first token.
    pub deadline: Duration,
    /// Requests outstanding at one time; what is due beyond that is not sent and is counted so.
    pub outstanding_limit: usize,
    /// Seed of pauses and models.
    pub seed: u64,
}

/// One request that is due at some time after the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due {
    /// When.
    pub after: Duration,
    /// Position of the target.
    pub target: usize,
    /// Position of the model.
    pub model: usize,
}

impl LoadPlan {
    /// Every request of the plan, in order of time.
    ///
    /// # Errors
    /// Fails if the plan names no target or model, or no positive rate.
    pub fn schedule(&self) -> Result<Vec<Due>> {
        ensure!(!self.targets.is_empty(), "name at least one target");
        ensure!(!self.models.is_empty(), "name at least one model");
        ensure!(self.rate > 0.0, "the rate is positive");
        let mut generator = ChaCha8Rng::seed_from_u64(self.seed);
        let pause = Exp::new(self.rate)?;
        let mut due = Vec::new();
        let mut after = Duration::from_secs_f64(pause.sample(&mut generator));
        while after < self.duration {
            due.push(Due {
                after,
                target: due.len() % self.targets.len(),
                model: generator.random_range(0..self.models.len()),
            });
            after += Duration::from_secs_f64(pause.sample(&mut generator));
        }
        if let Some(every) = self.burst_every.filter(|every| !every.is_zero()) {
            let mut after = every;
            while after < self.duration {
                let model = generator.random_range(0..self.models.len());
                due.extend((0..self.burst_size).map(|number| Due {
                    after,
                    target: number as usize % self.targets.len(),
                    model,
                }));
                after += every;
            }
        }
        due.sort_by_key(|due| due.after);
        Ok(due)
    }

    /// Checks that requests can be sent to the targets; a run against none would only count breaks.
    fn check_targets(&self) -> Result<()> {
        for target in &self.targets {
            let is_url = Url::parse(target).is_ok_and(|url| url.scheme() == SCHEME);
            ensure!(is_url, "{target} is no URL such as http://127.0.0.1:8700");
        }
        Ok(())
    }

    fn question(&self, due: &Due) -> Question {
        let model = self.models[due.model].clone();
        Question {
            target: self.targets[due.target].clone(),
            prompt: format!("Report on the state of {model}."),
            model,
            max_tokens: self.max_tokens,
            streamed: self.streamed,
            deadline: self.deadline,
        }
    }
}

/// Sends a plan's requests and returns a result for all and for each model.
///
/// # Errors
/// Fails if the plan is not valid or the client cannot be set up.
pub async fn run(plan: LoadPlan) -> Result<Vec<LoadResult>> {
    plan.check_targets()?;
    let schedule = plan.schedule()?;
    let client = Client::builder().build()?;
    let plan = Arc::new(plan);
    let progress =
        ProgressBar::new(schedule.len() as u64).with_style(ProgressStyle::with_template(
            "{elapsed_precise} {bar:40} {pos} of {len} due, {msg} outstanding",
        )?);
    progress.set_message("0");
    let mut tally = Tally::new(&plan.models);
    let mut asked: JoinSet<(usize, Answer)> = JoinSet::new();
    let start = Instant::now();
    for due in schedule {
        let at = start + due.after;
        wait(at, &mut asked, &mut tally).await;
        progress.inc(1);
        progress.set_message(asked.len().to_string());
        if asked.len() >= plan.outstanding_limit {
            tally.not_sent(due.model);
            continue;
        }
        let (client, plan) = (client.clone(), Arc::clone(&plan));
        asked.spawn(async move {
            let question = plan.question(&due);
            (due.model, ask(&client, &question, at).await)
        });
    }
    while let Some(ended) = asked.join_next().await {
        let (model, answer) = ended?;
        tally.ended(model, &answer);
        progress.set_message(asked.len().to_string());
    }
    progress.finish_and_clear();
    Ok(tally.results(start.elapsed()))
}

/// Waits until a moment, taking in what ends meanwhile.
async fn wait(until: Instant, asked: &mut JoinSet<(usize, Answer)>, tally: &mut Tally) {
    loop {
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(until.into()) => return,
            Some(Ok((model, answer))) = asked.join_next() => tally.ended(model, &answer),
        }
    }
}
