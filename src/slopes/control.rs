//! Cost of observing the deployment: entry hosts, targets and load reports.

use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

use smol_str::{SmolStr, format_smolstr};

use super::{
    Sizes, Slope,
    fit::Point,
    meter::{self, Scope},
};
use crate::{
    id,
    link::peer::{
        self, Handler, Links,
        wire::{
            ClaimQuestion, ClaimStatus, Configuration, CrashNotice, Demands, DrainQuestion,
            DrainStatus, Heartbeat, Hint, Load, Member, Shares, StopQuestion, StopStatus,
        },
    },
    refresh::Freshness,
    route::{self, Router},
    serve::Fleet,
    settings, standin,
    store::{self, HostList, Kind, Machine, State},
    target::Control,
    utils,
};

/// Entry hosts that send each other heartbeats.
const HOSTS: [usize; 4] = [9, 36, 144, 380];
/// Rounds of heartbeats.
const ROUNDS: usize = 20;
/// Targets in the host list.
const TARGETS: [usize; 4] = [90, 180, 360, 720];
/// Fleets that are held at once, so that their memory stands out from what is reused.
const COPIES: usize = 32;
/// Readings of the host list.
const READINGS: usize = 20;
/// Load reports asked for.
const REPORTS: [usize; 4] = [250, 500, 1_000, 2_000];
/// Time allowed for one heartbeat.
const TIMEOUT: Duration = Duration::from_secs(10);

pub(super) fn measure(sizes: Sizes) -> io::Result<Vec<Slope>> {
    let mut slopes = targets(&sizes.of(&TARGETS))?;
    slopes.extend(heartbeats(&sizes.of(&HOSTS))?);
    slopes.extend(reports(&sizes.of(&REPORTS))?);
    Ok(slopes)
}

fn member(index: usize, peers_address: SocketAddr) -> Member {
    Member {
        host: format_smolstr!("host-{index:03}"),
        incarnation: rand::random(),
        data_centre: SmolStr::new_static("brno-a"),
        callers_address: peers_address,
        peers_address,
        state: State::Live,
    }
}

fn heartbeat(from: Member) -> Heartbeat {
    Heartbeat {
        heard: Some(from.incarnation),
        from,
        version: Some(1),
        freshness: Freshness::Fresh,
        load: Load { connections: 1, capacity: 4_096 },
    }
}

/// Answers heartbeats with its own and nothing else.
struct Peer(Heartbeat);

impl Handler for Peer {
    fn heartbeat(&self, _beat: Heartbeat) -> Heartbeat {
        self.0.clone()
    }

    fn members(&self) -> Vec<Member> {
        Vec::new()
    }

    fn hint(&self, _hint: Hint) {}

    fn configuration(&self, _least: id::Version) -> Option<Configuration> {
        None
    }

    fn claim_status(&self, _question: ClaimQuestion) -> ClaimStatus {
        ClaimStatus::Unknown
    }

    fn drain_status(&self, _question: DrainQuestion) -> DrainStatus {
        DrainStatus::Unseen
    }

    fn stop_status(&self, _question: StopQuestion) -> StopStatus {
        StopStatus::Unknown
    }

    fn shares(&self, _demands: Demands) -> Option<Shares> {
        None
    }

    fn crash(&self, _notice: CrashNotice) {}
}

/// Measures heartbeats to each peer; both ends run here, as both ends of a mesh run on each host.
fn heartbeats(sizes: &[usize]) -> io::Result<Vec<Slope>> {
    let key = peer::handshake::Key::from("slopes");
    let (mut cpu, mut memory) = (Vec::new(), Vec::new());
    let before = meter::resident()?;
    for size in sizes {
        let config =
            peer::Config { key: key.clone(), handshake_timeout: TIMEOUT, idle_timeout: TIMEOUT };
        let links = Links::new(key.clone(), TIMEOUT);
        let (listeners, opening) = meter::measure(Scope::Process, || {
            let listeners: io::Result<Vec<_>> = (0..*size).map(|it| listen(it, &config)).collect();
            let listeners = listeners?;
            round(&links, &listeners)?;
            Ok(listeners)
        })?;
        let (_, beating) = meter::measure(Scope::Process, || {
            (0..ROUNDS).try_for_each(|_| round(&links, &listeners))
        })?;
        let size = *size as f64;
        cpu.push(Point { size, value: beating.cpu_us / ROUNDS as f64 });
        memory.push(Point { size, value: opening.resident - before });
    }
    Ok(vec![
        Slope::new("entry host", "CPU of a round of heartbeats, both ends", "µs", cpu)?,
        Slope::new("entry host", "memory of an open link, both ends", "B", memory)?,
    ])
}

fn listen(index: usize, config: &peer::Config) -> io::Result<peer::Listener> {
    let (listener, address) = utils::bind_loopback()?;
    let handler = Arc::new(Peer(heartbeat(member(index, address))));
    peer::listen(listener, config.clone(), handler)
}

fn round(links: &Links, listeners: &[peer::Listener]) -> io::Result<()> {
    let own = heartbeat(member(0, SocketAddr::from(([127, 0, 0, 1], 1))));
    let beats = listeners.iter().map(|it| (it.address(), own.clone())).collect();
    let answers = links.send_heartbeats(beats).len();
    if answers < listeners.len() {
        return Err(io::Error::other("a heartbeat was not answered"));
    }
    Ok(())
}

fn machine(index: usize) -> Machine {
    Machine {
        name: format_smolstr!("engine-{index:04}"),
        kind: Kind::Engine(format_smolstr!("model-{}", index % 14)),
        data_centre: format_smolstr!("centre-{}", index % 10),
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16)),
        peer_address: None,
        incarnation: rand::random(),
        state: State::Live,
    }
}

/// Measures a reading of the host list: the call, its parsing and what the router makes of it.
fn targets(sizes: &[usize]) -> io::Result<Vec<Slope>> {
    let (mut cpu, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    let mut kept = Vec::new();
    for size in sizes {
        let platform = standin::Platform::start(standin::platform::Config {
            lag: Duration::ZERO,
            dropped_after: Duration::from_secs(3_600),
            ..Default::default()
        })?;
        let client = client(platform.address());
        for index in 0..*size {
            client.report(&machine(index)).map_err(io::Error::other)?;
        }
        let router = Router::new(route::Config::default(), 1);
        let fleet = Fleet::new(router, settings::Targets::default());
        let read = || {
            fleet.update_targets(&client.machines().map_err(io::Error::other)?);
            Ok(())
        };
        let ((), first) = meter::measure(Scope::Thread, || {
            for _ in 0..COPIES {
                let router = Router::new(route::Config::default(), 1);
                let fleet = Fleet::new(router, settings::Targets::default());
                fleet.update_targets(&client.machines().map_err(io::Error::other)?);
                kept.push(fleet);
            }
            Ok(())
        })?;
        read()?;
        let ((), later) = meter::measure(Scope::Thread, || (0..READINGS).try_for_each(|_| read()))?;
        let size = *size as f64;
        cpu.push(Point { size, value: later.cpu_us / READINGS as f64 });
        bytes.push(Point { size, value: later.traffic / READINGS as f64 });
        memory.push(Point { size, value: first.memory / COPIES as f64 });
    }
    Ok(vec![
        Slope::new("target", "CPU of a reading of the host list", "µs", cpu)?,
        Slope::new("target", "bytes of a reading of the host list", "B", bytes)?,
        Slope::new("target", "memory after the first reading", "B", memory)?,
    ])
}

pub(super) fn client(address: SocketAddr) -> store::Client {
    let settings = settings::Platform { address, timeout: TIMEOUT, ..Default::default() };
    store::Client::new(&settings)
}

/// Measures load reports: the call, its parsing and what the router makes of it.
fn reports(sizes: &[usize]) -> io::Result<Vec<Slope>> {
    let engine = standin::Engine::start(standin::engine::Config::default())?;
    let fleet = Fleet::new(Router::new(route::Config::default(), 1), settings::Targets::default());
    let machine = Machine { address: engine.address(), ..machine(0) };
    fleet.update_targets(std::slice::from_ref(&machine));
    let client = fleet.client(&machine.name).ok_or(io::ErrorKind::NotFound)?;
    while client.report().is_err() {
        thread::yield_now();
    }
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for size in sizes {
        let ((), cost) = meter::measure(Scope::Thread, || {
            (0..*size).for_each(|_| fleet.poll_target(&machine.name));
            Ok(())
        })?;
        let size = *size as f64;
        cpu.push(Point { size, value: cost.cpu_us });
        bytes.push(Point { size, value: cost.traffic });
    }
    Ok(vec![
        Slope::new("load report", "CPU of asking for it and for cache events", "µs", cpu)?,
        Slope::new("load report", "bytes of it and of cache events", "B", bytes)?,
    ])
}
