//! The life of the process.

use {
    crate::locate::Locate,
    eyre::{Result, WrapErr},
    pointvane_config::Settings,
    pointvane_feed::spawn_feed,
    pointvane_serve::{Phase, ServeOptions, serve},
    pointvane_telemetry::{EventKind, EventLog, Metrics, Program, serve_operator},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Longest wait for answers under way at a planned stop.
const STOP_WAIT: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(10);

/// Runs the locate until it is stopped.
///
/// # Errors
/// When it cannot start.
pub fn run(settings: Settings, log: slog::Logger) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(locate(settings, log))
}

async fn locate(settings: Settings, log: slog::Logger) -> Result<()> {
    let vm = settings.vm.clone();
    let address = SocketAddr::new(vm.address, settings.locate.port);
    let operator = SocketAddr::new(vm.address, settings.operator.locate_port);
    let control = SocketAddr::new(vm.address, settings.control.port);
    let metrics = Arc::new(Metrics::new()?);
    let events = Arc::new(EventLog::new(vm.name, Program::Locate, log));
    let questions = metrics.meter().u64_counter("pointvane_locate_questions").build();
    let locate = Arc::new(Locate::new(settings, Arc::clone(&events), questions));
    let listener = TcpListener::bind(address).await.wrap_err_with(|| format!("locate port {address}"))?;
    let _operator = serve_operator(operator, metrics, Arc::clone(&events), Arc::clone(&locate))?;
    spawn_feed(control, Arc::clone(&locate));
    events.note(EventKind::Started);

    let (phase, phases) = watch::channel(Phase::Running);
    let serving = tokio::spawn(serve(locate, listener, ServeOptions::default(), phases));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    events.note(EventKind::Stopping { in_flight: phase.receiver_count() as u64 });
    phase.send_replace(Phase::Closing);
    let ended = async {
        while phase.receiver_count() > 0 {
            sleep(LOOK).await;
        }
    };
    // Beyond the wait only callers that never read their answer are left.
    let _ = timeout(STOP_WAIT, ended).await;
    events.note(EventKind::Stopped { cut: phase.receiver_count() as u64 });
    serving.abort();
    Ok(())
}
