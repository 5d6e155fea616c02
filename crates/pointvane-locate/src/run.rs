//! Startup and shutdown of the locate process.

use {
    crate::locate::Locate,
    eyre::{Result, WrapErr},
    pointvane_config::Settings,
    pointvane_feed::spawn_feed,
    pointvane_serve::{ClosingConnections, ServerOptions, ShutdownPhase, serve},
    pointvane_telemetry::{BuildInfo, EventKind, EventLog, Metrics, Program, serve_operator},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Maximum wait for open connections during a graceful shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a graceful shutdown checks for open connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the locate process until it gets SIGTERM or SIGINT.
///
/// # Errors
/// If the runtime, the metrics or a signal handler cannot be set up, or a port cannot be bound.
pub fn run(settings: Settings, log: slog::Logger, build: BuildInfo) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_locate(settings, log, build))
}

async fn run_locate(settings: Settings, log: slog::Logger, build: BuildInfo) -> Result<()> {
    let vm = settings.vm.clone();
    let address = SocketAddr::new(vm.address, settings.locate.port);
    let operator = SocketAddr::new(vm.address, settings.operator.locate_port);
    let control = SocketAddr::new(vm.address, settings.control.port);
    let metrics = Arc::new(Metrics::new()?);
    let events = Arc::new(EventLog::new(vm.name, Program::Locate, log));
    let lookups = metrics.meter().u64_counter("pointvane_locate_questions").build();
    let locate = Arc::new(Locate::new(settings, Arc::clone(&events), lookups));
    let listener = TcpListener::bind(address).await.wrap_err_with(|| format!("locate port {address}"))?;
    let _operator = serve_operator(build, operator, metrics, Arc::clone(&events), Arc::clone(&locate))?;
    spawn_feed(control, Arc::clone(&locate));
    events.record(EventKind::started(&build));

    let (phase, phases) = watch::channel(ShutdownPhase::Running);
    let closing = Arc::<ClosingConnections>::default();
    let server =
        tokio::spawn(serve(locate, listener, ServerOptions::default(), Arc::clone(&closing), phases));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    events.record(EventKind::Stopping { in_flight: phase.receiver_count() as u64 });
    phase.send_replace(ShutdownPhase::Closing);
    let drained = async {
        while phase.receiver_count() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    // Connections that are still open after the wait belong to callers that do not read their answers.
    let _ = timeout(DRAIN_TIMEOUT, drained).await;
    events.record(EventKind::Stopped { cut: phase.receiver_count() as u64 });
    closing.end_all();
    sleep(DRAIN_POLL_INTERVAL).await;
    server.abort();
    Ok(())
}
