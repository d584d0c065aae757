//! TCP connections that notice a peer which has gone silent.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Opens a TCP connection that notices a peer which has gone silent.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
    silence_limit: Duration,
) -> std::io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    notice_silence(&stream, silence_limit)?;
    Ok(stream)
}

/// Sets the probes and limits by which a silent peer is noticed.
pub(crate) fn notice_silence(stream: &TcpStream, limit: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limit))
}
