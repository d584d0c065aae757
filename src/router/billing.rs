//! Bills: durable before the end of an answer is released, written in batches.
//!
//! A bill is durable once the platform has it, or once a router in another failure domain keeps
//! it beside this one. The keeper writes what it keeps when this router is gone; settlement
//! drops the repeats.

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

/// Start of the names of bill batches.
pub const BILL_PREFIX: &str = "bills/";
/// Longest wait for a keeper.
const KEEPER_WAIT: Duration = Duration::from_millis(500);
/// Pause after a keeper could not be reached.
const KEEPER_RETRY: Duration = Duration::from_millis(200);
/// Most bills in one batch, which keeps its object well under the platform's limit.
const MAX_BATCH_BILLS: usize = 2_000;

#[derive(Debug, Default)]
struct Queue {
    last_number: u64,
    unflushed: BTreeMap<u64, Bill>,
    kept_through: u64,
}

/// The bills of one router process, and those it keeps for others.
#[derive(Debug)]
pub struct Biller {
    store: Arc<dyn ObjectStore>,
    fleet: Arc<Fleet>,
    network: Arc<dyn PeerNetwork>,
    log: Logger,
    queue: Mutex<Queue>,
    durable_through: watch::Sender<u64>,
    queued_through: watch::Sender<u64>,
    kept: Mutex<BTreeMap<HolderId, BTreeMap<u64, Bill>>>,
    flush_turn: tokio::sync::Mutex<u64>,
}

fn batch_key(writer: HolderId, batch: u64) -> ObjectKey {
    ObjectKey::new(format!("{BILL_PREFIX}{writer}/{batch:012}"))
}

impl Biller {
    /// A biller without bills.
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
            kept: Mutex::default(),
            flush_turn: tokio::sync::Mutex::new(0),
        }
    }

    /// Takes on a bill, and gives it its run number.
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

    /// Number of bills that the platform does not have yet.
    #[must_use]
    pub fn unflushed_count(&self) -> usize {
        lock(&self.queue).unflushed.len()
    }

    /// Sends new bills to a keeper as they come. Runs until the router ends.
    pub async fn run_keeping(&self) {
        let mut queued = self.queued_through.subscribe();
        loop {
            let through = *queued.borrow_and_update();
            let is_sent = self.send_to_keeper(through).await;
            if !is_sent {
                tokio::time::sleep(KEEPER_RETRY).await;
            } else if queued.changed().await.is_err() {
                return;
            }
        }
    }

    /// Writes bills to the platform at intervals. Runs until the router ends.
    ///
    /// With no router in another failure domain the caller waits for this write, so it is made
    /// as soon as there is a bill.
    pub async fn run_flushing(&self, interval: Duration) {
        let mut queued = self.queued_through.subscribe();
        loop {
            if self.fleet.far_members().is_empty() {
                let _ = tokio::time::timeout(interval, queued.changed()).await;
            } else {
                tokio::time::sleep(interval).await;
            }
            self.flush().await;
            self.flush_kept().await;
        }
    }

    /// Writes the bills that the platform does not have. Returns true when none is left.
    pub async fn flush(&self) -> bool {
        let mut last_batch = self.flush_turn.lock().await;
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

    /// Keeps another router's bills.
    pub fn keep(&self, holder: HolderId, flushed_through: u64, bills: Vec<Bill>) {
        let mut kept = lock(&self.kept);
        let of_holder = kept.entry(holder).or_default();
        for bill in bills {
            of_holder.insert(bill.run.number, bill);
        }
        *of_holder = of_holder.split_off(&(flushed_through + 1));
        if of_holder.is_empty() {
            kept.remove(&holder);
        }
    }

    /// Writes bills kept for routers that are gone.
    pub async fn flush_kept(&self) {
        let gone: Vec<HolderId> = {
            let kept = lock(&self.kept);
            kept.keys()
                .copied()
                .filter(|holder| self.fleet.seems_gone(*holder))
                .collect()
        };
        for holder in gone {
            let bills = lock(&self.kept).get(&holder).cloned().unwrap_or_default();
            let Some(through) = bills.keys().next_back().copied() else {
                continue;
            };
            let writer = self.fleet.identity().holder;
            let key = ObjectKey::new(format!("{BILL_PREFIX}{holder}/kept-{writer}-{through:012}"));
            let batch = BillBatch {
                bills: bills.into_values().collect(),
            };
            if self.write_batch(&key, &batch).await {
                self.keep(holder, through, Vec::new());
            }
        }
    }

    async fn write_batch(&self, key: &ObjectKey, batch: &BillBatch) -> bool {
        match write_json(self.store.as_ref(), key, batch, Expected::Absent).await {
            Ok(_) => true,
            Err(StoreError::Conflict { .. }) => self.is_batch_there(key, batch).await,
            Err(error) => {
                warn!(self.log, "bills cannot be written"; "reason" => error.to_string());
                false
            }
        }
    }

    /// True when an earlier try wrote the batch, whose answer was lost.
    ///
    /// An earlier try may have written fewer bills under the same name; then the next name is
    /// used for all of them, and settlement drops the repeats.
    async fn is_batch_there(&self, key: &ObjectKey, batch: &BillBatch) -> bool {
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

    async fn send_to_keeper(&self, through: u64) -> bool {
        let (bills, flushed_through) = {
            let queue = lock(&self.queue);
            let first = queue.kept_through + 1;
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
        let Some(member) = self.fleet.far_members().into_iter().next() else {
            return false;
        };
        let peer = self.network.peer(member.peer_address);
        let holder = self.fleet.identity().holder;
        let call = peer.keep_bills(holder, flushed_through, bills);
        if !matches!(tokio::time::timeout(KEEPER_WAIT, call).await, Ok(Ok(()))) {
            self.fleet.record_failure(&member.vm);
            return false;
        }
        lock(&self.queue).kept_through = sent_through;
        self.mark_durable(sent_through);
        true
    }

    fn mark_durable(&self, through: u64) {
        self.durable_through.send_if_modified(|present| {
            let is_newer = through > *present;
            *present = (*present).max(through);
            is_newer
        });
    }
}

/// Reads and settles all bills in the platform.
///
/// # Errors
///
/// Fails when the platform gives no answer or a batch is not readable.
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
