//! A TCP gate before a replica, through which one router reaches it and which can be cut.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, SockAddr, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::site::free_port;

/// Backlog of a gate's listener, small enough to be filled.
const BACKLOG: i32 = 8;
/// Time after which a connection that fills the backlog counts as dropped.
const FILL_TIMEOUT: Duration = Duration::from_millis(30);

/// What a cut does to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing: the path works.
    None,
    /// New connections hang, open ones fall silent.
    Hang,
    /// New connections are refused, open ones are reset.
    Reset,
    /// New connections are refused, open ones live on.
    RefuseNew,
}

/// The path from one router to one replica.
#[derive(Clone)]
pub struct Gate {
    pub address: SocketAddr,
    cut: watch::Sender<Cut>,
}

impl Gate {
    /// Opens a path to a replica.
    pub fn open(replica: SocketAddr) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (cut, changed) = watch::channel(Cut::None);
        tokio::spawn(run(address, replica, changed));
        Self { address, cut }
    }

    /// Cuts the path, or restores it with [`Cut::None`].
    pub fn cut(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }
}

fn listen(address: SocketAddr) -> Option<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket.bind(&SockAddr::from(address)).ok()?;
    socket.listen(BACKLOG).unwrap();
    TcpListener::from_std(socket.into()).ok()
}

async fn run(address: SocketAddr, replica: SocketAddr, mut cut: watch::Receiver<Cut>) {
    let mut listener = None;
    let mut fillers = Vec::new();
    loop {
        let state = *cut.borrow_and_update();
        match state {
            Cut::None => {
                fillers.clear();
                // Connections that filled the backlog would be accepted; a new listener has none.
                listener = None;
                while listener.is_none() {
                    listener = listen(address);
                    if listener.is_none() {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                }
            }
            Cut::Reset | Cut::RefuseNew => listener = None,
            Cut::Hang => {
                while let Ok(Ok(filler)) =
                    tokio::time::timeout(FILL_TIMEOUT, TcpStream::connect(address)).await
                {
                    fillers.push(filler);
                }
            }
        }
        while !cut.has_changed().unwrap_or(false) {
            let Some(open) = listener.as_ref().filter(|_| state == Cut::None) else {
                if cut.changed().await.is_err() {
                    return;
                }
                cut.mark_changed();
                break;
            };
            tokio::select! {
                changed = cut.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    cut.mark_changed();
                }
                stream = open.accept() => {
                    if let Ok((stream, _)) = stream {
                        tokio::spawn(forward(stream, replica, cut.clone()));
                    }
                }
            }
        }
    }
}

/// Forwards bytes in both directions, as the cut allows.
async fn forward(mut router: TcpStream, replica: SocketAddr, mut cut: watch::Receiver<Cut>) {
    let Ok(mut replica) = TcpStream::connect(replica).await else {
        return reset(&router);
    };
    // Owned halves would send an end of the stream before the reset.
    let (mut from_router, mut to_router) = router.split();
    let (mut from_replica, mut to_replica) = replica.split();
    let (mut upward, mut downward) = (vec![0; 4096], vec![0; 4096]);
    loop {
        let state = *cut.borrow_and_update();
        if state == Cut::Reset {
            reset(to_router.as_ref());
            return;
        }
        let is_silent = state == Cut::Hang;
        let is_done = tokio::select! {
            changed = cut.changed() => changed.is_err(),
            read = from_router.read(&mut upward), if !is_silent => match read {
                Ok(length) if length > 0 => to_replica.write_all(&upward[..length]).await.is_err(),
                _ => true,
            },
            read = from_replica.read(&mut downward), if !is_silent => match read {
                Ok(length) if length > 0 => to_router.write_all(&downward[..length]).await.is_err(),
                Ok(_) => true,
                Err(_) => {
                    reset(to_router.as_ref());
                    true
                }
            },
        };
        if is_done {
            return;
        }
    }
}

/// Makes the connection end with a reset.
fn reset(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
}
