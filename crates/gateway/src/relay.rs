//! Relays a stream of tokens to the caller exactly once and in order, over several attempts if the
//! stream breaks.

use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use flaxward_control::attempt::{AttemptEnd, Delivered};
use flaxward_control::claims::RequestEnd;
use flaxward_control::stream::{FrameChecker, FrameVerdict, StreamEnd};
use flaxward_types::{Refusal, ResultCode};
use futures::{FutureExt, Stream};
use salvo::http::body::BytesFrame;
use tokio::time::Sleep;

use crate::answer::error_json;
use crate::counters;
use crate::run::Run;
use crate::server_sent_events::{Event, EventScanner};

/// HTTP status of a streamed answer.
const STREAM_STATUS: u16 = 200;
/// Timeout for the end of a body after the end marker.
const BODY_END_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the first event of an attempt during which a crash of the back end is attributed to
/// the request.
const CRASH_ATTRIBUTION_WINDOW: Duration = Duration::from_secs(1);
/// Content type of a stream.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";

/// A stream being relayed to the caller. It is dropped when the caller disconnects.
pub(crate) struct Relay {
    run: Run,
    response: Option<reqwest::Response>,
    scanner: EventScanner,
    checker: FrameChecker,
    started: Instant,
    /// When the first event of the current attempt arrived.
    first_event_at: Option<tokio::time::Instant>,
    idle_timer: Pin<Box<Sleep>>,
    read_started_at: tokio::time::Instant,
    /// The refusal to send after the bytes that are still pending for the caller.
    pending_refusal: Option<Refusal>,
    is_finished: bool,
}

/// The result of a read from the back end.
enum ReadResult {
    Chunk(Bytes),
    End(AttemptEnd),
}

impl Relay {
    /// Creates a relay for a stream whose head was received.
    pub fn new(run: Run, response: reqwest::Response, started: Instant) -> Self {
        let checker = FrameChecker::new(run.attempt());
        let idle_timer = Box::pin(tokio::time::sleep_until(run.first_token_timer()));
        Self {
            run,
            response: Some(response),
            scanner: EventScanner::default(),
            checker,
            started,
            first_event_at: None,
            idle_timer,
            read_started_at: tokio::time::Instant::now(),
            pending_refusal: None,
            is_finished: false,
        }
    }

    /// The body of the answer to the caller, after its first bytes.
    pub fn into_stream(
        self,
        first: Bytes,
    ) -> impl Stream<Item = Result<BytesFrame, std::io::Error>> + Send {
        // Boxed because the state is moved several times per chunk.
        let state = (Some(first), Box::new(self));
        futures::stream::unfold(state, |(first, mut relay)| async move {
            let bytes = match first {
                Some(first) => first,
                None => relay.next().await?,
            };
            Some((Ok(BytesFrame::data(bytes)), (None, relay)))
        })
    }

    /// The next bytes for the caller, or `None` after the end.
    async fn next(&mut self) -> Option<Bytes> {
        match self.advance().await {
            Ok(bytes) => bytes,
            Err(refusal) => Some(self.error_event(refusal)),
        }
    }

    /// The next bytes for the caller, or `None` after the end. Returns an error if there are none
    /// and no other attempt follows.
    pub async fn advance(&mut self) -> Result<Option<Bytes>, Refusal> {
        while !self.is_finished {
            if let Some(refusal) = self.pending_refusal.take() {
                return Err(self.finish_refused(refusal));
            }
            if self.response.is_none()
                && let Err(refusal) = self.reopen().await
            {
                return Err(self.finish_refused(refusal));
            }
            let bytes = match self.read().await {
                ReadResult::Chunk(chunk) => self.filter_chunk(chunk),
                ReadResult::End(end) => {
                    if self.is_crash_attributed() {
                        self.run.check_for_crash(end).await;
                    }
                    self.end_attempt(end);
                    continue;
                }
            };
            if !bytes.is_empty() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }

    async fn reopen(&mut self) -> Result<(), Refusal> {
        let response = self.run.open().await?;
        self.checker.begin(self.run.attempt());
        self.scanner.clear();
        self.first_event_at = None;
        if !response.status().is_success() {
            return self.run.end(AttemptEnd::Truncated);
        }
        self.response = Some(response);
        Ok(())
    }

    /// Whether a crash of the back end now is attributed to this request. A stream that has run for
    /// longer is more often cut off by a crash that another request caused.
    fn is_crash_attributed(&self) -> bool {
        self.first_event_at
            .is_none_or(|first_event_at| first_event_at.elapsed() < CRASH_ATTRIBUTION_WINDOW)
    }

    async fn read(&mut self) -> ReadResult {
        let Some(response) = self.response.as_mut() else {
            return ReadResult::End(AttemptEnd::Truncated);
        };
        // Time during which the caller reads nothing does not count against the back end.
        self.read_started_at = tokio::time::Instant::now();
        loop {
            tokio::select! {
                biased;
                chunk = response.chunk() => {
                    return match chunk {
                        Ok(Some(chunk)) => ReadResult::Chunk(chunk),
                        Ok(None) => ReadResult::End(AttemptEnd::Truncated),
                        Err(_) => ReadResult::End(AttemptEnd::BrokenMidStream {
                            next_index: self.checker.next_index(),
                        }),
                    };
                }
                // One timer for the whole stream, reset only when it fires and not per chunk.
                () = &mut self.idle_timer => {
                    let mut until = self.read_started_at + self.run.gateway().settings.stream_idle;
                    if self.checker.next_index() == 0 {
                        until = until.min(self.run.first_token_timer());
                    }
                    if tokio::time::Instant::now() >= until {
                        return ReadResult::End(AttemptEnd::TimedOut);
                    }
                    self.idle_timer.as_mut().reset(until);
                }
            }
        }
    }

    /// The bytes of a chunk that are forwarded to the caller.
    fn filter_chunk(&mut self, chunk: Bytes) -> Bytes {
        let before = self.checker.next_index();
        let mut forwarded = ForwardedRanges::default();
        let verdict = self.scan(chunk, &mut forwarded);
        let after = self.checker.next_index();
        if after > before {
            self.first_event_at
                .get_or_insert_with(tokio::time::Instant::now);
            self.run.record_delivered(Delivered::Frames(after));
            if before == 0 {
                counters::record_first_token(self.started.elapsed());
            }
        }
        if let Err(end) = verdict {
            self.end_attempt(end);
        }
        forwarded.into_bytes(&self.scanner)
    }

    /// Scans the events of a chunk. Returns an error if the attempt must be abandoned.
    fn scan(&mut self, chunk: Bytes, forwarded: &mut ForwardedRanges) -> Result<(), AttemptEnd> {
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
                    FrameVerdict::Deliver => forwarded.add(range),
                    FrameVerdict::Duplicate | FrameVerdict::Stale => {}
                    FrameVerdict::Gap { .. } => return Err(AttemptEnd::Truncated),
                },
                Event::End => {
                    self.checker.feed_terminator(attempt, None);
                    if self.checker.finish(attempt) != StreamEnd::Complete {
                        return Err(AttemptEnd::Truncated);
                    }
                    forwarded.add(range);
                    self.complete();
                    return Ok(());
                }
                Event::Comment => forwarded.add(range),
                Event::Unnumbered => return Err(AttemptEnd::Truncated),
            }
        }
    }

    /// Completes the stream after the caller was given the whole answer.
    fn complete(&mut self) {
        self.is_finished = true;
        if let Some(response) = self.response.take() {
            drain_body(response);
        }
        // The state machine always accepts an answer of the current attempt.
        let _ = self.run.answered(STREAM_STATUS);
        self.run.settle_claim(RequestEnd::Answered {
            status: STREAM_STATUS,
            content_type: EVENT_STREAM.to_owned(),
            body: None,
        });
        counters::count_answer(STREAM_STATUS);
    }

    /// Abandons the current attempt.
    fn end_attempt(&mut self, end: AttemptEnd) {
        self.response = None;
        self.pending_refusal = self.run.end(end).err();
    }

    /// Ends the stream and returns the refusal to send to the caller.
    fn finish_refused(&mut self, refusal: Refusal) -> Refusal {
        self.is_finished = true;
        let has_tokens = self.checker.next_index() > 0;
        let code = match refusal.code {
            code if code.not_run() && has_tokens => ResultCode::StreamBroken,
            code => code,
        };
        self.run.settle_claim(RequestEnd::refused(code));
        Refusal { code, ..refusal }
    }

    /// The error event that ends a stream.
    fn error_event(&self, refusal: Refusal) -> Bytes {
        let refusal = self.run.gateway().with_retry_after(refusal);
        counters::count_refusal(refusal.code);
        let json = error_json(&refusal, &self.run.call().request_id);
        format!("event: error\ndata: {json}\n\n").into()
    }
}

/// Reads the body to its end, so that the connection can be reused. Many engines send the end of
/// the body in a separate packet after the end marker.
fn drain_body(mut response: reqwest::Response) {
    if let Some(Ok(None)) = response.chunk().now_or_never() {
        return;
    }
    tokio::spawn(tokio::time::timeout(BODY_END_TIMEOUT, async move {
        while let Ok(Some(_)) = response.chunk().await {}
    }));
}

impl Drop for Relay {
    fn drop(&mut self) {
        counters::count_stream_events(self.checker.next_index());
    }
}

/// The ranges of a chunk that are forwarded. Adjacent ranges are merged.
#[derive(Default)]
struct ForwardedRanges {
    ranges: Vec<std::ops::Range<usize>>,
    last: std::ops::Range<usize>,
}

impl ForwardedRanges {
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

    /// The ranges as contiguous bytes, without a copy if they form one range.
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
