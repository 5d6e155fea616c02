//! Closes a connection whose caller still sends a body: closing a socket with unread bytes resets it, and the
//! caller would lose the response.

use {
    std::{
        io,
        mem::MaybeUninit,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Longest time for which an unfinished body is read before its connection closes.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Most bytes of an unfinished body that are read before its connection closes.
const LINGER_BYTES_MAX: usize = 1 << 20;
/// Bytes per read from the socket.
const READ_BYTES: usize = 4_096;

/// Reads what a caller still sends of an unfinished body, up to limits of time and bytes.
pub struct Linger {
    timer: Pin<Box<Sleep>>,
    bytes_left: usize,
}

impl Linger {
    /// Starts the time.
    pub fn start() -> Self {
        Self { timer: Box::pin(sleep(LINGER_TIME)), bytes_left: LINGER_BYTES_MAX }
    }

    /// Reads and drops bytes; ready when the caller has closed the connection, or at a limit.
    pub fn poll(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut space = [MaybeUninit::uninit(); READ_BYTES];
        while self.bytes_left > 0 && self.timer.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::uninit(&mut space);
            ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer))?;
            if buffer.filled().is_empty() {
                break;
            }
            self.bytes_left = self.bytes_left.saturating_sub(buffer.filled().len());
        }
        Poll::Ready(Ok(()))
    }
}
