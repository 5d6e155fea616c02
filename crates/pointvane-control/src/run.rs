//! Startup and shutdown of the control process.

use {
    crate::{
        counters::ControlCounters,
        fetch::{run_anti_entropy, run_fetches},
        gossip::gossip,
        platform::HttpPlatform,
        reader::Reader,
        serve::serve,
        state::State,
        value::{FetchRequest, ValueKind},
    },
    eyre::{Result, WrapErr},
    pointvane_config::Settings,
    pointvane_telemetry::{BuildInfo, EventKind, EventLog, Metrics, Program, serve_operator},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        flag,
    },
    std::{
        net::{SocketAddr, TcpListener, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
            mpsc::{self, Receiver},
        },
        thread,
        time::Duration,
    },
};

/// Interval at which the stop flag is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the control process until it gets SIGTERM or SIGINT.
///
/// # Errors
/// If a signal handler or the metrics cannot be set up, or a port cannot be bound.
pub fn run(settings: Settings, log: slog::Logger, build: BuildInfo) -> Result<()> {
    let stop = stop_on_signals()?;
    let address = SocketAddr::new(settings.vm.address, settings.control.port);
    let socket = UdpSocket::bind(address).wrap_err_with(|| format!("control port {address}"))?;
    let listener = TcpListener::bind(address).wrap_err_with(|| format!("control port {address}"))?;
    let operator = SocketAddr::new(settings.vm.address, settings.operator.control_port);
    let metrics = Arc::new(Metrics::new()?);
    let events = Arc::new(EventLog::new(settings.vm.name.clone(), Program::Control, log));
    let counters = ControlCounters::new(&metrics.meter());
    let (fetch_sender, fetch_requests) = mpsc::channel();
    let platform_address = settings.platform.address;
    let state = State::new(settings, Arc::clone(&events), counters, socket.try_clone()?, fetch_sender);
    let state = Arc::new(state);
    let _operator = serve_operator(build, operator, metrics, Arc::clone(&events), Arc::clone(&state))?;

    start_readers(&state, platform_address, fetch_requests);
    start_servers(&state, socket, listener, Arc::clone(&stop));
    events.record(EventKind::started(&build));

    while !stop.load(Ordering::Relaxed) {
        thread::sleep(POLL_INTERVAL);
    }
    events.record(EventKind::Stopping { in_flight: 0 });
    state.leave();
    events.record(EventKind::Stopped { cut: 0 });
    thread::sleep(POLL_INTERVAL);
    Ok(())
}

/// Returns a flag that is set on SIGTERM or SIGINT.
fn stop_on_signals() -> Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    flag::register(SIGTERM, Arc::clone(&stop))?;
    flag::register(SIGINT, Arc::clone(&stop))?;
    Ok(stop)
}

/// Starts the threads that read values from other VMs and from the platform.
fn start_readers(state: &Arc<State>, platform: SocketAddr, fetch_requests: Receiver<FetchRequest>) {
    spawn(state, move |state| run_fetches(state, &fetch_requests));
    spawn(state, run_anti_entropy);
    for kind in [ValueKind::Configuration, ValueKind::VmList] {
        let platform = HttpPlatform::new(platform);
        spawn(state, move |state| Reader::new(state, platform, kind).run());
    }
}

/// Starts the threads that serve the feed and other VMs, and the gossip thread, which runs until `stop` is
/// set.
fn start_servers(state: &Arc<State>, socket: UdpSocket, listener: TcpListener, stop: Arc<AtomicBool>) {
    let server_state = Arc::clone(state);
    thread::spawn(move || serve(&server_state, &listener));
    spawn(state, move |state| gossip(state, &socket, &stop));
}

fn spawn(state: &Arc<State>, work: impl FnOnce(&State) + Send + 'static) {
    let state = Arc::clone(state);
    thread::spawn(move || work(&state));
}
