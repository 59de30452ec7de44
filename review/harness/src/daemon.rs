//! Daemons as processes of their own, started as the deploy file says, with its template filled.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::{Json, number, object, text};

/// The ports of all daemons; each has a loopback address of its own, as each has a machine of its own.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    front: u16,
    ready: u16,
    peers: u16,
    metrics: u16,
}

impl Ports {
    /// Ports that are free at all addresses, below those that the system gives to connections.
    pub fn find(daemons: usize) -> io::Result<Self> {
        let start = 20_000 + u16::try_from(std::process::id() % 2_000).unwrap_or(0) * 5;
        let is_free =
            |port: u16| (0..daemons).all(|index| TcpListener::bind((ip(index), port)).is_ok());
        let mut free = (start..32_000).filter(|port| is_free(*port));
        let mut next = || free.next().ok_or_else(|| io::Error::other("no free port"));
        Ok(Self {
            front: next()?,
            ready: next()?,
            peers: next()?,
            metrics: next()?,
        })
    }
}

fn ip(index: usize) -> std::net::Ipv4Addr {
    let last = u8::try_from(index + 1).unwrap_or(250);
    std::net::Ipv4Addr::new(127, 0, 1, last)
}

/// What a machine can do, as its settings tell.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    processor_share: &'static str,
    link_mbps: &'static str,
}

impl Machine {
    /// As on the small sites.
    pub const SMALL_SITE: Self = Self {
        processor_share: "0.25",
        link_mbps: "1000.0",
    };
    /// The two ends of the range on the grown sites.
    pub const STRONG: Self = Self {
        processor_share: "0.5",
        link_mbps: "200.0",
    };
    pub const WEAK: Self = Self {
        processor_share: "0.12",
        link_mbps: "20.0",
    };
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a daemon, which does not run yet.
    pub fn prepare(
        root: &Path,
        folder: &Path,
        ports: Ports,
        index: usize,
        zone: &str,
        store: SocketAddr,
        machine: Machine,
    ) -> io::Result<Self> {
        let name = format!("front-{zone}-{}", index + 1);
        let own = ip(index);
        let zones = ["zone-a", "zone-b", "zone-c"].map(|it| (it, text("here")));
        let bounds = object([
            ("grace_s", number(8)),
            ("lease_ms", number(3_000)),
            ("ceiling_window_s", number(5)),
            ("budget_ratio", number(0.2)),
            ("budget_slack", number(52)),
            ("budget_window_s", number(10)),
            ("config_apply_ms", number(2_000)),
            ("drain_ms", number(2_000)),
        ]);
        let fields = object([
            ("node_name", text(&name)),
            ("zone", text(zone)),
            ("zones", object(zones)),
            ("ip", text(own.to_string())),
            (
                "internal_ports",
                Json::List(vec![number(ports.peers), number(ports.metrics)]),
            ),
            (
                "listen",
                object([
                    ("front", text(format!("{own}:{}", ports.front))),
                    ("ready", text(format!("{own}:{}", ports.ready))),
                ]),
            ),
            ("bounds", bounds),
            (
                "limits",
                object([
                    ("cpu_share", number(machine.processor_share)),
                    ("link_mbps", number(machine.link_mbps)),
                ]),
            ),
            ("platform", object([("address", text(store.to_string()))])),
        ]);
        let template = fs::read_to_string(root.join("deploy/flaxward.toml.template"))?;
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, fill(&template, &[&fields]))?;
        Ok(Self {
            front: SocketAddr::from((own, ports.front)),
            ready: SocketAddr::from((own, ports.ready)),
            root: root.to_owned(),
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            child: None,
        })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let program = self.root.join("target/release/flaxward");
        let child = Command::new(program)
            .args(["serve", "--config"])
            .arg(&self.settings)
            .current_dir(&self.root)
            .env("FLAXWARD_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(Child::try_wait);
        matches!(ended, Some(Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host".to_owned(), "ready".to_owned())];
        let patience = Duration::from_secs(1);
        let answer = call(
            self.ready,
            "GET",
            "/v1/ready",
            &headers,
            b"",
            patience,
            |_| {},
        );
        answer.is_ok_and(|it| it.status == 200)
    }

    pub fn wait_until_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log_lines(&self, event: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let wanted = format!("event={event} ");
        let lines = log.lines().filter(|line| line.contains(&wanted));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills a template as the users' page on deployment tells. The last of `scopes` is looked up first.
pub fn fill(template: &str, scopes: &[&Json]) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        filled += before;
        let Some((gap, after)) = after.split_once("}}") else {
            break;
        };
        rest = after;
        let Some(name) = gap.strip_prefix(['#', '^']) else {
            filled += &value_of(gap, scopes);
            continue;
        };
        let end = format!("{{{{/{name}}}}}");
        let (inner, after) = rest.split_once(&end).unwrap_or((rest, ""));
        rest = after;
        let value = look_up(name, scopes);
        let is_given = value
            .as_ref()
            .is_some_and(|it| !matches!(it, Json::Null | Json::Bool(false)));
        match value {
            _ if gap.starts_with('^') => {
                if !is_given {
                    filled += &fill(inner, scopes);
                }
            }
            Some(Json::Object(entries)) => {
                for (key, entry) in entries {
                    let scope = object([("@", text(key)), (".", entry)]);
                    let mut scopes = scopes.to_vec();
                    scopes.push(&scope);
                    filled += &fill(inner, &scopes);
                }
            }
            Some(_) if is_given => filled += &fill(inner, scopes),
            _ => {}
        }
    }
    filled + rest
}

fn value_of(gap: &str, scopes: &[&Json]) -> String {
    let (name, is_json) = match gap.strip_suffix("|json") {
        Some(name) => (name, true),
        None => (gap, false),
    };
    match look_up(name, scopes) {
        None => String::new(),
        Some(Json::Text(text)) if !is_json => text,
        Some(value) => value.to_string(),
    }
}

fn look_up(name: &str, scopes: &[&Json]) -> Option<Json> {
    let find = |scope: &&&Json| -> Option<Json> {
        if name == "." || name == "@" {
            return scope.get(name).cloned();
        }
        let mut value: &Json = scope;
        for part in name.split('.') {
            value = value.get(part)?;
        }
        Some(value.clone())
    };
    scopes.iter().rev().find_map(|scope| find(&scope))
}
