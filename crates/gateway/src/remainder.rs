//! The rest of an answer that exceeds the buffer limits, forwarded as it arrives.

use bytes::Bytes;
use flaxward_control::claims::RequestEnd;
use futures::Stream;
use salvo::http::body::BytesFrame;

use crate::run::Run;

/// The rest of an answer. If it is dropped before its end, the attempt is cancelled.
pub(crate) struct Remainder {
    pub run: Run,
    /// The answer, positioned after its buffered part.
    pub response: reqwest::Response,
}

impl Remainder {
    /// The body: first `buffered`, then the rest. An error breaks the connection to the caller, so
    /// that a truncated answer is not mistaken for a complete one.
    pub fn into_stream(
        self,
        buffered: Vec<Bytes>,
    ) -> impl Stream<Item = Result<BytesFrame, reqwest::Error>> + Send {
        let state = (buffered.into_iter(), self);
        futures::stream::try_unfold(state, |(mut buffered, mut remainder)| async move {
            let chunk = match buffered.next() {
                Some(chunk) => Some(chunk),
                None => remainder.response.chunk().await?,
            };
            let Some(chunk) = chunk else {
                remainder.complete();
                return Ok(None);
            };
            Ok(Some((BytesFrame::data(chunk), (buffered, remainder))))
        })
    }

    fn complete(mut self) {
        let status = self.response.status().as_u16();
        // The caller has received the answer, so no retry can follow.
        let _ = self.run.answered(status);
        self.run.settle_claim(RequestEnd::Answered {
            status,
            content_type: String::new(),
            body: None,
        });
    }
}
