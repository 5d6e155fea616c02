//! Client of the feed: the stream from a VM's control process to its entry and locate processes.
//!
//! A thread keeps the stream connected. While the control process is unreachable, the last updates stay in
//! force.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use {
    pointvane_mesh::{EntryReport, FeedHello, FeedRole, FeedUpdate, codec},
    std::{
        io::{self, BufReader},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// Timeout for connecting to the VM's own control process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before connecting again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Timeout for data from the control process, which sends a heartbeat every second.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval of reports. The control process takes the program as stopped after 2 s without a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Callbacks of a program that uses the feed.
pub trait FeedHandler: Send + Sync + 'static {
    /// Role that the program announces to the control process.
    const ROLE: FeedRole;

    /// Handles an update from the control process.
    fn update(&self, update: FeedUpdate);

    /// Called when the stream has been connected (`true`) or lost (`false`).
    fn connection_changed(&self, connected: bool);

    /// Returns the report to send to the control process; `None` for programs that send no reports.
    fn report(&self) -> Option<EntryReport>;
}

/// Starts a thread that keeps the feed connected for the lifetime of the process.
pub fn spawn_feed<H: FeedHandler>(control: SocketAddr, handler: std::sync::Arc<H>) {
    thread::spawn(move || {
        let mut was_connected = false;
        loop {
            let result = run_connection(control, &*handler, &mut was_connected);
            if was_connected && result.is_err() {
                handler.connection_changed(false);
                was_connected = false;
            }
            thread::sleep(RECONNECT_PAUSE);
        }
    });
}

fn run_connection<H: FeedHandler>(
    control: SocketAddr,
    handler: &H,
    was_connected: &mut bool,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&control, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    codec::write_frame(&mut stream, &FeedHello { role: H::ROLE })?;
    let mut reader = BufReader::new(stream.try_clone()?);
    handler.connection_changed(true);
    *was_connected = true;
    thread::scope(|scope| {
        scope.spawn(|| send_reports(stream, handler));
        loop {
            match codec::read_frame(&mut reader) {
                Ok(update) => handler.update(update),
                Err(error) => {
                    // Makes the next write of `send_reports` fail, which ends its thread.
                    let _ = reader.get_ref().shutdown(std::net::Shutdown::Both);
                    return Err(error);
                }
            }
        }
    })
}

/// Sends reports until the stream breaks or the program has none.
fn send_reports<H: FeedHandler>(mut stream: TcpStream, handler: &H) {
    let mut next_report_at = Instant::now();
    while let Some(report) = handler.report() {
        if codec::write_frame(&mut stream, &report).is_err() {
            return;
        }
        next_report_at += REPORT_INTERVAL;
        thread::sleep(next_report_at.saturating_duration_since(Instant::now()));
    }
}
