//! Whether the store answers, as all calls of a process see it, and as routers that watch it say.
//!
//! A watch waits in silence, so it does not show that the store is out of reach; other calls do.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::util::lock;

/// Age up to which the last answer to an own call shows that the store answers.
const ANSWER_BELIEVED: Duration = Duration::from_secs(6);
/// Time between failures at two routers that may be of one outage.
const SAME_OUTAGE: Duration = Duration::from_secs(3);
/// Age up to which another router's word is believed. It comes several times a second.
const WORD_BELIEVED: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct State {
    failing_since: Option<Instant>,
    last_answer: Option<Instant>,
    last_failure: Option<Instant>,
    /// True while this router's own calls show all outages.
    is_watching: bool,
    /// What other routers said, by their addresses.
    words: HashMap<SocketAddr, Word>,
}

/// What another router said.
#[derive(Clone, Copy, Debug)]
struct Word {
    at: Instant,
    /// True when the store answers it.
    is_answered: bool,
    /// When the store last did not.
    failure: Option<Instant>,
}

impl State {
    fn is_answered(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < ANSWER_BELIEVED;
        self.failing_since.is_none() && self.last_answer.is_some_and(is_recent)
    }

    fn fresh_words(&self) -> impl Iterator<Item = &Word> {
        let words = self.words.values();
        words.filter(|word| word.at.elapsed() < WORD_BELIEVED)
    }
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

    /// Notes whether this router watches the store, so that its own calls show all outages.
    pub(crate) fn set_watching(&self, is_watching: bool) {
        lock(&self.state).is_watching = is_watching;
    }

    /// Notes another router's word: whether the store answers it, and how long ago it last did not.
    pub(crate) fn note_word(
        &self,
        router: SocketAddr,
        is_answered: bool,
        failure_age: Option<Duration>,
    ) {
        let now = Instant::now();
        // A router that is not answered yet tells when it last tried; the outage goes on.
        let failure_age = if is_answered {
            failure_age
        } else {
            Some(Duration::ZERO)
        };
        let word = Word {
            at: now,
            is_answered,
            failure: failure_age.and_then(|age| now.checked_sub(age)),
        };
        let mut state = lock(&self.state);
        state
            .words
            .retain(|_, word| word.at.elapsed() < WORD_BELIEVED);
        state.words.insert(router, word);
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
        !state.is_answered() && !state.fresh_words().any(|word| word.is_answered)
    }

    /// When the store last was out of reach, as far as that was not this router's or one other's
    /// trouble alone.
    pub(crate) fn last_outage(&self) -> Option<Instant> {
        let state = lock(&self.state);
        if state.is_watching || state.fresh_words().next().is_none() {
            return state.last_failure;
        }
        let newest = state.fresh_words().filter_map(|word| word.failure).max()?;
        let was_served = |word: &Word| {
            let is_other = |failure: Instant| failure + SAME_OUTAGE < newest;
            word.at > newest && word.failure.is_none_or(is_other)
        };
        // One that was served meanwhile shows that it was the trouble of another one alone.
        let is_alone = state.fresh_words().any(was_served);
        (!is_alone).then_some(newest)
    }

    /// Time since a call of this process was last not answered.
    pub(crate) fn failure_age(&self) -> Option<Duration> {
        lock(&self.state).last_failure.map(|at| at.elapsed())
    }
}
