//! Requests of this daemon for which a keeper is asked: of quotas, or of permits for cold runners.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Questions that are waited for, at most; older ones count as unanswered.
const MAX_WAITERS: u64 = 4_096;

#[derive(Debug)]
struct Questions<Question, Answer> {
    last_number: u64,
    unsent: HashMap<SocketAddr, Vec<Question>>,
    waiters: HashMap<u64, oneshot::Sender<Answer>>,
}

/// Numbers questions and brings answers to those who wait for them.
#[derive(Debug)]
pub(crate) struct KeeperClient<Question, Answer> {
    questions: Mutex<Questions<Question, Answer>>,
}

impl<Question, Answer> Default for KeeperClient<Question, Answer> {
    fn default() -> Self {
        let questions = Questions {
            last_number: 0,
            unsent: HashMap::new(),
            waiters: HashMap::new(),
        };
        Self {
            questions: Mutex::new(questions),
        }
    }
}

/// A question that is waited for.
#[derive(Debug)]
pub(crate) struct Waited<Answer>(oneshot::Receiver<Answer>);

impl<Answer> Waited<Answer> {
    /// The keeper's answer; `None` if there will be none.
    pub(crate) async fn answer(self) -> Option<Answer> {
        self.0.await.ok()
    }
}

impl<Question, Answer> KeeperClient<Question, Answer> {
    /// Has the keeper at an address asked; `question` gets the number of the question.
    pub(crate) fn ask(
        &self,
        keeper: SocketAddr,
        question: impl FnOnce(u64) -> Question,
    ) -> Waited<Answer> {
        let (sender, receiver) = oneshot::channel();
        let mut questions = self.lock();
        questions.last_number += 1;
        let number = questions.last_number;
        let unsent = questions.unsent.entry(keeper).or_default();
        unsent.push(question(number));
        questions.waiters.insert(number, sender);
        if let Some(old) = number.checked_sub(MAX_WAITERS) {
            questions.waiters.remove(&old);
        }
        Waited(receiver)
    }

    /// Questions that were not sent yet, by keeper.
    pub(crate) fn take_unsent(&self) -> HashMap<SocketAddr, Vec<Question>> {
        std::mem::take(&mut self.lock().unsent)
    }

    /// Brings an answer to the request that waits for it, if it still does.
    pub(crate) fn answer(&self, number: u64, answer: Answer) {
        if let Some(waiter) = self.lock().waiters.remove(&number) {
            // The request may have waited no longer.
            let _ = waiter.send(answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Questions<Question, Answer>> {
        self.questions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
