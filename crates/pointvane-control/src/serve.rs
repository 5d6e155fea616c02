//! Streams from this VM's entry and locate, and from other controls.

use {
    crate::{state::State, value::ValueKind},
    pointvane_mesh::{FeedHello, FeedRole, FeedUpdate, MemberRow, PeerAnswer, PeerRequest, Stamp, codec},
    std::{
        io::{self, BufReader},
        net::{TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Longest time for the first message on a stream. Not measured.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Streams served at once; more are closed unanswered.
const STREAMS_MAX: usize = 256;
/// Time between two beats on a quiet stream. Not measured: a quarter of the silence that the other side bears.
const BEAT: Duration = Duration::from_secs(1);
/// Shortest time between two transmissions of all members.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(100);
/// Longest silence of an entry that runs; it reports ten times a second.
const ENTRY_SILENCE_MAX: Duration = Duration::from_secs(2);
/// Pause after an accept that failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts streams for as long as the process lives.
pub fn serve(state: &Arc<State>, listener: &TcpListener) {
    let streams = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        if streams.fetch_add(1, Ordering::Relaxed) >= STREAMS_MAX {
            streams.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        let (state, streams) = (Arc::clone(state), Arc::clone(&streams));
        thread::spawn(move || {
            // A stream that breaks concerns its other end, which comes again.
            let _ = serve_stream(&state, stream);
            streams.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

fn serve_stream(state: &State, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(HELLO_TIMEOUT))?;
    stream.set_write_timeout(Some(HELLO_TIMEOUT))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let hello: FeedHello = codec::read_frame(&mut reader)?;
    match hello.role {
        FeedRole::Peer => {
            let request: PeerRequest = codec::read_frame(&mut reader)?;
            codec::write_frame(&mut stream, &answer(state, request))
        }
        FeedRole::Locate => feed(state, stream),
        FeedRole::Entry => thread::scope(|scope| {
            let telling = stream.try_clone()?;
            scope.spawn(move || feed(state, telling));
            let ended = hear_entry(state, reader);
            state.entry_told(None);
            stream.shutdown(std::net::Shutdown::Both)?;
            ended
        }),
    }
}

fn answer(state: &State, request: PeerRequest) -> PeerAnswer {
    let value = |kind| {
        let stored = state.held(kind);
        state.counters.served(stored.as_ref().map_or(0, |stored| stored.value.len()));
        PeerAnswer::Value(stored)
    };
    match request {
        PeerRequest::Configuration => value(ValueKind::Configuration),
        PeerRequest::VmList => value(ValueKind::VmList),
        PeerRequest::Rows(rows) => PeerAnswer::Rows(state.exchange_rows(&rows)),
    }
}

fn hear_entry(state: &State, mut reader: BufReader<TcpStream>) -> io::Result<()> {
    reader.get_ref().set_read_timeout(Some(ENTRY_SILENCE_MAX))?;
    loop {
        state.entry_told(Some(codec::read_frame(&mut reader)?));
    }
}

/// What a stream was told last.
#[derive(Default)]
struct Told {
    configuration: Stamp,
    vm_list: Stamp,
    members: Vec<MemberRow>,
}

/// Tells a stream what changes, until it breaks.
fn feed(state: &State, mut stream: TcpStream) -> io::Result<()> {
    let mut told = Told::default();
    let mut beat_at = Instant::now();
    loop {
        let updates = updates(state, &mut told);
        for update in &updates {
            codec::write_frame(&mut stream, update)?;
        }
        if !updates.is_empty() {
            beat_at = Instant::now();
        } else if beat_at.elapsed() >= BEAT {
            codec::write_frame(&mut stream, &FeedUpdate::Beat)?;
            beat_at = Instant::now();
        }
        thread::sleep(MEMBERS_INTERVAL / 10);
    }
}

fn updates(state: &State, told: &mut Told) -> Vec<FeedUpdate> {
    let core = state.wait(MEMBERS_INTERVAL);
    let configuration = core.newer_configuration(told.configuration);
    let vm_list = core.newer_vm_list(told.vm_list);
    let members: Vec<_> = core.membership.rows().cloned().collect();
    drop(core);
    let mut updates = Vec::new();
    if members != told.members {
        told.members.clone_from(&members);
        updates.push(FeedUpdate::Members(members));
    }
    if let Some(stored) = configuration {
        told.configuration = stored.stamp;
        updates.push(FeedUpdate::Configuration(stored));
    }
    if let Some(stored) = vm_list {
        told.vm_list = stored.stamp;
        updates.extend(serde_json::from_slice(&stored.value).ok().map(FeedUpdate::VmList));
    }
    updates
}
