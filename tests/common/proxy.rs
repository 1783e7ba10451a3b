//! TCP proxy whose connections can be refused, cut, or silenced without being closed.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Time between two looks at what the proxy is set to.
const POLL: Duration = Duration::from_millis(2);

/// What a proxy does with bytes and with new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Passes everything on.
    Pass,
    /// Swallows what clients send.
    SilentToServer,
    /// Swallows what the server sends.
    SilentToClient,
    /// Swallows everything.
    Silent,
    /// Refuses new connections; open ones go on.
    Refuse,
}

/// Direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    ToServer,
    ToClient,
}

/// A proxy before one server; dropping it closes everything.
pub(crate) struct Proxy {
    address: SocketAddr,
    core: Arc<Core>,
}

struct Core {
    server: SocketAddr,
    mode: Mutex<Mode>,
    links: Mutex<Vec<Arc<Link>>>,
    accepted: AtomicUsize,
    listening: AtomicBool,
    stopped: AtomicBool,
}

/// One connection through the proxy.
struct Link {
    client: TcpStream,
    server: TcpStream,
    silenced: AtomicBool,
}

impl Proxy {
    /// Starts a proxy that passes everything on to `server`.
    pub(crate) fn start(server: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let core = Arc::new(Core {
            server,
            mode: Mutex::new(Mode::Pass),
            links: Mutex::default(),
            accepted: AtomicUsize::new(0),
            listening: AtomicBool::new(true),
            stopped: AtomicBool::new(false),
        });
        let acceptor = Arc::clone(&core);
        thread::spawn(move || acceptor.accept_all(listener, address));
        Proxy { address, core }
    }

    /// Returns the address that clients connect to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what becomes of bytes and new connections from now on; returns when it is in force.
    pub(crate) fn set(&self, mode: Mode) {
        *self.core.mode.lock().unwrap() = mode;
        let listening = mode != Mode::Refuse;
        super::wait_until("the proxy listens or has stopped to", || {
            self.core.listening.load(Ordering::Acquire) == listening
        });
    }

    /// Silences the connections that are open now, for good; new ones work.
    pub(crate) fn silence_open(&self) {
        for link in self.core.links.lock().unwrap().iter() {
            link.silenced.store(true, Ordering::Release);
        }
    }

    /// Closes the connections that are open now.
    pub(crate) fn cut_open(&self) {
        for link in self.core.links.lock().unwrap().drain(..) {
            link.close();
        }
    }

    /// Returns the number of connections accepted so far.
    pub(crate) fn accepted(&self) -> usize {
        self.core.accepted.load(Ordering::Acquire)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.core.stopped.store(true, Ordering::Release);
        self.cut_open();
    }
}

impl Core {
    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    fn accept_all(self: Arc<Self>, listener: TcpListener, address: SocketAddr) {
        listener.set_nonblocking(true).unwrap();
        let mut listener = Some(listener);
        while !self.is_stopped() {
            match (self.mode(), &listener) {
                (Mode::Refuse, _) => listener = None,
                (_, None) => listener = listen(address).ok(),
                (_, Some(it)) => {
                    if let Ok((client, _)) = it.accept() {
                        self.open(client);
                        continue;
                    }
                }
            }
            self.listening.store(listener.is_some(), Ordering::Release);
            thread::sleep(POLL);
        }
    }

    fn open(self: &Arc<Self>, client: TcpStream) {
        self.accepted.fetch_add(1, Ordering::AcqRel);
        client.set_nonblocking(false).unwrap();
        client.set_nodelay(true).unwrap();
        let Ok(server) = TcpStream::connect(self.server) else {
            return;
        };
        server.set_nodelay(true).unwrap();
        let link = Arc::new(Link { client, server, silenced: AtomicBool::new(false) });
        self.links.lock().unwrap().push(Arc::clone(&link));
        for way in [Way::ToServer, Way::ToClient] {
            let (core, link) = (Arc::clone(self), Arc::clone(&link));
            thread::spawn(move || core.copy(&link, way));
        }
    }

    fn copy(&self, link: &Link, way: Way) {
        let (mut from, mut to) = match way {
            Way::ToServer => (&link.client, &link.server),
            Way::ToClient => (&link.server, &link.client),
        };
        let mut buf = [0; 16 << 10];
        loop {
            let n = from.read(&mut buf).unwrap_or(0);
            if self.is_silent(link, way) {
                // The other end does not even learn that the connection was closed.
                if n == 0 {
                    return;
                }
                continue;
            }
            if n == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&buf[..n]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn is_silent(&self, link: &Link, way: Way) -> bool {
        let by_mode = match self.mode() {
            Mode::Pass | Mode::Refuse => false,
            Mode::Silent => true,
            Mode::SilentToServer => way == Way::ToServer,
            Mode::SilentToClient => way == Way::ToClient,
        };
        by_mode || link.silenced.load(Ordering::Acquire)
    }
}

impl Link {
    fn close(&self) {
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
