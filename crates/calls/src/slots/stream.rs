//! Byte stream of a connection to a backend server, which counts the bytes written.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::AsyncBufRead;
use futures_util::AsyncWrite;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// Handle to a [`CountingStream`], for reading its write count and stopping its writes; clones share both.
#[derive(Clone, Debug, Default)]
pub(super) struct WriteControl {
    written_bytes: Rc<Cell<u64>>,
    closed: Rc<Cell<bool>>,
}

impl WriteControl {
    /// Returns the number of bytes that the stream has accepted for writing so far.
    pub(super) fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }

    /// Makes every later write fail, so that the count does not change any more.
    pub(super) fn close(&self) {
        self.closed.set(true);
    }

    /// Fails when writes were stopped.
    fn check_open(&self) -> io::Result<()> {
        if self.closed.get() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(())
    }
}

/// Adapts a TCP stream to the I/O traits of hyper and counts the bytes written.
pub(super) struct CountingStream {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
    control: WriteControl,
}

impl CountingStream {
    /// Wraps `stream`; `control` counts and can stop its writes.
    pub(super) fn new(stream: TcpStream, control: WriteControl) -> Self {
        Self {
            inner: Box::pin(AsyncStream::new(stream)),
            control,
        }
    }
}

impl Read for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let received = ready!(self.inner.as_mut().poll_fill_buf(context))?;
        let length = received.len().min(buffer.remaining());
        buffer.put_slice(&received[..length]);
        self.inner.as_mut().consume(length);
        Poll::Ready(Ok(()))
    }
}

impl Write for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.control.check_open()?;
        let length = ready!(self.inner.as_mut().poll_write(context, content))?;
        let written = &self.control.written_bytes;
        written.set(written.get() + length as u64);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_close(context)
    }
}
