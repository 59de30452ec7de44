//! Cases of the review: each starts a small deployment, plays one story and checks one rule.
//!
//! `review-harness CASE ROOT RECORD` exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
//! not run. With `TROUBLE=0` in the environment there is no disruption.

mod client;
mod crashing_part;
mod daemon;
mod fleet;
mod http;
mod json;
mod record;
mod resumed_streams;
mod runner;
mod stale_configuration;
mod store;
mod way;

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crashing_part::Pace;
use record::Record;
use resumed_streams::Story;
use stale_configuration::Change;

/// The contents of a lock, also if a thread has panicked with it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

fn play(case: &str, root: &Path, has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    match case {
        "crashing-part" => crashing_part::play(Pace::Slow, root, has_trouble, record),
        "crashing-part-fast" => crashing_part::play(Pace::Fast, root, has_trouble, record),
        "stale-configuration" => {
            stale_configuration::play(Change::Configuration, root, has_trouble, record)
        }
        "stale-draining" => stale_configuration::play(Change::Drains, root, has_trouble, record),
        "stale-gone" => stale_configuration::play(Change::Goes, root, has_trouble, record),
        "survivor-resumes" => resumed_streams::play(Story::OneSurvives, root, has_trouble, record),
        "restarted-resume" => resumed_streams::play(Story::AllThenOne, root, has_trouble, record),
        _ => Err(io::Error::other("no such case")),
    }
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(root), Some(path)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("review-harness CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Arc::new(Record::new());
    let verdict = play(&case, &PathBuf::from(root), has_trouble, &record);
    let code = match &verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(error) => {
            record.tell(format!("the case could not run: {error}"));
            2
        }
    };
    record.tell(format!("exit {code}"));
    record.write(Path::new(&path));
    ExitCode::from(code)
}
