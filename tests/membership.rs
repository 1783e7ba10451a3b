//! Hosts of one process against the stand-in platform: joining, edits and a table that is down.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use fuchsiaknot::{
    contract::{
        Lists,
        store::{Edit, Error, Outcome, Store},
    },
    host::{Membership, Own},
    link::peer::{
        self, Config, Handler, Links, Listener, proof,
        wire::{
            ClaimQuestion, ClaimStatus, Configuration, CrashNotice, Demands, DrainQuestion,
            DrainStatus, Heartbeat, Hint, Load, Member, Shares, StopQuestion, StopStatus,
        },
    },
    platform::{Client, State},
    refresh::{Freshness, Refresh},
    settings,
    standin::{self, platform::Faults},
    timer::Timer,
    utils,
};

const HANG_GUARD: Duration = Duration::from_secs(60);
const SECRET: &str = "a shared secret of the hosts";

struct Host {
    membership: Membership<Client>,
    refresh: Refresh<Client, Client>,
    _listener: Listener,
    _timer: Timer,
}

struct Peer {
    membership: Membership<Client>,
    refresh: Refresh<Client, Client>,
}

impl Handler for Peer {
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat {
        self.membership.hear(&beat)
    }
    fn members(&self) -> Vec<Member> {
        self.membership.members()
    }
    fn hint(&self, hint: Hint) {
        self.refresh.hint(hint.version);
    }
    fn configuration(&self, least: u64) -> Option<Configuration> {
        let edition = self.refresh.edition();
        (least <= edition.version).then(|| Configuration::from(&edition))
    }
    fn claim_status(&self, _: ClaimQuestion) -> ClaimStatus {
        ClaimStatus::Unknown
    }
    fn drain_status(&self, _: DrainQuestion) -> DrainStatus {
        DrainStatus::Unseen
    }
    fn stop_status(&self, _: StopQuestion) -> StopStatus {
        StopStatus::Unknown
    }
    fn shares(&self, _: Demands) -> Option<Shares> {
        None
    }
    fn crash(&self, _: CrashNotice) {}
}

fn client(platform: &standin::Platform) -> Client {
    Client::new(&settings::Platform { address: platform.address(), ..Default::default() })
}

fn host(platform: &standin::Platform, name: &str) -> Host {
    let peers = settings::Peers { heartbeat: Duration::from_millis(100), ..Default::default() };
    let (listener, peers_address) = utils::free_listener().unwrap();
    let own = Member {
        host: name.into(),
        incarnation: rand::random(),
        data_centre: "brno-a".into(),
        callers_address: peers_address,
        peers_address,
        state: State::Live,
    };
    let key = proof::Key::from(SECRET);
    let links = Links::new(key.clone(), Duration::from_secs(5));
    let client = client(platform);
    let membership = Membership::new(own, client.clone(), links, &peers);
    let store = Store::new(client.clone(), client);
    let refresh = Refresh::new(store, membership.clone(), Duration::from_secs(600));
    let described = refresh.clone();
    membership.describe(move || Own {
        version: Some(described.contract().version).filter(|it| 0 < *it),
        freshness: described.freshness(),
        load: Load::default(),
    });
    let handler = Peer { membership: membership.clone(), refresh: refresh.clone() };
    let config = Config { key, proof_time: HANG_GUARD, idle_time: HANG_GUARD };
    let listener = peer::listen(listener, config, Arc::new(handler)).unwrap();
    let timer = Timer::new();
    membership.start(&timer, &peers);
    refresh.start(&timer, Duration::from_millis(200));
    Host { membership, refresh, _listener: listener, _timer: timer }
}

fn wait(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < HANG_GUARD, "never: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn lists(weight: u32) -> Lists {
    Lists { limits: format!("[plan gold]\nweight = {weight}\n"), ..Lists::default() }
}

fn edit(from: u64, weight: u32) -> Edit {
    let token = rand::random();
    Edit { from, lists: lists(weight), author: "test".into(), edited_ms: 0, token }
}

fn fault(platform: &standin::Platform, faults: &Faults) {
    let url = format!("http://{}/faults", platform.address());
    ureq::post(url).send_json(faults).unwrap();
}

fn platform() -> standin::Platform {
    standin::Platform::start(standin::platform::Config::default()).unwrap()
}

#[test]
fn hosts_join_and_follow() {
    let platform = platform();
    let hosts = ["a", "b", "c"].map(|it| host(&platform, it));
    wait("all fresh", || hosts.iter().all(|it| it.refresh.freshness() == Freshness::Fresh));
    wait("all known", || hosts.iter().all(|it| it.membership.choose(None, 1).hosts.len() == 3));
    let outcome = hosts[0].refresh.store().edit(&edit(0, 2)).unwrap();
    assert_eq!(outcome, Outcome::Stored(1));
    hosts[0].membership.hint(&Hint { row: "config/current".into(), version: 1 });
    wait("in force", || hosts.iter().all(|it| it.refresh.contract().version == 1));
    hosts[2].membership.leave();
    wait("left out", || hosts[..2].iter().all(|it| it.membership.choose(None, 1).hosts.len() == 2));
}

#[test]
fn start_without_platform() {
    let platform = platform();
    let hosts = ["a", "b", "d"].map(|it| host(&platform, it));
    hosts[0].refresh.store().edit(&edit(0, 2)).unwrap();
    wait("in force", || hosts.iter().all(|it| it.refresh.contract().version == 1));
    wait("all known", || hosts.iter().all(|it| it.membership.choose(None, 1).hosts.len() == 3));
    fault(&platform, &Faults { table_down: true, ..Faults::default() });
    let late = host(&platform, "c");
    wait("stale", || late.refresh.freshness() == Freshness::Stale);
    assert_eq!(late.refresh.contract().version, 1);
    fault(&platform, &Faults::default());
    wait("fresh", || late.refresh.freshness() == Freshness::Fresh);
}

#[test]
fn later_edit_conflicts() {
    let platform = platform();
    let store = Store::new(client(&platform), client(&platform));
    assert_eq!(store.edit(&edit(0, 2)).unwrap(), Outcome::Stored(1));
    let Outcome::Conflict { current, difference } = store.edit(&edit(0, 3)).unwrap() else {
        panic!("two edits from one version were both stored");
    };
    assert_eq!(current, 1);
    assert!(difference.to_string().contains("+ [plan gold] weight = 2"), "{difference}");
    assert_eq!(store.current().unwrap().lists, lists(2));
}

#[test]
fn lost_answer_read_back() {
    let platform = platform();
    let store = Store::new(client(&platform), client(&platform));
    for from in 0..3 {
        let lost = Faults { lose_answers: 1, lose_prefix: "config/".into(), ..Faults::default() };
        fault(&platform, &lost);
        assert_eq!(store.edit(&edit(from, 2)).unwrap(), Outcome::Stored(from + 1));
    }
    let history = store.history(10).unwrap();
    assert_eq!(history.iter().map(|it| it.version).collect::<Vec<_>>(), [3, 2, 1]);
}

#[test]
fn down_table_stores_nothing() {
    let platform = platform();
    let store = Store::new(client(&platform), client(&platform));
    fault(&platform, &Faults { table_down: true, ..Faults::default() });
    assert!(matches!(store.edit(&edit(0, 2)), Err(Error::NotStored(_))));
    fault(&platform, &Faults::default());
    assert_eq!(store.current().unwrap().version, 0);
}

#[test]
fn large_lists_kept() {
    let platform = platform();
    let store = Store::new(client(&platform), client(&platform));
    let limits = (0..4_000).map(|it| format!("[plan p{it}]\nweight = 1\n")).collect();
    let large = Lists { limits, ..Lists::default() };
    assert!(fuchsiaknot::contract::store::ROW_BYTES < large.limits.len());
    let edit = Edit { lists: large.clone(), ..edit(0, 1) };
    assert_eq!(store.edit(&edit).unwrap(), Outcome::Stored(1));
    assert_eq!(store.current().unwrap().lists, large);
}

#[test]
fn faulty_lists_refused() {
    let platform = platform();
    let store = Store::new(client(&platform), client(&platform));
    let limits = "[plan gold]\nweight = none\n".into();
    let edit = Edit { lists: Lists { limits, ..Lists::default() }, ..edit(0, 1) };
    assert!(matches!(store.edit(&edit), Err(Error::Invalid(faults)) if faults.len() == 1));
    assert_eq!(store.current().unwrap().version, 0);
}
