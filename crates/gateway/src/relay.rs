//! Relays a stream of tokens to the caller: each once, in order and to the end, over as many
//! attempts as it takes.

use std::pin::Pin;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use flaxward_control::attempt::{AttemptEnd, Delivered};
use flaxward_control::claims::RequestEnd;
use flaxward_control::stream::{FrameChecker, FrameVerdict, StreamEnd};
use flaxward_types::{Refusal, ResultCode};
use futures::Stream;
use salvo::http::body::BytesFrame;
use tokio::time::Sleep;

use crate::answer::error_json;
use crate::counters;
use crate::run::Run;
use crate::server_sent_events::{Event, EventScanner};

/// Status of the answer that a stream belongs to.
const STREAM_STATUS: u16 = 200;
/// Content type of a stream.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";

/// A stream on its way to the caller. When it is dropped, the caller is gone.
pub(crate) struct Relay {
    run: Run,
    response: Option<reqwest::Response>,
    scanner: EventScanner,
    checker: FrameChecker,
    started: Instant,
    silence: Pin<Box<Sleep>>,
    last_chunk: tokio::time::Instant,
    is_finished: bool,
}

/// What the back end has brought.
enum Read {
    Chunk(Bytes),
    End(AttemptEnd),
}

impl Relay {
    /// Relays the stream whose head has come.
    pub fn new(run: Run, response: reqwest::Response, started: Instant) -> Self {
        let checker = FrameChecker::new(run.attempt());
        let silence = Box::pin(tokio::time::sleep(run.gateway().settings.stream_idle));
        Self {
            run,
            response: Some(response),
            scanner: EventScanner::default(),
            checker,
            started,
            silence,
            last_chunk: tokio::time::Instant::now(),
            is_finished: false,
        }
    }

    /// The body of the answer to the caller.
    pub fn into_stream(self) -> impl Stream<Item = Result<BytesFrame, std::io::Error>> + Send {
        futures::stream::unfold(self, |mut relay| async move {
            let bytes = relay.next().await?;
            Some((Ok(BytesFrame::data(bytes)), relay))
        })
    }

    /// The next bytes for the caller, or `None` after the end.
    async fn next(&mut self) -> Option<Bytes> {
        while !self.is_finished {
            if self.response.is_none()
                && let Err(refusal) = self.open_again().await
            {
                return Some(self.fail(refusal));
            }
            let bytes = match self.read().await {
                Read::Chunk(chunk) => self.pass_on(chunk),
                Read::End(end) => self.end_attempt(end),
            };
            if !bytes.is_empty() {
                return Some(bytes);
            }
        }
        None
    }

    async fn open_again(&mut self) -> Result<(), Refusal> {
        let response = self.run.open().await?;
        self.checker.begin(self.run.attempt());
        self.scanner.clear();
        self.last_chunk = tokio::time::Instant::now();
        if !response.status().is_success() {
            return self.run.end(AttemptEnd::Truncated);
        }
        self.response = Some(response);
        Ok(())
    }

    async fn read(&mut self) -> Read {
        let Some(response) = self.response.as_mut() else {
            return Read::End(AttemptEnd::Truncated);
        };
        let idle = self.run.gateway().settings.stream_idle;
        loop {
            tokio::select! {
                biased;
                chunk = response.chunk() => {
                    self.last_chunk = tokio::time::Instant::now();
                    return match chunk {
                        Ok(Some(chunk)) => Read::Chunk(chunk),
                        Ok(None) => Read::End(AttemptEnd::Truncated),
                        Err(_) => Read::End(AttemptEnd::BrokenMidStream {
                            next_index: self.checker.next_index(),
                        }),
                    };
                }
                // One timer for the whole stream: set again only when it fires, not per chunk.
                () = &mut self.silence => {
                    let until = self.last_chunk + idle;
                    if tokio::time::Instant::now() >= until {
                        return Read::End(AttemptEnd::TimedOut);
                    }
                    self.silence.as_mut().reset(until);
                }
            }
        }
    }

    /// What of a chunk is for the caller.
    fn pass_on(&mut self, chunk: Bytes) -> Bytes {
        let before = self.checker.next_index();
        let mut passed = Passed::default();
        let verdict = self.scan(chunk, &mut passed);
        let after = self.checker.next_index();
        if after > before {
            self.run.note_delivered(Delivered::Frames(after));
            if before == 0 {
                counters::first_token(self.started.elapsed());
            }
        }
        let bytes = passed.into_bytes(&self.scanner);
        let Err(end) = verdict else {
            return bytes;
        };
        let error = self.end_attempt(end);
        if error.is_empty() {
            return bytes;
        }
        [bytes, error].concat().into()
    }

    /// Reads the events of a chunk. An error if the attempt is to be given up.
    fn scan(&mut self, chunk: Bytes, passed: &mut Passed) -> Result<(), AttemptEnd> {
        let attempt = self.run.attempt();
        self.scanner
            .feed(chunk)
            .map_err(|_| AttemptEnd::Truncated)?;
        loop {
            let event = self.scanner.next_event();
            let Some((range, event)) = event.map_err(|_| AttemptEnd::Truncated)? else {
                return Ok(());
            };
            match event {
                Event::Token(index) => match self.checker.feed(attempt, index) {
                    FrameVerdict::Deliver => passed.add(range),
                    FrameVerdict::Duplicate | FrameVerdict::Stale => {}
                    FrameVerdict::Gap { .. } => return Err(AttemptEnd::Truncated),
                },
                Event::End => {
                    self.checker.feed_terminator(attempt, None);
                    if self.checker.finish(attempt) != StreamEnd::Complete {
                        return Err(AttemptEnd::Truncated);
                    }
                    passed.add(range);
                    self.complete();
                    return Ok(());
                }
                Event::Comment => passed.add(range),
                Event::Unnumbered => return Err(AttemptEnd::Truncated),
            }
        }
    }

    /// The caller has the whole answer.
    fn complete(&mut self) {
        self.is_finished = true;
        // The machine takes the answer of its own current attempt.
        let _ = self.run.answered(STREAM_STATUS);
        self.run.settle(RequestEnd::Answered {
            status: STREAM_STATUS,
            content_type: EVENT_STREAM.to_owned(),
            body: None,
        });
        counters::relayed(STREAM_STATUS);
    }

    /// Gives the current attempt up. Returns the error for the caller if no other follows.
    fn end_attempt(&mut self, end: AttemptEnd) -> Bytes {
        self.response = None;
        match self.run.end(end) {
            Ok(()) => Bytes::new(),
            Err(refusal) => self.fail(refusal),
        }
    }

    /// Ends the stream with an error event.
    fn fail(&mut self, refusal: Refusal) -> Bytes {
        self.is_finished = true;
        let code = match refusal.code {
            code if code.not_run() && self.checker.next_index() > 0 => ResultCode::StreamBroken,
            code => code,
        };
        self.run.settle(RequestEnd::refused(code));
        let refusal = Refusal { code, ..refusal };
        counters::answered(code);
        let json = error_json(&refusal, &self.run.call().request_id);
        format!("event: error\ndata: {json}\n\n").into()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        counters::streamed(self.checker.next_index());
    }
}

/// The parts of a chunk that are passed on, as one range while they touch.
#[derive(Default)]
struct Passed {
    ranges: Vec<std::ops::Range<usize>>,
    last: std::ops::Range<usize>,
}

impl Passed {
    fn add(&mut self, range: std::ops::Range<usize>) {
        if self.last.end == range.start {
            self.last.end = range.end;
            return;
        }
        let before = std::mem::replace(&mut self.last, range);
        if !before.is_empty() {
            self.ranges.push(before);
        }
    }

    /// The parts as one run of bytes, without a copy if they touch.
    fn into_bytes(self, scanner: &EventScanner) -> Bytes {
        if self.ranges.is_empty() {
            return scanner.slice(self.last);
        }
        let mut joined = BytesMut::new();
        for range in self.ranges.into_iter().chain([self.last]) {
            joined.extend_from_slice(&scanner.slice(range));
        }
        joined.freeze()
    }
}
