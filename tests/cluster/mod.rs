//! Starts several entry hosts in one process with the stand-in platform, for several test files.

#![allow(dead_code, missing_docs, unreachable_pub)]

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use fuchsiaknot::{
    configuration::store::Store,
    host::{Membership, OwnState},
    link::peer::{
        self, Config, Handler, Links, Listener, handshake,
        wire::{
            ClaimQuestion, ClaimStatus, Configuration, CrashNotice, Demands, DrainQuestion,
            DrainStatus, Heartbeat, Hint, Load, Member, Shares, StopQuestion, StopStatus,
        },
    },
    refresh::Refresher,
    settings,
    standin::{self, platform::Faults},
    store::{Client, State},
    timer::Timer,
    utils,
};

pub const HANG_GUARD: Duration = Duration::from_secs(60);
pub const CONFIGURATION_BOUND: Duration = Duration::from_secs(600);
const PEERS_KEY: &str = "a shared secret of the hosts";

pub struct Host {
    pub membership: Membership<Client>,
    pub refresh: Refresher<Client, Client>,
    pub timer: Timer,
    _listener: Listener,
}

struct PeerHandler {
    membership: Membership<Client>,
    refresh: Refresher<Client, Client>,
}

impl Handler for PeerHandler {
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat {
        self.membership.receive_heartbeat(&beat)
    }
    fn members(&self) -> Vec<Member> {
        self.membership.members()
    }
    fn hint(&self, hint: Hint) {
        self.refresh.hint(hint.version);
    }
    fn configuration(&self, least: u64) -> Option<Configuration> {
        let lists = self.refresh.versioned_lists();
        (least <= lists.version).then(|| Configuration::from(&lists))
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

pub fn platform_client(platform: &standin::Platform) -> Client {
    Client::new(&settings::Platform { address: platform.address(), ..Default::default() })
}

pub fn start_host(platform: &standin::Platform, name: &str) -> Host {
    let peers = settings::Peers { heartbeat: Duration::from_millis(100), ..Default::default() };
    let (listener, peers_address) = utils::bind_loopback().unwrap();
    let own = Member {
        host: name.into(),
        incarnation: rand::random(),
        data_centre: "brno-a".into(),
        callers_address: peers_address,
        peers_address,
        state: State::Live,
    };
    let key = handshake::Key::from(PEERS_KEY);
    let links = Links::new(key.clone(), Duration::from_secs(5));
    let client = platform_client(platform);
    let membership = Membership::new(own, client.clone(), links, &peers, CONFIGURATION_BOUND);
    let store = Store::new(client.clone(), client);
    let refresh = Refresher::new(store, membership.clone(), CONFIGURATION_BOUND);
    let state_source = refresh.clone();
    membership.set_state_provider(move || OwnState {
        version: Some(state_source.configuration().version).filter(|it| 0 < *it),
        freshness: state_source.freshness(),
        load: Load::default(),
    });
    let handler = PeerHandler { membership: membership.clone(), refresh: refresh.clone() };
    let config = Config { key, handshake_timeout: HANG_GUARD, idle_timeout: HANG_GUARD };
    let listener = peer::listen(listener, config, Arc::new(handler)).unwrap();
    let timer = Timer::new();
    membership.start(&timer, &peers);
    refresh.start(&timer, Duration::from_millis(200));
    Host { membership, refresh, _listener: listener, timer }
}

pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < HANG_GUARD, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn set_faults(platform: &standin::Platform, faults: &Faults) {
    let url = format!("http://{}/faults", platform.address());
    ureq::post(url).send_json(faults).unwrap();
}

pub fn start_platform() -> standin::Platform {
    standin::Platform::start(standin::platform::Config::default()).unwrap()
}
