//! A body that is read from a connection, and whose end may have to be confirmed.

use {
    crate::end_check::EndCheck,
    bytes::Bytes,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        error::Error,
        fmt,
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// Why a body cannot be read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// The connection failed, or the body is malformed.
    Read(hyper::Error),
    /// The body ended with its connection, but its upstream has crashed.
    UpstreamCrashed,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => error.fmt(f),
            Self::UpstreamCrashed => f.write_str("the upstream has crashed within its response"),
        }
    }
}

impl Error for BodyError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Read(error) => Some(error),
            Self::UpstreamCrashed => None,
        }
    }
}

/// The body of a request or of a response.
#[derive(Debug)]
pub struct CheckedBody {
    incoming: Incoming,
    /// Made at the end; `None` where the end is certain.
    end_check: Option<EndCheck>,
}

impl From<Incoming> for CheckedBody {
    fn from(incoming: Incoming) -> Self {
        Self { incoming, end_check: None }
    }
}

impl CheckedBody {
    /// Has the end confirmed by `check`.
    pub fn with_end_check(self, check: EndCheck) -> Self {
        Self { end_check: Some(check), ..self }
    }
}

impl Body for CheckedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(frame) = ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
            return Poll::Ready(Some(frame.map_err(BodyError::Read)));
        }
        let is_end = match &mut self.end_check {
            Some(check) => ready!(check.poll_is_end(cx)),
            None => true,
        };
        self.end_check = None;
        Poll::Ready(if is_end { None } else { Some(Err(BodyError::UpstreamCrashed)) })
    }

    fn is_end_stream(&self) -> bool {
        self.end_check.is_none() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
