//! LOST: a node is stopped as planned while unsafe requests run, behind which their clients have sent safe ones; do
//! the answers of the unsafe requests arrive whole?

use {
    review_standins::{
        http::{Connection, Head},
        instance::{Act, Entry},
        setup::{Arguments, BROKEN, Deployment, HELD, Route, run},
    },
    std::{
        collections::BTreeSet,
        io,
        net::TcpStream,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// Clients; all have kept connections to the node that is stopped.
const CLIENTS: u64 = 12;
/// Safe requests that a client sends before its unsafe one is answered.
const BEHIND: u64 = 6;
/// A header of the size of a session's token; the whole head stays far below `max-header-bytes` of 16,384.
const TOKEN_BYTES: usize = 6_000;
/// How long instances work on an unsafe request, and the length of its answer's body.
const WORK: Duration = Duration::from_millis(800);
const LENGTH: usize = 200_000;
/// Clients read 16 KB in this time, as over a link of some 25 Mbit/s.
const PAUSE: Duration = Duration::from_millis(5);
/// When the node is stopped, after all requests were sent.
const STOPPED_AFTER: Duration = Duration::from_millis(300);

fn main() {
    run(case)
}

fn case(arguments: &Arguments) -> io::Result<i32> {
    let route = |prefix, kind, service| Route {
        host: "jepu9.example",
        prefix,
        kind,
        timeout_ms: 2_500,
        target_ms: 800,
        max_attempts: 2,
        service,
    };
    let routes = [route("/lepu270/", "safe", "huvo11a"), route("/xapu221/", "unsafe", "wuno96b")];
    let zones = ["norte-a", "norte-b", "norte-c"];
    let entry = |at: usize| Entry {
        id: format!("i-{at:08x}"),
        service: if at < 3 { "huvo11a" } else { "wuno96b" }.into(),
        zone: zones[at % zones.len()].into(),
        slots: 12,
    };
    let behaviour = |_: &str, head: &Head| match head.method() {
        "POST" => Act::success(WORK, LENGTH),
        _ => Act::success(Duration::from_millis(40), 400),
    };
    let deployment =
        Deployment::start(arguments, &routes, (0..6).map(entry).collect(), 3, Arc::new(behaviour))?;
    let whole: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, whole) = (Arc::clone(&deployment.record), Arc::clone(&whole));
        let address = deployment.fleet.front(0);
        clients.push(thread::spawn(move || -> io::Result<()> {
            let mut connection = Connection::new(TcpStream::connect(address)?);
            connection.stream.set_read_timeout(Some(Duration::from_secs(8)))?;
            connection.pause = PAUSE;
            let number = |at: u64| client * (BEHIND + 2) + at;
            let safe = |at: u64, token: usize| {
                format!(
                    "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nPointvane-Request-Id: {:016x}\r\n\
                     Pointvane-Deadline-Ms: 4000\r\nCookie: session={}\r\n\r\n",
                    number(at),
                    "t".repeat(token)
                )
            };
            // The connection is kept from an earlier request.
            connection.send(safe(0, 20).as_bytes())?;
            let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            connection.body(&head)?;
            let id = format!("{:016x}", number(1));
            let order = format!(
                "POST /xapu221/2f HTTP/1.1\r\nHost: jepu9.example\r\nPointvane-Request-Id: {id}\r\n\
                 Pointvane-Deadline-Ms: 5000\r\nContent-Length: 1200\r\n\r\n{}",
                "b".repeat(1_200)
            );
            connection.send(order.as_bytes())?;
            record.line(&format!("client {client} sends {id} (unsafe)"));
            for at in 2..2 + BEHIND {
                connection.send(safe(at, TOKEN_BYTES).as_bytes())?;
                record.line(&format!("client {client} sends {:016x} behind it (safe)", number(at)));
            }
            let answered = (|| {
                let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let closes = head.get("connection").unwrap_or("-").to_owned();
                connection.body(&head).map(|body| (head.status(), body.len(), closes))
            })();
            match answered {
                Ok((status, length, closes)) => {
                    record.line(&format!(
                        "client {client} has {status} for {id}, {length} bytes, Connection: {closes}"
                    ));
                    whole.lock().unwrap().insert(id);
                }
                Err(error) => record.line(&format!("client {client} has no whole answer for {id}: {error}")),
            }
            Ok(())
        }));
    }
    thread::sleep(STOPPED_AFTER);
    if arguments.trouble {
        deployment.record.line("SIGTERM to node 0");
        deployment.fleet.signal(0, "TERM")?;
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))??;
    }
    let whole = whole.lock().unwrap();
    let runs = deployment.instances.iter().skip(3).flat_map(|instance| instance.runs());
    let ran: BTreeSet<String> = runs.filter(|run| run.answered).map(|run| run.request).collect();
    let lost = ran.iter().filter(|id| !whole.contains(*id)).count();
    deployment.record.say(&format!(
        "{} unsafe requests were run and answered whole by instances; the clients of {lost} of these got no whole answer",
        ran.len()
    ));
    Ok(if lost > 0 { BROKEN } else { HELD })
}
