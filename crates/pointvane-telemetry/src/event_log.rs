//! The time line of one process: events kept in a bounded ring, each of which is also a log line.

use {
    crate::{
        clock::wall_ms,
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

/// Events that a ring holds, unless it is told otherwise.
const RING_LIMIT: usize = 4_096;

/// What an operator port answers when asked for events.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventPage {
    /// The VM's wall clock at the answer, in milliseconds since 1970.
    pub clock_ms: u64,
    /// Events that fell out of the ring.
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

/// Form of an event's log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineForm {
    /// One text.
    Text,
    /// A field for each of the event's.
    Fields,
}

/// The events of one process.
#[derive(Debug)]
pub struct EventLog {
    vm: Name,
    program: Program,
    log: slog::Logger,
    form: LineForm,
    ring_limit: usize,
    ring: Mutex<Ring>,
}

/// An event's fields as those of a log line.
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
    /// An empty ring; each event is also a log line.
    pub fn new(vm: Name, program: Program, log: slog::Logger) -> Self {
        Self { vm, program, log, form: LineForm::Text, ring_limit: RING_LIMIT, ring: Mutex::default() }
    }

    /// The same, with log lines in the given form.
    pub fn with_lines(self, form: LineForm) -> Self {
        Self { form, ..self }
    }

    /// The same, with a ring that holds so many events.
    pub fn with_ring(self, ring_limit: usize) -> Self {
        Self { ring_limit, ..self }
    }

    /// Notes an event.
    pub fn note(&self, kind: EventKind) {
        if self.form == LineForm::Fields {
            let fields = Fields(kind.fields());
            slog::info!(self.log, "{}", fields.name(); &fields);
        }
        if self.form == LineForm::Text || !kind.is_of_a_request() {
            self.keep(kind);
        }
    }

    /// Notes an event without a log line, unless lines are texts of the kept events.
    pub fn keep(&self, kind: EventKind) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.sequence += 1;
        let event = Event {
            sequence: ring.sequence,
            at_ms: wall_ms(),
            vm: self.vm.clone(),
            program: self.program,
            kind,
        };
        if self.form == LineForm::Text {
            slog::info!(self.log, "{}", event);
        }
        if ring.events.len() == self.ring_limit {
            ring.events.pop_front();
            ring.dropped += 1;
        }
        ring.events.push_back(event);
    }

    /// The events after a sequence number.
    pub fn page(&self, after: u64) -> EventPage {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let events = ring.events.iter().filter(|event| event.sequence > after).cloned().collect();
        EventPage { clock_ms: wall_ms(), dropped: ring.dropped, events }
    }
}
