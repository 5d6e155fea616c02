//! Whether the end of a connection is the end of a body that has no other.
//!
//! A body without a length ends with its connection. A process that crashes closes its connections in the same orderly
//! way as one that is done, if it has read all that was sent to it. What tells them apart is what becomes of its
//! address: after a crash nothing listens there. So a connection is opened to it, once for each such body; this costs
//! a round trip before the end is passed on.
//!
//! Undetected: a crash of one of several processes that share an address, and one whose address is in use again within
//! the round trip.

use {
    std::{
        future::Future,
        io,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{net::TcpStream, sync::oneshot, time::timeout},
};

/// Timeout of the connection. A host refuses a port without a listener within a round trip; one that cannot be reached
/// does not answer, which is no evidence of a crash.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// What is known of an upstream whose connection has ended a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamPresence {
    /// Its process is expected to run.
    Running,
    /// It has announced that it is leaving, or was removed: it may end once it has responded.
    Leaving,
    /// A later process has taken its place.
    Replaced,
}

/// Whether a connection that is opened is refused, since nothing listens at its address.
pub async fn is_refused(connecting: impl Future<Output = io::Result<TcpStream>>) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, connecting).await;
    connected
        .is_ok_and(|connected| connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused))
}

/// Whether a body was whole when its upstream ended the connection just now. `connecting` opens another one in the way
/// in which requests are sent; `presence` is called before and after that.
pub async fn is_end_of_body(
    connecting: impl Future<Output = io::Result<TcpStream>>,
    presence: impl Fn() -> UpstreamPresence,
) -> bool {
    if presence() == UpstreamPresence::Leaving {
        return true;
    }
    let is_refused = is_refused(connecting).await;
    match presence() {
        UpstreamPresence::Running => !is_refused,
        UpstreamPresence::Leaving => true,
        UpstreamPresence::Replaced => false,
    }
}

/// Asks at the end of a body whether it is whole.
#[derive(Debug)]
pub struct EndCheck {
    /// Starts the check; `None` once it has started.
    start: Option<oneshot::Sender<()>>,
    is_end: oneshot::Receiver<bool>,
}

impl EndCheck {
    /// Creates a check, and the task that makes it; `is_end` is not polled before the body has ended.
    pub fn new(is_end: impl Future<Output = bool>) -> (Self, impl Future<Output = ()>) {
        let (start, started) = oneshot::channel();
        let (sender, receiver) = oneshot::channel();
        let task = async move {
            // Dropped unused with a body that was not read to its end.
            if started.await.is_ok() {
                // The body may have been dropped meanwhile.
                _ = sender.send(is_end.await);
            }
        };
        (Self { start: Some(start), is_end: receiver }, task)
    }

    /// Starts the check if it has not started; ready with whether the body is whole.
    pub fn poll_is_end(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        if let Some(start) = self.start.take() {
            // Without the task there is no result, which counts as no end.
            _ = start.send(());
        }
        Poll::Ready(ready!(Pin::new(&mut self.is_end).poll(cx)).unwrap_or(false))
    }
}
