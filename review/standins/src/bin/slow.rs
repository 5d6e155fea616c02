//! LOST: clients read large answers slowly; do these, and the answers of what was sent behind them, arrive?

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

/// Clients. Every second one sends an unsafe request alone, the others a safe one and these many safe ones behind it.
const CLIENTS: u64 = 12;
const BEHIND: u64 = 2;
/// Length of the answer to the first request.
const LENGTH: usize = 400_000;
/// How long a client stops reading once it has the head of that answer.
const PAUSE: Duration = Duration::from_millis(3_500);
/// What clients wait, by `Pointvane-Deadline-Ms`; the routes' timeouts are not reached either.
const DEADLINE: Duration = Duration::from_millis(10_000);

fn main() {
    run(case)
}

fn case(arguments: &Arguments) -> io::Result<i32> {
    let route = |prefix, kind, service| Route {
        host: "jepu9.example",
        prefix,
        kind,
        timeout_ms: 9_000,
        target_ms: 1_500,
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
    let behaviour = |_: &str, head: &Head| {
        let length = if head.target().ends_with("/large") { LENGTH } else { 400 };
        Act::success(Duration::from_millis(100), length)
    };
    let deployment =
        Deployment::start(arguments, &routes, (0..6).map(entry).collect(), 3, Arc::new(behaviour))?;
    let whole: Arc<Mutex<BTreeSet<u64>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, whole) = (Arc::clone(&deployment.record), Arc::clone(&whole));
        let address = deployment.fleet.front(client as usize % 3);
        let trouble = arguments.trouble;
        clients.push(thread::spawn(move || -> io::Result<()> {
            let mut connection = Connection::new(TcpStream::connect(address)?);
            connection.stream.set_read_timeout(Some(DEADLINE))?;
            let first = client * 16 + 1;
            let is_unsafe = client % 2 == 1;
            // The connection is kept from an earlier request.
            connection.send(request("GET /lepu270/small", first - 1).as_bytes())?;
            let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            connection.body(&head)?;
            whole.lock().unwrap().insert(first - 1);
            let mut numbers = vec![first];
            let start = if is_unsafe { "POST /xapu221/large" } else { "GET /lepu270/large" };
            let mut requests = request(start, first);
            for behind in 1..=if is_unsafe { 0 } else { BEHIND } {
                numbers.push(first + behind);
                requests.push_str(&request("GET /lepu270/small", first + behind));
            }
            connection.send(requests.as_bytes())?;
            record.line(&format!("client {client} sends {numbers:x?}, the first: {start}"));
            for number in numbers {
                let answered = (|| {
                    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                    if trouble && number == first {
                        record.line(&format!(
                            "client {client} has the head for {number:016x} and stops reading"
                        ));
                        thread::sleep(PAUSE);
                        record.line(&format!("client {client} reads on"));
                    }
                    connection.body(&head).map(|body| (head.status(), body.len()))
                })();
                match answered {
                    Ok((status, length)) => {
                        record
                            .line(&format!("client {client} has {status} for {number:016x}, {length} bytes"));
                        whole.lock().unwrap().insert(number);
                    }
                    Err(error) => {
                        record
                            .line(&format!("client {client} has no whole answer for {number:016x}: {error}"));
                    }
                }
            }
            Ok(())
        }));
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))??;
    }
    let whole = whole.lock().unwrap();
    let runs = deployment.instances.iter().flat_map(|instance| instance.runs()).filter(|run| run.answered);
    let ran: BTreeSet<u64> = runs.filter_map(|run| u64::from_str_radix(&run.request, 16).ok()).collect();
    let lost: Vec<u64> = ran.iter().copied().filter(|number| !whole.contains(number)).collect();
    let behind = lost.iter().filter(|number| **number % 16 > 1).count();
    deployment.record.say(&format!(
        "{} requests were run and answered whole by instances; the answers of {} of these broke off, {behind} got none \
         at all",
        ran.len(),
        lost.len() - behind
    ));
    // More than three times; those whose answer broke off are not counted.
    Ok(if behind > 3 { BROKEN } else { HELD })
}

fn request(start: &str, number: u64) -> String {
    let length = if start.starts_with("POST") { "Content-Length: 3\r\n" } else { "" };
    let body = if start.starts_with("POST") { "abc" } else { "" };
    format!(
        "{start} HTTP/1.1\r\nHost: jepu9.example\r\nPointvane-Request-Id: {number:016x}\r\n\
         Pointvane-Deadline-Ms: {}\r\n{length}\r\n{body}",
        DEADLINE.as_millis()
    )
}
