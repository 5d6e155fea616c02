//! TCP sockets that detect dead peers: a machine that has failed sends neither FIN nor RST.
//!
//! An idle connection fails 3 s after the last byte that was received, with the third keepalive probe due. A
//! connection that was opened here and has unacknowledged data fails at the first retransmission after 2.5 s.
//! The kernel applies that limit to peers that acknowledge and only stop reading, too. So it holds only while no
//! more is sent than a receive buffer takes: callers, and nodes that forward their requests, are exempt from it,
//! and an upstream is as soon as it is sent a long body ([`accept_slow_reading`]). Limits on writes take its
//! place there.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::{
        net::{TcpSocket, TcpStream},
        time::timeout,
    },
};

/// Idle time before the first TCP keepalive probe: the minimum that the kernel accepts.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keepalive probes: the minimum that the kernel accepts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Maximum time for which sent data may remain unacknowledged (`TCP_USER_TIMEOUT`).
///
/// Linux lets it decide when keepalive gives up as well, in place of [`KEEPALIVE_RETRIES`]. It ends between the
/// last probe and the time at which the connection is closed, so that both give the same time, with a margin
/// for late timers on either side.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_500);
const _: () = {
    let close_ms = KEEPALIVE_IDLE.as_millis() + KEEPALIVE_INTERVAL.as_millis() * KEEPALIVE_RETRIES as u128;
    let last_probe_ms = close_ms - KEEPALIVE_INTERVAL.as_millis();
    let user_timeout_ms = UNACKNOWLEDGED_MAX.as_millis();
    assert!(last_probe_ms < user_timeout_ms && user_timeout_ms < close_ms);
};

/// Opens a connection that fails within seconds after its peer has died.
///
/// # Errors
/// Fails if the connection cannot be opened within `connect_timeout`.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    connect_from(None, address, connect_timeout).await
}

/// Opens a connection as [`connect`] does, from a local address if one is given.
///
/// # Errors
/// Fails if the connection cannot be opened within `connect_timeout`, or not from `source_ip`.
pub async fn connect_from(
    source_ip: Option<IpAddr>,
    address: SocketAddr,
    connect_timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    if let Some(source_ip) = source_ip {
        socket.bind(SocketAddr::new(source_ip, 0))?;
    }
    let stream = timeout(connect_timeout, socket.connect(address)).await??;
    enable_keepalive(&stream)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    Ok(stream)
}

/// Exempts a connection from the limit on unacknowledged data: its peer may read slowly.
///
/// # Errors
/// Fails if the socket option cannot be set.
pub fn accept_slow_reading(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(None)
}

/// Configures a connection to fail within seconds after its peer has died while it is idle, and disables Nagle's
/// algorithm.
///
/// # Errors
/// Fails if a socket option cannot be set.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}
