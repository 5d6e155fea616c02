//! Answers that a stand-in for an upstream gives.

use {
    super::{STAMP, manner::Manner},
    std::{
        io::{self, Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

pub fn whole(mut stream: &TcpStream, id: &str) -> io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{STAMP}: s\r\npointvane-instance-load: 1,0,3,100\r\n\r\nhello"
    )
}

pub fn refuse(mut stream: &TcpStream, status: &str, id: &str, extra: &str) -> io::Result<()> {
    write!(stream, "HTTP/1.1 {status}\r\ncontent-length: 0\r\npointvane-request-id: {id}\r\n{extra}\r\n")
}

/// A whole answer that says that its upstream is leaving.
pub fn whole_of_one_that_leaves(mut stream: &TcpStream, id: &str) -> io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{STAMP}: s\r\nserver-leaving: 1\r\npointvane-instance-load: 1,0,3,100\r\n\r\nhello"
    )
}

/// A whole answer that names how many requests its upstream takes.
pub fn whole_of_one_that_names_a_limit(mut stream: &TcpStream, id: &str, per_1000_s: u32) -> io::Result<()> {
    let limit = f64::from(per_1000_s) / 1e3;
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{STAMP}: s\r\nserver-limit: {limit}\r\npointvane-instance-load: 1,0,3,100\r\n\r\nhello"
    )
}

/// Turns a request away and asks for a pause, as one that has nothing to do.
pub fn ask_for_pause(stream: &TcpStream, id: &str, pause_ms: u64) -> io::Result<()> {
    let seconds = pause_ms as f64 / 1e3;
    let told = format!(
        "pointvane-not-executed: 1\r\nretry-after: {seconds}\r\npointvane-instance-load: 0,0,3,100\r\n"
    );
    refuse(stream, "503 Service Unavailable", id, &told)
}

/// Tells that it is well, and what else its manner tells.
pub fn healthy(mut stream: &TcpStream, upstream: &str, manner: Manner) -> io::Result<()> {
    let told = match manner {
        Manner::TellsNothing | Manner::ForgetIdleSilently => "",
        Manner::SayLeaving => "pointvane-instance-load: 0,0,3,100\r\nserver-leaving: 1\r\n",
        Manner::Cold => "pointvane-instance-load: 0,0,3,100\r\npointvane-warmup-remaining: 60000\r\n",
        _ => "pointvane-instance-load: 0,0,3,100\r\n",
    };
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\npointvane-instance-id: {upstream}\r\n{told}\r\n")
}

/// Whether the peer closes within a time.
pub fn closed_within(stream: &TcpStream, time: Duration) -> bool {
    if stream.set_read_timeout(Some(time)).is_err() {
        return true;
    }
    let closed = matches!((&mut &*stream).read(&mut [0; 1]), Ok(0));
    _ = stream.set_read_timeout(None);
    closed
}

/// Whether the peer has closed by now.
pub fn is_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let closed = matches!(stream.peek(&mut [0; 1]), Ok(0));
    stream.set_nonblocking(false)?;
    Ok(closed)
}
