//! Records when a process, a link or the machine was faulty, which decides whether timing bounds apply.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time without faults after which a node must meet the bounds again.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Interval at which the harness checks for stalls of the machine.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A check delayed by more than this counts as a stall; bounds aren't checked while the machine stalls.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

type Spans = Arc<Mutex<Vec<(Instant, Option<Instant>)>>>;

/// Fault periods of one component.
#[derive(Clone, Default)]
pub struct FaultHistory {
    spans: Spans,
}

/// Guard of an ongoing fault, which ends when the guard is dropped.
pub struct ActiveFault {
    spans: Spans,
    index: usize,
}

impl FaultHistory {
    pub fn begin_fault(&self) -> ActiveFault {
        self.begin_fault_at(Instant::now())
    }

    fn begin_fault_at(&self, since: Instant) -> ActiveFault {
        let mut spans = self.spans.lock().unwrap();
        spans.push((since, None));
        ActiveFault { spans: Arc::clone(&self.spans), index: spans.len() - 1 }
    }

    /// Returns whether no fault was active between `SETTLE_TIME` before `from` and `to`.
    pub fn is_fault_free(&self, from: Instant, to: Instant) -> bool {
        let spans = self.spans.lock().unwrap();
        !spans.iter().any(|(began_at, ended_at)| {
            *began_at <= to && ended_at.is_none_or(|ended_at| ended_at + SETTLE_TIME >= from)
        })
    }

    pub fn count(&self) -> usize {
        self.spans.lock().unwrap().len()
    }

    /// Records each stall of the machine until `stop` is set.
    pub fn record_stalls(&self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            let slept_at = Instant::now();
            thread::sleep(POLL_INTERVAL);
            if slept_at.elapsed() > POLL_INTERVAL + STALL_THRESHOLD {
                drop(self.begin_fault_at(slept_at));
            }
        }
    }
}

impl Drop for ActiveFault {
    fn drop(&mut self) {
        if let Ok(mut spans) = self.spans.lock() {
            spans[self.index].1 = Some(Instant::now());
        }
    }
}
