//! Permits for requests to cold runners: this daemon asks the keeper, and is the keeper while it coordinates.

use std::net::SocketAddr;

use flaxward_routing::messages::Message;
use flaxward_routing::permits::keeper::PermitKeeper;
use flaxward_routing::permits::{
    PermitAnswer, PermitAnswers, PermitDecision, PermitQuestion, PermitQuestions,
};
use flaxward_types::time::Timestamp;

use super::Coordination;
use crate::state::Shared;

impl Coordination {
    /// Sends the questions of this daemon's requests, or answers them if it is the keeper itself.
    pub(super) fn send_permit_questions(&mut self, now: Timestamp) {
        if self.shared.settings.cold_runners.is_none() {
            return;
        }
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
                self.peers
                    .send(keeper, &Message::PermitQuestions(questions));
            }
        }
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
    let runner = tables.runners.get(&question.runner);
    let service = runner.map(|runner| runner.service.clone());
    let spell_begun_at = tables.spells.begun_at(&question.runner, now);
    drop(tables);
    let Some(bound) = service.and_then(|service| shared.cold_bound(&service)) else {
        return PermitKeeper::unknown_runner();
    };
    keeper.ask(&question.runner, &bound, spell_begun_at, question.rank, now)
}

/// Takes in answers of the keeper. One that comes too late changes nothing: its permit has ended, or will unused.
pub(super) fn heard_permit_answers(shared: &Shared, answers: &PermitAnswers) {
    for answer in &answers.answers {
        shared
            .permit_questions
            .answer(answer.number, answer.decision);
    }
}
