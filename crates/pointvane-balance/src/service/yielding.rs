//! Urgent work goes first in the whole fleet, not only within one entry VM.
//!
//! Callers are uneven: an entry with many of them may have more urgent work than its share of the slots while
//! others start routine work. So an entry holds its routine work back while a peer tells that urgent work waits there,
//! down to the share that routine work keeps.

use {super::ServiceBalancer, pointvane_core::US_PER_MS};

/// Time for which a peer's word that urgent work waits there is believed.
const BELIEVED_US: u64 = 150 * US_PER_MS;

/// What holding back rests on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Yielding {
    until_us: u64,
    routine_at_us: u64,
}

impl Yielding {
    /// Notes the start of routine work.
    pub(super) fn routine_started(&mut self, now_us: u64) {
        self.routine_at_us = now_us;
    }
}

impl<W> ServiceBalancer<W> {
    /// Urgent requests that wait here.
    pub fn urgent_waiting(&self) -> u16 {
        self.admission.urgent_len().min(usize::from(u16::MAX)) as u16
    }

    /// Takes a peer's word on the urgent requests that wait there.
    pub fn peer_waits(&mut self, urgent_waiting: u16, now_us: u64) {
        if urgent_waiting > 0 {
            self.yielding.until_us = now_us + BELIEVED_US;
        }
    }

    /// Whether routine work is to be held back now.
    pub(super) fn yields(&self, now_us: u64) -> bool {
        let since_us = now_us.saturating_sub(self.yielding.routine_at_us) as f32;
        let share_us = self.admission.interval_us() * f32::from(self.service.admission.routine_every);
        now_us < self.yielding.until_us && since_us < share_us
    }
}
