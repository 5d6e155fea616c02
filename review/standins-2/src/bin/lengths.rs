//! Answers with two lengths, chunks and a shorter `Content-Length`, of which HTTP lets only the chunks count.

use {
    review_standins_2::{
        client::Client,
        deploy::{Net, Plan, cannot_run, watch_time, without_trouble},
        instance::{Exchange, Instance},
        record::Record,
        store::Store,
    },
    std::{
        io::{self, Write},
        net::SocketAddr,
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const INSTANCES: usize = 6;
/// Three of six instances garble: a share of 0.5.
const FAULTY: usize = 3;
/// Share of their answers that they spoil, in thousandths.
const SPOILED_PER_1000: u64 = 50;
const ANSWER_BYTES: usize = 20_000;
/// The length that a spoiled answer announces beside its chunks.
const WRONG_BYTES: usize = 12_000;
const WORK: Duration = Duration::from_millis(100);
const CLIENTS: usize = 4;
const TIME: Duration = Duration::from_secs(30);
const DEADLINE_MS: u64 = 4_000;

fn handle(exchange: &mut Exchange<'_>, draws: &AtomicU64, garbles: bool) -> io::Result<()> {
    let Exchange { instance, head, reader, writer } = exchange;
    reader.body(head, false)?;
    thread::sleep(WORK);
    let id = head.get("pointvane-request-id").unwrap_or("");
    instance.record.line(&format!("{} runs {id}", instance.id));
    let draw = draws.fetch_add(1, Ordering::SeqCst).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
    if garbles && instance.number < FAULTY && draw % 1_000 < SPOILED_PER_1000 {
        instance
            .record
            .line(&format!("{} sends all of its answer to {id} in chunks, with a wrong length beside", instance.id));
        let text = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Length: {WRONG_BYTES}\r\nTransfer-Encoding: chunked\r\n\r\n{ANSWER_BYTES:x}\r\n{}\r\n0\r\n\r\n",
            instance.answer_headers(head),
            "x".repeat(ANSWER_BYTES)
        );
        return writer.write_all(text.as_bytes());
    }
    let text = format!("HTTP/1.1 200 OK\r\n{}Content-Length: {ANSWER_BYTES}\r\n\r\n", instance.answer_headers(head));
    writer.write_all(text.as_bytes())?;
    writer.write_all(&vec![b'x'; ANSWER_BYTES])
}

#[derive(Default, Debug)]
struct Found {
    whole: u64,
    broken_off: u64,
    own: u64,
    short_but_complete: u64,
}

fn client(number: usize, front: SocketAddr, record: &Record, found: &Mutex<Found>) {
    let until = Instant::now() + TIME;
    let mut kept = None;
    for round in 0.. {
        if Instant::now() >= until || found.lock().unwrap().short_but_complete >= 5 {
            return;
        }
        let Some(mut client) = kept.take().or_else(|| Client::connect(front).ok()) else { continue };
        let id = format!("{number:04x}{round:012x}");
        if client.send("GET", "/read/log", &id, DEADLINE_MS, &[]).is_err() {
            continue;
        }
        let answer = client.answer(Duration::from_millis(DEADLINE_MS));
        let mut found = found.lock().unwrap();
        match answer {
            Ok(Some((head, body))) if head.get("pointvane-response-stamp").is_some() && head.status() == 200 => {
                if body.len() == ANSWER_BYTES {
                    found.whole += 1;
                    record.line(&format!("client {number}: sent {id}, got 200 whole"));
                    kept = Some(client);
                    continue;
                }
                found.short_but_complete += 1;
                record.line(&format!(
                    "client {number}: {id} got a complete answer by its framing, {:?} {:?}, with {} bytes of {ANSWER_BYTES}",
                    head.line,
                    head.headers,
                    body.len()
                ));
            }
            Ok(Some((head, _))) => {
                found.own += 1;
                record.line(&format!("client {number}: {id} got {}", head.status()));
                kept = Some(client);
            }
            Ok(None) | Err(_) => {
                found.broken_off += 1;
                record.line(&format!("client {number}: the answer to {id} broke off, and is seen to"));
            }
        }
    }
}

fn main() {
    watch_time();
    let garbles = !without_trouble();
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| cannot_run("no path of the record")));
    let net = Net::reserve();
    let store = Store::start(net.at(250, 8_142)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let draws = Arc::new(AtomicU64::new(u64::from(std::process::id())));
    for number in 0..INSTANCES {
        let draws = Arc::clone(&draws);
        let instance = Instance {
            id: format!("i-{number:08x}"),
            number,
            address: net.at(100 + number as u8, 8_080),
            service: "desk".into(),
            slots: 6,
            probe_ms: 0,
            running: Arc::default(),
            record: record.clone(),
        };
        let started = instance.start(&store, Arc::new(move |exchange| handle(exchange, &draws, garbles)));
        started.unwrap_or_else(|error| cannot_run(&error.to_string()));
    }
    store.put(
        "op/config",
        r#"{"version":"00000007","routes":[{"name":"r-read","host":"review.example","path-prefix":"/read/","type":"safe","timeout-ms":4000,"target-latency-ms":600,"priority":1,"service":"desk","max-attempts":2}],"services":[{"name":"desk","health-path":"/health","max-connections":260,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#,
    );
    let plan = Plan { net, store: store.address, hosts: vec![1], grace_s: 6, bootstrap: true };
    let node = plan.start(1);
    node.wait_ready();
    thread::sleep(Duration::from_millis(3_200));
    let found: Arc<Mutex<Found>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (found, record, front) = (Arc::clone(&found), record.clone(), node.front);
            thread::spawn(move || client(number, front, &record, &found))
        })
        .collect();
    clients.into_iter().for_each(|client| _ = client.join());
    drop(node);
    let found = found.lock().unwrap();
    record.say(&format!("{found:?}"));
    if found.whole == 0 {
        cannot_run("nothing was answered");
    }
    record.say(&format!(
        "{} answers that their instance had sent whole reached their client shorter, as complete successes",
        found.short_but_complete
    ));
    exit(i32::from(found.short_but_complete > 0));
}
