//! Serves connections from this VM's entry and locate processes and from other control processes.

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

/// Timeout for the first message on a stream, and for each write.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of streams served at once; further ones are closed without an answer.
const STREAMS_MAX: usize = 256;
/// Interval of heartbeats on a feed without updates: a quarter of the 4 s without data after which
/// `pointvane-feed` closes the stream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum wait for a change before a feed compares its state again; a tenth of it passes between two
/// comparisons.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for reports of the entry, which sends ten per second; an entry without reports is taken as
/// stopped.
const ENTRY_REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, such as one that failed for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts streams for the lifetime of the process.
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
            // The peer of a broken stream reconnects.
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
            codec::write_frame(&mut stream, &answer_request(state, request))
        }
        FeedRole::Locate => send_feed(state, stream),
        FeedRole::Entry => thread::scope(|scope| {
            let feed_stream = stream.try_clone()?;
            scope.spawn(move || send_feed(state, feed_stream));
            let result = read_entry_reports(state, reader);
            state.set_entry_report(None);
            stream.shutdown(std::net::Shutdown::Both)?;
            result
        }),
    }
}

fn answer_request(state: &State, request: PeerRequest) -> PeerAnswer {
    let value = |kind| {
        let stamped = state.current(kind);
        state.counters.record_served(stamped.as_ref().map_or(0, |stamped| stamped.value.len()));
        PeerAnswer::Value(stamped)
    };
    match request {
        PeerRequest::Configuration => value(ValueKind::Configuration),
        PeerRequest::VmList => value(ValueKind::VmList),
        PeerRequest::Rows(rows) => PeerAnswer::Rows(state.exchange_rows(&rows)),
    }
}

fn read_entry_reports(state: &State, mut reader: BufReader<TcpStream>) -> io::Result<()> {
    reader.get_ref().set_read_timeout(Some(ENTRY_REPORT_TIMEOUT))?;
    loop {
        state.set_entry_report(Some(codec::read_frame(&mut reader)?));
    }
}

/// State last sent on a feed.
#[derive(Default)]
struct SentState {
    configuration: Stamp,
    vm_list: Stamp,
    members: Vec<MemberRow>,
}

/// Sends changes and heartbeats on a stream until it breaks.
fn send_feed(state: &State, mut stream: TcpStream) -> io::Result<()> {
    let mut sent = SentState::default();
    let mut last_sent_at = Instant::now();
    loop {
        let updates = pending_updates(state, &mut sent);
        for update in &updates {
            codec::write_frame(&mut stream, update)?;
        }
        if !updates.is_empty() {
            last_sent_at = Instant::now();
        } else if last_sent_at.elapsed() >= HEARTBEAT_INTERVAL {
            codec::write_frame(&mut stream, &FeedUpdate::Beat)?;
            last_sent_at = Instant::now();
        }
        thread::sleep(FEED_POLL_INTERVAL / 10);
    }
}

fn pending_updates(state: &State, sent: &mut SentState) -> Vec<FeedUpdate> {
    let inner = state.wait_for_change(FEED_POLL_INTERVAL);
    let configuration = inner.newer_configuration(sent.configuration);
    let vm_list = inner.newer_vm_list(sent.vm_list);
    let members: Vec<_> = inner.membership.rows().cloned().collect();
    drop(inner);
    let mut updates = Vec::new();
    if members != sent.members {
        sent.members.clone_from(&members);
        updates.push(FeedUpdate::Members(members));
    }
    if let Some(stamped) = configuration {
        sent.configuration = stamped.stamp;
        updates.push(FeedUpdate::Configuration(stamped));
    }
    if let Some(stamped) = vm_list {
        sent.vm_list = stamped.stamp;
        updates.extend(serde_json::from_slice(&stamped.value).ok().map(FeedUpdate::VmList));
    }
    updates
}
