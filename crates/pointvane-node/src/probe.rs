//! Questions to upstreams about their load, right before a request is sent; requests that arrive together share them.

use {
    crate::{
        body::{RelayBody, gather},
        connections::{Connection, Connections, Purpose},
        node::Node,
        request::CallerRequest,
    },
    bytes::Bytes,
    hyper::{Request, Response, StatusCode, body::Incoming, header::HOST},
    pointvane_config::ChoicePolicy,
    pointvane_core::{Name, PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{UpstreamKey, Wanted},
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::mpsc::{UnboundedSender, unbounded_channel},
        task::spawn_local,
        time::{Instant, sleep, timeout, timeout_at},
    },
};

/// Rest between two looks for a good upstream.
const LOOK_PAUSE: Duration = Duration::from_millis(6);
/// Longest wait for the answers of one stage.
const STAGE_PATIENCE: Duration = Duration::from_millis(30);
/// The same once the time for looking is over.
const STAGE_PATIENCE_MIN: Duration = Duration::from_millis(6);
/// Longest wait for one answer; longer silence counts as a failure.
const ANSWER_PATIENCE: Duration = Duration::from_millis(150);
/// Most bytes of an answer's body that are read to keep the connection.
const BODY_MAX_BYTES: usize = 4_096;

type Listeners = HashMap<UpstreamKey, Vec<UnboundedSender<UpstreamKey>>>;

/// Questions that are under way, and who waits for their answers.
#[derive(Debug, Default)]
pub struct Probes {
    listeners: RefCell<Listeners>,
}

/// How an upstream is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The best there is.
    Best {
        /// Until when a good one is looked for, in microseconds of the steady clock.
        look_until_us: u64,
    },
    /// One that works at once and at the usual pace, or none.
    GoodOnly,
}

impl Choice {
    /// Longest wait for the answers of a stage that begins now: no longer than a good upstream is looked for.
    fn stage_patience(self, now_us: u64) -> Duration {
        match self {
            Self::GoodOnly => STAGE_PATIENCE,
            Self::Best { look_until_us } => {
                let left = Duration::from_micros(look_until_us.saturating_sub(now_us));
                left.clamp(STAGE_PATIENCE_MIN, STAGE_PATIENCE)
            }
        }
    }
}

/// What was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chosen {
    /// An upstream that works at once and at the usual pace.
    Good(UpstreamKey),
    /// The best of those that don't.
    Best(UpstreamKey),
    /// The service has no upstream left.
    Nothing,
}

/// The upstream for a request that is sent now.
pub async fn choose<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    request: &CallerRequest,
    choice: Choice,
) -> Chosen {
    let tried = request.tried.borrow().clone();
    loop {
        let chosen = look(node, request, &tried, choice).await;
        let goes_on = match choice {
            Choice::Best { look_until_us } => node.now_us() < look_until_us,
            Choice::GoodOnly => false,
        };
        if !goes_on || !matches!(chosen, Chosen::Best(_)) {
            return chosen;
        }
        sleep(LOOK_PAUSE).await;
    }
}

async fn look<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    request: &CallerRequest,
    tried: &[UpstreamKey],
    choice: Choice,
) -> Chosen {
    let now_us = node.now_us();
    let (service, body_bytes) = (&request.routed.service, request.body_bytes());
    let stages = [node.options.choice.ask_first, node.options.choice.ask_more];
    let wanted = Wanted { tried, body_bytes, count: stages.iter().sum() };
    let candidates = node.pool.borrow_mut().candidates(service, &wanted, now_us);
    let tells_load = node.pool.borrow().tells_load(service);
    if node.options.choice.policy != ChoicePolicy::Ask || !tells_load {
        return candidates.first().map_or(Chosen::Nothing, |key| Chosen::Good(*key));
    }
    if let Some(known) = candidates.iter().find(|key| node.pool.borrow().is_good(**key, now_us)) {
        return Chosen::Good(*known);
    }
    let mut answered = Vec::new();
    let mut rest = candidates.as_slice();
    for stage in stages {
        let (now, later) = rest.split_at(stage.min(rest.len()));
        rest = later;
        let until = Instant::now() + choice.stage_patience(node.now_us());
        if let Some(good) = ask_stage(node, service, now, until, &mut answered).await {
            return Chosen::Good(good);
        }
    }
    let usable = |key: &UpstreamKey| node.pool.borrow().get(*key).is_some_and(|state| state.takes_work());
    answered.retain(usable);
    let now_us = node.now_us();
    let far_factor = node.pool.borrow().far_factor(body_bytes);
    let cost = |key: &UpstreamKey| node.pool.borrow().placed_cost(*key, far_factor, now_us);
    let best = answered.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
    let any = || node.pool.borrow_mut().candidates(service, &wanted, now_us).first().copied();
    best.or_else(any).map_or(Chosen::Nothing, Chosen::Best)
}

/// Asks some upstreams together; gives the first that is good, and notes all that answered.
async fn ask_stage<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    service: &Name,
    keys: &[UpstreamKey],
    until: Instant,
    answered: &mut Vec<UpstreamKey>,
) -> Option<UpstreamKey> {
    let (answers, mut answer) = unbounded_channel();
    let mut waiting = keys.iter().filter(|key| ask(node, service, **key, answers.clone())).count();
    drop(answers);
    while waiting > 0 {
        let Ok(Some(key)) = timeout_at(until, answer.recv()).await else {
            break;
        };
        waiting -= 1;
        answered.push(key);
        if node.pool.borrow().is_good(key, node.now_us()) {
            return Some(key);
        }
    }
    None
}

/// Asks one upstream, or joins a question under way; false when the budget of probes is spent.
fn ask<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    service: &Name,
    key: UpstreamKey,
    answers: UnboundedSender<UpstreamKey>,
) -> bool {
    let mut listeners = node.probes.listeners.borrow_mut();
    if let Some(joined) = listeners.get_mut(&key) {
        joined.push(answers);
        return true;
    }
    if !node.take_probe() {
        return false;
    }
    node.report.probed();
    listeners.insert(key, vec![answers]);
    spawn_local(question(Rc::clone(node), service.clone(), key));
    true
}

/// One question, to its end.
async fn question<A: PlatformAdapter>(node: Rc<Node<A>>, service: Name, key: UpstreamKey) {
    let answered = asked(&node, &service, key).await;
    let listeners = node.probes.listeners.borrow_mut().remove(&key).unwrap_or_default();
    if answered {
        // A listener that is gone has found a good upstream already.
        listeners.iter().for_each(|listener| _ = listener.send(key));
    }
}

async fn asked<A: PlatformAdapter>(node: &Node<A>, service: &Name, key: UpstreamKey) -> bool {
    let place = node.pool.borrow().get(key).map(|state| (state.address(), state.id().clone()));
    let path = node.route_table().health_path(service).cloned();
    let (Some((address, id)), Some(path)) = (place, path) else {
        return false;
    };
    let sent_at_us = node.now_us();
    let outcome = timeout(ANSWER_PATIENCE, exchange(&node.connections, address, &path)).await;
    let answer = outcome.ok().flatten();
    let now_us = node.now_us();
    // A pause of this process is no fault of the upstream's.
    let own_pause = now_us.saturating_sub(sent_at_us) > 2 * ANSWER_PATIENCE.as_millis() as u64 * US_PER_MS;
    let Some(answer) = answer else {
        if !own_pause && let Some(state) = node.pool.borrow_mut().get_mut(key) {
            state.failed(now_us);
        }
        return false;
    };
    let headers = answer.headers();
    let other =
        headers.get(&node.headers.upstream).is_some_and(|told| told.as_bytes() != id.as_str().as_bytes());
    let load = headers.get(&node.headers.load).and_then(|told| told.to_str().ok());
    let refused = headers.contains_key(&node.headers.not_run);
    match load.and_then(|told| node.adapter.load(told)) {
        Some(load) if !other => node.hear_load(key, load),
        None if !other => node.pool.borrow_mut().heard_nothing(key),
        _ => {}
    }
    let well = !other && (refused || answer.status() == StatusCode::OK);
    if let Some(state) = node.pool.borrow_mut().get_mut(key).filter(|_| !well) {
        match other {
            true => _ = state.eject(now_us),
            false => _ = state.failed(now_us),
        }
    }
    well
}

/// Asks over a kept connection, and over a new one if that was forgotten by the upstream.
async fn exchange(connections: &Connections, address: SocketAddr, path: &Name) -> Option<Response<()>> {
    let connection = connections.get(address, Purpose::Probe).await.ok()?;
    let reused = connection.is_reused();
    match exchange_over(connection, address, path).await {
        None if reused => {
            let connection = connections.open(address, Purpose::Probe).await.ok()?;
            exchange_over(connection, address, path).await
        }
        answer => answer,
    }
}

async fn exchange_over(mut connection: Connection, address: SocketAddr, path: &Name) -> Option<Response<()>> {
    let request = Request::get(path.as_str()).header(HOST, address.to_string());
    let request = request.body(RelayBody::whole(Bytes::new())).ok()?;
    let (head, body): (_, Incoming) = connection.send(request).await.ok()?.into_parts();
    let gathered = gather(body, BODY_MAX_BYTES).await.ok()?;
    if gathered.rest.is_none() {
        connection.keep(&head.headers);
    }
    Some(Response::from_parts(head, ()))
}
