//! Idempotency keys of requests that must not be repeated.
//!
//! Format: `<vm>.<incarnation hex>.<expiry_ms hex>.<caller's part>`. The locate program issues the first
//! three parts; the caller appends a unique part of its own. A key thereby names the only incarnation of the
//! only entry VM that may run the request, and its expiry.

use {
    crate::{Incarnation, Name},
    std::fmt,
};

/// Maximum length of the caller's part, in bytes.
const CALLER_PART_LIMIT_BYTES: usize = 64;

/// A parsed idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The only entry VM that may run the request.
    pub vm: Name,
    /// The only incarnation of that VM's entry process that may run the request.
    pub incarnation: Incarnation,
    /// Expiry, in milliseconds since that incarnation started.
    pub expiry_ms: u64,
    /// The part that the caller appended.
    pub caller_part: Box<str>,
}

/// Errors of parsing an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The key does not consist of four parts, or its VM name is empty.
    Shape,
    /// The incarnation or the expiry is not a hexadecimal `u64`.
    Number,
    /// The caller's part is empty, too long or contains characters other than ASCII letters, digits, `-` and
    /// `_`.
    CallerPart,
}

impl IdempotencyKey {
    /// Parses a key from a header value.
    ///
    /// # Errors
    /// A [`KeyError`] that names the invalid part.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let mut parts = text.splitn(4, '.');
        let mut next = || parts.next().ok_or(KeyError::Shape);
        let (vm, incarnation, expiry, caller_part) = (next()?, next()?, next()?, next()?);
        if vm.is_empty() {
            return Err(KeyError::Shape);
        }
        check_caller_part(caller_part)?;
        Ok(Self {
            vm: vm.into(),
            incarnation: Incarnation(parse_hex(incarnation)?),
            expiry_ms: parse_hex(expiry)?,
            caller_part: caller_part.into(),
        })
    }

    /// Formats the part that locate issues: everything before the caller's part, with the trailing dot.
    pub fn prefix(vm: &Name, incarnation: Incarnation, expiry_ms: u64) -> String {
        format!("{vm}.{incarnation}.{expiry_ms:x}.")
    }
}

fn parse_hex(text: &str) -> Result<u64, KeyError> {
    u64::from_str_radix(text, 16).map_err(|_| KeyError::Number)
}

fn check_caller_part(part: &str) -> Result<(), KeyError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    let is_valid = !part.is_empty() && part.len() <= CALLER_PART_LIMIT_BYTES && part.bytes().all(is_allowed);
    if is_valid { Ok(()) } else { Err(KeyError::CallerPart) }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let prefix = Self::prefix(&self.vm, self.incarnation, self.expiry_ms);
        write!(f, "{prefix}{}", self.caller_part)
    }
}
