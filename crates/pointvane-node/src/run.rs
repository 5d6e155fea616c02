//! The life of a node's process.

use {
    crate::{directory, feed, gossip, node::Node, serve::listen, settings::NodeSettings, stop, traffic},
    eyre::{Result, WrapErr},
    pointvane_core::PlatformAdapter,
    slog::{error, info},
    std::{rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        task::{LocalSet, spawn_local},
        time::interval,
    },
};

/// Time between two looks at connections that have rested too long.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a node until it is stopped; `read_settings` is called at the start and whenever they may have changed.
///
/// # Errors
/// What kept it from starting.
pub fn run<A, S>(adapter: A, read_settings: S) -> Result<()>
where
    A: PlatformAdapter + 'static,
    S: Fn() -> Result<NodeSettings> + 'static,
{
    let settings = read_settings()?;
    let log = pointvane_telemetry::logger("node", &settings.name, "info", true);
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("runtime")?;
    let node = Rc::new(Node::new(adapter, settings, log));
    LocalSet::new().block_on(&runtime, live(node, read_settings))
}

async fn live<A, S>(node: Rc<Node<A>>, read_settings: S) -> Result<()>
where
    A: PlatformAdapter + 'static,
    S: Fn() -> Result<NodeSettings> + 'static,
{
    let settings = node.settings.borrow().clone();
    let mut terminate = signal(SignalKind::terminate()).wrap_err("signal")?;
    let mut reload = signal(SignalKind::hangup()).wrap_err("signal")?;
    let socket = Rc::new(UdpSocket::bind(settings.gossip).await.wrap_err("gossip")?);
    node.set_gossip_socket(Rc::clone(&socket));
    listen(Rc::clone(&node), settings.traffic, traffic::serve).await?;
    listen(Rc::clone(&node), settings.readiness, directory::readiness).await?;
    listen(Rc::clone(&node), settings.directory, directory::directory).await?;
    spawn_local(gossip::gossip(Rc::clone(&node), socket));
    spawn_local(feed::read(Rc::clone(&node)));
    info!(node.log, "started"; "data_centre" => settings.data_centre.as_str(), "seeds" => settings.seeds.len());
    let mut expire = interval(EXPIRE_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => reread(&node, &read_settings),
            _ = expire.tick() => node.connections.expire(),
        }
    }
    stop::stop(node).await;
    Ok(())
}

/// Takes changed settings; addresses stay those of the start.
fn reread<A: PlatformAdapter>(node: &Node<A>, read_settings: &impl Fn() -> Result<NodeSettings>) {
    match read_settings() {
        Ok(settings) => {
            info!(node.log, "reloaded"; "changed" => *node.settings.borrow() != settings);
            *node.settings.borrow_mut() = settings;
            node.share_budgets();
        }
        Err(problem) => error!(node.log, "reload-refused"; "problem" => format!("{problem:#}")),
    }
}
