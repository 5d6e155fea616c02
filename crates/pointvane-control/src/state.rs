//! What the threads of the control process share: membership and the values held, behind one lock.

use {
    crate::{
        counters::ControlCounters,
        value::{FetchOrder, ValueKind, is_whole},
    },
    pointvane_config::Settings,
    pointvane_core::{Clock, Incarnation, Name, VmIdentity, VmState},
    pointvane_mesh::{
        Action, EntryReport, EntryRow, GossipMessage, MemberRow, Membership, MembershipOptions, Offer,
        OfferVerdict, Spread, SpreadAction, Stamp, Stamps, Stored, choose_readers, codec,
    },
    pointvane_telemetry::{EventKind, EventLog, MonotonicClock, wall_ms},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, mpsc},
        time::Duration,
    },
};

/// What is locked.
#[derive(Debug)]
pub struct Core {
    /// Members.
    pub membership: Membership,
    pub(crate) configuration: Spread,
    pub(crate) vm_list: Spread,
    pub(crate) reads_platform: bool,
}

/// The control process.
#[derive(Debug)]
pub struct State {
    /// The VM's settings.
    pub settings: Settings,
    /// The time.
    pub clock: MonotonicClock,
    /// The time line.
    pub events: Arc<EventLog>,
    /// ControlCounters.
    pub counters: ControlCounters,
    socket: UdpSocket,
    core: Mutex<Core>,
    changed: Condvar,
    fetches: mpsc::Sender<FetchOrder>,
}

impl State {
    /// A control that knows only itself.
    pub fn new(
        settings: Settings,
        events: Arc<EventLog>,
        counters: ControlCounters,
        socket: UdpSocket,
        fetches: mpsc::Sender<FetchOrder>,
    ) -> Self {
        let clock = MonotonicClock::start();
        let now_us = clock.now_us();
        let me = own_row(&settings);
        let seed = me.identity.incarnation.0 ^ pointvane_mesh::rank("seed", &settings.vm.name);
        let options = MembershipOptions {
            probe_interval_ms: settings.mesh.probe_interval_ms,
            suspect_ms: settings.mesh.suspect_ms,
            seeds: settings.mesh.seeds.clone(),
            ..MembershipOptions::default()
        };
        let core = Core {
            membership: Membership::new(options, me, seed, now_us),
            configuration: Spread::new(now_us),
            vm_list: Spread::new(now_us),
            reads_platform: false,
        };
        let (core, changed) = (Mutex::new(core), Condvar::new());
        Self { settings, clock, events, counters, socket, core, changed, fetches }
    }

    /// The locked part.
    pub fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The locked part once something changed, or after a time.
    pub fn wait(&self, time: Duration) -> MutexGuard<'_, Core> {
        let waited = self.changed.wait_timeout(self.lock(), time);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Takes the time.
    pub fn tick(&self) {
        let now_us = self.clock.now_us();
        let mut core = self.lock();
        let actions = core.membership.tick(now_us);
        let released = core.configuration.tick(now_us);
        core.vm_list.tick(now_us);
        drop(core);
        self.act(actions);
        if released == Some(OfferVerdict::Accepted) {
            self.accepted();
        }
        self.settle_reading();
    }

    /// Takes a datagram.
    pub fn receive(&self, from: SocketAddr, message: &GossipMessage) {
        let now_us = self.clock.now_us();
        let peer = message.from.control_address();
        let mut core = self.lock();
        let actions = core.membership.receive(from, message, now_us);
        let configuration = core.configuration.heard(message.stamps.configuration, peer, now_us);
        let vm_list = core.vm_list.heard(message.stamps.vm_list, peer, now_us);
        drop(core);
        self.act(actions);
        self.fetch(ValueKind::Configuration, configuration);
        self.fetch(ValueKind::VmList, vm_list);
    }

    fn fetch(&self, kind: ValueKind, action: Option<SpreadAction>) {
        if let Some(SpreadAction::Fetch(from)) = action {
            // The receiver lives as long as the process.
            let _ = self.fetches.send(FetchOrder { kind, from });
        }
    }

    /// Takes all rows of another control, and gives all of this one's.
    pub fn exchange_rows(&self, rows: &[MemberRow]) -> Vec<MemberRow> {
        let mut core = self.lock();
        let actions = core.membership.merge(rows, self.clock.now_us());
        let own = core.membership.rows().cloned().collect();
        drop(core);
        self.act(actions);
        own
    }

    /// The value held.
    pub fn held(&self, kind: ValueKind) -> Option<Stored> {
        self.lock().spread(kind).held().cloned()
    }

    /// Takes a value, if it is whole; tells what became of it.
    pub fn offer(&self, kind: ValueKind, offer: Offer) -> Option<OfferVerdict> {
        let (Offer::Platform(stored) | Offer::Peer(stored)) = &offer;
        let stamp = stored.stamp;
        if !is_whole(kind, stored) {
            self.refuse(stamp, "damaged");
            return None;
        }
        let mut core = self.lock();
        let verdict = core.spread(kind).offer(offer, self.clock.now_us());
        drop(core);
        match verdict {
            OfferVerdict::Accepted => self.accepted(),
            OfferVerdict::Older if kind == ValueKind::Configuration => {
                self.refuse(stamp, "older than in force")
            }
            OfferVerdict::Older | OfferVerdict::Same | OfferVerdict::Held => {}
        }
        Some(verdict)
    }

    /// Notes on the time line that a published configuration was not taken.
    pub fn refuse(&self, stamp: Stamp, reason: &str) {
        let Stamp { revision, index } = stamp;
        self.events.note(EventKind::ConfigurationRefused { revision, index, reason: reason.into() });
    }

    /// Notes that enough peers told what they hold.
    pub fn peers_answered(&self) {
        let mut core = self.lock();
        let released = core.configuration.peers_answered();
        core.vm_list.peers_answered();
        drop(core);
        if released == Some(OfferVerdict::Accepted) {
            self.accepted();
        }
    }

    fn accepted(&self) {
        let mut core = self.lock();
        let stamps = core.stamps();
        let before = core.membership.me().stamp;
        let actions = core.membership.set_stamps(stamps);
        drop(core);
        let Stamp { revision, index } = stamps.configuration;
        if stamps.configuration != before {
            self.events.note(EventKind::ConfigurationAccepted { revision, index });
        }
        self.act(actions);
        self.changed.notify_all();
    }

    /// Takes a report of this VM's entry; none when it is gone.
    pub fn entry_told(&self, report: Option<EntryReport>) {
        let row = report.map(|report| EntryRow {
            incarnation: report.incarnation,
            requests: report.requests,
            leaving: report.leaving,
        });
        let mut core = self.lock();
        let version = core.membership.me().version;
        core.membership.set_entry(row);
        let changed = core.membership.me().version != version;
        let actions = if changed { core.membership.announce() } else { Vec::new() };
        drop(core);
        self.act(actions);
        if changed {
            self.changed.notify_all();
        }
    }

    /// Tells the others that this VM is leaving, unless its entry goes on and only control is restarted.
    pub fn leave(&self) {
        let mut core = self.lock();
        let entry_stays = core.membership.me().entry.is_some_and(|entry| !entry.leaving);
        let actions = if entry_stays { Vec::new() } else { core.membership.leave() };
        drop(core);
        self.act(actions);
    }

    /// Whether this VM reads the platform for the others now.
    pub fn reads_platform(&self) -> bool {
        self.lock().reads_platform
    }

    fn settle_reading(&self) {
        let mut core = self.lock();
        let count = usize::from(self.settings.platform.readers);
        let key = self.settings.platform.configuration_key.as_str();
        let readers = choose_readers(key, core.membership.rows(), count);
        let reads = readers.contains(&self.settings.vm.name);
        let before = std::mem::replace(&mut core.reads_platform, reads);
        drop(core);
        match (before, reads) {
            (false, true) => self.events.note(EventKind::ReaderBegan),
            (true, false) => self.events.note(EventKind::ReaderEnded),
            _ => {}
        }
    }

    fn act(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, &message),
                Action::Changed(change) => {
                    self.events.note(EventKind::MemberChanged { member: change.name, state: change.state });
                    self.changed.notify_all();
                }
            }
        }
    }

    fn send(&self, to: SocketAddr, message: &GossipMessage) {
        let Ok(bytes) = codec::encode(message) else { return };
        if self.socket.send_to(&bytes, to).is_ok() {
            self.counters.sent(bytes.len() + codec::UDP_HEAD_BYTES);
        }
    }
}

impl Core {
    fn spread(&mut self, kind: ValueKind) -> &mut Spread {
        match kind {
            ValueKind::Configuration => &mut self.configuration,
            ValueKind::VmList => &mut self.vm_list,
        }
    }

    fn stamps(&self) -> Stamps {
        Stamps { configuration: self.configuration.stamp(), vm_list: self.vm_list.stamp() }
    }

    /// The configuration in force, if it is newer than `stamp`.
    pub fn newer_configuration(&self, stamp: Stamp) -> Option<Stored> {
        self.configuration.held().filter(|stored| stored.stamp > stamp).cloned()
    }

    /// The list of VMs held, if it is newer than `stamp`.
    pub fn newer_vm_list(&self, stamp: Stamp) -> Option<Stored> {
        self.vm_list.held().filter(|stored| stored.stamp > stamp).cloned()
    }
}

fn own_row(settings: &Settings) -> MemberRow {
    let vm = &settings.vm;
    let name: Name = vm.name.clone();
    MemberRow {
        identity: VmIdentity {
            name,
            data_centre: vm.data_centre.clone(),
            address: vm.address,
            incarnation: Incarnation(wall_ms()),
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
