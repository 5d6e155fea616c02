//! A connection that is lent to an HTTP server.
//!
//! The server drops its stream when it ends, whether a response closed the connection, a request could not be
//! parsed or a timeout passed. The stream then returns to its lender, which closes it in the one way that
//! [`crate::ClosingConnections`] implements.

use {
    crate::write_timeout::WriteTimeout,
    std::{
        io,
        pin::{Pin, pin},
        sync::{Arc, Mutex, PoisonError},
        task::{Context, Poll, Waker},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
        net::TcpStream,
    },
};

type Returned = Arc<Mutex<Option<TcpStream>>>;

/// Gets a lent stream back.
#[derive(Debug)]
pub struct Lender(Returned);

/// A stream that returns to its lender on drop. Shutting it down only flushes it: its lender closes it.
#[derive(Debug)]
pub struct LentStream {
    /// `None` only while it is dropped.
    stream: Option<TcpStream>,
    returned: Returned,
    write_timeout: WriteTimeout,
}

/// Lends a stream. A write fails if its peer takes no bytes for `write_timeout`, if there is one.
pub fn lend(stream: TcpStream, write_timeout: Option<Duration>) -> (LentStream, Lender) {
    let returned = Returned::default();
    let lender = Lender(Arc::clone(&returned));
    (LentStream { stream: Some(stream), returned, write_timeout: WriteTimeout::new(write_timeout) }, lender)
}

impl Lender {
    /// The stream; `None` while it is lent.
    pub fn take(&self) -> Option<TcpStream> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl LentStream {
    /// Whether the other end has closed its side or reset the connection, also if bytes before that are unread.
    pub fn is_read_closed(&self) -> bool {
        let Some(stream) = &self.stream else { return true };
        // Ready at once if there are unread bytes, and if the other end has closed its side.
        let ready = pin!(stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    fn get(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        self.stream.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl Drop for LentStream {
    fn drop(&mut self) {
        *self.returned.lock().unwrap_or_else(PoisonError::into_inner) = self.stream.take();
    }
}

impl AsyncRead for LentStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.get()?.poll_read(cx, buffer)
    }
}

impl AsyncWrite for LentStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.get()?.poll_write(cx, bytes);
        self.write_timeout.apply(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.get()?.poll_write_vectored(cx, slices);
        self.write_timeout.apply(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get()?.poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_flush(cx)
    }
}
