//! Heartbeats between the entry hosts, as datagrams.

use std::{collections::HashMap, io, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    context::Context,
    load::Work,
    membership::{Change, Heartbeat, Host},
};
use fuchsiaknot_core::{clock, id};

/// Interval of heartbeats among few hosts; a host counts as down after several missed ones.
const INTERVAL: Duration = Duration::from_millis(60);
/// Hosts up to which the interval stays; beyond it grows with their number.
const FEW_HOSTS: usize = 16;
/// Heartbeats after which a host that is not there is tried once.
const ABSENT_EVERY: u64 = 16;
/// Bytes of a datagram at most.
const MAX_DATAGRAM: usize = 16 * 1024;

/// One heartbeat on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct Packet {
    host: Host,
    ready: bool,
    leaving: bool,
    work: Vec<(id::Target, Work)>,
}

/// Sends and hears heartbeats, until the socket fails.
///
/// # Errors
/// Fails when the port cannot be bound or read.
pub async fn run(context: Rc<Context>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(context.settings.host.peers).await?);
    let sender = tokio::task::spawn_local(send_all(Rc::clone(&context), Rc::clone(&socket)));
    let heard = hear_all(&context, &socket).await;
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
        let stretch = (live as f64 / FEW_HOSTS as f64).max(1.0);
        tokio::select! {
            () = sleep(INTERVAL.mul_f64(stretch)) => {}
            () = context.leaving_begun.notified() => {}
        }
    }
}

/// Sends one heartbeat to each host; returns how many hosts are there.
async fn send_one(context: &Context, socket: &UdpSocket, beats: u64) -> usize {
    let packet = Packet {
        host: context.settings.host.clone(),
        ready: context.is_ready(),
        leaving: context.is_leaving(),
        work: own_work(context),
    };
    let (recipients, live) = {
        let state = context.state();
        let due = state.membership.recipients().filter(|(_, up)| *up || beats % ABSENT_EVERY == 0);
        (due.map(|(host, _)| host.peers).collect::<Vec<_>>(), state.membership.live())
    };
    let bytes = match postcard::to_stdvec(&packet) {
        Ok(bytes) => bytes,
        Err(err) => {
            tracing::error!(%err, "cannot write a heartbeat");
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

async fn hear_all(context: &Context, socket: &UdpSocket) -> io::Result<()> {
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

fn hear(context: &Context, packet: Packet) {
    let now = clock::now();
    let name = packet.host.name.clone();
    let work: HashMap<id::Target, Work> = packet.work.into_iter().collect();
    let beat = Heartbeat { host: packet.host, ready: packet.ready, leaving: packet.leaving };
    let change = {
        let mut state = context.state_mut();
        state.board.hear(name, work, now);
        state.membership.hear(beat, now)
    };
    note(context, change);
}

fn note(context: &Context, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        match change {
            Change::Up(host) => tracing::info!(%host, "host up"),
            Change::Down(host) => {
                context.state_mut().board.lost(&host);
                tracing::warn!(%host, "host down; callers are no longer sent to it");
            }
        }
    }
    context.metrics.hosts.set(context.state().membership.live() as i64);
}
