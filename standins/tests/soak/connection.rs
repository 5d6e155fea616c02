//! A caller's persistent connection to one node.

use {
    crate::users_platform::{Message, read_message},
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Exceeds any pause of a node and any route's timeout, so that callers don't close a connection because a
/// node is slow.
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// Persistent connection to one node, given by its index in the fleet.
pub struct Connection {
    pub node_index: usize,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(node_index: usize, address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(Self { node_index, reader: BufReader::new(stream) })
    }

    /// Pipelines requests; returns fewer answers than requests if the connection closes or fails.
    pub fn call_all(&mut self, heads: &[String]) -> Vec<Message> {
        if self.reader.get_mut().write_all(heads.concat().as_bytes()).is_err() {
            return Vec::new();
        }
        let mut answers = Vec::new();
        while answers.len() < heads.len()
            && let Ok(answer) = read_message(&mut self.reader)
        {
            let open = keeps_open(&answer);
            answers.push(answer);
            if !open {
                break;
            }
        }
        answers
    }

    /// Sends one request; returns none if the connection fails.
    pub fn call(&mut self, head: &str) -> Option<Message> {
        self.reader.get_mut().write_all(head.as_bytes()).ok()?;
        read_message(&mut self.reader).ok()
    }
}

/// Returns whether the connection stays open after this answer.
pub fn keeps_open(answer: &Message) -> bool {
    !answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}
