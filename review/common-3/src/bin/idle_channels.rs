//! A route that is added later, to replicas with little work, which for a time drop channels that are
//! idle. Are its requests served afterwards?

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_common_3::{
    Random, Verdict,
    client::Connection,
    entry::{self, Entry},
    has_trouble,
    http::{self, Message},
    plain_replica::{Arrival, Next, Replica},
    record::Record,
    request_id,
    store::Store,
    wait_until,
};

const HOST: &str = "index.example";
const REPLICAS: usize = REPLICAS_PER_ZONE * ZONES.len();
const ZONES: [&str; 3] = ["bud-a", "bud-b", "bud-c"];
const WORK: Duration = Duration::from_millis(15);
/// Idle time that the replicas state in their answers.
const KEEP_ALIVE: &str = "timeout=5";
/// Idle time after which they drop a channel during the trouble.
const DROPPED_AFTER: Duration = Duration::from_millis(500);
const REPLICAS_PER_ZONE: usize = 3;
const SERVICE: &str = "index-app";
/// Clients on the first route, which look up a batch together, and the seconds between two batches.
const CLIENTS: usize = 54;
const BATCH_PERIOD: f64 = 4.0;
/// Largest time within a batch between its start and that of a lookup.
const BATCH_SPREAD: Duration = Duration::from_millis(20);
/// Mean time between two looks of the client on the new route.
const WATCH_PERIOD: Duration = Duration::from_millis(1000);
/// Start and end of the trouble, in seconds.
const TROUBLE: (f64, f64) = (9.0, 29.0);
/// Time at which the manifest with the new route is sent.
const CHANGE: f64 = 4.0;
/// `ConfigApplyMs` and `ContactMs`, in seconds.
const CONFIG_APPLY: f64 = 2.0;
const CONTACT: f64 = 3.0;
const END: f64 = 62.0;
/// Number of requests on the new route from which the rule holds.
const FEWEST: usize = 20;

static RANDOM: Random = Random::new(0);

/// One client attempt on a route.
struct Attempt {
    at: f64,
    is_new_route: bool,
    is_served: bool,
}

struct World {
    record: Record,
    is_ended: AtomicBool,
    /// Whether the replicas drop idle channels now.
    is_dropping: AtomicBool,
    /// Times at which requests on dropped channels were reset.
    resets: Mutex<Vec<f64>>,
    attempts: Mutex<Vec<Attempt>>,
    statuses: Mutex<BTreeMap<(bool, String), usize>>,
}

fn configuration(version: u32) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"Prefix\":\"{prefix}\",\"Kind\":\"idempotent\",\
             \"TimeoutMs\":800,\"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"{SERVICE}\",\
             \"MaxAttempts\":2}}"
        )
    };
    let mut routes = vec![route("lookup", "/lookup/")];
    if 1 < version {
        routes.push(route("status", "/status/"));
    }
    let service = format!(
        "{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}}"
    );
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{service}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

fn answer(world: &World, replica: &Replica, arrival: Arrival, mut stream: TcpStream) -> Next {
    let Arrival { request, earlier, idle } = arrival;
    let id = request.header("x-request-id").unwrap_or_default();
    if world.is_dropping.load(Ordering::Relaxed) && 0 < earlier && DROPPED_AFTER <= idle {
        // The channel was dropped without notice: what is sent on it is reset, and not run.
        world.resets.lock().expect("resets").push(world.record.seconds());
        world.record.line(format!(
            "reset {} {id} {} after {} ms idle",
            replica.id,
            request.target(),
            idle.as_millis()
        ));
        http::reset(stream);
        return Next::Close;
    }
    thread::sleep(WORK);
    world.record.line(format!("run {} {id} {}", replica.id, request.target()));
    let signature = format!("sig.{}.{id}", replica.id);
    let headers = [
        ("X-Request-Id", id),
        ("X-Server-Signature", signature.as_str()),
        ("Keep-Alive", KEEP_ALIVE),
    ];
    match http::respond(&mut stream, 200, &headers, request.target().as_bytes()) {
        Ok(()) => Next::Keep(stream),
        Err(_) => Next::Close,
    }
}

/// Sends one client attempt, on the kept channel if there is one.
fn attempt(
    world: &World,
    hosts: &[SocketAddr],
    kept: &mut Option<Connection>,
    path: &str,
) -> io::Result<Message> {
    let id = request_id();
    let mut connection = match kept.take() {
        Some(it) => it,
        None => Connection::open(hosts[RANDOM.below(hosts.len())])?,
    };
    let at = world.record.seconds();
    world.record.line(format!("sent {id} {path}"));
    let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1500")];
    let result = connection
        .send("GET", HOST, path, &headers, b"")
        .and_then(|()| connection.receive(Duration::from_millis(1500)));
    let shown = match &result {
        Ok(it) if it.header("x-server-signature").is_some() => it.status().to_string(),
        Ok(it) => format!("{} of the system, {}", it.status(), String::from_utf8_lossy(&it.body)),
        Err(err) => format!("none, {:?}", err.kind()),
    };
    world.record.line(format!("answered {id} {shown}"));
    let is_new_route = path.starts_with("/status/");
    let is_served = result.as_ref().is_ok_and(|it| {
        it.status() == 200
            && it.header("x-server-signature").is_some()
            && it.body == path.as_bytes()
    });
    world.attempts.lock().expect("attempts").push(Attempt { at, is_new_route, is_served });
    *world.statuses.lock().expect("statuses").entry((is_new_route, shown)).or_default() += 1;
    if result.as_ref().is_ok_and(|it| it.header("connection") != Some("close")) {
        *kept = Some(connection);
    }
    result
}

/// Sends a request, and once more if it failed.
fn send_request(world: &World, hosts: &[SocketAddr], kept: &mut Option<Connection>, path: &str) {
    let result = attempt(world, hosts, kept, path);
    // A client repeats an idempotent request after any failure, on a new channel.
    let is_final = result
        .as_ref()
        .is_ok_and(|it| it.status() < 300 || [400, 401, 404, 413, 431].contains(&it.status()));
    if !is_final {
        let wait = result.ok().and_then(|it| it.header("retry-after")?.parse::<f64>().ok());
        thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.0).min(0.5)));
        *kept = None;
        let _ = attempt(world, hosts, kept, path);
    }
}

/// Looks up one entry in each batch until the end.
fn look_up(world: &World, hosts: &[SocketAddr], start: f64) {
    let mut kept = None;
    for batch in 0.. {
        sleep_until(world, start + f64::from(batch) * BATCH_PERIOD);
        if world.is_ended.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(BATCH_SPREAD.mul_f64(RANDOM.unit()));
        let path = format!("/lookup/{:06x}", RANDOM.next() & 0xff_ffff);
        send_request(world, hosts, &mut kept, &path);
    }
}

/// Looks at the board until the end.
fn watch(world: &World, hosts: &[SocketAddr]) {
    let mut kept = None;
    while !world.is_ended.load(Ordering::Relaxed) {
        let started = Instant::now();
        send_request(world, hosts, &mut kept, "/status/board");
        let period = WATCH_PERIOD.mul_f64(0.5 + RANDOM.unit());
        thread::sleep(period.saturating_sub(started.elapsed()));
    }
}

fn run(folder: &Path) -> Verdict {
    let record = Record::create(&folder.join("record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-idle-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let world = Arc::new(World {
        record,
        is_ended: AtomicBool::new(false),
        is_dropping: AtomicBool::new(false),
        resets: Mutex::default(),
        attempts: Mutex::default(),
        statuses: Mutex::default(),
    });
    let store = Store::start();
    store.put("op", "config", &configuration(1));
    for number in 0..REPLICAS {
        let (served, zone) = (Arc::clone(&world), ZONES[number % ZONES.len()]);
        let id = format!("i-{SERVICE}-{number}");
        Replica::start(&store, &id, SERVICE, zone, 6, None, move |replica, arrival, stream| {
            answer(&served, replica, arrival, stream)
        });
    }
    thread::sleep(Duration::from_millis(100));
    let start_host = |(number, zone): (usize, &&str)| {
        let name = format!("front-{zone}-{}", number + 1);
        Entry::start(&name, zone, store.address, &temporary, &entry::settings())
    };
    let hosts: Vec<Entry> = ZONES.iter().enumerate().map(start_host).collect();
    let fronts: Vec<_> = hosts.iter().map(Entry::front).collect();
    let are_ready = hosts.iter().all(Entry::wait_until_ready)
        && wait_until(Duration::from_secs(10), || {
            hosts.iter().all(|it| {
                it.log_lines("target added").len() == REPLICAS && it.log_lines("host up").len() == 2
            })
        });
    let verdict = if are_ready {
        play(&world, &store, &fronts)
    } else {
        world.record.tell("the hosts did not become ready");
        Verdict::NotRun
    };
    for it in &hosts {
        for line in
            it.log_lines("crashes targets").iter().chain(&it.log_lines("no longer refusing"))
        {
            world.record.line(format!("log of {}: {line}", it.name));
        }
    }
    drop(hosts);
    let _ = std::fs::remove_dir_all(&temporary);
    verdict
}

fn play(world: &Arc<World>, store: &Store, fronts: &[SocketAddr]) -> Verdict {
    let start = world.record.seconds();
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let (world, fronts) = (Arc::clone(world), fronts.to_vec());
        clients.push(thread::spawn(move || look_up(&world, &fronts, start)));
    }
    sleep_until(world, start + CHANGE);
    store.put("op", "config", &configuration(2));
    world.record.line("manifest 2 with the route /status/ is acknowledged");
    let changed = world.record.seconds();
    sleep_until(world, changed + CONFIG_APPLY);
    {
        let (world, fronts) = (Arc::clone(world), fronts.to_vec());
        clients.push(thread::spawn(move || watch(&world, &fronts)));
    }
    sleep_until(world, start + TROUBLE.0);
    let trouble_from = world.record.seconds();
    if has_trouble() {
        world.record.line("trouble: the replicas drop channels that are idle, without notice");
        world.is_dropping.store(true, Ordering::Relaxed);
    }
    sleep_until(world, start + TROUBLE.1);
    world.is_dropping.store(false, Ordering::Relaxed);
    world.record.line("trouble ends");
    let trouble_to = world.record.seconds() + CONTACT;
    sleep_until(world, start + END);
    world.is_ended.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    judge(world, changed + CONFIG_APPLY, (trouble_from, trouble_to))
}

/// Compares the routes over the steady state: without the trouble and `ContactMs` after it.
fn judge(world: &World, from: f64, (trouble_from, trouble_to): (f64, f64)) -> Verdict {
    let attempts = world.attempts.lock().expect("attempts");
    let is_steady = |at: f64| from <= at && (at < trouble_from || trouble_to <= at);
    let count = |is_new: bool| {
        let of_route =
            || attempts.iter().filter(|it| it.is_new_route == is_new && is_steady(it.at));
        (of_route().count(), of_route().filter(|it| it.is_served).count())
    };
    let ((first, first_served), (later, later_served)) = (count(false), count(true));
    for ((is_new, shown), count) in world.statuses.lock().expect("statuses").iter() {
        let route = if *is_new { "/status/" } else { "/lookup/" };
        world.record.tell(format!("{route}: {count} x {shown}"));
    }
    let resets = world.resets.lock().expect("resets");
    let last = resets.last().copied().unwrap_or_default();
    world.record.tell(format!(
        "requests reset on idle channels: {}, the last at {last:.1} s",
        resets.len()
    ));
    let share = |served: usize, of: usize| served as f64 / of.max(1) as f64;
    let (first_share, later_share) = (share(first_served, first), share(later_served, later));
    world.record.tell(format!(
        "steady state: first route {first_served} of {first} served ({first_share:.3}), later route {later_served} of {later} ({later_share:.3})"
    ));
    let is_broken = FEWEST <= later && later_share < first_share / 4.0;
    if is_broken { Verdict::Broken } else { Verdict::Held }
}

fn sleep_until(world: &World, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - world.record.seconds()).max(0.0)));
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let verdict = run(Path::new(&folder));
    println!("{verdict:?}");
    exit(verdict.code());
}
