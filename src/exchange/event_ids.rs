//! Ids of a stream's events, which show whether another stream continues it.

/// The ids of the events of a stream so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventIds {
    last: Option<u64>,
    /// Whether each id is one more than the id before; none until that is known.
    are_consecutive: Option<bool>,
}

impl EventIds {
    /// Creates the ids of a stream of which only the last one is known.
    pub(crate) const fn ending_with(last: u64) -> Self {
        Self {
            last: Some(last),
            are_consecutive: None,
        }
    }

    /// Returns the id of the last event.
    pub(crate) const fn last(self) -> Option<u64> {
        self.last
    }

    /// Records the id of the next event.
    pub(crate) fn record(&mut self, id: u64) {
        let follows = match self.last {
            Some(last) => Some(last.checked_add(1) == Some(id)),
            None => (id <= 1).then_some(true),
        };
        self.are_consecutive = match (self.are_consecutive, follows) {
            (Some(false), _) => Some(false),
            (_, follows) => follows,
        };
        self.last = Some(id);
    }

    /// Returns true if an event neither repeats one of these nor shows that some are left out.
    pub(crate) fn is_continued_by(self, id: Option<u64>) -> bool {
        match (id, self.last) {
            (Some(id), Some(last)) if self.are_consecutive == Some(true) => {
                last.checked_add(1) == Some(id)
            }
            (Some(id), Some(last)) => id > last,
            _ => false,
        }
    }
}
