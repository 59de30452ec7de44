//! How daemons tell each other under which requests runners have crashed, and which are in quarantine for that.
//!
//! A daemon tells the keepers what it has seen, some times over. The keeper that speaks tells all daemons of a new
//! quarantine at once; what a lost message leaves out shows in the digest of the next heartbeat, and the two daemons
//! then tell each other all that they hold.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::messages::{Message, QuarantineNews};
use flaxward_routing::quarantine::Crash;
use flaxward_types::time::Timestamp;

use crate::peer::PeerSocket;
use crate::state::Shared;

/// How often the keepers are told of a crash: three messages are lost together once in 37,000 times on a link that
/// loses three in a hundred.
const REPORTS: u32 = 3;
/// Time between two reports of one crash.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two comparisons with another daemon.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Crashes that wait to be reported at most.
const MAX_REPORTS: usize = 256;

/// A crash that the keepers are being told of.
#[derive(Debug)]
struct Report {
    crash: Crash,
    left: u32,
    due: Timestamp,
}

/// What this daemon tells others of crashes and quarantine.
#[derive(Debug)]
pub(super) struct Crashes {
    own: SocketAddr,
    reports: Vec<Report>,
    /// Digest of the quarantine that all daemons were told of.
    told: u64,
    exchanged_at: Option<Timestamp>,
}

impl Crashes {
    /// A daemon that listens at an address and has nothing to tell.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            reports: Vec::new(),
            told: 0,
            exchanged_at: None,
        }
    }

    /// When the next report is due, if there is one.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.reports.iter().map(|report| report.due).min()
    }

    /// Takes in what the daemon's requests have seen, and tells the keepers what is due. Without keepers it waits.
    pub fn report(
        &mut self,
        shared: &Shared,
        peers: &PeerSocket,
        keepers: &[SocketAddr],
        now: Timestamp,
    ) {
        if let Ok(mut seen) = shared.crashes_seen.lock() {
            let reports = seen.drain(..).map(|crash| Report {
                crash,
                left: REPORTS,
                due: now,
            });
            self.reports.extend(reports);
        }
        self.reports.truncate(MAX_REPORTS);
        let others: Vec<SocketAddr> = keepers
            .iter()
            .copied()
            .filter(|it| *it != self.own)
            .collect();
        let mut crashes = Vec::new();
        for report in self.reports.iter_mut().filter(|report| report.due <= now) {
            report.due = now + REPORT_INTERVAL;
            if !keepers.is_empty() {
                report.left -= 1;
                crashes.push(report.crash.clone());
            }
        }
        self.reports.retain(|report| report.left > 0);
        if crashes.is_empty() {
            return;
        }
        let message = Message::Crashes(crashes);
        for keeper in others {
            peers.send(keeper, &message);
        }
    }

    /// Tells all daemons what is in quarantine, if this daemon speaks and has not told it.
    pub fn announce(
        &mut self,
        shared: &Shared,
        peers: &PeerSocket,
        members: &[SocketAddr],
        now: Timestamp,
    ) {
        let digest = shared.tables().quarantine.digest(now);
        if digest == self.told {
            return;
        }
        self.told = digest;
        let message = self.news(shared, false, now);
        for member in members.iter().filter(|&&member| member != self.own) {
            peers.send(*member, &message);
        }
    }

    /// Compares the quarantine with that of a daemon that has told its digest, and exchanges them if they differ.
    pub fn compare(
        &mut self,
        shared: &Shared,
        peers: &PeerSocket,
        from: SocketAddr,
        digest: u64,
        now: Timestamp,
    ) {
        if shared.tables().quarantine.digest(now) == digest {
            self.told = digest;
            return;
        }
        let is_due = |at: Timestamp| now.since(at) >= EXCHANGE_INTERVAL;
        if self.exchanged_at.is_none_or(is_due) {
            self.exchanged_at = Some(now);
            peers.send(from, &self.news(shared, true, now));
        }
    }

    /// Takes in what another daemon holds in quarantine, and answers if it wants that.
    pub fn heard_news(
        &mut self,
        shared: &Shared,
        peers: &PeerSocket,
        news: &QuarantineNews,
        now: Timestamp,
    ) {
        shared.take_quarantine(&news.requests, "daemon");
        if news.wants_answer {
            peers.send(news.from, &self.news(shared, false, now));
        }
    }

    fn news(&self, shared: &Shared, wants_answer: bool, now: Timestamp) -> Message {
        Message::QuarantineNews(QuarantineNews {
            from: self.own,
            requests: shared.tables().quarantine.requests(now),
            wants_answer,
        })
    }
}
