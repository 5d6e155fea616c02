//! The life of the process: start, planned stop, end.

use {
    crate::{counters::EntryCounters, entry::Entry, exchange::exchange, maintain::maintain},
    eyre::{Result, WrapErr},
    pointvane_config::{EntrySettings, Settings},
    pointvane_feed::spawn_feed,
    pointvane_serve::{Phase, ServeOptions, serve as accept},
    pointvane_telemetry::{EventKind, EventLog, Metrics, Program, serve_operator},
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

/// Time for a planned stop to be known to every locate. Not measured.
const STOP_SPREADS: Duration = Duration::from_millis(2_000);
/// Time between two checks for requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last answers to leave the kernel.
const FLUSH: Duration = Duration::from_millis(50);

/// Runs the entry until it is stopped.
///
/// # Errors
/// When it cannot start.
pub fn run(settings: Settings, log: slog::Logger) -> Result<()> {
    let threads = settings.entry.worker_threads;
    let runtime = Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
    let ended = runtime.block_on(serve(settings, log));
    runtime.shutdown_background();
    ended
}

async fn serve(settings: Settings, log: slog::Logger) -> Result<()> {
    let metrics = Arc::new(Metrics::new()?);
    let events = Arc::new(EventLog::new(settings.vm.name.clone(), Program::Entry, log));
    let counters = EntryCounters::new(&metrics.meter());
    let entry = Arc::new(Entry::new(settings, Arc::clone(&events), counters));
    let vm = &entry.settings.vm;
    let address = SocketAddr::new(vm.address, entry.settings.entry.port);
    let listener = TcpListener::bind(address).await.wrap_err_with(|| format!("entry port {address}"))?;
    let socket = UdpSocket::bind(address).await.wrap_err_with(|| format!("load port {address}"))?;
    let operator = SocketAddr::new(vm.address, entry.settings.operator.entry_port);
    let _operator = serve_operator(operator, metrics, Arc::clone(&events), Arc::clone(&entry))?;
    spawn_feed(SocketAddr::new(vm.address, entry.settings.control.port), Arc::clone(&entry));

    let (phase, phases) = watch::channel(Phase::Running);
    tokio::spawn(exchange(Arc::clone(&entry), socket));
    tokio::spawn(maintain(Arc::clone(&entry)));
    let accepting = tokio::spawn(accept(Arc::clone(&entry), listener, bounds(&entry.settings), phases));
    events.note(EventKind::Started);

    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&entry, &phase).await;
    accepting.abort();
    Ok(())
}

fn bounds(settings: &Settings) -> ServeOptions {
    let EntrySettings { connections_max, head_limit_bytes, head_timeout_ms, .. } = settings.entry;
    ServeOptions { connections_max, head_limit_bytes, head_timeout_ms }
}

/// A planned stop: callers are sent elsewhere first, then connections close, then what is in flight ends.
async fn stop(entry: &Entry, phase: &watch::Sender<Phase>) {
    entry.stopping.store(true, Ordering::Relaxed);
    entry.events.note(EventKind::Stopping { in_flight: u64::from(entry.requests()) });
    let until = Instant::now() + Duration::from_millis(entry.settings.entry.stop_wait_ms);
    // Callers may keep locate's answer that long, so their connections are still served.
    let grace = STOP_SPREADS + Duration::from_millis(entry.routes().locate_keep_ms);
    sleep(grace.min(until.saturating_duration_since(Instant::now()))).await;
    phase.send_replace(Phase::Closing);
    while in_flight(entry, phase) > 0 && Instant::now() < until {
        sleep(POLL_INTERVAL).await;
    }
    entry.events.note(EventKind::Stopped { cut: in_flight(entry, phase) });
    sleep(FLUSH).await;
}

/// Connections that still carry something, and keyed runs.
fn in_flight(entry: &Entry, phase: &watch::Sender<Phase>) -> u64 {
    phase.receiver_count() as u64 + entry.keyed_running.load(Ordering::Relaxed)
}
