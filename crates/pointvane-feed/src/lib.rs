//! Client side of the stream between a VM's control and its entry and locate.
//!
//! A thread keeps the stream up. While the control is away, what was last heard stays in force.
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

/// Longest time for the connection to the VM's own control. Not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the next try. Not measured.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longest silence of a control that is there; it sends a beat each second.
const SILENCE_MAX: Duration = Duration::from_secs(4);
/// Time between two reports. Not measured: the control takes 2 s without one as the program's end.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// What a program does with its feed.
pub trait FeedUser: Send + Sync + 'static {
    /// Who asks.
    const ROLE: FeedRole;

    /// Takes an update.
    fn update(&self, update: FeedUpdate);

    /// Hears that the stream came (back) or broke off.
    fn connected(&self, connected: bool);

    /// What to tell the control now; none for programs that tell nothing.
    fn report(&self) -> Option<EntryReport>;
}

/// Keeps the feed up for as long as the process lives.
pub fn spawn_feed<U: FeedUser>(control: SocketAddr, user: std::sync::Arc<U>) {
    thread::spawn(move || {
        let mut was_connected = false;
        loop {
            let ended = follow(control, &*user, &mut was_connected);
            if was_connected && ended.is_err() {
                user.connected(false);
                was_connected = false;
            }
            thread::sleep(RECONNECT_PAUSE);
        }
    });
}

fn follow<U: FeedUser>(control: SocketAddr, user: &U, was_connected: &mut bool) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&control, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(SILENCE_MAX))?;
    codec::write_frame(&mut stream, &FeedHello { role: U::ROLE })?;
    let mut reader = BufReader::new(stream.try_clone()?);
    user.connected(true);
    *was_connected = true;
    thread::scope(|scope| {
        scope.spawn(|| report(stream, user));
        loop {
            match codec::read_frame(&mut reader) {
                Ok(update) => user.update(update),
                Err(error) => {
                    // Ends the reporting side as well.
                    let _ = reader.get_ref().shutdown(std::net::Shutdown::Both);
                    return Err(error);
                }
            }
        }
    })
}

/// Tells reports until the stream breaks.
fn report<U: FeedUser>(mut stream: TcpStream, user: &U) {
    let mut next = Instant::now();
    while let Some(report) = user.report() {
        if codec::write_frame(&mut stream, &report).is_err() {
            return;
        }
        next += REPORT_INTERVAL;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}
