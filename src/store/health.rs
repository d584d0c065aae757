//! Whether the store answers, as all calls of a process see it.
//!
//! A watch waits in silence, so it does not show that the store is out of reach; other calls do.

use std::sync::Mutex;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::util::lock;

#[derive(Clone, Copy, Debug, Default)]
struct State {
    failing_since: Option<Instant>,
    last_failure: Option<Instant>,
}

/// The outcome of a process's calls to the store.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    state: Mutex<State>,
    recoveries: watch::Sender<u64>,
}

impl StoreHealth {
    /// Notes whether a call was answered.
    pub(crate) fn note_call(&self, is_answered: bool) {
        let mut state = lock(&self.state);
        if is_answered {
            if state.failing_since.take().is_some() {
                self.recoveries.send_modify(|count| *count += 1);
            }
            return;
        }
        let now = Instant::now();
        state.failing_since.get_or_insert(now);
        state.last_failure = Some(now);
    }

    /// Tells when a call was answered after others were not.
    pub(crate) fn recoveries(&self) -> watch::Receiver<u64> {
        self.recoveries.subscribe()
    }

    /// True when the last call was not answered.
    pub(crate) fn is_failing(&self) -> bool {
        lock(&self.state).failing_since.is_some()
    }

    /// When a call was last not answered.
    pub(crate) fn last_failure(&self) -> Option<Instant> {
        lock(&self.state).last_failure
    }
}
