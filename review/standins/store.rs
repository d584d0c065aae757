//! The platform's store, as PROTOCOL.md tells: objects by kind and name, listings, watches and
//! conditional writes.

use std::collections::BTreeMap;
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_request, Message};
use crate::json::{member, string};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    /// Rises each time that the store comes back from a copy.
    era: u64,
    /// True while the store answers 503.
    is_away: bool,
}

/// A copy of the store.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

pub struct Store {
    pub address: SocketAddr,
    has_eras: bool,
    state: Mutex<State>,
    changed: Condvar,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":{}}}",
        object.revision, object.created, object.spec, object.status
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self
            .objects
            .get(&key)
            .is_some_and(|object| object.spec == spec)
        {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self
            .objects
            .get(&key)
            .map_or(revision, |object| object.created);
        let object = Object {
            revision,
            created,
            spec: spec.to_owned(),
            status: "null".to_owned(),
        };
        let text = format!(
            "{{\"removed\":false,\"object\":{}}}",
            object_text(name, &object)
        );
        self.objects.insert(key, object);
        self.events.push(Event {
            revision,
            kind: kind.to_owned(),
            text,
        });
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            let text = format!(
                "{{\"removed\":true,\"object\":{}}}",
                object_text(name, &object)
            );
            self.events.push(Event {
                revision: self.revision,
                kind: kind.to_owned(),
                text,
            });
        }
    }

    fn answer(&mut self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let mut parts = path.split('/').skip(2);
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = member(&body, "metadata").unwrap_or("{}");
        let expected = member(metadata, "revision").map(str::to_owned);
        let expected = expected.or_else(|| parameter("revision"));
        let expected = expected.and_then(|text| text.parse::<u64>().ok());
        let spec = member(&body, "spec").unwrap_or("null");
        match (request.method(), name) {
            ("GET", None) => {
                let after = parameter("after").unwrap_or_default();
                let objects = self.objects.iter();
                let items: Vec<String> = objects
                    .filter(|((object_kind, name), _)| *object_kind == kind && *name > after)
                    .map(|((_, name), object)| object_text(name, object))
                    .collect();
                let items = items.join(",");
                let revision = self.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}"
                    ),
                )
            }
            ("GET", Some(name)) => match self.objects.get(&(kind, name.clone())) {
                Some(object) => (200, object_text(&name, object)),
                None => (404, "{}".to_owned()),
            },
            ("POST", _) => {
                let name = member(metadata, "name").map(string).unwrap_or_default();
                let key = (kind.clone(), name.clone());
                if self.objects.contains_key(&key) {
                    return (409, "{}".to_owned());
                }
                self.put(&kind, &name, spec);
                (200, object_text(&name, &self.objects[&key]))
            }
            (method @ ("PUT" | "DELETE"), Some(name)) => {
                let key = (kind.clone(), name.clone());
                let Some(object) = self.objects.get(&key) else {
                    return (404, "{}".to_owned());
                };
                if expected.is_some_and(|expected| expected != object.revision) {
                    return (409, object_text(&name, object));
                }
                if method == "DELETE" {
                    self.remove(&kind, &name);
                    return (200, "{}".to_owned());
                }
                self.put(&kind, &name, spec);
                (200, object_text(&name, &self.objects[&key]))
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        Self::start_with(false)
    }

    /// Starts a store that may come back from a copy; its answers state its era.
    pub fn start_with_eras() -> Arc<Self> {
        Self::start_with(true)
    }

    fn start_with(has_eras: bool) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            has_eras,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = Arc::clone(&served);
                std::thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Makes a copy.
    pub fn copy(&self) -> Copy {
        let state = self.state.lock().unwrap();
        Copy {
            revision: state.revision,
            objects: state.objects.clone(),
        }
    }

    /// While true, each call is answered 503.
    pub fn set_away(&self, is_away: bool) {
        self.state.lock().unwrap().is_away = is_away;
        self.changed.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, and revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.events.clear();
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_request(&mut reader)? {
            std::thread::sleep(Duration::from_millis(4));
            let (status, body, era) = match watch_parameters(request.target()) {
                Some((kind, after, wait)) => self.watch(&kind, after, wait),
                None => {
                    let mut state = self.state.lock().unwrap();
                    let (status, body) = if state.is_away {
                        (503, "{}".to_owned())
                    } else {
                        state.answer(&request)
                    };
                    if request.method() != "GET" {
                        self.changed.notify_all();
                    }
                    (status, body, state.era)
                }
            };
            let era = if self.has_eras {
                format!("Store-Era: {era}\r\n")
            } else {
                String::new()
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(body.as_bytes())?;
        }
        Ok(())
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String, u64) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.is_away {
                return (503, "{}".to_owned(), state.era);
            }
            if state.era != era || after > state.revision {
                return (410, "{}".to_owned(), state.era);
            }
            let events = state.events.iter();
            let events = events.filter(|event| event.kind == kind && event.revision > after);
            let events: Vec<&str> = events.map(|event| event.text.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
                return (200, body, state.era);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn watch_parameters(target: &str) -> Option<(String, u64, Duration)> {
    let (path, query) = target.split_once('?')?;
    let kind = path.split('/').nth(2)?.to_owned();
    let mut after = None;
    let mut wait_ms = 0;
    for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        match name {
            "watch" => after = value.parse().ok(),
            "wait_ms" => wait_ms = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    Some((kind, after?, Duration::from_millis(wait_ms)))
}
