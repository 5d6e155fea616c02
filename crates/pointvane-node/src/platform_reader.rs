//! Reading of the platform, as `pointvane-dispatch` decides.

use {
    crate::{
        body::{RelayBody, gather},
        node::Node,
        socket, state_exchange,
    },
    bytes::Bytes,
    hyper::{
        Request, StatusCode,
        client::conn::http1::{self, SendRequest},
        header::HOST,
    },
    hyper_util::rt::TokioIo,
    pointvane_core::{Change, PlatformAdapter},
    pointvane_dispatch::{CallFailure, FeedCall, StateRequest, Whom},
    pointvane_telemetry::EventKind,
    std::{mem, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::timeout},
};

const CONNECT_PATIENCE: Duration = Duration::from_millis(700);
/// Largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Reads the platform for as long as the process lives.
pub async fn read<A: PlatformAdapter>(node: Rc<Node<A>>) {
    let mut store = Store { node: Rc::clone(&node), connection: None };
    loop {
        let call = node.reading.state_mut().next(node.now_us());
        let lost_before = node.reading.state().is_lost();
        match call {
            FeedCall::Rest { until_us } => {
                let rest = Duration::from_micros(until_us.saturating_sub(node.now_us()));
                // Ends early when the platform is known to hold more.
                _ = timeout(rest, node.reading.interrupted()).await;
                continue;
            }
            FeedCall::AskPeer { whom, request, patience_ms } => {
                ask_peer(&node, whom, &request, Duration::from_millis(patience_ms)).await;
                continue;
            }
            FeedCall::Snapshot { next_page, patience_ms } => {
                store.snapshot(next_page.as_deref(), Duration::from_millis(patience_ms)).await;
            }
            FeedCall::Watch { after, wait_ms, patience_ms } => {
                store.watch(after, wait_ms, Duration::from_millis(patience_ms)).await;
            }
        }
        match (lost_before, node.reading.state().is_lost()) {
            (false, true) => node.report.note(EventKind::PlatformLost),
            (true, false) => node.report.note(EventKind::PlatformBack),
            _ => {}
        }
    }
}

/// Asks another node for what it knows of the platform.
async fn ask_peer<A: PlatformAdapter>(
    node: &Node<A>,
    whom: Whom,
    request: &StateRequest,
    patience: Duration,
) {
    let Some(peer) = node.fleet.peer_to_query(whom, &node.settings()) else {
        return node.reading.state_mut().ask_failed(node.now_us());
    };
    node.report.asked_peer();
    match state_exchange::ask(peer, request, patience).await {
        Ok(Some(reply)) => {
            let (mark, age_ms) = (reply.mark, reply.age_ms);
            let changes = {
                let pool = node.dispatch.pool();
                node.reading.state_mut().hear_state(reply, pool.ids(), node.now_us())
            };
            if !changes.is_empty() {
                node.report.note(EventKind::StateTold { peer, revision: mark.revision, age_ms });
            }
            node.apply(changes);
        }
        Ok(None) | Err(_) => node.reading.state_mut().ask_failed(node.now_us()),
    }
}

struct Store<A> {
    node: Rc<Node<A>>,
    connection: Option<SendRequest<RelayBody>>,
}

impl<A: PlatformAdapter> Store<A> {
    async fn snapshot(&mut self, next_page: Option<&str>, patience: Duration) {
        let target = self.node.adapter.snapshot_target(next_page);
        let node = Rc::clone(&self.node);
        let page = self.call(&target, patience).await;
        let page = page.and_then(|body| node.adapter.snapshot(&body).map_err(|_| CallFailure::Malformed));
        match page {
            Ok(mut page) => {
                node.note_refused_items(mem::take(&mut page.refused));
                let changes = {
                    let pool = node.dispatch.pool();
                    node.reading.state_mut().read(page, pool.ids(), node.now_us())
                };
                let mark = node.reading.state().mark();
                let upstreams = changes.iter().filter(|change| matches!(change, Change::Upstream(_))).count();
                if mark.revision > 0 {
                    node.report.note(EventKind::PlatformRead {
                        revision: mark.revision,
                        version: mark.version,
                        upstreams: upstreams as u64,
                    });
                }
                node.apply(changes);
            }
            Err(failure) => self.failed(failure),
        }
    }

    async fn watch(&mut self, after: u64, wait_ms: u64, patience: Duration) {
        let target = self.node.adapter.watch_target(after, wait_ms);
        let node = Rc::clone(&self.node);
        let called = tokio::select! {
            called = self.call(&target, patience) => called,
            () = node.reading.interrupted() => {
                node.report.note(EventKind::WatchRenewed { revision: after });
                self.connection = None;
                return;
            }
        };
        let page = called.and_then(|body| node.adapter.changes(&body).map_err(|_| CallFailure::Malformed));
        match page {
            Ok(mut page) => {
                node.note_refused_items(mem::take(&mut page.refused));
                let changes = node.reading.state_mut().watched(page, node.now_us());
                node.apply(changes);
                if node.reading.state().speaks() {
                    node.send_relay();
                }
            }
            Err(failure) => self.failed(failure),
        }
    }

    fn failed(&mut self, failure: CallFailure) {
        // A connection on which an answer is lost says nothing more.
        self.connection = None;
        self.node.reading.state_mut().failed(failure, self.node.now_us());
    }

    async fn call(&mut self, target: &str, patience: Duration) -> Result<Bytes, CallFailure> {
        let address = self.node.settings().platform;
        self.node.report.called_platform();
        let mut sender = match self.connection.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => {
                let stream =
                    socket::connect(address, CONNECT_PATIENCE).await.map_err(|_| CallFailure::Unavailable)?;
                let opened = http1::handshake(TokioIo::new(stream)).await;
                let (sender, driver) = opened.map_err(|_| CallFailure::Unavailable)?;
                spawn_local(driver);
                sender
            }
        };
        let request = Request::get(target).header(HOST, address.to_string());
        let request = request.body(RelayBody::whole(Bytes::new())).map_err(|_| CallFailure::Malformed)?;
        let exchange = async {
            let (head, body) = sender.send_request(request).await?.into_parts();
            Ok::<_, hyper::Error>((head.status, gather(body, ANSWER_MAX_BYTES).await?))
        };
        let answer = timeout(patience, exchange).await.map_err(|_| CallFailure::Unavailable)?;
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
}
