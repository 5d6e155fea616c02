//! Confirms the end of a response body that ends with its connection; `pointvane-serve` has the rule.

use {
    crate::{connections::Connection, node::Node},
    pointvane_core::PlatformAdapter,
    pointvane_dispatch::{Departure, UpstreamKey},
    pointvane_serve::{CheckedBody, EndCheck, UpstreamPresence, is_end_of_body},
    std::rc::Rc,
    tokio::task::spawn_local,
};

/// Has the end of a body from this upstream confirmed, if only the end of its connection shows it.
pub fn with_end_check<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    key: UpstreamKey,
    connection: &Connection,
    body: CheckedBody,
) -> CheckedBody {
    let Some(id) = node.service_and_id(key).map(|(_, id)| id).filter(|_| connection.ends_body()) else {
        return body;
    };
    let connecting = connection.connect_again();
    let node = Rc::clone(node);
    let is_end = async move {
        let presence = || match node.dispatcher.pool().departure(key, &id) {
            None => UpstreamPresence::Running,
            Some(Departure::Announced) => UpstreamPresence::Leaving,
            Some(Departure::Replaced) => UpstreamPresence::Replaced,
        };
        is_end_of_body(connecting, presence).await
    };
    let (check, task) = EndCheck::new(is_end);
    spawn_local(task);
    body.with_end_check(check)
}
