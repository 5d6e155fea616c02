//! Path of an attempt: gathers what [`pointvane_dispatch::PathInputs`] decides by.

use {
    crate::{node::Node, request::CallerRequest},
    pointvane_core::{ErrorKind, PlatformAdapter},
    pointvane_dispatch::{
        AttemptEnd, AttemptOutcome, PathInputs, RoutedRequest, WithoutPeer, lost_retry_after_ms, without_peer,
    },
    std::net::SocketAddr,
};

/// Path of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPath {
    /// Directly to an upstream.
    Upstream,
    /// Through another node.
    Peer(SocketAddr),
    /// The attempt is not made.
    Refuse,
}

impl<A: PlatformAdapter> Node<A> {
    /// Lets a request be forwarded that would be refused only because this node does not reach most upstreams
    /// of its service: counts its attempt as one that reached no upstream.
    pub fn divert(&self, request: &CallerRequest, end: AttemptEnd) -> AttemptEnd {
        let may_divert = end == AttemptEnd::NotAdmitted
            && request.sends.get() == 0
            && !request.is_forwarded()
            && !request.lacks_reachable_capacity.get();
        let service = &request.routed.service;
        if may_divert
            && self.dispatcher.pool().is_mostly_ejected(service, self.now_us())
            && self.choose_peer(request).is_some()
        {
            request.lacks_reachable_capacity.set(true);
            return AttemptEnd::Attempted(AttemptOutcome::Unreachable);
        }
        end
    }

    /// Decides the path of the next attempt.
    pub fn path(&self, request: &CallerRequest) -> AttemptPath {
        let dispatcher = &self.dispatcher;
        let (service, now_us) = (&request.routed.service, self.now_us());
        let reach = dispatcher.pool().reach(service, now_us);
        let inputs = PathInputs {
            reach,
            unreachable_attempts: request.unreachable_attempts.get(),
            lacks_reachable_capacity: request.lacks_reachable_capacity.get(),
            is_forwarded: request.is_forwarded(),
            peers_tried: request.tried_peers.borrow().len(),
            draw: dispatcher.draw(),
        };
        if !inputs.prefers_peer() {
            return AttemptPath::Upstream;
        }
        if let Some(peer) = self.choose_peer(request) {
            return AttemptPath::Peer(peer);
        }
        match without_peer(reach) {
            WithoutPeer::TrialOnly if !dispatcher.pool_mut().take_trial(service, now_us) => {
                AttemptPath::Refuse
            }
            WithoutPeer::TrialOnly | WithoutPeer::Upstream => AttemptPath::Upstream,
        }
    }

    /// The retry time of a request that was refused because its service is lost, in milliseconds.
    pub fn lost_retry_after_ms(&self, request: &CallerRequest, error: ErrorKind) -> Option<u32> {
        let RoutedRequest { route, service, .. } = &request.routed;
        let lost_ms = self.dispatcher.pool().lost_ms(service, self.now_us())?;
        let is_lost = error == ErrorKind::UpstreamUnreachable;
        is_lost.then(|| lost_retry_after_ms(route, lost_ms, f64::from(self.dispatcher.draw())))
    }
}
