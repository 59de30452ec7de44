//! What is measured: an engine, and before it a pass-through and a daemon on one core each.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow, ensure};
use flaxward::daemon::Daemon;
use flaxward_emulator::engine::EngineTiming;
use flaxward_emulator::{EngineConfig, Platform, PlatformConfig, ZoneConfig};
use flaxward_operators::client::Connection;
use flaxward_settings::{Flags, Settings};
use flaxward_types::ZoneName;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use reqwest::Client;

use super::one_core::{OneCore, Started, Stopped};
use super::{Way, pass_through};
use crate::client::{Ending, Question, ask};

/// The only zone.
const ZONE: &str = "bench";
/// The model as callers of a daemon name it.
const MODEL: &str = "bench";
/// The same as the engine names it.
const ARTIFACT: &str = "bench@v1";
/// What operators configure.
const COMMANDS: [&str; 2] = [
    "create version bench@v1 checkpoint 'bench/v1' weights 1GiB kv 1GiB",
    "create model bench serving v1 copies at most 1 priority 5",
];
/// Time allowed for the first answer, for which a coordinator must be chosen and the model loaded.
const START_TIMEOUT: Duration = Duration::from_mins(1);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// All that is measured.
pub(super) struct Region {
    platform: Platform,
    engine: String,
    pass_through: OneCore,
    daemon: OneCore,
    client: Client,
}

/// Where one way begins.
pub(super) struct Target<'a> {
    /// Base URL.
    pub url: String,
    /// The model, as it is named there.
    pub model: String,
    /// The core that the way adds.
    pub core: Option<&'a OneCore>,
}

impl Region {
    /// Starts everything; `pace` is the time between an engine's tokens.
    pub async fn start(pace: Duration) -> Result<Self> {
        let platform = Platform::start(platform(pace)).await?;
        let engine = platform.engines().values().next();
        let engine = format!("http://{}", engine.context("an engine")?.address());
        let target = engine.clone();
        let pass_through = OneCore::start("pass-through", move |started, stopped| {
            pass_through::serve(target, started, stopped)
        })?;
        let settings = settings(&platform)?;
        let metrics = metrics();
        let daemon = OneCore::start("daemon", move |started, stopped| {
            serve(settings, metrics, started, stopped)
        })?;
        let region = Self {
            platform,
            engine,
            pass_through,
            daemon,
            client: Client::new(),
        };
        region.configure().await?;
        region.wake().await?;
        Ok(region)
    }

    async fn configure(&self) -> Result<()> {
        let connection = Connection::new(&self.daemon.address().to_string())?;
        let started = Instant::now();
        for command in COMMANDS {
            while let Err(error) = connection.execute(command).await {
                let message = &error.error.message;
                ensure!(started.elapsed() < START_TIMEOUT, "{command}: {message}");
                tokio::time::sleep(PAUSE).await;
            }
        }
        Ok(())
    }

    /// Waits until the daemon answers for the model.
    pub async fn wake(&self) -> Result<()> {
        let target = self.target(Way::Daemon);
        let question = Question {
            target: target.url,
            model: target.model,
            prompt: "Wake up.".to_owned(),
            max_tokens: 1,
            streamed: true,
            deadline: START_TIMEOUT,
        };
        let started = Instant::now();
        loop {
            let ending = ask(&self.client, &question, Instant::now()).await.ending;
            if ending == Ending::Answered {
                return Ok(());
            }
            let is_late = started.elapsed() >= START_TIMEOUT;
            ensure!(!is_late, "the daemon does not answer: {ending:?}");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Where a way begins.
    pub fn target(&self, way: Way) -> Target<'_> {
        let (url, model, core) = match way {
            Way::Direct => (self.engine.clone(), ARTIFACT, None),
            Way::PassThrough => (url(&self.pass_through), ARTIFACT, Some(&self.pass_through)),
            Way::Daemon => (url(&self.daemon), MODEL, Some(&self.daemon)),
        };
        Target {
            url,
            model: model.to_owned(),
            core,
        }
    }

    /// Stops everything.
    pub async fn stop(self) -> Result<()> {
        self.pass_through.stop().await?;
        self.daemon.stop().await?;
        self.platform.shutdown().await;
        Ok(())
    }
}

fn url(core: &OneCore) -> String {
    format!("http://{}", core.address())
}

fn platform(pace: Duration) -> PlatformConfig {
    let decode_us = u64::try_from(pace.as_micros()).unwrap_or(u64::MAX);
    PlatformConfig {
        zones: vec![ZoneConfig {
            name: ZoneName::literal(ZONE),
            engines: 1,
            services: BTreeMap::new(),
        }],
        engine: EngineConfig {
            timing: EngineTiming {
                decode_us,
                ..EngineTiming::default()
            },
            ..EngineConfig::default()
        },
        ..PlatformConfig::default()
    }
}

fn settings(platform: &Platform) -> Result<Settings> {
    let flags = Flags {
        name: Some("bench-daemon".to_owned()),
        zone: Some(ZONE.to_owned()),
        zones: Some(ZONE.to_owned()),
        listen: Some("127.0.0.1:0".to_owned()),
        peer_listen: Some("127.0.0.1:0".to_owned()),
        object_api: Some(platform.objects.url()),
        machine_list: Some(platform.machines.url()),
        ..Flags::default()
    };
    Settings::load(&flags).map_err(|errors| anyhow!("{errors}"))
}

/// The metrics of this process, as `flaxward serve` collects them: a daemon without them would do
/// less than one in service. `None` if they are collected already.
fn metrics() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}

async fn serve(
    settings: Settings,
    metrics: Option<PrometheusHandle>,
    started: Started,
    stopped: Stopped,
) -> Result<()> {
    let daemon = Daemon::start(&settings, metrics).await?;
    started.send(daemon.address)?;
    // Without its sender the bench has ended, too.
    let _ = stopped.await;
    daemon.stop().await;
    Ok(())
}
