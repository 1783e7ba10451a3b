//! Heartbeats between the entry hosts, as datagrams.

use std::{collections::HashMap, io, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    context::Context,
    desk,
    dispatch::{Ask, Number, Verdict},
    load::Work,
    membership::{Change, Heartbeat, Host},
};
use fuchsiaknot_core::{clock, id};

/// Interval of heartbeats among few hosts; a host counts as down after several missed ones.
const INTERVAL: Duration = Duration::from_millis(150);
/// Hosts up to which the interval stays; beyond it grows with their number.
const FEW_HOSTS: usize = 16;
/// Heartbeats after which a host that is not there is tried once.
const ABSENT_EVERY: u64 = 7;
/// Bytes of a datagram at most.
const MAX_DATAGRAM: usize = 16 * 1024;

/// Interval in which changes of this host's work are gathered before the dispatcher is told.
const GATHER: Duration = Duration::from_millis(4);

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
pub enum Packet {
    /// A host tells that it is there, and what it has under way.
    Beat(Beat),
    /// What changed of a host's work, with the last grant that it includes.
    Changes(id::Host, u64, Vec<(id::Target, Work)>),
    /// A request broke off at a target.
    Broke(id::Fingerprint, id::Target),
    /// A host asks where a request goes.
    Ask(id::Host, Ask),
    /// A dispatcher's word about a request.
    Verdict(id::Host, Number, Verdict),
}

/// A heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct Beat {
    host: Host,
    ready: bool,
    leaving: bool,
    fit: bool,
    follows: id::Host,
    work: Vec<(id::Target, Work)>,
}

/// Sends a datagram to a host; returns whether it went out.
pub fn send(context: &Context, host: &id::Host, packet: &Packet) -> bool {
    let Some(address) = context.state().membership.address(host) else { return false };
    let Some(socket) = context.socket() else { return false };
    let bytes = match postcard::to_stdvec(packet) {
        Ok(bytes) => bytes,
        Err(err) => {
            tracing::error!(code = 8023, %err, "cannot write a datagram");
            return false;
        }
    };
    match socket.try_send_to(&bytes, address) {
        Ok(_) => true,
        Err(err) => {
            tracing::debug!(%host, %err, "a datagram was not sent");
            false
        }
    }
}

/// Sends a datagram to every host that is there.
pub fn send_to_all(context: &Context, packet: &Packet) {
    let hosts: Vec<id::Host> = {
        let state = context.state();
        let live = state.membership.recipients().filter(|(_, up)| *up);
        live.map(|(host, _)| host.name.clone()).collect()
    };
    for host in hosts {
        send(context, &host, packet);
    }
}

/// Tells the dispatcher of changes of this host's work, forever.
pub async fn report(context: Rc<Context>) {
    loop {
        context.work_changed.notified().await;
        sleep(GATHER).await;
        let (dispatcher, packet) = {
            let mut state = context.state_mut();
            let changed = state.board.take_changed();
            let entries = changed.into_iter().filter_map(|key| {
                let target = state.registry.get(key)?;
                Some((target.id.clone(), state.board.own(key)))
            });
            let entries: Vec<_> = entries.collect();
            let own = context.settings.host.name.clone();
            let dispatcher = state.membership.dispatcher().clone();
            let seen = context.last_grant(&dispatcher);
            (dispatcher, Packet::Changes(own, seen, entries))
        };
        if dispatcher != context.settings.host.name {
            send(&context, &dispatcher, &packet);
        }
    }
}

/// Sends and hears heartbeats, until the socket fails.
///
/// # Errors
/// Fails when the port cannot be bound or read.
pub async fn run(context: Rc<Context>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(context.settings.host.peers).await?);
    context.set_socket(Some(Rc::clone(&socket)));
    let sender = tokio::task::spawn_local(send_all(Rc::clone(&context), Rc::clone(&socket)));
    let heard = hear_all(&context, &socket).await;
    context.set_socket(None);
    sender.abort();
    heard
}

async fn send_all(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut beats = 0;
    loop {
        let live = send_one(&context, &socket, beats).await;
        beats += 1;
        let changes = context.state_mut().membership.tick(clock::now());
        note(&context, changes);
        elect(&context);
        let stretch = (live as f64 / FEW_HOSTS as f64).max(1.0);
        tokio::select! {
            () = sleep(INTERVAL.mul_f64(stretch)) => {}
            () = context.leaving_begun.notified() => {}
        }
    }
}

/// Sends one heartbeat to each host; returns how many hosts are there.
async fn send_one(context: &Context, socket: &UdpSocket, beats: u64) -> usize {
    let follows = context.state().membership.dispatcher().clone();
    let packet = Packet::Beat(Beat {
        host: context.settings.host.clone(),
        ready: context.is_ready(),
        leaving: context.is_leaving(),
        fit: !context.is_leaving() && context.state().is_fresh(clock::now()),
        follows,
        work: own_work(context),
    });
    let (recipients, live) = {
        let state = context.state();
        let due = state
            .membership
            .recipients()
            .filter(|(_, up)| *up || beats.is_multiple_of(ABSENT_EVERY));
        (due.map(|(host, _)| host.peers).collect::<Vec<_>>(), state.membership.live())
    };
    let bytes = match postcard::to_stdvec(&packet) {
        Ok(bytes) => bytes,
        Err(err) => {
            tracing::error!(code = 8024, %err, "cannot write a heartbeat");
            return live;
        }
    };
    for recipient in recipients {
        if let Err(err) = socket.send_to(&bytes, recipient).await {
            tracing::debug!(%recipient, %err, "a heartbeat was not sent");
        }
    }
    live
}

fn own_work(context: &Context) -> Vec<(id::Target, Work)> {
    let state = context.state();
    let work = state.board.all_own().filter_map(|(key, work)| {
        let target = state.registry.get(key)?;
        Some((target.id.clone(), work))
    });
    work.collect()
}

async fn hear_all(context: &Rc<Context>, socket: &UdpSocket) -> io::Result<()> {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(err) => return Err(err),
        };
        match postcard::from_bytes::<Packet>(&buffer[..length]) {
            Ok(packet) => hear(context, packet),
            Err(err) => tracing::debug!(%sender, %err, "a heartbeat cannot be read"),
        }
    }
}

fn hear(context: &Rc<Context>, packet: Packet) {
    match packet {
        Packet::Beat(beat) => hear_beat(context, beat),
        Packet::Changes(host, seen, work) => {
            let mut state = context.state_mut();
            state.board.hear_changes(&host, work, clock::now());
            state.board.seen(&host, seen);
            drop(state);
            desk::look(context);
        }
        Packet::Broke(request, target) => {
            context.state_mut().poison.broke(request, target, clock::now());
        }
        Packet::Ask(host, ask) => desk::receive(context, host, ask),
        Packet::Verdict(host, number, verdict) => desk::hear(context, host, number, verdict),
    }
}

fn hear_beat(context: &Context, beat: Beat) {
    let now = clock::now();
    let name = beat.host.name.clone();
    let work: HashMap<id::Target, Work> = beat.work.into_iter().collect();
    let beat = Heartbeat {
        host: beat.host,
        ready: beat.ready,
        leaving: beat.leaving,
        fit: beat.fit,
        follows: beat.follows,
    };
    let change = {
        let mut state = context.state_mut();
        state.board.hear(name, work, now);
        state.membership.hear(beat, now)
    };
    note(context, change);
    desk::look(context);
}

/// Chooses the dispatcher anew where that is due.
fn elect(context: &Context) {
    let now = clock::now();
    let mut state = context.state_mut();
    let fit = !context.is_leaving() && state.is_fresh(now);
    if state.membership.elect(fit, now) {
        tracing::info!(code = 8025, host = %state.membership.dispatcher(), "requests are placed by another host");
    }
}

fn note(context: &Context, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        match change {
            Change::Up(host) => tracing::info!(code = 8026, %host, "host up"),
            Change::Down(host) => {
                context.state_mut().board.lost(&host);
                desk::forget(context, &host);
                tracing::warn!(code = 8027, %host, "host down; callers are no longer sent to it");
            }
        }
    }
    context.metrics.hosts.set(context.state().membership.live() as i64);
}
