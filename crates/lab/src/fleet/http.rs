//! Sizes of the calls to the platform and to engines, as HTTP/1.1 on connections that are kept open.
//!
//! The bodies are those that the clients really send and receive; the heads are taken as constants.

use flaxward_types::engine::Machine;
use serde::Serialize;

use super::network::{WireBytes, call_bytes};

/// Head of a request: method, path, `host`, `accept` and the daemon's identity or the body's type
/// and length.
const REQUEST_HEAD: u64 = 110;
/// Head of an answer: status, `content-type`, `content-length`, `date`.
const ANSWER_HEAD: u64 = 130;
/// What `if-none-match` adds to a request, and `etag` to an answer.
const ENTITY_TAG_HEADER: u64 = 36;
/// Head of an answer that a document has not changed: status, `etag`, `date`.
const NOT_MODIFIED_HEAD: u64 = 105;
/// A document of the object API without its name and specification: version, kind, metadata with
/// two annotations.
const DOCUMENT_FRAME: u64 = 260;
/// What a line of a watch adds to its document, with the frame of its chunk.
const WATCH_LINE_FRAME: u64 = 40;

/// Length of a value as JSON.
pub fn json_length<Value: Serialize>(value: &Value) -> u64 {
    let mut counter = Counter(0);
    // Counting bytes cannot fail, and the types are those that really travel as JSON.
    let _ = serde_json::to_writer(&mut counter, value);
    counter.0
}

/// Counts bytes and keeps none.
struct Counter(u64);

impl std::io::Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A call with bodies of these lengths.
pub fn call(request_body: u64, answer_body: u64) -> WireBytes {
    call_bytes(REQUEST_HEAD + request_body, ANSWER_HEAD + answer_body)
}

/// A read of a document of this length, on condition that it changed.
pub fn conditional_read(document: u64, changed: bool) -> WireBytes {
    let request = REQUEST_HEAD + ENTITY_TAG_HEADER;
    if changed {
        call_bytes(request, ANSWER_HEAD + ENTITY_TAG_HEADER + document)
    } else {
        call_bytes(request, NOT_MODIFIED_HEAD)
    }
}

/// A call that found nobody: a connection attempt that was refused.
pub fn refused_call() -> WireBytes {
    WireBytes {
        sent: 60,
        received: 40,
    }
}

/// A call that got no answer: three connection attempts.
pub fn unanswered_call() -> WireBytes {
    WireBytes {
        sent: 180,
        received: 0,
    }
}

/// Length of an object of the object API.
pub fn document_length<Value: Serialize>(name: &str, spec: &Value) -> u64 {
    DOCUMENT_FRAME + name.len() as u64 + json_length(spec)
}

/// What a line of a watch with a document of this length costs the watcher.
pub fn watch_line(document: u64) -> WireBytes {
    let line = call_bytes(0, document + WATCH_LINE_FRAME);
    WireBytes {
        sent: line.sent,
        received: line.received,
    }
}

/// What a bookmark of a watch costs the watcher.
pub fn bookmark() -> WireBytes {
    watch_line(100)
}

/// Length of one machine in the machine list.
pub fn machine_length(machine: &Machine) -> u64 {
    let frame = r#"{"targets":[""],"labels":{"__meta_machine":"","zone":"","role":"engine","state":"live"}},"#;
    let names = machine.address.len() + machine.name.as_str().len() + machine.zone.as_str().len();
    (frame.len() + names) as u64
}
