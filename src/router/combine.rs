//! Group commit: changes of one platform object that come while a write is under way go together.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::store::update::{update_json, UpdateError};
use crate::store::{ObjectKey, ObjectStore, StoreError};
use crate::util::lock;

/// A repeatable change of a value: gives its result and whether anything needs writing.
pub trait Change<T>: Send + Sync {
    /// What the change leads to.
    type Output: Send;

    /// Edits the value.
    fn apply(&self, value: &mut T) -> (Self::Output, bool);
}

struct Waiting<C, R> {
    change: C,
    answer: oneshot::Sender<Result<R, UpdateError>>,
}

/// Writes the changes of one object.
#[derive(Debug)]
pub struct CombinedWriter<T, C>
where
    C: Change<T>,
{
    store: Arc<dyn ObjectStore>,
    key: ObjectKey,
    waiting: Mutex<VecDeque<Waiting<C, C::Output>>>,
    turn: tokio::sync::Mutex<()>,
    value: std::marker::PhantomData<fn() -> T>,
}

impl<C, R> std::fmt::Debug for Waiting<C, R> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Waiting")
    }
}

impl<T, C> CombinedWriter<T, C>
where
    T: DeserializeOwned + Serialize + Default + Send,
    C: Change<T>,
{
    /// A writer of one object.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>, key: ObjectKey) -> Self {
        Self {
            store,
            key,
            waiting: Mutex::default(),
            turn: tokio::sync::Mutex::default(),
            value: std::marker::PhantomData,
        }
    }

    /// Applies a change, together with others that wait.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no answer. The change may have taken effect then.
    pub async fn apply(&self, change: C) -> Result<C::Output, UpdateError> {
        let (answer, mut result) = oneshot::channel();
        lock(&self.waiting).push_back(Waiting { change, answer });
        let turn = self.turn.lock().await;
        if let Ok(done) = result.try_recv() {
            return done;
        }
        let batch: Vec<_> = lock(&self.waiting).drain(..).collect();
        self.write(batch).await;
        drop(turn);
        result.await.unwrap_or_else(|_| Err(self.dropped()))
    }

    async fn write(&self, batch: Vec<Waiting<C, C::Output>>) {
        let result = update_json(self.store.as_ref(), &self.key, |value: &mut T| {
            let mut needs_write = false;
            let mut outputs = Vec::with_capacity(batch.len());
            for waiting in &batch {
                let (output, is_changed) = waiting.change.apply(value);
                needs_write |= is_changed;
                outputs.push(output);
            }
            (outputs, needs_write)
        })
        .await;
        match result {
            Ok(outputs) => {
                for (waiting, output) in batch.into_iter().zip(outputs) {
                    let _ = waiting.answer.send(Ok(output));
                }
            }
            Err(error) => {
                for waiting in batch {
                    let _ = waiting.answer.send(Err(repeat_error(&error)));
                }
            }
        }
    }

    fn dropped(&self) -> UpdateError {
        let reason = format!("write of {} was given up", self.key);
        UpdateError::Store(StoreError::Unavailable { reason })
    }
}

fn repeat_error(error: &UpdateError) -> UpdateError {
    match error {
        UpdateError::Store(error) => UpdateError::Store(error.clone()),
        UpdateError::Decode { key, reason } => UpdateError::Decode {
            key: key.clone(),
            reason: reason.clone(),
        },
        UpdateError::Contended { key } => UpdateError::Contended { key: key.clone() },
    }
}
