//! A caller's connection that records when the first bytes of a request head are received, and ends with
//! a reset where a close would state the end of an answer that is not whole.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::activity::Activity;
use crate::tcp::{close_regularly, reset_on_close};

/// A caller's connection.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    activity: Arc<Activity>,
    /// True while the connection would end with a reset, also if the process is killed.
    ends_with_reset: bool,
}

impl CallerStream {
    /// Wraps a stream and records received bytes in `activity`.
    pub(super) const fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self {
            stream,
            activity,
            ends_with_reset: false,
        }
    }

    /// Makes the connection end as it must at this moment.
    fn apply_end(&mut self) {
        let must_reset = self.activity.must_reset();
        if must_reset == self.ends_with_reset {
            return;
        }
        self.ends_with_reset = must_reset;
        if must_reset {
            reset_on_close(&self.stream);
        } else {
            close_regularly(&self.stream);
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.apply_end();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.activity.record_bytes();
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_end();
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.activity.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_end();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.activity.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply_end();
        if self.ends_with_reset {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
