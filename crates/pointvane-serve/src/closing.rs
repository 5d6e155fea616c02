//! Closes the connections of callers without losing their last responses.
//!
//! A socket that is closed while it has unread bytes, or that receives bytes afterwards, resets its connection,
//! and the reset discards the part of the response that the caller has not read yet. So only the sending side
//! is closed at first. What the caller still sends, such as requests behind the last one that is answered or
//! the rest of an upload, is read and dropped until the caller closes its side too: a caller that has closed
//! its side can send nothing more that would reset the connection.
//!
//! A caller that never closes its side is bounded by [`CloseLimits`], by the number of connections that close
//! at the same time, and by the end of the process. Dead callers are detected by the kernel, if the socket is
//! configured for it.

use {
    std::{
        collections::VecDeque,
        io,
        pin::pin,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        sync::oneshot,
        time::{Instant, sleep, sleep_until},
    },
};

/// Maximum number of connections of a process that close at the same time.
///
/// One more ends the oldest, so that callers that never close their side cannot use up the file descriptors.
const CONNECTIONS_MAX: usize = 512;
/// Maximum time that a connection closes: a caller that sends slowly and without end must not hold it for ever.
const CLOSE_TIME_MAX: Duration = Duration::from_secs(60);
/// Bytes per read from the socket.
const READ_BYTES: usize = 16_384;
/// Maximum number of bytes that are read when a connection is told to end: the caller may send faster than they
/// are dropped.
const LAST_BYTES_MAX: u64 = 4 << 20;

/// What a caller may still do on a connection that closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseLimits {
    /// Maximum time without a byte from the caller.
    pub idle_time: Duration,
    /// Maximum number of bytes that the caller sends in all.
    pub bytes_max: u64,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseResult {
    /// The caller closed its side.
    CallerClosed,
    /// The caller reset the connection.
    Reset,
    /// The caller did not acknowledge what was sent.
    Unresponsive,
    /// The caller sent nothing for [`CloseLimits::idle_time`] and did not close its side.
    IdleTooLong,
    /// The caller did not close its side within [`CLOSE_TIME_MAX`].
    TookTooLong,
    /// The caller sent more than [`CloseLimits::bytes_max`].
    TooManyBytes,
    /// More than [`CONNECTIONS_MAX`] connections were closing.
    Displaced,
    /// The process ends.
    ProcessEnds,
    /// A response broke off that only the end of the connection delimits; see [`reset`].
    ResponseBrokeOff,
}

impl CloseResult {
    /// Name in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller-closed",
            Self::Reset => "reset",
            Self::Unresponsive => "unresponsive",
            Self::IdleTooLong => "idle-too-long",
            Self::TookTooLong => "took-too-long",
            Self::TooManyBytes => "too-many-bytes",
            Self::Displaced => "displaced",
            Self::ProcessEnds => "process-ends",
            Self::ResponseBrokeOff => "response-broke-off",
        }
    }

    /// Whether this process gave the connection up, so that the caller may have lost a part of a response.
    pub const fn is_given_up(self) -> bool {
        !matches!(self, Self::CallerClosed | Self::Reset)
    }

    /// How a connection ended that failed with an I/O error.
    pub fn of_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => Self::Unresponsive,
            _ => Self::Reset,
        }
    }
}

/// The end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// How it ended.
    pub result: CloseResult,
    /// Bytes from the caller that were dropped.
    pub dropped_bytes: u64,
}

/// The connections of a process that are closing.
#[derive(Debug, Default)]
pub struct ClosingConnections {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Tells a connection to end, by its number, oldest first.
    closing: VecDeque<(u64, oneshot::Sender<CloseResult>)>,
    started: u64,
    has_ended: bool,
}

impl ClosingConnections {
    /// Closes a connection; returns once it has ended.
    pub async fn close(&self, stream: TcpStream, limits: CloseLimits) -> Closed {
        let (number, told_to_end) = self.start();
        let told_to_end = async {
            // The sender is dropped only after the connection has ended.
            told_to_end.await.unwrap_or(CloseResult::ProcessEnds)
        };
        let closed = close(stream, limits, told_to_end).await;
        self.state().closing.retain(|(other, _)| *other != number);
        closed
    }

    /// Ends all connections that are closing now or later, because the process ends.
    pub fn end_all(&self) {
        let mut state = self.state();
        state.has_ended = true;
        state.closing.drain(..).for_each(|(_, sender)| end(sender, CloseResult::ProcessEnds));
    }

    fn start(&self) -> (u64, oneshot::Receiver<CloseResult>) {
        let (sender, told_to_end) = oneshot::channel();
        let mut state = self.state();
        state.started += 1;
        let number = state.started;
        state.closing.push_back((number, sender));
        let displaced = if state.has_ended || state.closing.len() > CONNECTIONS_MAX {
            state.closing.pop_front()
        } else {
            None
        };
        let result = if state.has_ended { CloseResult::ProcessEnds } else { CloseResult::Displaced };
        displaced.into_iter().for_each(|(_, sender)| end(sender, result));
        (number, told_to_end)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells a connection to end; it may have ended at the same moment.
fn end(sender: oneshot::Sender<CloseResult>, result: CloseResult) {
    _ = sender.send(result);
}

/// Resets a connection after a response to HTTP/1.0 broke off: an orderly end would say that it is complete.
pub fn reset(stream: TcpStream) -> Closed {
    // It fails on a connection that has already ended.
    _ = stream.set_zero_linger();
    drop(stream);
    Closed { result: CloseResult::ResponseBrokeOff, dropped_bytes: 0 }
}

async fn close(
    mut stream: TcpStream,
    limits: CloseLimits,
    told_to_end: impl Future<Output = CloseResult>,
) -> Closed {
    let mut dropped_bytes = 0;
    if let Err(error) = stream.shutdown().await {
        return Closed { result: CloseResult::of_error(&error), dropped_bytes };
    }
    let mut told_to_end = pin!(told_to_end);
    let mut time_over = pin!(sleep_until(Instant::now() + CLOSE_TIME_MAX));
    let result = loop {
        let read = tokio::select! {
            read = read_and_drop(&stream) => read,
            result = told_to_end.as_mut() => {
                // Bytes that are left unread would reset the connection.
                dropped_bytes += drop_unread(&stream);
                break result;
            }
            () = time_over.as_mut() => break CloseResult::TookTooLong,
            () = sleep(limits.idle_time) => break CloseResult::IdleTooLong,
        };
        match read {
            Ok(0) => break CloseResult::CallerClosed,
            Ok(length) => dropped_bytes += length as u64,
            Err(error) => break CloseResult::of_error(&error),
        }
        if dropped_bytes > limits.bytes_max {
            break CloseResult::TooManyBytes;
        }
    };
    Closed { result, dropped_bytes }
}

/// Waits for bytes and drops them; returns their number, 0 at the end of the stream.
async fn read_and_drop(stream: &TcpStream) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(&mut [0; READ_BYTES]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

/// Drops the bytes that have arrived; returns their number.
fn drop_unread(stream: &TcpStream) -> u64 {
    let mut dropped_bytes = 0;
    while dropped_bytes < LAST_BYTES_MAX
        && let Ok(length @ 1..) = stream.try_read(&mut [0; READ_BYTES])
    {
        dropped_bytes += length as u64;
    }
    dropped_bytes
}
