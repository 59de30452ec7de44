//! Client for questions to a keeper, of quotas, of permits or of the origins of streams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

/// Timeout for an answer of the coordinator as keeper: a message each way, and its longest planning round.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
/// Maximum number of pending questions; older ones count as unanswered.
const MAX_WAITERS: u64 = 4_096;

#[derive(Debug)]
struct Questions<Question, Answer> {
    last_number: u64,
    unsent: HashMap<SocketAddr, Vec<Question>>,
    waiters: HashMap<u64, oneshot::Sender<Answer>>,
}

/// Numbers questions and delivers answers to the waiting requests.
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

/// A pending answer.
#[derive(Debug)]
pub(crate) struct PendingAnswer<Answer> {
    number: u64,
    receiver: oneshot::Receiver<Answer>,
}

impl<Answer> PendingAnswer<Answer> {
    /// Number of the question.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Waits for the keeper's answer; `None` if there will be none.
    pub(crate) async fn answer(self) -> Option<Answer> {
        self.receiver.await.ok()
    }
}

impl<Question, Answer> KeeperClient<Question, Answer> {
    /// Queues a question for the keeper at an address; `question` builds it from its number.
    pub(crate) fn ask(
        &self,
        keeper: SocketAddr,
        question: impl FnOnce(u64) -> Question,
    ) -> PendingAnswer<Answer> {
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
        PendingAnswer { number, receiver }
    }

    /// Takes the questions not sent yet, by keeper.
    pub(crate) fn take_unsent(&self) -> HashMap<SocketAddr, Vec<Question>> {
        std::mem::take(&mut self.lock().unsent)
    }

    /// Delivers an answer to the request that waits for it, if it still does.
    pub(crate) fn answer(&self, number: u64, answer: Answer) {
        if let Some(waiter) = self.lock().waiters.remove(&number) {
            // The receiver is gone if the request has stopped waiting.
            let _ = waiter.send(answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Questions<Question, Answer>> {
        self.questions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
