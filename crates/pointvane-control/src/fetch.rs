//! Streams to other controls: values to fetch, rows to exchange, peers to ask after a start.

use {
    crate::{
        state::State,
        value::{FetchOrder, ValueKind},
    },
    pointvane_core::VmState,
    pointvane_mesh::{FeedHello, FeedRole, MemberRow, Offer, OfferVerdict, PeerAnswer, PeerRequest, codec},
    rand::seq::{IteratorRandom, SliceRandom},
    std::{
        io::{self, BufReader},
        net::{SocketAddr, TcpStream},
        sync::mpsc::Receiver,
        thread,
        time::Duration,
    },
};

/// Longest time for a connection to a peer. Not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for a peer's answer. Not measured.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers that must tell what they hold before a new process trusts the platform.
const ASKED_MIN: usize = 3;
/// Time between two exchanges of all rows with a random member.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(30);

/// Fetches what is ordered, for as long as the process lives.
pub fn fetch_ordered(state: &State, orders: &Receiver<FetchOrder>) {
    while let Ok(order) = orders.recv() {
        let request = match order.kind {
            ValueKind::Configuration => PeerRequest::Configuration,
            ValueKind::VmList => PeerRequest::VmList,
        };
        if let Ok(PeerAnswer::Value(Some(stored))) = ask(order.from, &request) {
            state.counters.fetched(stored.value.len());
            state.offer(order.kind, Offer::Peer(stored));
        }
    }
}

/// Asks several peers after a start, then exchanges all rows with a random member from time to time.
pub fn keep_in_step(state: &State) {
    ask_seeds(state);
    loop {
        thread::sleep(EXCHANGE_INTERVAL);
        let peer = {
            let core = state.lock();
            let others = core.membership.rows().skip(1).filter(|row| row.state != VmState::Dead);
            others.map(MemberRow::control_address).choose(&mut rand::rng())
        };
        if let Some(peer) = peer {
            // The next exchange makes up for one that fails.
            let _ = learn_rows(state, peer);
        }
    }
}

fn ask_seeds(state: &State) {
    let me = SocketAddr::new(state.settings.vm.address, state.settings.control.port);
    let mut seeds: Vec<_> = state.settings.mesh.seeds.iter().copied().filter(|seed| *seed != me).collect();
    seeds.shuffle(&mut rand::rng());
    let wanted = ASKED_MIN.min(seeds.len());
    let mut answered = 0;
    for seed in seeds {
        if learn_rows(state, seed).is_err() {
            continue;
        }
        // One that holds nothing yet, such as one that starts beside this, has nothing to say on the order.
        answered += usize::from(learn_values(state, seed).unwrap_or(false));
        if answered == wanted {
            break;
        }
    }
    if answered > 0 {
        state.peers_answered();
    }
}

fn learn_rows(state: &State, peer: SocketAddr) -> io::Result<()> {
    let own = state.lock().membership.rows().cloned().collect();
    if let PeerAnswer::Rows(rows) = ask(peer, &PeerRequest::Rows(own))? {
        state.exchange_rows(&rows);
    }
    Ok(())
}

/// Whether the peer held a configuration.
fn learn_values(state: &State, peer: SocketAddr) -> io::Result<bool> {
    let mut held = false;
    if let PeerAnswer::Value(Some(stored)) = ask(peer, &PeerRequest::Configuration)? {
        let verdict = state.offer(ValueKind::Configuration, Offer::Peer(stored));
        held = verdict.is_some_and(|verdict| verdict != OfferVerdict::Held);
    }
    if let PeerAnswer::Value(Some(stored)) = ask(peer, &PeerRequest::VmList)? {
        state.offer(ValueKind::VmList, Offer::Peer(stored));
    }
    Ok(held)
}

fn ask(peer: SocketAddr, request: &PeerRequest) -> io::Result<PeerAnswer> {
    let mut stream = TcpStream::connect_timeout(&peer, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
    codec::write_frame(&mut stream, &FeedHello { role: FeedRole::Peer })?;
    codec::write_frame(&mut stream, request)?;
    codec::read_frame(&mut BufReader::new(stream))
}
