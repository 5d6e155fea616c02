//! Whether a request was sent whole.

use {
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
        task::{Context, Poll},
    },
};

/// All bytes of the last request were written to the connection; also before the first request.
const SENT: u8 = 0;
/// All bytes were handed to the HTTP library, which may still hold some.
const BUFFERED: u8 = 1;
const SENDING: u8 = 2;

/// How far the last request of a connection was sent.
#[derive(Clone, Debug, Default)]
pub struct SendProgress(Arc<AtomicU8>);

impl SendProgress {
    /// Starts a request with this body.
    pub fn begin<B>(&self, body: B) -> TrackedBody<B> {
        self.0.store(SENDING, Ordering::Relaxed);
        TrackedBody { body, _sending: Sending(self.clone()) }
    }

    /// Everything that the HTTP library holds was written.
    pub fn flushed(&self) {
        self.advance(BUFFERED, SENT);
    }

    /// Whether the whole request was written.
    pub fn is_sent(&self) -> bool {
        self.0.load(Ordering::Relaxed) == SENT
    }

    fn advance(&self, from: u8, to: u8) {
        // In any other state there is nothing to advance.
        _ = self.0.compare_exchange(from, to, Ordering::Relaxed, Ordering::Relaxed);
    }
}

/// Ends the sending of a body: the HTTP library drops it once it has taken the last byte.
#[derive(Debug)]
struct Sending(SendProgress);

impl Drop for Sending {
    fn drop(&mut self) {
        self.0.advance(SENDING, BUFFERED);
    }
}

/// The body of a request whose progress is followed.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _sending: Sending,
}

impl<B> TrackedBody<B> {
    /// The body itself, if nothing was sent.
    pub fn into_inner(self) -> B {
        self.body
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
