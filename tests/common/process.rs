//! Routers as separate processes, with the fake platform and fake backend servers in the test's
//! process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;

use currantlever::fakes::engine::{EnginePace, FakeEngine};
use currantlever::fakes::fleet::{plans_list, usage_list, ANY_PORT};
use currantlever::fakes::platform::FakePlatform;
use currantlever::fakes::service::FakeService;
use currantlever::{accept_edit, Edit, VmRecord, VmRole, VmState};
use serde_json::{json, Value};

use super::Workdir;

/// Paid tokens of team `poor`.
pub const POOR_PAID_TOKENS: u64 = 3_000;

const DOMAINS: [&str; 3] = ["paju-a", "paju-b", "goyang"];

/// A router process; killed on drop.
pub struct RouterProcess {
    pub child: Child,
    pub address: SocketAddr,
    peer_address: SocketAddr,
    index: usize,
}

impl RouterProcess {
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &id])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The fake platform and backend servers, and the router processes that use them.
pub struct ProcessSite {
    pub platform: FakePlatform,
    pub engines: Vec<FakeEngine>,
    pub service: FakeService,
    pub routers: Vec<RouterProcess>,
    workdir: Workdir,
    started_count: usize,
}

impl ProcessSite {
    pub async fn start(routers: usize, pace: EnginePace) -> Self {
        let mut site = Self {
            platform: FakePlatform::start(ANY_PORT).await.unwrap(),
            engines: Vec::new(),
            service: FakeService::start(ANY_PORT).await.unwrap(),
            routers: Vec::new(),
            workdir: Workdir::new(),
            started_count: 0,
        };
        for _ in 0..3 {
            site.engines
                .push(FakeEngine::start(ANY_PORT, pace).await.unwrap());
        }
        let store = site.platform.store();
        accept_edit(store.as_ref(), &Edit::Usage(usage_list().unwrap()))
            .await
            .unwrap();
        let plans = plans_list(&[("poor", POOR_PAID_TOKENS), ("rich", 1_000_000)]).unwrap();
        accept_edit(store.as_ref(), &Edit::Plans(plans))
            .await
            .unwrap();
        site.workdir.write("secret", "a secret of this test alone");
        for _ in 0..routers {
            site.add_router();
        }
        site
    }

    pub fn add_router(&mut self) {
        let index = self.started_count;
        self.started_count += 1;
        let settings = json!({
            "vm": format!("entry-{index}"),
            "failure_domain": DOMAINS[index % DOMAINS.len()],
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "platform_url": self.platform.url(),
            "fleet_secret_file": self.workdir.path("secret"),
            "refill_ms": 100,
            "bill_flush_ms": 200,
            "address_ttl_ms": 200,
        });
        let file = self
            .workdir
            .write(&format!("router-{index}.json"), &settings.to_string());
        let mut child = self
            .workdir
            .command()
            .arg("serve")
            .arg("--settings")
            .arg(file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (address, peer_address) = wait_until_listening(&mut child);
        self.routers.push(RouterProcess {
            child,
            address,
            peer_address,
            index,
        });
        self.publish_vms();
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.address).collect()
    }

    /// Publishes the VM list with the current routers and backend servers.
    pub fn publish_vms(&self) {
        let mut vms = Vec::new();
        let mut add = |name: String, index: usize, role| {
            vms.push(VmRecord {
                vm: name.parse().unwrap(),
                failure_domain: DOMAINS[index % DOMAINS.len()].parse().unwrap(),
                state: VmState::Live,
                role,
            });
        };
        for router in &self.routers {
            let (address, peer_address) = (router.address, router.peer_address);
            let role = VmRole::Entry {
                address,
                peer_address,
            };
            add(format!("entry-{}", router.index), router.index, role);
        }
        for (index, engine) in self.engines.iter().enumerate() {
            let name = format!("assistant-{index}");
            let replica = name.parse().unwrap();
            let pool = "assistant".parse().unwrap();
            add(
                name,
                index,
                VmRole::Replica {
                    replica,
                    pool,
                    address: engine.address(),
                },
            );
        }
        let replica = "orders-0".parse().unwrap();
        let pool = "orders".parse().unwrap();
        let address = self.service.address();
        add(
            "orders-0".to_owned(),
            0,
            VmRole::Replica {
                replica,
                pool,
                address,
            },
        );
        self.platform.set_vms(vms);
    }
}

/// Returns the caller and peer addresses from the router's log. A thread goes on reading the log,
/// so that the router never blocks on a full pipe.
fn wait_until_listening(child: &mut Child) -> (SocketAddr, SocketAddr) {
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            let record: Value = serde_json::from_str(&line).unwrap_or_default();
            if record["msg"] == "listening" {
                let _ = sender.send(record);
            }
        }
    });
    let record = receiver
        .recv()
        .expect("the router exited before it listened");
    let address = |field: &str| record[field].as_str().unwrap().parse().unwrap();
    (address("address"), address("peer_address"))
}
