//! The bytes of a tunnel, and how its end is known.
//!
//! When a process dies, the operating system closes its connections as their regular end would be.
//! The end of a tunnel alone therefore never tells whether the replica had closed its connection:
//! the router that serves the tunnel states that in a message of its own.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_stream::stream;
use bytes::Bytes;
use futures::{SinkExt, Stream, StreamExt};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

/// Largest message with bytes of an answer.
pub(super) const MAX_MESSAGE_BYTES: usize = 8 * 1024;

/// How the bytes of answers are sent through a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TunnelFormat {
    /// As they are, as routers do that know no other format. Whether the replica closed its
    /// connection is not known at the end.
    Plain,
    /// In messages; an empty one states that the replica closed its connection.
    Stated,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}

/// A connection to a replica through another router. Its end is that of the replica's connection;
/// any other end is an error.
pub(crate) struct TunnelStream {
    reader: Box<dyn AsyncRead + Send + Unpin>,
    writer: OwnedWriteHalf,
}

impl std::fmt::Debug for TunnelStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TunnelStream").finish_non_exhaustive()
    }
}

impl TunnelStream {
    /// Wraps a connection through which a tunnel was opened.
    pub(super) fn new(stream: TcpStream, format: TunnelFormat) -> Self {
        let (reader, writer) = stream.into_split();
        let reader: Box<dyn AsyncRead + Send + Unpin> = match format {
            TunnelFormat::Plain => Box::new(reader.chain(lost_end())),
            TunnelFormat::Stated => Box::new(StreamReader::new(Box::pin(read_messages(reader)))),
        };
        Self { reader, writer }
    }
}

fn lost_error() -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the tunnel ended, and it is not known whether the replica closed its connection",
    )
}

/// Returns a reader that only fails.
fn lost_end() -> impl AsyncRead + Send + Unpin {
    StreamReader::new(futures::stream::iter([Err::<Bytes, _>(lost_error())]))
}

/// Returns the bytes in messages up to an empty one.
fn read_messages(reader: OwnedReadHalf) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let mut messages = FramedRead::new(reader, codec());
    stream! {
        while let Some(message) = messages.next().await {
            match message {
                Ok(bytes) if bytes.is_empty() => return,
                Ok(bytes) => yield Ok(bytes.freeze()),
                Err(error) => {
                    yield Err(error);
                    return;
                }
            }
        }
        yield Err(lost_error());
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.reader).poll_read(context, buffer)
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }
}

/// Sends the bytes of answers to the router that requested a tunnel.
#[derive(Debug)]
pub(super) enum AnswerWriter<'a> {
    Plain(WriteHalf<'a>),
    Stated(FramedWrite<WriteHalf<'a>, LengthDelimitedCodec>),
}

impl<'a> AnswerWriter<'a> {
    pub(super) fn new(writer: WriteHalf<'a>, format: TunnelFormat) -> Self {
        match format {
            TunnelFormat::Plain => Self::Plain(writer),
            TunnelFormat::Stated => Self::Stated(FramedWrite::new(writer, codec())),
        }
    }

    /// Sends bytes of an answer, at most `MAX_MESSAGE_BYTES`.
    pub(super) async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self {
            Self::Plain(writer) => writer.write_all(bytes).await,
            Self::Stated(writer) => writer.send(Bytes::copy_from_slice(bytes)).await,
        }
    }

    /// States that the replica closed its connection, and closes this direction.
    pub(super) async fn finish(&mut self) -> io::Result<()> {
        match self {
            Self::Plain(writer) => writer.shutdown().await,
            Self::Stated(writer) => {
                writer.send(Bytes::new()).await?;
                writer.get_mut().shutdown().await
            }
        }
    }

    /// Closes this direction after the bytes that were sent, as the replica's connection was lost.
    /// Fails in the plain format, in which only a reset shows that.
    pub(super) async fn finish_lost(&mut self) -> io::Result<()> {
        match self {
            Self::Plain(_) => Err(lost_error()),
            Self::Stated(writer) => writer.get_mut().shutdown().await,
        }
    }
}
