//! Feed logs converge to the store's state under any sequence of watches, listings and deltas from
//! other logs, and report no change that is lost, repeated or older than the known state.

use std::collections::BTreeMap;

use currantlever::{Change, Changes, FeedLog, KindObject, Listing, Revision};
use quickcheck::{quickcheck, Arbitrary, Gen};
use serde_json::value::RawValue;

/// A model of the store with its whole history.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    number: u64,
    objects: BTreeMap<u8, u64>,
    history: Vec<StoredChange>,
}

#[derive(Clone, Copy)]
struct StoredChange {
    number: u64,
    name: u8,
    object_number: u64,
    is_removed: bool,
}

impl Store {
    fn put(&mut self, name: u8) {
        self.number += 1;
        self.objects.insert(name, self.number);
        self.record(name, self.number, false);
    }

    fn remove(&mut self, name: u8) {
        if let Some(object_number) = self.objects.remove(&name) {
            self.number += 1;
            self.record(name, object_number, true);
        }
    }

    fn record(&mut self, name: u8, object_number: u64, is_removed: bool) {
        self.history.push(StoredChange {
            number: self.number,
            name,
            object_number,
            is_removed,
        });
    }

    /// Returns from a copy: what was written since is lost, and a new era begins.
    fn restore(&mut self, copy: &Self) {
        let era = self.era + 1;
        *self = Self {
            era,
            ..copy.clone()
        };
    }

    fn revision(&self) -> Revision {
        Revision::new(self.era, self.number)
    }

    fn objects(&self) -> Vec<KindObject> {
        let objects = self.objects.iter();
        objects
            .map(|(name, number)| object(*name, Revision::new(self.era, *number)))
            .collect()
    }

    fn listing(&self) -> Listing {
        Listing {
            objects: self.objects(),
            revision: self.revision(),
        }
    }

    /// Returns the answer to a watch; none for a revision that this era does not have.
    fn changes_after(&self, after: Revision) -> Option<Changes> {
        if after.era() != self.era {
            return None;
        }
        let changes = self.history.iter().filter(|at| at.number > after.number());
        let changes = changes.map(|at| Change {
            object: object(at.name, Revision::new(self.era, at.object_number)),
            is_removed: at.is_removed,
        });
        Some(Changes {
            changes: changes.collect(),
            revision: self.revision(),
        })
    }

    /// Brings a watcher up to date: by its watch, or by a listing.
    fn serve(&self, watcher: &mut FeedLog) {
        let changes = watcher
            .revision()
            .and_then(|after| self.changes_after(after));
        match changes {
            Some(changes) => watcher.apply_changes(changes),
            None => watcher.apply_listing(self.listing()),
        };
    }
}

fn object(name: u8, revision: Revision) -> KindObject {
    KindObject {
        name: format!("n-{name}").into(),
        revision,
        value: RawValue::from_string(revision.number().to_string()).unwrap(),
    }
}

fn names_and_revisions<'a, I>(objects: I) -> Vec<(String, Revision)>
where
    I: Iterator<Item = &'a KindObject>,
{
    objects
        .map(|object| (object.name.to_string(), object.revision))
        .collect()
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Put(u8),
    Remove(u8),
    /// A watcher receives the answer of its watch.
    Watch(u8),
    /// A watcher lists all objects again.
    List(u8),
    /// The follower requests a delta from a watcher.
    Pull(u8),
    /// A watcher sends a delta to the other one.
    Push(u8),
    /// A copy of the store is made.
    Copy,
    /// The store returns from the copy.
    Restore,
    /// The answer to a listing from before the copy arrives late.
    LateList(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = u8::arbitrary(g) % 4;
        let watcher = u8::arbitrary(g) % 2;
        match u8::arbitrary(g) % 12 {
            0 | 1 => Self::Put(name),
            2 => Self::Remove(name),
            3 | 4 => Self::Watch(watcher),
            5 => Self::List(watcher),
            6 | 7 => Self::Pull(watcher),
            8 => Self::Push(watcher),
            9 => Self::Copy,
            10 => Self::Restore,
            _ => Self::LateList(watcher),
        }
    }
}

/// The objects as a consumer rebuilds them from the reported changes only.
#[derive(Default)]
struct Replay(BTreeMap<String, Revision>);

impl Replay {
    fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            let name = change.object.name.to_string();
            if change.is_removed {
                assert!(self.0.remove(&name).is_some(), "removed twice");
            } else {
                let before = self.0.insert(name, change.object.revision);
                assert!(
                    before < Some(change.object.revision),
                    "an older state is reported"
                );
            }
        }
    }
}

quickcheck! {
    fn a_follower_of_lagging_watchers_converges_to_the_state_of_the_store(
        steps: Vec<Step>
    ) -> bool {
        let mut store = Store::default();
        let mut watchers = [FeedLog::new(), FeedLog::new()];
        let mut follower = FeedLog::new();
        let mut replay = Replay::default();
        let mut copy = store.clone();
        for step in steps {
            match step {
                Step::Put(name) => store.put(name),
                Step::Remove(name) => store.remove(name),
                Step::Watch(watcher) => {
                    store.serve(&mut watchers[usize::from(watcher)]);
                }
                Step::List(watcher) => {
                    watchers[usize::from(watcher)].apply_listing(store.listing());
                }
                Step::Pull(watcher) => {
                    if let Some(delta) =
                        watchers[usize::from(watcher)].delta_since(follower.revision())
                    {
                        replay.apply(&follower.apply_delta(delta));
                    }
                }
                Step::Push(watcher) => {
                    let from = watchers[usize::from(watcher)].clone();
                    let to = &mut watchers[usize::from(1 - watcher)];
                    if let Some(delta) = from.delta_since(to.revision()) {
                        to.apply_delta(delta);
                    }
                }
                Step::Copy => copy = store.clone(),
                Step::Restore => store.restore(&copy),
                Step::LateList(watcher) => {
                    watchers[usize::from(watcher)].apply_listing(copy.listing());
                }
            }
        }
        for watcher in &mut watchers {
            store.serve(watcher);
            if let Some(delta) = watcher.delta_since(follower.revision()) {
                replay.apply(&follower.apply_delta(delta));
            }
        }
        let replayed: Vec<(String, Revision)> = replay.0.into_iter().collect();
        names_and_revisions(follower.objects()) == names_and_revisions(store.objects().iter())
            && replayed == names_and_revisions(store.objects().iter())
    }
}

/// Returns the answer to a watch in which one object was written.
fn written(name: &str, number: u64, length: usize) -> Changes {
    let revision = Revision::new(0, number);
    let value = format!("\"{}\"", "x".repeat(length - 2));
    let object = KindObject {
        name: name.into(),
        revision,
        value: RawValue::from_string(value).unwrap(),
    };
    Changes {
        changes: vec![Change {
            object,
            is_removed: false,
        }],
        revision,
    }
}

/// Returns the answer to a watch in which the object of these changes was removed.
fn removed(mut written: Changes, number: u64) -> Changes {
    written.revision = Revision::new(0, number);
    written.changes[0].is_removed = true;
    written
}

/// Returns a log that was filled by a listing without objects.
fn log_from_start() -> FeedLog {
    let mut log = FeedLog::new();
    log.apply_listing(Listing::default());
    log
}

#[test]
fn a_follower_that_is_further_behind_than_the_log_gets_a_snapshot() {
    let mut watcher = log_from_start();
    for number in 1..=3_000 {
        watcher.apply_changes(written(&format!("n-{number}"), number, 8));
    }
    let mut follower = log_from_start();
    let delta = watcher.delta_since(follower.revision()).unwrap();
    assert!(delta.is_snapshot);
    assert_eq!(follower.apply_delta(delta).len(), 3_000);
    let recent = watcher.delta_since(Some(Revision::new(0, 2_990))).unwrap();
    assert!(!recent.is_snapshot);
    assert_eq!(recent.changes.len(), 10);
    assert!(watcher.delta_since(follower.revision()).is_none());
}

/// Guards against keeping and sending every version of an object, which takes a router over its
/// memory limit when a large one changes often.
#[test]
fn only_the_newest_version_of_an_object_is_kept_and_sent() {
    const LENGTH: usize = 1_000;
    let mut watcher = log_from_start();
    let mut follower = log_from_start();
    for number in 1..=1_500 {
        watcher.apply_changes(written("main", number, LENGTH));
        assert!(watcher.value_bytes() <= 2 * LENGTH, "after {number}");
    }
    for known in [0, 1, 1_499] {
        let delta = watcher.delta_since(Some(Revision::new(0, known))).unwrap();
        assert!(!delta.is_snapshot);
        let sent: Vec<Revision> = delta
            .changes
            .iter()
            .map(|logged| logged.effective_revision)
            .collect();
        assert_eq!(sent, [Revision::new(0, 1_500)], "known: {known}");
    }
    let delta = watcher.delta_since(follower.revision()).unwrap();
    assert_eq!(follower.apply_delta(delta).len(), 1);
    assert!(watcher.delta_since(follower.revision()).is_none());
}

/// Guards against removed objects of another writer, each as large as the store takes, that are kept
/// for followers without a bound in bytes.
#[test]
fn removed_objects_are_kept_up_to_a_number_of_bytes() {
    /// Largest value that the store takes, and the memory limit of the smallest VM.
    const VALUE_BYTES: usize = 1 << 20;
    const MEMORY_BYTES: usize = 88 << 20;
    let mut watcher = log_from_start();
    let mut follower = log_from_start();
    for number in 0..100 {
        let large = written(&format!("n-{number}"), 2 * number + 1, VALUE_BYTES);
        watcher.apply_changes(large.clone());
        if number == 0 {
            let delta = watcher.delta_since(follower.revision()).unwrap();
            assert_eq!(follower.apply_delta(delta).len(), 1);
        }
        watcher.apply_changes(removed(large, 2 * number + 2));
        assert!(watcher.value_bytes() <= MEMORY_BYTES / 16, "after {number}");
    }
    assert_eq!(watcher.objects().count(), 0);
    let delta = watcher.delta_since(follower.revision()).unwrap();
    let changes = follower.apply_delta(delta);
    assert_eq!(changes.len(), 1);
    assert!(changes[0].is_removed);
    assert_eq!(follower.objects().count(), 0);
}

/// Guards against mixing the revisions of two eras.
#[test]
fn a_follower_of_an_earlier_era_gets_a_snapshot_and_one_of_a_later_era_nothing() {
    let mut store = Store::default();
    store.put(1);
    let copy = store.clone();
    store.put(2);
    let mut behind = FeedLog::new();
    behind.apply_listing(store.listing());
    store.restore(&copy);
    store.put(3);
    let mut watcher = FeedLog::new();
    watcher.apply_listing(store.listing());
    assert!(behind.delta_since(watcher.revision()).is_none());
    let delta = watcher.delta_since(behind.revision()).unwrap();
    assert!(delta.is_snapshot);
    let changes = behind.apply_delta(delta);
    let removed = changes.iter().filter(|change| change.is_removed);
    assert_eq!(removed.count(), 1);
    let names = names_and_revisions(behind.objects());
    let known = |name: &str, number| (name.to_owned(), Revision::new(1, number));
    assert_eq!(names, [known("n-1", 1), known("n-3", 2)]);
}

#[test]
fn a_stale_listing_reverts_nothing() {
    let mut store = Store::default();
    store.put(1);
    let old = store.listing();
    store.remove(1);
    store.put(2);
    let mut log = FeedLog::new();
    log.apply_listing(store.listing());
    assert!(log.apply_listing(old).is_empty());
    assert_eq!(
        names_and_revisions(log.objects()),
        [("n-2".to_owned(), Revision::new(0, 3))]
    );
}
