//! Load that other routers report: it ends with its router, in whatever order things happen.

use std::collections::HashMap;

use currantlever::{ReplicaLoad, ReportedLoads};
use quickcheck::{quickcheck, Arbitrary, Gen};

const REPLICAS: u32 = 4;

/// What is heard of a router.
#[derive(Clone, Debug)]
enum Event {
    Hello {
        router: u8,
        loads: Vec<(u32, u32)>,
    },
    TimedOut {
        router: u8,
    },
    /// The store lists only these routers, and the others do not answer.
    Listed {
        routers: Vec<u8>,
    },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let router = u8::arbitrary(g) % 5;
        match u8::arbitrary(g) % 4 {
            0 => Self::TimedOut { router },
            1 => Self::Listed {
                routers: Vec::<u8>::arbitrary(g)
                    .into_iter()
                    .map(|id| id % 5)
                    .collect(),
            },
            _ => Self::Hello {
                router,
                loads: Vec::<(u32, u8)>::arbitrary(g)
                    .into_iter()
                    .map(|(replica, requests)| (replica % REPLICAS, u32::from(requests)))
                    .collect(),
            },
        }
    }
}

fn load(requests: u32) -> ReplicaLoad {
    ReplicaLoad {
        requests,
        prefill_tokens: u64::from(requests) * 64,
    }
}

quickcheck! {
    /// Guards against load of routers that are gone, which keeps replicas from being chosen.
    fn the_sum_is_that_of_the_newest_reports_of_known_routers(events: Vec<Event>) -> bool {
        let mut loads = ReportedLoads::default();
        let mut newest: HashMap<u8, Vec<(u32, u32)>> = HashMap::new();
        for event in events {
            match event {
                Event::Hello { router, loads: reported } => {
                    let reports = reported.iter().map(|(replica, requests)| (*replica, load(*requests)));
                    loads.set(router, reports.collect());
                    newest.insert(router, reported);
                }
                Event::TimedOut { router } => {
                    loads.remove(&router);
                    newest.remove(&router);
                }
                Event::Listed { routers } => {
                    loads.retain(|router| routers.contains(router));
                    newest.retain(|router, _| routers.contains(router));
                }
            }
            for replica in 0..REPLICAS {
                let reports = newest.values().flatten().filter(|(other, _)| *other == replica);
                let expected: u32 = reports.map(|(_, requests)| requests).sum();
                if loads.at(replica) != load(expected) {
                    return false;
                }
            }
        }
        loads.retain(|_| false);
        (0..REPLICAS).all(|replica| loads.at(replica) == ReplicaLoad::default())
    }
}
