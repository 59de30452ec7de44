//! Concurrency permits for requests to brittle runners: this daemon asks the keeper and reports its permits, and is the
//! keeper while it coordinates. Daemons tell each other which services have brittle runners.

use std::collections::BTreeSet;

use flaxward_routing::concurrency::limits::{RejectionLimitNews, SharedRejectionLimit};
use flaxward_routing::concurrency::{
    ConcurrencyAnswer, ConcurrencyAnswers, ConcurrencyQuestions, ConcurrencyReport,
};
use flaxward_routing::messages::Message;
use flaxward_routing::names::ServiceName;
use flaxward_types::time::Timestamp;

use super::Coordination;
use crate::state::Shared;

impl Coordination {
    /// Sends the keeper this daemon's reports and questions, or handles them if this daemon is the keeper. Reports come
    /// first, since they make room.
    pub(super) fn send_concurrency(&mut self, now: Timestamp) {
        let keeper = self.shared.tables().permit_keeper;
        if let Some(keeper) = keeper {
            let mut tables = self.shared.tables();
            let ledger = &mut tables.notices.concurrency;
            let reports = ledger.due_reports(self.address, keeper, now);
            drop(tables);
            for report in reports {
                if keeper == self.address {
                    self.record_concurrency(&report, now);
                } else {
                    self.peers.send(keeper, &Message::ConcurrencyReport(report));
                }
            }
        }
        for (keeper, requests) in self.shared.concurrency_questions.take_unsent() {
            let questions = ConcurrencyQuestions {
                from: self.address,
                requests,
            };
            if keeper != self.address {
                self.peers
                    .send(keeper, &Message::ConcurrencyQuestions(questions));
            } else if let Some(answers) = self.concurrency_answers(&questions, now) {
                apply_concurrency_answers(&self.shared, &answers);
            }
        }
    }

    /// Records a daemon's report, if this daemon coordinates.
    pub(super) fn record_concurrency(&mut self, report: &ConcurrencyReport, now: Timestamp) {
        if let Some(leader) = &mut self.leader {
            leader.concurrency.record(report, now);
        }
    }

    /// Answers the questions of another daemon, if this daemon is the keeper.
    pub(super) fn answer_concurrency(&mut self, questions: &ConcurrencyQuestions, now: Timestamp) {
        if let Some(answers) = self.concurrency_answers(questions, now) {
            self.peers
                .send(questions.from, &Message::ConcurrencyAnswers(answers));
        }
    }

    /// Gives permits only while this daemon coordinates under a valid lease, so that there is at most one keeper at a
    /// time. A daemon without an answer keeps to its own share.
    fn concurrency_answers(
        &mut self,
        questions: &ConcurrencyQuestions,
        now: Timestamp,
    ) -> Option<ConcurrencyAnswers> {
        let term = self.lease.term(now);
        let leader = self.leader.as_mut()?;
        if Some(leader.term) != term {
            return None;
        }
        let answers = questions.requests.iter().map(|question| ConcurrencyAnswer {
            number: question.number,
            decision: leader.concurrency.ask(questions.from, question, now),
        });
        Some(ConcurrencyAnswers {
            answers: answers.collect(),
        })
    }

    /// Tells the coordinator or, as the coordinator, all members which services have brittle runners.
    pub(super) fn send_rejection_limits(&mut self, now: Timestamp) {
        let coordinator = self.follower.coordinator();
        let leads = self.leader.is_some();
        if !leads && coordinator.is_none() {
            return;
        }
        let mut tables = self.shared.tables();
        let mut limits = tables.notices.rejection_limits.due(leads, now);
        if limits.is_empty() {
            return;
        }
        if let Some(leader) = &self.leader {
            let busy: BTreeSet<&ServiceName> = leader
                .concurrency
                .busy_runners(now)
                .filter_map(|runner| tables.runners.get(runner))
                .map(|runner| &runner.service)
                .collect();
            for limit in &mut limits {
                limit.is_busy = busy.contains(&limit.service);
            }
        }
        drop(tables);
        let message = Message::RejectionLimits(RejectionLimitNews {
            from: self.address,
            limits,
        });
        if let Some(leader) = &self.leader {
            self.send_to_others(&leader.member_addresses(now), &message);
        } else if let Some(coordinator) = coordinator {
            self.peers.send(coordinator, &message);
        }
    }

    /// Merges what another daemon has told of services with brittle runners.
    pub(super) fn merge_rejection_limits(&mut self, received: &RejectionLimitNews, now: Timestamp) {
        let is_from_coordinator = self.follower.coordinator() == Some(received.from);
        for limit in &received.limits {
            self.shared.merge_rejection_limit(limit);
            if is_from_coordinator {
                let notices = &mut self.shared.tables().notices;
                notices.rejection_limits.record_shared(&limit.service, now);
                let SharedRejectionLimit {
                    service, is_busy, ..
                } = limit;
                let ledger = &mut notices.concurrency;
                ledger.record_announcement(service, *is_busy, now);
            }
        }
    }
}

/// Delivers the keeper's answers to the requests that wait for them.
pub(super) fn apply_concurrency_answers(shared: &Shared, answers: &ConcurrencyAnswers) {
    for answer in &answers.answers {
        shared
            .concurrency_questions
            .answer(answer.number, answer.decision);
    }
}
