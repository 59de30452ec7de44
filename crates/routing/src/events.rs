//! Finds whole events in the bytes of an event stream.

/// Longest event that is held back until it is whole, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Cuts a stream into whole events. Bytes of an event that has not ended are held back, so that a
/// stream that breaks off can be continued with the event after the last whole one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes and returns all events that are whole now, as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.held.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = find_event_end(&self.held[end..]) {
            if let Some(id) = event_id(&self.held[end..end + length]) {
                self.last_id = Some(id);
            }
            end += length;
        }
        let rest = self.held.split_off(end);
        std::mem::replace(&mut self.held, rest)
    }

    /// The identity of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether bytes of an event that has not ended are held back.
    pub fn has_partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether more is held back than any event should need.
    pub fn is_oversized(&self) -> bool {
        self.held.len() > MAX_EVENT_BYTES
    }

    /// Forgets the bytes of the event that has not ended.
    pub fn drop_partial(&mut self) {
        self.held.clear();
    }
}

/// The value of the line `id:` of an event.
fn event_id(event: &[u8]) -> Option<String> {
    for line in event.split(|&byte| byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        let text = std::str::from_utf8(value).ok()?;
        return Some(text.trim().to_owned());
    }
    None
}

/// Length of the first whole event, its closing empty line included.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, &byte) in bytes.iter().enumerate() {
        if byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}
