//! CONFIG: two of nine instances hang in the middle of answers, their health good; do the requests get a final answer at
//! their route's timeout?

use {
    review_standins::{
        http::{Connection, Head},
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

/// Requests that are sent together, the number of such rounds, and the time between two: 12.8 s in all, where the site's
/// `srv_grey` lasts 6.5 s.
const CLIENTS: u64 = 18;
const ROUNDS: u64 = 16;
const ROUND_EVERY: Duration = Duration::from_millis(800);
/// Instances, and how many of them are faulty: a share of 0.22, where the site's `srv_grey` has 0.14.
const INSTANCES: usize = 9;
const FAULTY: usize = 2;
/// Percent of the requests at which a faulty instance hangs, as the site's `srv_grey` (0.45).
const HANGS_PERCENT: u64 = 45;
/// The route's `timeout-ms`.
const TIMEOUT: Duration = Duration::from_millis(5_000);
/// What clients wait, by `Pointvane-Deadline-Ms`.
const DEADLINE: Duration = Duration::from_millis(10_000);
/// After the route's timeout, the rule leaves half a second; a tenth more for the way to the client.
const LEFT: Duration = Duration::from_millis(600);
/// How long an instance works, the length of its answer, and where an answer that hangs ends.
const WORK: Duration = Duration::from_millis(150);
const LENGTH: usize = 200_000;
const HANGS_AFTER: usize = 120_000;

fn main() {
    run(case)
}

/// How long until a request's answer was whole or its connection closed; none if neither came before the deadline.
type OverAfter = Option<Duration>;

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
    let trouble = arguments.trouble;
    let hangs_after =
        std::env::var("HANGS_AFTER").ok().and_then(|text| text.parse().ok()).unwrap_or(HANGS_AFTER);
    let behaviour = move |instance: &str, head: &Head| {
        let at = usize::from_str_radix(&instance[2..], 16).unwrap_or_default();
        let id = head.get("pointvane-request-id").unwrap_or_default();
        let number = u64::from_str_radix(id, 16).unwrap_or_default();
        let hangs = trouble && at < FAULTY && mixed(number) % 100 < HANGS_PERCENT;
        Act { hangs_after: hangs.then_some(hangs_after), ..Act::success(WORK, LENGTH) }
    };
    let entries = (0..INSTANCES).map(entry).collect();
    let deployment = Deployment::start(arguments, &[route], entries, 3, Arc::new(behaviour))?;
    let outcomes: Arc<Mutex<Vec<OverAfter>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS * ROUNDS {
        let (record, outcomes) = (Arc::clone(&deployment.record), Arc::clone(&outcomes));
        let address = deployment.fleet.front(number as usize % 3);
        clients.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let began = Instant::now();
            record.line(&format!("client {number} sends {id}"));
            let answered = exchange(address, &id);
            let after = began.elapsed();
            match &answered {
                Ok(status) => {
                    record.line(&format!("client {number} has {status} for {id} after {after:.1?}"))
                }
                Err(error) => {
                    record
                        .line(&format!("client {number} has no answer for {id} after {after:.1?}: {error}"));
                }
            }
            // A connection that the node closes ends the request as well.
            let is_over = answered.is_ok() || after < DEADLINE;
            outcomes.lock().unwrap().push(is_over.then_some(after));
        }));
        if (number + 1) % CLIENTS == 0 {
            thread::sleep(ROUND_EVERY);
        }
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))?;
    }
    let outcomes = outcomes.lock().unwrap();
    let open_after =
        |time: Duration| outcomes.iter().filter(|over| over.is_none_or(|after| after > time)).count();
    let (reached, unanswered) = (open_after(TIMEOUT), open_after(TIMEOUT + LEFT));
    let until_deadline = outcomes.iter().filter(|over| over.is_none()).count();
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

/// Spreads the bits of a number.
fn mixed(number: u64) -> u64 {
    let number = (number ^ (number >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let number = (number ^ (number >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    number ^ (number >> 33)
}
