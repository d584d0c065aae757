//! Whether the store answers, as all calls of a process see it, and as routers that watch it say.
//!
//! A watch waits in silence, so it does not show that the store is out of reach; other calls do.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::util::lock;

/// Age up to which the last answer to an own call shows that the store answers.
const ANSWER_BELIEVED: Duration = Duration::from_secs(6);
/// The same of another router's word, which comes several times a second.
const WORD_BELIEVED: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, Default)]
struct State {
    failing_since: Option<Instant>,
    last_answer: Option<Instant>,
    last_failure: Option<Instant>,
    /// When another router last said that the store answers it.
    last_word: Option<Instant>,
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
        let now = Instant::now();
        if is_answered {
            state.last_answer = Some(now);
            if state.failing_since.take().is_some() {
                self.recoveries.send_modify(|count| *count += 1);
            }
            return;
        }
        state.failing_since.get_or_insert(now);
        state.last_failure = Some(now);
    }

    /// Notes another router's word: whether the store answers it, and how long ago it last did not.
    pub(crate) fn note_word(&self, is_answered: bool, failure_age: Option<Duration>) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        state.last_word = is_answered.then_some(now).or(state.last_word);
        let failure = failure_age.and_then(|age| now.checked_sub(age));
        state.last_failure = state.last_failure.max(failure);
    }

    /// Tells when a call was answered after others were not.
    pub(crate) fn recoveries(&self) -> watch::Receiver<u64> {
        self.recoveries.subscribe()
    }

    /// True when the last call was not answered.
    pub(crate) fn is_call_failing(&self) -> bool {
        lock(&self.state).failing_since.is_some()
    }

    /// True when neither own calls nor other routers show that the store answers.
    pub(crate) fn is_failing(&self) -> bool {
        let state = lock(&self.state);
        let is_within = |at: Option<Instant>, age| at.is_some_and(|at| at.elapsed() < age);
        let is_answered =
            state.failing_since.is_none() && is_within(state.last_answer, ANSWER_BELIEVED);
        !is_answered && !is_within(state.last_word, WORD_BELIEVED)
    }

    /// When a call was last not answered, here or at a router that watches.
    pub(crate) fn last_failure(&self) -> Option<Instant> {
        lock(&self.state).last_failure
    }

    /// Time since the last call that was not answered.
    pub(crate) fn failure_age(&self) -> Option<Duration> {
        self.last_failure().map(|at| at.elapsed())
    }
}
