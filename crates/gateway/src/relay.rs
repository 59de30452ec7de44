//! Relays a stream of tokens to the caller: each once, in order and to the end, over as many
//! attempts as it takes.

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

/// Status of the answer that a stream belongs to.
const STREAM_STATUS: u16 = 200;
/// Time allowed for the end of a body after the end mark.
const BODY_END_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the first event of an attempt in which a crash of the back end counts for the request.
const JUST_BEGUN: Duration = Duration::from_secs(1);
/// Content type of a stream.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";

/// A stream on its way to the caller. When it is dropped, the caller is gone.
pub(crate) struct Relay {
    run: Run,
    response: Option<reqwest::Response>,
    scanner: EventScanner,
    checker: FrameChecker,
    started: Instant,
    /// When the current attempt has brought its first event.
    begun_at: Option<tokio::time::Instant>,
    silence: Pin<Box<Sleep>>,
    waiting_since: tokio::time::Instant,
    /// What the caller is told after the bytes it still gets.
    failed: Option<Refusal>,
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
        let silence = Box::pin(tokio::time::sleep_until(run.first_token_timer()));
        Self {
            run,
            response: Some(response),
            scanner: EventScanner::default(),
            checker,
            started,
            begun_at: None,
            silence,
            waiting_since: tokio::time::Instant::now(),
            failed: None,
            is_finished: false,
        }
    }

    /// The body of the answer to the caller, after its first bytes.
    pub fn into_stream(
        self,
        first: Bytes,
    ) -> impl Stream<Item = Result<BytesFrame, std::io::Error>> + Send {
        // Boxed: the state is moved several times for every chunk.
        let begun = (Some(first), Box::new(self));
        futures::stream::unfold(begun, |(first, mut relay)| async move {
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

    /// The next bytes for the caller, or `None` after the end. An error if there are none and no
    /// other attempt follows.
    pub async fn advance(&mut self) -> Result<Option<Bytes>, Refusal> {
        while !self.is_finished {
            if let Some(refusal) = self.failed.take() {
                return Err(self.finish_refused(refusal));
            }
            if self.response.is_none()
                && let Err(refusal) = self.open_again().await
            {
                return Err(self.finish_refused(refusal));
            }
            let bytes = match self.read().await {
                Read::Chunk(chunk) => self.pass_on(chunk),
                Read::End(end) => {
                    if self.has_just_begun() {
                        self.run.note_break(end).await;
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

    async fn open_again(&mut self) -> Result<(), Refusal> {
        let response = self.run.open().await?;
        self.checker.begin(self.run.attempt());
        self.scanner.clear();
        self.begun_at = None;
        if !response.status().is_success() {
            return self.run.end(AttemptEnd::Truncated);
        }
        self.response = Some(response);
        Ok(())
    }

    /// Whether a crash of the back end now may come of the request. A stream that has gone on for longer is more often
    /// cut off by the crash that another request has caused.
    fn has_just_begun(&self) -> bool {
        self.begun_at
            .is_none_or(|begun_at| begun_at.elapsed() < JUST_BEGUN)
    }

    async fn read(&mut self) -> Read {
        let Some(response) = self.response.as_mut() else {
            return Read::End(AttemptEnd::Truncated);
        };
        // Time in which the caller reads nothing is not the back end's.
        self.waiting_since = tokio::time::Instant::now();
        loop {
            tokio::select! {
                biased;
                chunk = response.chunk() => {
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
                    let mut until = self.waiting_since + self.run.gateway().settings.stream_idle;
                    if self.checker.next_index() == 0 {
                        until = until.min(self.run.first_token_timer());
                    }
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
            self.begun_at.get_or_insert_with(tokio::time::Instant::now);
            self.run.note_delivered(Delivered::Frames(after));
            if before == 0 {
                counters::first_token(self.started.elapsed());
            }
        }
        if let Err(end) = verdict {
            self.end_attempt(end);
        }
        passed.into_bytes(&self.scanner)
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
        if let Some(response) = self.response.take() {
            free_connection(response);
        }
        // The machine takes the answer of its own current attempt.
        let _ = self.run.answered(STREAM_STATUS);
        self.run.settle(RequestEnd::Answered {
            status: STREAM_STATUS,
            content_type: EVENT_STREAM.to_owned(),
            body: None,
        });
        counters::relayed(STREAM_STATUS);
    }

    /// Gives the current attempt up.
    fn end_attempt(&mut self, end: AttemptEnd) {
        self.response = None;
        self.failed = self.run.end(end).err();
    }

    /// Ends the stream, with what the caller is told.
    fn finish_refused(&mut self, refusal: Refusal) -> Refusal {
        self.is_finished = true;
        let has_tokens = self.checker.next_index() > 0;
        let code = match refusal.code {
            code if code.not_run() && has_tokens => ResultCode::StreamBroken,
            code => code,
        };
        self.run.settle(RequestEnd::refused(code));
        Refusal { code, ..refusal }
    }

    /// An error as the last event of a stream.
    fn error_event(&self, refusal: Refusal) -> Bytes {
        let refusal = self.run.gateway().with_retry_after(refusal);
        counters::refused(refusal.code);
        let json = error_json(&refusal, &self.run.call().request_id);
        format!("event: error\ndata: {json}\n\n").into()
    }
}

/// Lets the connection be used again. It can be once the body has ended, which many engines send in
/// a packet of its own after the end mark.
fn free_connection(mut response: reqwest::Response) {
    if let Some(Ok(None)) = response.chunk().now_or_never() {
        return;
    }
    tokio::spawn(tokio::time::timeout(BODY_END_TIMEOUT, async move {
        while let Ok(Some(_)) = response.chunk().await {}
    }));
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
