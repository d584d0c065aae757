//! TCP connections with detection of unreachable peers.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Opens a TCP connection that fails once its peer has sent no acknowledgement for `user_timeout`.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
    user_timeout: Duration,
) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_keepalive(&stream, user_timeout)?;
    Ok(stream)
}

/// Bounds for what is received before it is read, which counts towards the memory of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListenBounds {
    /// Connections that may wait to be accepted.
    pub backlog: u32,
    /// Receive buffer of a connection, in bytes; the operating system may double it.
    pub buffer_bytes: u32,
}

/// Listens for clients, which may send more than is read.
pub(crate) fn listen_within(address: SocketAddr, bounds: ListenBounds) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Connections inherit the buffer of their listener. It needs to be set before that listens, as
    // the window that is offered depends on it.
    socket.set_recv_buffer_size(bounds.buffer_bytes)?;
    socket.bind(address)?;
    socket.listen(bounds.backlog)
}

/// Sets TCP keepalive probes each second and the TCP user timeout, and disables Nagle's algorithm.
pub(crate) fn set_keepalive(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

/// Makes a connection end with a reset instead of a close when it is dropped or the process ends.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    // If this fails, the other end sees a close.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Makes a connection end with a close again, after [`reset_on_close`].
pub(crate) fn close_regularly(stream: &TcpStream) {
    // If this fails, the other end sees a reset.
    let _ = SockRef::from(stream).set_linger(None);
}

/// A connection whose end counts as lost after a write on it has failed.
///
/// The operating system reports the reset of a connection once. If a write takes the error, the
/// reads after it return the bytes that were received and then a regular end. This connection
/// reports the error in place of that end.
#[derive(Debug)]
pub(crate) struct LossTrackingStream<S> {
    stream: S,
    write_error: Option<io::ErrorKind>,
}

impl<S> LossTrackingStream<S> {
    /// Wraps a connection on which no write has failed.
    pub(crate) const fn new(stream: S) -> Self {
        Self {
            stream,
            write_error: None,
        }
    }

    fn record<T>(&mut self, written: io::Result<T>) -> io::Result<T> {
        if let Err(error) = &written {
            self.write_error.get_or_insert(error.kind());
        }
        written
    }
}

impl<S> AsyncRead for LossTrackingStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length_before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let is_end = has_room && buffer.filled().len() == length_before;
        match self.write_error {
            Some(error) if is_end => Poll::Ready(Err(error.into())),
            _ => Poll::Ready(Ok(())),
        }
    }
}

impl<S> AsyncWrite for LossTrackingStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        Poll::Ready(self.record(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(context));
        Poll::Ready(self.record(flushed))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closed = ready!(Pin::new(&mut self.stream).poll_shutdown(context));
        Poll::Ready(self.record(closed))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices));
        Poll::Ready(self.record(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
