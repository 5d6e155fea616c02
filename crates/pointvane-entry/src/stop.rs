//! Lifecycle of the process: start, graceful stop, exit.

use {
    crate::{counters::EntryCounters, entry::Entry, load_exchange::exchange_load, maintain::maintain},
    eyre::{Result, WrapErr},
    pointvane_config::{EntrySettings, Settings},
    pointvane_feed::spawn_feed,
    pointvane_serve::{ClosingConnections, ServerOptions, ShutdownPhase, serve as accept},
    pointvane_telemetry::{BuildInfo, EventKind, EventLog, Metrics, Program, serve_operator},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Time for a planned stop to become known to all locate processes.
const STOP_PROPAGATION_TIME: Duration = Duration::from_millis(2_000);
/// Interval between two checks for requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the kernel to send the last responses.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Runs the entry until it receives SIGTERM or SIGINT and has stopped.
///
/// # Errors
/// If the process cannot start, such as when a port cannot be bound.
pub fn run(settings: Settings, log: slog::Logger, build: BuildInfo) -> Result<()> {
    let threads = settings.entry.worker_threads;
    let runtime = Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
    let result = runtime.block_on(serve(settings, log, build));
    runtime.shutdown_background();
    result
}

async fn serve(settings: Settings, log: slog::Logger, build: BuildInfo) -> Result<()> {
    let metrics = Arc::new(Metrics::new()?);
    let events = Arc::new(EventLog::new(settings.vm.name.clone(), Program::Entry, log));
    let counters = EntryCounters::new(&metrics.meter());
    let entry = Arc::new(Entry::new(settings, Arc::clone(&events), counters));
    let vm = &entry.settings.vm;
    let address = SocketAddr::new(vm.address, entry.settings.entry.port);
    let listener =
        TcpListener::bind(address).await.wrap_err_with(|| format!("cannot bind entry port {address}"))?;
    let socket =
        UdpSocket::bind(address).await.wrap_err_with(|| format!("cannot bind load port {address}"))?;
    let operator = SocketAddr::new(vm.address, entry.settings.operator.entry_port);
    let _operator = serve_operator(build, operator, metrics, Arc::clone(&events), Arc::clone(&entry))?;
    spawn_feed(SocketAddr::new(vm.address, entry.settings.control.port), Arc::clone(&entry));

    let (phase, phase_receiver) = watch::channel(ShutdownPhase::Running);
    tokio::spawn(exchange_load(Arc::clone(&entry), socket));
    tokio::spawn(maintain(Arc::clone(&entry)));
    let closing = Arc::<ClosingConnections>::default();
    let options = server_options(&entry.settings);
    let accept_task =
        tokio::spawn(accept(Arc::clone(&entry), listener, options, Arc::clone(&closing), phase_receiver));
    events.record(EventKind::started(&build));

    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&entry, &phase, &closing).await;
    accept_task.abort();
    Ok(())
}

fn server_options(settings: &Settings) -> ServerOptions {
    let EntrySettings { connections_max, head_limit_bytes, head_timeout_ms, .. } = settings.entry;
    ServerOptions { connections_max, head_limit_bytes, head_timeout_ms }
}

/// Stops gracefully: serves on until callers have been directed to other VMs, then refuses new connections,
/// closes each open one after its current request and waits for them to end, all within `entry.stop_wait_ms`.
async fn stop(entry: &Entry, phase: &watch::Sender<ShutdownPhase>, closing: &ClosingConnections) {
    entry.stopping.store(true, Ordering::Relaxed);
    entry.events.record(EventKind::Stopping { in_flight: u64::from(entry.requests()) });
    let stop_deadline = Instant::now() + Duration::from_millis(entry.settings.entry.stop_wait_ms);
    // Callers may cache an answer of the locate service for this long, so connections are still accepted.
    let grace = STOP_PROPAGATION_TIME + Duration::from_millis(entry.routes().locate_keep_ms);
    sleep(grace.min(stop_deadline.saturating_duration_since(Instant::now()))).await;
    phase.send_replace(ShutdownPhase::Closing);
    while in_flight(entry, phase) > 0 && Instant::now() < stop_deadline {
        sleep(POLL_INTERVAL).await;
    }
    entry.events.record(EventKind::Stopped { cut: in_flight(entry, phase) });
    closing.end_all();
    sleep(FLUSH_TIME).await;
}

/// Number of open connections and of running requests with an idempotency key.
fn in_flight(entry: &Entry, phase: &watch::Sender<ShutdownPhase>) -> u64 {
    phase.receiver_count() as u64 + entry.keyed_in_flight.load(Ordering::Relaxed)
}
