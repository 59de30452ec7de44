//! Scenario files: machines, models, calls and faults of an experiment, each with its unit.

use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use bytesize::ByteSize;
use figment::Figment;
use figment::providers::{Format, Toml};
use flaxward_types::ZoneName;
use serde::Deserialize;

/// Scenarios that come with the program.
pub const BUILT_IN: [(&str, &str); 2] = [
    ("ventisquero", include_str!("../scenarios/ventisquero.toml")),
    (
        "andrade-velez",
        include_str!("../scenarios/andrade-velez.toml"),
    ),
];

/// One scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Days simulated if not told otherwise.
    pub days: u32,
    /// Weight of cold starts of this deployment, from 0 to 1.
    pub cold_start_weight: f64,
    /// Shortest keep-alive that the deployment allows.
    #[serde(with = "humantime_serde")]
    pub keep_alive_min: Duration,
    /// Longest keep-alive that the deployment allows.
    #[serde(with = "humantime_serde")]
    pub keep_alive_max: Duration,
    /// Zones with their runners.
    pub zones: Vec<ZoneSpec>,
    /// What each runner has.
    pub runner: RunnerSpec,
    /// The weight store.
    pub weight_store: WeightStoreSpec,
    /// How fast engines answer.
    pub engine: EngineSpec,
    /// Delays between processes.
    pub network: NetworkSpec,
    /// Groups of like models.
    pub models: Vec<ModelGroup>,
    /// What fails.
    pub faults: FaultSpec,
}

/// One zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSpec {
    /// Its name.
    pub name: ZoneName,
    /// Runners in it.
    pub runners: u32,
}

/// What each runner has.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerSpec {
    /// Accelerators, whose memory is used as one.
    pub accelerators: u32,
    /// Memory of one accelerator.
    pub accelerator_memory: ByteSize,
    /// Main memory for checkpoints, the least recently loaded dropped first.
    pub memory_cache: ByteSize,
    /// Disk for checkpoints, the least recently loaded dropped first.
    pub disk_cache: ByteSize,
    /// Speed of a load from main memory, a second.
    pub memory_speed: ByteSize,
    /// Speed of a load from disk, a second.
    pub disk_speed: ByteSize,
    /// Time after the weights have arrived until the first request is taken.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Share of checkpoints on the disk of one runner each at the start.
    pub on_disk_at_start: f64,
}

/// The weight store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreSpec {
    /// Loads that may start in a second.
    pub starts_per_second: f64,
    /// Loads at one time at full speed; with more, all slow down in proportion.
    pub parallel: u32,
    /// Speed of one load at full speed, a second.
    pub speed: ByteSize,
}

/// How fast engines answer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Prompt tokens processed in a second.
    pub prefill_tokens_per_second: f64,
    /// Time between tokens of a request that runs alone.
    #[serde(with = "humantime_serde")]
    pub decode_base: Duration,
    /// Time that each further request on the machine adds between tokens.
    #[serde(with = "humantime_serde")]
    pub decode_per_request: Duration,
    /// Requests decoded at one time on a machine; others wait in the engine.
    pub batch_limit: usize,
    /// Prompt prefixes cached on a machine, in tokens, the least recently used dropped first.
    pub prefix_cache_tokens: u64,
    /// Age of the load reports that requests are routed by.
    #[serde(with = "humantime_serde")]
    pub report_lag: Duration,
}

/// Delays between processes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkSpec {
    /// One way between any two daemons, or a daemon and a runner.
    #[serde(with = "humantime_serde")]
    pub one_way: Duration,
}

/// A group of like models.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGroup {
    /// Start of the names of its models.
    pub prefix: String,
    /// Models.
    pub count: u32,
    /// Weights of each.
    pub weights: ByteSize,
    /// KV cache of each.
    pub kv_cache: ByteSize,
    /// Replicas of each at one time, at most.
    pub at_most: u32,
    /// Priority, higher first.
    pub priority: u8,
    /// Adapters in all, spread over the models of the group.
    pub adapters: u32,
    /// Weights of each adapter.
    pub adapter_weights: ByteSize,
    /// When it is called.
    pub calls: CallPattern,
    /// What each call asks.
    pub request: RequestSpec,
}

/// When a model is called.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum CallPattern {
    /// Long silence, then bursts at all gateways together.
    Bursts {
        /// Median silence of each artifact; lognormal.
        #[serde(with = "humantime_serde")]
        silence_median: Duration,
        /// Sigma of the lognormal silence.
        silence_sigma: f64,
        /// Calls in a burst, on average; geometric.
        calls: f64,
        /// Time over which they are spread evenly at random.
        #[serde(with = "humantime_serde")]
        length: Duration,
        /// Further bursts that follow the first, on average; geometric from none.
        echoes: f64,
        /// Median pause before each further burst; lognormal with sigma 1.
        #[serde(with = "humantime_serde")]
        echo_median: Duration,
    },
    /// Each day at the same time.
    Daily {
        /// Time of day, from midnight.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// Standard deviation of the start.
        #[serde(with = "humantime_serde")]
        jitter: Duration,
        /// Calls each day.
        calls: u32,
        /// Time over which they are spread evenly at random.
        #[serde(with = "humantime_serde")]
        length: Duration,
    },
    /// One call now and then, all day.
    Steady {
        /// Mean pause between calls from seven to nineteen o'clock; exponential.
        #[serde(with = "humantime_serde")]
        day_pause: Duration,
        /// Mean pause between calls at night; exponential.
        #[serde(with = "humantime_serde")]
        night_pause: Duration,
    },
}

/// What a call asks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSpec {
    /// Prompt tokens, on average; lognormal with sigma 0.5.
    pub prompt_tokens: f64,
    /// Share of the prompt that all calls of an artifact have in common.
    pub shared_prefix: f64,
    /// Tokens generated, on average; lognormal with sigma 0.5.
    pub output_tokens: f64,
    /// Time that the caller waits for the first token.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
}

/// What fails, at random times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Runners reclaimed in a week, of all.
    pub reclaims_per_week: f64,
    /// Time between the notice of a reclaim and its end.
    #[serde(with = "humantime_serde")]
    pub reclaim_notice: Duration,
    /// Time until another machine takes the place of one that is gone.
    #[serde(with = "humantime_serde")]
    pub replacement: Duration,
    /// Times that the weight store slows down in a week.
    pub slow_store_per_week: f64,
    /// How long that lasts.
    #[serde(with = "humantime_serde")]
    pub slow_store_length: Duration,
    /// How many times slower each load is then.
    pub slow_store_factor: f64,
}

impl Scenario {
    /// Reads a scenario by the name of a built-in one or from a file.
    ///
    /// # Errors
    /// Fails if there is neither, or if the text is not a valid scenario.
    pub fn read(name_or_file: &str) -> Result<Self> {
        if let Some((_, text)) = BUILT_IN.iter().find(|(name, _)| *name == name_or_file) {
            return Self::parse(text).with_context(|| format!("scenario {name_or_file}"));
        }
        if !Path::new(name_or_file).exists() {
            let names: Vec<&str> = BUILT_IN.iter().map(|(name, _)| *name).collect();
            bail!("no scenario file {name_or_file}; built in are {names:?}");
        }
        let text = std::fs::read_to_string(name_or_file)?;
        Self::parse(&text).with_context(|| format!("scenario file {name_or_file}"))
    }

    /// Reads a scenario from TOML.
    ///
    /// # Errors
    /// Fails if the text is not a valid scenario.
    pub fn parse(text: &str) -> Result<Self> {
        let scenario: Self = Figment::from(Toml::string(text)).extract()?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<()> {
        ensure!(!self.zones.is_empty(), "a scenario needs a zone");
        let runners: u32 = self.zones.iter().map(|zone| zone.runners).sum();
        ensure!(runners > 0, "a scenario needs a runner");
        ensure!(
            (0.0..=1.0).contains(&self.cold_start_weight),
            "cold_start_weight lies between 0 and 1"
        );
        let positive = [
            self.weight_store.starts_per_second,
            self.engine.prefill_tokens_per_second,
            f64::from(self.weight_store.parallel),
            self.faults.slow_store_factor,
        ];
        ensure!(
            positive.iter().all(|&value| value > 0.0),
            "rates, speeds and factors are positive"
        );
        let largest = self.models.iter().map(ModelGroup::bytes).max().unwrap_or(0);
        ensure!(
            largest <= self.runner.bytes(),
            "the largest model needs more than one runner"
        );
        Ok(())
    }
}

impl ModelGroup {
    /// Accelerator memory that each model takes, in bytes.
    pub fn bytes(&self) -> u64 {
        self.weights.as_u64() + self.kv_cache.as_u64()
    }
}

impl RunnerSpec {
    /// Accelerator memory of a runner, in bytes.
    pub fn bytes(&self) -> u64 {
        u64::from(self.accelerators) * self.accelerator_memory.as_u64()
    }
}
