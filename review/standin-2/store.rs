//! The platform's store: lists and watches of objects, over HTTP/1.1. Writes come from the stand-ins in this process.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Objects in a page of a list.
const PAGE: usize = 50;

#[derive(Default)]
struct State {
    revision: u64,
    /// By kind and name: the revision and the spec.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name, and the spec; whether it was deleted.
    history: Vec<(u64, String, String, String, bool)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| format!("store: {error}"))?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let state = Arc::new((Mutex::new(State { revision: 10, ..State::default() }), Condvar::new()));
        let store = Self { address, state };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object. A write that changes nothing has no effect. Returns the revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, held)) = state.objects.get(&key) {
            if held == spec {
                return *revision;
            }
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, (revision, spec.to_owned()));
        state.history.push((revision, kind.into(), name.into(), spec.into(), false));
        changed.notify_all();
        revision
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some((_, spec)) = state.objects.remove(&key) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        state.history.push((revision, kind.into(), name.into(), spec, true));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut lines = BufReader::new(stream).lines();
        loop {
            let Some(Ok(request)) = lines.next() else {
                return;
            };
            while let Some(Ok(line)) = lines.next() {
                if line.is_empty() {
                    break;
                }
            }
            let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
            let (status, body) = self.answer(&path);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (&'static str, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let Some(kind) = path.strip_prefix("/api/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        match value("watch").and_then(|since| since.parse().ok()) {
            Some(since) => {
                let wait = value("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                ("200 OK", self.watch(kind, since, Duration::from_millis(wait)))
            }
            None => ("200 OK", self.list(kind, &value("after").unwrap_or_default())),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((held, name), _)| held == kind && name.as_str() > after);
        let mut items: Vec<String> = of_kind
            .take(PAGE + 1)
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        format!("{{\"items\":[{}],\"has_more\":{has_more},\"at\":{}}}", items.join(","), state.revision)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let (lock, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = lock.lock().unwrap();
        loop {
            let of_kind = state.history.iter().filter(|change| change.0 > since && change.1 == kind);
            let events: Vec<String> = of_kind
                .map(|(revision, _, name, spec, deleted)| {
                    format!("{{\"deleted\":{deleted},\"object\":{}}}", object(name, *revision, spec))
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{spec},\"status\":null}}"
    )
}
