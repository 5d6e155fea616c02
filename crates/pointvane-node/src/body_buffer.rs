//! Reads bodies into buffers, as far as there is memory.

use {
    crate::{
        body::BufferedBody,
        memory::{BodyMemory, MemoryHolder},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    pointvane_dispatch::{MemoryRefusal, SMALL_BYTES},
    pointvane_serve::{BodyError, CheckedBody},
};

/// Why a request body is not read to its end.
#[derive(Debug)]
pub enum RequestBodyError {
    /// The connection broke.
    Broken,
    /// There is no memory for it.
    NoMemory(MemoryRefusal),
}

/// Buffers a request body up to about `bytes_max` bytes: the frame that exceeds the limit is buffered too.
/// While memory is short it is read no further.
///
/// # Errors
/// When the connection breaks before the body is complete, or there is no memory for the body.
pub async fn buffer_request_body(
    mut body: Incoming,
    bytes_max: usize,
    memory: &BodyMemory,
) -> Result<BufferedBody, RequestBodyError> {
    let length = body.size_hint().exact();
    let bytes_max = memory.body_bytes_max().min(bytes_max as u64);
    let mut buffer = BodyBuffer::new(memory, length);
    while buffer.bytes.len() as u64 <= bytes_max && !body.is_end_stream() {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            reason = buffer.holder.refused() => return Err(RequestBodyError::NoMemory(reason)),
        };
        let Some(frame) = frame else { break };
        if let Ok(data) = frame.map_err(|_| RequestBodyError::Broken)?.into_data() {
            let more_bytes = buffer.growth(data.len());
            buffer.holder.reserve(more_bytes as u64).await.map_err(RequestBodyError::NoMemory)?;
            buffer.append(&data, more_bytes);
            if !body.is_end_stream() {
                buffer.holder.received(data.len());
            }
        }
    }
    if !buffer.holder.complete() {
        return Err(RequestBodyError::NoMemory(MemoryRefusal::Stalled));
    }
    let rest = Some(body).filter(|body| !body.is_end_stream()).map(CheckedBody::from);
    Ok(BufferedBody { bytes: buffer.into_bytes(), rest, length })
}

/// Buffers the body of an answer up to about `bytes_max` bytes: the frame that exceeds the limit is buffered
/// too. While memory is short, the rest is streamed.
///
/// # Errors
/// When the connection breaks before the body is complete.
pub async fn buffer_answer_body(
    mut body: CheckedBody,
    bytes_max: usize,
    memory: &BodyMemory,
) -> Result<BufferedBody, BodyError> {
    let length = body.size_hint().exact();
    let mut buffer = BodyBuffer::new(memory, length);
    let mut has_memory = true;
    while has_memory && buffer.bytes.len() <= bytes_max && !body.is_end_stream() {
        let Some(frame) = body.frame().await else { break };
        if let Ok(data) = frame?.into_data() {
            let more_bytes = buffer.growth(data.len());
            has_memory = buffer.holder.try_reserve(more_bytes as u64);
            buffer.append(&data, more_bytes);
        }
    }
    let rest = Some(body).filter(|body| !body.is_end_stream());
    Ok(BufferedBody { bytes: buffer.into_bytes(), rest, length })
}

/// The buffer of a body, which reserves its memory before it grows.
struct BodyBuffer {
    bytes: Vec<u8>,
    /// Length of the whole body, if known.
    length: Option<usize>,
    holder: MemoryHolder,
}

impl BodyBuffer {
    fn new(memory: &BodyMemory, length: Option<u64>) -> Self {
        let holder = memory.open(length);
        let length = length.and_then(|length| usize::try_from(length).ok());
        Self { bytes: Vec::new(), length, holder }
    }

    /// Bytes by which the capacity grows to append `data_bytes`. Small bodies of known length grow once; others
    /// at least double.
    fn growth(&self, data_bytes: usize) -> usize {
        let (needed, capacity) = (self.bytes.len() + data_bytes, self.bytes.capacity());
        if needed <= capacity {
            return 0;
        }
        let grown = match self.length {
            Some(length) if length as u64 <= SMALL_BYTES => length,
            Some(length) => length.min(2 * capacity),
            None => 2 * capacity,
        };
        grown.max(needed) - capacity
    }

    fn append(&mut self, data: &[u8], more_bytes: usize) {
        if more_bytes > 0 {
            self.bytes.reserve_exact(self.bytes.capacity() + more_bytes - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
    }

    fn into_bytes(self) -> Bytes {
        self.holder.into_bytes(self.bytes)
    }
}
