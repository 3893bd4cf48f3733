//! A connection whose peer has to take in what is written to it.

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

/// A stream on which a write fails when the peer takes in nothing for a time.
///
/// hyper limits the time for the request head, but not the time for the answer.
pub(crate) struct PacedStream {
    inner: HyperStream<TcpStream>,
    write_timeout: Duration,
    /// Runs while a write waits for the peer.
    stalled: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl PacedStream {
    pub(crate) fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self {
            inner: HyperStream::new_plain(stream),
            write_timeout,
            stalled: None,
        }
    }

    /// Passes `written` on; one that has been pending for too long fails.
    fn pace<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let timeout = self.write_timeout;
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(compio::time::sleep(timeout)));
        ready!(stalled.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the peer does not read",
        )))
    }
}

impl Read for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl Write for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Write::poll_write(Pin::new(&mut self.inner), context, bytes);
        self.pace(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Write::poll_flush(Pin::new(&mut self.inner), context);
        self.pace(context, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closed = Write::poll_shutdown(Pin::new(&mut self.inner), context);
        self.pace(context, closed)
    }
}
