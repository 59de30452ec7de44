//! Reports requests that crash runners to the other daemons, and exchanges the quarantine of such requests with them.

use std::net::SocketAddr;

use flaxward_routing::messages::Message;
use flaxward_routing::quarantine::exchange::QuarantineNews;
use flaxward_types::time::Timestamp;

use super::Coordination;

impl Coordination {
    /// Latest time at which the next run report is due, if any is pending.
    pub(super) fn next_run_report(&self) -> Option<Timestamp> {
        self.quarantine.next_report()
    }

    /// Sends relevant run results to the keepers and, if this daemon is a coordinator or keeper, the quarantine to all
    /// daemons. It is called for each message, so it iterates over the members only when there is something to send.
    pub(super) fn announce_quarantine(&mut self, now: Timestamp) {
        let keepers = self.quotas.keepers().to_vec();
        self.report_runs(&keepers, now);
        let record = self
            .quarantine
            .due_record(&self.shared.tables().quarantine, now);
        if let Some(record) = record {
            self.lease.set_quarantine(record);
        }
        // A deputy does not wait for the coordinator, which may be failing at this moment: each further dispatch of a
        // crashing request costs a runner.
        if self.leader.is_none() && !keepers.contains(&self.address) {
            return;
        }
        let announcement = self
            .quarantine
            .announcement(&self.shared.tables().quarantine, now);
        if let Some(announcement) = announcement {
            let members = match &self.leader {
                Some(leader) => leader.member_addresses(now),
                None => self.follower.members().to_vec(),
            };
            self.send_to_others(&members, &Message::QuarantineNews(announcement));
        }
    }

    fn report_runs(&mut self, keepers: &[SocketAddr], now: Timestamp) {
        for report in self.shared.take_run_reports() {
            self.quarantine.queue_report(report, now);
        }
        let reports = self.quarantine.due_reports(!keepers.is_empty(), now);
        if !reports.is_empty() {
            self.send_to_others(keepers, &Message::RunReports(reports));
        }
    }

    /// Compares the quarantine with the digest that a coordinator or standby has announced.
    pub(super) fn compare_quarantine(&mut self, from: SocketAddr, digest: u64) {
        let now = self.shared.now();
        let announcement = self
            .quarantine
            .compare(&self.shared.tables().quarantine, digest, now);
        if let Some(announcement) = announcement {
            self.peers
                .send(from, &Message::QuarantineNews(announcement));
        }
    }

    /// Merges the quarantine entries of another daemon.
    pub(super) fn merge_quarantine(&mut self, announcement: &QuarantineNews) {
        let now = self.shared.now();
        self.shared
            .merge_quarantine(&announcement.entries, "daemon");
        let answer = self
            .quarantine
            .answer(&self.shared.tables().quarantine, announcement, now);
        if let Some(answer) = answer {
            self.peers
                .send(announcement.from, &Message::QuarantineNews(answer));
        }
    }
}
