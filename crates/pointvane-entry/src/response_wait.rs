//! Future that waits for the head of a response, and goes on reading for a short time after it is dropped.
//!
//! An upstream that rejects a request reports its load, back-off and limit in the response head. Closing the
//! connection as soon as the attempt is abandoned would lose them. [`SentRequest`] computes how long to wait.

use {
    crate::{
        connection_pool::Connection, notice_recorder::NoticeRecorder, request_body::RequestBody,
        upstream_notices::UpstreamNotices,
    },
    hyper::{Request, Response},
    pointvane_core::SentRequest,
    pointvane_serve::{CheckedBody, SendError},
    std::{
        future::Future,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{runtime::Handle, time::timeout},
};

/// Result of a send, with the connection that it was made on.
type SendResult = (Connection, Result<Response<CheckedBody>, SendError<RequestBody>>);

/// Sends a request with the deadline `answer_deadline_us`, and returns a future for the head of the response.
///
/// `answer_deadline_us` is in microseconds on the clock of the recorder's service.
pub fn send(
    mut connection: Connection,
    request: Request<RequestBody>,
    recorder: NoticeRecorder,
    answer_deadline_us: u64,
) -> ResponseWait<impl Future<Output = SendResult> + Send + 'static> {
    let sent_at_us = recorder.service.now_us();
    let round_trip_us = connection.round_trip().as_micros() as u64;
    let exchange = async move {
        let response = connection.send(request).await;
        (connection, response)
    };
    let timing = SentRequest { sent_at_us, answer_deadline_us, round_trip_us };
    ResponseWait { exchange: Some(Box::pin(exchange)), recorder, timing }
}

/// Future for the head of a response. If dropped before it completes, a background task waits for the head
/// for a bounded time and records its notices.
pub struct ResponseWait<F: Future<Output = SendResult> + Send + 'static> {
    /// `None` once the head has been received.
    exchange: Option<Pin<Box<F>>>,
    recorder: NoticeRecorder,
    timing: SentRequest,
}

impl<F: Future<Output = SendResult> + Send + 'static> Future for ResponseWait<F> {
    type Output = SendResult;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<SendResult> {
        let Some(exchange) = &mut self.exchange else { return Poll::Pending };
        let result = exchange.as_mut().poll(cx);
        if result.is_ready() {
            self.exchange = None;
        }
        result
    }
}

impl<F: Future<Output = SendResult> + Send + 'static> Drop for ResponseWait<F> {
    fn drop(&mut self) {
        // Without a runtime the process is exiting, and nothing more is sent.
        let (Some(exchange), Ok(runtime)) = (self.exchange.take(), Handle::try_current()) else { return };
        let now_us = self.recorder.service.now_us();
        let notice_timeout =
            Duration::from_micros(self.timing.await_head_until_us(now_us).saturating_sub(now_us));
        let recorder = self.recorder.clone();
        runtime.spawn(async move {
            if let Ok((_, Ok(response))) = timeout(notice_timeout, exchange).await {
                recorder.record(UpstreamNotices::from_response(&response));
            }
        });
    }
}
