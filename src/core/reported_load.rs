//! Load at each replica, as other routers report it.

use std::collections::HashMap;
use std::hash::Hash;

use super::placement::ReplicaLoad;

/// The newest reports of other routers, and their sum for each replica. A report counts until its
/// router sends another one or is removed, whatever the order.
///
/// # Examples
///
/// ```
/// use currantlever::{ReplicaLoad, ReportedLoads};
///
/// let load = ReplicaLoad { requests: 2, prefill_tokens: 640 };
/// let mut loads = ReportedLoads::default();
/// loads.set("router-1", vec![(7, load)]);
/// assert_eq!(loads.at(7), load);
/// loads.remove(&"router-1");
/// assert_eq!(loads.at(7), ReplicaLoad::default());
/// ```
#[derive(Clone, Debug)]
pub struct ReportedLoads<K> {
    by_router: HashMap<K, Vec<(u32, ReplicaLoad)>>,
    sums: HashMap<u32, ReplicaLoad>,
}

impl<K> Default for ReportedLoads<K> {
    fn default() -> Self {
        Self {
            by_router: HashMap::new(),
            sums: HashMap::new(),
        }
    }
}

impl<K> ReportedLoads<K>
where
    K: Eq + Hash,
{
    /// Replaces what a router reported, by the digest of each replica.
    pub fn set(&mut self, router: K, loads: Vec<(u32, ReplicaLoad)>) {
        self.remove(&router);
        for (replica, load) in &loads {
            let sum = self.sums.entry(*replica).or_default();
            sum.requests += load.requests;
            sum.prefill_tokens += load.prefill_tokens;
        }
        self.by_router.insert(router, loads);
    }

    /// Removes what a router reported.
    pub fn remove(&mut self, router: &K) {
        for (replica, load) in self.by_router.remove(router).unwrap_or_default() {
            let Some(sum) = self.sums.get_mut(&replica) else {
                continue;
            };
            sum.requests = sum.requests.saturating_sub(load.requests);
            sum.prefill_tokens = sum.prefill_tokens.saturating_sub(load.prefill_tokens);
            if *sum == ReplicaLoad::default() {
                self.sums.remove(&replica);
            }
        }
    }

    /// Removes what all but some routers reported.
    pub fn retain<F>(&mut self, mut is_kept: F)
    where
        K: Clone,
        F: FnMut(&K) -> bool,
    {
        let routers = self.by_router.keys();
        let removed: Vec<K> = routers.filter(|router| !is_kept(router)).cloned().collect();
        for router in removed {
            self.remove(&router);
        }
    }

    /// Returns the load at a replica.
    #[must_use]
    pub fn at(&self, replica: u32) -> ReplicaLoad {
        self.sums.get(&replica).copied().unwrap_or_default()
    }
}
