//! Eligibility: whether an upstream may get a request now, and why not.
//!
//! The one place that says so: ranking asks it for candidates, searches for what they found, and each attempt, whether first, retry,
//! hedge or forwarded early, right before its send, since searches and connections take time in which the answer may change. Log
//! lines and metrics carry the reason. Inputs: the platform's entry of the upstream, evacuations, the limit of cold upstreams, the
//! failures seen here. Whether an upstream has room for the request is admission's question. Tests: `tests/evacuations.rs`,
//! `tests/warm_up.rs`, `tests/upstreams.rs`.

use {
    crate::{
        pool::Pool,
        upstream::{UpstreamKey, UpstreamState},
    },
    pointvane_core::{ErrorKind, Name},
};

/// Why an upstream gets no new work now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ineligible {
    /// It is no longer known.
    Gone,
    /// It is draining.
    Draining,
    /// Operators are emptying its data centre.
    Evacuated,
    /// It is cold, and this node's share of what it bears is spent.
    Cold,
    /// It has failed. It is used all the same when there is no other.
    Ejected,
}

impl Ineligible {
    /// Whether it holds though the service has no other upstream.
    pub const fn is_binding(self) -> bool {
        !matches!(self, Self::Ejected)
    }

    /// How a request is answered that found no upstream for this reason.
    pub const fn error(self) -> ErrorKind {
        match self {
            Self::Evacuated => ErrorKind::Evacuated,
            // A share comes soon.
            Self::Cold => ErrorKind::Overloaded,
            Self::Gone | Self::Draining | Self::Ejected => ErrorKind::NoUpstream,
        }
    }
}

impl Pool {
    /// Whether an upstream may get a request now.
    ///
    /// # Errors
    /// The first reason that speaks against it, binding ones first.
    pub fn eligibility(&self, key: UpstreamKey, now_us: u64) -> Result<(), Ineligible> {
        let state = self.upstreams.get(&key).ok_or(Ineligible::Gone)?;
        let reasons = [
            (Ineligible::Draining, state.record.draining),
            (Ineligible::Evacuated, self.evacuations.is_evacuated(&state.record.data_centre)),
            (Ineligible::Cold, self.is_withheld_as_cold(key, state, now_us)),
            (Ineligible::Ejected, state.is_ejected(now_us)),
        ];
        reasons.into_iter().find(|(_, holds)| *holds).map_or(Ok(()), |(reason, _)| Err(reason))
    }

    /// Whether an upstream may get a request if there is no better one.
    pub fn may_get_work(&self, key: UpstreamKey, now_us: u64) -> bool {
        self.eligibility(key, now_us).err().is_none_or(|reason| !reason.is_binding())
    }

    /// Takes note of a request that is about to be sent there, if it still may be: to be asked right before the first byte.
    ///
    /// # Errors
    /// The reason that binds.
    pub fn begin_send(&mut self, key: UpstreamKey, now_us: u64) -> Result<(), Ineligible> {
        match self.eligibility(key, now_us) {
            Err(reason) if reason.is_binding() => Err(reason),
            _ => {
                self.spend_cold_share(key, now_us);
                Ok(())
            }
        }
    }

    /// Why a service has no upstream for a request that was sent to some before; [`Ineligible::Gone`] if none is known but these.
    pub fn why_none(&self, service: &Name, tried: &[UpstreamKey], now_us: u64) -> Ineligible {
        let of_service = |(key, state): &(&UpstreamKey, &UpstreamState)| {
            state.record.service == *service && !tried.contains(key)
        };
        let others = self.upstreams.iter().filter(of_service);
        let reasons: Vec<Ineligible> =
            others.filter_map(|(key, _)| self.eligibility(*key, now_us).err()).collect();
        // What passes soonest is told first.
        let soonest = [Ineligible::Cold, Ineligible::Evacuated, Ineligible::Draining];
        soonest.into_iter().find(|reason| reasons.contains(reason)).unwrap_or(Ineligible::Gone)
    }
}
