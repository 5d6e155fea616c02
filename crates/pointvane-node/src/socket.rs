//! Sockets that notice a dead peer.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_500);

/// Opens a connection that breaks soon after its peer is gone.
///
/// # Errors
/// Those of the connection, or a time-out.
pub async fn connect(address: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
    let stream = timeout(patience, TcpStream::connect(address)).await??;
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
