//! Stand-in of the platform's store: lists and watches of objects over HTTP/1.1.

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
use std::time::Duration;
use std::time::Instant;

#[derive(Default)]
struct State {
    revision: u64,
    /// Kind and name to revision and spec.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name, spec, deleted.
    history: Vec<(u64, String, String, String, bool)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn object(name: &str, rev: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{rev},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { address: listener.local_addr()?, state: Arc::default() };
        store.state.0.lock().unwrap().revision = 1;
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object, and returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let rev = state.revision;
        state.objects.insert((kind.into(), name.into()), (rev, spec.into()));
        state.history.push((rev, kind.into(), name.into(), spec.into(), false));
        self.state.1.notify_all();
        rev
    }

    /// Deletes an object.
    #[allow(dead_code)]
    pub fn delete(&self, kind: &str, name: &str) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let Some((_, spec)) = state.objects.remove(&(kind.into(), name.into())) else {
            return state.revision;
        };
        state.revision += 1;
        let rev = state.revision;
        state.history.push((rev, kind.into(), name.into(), spec, true));
        self.state.1.notify_all();
        rev
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        loop {
            let mut request = String::new();
            if input.read_line(&mut request).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if input.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let (status, body) = self.answer(request.split(' ').nth(1).unwrap_or(""));
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (&'static str, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let Some(kind) = path.strip_prefix("/api/objects/") else {
            return ("404 Not Found", "{\"error\":\"no such path\"}".into());
        };
        let value = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == key).map(|(_, value)| value.to_owned())
        };
        let Some(since) = value("watch").and_then(|text| text.parse::<u64>().ok()) else {
            let after = value("after").unwrap_or_default();
            let state = self.state.0.lock().unwrap();
            let of_kind = state.objects.iter().filter(|((held, name), _)| held == kind && *name > after);
            let items: Vec<String> = of_kind.map(|((_, name), (rev, spec))| object(name, *rev, spec)).collect();
            return ("200 OK", format!("{{\"items\":[{}],\"has_more\":false,\"at\":{}}}", items.join(","), state.revision));
        };
        let wait = value("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let new = state.history.iter().filter(|(rev, of, ..)| *rev > since && of == kind);
            let events: Vec<String> = new
                .map(|(rev, _, name, spec, deleted)| format!("{{\"object\":{},\"deleted\":{deleted}}}", object(name, *rev, spec)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return ("200 OK", format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
