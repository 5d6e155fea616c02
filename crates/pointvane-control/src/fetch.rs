//! Connections to other control processes: fetches values, exchanges member rows and contacts peers after a
//! start.

use {
    crate::{
        state::State,
        value::{FetchRequest, ValueKind},
    },
    pointvane_core::VmState,
    pointvane_mesh::{FeedHello, FeedRole, MemberRow, Offer, OfferResult, PeerAnswer, PeerRequest, codec},
    rand::seq::{IteratorRandom, SliceRandom},
    std::{
        io::{self, BufReader},
        net::{SocketAddr, TcpStream},
        sync::mpsc::Receiver,
        thread,
        time::Duration,
    },
};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of seeds with a configuration that a new process queries before it trusts the platform; fewer if
/// fewer have one.
const SEED_ANSWERS_MIN: usize = 3;
/// Interval of anti-entropy: the exchange of all member rows with a random member.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(30);

/// Fetches the requested values for the lifetime of the process.
pub fn run_fetches(state: &State, requests: &Receiver<FetchRequest>) {
    while let Ok(fetch) = requests.recv() {
        let request = match fetch.kind {
            ValueKind::Configuration => PeerRequest::Configuration,
            ValueKind::VmList => PeerRequest::VmList,
        };
        if let Ok(PeerAnswer::Value(Some(stamped))) = send_request(fetch.from, &request) {
            state.counters.record_fetched(stamped.value.len());
            state.offer(fetch.kind, Offer::Peer(stamped));
        }
    }
}

/// Contacts the seeds after a start, then exchanges all rows with a random member every
/// [`EXCHANGE_INTERVAL`].
pub fn run_anti_entropy(state: &State) {
    sync_with_seeds(state);
    loop {
        thread::sleep(EXCHANGE_INTERVAL);
        let peer = {
            let inner = state.lock();
            let others = inner.membership.rows().skip(1).filter(|row| row.state != VmState::Dead);
            others.map(MemberRow::control_address).choose(&mut rand::rng())
        };
        if let Some(peer) = peer {
            // After a failure the next exchange brings the rows up to date.
            let _ = exchange_rows_with(state, peer);
        }
    }
}

fn sync_with_seeds(state: &State) {
    let own_address = SocketAddr::new(state.settings.vm.address, state.settings.control.port);
    let mut seeds: Vec<_> =
        state.settings.mesh.seeds.iter().copied().filter(|seed| *seed != own_address).collect();
    seeds.shuffle(&mut rand::rng());
    let required = SEED_ANSWERS_MIN.min(seeds.len());
    let mut answered = 0;
    for seed in seeds {
        if exchange_rows_with(state, seed).is_err() {
            continue;
        }
        // A peer without a configuration, such as one that starts at the same time, does not count: it
        // cannot tell which configuration is the newest.
        answered += usize::from(fetch_values(state, seed).unwrap_or(false));
        if answered == required {
            break;
        }
    }
    if answered > 0 {
        state.peers_answered();
    }
}

fn exchange_rows_with(state: &State, peer: SocketAddr) -> io::Result<()> {
    let own_rows = state.lock().membership.rows().cloned().collect();
    if let PeerAnswer::Rows(rows) = send_request(peer, &PeerRequest::Rows(own_rows))? {
        state.exchange_rows(&rows);
    }
    Ok(())
}

/// Fetches both values from a peer; returns whether the peer had a valid configuration.
fn fetch_values(state: &State, peer: SocketAddr) -> io::Result<bool> {
    let mut has_configuration = false;
    if let PeerAnswer::Value(Some(stamped)) = send_request(peer, &PeerRequest::Configuration)? {
        let result = state.offer(ValueKind::Configuration, Offer::Peer(stamped));
        has_configuration = result.is_some_and(|result| result != OfferResult::Deferred);
    }
    if let PeerAnswer::Value(Some(stamped)) = send_request(peer, &PeerRequest::VmList)? {
        state.offer(ValueKind::VmList, Offer::Peer(stamped));
    }
    Ok(has_configuration)
}

fn send_request(peer: SocketAddr, request: &PeerRequest) -> io::Result<PeerAnswer> {
    let mut stream = TcpStream::connect_timeout(&peer, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
    codec::write_frame(&mut stream, &FeedHello { role: FeedRole::Peer })?;
    codec::write_frame(&mut stream, request)?;
    codec::read_frame(&mut BufReader::new(stream))
}
