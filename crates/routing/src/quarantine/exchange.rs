//! What one daemon tells others of runs and quarantine, and when.
//!
//! It tells the keepers what it has seen, some times over. Each keeper tells all daemons of a new quarantine at once. What a
//! lost message leaves out shows in the digest of the next heartbeat, and the two daemons then tell each other all that they
//! hold.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::{Quarantine, QuarantineEntry, RunReport};

/// How often the keepers are sent a report: on a link that loses three messages in a hundred, all of these are lost
/// once in 37,000 times.
const REPORTS: u32 = 3;
/// Time between these.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two exchanges that one daemon begins.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which the times in the lease record are old; it is renewed about once a second.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);
/// Reports that wait to be sent at most.
const MAX_REPORTS: usize = 256;

/// What a daemon knows of requests that are or were in quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// Where the daemon listens.
    pub from: SocketAddr,
    /// All that it knows.
    pub entries: Vec<QuarantineEntry>,
    /// It wants to be told what the receiver holds.
    pub wants_answer: bool,
}

/// A report that the keepers are being sent.
#[derive(Debug)]
struct Outgoing {
    report: RunReport,
    left: u32,
    due: Timestamp,
}

/// One daemon's side.
#[derive(Debug)]
pub struct QuarantineExchange {
    own: SocketAddr,
    reports: Vec<Outgoing>,
    /// Digest of the quarantine that all daemons were told of.
    told: u64,
    /// Digest of the quarantine that was last given to the lease, and when.
    recorded: Option<(u64, Timestamp)>,
    exchanged_at: Option<Timestamp>,
}

impl QuarantineExchange {
    /// A daemon that listens at an address and has nothing to tell.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            reports: Vec::new(),
            told: 0,
            recorded: None,
            exchanged_at: None,
        }
    }

    /// This daemon has seen a run of which the keepers must hear.
    pub fn seen(&mut self, report: RunReport, now: Timestamp) {
        if self.reports.len() < MAX_REPORTS {
            self.reports.push(Outgoing {
                report,
                left: REPORTS,
                due: now,
            });
        }
    }

    /// When the next report is due, if there is one.
    pub fn next_report(&self) -> Option<Timestamp> {
        self.reports.iter().map(|outgoing| outgoing.due).min()
    }

    /// The reports that the keepers are to be sent now. While no keeper is known they wait.
    pub fn due_reports(&mut self, knows_keepers: bool, now: Timestamp) -> Vec<RunReport> {
        let mut reports = Vec::new();
        for outgoing in self.reports.iter_mut().filter(|it| it.due <= now) {
            outgoing.due = now + REPORT_INTERVAL;
            if knows_keepers {
                outgoing.left -= 1;
                reports.push(outgoing.report.clone());
            }
        }
        self.reports.retain(|outgoing| outgoing.left > 0);
        reports
    }

    /// What a keeper is to tell all daemons now, if nobody has told it.
    pub fn announcement(
        &mut self,
        quarantine: &Quarantine,
        now: Timestamp,
    ) -> Option<QuarantineNews> {
        let digest = quarantine.digest(now);
        if digest == self.told {
            return None;
        }
        self.told = digest;
        Some(self.news(quarantine, false, now))
    }

    /// What the lease record is to hold from now on, if that has changed or its times are old.
    pub fn due_record(
        &mut self,
        quarantine: &Quarantine,
        now: Timestamp,
    ) -> Option<Vec<QuarantineEntry>> {
        let digest = quarantine.digest(now);
        let is_fresh = |(recorded, at): (u64, Timestamp)| {
            recorded == digest && (digest == 0 || now.since(at) < RECORD_INTERVAL)
        };
        if self.recorded.is_some_and(is_fresh) {
            return None;
        }
        self.recorded = Some((digest, now));
        Some(quarantine.entries(now))
    }

    /// Compares the quarantine with the digest that a keeper has told. Returns what that one is told if they differ.
    pub fn compare(
        &mut self,
        quarantine: &Quarantine,
        digest: u64,
        now: Timestamp,
    ) -> Option<QuarantineNews> {
        if quarantine.digest(now) == digest {
            self.told = digest;
            return None;
        }
        let is_due = |at: Timestamp| now.since(at) >= EXCHANGE_INTERVAL;
        if !self.exchanged_at.is_none_or(is_due) {
            return None;
        }
        self.exchanged_at = Some(now);
        Some(self.news(quarantine, true, now))
    }

    /// The answer to another daemon's news, once they are taken in, if it wants one.
    pub fn answer(
        &self,
        quarantine: &Quarantine,
        news: &QuarantineNews,
        now: Timestamp,
    ) -> Option<QuarantineNews> {
        news.wants_answer.then(|| self.news(quarantine, false, now))
    }

    fn news(&self, quarantine: &Quarantine, wants_answer: bool, now: Timestamp) -> QuarantineNews {
        QuarantineNews {
            from: self.own,
            entries: quarantine.entries(now),
            wants_answer,
        }
    }
}
