//! Replicas: an HTTP server with a behaviour of the case.

use std::io::{BufReader, Result};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{read_request, Message};
use crate::store::Store;

extern "C" {
    fn listen(descriptor: i32, backlog: i32) -> i32;
}

/// Answers a request. Returns true if the connection is kept.
pub type Behaviour = dyn Fn(&mut TcpStream, &Message) -> Result<bool> + Send + Sync;

/// Usual length of the queue of new connections.
const QUEUE: i32 = 128;

#[derive(Default)]
struct State {
    listener: Option<TcpListener>,
    connections: Vec<TcpStream>,
    born_ms: u128,
}

/// A replica, whose process may crash and start again at the same address.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    accepts: AtomicBool,
    state: Mutex<State>,
}

fn now_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}

impl Replica {
    pub fn start(id: &str, behaviour: Arc<Behaviour>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            accepts: AtomicBool::new(true),
            state: Mutex::new(State {
                listener: Some(listener),
                connections: Vec::new(),
                born_ms: now_ms(),
            }),
        });
        let accepting = Arc::clone(&replica);
        std::thread::spawn(move || loop {
            if !accepting.accept(&behaviour) {
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        replica
    }

    fn accept(self: &Arc<Self>, behaviour: &Arc<Behaviour>) -> bool {
        if !self.accepts.load(Ordering::SeqCst) {
            return false;
        }
        let mut state = self.state.lock().unwrap();
        let Some(Ok((stream, _))) = state.listener.as_ref().map(TcpListener::accept) else {
            return false;
        };
        if let Ok(connection) = stream.try_clone() {
            state.connections.push(connection);
        }
        let (behaviour, replica) = (Arc::clone(behaviour), Arc::clone(self));
        std::thread::spawn(move || {
            let closing = stream.try_clone();
            let _ = serve(stream, &replica.id, &*behaviour);
            if let Ok(stream) = closing {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        true
    }

    /// While false, new connections stay in the queue, which has room for one only.
    pub fn set_accepting(&self, accepts: bool) {
        let state = self.state.lock().unwrap();
        if let Some(listener) = &state.listener {
            // Safety: sets the queue length of a listening socket.
            unsafe { listen(listener.as_raw_fd(), if accepts { QUEUE } else { 0 }) };
        }
        self.accepts.store(accepts, Ordering::SeqCst);
    }

    /// Ends all connections and refuses new ones for a time, as a process does that crashes and is
    /// started again.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        let mut state = self.state.lock().unwrap();
        state.listener = None;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        let replica = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let listener = TcpListener::bind(replica.address).expect("the same port");
            listener.set_nonblocking(true).expect("a listener");
            let mut state = replica.state.lock().unwrap();
            state.listener = Some(listener);
            state.born_ms = now_ms();
        });
    }

    /// Registers in the store and keeps the entry up to date while it runs.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>, service: &str, zone: &str, slots: u32) {
        let (store, replica) = (Arc::clone(store), Arc::clone(self));
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"phase\":\"ready\",\"cold_left_ms\":0",
            self.address
        );
        std::thread::spawn(move || {
            for sequence in 1.. {
                let state = replica.state.lock().unwrap();
                let (is_up, born_ms) = (state.listener.is_some(), state.born_ms);
                drop(state);
                if is_up {
                    let entry = format!("{entry},\"born\":{born_ms},\"sequence\":{sequence}}}");
                    store.put("servers", &replica.id, &entry);
                }
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
}

fn serve(stream: TcpStream, id: &str, behaviour: &Behaviour) -> Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let expected = request.header("Currantlever-Expect-Replica");
        if expected.is_some_and(|expected| expected != id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nCurrantlever-Replica-Id: {id}\r\n\
                 Currantlever-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            std::io::Write::write_all(&mut writer, head.as_bytes())?;
            continue;
        }
        if !behaviour(&mut writer, &request)? {
            return Ok(());
        }
    }
    Ok(())
}
