//! The scripted cases of this review: `review-case-2 NAME FOLDER`. Exits with 0 if the rule held, with 1 if it was
//! broken, and with 2 if the case could not run.

mod fleet;
mod http;
mod json;
mod origins;
mod parts;
mod rebirth;
mod record;
mod runner;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("review-case-2 NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let work = std::env::temp_dir().join(format!("review-case-2-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&work).is_err() {
        return ExitCode::from(2);
    }
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let verdict = match case.as_str() {
        "origins" => origins::run(&origins::ALL, has_trouble, &work, &record),
        "early" => origins::run(&origins::EARLY, has_trouble, &work, &record),
        "rebirth" => rebirth::run(has_trouble, &work, &record),
        "parts" => parts::run(has_trouble, &work, &record),
        _ => Verdict::CouldNotRun("no such case".to_owned()),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    }
    match verdict {
        Verdict::Held => {
            record.say("HELD");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("BROKEN");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(reason) => {
            record.say(&format!("COULD NOT RUN: {reason}"));
            ExitCode::from(2)
        }
    }
}
