//! The lifecycle of a node process: startup, reload of settings, graceful shutdown.

use {
    crate::{
        caller_connection, contention_loop,
        cross_traffic::CrossTraffic,
        directory,
        fleet::{
            CONTENTION_PORT_OFFSET, FORWARD_PORT_OFFSET, LIMIT_PORT_OFFSET, QUARANTINE_PORT_OFFSET,
            QUOTA_PORT_OFFSET, RELAY_PORT_OFFSET, Sockets,
        },
        gossip_loop, limit_loop, memory_loop,
        node::Node,
        operator, peer_requests, quarantine_loop, quota_loop, reachability,
        replica::{platform_reader, relay_loop, state_query},
        report::Report,
        serve::{listen, serve_sequentially},
        settings::NodeSettings,
        stop,
    },
    eyre::{Result, WrapErr},
    pointvane_config::{FleetOptions, NodeOptions},
    pointvane_core::PlatformAdapter,
    pointvane_telemetry::{BuildInfo, EventKind},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        runtime::Builder,
        signal::unix::{Signal, SignalKind, signal},
        task::{LocalSet, spawn_local},
        time::interval,
    },
};

/// Time between two sweeps of idle upstream connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Number of sweeps between two checks of the settings, which may change without a signal.
const SWEEPS_PER_SETTINGS_CHECK: u64 = 5;

/// Runs a node until SIGTERM. `read_settings` is called at startup, on SIGHUP and periodically.
///
/// # Errors
/// Fails if the settings cannot be read at startup, or if the runtime, a signal handler or a socket cannot be
/// set up.
pub fn run<A, S>(adapter: A, options: NodeOptions, read_settings: S, build: BuildInfo) -> Result<()>
where
    A: PlatformAdapter + 'static,
    S: Fn() -> Result<NodeSettings> + 'static,
{
    let settings = read_settings()?;
    let report = Report::new(&settings.name, options.lines, build)?;
    let runtime =
        Builder::new_current_thread().enable_all().build().wrap_err("cannot create the Tokio runtime")?;
    let node = Rc::new(Node::new(adapter, settings, &options, report));
    LocalSet::new().block_on(&runtime, run_until_stopped(node, options.fleet, read_settings))
}

async fn run_until_stopped<A, S>(node: Rc<Node<A>>, fleet: FleetOptions, read_settings: S) -> Result<()>
where
    A: PlatformAdapter + 'static,
    S: Fn() -> Result<NodeSettings> + 'static,
{
    let terminate = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
    let reload = signal(SignalKind::hangup()).wrap_err("cannot handle SIGHUP")?;
    start(&node, fleet).await?;
    node.report.record(EventKind::started(&node.report.build));
    maintain_until_terminated(&node, terminate, reload, &read_settings).await;
    stop::stop(Rc::clone(&node)).await;
    node.report.flush();
    Ok(())
}

/// Opens all sockets and spawns the tasks that run until the process ends.
async fn start<A: PlatformAdapter + 'static>(node: &Rc<Node<A>>, fleet: FleetOptions) -> Result<()> {
    let settings = node.settings().clone();
    let ip = fleet.bind_ip.unwrap_or(settings.gossip.ip());
    let gossip = SocketAddr::new(ip, settings.gossip.port());
    let sockets = open_sockets(gossip, node.report.cross_traffic.clone()).await?;
    node.fleet.set_sockets(sockets.clone());
    listen_to_callers(node, &settings).await?;
    let forwards = SocketAddr::new(ip, gossip.port() + FORWARD_PORT_OFFSET);
    listen(Rc::clone(node), forwards, peer_requests::serve).await?;
    let queries = TcpListener::bind(gossip).await.wrap_err("cannot bind the state query socket")?;
    spawn_local(gossip_loop::run(Rc::clone(node), sockets.gossip));
    spawn_local(state_query::serve(Rc::clone(node), queries));
    spawn_local(relay_loop::run(Rc::clone(node), sockets.relays));
    spawn_local(quarantine_loop::run(Rc::clone(node), sockets.quarantine));
    spawn_local(quota_loop::run(Rc::clone(node), sockets.quotas));
    spawn_local(limit_loop::run(Rc::clone(node), sockets.limits));
    spawn_local(memory_loop::run(Rc::clone(node)));
    spawn_local(contention_loop::run(Rc::clone(node), sockets.contention));
    spawn_local(reachability::check_lost_services(Rc::clone(node)));
    spawn_local(platform_reader::read(Rc::clone(node)));
    Ok(())
}

/// Binds the UDP sockets to other nodes, at fixed offsets from the gossip port.
async fn open_sockets(gossip: SocketAddr, traffic: CrossTraffic) -> Result<Sockets> {
    let open = async |port_offset, error_context| {
        let address = SocketAddr::new(gossip.ip(), gossip.port() + port_offset);
        UdpSocket::bind(address).await.map(Rc::new).wrap_err(error_context)
    };
    Ok(Sockets {
        gossip: open(0, "cannot bind the gossip socket").await?,
        relays: open(RELAY_PORT_OFFSET, "cannot bind the relay socket").await?,
        quarantine: open(QUARANTINE_PORT_OFFSET, "cannot bind the quarantine socket").await?,
        quotas: open(QUOTA_PORT_OFFSET, "cannot bind the quota socket").await?,
        limits: open(LIMIT_PORT_OFFSET, "cannot bind the limit socket").await?,
        contention: open(CONTENTION_PORT_OFFSET, "cannot bind the contention socket").await?,
        traffic,
    })
}

/// Listens for callers, readiness checks, directory lookups and operators.
async fn listen_to_callers<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    settings: &NodeSettings,
) -> Result<()> {
    listen(Rc::clone(node), settings.traffic, caller_connection::serve).await?;
    let readiness = |node, stream| serve_sequentially(node, stream, directory::readiness);
    listen(Rc::clone(node), settings.readiness, readiness).await?;
    let directory = |node, stream| serve_sequentially(node, stream, directory::directory);
    listen(Rc::clone(node), settings.directory, directory).await?;
    if let Some(address) = settings.operator {
        let operator = |node, stream| serve_sequentially(node, stream, operator::operator);
        listen(Rc::clone(node), address, operator).await?;
    }
    Ok(())
}

/// Closes idle connections and reloads settings until SIGTERM.
async fn maintain_until_terminated<A: PlatformAdapter>(
    node: &Node<A>,
    mut terminate: Signal,
    mut reload: Signal,
    read_settings: &impl Fn() -> Result<NodeSettings>,
) {
    let mut sweep_ticks = interval(IDLE_SWEEP_INTERVAL);
    let mut sweeps: u64 = 0;
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = reload.recv() => reload_settings(node, read_settings),
            _ = sweep_ticks.tick() => {
                node.dispatcher.connections.expire();
                sweeps += 1;
                if sweeps.is_multiple_of(SWEEPS_PER_SETTINGS_CHECK) {
                    reload_if_changed(node, read_settings);
                }
            }
        }
    }
}

/// Reloads the settings if they changed without a signal.
///
/// Unreadable settings are ignored here and reported only by a reload on SIGHUP: a file that is being written
/// would otherwise cause a log line every few seconds.
fn reload_if_changed<A: PlatformAdapter>(node: &Node<A>, read_settings: &impl Fn() -> Result<NodeSettings>) {
    if read_settings().is_ok_and(|settings| *node.settings() != settings) {
        reload_settings(node, read_settings);
    }
}

/// Reloads the settings. Listening addresses keep their values from startup.
fn reload_settings<A: PlatformAdapter>(node: &Node<A>, read_settings: &impl Fn() -> Result<NodeSettings>) {
    match read_settings() {
        Ok(settings) => {
            node.report.record(EventKind::Reloaded { changed: *node.settings() != settings });
            node.replace_settings(settings);
        }
        Err(problem) => node.report.record(EventKind::ReloadRefused { problem: format!("{problem:#}") }),
    }
}
