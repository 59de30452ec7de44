//! Runs [`ClaimMachine`] in one task per claim. The task outlives the connection of the caller, so
//! that the outcome of the request is always recorded.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flaxward_backends::{Collection, Object, ObjectApi, StoreError};
use flaxward_control::claims::{
    ClaimAction, ClaimEvent, ClaimFault, ClaimMachine, ClaimRequest, ClaimSettings, ClaimWrite,
    RequestEnd, StoredClaim,
};
use flaxward_types::records::Claim;
use flaxward_types::{AttemptId, DaemonName, OperationId, Refusal, ResultCode, Revision};
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use crate::clock::unix_seconds;

/// The claims of one daemon.
pub(crate) struct Claims {
    store: Arc<dyn ObjectApi>,
    daemon: DaemonName,
    settings: ClaimSettings,
    tasks: TaskTracker,
    in_progress: Mutex<BTreeSet<AttemptId>>,
}

/// The reply to a request that claims a key.
pub(crate) enum ClaimReply {
    /// The request may be sent.
    Proceed(ClaimTicket),
    /// The answer recorded under the key.
    Replay {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: String,
    },
    /// A refusal.
    Refuse(Refusal),
}

/// Permission to send a claimed request. If it is dropped, the outcome is recorded as unknown.
pub(crate) struct ClaimTicket {
    end: oneshot::Sender<RequestEnd>,
}

impl ClaimTicket {
    /// Records how the request ended.
    pub fn end(self, end: RequestEnd) {
        // The receiving task ends only after it has received the outcome.
        let _ = self.end.send(end);
    }
}

impl Claims {
    /// Creates the claims of a daemon. A stop waits for the tasks in `tasks`.
    pub fn new(
        store: Arc<dyn ObjectApi>,
        daemon: DaemonName,
        settings: ClaimSettings,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            store,
            daemon,
            settings,
            tasks,
            in_progress: Mutex::new(BTreeSet::new()),
        }
    }

    /// Claims a key for a request whose attempts may be sent during `send_window` and whose caller
    /// waits for `caller_timeout`.
    pub async fn take(
        self: &Arc<Self>,
        name: String,
        digest: String,
        attempt: AttemptId,
        send_window: Duration,
        caller_timeout: Duration,
    ) -> ClaimReply {
        let request = ClaimRequest {
            digest,
            attempt,
            daemon: self.daemon.clone(),
            deadline_unix: unix_seconds() + send_window.as_secs() + 1,
        };
        let (reply, replied) = oneshot::channel();
        let driver = ClaimDriver {
            claims: Arc::clone(self),
            name,
            attempt,
            reply: Some(reply),
        };
        self.mark_in_progress(attempt);
        self.tasks.spawn(driver.run(request, caller_timeout));
        replied
            .await
            .unwrap_or_else(|_| ClaimReply::Refuse(Refusal::new(ResultCode::ClaimNotRecorded)))
    }

    fn mark_in_progress(&self, attempt: AttemptId) {
        let mut in_progress = self
            .in_progress
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        in_progress.insert(attempt);
    }

    fn clear_in_progress(&self, attempt: AttemptId) {
        let mut in_progress = self
            .in_progress
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        in_progress.remove(&attempt);
    }

    fn is_in_progress(&self, attempt: AttemptId) -> bool {
        let in_progress = self
            .in_progress
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        in_progress.contains(&attempt)
    }

    async fn write(&self, name: &str, write: ClaimWrite) -> Result<Revision, ClaimFault> {
        let operation = OperationId(rand::random());
        let result = match write {
            ClaimWrite::Create(claim) => {
                let body = encode(&claim)?;
                let create = self.store.create(Collection::Claims, name, operation, body);
                create.await
            }
            ClaimWrite::Replace(expected, claim) => {
                let body = encode(&claim)?;
                let replace =
                    self.store
                        .replace(Collection::Claims, name, expected, operation, body);
                replace.await
            }
        };
        result
            .map(|object| object.version)
            .map_err(|error| self.claim_fault(error))
    }

    fn claim_fault(&self, error: StoreError) -> ClaimFault {
        match error {
            StoreError::Exists(object) | StoreError::Conflict(object) => self.present(*object),
            StoreError::NotFound | StoreError::Compacted => ClaimFault::Missing,
            StoreError::Unavailable(_) => ClaimFault::Unavailable,
            StoreError::OutcomeUnknown(_) => ClaimFault::Unknown,
        }
    }

    fn present(&self, object: Object) -> ClaimFault {
        let Ok(claim) = serde_json::from_value::<Claim>(object.body) else {
            return ClaimFault::Unreadable;
        };
        let holder_gone = claim.daemon == self.daemon && !self.is_in_progress(claim.attempt);
        ClaimFault::Present(Box::new(StoredClaim {
            revision: object.version,
            claim,
            holder_gone,
        }))
    }
}

/// A claim that cannot be encoded is definitely not recorded.
fn encode(claim: &Claim) -> Result<serde_json::Value, ClaimFault> {
    serde_json::to_value(claim).map_err(|_| ClaimFault::Unavailable)
}

/// Runs the state machine of one claim.
struct ClaimDriver {
    claims: Arc<Claims>,
    name: String,
    attempt: AttemptId,
    reply: Option<oneshot::Sender<ClaimReply>>,
}

impl ClaimDriver {
    async fn run(mut self, request: ClaimRequest, caller_timeout: Duration) {
        let deadline = tokio::time::Instant::now() + caller_timeout;
        let settings = self.claims.settings.clone();
        let (mut machine, first) = ClaimMachine::start(settings, request, unix_seconds());
        let mut actions = vec![first];
        while !machine.is_closed() || !actions.is_empty() {
            let mut events = Vec::new();
            for action in actions.drain(..) {
                events.extend(self.perform(action, &mut machine, deadline).await);
            }
            for event in events {
                actions.extend(machine.handle(event, unix_seconds()));
            }
        }
        self.claims.clear_in_progress(self.attempt);
    }

    async fn perform(
        &mut self,
        action: ClaimAction,
        machine: &mut ClaimMachine,
        deadline: tokio::time::Instant,
    ) -> Vec<ClaimEvent> {
        match action {
            ClaimAction::Write { after, write } => {
                self.write(after, write, machine, deadline).await
            }
            ClaimAction::Proceed => vec![ClaimEvent::Ended(self.proceed().await)],
            ClaimAction::Replay {
                status,
                content_type,
                body,
            } => {
                self.answer(ClaimReply::Replay {
                    status,
                    content_type,
                    body,
                });
                Vec::new()
            }
            ClaimAction::Refuse(refusal) => {
                self.answer(ClaimReply::Refuse(refusal));
                Vec::new()
            }
            ClaimAction::Close => Vec::new(),
        }
    }

    fn answer(&mut self, reply: ClaimReply) {
        if let Some(channel) = self.reply.take() {
            // Fails only if the caller has disconnected and needs no answer.
            let _ = channel.send(reply);
        }
    }

    /// Performs a write. The caller may disconnect or its deadline may pass meanwhile.
    async fn write(
        &mut self,
        after: Duration,
        write: ClaimWrite,
        machine: &mut ClaimMachine,
        deadline: tokio::time::Instant,
    ) -> Vec<ClaimEvent> {
        let claims = Arc::clone(&self.claims);
        let name = self.name.clone();
        let writing = async move {
            tokio::time::sleep(after).await;
            claims.write(&name, write).await
        };
        tokio::pin!(writing);
        if let Some(reply) = self.reply.as_mut() {
            let code = tokio::select! {
                result = &mut writing => return vec![ClaimEvent::Written(result)],
                () = reply.closed() => ResultCode::Stopping,
                () = tokio::time::sleep_until(deadline) => ResultCode::DeadlinePassed,
            };
            // While a write is outstanding, `GiveUp` yields no action other than the refusal.
            for action in machine.handle(ClaimEvent::GiveUp(code), unix_seconds()) {
                if let ClaimAction::Refuse(refusal) = action {
                    self.answer(ClaimReply::Refuse(refusal));
                }
            }
            self.reply = None;
        }
        vec![ClaimEvent::Written(writing.await)]
    }

    /// Permits the request to be sent and waits for its outcome.
    async fn proceed(&mut self) -> RequestEnd {
        let (end, ended) = oneshot::channel();
        let ticket = ClaimTicket { end };
        let Some(reply) = self.reply.take() else {
            return RequestEnd::NotRun(ResultCode::ClaimNotRecorded);
        };
        if reply.send(ClaimReply::Proceed(ticket)).is_err() {
            return RequestEnd::NotRun(ResultCode::ClaimNotRecorded);
        }
        ended.await.unwrap_or(RequestEnd::Unknown)
    }
}
