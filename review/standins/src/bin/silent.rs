//! CONFIG: connections between nodes and instances go silent in the middle of answers; do the requests get a final
//! answer at their route's timeout?

use {
    review_standins::{
        http::Connection,
        instance::{Act, Entry},
        setup::{Arguments, BROKEN, Deployment, HELD, Route, run},
    },
    std::{
        io,
        net::{SocketAddr, TcpStream},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Clients, and the requests that each sends one after the other on a kept connection.
const CLIENTS: u64 = 24;
const REQUESTS: u64 = 3;
/// The request of each client during which the connections go silent.
const DISTURBED: u64 = 1;
/// The route's `timeout-ms`.
const TIMEOUT: Duration = Duration::from_millis(5_000);
/// What clients wait, by `Pointvane-Deadline-Ms`.
const DEADLINE: Duration = Duration::from_millis(10_000);
/// After the route's timeout, the rule leaves half a second; a tenth more for the way to the client.
const LEFT: Duration = Duration::from_millis(600);
/// How long an instance works, and over what time it sends an answer of this length.
const WORK: Duration = Duration::from_millis(100);
const SENDS_FOR: Duration = Duration::from_millis(1_000);
const LENGTH: usize = 200_000;
/// When the connections go silent, after the requests were sent: answers are then under way.
const SILENT_AFTER: Duration = Duration::from_millis(800);

fn main() {
    run(case)
}

/// How a request went at its client.
struct Outcome {
    number: u64,
    /// How long until its answer was whole or its connection closed; none if neither came before the deadline.
    over_after: Option<Duration>,
}

fn case(arguments: &Arguments) -> io::Result<i32> {
    let route = Route {
        host: "jepu9.example",
        prefix: "/lepu270/",
        kind: "safe",
        timeout_ms: TIMEOUT.as_millis() as u64,
        target_ms: 1_500,
        max_attempts: 2,
        service: "huvo11a",
    };
    let zones = ["norte-a", "norte-b", "norte-c"];
    let entry = |at: usize| Entry {
        id: format!("i-{at:08x}"),
        service: "huvo11a".into(),
        zone: zones[at % zones.len()].into(),
        slots: 6,
    };
    let behaviour = |_: &str, _: &_| Act { sends_for: SENDS_FOR, ..Act::success(WORK, LENGTH) };
    let deployment =
        Deployment::start(arguments, &[route], (0..9).map(entry).collect(), 3, Arc::new(behaviour))?;
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    for at in 0..REQUESTS {
        let mut clients = Vec::new();
        for client in 0..CLIENTS {
            let (record, outcomes) = (Arc::clone(&deployment.record), Arc::clone(&outcomes));
            let address = deployment.fleet.front(client as usize % 3);
            clients.push(thread::spawn(move || {
                let id = format!("{:016x}", client * REQUESTS + at);
                let began = Instant::now();
                record.line(&format!("client {client} sends {id}"));
                let answered = exchange(address, &id);
                let after = began.elapsed();
                match &answered {
                    Ok(status) => {
                        record.line(&format!("client {client} has {status} for {id} after {after:.1?}"))
                    }
                    Err(error) => {
                        record.line(&format!(
                            "client {client} has no answer for {id} after {after:.1?}: {error}"
                        ));
                    }
                }
                // A connection that the node closes ends the request as well.
                let is_over = answered.is_ok() || after < DEADLINE;
                let over_after = is_over.then_some(after);
                outcomes.lock().unwrap().push(Outcome { number: at, over_after });
            }));
        }
        if arguments.trouble && at == DISTURBED {
            thread::sleep(SILENT_AFTER);
            deployment.record.line("the open connections to instances go silent; new ones work");
            deployment.instances.iter().for_each(|instance| instance.silence());
        }
        for client in clients {
            client.join().map_err(|_| io::Error::other("a client failed"))?;
        }
    }
    let outcomes = outcomes.lock().unwrap();
    let is_open = |outcome: &&Outcome, time: Duration| outcome.over_after.is_none_or(|after| after > time);
    let reached = outcomes.iter().filter(|outcome| is_open(outcome, TIMEOUT)).count();
    let unanswered = outcomes.iter().filter(|outcome| is_open(outcome, TIMEOUT + LEFT)).count();
    let disturbed = outcomes.iter().filter(|outcome| outcome.number == DISTURBED);
    let until_deadline = disturbed.filter(|outcome| outcome.over_after.is_none()).count();
    deployment.record.say(&format!(
        "{} requests; {reached} reached the route's timeout of {TIMEOUT:?} unanswered, {unanswered} of these were \
         without an answer {LEFT:?} later, {until_deadline} until their clients' deadline",
        outcomes.len()
    ));
    // Eight or more, and more than half of those that reach the timeout.
    Ok(if unanswered >= 8 && unanswered * 2 > reached { BROKEN } else { HELD })
}

/// Sends a request and reads its whole answer; fails at the client's deadline.
fn exchange(address: SocketAddr, id: &str) -> io::Result<u16> {
    let mut connection = Connection::new(TcpStream::connect(address)?);
    connection.stream.set_read_timeout(Some(DEADLINE))?;
    let request = format!(
        "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nPointvane-Request-Id: {id}\r\n\
         Pointvane-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    connection.send(request.as_bytes())?;
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    connection.body(&head)?;
    Ok(head.status())
}
