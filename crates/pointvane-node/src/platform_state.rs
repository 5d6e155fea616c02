//! What a node has read of the platform, and the signal that a rest or a watch is to end.
//!
//! Owns the reader's state; `platform_reader.rs` carries out the calls that it asks for.

use {
    crate::settings::NodeSettings,
    pointvane_dispatch::{PlatformReader, ReadMark, ReaderOptions},
    std::cell::{Ref, RefCell, RefMut},
    tokio::sync::Notify,
};

/// Peers that a node queries at the first start of all before it reads the platform. Not measured.
const FIRST_START_QUERIES: u32 = 5;
/// Pause between two of these queries, in milliseconds: the seeds need some time to read the platform. Not measured.
const FIRST_START_PAUSE_MS: u64 = 250;

/// What a node has read of the platform.
#[derive(Debug)]
pub struct PlatformState {
    reader: RefCell<PlatformReader>,
    /// Whoever pauses or waits looks again at what is to be done.
    news: Notify,
}

impl PlatformState {
    /// Nothing was read yet.
    pub fn new(settings: &NodeSettings, seed: u64) -> Self {
        Self {
            reader: RefCell::new(PlatformReader::new(reader_options(settings), seed)),
            news: Notify::new(),
        }
    }

    /// The reader's state.
    pub fn state(&self) -> Ref<'_, PlatformReader> {
        self.reader.borrow()
    }

    /// The reader's state, to be changed.
    pub fn state_mut(&self) -> RefMut<'_, PlatformReader> {
        self.reader.borrow_mut()
    }

    /// How far the platform is read; zeros before the first read.
    pub fn mark(&self) -> ReadMark {
        self.reader.borrow().mark()
    }

    /// Ends pauses and hung watches if peers have read more.
    pub fn tell_news(&self) {
        if self.reader.borrow().is_behind() {
            self.news.notify_waiters();
        }
    }

    /// Returns once peers are known to have read more.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Returns once a pause, or a watch that hangs, is to end.
    pub async fn interrupted(&self) {
        loop {
            self.news.notified().await;
            if self.reader.borrow().is_to_be_interrupted() {
                return;
            }
        }
    }
}

/// At the first start of all, only the seeds read the platform at once; the others wait for what these have read.
fn reader_options(settings: &NodeSettings) -> ReaderOptions {
    let defaults = ReaderOptions::default();
    match (settings.first_start, settings.seeds.contains(&settings.gossip)) {
        (true, true) => ReaderOptions { start_queries: 0, ..defaults },
        (true, false) => ReaderOptions {
            start_queries: FIRST_START_QUERIES,
            start_pause_ms: FIRST_START_PAUSE_MS,
            ..defaults
        },
        (false, _) => defaults,
    }
}
