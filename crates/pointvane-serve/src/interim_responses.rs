//! Limits the interim responses (1xx) before a response. The HTTP library skips them, however many there are.

use {
    hyper::{Request, ext::on_informational},
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Maximum number of interim responses to a request. Upstreams send one or two: `100 Continue`, early hints, or
/// `102 Processing` every few seconds. The head of each is limited by the library's read buffer.
const INTERIM_MAX: u32 = 16;

/// Number of interim responses to the last request of a connection.
#[derive(Clone, Debug, Default)]
pub struct InterimResponses(Arc<AtomicU32>);

impl InterimResponses {
    /// Starts to count those to `request`, which must be sent after that.
    pub fn count<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = Arc::clone(&self.0);
        on_informational(request, move |_| _ = count.fetch_add(1, Ordering::Relaxed));
    }

    /// Whether there are more than [`INTERIM_MAX`].
    pub fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > INTERIM_MAX
    }
}

/// A connection that cannot be read any more once there are too many interim responses.
///
/// The check belongs here and not beside the wait for the response: while bytes keep coming, the library goes on
/// to read them and lets no other task of its thread run.
#[derive(Debug)]
pub struct InterimLimited<S> {
    stream: S,
    responses: InterimResponses,
}

impl<S> InterimLimited<S> {
    /// Wraps a connection on which `responses` are counted.
    pub fn new(stream: S, responses: InterimResponses) -> Self {
        Self { stream, responses }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for InterimLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.responses.is_exceeded() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for InterimLimited<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
