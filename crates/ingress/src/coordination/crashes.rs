//! Tells other daemons under which requests runners have crashed, and which are in quarantine for that.

use std::net::SocketAddr;

use flaxward_routing::messages::Message;
use flaxward_routing::quarantine::exchange::QuarantineNews;
use flaxward_types::time::Timestamp;

use super::Coordination;

impl Coordination {
    /// When something is due at the latest, if anything will be.
    pub(super) fn next_crash_report(&self) -> Option<Timestamp> {
        self.quarantine.next_report()
    }

    /// Tells the keepers which runners have crashed under this daemon's requests, and all daemons what is in quarantine
    /// for that, if this daemon is to.
    pub(super) fn tell_crashes(&mut self, now: Timestamp) {
        let keepers = self.quotas.keepers().to_vec();
        self.report_crashes(&keepers, now);
        let members = if let Some(leading) = &self.leading {
            leading.member_addresses(now)
        } else if keepers.contains(&self.address) && !self.lease.hears_holder(now) {
            self.following.members().to_vec()
        } else {
            return;
        };
        let (news, requests) = {
            let quarantine = &self.shared.tables().quarantine;
            let news = self.quarantine.announcement(quarantine, now);
            (news, quarantine.requests(now))
        };
        self.lease.set_quarantine(requests);
        if let Some(news) = news {
            self.send_to_others(&members, &Message::QuarantineNews(news));
        }
    }

    fn report_crashes(&mut self, keepers: &[SocketAddr], now: Timestamp) {
        for crash in self.shared.take_crashes_seen() {
            self.quarantine.seen(crash, now);
        }
        let crashes = self.quarantine.due_reports(!keepers.is_empty(), now);
        if !crashes.is_empty() {
            self.send_to_others(keepers, &Message::Crashes(crashes));
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
        self.shared.take_quarantine(&news.requests, "daemon");
        let answer = self
            .quarantine
            .answer(&self.shared.tables().quarantine, news, now);
        if let Some(answer) = answer {
            self.peers.send(news.from, &Message::QuarantineNews(answer));
        }
    }

    fn send_to_others(&self, addresses: &[SocketAddr], message: &Message) {
        let others = addresses.iter().filter(|&&address| address != self.address);
        for address in others {
            self.peers.send(*address, message);
        }
    }
}
