//! Performs the calls and queries that [`pointvane_dispatch::PlatformReader`] requests, and applies their
//! results.

use {
    crate::{
        node::Node,
        replica::{
            platform_client::{CallError, CallKind, PlatformAnswer, PlatformClient},
            state_query::{self, QueryError},
        },
    },
    bytes::Bytes,
    pointvane_core::{Change, ChangePage, MalformedReply, PlatformAdapter},
    pointvane_dispatch::{CallReason, PeerQuery, ReadMark, ReaderCall, ReaderQuery, StateReply},
    pointvane_telemetry::EventKind,
    std::{mem, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Maximum size of a snapshot page, in bytes. Bounds memory.
const PAGE_BYTES_MAX: usize = 8 << 20;
/// Value of the label `reason` for a watch that this node cancelled because peers have read a later revision.
const GIVEN_UP: &str = "given-up";

/// Reads the platform and queries peers until the process ends.
pub async fn read<A: PlatformAdapter>(node: Rc<Node<A>>) {
    tokio::join!(call_platform(&node), query_peers(&node));
}

/// Queries peers for platform state that this node is known to lack.
async fn query_peers<A: PlatformAdapter>(node: &Node<A>) {
    loop {
        let call = node.platform.state_mut().next_query(node.now_us());
        match call {
            ReaderQuery::Peer(query) => {
                query_peer(node, &query).await;
                node.platform.notify_if_behind();
            }
            ReaderQuery::Wait { until_us } => {
                let wait = Duration::from_micros(until_us.saturating_sub(node.now_us()));
                // Ends early when peers have read a later revision; either way the reader decides the next
                // step.
                _ = timeout(wait, node.platform.until_behind()).await;
            }
        }
    }
}

async fn call_platform<A: PlatformAdapter>(node: &Node<A>) {
    let mut client = PlatformClient::default();
    loop {
        let call = node.platform.state_mut().next(node.now_us());
        match call {
            ReaderCall::Wait { until_us } => {
                let wait = Duration::from_micros(until_us.saturating_sub(node.now_us()));
                // Ends early when the platform is known to hold a later revision; either way the reader
                // decides the next step.
                _ = timeout(wait, node.platform.interrupted()).await;
            }
            ReaderCall::QueryPeer(query) => query_peer(node, &query).await,
            ReaderCall::Snapshot { reason, next_page, freshness, timeout_ms } => {
                let call_timeout = Duration::from_millis(timeout_ms);
                let before = node.platform.state().is_unreachable();
                let kind = if next_page.is_some() { CallKind::Page } else { CallKind::Everything };
                note_call(node, kind, reason);
                let target = node.adapter.snapshot_target(next_page.as_deref(), freshness);
                read_snapshot(node, &mut client, &target, call_timeout).await;
                note_reachability(node, before);
            }
            ReaderCall::Watch { reason, after, wait_ms, timeout_ms, answer_bytes_max } => {
                let call_timeout = Duration::from_millis(timeout_ms);
                let before = node.platform.state().is_unreachable();
                note_call(node, CallKind::Changes, reason);
                let target = node.adapter.watch_target(after, wait_ms);
                watch(node, &mut client, &target, answer_bytes_max, call_timeout).await;
                note_reachability(node, before);
            }
        }
    }
}

/// Counts a call to the platform, and writes a line unless it is a watcher's regular watch.
fn note_call<A: PlatformAdapter>(node: &Node<A>, kind: CallKind, reason: CallReason) {
    node.report.called_platform(kind, reason);
    if reason != CallReason::Watching {
        let kind = EventKind::PlatformCalled { call: kind.as_str().into(), reason: reason.as_str().into() };
        node.report.record_rate_limited(node.now_us(), kind);
    }
}

fn note_reachability<A: PlatformAdapter>(node: &Node<A>, unreachable_before: bool) {
    match (unreachable_before, node.platform.state().is_unreachable()) {
        (false, true) => node.report.record(EventKind::PlatformLost),
        (true, false) => node.report.record(EventKind::PlatformBack),
        _ => {}
    }
}

/// Queries another node for platform state and applies the reply.
async fn query_peer<A: PlatformAdapter>(node: &Node<A>, query: &PeerQuery) {
    let peers = node.fleet.peers_to_query(query.target, &node.settings());
    let reply = match peers.is_empty() {
        true => Err(QueryError::NoPeer),
        false => query_first_reachable(node, &peers, query).await,
    };
    let (peer, reply) = match reply {
        Ok(peer_reply) => peer_reply,
        Err(error) => {
            node.report.query_failed(error.as_str());
            let (mut state, now_us) = (node.platform.state_mut(), node.now_us());
            return match error {
                QueryError::NothingNewer => state.query_declined(now_us),
                QueryError::Reading => state.query_found_reading_peer(now_us),
                QueryError::NoPeer | QueryError::Unreachable | QueryError::NoAnswer => {
                    state.query_failed(now_us)
                }
            };
        }
    };
    let (revision, age_ms) = (reply.mark.revision, reply.age_ms);
    let changes = {
        let pool = node.dispatcher.pool();
        node.platform.state_mut().receive_state(reply, pool.known_changes(), node.now_us())
    };
    if !changes.is_empty() {
        node.report.record(EventKind::StateTold { peer, revision, age_ms });
    }
    node.apply(changes);
}

/// Counts a query and returns the reply of the first reachable peer, together with its address.
async fn query_first_reachable<A: PlatformAdapter>(
    node: &Node<A>,
    peers: &[SocketAddr],
    query: &PeerQuery,
) -> Result<(SocketAddr, StateReply), QueryError> {
    node.report.queried_peer();
    state_query::query_first(peers, query).await
}

/// Reads one page of a snapshot.
async fn read_snapshot<A: PlatformAdapter>(
    node: &Node<A>,
    client: &mut PlatformClient,
    target: &str,
    call_timeout: Duration,
) {
    let first_read = node.platform.mark().revision == 0;
    let answer = match call(node, client, target, call_timeout).await {
        Ok(answer) => {
            node.platform.state_mut().response_started(node.now_us());
            client.read(answer, PAGE_BYTES_MAX).await
        }
        Err(error) => Err(error),
    };
    let Some(page) = decode_page(node, client, answer, A::snapshot) else { return };
    let changes = {
        let pool = node.dispatcher.pool();
        node.platform.state_mut().receive_page(page, pool.listed_changes(), node.now_us())
    };
    let mark = node.platform.mark();
    if mark.revision > 0 {
        report_read(node, &mark, &changes);
    }
    node.apply(changes);
    if mark.revision > 0 && node.dispatcher.routes().version() == 0 {
        node.note_no_configuration(mark.revision);
    }
    // When the whole fleet starts for the first time, every node reads the platform and needs no relay.
    if !first_read && node.platform.state().broadcasts() {
        node.send_relay();
    }
}

fn report_read<A: PlatformAdapter>(node: &Node<A>, mark: &ReadMark, changes: &[Change]) {
    let upstreams = changes.iter().filter(|change| matches!(change, Change::Upstream(_))).count() as u64;
    let (revision, version) = (mark.revision, mark.version);
    node.report.record(EventKind::PlatformRead { revision, version, upstreams });
}

/// Waits for changes. The watch is cancelled as stalled when the platform is known to hold a later revision
/// but no response head arrives.
async fn watch<A: PlatformAdapter>(
    node: &Node<A>,
    client: &mut PlatformClient,
    target: &str,
    answer_bytes_max: usize,
    call_timeout: Duration,
) {
    let answer = tokio::select! {
        answer = call(node, client, target, call_timeout) => Some(answer),
        () = node.platform.interrupted() => None,
    };
    let Some(answer) = answer else {
        node.report.platform_call_failed(GIVEN_UP);
        node.report.record(EventKind::WatchRenewed { revision: node.platform.mark().revision });
        return client.close();
    };
    let answer = match answer {
        Ok(answer) => {
            node.platform.state_mut().response_started(node.now_us());
            client.read(answer, answer_bytes_max).await
        }
        Err(error) => Err(error),
    };
    let Some(page) = decode_page(node, client, answer, A::changes) else { return };
    let changes = node.platform.state_mut().receive_watch_response(page, node.now_us());
    node.apply(changes);
    if node.platform.state().broadcasts() {
        node.send_relay();
    }
}

async fn call<A: PlatformAdapter>(
    node: &Node<A>,
    client: &mut PlatformClient,
    target: &str,
    call_timeout: Duration,
) -> Result<PlatformAnswer, CallError> {
    let address = node.settings().platform;
    client.call(address, target, call_timeout).await
}

/// Decodes the page in a response. If there is no usable response, reports the failure to the reader and
/// returns `None`.
fn decode_page<A: PlatformAdapter>(
    node: &Node<A>,
    client: &mut PlatformClient,
    answer: Result<Bytes, CallError>,
    decode: impl Fn(&A, &[u8]) -> Result<ChangePage, MalformedReply>,
) -> Option<ChangePage> {
    // The parse error is dropped: in any case the reader reads everything again, which the event log shows.
    let page = answer.and_then(|body| {
        node.platform.state_mut().response_received(body.len());
        decode(&node.adapter, &body).map_err(|_| CallError::Malformed)
    });
    match page {
        Ok(mut page) => {
            node.note_refused_items(mem::take(&mut page.refused));
            node.note_refused_items(mem::take(&mut page.refused_parts));
            Some(page)
        }
        Err(error) => {
            client.close();
            node.report.platform_call_failed(error.as_str());
            node.platform.state_mut().call_failed(error.failure(), node.now_us());
            None
        }
    }
}
