//! Connections between routers: messages of a length and a value.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use slog::{debug, Logger};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::feed_link::{answer_poll, FeedContext, FeedPoll};
use super::tunnel::{TunnelRequest, TunnelServer};
use super::tunnel_stream::TunnelFormat;
use crate::tcp::{connect, set_keepalive};

/// Largest message, which holds all objects of all kinds.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Timeout for connecting to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without acknowledgement after which a connection counts as lost.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, mostly caused by a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a router asks of another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PeerRequest {
    /// News of the followed kinds.
    Poll(FeedPoll),
    /// A connection to a replica, whose bytes are sent as they are.
    Tunnel(TunnelRequest),
    /// The same, with the end of the replica's connection stated. Routers that do not know this kind
    /// close the connection.
    StatedTunnel(TunnelRequest),
}

/// A connection to another router.
pub(super) type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Opens a connection to another router.
pub(super) async fn open_link(router: SocketAddr) -> io::Result<Link> {
    let stream = connect(router, CONNECT_TIMEOUT, TCP_USER_TIMEOUT).await?;
    Ok(frame(stream))
}

fn frame(stream: TcpStream) -> Link {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Sends a message.
pub(super) async fn send<T>(link: &mut Link, message: &T) -> io::Result<()>
where
    T: Serialize + Sync,
{
    let bytes = postcard::to_allocvec(message).map_err(io::Error::other)?;
    link.send(Bytes::from(bytes)).await
}

/// Receives a message.
pub(super) async fn receive<T>(link: &mut Link) -> io::Result<T>
where
    T: for<'a> Deserialize<'a>,
{
    let bytes = link.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}

/// Answers the requests of other routers until the listener is dropped.
pub(crate) async fn serve_routers(
    listener: TcpListener,
    feed: FeedContext,
    tunnels: Arc<TunnelServer>,
    log: Logger,
) {
    loop {
        let Ok((stream, router)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (feed, tunnels, log) = (feed.clone(), Arc::clone(&tunnels), log.clone());
        tokio::spawn(async move {
            // The other router continues with another one.
            if let Err(error) = answer_requests(stream, &feed, &tunnels).await {
                debug!(log, "connection of a router closed"; "router" => router.to_string(),
                    "reason" => error.to_string());
            }
        });
    }
}

async fn answer_requests(
    stream: TcpStream,
    feed: &FeedContext,
    tunnels: &TunnelServer,
) -> io::Result<()> {
    set_keepalive(&stream, TCP_USER_TIMEOUT)?;
    let mut link = frame(stream);
    loop {
        match receive(&mut link).await? {
            PeerRequest::Poll(poll) => {
                let answer = answer_poll(&poll, feed).await;
                send(&mut link, &answer).await?;
            }
            PeerRequest::Tunnel(request) => {
                return tunnels.serve(link, request, TunnelFormat::Plain).await;
            }
            PeerRequest::StatedTunnel(request) => {
                return tunnels.serve(link, request, TunnelFormat::Stated).await;
            }
        }
    }
}
