//! Bills: durable before the end of an answer is released, and written in batches.
//!
//! A bill is durable once it is in the platform, or once a router in another failure domain stores
//! a backup copy beside this one. The backup router writes its copies to the platform when this
//! router has failed; settlement drops duplicates.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{warn, Logger};
use tokio::sync::watch;

use super::fleet::Fleet;
use crate::core::bill::{Bill, BillBatch, RunId, Settlement};
use crate::core::ids::HolderId;
use crate::peer::PeerNetwork;
use crate::store::update::{read_json, write_json, UpdateError};
use crate::store::{Expected, ObjectKey, ObjectStore, StoreError};
use crate::util::lock;

/// Key prefix of bill batches.
pub const BILL_PREFIX: &str = "bills/";
/// Timeout for a call to the backup router.
const BACKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a failed backup is retried.
const BACKUP_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of bills in one batch, which keeps its object well under the platform's limit.
const MAX_BATCH_BILLS: usize = 2_000;

#[derive(Debug, Default)]
struct Queue {
    last_number: u64,
    unflushed: BTreeMap<u64, Bill>,
    backed_up_through: u64,
}

/// The bills of one router process, and its backup copies of other routers' bills.
#[derive(Debug)]
pub struct Biller {
    store: Arc<dyn ObjectStore>,
    fleet: Arc<Fleet>,
    network: Arc<dyn PeerNetwork>,
    log: Logger,
    queue: Mutex<Queue>,
    durable_through: watch::Sender<u64>,
    queued_through: watch::Sender<u64>,
    backups: Mutex<BTreeMap<HolderId, BTreeMap<u64, Bill>>>,
    flush_lock: tokio::sync::Mutex<u64>,
}

fn batch_key(writer: HolderId, batch: u64) -> ObjectKey {
    ObjectKey::new(format!("{BILL_PREFIX}{writer}/{batch:012}"))
}

impl Biller {
    /// Creates a biller without bills.
    #[must_use]
    pub fn new(
        store: Arc<dyn ObjectStore>,
        fleet: Arc<Fleet>,
        network: Arc<dyn PeerNetwork>,
        log: Logger,
    ) -> Self {
        Self {
            store,
            fleet,
            network,
            log,
            queue: Mutex::default(),
            durable_through: watch::Sender::new(0),
            queued_through: watch::Sender::new(0),
            backups: Mutex::default(),
            flush_lock: tokio::sync::Mutex::new(0),
        }
    }

    /// Queues a bill and returns its run number.
    pub fn add<F>(&self, make_bill: F) -> u64
    where
        F: FnOnce(RunId) -> Bill,
    {
        let mut queue = lock(&self.queue);
        queue.last_number += 1;
        let number = queue.last_number;
        let holder = self.fleet.identity().holder;
        queue
            .unflushed
            .insert(number, make_bill(RunId { holder, number }));
        drop(queue);
        self.queued_through.send_replace(number);
        number
    }

    /// Waits until a bill is durable.
    pub async fn wait_durable(&self, number: u64) {
        let mut durable = self.durable_through.subscribe();
        let _ = durable.wait_for(|through| *through >= number).await;
    }

    /// Returns the number of bills not yet written to the platform.
    #[must_use]
    pub fn unflushed_count(&self) -> usize {
        lock(&self.queue).unflushed.len()
    }

    /// Sends new bills to a backup router as they are queued. Runs until the router ends.
    pub async fn run_backup(&self) {
        let mut queued = self.queued_through.subscribe();
        loop {
            let through = *queued.borrow_and_update();
            let is_sent = self.send_to_backup(through).await;
            if !is_sent {
                tokio::time::sleep(BACKUP_RETRY_DELAY).await;
            } else if queued.changed().await.is_err() {
                return;
            }
        }
    }

    /// Writes bills to the platform periodically. Runs until the router ends.
    ///
    /// Without a router in another failure domain the caller waits for this write, so it happens
    /// as soon as a bill is queued.
    pub async fn run_flushing(&self, interval: Duration) {
        let mut queued = self.queued_through.subscribe();
        loop {
            if self.fleet.members_in_other_domains().is_empty() {
                let _ = tokio::time::timeout(interval, queued.changed()).await;
            } else {
                tokio::time::sleep(interval).await;
            }
            self.flush().await;
            self.flush_backups().await;
        }
    }

    /// Writes all queued bills to the platform. Returns true if none is left.
    pub async fn flush(&self) -> bool {
        let mut last_batch = self.flush_lock.lock().await;
        loop {
            let bills: BTreeMap<u64, Bill> = {
                let queue = lock(&self.queue);
                queue
                    .unflushed
                    .iter()
                    .take(MAX_BATCH_BILLS)
                    .map(|(n, b)| (*n, b.clone()))
                    .collect()
            };
            let Some((through, _)) = bills.last_key_value() else {
                return true;
            };
            let through = *through;
            let batch = BillBatch {
                bills: bills.into_values().collect(),
            };
            let key = batch_key(self.fleet.identity().holder, *last_batch + 1);
            if !self.write_batch(&key, &batch).await {
                return false;
            }
            *last_batch += 1;
            let mut queue = lock(&self.queue);
            queue.unflushed = queue.unflushed.split_off(&(through + 1));
            drop(queue);
            self.mark_durable(through);
        }
    }

    /// Stores backup copies of another router's bills, and drops those up to `flushed_through`.
    pub fn store_backup(&self, holder: HolderId, flushed_through: u64, bills: Vec<Bill>) {
        let mut backups = lock(&self.backups);
        let holder_bills = backups.entry(holder).or_default();
        for bill in bills {
            holder_bills.insert(bill.run.number, bill);
        }
        *holder_bills = holder_bills.split_off(&(flushed_through + 1));
        if holder_bills.is_empty() {
            backups.remove(&holder);
        }
    }

    /// Writes the backup copies of routers that are presumed failed.
    pub async fn flush_backups(&self) {
        let failed_holders: Vec<HolderId> = {
            let backups = lock(&self.backups);
            backups
                .keys()
                .copied()
                .filter(|holder| self.fleet.is_presumed_failed(*holder))
                .collect()
        };
        for holder in failed_holders {
            let bills = lock(&self.backups)
                .get(&holder)
                .cloned()
                .unwrap_or_default();
            let Some(through) = bills.keys().next_back().copied() else {
                continue;
            };
            let writer = self.fleet.identity().holder;
            let key = ObjectKey::new(format!("{BILL_PREFIX}{holder}/kept-{writer}-{through:012}"));
            let batch = BillBatch {
                bills: bills.into_values().collect(),
            };
            if self.write_batch(&key, &batch).await {
                self.store_backup(holder, through, Vec::new());
            }
        }
    }

    async fn write_batch(&self, key: &ObjectKey, batch: &BillBatch) -> bool {
        match write_json(self.store.as_ref(), key, batch, Expected::Absent).await {
            Ok(_) => true,
            Err(StoreError::Conflict { .. }) => self.is_batch_written(key, batch).await,
            Err(error) => {
                warn!(self.log, "bills cannot be written"; "reason" => error.to_string());
                false
            }
        }
    }

    /// Returns true if an earlier attempt, whose response was lost, wrote the batch.
    ///
    /// An earlier attempt may have written fewer bills under the same key. Then all of them are
    /// written under another key, and settlement drops the duplicates.
    async fn is_batch_written(&self, key: &ObjectKey, batch: &BillBatch) -> bool {
        let Ok((found, _)) = read_json::<BillBatch>(self.store.as_ref(), key).await else {
            return false;
        };
        if batch.bills.iter().all(|bill| found.bills.contains(bill)) {
            return true;
        }
        let retry = ObjectKey::new(format!("{key}-{}", batch.bills.len()));
        write_json(self.store.as_ref(), &retry, batch, Expected::Absent)
            .await
            .is_ok()
    }

    async fn send_to_backup(&self, through: u64) -> bool {
        let (bills, flushed_through) = {
            let queue = lock(&self.queue);
            let first = queue.backed_up_through + 1;
            let bills: Vec<Bill> = queue
                .unflushed
                .range(first..)
                .map(|(_, b)| b.clone())
                .collect();
            let next = queue
                .unflushed
                .keys()
                .next()
                .copied()
                .unwrap_or(queue.last_number + 1);
            (bills, next - 1)
        };
        let sent_through = bills.last().map_or(through, |bill| bill.run.number);
        if bills.is_empty() {
            return true;
        }
        let Some(member) = self.fleet.members_in_other_domains().into_iter().next() else {
            return false;
        };
        let peer = self.network.peer(member.peer_address);
        let holder = self.fleet.identity().holder;
        let call = peer.keep_bills(holder, flushed_through, bills);
        if !matches!(tokio::time::timeout(BACKUP_TIMEOUT, call).await, Ok(Ok(()))) {
            self.fleet.record_failure(&member.vm);
            return false;
        }
        lock(&self.queue).backed_up_through = sent_through;
        self.mark_durable(sent_through);
        true
    }

    fn mark_durable(&self, through: u64) {
        self.durable_through.send_if_modified(|current| {
            let is_newer = through > *current;
            *current = (*current).max(through);
            is_newer
        });
    }
}

/// Reads and settles all bills in the platform.
///
/// # Errors
///
/// Returns an error if the platform does not answer or a batch cannot be parsed.
pub async fn settle_all(store: &dyn ObjectStore) -> Result<Settlement, UpdateError> {
    let mut settlement = Settlement::new();
    for key in store.list(BILL_PREFIX).await? {
        let (batch, _) = read_json::<BillBatch>(store, &key).await?;
        for bill in batch.bills {
            settlement.add(bill);
        }
    }
    Ok(settlement)
}
