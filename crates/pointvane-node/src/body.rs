//! Request and response bodies: buffered up to a size, streamed beyond it.

use {
    crate::response_deadline::{IncompleteResponse, ResponseDeadline},
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    pointvane_serve::{BodyError, CheckedBody},
    std::{
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::time::Instant,
};

/// A body whose first part is buffered; the rest, if any, is streamed over a connection of type `C`.
#[derive(Debug)]
pub struct StreamedBody<C> {
    first: Option<Bytes>,
    rest: Option<CheckedBody>,
    /// Length of the whole body in bytes, if known.
    length: Option<u64>,
    /// When the whole body must have been sent, if it is the streamed body of a response.
    deadline: Option<Instant>,
    /// Applies the deadline to the connection that the body is sent on.
    incomplete: Option<IncompleteResponse>,
    /// The connection that the rest arrives on; held until the body is dropped, then closed.
    _connection: Option<C>,
}

impl<C> StreamedBody<C> {
    /// Creates a body that is buffered completely.
    pub fn whole(bytes: Bytes) -> Self {
        let length = Some(bytes.len() as u64);
        Self {
            first: Some(bytes).filter(|bytes| !bytes.is_empty()),
            rest: None,
            length,
            deadline: None,
            incomplete: None,
            _connection: None,
        }
    }

    /// Creates a body whose rest is read from `connection` as it is polled.
    pub fn streamed(buffered: BufferedBody, connection: Option<C>) -> Self {
        Self {
            first: Some(buffered.bytes).filter(|bytes| !bytes.is_empty()),
            rest: buffered.rest,
            length: buffered.length,
            deadline: None,
            incomplete: None,
            _connection: connection,
        }
    }

    /// Sets when the whole body must have been sent.
    pub fn with_deadline(self, deadline: Instant) -> Self {
        Self { deadline: Some(deadline), ..self }
    }

    /// Whether the whole body must have been sent by now.
    pub fn is_overdue(&self) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= Instant::now())
    }

    /// Applies the deadline to the connection that the body is sent on.
    pub fn apply_deadline(&mut self, to: &Rc<ResponseDeadline>) {
        self.incomplete = self.deadline.map(|deadline| to.start(deadline));
    }
}

impl<C: Unpin> Body for StreamedBody<C> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(bytes) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.rest, &self.first, self.length) {
            (None, first, _) => SizeHint::with_exact(first.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            (Some(_), Some(_), Some(length)) => SizeHint::with_exact(length),
            _ => SizeHint::default(),
        }
    }
}

/// The buffered part of a body, and the reader of the rest.
#[derive(Debug)]
pub struct BufferedBody {
    /// The first part, or the whole body.
    pub bytes: Bytes,
    /// The rest, if the body exceeds the buffer limit.
    pub rest: Option<CheckedBody>,
    /// Length of the whole body in bytes, if the sender announced it.
    pub length: Option<u64>,
}

impl BufferedBody {
    /// An empty body.
    pub fn empty() -> Self {
        Self { bytes: Bytes::new(), rest: None, length: Some(0) }
    }
}
