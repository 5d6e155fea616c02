//! Reads a caller's connection ahead of the HTTP server. The server gets the bytes of one request at a time,
//! and a caller that disconnects is detected while its later requests wait.

use {
    crate::{
        pipeline::Pipeline,
        request_scan::{RequestScan, Scanned},
    },
    bytes::{Buf, Bytes, BytesMut},
    pointvane_core::PlatformAdapter,
    pointvane_serve::LentStream,
    std::{
        collections::VecDeque,
        io,
        mem::MaybeUninit,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::{Sleep, sleep},
    },
};

/// Bytes per read from the socket: about ten request heads.
const READ_BYTES: usize = 4_096;

/// Interval between two checks whether a caller has disconnected while its requests are not read: within the
/// half second after which nothing may run for it any more.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Consecutive bytes of one request.
struct Segment {
    /// Index of the request on its connection.
    request: u64,
    bytes: Bytes,
}

/// A stream over a caller's connection that is read ahead.
pub struct ReadAhead<A: PlatformAdapter> {
    stream: LentStream,
    pipeline: Rc<Pipeline<A>>,
    scan: RequestScan,
    /// Bytes that were read and not yet assigned to a request.
    unscanned: BytesMut,
    /// Scanned bytes that the server has not received yet, oldest first.
    segments: VecDeque<Segment>,
    /// Index of the request that the next scanned bytes belong to.
    request: u64,
    bytes_max: usize,
    ended: bool,
    /// The next check for a disconnect; set while requests are not read.
    disconnect_check: Option<Pin<Box<Sleep>>>,
}

impl<A: PlatformAdapter + 'static> ReadAhead<A> {
    /// Wraps a new connection; `bytes_max` bounds the bytes that wait for the server.
    pub fn new(
        stream: LentStream,
        pipeline: Rc<Pipeline<A>>,
        head_bytes_max: usize,
        bytes_max: usize,
    ) -> Self {
        Self {
            stream,
            pipeline,
            scan: RequestScan::new(head_bytes_max),
            unscanned: BytesMut::new(),
            segments: VecDeque::new(),
            request: 0,
            bytes_max,
            ended: false,
            disconnect_check: None,
        }
    }

    /// Splits the unscanned bytes into requests.
    ///
    /// Bodies are scanned even if the pipeline is full: the server may poll for a body before its request is
    /// served, and would not be woken to poll again.
    fn scan(&mut self) {
        while self.pipeline.has_room() || !self.scan.expects_head() {
            let (length, head, ends) = match self.scan.next(&self.unscanned) {
                Scanned::Head { length, ends } => (length, true, ends),
                Scanned::Body { length, ends } => (length, false, ends),
                Scanned::Unknown if !self.unscanned.is_empty() => (self.unscanned.len(), false, false),
                Scanned::Incomplete | Scanned::Unknown => return,
            };
            let bytes = self.unscanned.split_to(length).freeze();
            if head {
                self.pipeline.arrived(bytes.clone(), !ends);
            }
            self.segments.push_back(Segment { request: self.request, bytes });
            self.request += u64::from(ends);
        }
    }

    /// Copies bytes of the current request to the server's buffer; false if there are none.
    fn deliver(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let released_requests = self.pipeline.released_requests();
        let Some(segment) = self.segments.front_mut().filter(|segment| segment.request < released_requests)
        else {
            return false;
        };
        let length = segment.bytes.len().min(buffer.remaining());
        buffer.put_slice(&segment.bytes[..length]);
        segment.bytes.advance(length);
        if segment.bytes.is_empty() {
            self.segments.pop_front();
        }
        true
    }

    /// Whether more may be read; bounds the bytes that wait behind the current request.
    fn may_read(&self) -> bool {
        let waiting: usize = self.segments.iter().map(|segment| segment.bytes.len()).sum();
        !self.ended && (self.segments.is_empty() || waiting + self.unscanned.len() < self.bytes_max)
    }

    /// Reads bytes from the socket; false at the end of the stream.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut space = [MaybeUninit::uninit(); READ_BYTES];
        let mut buffer = ReadBuf::uninit(&mut space);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer))?;
        self.unscanned.extend_from_slice(buffer.filled());
        Poll::Ready(Ok(!buffer.filled().is_empty()))
    }

    /// Waits until the next check for a disconnect. The server polls at other times as well, such as once the
    /// request in service is answered.
    fn poll_disconnect_check(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let check = self.disconnect_check.get_or_insert_with(|| Box::pin(sleep(DISCONNECT_CHECK_INTERVAL)));
        ready!(check.as_mut().poll(cx));
        self.disconnect_check = None;
        Poll::Ready(())
    }

    /// Remaining length of the current request's body if it can be read into the server's buffer directly, as
    /// nothing before it is buffered.
    fn direct_body_left(&self) -> Option<usize> {
        let is_next = self.unscanned.is_empty()
            && self.segments.is_empty()
            && !self.ended
            && self.request < self.pipeline.released_requests();
        self.scan.body_left().filter(|_| is_next).map(|left| usize::try_from(left).unwrap_or(usize::MAX))
    }

    /// Reads a part of a body directly into the server's buffer.
    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        left: usize,
    ) -> Poll<io::Result<()>> {
        let room = left.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        if let Scanned::Body { ends, .. } = self.scan.next(part.filled()) {
            self.request += u64::from(ends);
        }
        let length = part.filled().len();
        buffer.advance(length);
        self.ended = length == 0;
        Poll::Ready(Ok(()))
    }
}

impl<A: PlatformAdapter + 'static> AsyncRead for ReadAhead<A> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            self.scan();
            if self.deliver(buffer) || self.ended {
                return Poll::Ready(Ok(()));
            }
            if let Some(left) = self.direct_body_left() {
                return self.poll_body(cx, buffer, left);
            }
            if self.may_read() {
                self.disconnect_check = None;
                self.ended = !ready!(self.poll_fill(cx))?;
            } else {
                ready!(self.poll_disconnect_check(cx));
                self.ended = self.stream.is_read_closed();
            }
        }
    }
}

impl<A: PlatformAdapter + 'static> AsyncWrite for ReadAhead<A> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
