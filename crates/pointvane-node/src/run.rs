//! The life of a node's process.

use {
    crate::{
        directory, gossip_loop, node::Node, operator, platform_reader, relay_loop, report::Report,
        serve::listen, settings::NodeSettings, state_query, stop, traffic,
    },
    eyre::{Result, WrapErr},
    pointvane_config::NodeOptions,
    pointvane_core::PlatformAdapter,
    pointvane_telemetry::EventKind,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        task::{LocalSet, spawn_local},
        time::interval,
    },
};

/// Time between two looks at connections that have rested too long.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Such looks between two looks at the settings.
const LOOKS_PER_REREAD: u64 = 5;

/// Runs a node until it is stopped; `read_settings` is called at the start and whenever they may have changed.
///
/// # Errors
/// What kept it from starting.
pub fn run<A, S>(adapter: A, options: NodeOptions, read_settings: S) -> Result<()>
where
    A: PlatformAdapter + 'static,
    S: Fn() -> Result<NodeSettings> + 'static,
{
    let settings = read_settings()?;
    let report = Report::new(&settings.name, options.lines)?;
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("runtime")?;
    let node = Rc::new(Node::new(adapter, settings, &options, report));
    LocalSet::new().block_on(&runtime, live(node, read_settings))
}

async fn live<A, S>(node: Rc<Node<A>>, read_settings: S) -> Result<()>
where
    A: PlatformAdapter + 'static,
    S: Fn() -> Result<NodeSettings> + 'static,
{
    let settings = node.settings().clone();
    let mut terminate = signal(SignalKind::terminate()).wrap_err("signal")?;
    let mut reload = signal(SignalKind::hangup()).wrap_err("signal")?;
    let socket = Rc::new(UdpSocket::bind(settings.gossip).await.wrap_err("gossip")?);
    let relays = SocketAddr::new(settings.gossip.ip(), settings.gossip.port() + 1);
    let relays = Rc::new(UdpSocket::bind(relays).await.wrap_err("relays")?);
    node.fleet.set_sockets(Rc::clone(&socket), Rc::clone(&relays));
    listen(Rc::clone(&node), settings.traffic, traffic::serve).await?;
    listen(Rc::clone(&node), settings.readiness, directory::readiness).await?;
    listen(Rc::clone(&node), settings.directory, directory::directory).await?;
    if let Some(address) = settings.operator {
        listen(Rc::clone(&node), address, operator::operator).await?;
    }
    spawn_local(gossip_loop::run(Rc::clone(&node), socket));
    let questions = TcpListener::bind(settings.gossip).await.wrap_err("questions of nodes")?;
    spawn_local(state_query::serve(Rc::clone(&node), questions));
    spawn_local(relay_loop::run(Rc::clone(&node), relays));
    spawn_local(platform_reader::read(Rc::clone(&node)));
    node.report.note(EventKind::Started);
    let mut expire = interval(EXPIRE_INTERVAL);
    let mut looks: u64 = 0;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => reread(&node, &read_settings),
            _ = expire.tick() => {
                node.dispatch.connections.expire();
                looks += 1;
                if looks.is_multiple_of(LOOKS_PER_REREAD) {
                    reread_if_changed(&node, &read_settings);
                }
            }
        }
    }
    stop::stop(Rc::clone(&node)).await;
    node.report.flush();
    Ok(())
}

/// The settings may change with no signal.
fn reread_if_changed<A: PlatformAdapter>(node: &Node<A>, read_settings: &impl Fn() -> Result<NodeSettings>) {
    if read_settings().is_ok_and(|settings| *node.settings() != settings) {
        reread(node, read_settings);
    }
}

/// Takes changed settings; addresses stay those of the start.
fn reread<A: PlatformAdapter>(node: &Node<A>, read_settings: &impl Fn() -> Result<NodeSettings>) {
    match read_settings() {
        Ok(settings) => {
            node.report.note(EventKind::Reloaded { changed: *node.settings() != settings });
            node.replace_settings(settings);
        }
        Err(problem) => node.report.note(EventKind::ReloadRefused { problem: format!("{problem:#}") }),
    }
}
