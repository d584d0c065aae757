//! Feed logs converge to the store's state under any sequence of watches, listings and deltas from
//! other logs, and report no change that is lost, repeated or older than the known state.

use std::collections::BTreeMap;

use currantlever::{Change, Changes, FeedLog, KindObject, Listing, Revision};
use quickcheck::{quickcheck, Arbitrary, Gen};
use serde_json::value::RawValue;

/// A model of the store with its whole history.
#[derive(Default)]
struct Store {
    objects: BTreeMap<u8, KindObject>,
    history: Vec<(Revision, Change)>,
    revision: Revision,
}

impl Store {
    fn put(&mut self, name: u8) {
        self.revision += 1;
        let object = object(name, self.revision);
        self.objects.insert(name, object.clone());
        let is_removed = false;
        self.history
            .push((self.revision, Change { object, is_removed }));
    }

    fn remove(&mut self, name: u8) {
        if let Some(object) = self.objects.remove(&name) {
            self.revision += 1;
            let is_removed = true;
            self.history
                .push((self.revision, Change { object, is_removed }));
        }
    }

    fn listing(&self) -> Listing {
        Listing {
            objects: self.objects.values().cloned().collect(),
            revision: self.revision,
        }
    }

    fn changes_after(&self, after: Revision) -> Changes {
        let changes = self.history.iter().filter(|(at, _)| *at > after);
        Changes {
            changes: changes.map(|(_, change)| change.clone()).collect(),
            revision: self.revision,
        }
    }
}

fn object(name: u8, revision: Revision) -> KindObject {
    KindObject {
        name: format!("n-{name}").into(),
        revision,
        value: RawValue::from_string(revision.to_string()).unwrap(),
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
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = u8::arbitrary(g) % 4;
        let watcher = u8::arbitrary(g) % 2;
        match u8::arbitrary(g) % 8 {
            0 | 1 => Self::Put(name),
            2 => Self::Remove(name),
            3 | 4 => Self::Watch(watcher),
            5 => Self::List(watcher),
            6 => Self::Pull(watcher),
            _ => Self::Push(watcher),
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
        for step in steps {
            match step {
                Step::Put(name) => store.put(name),
                Step::Remove(name) => store.remove(name),
                Step::Watch(watcher) => {
                    let watcher = &mut watchers[usize::from(watcher)];
                    if let Some(after) = watcher.revision() {
                        watcher.apply_changes(store.changes_after(after));
                    }
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
            }
        }
        for watcher in &mut watchers {
            match watcher.revision() {
                Some(after) => watcher.apply_changes(store.changes_after(after)),
                None => watcher.apply_listing(store.listing()),
            };
            if let Some(delta) = watcher.delta_since(follower.revision()) {
                replay.apply(&follower.apply_delta(delta));
            }
        }
        let replayed: Vec<(String, Revision)> = replay.0.into_iter().collect();
        names_and_revisions(follower.objects()) == names_and_revisions(store.objects.values())
            && replayed == names_and_revisions(store.objects.values())
    }
}

#[test]
fn a_follower_that_is_further_behind_than_the_log_gets_a_snapshot() {
    let mut store = Store::default();
    let mut watcher = FeedLog::new();
    watcher.apply_listing(store.listing());
    for number in 0..3_000_u32 {
        store.put(u8::try_from(number % 7).unwrap());
        watcher.apply_changes(store.changes_after(u64::from(number)));
    }
    let mut follower = FeedLog::new();
    follower.apply_listing(Listing::default());
    let delta = watcher.delta_since(follower.revision()).unwrap();
    assert!(delta.is_snapshot);
    assert_eq!(follower.apply_delta(delta).len(), 7);
    let recent = watcher.delta_since(Some(2_990)).unwrap();
    assert!(!recent.is_snapshot);
    assert_eq!(recent.changes.len(), 10);
    assert!(watcher.delta_since(follower.revision()).is_none());
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
    assert_eq!(names_and_revisions(log.objects()), [("n-2".to_owned(), 3)]);
}
