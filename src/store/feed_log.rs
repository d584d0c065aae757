//! The objects of one kind as far as they are known, with the newest changes for those that follow
//! at second hand (a replicated log with snapshots).
//!
//! A log knows all changes up to its revision. Logs that were filled by different watches can be
//! mixed: a change that is already known, or older than what is known of its object, changes
//! nothing.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;

use super::kinds::{Change, Changes, KindObject, Listing, Revision};

/// Changes kept for followers. Those that lack more get all objects.
const MAX_CHANGES: usize = 1_024;

/// Gaps kept. Those that know no more than what lies before an older one get all objects.
const MAX_GAPS: usize = 64;

/// One change with the revision from which on it counts as known.
#[derive(Clone, Debug)]
pub struct LoggedChange {
    /// Revision of the change. For a removal it may be too high, never too low.
    pub at: Revision,
    /// The change.
    pub change: Change,
}

/// What a follower lacks.
#[derive(Clone, Debug)]
pub struct FeedNews {
    /// True when `changes` are all objects: what is not among them is gone.
    pub is_whole: bool,
    /// The changes in order.
    pub changes: Vec<LoggedChange>,
    /// Revision up to which all is known afterwards.
    pub revision: Revision,
}

/// What is known of one kind.
#[derive(Clone, Debug, Default)]
pub struct FeedLog {
    objects: BTreeMap<CompactString, KindObject>,
    changes: VecDeque<LoggedChange>,
    /// All changes after this revision are in `changes`.
    first: Revision,
    /// Stretches of which only the outcome is known: what came and went between is not in
    /// `changes`.
    gaps: Vec<Gap>,
    revision: Option<Revision>,
}

/// Revisions before and after changes that were not seen one by one.
#[derive(Clone, Copy, Debug)]
struct Gap {
    before: Revision,
    after: Revision,
}

impl Gap {
    const fn contains(self, revision: Revision) -> bool {
        self.before < revision && revision < self.after
    }
}

impl FeedLog {
    /// Nothing is known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision up to which all changes are known; none before the first listing.
    #[must_use]
    pub const fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// The objects by name.
    pub fn objects(&self) -> impl Iterator<Item = &KindObject> {
        self.objects.values()
    }

    /// Takes in all objects at once and returns what has changed. A listing that is older than what
    /// is known changes nothing.
    pub fn learn_listing(&mut self, listing: Listing) -> Vec<Change> {
        if self.revision.is_some_and(|known| known > listing.revision) {
            return Vec::new();
        }
        let mut news: Vec<LoggedChange> = Vec::new();
        for object in self.objects.values() {
            if listing
                .objects
                .iter()
                .all(|listed| listed.name != object.name)
            {
                news.push(LoggedChange {
                    at: listing.revision,
                    change: Change {
                        object: object.clone(),
                        is_removed: true,
                    },
                });
            }
        }
        for object in listing.objects {
            news.push(LoggedChange {
                at: object.revision,
                change: Change {
                    object,
                    is_removed: false,
                },
            });
        }
        self.learn_outcome(news, listing.revision)
    }

    /// Takes in changes that follow what is known and returns those that were not known.
    pub fn learn_changes(&mut self, changes: Changes) -> Vec<Change> {
        let revision = changes.revision;
        let logged = changes.changes.into_iter().map(|change| {
            let at = if change.is_removed {
                // The object bears the revision of its last change, not that of its removal.
                revision
            } else {
                change.object.revision
            };
            LoggedChange { at, change }
        });
        self.learn(logged.collect(), revision)
    }

    /// Takes in what another log knows and returns what was not known here.
    pub fn learn_news(&mut self, news: FeedNews) -> Vec<Change> {
        if !news.is_whole {
            return self.learn_outcome(news.changes, news.revision);
        }
        let objects = news.changes.into_iter().map(|logged| logged.change.object);
        self.learn_listing(Listing {
            objects: objects.collect(),
            revision: news.revision,
        })
    }

    /// What a follower lacks that knows all up to a revision; none if it lacks nothing.
    #[must_use]
    pub fn news_after(&self, known: Option<Revision>) -> Option<FeedNews> {
        let revision = self.revision?;
        let is_covered = |known: &Revision| {
            *known >= self.first && !self.gaps.iter().any(|gap| gap.contains(*known))
        };
        let Some(known) = known.filter(is_covered) else {
            let objects = self.objects.values().cloned().map(|object| LoggedChange {
                at: object.revision,
                change: Change {
                    object,
                    is_removed: false,
                },
            });
            return Some(FeedNews {
                is_whole: true,
                changes: objects.collect(),
                revision,
            });
        };
        // Everything after the first change that it lacks, so that the order is kept.
        let mut changes = self.changes.iter();
        let start = changes.position(|logged| logged.at > known)?;
        Some(FeedNews {
            is_whole: false,
            changes: self.changes.iter().skip(start).cloned().collect(),
            revision,
        })
    }

    /// Takes in changes of which some that were made undone may be missing.
    fn learn_outcome(&mut self, news: Vec<LoggedChange>, revision: Revision) -> Vec<Change> {
        match self.revision {
            Some(before) => self.gaps.push(Gap {
                before,
                after: revision,
            }),
            None => self.first = revision,
        }
        self.learn(news, revision)
    }

    fn learn(&mut self, news: Vec<LoggedChange>, revision: Revision) -> Vec<Change> {
        let known = self.revision;
        let mut new = Vec::new();
        for logged in news {
            if known.is_none_or(|known| logged.at > known) && self.apply(&logged.change) {
                new.push(logged.change.clone());
                self.changes.push_back(logged);
            }
        }
        while self.changes.len() > MAX_CHANGES {
            if let Some(oldest) = self.changes.pop_front() {
                self.first = self.first.max(oldest.at);
            }
        }
        let oldest = self.gaps.len().saturating_sub(MAX_GAPS);
        for gap in self.gaps.drain(..oldest) {
            self.first = self.first.max(gap.after);
        }
        let first = self.first;
        self.gaps.retain(|gap| gap.after > first);
        self.revision = known.max(Some(revision));
        new
    }

    /// Returns false when it is no news of the object.
    fn apply(&mut self, change: &Change) -> bool {
        let name = &change.object.name;
        let known = self.objects.get(name).map(|object| object.revision);
        if change.is_removed {
            let is_news = known.is_some_and(|known| known <= change.object.revision);
            if is_news {
                self.objects.remove(name);
            }
            return is_news;
        }
        let is_news = known.is_none_or(|known| known < change.object.revision);
        if is_news {
            self.objects.insert(name.clone(), change.object.clone());
        }
        is_news
    }
}
