//! Sends requests over a connection and checks the heads of the responses. Every client of both forms sends
//! through here: to upstreams, to other processes of the fleet and to the platform.

use {
    crate::{
        body_framing::FramedHead,
        checked_body::CheckedBody,
        checked_stream::CheckedStream,
        interim_responses::InterimResponses,
        response_fault::ResponseFault,
        send_progress::{SendProgress, TrackedBody},
    },
    hyper::{
        Method, Request, Response, Version,
        body::{Body, Incoming},
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        error::Error,
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite},
};

/// The future that drives a connection; it must be spawned.
pub type ConnectionDriver<S, B> = http1::Connection<TokioIo<CheckedStream<S>>, TrackedBody<B>>;

/// Sends requests over one connection, one at a time.
#[derive(Debug)]
pub struct RequestSender<B> {
    sender: SendRequest<TrackedBody<B>>,
    interim: InterimResponses,
    progress: SendProgress,
}

/// A response whose head agrees with its body.
#[derive(Debug)]
pub struct CheckedResponse {
    /// The response; its head states how the body is delimited as [`FramedHead`] decided it.
    pub response: Response<CheckedBody>,
    /// The framing of the body.
    pub framed: FramedHead,
}

/// Why a request has no response.
#[derive(Debug)]
pub enum SendError<B> {
    /// No byte was sent; holds the request.
    Unsent(Box<Request<B>>),
    /// The connection failed; part of the request may have been sent.
    Broken,
    /// The response is malformed; the request may have run.
    Malformed(ResponseFault),
}

impl<B: Body<Data: Send, Error: Error + Send + Sync> + Unpin + 'static> RequestSender<B> {
    /// Starts HTTP on a new connection with the options of `builder`.
    ///
    /// # Errors
    /// When the library rejects the connection.
    pub async fn start<S>(
        builder: &http1::Builder,
        stream: S,
    ) -> hyper::Result<(Self, ConnectionDriver<S, B>)>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let interim = InterimResponses::default();
        let progress = SendProgress::default();
        let stream = CheckedStream::new(stream, interim.clone(), progress.clone());
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await?;
        Ok((Self { sender, interim, progress }, driver))
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError`], which tells whether any byte may have been sent.
    pub async fn send(&mut self, mut request: Request<B>) -> Result<CheckedResponse, SendError<B>> {
        let method = request.method().clone();
        self.interim.count(&mut request);
        let sent = self.sender.try_send_request(request.map(|body| self.progress.begin(body))).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::Unsent(Box::new(request.map(TrackedBody::into_inner))),
            None => self.fault(error.error()).map_or(SendError::Broken, SendError::Malformed),
        })?;
        check(&method, response).map_err(SendError::Malformed)
    }

    /// What is wrong with the response for which a request failed; none if the connection failed instead.
    fn fault(&self, error: &hyper::Error) -> Option<ResponseFault> {
        let too_many_interim = self.interim.is_exceeded().then_some(ResponseFault::TooManyInterim);
        too_many_interim.or_else(|| ResponseFault::of_error(error))
    }
}

impl<B> RequestSender<B> {
    /// Whether a request may be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Ready once a request may be sent, or with an error if the connection is closed.
    pub fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        self.sender.poll_ready(cx)
    }
}

/// Checks a response to a request with this method, and makes its head agree with its body.
fn check(method: &Method, response: Response<Incoming>) -> Result<CheckedResponse, ResponseFault> {
    let (mut head, body) = response.into_parts();
    if let Some(fault) = ResponseFault::of_status(head.status) {
        return Err(fault);
    }
    let framed = FramedHead::of(method, head.status, &mut head.headers)?;
    if !framed.agrees_with(body.size_hint().exact()) {
        return Err(ResponseFault::ReadDifferently);
    }
    // A proxy sends its own version, and the version decides how the body is delimited further on (RFC 9110, 2.5).
    head.version = Version::HTTP_11;
    Ok(CheckedResponse { response: Response::from_parts(head, body.into()), framed })
}
