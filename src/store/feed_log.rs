//! A replicated log of the changes of one kind, with snapshots.
//!
//! A log holds the known objects and the newest changes, for followers: routers that replicate the
//! kind from another router instead of the store. It knows all changes up to its revision. Logs
//! that were filled by different watches can be merged: a change that is already known, or older
//! than the known state of its object, has no effect.
//!
//! Of each object the log keeps the newest version, and the last one before each removal. Followers
//! do not need those in between, and all versions of a large object would exceed the memory of a VM.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;

use super::kinds::{Change, Changes, KindObject, Listing, Revision};

/// Most changes kept for followers. A follower that is further behind gets a snapshot.
const MAX_CHANGES: usize = 1_024;

/// Most bytes of values in these changes: two values of the largest size.
const MAX_CHANGE_BYTES: usize = 2 << 20;

/// Most gaps kept. A follower whose revision lies before the end of a dropped gap gets a snapshot.
const MAX_GAPS: usize = 64;

/// A change with the revision from which on it counts as known.
#[derive(Clone, Debug)]
pub struct LoggedChange {
    /// Revision of the change. For a removal it may be too high, never too low.
    pub effective_revision: Revision,
    /// The change.
    pub change: Change,
}

/// The changes that a follower is missing.
#[derive(Clone, Debug)]
pub struct FeedDelta {
    /// True when `changes` is a snapshot: objects that are not in it have been removed.
    pub is_snapshot: bool,
    /// The changes in order.
    pub changes: Vec<LoggedChange>,
    /// Revision up to which all changes are known once these are applied.
    pub revision: Revision,
}

/// The replicated state and the newest changes of one kind.
#[derive(Clone, Debug, Default)]
pub struct FeedLog {
    objects: BTreeMap<CompactString, KindObject>,
    changes: ChangeLog,
    /// All changes after this revision are in `changes`, but for versions that were replaced and
    /// those lost in `gaps`.
    complete_after: Revision,
    /// Revision ranges of which only the net effect is known: `changes` lacks objects that were
    /// created and removed within one.
    gaps: Vec<Gap>,
    revision: Option<Revision>,
    /// Total length of the values in `objects`.
    object_bytes: usize,
}

/// A range of revisions whose changes were not received one by one.
#[derive(Clone, Copy, Debug)]
struct Gap {
    before: Revision,
    after: Revision,
}

impl Gap {
    fn contains(self, revision: Revision) -> bool {
        self.before < revision && revision < self.after
    }
}

impl FeedLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision up to which all changes are known; none before the first listing.
    #[must_use]
    pub const fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the total length of all values that the log holds, in bytes.
    #[must_use]
    pub const fn value_bytes(&self) -> usize {
        self.object_bytes + self.changes.value_bytes
    }

    /// Returns the objects, ordered by name.
    pub fn objects(&self) -> impl Iterator<Item = &KindObject> {
        self.objects.values()
    }

    /// Applies a listing of all objects and returns what has changed. A listing that is older than
    /// the known state has no effect.
    pub fn apply_listing(&mut self, listing: Listing) -> Vec<Change> {
        if self.revision.is_some_and(|known| known > listing.revision) {
            return Vec::new();
        }
        let mut differences: Vec<LoggedChange> = Vec::new();
        for object in self.objects.values() {
            if listing
                .objects
                .iter()
                .all(|listed| listed.name != object.name)
            {
                differences.push(LoggedChange {
                    effective_revision: listing.revision,
                    change: Change {
                        object: object.clone(),
                        is_removed: true,
                    },
                });
            }
        }
        for object in listing.objects {
            differences.push(LoggedChange {
                effective_revision: object.revision,
                change: Change {
                    object,
                    is_removed: false,
                },
            });
        }
        self.apply_net_changes(differences, listing.revision)
    }

    /// Applies the changes after the known revision and returns those that were new.
    pub fn apply_changes(&mut self, changes: Changes) -> Vec<Change> {
        let revision = changes.revision;
        let logged = changes.changes.into_iter().map(|change| {
            let effective_revision = if change.is_removed {
                // A removed object carries the revision of its last change, not of its removal.
                revision
            } else {
                change.object.revision
            };
            LoggedChange {
                effective_revision,
                change,
            }
        });
        self.append(logged.collect(), revision)
    }

    /// Applies what another log knows and returns the changes that were new.
    pub fn apply_delta(&mut self, delta: FeedDelta) -> Vec<Change> {
        if !delta.is_snapshot {
            return self.apply_net_changes(delta.changes, delta.revision);
        }
        let objects = delta.changes.into_iter().map(|logged| logged.change.object);
        self.apply_listing(Listing {
            objects: objects.collect(),
            revision: delta.revision,
        })
    }

    /// Returns what a follower that knows all changes up to a revision is missing; none if nothing.
    #[must_use]
    pub fn delta_since(&self, known: Option<Revision>) -> Option<FeedDelta> {
        let revision = self.revision?;
        if known > Some(revision) {
            return None;
        }
        let is_covered = |known: &Revision| {
            known.era() == revision.era()
                && *known >= self.complete_after
                && !self.gaps.iter().any(|gap| gap.contains(*known))
        };
        let Some(known) = known.filter(is_covered) else {
            let objects = self.objects.values().cloned().map(|object| LoggedChange {
                effective_revision: object.revision,
                change: Change {
                    object,
                    is_removed: false,
                },
            });
            return Some(FeedDelta {
                is_snapshot: true,
                changes: objects.collect(),
                revision,
            });
        };
        let missing = self.changes.after(known);
        (!missing.is_empty()).then_some(FeedDelta {
            is_snapshot: false,
            changes: missing,
            revision,
        })
    }

    /// Applies the net effect of a range of changes; changes that cancel out may be missing.
    fn apply_net_changes(&mut self, changes: Vec<LoggedChange>, revision: Revision) -> Vec<Change> {
        match self.revision {
            Some(before) => self.gaps.push(Gap {
                before,
                after: revision,
            }),
            None => self.complete_after = revision,
        }
        self.append(changes, revision)
    }

    fn append(&mut self, candidates: Vec<LoggedChange>, revision: Revision) -> Vec<Change> {
        let known = self.revision;
        let mut applied = Vec::new();
        for logged in candidates {
            if known.is_none_or(|known| logged.effective_revision > known)
                && self.apply_change(&logged.change)
            {
                applied.push(logged.change.clone());
                self.changes.push(logged);
            }
        }
        while let Some(oldest) = self.changes.pop_excess() {
            self.complete_after = self.complete_after.max(oldest.effective_revision);
        }
        let excess = self.gaps.len().saturating_sub(MAX_GAPS);
        for gap in self.gaps.drain(..excess) {
            self.complete_after = self.complete_after.max(gap.after);
        }
        let complete_after = self.complete_after;
        self.gaps.retain(|gap| gap.after > complete_after);
        self.revision = known.max(Some(revision));
        applied
    }

    /// Applies a change to the objects. Returns false if it is not newer than the known object.
    fn apply_change(&mut self, change: &Change) -> bool {
        let name = &change.object.name;
        let known = self.objects.get(name).map(|object| object.revision);
        if change.is_removed {
            let is_newer = known.is_some_and(|known| known <= change.object.revision);
            if is_newer {
                let removed = self.objects.remove(name);
                self.object_bytes -= removed.as_ref().map_or(0, value_length);
            }
            return is_newer;
        }
        let is_newer = known.is_none_or(|known| known < change.object.revision);
        if is_newer {
            self.object_bytes += value_length(&change.object);
            let replaced = self.objects.insert(name.clone(), change.object.clone());
            self.object_bytes -= replaced.as_ref().map_or(0, value_length);
        }
        is_newer
    }
}

/// The newest changes in the order in which they became known, without replaced versions.
#[derive(Clone, Debug, Default)]
struct ChangeLog {
    /// By the number in their order.
    changes: BTreeMap<u64, LoggedChange>,
    /// For each object that is not removed, the number of its newest version.
    versions: HashMap<CompactString, u64>,
    next_number: u64,
    value_bytes: usize,
}

impl ChangeLog {
    /// Appends a change. A new version replaces the one before it.
    fn push(&mut self, logged: LoggedChange) {
        let object = &logged.change.object;
        if logged.change.is_removed {
            self.versions.remove(&object.name);
        } else {
            let replaced = self.versions.insert(object.name.clone(), self.next_number);
            if let Some(replaced) = replaced {
                self.remove(replaced);
            }
        }
        self.value_bytes += value_length(&logged.change.object);
        self.changes.insert(self.next_number, logged);
        self.next_number += 1;
    }

    fn remove(&mut self, number: u64) {
        if let Some(logged) = self.changes.remove(&number) {
            self.value_bytes -= value_length(&logged.change.object);
        }
    }

    /// Removes and returns the oldest change if there are too many or their values are too long.
    fn pop_excess(&mut self) -> Option<LoggedChange> {
        if self.changes.len() <= MAX_CHANGES && self.value_bytes <= MAX_CHANGE_BYTES {
            return None;
        }
        let (number, oldest) = self.changes.pop_first()?;
        self.value_bytes -= value_length(&oldest.change.object);
        let name = &oldest.change.object.name;
        if self.versions.get(name) == Some(&number) {
            self.versions.remove(name);
        }
        Some(oldest)
    }

    /// Returns the changes after a revision.
    fn after(&self, known: Revision) -> Vec<LoggedChange> {
        let changes = self.changes.values();
        let missing = changes.filter(|logged| logged.effective_revision > known);
        missing.cloned().collect()
    }
}

fn value_length(object: &KindObject) -> usize {
    object.value.get().len()
}
