//! Settings of a daemon whose callers come by routes: the section `[ingress]` and those beside it.
//!
//! Such a daemon reads another file than one with the callers' interface of flaxward's own; the
//! section `[ingress]` tells them apart.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use figment::Figment;
use figment::providers::{Format, Toml};
use flaxward_types::ResultCode;
use serde::Deserialize;

use crate::error::SettingError;

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressFile {
    /// Who the daemon is and where it listens.
    pub ingress: IngressSection,
    /// The region of each zone. Without it all zones count as one region.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// The store.
    pub store: StoreSection,
    /// The coordinator of the loads.
    pub coordinator: IngressCoordinatorSection,
    /// The budget for sending requests again.
    pub retries: RetriesSection,
    /// When requests that crash runners are not sent any more.
    #[serde(default)]
    pub quarantine: QuarantineSection,
    /// How far requests of all daemons may pass what cold runners bear. Without it nothing bounds them.
    pub cold_runners: Option<ColdRunnersSection>,
    /// How soon changes of the store must be known.
    #[serde(default)]
    pub news: NewsSection,
    /// The machine.
    #[serde(default)]
    pub machine: MachineSection,
    /// What all clients together may have open at the daemon.
    #[serde(default)]
    pub limits: LimitsSection,
    /// The log.
    #[serde(default)]
    pub logs: IngressLogsSection,
}

/// Who the daemon is and where it listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressSection {
    /// Name of the daemon, unlike that of any other.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where clients reach it.
    pub listen: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready_listen: SocketAddr,
    /// Where other daemons reach it (UDP for messages, TCP for tunnels to runners).
    pub peer_listen: SocketAddr,
    /// Where its counters are read.
    pub metrics_listen: Option<SocketAddr>,
    /// Time from the order to stop until the process must have ended.
    #[serde(with = "humantime_serde")]
    pub stop_grace: Duration,
}

/// The store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    /// Where it listens.
    pub address: SocketAddr,
}

/// The coordinator of the loads.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressCoordinatorSection {
    /// How long a renewal of the lease holds.
    #[serde(with = "humantime_serde")]
    pub lease_duration: Duration,
    /// Window over which loads from the weight store are bounded.
    #[serde(with = "humantime_serde")]
    pub load_window: Duration,
}

/// How soon changes of the store must be known everywhere.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NewsSection {
    /// Time within which a configuration must be in force.
    #[serde(with = "humantime_serde")]
    pub configuration: Duration,
    /// Time within which a runner that leaves must get no new work.
    #[serde(with = "humantime_serde")]
    pub draining: Duration,
    /// Time after which a key that was taken away must not be served anywhere, also not by a daemon that is cut off;
    /// without it, such a daemon goes on.
    #[serde(with = "humantime_serde")]
    pub revocation: Option<Duration>,
    /// Time within which a zone that is evacuated must get no requests; without it, evacuations are not read.
    #[serde(with = "humantime_serde")]
    pub evacuation: Option<Duration>,
}

/// Strictest bound of the users' platform so far.
const DEFAULT_NEWS_BOUND: Duration = Duration::from_secs(2);

impl Default for NewsSection {
    fn default() -> Self {
        Self {
            configuration: DEFAULT_NEWS_BOUND,
            draining: DEFAULT_NEWS_BOUND,
            revocation: None,
            evacuation: None,
        }
    }
}

impl NewsSection {
    /// The time within which any change must be known.
    pub fn bound(&self) -> Duration {
        self.configuration.min(self.draining)
    }
}

/// The machine that the daemon runs on.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineSection {
    /// Its share of a processor core; weak machines leave the coordination to stronger ones.
    pub processor_share: Option<f64>,
    /// Speed of its link, in Mbit/s; a coordinator keeps what it sends within it.
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in MB.
    pub memory_mb: Option<u32>,
    /// File descriptors that the process may have open.
    pub descriptors: Option<u32>,
}

/// Memory of a machine whose settings do not tell it, in MB.
const DEFAULT_MEMORY_MB: u32 = 256;
/// Descriptors of a process whose settings do not tell them.
const DEFAULT_DESCRIPTORS: u32 = 4_096;
/// Bytes of 1 MB.
const BYTES_PER_MB: usize = 1_000_000;

impl MachineSection {
    /// The processor share in thousandths of a core; 0 if it is not set.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn processor_thousandths(&self) -> u32 {
        (self.processor_share.unwrap_or(0.0) * 1_000.0).round() as u32
    }

    /// Memory that the process may use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let megabytes = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        usize::try_from(megabytes)
            .unwrap_or(usize::MAX)
            .saturating_mul(BYTES_PER_MB)
    }

    /// File descriptors that the process may have open.
    pub fn descriptors(&self) -> usize {
        let descriptors = self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        usize::try_from(descriptors).unwrap_or(usize::MAX)
    }

    /// The link in whole Mbit/s; 0 if it is not set.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn link_megabits(&self) -> u32 {
        self.link_mbps.unwrap_or(0.0).ceil() as u32
    }
}

/// What all clients together may have open at the daemon.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsSection {
    /// Requests in progress.
    pub requests: u32,
}

impl Default for LimitsSection {
    fn default() -> Self {
        Self { requests: 2_000 }
    }
}

/// The budget for sending requests again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetriesSection {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that are always allowed in a window, all daemons together.
    pub allowance: f64,
    /// Length of the window.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

/// When requests that crash runners are not sent any more.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineSection {
    /// Runners that must have crashed under a request; 0 puts none in quarantine.
    pub crashes: usize,
    /// For how long it is not sent then.
    #[serde(with = "humantime_serde")]
    pub first: Duration,
    /// For how long it is not sent if one more runner crashes after that.
    #[serde(with = "humantime_serde")]
    pub repeated: Duration,
}

impl Default for QuarantineSection {
    fn default() -> Self {
        Self {
            // Two may crash by chance while an innocent request is there and goes on at the next.
            crashes: 3,
            // Runners are back by then, so an innocent request is cleared; one that isn't costs one more runner.
            first: Duration::from_secs(30),
            // Long enough for people to look at the runners, short enough that a mended one is found.
            repeated: Duration::from_hours(1),
        }
    }
}

/// How far requests of all daemons may pass what cold runners bear.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdRunnersSection {
    /// Times the rate that the configuration says a cold runner bears.
    pub rate_factor: f64,
    /// Requests beyond that in any second.
    pub slack: f64,
}

/// The log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct IngressLogsSection {
    /// Lowest level that is written.
    pub level: String,
}

impl Default for IngressLogsSection {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}

impl IngressFile {
    /// Whether a file is one of these; one that cannot be read is not.
    pub fn is_meant_by(path: &Path) -> bool {
        let figment = Figment::from(Toml::file_exact(path));
        figment.find_value("ingress").is_ok()
    }

    /// Reads a file and checks it.
    ///
    /// # Errors
    /// Tells what is wrong with the file.
    pub fn load(path: &Path) -> Result<Self, SettingError> {
        let figment = Figment::from(Toml::file_exact(path));
        let file: Self = figment.extract().map_err(|error| unusable(path, &error))?;
        file.check()?;
        Ok(file)
    }

    fn check(&self) -> Result<(), SettingError> {
        let positive = [
            ("ingress.stop_grace", self.ingress.stop_grace),
            (
                "coordinator.lease_duration",
                self.coordinator.lease_duration,
            ),
            ("coordinator.load_window", self.coordinator.load_window),
            ("retries.window", self.retries.window),
            ("quarantine.first", self.quarantine.first),
            ("quarantine.repeated", self.quarantine.repeated),
            ("news.configuration", self.news.configuration),
            ("news.draining", self.news.draining),
            (
                "news.revocation",
                self.news.revocation.unwrap_or(DEFAULT_NEWS_BOUND),
            ),
            (
                "news.evacuation",
                self.news.evacuation.unwrap_or(DEFAULT_NEWS_BOUND),
            ),
        ];
        for (key, value) in positive {
            if value.is_zero() {
                return Err(invalid(key, "must be longer than nothing"));
            }
        }
        let counts = [
            ("limits.requests", self.limits.requests),
            (
                "machine.memory_mb",
                self.machine.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
            ),
            (
                "machine.descriptors",
                self.machine.descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
            ),
        ];
        for (key, value) in counts {
            if value == 0 {
                return Err(invalid(key, "must be at least 1"));
            }
        }
        let cold_runners = self.cold_runners.as_ref();
        let shares = [
            ("retries.ratio", self.retries.ratio),
            ("retries.allowance", self.retries.allowance),
            (
                "machine.processor_share",
                self.machine.processor_share.unwrap_or(0.0),
            ),
            ("machine.link_mbps", self.machine.link_mbps.unwrap_or(0.0)),
            (
                "cold_runners.rate_factor",
                cold_runners.map_or(0.0, |it| it.rate_factor),
            ),
            (
                "cold_runners.slack",
                cold_runners.map_or(0.0, |it| it.slack),
            ),
        ];
        for (key, value) in shares {
            if !value.is_finite() || value < 0.0 {
                return Err(invalid(key, "must be a number of zero or more"));
            }
        }
        if self.logs.level.parse::<spdlog::Level>().is_err() {
            return Err(invalid("logs.level", "is no level of the log"));
        }
        Ok(())
    }

    /// Lowest level of the log.
    pub fn log_level(&self) -> spdlog::Level {
        self.logs.level.parse().unwrap_or(spdlog::Level::Info)
    }
}

fn invalid(key: &str, reason: &str) -> SettingError {
    SettingError::new(ResultCode::InvalidSetting, key, reason.to_owned())
}

fn unusable(path: &Path, error: &figment::Error) -> SettingError {
    use figment::error::Kind;
    let key = error.path.join(".");
    match &error.kind {
        Kind::MissingField(name) => {
            let key = if key.is_empty() {
                name.to_string()
            } else {
                format!("{key}.{name}")
            };
            SettingError::new(ResultCode::MissingSetting, &key, error.to_string())
        }
        Kind::UnknownField(name, _) => {
            SettingError::new(ResultCode::UnknownSetting, name, error.to_string())
        }
        _ if key.is_empty() => {
            let key = path.display().to_string();
            SettingError::new(ResultCode::UnreadableSettings, &key, error.to_string())
        }
        _ => SettingError::new(ResultCode::InvalidSetting, &key, error.to_string()),
    }
}
