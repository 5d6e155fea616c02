//! Quotas of client accounts, shared by the requests that consume them and the loop that exchanges them with
//! other nodes.

use {
    crate::settings::NodeLimits,
    pointvane_core::{Name, Quota},
    pointvane_dispatch::{FleetView, QuotaDecision, Quotas},
    std::{
        cell::{Cell, Ref, RefCell, RefMut},
        rc::Rc,
    },
};

/// Shared handle to this node's view of the quotas.
#[derive(Clone, Debug)]
pub struct SharedQuotas(Rc<RefCell<Quotas>>);

impl SharedQuotas {
    /// Creates quotas without any usage; `now_us` is in microseconds of the monotonic clock.
    pub fn new(limits: &NodeLimits, now_us: u64) -> Self {
        Self(Rc::new(RefCell::new(Quotas::new(limits.quota_window.as_micros() as u64, now_us))))
    }

    /// Borrows the quotas.
    pub fn borrow(&self) -> Ref<'_, Quotas> {
        self.0.borrow()
    }

    /// Borrows the quotas mutably.
    pub fn borrow_mut(&self) -> RefMut<'_, Quotas> {
        self.0.borrow_mut()
    }

    /// Decides whether a request of an account is admitted. `draw` is a random number between 0 and 1.
    pub fn admit(
        &self,
        account: &Name,
        quota: Quota,
        fleet_view: FleetView,
        now_us: u64,
        draw: f32,
    ) -> QuotaDecision {
        self.borrow_mut().admit(account, quota, fleet_view, now_us, draw)
    }
}

/// The charge of one request against its account's quota, refunded on drop unless the request was sent.
#[derive(Debug)]
pub struct QuotaCharge {
    quotas: SharedQuotas,
    account: Name,
    admitted_at_us: u64,
    committed: Cell<bool>,
}

impl QuotaCharge {
    /// Creates the charge of a request that was admitted at `now_us`.
    pub fn new(quotas: &SharedQuotas, account: Name, now_us: u64) -> Self {
        Self { quotas: quotas.clone(), account, admitted_at_us: now_us, committed: Cell::new(false) }
    }

    /// Makes the charge final because the request is being sent.
    pub fn commit(&self) {
        self.committed.set(true);
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.committed.get() {
            self.quotas.borrow_mut().refund(&self.account, self.admitted_at_us);
        }
    }
}
