//! What is decided when memory is short: who is granted it, and who is refused.

use super::{
    HolderId, MemoryBudget, MemoryRefusal, RELIEVED_SHARE, STALLED_US, WAIT_MAX_US,
    holder::{State, WaitPosition},
};

impl MemoryBudget {
    /// The first holder that has waited for longer than [`WAIT_MAX_US`], small ones first, with the bytes that it
    /// waits for.
    fn first_overdue(&self, now_us: u64) -> Option<(HolderId, u64)> {
        let first_large = WaitPosition { is_large: true, sequence: 0 };
        let firsts = [self.waiting.first_key_value(), self.waiting.range(first_large..).next()];
        let overdue = |id: HolderId| match self.holders[id.index()].state {
            State::Waiting { more_bytes, since_us, .. } => {
                (now_us.saturating_sub(since_us) >= WAIT_MAX_US).then_some((id, more_bytes))
            }
            _ => None,
        };
        firsts.into_iter().flatten().find_map(|(_, id)| overdue(*id))
    }

    /// Grants what fits to those who wait, and refuses stopped holders as far as the first of those needs.
    pub(super) fn settle(&mut self, now_us: u64) {
        self.grant_waiting(now_us);
        self.refuse_stalled(now_us);
        self.refuse_overdue(now_us);
        while self.moving == 0 && self.refused_bytes == 0 {
            let last = || self.waiting.last_key_value().map(|(_, id)| *id);
            let Some(id) = self.last_waiting_with_memory().or_else(last) else { break };
            self.refuse(id, MemoryRefusal::AllWaiting);
            self.decided.push_back(id);
        }
        let relieved_bytes = (self.limits.large_bytes as f64 * RELIEVED_SHARE) as u64;
        if self.waiting.is_empty() && self.held_bytes <= relieved_bytes {
            self.is_under_pressure = false;
        }
    }

    fn grant_waiting(&mut self, now_us: u64) {
        while let Some((position, id)) = self.waiting.first_key_value() {
            let (position, id) = (*position, *id);
            let State::Waiting { more_bytes, .. } = self.holders[id.index()].state else { return };
            if !self.fits(id, more_bytes) {
                return;
            }
            self.waiting.remove(&position);
            let holder = &mut self.holders[id.index()];
            (holder.state, holder.progress_us) = (State::Granted, now_us);
            self.moving += usize::from(holder.bytes > 0);
            self.grant(id, more_bytes);
            self.decided.push_back(id);
        }
    }

    /// Ends waits that are too long. Those that came last make room for the others; without any that hold
    /// memory, those that waited too long are refused themselves.
    fn refuse_overdue(&mut self, now_us: u64) {
        while let Some((id, more_bytes)) = self.first_overdue(now_us) {
            let last = self.last_waiting_with_memory();
            if self.refused_bytes >= more_bytes {
                return;
            }
            let reason = match last {
                Some(last) if last != id => MemoryRefusal::AllWaiting,
                _ => MemoryRefusal::WaitedTooLong,
            };
            let refused = last.unwrap_or(id);
            self.refuse(refused, reason);
            self.decided.push_back(refused);
        }
    }

    fn last_waiting_with_memory(&self) -> Option<HolderId> {
        self.waiting.values().rev().copied().find(|id| self.holders[id.index()].bytes > 0)
    }

    fn refuse_stalled(&mut self, now_us: u64) {
        let Some((_, first)) = self.waiting.first_key_value() else { return };
        let State::Waiting { more_bytes, .. } = self.holders[first.index()].state else { return };
        let Some(stalled_until_us) = now_us.checked_sub(STALLED_US) else { return };
        while self.refused_bytes < more_bytes {
            let holders = &self.holders;
            let progress_us = |id: HolderId| holders[id.index()].progress_us;
            let Some(id) = self.incomplete.largest_without_progress(stalled_until_us, progress_us) else {
                return;
            };
            self.refuse(id, MemoryRefusal::Stalled);
            self.decided.push_back(id);
        }
    }
}
