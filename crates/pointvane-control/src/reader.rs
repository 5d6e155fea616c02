//! Reads one published value from the platform while this VM is one of the fleet's readers.

use {
    crate::{state::State, value::ValueKind},
    pointvane_config::unpack,
    pointvane_core::{Name, Platform, PlatformReading},
    pointvane_mesh::{Offer, Stamp, StampedValue},
    pointvane_telemetry::EventKind,
    rand::Rng,
    std::{thread, time::Duration},
};

/// Interval at which a VM that is not a reader checks whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Initial backoff after a failed read, in milliseconds; each further failure doubles it.
const BACKOFF_MIN_MS: u64 = 200;
/// Maximum backoff after failed reads, in milliseconds.
const BACKOFF_MAX_MS: u64 = 5_000;
/// Minimum time between two reads; bounds the read rate for a value that changes constantly.
const READ_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Reads one key of the platform for the lifetime of the process.
#[derive(Debug)]
pub struct Reader<'s, P> {
    state: &'s State,
    platform: P,
    kind: ValueKind,
    index: u64,
    backoff_ms: u64,
    platform_lost: bool,
}

impl<'s, P: Platform> Reader<'s, P> {
    /// Creates a reader that has not read a value yet.
    pub fn new(state: &'s State, platform: P, kind: ValueKind) -> Self {
        Self { state, platform, kind, index: 0, backoff_ms: BACKOFF_MIN_MS, platform_lost: false }
    }

    /// Reads while this VM is a reader; never returns.
    pub fn run(mut self) {
        loop {
            if !self.state.reads_platform() {
                self.index = 0;
                thread::sleep(ROLE_CHECK_INTERVAL);
                continue;
            }
            self.read();
        }
    }

    fn read(&mut self) {
        self.state.counters.record_platform_read(self.kind.as_str());
        let key = match self.kind {
            ValueKind::Configuration => &self.state.settings.platform.configuration_key,
            ValueKind::VmList => &self.state.settings.platform.vm_list_key,
        };
        match self.platform.watch(&Name::clone(key), self.index) {
            Ok(reading) => {
                self.backoff_ms = BACKOFF_MIN_MS;
                self.set_platform_lost(false);
                self.process(reading);
                thread::sleep(READ_INTERVAL_MIN);
            }
            Err(_) => {
                self.set_platform_lost(true);
                // Jitter keeps the readers from retrying at the same time.
                let pause_ms = rand::rng().random_range(self.backoff_ms / 2..=self.backoff_ms);
                thread::sleep(Duration::from_millis(pause_ms));
                self.backoff_ms = (self.backoff_ms * 2).min(BACKOFF_MAX_MS);
            }
        }
    }

    fn set_platform_lost(&mut self, lost: bool) {
        // Both values come from the same platform, so only the reader of the configuration logs the event.
        if self.platform_lost != lost && self.kind == ValueKind::Configuration {
            self.state.events.record(if lost { EventKind::PlatformLost } else { EventKind::PlatformBack });
        }
        self.platform_lost = lost;
    }

    fn process(&mut self, reading: PlatformReading) {
        if reading.index < self.index && self.kind == ValueKind::Configuration {
            // The platform was restored from an older backup. The current configuration stays in force until
            // one with a larger revision is published.
            self.state.events.record(EventKind::PlatformWentBack { from: self.index, to: reading.index });
        }
        let unchanged = reading.index == self.index;
        self.index = reading.index;
        let Some(value) = reading.value.filter(|_| !unchanged) else {
            return;
        };
        let revision = match self.kind {
            ValueKind::VmList => 0,
            ValueKind::Configuration => match unpack(&value) {
                Ok(packed) => packed.configuration.revision,
                Err(error) => {
                    let stamp = Stamp { revision: 0, index: reading.index };
                    return self.state.log_refusal(stamp, &error.to_string());
                }
            },
        };
        let stamp = Stamp { revision, index: reading.index };
        self.state.offer(self.kind, Offer::Platform(StampedValue { stamp, value }));
    }
}
