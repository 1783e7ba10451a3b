//! The platform's store: rows with versions, transactions and the feed of changes.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    bind,
    http::{self, Message},
    json::{self, Value},
};

type RowId = (String, String, String);

#[derive(Debug, Default)]
struct Tables {
    version: u64,
    /// Base64 value and version.
    rows: BTreeMap<RowId, (String, u64)>,
    /// All changes; `None` for a dropped row.
    history: Vec<(u64, RowId, Option<String>)>,
}

impl Tables {
    fn write(&mut self, id: RowId, value: Option<String>) {
        match &value {
            Some(text) => {
                self.rows.insert(id.clone(), (text.clone(), self.version));
            }
            None => {
                self.rows.remove(&id);
            }
        }
        self.history.push((self.version, id, value));
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Tables>, Condvar)>,
    started: Instant,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Store {
        let (listener, address) = bind();
        let store = Store { address, shared: Arc::default(), started: Instant::now() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or a replica does; returns its version.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.change(table, key, Some(json::base64(value.as_bytes())))
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.change(table, key, None)
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut tables = self.shared.0.lock().expect("store");
        tables.version += 1;
        tables.write((table.to_owned(), String::new(), key.to_owned()), value);
        self.shared.1.notify_all();
        tables.version
    }

    /// Returns the number of rows of a table.
    pub fn count(&self, table: &str) -> usize {
        let tables = self.shared.0.lock().expect("store");
        tables.rows.keys().filter(|it| it.0 == table).count()
    }

    fn now_ms(&self) -> u64 {
        1000 + self.started.elapsed().as_millis() as u64
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameters: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let parameter = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/-/rows-get") => {
                let limit = parameter("Limit").parse().unwrap_or(500usize).min(500);
                self.rows(
                    &parameter("Table"),
                    &parameter("part"),
                    &parameter("From"),
                    &parameter("To"),
                    limit,
                )
            }
            ("GET", "/-/rows-feed") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = parameter("WaitMs").parse().unwrap_or(0).min(30_000);
                self.feed(&parameter("Table"), after, Duration::from_millis(wait))
            }
            ("POST", "/-/rows-tx") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                json::parse(&body).map_or((400, "{}".to_owned()), |it| self.transact(&it))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn rows(&self, table: &str, part: &str, from: &str, to: &str, limit: usize) -> (u16, String) {
        let tables = self.shared.0.lock().expect("store");
        let matching = tables.rows.iter().filter(|((in_table, in_part, key), _)| {
            in_table == table
                && in_part == part
                && from <= key.as_str()
                && (to.is_empty() || key.as_str() < to)
        });
        let mut list: Vec<String> = matching
            .take(limit + 1)
            .map(|(id, (value, version))| row(id, Some(value), *version))
            .collect();
        let has_more = limit < list.len();
        list.truncate(limit);
        let body = format!(
            "{{\"Rows\":[{}],\"MorePages\":{has_more},\"Ver\":{},\"NowMs\":{}}}",
            list.join(","),
            tables.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut tables = self.shared.0.lock().expect("store");
        loop {
            let start = tables.history.partition_point(|it| it.0 <= after);
            let changed: Vec<String> = tables.history[start..]
                .iter()
                .filter(|(_, id, _)| id.0 == table)
                .map(|(version, id, value)| row(id, value.as_ref(), *version))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":{}}}",
                    changed.join(","),
                    tables.version,
                    self.now_ms()
                );
                return (200, body);
            }
            tables = self.shared.1.wait_timeout(tables, left).expect("store").0;
        }
    }

    fn transact(&self, body: &Value) -> (u16, String) {
        let id = |it: &Value| {
            let field = |name: &str| it.get(name).map(Value::text).unwrap_or_default().to_owned();
            (field("Table"), field("part"), field("Key"))
        };
        let entries = |name: &str| body.get(name).map(Value::items).unwrap_or_default().to_vec();
        let mut tables = self.shared.0.lock().expect("store");
        let written = entries("Puts").into_iter().chain(entries("Remove"));
        if written.into_iter().any(|it| ["op", "servers"].contains(&id(&it).0.as_str())) {
            return (403, "{}".to_owned());
        }
        let expected = entries("ExpectedRevision");
        let differs = expected.iter().any(|it| {
            let version = it.get("Ver").map(Value::number).unwrap_or_default();
            tables.rows.get(&id(it)).map_or(0, |row| row.1) != version
        });
        if differs {
            let rows: Vec<String> = expected
                .iter()
                .filter_map(|it| {
                    let id = id(it);
                    tables.rows.get(&id).map(|(value, version)| row(&id, Some(value), *version))
                })
                .collect();
            let body = format!(
                "{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":{}}}",
                rows.join(","),
                tables.version,
                self.now_ms()
            );
            return (412, body);
        }
        tables.version += 1;
        for it in entries("Puts") {
            let value = it.get("Value").map(Value::text).unwrap_or_default().to_owned();
            tables.write(id(&it), Some(value));
        }
        for it in entries("Remove") {
            tables.write(id(&it), None);
        }
        self.shared.1.notify_all();
        (200, format!("{{\"Ver\":{},\"NowMs\":{}}}", tables.version, self.now_ms()))
    }
}

fn row((table, part, key): &RowId, value: Option<&String>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"Value\":{}", json::quote(value)),
        None => "\"Deleted\":true".to_owned(),
    };
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},{content},\"Ver\":{version}}}",
        json::quote(table),
        json::quote(part),
        json::quote(key)
    )
}

/// Decodes the value of a query parameter.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
