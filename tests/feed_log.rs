//! Logs of a kind's changes: any mix of watches, listings and second-hand news ends in the store's
//! state, and no news is lost or taken back.

use std::collections::BTreeMap;

use currantlever::{Change, Changes, FeedLog, KindObject, Listing, Revision};
use quickcheck::{quickcheck, Arbitrary, Gen};
use serde_json::value::RawValue;

/// A store with its whole history.
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

fn shape<'a, I>(objects: I) -> Vec<(String, Revision)>
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
    /// A hub's watch is answered.
    Watch(u8),
    /// A hub lists anew.
    List(u8),
    /// The member asks a hub.
    Ask(u8),
    /// A hub asks the other one.
    Cross(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = u8::arbitrary(g) % 4;
        let hub = u8::arbitrary(g) % 2;
        match u8::arbitrary(g) % 8 {
            0 | 1 => Self::Put(name),
            2 => Self::Remove(name),
            3 | 4 => Self::Watch(hub),
            5 => Self::List(hub),
            6 => Self::Ask(hub),
            _ => Self::Cross(hub),
        }
    }
}

/// The objects as someone sees them who only hears the changes.
#[derive(Default)]
struct Listener(BTreeMap<String, Revision>);

impl Listener {
    fn hear(&mut self, changes: &[Change]) {
        for change in changes {
            let name = change.object.name.to_string();
            if change.is_removed {
                assert!(self.0.remove(&name).is_some(), "removed twice");
            } else {
                let before = self.0.insert(name, change.object.revision);
                assert!(
                    before < Some(change.object.revision),
                    "an older state is told"
                );
            }
        }
    }
}

quickcheck! {
    fn a_member_that_asks_lagging_hubs_in_any_order_ends_in_the_stores_state(
        steps: Vec<Step>
    ) -> bool {
        let mut store = Store::default();
        let mut hubs = [FeedLog::new(), FeedLog::new()];
        let mut member = FeedLog::new();
        let mut listener = Listener::default();
        for step in steps {
            match step {
                Step::Put(name) => store.put(name),
                Step::Remove(name) => store.remove(name),
                Step::Watch(hub) => {
                    let hub = &mut hubs[usize::from(hub)];
                    if let Some(after) = hub.revision() {
                        hub.learn_changes(store.changes_after(after));
                    }
                }
                Step::List(hub) => {
                    hubs[usize::from(hub)].learn_listing(store.listing());
                }
                Step::Ask(hub) => {
                    if let Some(news) = hubs[usize::from(hub)].news_after(member.revision()) {
                        listener.hear(&member.learn_news(news));
                    }
                }
                Step::Cross(hub) => {
                    let from = hubs[usize::from(hub)].clone();
                    let to = &mut hubs[usize::from(1 - hub)];
                    if let Some(news) = from.news_after(to.revision()) {
                        to.learn_news(news);
                    }
                }
            }
        }
        for hub in &mut hubs {
            match hub.revision() {
                Some(after) => hub.learn_changes(store.changes_after(after)),
                None => hub.learn_listing(store.listing()),
            };
            if let Some(news) = hub.news_after(member.revision()) {
                listener.hear(&member.learn_news(news));
            }
        }
        let heard: Vec<(String, Revision)> = listener.0.into_iter().collect();
        shape(member.objects()) == shape(store.objects.values())
            && heard == shape(store.objects.values())
    }
}

#[test]
fn a_follower_that_lacks_more_than_the_log_keeps_gets_all_objects() {
    let mut store = Store::default();
    let mut hub = FeedLog::new();
    hub.learn_listing(store.listing());
    for number in 0..3_000_u32 {
        store.put(u8::try_from(number % 7).unwrap());
        hub.learn_changes(store.changes_after(u64::from(number)));
    }
    let mut member = FeedLog::new();
    member.learn_listing(Listing::default());
    let news = hub.news_after(member.revision()).unwrap();
    assert!(news.is_whole);
    assert_eq!(member.learn_news(news).len(), 7);
    let late = hub.news_after(Some(2_990)).unwrap();
    assert!(!late.is_whole);
    assert_eq!(late.changes.len(), 10);
    assert!(hub.news_after(member.revision()).is_none());
}

#[test]
fn an_old_listing_takes_nothing_back() {
    let mut store = Store::default();
    store.put(1);
    let old = store.listing();
    store.remove(1);
    store.put(2);
    let mut log = FeedLog::new();
    log.learn_listing(store.listing());
    assert!(log.learn_listing(old).is_empty());
    assert_eq!(shape(log.objects()), [("n-2".to_owned(), 3)]);
}
