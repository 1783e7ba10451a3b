//! A link to the store that can be cut: while it is, nothing passes, and new connections hang.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::bind;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Interval at which a link looks whether it is cut.
const CHECK: Duration = Duration::from_millis(2);
/// Connections that fill the queue of the link's port, so that the kernel drops further attempts.
const FILLERS: usize = 4;

/// A link between a host and a server.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    listener: Arc<TcpListener>,
    fillers: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Starts a link to a server.
    pub fn start(server: SocketAddr) -> Link {
        let (listener, address) = bind();
        listener.set_nonblocking(true).expect("a listener");
        let link = Link {
            address,
            is_cut: Arc::default(),
            listener: Arc::new(listener),
            fillers: Arc::default(),
        };
        let accepting = link.clone();
        thread::spawn(move || {
            loop {
                if !accepting.is_cut.load(Ordering::SeqCst)
                    && let Ok((stream, _)) = accepting.listener.accept()
                {
                    let _ = stream.set_nonblocking(false);
                    accepting.connect(stream, server);
                    continue;
                }
                thread::sleep(CHECK);
            }
        });
        link
    }

    fn connect(&self, host: TcpStream, server: SocketAddr) {
        let Ok(server) = TcpStream::connect(server) else { return };
        let _ = (host.set_nodelay(true), server.set_nodelay(true));
        for (from, to) in [(&host, &server), (&server, &host)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let link = self.clone();
            thread::spawn(move || link.forward(from, to));
        }
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let read = from.read(&mut buffer);
            while self.is_cut.load(Ordering::SeqCst) {
                thread::sleep(CHECK);
            }
            match read {
                Ok(0) | Err(_) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(length) if to.write_all(&buffer[..length]).is_err() => return,
                Ok(_) => {}
            }
        }
    }

    fn set_backlog(&self, backlog: i32) {
        // SAFETY: a call without memory, on a socket that is open.
        unsafe {
            listen(self.listener.as_raw_fd(), backlog);
        }
    }

    /// Cuts the link.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(CHECK * 2);
        self.set_backlog(0);
        let address = self.address;
        let connect = move || TcpStream::connect_timeout(&address, Duration::from_millis(20)).ok();
        let fillers = (0..FILLERS).filter_map(|_| connect()).collect();
        *self.fillers.lock().expect("fillers") = fillers;
    }

    /// Heals the link.
    pub fn heal(&self) {
        self.fillers.lock().expect("fillers").clear();
        self.set_backlog(128);
        self.is_cut.store(false, Ordering::SeqCst);
    }
}
