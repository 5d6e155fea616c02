//! Which versions nodes showed to callers, and whether in time and never back.

use {
    crate::{fleet::Fleet, versions::Marker},
    std::{
        collections::HashMap,
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// Time from the store's acknowledgement until a change is in force at every node in touch: 2 s by the rules, and slack
/// for loopback and a busy machine. Wall clock; stalls of the machine put all nodes out of touch.
pub const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_500);

/// What a caller knew when it sent a question about a version.
#[derive(Clone, Copy)]
pub struct Question {
    site: usize,
    life: u32,
    marker: Marker,
    sent: Instant,
    shown_before: u64,
}

/// The newest version that each life of each node has shown.
#[derive(Default)]
pub struct Shown {
    newest: Mutex<HashMap<(usize, u32), u64>>,
    judged: Mutex<usize>,
    broken: Mutex<Vec<String>>,
}

impl Shown {
    pub fn asks(&self, site: usize, life: u32, marker: Marker, sent: Instant) -> Question {
        let shown_before = self.newest.lock().unwrap().get(&(site, life)).copied().unwrap_or_default();
        Question { site, life, marker, sent, shown_before }
    }

    /// Takes the answer to a question, which is of the same life.
    pub fn answered(&self, question: Question, status: u16, fleet: &Fleet) {
        let version = question.marker.version();
        let known = matches!(status, 200 | 502 | 504);
        if known {
            let mut newest = self.newest.lock().unwrap();
            let shown = newest.entry((question.site, question.life)).or_default();
            *shown = (*shown).max(version);
        }
        // The version whose being in force this answer contradicts.
        let denied = match question.marker {
            Marker::Since(_) if status == 404 => version,
            Marker::Only(_) if known => version + 1,
            Marker::Since(_) | Marker::Only(_) => {
                self.judge(&question, status, None, fleet);
                return;
            }
        };
        self.judge(&question, status, Some(denied), fleet);
    }

    fn judge(&self, question: &Question, status: u16, denied: Option<u64>, fleet: &Fleet) {
        let Question { site, life, marker, sent, shown_before } = *question;
        let node = &fleet.sites[site];
        if denied.is_some_and(|denied| denied <= shown_before) {
            self.broke(format!(
                "{} life {life} went back: {marker:?} gave {status} after version {shown_before} had shown",
                node.ip
            ));
        }
        let decisive = match marker {
            Marker::Since(version) => version,
            Marker::Only(version) => version + 1,
        };
        let Some(age) = fleet.versions.taken_at(decisive).map(|taken| sent.saturating_duration_since(taken))
        else {
            return;
        };
        let now = Instant::now();
        if age <= IN_FORCE_WITHIN || !node.contact.sound(sent, now) || !fleet.machine.sound(sent, now) {
            return;
        }
        *self.judged.lock().unwrap() += 1;
        if denied.is_some() {
            self.broke(format!(
                "{} life {life} in touch: {marker:?} gave {status} though version {decisive} was taken {age:?} before",
                node.ip
            ));
        }
    }

    fn broke(&self, what: String) {
        self.broken.lock().unwrap().push(what);
    }

    /// Answers on which the bound was judged.
    pub fn judged(&self) -> usize {
        *self.judged.lock().unwrap()
    }

    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().unwrap().clone()
    }
}
