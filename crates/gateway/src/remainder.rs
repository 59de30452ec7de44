//! The rest of an answer that is too long to be held: passed on as it comes.

use bytes::Bytes;
use flaxward_control::claims::RequestEnd;
use futures::Stream;
use salvo::http::body::BytesFrame;

use crate::run::Run;

/// The rest of an answer. If it is dropped before its end, the attempt is cancelled.
pub(crate) struct Remainder {
    /// The request.
    pub run: Run,
    /// The answer, after what was held of it.
    pub response: reqwest::Response,
}

impl Remainder {
    /// The body, after `begun`. An error breaks the connection to the caller, so that a truncated
    /// answer is not taken for a whole one.
    pub fn into_stream(
        self,
        begun: Vec<Bytes>,
    ) -> impl Stream<Item = Result<BytesFrame, reqwest::Error>> + Send {
        let state = (begun.into_iter(), self);
        futures::stream::try_unfold(state, |(mut begun, mut remainder)| async move {
            let chunk = match begun.next() {
                Some(chunk) => Some(chunk),
                None => remainder.response.chunk().await?,
            };
            let Some(chunk) = chunk else {
                remainder.complete();
                return Ok(None);
            };
            Ok(Some((BytesFrame::data(chunk), (begun, remainder))))
        })
    }

    fn complete(mut self) {
        let status = self.response.status().as_u16();
        // The answer is the caller's already; nothing can follow.
        let _ = self.run.answered(status);
        self.run.settle(RequestEnd::Answered {
            status,
            content_type: String::new(),
            body: None,
        });
    }
}
