//! A connection to an upstream on which reading fails where the HTTP library would accept what is read.
//!
//! - After too many interim responses. The check belongs here and not beside the wait for the response: while bytes
//!   keep coming, the library goes on to read them and lets no other task of its thread run.
//! - At the end of the connection, if the request was not sent whole. An upstream that responds early and means to
//!   read on keeps the connection; one that ends it has crashed or given up, so that the end says nothing of a body
//!   without a length.

use {
    crate::{interim_responses::InterimResponses, send_progress::SendProgress},
    std::{
        error::Error,
        fmt, io,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// The connection ended before the request was sent whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedBeforeRequest;

impl fmt::Display for EndedBeforeRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection ended before the request was sent")
    }
}

impl Error for EndedBeforeRequest {}

impl EndedBeforeRequest {
    /// Whether this is the cause of an error.
    pub fn caused(error: &io::Error) -> bool {
        error.get_ref().is_some_and(|cause| cause.is::<Self>())
    }
}

/// A connection with these checks.
#[derive(Debug)]
pub struct CheckedStream<S> {
    stream: S,
    interim: InterimResponses,
    progress: SendProgress,
}

impl<S> CheckedStream<S> {
    /// Wraps a connection on which `interim` responses are counted, and whose requests `progress` follows.
    pub fn new(stream: S, interim: InterimResponses, progress: SendProgress) -> Self {
        Self { stream, interim, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CheckedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.interim.is_exceeded() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let before = buffer.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let has_ended = before > 0 && buffer.remaining() == before;
        if has_ended && !self.progress.is_sent() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::UnexpectedEof, EndedBeforeRequest)));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CheckedStream<S> {
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

    /// The HTTP library flushes once it holds no more bytes.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.progress.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
