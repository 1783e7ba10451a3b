//! The streaming HTTP port and its bounds.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

use fuchsiaknot::{
    link::http_server::{Handler, Head, Limits, Request, Responder, Response, Server},
    metric::Metrics,
    utils,
};

/// Time after which a test counts as hung.
const HANG: Duration = Duration::from_secs(30);

/// Pieces that fill every queue on the way to a caller.
const MANY: usize = 192;
/// Bytes of such a piece.
const LARGE: usize = 128 << 10;

/// Streams pieces as the test releases them, and reports when a caller went away.
struct Held {
    release: Mutex<Receiver<&'static str>>,
    event: Sender<&'static str>,
}

impl Handler for Held {
    fn handle(&self, request: Request, reply: Responder) {
        match request.path.as_str() {
            "/echo" => reply.send(Response::new(200, request.body)),
            "/stream" => {
                let mut stream = reply.start_stream(Head::new(200));
                while let Ok(piece) = self.release.lock().unwrap().recv() {
                    stream.send(piece).unwrap();
                }
                stream.finish();
            }
            "/many" => {
                let mut stream = reply.start_stream(Head::new(200));
                // A thread that the port's runtime does not know, like an engine's scheduler.
                let event = self.event.clone();
                let sender = std::thread::spawn(move || {
                    for _ in 0..MANY {
                        stream.send(vec![b'x'; LARGE]).unwrap();
                        event.send("sent").unwrap();
                    }
                    stream.finish();
                });
                sender.join().unwrap();
            }
            "/cut" => {
                let mut stream = reply.start_stream(Head::new(200));
                stream.send("part").unwrap();
            }
            _ => {
                self.event.send("handled").unwrap();
                while !reply.is_disconnected() {
                    std::thread::yield_now();
                }
                self.event.send("gone").unwrap();
            }
        }
    }
}

struct Port {
    front: Server,
    metrics: Metrics,
    release: Option<Sender<&'static str>>,
    event: Receiver<&'static str>,
}

impl Port {
    fn start(bounds: Limits) -> Port {
        let (release, released) = channel();
        let (event, events) = channel();
        let handler = Held { release: Mutex::new(released), event };
        let metrics = Metrics::local();
        let (listener, _) = utils::free_listener().unwrap();
        let front = Server::start(listener, bounds, Arc::new(handler), metrics.clone()).unwrap();
        Port { front, metrics, release: Some(release), event: events }
    }

    fn connect(&self) -> TcpStream {
        connect(self.front.address())
    }

    fn refused(&self, code: &str) -> i64 {
        self.metrics.counters().get(&*format!("refused.{code}")).copied().unwrap_or(0)
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(HANG)).unwrap();
    stream
}

fn send(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

/// Reads until the other side closes.
fn rest(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn short() -> Limits {
    let bound = Duration::from_millis(200);
    Limits { header_timeout: bound, body_timeout: bound, idle_timeout: bound, ..Limits::default() }
}

#[test]
fn piece_flushed() {
    let mut port = Port::start(Limits::default());
    let stream = port.connect();
    send(&stream, "GET /stream HTTP/1.1\r\nhost: a\r\n\r\n");
    let release = port.release.take().unwrap();
    release.send("first").unwrap();
    let mut lines = BufReader::new(&stream).lines().map(Result::unwrap);
    assert!(lines.any(|it| it == "first"));
    release.send("second").unwrap();
    drop(release);
    assert!(lines.any(|it| it == "second"));
    assert!(lines.any(|it| it == "0"), "the stream must carry its end mark");
}

#[test]
fn slow_reader_awaited() {
    let port = Port::start(Limits::default());
    let stream = port.connect();
    send(&stream, "GET /many HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    // The caller reads once the sender has stopped for want of room.
    let pause = Duration::from_millis(300);
    assert_eq!(port.event.recv_timeout(HANG), Ok("sent"));
    let sent = 1 + std::iter::from_fn(|| port.event.recv_timeout(pause).ok()).count();
    assert!(sent < MANY, "the queues took the whole answer");
    let text = rest(&stream);
    assert_eq!(text.matches('x').count(), MANY * LARGE);
    assert!(text.ends_with("0\r\n\r\n"), "the stream must carry its end mark");
}

#[test]
fn unfinished_cut() {
    let port = Port::start(Limits::default());
    let stream = port.connect();
    send(&stream, "GET /cut HTTP/1.1\r\nhost: a\r\n\r\n");
    let text = rest(&stream);
    assert!(text.contains("part"));
    assert!(!text.ends_with("0\r\n\r\n"), "a cut stream must not look complete");
}

#[test]
fn slow_header() {
    let port = Port::start(short());
    let stream = port.connect();
    send(&stream, "GET /echo HTTP/1.1\r\nhost:");
    assert!(rest(&stream).starts_with("HTTP/1.1 408"));
    assert_eq!(port.refused("header-timeout"), 1);
}

#[test]
fn slow_body() {
    let port = Port::start(short());
    let stream = port.connect();
    send(&stream, "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc");
    let text = rest(&stream);
    assert!(text.starts_with("HTTP/1.1 408") && text.contains("body-timeout"), "{text}");
    assert_eq!(port.refused("body-timeout"), 1);
}

#[test]
fn large_header() {
    let port = Port::start(Limits { max_header_bytes: 1000, ..Limits::default() });
    let stream = port.connect();
    let filler = "f".repeat(1000);
    send(&stream, &format!("GET /echo HTTP/1.1\r\nhost: a\r\nfiller: {filler}\r\n\r\n"));
    let text = rest(&stream);
    assert!(text.starts_with("HTTP/1.1 431") && text.contains("not-run"), "{text}");
    assert_eq!(port.refused("header-too-large"), 1);
}

#[test]
fn large_body() {
    let port = Port::start(Limits { max_body_bytes: 8, ..Limits::default() });
    let stream = port.connect();
    send(&stream, "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabcdefghi");
    let text = rest(&stream);
    assert!(text.starts_with("HTTP/1.1 413") && text.contains("not-run"), "{text}");
    assert_eq!(port.refused("body-too-large"), 1);
}

#[test]
fn idle_closed() {
    let port = Port::start(short());
    let stream = port.connect();
    send(&stream, "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc");
    assert!(rest(&stream).ends_with("abc"));
    assert_eq!(port.refused("idle-timeout"), 1);
}

#[test]
fn connections_capped() {
    let port = Port::start(Limits { max_connections: 1, ..Limits::default() });
    let first = port.connect();
    send(&first, "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc");
    let mut byte = [0];
    (&first).read_exact(&mut byte).unwrap();
    let second = port.connect();
    assert!(rest(&second).contains("too-many-connections"));
    assert_eq!(port.refused("too-many-connections"), 1);
}

#[test]
fn caller_gone() {
    let port = Port::start(Limits::default());
    let stream = port.connect();
    send(&stream, "GET /wait HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(port.event.recv_timeout(HANG), Ok("handled"));
    stream.shutdown(Shutdown::Both).unwrap();
    assert_eq!(port.event.recv_timeout(HANG), Ok("gone"));
}

#[test]
fn garbage_refused() {
    let port = Port::start(Limits::default());
    let stream = port.connect();
    send(&stream, "\u{1}\u{2}garbage\r\n\r\n");
    assert!(rest(&stream).starts_with("HTTP/1.1 400"));
}

#[test]
fn stop_closes() {
    let port = Port::start(Limits::default());
    let stream = port.connect();
    send(&stream, "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc");
    let mut byte = [0];
    (&stream).read_exact(&mut byte).unwrap();
    port.front.stop();
    assert!(rest(&stream).ends_with("abc"));
    while TcpStream::connect(port.front.address()).is_ok() {}
}
