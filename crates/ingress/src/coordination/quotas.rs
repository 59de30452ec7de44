//! Enforcement of quotas across all daemons: what this daemon reports to and asks of the keepers, and what it announces
//! to all others if it is a keeper.

use std::fmt::Display;
use std::net::SocketAddr;

use flaxward_routing::messages::Message;
use flaxward_routing::quota::announcer::{Announcer, AnnouncerRole, DEPUTIES};
use flaxward_routing::quota::keeper::QuotaKeeper;
use flaxward_routing::quota::{
    QuotaAnswer, QuotaAnswers, QuotaNews, QuotaQuestion, QuotaQuestions, TenantLimit, UseReport,
};
use flaxward_types::time::Timestamp;

use crate::peer::PeerSocket;
use crate::state::Shared;

/// This daemon's part in enforcing quotas.
#[derive(Debug)]
pub(super) struct Quotas {
    own: SocketAddr,
    keeper: QuotaKeeper,
    announcer: Announcer,
    /// Whether the configuration limits any tenant; if not, nothing is reported or announced.
    has_limits: bool,
}

impl Quotas {
    /// Quotas of a daemon that listens at `own` and does not know a keeper yet.
    pub fn new(own: SocketAddr, now: Timestamp) -> Self {
        Self {
            own,
            keeper: QuotaKeeper::new(now),
            announcer: Announcer::new(own, now),
            has_limits: false,
        }
    }

    /// Applies the announcement of a keeper.
    pub fn apply_announcement(&mut self, shared: &Shared, announcement: &QuotaNews) {
        let now = shared.now();
        self.announcer.observe(announcement, now);
        shared.tables().quota.apply_announcement(announcement, now);
    }

    /// Records what a daemon has admitted.
    pub fn record_use_report(&mut self, report: UseReport, now: Timestamp) {
        self.keeper.record_report(report, now);
    }

    /// The daemons that keep the state which must survive the coordinator: the coordinator first, then its deputies.
    pub fn keepers(&self) -> &[SocketAddr] {
        self.announcer.keepers()
    }

    /// Whether the configuration limits any tenant; if not, there is nothing to report or announce.
    pub fn has_limits(&self) -> bool {
        self.has_limits
    }

    /// Latest time at which the next report is due, if any will be.
    pub fn next_wake(&self, shared: &Shared) -> Option<Timestamp> {
        self.has_limits
            .then(|| shared.tables().quota.report_due_at())
    }

    /// Reports to the keepers what this daemon has admitted, if a report is due.
    pub fn report(&mut self, shared: &Shared, peers: &PeerSocket, now: Timestamp) {
        if let Some(configuration) = shared.configuration() {
            self.keeper.configure(&configuration, now);
        }
        self.has_limits = self.keeper.has_buckets();
        if !self.has_limits {
            return;
        }
        let Some(report) = shared.tables().quota.due_report(self.own, now) else {
            return;
        };
        let keepers = self.announcer.keepers().iter();
        for keeper in keepers.filter(|&&keeper| keeper != self.own) {
            peers.send(*keeper, &Message::UseReport(report.clone()));
        }
        if self.announcer.is_keeper() {
            self.keeper.record_report(report, now);
        }
    }

    /// Sends this daemon's quota requests to the keepers, or answers them if this daemon is the keeper.
    pub fn send_questions(&mut self, shared: &Shared, peers: &PeerSocket, now: Timestamp) {
        for (keeper, requests) in shared.quota_questions.take_unsent() {
            let questions = QuotaQuestions {
                from: self.own,
                requests,
            };
            if keeper == self.own {
                let answers = self.answers(&questions, now);
                Self::apply_answers(shared, &answers);
            } else {
                peers.send(keeper, &Message::QuotaQuestions(questions));
            }
        }
    }

    /// Answers the quota requests of another daemon.
    pub fn answer(&mut self, peers: &PeerSocket, questions: &QuotaQuestions, now: Timestamp) {
        let answers = self.answers(questions, now);
        peers.send(questions.from, &Message::QuotaAnswers(answers));
    }

    fn answers(&mut self, questions: &QuotaQuestions, now: Timestamp) -> QuotaAnswers {
        let keeper = &mut self.keeper;
        let answer = |question: &QuotaQuestion| QuotaAnswer {
            number: question.number,
            grant: keeper.ask(questions.from, question, now),
        };
        QuotaAnswers {
            from: self.own,
            answers: questions.requests.iter().map(answer).collect(),
        }
    }

    /// Applies the keeper's answers. One that arrives too late has no effect: what the daemon reports as admitted does not
    /// include it.
    pub fn apply_answers(shared: &Shared, answers: &QuotaAnswers) {
        for answer in &answers.answers {
            shared.quota_questions.answer(answer.number, answer.grant);
        }
    }

    /// What the coordinator announces with each of its messages.
    pub fn announcement(
        &mut self,
        deputies: &[SocketAddr],
        daemons: u32,
        now: Timestamp,
    ) -> QuotaNews {
        let deputies = deputies.iter().take(DEPUTIES).copied();
        QuotaNews {
            from: self.own,
            keepers: std::iter::once(self.own).chain(deputies).collect(),
            daemons,
            limits: self.keeper.limits(daemons, now),
        }
    }

    /// What this daemon announces if it is a deputy and the coordinator is silent.
    pub fn deputy_announcement(&mut self, daemons: u32, now: Timestamp) -> Option<QuotaNews> {
        if !self.has_limits || !self.announcer.acts_as_deputy(now) {
            self.announcer.stop();
            return None;
        }
        Some(QuotaNews {
            from: self.own,
            keepers: Vec::new(),
            daemons,
            limits: self.keeper.limits(daemons, now),
        })
    }

    /// Whether an announcement to all daemons is due apart from the coordinator's heartbeats.
    pub fn is_announcement_due(
        &self,
        role: AnnouncerRole,
        announcement: &QuotaNews,
        now: Timestamp,
    ) -> bool {
        self.announcer.is_due(role, &announcement.limits, now)
    }

    /// Records that an announcement was sent to all daemons.
    pub fn record_announced(&mut self, shared: &Shared, announcement: &QuotaNews, now: Timestamp) {
        shared.tables().quota.apply_announcement(announcement, now);
        if self.announcer.record_announced(&announcement.limits, now) {
            let fields: &[(&str, &dyn Display)] = &[
                ("daemons", &announcement.daemons),
                ("limits", &format_limits(&announcement.limits)),
            ];
            shared.log.write(now, "quota-limits", fields);
        }
    }
}

/// The tenants near their limit, each with the share in thousandths to admit without an answer.
fn format_limits(limits: &[TenantLimit]) -> String {
    let one = |limit: &TenantLimit| format!("{}:{}", limit.tenant, limit.admit);
    let all: Vec<String> = limits.iter().map(one).collect();
    all.join(",")
}
