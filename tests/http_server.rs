//! The HTTP server: streamed responses, limits and timeouts.

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

/// Time after which a test is considered hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Chunks that together exceed all queues between the handler and a caller.
const CHUNK_COUNT: usize = 192;
/// Size of each of these chunks.
const CHUNK_BYTES: usize = 128 << 10;

/// Streams the chunks that the test passes in, and reports when the caller has disconnected.
struct TestHandler {
    chunks: Mutex<Receiver<&'static str>>,
    events: Sender<&'static str>,
}

impl Handler for TestHandler {
    fn handle(&self, request: Request, responder: Responder) {
        match request.path.as_str() {
            "/echo" => responder.send(Response::new(200, request.body)),
            "/stream" => {
                let mut stream = responder.start_stream(Head::new(200));
                while let Ok(chunk) = self.chunks.lock().unwrap().recv() {
                    stream.send(chunk).unwrap();
                }
                stream.finish();
            }
            "/many" => {
                let mut stream = responder.start_stream(Head::new(200));
                // Sends from a thread outside the runtime, as the scheduler of an engine does.
                let events = self.events.clone();
                let sender = std::thread::spawn(move || {
                    for _ in 0..CHUNK_COUNT {
                        stream.send(vec![b'x'; CHUNK_BYTES]).unwrap();
                        events.send("sent").unwrap();
                    }
                    stream.finish();
                });
                sender.join().unwrap();
            }
            "/cut" => {
                let mut stream = responder.start_stream(Head::new(200));
                stream.send("part").unwrap();
            }
            _ => {
                self.events.send("handled").unwrap();
                while !responder.is_disconnected() {
                    std::thread::yield_now();
                }
                self.events.send("gone").unwrap();
            }
        }
    }
}

/// A server with the test handler, and the test's ends of its channels.
struct Fixture {
    server: Server,
    metrics: Metrics,
    chunk_sender: Option<Sender<&'static str>>,
    events: Receiver<&'static str>,
}

impl Fixture {
    fn start(limits: Limits) -> Fixture {
        let (chunk_sender, chunks) = channel();
        let (event_sender, events) = channel();
        let handler = TestHandler { chunks: Mutex::new(chunks), events: event_sender };
        let metrics = Metrics::local();
        let (listener, _) = utils::bind_loopback().unwrap();
        let server = Server::start(listener, limits, Arc::new(handler), metrics.clone()).unwrap();
        Fixture { server, metrics, chunk_sender: Some(chunk_sender), events }
    }

    fn connect(&self) -> TcpStream {
        connect(self.server.address())
    }

    fn refused(&self, code: &str) -> i64 {
        self.metrics.counters().get(&*format!("refused.{code}")).copied().unwrap_or(0)
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream
}

fn send(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

/// Reads until the server closes the connection.
fn read_to_close(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn short_timeouts() -> Limits {
    let timeout = Duration::from_millis(200);
    Limits {
        header_timeout: timeout,
        body_timeout: timeout,
        idle_timeout: timeout,
        ..Limits::default()
    }
}

#[test]
fn chunk_flushed() {
    let mut fixture = Fixture::start(Limits::default());
    let stream = fixture.connect();
    send(&stream, "GET /stream HTTP/1.1\r\nhost: a\r\n\r\n");
    let chunk_sender = fixture.chunk_sender.take().unwrap();
    chunk_sender.send("first").unwrap();
    let mut lines = BufReader::new(&stream).lines().map(Result::unwrap);
    assert!(lines.any(|it| it == "first"));
    chunk_sender.send("second").unwrap();
    drop(chunk_sender);
    assert!(lines.any(|it| it == "second"));
    assert!(lines.any(|it| it == "0"), "the stream must end with the last chunk");
}

#[test]
fn slow_reader_awaited() {
    let fixture = Fixture::start(Limits::default());
    let stream = fixture.connect();
    send(&stream, "GET /many HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    // The caller starts to read once the full queues have stopped the sender.
    let pause = Duration::from_millis(300);
    assert_eq!(fixture.events.recv_timeout(HANG_TIMEOUT), Ok("sent"));
    let sent = 1 + std::iter::from_fn(|| fixture.events.recv_timeout(pause).ok()).count();
    assert!(sent < CHUNK_COUNT, "the queues held the whole response");
    let text = read_to_close(&stream);
    assert_eq!(text.matches('x').count(), CHUNK_COUNT * CHUNK_BYTES);
    assert!(text.ends_with("0\r\n\r\n"), "the stream must end with the last chunk");
}

#[test]
fn unfinished_stream_cut() {
    let fixture = Fixture::start(Limits::default());
    let stream = fixture.connect();
    send(&stream, "GET /cut HTTP/1.1\r\nhost: a\r\n\r\n");
    let text = read_to_close(&stream);
    assert!(text.contains("part"));
    assert!(!text.ends_with("0\r\n\r\n"), "a cut stream must not look complete");
}

#[test]
fn slow_header() {
    let fixture = Fixture::start(short_timeouts());
    let stream = fixture.connect();
    send(&stream, "GET /echo HTTP/1.1\r\nhost:");
    assert!(read_to_close(&stream).starts_with("HTTP/1.1 408"));
    assert_eq!(fixture.refused("header-timeout"), 1);
}

#[test]
fn slow_body() {
    let fixture = Fixture::start(short_timeouts());
    let stream = fixture.connect();
    send(&stream, "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc");
    let text = read_to_close(&stream);
    assert!(text.starts_with("HTTP/1.1 408") && text.contains("body-timeout"), "{text}");
    assert_eq!(fixture.refused("body-timeout"), 1);
}

#[test]
fn large_header() {
    let fixture = Fixture::start(Limits { max_header_bytes: 1000, ..Limits::default() });
    let stream = fixture.connect();
    let filler = "f".repeat(1000);
    send(&stream, &format!("GET /echo HTTP/1.1\r\nhost: a\r\nfiller: {filler}\r\n\r\n"));
    let text = read_to_close(&stream);
    assert!(text.starts_with("HTTP/1.1 431") && text.contains("not-run"), "{text}");
    assert_eq!(fixture.refused("header-too-large"), 1);
}

#[test]
fn large_body() {
    let fixture = Fixture::start(Limits { max_body_bytes: 8, ..Limits::default() });
    let stream = fixture.connect();
    send(&stream, "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabcdefghi");
    let text = read_to_close(&stream);
    assert!(text.starts_with("HTTP/1.1 413") && text.contains("not-run"), "{text}");
    assert_eq!(fixture.refused("body-too-large"), 1);
}

#[test]
fn idle_closed() {
    let fixture = Fixture::start(short_timeouts());
    let stream = fixture.connect();
    send(&stream, "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc");
    assert!(read_to_close(&stream).ends_with("abc"));
    assert_eq!(fixture.refused("idle-timeout"), 1);
}

#[test]
fn connections_capped() {
    let fixture = Fixture::start(Limits { max_connections: 1, ..Limits::default() });
    let first = fixture.connect();
    send(&first, "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc");
    let mut byte = [0];
    (&first).read_exact(&mut byte).unwrap();
    let second = fixture.connect();
    assert!(read_to_close(&second).contains("too-many-connections"));
    assert_eq!(fixture.refused("too-many-connections"), 1);
}

#[test]
fn caller_disconnects() {
    let fixture = Fixture::start(Limits::default());
    let stream = fixture.connect();
    send(&stream, "GET /wait HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(fixture.events.recv_timeout(HANG_TIMEOUT), Ok("handled"));
    stream.shutdown(Shutdown::Both).unwrap();
    assert_eq!(fixture.events.recv_timeout(HANG_TIMEOUT), Ok("gone"));
}

#[test]
fn garbage_refused() {
    let fixture = Fixture::start(Limits::default());
    let stream = fixture.connect();
    send(&stream, "\u{1}\u{2}garbage\r\n\r\n");
    assert!(read_to_close(&stream).starts_with("HTTP/1.1 400"));
}

#[test]
fn stop_closes() {
    let fixture = Fixture::start(Limits::default());
    let stream = fixture.connect();
    send(&stream, "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc");
    let mut byte = [0];
    (&stream).read_exact(&mut byte).unwrap();
    fixture.server.stop();
    assert!(read_to_close(&stream).ends_with("abc"));
    while TcpStream::connect(fixture.server.address()).is_ok() {}
}

/// Connections that waited to be accepted when the server stopped were reset, with the requests that
/// their callers had sent.
#[test]
fn stop_with_queue() {
    for round in 0..200 {
        let fixture = Fixture::start(Limits::default());
        let callers: Vec<TcpStream> = (0..16).map(|_| fixture.connect()).collect();
        callers.iter().for_each(|it| send(it, "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n"));
        fixture.server.stop();
        for caller in &callers {
            let got = read_to_close(caller);
            assert!(got.starts_with("HTTP/1.1 200"), "round {round}: {got:?}");
        }
    }
}
