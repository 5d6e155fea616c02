//! The unanswered requests of one caller's connection (HTTP/1.1 pipelining). Requests may be forwarded before
//! earlier ones are answered; responses are sent in order.
//!
//! `read_ahead.rs` reports each head that it has read, and passes one request at a time to the HTTP server,
//! which parses it again and keeps responses in order. `caller_connection.rs` serves that request, with the
//! response of its early forward if there is one. [`pointvane_dispatch::may_forward_early`] decides which
//! requests are forwarded early.

use {
    crate::{
        connections::RelayBody,
        node::Node,
        request_head::parse_head,
        traffic::{self, RequestOrigin},
    },
    bytes::Bytes,
    hyper::{HeaderMap, Method, Response, Uri, http::request::Parts},
    pointvane_core::{PlatformAdapter, RouteKind},
    pointvane_dispatch::may_forward_early,
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        net::IpAddr,
        rc::Rc,
    },
    tokio::{
        sync::Notify,
        task::{JoinHandle, spawn_local},
    },
};

/// The unanswered requests of one connection.
pub struct Pipeline<A: PlatformAdapter> {
    node: Rc<Node<A>>,
    caller: IpAddr,
    /// Requests that were read and are not yet served, oldest first.
    waiting: RefCell<VecDeque<WaitingRequest>>,
    /// The head of the request that is being served.
    in_service: RefCell<Option<Bytes>>,
    answered: Cell<u64>,
    answered_notify: Notify,
}

/// A request that was read and is not yet served.
struct WaitingRequest {
    arrived_at_us: u64,
    head: Bytes,
    has_body: bool,
    early: Option<EarlyAnswer>,
}

/// The pending response to a request that was forwarded early; its task is aborted on drop.
pub struct EarlyAnswer {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    kind: RouteKind,
    answer: JoinHandle<Response<RelayBody>>,
}

/// The request that is served next.
pub struct NextRequest {
    /// When its head was read, in microseconds of the monotonic clock.
    pub arrived_at_us: u64,
    /// Its pending response, if it was forwarded early.
    pub early: Option<EarlyAnswer>,
}

impl EarlyAnswer {
    /// Waits for the response; none if `head` belongs to another request, or the task failed.
    pub async fn take(mut self, head: &Parts) -> Option<Response<RelayBody>> {
        let is_same_request =
            (&self.method, &self.uri, &self.headers) == (&head.method, &head.uri, &head.headers);
        // If the task panicked, the caller forwards the request again: only repeatable requests are forwarded
        // early.
        if is_same_request { (&mut self.answer).await.ok() } else { None }
    }
}

impl Drop for EarlyAnswer {
    fn drop(&mut self) {
        self.answer.abort();
    }
}

impl<A: PlatformAdapter + 'static> Pipeline<A> {
    /// Creates the state of a new connection from a caller's address.
    pub fn new(node: Rc<Node<A>>, caller: IpAddr) -> Self {
        Self {
            node,
            caller,
            waiting: RefCell::default(),
            in_service: RefCell::default(),
            answered: Cell::default(),
            answered_notify: Notify::new(),
        }
    }

    /// How many requests of the connection may be passed to the server: one more than were answered.
    pub fn released_requests(&self) -> u64 {
        self.answered.get() + 1
    }

    /// Origin of a request that arrived at `at_us`.
    pub fn origin(&self, at_us: u64) -> RequestOrigin {
        RequestOrigin { caller: self.caller, at_us, forwarded: None }
    }

    /// Whether another request may be read ahead.
    pub fn has_room(&self) -> bool {
        self.waiting.borrow().len() < self.node.dispatcher.pipeline.requests_max
    }

    /// Records that the head of a request was read.
    pub fn arrived(&self, head: Bytes, has_body: bool) {
        let arrived_at_us = self.node.now_us();
        self.waiting.borrow_mut().push_back(WaitingRequest { arrived_at_us, head, has_body, early: None });
        self.forward_early();
    }

    /// Takes the oldest waiting request; none if its head was not recognized when it was read.
    pub fn take_next(&self) -> Option<NextRequest> {
        let WaitingRequest { arrived_at_us, head, early, .. } = self.waiting.borrow_mut().pop_front()?;
        self.in_service.replace(Some(head));
        self.forward_early();
        Some(NextRequest { arrived_at_us, early })
    }

    /// Records that the request in service was answered.
    pub fn answered(&self) {
        self.in_service.replace(None);
        self.answered.set(self.answered.get() + 1);
        self.answered_notify.notify_waiters();
    }

    /// Whether a waiting request was forwarded early.
    pub fn has_early_answers(&self) -> bool {
        self.waiting.borrow().iter().any(|waiting| waiting.early.is_some())
    }

    /// Waits until no waiting request was forwarded early.
    pub async fn early_answers_finished(&self) {
        while self.has_early_answers() {
            self.answered_notify.notified().await;
        }
    }

    /// Forwards waiting requests early, as far as allowed; none during a graceful shutdown, when responses
    /// close their connections.
    fn forward_early(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let in_service = self.in_service.borrow();
        let is_only_request = in_service.is_none() && waiting.len() < 2;
        if is_only_request || waiting.is_empty() || !self.node.lifecycle.is_running() {
            return;
        }
        let Some(mut preceding) = in_service.iter().map(|head| self.kind(head)).collect::<Option<Vec<_>>>()
        else {
            return;
        };
        for request in waiting.iter_mut() {
            if let Some(early) = &request.early {
                preceding.push(early.kind);
                continue;
            }
            let Some((head, kind)) = self.routable(request) else { return };
            if !may_forward_early(kind, preceding.iter().copied(), &self.node.dispatcher.pipeline) {
                return;
            }
            // The oldest request is served without delay anyway.
            if !preceding.is_empty() {
                request.early = Some(self.start(head, kind, request.arrived_at_us));
            }
            preceding.push(kind);
        }
    }

    /// Parsed head and route kind of a request without a body; none if it has a body, or no route.
    fn routable(&self, request: &WaitingRequest) -> Option<(Parts, RouteKind)> {
        let head = parse_head(&request.head).filter(|_| !request.has_body)?;
        let kind = traffic::route_kind(&self.node, &head)?;
        Some((head, kind))
    }

    fn kind(&self, head: &Bytes) -> Option<RouteKind> {
        traffic::route_kind(&self.node, &parse_head(head)?)
    }

    fn start(&self, head: Parts, kind: RouteKind, arrived_at_us: u64) -> EarlyAnswer {
        self.node.report.forwarded_early();
        let (method, uri, headers) = (head.method.clone(), head.uri.clone(), head.headers.clone());
        let answer =
            spawn_local(traffic::answer(Rc::clone(&self.node), head, None, self.origin(arrived_at_us)));
        EarlyAnswer { method, uri, headers, kind, answer }
    }
}
