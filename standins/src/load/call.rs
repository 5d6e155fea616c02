//! One call: its request, its tries, the check of its answer.

use {
    super::{
        class_of,
        route::{Callers, EntryAddress, SendFailure},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, body::Incoming},
    pointvane_core::header,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// What is called.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallKind {
    /// A routine read.
    Lookup,
    /// An urgent read.
    Urgent,
    /// Work that may not be repeated; tried again with the same key when its outcome is unknown.
    Booking,
    /// A body of this many bytes, under a key.
    Upload(usize),
    /// A read that takes the upstream no time.
    Echo,
    /// The same without pointvane, at one of these upstreams.
    Direct(Vec<SocketAddr>),
}

impl CallKind {
    /// The kind's name in tables.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Urgent => "urgent",
            Self::Booking => "booking",
            Self::Upload(_) => "upload",
            Self::Echo => "echo",
            Self::Direct(_) => "direct",
        }
    }

    /// Whether its time counts from the sending, as for comparing two ways, and not from when it was due.
    pub fn counts_from_sending(&self) -> bool {
        matches!(self, Self::Echo | Self::Direct(_))
    }

    fn has_key(&self) -> bool {
        matches!(self, Self::Booking | Self::Upload(_))
    }
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// What is called.
    pub kind: CallKind,
    /// Unique; the answer must carry it.
    pub id: String,
    /// Deadline named, in milliseconds.
    pub deadline_ms: u64,
    /// Which caller it is.
    pub caller: usize,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole own answer.
    Whole,
    /// Part of an answer, or a connection that broke.
    Cut,
    /// An answer that is not this call's.
    Wrong,
    /// Said to be not run.
    NotRun(String),
    /// Said, or to be taken, as unknown.
    Unknown(String),
    /// An upstream's own error answer, passed on whole.
    ErrorAnswer(u16),
    /// No entry VM to be had.
    NoEntry,
}

/// Tries of a call whose entry VM could not be reached, or whose keyed outcome is unknown.
const TRIES_MAX: usize = 3;

impl Call {
    /// Makes the call; `took` gets the time of its last try, from its sending to the end of its answer.
    pub async fn run(&self, callers: &Callers, took: &mut Duration) -> Ending {
        if let CallKind::Direct(upstreams) = &self.kind {
            let number = self.id.bytes().map(usize::from).sum::<usize>() % upstreams.len();
            return self.try_at(callers, upstreams[number], "", took).await.unwrap_or(Ending::Cut);
        }
        let entries = callers.entries(self.caller).await;
        let Some(owner) = entries.first() else {
            return Ending::NoEntry;
        };
        let mut last = Ending::NoEntry;
        for number in 0..TRIES_MAX {
            // The key stays the first entry's: any other passes the call on to it.
            let entry: &EntryAddress = &entries[number % entries.len()];
            match self.try_at(callers, entry.address, &owner.key_prefix, took).await {
                Ok(Ending::Unknown(why)) if self.kind.has_key() => last = Ending::Unknown(why),
                Ok(Ending::Cut) if self.kind.has_key() => last = Ending::Cut,
                Ok(ending) => return ending,
                Err(SendFailure::Unsent) => callers.forget(self.caller),
                Err(SendFailure::Broken) if self.kind.has_key() => last = Ending::Unknown("broken".into()),
                Err(SendFailure::Broken) => return Ending::Cut,
            }
        }
        last
    }

    async fn try_at(
        &self,
        callers: &Callers,
        address: SocketAddr,
        prefix: &str,
        took: &mut Duration,
    ) -> Result<Ending, SendFailure> {
        let request = self.request(callers, prefix);
        let sent = Instant::now();
        let (response, sender) = callers.send(address, request).await?;
        let (status, headers) = (response.status().as_u16(), response.headers().clone());
        let Ok(body) = response_body(response).await else {
            return Ok(Ending::Cut);
        };
        callers.keep(address, sender);
        *took = sent.elapsed();
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let error = text(header::ERROR).to_owned();
        Ok(match text(header::OUTCOME) {
            "not-run" => Ending::NotRun(error),
            "unknown" => Ending::Unknown(error),
            _ if status != 200 => Ending::ErrorAnswer(status),
            _ => self.check(&body),
        })
    }

    fn request(&self, callers: &Callers, prefix: &str) -> Request<Full<Bytes>> {
        let service = &callers.service;
        let (method, query, body) = match &self.kind {
            CallKind::Lookup | CallKind::Urgent => (Method::GET, "", Bytes::new()),
            CallKind::Booking => (Method::POST, "", Bytes::from_static(b"booking")),
            CallKind::Upload(size) => (Method::PUT, "", Bytes::from(vec![b'u'; *size])),
            CallKind::Echo | CallKind::Direct(_) => (Method::GET, "?work_ms=0", Bytes::new()),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/{service}/call{query}"))
            .header("host", format!("{service}.example"))
            .header("x-request-id", &self.id)
            .header(header::DEADLINE_MS, self.deadline_ms)
            .header(header::CLASS, class_of(&self.kind).as_str());
        if self.kind.has_key() {
            request = request.header(header::KEY, format!("{prefix}{}", self.id));
        }
        request.body(Full::new(body)).unwrap_or_else(|error| panic!("request: {error}"))
    }

    /// The answer begins and ends with the call's id and tells the length of what the upstream got.
    fn check(&self, body: &[u8]) -> Ending {
        let text = String::from_utf8_lossy(body);
        let sent = match &self.kind {
            CallKind::Booking => 7,
            CallKind::Upload(size) => *size,
            _ => 0,
        };
        let own = text.starts_with(&format!("{}\n{sent}\n", self.id));
        let whole = text.ends_with(&format!("\nend {}\n", self.id));
        match (own, whole) {
            (true, true) => Ending::Whole,
            (true, false) => Ending::Cut,
            (false, _) => Ending::Wrong,
        }
    }
}

async fn response_body(response: Response<Incoming>) -> Result<Bytes, hyper::Error> {
    Ok(response.into_body().collect().await?.to_bytes())
}
