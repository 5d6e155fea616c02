//! The stage of a graceful shutdown, and the number of open caller connections.

use {
    std::{cell::Cell, rc::Rc},
    tokio::sync::watch,
};

/// The stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No shutdown has begun.
    Running,
    /// The node is withdrawn from the directory and from readiness; requests are still served.
    Draining,
    /// No new connections or requests are accepted.
    Closing,
}

/// The shutdown stage of a node and its open caller connections.
#[derive(Debug)]
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
    open: Rc<Cell<usize>>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self { stage: watch::Sender::new(Stage::Running), open: Rc::default() }
    }
}

/// Guard that counts one open caller connection until it is dropped.
#[derive(Debug)]
pub struct OpenConnection(Rc<Cell<usize>>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Lifecycle {
    /// Whether no shutdown has begun.
    pub fn is_running(&self) -> bool {
        *self.stage.borrow() == Stage::Running
    }

    /// Enters a stage and wakes the tasks that wait for it.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Returns once the stage is [`Stage::Closing`].
    pub async fn closing(&self) {
        // `self` owns the sender and outlives this future, so the wait cannot fail.
        _ = self.stage.subscribe().wait_for(|stage| *stage == Stage::Closing).await;
    }

    /// Counts a caller connection as open until the returned guard is dropped.
    pub fn connection_opened(&self) -> OpenConnection {
        self.open.set(self.open.get() + 1);
        OpenConnection(Rc::clone(&self.open))
    }

    /// Number of open caller connections.
    pub fn connections_open(&self) -> usize {
        self.open.get()
    }
}
