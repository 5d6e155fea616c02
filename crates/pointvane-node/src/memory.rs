//! Memory of bodies: carries out what [`MemoryBudget`] decides.

use {
    bytes::Bytes,
    pointvane_core::Clock,
    pointvane_dispatch::{HolderId, MemoryBudget, MemoryLimits, MemoryRefusal, Reservation},
    pointvane_telemetry::MonotonicClock,
    std::{
        future::poll_fn,
        sync::{Arc, Mutex, PoisonError},
        task::{Context, Poll, Waker},
    },
    tokio::sync::Notify,
};

/// Bytes per megabyte in settings of processes.
const BYTES_PER_MB: u64 = 1_000_000;

/// The memory that bodies of requests and answers occupy together; clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    shared: Arc<Shared>,
}

/// Shared with [`Bytes`], which must be `Send`; the process has one thread, so the lock is never contended.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    pressure_began: Notify,
    clock: MonotonicClock,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    /// Tasks that wait for a decision, by index of their holder.
    wakers: Vec<Option<Waker>>,
}

/// What bodies occupy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUse {
    /// Memory that is reserved, in bytes.
    pub held_bytes: u64,
    /// Memory that may be reserved, in bytes.
    pub limit_bytes: u64,
    /// Number of bodies that wait for memory.
    pub waiting: usize,
}

impl BodyMemory {
    /// Creates the memory of a process that may use `memory_mb` in all; unlimited if none.
    pub fn new(memory_mb: Option<u32>) -> Self {
        let state = State { budget: MemoryBudget::new(limits(memory_mb)), wakers: Vec::new() };
        let shared = Shared {
            state: Mutex::new(state),
            pressure_began: Notify::new(),
            clock: MonotonicClock::start(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Replaces the memory that the process may use.
    pub fn set_limit(&self, memory_mb: Option<u32>) {
        self.shared.update(|budget, now_us| budget.set_limits(limits(memory_mb), now_us));
    }

    /// Largest part of a body that is buffered, in bytes.
    pub fn body_bytes_max(&self) -> u64 {
        self.shared.update(|budget, _| budget.limits().body_bytes_max)
    }

    /// Adds a holder without memory for a body of an announced length.
    pub fn open(&self, length_bytes: Option<u64>) -> MemoryHolder {
        let id = self.shared.update(|budget, now_us| budget.open(length_bytes, now_us));
        MemoryHolder { shared: Arc::clone(&self.shared), id }
    }

    /// What bodies occupy now.
    pub fn usage(&self) -> MemoryUse {
        self.shared.update(|budget, _| MemoryUse {
            held_bytes: budget.held_bytes(),
            limit_bytes: budget.limits().bytes,
            waiting: budget.waiting(),
        })
    }

    /// Applies what is due by now; returns whether the memory is under pressure.
    pub fn tick(&self) -> bool {
        self.shared.update(|budget, now_us| {
            budget.tick(now_us);
            budget.is_under_pressure()
        })
    }

    /// Waits until the memory comes under pressure.
    pub async fn pressure_began(&self) {
        self.shared.pressure_began.notified().await;
    }
}

fn limits(memory_mb: Option<u32>) -> MemoryLimits {
    memory_mb
        .map_or(MemoryLimits::NONE, |memory_mb| MemoryLimits::of_process(u64::from(memory_mb) * BYTES_PER_MB))
}

impl Shared {
    /// Applies a change, and wakes the tasks of the holders that it decides upon.
    fn update<T>(&self, change: impl FnOnce(&mut MemoryBudget, u64) -> T) -> T {
        let now_us = self.clock.now_us();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let State { budget, wakers } = &mut *state;
        let was_under_pressure = budget.is_under_pressure();
        let result = change(budget, now_us);
        if !was_under_pressure && budget.is_under_pressure() {
            self.pressure_began.notify_one();
        }
        while let Some(id) = budget.take_decided() {
            if let Some(waker) = wakers.get_mut(id.index()).and_then(Option::take) {
                waker.wake();
            }
        }
        result
    }

    /// Drops the waker of a holder, which keeps its task in memory.
    fn remove_waker(&self, id: HolderId) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let waker = state.wakers.get_mut(id.index()).and_then(Option::take);
        // Dropped outside the lock, since that may drop a task.
        drop(state);
        drop(waker);
    }

    fn poll_reservation(&self, id: HolderId, cx: &Context<'_>) -> Reservation {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let reservation = state.budget.reservation(id);
        if !matches!(reservation, Reservation::Refused(_)) {
            if state.wakers.len() <= id.index() {
                state.wakers.resize(id.index() + 1, None);
            }
            state.wakers[id.index()] = Some(cx.waker().clone());
        }
        reservation
    }
}

/// Memory of one body; released on drop.
#[derive(Debug)]
pub struct MemoryHolder {
    shared: Arc<Shared>,
    id: HolderId,
}

impl MemoryHolder {
    /// Reserves `more_bytes`, and waits for them if necessary.
    ///
    /// # Errors
    /// Why the body is refused.
    pub async fn reserve(&self, more_bytes: u64) -> Result<(), MemoryRefusal> {
        let first = self.shared.update(|budget, now_us| budget.reserve(self.id, more_bytes, now_us));
        match first {
            Reservation::Granted => Ok(()),
            Reservation::Refused(reason) => Err(reason),
            Reservation::Waiting => {
                poll_fn(|cx| match self.shared.poll_reservation(self.id, cx) {
                    Reservation::Granted => Poll::Ready(Ok(())),
                    Reservation::Refused(reason) => Poll::Ready(Err(reason)),
                    Reservation::Waiting => Poll::Pending,
                })
                .await
            }
        }
    }

    /// Reserves `more_bytes` if there is room now.
    pub fn try_reserve(&self, more_bytes: u64) -> bool {
        self.shared.update(|budget, _| budget.try_reserve(self.id, more_bytes))
    }

    /// Waits until the body is refused because its sender stopped.
    pub async fn refused(&self) -> MemoryRefusal {
        poll_fn(|cx| match self.shared.poll_reservation(self.id, cx) {
            Reservation::Refused(reason) => Poll::Ready(reason),
            Reservation::Granted | Reservation::Waiting => Poll::Pending,
        })
        .await
    }

    /// Records bytes of a body that is not complete yet.
    pub fn received(&self, bytes: usize) {
        self.shared.update(|budget, now_us| budget.received(self.id, bytes as u64, now_us));
    }

    /// Records that the body is complete; false if it has been refused.
    pub fn complete(&self) -> bool {
        self.shared.update(|budget, _| budget.complete(self.id))
    }

    /// Turns a buffer into [`Bytes`] that hold its memory until the last clone is dropped.
    pub fn into_bytes(self, mut buffer: Vec<u8>) -> Bytes {
        if buffer.is_empty() {
            return Bytes::new();
        }
        buffer.shrink_to_fit();
        let bytes = buffer.capacity() as u64;
        self.shared.update(|budget, now_us| budget.shrink(self.id, bytes, now_us));
        Bytes::from_owner(HeldBuffer { buffer, _holder: self })
    }
}

impl Drop for MemoryHolder {
    fn drop(&mut self) {
        self.shared.remove_waker(self.id);
        self.shared.update(|budget, now_us| budget.release(self.id, now_us));
    }
}

/// A buffer whose memory is released after it.
struct HeldBuffer {
    buffer: Vec<u8>,
    _holder: MemoryHolder,
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
