//! Metrics of the memory that bodies occupy.

use {
    super::Report,
    crate::memory::MemoryUse,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge},
    },
    pointvane_dispatch::MemoryRefusal,
    pointvane_telemetry::Metrics,
    std::cell::Cell,
};

/// The instruments.
#[derive(Debug)]
pub(super) struct MemoryMetrics {
    memory_refusals: Counter<u64>,
    memory_held_bytes: Gauge<u64>,
    memory_waiting: Gauge<u64>,
    /// Requests refused for memory since this was last taken.
    refused_for_memory: Cell<u64>,
}

impl MemoryMetrics {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Self {
            memory_refusals: counter("pointvane_node_memory_refusals"),
            memory_held_bytes: meter.u64_gauge("pointvane_node_memory_held_bytes").build(),
            memory_waiting: meter.u64_gauge("pointvane_node_memory_waiting").build(),
            refused_for_memory: Cell::default(),
        }
    }
}

impl Report {
    /// Counts a request whose body was refused for lack of memory.
    pub fn refused_for_memory(&self, reason: MemoryRefusal) {
        self.memory.memory_refusals.add(1, &[KeyValue::new("reason", reason.as_str())]);
        self.memory.refused_for_memory.set(self.memory.refused_for_memory.get() + 1);
    }

    /// Takes the number of requests that were refused for lack of memory since the last call.
    pub fn take_refused_for_memory(&self) -> u64 {
        self.memory.refused_for_memory.take()
    }

    /// Records what bodies occupy.
    pub fn memory_used(&self, usage: MemoryUse) {
        self.memory.memory_held_bytes.record(usage.held_bytes, &[]);
        self.memory.memory_waiting.record(usage.waiting as u64, &[]);
    }
}
