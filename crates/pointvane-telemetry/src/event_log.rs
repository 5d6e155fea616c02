//! The timeline of one process: recent events in a bounded ring buffer, each also written to the log.

use {
    crate::{
        clock::unix_time_ms,
        event::{Event, EventKind, Program},
    },
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{
        collections::VecDeque,
        sync::{Mutex, PoisonError},
    },
};

/// Default capacity of the ring buffer, in events.
const DEFAULT_RING_CAPACITY: usize = 4_096;

/// Response of an operator port to `GET /events`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventPage {
    /// Wall-clock time of the VM when the response was made, in milliseconds since the Unix epoch.
    pub clock_ms: u64,
    /// Number of events evicted from the ring buffer since the process started.
    pub dropped: u64,
    /// The events, oldest first.
    pub events: Vec<Event>,
}

#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Event>,
    sequence: u64,
    dropped: u64,
}

/// Layout of an event's log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineLayout {
    /// The whole event as one message.
    Text,
    /// The event's kind as the message and a structured field for each of its fields.
    Fields,
}

/// Records the events of one process.
#[derive(Debug)]
pub struct EventLog {
    vm: Name,
    program: Program,
    log: slog::Logger,
    layout: LineLayout,
    ring_capacity: usize,
    ring: Mutex<Ring>,
}

/// Adapts an event's JSON fields to `slog` key-value pairs.
struct Fields(Value);

impl Fields {
    /// The kind's name, as in JSON.
    fn name(&self) -> &str {
        self.0["kind"].as_str().unwrap_or_default()
    }
}

impl slog::KV for Fields {
    fn serialize(&self, _: &slog::Record<'_>, serializer: &mut dyn slog::Serializer) -> slog::Result {
        for (name, value) in self.0.as_object().into_iter().flatten().filter(|(name, _)| *name != "kind") {
            let key = slog::Key::from(name.clone());
            match value {
                Value::String(text) => serializer.emit_str(key, text)?,
                Value::Bool(flag) => serializer.emit_bool(key, *flag)?,
                Value::Number(number) => serializer.emit_u64(key, number.as_u64().unwrap_or_default())?,
                Value::Null => serializer.emit_none(key)?,
                other => serializer.emit_str(key, &other.to_string())?,
            }
        }
        Ok(())
    }
}

impl EventLog {
    /// Creates an empty log with text lines and the default capacity.
    pub fn new(vm: Name, program: Program, log: slog::Logger) -> Self {
        Self {
            vm,
            program,
            log,
            layout: LineLayout::Text,
            ring_capacity: DEFAULT_RING_CAPACITY,
            ring: Mutex::default(),
        }
    }

    /// Sets the layout of log lines.
    pub fn with_line_layout(self, layout: LineLayout) -> Self {
        Self { layout, ..self }
    }

    /// Sets the capacity of the ring buffer, in events.
    pub fn with_capacity(self, ring_capacity: usize) -> Self {
        Self { ring_capacity, ..self }
    }

    /// Records an event and logs it. With [`LineLayout::Fields`], events on single requests are only logged.
    pub fn record(&self, kind: EventKind) {
        if self.layout == LineLayout::Fields {
            let fields = Fields(kind.fields());
            slog::info!(self.log, "{}", fields.name(); &fields);
        }
        if self.layout == LineLayout::Text || !kind.is_request_event() {
            self.record_in_ring(kind);
        }
    }

    /// Records an event. It is logged only with [`LineLayout::Text`], where every recorded event is a line.
    pub fn record_in_ring(&self, kind: EventKind) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.sequence += 1;
        let event = Event {
            sequence: ring.sequence,
            at_ms: unix_time_ms(),
            vm: self.vm.clone(),
            program: self.program,
            kind,
        };
        if self.layout == LineLayout::Text {
            slog::info!(self.log, "{}", event);
        }
        if ring.events.len() == self.ring_capacity {
            ring.events.pop_front();
            ring.dropped += 1;
        }
        ring.events.push_back(event);
    }

    /// The recorded events with a sequence number above `after`, oldest first.
    pub fn page(&self, after: u64) -> EventPage {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let events = ring.events.iter().filter(|event| event.sequence > after).cloned().collect();
        EventPage { clock_ms: unix_time_ms(), dropped: ring.dropped, events }
    }
}
