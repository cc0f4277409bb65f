//! Bounds what is read from a connection for one answer, whatever the bytes are.
//!
//! The HTTP client bounds a head and a body, but not how many informational responses come before an answer, nor how many
//! bytes a chunked body is made of. A searcher that sends these without end would take all of the processor's time.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// How many bytes may still be read from a connection.
#[derive(Clone, Debug)]
pub struct Allowance(sync::Arc<atomic::AtomicUsize>);

impl Allowance {
    /// Creates an allowance of `byte_count` bytes.
    pub fn new(byte_count: usize) -> Self {
        Self(sync::Arc::new(atomic::AtomicUsize::new(byte_count)))
    }

    /// Allows `byte_count` bytes from now on, whatever was left.
    pub fn set(&self, byte_count: usize) {
        self.0.store(byte_count, atomic::Ordering::Relaxed);
    }

    /// Takes `byte_count` bytes from what is left. Returns whether they were allowed.
    fn take(&self, byte_count: usize) -> bool {
        let left = self.0.load(atomic::Ordering::Relaxed);
        self.0.store(left.saturating_sub(byte_count), atomic::Ordering::Relaxed);
        byte_count <= left
    }
}

/// A stream that fails once more has been read from it than is allowed.
#[derive(Debug)]
pub struct Limited<T> {
    stream: T,
    allowance: Allowance,
}

impl<T> Limited<T> {
    /// Limits `stream` to what `allowance` allows.
    pub fn new(stream: T, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Limited<T> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        task::ready!(pin::Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let result = match self.allowance.take(buffer.filled().len() - before) {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::InvalidData, "the answer is too long")),
        };
        task::Poll::Ready(result)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Limited<T> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
