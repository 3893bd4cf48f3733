//! A TCP stream with a write timeout.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// A TCP stream on which a write fails when it makes no progress for `write_timeout`.
///
/// hyper has a timeout for reading the request head, but none for writing the response.
pub(crate) struct WriteTimeoutStream {
    inner: HyperStream<TcpStream>,
    write_timeout: Duration,
    /// Set while a write waits for the peer to read.
    stall_timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl WriteTimeoutStream {
    pub(crate) fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self {
            inner: HyperStream::new_plain(stream),
            write_timeout,
            stall_timer: None,
        }
    }

    /// Returns `written`, or a timeout error when writes have been pending for longer than the timeout.
    fn enforce_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall_timer = None;
            return written;
        }
        let timeout = self.write_timeout;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(compio::time::sleep(timeout)));
        ready!(stall_timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "write timed out: the peer does not read the response",
        )))
    }
}

impl Read for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl Write for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Write::poll_write(Pin::new(&mut self.inner), context, bytes);
        self.enforce_timeout(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Write::poll_flush(Pin::new(&mut self.inner), context);
        self.enforce_timeout(context, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closed = Write::poll_shutdown(Pin::new(&mut self.inner), context);
        self.enforce_timeout(context, closed)
    }
}
