//! Connections to upstreams and other nodes, which may read slowly.

use {
    crate::socket,
    pointvane_serve::WriteTimeout,
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Maximum time for which a peer takes no bytes. Requests in progress have deadlines of their own; this limits an
/// upstream that has responded early and never reads the rest.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Whether the peer of a connection may read slowly: it may from the first long body on, and for as long as the
/// connection lasts, since an upstream may respond before it has read all of that body.
#[derive(Clone, Debug, Default)]
pub struct SlowReading(Rc<Cell<bool>>);

impl SlowReading {
    /// Applies before the next bytes are sent.
    pub fn accept(&self) {
        self.0.set(true);
    }

    fn is_accepted(&self) -> bool {
        self.0.get()
    }
}

/// A connection that detects a dead peer, without taking one that reads slowly for dead.
#[derive(Debug)]
pub struct UpstreamStream {
    stream: TcpStream,
    slow_reading: SlowReading,
    /// Whether the socket is configured for slow reading.
    is_exempt: bool,
    write_timeout: WriteTimeout,
}

impl UpstreamStream {
    /// Wraps a connection of [`socket::connect`].
    pub fn new(stream: TcpStream, slow_reading: SlowReading) -> Self {
        let write_timeout = WriteTimeout::new(Some(WRITE_TIMEOUT));
        Self { stream, slow_reading, is_exempt: false, write_timeout }
    }

    fn prepare_write(&mut self) -> io::Result<()> {
        if self.slow_reading.is_accepted() && !self.is_exempt {
            socket::accept_slow_reading(&self.stream)?;
            self.is_exempt = true;
        }
        Ok(())
    }
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.write_timeout.apply(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.write_timeout.apply(written, cx)
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
