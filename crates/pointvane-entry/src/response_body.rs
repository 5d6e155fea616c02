//! Bodies of responses, streamed through the entry VM.
//!
//! An upstream's body owns the connection that it is read from. Request bodies are in `request_body.rs`.

use {
    crate::{connection_pool::Connection, counters::MalformedCounter, service::Attempt},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        body::{Body, Frame, SizeHint},
        header::HeaderValue,
    },
    pointvane_balance::AttemptOutcome,
    pointvane_serve::{BodyError, CheckedBody, FaultHandling, ResponseFault},
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// What is needed to report that a body cannot be read to its end.
#[derive(Debug)]
pub struct FaultReport {
    /// The id that the caller has sent, if any.
    pub request_id: Option<HeaderValue>,
    /// Counts it.
    pub counter: MalformedCounter,
}

impl FaultReport {
    fn report(&self, attempt: &Attempt, fault: ResponseFault) {
        self.counter.add(fault, FaultHandling::CutOff);
        let id = self.request_id.as_ref().and_then(|id| id.to_str().ok());
        attempt.record_malformed(id.unwrap_or_default(), fault, FaultHandling::CutOff);
    }
}

/// An upstream's response body. At its end the attempt is ended and the connection returns to the pool.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: CheckedBody,
    connection: Option<Connection>,
    attempt: Option<(Attempt, FaultReport)>,
    end: AttemptOutcome,
}

impl UpstreamBody {
    /// Creates a body whose attempt ends as `end` after the last byte. If the body is dropped earlier, the
    /// attempt ends as cancelled and the connection is closed.
    pub fn new(
        incoming: CheckedBody,
        connection: Connection,
        attempt: Option<(Attempt, FaultReport)>,
        end: AttemptOutcome,
    ) -> Self {
        let mut body = Self { incoming, connection: Some(connection), attempt, end };
        if body.incoming.is_end_stream() {
            body.finish();
        }
        body
    }

    fn finish(&mut self) {
        if let Some((attempt, _)) = self.attempt.take() {
            attempt.end(self.end);
        }
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    fn fail(&mut self, fault: ResponseFault) {
        self.connection = None;
        if let Some((attempt, report)) = self.attempt.take() {
            report.report(&attempt, fault);
            attempt.end(AttemptOutcome::Failed);
        }
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match &frame {
            None => self.finish(),
            Some(Err(error)) => self.fail(ResponseFault::of_body_error(error)),
            // With a known content length, the server does not poll again after the last byte.
            Some(Ok(_)) if self.incoming.is_end_stream() => self.finish(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// Held completely in memory.
    Buffered(Full<Bytes>),
    /// Streamed from an upstream.
    Streamed(UpstreamBody),
    /// The first bytes have already been read into memory; the rest is streamed.
    Prefixed(Option<Bytes>, UpstreamBody),
}

impl ResponseBody {
    /// Creates a body from bytes in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        Self::Buffered(Full::new(bytes.into()))
    }
}

fn widen_error<T>(frame: Result<T, Infallible>) -> Result<T, BodyError> {
    frame.map_err(|error| match error {})
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(full) => Pin::new(full).poll_frame(cx).map(|frame| frame.map(widen_error)),
            Self::Streamed(body) => Pin::new(body).poll_frame(cx),
            Self::Prefixed(prefix, body) => match prefix.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(body).poll_frame(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(full) => full.is_end_stream(),
            Self::Streamed(body) => body.is_end_stream(),
            Self::Prefixed(prefix, body) => prefix.is_none() && body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(full) => full.size_hint(),
            Self::Streamed(body) => body.size_hint(),
            Self::Prefixed(..) => SizeHint::default(),
        }
    }
}
