//! Permits for requests to runners that are cold or name a rate limit: this daemon asks the keeper, and is the keeper
//! while it coordinates.

use std::net::SocketAddr;

use flaxward_routing::messages::Message;
use flaxward_routing::permits::keeper::{ColdPeriod, PermitKeeper, PermitRequest};
use flaxward_routing::permits::{
    PermitAnswer, PermitAnswers, PermitDecision, PermitQuestion, PermitQuestions,
};
use flaxward_types::time::Timestamp;

use super::Coordination;
use crate::state::Shared;

impl Coordination {
    /// Sends this daemon's permit requests to the keeper, or answers them if this daemon is the keeper.
    pub(super) fn send_permit_questions(&mut self, now: Timestamp) {
        self.shared.tables().permit_keeper = self.permit_keeper();
        for (keeper, requests) in self.shared.permit_questions.take_unsent() {
            let questions = PermitQuestions {
                from: self.address,
                requests,
            };
            if keeper == self.address {
                let answers = self.permit_answers(&questions, now);
                apply_permit_answers(&self.shared, &answers);
            } else {
                self.send_rate_limits(keeper, &questions, now);
                self.peers
                    .send(keeper, &Message::PermitQuestions(questions));
            }
        }
    }

    /// Sends a keeper the rate limits that the runners name before it is asked for permits: a new keeper does not know
    /// them, and an old one may have missed them.
    fn send_rate_limits(&self, keeper: SocketAddr, questions: &PermitQuestions, now: Timestamp) {
        let runners = questions.requests.iter().map(|it| it.runner.clone());
        self.send_notices_of(keeper, &runners.collect(), now);
    }

    /// Answers the permit requests of another daemon.
    pub(super) fn answer_permit_questions(&mut self, questions: &PermitQuestions, now: Timestamp) {
        let answers = self.permit_answers(questions, now);
        self.peers
            .send(questions.from, &Message::PermitAnswers(answers));
    }

    /// The keeper that this daemon's requests ask for permits.
    fn permit_keeper(&self) -> Option<SocketAddr> {
        if self.leader.is_some() {
            Some(self.address)
        } else {
            self.follower.coordinator()
        }
    }

    /// Grants permits only while this daemon coordinates under a valid lease, so that there is at most one keeper at a time.
    fn permit_answers(&mut self, questions: &PermitQuestions, now: Timestamp) -> PermitAnswers {
        let term = self.lease.term(now);
        let shared = &self.shared;
        let leader = self.leader.as_mut();
        let mut keeper = leader
            .filter(|leader| Some(leader.term) == term)
            .map(|leader| &mut leader.permits);
        let answer = |question: &PermitQuestion| PermitAnswer {
            number: question.number,
            decision: match &mut keeper {
                Some(keeper) => decide(shared, keeper, question, now),
                None => PermitKeeper::unknown_runner(),
            },
        };
        PermitAnswers {
            answers: questions.requests.iter().map(answer).collect(),
        }
    }
}

fn decide(
    shared: &Shared,
    keeper: &mut PermitKeeper,
    question: &PermitQuestion,
    now: Timestamp,
) -> PermitDecision {
    let tables = shared.tables();
    let service = tables
        .runners
        .get(&question.runner)
        .map(|runner| runner.service.clone());
    let started_at = tables.cold_periods.started_at(&question.runner, now);
    let rate_limit = tables.notices.rate_limit(&question.runner);
    let has_named_rate = tables.notices.has_reported_rate(&question.runner);
    drop(tables);
    let bound = service.and_then(|service| shared.cold_bound(&service));
    if bound.is_none() && !has_named_rate {
        return PermitKeeper::unknown_runner();
    }
    let request = PermitRequest {
        runner: &question.runner,
        rank: question.rank,
        cold: bound.map(|bound| ColdPeriod { bound, started_at }),
        rate_limit,
    };
    keeper.ask(&request, now)
}

/// Applies the keeper's answers. One that arrives too late has no effect: its permit has expired, or expires unused.
pub(super) fn apply_permit_answers(shared: &Shared, answers: &PermitAnswers) {
    for answer in &answers.answers {
        shared
            .permit_questions
            .answer(answer.number, answer.decision);
    }
}
