//! An instance of a service, as PROTOCOL.md tells: it keeps its entry in the store, answers its health path with
//! its load, checks `Pointvane-Expect-Instance`, works on a request and drops it when the connection closes.

use {
    crate::{
        http::{Connection, Head},
        record::Record,
        store::Store,
    },
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// What an instance does with one request.
#[derive(Clone, Copy, Debug)]
pub struct Act {
    /// How long it works before it answers.
    pub work: Duration,
    /// Status of its answer.
    pub status: u16,
    /// Length of its answer's body.
    pub length: usize,
    /// Bytes of the body after which it hangs: it sends nothing more and keeps the connection open; none if it does not.
    pub hangs_after: Option<usize>,
}

impl Act {
    /// A success after some work.
    pub fn success(work: Duration, length: usize) -> Self {
        Self { work, status: 200, length, hangs_after: None }
    }
}

/// How one request went at an instance.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its id.
    pub request: String,
    /// The instance that ran it.
    pub instance: String,
    /// When it arrived, since the start of the record.
    pub began: Duration,
    /// When the instance stopped work on it.
    pub ended: Duration,
    /// Whether it was dropped because its connection had closed.
    pub dropped: bool,
    /// Whether the instance has sent its whole answer.
    pub answered: bool,
}

/// Decides what an instance does: by the instance's id and the request's head.
pub type Behaviour = Arc<dyn Fn(&str, &Head) -> Act + Send + Sync>;

/// What an instance says of itself.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// A running instance.
#[derive(Clone)]
pub struct Instance {
    entry: Entry,
    address: SocketAddr,
    running: Arc<AtomicU32>,
    behaviour: Behaviour,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    health: Duration,
}

impl Instance {
    /// Starts an instance on a free port and writes its entry; `health` is the time that a health answer takes.
    pub fn start(
        ip: &str,
        entry: Entry,
        health: Duration,
        behaviour: Behaviour,
        record: &Arc<Record>,
        store: &Store,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let instance = Self {
            address: listener.local_addr()?,
            entry,
            running: Arc::default(),
            behaviour,
            record: Arc::clone(record),
            runs: Arc::default(),
            health,
        };
        instance.write_entry(store, "ready");
        let serving = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let instance = serving.clone();
                thread::spawn(move || {
                    // The end of a connection is part of the record where it matters.
                    let _ = instance.serve(Connection::new(stream));
                });
            }
        });
        Ok(instance)
    }

    fn write_entry(&self, store: &Store, state: &str) {
        let Entry { id, service, zone, slots } = &self.entry;
        let value = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\
             \"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\"sequence\":1,\"warmup-left-ms\":0}}}}",
            self.address
        );
        store.put(&format!("servers/{id}"), &value);
    }

    /// What it ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn load(&self) -> String {
        format!("{},0,{},100", self.running.load(Ordering::SeqCst), self.entry.slots)
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.head()? {
            if head.target() == "/health" {
                thread::sleep(self.health);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nPointvane-Instance-Id: {}\r\nPointvane-Instance-Load: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.entry.id,
                    self.load()
                );
                connection.send(answer.as_bytes())?;
                continue;
            }
            let body = connection.body(&head)?;
            let id = head.get("pointvane-request-id").unwrap_or_default().to_owned();
            if head.get("pointvane-expect-instance").is_some_and(|expected| expected != self.entry.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nPointvane-Instance-Id: {}\r\n\
                     Pointvane-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                    self.entry.id
                );
                connection.send(answer.as_bytes())?;
                continue;
            }
            if !self.run(&mut connection, &head, &id, body.len())? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Runs a request; false if the connection is over.
    fn run(
        &self,
        connection: &mut Connection,
        head: &Head,
        id: &str,
        body_length: usize,
    ) -> io::Result<bool> {
        let act = (self.behaviour)(&self.entry.id, head);
        let began = self.record.now();
        self.running.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!(
            "{} runs {id}: {} {} ({body_length} bytes), deadline {} ms",
            self.entry.id,
            head.method(),
            head.target(),
            head.get("pointvane-deadline-ms").unwrap_or("-")
        ));
        let dropped = self.works_until_closed(connection, act.work);
        let at = self.keep_run(Run {
            request: id.into(),
            instance: self.entry.id.clone(),
            began,
            ended: self.record.now(),
            dropped,
            answered: false,
        });
        if dropped {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.record.line(&format!("{} drops {id}: its connection has closed", self.entry.id));
            return Ok(false);
        }
        // A request that hangs holds its slot.
        let answered = self.answer(connection, id, act);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let stays_open = answered?;
        self.runs.lock().unwrap()[at].answered = stays_open;
        Ok(stays_open)
    }

    fn keep_run(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    /// Works for a time; true if the connection closed meanwhile.
    fn works_until_closed(&self, connection: &Connection, work: Duration) -> bool {
        let until = Instant::now() + work;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            thread::sleep(left.min(Duration::from_millis(5)));
            if connection.is_closed() {
                return true;
            }
        }
    }

    /// Sends the answer; false if the connection is over.
    fn answer(&self, connection: &mut Connection, id: &str, act: Act) -> io::Result<bool> {
        let Act { status, length, hangs_after, .. } = act;
        let head = format!(
            "HTTP/1.1 {status} -\r\nPointvane-Request-Id: {id}\r\nPointvane-Response-Stamp: {}.{id}.{status}.{length}\
             \r\nPointvane-Instance-Load: {}\r\nContent-Length: {length}\r\n\r\n",
            self.entry.id,
            self.load()
        );
        let sent = hangs_after.unwrap_or(length).min(length);
        if hangs_after != Some(0) {
            let mut answer = head.into_bytes();
            answer.resize(answer.len() + sent, b'x');
            connection.send(&answer)?;
        }
        if hangs_after.is_some() {
            self.record.line(&format!(
                "{} hangs after {sent} of {length} bytes of the answer of {id}",
                self.entry.id
            ));
            while connection.bytes(1).is_ok() {}
            self.record.line(&format!("{}: the node closes the connection of {id}", self.entry.id));
            return Ok(false);
        }
        self.record.line(&format!("{} answers {id}: {status}, {length} bytes", self.entry.id));
        Ok(true)
    }
}
