//! What a sender of requests makes of the bytes that an upstream sends and of the end of its connection.

use {
    bytes::Bytes,
    googletest::prelude::*,
    http_body_util::BodyExt,
    hyper::{
        Request,
        body::{Body, Frame},
        client::conn::http1::Builder,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
    pointvane_serve::{CheckedResponse, RequestSender, ResponseFault, SendError},
    std::{
        convert::Infallible,
        future::Future,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
        runtime,
    },
};

/// Longer than all that is sent.
const BUFFER_BYTES: usize = 64 << 10;
const LENGTH: &str = "content-length: 3\r\n";
const LONGER_LENGTH: &str = "content-length: 300\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";
const HELLO_IN_CHUNKS: &str = "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";

/// The body of a request.
#[derive(Debug)]
enum RequestBody {
    Empty,
    Unending,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        if self.is_end_stream() { Poll::Ready(None) } else { Poll::Pending }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty)
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}

async fn connect() -> (RequestSender<RequestBody>, DuplexStream) {
    let (client, upstream) = duplex(BUFFER_BYTES);
    let (sender, driver) = RequestSender::start(&Builder::new(), client).await.unwrap();
    tokio::spawn(driver);
    (sender, upstream)
}

/// Sends a request, lets the upstream respond with these bytes once it has read the head, and then end the connection.
async fn exchange(
    body: RequestBody,
    response: String,
) -> std::result::Result<CheckedResponse, SendError<RequestBody>> {
    let (mut sender, mut upstream) = connect().await;
    tokio::spawn(async move {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(upstream.read_u8().await.unwrap());
        }
        upstream.write_all(response.as_bytes()).await.unwrap();
        upstream.shutdown().await.unwrap();
        // Held open for reading, as by an upstream that reads on.
        _ = upstream.read_to_end(&mut Vec::new()).await;
    });
    sender.send(Request::post("/").body(body).unwrap()).await
}

/// Guards against a length beside chunks that shortens the body, or reaches the caller (MIXED).
#[gtest]
fn chunks_beside_a_length_are_read_whole_in_both_orders() {
    for lines in [
        [LENGTH, CHUNKED].concat(),
        [CHUNKED, LENGTH].concat(),
        [LONGER_LENGTH, CHUNKED].concat(),
        [CHUNKED, LONGER_LENGTH].concat(),
    ] {
        run(async {
            let head = format!("HTTP/1.1 200 OK\r\n{lines}\r\n{HELLO_IN_CHUNKS}");
            let CheckedResponse { response, framed } = exchange(RequestBody::Empty, head).await.unwrap();
            expect_that!(framed.repaired, some(eq(ResponseFault::TwoLengths)), "{lines}");
            expect_that!(response.headers().get(CONTENT_LENGTH), none(), "{lines}");
            expect_that!(response.headers().get(TRANSFER_ENCODING), none(), "{lines}");
            let body = response.into_body().collect().await.unwrap().to_bytes();
            expect_that!(&body[..], eq(b"hello"), "{lines}");
        });
    }
}

/// Guards against a part of a body that looks whole since its upstream ended the connection with the request unread.
#[gtest]
fn the_end_of_the_connection_is_not_that_of_a_body_while_the_request_is_sent() {
    for part in ["", "hel"] {
        let response = format!("HTTP/1.1 200 OK\r\n\r\n{part}");
        run(async {
            let received = exchange(RequestBody::Unending, response).await.unwrap();
            let error = received.response.into_body().collect().await.unwrap_err();
            expect_that!(ResponseFault::of_body_error(&error), eq(ResponseFault::EndedBeforeRequest));
        });
    }
}

/// Guards against the opposite: a whole body without a length that is refused.
#[gtest]
fn the_end_of_the_connection_is_that_of_a_body_once_the_request_was_sent() {
    run(async {
        let received = exchange(RequestBody::Empty, "HTTP/1.1 200 OK\r\n\r\nhello".into()).await.unwrap();
        let body = received.response.into_body().collect().await.unwrap().to_bytes();
        expect_that!(&body[..], eq(b"hello"));
    });
}

/// Guards against a request that counts as sent although its connection had ended before.
#[gtest]
fn a_request_on_a_connection_that_has_ended_is_returned_unsent() {
    run(async {
        let (mut sender, upstream) = connect().await;
        drop(upstream);
        let sent = sender.send(Request::post("/").body(RequestBody::Unending).unwrap()).await;
        expect_that!(matches!(sent, Err(SendError::Unsent(_))), eq(true));
    });
}
