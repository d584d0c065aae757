//! The project's own program, one process for each VM, with the command of the deploy file.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Asks for a signal when the parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

const SIGTERM: i32 = 15;
/// `grace_s` of the deployment.
const GRACE: Duration = Duration::from_secs(8);

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
    folder: PathBuf,
}

/// Returns an address whose port is free for TCP and UDP. It lies below the ports that the system
/// gives to outgoing connections, so that none of these takes it before the router does.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = std::process::id().wrapping_mul(97) + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + u16::try_from(offset % 20_000).unwrap_or(0);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

fn spawn(folder: &Path, name: &str) -> Child {
    let log = File::options()
        .append(true)
        .create(true)
        .open(folder.join(format!("{name}.log")))
        .expect("a log file");
    let mut command = Command::new("target/release/currantlever");
    // Safety: only a system call is made; no router outlives the script, however that ends.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        .arg("entry")
        .env_clear()
        .env("CURRANTLEVER_CONFIG", folder.join(format!("{name}.json")))
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("a log file"))
        .stdout(log)
        .spawn()
        .expect("the program of the deploy file")
}

impl Router {
    /// Starts a router with settings like those that deploy/entry.json gives.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let (callers, ready) = (free_address(), free_address());
        let (registry, metrics, peer) = (free_address(), free_address(), free_address());
        let settings = format!(
            "{{\"vm\":\"{name}\",\"failure_domain\":\"{zone}\",\"callers_listen\":\"{callers}\",\
             \"ready_listen\":\"{ready}\",\"registry_listen\":\"{registry}\",\
             \"metrics_listen\":\"{metrics}\",\"peer_listen\":\"{peer}\",\
             \"store_address\":\"{store}\",\"cpu_cores\":0.25,\"max_descriptors\":4100,\
             \"grace_s\":8,\"retries\":{{\"ratio\":0.2,\"slack\":56,\"window_s\":10}}}}"
        );
        fs::write(folder.join(format!("{name}.json")), settings).expect("a settings file");
        Self {
            name: name.to_owned(),
            callers,
            ready,
            child: spawn(folder, name),
            folder: folder.to_owned(),
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once, as SIGKILL does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn signal(&self, signal: i32) {
        if let Ok(pid) = i32::try_from(self.pid()) {
            // Safety: a signal to a child that was not waited for.
            unsafe { kill(pid, signal) };
        }
    }

    /// Stops the process as planned: SIGTERM, and SIGKILL after the grace time. Returns the time
    /// that it took.
    pub fn stop(&mut self) -> Duration {
        let started = Instant::now();
        self.signal(SIGTERM);
        while started.elapsed() < GRACE {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return started.elapsed();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        started.elapsed()
    }

    /// Starts the process again, as the platform does after a short delay.
    pub fn restart(&mut self) {
        self.child = spawn(&self.folder, &self.name);
    }

    /// Waits until the router says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && &answer[9..] == b"200"
    }

    /// Returns true if the process has an open connection to a local port.
    pub fn is_connected_to(&self, port: u16, state: &str) -> bool {
        let Ok(table) = fs::read_to_string("/proc/net/tcp") else {
            return false;
        };
        let inodes = table.lines().skip(1).filter_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let remote_port = fields.get(2)?.rsplit(':').next()?;
            let is_match =
                u16::from_str_radix(remote_port, 16).ok()? == port && *fields.get(3)? == state;
            is_match.then(|| format!("socket:[{}]", fields.get(9).unwrap_or(&"")))
        });
        let inodes: Vec<String> = inodes.collect();
        let Ok(descriptors) = fs::read_dir(format!("/proc/{}/fd", self.pid())) else {
            return false;
        };
        descriptors.flatten().any(|descriptor| {
            fs::read_link(descriptor.path())
                .is_ok_and(|link| inodes.iter().any(|inode| *inode == link.to_string_lossy()))
        })
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
