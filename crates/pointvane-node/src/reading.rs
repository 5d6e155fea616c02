//! What a node has read of the platform, and the signal that a rest or a watch is to end.
//!
//! Owns the reader's state; `platform_reader.rs` carries out the calls that it asks for.

use {
    crate::settings::NodeSettings,
    pointvane_dispatch::{Feed, FeedOptions, ReadMark},
    std::cell::{Ref, RefCell, RefMut},
    tokio::sync::Notify,
};

/// Peers that a node queries at the first start of all before it reads the platform. Not measured.
const FIRST_START_QUERIES: u32 = 5;
/// Pause between two of these queries, in milliseconds: the seeds need some time to read the platform. Not measured.
const FIRST_START_PAUSE_MS: u64 = 250;

/// What a node has read of the platform.
#[derive(Debug)]
pub struct PlatformReading {
    feed: RefCell<Feed>,
    interrupted: Notify,
}

impl PlatformReading {
    /// Nothing was read yet.
    pub fn new(settings: &NodeSettings, seed: u64) -> Self {
        Self { feed: RefCell::new(Feed::new(feed_options(settings), seed)), interrupted: Notify::new() }
    }

    /// The reader's state.
    pub fn state(&self) -> Ref<'_, Feed> {
        self.feed.borrow()
    }

    /// The reader's state, to be changed.
    pub fn state_mut(&self) -> RefMut<'_, Feed> {
        self.feed.borrow_mut()
    }

    /// How far the platform is read; zeros before the first read.
    pub fn mark(&self) -> ReadMark {
        self.feed.borrow().mark()
    }

    /// Ends a rest or a watch if the platform is known to hold more than was read.
    pub fn interrupt_if_behind(&self) {
        if self.feed.borrow().is_behind() {
            self.interrupted.notify_waiters();
        }
    }

    /// Returns once a rest or a watch is to end.
    pub async fn interrupted(&self) {
        self.interrupted.notified().await;
    }
}

/// At the first start of all, only the seeds read the platform at once; the others wait for what these have read.
fn feed_options(settings: &NodeSettings) -> FeedOptions {
    let defaults = FeedOptions::default();
    match (settings.first_start, settings.seeds.contains(&settings.gossip)) {
        (true, true) => FeedOptions { start_asks: 0, ..defaults },
        (true, false) => {
            FeedOptions { start_asks: FIRST_START_QUERIES, start_rest_ms: FIRST_START_PAUSE_MS, ..defaults }
        }
        (false, _) => defaults,
    }
}
