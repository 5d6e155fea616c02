//! Instances: each listens at its own address, answers its health path, rejects requests that expect another one,
//! and hands all others to the handler of the case.

use {
    crate::{
        http::{Head, Reader},
        record::Record,
        store::Store,
    },
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// A connection with a request whose head was read and whose body was not.
pub struct Exchange<'c> {
    pub instance: &'c Instance,
    pub head: Head,
    pub reader: &'c mut Reader<TcpStream>,
    pub writer: &'c mut TcpStream,
}

/// Handles a request; an error ends its connection.
pub type Handle = Arc<dyn Fn(&mut Exchange<'_>) -> io::Result<()> + Send + Sync>;

#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub number: usize,
    pub address: SocketAddr,
    pub service: String,
    pub slots: u32,
    /// Time that an answer of the health path takes, in milliseconds.
    pub probe_ms: u64,
    pub running: Arc<AtomicU32>,
    pub record: Record,
}

impl Instance {
    /// Starts to listen, and writes the entry.
    pub fn start(self, store: &Store, handle: Handle) -> io::Result<Self> {
        let listener = TcpListener::bind(self.address)?;
        let entry = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"z1\",\"slots\":{}}},\
             \"status\":{{\"state\":\"ready\",\"sequence\":1,\"warmup-left-ms\":0}}}}",
            self.address, self.service, self.slots
        );
        store.put(&format!("servers/{}", self.id), &entry);
        let serving = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (instance, handle) = (serving.clone(), Arc::clone(&handle));
                thread::spawn(move || _ = instance.serve(stream, &handle));
            }
        });
        Ok(self)
    }

    pub fn load(&self) -> String {
        format!("{},0,{}", self.running.load(Ordering::SeqCst), self.slots)
    }

    /// The headers of an answer of this instance to a request.
    pub fn answer_headers(&self, head: &Head) -> String {
        format!(
            "Pointvane-Request-Id: {}\r\nPointvane-Response-Stamp: stamp.{}\r\nPointvane-Instance-Load: {}\r\n",
            head.get("pointvane-request-id").unwrap_or(""),
            self.id,
            self.load()
        )
    }

    fn serve(&self, stream: TcpStream, handle: &Handle) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = reader.head()? {
            if head.second() == "/health" {
                reader.body(&head, false)?;
                thread::sleep(Duration::from_millis(self.probe_ms));
                let text = format!(
                    "HTTP/1.1 200 OK\r\nPointvane-Instance-Id: {}\r\nPointvane-Instance-Load: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id,
                    self.load()
                );
                writer.write_all(text.as_bytes())?;
                continue;
            }
            if head.get("pointvane-expect-instance").is_some_and(|id| id != self.id) {
                reader.body(&head, false)?;
                let text = "HTTP/1.1 421 Misdirected Request\r\nPointvane-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                writer.write_all(text.as_bytes())?;
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let mut exchange = Exchange { instance: self, head, reader: &mut reader, writer: &mut writer };
            let handled = handle(&mut exchange);
            self.running.fetch_sub(1, Ordering::SeqCst);
            handled?;
        }
        Ok(())
    }
}
