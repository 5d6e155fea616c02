//! Queries of nodes to each other for what they know of the platform, over TCP: one frame each way.

use {
    crate::{node::Node, socket},
    pointvane_core::{PlatformAdapter, RoutingConfiguration, UpstreamRecord},
    pointvane_dispatch::{KnownState, StateReply, StateRequest},
    pointvane_mesh::codec,
    serde::{Serialize, de::DeserializeOwned},
    std::{io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{Instant, timeout, timeout_at},
    },
};

/// Longest time that an exchange may take. Not measured: several times as long as the other node waits.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

impl<A: PlatformAdapter> KnownState for Node<A> {
    fn upstreams(&self) -> Vec<UpstreamRecord> {
        self.dispatcher.pool().records().cloned().collect()
    }

    fn configuration(&self) -> RoutingConfiguration {
        self.dispatcher.routes().configuration()
    }
}

/// Why a query gave no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// No other node is known.
    NoPeer,
    /// No connection came up in time.
    Unreachable,
    /// No answer came in time, or it broke off.
    NoAnswer,
    /// The other node knows no more.
    NothingNewer,
}

impl QueryError {
    /// The value of the label `reason` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoPeer => "no-peer",
            Self::Unreachable => "unreachable",
            Self::NoAnswer => "no-answer",
            Self::NothingNewer => "nothing-newer",
        }
    }
}

/// Answers other nodes for as long as the process lives.
pub async fn serve<A: PlatformAdapter + 'static>(node: Rc<Node<A>>, listener: TcpListener) {
    loop {
        // A connection that breaks before it is accepted is its opener's to notice.
        if let Ok((stream, _)) = listener.accept().await {
            let node = Rc::clone(&node);
            // The other node goes elsewhere when it gets no answer.
            spawn_local(async move { timeout(EXCHANGE_TIMEOUT, answer(&node, stream)).await });
        }
    }
}

async fn answer<A: PlatformAdapter>(node: &Node<A>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let request: StateRequest = read_frame(&mut stream).await?;
    let reply = node.platform.state().answer(&request, node, node.now_us());
    write_frame(&mut stream, &reply).await?;
    // Closing the socket with its end unread would reset it and cut the answer off.
    stream.shutdown().await
}

/// Queries another node.
///
/// # Errors
/// A [`QueryError`] when it gives nothing newer within the time-out.
pub async fn query(
    peer: SocketAddr,
    request: &StateRequest,
    query_timeout: Duration,
) -> Result<StateReply, QueryError> {
    let deadline = Instant::now() + query_timeout;
    let stream = socket::connect(peer, query_timeout).await.map_err(|_| QueryError::Unreachable)?;
    let reply = timeout_at(deadline, exchange(stream, request)).await;
    let reply = reply.map_err(|_| QueryError::NoAnswer)?.map_err(|_| QueryError::NoAnswer)?;
    reply.ok_or(QueryError::NothingNewer)
}

async fn exchange(mut stream: TcpStream, request: &StateRequest) -> io::Result<Option<StateReply>> {
    write_frame(&mut stream, request).await?;
    read_frame(&mut stream).await
}

async fn write_frame<T: Serialize>(stream: &mut TcpStream, message: &T) -> io::Result<()> {
    let frame = codec::frame(message).map_err(io::Error::other)?;
    stream.write_all(&frame).await
}

async fn read_frame<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let mut first = [0; 4];
    stream.read_exact(&mut first).await?;
    let length = codec::frame_length(first).map_err(io::Error::other)?;
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    codec::decode(&bytes).map_err(io::Error::other)
}
