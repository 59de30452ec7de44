//! Origins of streams: this daemon sends those of the streams that it relays to the keepers, asks them, and answers others.
//! The keepers are the coordinator and the first standbys.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::messages::Message;
use flaxward_routing::stream_origins::messages::{
    OriginAnswer, OriginAnswers, OriginQuestion, OriginQuestions,
};
use flaxward_types::time::Timestamp;

use super::Coordination;

impl Coordination {
    /// Sends the keepers the origins that are due.
    pub(super) fn send_stream_origins(&mut self, now: Timestamp) {
        let keepers = self.quotas.keepers().iter();
        let keepers: Vec<SocketAddr> = keepers
            .copied()
            .filter(|keeper| *keeper != self.address)
            .collect();
        let mut tables = self.shared.tables();
        let records = tables.stream_origins.due_records(&keepers, now);
        tables.origin_keepers = keepers;
        drop(tables);
        for (keeper, records) in records {
            self.peers.send(keeper, &Message::StreamOrigins(records));
        }
    }

    /// Sends this daemon's questions to the keepers.
    pub(super) fn send_origin_questions(&mut self) {
        for (keeper, requests) in self.shared.origin_questions.take_unsent() {
            let questions = OriginQuestions {
                from: self.address,
                requests,
            };
            self.peers
                .send(keeper, &Message::OriginQuestions(questions));
        }
    }

    /// Answers the questions of another daemon. A coordinator that has not read the stored origins yet does not answer: its
    /// answer that there is no record is final.
    pub(super) fn answer_origin_questions(&mut self, questions: &OriginQuestions) {
        let term = self.leader.as_ref().map(|leader| leader.term);
        if term.is_some_and(|term| !self.origin_backup.has_read(term)) {
            return;
        }
        let now = self.shared.now();
        let tables = self.shared.tables();
        let answer = |question: &OriginQuestion| {
            let window = Duration::from_millis(u64::from(question.window_ms));
            let origins = &tables.stream_origins;
            OriginAnswer {
                number: question.number,
                knowledge: origins.knowledge(question.key, &question.service, window, now),
            }
        };
        let answers: Vec<OriginAnswer> = questions.requests.iter().map(answer).collect();
        drop(tables);
        let answers = Message::OriginAnswers(OriginAnswers { answers });
        self.peers.send(questions.from, &answers);
    }

    /// Delivers the answers of a keeper to the requests that wait for them.
    pub(super) fn apply_origin_answers(&mut self, answers: OriginAnswers) {
        for answer in answers.answers {
            self.shared
                .origin_questions
                .answer(answer.number, answer.knowledge);
        }
    }
}
