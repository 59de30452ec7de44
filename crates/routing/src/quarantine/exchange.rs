//! Exchange of run reports and quarantine entries between daemons.
//!
//! A daemon sends each of its run reports to the keepers several times. Each keeper announces a new quarantine to all
//! daemons at once. A lost message shows up as a mismatch with the digest in the next heartbeat, and the two daemons
//! then exchange all their entries.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::{Quarantine, QuarantineEntry, RunReport};

/// How many times each report is sent to the keepers. On a link that loses 3 % of the messages, all copies are lost
/// once in 37,000 reports.
const SENDS_PER_REPORT: u32 = 3;
/// Interval between these sends.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between two exchanges that one daemon initiates.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Age at which the remaining times in the lease record are out of date; the record is renewed about once per second.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of reports waiting to be sent.
const MAX_PENDING_REPORTS: usize = 256;

/// The entries that a daemon holds for requests that are or were in quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// Address on which the daemon listens.
    pub from: SocketAddr,
    /// All its entries.
    pub entries: Vec<QuarantineEntry>,
    /// Asks the receiver to answer with its own entries.
    pub wants_answer: bool,
}

/// A report that is being sent to the keepers.
#[derive(Debug)]
struct PendingReport {
    report: RunReport,
    queued_at: Timestamp,
    sends_left: u32,
    due: Timestamp,
}

impl PendingReport {
    /// The report as it is sent at `now`: times in it are relative.
    fn report_at(&self, now: Timestamp) -> RunReport {
        let waited = now.since(self.queued_at);
        let context = self.report.context.as_ref().map(|it| it.after(waited));
        RunReport {
            context,
            ..self.report.clone()
        }
    }
}

/// The exchange state of one daemon.
#[derive(Debug)]
pub struct QuarantineExchange {
    own_address: SocketAddr,
    reports: Vec<PendingReport>,
    /// Digest of the quarantine that was last announced to all daemons.
    announced: u64,
    /// Digest of the quarantine that was last written to the lease record, and when.
    recorded: Option<(u64, Timestamp)>,
    exchanged_at: Option<Timestamp>,
}

impl QuarantineExchange {
    /// A daemon that listens on `own_address` and has nothing to send.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            reports: Vec::new(),
            announced: 0,
            recorded: None,
            exchanged_at: None,
        }
    }

    /// Queues a report of a run that this daemon has observed.
    pub fn queue_report(&mut self, report: RunReport, now: Timestamp) {
        if self.reports.len() < MAX_PENDING_REPORTS {
            self.reports.push(PendingReport {
                report,
                queued_at: now,
                sends_left: SENDS_PER_REPORT,
                due: now,
            });
        }
    }

    /// When the next report is due, if any.
    pub fn next_report(&self) -> Option<Timestamp> {
        self.reports.iter().map(|pending| pending.due).min()
    }

    /// The reports to send to the keepers now. Reports are retained while no keeper is known.
    pub fn due_reports(&mut self, knows_keepers: bool, now: Timestamp) -> Vec<RunReport> {
        let mut reports = Vec::new();
        for pending in self.reports.iter_mut().filter(|it| it.due <= now) {
            pending.due = now + REPORT_INTERVAL;
            if knows_keepers {
                pending.sends_left -= 1;
                reports.push(pending.report_at(now));
            }
        }
        self.reports.retain(|pending| pending.sends_left > 0);
        reports
    }

    /// What a keeper must announce to all daemons now, if it has not been announced yet.
    pub fn announcement(
        &mut self,
        quarantine: &Quarantine,
        now: Timestamp,
    ) -> Option<QuarantineNews> {
        let digest = quarantine.digest(now);
        if digest == self.announced {
            return None;
        }
        self.announced = digest;
        Some(self.news(quarantine, false, now))
    }

    /// The new content of the lease record, if the quarantine has changed or the recorded times are out of date.
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

    /// Compares the quarantine with the digest received from a keeper. Returns the message to that keeper if they
    /// differ.
    pub fn compare(
        &mut self,
        quarantine: &Quarantine,
        digest: u64,
        now: Timestamp,
    ) -> Option<QuarantineNews> {
        if quarantine.digest(now) == digest {
            self.announced = digest;
            return None;
        }
        let is_due = |at: Timestamp| now.since(at) >= EXCHANGE_INTERVAL;
        if !self.exchanged_at.is_none_or(is_due) {
            return None;
        }
        self.exchanged_at = Some(now);
        Some(self.news(quarantine, true, now))
    }

    /// The answer to another daemon's news, after merging it, if an answer was requested.
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
            from: self.own_address,
            entries: quarantine.entries(now),
            wants_answer,
        }
    }
}
