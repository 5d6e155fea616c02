//! `Retry-After` of an upstream's answer: for how long it wants no requests from the process that it answered.
//!
//! Source: RFC 9110, sections 10.2.3 and 15.6.4, and the users' platform, which allows fractions of seconds. Of both forms.

use crate::US_PER_MS;

/// The one status by which an upstream speaks of itself. 429 speaks of whoever sent the request, 421 of another upstream, 408 of one request;
/// with any other status the header asks nothing of a sender.
const UNAVAILABLE: u16 = 503;
/// Longest time that is heeded, in microseconds.
///
/// Not measured: a day that was asked for by mistake must not cost a service its upstream for a day. One that means it turns away one
/// request an hour from each process.
const LONGEST_US: u64 = 3_600_000 * US_PER_MS;
/// Microseconds in the unit of the header.
const US_PER_UNIT: f64 = 1e6;

/// The time for which an answer asks for no requests, in microseconds, rounded up; none if it asks for none.
///
/// Decimal digits with or without a fraction count. What is 0, negative, a date, any other text, or too large for a number, is no
/// time: a date would rest on wall clocks, which jump, and an upstream is not left out by nonsense. Of several values, in one header or more,
/// the longest holds, since each was asked for.
pub fn retry_after_us<'v>(status: u16, values: impl IntoIterator<Item = &'v [u8]>) -> Option<u64> {
    if status != UNAVAILABLE {
        return None;
    }
    let parts = values.into_iter().flat_map(|value| value.split(|byte| *byte == b','));
    parts
        .filter_map(seconds)
        .map(|seconds| (seconds * US_PER_UNIT).ceil() as u64)
        .max()
        .map(|us| us.min(LONGEST_US))
}

/// A number of seconds above 0. `f64` reads more than is meant here, such as exponents and infinity.
fn seconds(text: &[u8]) -> Option<f64> {
    let text = text.trim_ascii();
    let is_decimal = text.iter().all(|byte| byte.is_ascii_digit() || *byte == b'.');
    let number: f64 = str::from_utf8(text).ok().filter(|_| is_decimal)?.parse().ok()?;
    (number.is_finite() && number > 0.0).then_some(number)
}
