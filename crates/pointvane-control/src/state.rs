//! State shared by the threads of the control process: membership and the published values, behind one mutex.

use {
    crate::{
        counters::ControlCounters,
        value::{FetchRequest, ValueKind, is_valid},
    },
    pointvane_config::Settings,
    pointvane_core::{Clock, Incarnation, Name, VmIdentity, VmState},
    pointvane_mesh::{
        Action, EntryReport, EntryRow, GossipMessage, MemberRow, Membership, MembershipOptions, Offer,
        OfferResult, ReplicatedValue, ReplicationAction, Stamp, StampedValue, Stamps, choose_readers, codec,
    },
    pointvane_telemetry::{EventKind, EventLog, MonotonicClock, unix_time_ms},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, mpsc},
        time::Duration,
    },
};

/// The part of [`State`] behind the mutex.
#[derive(Debug)]
pub struct Inner {
    /// Membership of the fleet.
    pub membership: Membership,
    pub(crate) configuration: ReplicatedValue,
    pub(crate) vm_list: ReplicatedValue,
    pub(crate) reads_platform: bool,
}

/// Shared state of the control process.
#[derive(Debug)]
pub struct State {
    /// The VM's settings.
    pub settings: Settings,
    /// Monotonic clock for protocol timers.
    pub clock: MonotonicClock,
    /// Event log.
    pub events: Arc<EventLog>,
    /// Metrics.
    pub counters: ControlCounters,
    socket: UdpSocket,
    inner: Mutex<Inner>,
    changed: Condvar,
    fetch_sender: mpsc::Sender<FetchRequest>,
}

impl State {
    /// Creates the state of a process that knows no other member yet.
    pub fn new(
        settings: Settings,
        events: Arc<EventLog>,
        counters: ControlCounters,
        socket: UdpSocket,
        fetch_sender: mpsc::Sender<FetchRequest>,
    ) -> Self {
        let clock = MonotonicClock::start();
        let now_us = clock.now_us();
        let own_row = initial_member_row(&settings);
        let seed = own_row.identity.incarnation.0 ^ pointvane_mesh::rank("seed", &settings.vm.name);
        let options = MembershipOptions {
            probe_interval_ms: settings.mesh.probe_interval_ms,
            suspect_ms: settings.mesh.suspect_ms,
            seeds: settings.mesh.seeds.clone(),
            ..MembershipOptions::default()
        };
        let inner = Inner {
            membership: Membership::new(options, own_row, seed, now_us),
            configuration: ReplicatedValue::new(now_us),
            vm_list: ReplicatedValue::new(now_us),
            reads_platform: false,
        };
        let (inner, changed) = (Mutex::new(inner), Condvar::new());
        Self { settings, clock, events, counters, socket, inner, changed, fetch_sender }
    }

    /// Locks the shared part.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a member or value changes, or for at most `time`, and locks the shared part.
    pub fn wait_for_change(&self, time: Duration) -> MutexGuard<'_, Inner> {
        let result = self.changed.wait_timeout(self.lock(), time);
        result.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Runs the protocol timers and updates whether this VM reads the platform.
    pub fn tick(&self) {
        let now_us = self.clock.now_us();
        let mut inner = self.lock();
        let actions = inner.membership.tick(now_us);
        let released = inner.configuration.tick(now_us);
        inner.vm_list.tick(now_us);
        drop(inner);
        self.run_actions(actions);
        if released == Some(OfferResult::Accepted) {
            self.announce_accepted();
        }
        self.update_reader_role();
    }

    /// Processes a gossip message.
    pub fn receive(&self, from: SocketAddr, message: &GossipMessage) {
        let now_us = self.clock.now_us();
        let peer = message.from.control_address();
        let mut inner = self.lock();
        let actions = inner.membership.receive(from, message, now_us);
        let configuration = inner.configuration.observe_stamp(message.stamps.configuration, peer, now_us);
        let vm_list = inner.vm_list.observe_stamp(message.stamps.vm_list, peer, now_us);
        drop(inner);
        self.run_actions(actions);
        self.fetch(ValueKind::Configuration, configuration);
        self.fetch(ValueKind::VmList, vm_list);
    }

    fn fetch(&self, kind: ValueKind, action: Option<ReplicationAction>) {
        if let Some(ReplicationAction::Fetch(from)) = action {
            // Sending cannot fail: the receiver lives as long as the process.
            let _ = self.fetch_sender.send(FetchRequest { kind, from });
        }
    }

    /// Merges all member rows of another control process and returns this one's.
    pub fn exchange_rows(&self, rows: &[MemberRow]) -> Vec<MemberRow> {
        let mut inner = self.lock();
        let actions = inner.membership.merge(rows, self.clock.now_us());
        let own_rows = inner.membership.rows().cloned().collect();
        drop(inner);
        self.run_actions(actions);
        own_rows
    }

    /// Returns the current value.
    pub fn current(&self, kind: ValueKind) -> Option<StampedValue> {
        self.lock().replicated_value(kind).current().cloned()
    }

    /// Offers a value from the platform or a peer. Returns the result, or `None` if the value is malformed.
    pub fn offer(&self, kind: ValueKind, offer: Offer) -> Option<OfferResult> {
        let (Offer::Platform(stamped) | Offer::Peer(stamped)) = &offer;
        let stamp = stamped.stamp;
        if !is_valid(kind, stamped) {
            self.log_refusal(stamp, "damaged");
            return None;
        }
        let mut inner = self.lock();
        let result = inner.replicated_value(kind).offer(offer, self.clock.now_us());
        drop(inner);
        match result {
            OfferResult::Accepted => self.announce_accepted(),
            OfferResult::Stale if kind == ValueKind::Configuration => {
                self.log_refusal(stamp, "older than the configuration in force")
            }
            OfferResult::Stale | OfferResult::Same | OfferResult::Deferred => {}
        }
        Some(result)
    }

    /// Logs that a value was refused, with the reason.
    pub fn log_refusal(&self, stamp: Stamp, reason: &str) {
        let Stamp { revision, index } = stamp;
        self.events.record(EventKind::ConfigurationRefused { revision, index, reason: reason.into() });
    }

    /// Releases values of the platform that were deferred until peers answered; called once enough have.
    pub fn peers_answered(&self) {
        let mut inner = self.lock();
        let released = inner.configuration.peers_answered();
        inner.vm_list.peers_answered();
        drop(inner);
        if released == Some(OfferResult::Accepted) {
            self.announce_accepted();
        }
    }

    fn announce_accepted(&self) {
        let mut inner = self.lock();
        let stamps = inner.stamps();
        let previous = inner.membership.local_row().stamp;
        let actions = inner.membership.set_stamps(stamps);
        drop(inner);
        let Stamp { revision, index } = stamps.configuration;
        if stamps.configuration != previous {
            self.events.record(EventKind::ConfigurationAccepted { revision, index });
        }
        self.run_actions(actions);
        self.changed.notify_all();
    }

    /// Sets the latest report of this VM's entry; `None` if the entry has stopped.
    pub fn set_entry_report(&self, report: Option<EntryReport>) {
        let row = report.map(|report| EntryRow {
            incarnation: report.incarnation,
            requests: report.requests,
            leaving: report.leaving,
        });
        let mut inner = self.lock();
        let version = inner.membership.local_row().version;
        inner.membership.set_entry(row);
        let changed = inner.membership.local_row().version != version;
        let actions = if changed { inner.membership.announce() } else { Vec::new() };
        drop(inner);
        self.run_actions(actions);
        if changed {
            self.changed.notify_all();
        }
    }

    /// Announces that this VM is leaving the fleet, unless its entry keeps running and only the control
    /// process restarts.
    pub fn leave(&self) {
        let mut inner = self.lock();
        let entry_stays = inner.membership.local_row().entry.is_some_and(|entry| !entry.leaving);
        let actions = if entry_stays { Vec::new() } else { inner.membership.leave() };
        drop(inner);
        self.run_actions(actions);
    }

    /// Whether this VM currently reads the platform for the fleet.
    pub fn reads_platform(&self) -> bool {
        self.lock().reads_platform
    }

    fn update_reader_role(&self) {
        let mut inner = self.lock();
        let count = usize::from(self.settings.platform.readers);
        let key = self.settings.platform.configuration_key.as_str();
        let readers = choose_readers(key, inner.membership.rows(), count);
        let is_reader = readers.contains(&self.settings.vm.name);
        let was_reader = std::mem::replace(&mut inner.reads_platform, is_reader);
        drop(inner);
        match (was_reader, is_reader) {
            (false, true) => self.events.record(EventKind::ReaderBegan),
            (true, false) => self.events.record(EventKind::ReaderEnded),
            _ => {}
        }
    }

    fn run_actions(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, &message),
                Action::Changed(change) => {
                    self.events.record(EventKind::MemberChanged { member: change.name, state: change.state });
                    self.changed.notify_all();
                }
            }
        }
    }

    fn send(&self, to: SocketAddr, message: &GossipMessage) {
        let Ok(bytes) = codec::encode(message) else { return };
        if self.socket.send_to(&bytes, to).is_ok() {
            self.counters.record_sent(bytes.len() + codec::IP_UDP_HEADER_BYTES);
        }
    }
}

impl Inner {
    fn replicated_value(&mut self, kind: ValueKind) -> &mut ReplicatedValue {
        match kind {
            ValueKind::Configuration => &mut self.configuration,
            ValueKind::VmList => &mut self.vm_list,
        }
    }

    fn stamps(&self) -> Stamps {
        Stamps { configuration: self.configuration.stamp(), vm_list: self.vm_list.stamp() }
    }

    /// Returns the current configuration if it is newer than `stamp`.
    pub fn newer_configuration(&self, stamp: Stamp) -> Option<StampedValue> {
        self.configuration.current().filter(|stamped| stamped.stamp > stamp).cloned()
    }

    /// Returns the current list of VMs if it is newer than `stamp`.
    pub fn newer_vm_list(&self, stamp: Stamp) -> Option<StampedValue> {
        self.vm_list.current().filter(|stamped| stamped.stamp > stamp).cloned()
    }
}

fn initial_member_row(settings: &Settings) -> MemberRow {
    let vm = &settings.vm;
    let name: Name = vm.name.clone();
    MemberRow {
        identity: VmIdentity {
            name,
            data_centre: vm.data_centre.clone(),
            address: vm.address,
            incarnation: Incarnation(unix_time_ms()),
        },
        control_port: settings.control.port,
        entry_port: settings.entry.port,
        state: VmState::Live,
        version: 0,
        entry: None,
        stamp: Stamp::default(),
        link_mbps: 0,
    }
}
