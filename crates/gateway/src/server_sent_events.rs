//! Scanner for streams of server-sent events (WHATWG HTML, section 9.2). It finds event boundaries
//! without decoding the data, and parses only the `id` field, which carries the token index, and
//! the end marker `[DONE]`.

use std::ops::Range;

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Maximum length of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Data of the event that ends an answer.
const END_MARKER: &[u8] = b"[DONE]";

/// Maximum number of digits that cannot overflow 64 bits.
const MAX_FAST_PATH_DIGITS: usize = 19;

/// Error for a malformed stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    /// An event exceeds the maximum length.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The `id` field is not a number.
    #[error("the id of an event is not a number")]
    BadIndex,
}

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A token with its index.
    Token(u64),
    /// The end marker.
    End,
    /// Data without an index.
    Unnumbered,
    /// A comment, such as a keep-alive.
    Comment,
}

/// Finds complete events in chunks as they arrive.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// The current chunk, preceded by the incomplete event of earlier chunks.
    buffer: Bytes,
    /// Offset at which the current event starts.
    event_start: usize,
    /// Offset at which the current line starts.
    line_start: usize,
    fields: EventFields,
}

/// The fields of the current event parsed so far.
#[derive(Clone, Copy, Debug, Default)]
struct EventFields {
    index: Option<u64>,
    has_data: bool,
    is_end: bool,
}

impl EventFields {
    fn event(self) -> Event {
        match self.index {
            _ if self.is_end => Event::End,
            Some(index) if self.has_data => Event::Token(index),
            _ if self.has_data => Event::Unnumbered,
            _ => Event::Comment,
        }
    }
}

impl EventScanner {
    /// Resets the scanner, for example before the stream of another attempt.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds the next chunk. All complete events of the previous one must have been read.
    ///
    /// # Errors
    /// Fails if the incomplete event of earlier chunks exceeds the maximum length.
    pub fn feed(&mut self, chunk: Bytes) -> Result<(), EventError> {
        let rest = self.buffer.split_off(self.event_start);
        self.line_start -= self.event_start;
        self.event_start = 0;
        if rest.is_empty() {
            self.buffer = chunk;
            return Ok(());
        }
        if rest.len() + chunk.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        let mut joined = BytesMut::with_capacity(rest.len() + chunk.len());
        joined.extend_from_slice(&rest);
        joined.extend_from_slice(&chunk);
        self.buffer = joined.freeze();
        Ok(())
    }

    /// The next complete event and its range in the buffer.
    ///
    /// # Errors
    /// Fails if the event has an index that is not a number.
    pub fn next_event(&mut self) -> Result<Option<(Range<usize>, Event)>, EventError> {
        let is_between_events = self.line_start == self.event_start;
        if is_between_events
            && let Some((length, index)) = parse_token_fast(&self.buffer[self.event_start..])
        {
            self.line_start += length;
            let range = self.event_start..self.line_start;
            self.event_start = self.line_start;
            return Ok(Some((range, Event::Token(index))));
        }
        while let Some(length) = memchr::memchr(b'\n', &self.buffer[self.line_start..]) {
            let line_end = self.line_start + length;
            let line = trim_return(&self.buffer[self.line_start..line_end]);
            let is_blank = line.is_empty();
            read_line(line, &mut self.fields)?;
            self.line_start = line_end + 1;
            if is_blank {
                return Ok(Some(self.finish_event()));
            }
        }
        Ok(None)
    }

    fn finish_event(&mut self) -> (Range<usize>, Event) {
        let range = self.event_start..self.line_start;
        let event = self.fields.event();
        self.event_start = self.line_start;
        self.fields = EventFields::default();
        (range, event)
    }

    /// A range of the buffer, without a copy.
    pub fn slice(&self, range: Range<usize>) -> Bytes {
        self.buffer.slice(range)
    }
}

/// Fast path for the form of nearly all tokens: the lines `id: INDEX` and `data: {...}` and a blank
/// line, all in the buffer. Returns the length and the index. On `None` the bytes go through the
/// general parser, which gives the same result for such a token at several times the cost.
fn parse_token_fast(bytes: &[u8]) -> Option<(usize, u64)> {
    let after_name = bytes.strip_prefix(b"id: ")?;
    let digits = after_name
        .iter()
        .take(MAX_FAST_PATH_DIGITS)
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    if digits == 0 {
        return None;
    }
    let (digits, after_digits) = after_name.split_at(digits);
    let data = after_digits.strip_prefix(b"\ndata: {")?;
    let data_length = memchr::memchr(b'\n', data)?;
    let after_event = data[data_length + 1..].strip_prefix(b"\n")?;
    let index = digits
        .iter()
        .fold(0, |index, digit| index * 10 + u64::from(digit - b'0'));
    Some((bytes.len() - after_event.len(), index))
}

fn trim_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn read_line(line: &[u8], fields: &mut EventFields) -> Result<(), EventError> {
    if let Some(data) = line.strip_prefix(b"data:") {
        fields.has_data = true;
        fields.is_end |= data.trim_ascii_start() == END_MARKER;
    } else if let Some(id) = line.strip_prefix(b"id:") {
        fields.index = Some(parse_index(id.trim_ascii_start())?);
    }
    Ok(())
}

fn parse_index(digits: &[u8]) -> Result<u64, EventError> {
    let text = std::str::from_utf8(digits).map_err(|_| EventError::BadIndex)?;
    text.parse().map_err(|_| EventError::BadIndex)
}
