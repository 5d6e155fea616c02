//! Reads bodies whose content does not matter, so that their connections can be reused.

use {
    crate::checked_body::{BodyError, CheckedBody},
    bytes::Bytes,
    http_body_util::BodyExt,
};

/// Longest body of the response to a health check that is read, in bytes; the connection is closed beyond it.
pub const HEALTH_BODY_BYTES_MAX: usize = 4_096;

/// Reads a body up to about `bytes_max` bytes without keeping it; returns whether it was read to its end.
///
/// # Errors
/// When the connection breaks before.
pub async fn skip_body(mut body: CheckedBody, bytes_max: usize) -> Result<bool, BodyError> {
    let mut skipped_bytes = 0;
    while skipped_bytes <= bytes_max {
        let Some(frame) = body.frame().await else { return Ok(true) };
        skipped_bytes += frame?.data_ref().map_or(0, Bytes::len);
    }
    Ok(false)
}
