//! Bodies of answers that stream through the entry VM.
//!
//! Relies on the connection that a body comes on; bodies of requests are in `request_body.rs`.

use {
    crate::{connections::Connection, service::Attempt},
    bytes::Bytes,
    http_body_util::Full,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    pointvane_balance::AttemptEnd,
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// An upstream's body, with what must happen when it ends.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    connection: Option<Connection>,
    attempt: Option<Attempt>,
    end: AttemptEnd,
}

impl UpstreamBody {
    /// A body whose attempt ends as `end` once all of it came. Dropped earlier, the attempt counts as
    /// cancelled and its connection is closed.
    pub fn new(
        incoming: Incoming,
        connection: Connection,
        attempt: Option<Attempt>,
        end: AttemptEnd,
    ) -> Self {
        let mut body = Self { incoming, connection: Some(connection), attempt, end };
        if body.incoming.is_end_stream() {
            body.ended();
        }
        body
    }

    fn ended(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            attempt.end(self.end);
        }
        if let Some(connection) = self.connection.take() {
            connection.keep();
        }
    }

    fn broke(&mut self) {
        self.connection = None;
        if let Some(attempt) = self.attempt.take() {
            attempt.end(AttemptEnd::Failed);
        }
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match &frame {
            None => self.ended(),
            Some(Err(_)) => self.broke(),
            // With a known length the server stops asking after the last byte.
            Some(Ok(_)) if self.incoming.is_end_stream() => self.ended(),
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

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// Held whole in memory.
    Whole(Full<Bytes>),
    /// Streamed from an upstream.
    Streamed(UpstreamBody),
    /// The start was read already; the rest is streamed.
    Resumed(Option<Bytes>, UpstreamBody),
}

impl AnswerBody {
    /// A body held whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

fn infallible<T>(frame: Result<T, Infallible>) -> Result<T, hyper::Error> {
    frame.map_err(|never| match never {})
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Whole(full) => Pin::new(full).poll_frame(cx).map(|frame| frame.map(infallible)),
            Self::Streamed(body) => Pin::new(body).poll_frame(cx),
            Self::Resumed(start, body) => match start.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(body).poll_frame(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Streamed(body) => body.is_end_stream(),
            Self::Resumed(start, body) => start.is_none() && body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Streamed(body) => body.size_hint(),
            Self::Resumed(..) => SizeHint::default(),
        }
    }
}
