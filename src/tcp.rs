//! TCP connections with detection of unreachable peers.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Opens a TCP connection that fails once its peer has sent no acknowledgement for `user_timeout`.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
    user_timeout: Duration,
) -> std::io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    set_keepalive(&stream, user_timeout)?;
    Ok(stream)
}

/// Sets TCP keepalive probes each second and the TCP user timeout, and disables Nagle's algorithm.
pub(crate) fn set_keepalive(stream: &TcpStream, user_timeout: Duration) -> std::io::Result<()> {
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
