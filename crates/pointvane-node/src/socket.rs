//! TCP sockets that notice a dead peer: a machine that is gone sends no end of the connection.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Idle time after which the kernel probes the peer: the shortest that it takes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two of these probes: the shortest that the kernel takes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection breaks. Not measured.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged. Not measured.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_500);

/// Opens a connection that breaks soon after its peer is gone.
///
/// # Errors
/// Those of the connection, or a time-out.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await??;
    watch_peer(&stream)?;
    Ok(stream)
}

/// Makes a connection break soon after its peer is gone.
///
/// # Errors
/// Those of the socket.
pub fn watch_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
