//! How far a planned stop has come, and the callers' connections that are still open.

use {
    std::{cell::Cell, rc::Rc},
    tokio::sync::watch,
};

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not begun.
    Running,
    /// Callers are sent elsewhere; those that come are still served.
    Draining,
    /// Nothing new is accepted.
    Closing,
}

/// The stage of a node and its open connections.
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

/// Counts an open connection of a caller for as long as it lives.
#[derive(Debug)]
pub struct OpenConnection(Rc<Cell<usize>>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Lifecycle {
    /// Whether no planned stop has begun.
    pub fn is_running(&self) -> bool {
        *self.stage.borrow() == Stage::Running
    }

    /// Enters a stage.
    pub fn enter(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Returns once nothing new is accepted.
    pub async fn closing(&self) {
        // The sender lives as long as this future, so the wait cannot fail.
        _ = self.stage.subscribe().wait_for(|stage| *stage == Stage::Closing).await;
    }

    /// Counts a caller's connection until the returned value is dropped.
    pub fn connection_opened(&self) -> OpenConnection {
        self.open.set(self.open.get() + 1);
        OpenConnection(Rc::clone(&self.open))
    }

    /// Callers' connections that are open.
    pub fn connections_open(&self) -> usize {
        self.open.get()
    }
}
