//! The node's client for the platform: one kept connection, one call at a time.
//!
//! Owns the connection. Formats of calls and answers are the adapter's; when to call is decided by
//! [`pointvane_dispatch::PlatformReader`].

use {
    crate::{body::gather, connections::RelayBody, socket},
    bytes::Bytes,
    hyper::{
        Request, StatusCode,
        client::conn::http1::{self, SendRequest},
        header::HOST,
    },
    hyper_util::rt::TokioIo,
    pointvane_dispatch::CallFailure,
    std::{net::SocketAddr, time::Duration},
    tokio::{task::spawn_local, time::timeout},
};

/// Longest time for a new connection. Not measured: as long as an answer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest answer that is read, in bytes. Not measured: it bounds memory.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// The client; a connection on which a call failed is not used again.
///
/// Failures are told by kind only: the reader treats all of a kind alike, and the time line shows when the platform is lost
/// and back.
#[derive(Debug, Default)]
pub struct PlatformClient {
    connection: Option<SendRequest<RelayBody>>,
}

impl PlatformClient {
    /// Calls the platform; gives the body of its answer.
    ///
    /// # Errors
    /// A [`CallFailure`] when there is no usable answer within the time-out.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        target: &str,
        call_timeout: Duration,
    ) -> Result<Bytes, CallFailure> {
        let mut sender = match self.connection.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => open(address).await?,
        };
        let request = Request::get(target).header(HOST, address.to_string());
        // The target comes from the adapter; one that is no URI is as bad as an answer that cannot be understood.
        let request = request.body(RelayBody::whole(Bytes::new())).map_err(|_| CallFailure::Malformed)?;
        let exchange = async {
            let (head, body) = sender.send_request(request).await?.into_parts();
            Ok::<_, hyper::Error>((head.status, gather(body, ANSWER_MAX_BYTES).await?))
        };
        let answer = timeout(call_timeout, exchange).await.map_err(|_| CallFailure::Unavailable)?;
        let (status, gathered) = answer.map_err(|_| CallFailure::Unavailable)?;
        if gathered.rest.is_some() {
            return Err(CallFailure::Malformed);
        }
        self.connection = Some(sender);
        match status {
            StatusCode::OK => Ok(gathered.bytes),
            StatusCode::GONE => Err(CallFailure::HistoryGone),
            _ => Err(CallFailure::Unavailable),
        }
    }

    /// Closes the connection: an answer may be under way on it, or lost.
    pub fn close(&mut self) {
        self.connection = None;
    }
}

async fn open(address: SocketAddr) -> Result<SendRequest<RelayBody>, CallFailure> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await.map_err(|_| CallFailure::Unavailable)?;
    let opened = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = opened.map_err(|_| CallFailure::Unavailable)?;
    spawn_local(driver);
    Ok(sender)
}
