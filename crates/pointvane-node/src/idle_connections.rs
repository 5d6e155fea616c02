//! Idle connections by address, with the number of those in use.
//!
//! [`pointvane_dispatch::choose_idle`] decides which one is taken.

use {
    crate::{connections::RelayBody, upstream_stream::SlowReading},
    pointvane_dispatch::{ConnectionPurpose, IdleTimes, OpenReason, OtherConnections, Removal, choose_idle},
    pointvane_serve::RequestSender,
    pointvane_telemetry::BootInstant,
    std::{
        cell::RefCell,
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Most idle connections kept to one upstream; each costs memory.
const IDLE_CONNECTIONS_MAX: usize = 2;
/// Time for which the removal of an idle connection counts as the reason for a new one.
const REMOVAL_RECENT_MAX: Duration = Duration::from_secs(30);

/// A connection that is not in use.
#[derive(Debug)]
pub struct IdleConnection {
    /// Sends requests on it.
    pub sender: RequestSender<RelayBody>,
    /// Whether its peer may read slowly.
    pub slow_reading: SlowReading,
    /// Time that its TCP handshake took.
    pub round_trip: Duration,
    /// When it became idle.
    pub idle_since: BootInstant,
    /// Longest time that it stays idle.
    pub idle_time_max: Duration,
    /// When the last response to a caller's request on it ended.
    pub request_ended_at: Option<BootInstant>,
}

impl IdleConnection {
    fn removal(&self) -> Option<Removal> {
        if self.idle_since.elapsed() >= self.idle_time_max {
            Some(Removal::Expired)
        } else if !self.sender.is_ready() {
            Some(Removal::Closed)
        } else {
            None
        }
    }

    fn times(&self) -> IdleTimes {
        IdleTimes {
            idle_us: self.idle_since.elapsed().as_micros() as u64,
            since_request_us: self.request_ended_at.map(|ended| ended.elapsed().as_micros() as u64),
        }
    }
}

/// Connections to one address.
#[derive(Debug, Default)]
struct AddressConnections {
    idle: VecDeque<IdleConnection>,
    in_use: usize,
    removal: Option<(Removal, BootInstant)>,
}

impl AddressConnections {
    fn remove_unusable(&mut self) {
        let mut removals = self.idle.iter().filter_map(IdleConnection::removal);
        if let Some(removal) = removals.next_back() {
            self.removal = Some((removal, BootInstant::now()));
            self.idle.retain(|idle| idle.removal().is_none());
        }
    }

    fn others(&self) -> OtherConnections {
        let removal = self.removal.filter(|(_, at)| at.elapsed() < REMOVAL_RECENT_MAX);
        OtherConnections { in_use: self.in_use, removal: removal.map(|(removal, _)| removal) }
    }

    fn is_unused(&self) -> bool {
        self.idle.is_empty() && self.others() == OtherConnections::default()
    }
}

/// Connections by address.
#[derive(Clone, Debug, Default)]
pub struct IdleConnections {
    by_address: Rc<RefCell<HashMap<SocketAddr, AddressConnections>>>,
}

/// Counts a connection as in use until it is dropped.
#[derive(Debug)]
pub struct InUse {
    connections: IdleConnections,
    address: SocketAddr,
}

impl Drop for InUse {
    fn drop(&mut self) {
        if let Some(connections) = self.connections.by_address.borrow_mut().get_mut(&self.address) {
            connections.in_use = connections.in_use.saturating_sub(1);
        }
    }
}

impl IdleConnections {
    /// Takes the idle connection that is used for `purpose`.
    ///
    /// # Errors
    /// Why a new one is opened instead.
    pub fn take(
        &self,
        address: SocketAddr,
        purpose: ConnectionPurpose,
    ) -> Result<IdleConnection, OpenReason> {
        let mut by_address = self.by_address.borrow_mut();
        let connections = by_address.get_mut(&address).ok_or(OpenReason::NoneKept)?;
        connections.remove_unusable();
        let times: Vec<IdleTimes> = connections.idle.iter().map(IdleConnection::times).collect();
        let index = choose_idle(&times, connections.others(), purpose)?;
        // The index is one of the idle connections.
        connections.idle.remove(index).ok_or(OpenReason::NoneKept)
    }

    /// Counts a connection to `address` as in use.
    pub fn begin_use(&self, address: SocketAddr) -> InUse {
        self.by_address.borrow_mut().entry(address).or_default().in_use += 1;
        InUse { connections: self.clone(), address }
    }

    /// Keeps a connection, in place of the oldest one if there are enough to its address.
    pub fn keep(&self, address: SocketAddr, connection: IdleConnection) {
        let mut by_address = self.by_address.borrow_mut();
        let connections = by_address.entry(address).or_default();
        connections.remove_unusable();
        if connection.sender.is_closed() {
            return;
        }
        // The one that has been idle for longest is the least useful.
        if connections.idle.len() >= IDLE_CONNECTIONS_MAX {
            connections.idle.pop_front();
        }
        connections.idle.push_back(connection);
    }

    /// Closes the idle connections to an address.
    pub fn discard(&self, address: SocketAddr) {
        if let Some(connections) = self.by_address.borrow_mut().get_mut(&address)
            && !connections.idle.is_empty()
        {
            connections.idle.clear();
            connections.removal = Some((Removal::Discarded, BootInstant::now()));
        }
    }

    /// Closes connections that exceeded their idle time.
    pub fn expire(&self) {
        let mut by_address = self.by_address.borrow_mut();
        by_address.values_mut().for_each(AddressConnections::remove_unusable);
        by_address.retain(|_, connections| !connections.is_unused());
    }
}
