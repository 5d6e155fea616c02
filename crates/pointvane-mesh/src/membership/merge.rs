//! Merging of rows received from other members, and refutation of rows that declare this process suspect or
//! dead.

use {
    super::{Action, Membership, state_changed},
    crate::member::{Member, MemberRow},
    pointvane_core::{Incarnation, VmState},
    std::cmp::Ordering,
};

impl Member {
    /// Replaces its row by a received one of higher precedence; true if its state changes.
    fn update(&mut self, row: &MemberRow, transmissions: u32, now_us: u64) -> bool {
        match self.compare(row) {
            Ordering::Less => false,
            Ordering::Equal => {
                // The entry and the stamp may change within a version; newer ones arrive only with the VM's
                // own row.
                self.row.entry = row.entry;
                self.row.stamp = self.row.stamp.max(row.stamp);
                false
            }
            Ordering::Greater => {
                let is_changed = self.row.state != row.state;
                self.row = row.clone();
                self.start_transmissions(transmissions, now_us);
                if is_changed {
                    self.changed_at_us = now_us;
                }
                is_changed
            }
        }
    }
}

impl Membership {
    /// Merges a received row: adds an unknown member that is not dead, or replaces a row of lower precedence.
    /// A row about this process is refuted if it is wrong.
    pub(super) fn merge_row(&mut self, row: &MemberRow, now_us: u64, actions: &mut Vec<Action>) {
        if row.identity.name == self.local_row.identity.name {
            if self.refute(row) {
                actions.extend(self.announce());
            }
            return;
        }
        let transmissions = self.transmissions();
        match self.members.get_mut(&row.identity.name) {
            None if row.state == VmState::Dead => {}
            None => {
                let member = Member {
                    row: row.clone(),
                    changed_at_us: now_us,
                    sent_since_us: now_us,
                    transmissions_left: transmissions,
                };
                self.members.insert(row.identity.name.clone(), member);
                actions.push(state_changed(row));
            }
            Some(member) => {
                if member.update(row, transmissions, now_us) {
                    actions.push(state_changed(row));
                }
            }
        }
    }

    /// Returns the stored row of a sender if it takes precedence over the sender's own row and contradicts
    /// it. It is sent to the sender, which must know it to refute it.
    pub(super) fn row_to_refute(&self, own: &MemberRow) -> Option<MemberRow> {
        let member = self.members.get(&own.identity.name)?;
        let is_later_incarnation = member.row.identity.incarnation > own.identity.incarnation;
        let contradicts = member.row.state != VmState::Live || is_later_incarnation;
        let overrides = contradicts && member.compare(own) == Ordering::Less;
        overrides.then(|| member.row.clone())
    }

    /// Refutes a wrong row about this process by raising its own version or incarnation; returns whether it
    /// was wrong.
    pub(super) fn refute(&mut self, row: &MemberRow) -> bool {
        if row.identity.incarnation > self.local_row.identity.incarnation {
            // The wall clock, which incarnations are taken from, was set back before the restart. Without a
            // higher incarnation, all other members would ignore this process.
            self.local_row.identity.incarnation = Incarnation(row.identity.incarnation.0 + 1);
            self.local_row.version += 1;
            return true;
        }
        let same_incarnation = row.identity.incarnation == self.local_row.identity.incarnation;
        // A suspicion of a lower version is already overridden; `Dead` overrides every version of this
        // incarnation.
        let is_wrong = match row.state {
            VmState::Suspect => row.version >= self.local_row.version,
            VmState::Dead => true,
            VmState::Live | VmState::Leaving => false,
        };
        if same_incarnation && is_wrong {
            self.local_row.version = self.local_row.version.max(row.version) + 1;
            if row.state == VmState::Dead {
                // `Dead` cannot be refuted within an incarnation, so continue with the next one.
                self.local_row.identity.incarnation.0 += 1;
            }
        }
        same_incarnation && is_wrong
    }
}
