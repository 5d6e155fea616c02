//! The value that operators publish: a configuration with its digest.
//!
//! Format: JSON `{"digest": "<sha-256 hex>", "configuration": {...}}`. The digest covers the configuration's
//! compact JSON, so a truncated or altered value is refused as a whole.

use {
    crate::configuration::Configuration,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Maximum size of a value that the platform stores, in bytes.
pub const PACKED_LIMIT_BYTES: usize = 1_000_000;

/// A configuration with its digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packed {
    /// SHA-256 of the configuration's compact JSON, as hex.
    pub digest: String,
    /// The configuration that the digest covers.
    pub configuration: Configuration,
}

/// Why a value cannot be packed or unpacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PackError {
    /// The value exceeds [`PACKED_LIMIT_BYTES`].
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
    },
    /// The value is not JSON of the expected format.
    Malformed,
    /// The digest does not match the configuration.
    DigestMismatch,
}

impl fmt::Display for PackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { bytes } => write!(f, "{bytes} bytes; the limit is {PACKED_LIMIT_BYTES}"),
            Self::Malformed => f.write_str("not a packed configuration"),
            Self::DigestMismatch => f.write_str("the digest does not match"),
        }
    }
}

impl std::error::Error for PackError {}

/// Serializes a configuration with its digest for publication.
///
/// # Errors
/// [`PackError::TooLarge`] if the value exceeds [`PACKED_LIMIT_BYTES`].
pub fn pack(configuration: &Configuration) -> Result<Vec<u8>, PackError> {
    let digest = digest(configuration)?;
    let packed = Packed { digest, configuration: configuration.clone() };
    let value = serde_json::to_vec(&packed).map_err(|_| PackError::Malformed)?;
    if value.len() > PACKED_LIMIT_BYTES {
        return Err(PackError::TooLarge { bytes: value.len() });
    }
    Ok(value)
}

/// Parses a published value and verifies its digest.
///
/// # Errors
/// A [`PackError`] if the value is too large, malformed or does not match its digest.
pub fn unpack(value: &[u8]) -> Result<Packed, PackError> {
    if value.len() > PACKED_LIMIT_BYTES {
        return Err(PackError::TooLarge { bytes: value.len() });
    }
    let packed: Packed = serde_json::from_slice(value).map_err(|_| PackError::Malformed)?;
    if digest(&packed.configuration)? != packed.digest {
        return Err(PackError::DigestMismatch);
    }
    Ok(packed)
}

fn digest(configuration: &Configuration) -> Result<String, PackError> {
    let bytes = serde_json::to_vec(configuration).map_err(|_| PackError::Malformed)?;
    let hash = Sha256::digest(&bytes);
    Ok(hash.iter().map(|byte| format!("{byte:02x}")).collect())
}
