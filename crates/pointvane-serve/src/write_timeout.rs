//! Limits the time for which the peer of a connection takes no bytes.

use {
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Sleep, sleep},
};

/// Fails a write whose peer takes no bytes for too long.
#[derive(Debug)]
pub struct WriteTimeout {
    /// `None` to wait for ever.
    limit: Option<Duration>,
    /// When the write that waits fails.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeout {
    /// Creates a timeout of `limit`, or none.
    pub fn new(limit: Option<Duration>) -> Self {
        Self { limit, stalled: None }
    }

    /// Passes on the result of a write; a write that has waited for too long fails.
    pub fn apply(
        &mut self,
        written: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let Some(limit) = self.limit else { return Poll::Pending };
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(limit)));
        stalled.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}
