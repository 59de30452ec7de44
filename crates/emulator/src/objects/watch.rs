//! Watches: one JSON document a line, as changes come.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use salvo::http::StatusCode;
use serde_json::{Value, json};
use tokio::sync::watch::Receiver;
use tokio::time::Instant;

use super::Shared;
use super::endpoints::{is_cut, refusal, status_document};
use super::store::Refused;
use crate::fault::lock;
use crate::http::{BrokenOff, Call, Reply};

/// One open watch.
struct Watch {
    shared: Arc<Shared>,
    collection: String,
    zone: Option<String>,
    position: u64,
    changed: Receiver<()>,
    /// When the next bookmark is due; changes of other collections do not put it off.
    next_bookmark: Instant,
    ended: bool,
}

/// Opens a watch, or says that its revision is too old.
pub(crate) fn open(shared: Arc<Shared>, call: &Call) -> Reply {
    let collection = call.first().to_owned();
    let from = call
        .query("resourceVersion")
        .and_then(|text| text.parse().ok());
    let current = lock(&shared.store).revision();
    let position = from.unwrap_or(current);
    if let Err(refused) = lock(&shared.store).changes(&collection, position) {
        return refusal(refused);
    }
    let watch = Watch {
        collection,
        zone: call.client_zone().map(str::to_owned),
        position,
        changed: shared.changed.subscribe(),
        next_bookmark: Instant::now() + bookmark_interval(&shared),
        shared,
        ended: false,
    };
    let lines = futures::stream::unfold(watch, |mut watch| async move {
        let line = watch.next().await?;
        Some((line, watch))
    });
    Reply::stream("application/json", lines.boxed())
}

impl Watch {
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if self.ended {
            return None;
        }
        loop {
            self.changed.mark_unchanged();
            if self.broken() {
                self.ended = true;
                return Some(Err(BrokenOff));
            }
            if let Some(lines) = self.lines() {
                return Some(Ok(lines));
            }
            if tokio::time::timeout_at(self.next_bookmark, self.changed.changed())
                .await
                .is_err()
            {
                self.next_bookmark = Instant::now() + bookmark_interval(&self.shared);
                return Some(Ok(self.bookmark()));
            }
        }
    }

    fn broken(&self) -> bool {
        let faults = lock(&self.shared.faults);
        faults.down || is_cut(&faults, self.zone.as_deref())
    }

    /// The lines of all changes since the last ones, if any.
    fn lines(&mut self) -> Option<Bytes> {
        let store = lock(&self.shared.store);
        let mut lines = Vec::new();
        match store.changes(&self.collection, self.position) {
            Ok(changes) => {
                for change in changes {
                    let document = json!({"type": change.kind, "object": change.object});
                    push_line(&mut lines, &document);
                }
                self.position = store.revision();
            }
            Err(
                Refused::Expired | Refused::NotFound | Refused::AlreadyExists | Refused::Conflict,
            ) => {
                let status = status_document(StatusCode::GONE, "Expired", "too old");
                push_line(&mut lines, &json!({"type": "ERROR", "object": status}));
                self.ended = true;
            }
        }
        if lines.is_empty() {
            return None;
        }
        Some(Bytes::from(lines))
    }

    fn bookmark(&self) -> Bytes {
        // The position and not the store's revision: a change may have come since it was looked at.
        let revision = self.position.to_string();
        let object = json!({"metadata": {"resourceVersion": revision}});
        let mut line = Vec::new();
        push_line(&mut line, &json!({"type": "BOOKMARK", "object": object}));
        Bytes::from(line)
    }
}

fn bookmark_interval(shared: &Shared) -> Duration {
    Duration::from_millis(shared.bookmark_ms)
}

fn push_line(lines: &mut Vec<u8>, document: &Value) {
    lines.extend_from_slice(document.to_string().as_bytes());
    lines.push(b'\n');
}
