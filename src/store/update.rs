//! Read-modify-write of a JSON object, with retries after conflicts and lost answers.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use super::{Expected, ObjectKey, ObjectStore, StoreError, Version};

/// Most tries to update a contended object.
const MAX_TRIES: u32 = 16;

/// Error of an update of an object.
#[derive(Debug, Error)]
pub enum UpdateError {
    /// A call to the platform failed. The change may have taken effect.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The object's value cannot be decoded.
    #[error("object {key} is not readable: {reason}")]
    Decode {
        /// The object.
        key: ObjectKey,
        /// The decoding error, with its position.
        reason: String,
    },
    /// Every try conflicted with another writer.
    #[error("object {key} is contended")]
    Contended {
        /// The object.
        key: ObjectKey,
    },
}

/// Reads an object, or the default value if the object does not exist.
///
/// # Errors
///
/// Fails when the platform gives no answer or the value is not readable.
pub async fn read_json<T>(
    store: &dyn ObjectStore,
    key: &ObjectKey,
) -> Result<(T, Expected), UpdateError>
where
    T: DeserializeOwned + Default,
{
    let Some(object) = store.get(key).await? else {
        return Ok((T::default(), Expected::Absent));
    };
    let value = serde_json::from_slice(&object.value).map_err(|error| UpdateError::Decode {
        key: key.clone(),
        reason: error.to_string(),
    })?;
    Ok((value, Expected::Version(object.version)))
}

/// Writes a value as JSON if the precondition holds.
///
/// # Errors
///
/// Fails when the object has changed or the platform gives no answer.
pub async fn write_json<T>(
    store: &dyn ObjectStore,
    key: &ObjectKey,
    value: &T,
    expected: Expected,
) -> Result<Version, StoreError>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).map_err(|error| StoreError::Refused {
        reason: error.to_string(),
    })?;
    store.put(key, bytes.into(), expected).await
}

/// Retries a read-modify-write until the change is written or found to be written already.
///
/// `change` edits the value and returns its result and whether the value must be written. It must
/// be idempotent: after a lost answer it runs again on a newly read value.
///
/// # Errors
///
/// Fails when a read or a second write gets no answer, the platform refuses a call, the value
/// cannot be decoded, or the object is contended.
pub async fn update_json<T, R, F>(
    store: &dyn ObjectStore,
    key: &ObjectKey,
    mut change: F,
) -> Result<R, UpdateError>
where
    T: DeserializeOwned + Serialize + Default + Send,
    F: FnMut(&mut T) -> (R, bool) + Send,
    R: Send,
{
    let mut is_answer_lost = false;
    for _ in 0..MAX_TRIES {
        let (mut value, expected) = read_json::<T>(store, key).await?;
        let (result, needs_write) = change(&mut value);
        if !needs_write {
            return Ok(result);
        }
        match write_json(store, key, &value, expected).await {
            Ok(_) => return Ok(result),
            Err(StoreError::Conflict { .. }) => {}
            Err(StoreError::Unavailable { .. }) if !is_answer_lost => is_answer_lost = true,
            Err(error) => return Err(error.into()),
        }
    }
    Err(UpdateError::Contended { key: key.clone() })
}
