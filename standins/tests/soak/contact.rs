//! When a process, a link or the machine was disturbed, and so which bounds hold at a moment.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time without any disturbance after which a process is in touch.
pub const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);
/// How often the harness looks whether the machine holds it up.
const LOOK: Duration = Duration::from_millis(50);
/// Delay of such a look from which on the machine counts as disturbed: no bound is judged on a machine that stalls.
const STALL: Duration = Duration::from_millis(400);

type Spans = Arc<Mutex<Vec<(Instant, Option<Instant>)>>>;

/// The disturbances of one thing.
#[derive(Clone, Default)]
pub struct Contact {
    spans: Spans,
}

/// A disturbance under way; it ends when dropped.
pub struct Disturbance {
    spans: Spans,
    index: usize,
}

impl Contact {
    pub fn disturb(&self) -> Disturbance {
        self.disturbed_since(Instant::now())
    }

    fn disturbed_since(&self, since: Instant) -> Disturbance {
        let mut spans = self.spans.lock().unwrap();
        spans.push((since, None));
        Disturbance { spans: Arc::clone(&self.spans), index: spans.len() - 1 }
    }

    /// Whether there was no disturbance from `IN_TOUCH_AFTER` before a time until another one.
    pub fn sound(&self, from: Instant, to: Instant) -> bool {
        let spans = self.spans.lock().unwrap();
        !spans
            .iter()
            .any(|(begun, ended)| *begun <= to && ended.is_none_or(|ended| ended + IN_TOUCH_AFTER >= from))
    }

    pub fn count(&self) -> usize {
        self.spans.lock().unwrap().len()
    }

    /// Notes each stall of the machine until told to stop.
    pub fn watch_machine(&self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            let slept_at = Instant::now();
            thread::sleep(LOOK);
            if slept_at.elapsed() > LOOK + STALL {
                drop(self.disturbed_since(slept_at));
            }
        }
    }
}

impl Drop for Disturbance {
    fn drop(&mut self) {
        if let Ok(mut spans) = self.spans.lock() {
            spans[self.index].1 = Some(Instant::now());
        }
    }
}
