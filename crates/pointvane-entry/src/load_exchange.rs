//! Exchange of load observations and upstream limits between entry VMs, over UDP.

use {
    crate::entry::Entry,
    pointvane_core::Clock,
    pointvane_mesh::{
        LoadDatagramError, LoadMessage, LoadReceiver, LoadSender, LoadSenderOptions, ServiceLimits,
        ServiceLoad, codec,
    },
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, time::interval},
};

/// Part of the VM's budget for control traffic that is reserved for the gossip of its control process. This
/// is more than gossip needs in a steady state with 1,800 VMs.
const GOSSIP_RESERVE_BYTES_PER_S: u32 = 3_000;
/// Interval at which sending is considered.
const TICK_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of upstream limits in one datagram.
const LIMITS_PER_DATAGRAM_MAX: usize = 12;
/// Ticks between two reads of the member list.
const MEMBERS_REFRESH_TICKS: u64 = 100;

/// Sends and receives load datagrams until the process exits.
pub async fn exchange_load(entry: Arc<Entry>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    tokio::join!(send_loop(Arc::clone(&entry), Arc::clone(&socket)), receive_loop(entry, socket));
}

async fn send_loop(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut ticks = interval(TICK_INTERVAL);
    let now_us = entry.clock.now_us();
    let mut sender = LoadSender::new(LoadSenderOptions::default(), entry.incarnation, now_us);
    let mut peers: Vec<SocketAddr> = Vec::new();
    for tick in 0_u64.. {
        ticks.tick().await;
        if tick.is_multiple_of(MEMBERS_REFRESH_TICKS) {
            peers = entry.members().load_peers().collect();
            entry.update_limit_shares();
        }
        send_round(&entry, &socket, &mut sender, &peers).await;
    }
}

async fn send_round(entry: &Entry, socket: &UdpSocket, sender: &mut LoadSender, peers: &[SocketAddr]) {
    let now_us = entry.clock.now_us();
    let routes = entry.routes();
    sender.set_bytes_per_s(routes.control_bytes_per_s.saturating_sub(GOSSIP_RESERVE_BYTES_PER_S));
    let fanout = sender.round_recipients(peers.len(), now_us);
    if fanout == 0 {
        return;
    }
    let limits = collect_limits(entry);
    let services = collect_observations(entry, sender.observations_max(), sender.rounds_sent());
    if services.is_empty() && limits.is_empty() {
        return;
    }
    let payload = (services, limits);
    let Some(bytes) = sender.next_datagram(routes.revision, entry.requests(), payload, fanout, now_us) else {
        return;
    };
    let targets = peers.iter().choose_multiple(&mut rand::rng(), fanout);
    for target in targets {
        if socket.send_to(&bytes, target).await.is_ok() {
            entry.counters.load_sent(bytes.len() + codec::IP_UDP_HEADER_BYTES);
        }
    }
}

/// Collects the upstream limits that are due to be announced, from all services.
fn collect_limits(entry: &Entry) -> Vec<ServiceLimits> {
    let mut remaining = LIMITS_PER_DATAGRAM_MAX;
    let mut service_limits = Vec::new();
    for (position, service) in entry.routes().services.iter().enumerate() {
        let limits = service.lock().take_limit_announcements(remaining, service.now_us());
        remaining -= limits.len();
        if !limits.is_empty() {
            service_limits.push(ServiceLimits { position: position as u16, limits });
        }
    }
    service_limits
}

/// Collects load observations to send. Each round starts at the next service, so that one service cannot
/// starve the others.
fn collect_observations(entry: &Entry, observations_max: usize, rounds_sent: u64) -> Vec<ServiceLoad> {
    let routes = entry.routes();
    let count = routes.services.len();
    let first = rounds_sent as usize % count.max(1);
    let mut remaining = observations_max;
    let mut services = Vec::new();
    for position in (first..count).chain(0..first) {
        let service = &routes.services[position];
        let observations = service.lock().observations(remaining, service.now_us());
        remaining -= observations.len();
        if !observations.is_empty() {
            services.push(ServiceLoad { position: position as u16, observations });
        }
        if remaining == 0 {
            break;
        }
    }
    services
}

async fn receive_loop(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut receiver = LoadReceiver::default();
    let mut next_members_refresh_us = 0;
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let now_us = entry.clock.now_us();
        if now_us >= next_members_refresh_us {
            receiver.set_members(&entry.members().addresses());
            next_members_refresh_us = now_us + MEMBERS_REFRESH_TICKS * TICK_INTERVAL.as_micros() as u64;
        }
        match receiver.receive(source.ip(), &buffer[..length]) {
            Ok(message) => apply(&entry, &message),
            Err(LoadDatagramError::Malformed) => entry.counters.load_dropped("malformed"),
            Err(LoadDatagramError::UnknownSender) => entry.counters.load_dropped("stranger"),
            Err(LoadDatagramError::Stale) => entry.counters.load_dropped("late"),
        }
    }
}

fn apply(entry: &Entry, message: &LoadMessage) {
    let (routes, datagram) = (entry.routes(), &message.load);
    if datagram.revision != routes.revision {
        return entry.counters.load_dropped("revision");
    }
    for service_limits in &message.limits {
        let Some(service) = routes.services.get(usize::from(service_limits.position)) else { continue };
        let (now_us, mut balancer) = (service.now_us(), service.lock());
        service_limits.limits.iter().for_each(|limit| balancer.observe_limit(limit, now_us));
    }
    for service_load in &datagram.services {
        let Some(service) = routes.services.get(usize::from(service_load.position)) else {
            continue;
        };
        let waiting = {
            let now_us = service.now_us();
            let mut balancer = service.lock();
            service_load.observations.iter().for_each(|observation| balancer.observe(observation, now_us));
            balancer.waiting()
        };
        if waiting > 0 {
            service.dispatch_waiting();
        }
    }
}
