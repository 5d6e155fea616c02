//! Parses the `Retry-After` header of an upstream's response: for how long it asks the receiving process to
//! back off.
//!
//! See RFC 9110, sections 10.2.3 and 15.6.4. The target platform also allows fractions of seconds. Both
//! deployments use this.

use crate::US_PER_MS;

/// The only status whose `Retry-After` applies to the upstream as a whole: 429 concerns the client, 421
/// another upstream and 408 a single request. With any other status the header does not ask for a backoff.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Upper bound of the backoff, in microseconds; longer values are reduced to it.
///
/// A service must not lose its upstream for a day because of a mistaken value. An upstream that does mean a
/// longer time has to reject one request per hour from each process.
const RETRY_AFTER_MAX_US: u64 = 3_600_000 * US_PER_MS;
/// Microseconds per second, the unit of the header.
const US_PER_S: f64 = 1e6;

/// Returns the backoff that a response asks for, in microseconds, rounded up; `None` if it asks for none.
///
/// Values are decimal seconds with an optional fraction. Zero, negative numbers, dates, other text and
/// numbers that overflow are ignored: a date depends on wall clocks, which can jump, and a malformed value
/// must not take an upstream out of use. Of several values, in one or more headers, the longest applies.
pub fn retry_after_us<'v>(status: u16, values: impl IntoIterator<Item = &'v [u8]>) -> Option<u64> {
    if status != SERVICE_UNAVAILABLE {
        return None;
    }
    let parts = values.into_iter().flat_map(|value| value.split(|byte| *byte == b','));
    parts
        .filter_map(parse_seconds)
        .map(|seconds| (seconds * US_PER_S).ceil() as u64)
        .max()
        .map(|us| us.min(RETRY_AFTER_MAX_US))
}

/// Parses a positive number of seconds. `f64` alone would also accept signs, exponents and infinity.
fn parse_seconds(text: &[u8]) -> Option<f64> {
    let text = text.trim_ascii();
    let is_decimal = text.iter().all(|byte| byte.is_ascii_digit() || *byte == b'.');
    let number: f64 = str::from_utf8(text).ok().filter(|_| is_decimal)?.parse().ok()?;
    (number.is_finite() && number > 0.0).then_some(number)
}
