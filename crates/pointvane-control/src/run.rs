//! The life of the process.

use {
    crate::{
        counters::ControlCounters,
        fetch::{fetch_ordered, keep_in_step},
        gossip::gossip,
        platform::HttpPlatform,
        reader::Reader,
        serve::serve,
        state::State,
        value::{FetchOrder, ValueKind},
    },
    eyre::{Result, WrapErr},
    pointvane_config::Settings,
    pointvane_telemetry::{EventKind, EventLog, Metrics, Program, serve_operator},
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

/// Time between two checks for a signal.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the control until it is stopped.
///
/// # Errors
/// When it cannot start.
pub fn run(settings: Settings, log: slog::Logger) -> Result<()> {
    let stop = stop_on_signals()?;
    let address = SocketAddr::new(settings.vm.address, settings.control.port);
    let socket = UdpSocket::bind(address).wrap_err_with(|| format!("control port {address}"))?;
    let listener = TcpListener::bind(address).wrap_err_with(|| format!("control port {address}"))?;
    let operator = SocketAddr::new(settings.vm.address, settings.operator.control_port);
    let metrics = Arc::new(Metrics::new()?);
    let events = Arc::new(EventLog::new(settings.vm.name.clone(), Program::Control, log));
    let counters = ControlCounters::new(&metrics.meter());
    let (fetches, orders) = mpsc::channel();
    let platform_address = settings.platform.address;
    let state = State::new(settings, Arc::clone(&events), counters, socket.try_clone()?, fetches);
    let state = Arc::new(state);
    let _operator = serve_operator(operator, metrics, Arc::clone(&events), Arc::clone(&state))?;

    start_readers(&state, platform_address, orders);
    start_exchange(&state, socket, listener, Arc::clone(&stop));
    events.note(EventKind::Started);

    while !stop.load(Ordering::Relaxed) {
        thread::sleep(POLL_INTERVAL);
    }
    events.note(EventKind::Stopping { in_flight: 0 });
    state.leave();
    events.note(EventKind::Stopped { cut: 0 });
    thread::sleep(POLL_INTERVAL);
    Ok(())
}

/// A flag that is set once the process is asked to stop.
fn stop_on_signals() -> Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    flag::register(SIGTERM, Arc::clone(&stop))?;
    flag::register(SIGINT, Arc::clone(&stop))?;
    Ok(stop)
}

/// Starts the threads that fetch values, from other VMs and from the platform.
fn start_readers(state: &Arc<State>, platform: SocketAddr, orders: Receiver<FetchOrder>) {
    spawn(state, move |state| fetch_ordered(state, &orders));
    spawn(state, keep_in_step);
    for kind in [ValueKind::Configuration, ValueKind::VmList] {
        let platform = HttpPlatform::new(platform);
        spawn(state, move |state| Reader::new(state, platform, kind).run());
    }
}

/// Starts the threads that serve the feed and other VMs, and gossip until `stop` is set.
fn start_exchange(state: &Arc<State>, socket: UdpSocket, listener: TcpListener, stop: Arc<AtomicBool>) {
    let serving = Arc::clone(state);
    thread::spawn(move || serve(&serving, &listener));
    spawn(state, move |state| gossip(state, &socket, &stop));
}

fn spawn(state: &Arc<State>, work: impl FnOnce(&State) + Send + 'static) {
    let state = Arc::clone(state);
    thread::spawn(move || work(&state));
}
