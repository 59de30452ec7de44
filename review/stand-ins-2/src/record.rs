//! The record of a case: what was sent, answered and run, with seconds since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(self.seconds(), text);
    }

    pub fn line_at(&self, at: f64, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
        let _ = file.flush();
    }

    /// Also shown on standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
