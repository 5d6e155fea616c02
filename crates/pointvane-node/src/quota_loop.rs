//! Exchanges quota messages of client accounts between nodes: usage reports to coordinators, the shares that
//! coordinators grant in reply, and heartbeats between coordinators.
//!
//! Nothing is sent, and no timer runs, while no account with a quota is in use.

use {
    crate::{
        fleet::{CoordinatorNode, Fleet},
        node::Node,
        quota::SharedQuotas,
    },
    pointvane_core::{Name, PlatformAdapter},
    pointvane_dispatch::{
        ACCOUNTS_PER_DATAGRAM_MAX, AccountShare, AccountUsage, Forwarder, QuotaMessage, Segment,
    },
    pointvane_mesh::codec,
    std::{collections::HashMap, mem, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{MissedTickBehavior, interval},
    },
};

/// Time between two checks for due reports and broadcasts.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Exchanges quota messages until the process ends.
pub async fn run<A: PlatformAdapter>(node: Rc<Node<A>>, socket: Rc<UdpSocket>) {
    tokio::join!(send_due(&node), receive(&node, &socket));
}

async fn send_due<A: PlatformAdapter>(node: &Node<A>) {
    loop {
        node.quotas_used.notified().await;
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut coordinators = Coordinators::default();
        while !node.dispatcher.quotas.borrow_mut().is_idle() {
            coordinators.refresh(&node.fleet, &node.dispatcher.quotas);
            update_peers(node);
            tokio::select! {
                _ = ticks.tick() => {
                    send_heartbeats(node);
                    broadcast(node);
                }
                () = node.quotas_used.notified() => {}
            }
            send_reports(node);
        }
    }
}

async fn receive<A: PlatformAdapter>(node: &Node<A>, socket: &UdpSocket) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        // As in `gossip_loop.rs`: an error reports an earlier send, and malformed datagrams are not logged.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(message) = codec::decode::<QuotaMessage>(&buffer[..length]) else { continue };
        match message {
            QuotaMessage::Heartbeat { origin, wants_reply } => {
                let is_peer = node.dispatcher.quotas.borrow_mut().record_message(origin, node.now_us());
                if wants_reply && !is_peer {
                    send_to(node, &heartbeat(node, false), origin);
                }
            }
            QuotaMessage::Usage { incarnation, accounts } => {
                let shares = coordinate(node, (from, incarnation), &accounts);
                send_to(node, &shares_message(node, Segment::NONE, shares), from);
            }
            QuotaMessage::Shares { origin, segment, accounts } => {
                node.dispatcher.quotas.borrow_mut().receive_shares(origin, &accounts, node.now_us());
                forward(node, origin, segment, &accounts);
            }
        }
    }
}

/// The coordinators of the accounts that this node uses, as of a membership change.
#[derive(Default)]
struct Coordinators {
    /// [`Fleet::membership_changes`] at the last refresh.
    as_of: u64,
    by_account: HashMap<Name, Vec<CoordinatorNode>>,
}

impl Coordinators {
    /// Recomputes the coordinators after a membership change, and schedules a new report of the accounts
    /// whose coordinators changed.
    fn refresh(&mut self, fleet: &Fleet, quotas: &SharedQuotas) {
        if self.as_of == fleet.membership_changes() {
            return;
        }
        self.as_of = fleet.membership_changes();
        quotas.borrow_mut().reset_peers();
        let accounts: Vec<Name> = quotas.borrow_mut().accounts().cloned().collect();
        let previous = mem::take(&mut self.by_account);
        for account in accounts {
            let current = fleet.coordinators(&account);
            if previous.get(&account) != Some(&current) {
                quotas.borrow_mut().force_report(&account);
            }
            self.by_account.insert(account, current);
        }
    }
}

/// Looks up the other coordinator of each account that this node coordinates or substitutes a coordinator of.
fn update_peers<A: PlatformAdapter>(node: &Node<A>) {
    let accounts = node.dispatcher.quotas.borrow_mut().accounts_without_peer();
    for account in accounts {
        let coordinators = node.fleet.coordinators(&account);
        let is_substitute = !coordinators.contains(&CoordinatorNode::Own);
        let other = coordinators.into_iter().find_map(CoordinatorNode::other);
        let mut quotas = node.dispatcher.quotas.borrow_mut();
        match other {
            Some(primary) if is_substitute => quotas.set_primary(&account, primary, node.now_us()),
            peer => quotas.set_peer(&account, peer, node.now_us()),
        }
    }
}

fn send_heartbeats<A: PlatformAdapter>(node: &Node<A>) {
    let due = node.dispatcher.quotas.borrow_mut().take_due_heartbeats(node.now_us());
    due.into_iter().for_each(|peer| send_to(node, &heartbeat(node, true), peer));
}

fn heartbeat<A: PlatformAdapter>(node: &Node<A>, wants_reply: bool) -> QuotaMessage {
    QuotaMessage::Heartbeat { origin: node.fleet.own_quota_address(), wants_reply }
}

/// Reports this node's usage of accounts to their coordinators, and to the substitutes of those that do not
/// answer.
fn send_reports<A: PlatformAdapter>(node: &Node<A>) {
    let reports = node.dispatcher.quotas.borrow_mut().take_reports(node.now_us());
    let mut by_node: HashMap<SocketAddr, Vec<AccountUsage>> = HashMap::new();
    let mut own_usages = Vec::new();
    for usage in reports {
        for coordinator in report_receivers(node, &usage.account) {
            match coordinator {
                CoordinatorNode::Own => own_usages.push(usage.clone()),
                CoordinatorNode::Other(address) => by_node.entry(address).or_default().push(usage.clone()),
            }
        }
    }
    let incarnation = node.fleet.incarnation().0;
    for (address, usages) in by_node {
        for accounts in usages.chunks(ACCOUNTS_PER_DATAGRAM_MAX) {
            send_to(node, &QuotaMessage::Usage { incarnation, accounts: accounts.to_vec() }, address);
        }
    }
    if !own_usages.is_empty() {
        let address = node.settings().gossip;
        let shares = coordinate(node, (address, incarnation), &own_usages);
        node.dispatcher.quotas.borrow_mut().receive_shares(address, &shares, node.now_us());
    }
}

fn report_receivers<A: PlatformAdapter>(node: &Node<A>, account: &Name) -> Vec<CoordinatorNode> {
    if node.dispatcher.quotas.borrow().needs_substitutes(account, node.now_us()) {
        node.fleet.coordinators_and_substitutes(account)
    } else {
        node.fleet.coordinators(account)
    }
}

/// Records the usage reported by a node, identified by its address and incarnation, for the accounts that
/// this node coordinates. Returns the shares to reply with.
fn coordinate<A: PlatformAdapter>(
    node: &Node<A>,
    reporter: (SocketAddr, u64),
    usages: &[AccountUsage],
) -> Vec<AccountShare> {
    let now_us = node.now_us();
    let fleet_view = node.fleet.view(&node.settings(), now_us);
    let routes = node.dispatcher.routes();
    for usage in usages {
        // An account that is not in this node's configuration is left to the other coordinator.
        let Some(quota) = routes.quota(&usage.account) else { continue };
        node.dispatcher.quotas.borrow_mut().receive_report(reporter, usage, quota, now_us);
    }
    update_peers(node);
    let mut quotas = node.dispatcher.quotas.borrow_mut();
    let is_known = |usage: &&AccountUsage| routes.quota(&usage.account).is_some();
    let known = usages.iter().filter(is_known);
    let shares = known.filter_map(|usage| quotas.share(&usage.account, fleet_view, now_us)).collect();
    node.quotas_used.notify_one();
    shares
}

/// Broadcasts the shares that are due to all nodes.
fn broadcast<A: PlatformAdapter>(node: &Node<A>) {
    let now_us = node.now_us();
    let fleet_view = node.fleet.view(&node.settings(), now_us);
    let shares = node.dispatcher.quotas.borrow_mut().take_broadcast(fleet_view, now_us);
    let origin = node.settings().gossip;
    node.dispatcher.quotas.borrow_mut().receive_shares(origin, &shares, now_us);
    for accounts in shares.chunks(ACCOUNTS_PER_DATAGRAM_MAX) {
        forward(node, origin, Segment::ALL, accounts);
    }
}

/// Forwards shares to the next nodes of the broadcast tree, each of which covers a part of the segment.
fn forward<A: PlatformAdapter>(
    node: &Node<A>,
    origin: SocketAddr,
    segment: Segment,
    accounts: &[AccountShare],
) {
    if segment == Segment::NONE {
        return;
    }
    for Forwarder { node: to, segment } in node.fleet.quota_forwarders(origin, segment) {
        send_to(node, &QuotaMessage::Shares { origin, segment, accounts: accounts.to_vec() }, to);
    }
}

fn shares_message<A: PlatformAdapter>(
    node: &Node<A>,
    segment: Segment,
    accounts: Vec<AccountShare>,
) -> QuotaMessage {
    QuotaMessage::Shares { origin: node.settings().gossip, segment, accounts }
}

/// Sends a message. Messages are kept within a datagram; an oversized one is dropped like a lost datagram.
fn send_to<A: PlatformAdapter>(node: &Node<A>, message: &QuotaMessage, to: SocketAddr) {
    if let Ok(bytes) = codec::encode(message) {
        node.fleet.send_quotas(&bytes, to);
    }
}
