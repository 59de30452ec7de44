//! Flags that stand over the settings file.

use std::path::PathBuf;
use std::str::FromStr;

use clap::Args;

/// One key set by a flag. Text form: `section.key=value`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Override {
    /// Section and name.
    pub key: String,
    /// The value as text; lists have commas between their elements.
    pub value: String,
}

impl FromStr for Override {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (key, value) = text.split_once('=').ok_or("expected section.key=value")?;
        let (section, field) = key.split_once('.').ok_or("expected section.key=value")?;
        if section.is_empty() || field.is_empty() {
            return Err("expected section.key=value".to_owned());
        }
        Ok(Self {
            key: key.to_owned(),
            value: value.to_owned(),
        })
    }
}

/// Flags of every command that reads settings.
#[derive(Args, Clone, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Settings file (TOML).
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Name of this daemon.
    #[arg(long)]
    pub name: Option<String>,
    /// Zone of this daemon.
    #[arg(long)]
    pub zone: Option<String>,
    /// All zones of the region, with commas between them.
    #[arg(long)]
    pub zones: Option<String>,
    /// Address for callers and operators.
    #[arg(long, value_name = "ADDRESS")]
    pub listen: Option<String>,
    /// Address for other daemons.
    #[arg(long, value_name = "ADDRESS")]
    pub peer_listen: Option<String>,
    /// Address that other daemons use, if it is not the one listened on.
    #[arg(long, value_name = "ADDRESS")]
    pub peer_advertise: Option<String>,
    /// Daemons to ask for the members, with commas between them.
    #[arg(long, value_name = "[ZONE=]ADDRESS,...")]
    pub seeds: Option<String>,
    /// URL of the object API.
    #[arg(long, value_name = "URL")]
    pub object_api: Option<String>,
    /// URL of the machine list.
    #[arg(long, value_name = "URL")]
    pub machine_list: Option<String>,
    /// Level of the log.
    #[arg(long, value_name = "LEVEL")]
    pub log_level: Option<String>,
    /// Any other key; may be repeated.
    #[arg(long, value_name = "SECTION.KEY=VALUE")]
    pub set: Vec<Override>,
}

impl Flags {
    /// Adds a key, as `--set` does.
    #[must_use]
    pub fn with(mut self, key: &str, value: impl Into<String>) -> Self {
        self.set.push(Override {
            key: key.to_owned(),
            value: value.into(),
        });
        self
    }

    /// Every key set, the later ones standing over the earlier.
    pub(crate) fn overrides(&self) -> Vec<Override> {
        let named = [
            ("daemon.name", &self.name),
            ("daemon.zone", &self.zone),
            ("daemon.zones", &self.zones),
            ("daemon.listen", &self.listen),
            ("daemon.peer_listen", &self.peer_listen),
            ("daemon.peer_advertise", &self.peer_advertise),
            ("daemon.seeds", &self.seeds),
            ("platform.object_api", &self.object_api),
            ("platform.machine_list", &self.machine_list),
            ("logs.level", &self.log_level),
        ];
        let named = named.into_iter().filter_map(|(key, value)| {
            value.as_ref().map(|value| Override {
                key: key.to_owned(),
                value: value.clone(),
            })
        });
        named.chain(self.set.iter().cloned()).collect()
    }
}
