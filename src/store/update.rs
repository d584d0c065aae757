//! Read, change and conditionally write one JSON object, resolving conflicts and lost answers.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use super::{Expected, ObjectKey, ObjectStore, StoreError, Version};

/// Tries before a contended object is given up.
const MAX_CONFLICTS: u32 = 16;

/// Why an object could not be changed.
#[derive(Debug, Error)]
pub enum UpdateError {
    /// The platform failed. The change may have taken effect.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The object's value is not what this program writes.
    #[error("object {key} is not readable: {reason}")]
    Decode {
        /// The object.
        key: ObjectKey,
        /// Place and reason.
        reason: String,
    },
    /// Other writers were faster every time.
    #[error("object {key} is contended")]
    Contended {
        /// The object.
        key: ObjectKey,
    },
}

/// Reads an object; a missing one has the default value.
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

/// Writes a value as JSON if the object is in the expected state.
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

/// Applies a change until it is written or turns out to be there already.
///
/// `change` edits the value and returns its result and whether anything needs writing. It must be
/// repeatable: after a lost answer it is run again on the value as read anew.
///
/// # Errors
///
/// Fails when the platform stays silent or the object is contended.
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
    for _ in 0..MAX_CONFLICTS {
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
