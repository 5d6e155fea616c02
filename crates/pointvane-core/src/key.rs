//! The idempotency key of work that may not be repeated.
//!
//! Shape: `<vm>.<incarnation hex>.<expiry_ms hex>.<caller's part>`. The first three parts come from locate;
//! the caller adds a part of its own that it never uses twice. The key thus names the one incarnation of the
//! one entry VM that may run the work, and until when.

use {
    crate::{Incarnation, Name},
    std::fmt,
};

/// Longest accepted caller's part, in bytes.
const CALLER_PART_LIMIT_BYTES: usize = 64;

/// A parsed idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The entry VM that alone may run the work.
    pub vm: Name,
    /// The life of that VM's entry process that alone may run the work.
    pub incarnation: Incarnation,
    /// End of the key's life, in milliseconds since that incarnation started.
    pub expiry_ms: u64,
    /// The part the caller chose.
    pub caller_part: Box<str>,
}

/// Why a text is no idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// It has not the four parts.
    Shape,
    /// A number in it cannot be read.
    Number,
    /// The caller's part is empty, too long or holds other than letters, digits, `-` and `_`.
    CallerPart,
}

impl IdempotencyKey {
    /// Reads a key from a header's value.
    ///
    /// # Errors
    /// A [`KeyError`] that says which part is wrong.
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
            incarnation: Incarnation(hex(incarnation)?),
            expiry_ms: hex(expiry)?,
            caller_part: caller_part.into(),
        })
    }

    /// The part of a key that locate hands out: everything before the caller's part.
    pub fn prefix(vm: &Name, incarnation: Incarnation, expiry_ms: u64) -> String {
        format!("{vm}.{incarnation}.{expiry_ms:x}.")
    }
}

fn hex(text: &str) -> Result<u64, KeyError> {
    u64::from_str_radix(text, 16).map_err(|_| KeyError::Number)
}

fn check_caller_part(part: &str) -> Result<(), KeyError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    let good = !part.is_empty() && part.len() <= CALLER_PART_LIMIT_BYTES && part.bytes().all(allowed);
    if good { Ok(()) } else { Err(KeyError::CallerPart) }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let prefix = Self::prefix(&self.vm, self.incarnation, self.expiry_ms);
        write!(f, "{prefix}{}", self.caller_part)
    }
}
