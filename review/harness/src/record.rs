//! What was sent, answered and run, with times, for `record.txt`.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use crate::lock;

pub struct Record {
    begun: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            begun: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now(), text.as_ref());
        lock(&self.lines).push(line);
    }

    /// Notes a line and shows it.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.now(), text.as_ref());
        self.note(text);
    }

    pub fn write(&self, path: &Path) {
        let Ok(mut file) = fs::File::create(path) else {
            eprintln!("cannot write {}", path.display());
            return;
        };
        for line in lock(&self.lines).iter() {
            let _ = writeln!(file, "{line}");
        }
    }
}
