//! How quotas are kept over all daemons: what this daemon tells and asks the keepers, and what it tells all others if
//! it is one.

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

/// What this daemon does for quotas.
#[derive(Debug)]
pub(super) struct Quotas {
    own: SocketAddr,
    keeper: QuotaKeeper,
    announcer: Announcer,
    /// The configuration bounds some tenant; else nobody is told anything.
    tells_keepers: bool,
}

impl Quotas {
    /// A daemon that listens at an address and knows of no keeper.
    pub fn new(own: SocketAddr, now: Timestamp) -> Self {
        Self {
            own,
            keeper: QuotaKeeper::new(now),
            announcer: Announcer::new(own, now),
            tells_keepers: false,
        }
    }

    /// Takes in what a keeper tells.
    pub fn heard_news(&mut self, shared: &Shared, news: &QuotaNews) {
        let now = shared.now();
        self.announcer.observe(news, now);
        shared.tables().quota.apply_announcement(news, now);
    }

    /// Takes in what a daemon has admitted.
    pub fn heard_use(&mut self, report: UseReport, now: Timestamp) {
        self.keeper.record_report(report, now);
    }

    /// The daemons that keep for all what must survive the coordinator: itself first, then its deputies.
    pub fn keepers(&self) -> &[SocketAddr] {
        self.announcer.keepers()
    }

    /// Whether the configuration bounds some tenant; else there is nothing to be told.
    pub fn are_kept(&self) -> bool {
        self.tells_keepers
    }

    /// When something is due at the latest, if anything will be.
    pub fn next_wake(&self, shared: &Shared) -> Option<Timestamp> {
        self.tells_keepers
            .then(|| shared.tables().quota.report_due_at())
    }

    /// Tells the keepers what this daemon has admitted, if that is due.
    pub fn report(&mut self, shared: &Shared, peers: &PeerSocket, now: Timestamp) {
        if let Some(configuration) = shared.configuration() {
            self.keeper.configure(&configuration, now);
        }
        self.tells_keepers = self.keeper.has_buckets();
        if !self.tells_keepers {
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

    /// Sends the questions of this daemon's requests, or answers them if it is the keeper itself.
    pub fn send_questions(&mut self, shared: &Shared, peers: &PeerSocket, now: Timestamp) {
        for (keeper, requests) in shared.quota_questions.take_unsent() {
            let questions = QuotaQuestions {
                from: self.own,
                requests,
            };
            if keeper == self.own {
                let answers = self.answers(&questions, now);
                Self::heard_answers(shared, &answers);
            } else {
                peers.send(keeper, &Message::QuotaQuestions(questions));
            }
        }
    }

    /// Answers the questions of another daemon.
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

    /// Takes in answers of the keeper. One that comes too late changes nothing: what the daemon reports to have
    /// admitted does not hold it.
    pub fn heard_answers(shared: &Shared, answers: &QuotaAnswers) {
        for answer in &answers.answers {
            shared.quota_questions.answer(answer.number, answer.grant);
        }
    }

    /// What the coordinator tells with each of its messages.
    pub fn news(&mut self, deputies: &[SocketAddr], daemons: u32, now: Timestamp) -> QuotaNews {
        let deputies = deputies.iter().take(DEPUTIES).copied();
        QuotaNews {
            from: self.own,
            keepers: std::iter::once(self.own).chain(deputies).collect(),
            daemons,
            limits: self.keeper.limits(daemons, now),
        }
    }

    /// What a deputy tells, if it speaks for a coordinator that is silent.
    pub fn deputy_news(&mut self, daemons: u32, now: Timestamp) -> Option<QuotaNews> {
        if !self.tells_keepers || !self.announcer.acts_as_deputy(now) {
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

    /// Whether all daemons are to be told apart from the coordinator's heartbeats.
    pub fn is_news_due(&self, speaker: AnnouncerRole, news: &QuotaNews, now: Timestamp) -> bool {
        self.announcer.is_due(speaker, &news.limits, now)
    }

    /// Notes that all daemons are told.
    pub fn note_told(&mut self, shared: &Shared, news: &QuotaNews, now: Timestamp) {
        shared.tables().quota.apply_announcement(news, now);
        if self.announcer.record_announced(&news.limits, now) {
            let fields: &[(&str, &dyn Display)] =
                &[("daemons", &news.daemons), ("limits", &text(&news.limits))];
            shared.log.write(now, "quota-limits", fields);
        }
    }
}

/// The tenants near their limit, with the thousandths to admit without an answer.
fn text(limits: &[TenantLimit]) -> String {
    let one = |limit: &TenantLimit| format!("{}:{}", limit.tenant, limit.admit);
    let all: Vec<String> = limits.iter().map(one).collect();
    all.join(",")
}
