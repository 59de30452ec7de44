//! Requests of this daemon for which the keeper of quotas is asked.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use flaxward_routing::names::TenantName;
use flaxward_routing::quota::{Grant, QuotaAnswer, QuotaQuestion};
use tokio::sync::oneshot;

/// Questions that are waited for, at most; older ones count as unanswered.
const MAX_WAITERS: u64 = 4_096;

#[derive(Debug, Default)]
struct Questions {
    last_number: u64,
    unsent: HashMap<SocketAddr, Vec<QuotaQuestion>>,
    waiters: HashMap<u64, oneshot::Sender<Grant>>,
}

/// Numbers questions and brings answers to those who wait for them.
#[derive(Debug, Default)]
pub(crate) struct QuotaClient {
    questions: Mutex<Questions>,
}

/// A question that is waited for.
#[derive(Debug)]
pub(crate) struct Waited(oneshot::Receiver<Grant>);

impl Waited {
    /// The keeper's answer; `None` if there will be none.
    pub(crate) async fn answer(self) -> Option<Grant> {
        self.0.await.ok()
    }
}

impl QuotaClient {
    /// Has the keeper at an address asked for a request.
    pub(crate) fn ask(
        &self,
        keeper: SocketAddr,
        tenant: &TenantName,
        cost: u32,
        rank: u8,
    ) -> Waited {
        let (sender, receiver) = oneshot::channel();
        let mut questions = self.lock();
        questions.last_number += 1;
        let number = questions.last_number;
        let question = QuotaQuestion {
            number,
            tenant: tenant.clone(),
            cost,
            rank,
        };
        let unsent = questions.unsent.entry(keeper).or_default();
        unsent.push(question);
        questions.waiters.insert(number, sender);
        if let Some(old) = number.checked_sub(MAX_WAITERS) {
            questions.waiters.remove(&old);
        }
        Waited(receiver)
    }

    /// Questions that were not sent yet, by keeper.
    pub(crate) fn take_unsent(&self) -> HashMap<SocketAddr, Vec<QuotaQuestion>> {
        std::mem::take(&mut self.lock().unsent)
    }

    /// Brings an answer to the request that waits for it, if it still does.
    pub(crate) fn answer(&self, answer: &QuotaAnswer) {
        if let Some(waiter) = self.lock().waiters.remove(&answer.number) {
            // The request may have waited no longer.
            let _ = waiter.send(answer.grant);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Questions> {
        self.questions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
