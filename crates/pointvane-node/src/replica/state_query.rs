//! Queries between nodes for platform state, over TCP: one request frame, and one or two response frames.
//!
//! The state in a response is compressed. A full state is encoded once for all nodes that request it at the
//! same time, and not at all for those that are rejected: when hundreds of nodes start together, each would
//! otherwise cost the memory and CPU time of a further encoding.

use {
    crate::{
        cross_traffic::{CrossTraffic, TrafficKind},
        node::Node,
        replica::platform_state::AnswerPermit,
        socket,
    },
    pointvane_core::{Change, PlatformAdapter, RoutingConfiguration, RoutingDelta},
    pointvane_dispatch::{
        KnownState, PeerQuery, ReadMark, StateOffer, StateReply, StateRequest, fits_reply_limit,
    },
    pointvane_mesh::codec,
    serde::Serialize,
    std::{io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{JoinSet, spawn_local},
        time::timeout,
    },
};

/// Maximum time to send a response: longer than the other node spends reading it.
const SEND_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time to wait for the request of another node: longer than the other node waits for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which a node without state holds the query of another node without state before it
/// declines.
///
/// When all nodes start at once, the waiting ones receive the state as soon as it is available, without
/// repeated queries.
const FIRST_STATE_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time between two chunks of a message: TCP retransmits a lost segment after 200 ms, and again after
/// a further 400 ms.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(650);
/// Maximum time to read a response: enough for 1.9 MB at 10 Mbit/s. After `catch_up_ms` the platform is
/// called concurrently.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of response bytes read at once.
const READ_CHUNK_BYTES: usize = 65_536;

impl<A: PlatformAdapter> KnownState for Node<A> {
    fn entries(&self) -> Vec<Change> {
        self.dispatcher.pool().listed_changes().collect()
    }

    fn configuration(&self) -> RoutingConfiguration {
        self.dispatcher.routes().configuration()
    }

    fn configuration_since(&self, version: u64) -> Option<Vec<RoutingDelta>> {
        self.dispatcher.configuration_since(version)
    }
}

/// The reason why a query returned no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// No other node is known.
    NoPeer,
    /// No connection could be opened in time.
    Unreachable,
    /// No response arrived in time, or it was truncated.
    NoAnswer,
    /// The other node has no newer state.
    NothingNewer,
    /// The other node has no state yet and is reading the platform.
    Reading,
}

impl QueryError {
    /// The value of the label `reason` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoPeer => "no-peer",
            Self::Unreachable => "unreachable",
            Self::NoAnswer => "no-answer",
            Self::NothingNewer => "nothing-newer",
            Self::Reading => "reading",
        }
    }
}

/// Serves queries of other nodes until the process ends.
pub async fn serve<A: PlatformAdapter + 'static>(node: Rc<Node<A>>, listener: TcpListener) {
    loop {
        // The peer detects a connection that fails before it is accepted.
        if let Ok((stream, _)) = listener.accept().await {
            let node = Rc::clone(&node);
            // Errors are ignored: the other node queries another peer if it gets no response.
            spawn_local(async move { answer(&node, stream).await });
        }
    }
}

async fn answer<A: PlatformAdapter>(node: &Node<A>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let request: StateRequest = {
        let bytes = timeout(REQUEST_TIMEOUT, read_frame(&mut stream)).await??;
        count_traffic(node, &stream, |traffic| traffic.received(TrafficKind::StateQuery, bytes.len()));
        codec::decode(&bytes).map_err(io::Error::other)?
    };
    if request.known == ReadMark::default() && !node.has_platform_state() {
        node.platform.wait_for_first_state(FIRST_STATE_TIMEOUT).await;
    }
    let (offer, frame, _permit) = match prepare_answer(node, &request) {
        Some(PreparedAnswer { age_ms, frame, permit }) => {
            (StateOffer::State { age_ms }, Some(frame), Some(permit))
        }
        None if node.platform.state().is_reading() => (StateOffer::Reading, None, None),
        None => (StateOffer::Nothing, None, None),
    };
    let answer_bytes = frame.as_ref().map_or(0, |frame| frame.len());
    timeout(SEND_TIMEOUT, send_answer(&mut stream, offer, frame)).await??;
    count_traffic(node, &stream, |traffic| traffic.sent(TrafficKind::StateQuery, answer_bytes));
    // Closing the socket while the peer's end of stream is unread would reset it and truncate the response.
    stream.shutdown().await
}

/// Counts a message if the other end of the stream belongs to another data centre.
fn count_traffic<A: PlatformAdapter>(node: &Node<A>, stream: &TcpStream, count: impl FnOnce(&CrossTraffic)) {
    let peer = stream.peer_addr();
    if peer.is_ok_and(|peer| node.fleet.is_in_other_data_centre(peer.ip())) {
        count(&node.report.cross_traffic);
    }
}

/// A response that is ready to be sent.
struct PreparedAnswer<'s> {
    age_ms: u64,
    frame: Rc<Vec<u8>>,
    permit: AnswerPermit<'s>,
}

/// Prepares the response to a query. Returns `None` if this node has no newer state, is at its limit of
/// concurrent full states, or the response would be too long.
fn prepare_answer<'n, A: PlatformAdapter>(
    node: &'n Node<A>,
    request: &StateRequest,
) -> Option<PreparedAnswer<'n>> {
    let now_us = node.now_us();
    let age_ms = node.platform.state().newer_age_ms(request, now_us)?;
    let is_full = node.platform.state().answers_with_full_state(request);
    let permit = node.platform.begin_answer(is_full)?;
    let shared = || node.platform.shared_answer(request.known);
    let encoded = || {
        let reply = node.platform.state().answer(request, node, now_us)?;
        // A response that exceeds the frame size is not sent.
        let frame = Rc::new(codec::compressed_frame(&reply).ok()?);
        if is_full {
            node.platform.share_answer(request.known, &frame);
        }
        Some(frame)
    };
    let frame = shared().or_else(encoded).filter(|frame| fits_reply_limit(frame.len()))?;
    Some(PreparedAnswer { age_ms, frame, permit })
}

async fn send_answer(
    stream: &mut TcpStream,
    offer: StateOffer,
    frame: Option<Rc<Vec<u8>>>,
) -> io::Result<()> {
    write_frame(stream, &offer).await?;
    match frame {
        Some(frame) => stream.write_all(&frame).await,
        None => Ok(()),
    }
}

/// Queries the first of `peers` that can be reached.
///
/// The first byte of the response must arrive within the query's time-out. The rest may take up to
/// [`TRANSFER_TIMEOUT`] while it makes progress.
///
/// # Errors
/// Returns a [`QueryError`] if the peer cannot be reached, does not respond in time or has no newer state.
pub async fn query_first(
    peers: &[SocketAddr],
    query: &PeerQuery,
) -> Result<(SocketAddr, StateReply), QueryError> {
    let (peer, stream) = connect_first(peers, query).await.ok_or(QueryError::Unreachable)?;
    Ok((peer, query_over(stream, query).await?))
}

/// The first connection that opens, with the address of its peer; `None` if none opens within the query's
/// time-out.
async fn connect_first(peers: &[SocketAddr], query: &PeerQuery) -> Option<(SocketAddr, TcpStream)> {
    let connect_timeout = Duration::from_millis(query.connect_timeout_ms);
    let mut connections = JoinSet::new();
    for peer in peers.iter().copied() {
        connections.spawn_local(async move { (peer, socket::connect(peer, connect_timeout).await) });
    }
    while let Some(connected) = connections.join_next().await {
        // The reason for a failed connection is not needed: the next peer is used, or the query fails as
        // unreachable.
        if let Ok((peer, Ok(stream))) = connected {
            return Some((peer, stream));
        }
    }
    None
}

async fn query_over(mut stream: TcpStream, query: &PeerQuery) -> Result<StateReply, QueryError> {
    let first_byte_timeout = Duration::from_millis(query.timeout_ms);
    let reply = timeout(TRANSFER_TIMEOUT, exchange(&mut stream, &query.request, first_byte_timeout)).await;
    reply.map_err(|_| QueryError::NoAnswer)?.map_err(|_| QueryError::NoAnswer)?
}

async fn exchange(
    stream: &mut TcpStream,
    request: &StateRequest,
    first_byte_timeout: Duration,
) -> io::Result<Result<StateReply, QueryError>> {
    write_frame(stream, request).await?;
    timeout(first_byte_timeout, stream.readable()).await??;
    let age_ms = match codec::decode(&read_frame(stream).await?).map_err(io::Error::other)? {
        StateOffer::Nothing => return Ok(Err(QueryError::NothingNewer)),
        StateOffer::Reading => return Ok(Err(QueryError::Reading)),
        StateOffer::State { age_ms } => age_ms,
    };
    let reply: StateReply = codec::decode_compressed(&read_frame(stream).await?).map_err(io::Error::other)?;
    // The frame may have been encoded earlier for another node, so its age is sent separately.
    Ok(Ok(reply.with_age(age_ms)))
}

async fn write_frame<T: Serialize>(stream: &mut TcpStream, message: &T) -> io::Result<()> {
    let frame = codec::encode_frame(message).map_err(io::Error::other)?;
    stream.write_all(&frame).await
}

/// Reads the bytes of a frame. Fails if no bytes arrive for [`PROGRESS_TIMEOUT`].
async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut length_prefix = [0; 4];
    timeout(PROGRESS_TIMEOUT, stream.read_exact(&mut length_prefix)).await??;
    let length = codec::frame_length(length_prefix).map_err(io::Error::other)?;
    let mut frame = stream.take(length as u64);
    let mut bytes = Vec::new();
    while bytes.len() < length {
        bytes.reserve(READ_CHUNK_BYTES.min(length - bytes.len()));
        if timeout(PROGRESS_TIMEOUT, frame.read_buf(&mut bytes)).await?? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(bytes)
}
