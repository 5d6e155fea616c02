//! The life of the process.

use {
    crate::locate::Locate,
    eyre::{Result, eyre},
    pointvane_config::Settings,
    pointvane_feed::spawn_feed,
    pointvane_telemetry::{EventKind, EventLog, Metrics, Program, serve_operator},
    rouille::Server,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        flag,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

const POLL: Duration = Duration::from_millis(50);

/// Runs the locate until it is stopped.
///
/// # Errors
/// When it cannot start.
pub fn run(settings: Settings, log: slog::Logger) -> Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    flag::register(SIGTERM, Arc::clone(&stop))?;
    flag::register(SIGINT, Arc::clone(&stop))?;

    let vm = settings.vm.clone();
    let address = SocketAddr::new(vm.address, settings.locate.port);
    let operator = SocketAddr::new(vm.address, settings.operator.locate_port);
    let control = SocketAddr::new(vm.address, settings.control.port);
    let metrics = Arc::new(Metrics::new()?);
    let events = Arc::new(EventLog::new(vm.name, Program::Locate, log));
    let questions = metrics.meter().u64_counter("pointvane_locate_questions").build();
    let locate = Arc::new(Locate::new(settings, Arc::clone(&events), questions));
    let _operator = serve_operator(operator, metrics, Arc::clone(&events), Arc::clone(&locate))?;
    spawn_feed(control, Arc::clone(&locate));

    let answering = Arc::clone(&locate);
    let server = Server::new(address, move |request| answering.answer(request));
    let server = server.map_err(|error| eyre!("locate port {address}: {error}"))?;
    events.note(EventKind::Started);
    while !stop.load(Ordering::Relaxed) {
        server.poll_timeout(POLL);
    }
    events.note(EventKind::Stopping { in_flight: 0 });
    server.join();
    events.note(EventKind::Stopped { cut: 0 });
    Ok(())
}
