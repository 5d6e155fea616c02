//! The bounded queue of one service at one entry VM.
//!
//! Urgent work goes first; one start in a few goes to routine work, so that it is never starved. A request
//! whose expected wait exceeds its bound is refused when it arrives, not when its deadline is near.

use {
    pointvane_config::AdmissionOptions,
    pointvane_core::{Class, US_PER_MS},
    std::collections::VecDeque,
};

/// Weight of the newest interval between starts in the running mean. Not measured.
const INTERVAL_SHARE: f32 = 0.05;
/// Longest interval between two starts that counts for the rate. Not measured.
const INTERVAL_MAX_US: u64 = 1_000 * US_PER_MS;

/// A request that asks to be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// How urgent it is.
    pub class: Class,
    /// When its caller stops waiting.
    pub deadline_us: u64,
}

/// A request in the queue, with the shell's handle `W` for waking it.
#[derive(Debug)]
pub struct Waiting<W> {
    /// What it asked for.
    pub arrival: Arrival,
    /// The shell's handle.
    pub waiter: W,
}

/// The queue of one service.
#[derive(Debug)]
pub struct Admission<W> {
    options: AdmissionOptions,
    queues: [VecDeque<Waiting<W>>; Class::COUNT],
    urgent_in_row: u8,
    interval_us: f32,
    started_at_us: Option<u64>,
}

impl<W> Admission<W> {
    /// An empty queue.
    pub fn new(options: AdmissionOptions) -> Self {
        let queues = [VecDeque::new(), VecDeque::new()];
        Self { options, queues, urgent_in_row: 0, interval_us: 0.0, started_at_us: None }
    }

    /// Takes new rules; what waits stays.
    pub fn set_options(&mut self, options: AdmissionOptions) {
        self.options = options;
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Queues a request, or gives its waiter back if it would wait too long.
    ///
    /// # Errors
    /// The waiter, to be refused at once.
    pub fn push(&mut self, arrival: Arrival, waiter: W, now_us: u64) -> Result<(), W> {
        let bound_us = self.options.wait_max_ms * US_PER_MS;
        let patience_us = bound_us.min(arrival.deadline_us.saturating_sub(now_us));
        let full = self.queues[arrival.class as usize].len() >= self.options.queue_max as usize;
        if full || self.expected_wait_us(arrival.class) > patience_us {
            return Err(waiter);
        }
        self.queues[arrival.class as usize].push_back(Waiting { arrival, waiter });
        Ok(())
    }

    /// Time a new request of this class would wait at the present rate of starts, in microseconds.
    pub fn expected_wait_us(&self, class: Class) -> u64 {
        let [urgent, routine] = [Class::Urgent, Class::Routine].map(|c| self.queues[c as usize].len() as f32);
        let every = f32::from(self.options.routine_every);
        let starts_ahead = match class {
            Class::Urgent => urgent * every / (every - 1.0).max(1.0),
            Class::Routine => (routine + urgent).min(routine * every + every),
        };
        (starts_ahead * self.interval_us) as u64
    }

    /// Takes out the next request to start.
    pub fn pop(&mut self) -> Option<Waiting<W>> {
        let routine_turn = self.urgent_in_row + 1 >= self.options.routine_every;
        let order =
            if routine_turn { [Class::Routine, Class::Urgent] } else { [Class::Urgent, Class::Routine] };
        let class = order.into_iter().find(|&class| !self.queues[class as usize].is_empty())?;
        self.urgent_in_row = match class {
            Class::Urgent => self.urgent_in_row.saturating_add(1),
            Class::Routine => 0,
        };
        self.queues[class as usize].pop_front()
    }

    /// Takes out one request whose deadline has passed or whose waiter is gone.
    pub fn pop_lost(&mut self, now_us: u64, gone: impl Fn(&W) -> bool) -> Option<Waiting<W>> {
        let lost = |w: &Waiting<W>| w.arrival.deadline_us <= now_us || gone(&w.waiter);
        self.queues.iter_mut().find_map(|queue| {
            let index = queue.iter().position(&lost)?;
            queue.remove(index)
        })
    }

    /// Notes a start from the queue, for the rate.
    pub fn started(&mut self, now_us: u64) {
        if let Some(before_us) = self.started_at_us.replace(now_us) {
            let interval_us = now_us.saturating_sub(before_us).min(INTERVAL_MAX_US) as f32;
            self.interval_us += (interval_us - self.interval_us) * INTERVAL_SHARE;
        }
    }

    /// Forgets the time of the last start: the queue ran empty, so the next interval says nothing of the rate.
    pub fn idle(&mut self) {
        self.started_at_us = None;
    }
}
