//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, Read};

/// A head and what it says of the body.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line, split at blanks.
    pub line: Vec<String>,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }

    /// The second word of the first line: a path, or a status.
    pub fn second(&self) -> &str {
        self.line.get(1).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

/// Reads from a stream through a buffer.
pub struct Reader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: Read> Reader<R> {
    pub fn new(stream: R) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16_384];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.buffer.extend_from_slice(&part[..length]);
                Ok(())
            }
        }
    }

    /// Reads a head; none at an orderly end before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(parse(&String::from_utf8_lossy(&bytes))));
            }
            match self.fill() {
                Err(error) if error.kind() == io::ErrorKind::UnexpectedEof && self.buffer.is_empty() => {
                    return Ok(None);
                }
                filled => filled?,
            }
        }
    }

    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.exact(size)?);
            self.exact(2)?;
        }
    }

    /// Reads the body of a message; a response without a length ends with its connection.
    pub fn body(&mut self, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            return self.chunks();
        }
        match head.length() {
            Some(length) => self.exact(length),
            None if !is_response => Ok(Vec::new()),
            None => loop {
                match self.fill() {
                    Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
                        return Ok(std::mem::take(&mut self.buffer));
                    }
                    filled => filled?,
                }
            },
        }
    }
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").split(' ').map(str::to_owned).collect();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    Head { line, headers }
}
