//! Bodies of requests, streamed through the entry VM.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Body of a request to an upstream.
#[derive(Debug, Default)]
pub enum RequestBody {
    /// No body.
    #[default]
    Empty,
    /// Streamed from the caller.
    Streamed(Incoming),
}

impl RequestBody {
    /// Creates a body from the caller's; [`Self::Empty`] if that is known to be empty.
    pub fn new(incoming: Incoming) -> Self {
        if incoming.is_end_stream() { Self::Empty } else { Self::Streamed(incoming) }
    }

    /// Whether there is no body, so that the request can be sent again.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Empty => Poll::Ready(None),
            Self::Streamed(incoming) => Pin::new(incoming).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Streamed(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Streamed(incoming) => incoming.size_hint(),
        }
    }
}
