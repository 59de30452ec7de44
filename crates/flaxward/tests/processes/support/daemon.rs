//! One daemon as a process.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::eventually;

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_flaxward");

/// Keys of a settings file, `section.key`, with their values.
pub type Settings = BTreeMap<String, String>;

/// A running daemon. It is killed when it is dropped.
pub struct Daemon {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where callers and operators reach it.
    pub address: String,
    /// Where other daemons reach it.
    pub peer_address: String,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Daemon {
    /// Starts a daemon and waits until it listens.
    pub async fn start(directory: &Path, settings: &Settings) -> Self {
        let name = settings["daemon.name"].clone();
        let file = directory.join(format!("{name}.toml"));
        std::fs::write(&file, settings_text(settings)).expect("the settings file is written");
        let mut child = Command::new(PROGRAM)
            .args(["serve", "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let stderr = child.stderr.take().expect("stderr is piped");
        let lines = Arc::clone(&log);
        std::thread::spawn(move || collect(stderr, &lines));
        let mut daemon = Self {
            name,
            zone: settings["daemon.zone"].clone(),
            address: String::new(),
            peer_address: String::new(),
            child,
            log,
        };
        eventually("the daemon listens", async || daemon.read_addresses()).await;
        daemon
    }

    fn read_addresses(&mut self) -> bool {
        let exited = self.child.try_wait().expect("the child can be waited for");
        assert!(exited.is_none(), "{} has exited: {}", self.name, self.log());
        let log = self.log.lock().expect("no thread panics with the log");
        let started = log.iter().find(|line| line.contains("event=started"));
        let Some(started) = started else {
            return false;
        };
        let field = |name: &str| {
            let mut fields = started.split(' ').filter_map(|field| field.split_once('='));
            let found = fields.find(|(key, _)| *key == name);
            found.expect("the line names it").1.to_owned()
        };
        self.address = field("address");
        self.peer_address = field("peer_address");
        true
    }

    /// Identity of the process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.process_id()).expect("process ids are small");
        kill(Pid::from_raw(id), signal).expect("the daemon can be signalled");
    }

    /// Waits until the process has ended by itself.
    pub async fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        eventually("the daemon ends", async || {
            status = self.child.try_wait().expect("the child can be waited for");
            status.is_some()
        })
        .await;
        status.expect("it has ended")
    }

    /// The log so far.
    pub fn log(&self) -> String {
        let log = self.log.lock().expect("no thread panics with the log");
        log.join("\n")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("--- log of {}\n{}", self.name, self.log());
        }
    }
}

fn collect(stderr: ChildStderr, lines: &Mutex<Vec<String>>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        lines
            .lock()
            .expect("no thread panics with the log")
            .push(line);
    }
}

/// The settings file of these keys.
pub fn settings_text(settings: &Settings) -> String {
    let mut sections: BTreeMap<&str, String> = BTreeMap::new();
    for (key, value) in settings {
        let (section, field) = key.split_once('.').expect("a key has a section");
        let text = sections.entry(section).or_default();
        writeln!(text, "{field} = {value:?}").expect("a string can be written to");
    }
    sections
        .into_iter()
        .map(|(section, text)| format!("[{section}]\n{text}"))
        .collect()
}
