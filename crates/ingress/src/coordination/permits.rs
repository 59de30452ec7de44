//! Permits for requests to runners that are cold or name a rate: this daemon asks the keeper, and is the keeper while it
//! coordinates.

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
    /// Sends the questions of this daemon's requests, or answers them if it is the keeper itself.
    pub(super) fn send_permit_questions(&mut self, now: Timestamp) {
        self.shared.tables().permit_keeper = self.permit_keeper();
        for (keeper, requests) in self.shared.permit_questions.take_unsent() {
            let questions = PermitQuestions {
                from: self.address,
                requests,
            };
            if keeper == self.address {
                let answers = self.permit_answers(&questions, now);
                heard_permit_answers(&self.shared, &answers);
            } else {
                self.tell_rates(keeper, &questions, now);
                self.peers
                    .send(keeper, &Message::PermitQuestions(questions));
            }
        }
    }

    /// Tells a keeper, before it is asked for permits, which rates the runners name: it may be new, or have missed it.
    fn tell_rates(&self, keeper: SocketAddr, questions: &PermitQuestions, now: Timestamp) {
        let runners = questions.requests.iter().map(|it| it.runner.clone());
        self.tell_of(keeper, &runners.collect(), now);
    }

    /// Answers the questions of another daemon.
    pub(super) fn answer_permit_questions(&mut self, questions: &PermitQuestions, now: Timestamp) {
        let answers = self.permit_answers(questions, now);
        self.peers
            .send(questions.from, &Message::PermitAnswers(answers));
    }

    /// Whom the requests of this daemon ask.
    fn permit_keeper(&self) -> Option<SocketAddr> {
        if self.leading.is_some() {
            Some(self.address)
        } else {
            self.following.coordinator()
        }
    }

    /// Only a coordinator whose lease holds gives permits: so there is one keeper at any time.
    fn permit_answers(&mut self, questions: &PermitQuestions, now: Timestamp) -> PermitAnswers {
        let term = self.lease.term(now);
        let shared = &self.shared;
        let leading = self.leading.as_mut();
        let mut keeper = leading
            .filter(|leading| Some(leading.term) == term)
            .map(|leading| &mut leading.permits);
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
    let begun_at = tables.cold_periods.started_at(&question.runner, now);
    let rate_limit = tables.notices.rate_limit(&question.runner);
    let has_named_rate = tables.notices.has_reported_rate(&question.runner);
    drop(tables);
    let bound = service.and_then(|service| shared.cold_bound(&service));
    if bound.is_none() && !has_named_rate {
        return PermitKeeper::unknown_runner();
    }
    let asked = PermitRequest {
        runner: &question.runner,
        rank: question.rank,
        cold: bound.map(|bound| ColdPeriod {
            bound,
            started_at: begun_at,
        }),
        rate_limit,
    };
    keeper.ask(&asked, now)
}

/// Takes in answers of the keeper. One that comes too late changes nothing: its permit has ended, or will unused.
pub(super) fn heard_permit_answers(shared: &Shared, answers: &PermitAnswers) {
    for answer in &answers.answers {
        shared
            .permit_questions
            .answer(answer.number, answer.decision);
    }
}
