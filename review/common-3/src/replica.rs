//! Replicas that announce themselves in the store and serve requests.

use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    bind,
    http::{self, Message},
    json,
    store::Store,
    unix_ms,
};

/// A request, and what the connection did before it.
pub struct Arrival {
    pub request: Message,
    /// Number of earlier requests on the connection.
    pub earlier: usize,
    /// Time since the connection's last answer, or since it was opened.
    pub idle: Duration,
}

/// What becomes of a connection after a request.
pub enum Next {
    Keep(TcpStream),
    Close,
}

/// A running replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    stage: Option<String>,
    born: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    is_beating: Arc<AtomicBool>,
    is_down: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Replica {
    /// Starts a replica that answers with `handle`, and writes its entry every 1.2 seconds.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        stage: Option<&str>,
        handle: impl Fn(&Replica, Arrival, TcpStream) -> Next + Send + Sync + 'static,
    ) -> Replica {
        let (listener, address) = bind();
        let replica = Replica {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            stage: stage.map(str::to_owned),
            born: Arc::new(AtomicU64::new(unix_ms())),
            sequence: Arc::default(),
            is_beating: Arc::new(AtomicBool::new(true)),
            is_down: Arc::default(),
            open: Arc::default(),
        };
        let (served, handle) = (replica.clone(), Arc::new(handle));
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if served.is_down.load(Ordering::SeqCst) {
                    listener = None;
                    thread::sleep(Duration::from_millis(2));
                    continue;
                }
                let bound = match listener.take() {
                    Some(it) => it,
                    None => TcpListener::bind(address).expect("the replica's address is free"),
                };
                bound.set_nonblocking(true).expect("a listener");
                if let Ok((stream, _)) = bound.accept() {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(stream) = stream.try_clone() {
                        served.open.lock().expect("connections").push(stream);
                    }
                    let (served, handle) = (served.clone(), Arc::clone(&handle));
                    thread::spawn(move || {
                        let peer = stream.peer_addr().ok();
                        served.serve(stream, handle.as_ref());
                        // Only the last handle that goes closes, or resets, the connection.
                        let mut open = served.open.lock().expect("connections");
                        open.retain(|it| it.peer_addr().ok() != peer);
                    });
                } else {
                    thread::sleep(Duration::from_millis(1));
                }
                listener = Some(bound);
            }
        });
        let (beating, store) = (replica.clone(), store.clone());
        thread::spawn(move || {
            while beating.is_beating.load(Ordering::Relaxed) {
                if !beating.is_down() {
                    beating.announce(&store, "ready");
                }
                thread::sleep(Duration::from_millis(1200));
            }
        });
        replica
    }

    /// Writes the replica's entry.
    pub fn announce(&self, store: &Store, state: &str) {
        let sequence = 1 + self.sequence.fetch_add(1, Ordering::Relaxed);
        let stage = self.stage.as_ref().map(|it| format!(",\"Stage\":{}", json::quote(it)));
        let entry = format!(
            "{{\"Service\":{},\"Address\":\"{}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":{},\
             \"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{}{}}}",
            json::quote(&self.service),
            self.address,
            json::quote(&self.zone),
            self.slots,
            self.born.load(Ordering::Relaxed),
            stage.unwrap_or_default()
        );
        store.put("servers", &self.id, &entry);
    }

    /// Closes all connections and refuses new ones for a time; then another lifetime begins under the
    /// same identifier.
    pub fn crash(&self, store: &Store, down: Duration) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (replica, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(down);
            replica.restart();
            replica.is_down.store(false, Ordering::SeqCst);
            replica.announce(&store, "ready");
        });
    }

    /// Returns whether the replica is down.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn restart(&self) {
        self.born.store(unix_ms(), Ordering::Relaxed);
        self.sequence.store(0, Ordering::Relaxed);
    }

    /// Stops writing the entry.
    pub fn stop_beating(&self) {
        self.is_beating.store(false, Ordering::Relaxed);
    }

    fn serve(
        &self,
        stream: TcpStream,
        handle: &(impl Fn(&Replica, Arrival, TcpStream) -> Next + Send + Sync),
    ) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let (mut earlier, mut idle_since) = (0, Instant::now());
        while let Ok(head) = http::read_head(&mut reader) {
            let idle = idle_since.elapsed();
            let mut request = head;
            if http::read_body(&mut reader, &mut request).is_err() {
                return;
            }
            let expected = request.header("x-expect-instance").is_some_and(|it| it != self.id);
            if expected {
                let headers = [("X-Instance-Id", self.id.as_str())];
                if http::respond(&mut writer, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            if request.method() == "DELETE" && request.target().starts_with("/-/") {
                if http::respond(&mut writer, 200, &[], b"").is_err() {
                    return;
                }
                continue;
            }
            let Ok(given) = writer.try_clone() else { return };
            match handle(self, Arrival { request, earlier, idle }, given) {
                Next::Keep(_) => {}
                Next::Close => return,
            }
            (earlier, idle_since) = (earlier + 1, Instant::now());
        }
    }
}
