//! Responses of a stand-in upstream.

use {
    super::{
        RESPONSE_STAMP_HEADER,
        behaviour::{BodyEnd, BodyLength, UpstreamBehaviour},
    },
    std::{
        io::{self, Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

/// Writes a complete response.
pub fn write_ok(mut stream: &TcpStream, id: &str) -> io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{RESPONSE_STAMP_HEADER}: s\r\npointvane-instance-load: 1,0,3,100\r\n\r\nhello"
    )
}

/// Bytes of a chunk, and those that are missing of a body that breaks off.
const CHUNK_BYTES: usize = 10_000;

/// Writes a response with a body of zeros.
pub fn write_long(mut stream: &TcpStream, id: &str, length: BodyLength, end: BodyEnd) -> io::Result<()> {
    let (framing, bytes) = match length {
        BodyLength::Known(bytes) => (format!("content-length: {bytes}"), bytes),
        BodyLength::Chunked(bytes) => ("transfer-encoding: chunked".into(), bytes),
    };
    write!(
        stream,
        "HTTP/1.1 200 OK\r\n{framing}\r\npointvane-request-id: {id}\r\n{RESPONSE_STAMP_HEADER}: s\r\npointvane-instance-load: 1,0,3,100\r\n\r\n"
    )?;
    let sent_bytes = if end == BodyEnd::Complete { bytes } else { bytes - CHUNK_BYTES };
    for offset in (0..sent_bytes).step_by(CHUNK_BYTES) {
        let chunk = vec![b'0'; CHUNK_BYTES.min(sent_bytes - offset)];
        match length {
            BodyLength::Known(_) => stream.write_all(&chunk)?,
            BodyLength::Chunked(_) => {
                write!(stream, "{:x}\r\n", chunk.len())?;
                stream.write_all(&chunk)?;
                stream.write_all(b"\r\n")?;
            }
        }
    }
    if length == BodyLength::Chunked(bytes) && end == BodyEnd::Complete {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Load report of an upstream without a free slot.
const FULL: &str = "pointvane-instance-load: 3,6,3,300\r\n";

/// Writes a complete response that reports that all slots are in use.
pub fn write_ok_full(mut stream: &TcpStream, id: &str) -> io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{RESPONSE_STAMP_HEADER}: s\r\n{FULL}\r\nhello"
    )
}

/// Writes a response with an empty body and additional header lines.
pub fn write_rejection(mut stream: &TcpStream, status: &str, id: &str, extra: &str) -> io::Result<()> {
    write!(stream, "HTTP/1.1 {status}\r\ncontent-length: 0\r\npointvane-request-id: {id}\r\n{extra}\r\n")
}

/// Writes a complete response that announces that the upstream is leaving.
pub fn write_ok_leaving(mut stream: &TcpStream, id: &str) -> io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{RESPONSE_STAMP_HEADER}: s\r\nserver-leaving: 1\r\npointvane-instance-load: 1,0,3,100\r\n\r\nhello"
    )
}

/// Writes a complete response that announces how many requests per 1000 s the upstream accepts.
pub fn write_ok_with_limit(mut stream: &TcpStream, id: &str, per_1000_s: u32) -> io::Result<()> {
    let limit = f64::from(per_1000_s) / 1e3;
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{RESPONSE_STAMP_HEADER}: s\r\nserver-limit: {limit}\r\npointvane-instance-load: 1,0,3,100\r\n\r\nhello"
    )
}

/// Rejects a request and asks for a pause, with a load report that says the upstream is idle.
pub fn write_pause_request(stream: &TcpStream, id: &str, pause_ms: u64) -> io::Result<()> {
    let seconds = pause_ms as f64 / 1e3;
    let extra = format!(
        "pointvane-not-executed: 1\r\nretry-after: {seconds}\r\npointvane-instance-load: 0,0,3,100\r\n"
    );
    write_rejection(stream, "503 Service Unavailable", id, &extra)
}

/// Answers a health probe, with the headers that the behaviour adds.
pub fn write_health(mut stream: &TcpStream, upstream: &str, behaviour: UpstreamBehaviour) -> io::Result<()> {
    let extra = match behaviour {
        UpstreamBehaviour::NoLoadReport | UpstreamBehaviour::ResetIdleWithoutLoadReport => "",
        UpstreamBehaviour::ReportFull => FULL,
        UpstreamBehaviour::AnnounceLeaving => "pointvane-instance-load: 0,0,3,100\r\nserver-leaving: 1\r\n",
        UpstreamBehaviour::Cold => {
            "pointvane-instance-load: 0,0,3,100\r\npointvane-warmup-remaining: 60000\r\n"
        }
        _ => "pointvane-instance-load: 0,0,3,100\r\n",
    };
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\npointvane-instance-id: {upstream}\r\n{extra}\r\n")
}

/// Waits up to the given time for the peer to close the connection; returns whether it did.
pub fn is_closed_within(stream: &TcpStream, time: Duration) -> bool {
    if stream.set_read_timeout(Some(time)).is_err() {
        return true;
    }
    let closed = matches!((&mut &*stream).read(&mut [0; 1]), Ok(0));
    _ = stream.set_read_timeout(None);
    closed
}

/// Whether the peer has closed the connection.
pub fn is_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let closed = matches!(stream.peek(&mut [0; 1]), Ok(0));
    stream.set_nonblocking(false)?;
    Ok(closed)
}
