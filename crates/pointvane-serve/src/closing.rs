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
    crate::closed::{CloseLimits, CloseResult, Closed},
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

/// Maximum number of connections of a process that close at the same time: half of the descriptors that a process
/// usually has. All idle connections close at once when a process stops.
///
/// One more ends the oldest, so that callers that never close their side cannot use up the descriptors.
const CONNECTIONS_MAX: usize = 2_048;
/// Maximum time that a connection closes: a caller that sends slowly and without end must not hold it for ever.
const CLOSE_TIME_MAX: Duration = Duration::from_secs(60);
/// Bytes per read from the socket.
const READ_BYTES: usize = 16_384;
/// Maximum number of bytes that are read when a connection is signalled to end: the caller may send faster than they
/// are dropped.
const LAST_BYTES_MAX: u64 = 4 << 20;

/// The connections of a process that are closing.
#[derive(Debug, Default)]
pub struct ClosingConnections {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Signals each connection to end; by number, oldest first.
    closing: VecDeque<(u64, oneshot::Sender<CloseResult>)>,
    started: u64,
    has_ended: bool,
}

impl ClosingConnections {
    /// Closes a connection; returns once it has ended.
    pub async fn close(&self, stream: TcpStream, limits: CloseLimits) -> Closed {
        let (number, end_signal) = self.start();
        // The sender is dropped unused only when the process ends.
        let end_signal = async { end_signal.await.unwrap_or(CloseResult::ProcessEnds) };
        let closed = close(stream, limits, end_signal).await;
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
        let (sender, end_signal) = oneshot::channel();
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
        (number, end_signal)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Signals a connection to end; it may have ended at the same moment.
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
    end_signal: impl Future<Output = CloseResult>,
) -> Closed {
    let mut dropped_bytes = 0;
    if let Err(error) = stream.shutdown().await {
        return Closed { result: CloseResult::of_error(&error), dropped_bytes };
    }
    let mut end_signal = pin!(end_signal);
    let mut time_over = pin!(sleep_until(Instant::now() + CLOSE_TIME_MAX));
    let result = loop {
        let read = tokio::select! {
            read = read_and_drop(&stream) => read,
            result = end_signal.as_mut() => {
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
