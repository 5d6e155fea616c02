//! Merging of rows from others, and refutation of suspicions of this process.

use {
    super::{Action, Membership, changed},
    crate::member::{Member, MemberRow},
    pointvane_core::{Incarnation, VmState},
    std::cmp::Ordering,
};

impl Membership {
    pub(super) fn merge_row(&mut self, row: &MemberRow, now_us: u64, actions: &mut Vec<Action>) {
        if row.identity.name == self.me.identity.name {
            if self.refute(row) {
                actions.extend(self.announce());
            }
            return;
        }
        let transmissions = self.transmissions();
        match self.members.get_mut(&row.identity.name) {
            None if row.state == VmState::Dead => {}
            None => {
                let member =
                    Member { row: row.clone(), changed_at_us: now_us, transmissions_left: transmissions };
                self.members.insert(row.identity.name.clone(), member);
                actions.push(changed(row));
            }
            Some(member) => match member.compare(row) {
                Ordering::Less => {}
                Ordering::Equal => {
                    // Entry and stamp may change within a version; only the VM's own row brings newer ones.
                    member.row.entry = row.entry;
                    member.row.stamp = member.row.stamp.max(row.stamp);
                }
                Ordering::Greater => {
                    let state_before = member.row.state;
                    member.row = row.clone();
                    member.transmissions_left = transmissions;
                    if state_before != row.state {
                        member.changed_at_us = now_us;
                        actions.push(changed(row));
                    }
                }
            },
        }
    }

    /// The row known of a sender that overrides its own; the sender has to learn of it to refute it.
    pub(super) fn row_to_refute(&self, own: &MemberRow) -> Option<MemberRow> {
        let member = self.members.get(&own.identity.name)?;
        let of_a_later_life = member.row.identity.incarnation > own.identity.incarnation;
        let contradicts = member.row.state != VmState::Live || of_a_later_life;
        let overrides = contradicts && member.compare(own) == Ordering::Less;
        overrides.then(|| member.row.clone())
    }

    /// Refutes a wrong row of this process by a higher version of its own; true if there was need to.
    pub(super) fn refute(&mut self, row: &MemberRow) -> bool {
        if row.identity.incarnation > self.me.identity.incarnation {
            // An earlier life under a later wall clock: go on as a still later one, or all others would ignore this one.
            self.me.identity.incarnation = Incarnation(row.identity.incarnation.0 + 1);
            self.me.version += 1;
            return true;
        }
        let same_life = row.identity.incarnation == self.me.identity.incarnation;
        // An old suspicion is overridden already; death overrides every version of this life.
        let wrong = match row.state {
            VmState::Suspect => row.version >= self.me.version,
            VmState::Dead => true,
            VmState::Live | VmState::Leaving => false,
        };
        if same_life && wrong {
            self.me.version = self.me.version.max(row.version) + 1;
            if row.state == VmState::Dead {
                // Death cannot be refuted by this life: go on as a later one.
                self.me.identity.incarnation.0 += 1;
            }
        }
        same_life && wrong
    }
}
