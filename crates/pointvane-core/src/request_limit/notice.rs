//! Parsing of the request limit header in responses.

use super::PER_1000_S;

/// Cap of advertised rates, in requests per 1000 seconds: more than any fleet sends to one upstream.
const RATE_MAX_PER_1000_S: f64 = 1e9;

/// Content of the request limit header of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// The header is absent: no limit is advertised.
    #[default]
    Absent,
    /// The header is malformed; it neither sets nor lifts a limit.
    Malformed,
    /// Advertised rate, in requests per 1000 seconds.
    Advertised(u32),
}

impl LimitNotice {
    /// Parses the values of one or more headers, in requests per second. A value is a decimal number with an
    /// optional fraction. Of several valid values the lowest applies.
    pub fn parse<'v>(values: impl IntoIterator<Item = &'v [u8]>) -> Self {
        let parts = values.into_iter().flat_map(|value| value.split(|byte| *byte == b','));
        let min_rate = |notice, rate| match (notice, rate) {
            (Self::Advertised(one), Some(other)) => Self::Advertised(one.min(other)),
            (_, Some(rate)) => Self::Advertised(rate),
            (Self::Absent, None) => Self::Malformed,
            (notice, None) => notice,
        };
        parts.map(parse_per_1000_s).fold(Self::Absent, min_rate)
    }
}

/// Parses a rate, rounded down. `f64` alone would also accept signs, exponents and infinity.
fn parse_per_1000_s(text: &[u8]) -> Option<u32> {
    let text = text.trim_ascii();
    let is_decimal = text.iter().all(|byte| byte.is_ascii_digit() || *byte == b'.');
    let per_s: f64 = str::from_utf8(text).ok().filter(|_| is_decimal)?.parse().ok()?;
    per_s.is_finite().then(|| (per_s * PER_1000_S).min(RATE_MAX_PER_1000_S) as u32)
}
