//! Clients that pause while they read an answer, and have sent further safe requests behind it.

use {
    review_standins_2::{
        client::Client,
        deploy::{Net, Plan, cannot_run, watch_time, without_trouble},
        instance::{Exchange, Instance},
        record::Record,
        store::Store,
    },
    std::{
        collections::HashSet,
        io::{self, Write},
        net::SocketAddr,
        process::exit,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const INSTANCES: usize = 6;
const LONG_BYTES: usize = 12_000_000;
const SHORT_BYTES: usize = 2_000;
const WORK: Duration = Duration::from_millis(100);
const BEHIND: usize = 7;
const CLIENTS: usize = 2;
const PAUSE: Duration = Duration::from_millis(4_000);
const DEADLINE_MS: u64 = 10_000;
const IDLE_TIMEOUT_MS: u64 = 3_000;

type Runs = Arc<Mutex<HashSet<String>>>;

fn handle(exchange: &mut Exchange<'_>, runs: &Runs) -> io::Result<()> {
    let Exchange { instance, head, reader, writer } = exchange;
    reader.body(head, false)?;
    let id = head.get("pointvane-request-id").unwrap_or("").to_owned();
    let length = if head.second().ends_with("/long") { LONG_BYTES } else { SHORT_BYTES };
    thread::sleep(WORK);
    let text = format!("HTTP/1.1 200 OK\r\n{}Content-Length: {length}\r\n\r\n", instance.answer_headers(head));
    let sent = writer.write_all(text.as_bytes()).and_then(|()| writer.write_all(&vec![b'x'; length]));
    instance.record.line(&format!("{} ran {id}, {length} bytes, sent whole: {}", instance.id, sent.is_ok()));
    if sent.is_ok() {
        runs.lock().unwrap().insert(id);
    }
    sent
}

/// Number of requests that instances answered whole and that got no answer.
fn client(number: usize, front: SocketAddr, record: &Record, runs: &Runs, pauses: bool) -> (usize, usize) {
    let Ok(mut client) = Client::connect(front) else { cannot_run("no connection") };
    // The connection is kept from an earlier request.
    let first = format!("{number:04x}aaaa");
    let is_kept = client.send("GET", "/read/short", &first, DEADLINE_MS, &[]).is_ok()
        && matches!(client.answer(Duration::from_secs(5)), Ok(Some((head, _))) if head.status() == 200);
    if !is_kept {
        cannot_run("the first request was not answered");
    }
    let ids: Vec<String> = (0..=BEHIND).map(|place| format!("{number:04x}bbbb{place:04x}")).collect();
    for (place, id) in ids.iter().enumerate() {
        let path = if place == 0 { "/read/long" } else { "/read/short" };
        if client.send("GET", path, id, DEADLINE_MS, &[]).is_err() {
            cannot_run("the requests could not be sent");
        }
    }
    record.line(&format!("client {number} sent {ids:?}"));
    if pauses {
        record.line(&format!("client {number} does not read for {} ms", PAUSE.as_millis()));
        thread::sleep(PAUSE);
    }
    let mut answered = 0;
    for id in &ids {
        match client.answer(Duration::from_millis(DEADLINE_MS)) {
            Ok(Some((head, body))) => {
                record.line(&format!("client {number}: {id} got {} with {} bytes", head.status(), body.len()));
                answered += 1;
            }
            Ok(None) => {
                record.line(&format!("client {number}: {id} got no answer, the connection was closed"));
                break;
            }
            Err(error) => {
                record.line(&format!("client {number}: the answer to {id} ended early: {error}"));
                break;
            }
        }
    }
    thread::sleep(Duration::from_millis(300));
    let runs = runs.lock().unwrap();
    let lost = ids[answered..].iter().filter(|id| runs.contains(*id)).count();
    (answered, lost)
}

fn main() {
    watch_time();
    let pauses = !without_trouble();
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| cannot_run("no path of the record")));
    let net = Net::reserve();
    let store = Store::start(net.at(250, 8_142)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let runs = Runs::default();
    for number in 0..INSTANCES {
        let runs = Arc::clone(&runs);
        let instance = Instance {
            id: format!("i-{number:08x}"),
            number,
            address: net.at(100 + number as u8, 8_080),
            service: "desk".into(),
            slots: 6,
            running: Arc::default(),
            record: record.clone(),
        };
        let started = instance.start(&store, Arc::new(move |exchange| handle(exchange, &runs)));
        started.unwrap_or_else(|error| cannot_run(&error.to_string()));
    }
    store.put(
        "op/config",
        &r#"{"version":"00000007","routes":[{"name":"r-read","host":"review.example","path-prefix":"/read/","type":"safe","timeout-ms":10000,"target-latency-ms":1500,"priority":1,"service":"desk","max-attempts":2}],"services":[{"name":"desk","health-path":"/health","max-connections":260,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":IDLE}}"#
            .replace("IDLE", &IDLE_TIMEOUT_MS.to_string()),
    );
    let plan = Plan { net, store: store.address, hosts: vec![1], grace_s: 6, bootstrap: true };
    let node = plan.start(1);
    node.wait_ready();
    thread::sleep(Duration::from_millis(3_200));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, runs, front) = (record.clone(), Arc::clone(&runs), node.front);
            thread::spawn(move || client(number, front, &record, &runs, pauses))
        })
        .collect();
    let results: Vec<(usize, usize)> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    drop(node);
    let most = results.iter().map(|(_, lost)| *lost).max().unwrap_or(0);
    record.say(&format!("answered, and lost although an instance had answered whole, by connection: {results:?}"));
    record.say(&format!("{most} at the worst close (the rule allows three)"));
    exit(i32::from(most > 3));
}
