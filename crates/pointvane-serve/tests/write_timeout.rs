//! Connections whose peer takes no bytes.

use {
    googletest::prelude::*,
    pointvane_serve::lend,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Builder,
        time::{Instant, sleep},
    },
};

/// Longer than this process is likely to be suspended on a busy machine.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// More than the buffers of the kernel hold.
const LONG_BYTES: usize = 32_000_000;
/// Time between two reads of a slow peer.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes that a slow peer reads at once: it needs longer than the timeout for all.
const READ_BYTES: usize = 2_000_000;

fn run<T>(future: impl Future<Output = T>) -> T {
    Builder::new_current_thread().enable_all().build().unwrap().block_on(future)
}

async fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (stream, listener.accept().await.unwrap().0)
}

/// Guards against a peer that never reads and holds its connection for ever.
#[gtest]
fn a_write_fails_once_its_peer_has_taken_no_bytes_for_the_timeout() {
    run(async {
        let (stream, _peer) = connected().await;
        let (mut stream, _lender) = lend(stream, Some(WRITE_TIMEOUT));
        let started_at = Instant::now();
        let error = stream.write_all(&vec![0; LONG_BYTES]).await.unwrap_err();
        expect_that!(error.kind(), eq(io::ErrorKind::TimedOut));
        expect_that!(started_at.elapsed(), ge(WRITE_TIMEOUT));
    });
}

/// Guards against a slow reader being cut off although it takes bytes again and again.
#[gtest]
fn a_write_to_a_peer_that_reads_slowly_may_take_longer_than_the_timeout() {
    run(async {
        let (stream, mut peer) = connected().await;
        let (mut stream, _lender) = lend(stream, Some(WRITE_TIMEOUT));
        let reading = async {
            let mut read_bytes = 0;
            let mut buffer = vec![0; READ_BYTES];
            while read_bytes < LONG_BYTES {
                sleep(READ_INTERVAL).await;
                let length = READ_BYTES.min(LONG_BYTES - read_bytes);
                read_bytes += peer.read_exact(&mut buffer[..length]).await.unwrap();
            }
        };
        let (written, ()) = tokio::join!(
            async {
                let bytes = vec![0; LONG_BYTES];
                stream.write_all(&bytes).await
            },
            reading
        );
        expect_that!(written, ok(anything()));
    });
}
