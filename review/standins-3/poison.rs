//! A request that crashes each replica that begins to run it comes again with the same path, caller
//! and body. The third argument says how:
//!
//! - `left` (case 13): the same each time, and its caller leaves before the replica has crashed;
//! - `query` (case 14): with another query each time;
//! - `killed` (case 15): the same each time, and all routers are killed after each second crash.
//!
//! For comparison, `COMPARE=1` sends it the same each time and waits for the answer.

#[path = "lib.rs"]
#[allow(dead_code)]
mod lib;

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{call, read_request, write_answer, Deployment, Script, Store};

const REPLICAS: usize = 6;
/// A replica is back this long after it crashed.
const DOWN_TIME: Duration = Duration::from_millis(2_500);
const SERVE_TIME: Duration = Duration::from_secs(40);
const POISON_FROM: Duration = Duration::from_secs(4);
const POISON_GAP: Duration = Duration::from_millis(1_500);
/// Time from the begin of a run to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(200);
/// Time after which a caller leaves: half of the objective of 300 ms.
const LEAVES_AFTER: Duration = Duration::from_millis(150);
/// Routers are started again this long after they were killed.
const ROUTERS_DOWN_TIME: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_millis(1_500);
const CONTACT: Duration = Duration::from_millis(3_000);
const POISON: &[u8] = b"sheets=-1";
const SOUND: &[u8] = b"sheets=40";

/// A replica that crashes when it begins to run a poisonous request.
struct Replica {
    id: String,
    address: SocketAddr,
    born: AtomicU64,
    is_down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    crashes: Arc<Mutex<Vec<(Instant, String, String)>>>,
    store: Store,
}

impl Replica {
    fn start(id: &str, store: &Store, crashes: &Arc<Mutex<Vec<(Instant, String, String)>>>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: AtomicU64::new(1_765_000_000_000),
            is_down: AtomicBool::new(false),
            open: Mutex::default(),
            crashes: Arc::clone(crashes),
            store: store.clone(),
        });
        replica.register();
        thread::spawn(move || replica.run(listener));
    }

    fn register(&self) {
        self.store.put(
            "servers",
            &self.id,
            &format!(
                "{{\"service\":\"order-ledger\",\"address\":\"{}\",\"zone\":\"a\",\
                 \"version\":\"v1\",\"slots\":6,\"phase\":\"ready\",\"cold_left_ms\":0,\
                 \"sequence\":4,\"born\":{}}}",
                self.address,
                self.born.load(Ordering::SeqCst)
            ),
        );
    }

    fn run(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            listener.set_nonblocking(true).expect("a socket option");
            while !self.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("a socket option");
                        let replica = Arc::clone(&self);
                        thread::spawn(move || replica.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            for stream in self.open.lock().expect("a lock").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            thread::sleep(DOWN_TIME);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            self.born.fetch_add(DOWN_TIME.as_millis() as u64, Ordering::SeqCst);
            self.is_down.store(false, Ordering::SeqCst);
            self.register();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        if let Ok(copy) = stream.try_clone() {
            self.open.lock().expect("a lock").push(copy);
        }
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            let expected = request.header("currantlever-expect-replica");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [("Currantlever-Replica-Id", self.id.as_str())];
                let _ = write_answer(&mut writer, 421, &headers, b"");
                continue;
            }
            let attempt = request.header("currantlever-attempt-id").unwrap_or_default();
            if request.body == POISON {
                // It has begun to run, so it crashes, whether or not its caller waits.
                thread::sleep(CRASH_AFTER);
                let crash = (Instant::now(), self.id.clone(), request.target.clone());
                self.crashes.lock().expect("a lock").push(crash);
                self.is_down.store(true, Ordering::SeqCst);
                return;
            }
            thread::sleep(Duration::from_millis(40));
            let signature = format!("{}.1", self.id);
            let headers = [
                ("Currantlever-Attempt-Id", attempt),
                ("Currantlever-Replica-Signature", signature.as_str()),
            ];
            if write_answer(&mut writer, 200, &headers, b"done").is_err() {
                return;
            }
        }
    }
}

/// Sends an order. Its caller closes the connection after `patience` without an answer.
fn order(
    address: SocketAddr,
    target: &str,
    attempt: &str,
    body: &[u8],
    patience: Duration,
) -> (u16, bool) {
    let headers = [
        ("Host", "orders.example"),
        ("Currantlever-Attempt-Id", attempt),
        ("Currantlever-Deadline-Ms", "1500"),
        ("Authorization", "Token key-of-bindery"),
    ];
    let got = call(address, "POST", target, &headers, body, patience);
    (got.status, got.status == 200 && got.is_signed && got.is_whole)
}

fn main() {
    let script = Script::begin();
    let result = run(&script);
    script.end(result)
}

fn run(script: &Script) -> Result<bool, String> {
    let store = Store::start();
    store.put(
        "config",
        "main",
        "{\"version\":7,\"routes\":[{\"name\":\"r-order\",\"host\":\"orders.example\",\
         \"path_prefix\":\"/orders/\",\"type\":\"non_idempotent\",\"timeout_ms\":1500,\"slo_ms\":300,\
         \"priority\":2,\"service\":\"order-ledger\",\"max_attempts\":1,\"public\":false,\
         \"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"order-ledger\",\
         \"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"bindery\",\
         \"api_keys\":[\"key-of-bindery\"],\"priority\":1}]}",
    );
    let crashes: Arc<Mutex<Vec<(Instant, String, String)>>> = Arc::default();
    for number in 0..REPLICAS {
        Replica::start(&format!("i-{number}"), &store, &crashes);
    }
    let deployment =
        Deployment { root: &script.root, folder: &script.folder, store: store.address };
    let mut routers: Vec<_> = [("edge-a-1", "a"), ("edge-b-1", "b"), ("edge-b-2", "b")]
        .map(|(name, zone)| deployment.start(name, zone))
        .into();
    for router in &routers {
        if !router.wait_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", router.name));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let how = std::env::args().nth(3).unwrap_or_default();
    let is_compared = std::env::var("COMPARE").as_deref() == Ok("1");
    let varies = how == "query" && !is_compared;
    let leaves = how == "left" && !is_compared && script.has_trouble;
    let kills = how == "killed" && !is_compared && script.has_trouble;
    let patience = if leaves { LEAVES_AFTER } else { PATIENCE };
    script.note("all routers are ready; clients begin");
    let began = Instant::now();
    let results: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (results, next) = (Arc::clone(&results), Arc::clone(&next));
            let address = routers[client % routers.len()].frontend;
            thread::spawn(move || {
                while began.elapsed() < SERVE_TIME {
                    let number = next.fetch_add(1, Ordering::Relaxed) + 1;
                    let (status, is_good) =
                        order(address, "/orders/paper", &format!("{number:016x}"), SOUND, PATIENCE);
                    let status = if status == 200 && !is_good { 0 } else { status };
                    *results.lock().expect("a lock").entry(status).or_default() += 1;
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    thread::sleep(POISON_FROM);
    let body = if script.has_trouble { POISON } else { SOUND };
    let mut sent: u64 = 0;
    while began.elapsed() + POISON_GAP < SERVE_TIME {
        let stamp = 1_765_000_000 + if varies { sent } else { 0 };
        let target = format!("/orders/recount?at={stamp}");
        let router = &routers[sent as usize % routers.len()];
        let attempt = format!("{:016x}", 0xffff_0000 + sent);
        let (status, _) = order(router.frontend, &target, &attempt, body, patience);
        let end = if status == 0 && leaves { "its caller left".to_owned() } else { format!("got {status}") };
        script.note(&format!("POST {target} at {}: {end}", router.name));
        sent += 1;
        thread::sleep(POISON_GAP);
        if kills && sent % 2 == 0 {
            script.note("all routers are killed");
            for router in &mut routers {
                router.kill();
            }
            thread::sleep(ROUTERS_DOWN_TIME);
            for router in &mut routers {
                router.restart(&script.root);
            }
            // contact_ms, so that they are in touch again.
            thread::sleep(CONTACT);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    drop(routers);
    let crashes = crashes.lock().expect("a lock").clone();
    for (at, id, target) in &crashes {
        script.note(&format!(
            "replica {id} crashed at {:.3} s, running POST {target}",
            at.duration_since(script.started).as_secs_f64()
        ));
    }
    for (status, count) in results.lock().expect("a lock").iter() {
        script.note(&format!("sound requests: {count} got {status}"));
    }
    let late = crashes.get(2).map_or(0, |(third, ..)| {
        crashes.iter().filter(|(at, ..)| *at > *third + CONTACT).count()
    });
    script.note(&format!(
        "{} crashes; {late} of them later than contact_ms after the third", crashes.len()
    ));
    Ok(late > 3)
}
