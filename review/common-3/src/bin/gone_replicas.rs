//! A host is cut off from the store while a replica leaves. How long does it send requests there once it
//! is in touch again? Several installations of one host each are played side by side.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use review_common_3::{
    Random, Verdict,
    client::Connection,
    cut::Link,
    entry::{self, Entry},
    has_trouble, http,
    record::Record,
    replica::{Arrival, Next, Replica},
    request_id,
    store::Store,
    wait_until,
};

const HOST: &str = "index.example";
/// Installations, which share nothing.
const INSTALLATIONS: usize = 4;
const ROUNDS: usize = 12;
/// Length of a round, and of the cut in it, in seconds.
const ROUND: f64 = 8.7;
const CUT: f64 = 4.0;
/// Time before the end of the cut at which a replica's entry is removed.
const LEAVES_BEFORE: f64 = 0.5;
/// Time for which it goes on serving after that.
const SERVES: f64 = 6.0;
/// `DrainMs` and `ContactMs`, in seconds.
const DRAIN: f64 = 2.0;
const CONTACT: f64 = 3.0;
const REPLICAS: usize = 3;
const CLIENTS: usize = 20;
const PERIOD: Duration = Duration::from_millis(300);
const WORK: Duration = Duration::from_millis(15);

static RANDOM: Random = Random::new(0);

#[derive(Default)]
struct Times {
    /// Removal of each replica's entry.
    removed: BTreeMap<String, f64>,
    /// Start and end of the last cut.
    cut: Option<(f64, f64)>,
}

struct World {
    /// Number of the installation.
    number: usize,
    record: Arc<Record>,
    is_ended: AtomicBool,
    times: Mutex<Times>,
    /// Late requests: how long after the removal, and after the end of the cut.
    late: Mutex<Vec<(f64, f64)>>,
}

fn configuration() -> String {
    format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"publish\",\"Host\":\"{HOST}\",\"Prefix\":\"/publish/\",\
         \"Kind\":\"non_idempotent\",\"TimeoutMs\":800,\"TargetLatencyMs\":100,\"Priority\":2,\
         \"Service\":\"index-app\",\"MaxAttempts\":1}}],\"Services\":[{{\"Name\":\"index-app\",\
         \"HealthPath\":\"/health\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    )
}

fn answer(world: &World, replica: &Replica, arrival: Arrival, mut stream: TcpStream) -> Next {
    let request = arrival.request;
    let id = request.header("x-request-id").unwrap_or_default();
    let now = world.record.seconds();
    let mut note = String::new();
    {
        let times = world.times.lock().expect("times");
        let healed = times.cut.map_or(0.0, |(_, to)| to);
        let is_in_touch = times.cut.is_none_or(|(from, to)| now < from || to + CONTACT <= now);
        if let Some(removed) = times.removed.get(&replica.id) {
            if removed + SERVES < now {
                return Next::Close;
            }
            note = format!(" {:.3} s after its entry was removed", now - removed);
            if removed + DRAIN < now && is_in_touch {
                note.push_str(&format!(", {:.3} s after the cut: late", now - healed));
                world.late.lock().expect("late").push((now - removed, now - healed));
            }
        }
    }
    world.record.line(format!("run {} {id}{note}", replica.id));
    thread::sleep(WORK);
    let signature = format!("sig.{}.{id}", replica.id);
    let headers = [("X-Request-Id", id), ("X-Server-Signature", signature.as_str())];
    match http::respond(&mut stream, 200, &headers, b"published") {
        Ok(()) => Next::Keep(stream),
        Err(_) => Next::Close,
    }
}

fn send_requests(world: &World, host: SocketAddr) {
    let mut kept: Option<Connection> = None;
    thread::sleep(PERIOD.mul_f64(RANDOM.unit()));
    while !world.is_ended.load(Ordering::Relaxed) {
        let id = request_id();
        let connection = kept.take().map_or_else(|| Connection::open(host), Ok);
        let Ok(mut connection) = connection else { continue };
        world.record.line(format!("sent {id}"));
        let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1500")];
        let response = connection
            .send("POST", HOST, "/publish/1", &headers, id.as_bytes())
            .and_then(|()| connection.receive(Duration::from_millis(1500)));
        match response {
            Ok(it) => {
                world.record.line(format!("answered {id} {}", it.status()));
                kept = Some(connection);
            }
            Err(err) => world.record.line(format!("answered {id} none, {:?}", err.kind())),
        }
        thread::sleep(PERIOD.mul_f64(0.5 + RANDOM.unit()));
    }
}

fn start_replica(world: &Arc<World>, store: &Store, number: usize) -> Replica {
    let served = Arc::clone(world);
    let id = format!("i-{:x}-{number:06x}", world.number);
    Replica::start(store, &id, "index-app", "bud-a", 6, None, move |replica, arrival, stream| {
        answer(&served, replica, arrival, stream)
    })
}

/// Plays one installation.
fn run(number: usize, record: Arc<Record>, temporary: &Path) -> Verdict {
    let world = Arc::new(World {
        number,
        record,
        is_ended: AtomicBool::new(false),
        times: Mutex::default(),
        late: Mutex::default(),
    });
    let store = Store::start();
    store.put("op", "config", &configuration());
    let link = Link::start(store.address);
    let mut replicas: Vec<Replica> =
        (0..REPLICAS).map(|it| start_replica(&world, &store, it)).collect();
    thread::sleep(Duration::from_millis(100));
    let name = format!("front-{number}");
    let host = Entry::start(&name, "bud-a", link.address, temporary, &entry::settings());
    let is_ready = host.wait_until_ready()
        && wait_until(Duration::from_secs(10), || host.log_lines("target added").len() == REPLICAS);
    if is_ready {
        play(&world, &store, &link, &host, &mut replicas)
    } else {
        world.record.tell(format!("{name} did not become ready"));
        Verdict::NotRun
    }
}

fn play(
    world: &Arc<World>,
    store: &Store,
    link: &Link,
    host: &Entry,
    replicas: &mut Vec<Replica>,
) -> Verdict {
    let front = host.front();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let world = Arc::clone(world);
            thread::spawn(move || send_requests(&world, front))
        })
        .collect();
    let start = world.record.seconds() + 2.0;
    for round in 0..ROUNDS {
        let from = start + round as f64 * ROUND;
        sleep_until(world, from - 1.5);
        replicas.push(start_replica(world, store, REPLICAS + round));
        // The moment of a cut is any: up to a second earlier or later.
        let to = from + CUT + 0.5 * RANDOM.unit();
        sleep_until(world, from);
        if has_trouble() {
            world.times.lock().expect("times").cut = Some((world.record.seconds(), f64::MAX));
            link.cut();
            world.record.line(format!("trouble: {} is cut off from the store", host.name));
        }
        sleep_until(world, to - LEAVES_BEFORE);
        let leaving = replicas.remove(0);
        leaving.stop_beating();
        // A heartbeat that is under way is written before the entry is removed.
        thread::sleep(Duration::from_millis(10));
        store.remove("servers", &leaving.id);
        let now = world.record.seconds();
        world.times.lock().expect("times").removed.insert(leaving.id.clone(), now);
        world.record.line(format!("the entry of {} is removed", leaving.id));
        sleep_until(world, to);
        if has_trouble() {
            link.heal();
            let now = world.record.seconds();
            if let Some((_, to)) = &mut world.times.lock().expect("times").cut {
                *to = now;
            }
            world.record.line(format!("trouble of {} ends", host.name));
        }
    }
    sleep_until(world, start + ROUNDS as f64 * ROUND);
    world.is_ended.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    for line in host.log_lines("target gone").iter().chain(&host.log_lines("store available again"))
    {
        world.record.line(format!("log of {}: {line}", host.name));
    }
    let late = world.late.lock().expect("late");
    let most = late.iter().fold(0.0f64, |most, it| most.max(it.0));
    world.record.tell(format!(
        "installation {}: requests that reached a replica over {DRAIN} s after its entry was removed, from the host in touch: {}, up to {most:.3} s after it",
        world.number,
        late.len()
    ));
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}

fn sleep_until(world: &World, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - world.record.seconds()).max(0.0)));
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Arc::new(Record::create(&Path::new(&folder).join("record.txt")));
    let temporary = std::env::temp_dir().join(format!("review-gone-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let played: Vec<_> = (1..=INSTALLATIONS)
        .map(|number| {
            let (record, temporary) = (Arc::clone(&record), temporary.clone());
            thread::spawn(move || run(number, record, &temporary))
        })
        .collect();
    let verdicts: Vec<Verdict> =
        played.into_iter().map(|it| it.join().unwrap_or(Verdict::NotRun)).collect();
    let _ = std::fs::remove_dir_all(&temporary);
    let verdict = [Verdict::NotRun, Verdict::Broken].into_iter().find(|it| verdicts.contains(it));
    let verdict = verdict.unwrap_or(Verdict::Held);
    println!("{verdict:?}");
    exit(verdict.code());
}
