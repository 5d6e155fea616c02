//! Uploads to instances that pause while they read, at a node that is stopped as planned.

use {
    review_standins_2::{
        client::Client,
        deploy::{Net, Plan, cannot_run, get, watch_time, without_trouble},
        instance::{Exchange, Instance},
        record::Record,
        store::Store,
    },
    std::{
        io::{self, Write},
        process::exit,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const UPLOADS: usize = 6;
const BODY_BYTES: usize = 400_000;
/// The instance pauses after this part of the body.
const READ_FIRST: usize = 20_000;
const PAUSE: Duration = Duration::from_millis(3_200);
const WORK: Duration = Duration::from_millis(260);
const DEADLINE_MS: u64 = 5_000;

#[derive(Clone, Debug, Default)]
#[allow(dead_code, reason = "shown in the record")]
struct Run {
    id: String,
    began_ms: u128,
    ended: Option<(u128, bool)>,
}

fn handle(exchange: &mut Exchange<'_>, runs: &Mutex<Vec<Run>>, pauses: bool) -> io::Result<()> {
    let record = exchange.instance.record.clone();
    let id = exchange.head.get("pointvane-request-id").unwrap_or("").to_owned();
    let name = exchange.instance.id.clone();
    record.line(&format!("{name} begins to work on {id}"));
    runs.lock().unwrap().push(Run { id: id.clone(), began_ms: record.ms(), ended: None });
    let end = |whole: bool| {
        let mut runs = runs.lock().unwrap();
        if let Some(run) = runs.iter_mut().find(|run| run.id == id) {
            run.ended = Some((record.ms(), whole));
        }
    };
    let length = exchange.head.length().unwrap_or(0);
    let read = (|| {
        let mut body = exchange.reader.exact(READ_FIRST)?;
        if pauses {
            thread::sleep(PAUSE);
        }
        body.extend(exchange.reader.exact(length - READ_FIRST)?);
        Ok::<_, io::Error>(body)
    })();
    let body = match read {
        Ok(body) => body,
        Err(error) => {
            record.line(&format!("{name}: the connection of {id} broke while its body was read: {error}"));
            end(false);
            return Err(error);
        }
    };
    thread::sleep(WORK);
    let text = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Length: 8\r\n\r\n{:08}",
        exchange.instance.answer_headers(&exchange.head),
        body.len()
    );
    let sent = exchange.writer.write_all(text.as_bytes());
    record.line(&format!("{name} has run {id}, {} bytes, answer sent: {}", body.len(), sent.is_ok()));
    end(sent.is_ok());
    sent
}

fn main() {
    watch_time();
    let pauses = !without_trouble();
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| cannot_run("no path of the record")));
    let net = Net::reserve();
    let store = Store::start(net.at(250, 8_142)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for number in 0..3 {
        let runs = Arc::clone(&runs);
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
        let started = instance.start(&store, Arc::new(move |exchange| handle(exchange, &runs, pauses)));
        started.unwrap_or_else(|error| cannot_run(&error.to_string()));
    }
    store.put(
        "op/config",
        r#"{"version":"00000007","routes":[{"name":"r-up","host":"review.example","path-prefix":"/up/","type":"upload","timeout-ms":5000,"target-latency-ms":800,"priority":1,"service":"paperwork","max-attempts":2}],"services":[{"name":"paperwork","health-path":"/health","max-connections":260,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#,
    );
    let plan = Plan { net, store: store.address, hosts: vec![1], grace_s: 6, bootstrap: true };
    let mut node = plan.start(1);
    node.wait_ready();
    // Longer than contact-ms since the start of the node.
    thread::sleep(Duration::from_millis(3_500));

    let answers: Arc<Mutex<Vec<(String, String, u128)>>> = Arc::default();
    let clients: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let (answers, record, front) = (Arc::clone(&answers), record.clone(), node.front);
            thread::spawn(move || {
                let id = format!("u{number:015x}");
                let body = vec![b'a' + number as u8; BODY_BYTES];
                record.line(&format!("client sends {id}, {BODY_BYTES} bytes"));
                let result = Client::connect(front).and_then(|mut client| {
                    client.send("POST", "/up/scan", &id, DEADLINE_MS, &body)?;
                    record.line(&format!("client has sent {id} whole"));
                    client.answer(Duration::from_millis(DEADLINE_MS))
                });
                let text = match result {
                    Ok(Some((head, _))) => {
                        let stamp = head.get("pointvane-response-stamp").unwrap_or("none").to_owned();
                        format!("{} stamp {stamp}", head.status())
                    }
                    Ok(None) => "closed without an answer".into(),
                    Err(error) => format!("error {error}"),
                };
                record.line(&format!("client of {id} got: {text}"));
                answers.lock().unwrap().push((id, text, record.ms()));
            })
        })
        .collect();
    // The stop comes while all instances are at work.
    let until = Instant::now() + Duration::from_secs(2);
    while runs.lock().unwrap().len() < UPLOADS && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
    if runs.lock().unwrap().len() < UPLOADS {
        cannot_run("not all uploads reached an instance");
    }
    thread::sleep(Duration::from_millis(100));
    let stopped_ms = record.ms();
    record.say(&format!("SIGTERM to the node at {stopped_ms} ms; {UPLOADS} uploads are being worked on"));
    node.terminate();
    thread::sleep(Duration::from_millis(500));
    if get(node.ready, "/ready").is_some_and(|(status, _)| status == 200) {
        cannot_run("the node still counts as ready after the SIGTERM");
    }
    clients.into_iter().for_each(|client| _ = client.join());
    let ended = node.wait_end(Duration::from_secs(8));
    record.say(&format!("the node has ended: {ended}"));
    thread::sleep(Duration::from_millis(200));

    let answers = answers.lock().unwrap();
    let mut lost = 0;
    for (_, text, at_ms) in answers.iter() {
        let is_answered = text.starts_with("200 stamp stamp.");
        // Excused: broken off in the last sixth of the grace period, or at the deadline.
        let is_early = *at_ms < stopped_ms + 5_000 && *at_ms < stopped_ms + u128::from(DEADLINE_MS) - 400;
        if !is_answered && is_early {
            lost += 1;
        }
    }
    for run in runs.lock().unwrap().iter() {
        record.line(&format!("{run:?}"));
    }
    record.say(&format!(
        "{lost} of {UPLOADS} uploads that an instance was working on were broken off after the SIGTERM, well before \
         the deadline and the last sixth of grace-s"
    ));
    drop(node);
    exit(i32::from(lost > 0));
}
