//! Waits for the head of an answer, and a little longer if the attempt is abandoned: what the upstream says of itself when it turns the request
//! away would be lost with the connection. For how long: [`SentRequest`].

use {
    crate::{
        connections::{Connection, SendError},
        head_notices::HeadNotices,
        notice_recorder::NoticeRecorder,
        request_body::RequestBody,
    },
    hyper::{Request, Response, body::Incoming},
    pointvane_core::SentRequest,
    std::{
        future::Future,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{runtime::Handle, time::timeout},
};

/// What came of a send, and the connection that it came on.
type Sent = (Connection, Result<Response<Incoming>, SendError>);

/// Sends a request, due at `answer_by_us`, and waits for the head of its answer.
pub fn send(
    mut connection: Connection,
    request: Request<RequestBody>,
    recorder: NoticeRecorder,
    answer_by_us: u64,
) -> AnswerWait<impl Future<Output = Sent> + Send + 'static> {
    let sent_at_us = recorder.service.now_us();
    let round_trip_us = connection.round_trip().as_micros() as u64;
    let sending = async move {
        let answer = connection.send(request).await;
        (connection, answer)
    };
    let times = SentRequest { sent_at_us, answer_by_us, round_trip_us };
    AnswerWait { sending: Some(Box::pin(sending)), recorder, times }
}

/// The wait for the head of an answer; dropped before it came, it goes on by itself for a while.
pub struct AnswerWait<F: Future<Output = Sent> + Send + 'static> {
    /// None once the head has come.
    sending: Option<Pin<Box<F>>>,
    recorder: NoticeRecorder,
    times: SentRequest,
}

impl<F: Future<Output = Sent> + Send + 'static> Future for AnswerWait<F> {
    type Output = Sent;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Sent> {
        let Some(sending) = &mut self.sending else { return Poll::Pending };
        let sent = sending.as_mut().poll(cx);
        if sent.is_ready() {
            self.sending = None;
        }
        sent
    }
}

impl<F: Future<Output = Sent> + Send + 'static> Drop for AnswerWait<F> {
    fn drop(&mut self) {
        // Without a runtime the process is ending, and nothing is sent any more.
        let (Some(sending), Ok(runtime)) = (self.sending.take(), Handle::try_current()) else { return };
        let now_us = self.recorder.service.now_us();
        let heeded_for = Duration::from_micros(self.times.heeded_until_us(now_us).saturating_sub(now_us));
        let recorder = self.recorder.clone();
        runtime.spawn(async move {
            if let Ok((_, Ok(answer))) = timeout(heeded_for, sending).await {
                recorder.heed(HeadNotices::of(&answer));
            }
        });
    }
}
