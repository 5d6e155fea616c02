//! Waits for the head of a response on behalf of an attempt, and a little longer if the attempt is abandoned.
//!
//! A hedge that lost, or an attempt whose caller left or whose deadline passed, is dropped with its
//! connection, which cancels it at its upstream. A notice in a refusal that arrives at that moment would be
//! lost: an upstream that asked for a pause of 2.96 s in its response to a hedge, just when the first attempt
//! was answered, got 64 more requests; one that asked for a pause when a request expired in its queue got 151
//! to 160 requests in 1.5 s (tested in `standins/tests/backing_off.rs`). [`SentRequest`] bounds the extra
//! wait.

use {
    crate::{
        connections::{Connection, RelayBody},
        node::Node,
    },
    hyper::{Request, Response, header::HeaderValue},
    pointvane_core::{PlatformAdapter, SentRequest},
    pointvane_dispatch::UpstreamKey,
    pointvane_serve::{CheckedBody, SendError},
    std::{rc::Rc, time::Duration},
    tokio::{sync::oneshot, task::spawn_local, time::timeout},
};

/// The response that an attempt waits for.
#[derive(Clone, Debug)]
pub struct AwaitedAnswer {
    /// The upstream that the request is sent to.
    pub key: UpstreamKey,
    /// The request id, which the response must repeat.
    pub id: Option<HeaderValue>,
    /// Deadline of the request, in microseconds of the monotonic clock.
    pub answer_deadline_us: u64,
}

/// Result of a send, with its connection.
pub type SendResult = (Connection, Result<Response<CheckedBody>, SendError<RelayBody>>);

/// Sends a request and waits for the head of its response; none if the waiting task ended first, as at
/// process exit.
pub async fn send<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    connection: Connection,
    request: Request<RelayBody>,
    awaited: AwaitedAnswer,
) -> Option<SendResult> {
    let (attempt, sent) = oneshot::channel();
    let round_trip_us = connection.round_trip().as_micros() as u64;
    let times = SentRequest {
        sent_at_us: node.now_us(),
        answer_deadline_us: awaited.answer_deadline_us,
        round_trip_us,
    };
    spawn_local(wait(Rc::clone(node), connection, request, awaited, times, attempt));
    sent.await.ok()
}

async fn wait<A: PlatformAdapter>(
    node: Rc<Node<A>>,
    mut connection: Connection,
    request: Request<RelayBody>,
    awaited: AwaitedAnswer,
    times: SentRequest,
    mut attempt: oneshot::Sender<SendResult>,
) {
    let sending = async move {
        let answer = connection.send(request).await;
        (connection, answer)
    };
    tokio::pin!(sending);
    let sent = tokio::select! {
        biased;
        sent = &mut sending => sent,
        () = attempt.closed() => {
            let now_us = node.now_us();
            let grace_period = Duration::from_micros(times.await_head_until_us(now_us).saturating_sub(now_us));
            match timeout(grace_period, sending).await {
                Ok(sent) => sent,
                Err(_) => return,
            }
        }
    };
    if let Err((_, Ok(answer))) = attempt.send(sent)
        && node.is_own_answer(answer.status(), answer.headers(), awaited.id.as_ref())
    {
        node.apply_notices(awaited.key, answer.status(), answer.headers(), Some(times.sent_at_us));
    }
}
