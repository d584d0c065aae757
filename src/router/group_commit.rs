//! Group commit: changes of one platform object that arrive during a write are batched into the
//! next write.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::store::update::{update_json, UpdateError};
use crate::store::{ObjectKey, ObjectStore, StoreError};
use crate::util::lock;

/// A change of a value that can be applied again when a conditional update conflicts.
pub trait ObjectChange<T>: Send + Sync {
    /// The result of the change.
    type Output: Send;

    /// Edits the value; returns the result, and true when the value must be written.
    fn apply(&self, value: &mut T) -> (Self::Output, bool);
}

/// A queued change and the channel for its result.
struct Waiting<C, R> {
    change: C,
    reply: oneshot::Sender<Result<R, UpdateError>>,
}

/// Batches and writes the changes of one object.
#[derive(Debug)]
pub struct GroupCommitWriter<T, C>
where
    C: ObjectChange<T>,
{
    store: Arc<dyn ObjectStore>,
    key: ObjectKey,
    queue: Mutex<VecDeque<Waiting<C, C::Output>>>,
    write_lock: tokio::sync::Mutex<()>,
    value: std::marker::PhantomData<fn() -> T>,
}

impl<C, R> std::fmt::Debug for Waiting<C, R> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Waiting")
    }
}

impl<T, C> GroupCommitWriter<T, C>
where
    T: DeserializeOwned + Serialize + Default + Send,
    C: ObjectChange<T>,
{
    /// Creates a writer of one object.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>, key: ObjectKey) -> Self {
        Self {
            store,
            key,
            queue: Mutex::default(),
            write_lock: tokio::sync::Mutex::default(),
            value: std::marker::PhantomData,
        }
    }

    /// Applies a change, batched with other queued ones.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer; the change may have taken effect then.
    pub async fn apply(&self, change: C) -> Result<C::Output, UpdateError> {
        let (reply, mut result) = oneshot::channel();
        lock(&self.queue).push_back(Waiting { change, reply });
        let write_lock = self.write_lock.lock().await;
        if let Ok(done) = result.try_recv() {
            return done;
        }
        let batch: Vec<_> = lock(&self.queue).drain(..).collect();
        self.write(batch).await;
        drop(write_lock);
        result.await.unwrap_or_else(|_| Err(self.abandoned_write()))
    }

    async fn write(&self, batch: Vec<Waiting<C, C::Output>>) {
        let result = update_json(self.store.as_ref(), &self.key, |value: &mut T| {
            let mut needs_write = false;
            let mut outputs = Vec::with_capacity(batch.len());
            for queued in &batch {
                let (output, is_changed) = queued.change.apply(value);
                needs_write |= is_changed;
                outputs.push(output);
            }
            (outputs, needs_write)
        })
        .await;
        match result {
            Ok(outputs) => {
                for (queued, output) in batch.into_iter().zip(outputs) {
                    let _ = queued.reply.send(Ok(output));
                }
            }
            Err(error) => {
                for queued in batch {
                    let _ = queued.reply.send(Err(copy_error(&error)));
                }
            }
        }
    }

    fn abandoned_write(&self) -> UpdateError {
        let reason = format!("write of {} was given up", self.key);
        UpdateError::Store(StoreError::Unavailable { reason })
    }
}

fn copy_error(error: &UpdateError) -> UpdateError {
    match error {
        UpdateError::Store(error) => UpdateError::Store(error.clone()),
        UpdateError::Decode { key, reason } => UpdateError::Decode {
            key: key.clone(),
            reason: reason.clone(),
        },
        UpdateError::Contended { key } => UpdateError::Contended { key: key.clone() },
    }
}
