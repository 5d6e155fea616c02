//! The unanswered requests of one caller's connection. Those that may be forwarded before their turn are; answers leave in order.
//!
//! `read_ahead.rs` reports each head that it has read, and hands one request at a time to the HTTP server, which parses it again and
//! keeps the order of answers. `caller_connection.rs` serves the request in turn, with the answer of its early forward if there is
//! one. [`pointvane_dispatch::starts_early`] decides which requests are forwarded early.

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
    pointvane_dispatch::starts_early,
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
    /// Those that were read and not yet served, oldest first.
    waiting: RefCell<VecDeque<WaitingRequest>>,
    /// The head of the one that is served.
    in_service: RefCell<Option<Bytes>>,
    answered: Cell<u64>,
    was_answered: Notify,
}

/// A request that was read and not yet served.
struct WaitingRequest {
    arrived_at_us: u64,
    head: Bytes,
    has_body: bool,
    early: Option<EarlyAnswer>,
}

/// An answer under way to a request whose turn has not come; given up when dropped.
pub struct EarlyAnswer {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    kind: RouteKind,
    answer: JoinHandle<Response<RelayBody>>,
}

/// A request whose turn has come.
pub struct Turn {
    /// When it was read, in microseconds of the steady clock.
    pub arrived_at_us: u64,
    /// Its answer, if it was forwarded early.
    pub early: Option<EarlyAnswer>,
}

impl EarlyAnswer {
    /// Waits for the answer; none if `head` is of another request, or there is no answer.
    pub async fn take(mut self, head: &Parts) -> Option<Response<RelayBody>> {
        let same = (&self.method, &self.uri, &self.headers) == (&head.method, &head.uri, &head.headers);
        // A task that panicked gives none; the request may be repeated.
        if same { (&mut self.answer).await.ok() } else { None }
    }
}

impl Drop for EarlyAnswer {
    fn drop(&mut self) {
        self.answer.abort();
    }
}

impl<A: PlatformAdapter + 'static> Pipeline<A> {
    /// A connection from a caller's address on which nothing has come.
    pub fn new(node: Rc<Node<A>>, caller: IpAddr) -> Self {
        Self {
            node,
            caller,
            waiting: RefCell::default(),
            in_service: RefCell::default(),
            answered: Cell::default(),
            was_answered: Notify::new(),
        }
    }

    /// How many requests may be handed to the server: one more than were answered.
    pub fn in_turn(&self) -> u64 {
        self.answered.get() + 1
    }

    /// From where a request came, and when.
    pub fn origin(&self, at_us: u64) -> RequestOrigin {
        RequestOrigin { caller: self.caller, at_us }
    }

    /// Whether another request may be read ahead.
    pub fn has_room(&self) -> bool {
        self.waiting.borrow().len() < self.node.dispatcher.pipeline.requests_max
    }

    /// Takes note that the head of a request has come.
    pub fn arrived(&self, head: Bytes, has_body: bool) {
        let arrived_at_us = self.node.now_us();
        self.waiting.borrow_mut().push_back(WaitingRequest { arrived_at_us, head, has_body, early: None });
        self.forward_early();
    }

    /// Takes the request whose turn has come; none if it was not seen before.
    pub fn take(&self) -> Option<Turn> {
        let WaitingRequest { arrived_at_us, head, early, .. } = self.waiting.borrow_mut().pop_front()?;
        self.in_service.replace(Some(head));
        self.forward_early();
        Some(Turn { arrived_at_us, early })
    }

    /// Takes note that the request in service is answered.
    pub fn answered(&self) {
        self.in_service.replace(None);
        self.answered.set(self.answered.get() + 1);
        self.was_answered.notify_waiters();
    }

    /// Whether a request is forwarded whose turn has not come.
    pub fn has_early(&self) -> bool {
        self.waiting.borrow().iter().any(|waiting| waiting.early.is_some())
    }

    /// Returns once no request is forwarded whose turn has not come.
    pub async fn no_early(&self) {
        while self.has_early() {
            self.was_answered.notified().await;
        }
    }

    /// Forwards requests whose turn has not come, as far as that is allowed; none during a planned stop, whose answers close their
    /// connections.
    fn forward_early(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let in_service = self.in_service.borrow();
        let is_alone = in_service.is_none() && waiting.len() < 2;
        if is_alone || waiting.is_empty() || !self.node.lifecycle.is_running() {
            return;
        }
        let Some(mut ahead) = in_service.iter().map(|head| self.kind(head)).collect::<Option<Vec<_>>>()
        else {
            return;
        };
        for request in waiting.iter_mut() {
            if let Some(early) = &request.early {
                ahead.push(early.kind);
                continue;
            }
            let Some((head, kind)) = self.routed(request) else { return };
            if !starts_early(kind, ahead.iter().copied(), &self.node.dispatcher.pipeline) {
                return;
            }
            // The first in turn is served without delay anyway.
            if !ahead.is_empty() {
                request.early = Some(self.start(head, kind, request.arrived_at_us));
            }
            ahead.push(kind);
        }
    }

    /// The head of a request without a body, and the kind of its route; none if it has a body, or no route.
    fn routed(&self, request: &WaitingRequest) -> Option<(Parts, RouteKind)> {
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
