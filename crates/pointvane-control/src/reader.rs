//! Reading of one published value for all VMs, while this VM is one of the readers.

use {
    crate::{state::State, value::ValueKind},
    pointvane_config::unpack,
    pointvane_core::{Name, Platform, PlatformReading},
    pointvane_mesh::{Offer, Stamp, Stored},
    pointvane_telemetry::EventKind,
    rand::Rng,
    std::{thread, time::Duration},
};

/// Time between two checks whether it is this VM's turn to read. Not measured.
const IDLE: Duration = Duration::from_millis(100);
/// First pause after a failed read, in milliseconds; it doubles. Not measured.
const BACK_OFF_MIN_MS: u64 = 200;
/// Longest pause after failed reads, in milliseconds. Not measured.
const BACK_OFF_MAX_MS: u64 = 5_000;
/// Shortest time between two reads, so that a value that changes all the time costs a bounded rate.
const READ_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Reads one key for as long as the process lives.
#[derive(Debug)]
pub struct Reader<'s, P> {
    state: &'s State,
    platform: P,
    kind: ValueKind,
    index: u64,
    back_off_ms: u64,
    lost: bool,
}

impl<'s, P: Platform> Reader<'s, P> {
    /// A reader that has seen nothing.
    pub fn new(state: &'s State, platform: P, kind: ValueKind) -> Self {
        Self { state, platform, kind, index: 0, back_off_ms: BACK_OFF_MIN_MS, lost: false }
    }

    /// Reads while it is this VM's turn.
    pub fn run(mut self) {
        loop {
            if !self.state.reads_platform() {
                self.index = 0;
                thread::sleep(IDLE);
                continue;
            }
            self.read();
        }
    }

    fn read(&mut self) {
        self.state.counters.platform_read(self.kind.as_str());
        let key = match self.kind {
            ValueKind::Configuration => &self.state.settings.platform.configuration_key,
            ValueKind::VmList => &self.state.settings.platform.vm_list_key,
        };
        match self.platform.watch(&Name::clone(key), self.index) {
            Ok(reading) => {
                self.back_off_ms = BACK_OFF_MIN_MS;
                self.note_lost(false);
                self.take(reading);
                thread::sleep(READ_INTERVAL_MIN);
            }
            Err(_) => {
                self.note_lost(true);
                // Random, so that the readers do not come back together.
                let pause_ms = rand::rng().random_range(self.back_off_ms / 2..=self.back_off_ms);
                thread::sleep(Duration::from_millis(pause_ms));
                self.back_off_ms = (self.back_off_ms * 2).min(BACK_OFF_MAX_MS);
            }
        }
    }

    fn note_lost(&mut self, lost: bool) {
        // Both values come from the same platform: one of the two readers tells.
        if self.lost != lost && self.kind == ValueKind::Configuration {
            self.state.events.note(if lost { EventKind::PlatformLost } else { EventKind::PlatformBack });
        }
        self.lost = lost;
    }

    fn take(&mut self, reading: PlatformReading) {
        if reading.index < self.index && self.kind == ValueKind::Configuration {
            // Restored from an older copy. What is in force stays; only a larger revision replaces it.
            self.state.events.note(EventKind::PlatformWentBack { from: self.index, to: reading.index });
        }
        let seen = reading.index == self.index;
        self.index = reading.index;
        let Some(value) = reading.value.filter(|_| !seen) else {
            return;
        };
        let revision = match self.kind {
            ValueKind::VmList => 0,
            ValueKind::Configuration => match unpack(&value) {
                Ok(packed) => packed.configuration.revision,
                Err(error) => {
                    let stamp = Stamp { revision: 0, index: reading.index };
                    return self.state.refuse(stamp, &error.to_string());
                }
            },
        };
        let stamp = Stamp { revision, index: reading.index };
        self.state.offer(self.kind, Offer::Platform(Stored { stamp, value }));
    }
}
