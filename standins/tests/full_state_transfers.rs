//! Memory use of a node that sends its complete state to many other nodes at once.

mod users_platform;

use {
    googletest::prelude::*,
    pointvane_dispatch::{ReadMark, StateRequest},
    pointvane_mesh::codec,
    socket2::{Domain, Socket, Type},
    std::{
        fs,
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
    users_platform::{NodeProcess, Store, Upstream, UpstreamBehaviour},
};

/// Number of upstreams in a large fleet.
const UPSTREAMS: usize = 6_000;
/// Number of nodes that start at the same moment.
const STARTING_NODES: usize = 300;
/// Port on which nodes answer queries of their peers.
const QUERY_PORT: u16 = 7_660;
/// Maximum growth of the peak memory of a node, in kilobytes: enough for a few encodings of each upstream,
/// but not for one per starting node.
const MAX_ADDED_KB: u64 = 12_000;

/// Peak resident memory of a process, in kilobytes.
fn peak_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Queries the complete state as a node that reads the response slowly.
fn query(node: &NodeProcess) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&SocketAddr::from((node.ip, QUERY_PORT)).into()).unwrap();
    let mut stream = TcpStream::from(socket);
    let request = StateRequest { known: ReadMark::default() };
    stream.write_all(&codec::encode_frame(&request).unwrap()).unwrap();
    stream
}

#[gtest]
fn hundreds_of_nodes_starting_together_use_no_more_memory_of_a_node_than_a_few() {
    let store = Store::start();
    let upstream = Upstream::start("i-0", UpstreamBehaviour::Normal);
    store.configure(5, &[("/", "safe", 5_000, "app")]);
    store.list(&upstream, "ready", 1);
    store.list_unreachable(UPSTREAMS);
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    thread::sleep(Duration::from_secs(1));
    let before_kb = peak_kb(node.id());
    let queries: Vec<TcpStream> = (0..STARTING_NODES).map(|_| query(&node)).collect();
    thread::sleep(Duration::from_secs(1));
    let responses = queries.into_iter().map(|mut stream| {
        let mut bytes = Vec::new();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        // A response that was cut off counts with the bytes that arrived.
        _ = stream.read_to_end(&mut bytes);
        bytes.len()
    });
    let lengths: Vec<usize> = responses.collect();
    let added_kb = peak_kb(node.id()) - before_kb;
    let complete = lengths.iter().filter(|length| **length > 1_000).count();
    let longest = lengths.iter().max().unwrap();
    println!("peak before {before_kb} KB, {added_kb} KB more; {complete} whole states of {longest} bytes");
    expect_that!(added_kb, le(MAX_ADDED_KB));
    expect_that!(complete, ge(1));
}
