//! Bounded request queue of one service on one entry VM.
//!
//! Urgent requests are started first, but one start in every `routine_every` goes to a routine request, so
//! that routine requests are not starved. A request whose expected wait exceeds its limit is refused on
//! arrival instead of near its deadline.

use {
    pointvane_config::AdmissionOptions,
    pointvane_core::{Class, US_PER_MS},
    std::collections::VecDeque,
};

/// Weight of the newest interval in the moving average of the time between starts.
const START_INTERVAL_EWMA_WEIGHT: f32 = 0.05;
/// Longer intervals between two starts are counted as this long.
const START_INTERVAL_MAX_US: u64 = 1_000 * US_PER_MS;

/// A request that asks to be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Priority class of the request.
    pub class: Class,
    /// Time at which the caller stops waiting.
    pub deadline_us: u64,
}

/// A queued request with the caller's handle `W` for waking it.
#[derive(Debug)]
pub struct QueuedRequest<W> {
    /// Class and deadline of the request.
    pub arrival: Arrival,
    /// The caller's handle of the request.
    pub waiter: W,
}

/// The queue of one service, with one FIFO per priority class.
#[derive(Debug)]
pub struct AdmissionQueue<W> {
    options: AdmissionOptions,
    queues: [VecDeque<QueuedRequest<W>>; Class::COUNT],
    consecutive_urgent: u8,
    mean_start_interval_us: f32,
    last_start_us: Option<u64>,
}

impl<W> AdmissionQueue<W> {
    /// Creates an empty queue.
    pub fn new(options: AdmissionOptions) -> Self {
        let queues = [VecDeque::new(), VecDeque::new()];
        Self { options, queues, consecutive_urgent: 0, mean_start_interval_us: 0.0, last_start_us: None }
    }

    /// Replaces the options; queued requests stay queued.
    pub fn set_options(&mut self, options: AdmissionOptions) {
        self.options = options;
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// Number of queued requests of all classes.
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Queues a request.
    ///
    /// # Errors
    /// Returns the waiter if the queue of its class is full or the expected wait exceeds the maximum wait or
    /// the deadline; the request is then refused at once.
    pub fn push(&mut self, arrival: Arrival, waiter: W, now_us: u64) -> Result<(), W> {
        let wait_max_us = self.options.wait_max_ms * US_PER_MS;
        let acceptable_wait_us = wait_max_us.min(arrival.deadline_us.saturating_sub(now_us));
        let is_full = self.queues[arrival.class as usize].len() >= self.options.queue_max as usize;
        if is_full || self.expected_wait_us(arrival.class) > acceptable_wait_us {
            return Err(waiter);
        }
        self.queues[arrival.class as usize].push_back(QueuedRequest { arrival, waiter });
        Ok(())
    }

    /// Expected wait of a new request of this class in microseconds, from the average time between starts.
    pub fn expected_wait_us(&self, class: Class) -> u64 {
        let [urgent, routine] = [Class::Urgent, Class::Routine].map(|c| self.queues[c as usize].len() as f32);
        let routine_every = f32::from(self.options.routine_every);
        let starts_ahead = match class {
            Class::Urgent => urgent * routine_every / (routine_every - 1.0).max(1.0),
            Class::Routine => (routine + urgent).min(routine * routine_every + routine_every),
        };
        (starts_ahead * self.mean_start_interval_us) as u64
    }

    /// Removes and returns the next request to start.
    pub fn pop(&mut self) -> Option<QueuedRequest<W>> {
        let is_routine_turn = self.consecutive_urgent + 1 >= self.options.routine_every;
        let order =
            if is_routine_turn { [Class::Routine, Class::Urgent] } else { [Class::Urgent, Class::Routine] };
        let class = order.into_iter().find(|&class| !self.queues[class as usize].is_empty())?;
        self.consecutive_urgent = match class {
            Class::Urgent => self.consecutive_urgent.saturating_add(1),
            Class::Routine => 0,
        };
        self.queues[class as usize].pop_front()
    }

    /// Removes and returns one request whose deadline has passed or whose caller has gone, as reported by
    /// `is_cancelled`.
    pub fn pop_abandoned(
        &mut self,
        now_us: u64,
        is_cancelled: impl Fn(&W) -> bool,
    ) -> Option<QueuedRequest<W>> {
        let is_abandoned = |w: &QueuedRequest<W>| w.arrival.deadline_us <= now_us || is_cancelled(&w.waiter);
        self.queues.iter_mut().find_map(|queue| {
            let index = queue.iter().position(&is_abandoned)?;
            queue.remove(index)
        })
    }

    /// Records a start from the queue and updates the average time between starts.
    pub fn record_start(&mut self, now_us: u64) {
        if let Some(previous_us) = self.last_start_us.replace(now_us) {
            let interval_us = now_us.saturating_sub(previous_us).min(START_INTERVAL_MAX_US) as f32;
            self.mean_start_interval_us +=
                (interval_us - self.mean_start_interval_us) * START_INTERVAL_EWMA_WEIGHT;
        }
    }

    /// Clears the time of the last start. Called when the queue is empty, because the time until the next
    /// start then depends on arrivals and not on the rate of starts.
    pub fn reset_last_start(&mut self) {
        self.last_start_us = None;
    }
}
