//! The platform state that a node has read, and the signal that ends a pause or a watch early.
//!
//! Owns the reader's state; `platform_reader.rs` performs the calls that it requests.

use {
    crate::settings::NodeSettings,
    pointvane_dispatch::{FullStateLimit, PlatformReader, ReadMark, ReaderOptions},
    std::{
        cell::{Ref, RefCell, RefMut},
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Time over which the platform reads of non-seed nodes are spread after a start, in milliseconds.
const START_SPREAD_MS: u64 = 2_000;
/// Maximum time to the first byte of a peer's reply after a start, in milliseconds. A peer that has just
/// started as well replies as soon as it has state, or after 200 ms.
const START_TIMEOUT_MS: u64 = 250;
/// Pause between two queries of peers after a start, in milliseconds: at first, hundreds of nodes query a
/// few.
const START_PAUSE_MS: u64 = 20;

/// The platform state that a node has read.
#[derive(Debug)]
pub struct PlatformState {
    reader: RefCell<PlatformReader>,
    /// Notified when peers have read a later revision than this node.
    behind: Notify,
    /// Notified when the configuration and the upstreams have been read, so that held requests can proceed.
    state_known: Notify,
    full_state_limit: RefCell<FullStateLimit>,
    shared_answer: RefCell<SharedAnswer>,
}

/// The most recently encoded full state. The frame is freed once no transfer uses it.
#[derive(Debug, Default)]
struct SharedAnswer {
    /// The mark in the query that it was encoded for.
    known: ReadMark,
    /// The mark of the encoded state.
    mark: ReadMark,
    frame: Weak<Vec<u8>>,
}

/// Permit to answer a query of another node. Answers with the full state count against a limit until the
/// permit is dropped.
#[derive(Debug)]
pub struct AnswerPermit<'s> {
    limit: Option<&'s RefCell<FullStateLimit>>,
}

impl Drop for AnswerPermit<'_> {
    fn drop(&mut self) {
        if let Some(limit) = self.limit {
            limit.borrow_mut().end();
        }
    }
}

impl PlatformState {
    /// Creates the state before the first read.
    pub fn new(settings: &NodeSettings, seed: u64) -> Self {
        Self {
            reader: RefCell::new(PlatformReader::new(reader_options(settings), seed)),
            behind: Notify::new(),
            state_known: Notify::new(),
            full_state_limit: RefCell::default(),
            shared_answer: RefCell::default(),
        }
    }

    /// The reader's state.
    pub fn state(&self) -> Ref<'_, PlatformReader> {
        self.reader.borrow()
    }

    /// The reader's state, mutably.
    pub fn state_mut(&self) -> RefMut<'_, PlatformReader> {
        self.reader.borrow_mut()
    }

    /// Begins an answer to a query of another node. Returns `None` if the limit of concurrent full states is
    /// reached.
    pub fn begin_answer(&self, is_full: bool) -> Option<AnswerPermit<'_>> {
        let limit = is_full.then_some(&self.full_state_limit);
        let allowed = limit.is_none_or(|limit| limit.borrow_mut().begin());
        allowed.then_some(AnswerPermit { limit })
    }

    /// The encoded full state for a node whose mark is `known`, if a current one is being sent to another
    /// node.
    pub fn shared_answer(&self, known: ReadMark) -> Option<Rc<Vec<u8>>> {
        let shared = self.shared_answer.borrow();
        let is_current = shared.known == known && shared.mark == self.mark();
        shared.frame.upgrade().filter(|_| is_current)
    }

    /// Shares an encoded full state for as long as it is being sent.
    pub fn share_answer(&self, known: ReadMark, frame: &Rc<Vec<u8>>) {
        let shared = SharedAnswer { known, mark: self.mark(), frame: Rc::downgrade(frame) };
        self.shared_answer.replace(shared);
    }

    /// The revision and version that have been read; zeros before the first read.
    pub fn mark(&self) -> ReadMark {
        self.reader.borrow().mark()
    }

    /// Ends pauses and stalled watches if peers have read a later revision.
    pub fn notify_if_behind(&self) {
        if self.reader.borrow().is_behind() {
            self.behind.notify_waiters();
        }
    }

    /// Releases the requests that are held until the first state is known.
    pub fn notify_state_known(&self) {
        self.state_known.notify_waiters();
    }

    /// Returns once the configuration and the upstreams are known, or after `max_wait`.
    pub async fn wait_for_first_state(&self, max_wait: Duration) {
        // The result is ignored: callers check the state afterwards.
        _ = timeout(max_wait, self.state_known.notified()).await;
    }

    /// Returns once peers are known to have read a later revision.
    pub async fn until_behind(&self) {
        self.behind.notified().await;
    }

    /// Returns once a pause or a stalled watch must end.
    pub async fn interrupted(&self) {
        loop {
            self.behind.notified().await;
            if self.reader.borrow().should_interrupt() {
                return;
            }
        }
    }
}

/// Reader options by the node's role at startup. Seeds read the platform early, as other nodes start from
/// them; non-seed nodes wait for the state that the seeds have read.
fn reader_options(settings: &NodeSettings) -> ReaderOptions {
    let defaults = ReaderOptions::default();
    match (settings.first_start, settings.seeds.contains(&settings.gossip)) {
        (true, true) => ReaderOptions { start_queries: 0, ..defaults },
        (false, true) => defaults,
        (_, false) => ReaderOptions {
            start_queries: 0,
            start_spread_ms: START_SPREAD_MS,
            start_timeout_ms: START_TIMEOUT_MS,
            start_pause_ms: START_PAUSE_MS,
            ..defaults
        },
    }
}
