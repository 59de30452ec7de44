//! Tells other daemons under which requests runners crash, and which are in quarantine for that.

use std::net::SocketAddr;

use flaxward_routing::messages::Message;
use flaxward_routing::quarantine::exchange::QuarantineNews;
use flaxward_types::time::Timestamp;

use super::Coordination;

impl Coordination {
    /// When something is due at the latest, if anything will be.
    pub(super) fn next_run_report(&self) -> Option<Timestamp> {
        self.quarantine.next_report()
    }

    /// Tells the keepers what came of runs that say something, and all daemons what is in quarantine, if this daemon is
    /// to. It is called at each message, so nothing here goes through the members without need.
    pub(super) fn tell_quarantine(&mut self, now: Timestamp) {
        let keepers = self.quotas.keepers().to_vec();
        self.report_runs(&keepers, now);
        let record = self
            .quarantine
            .due_record(&self.shared.tables().quarantine, now);
        if let Some(record) = record {
            self.lease.set_quarantine(record);
        }
        // A deputy does not wait for the coordinator, which may be lost at this very moment: each send costs a runner.
        if self.leading.is_none() && !keepers.contains(&self.address) {
            return;
        }
        let news = self
            .quarantine
            .announcement(&self.shared.tables().quarantine, now);
        if let Some(news) = news {
            let members = match &self.leading {
                Some(leading) => leading.member_addresses(now),
                None => self.following.members().to_vec(),
            };
            self.send_to_others(&members, &Message::QuarantineNews(news));
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

    /// Compares the quarantine with the digest that a coordinator or standby has told.
    pub(super) fn compare_quarantine(&mut self, from: SocketAddr, digest: u64) {
        let now = self.shared.now();
        let news = self
            .quarantine
            .compare(&self.shared.tables().quarantine, digest, now);
        if let Some(news) = news {
            self.peers.send(from, &Message::QuarantineNews(news));
        }
    }

    /// Takes in what another daemon holds in quarantine.
    pub(super) fn heard_quarantine(&mut self, news: &QuarantineNews) {
        let now = self.shared.now();
        self.shared.merge_quarantine(&news.entries, "daemon");
        let answer = self
            .quarantine
            .answer(&self.shared.tables().quarantine, news, now);
        if let Some(answer) = answer {
            self.peers.send(news.from, &Message::QuarantineNews(answer));
        }
    }
}
