//! Merging of rows told by others, and refutation of wrong ones about this process.

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
                    // Load and stamp may move without a new precedence; they are told only by the VM's own row.
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

    /// The row held of a sender that stands against its own word; the sender must hear of it.
    pub(super) fn belief_to_refute(&self, told: &MemberRow) -> Option<MemberRow> {
        let member = self.members.get(&told.identity.name)?;
        let of_a_later_life = member.row.identity.incarnation > told.identity.incarnation;
        let speaks_against = member.row.state != VmState::Live || of_a_later_life;
        let stands = speaks_against && member.compare(told) == Ordering::Less;
        stands.then(|| member.row.clone())
    }

    /// Answers a wrong word about this process with a later one of its own; true if there was need to.
    pub(super) fn refute(&mut self, row: &MemberRow) -> bool {
        if row.identity.incarnation > self.me.identity.incarnation {
            // A life before this one whose wall clock stood later: go on as a still later one, or nobody hears of this.
            self.me.identity.incarnation = Incarnation(row.identity.incarnation.0 + 1);
            self.me.version += 1;
            return true;
        }
        let same_life = row.identity.incarnation == self.me.identity.incarnation;
        // An old suspicion is overruled already; death stands against every word of this life.
        let wrong = match row.state {
            VmState::Suspect => row.version >= self.me.version,
            VmState::Dead => true,
            VmState::Live | VmState::Leaving => false,
        };
        if same_life && wrong {
            self.me.version = self.me.version.max(row.version) + 1;
            if row.state == VmState::Dead {
                // Death cannot be taken back by this life: go on as a later one.
                self.me.identity.incarnation.0 += 1;
            }
        }
        same_life && wrong
    }
}
