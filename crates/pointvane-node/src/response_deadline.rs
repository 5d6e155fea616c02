//! Ends a connection whose response is not complete at the deadline of its request.
//!
//! Once its first bytes are sent, a response cannot be replaced by an error any more. Its caller learns from the
//! end of the connection that it is incomplete, and its upstream is cancelled. That holds for a response that
//! the upstream does not finish, and for one that the caller does not read.

use {
    std::{cell::Cell, rc::Rc},
    tokio::{
        sync::Notify,
        time::{Instant, sleep_until},
    },
};

/// The deadline of the response that a connection sends.
#[derive(Debug, Default)]
pub struct ResponseDeadline {
    /// `None` while no response is sent.
    at: Cell<Option<Instant>>,
    changed: Notify,
}

/// Held until a response is complete.
#[derive(Debug)]
pub struct IncompleteResponse(Rc<ResponseDeadline>);

impl ResponseDeadline {
    /// Applies to a response until the returned guard is dropped.
    pub fn start(self: &Rc<Self>, at: Instant) -> IncompleteResponse {
        self.set(Some(at));
        IncompleteResponse(Rc::clone(self))
    }

    /// Returns once a response is not complete at its deadline.
    pub async fn passed(&self) {
        loop {
            let changed = self.changed.notified();
            match self.at.get() {
                None => changed.await,
                Some(at) => tokio::select! {
                    () = changed => {}
                    () = sleep_until(at) => return,
                },
            }
        }
    }

    fn set(&self, at: Option<Instant>) {
        self.at.set(at);
        self.changed.notify_waiters();
    }
}

impl Drop for IncompleteResponse {
    fn drop(&mut self) {
        self.0.set(None);
    }
}
