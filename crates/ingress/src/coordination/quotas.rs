//! How quotas are kept over all daemons: what this daemon tells the keepers, and what it tells all others if it is one.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::messages::Message;
use flaxward_routing::quota::keeper::QuotaKeeper;
use flaxward_routing::quota::{
    Grant, QuotaAnswer, QuotaAnswers, QuotaNews, QuotaQuestion, QuotaQuestions, TenantLimit,
    UseReport,
};
use flaxward_types::time::Timestamp;

use crate::peer::PeerSocket;
use crate::state::Shared;

/// Standbys that keep the quotas beside the coordinator. With two, a coordinator and a standby can be lost at once.
pub(super) const DEPUTIES: usize = 2;
/// Shortest time between two messages to all daemons.
const LEAST_NEWS_INTERVAL: Duration = Duration::from_millis(80);
/// Time between two messages of a deputy without news. The coordinator's heartbeats hold the same.
const NEWS_INTERVAL: Duration = Duration::from_millis(500);
/// Silence of the coordinator after which the first deputy speaks, and how much later each next one does.
const DEPUTY_SILENCE: Duration = Duration::from_millis(700);
const DEPUTY_TURN: Duration = Duration::from_millis(250);

/// What this daemon does for quotas.
#[derive(Debug)]
pub(super) struct Quotas {
    own: SocketAddr,
    keeper: QuotaKeeper,
    /// Whom this daemon tells what it admits.
    keepers: Vec<SocketAddr>,
    heard_at: Timestamp,
    told: Vec<TenantLimit>,
    told_at: Timestamp,
}

impl Quotas {
    /// A daemon that listens at an address and knows of no keeper.
    pub fn new(own: SocketAddr, now: Timestamp) -> Self {
        Self {
            own,
            keeper: QuotaKeeper::new(own, now),
            keepers: Vec::new(),
            heard_at: now,
            told: Vec::new(),
            told_at: Timestamp::ZERO,
        }
    }

    /// Takes in what a keeper tells.
    pub fn heard_news(&mut self, shared: &Shared, news: &QuotaNews) {
        let now = shared.now();
        self.heard_at = now;
        if !news.keepers.is_empty() {
            self.keepers.clone_from(&news.keepers);
        }
        shared.tables().quota.heard(news, now);
    }

    /// Takes in what a daemon has admitted.
    pub fn heard_use(&mut self, report: UseReport, now: Timestamp) {
        self.keeper.heard(report, now);
    }

    /// When something is due at the latest.
    pub fn next_wake(&self, shared: &Shared) -> Timestamp {
        shared.tables().quota.report_due_at()
    }

    /// This daemon is not the one that tells of limits.
    pub fn stop_telling(&mut self) {
        self.told.clear();
    }

    /// Tells the keepers what this daemon has admitted, if that is due.
    pub fn report(&mut self, shared: &Shared, peers: &PeerSocket, now: Timestamp) {
        if let Some(configuration) = shared.configuration() {
            self.keeper.configure(&configuration, now);
        }
        let Some(report) = shared.tables().quota.due_report(self.own, now) else {
            return;
        };
        let others = self.keepers.iter().filter(|&&keeper| keeper != self.own);
        for keeper in others {
            peers.send(*keeper, &Message::UseReport(report.clone()));
        }
        if self.is_keeper() {
            self.keeper.heard(report, now);
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
            grant: keeper.ask(&question.tenant, question.cost, question.rank, now),
        };
        QuotaAnswers {
            from: self.own,
            answers: questions.requests.iter().map(answer).collect(),
        }
    }

    /// Takes in answers of the keeper. What is granted to a request that waits no longer is given back.
    pub fn heard_answers(shared: &Shared, answers: &QuotaAnswers) {
        let now = shared.now();
        for answer in &answers.answers {
            let unused = shared.quota_questions.answer(answer);
            if let Some(question) = unused.filter(|_| answer.grant == Grant::Granted) {
                let mut tables = shared.tables();
                let (tenant, cost) = (&question.tenant, question.cost);
                tables.quota.answered(tenant, cost, answers.from, answer.grant);
                tables.quota.give_back(tenant, cost, now);
            }
        }
    }

    fn is_keeper(&self) -> bool {
        self.keepers.contains(&self.own)
    }

    /// What the coordinator tells with each of its messages.
    pub fn news(
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
            limits: self.keeper.limits(now),
        }
    }

    /// What a deputy tells.
    pub fn deputy_news(&mut self, daemons: u32, now: Timestamp) -> QuotaNews {
        QuotaNews {
            from: self.own,
            keepers: Vec::new(),
            daemons,
            limits: self.keeper.limits(now),
        }
    }

    /// Whether all daemons are to be told of limits apart from the coordinator's other messages.
    pub fn is_news_due(&self, limits: &[TenantLimit], now: Timestamp) -> bool {
        let age = now.since(self.told_at);
        if age < LEAST_NEWS_INTERVAL {
            return false;
        }
        names(&self.told) != names(limits)
    }

    /// Notes that all daemons were told of limits.
    pub fn note_told(&mut self, shared: &Shared, limits: Vec<TenantLimit>, now: Timestamp) {
        if names(&self.told) != names(&limits) {
            let fields: &[(&str, &dyn std::fmt::Display)] =
                &[("before", &text(&self.told)), ("limits", &text(&limits))];
            shared.log.write(now, "quota-limits", fields);
        }
        self.told = limits;
        self.told_at = now;
    }

    /// Whether this daemon speaks in the coordinator's place, as one of the deputies.
    pub fn speaks_as_deputy(&self, now: Timestamp) -> bool {
        let place = self.keepers.iter().position(|keeper| *keeper == self.own);
        let Some(place) = place.and_then(|place| u32::try_from(place).ok()) else {
            return false;
        };
        now.since(self.heard_at) >= DEPUTY_SILENCE + DEPUTY_TURN * place
    }

    /// Whether the next message of a deputy is due.
    pub fn is_deputy_news_due(&self, limits: &[TenantLimit], now: Timestamp) -> bool {
        now.since(self.told_at) >= NEWS_INTERVAL || self.is_news_due(limits, now)
    }
}

fn names(limits: &[TenantLimit]) -> Vec<&str> {
    limits.iter().map(|limit| limit.tenant.as_str()).collect()
}

fn text(limits: &[TenantLimit]) -> String {
    let one = |limit: &TenantLimit| format!("{}:{}", limit.tenant, limit.admit);
    let all: Vec<String> = limits.iter().map(one).collect();
    all.join(",")
}
