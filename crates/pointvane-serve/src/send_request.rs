//! Sends a request over a connection and checks the head of its response. Every client of both forms sends
//! through here: to upstreams, to other processes of the fleet and to the platform.

use {
    crate::{body_framing::FramedHead, interim_responses::InterimResponses, response_fault::ResponseFault},
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        client::conn::http1::SendRequest,
    },
};

/// A response whose head agrees with its body.
#[derive(Debug)]
pub struct CheckedResponse {
    /// The response; its head states how the body is delimited as [`FramedHead`] decided it.
    pub response: Response<Incoming>,
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

/// Sends a request and waits for the head of its response.
///
/// # Errors
/// [`SendError`], which tells whether any byte may have been sent.
pub async fn send_request<B>(
    sender: &mut SendRequest<B>,
    mut request: Request<B>,
) -> Result<CheckedResponse, SendError<B>>
where
    B: Body + 'static,
{
    let method = request.method().clone();
    let interim = InterimResponses::count(&mut request);
    let sent = tokio::select! {
        biased;
        sent = sender.try_send_request(request) => sent,
        // The connection closes as soon as nobody waits for its response.
        () = interim.exceeded() => return Err(SendError::Malformed(ResponseFault::TooManyInterim)),
    };
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(request) => SendError::Unsent(Box::new(request)),
        None => ResponseFault::of_error(error.error()).map_or(SendError::Broken, SendError::Malformed),
    })?;
    check(&method, response).map_err(SendError::Malformed)
}

/// Checks a response to a request with this method, and makes its head agree with its body.
fn check(method: &hyper::Method, response: Response<Incoming>) -> Result<CheckedResponse, ResponseFault> {
    let (mut head, body) = response.into_parts();
    if let Some(fault) = ResponseFault::of_status(head.status) {
        return Err(fault);
    }
    let framed = FramedHead::of(method, head.status, &mut head.headers)?;
    if !framed.agrees_with(body.size_hint().exact()) {
        return Err(ResponseFault::ReadDifferently);
    }
    Ok(CheckedResponse { response: Response::from_parts(head, body), framed })
}
