//! Encoding of messages: a version byte followed by `postcard` data, in datagrams and frames of limited size.
//!
//! A frame on a stream is a 4-byte big-endian length followed by that many bytes of an encoded message. In a
//! compressed frame, these bytes are compressed with deflate, and the length is that of the compressed data.

use {
    miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fmt,
        io::{self, Read, Write},
    },
};

/// Protocol version of all messages between processes; messages of other versions are dropped.
pub const VERSION: u8 = 1;
/// Maximum size of a datagram that is sent or received, in bytes, without IP and UDP headers.
pub const DATAGRAM_LIMIT_BYTES: usize = 1_400;
/// Maximum size of a frame's message that is sent or received, in bytes, without the length prefix.
pub const FRAME_LIMIT_BYTES: usize = 4 << 20;
/// Deflate level: the fastest.
const COMPRESSION_LEVEL: u8 = 1;
/// Size of the IPv4 and UDP headers of a datagram, in bytes.
pub const IP_UDP_HEADER_BYTES: usize = 28;

/// Reason why a message cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// The message exceeds the size limit of a datagram or frame.
    TooLong,
    /// The message has a version other than [`VERSION`].
    Version,
    /// The bytes are not a valid message of the expected type.
    Malformed,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "message exceeds the size limit",
            Self::Version => "unsupported message version",
            Self::Malformed => "malformed message",
        })
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message as a datagram.
///
/// # Errors
/// [`CodecError::TooLong`] if the message exceeds [`DATAGRAM_LIMIT_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let bytes = encode_unbounded(message)?;
    if bytes.len() > DATAGRAM_LIMIT_BYTES { Err(CodecError::TooLong) } else { Ok(bytes) }
}

fn encode_unbounded<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(message, vec![VERSION]).map_err(|_| CodecError::Malformed)
}

/// Decodes the message of a datagram or frame (without the frame's length prefix). Trailing bytes are an
/// error.
///
/// # Errors
/// [`CodecError::Version`] for a message of another version, [`CodecError::Malformed`] for anything else that
/// is not a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, body) = bytes.split_first().ok_or(CodecError::Malformed)?;
    if *version != VERSION {
        return Err(CodecError::Version);
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(CodecError::Malformed),
    }
}

/// Encodes a message as a frame, length prefix included.
///
/// # Errors
/// [`CodecError::TooLong`] if the message exceeds [`FRAME_LIMIT_BYTES`].
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let bytes = encode_unbounded(message)?;
    if bytes.len() > FRAME_LIMIT_BYTES {
        return Err(CodecError::TooLong);
    }
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend(bytes);
    Ok(frame)
}

/// Encodes a message as a compressed frame, length prefix included.
///
/// # Errors
/// [`CodecError::TooLong`] if the message exceeds [`FRAME_LIMIT_BYTES`] before or after compression.
pub fn compressed_frame<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let bytes = encode_unbounded(message)?;
    let compressed = compress_to_vec(&bytes, COMPRESSION_LEVEL);
    if bytes.len().max(compressed.len()) > FRAME_LIMIT_BYTES {
        return Err(CodecError::TooLong);
    }
    let mut frame = (compressed.len() as u32).to_be_bytes().to_vec();
    frame.extend(compressed);
    Ok(frame)
}

/// Decodes the message of a compressed frame (without its length prefix), decompressing at most
/// [`FRAME_LIMIT_BYTES`].
///
/// # Errors
/// As [`decode`]; [`CodecError::Malformed`] also if decompression fails or exceeds the limit.
pub fn decode_compressed<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let bytes = decompress_to_vec_with_limit(bytes, FRAME_LIMIT_BYTES).map_err(|_| CodecError::Malformed)?;
    decode(&bytes)
}

/// Decodes a frame's length prefix: the number of bytes that follow it.
///
/// # Errors
/// [`CodecError::TooLong`] for a length above [`FRAME_LIMIT_BYTES`].
pub fn frame_length(prefix: [u8; 4]) -> Result<usize, CodecError> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length > FRAME_LIMIT_BYTES { Err(CodecError::TooLong) } else { Ok(length) }
}

/// Writes a message as one frame (not compressed).
///
/// # Errors
/// Errors of the stream, or `InvalidData` for a message above [`FRAME_LIMIT_BYTES`].
pub fn write_frame<T: Serialize>(stream: &mut impl Write, message: &T) -> io::Result<()> {
    stream.write_all(&encode_frame(message).map_err(invalid_data)?)
}

/// Reads one frame (not compressed) and decodes its message.
///
/// # Errors
/// Errors of the stream, or `InvalidData` for a frame that is too long or does not decode as a `T`.
pub fn read_frame<T: DeserializeOwned>(stream: &mut impl Read) -> io::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = frame_length(length).map_err(invalid_data)?;
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    decode(&bytes).map_err(invalid_data)
}

fn invalid_data(error: CodecError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
