//! Heartbeats between the entry hosts, as datagrams.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    context::Context,
    dispatch::{Reply, Request, RequestNumber},
    dispatcher,
    load::Work,
    membership::{Change, Heartbeat, ROUND_INTERVAL},
    registry, slowness, store_sync,
    watch::Update,
};
use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};

/// Bytes of a datagram at most.
const MAX_DATAGRAM: usize = 16 * 1024;

/// Interval in which changes of this host's work are gathered before the dispatcher is last_report.
const WORK_BATCH_DELAY: Duration = Duration::from_millis(4);
/// Interval at which the dispatcher is last_report all of this host's work, in case a change was lost.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
pub enum Packet {
    /// A host tells that it is there.
    Heartbeat(Heartbeat),
    /// A host wants a heartbeat in return.
    Probe(Heartbeat),
    /// A host found another one down.
    HostDown(id::Host),
    /// All of a host's work, with the last grant that it includes, and paces as it measured them.
    FullWork(id::Host, u64, Vec<(id::Target, Work)>, slowness::Report),
    /// What changed of a host's work, with the last grant that it includes.
    WorkChanges(id::Host, u64, Vec<(id::Target, Work)>),
    /// What a host saw of the configuration: its number.
    ConfigurationUpdate(Update<Option<id::Version>>),
    /// What a host saw of the targets: each change with the store's version.
    TargetUpdate(Update<Vec<(id::Version, registry::Change)>>),
    /// A request broke off at a target.
    AttemptBroken(id::Fingerprint, id::Target),
    /// A host asks where a request goes.
    Ask(id::Host, Request),
    /// A dispatcher's word about a request.
    Verdict(id::Host, RequestNumber, Reply),
}

/// Returns what this host tells of itself now.
fn heartbeat(context: &Context) -> Heartbeat {
    let (state, now) = (context.state(), clock::now());
    let can_dispatch = !context.is_shutting_down() && state.is_fresh(now);
    Heartbeat {
        host: context.settings.host.clone(),
        ready: context.is_ready(),
        leaving: context.is_shutting_down(),
        can_dispatch,
        store_unreachable: state.is_store_unreachable(),
        claim_age: state.membership.claim_age(now).filter(|_| can_dispatch),
    }
}

/// Sends a datagram to a host; returns whether it went out.
pub fn send(context: &Context, host: &id::Host, packet: &Packet) -> bool {
    let Some(address) = context.state().membership.peer_address(host) else { return false };
    send_to(context, &[address], packet)
}

/// Sends a datagram to every host that is there.
pub fn send_to_all(context: &Context, packet: &Packet) {
    let addresses: Vec<SocketAddr> = context.state().membership.peer_addresses().collect();
    send_to(context, &addresses, packet);
}

/// Sends a datagram to some addresses; returns whether all went out.
fn send_to(context: &Context, addresses: &[SocketAddr], packet: &Packet) -> bool {
    let Some(socket) = context.peer_socket() else { return false };
    let bytes = match postcard::to_stdvec(packet) {
        Ok(bytes) => bytes,
        Err(err) => {
            tracing::error!(code = 8023, %err, "cannot write a datagram");
            return false;
        }
    };
    let mut sent = true;
    for address in addresses {
        if let Err(err) = socket.try_send_to(&bytes, *address) {
            tracing::debug!(%address, %err, "a datagram was not sent");
            sent = false;
        }
    }
    sent
}

/// Tells the dispatcher of this host's work, forever.
pub async fn report_work(context: Rc<Context>) {
    let mut last_report =
        LastReport { dispatcher: context.settings.host.name.clone(), at: clock::now() };
    loop {
        tokio::select! {
            () = context.work_changed.notified() => sleep(WORK_BATCH_DELAY).await,
            () = sleep(FULL_REPORT_INTERVAL) => {}
        }
        if let Some(packet) = last_report.next(&context) {
            send(&context, &last_report.dispatcher, &packet);
        }
    }
}

/// What a dispatcher was last_report last.
struct LastReport {
    dispatcher: id::Host,
    /// When it was last_report everything.
    at: Moment,
}

impl LastReport {
    /// Returns what the dispatcher is to be last_report now; `None` when that is this host.
    fn next(&mut self, context: &Context) -> Option<Packet> {
        let now = clock::now();
        let own = context.settings.host.name.clone();
        let mut state = context.state_mut();
        let changed = state.board.take_changed();
        let dispatcher = state.membership.dispatcher().clone();
        if dispatcher == own {
            state.paces.take_own();
            self.dispatcher = dispatcher;
            return None;
        }
        let seen = context.last_grant(&dispatcher);
        let is_whole = dispatcher != self.dispatcher || self.at + FULL_REPORT_INTERVAL <= now;
        let samples = if is_whole { state.paces.take_own() } else { Vec::new() };
        let name = |key| state.registry.get(key).map(|it| it.id.clone());
        if is_whole {
            *self = LastReport { dispatcher, at: now };
            let all = state.board.all_own();
            let work = all.filter_map(|(key, work)| Some((name(key)?, work)));
            let (work, samples) = (work.collect(), samples.into_iter());
            let paces = samples.filter_map(|(key, sample)| Some((name(key)?, sample)));
            return Some(Packet::FullWork(own, seen, work, paces.collect()));
        }
        let work = changed.into_iter().filter_map(|key| Some((name(key)?, state.board.own(key))));
        Some(Packet::WorkChanges(own, seen, work.collect()))
    }
}

/// Sends and hears heartbeats, until the socket fails.
///
/// # Errors
/// Fails when the port cannot be bound or read.
pub async fn run(context: Rc<Context>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(context.settings.host.peer_address).await?);
    context.set_peer_socket(Some(Rc::clone(&socket)));
    let sender = tokio::task::spawn_local(send_heartbeats(Rc::clone(&context)));
    let heard = receive_packets(&context, &socket).await;
    context.set_peer_socket(None);
    sender.abort();
    heard
}

async fn send_heartbeats(context: Rc<Context>) {
    let mut last = None;
    loop {
        elect_dispatcher(&context);
        let beat = heartbeat(&context);
        // A claim that only grew older is no news.
        let news =
            Some(Heartbeat { claim_age: beat.claim_age.map(|_| Duration::ZERO), ..beat.clone() });
        let tick = context.state_mut().membership.tick(clock::now());
        let round = context.state_mut().membership.next_round();
        if news == last {
            send_to(&context, &round, &Packet::Heartbeat(beat.clone()));
        } else {
            send_to_all(&context, &Packet::Heartbeat(beat.clone()));
        }
        last = news;
        send_to(&context, &tick.probe, &Packet::Probe(beat));
        for host in tick.report {
            send_to_all(&context, &Packet::HostDown(host));
        }
        record_changes(&context, tick.down.into_iter().map(Change::Down));
        tokio::select! {
            () = sleep(ROUND_INTERVAL) => {}
            () = context.shutdown_started.notified() => {}
        }
    }
}

async fn receive_packets(context: &Rc<Context>, socket: &UdpSocket) -> io::Result<()> {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(err) => return Err(err),
        };
        match postcard::from_bytes::<Packet>(&buffer[..length]) {
            Ok(packet) => handle_packet(context, packet),
            Err(err) => tracing::debug!(%sender, %err, "a heartbeat cannot be read"),
        }
    }
}

fn handle_packet(context: &Rc<Context>, packet: Packet) {
    match packet {
        Packet::Heartbeat(beat) => handle_heartbeat(context, beat),
        Packet::Probe(asking) => {
            send_to(context, &[asking.host.peer_address], &Packet::Heartbeat(heartbeat(context)));
            handle_heartbeat(context, asking);
        }
        Packet::HostDown(host) => {
            let asked = context.state_mut().membership.handle_down_report(&host, clock::now());
            send_to(context, asked.as_slice(), &Packet::Probe(heartbeat(context)));
        }
        Packet::FullWork(host, seen, work, paces) => {
            let (mut state, now) = (context.state_mut(), clock::now());
            state.board.replace_peer(host.clone(), work.into_iter().collect(), now);
            for (target, sample) in paces {
                if let Some(key) = state.registry.key(&target) {
                    state.paces.record_summary(key, sample, now);
                }
            }
            state.board.acknowledge_grants(&host, seen);
            drop(state);
            dispatcher::wake(context);
        }
        Packet::WorkChanges(host, seen, work) => {
            let mut state = context.state_mut();
            state.board.update_peer(&host, work, clock::now());
            state.board.acknowledge_grants(&host, seen);
            drop(state);
            dispatcher::wake(context);
        }
        Packet::ConfigurationUpdate(update) => {
            store_sync::handle_configuration_update(context, &update)
        }
        Packet::TargetUpdate(update) => store_sync::handle_target_update(context, update),
        Packet::AttemptBroken(request, target) => {
            context.state_mut().poison.record_interrupted_run(request, target, clock::now());
        }
        Packet::Ask(host, ask) => dispatcher::handle_request(context, host, ask),
        Packet::Verdict(host, number, verdict) => {
            dispatcher::handle_reply(context, host, number, verdict)
        }
    }
}

fn handle_heartbeat(context: &Context, beat: Heartbeat) {
    let change = context.state_mut().membership.handle_heartbeat(beat, clock::now());
    record_changes(context, change);
}

/// Chooses the dispatcher anew where that is due, and has it last_report of this host's work.
fn elect_dispatcher(context: &Context) {
    let can_dispatch = heartbeat(context).can_dispatch;
    let changed = context.state_mut().membership.elect_dispatcher(can_dispatch, clock::now());
    if changed {
        let host = context.state().membership.dispatcher().clone();
        tracing::info!(code = 8025, %host, "requests are placed by another host");
        context.work_changed.notify_one();
    }
}

fn record_changes(context: &Context, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        match change {
            Change::Up(host) => tracing::info!(code = 8026, %host, "host up"),
            Change::Down(host) => {
                context.state_mut().board.forget_peer(&host);
                dispatcher::forget_host(context, &host);
                tracing::warn!(code = 8027, %host, "host down; callers are no longer sent to it");
            }
        }
    }
    context.metrics.host_count.set(context.state().membership.live_count() as i64);
}
