//! Clients that send further safe requests before the first is answered, and an instance that breaks off some of its
//! answers.

use {
    review_standins_2::{
        client::Client,
        deploy::{Net, Plan, cannot_run, watch_time, without_trouble},
        instance::{Exchange, Instance},
        record::Record,
        store::Store,
    },
    std::{
        collections::HashMap,
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
/// One of six instances garbles: a share of 0.17.
const FAULTY: usize = 0;
/// Share of its answers that it breaks off, in thousandths.
const BROKEN_PER_1000: u64 = 50;
const ANSWER_BYTES: usize = 150_000;
const SENT_BEFORE_BREAK: usize = 120_000;
const WORK: Duration = Duration::from_millis(150);
const AT_ONCE: usize = 8;
const CLIENTS: usize = 4;
const TIME: Duration = Duration::from_secs(40);
const DEADLINE_MS: u64 = 4_000;

#[derive(Clone, Debug)]
struct Run {
    instance: usize,
    /// Whether the instance sent its whole answer.
    whole: bool,
}

type Runs = Arc<Mutex<HashMap<String, Run>>>;

fn handle(exchange: &mut Exchange<'_>, runs: &Runs, draws: &AtomicU64, garbles: bool) -> io::Result<()> {
    let Exchange { instance, head, reader, writer } = exchange;
    reader.body(head, false)?;
    let id = head.get("pointvane-request-id").unwrap_or("").to_owned();
    runs.lock().unwrap().insert(id.clone(), Run { instance: instance.number, whole: false });
    instance.record.line(&format!("{} runs {id}", instance.id));
    thread::sleep(WORK);
    let text = format!("HTTP/1.1 200 OK\r\n{}Content-Length: {ANSWER_BYTES}\r\n\r\n", instance.answer_headers(head));
    let draw = draws.fetch_add(1, Ordering::SeqCst).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
    if garbles && instance.number == FAULTY && draw % 1_000 < BROKEN_PER_1000 {
        instance.record.line(&format!("{} breaks off its answer to {id}", instance.id));
        writer.write_all(text.as_bytes())?;
        writer.write_all(&vec![b'x'; SENT_BEFORE_BREAK])?;
        return Err(io::ErrorKind::Other.into());
    }
    writer.write_all(text.as_bytes())?;
    writer.write_all(&vec![b'x'; ANSWER_BYTES])?;
    if let Some(run) = runs.lock().unwrap().get_mut(&id) {
        run.whole = true;
    }
    Ok(())
}

/// Most requests that one close left without an answer although sound instances had got them; and all of them.
#[derive(Default, Debug)]
struct Found {
    answered: u64,
    closes: u64,
    most_at_once: usize,
    lost: usize,
}

fn client(number: usize, front: SocketAddr, record: &Record, runs: &Runs, found: &Mutex<Found>) {
    let until = Instant::now() + TIME;
    let mut round = 0;
    while Instant::now() < until && found.lock().unwrap().closes < 6 {
        let Ok(mut client) = Client::connect(front) else { continue };
        // The connection is kept for many rounds.
        loop {
            round += 1;
            if Instant::now() >= until {
                return;
            }
            let ids: Vec<String> = (0..AT_ONCE).map(|place| format!("{number:04x}{round:08x}{place:04x}")).collect();
            if ids.iter().any(|id| client.send("GET", "/read/log", id, DEADLINE_MS, &[]).is_err()) {
                break;
            }
            let mut answered = 0;
            let mut partly = 0;
            let mut is_open = false;
            for id in &ids {
                match client.answer(Duration::from_millis(DEADLINE_MS)) {
                    Ok(Some((head, body)))
                        if body.len() == ANSWER_BYTES && head.get("pointvane-request-id") == Some(id) =>
                    {
                        answered += 1;
                    }
                    Ok(Some((head, _))) => {
                        // An answer of the node itself.
                        record.line(&format!("{id}: {}", head.status()));
                        answered += 1;
                    }
                    Ok(None) => break,
                    Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                        record.line(&format!("{id}: no answer in {DEADLINE_MS} ms, the connection is open"));
                        is_open = true;
                        break;
                    }
                    Err(_) => {
                        partly = 1;
                        break;
                    }
                }
            }
            found.lock().unwrap().answered += answered as u64;
            record.line(&format!("client {number} sent {} to {}, {answered} answered", ids[0], ids[AT_ONCE - 1]));
            if answered == AT_ONCE {
                continue;
            }
            if is_open {
                break;
            }
            // What an instance is still at work on may yet be answered by it.
            thread::sleep(2 * WORK);
            let runs = runs.lock().unwrap();
            let behind = &ids[answered + partly..];
            let handed: Vec<&String> =
                behind.iter().filter(|id| runs.get(*id).is_some_and(|run| run.instance != FAULTY)).collect();
            let whole = handed.iter().filter(|id| runs[**id].whole).count();
            record.line(&format!(
                "connection of client {number} closed: {answered} answered, {partly} partly, {} behind without an \
                 answer; of these sound instances got {} ({whole} answered whole by them): {handed:?}",
                behind.len(),
                handed.len()
            ));
            let mut found = found.lock().unwrap();
            found.closes += 1;
            found.lost += handed.len();
            found.most_at_once = found.most_at_once.max(handed.len());
            break;
        }
    }
}

fn main() {
    watch_time();
    let garbles = !without_trouble();
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| cannot_run("no path of the record")));
    let net = Net::reserve();
    let store = Store::start(net.at(250, 8_142)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let runs = Runs::default();
    let draws = Arc::new(AtomicU64::new(u64::from(std::process::id())));
    for number in 0..INSTANCES {
        let (runs, draws) = (Arc::clone(&runs), Arc::clone(&draws));
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
        let started = instance.start(&store, Arc::new(move |exchange| handle(exchange, &runs, &draws, garbles)));
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
            let (found, record, runs, front) = (Arc::clone(&found), record.clone(), Arc::clone(&runs), node.front);
            thread::spawn(move || client(number, front, &record, &runs, &found))
        })
        .collect();
    clients.into_iter().for_each(|client| _ = client.join());
    drop(node);
    let found = found.lock().unwrap();
    record.say(&format!("{found:?}"));
    if found.answered == 0 {
        cannot_run("nothing was answered");
    }
    record.say(&format!(
        "at the worst close, {} requests that sound instances had got stayed without an answer (the rule allows three)",
        found.most_at_once
    ));
    exit(i32::from(found.most_at_once > 3));
}
