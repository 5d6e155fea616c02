//! Uploads that instances answer before they have read them, and go on reading later.

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
        process::exit,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const UPLOADS: usize = 6;
/// Sizes of the bodies, in turn: one that the node buffers whole, and one that it streams.
const BODY_BYTES: [usize; 2] = [400_000, 1_000_000];
const SLOW_BODY_BYTES: usize = 400_000;
/// The instance has read this part of the body when it answers.
const READ_FIRST: usize = 20_000;
/// The first uploads meet instances that pause, the others instances that read steadily and slowly.
const PAUSED: usize = 3;
const PAUSE: Duration = Duration::from_millis(3_200);
/// Bytes that a slow instance reads at once, and how often: 25 kB a second.
const STEP_BYTES: usize = 2_500;
const STEP: Duration = Duration::from_millis(100);
/// Time from the answers to the check: 400 kB take 16 s at 25 kB a second.
const READ_TIME: Duration = Duration::from_millis(19_000);
const DEADLINE_MS: u64 = 5_000;

/// What an instance got of the body of each request, and whether it is the client's.
type Bodies = Arc<Mutex<HashMap<String, (usize, bool)>>>;

fn length_of(number: usize) -> usize {
    if number < PAUSED { BODY_BYTES[number % 2] } else { SLOW_BODY_BYTES }
}

fn byte_at(number: usize, place: usize) -> u8 {
    (place / 7 + 31 * number) as u8
}

fn handle(exchange: &mut Exchange<'_>, bodies: &Bodies, pauses: bool) -> io::Result<()> {
    let record = exchange.instance.record.clone();
    let id = exchange.head.get("pointvane-request-id").unwrap_or("").to_owned();
    let name = exchange.instance.id.clone();
    let number = usize::from_str_radix(&id[1..], 16).unwrap_or(0);
    let length = length_of(number);
    let is_chunked = exchange.head.is_chunked();
    if is_chunked {
        cannot_run("a length was sent and chunks came");
    }
    let mut body = exchange.reader.exact(READ_FIRST)?;
    let text =
        format!("HTTP/1.1 200 OK\r\n{}Content-Length: 0\r\n\r\n", exchange.instance.answer_headers(&exchange.head));
    exchange.writer.write_all(text.as_bytes())?;
    record
        .line(&format!("{name} answered {id} with 200 after {READ_FIRST} of {length} bytes, and keeps the connection"));
    let is_slow = pauses && number >= PAUSED;
    if pauses && !is_slow {
        thread::sleep(PAUSE);
    }
    let mut problem = None;
    while body.len() < length {
        match exchange.reader.exact(STEP_BYTES.min(length - body.len())) {
            Ok(part) => body.extend(part),
            Err(error) => {
                problem = Some(error);
                break;
            }
        }
        if is_slow {
            thread::sleep(STEP);
        }
    }
    let is_same = body.len() == length && body.iter().enumerate().all(|(place, byte)| *byte == byte_at(number, place));
    record.line(&format!(
        "{name} has {} of {length} bytes of {id}, the client's body: {is_same}, {problem:?}",
        body.len()
    ));
    bodies.lock().unwrap().insert(id, (body.len(), is_same));
    problem.map_or(Ok(()), Err)
}

fn main() {
    watch_time();
    let pauses = !without_trouble();
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| cannot_run("no path of the record")));
    let net = Net::reserve();
    let store = Store::start(net.at(250, 8_142)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let bodies = Bodies::default();
    for number in 0..3 {
        let bodies = Arc::clone(&bodies);
        let instance = Instance {
            id: format!("i-{number:08x}"),
            number,
            address: net.at(100 + number as u8, 8_080),
            service: "paperwork".into(),
            slots: 6,
            probe_ms: 0,
            running: Arc::default(),
            record: record.clone(),
        };
        let started = instance.start(&store, Arc::new(move |exchange| handle(exchange, &bodies, pauses)));
        started.unwrap_or_else(|error| cannot_run(&error.to_string()));
    }
    store.put(
        "op/config",
        r#"{"version":"00000007","routes":[{"name":"r-up","host":"review.example","path-prefix":"/up/","type":"upload","timeout-ms":5000,"target-latency-ms":800,"priority":1,"service":"paperwork","max-attempts":2}],"services":[{"name":"paperwork","health-path":"/health","max-connections":260,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#,
    );
    let plan = Plan { net, store: store.address, hosts: vec![1], grace_s: 6, bootstrap: true };
    let node = plan.start(1);
    node.wait_ready();
    thread::sleep(Duration::from_millis(3_200));

    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let (accepted, record, front) = (Arc::clone(&accepted), record.clone(), node.front);
            thread::spawn(move || {
                let id = format!("u{number:015x}");
                let body: Vec<u8> = (0..length_of(number)).map(|place| byte_at(number, place)).collect();
                let Ok(mut client) = Client::connect(front) else { cannot_run("no connection") };
                if client.send("POST", "/up/scan", &id, DEADLINE_MS, &body).is_err() {
                    return record.line(&format!("client could not send {id} whole"));
                }
                record.line(&format!("client has sent {id} whole, {} bytes", body.len()));
                match client.answer(Duration::from_millis(DEADLINE_MS)) {
                    Ok(Some((head, _))) => {
                        record.line(&format!(
                            "client of {id} got {} {:?}",
                            head.status(),
                            head.get("pointvane-response-stamp")
                        ));
                        if head.status() == 200 {
                            accepted.lock().unwrap().push(id);
                        }
                    }
                    other => record.line(&format!("client of {id} got no answer: {:?}", other.map(|_| ()))),
                }
                // The connection is kept: the client has nothing more to send.
                thread::sleep(if pauses { READ_TIME } else { PAUSE });
            })
        })
        .collect();
    clients.into_iter().for_each(|client| _ = client.join());
    drop(node);
    thread::sleep(Duration::from_millis(200));
    let (accepted, bodies) = (accepted.lock().unwrap(), bodies.lock().unwrap());
    let changed: Vec<&String> =
        accepted.iter().filter(|id| !bodies.get(*id).is_some_and(|(_, is_same)| *is_same)).collect();
    for id in &changed {
        record.line(&format!("{id} was answered with 200; its instance has {:?}", bodies.get(*id)));
    }
    if accepted.is_empty() {
        cannot_run("no upload was accepted");
    }
    record.say(&format!(
        "{} of {} uploads that their clients saw accepted and had sent whole did not reach their instance whole",
        changed.len(),
        accepted.len()
    ));
    exit(i32::from(!changed.is_empty()));
}
