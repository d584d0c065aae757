//! Memory and file descriptors of a process, as a VM's limits count them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket, whose receive queue counts connections.
const LISTENING: &str = "0A";

/// Most memory and descriptors that a process used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident size, and bytes received on its addresses and not read yet.
    pub memory_bytes: u64,
    /// The latter alone.
    pub unread_bytes: u64,
    pub descriptors: usize,
}

/// Samples the usage of a process until it is stopped.
pub struct Meter {
    stop: watch::Sender<bool>,
    task: JoinHandle<Usage>,
}

impl Meter {
    pub fn start(process_id: u32, addresses: Vec<SocketAddr>) -> Self {
        let stop = watch::Sender::new(false);
        let mut is_stopped = stop.subscribe();
        let task = tokio::spawn(async move {
            let mut most = Usage::default();
            while !*is_stopped.borrow_and_update() {
                let usage = usage(process_id, &addresses);
                most.memory_bytes = most.memory_bytes.max(usage.memory_bytes);
                most.unread_bytes = most.unread_bytes.max(usage.unread_bytes);
                most.descriptors = most.descriptors.max(usage.descriptors);
                tokio::select! {
                    _ = is_stopped.changed() => {}
                    () = tokio::time::sleep(SAMPLE_INTERVAL) => {}
                }
            }
            most.memory_bytes = most.memory_bytes.max(status_bytes(process_id, "VmHWM:"));
            most
        });
        Self { stop, task }
    }

    pub async fn stop(self) -> Usage {
        self.stop.send_replace(true);
        self.task.await.unwrap()
    }
}

fn usage(process_id: u32, addresses: &[SocketAddr]) -> Usage {
    let unread_bytes = unread_bytes(addresses);
    Usage {
        memory_bytes: status_bytes(process_id, "VmRSS:") + unread_bytes,
        unread_bytes,
        descriptors: descriptor_count(process_id),
    }
}

pub fn descriptor_count(process_id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process_id}/fd"))
        .unwrap()
        .count()
}

fn status_bytes(process_id: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(field));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse::<u64>().unwrap() * 1_024
}

/// Returns the bytes in the receive queues of connections at these local addresses.
fn unread_bytes(addresses: &[SocketAddr]) -> u64 {
    let locals: Vec<String> = addresses
        .iter()
        .map(|address| local_text(*address))
        .collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut bytes = 0;
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, state, queues) = (fields[1], fields[3], fields[4]);
        if state != LISTENING && locals.iter().any(|address| address == local) {
            let unread = queues.split_once(':').unwrap().1;
            bytes += u64::from_str_radix(unread, 16).unwrap();
        }
    }
    bytes
}

/// Returns an address as the kernel's table of connections has it.
fn local_text(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("not an IPv4 address");
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}
