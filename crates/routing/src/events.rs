//! Splits the bytes of an event stream into complete events.

/// Maximum size of an incomplete event that is buffered, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream into complete events. Bytes of an incomplete event are buffered, so that an interrupted stream can
/// be resumed with the event after the last complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends bytes and returns the bytes of all events that are now complete, unchanged.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = find_event_end(&self.buffer[end..]) {
            if let Some(id) = event_id(&self.buffer[end..end + length]) {
                self.last_id = Some(id);
            }
            end += length;
        }
        let rest = self.buffer.split_off(end);
        std::mem::replace(&mut self.buffer, rest)
    }

    /// Identifier of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Discards the buffered incomplete event.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
    }
}

/// Value of the `id:` line of an event.
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

/// Length of the first complete event, including its terminating empty line.
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
