//! How the body of a response is delimited: the rule of RFC 9112, section 6.3, for both forms.
//!
//! Decided once, from the head as the upstream sent it. The result is compared with how the HTTP library reads
//! the body, and written into the head that is sent on, so that no header of the upstream contradicts the body.
//! Tests: `tests/body_framing.rs`, and `standins/tests/malformed_responses.rs` with whole processes.

use {
    crate::response_fault::ResponseFault,
    hyper::{
        HeaderMap, Method, StatusCode,
        header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
    },
};

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body; a length in the head is that of the representation.
    Absent,
    /// By its length in bytes.
    Length(u64),
    /// By its chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The framing of a response, and what was wrong with its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FramedHead {
    /// How the body is delimited.
    pub framing: BodyFraming,
    /// A fault that leaves the end of the body certain; the head was corrected.
    pub repaired: Option<ResponseFault>,
}

impl FramedHead {
    /// Decides the framing of a response to a request with this method, and makes its head agree with it.
    ///
    /// # Errors
    /// Why the end of the body is not certain.
    pub fn of(method: &Method, status: StatusCode, headers: &mut HeaderMap) -> Result<Self, ResponseFault> {
        let length = content_length(headers);
        if is_bodiless(method, status) {
            let announced = length.ok().flatten().filter(|_| status != StatusCode::NO_CONTENT);
            set_length(headers, announced);
            return Ok(Self { framing: BodyFraming::Absent, repaired: None });
        }
        if is_chunked(headers)? {
            // The chunks override a length (RFC 9112, 6.3), and show where the body ends whatever it says.
            let repaired = headers.contains_key(CONTENT_LENGTH).then_some(ResponseFault::TwoLengths);
            set_length(headers, None);
            return Ok(Self { framing: BodyFraming::Chunked, repaired });
        }
        let length = length?;
        set_length(headers, length);
        Ok(Self { framing: length.map_or(BodyFraming::UntilClose, BodyFraming::Length), repaired: None })
    }

    /// Whether the body is read to its end as it is framed; `read_length` is the length by which the HTTP library
    /// reads it, if it knows one.
    pub fn agrees_with(self, read_length: Option<u64>) -> bool {
        match self.framing {
            BodyFraming::Absent => read_length == Some(0),
            BodyFraming::Length(length) => read_length == Some(length),
            BodyFraming::Chunked | BodyFraming::UntilClose => read_length.is_none(),
        }
    }

    /// Whether nothing but the end of the connection shows where the body ends.
    pub fn ends_with_connection(self) -> bool {
        self.framing == BodyFraming::UntilClose
    }

    /// Whether another request may be sent on the connection after the body. A sender that contradicts itself may
    /// have sent bytes that belong to no response.
    pub fn is_connection_reusable(self) -> bool {
        self.repaired.is_none() && !self.ends_with_connection()
    }
}

/// Whether a response to a request with this method has no body, whatever its head says.
fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    *method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Whether the body of a request or response is in a coding that neither form can decode.
pub fn has_unknown_coding(headers: &HeaderMap) -> bool {
    is_chunked(headers).is_err()
}

/// Whether the body is sent in chunks.
///
/// # Errors
/// When it is coded in any other way, also before it is chunked: no other coding was accepted in the request, and
/// the body cannot be decoded.
fn is_chunked(headers: &HeaderMap) -> Result<bool, ResponseFault> {
    if !headers.contains_key(TRANSFER_ENCODING) {
        return Ok(false);
    }
    let values = headers.get_all(TRANSFER_ENCODING).iter().map(HeaderValue::as_bytes);
    // Empty items of a list are ignored (RFC 9110, 5.6.1.2).
    let mut codings = values
        .flat_map(|value| value.split(|byte| *byte == b','))
        .map(<[u8]>::trim_ascii)
        .filter(|coding| !coding.is_empty());
    match (codings.next(), codings.next()) {
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(ResponseFault::UnknownCoding),
    }
}

/// The announced length in bytes; none without a header. The same length may stand in it more than once.
///
/// # Errors
/// When a length is not a decimal number, or lengths differ.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, ResponseFault> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_| ResponseFault::InvalidLength)?;
        for item in text.split(',').map(str::trim) {
            // `u64::from_str` accepts a sign, which the header may not have.
            let is_decimal = !item.is_empty() && item.bytes().all(|byte| byte.is_ascii_digit());
            let item: u64 = item.parse().ok().filter(|_| is_decimal).ok_or(ResponseFault::InvalidLength)?;
            if length.is_some_and(|length| length != item) {
                return Err(ResponseFault::TwoLengths);
            }
            length = Some(item);
        }
    }
    Ok(length)
}

/// Replaces the headers that delimit the body by one length, or by none.
fn set_length(headers: &mut HeaderMap, length: Option<u64>) {
    headers.remove(TRANSFER_ENCODING);
    match length {
        Some(length) => _ = headers.insert(CONTENT_LENGTH, HeaderValue::from(length)),
        None => _ = headers.remove(CONTENT_LENGTH),
    }
}
