//! Datagrams between the entry hosts: heartbeats, load reports, store updates and dispatch.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    cluster::{
        membership::{Change, Heartbeat, ROUND_INTERVAL},
        messages, origin_lookup,
        stream_origin::Origin,
    },
    context::Context,
    placement::{
        dispatch::{Reply, Request, RequestNumber},
        dispatcher,
        load::Work,
        slowness,
    },
    store::{sync as store_sync, watch::Update},
    targets::{
        availability::Departure, notice, poison_part::Block, poison_reports, rate_limit, registry,
        target::Run,
    },
};
use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 16 * 1024;

/// Time for which changes of this host's work are collected before they are sent to the dispatcher.
const WORK_BATCH_DELAY: Duration = Duration::from_millis(4);
/// Interval at which all of this host's work is sent to the dispatcher, in case a change was lost.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Contents of one datagram.
#[derive(Debug, Serialize, Deserialize)]
pub enum Packet {
    /// The state of the sender.
    Heartbeat(Heartbeat),
    /// The state of the sender, which asks for a heartbeat in return.
    Probe(Heartbeat),
    /// The sender has detected that a host is down.
    HostDown(id::Host),
    /// All of a host's work, the last grant that it includes, and the slowness of engines that the
    /// host measured.
    FullWork(id::Host, u64, Vec<(id::Target, Work)>, slowness::Report),
    /// The changed part of a host's work, and the last grant that it includes.
    WorkChanges(id::Host, u64, Vec<(id::Target, Work)>),
    /// Version of the newest configuration that the sender read from the store.
    ConfigurationUpdate(Update<Option<id::Version>>),
    /// Target changes as hosts of earlier builds send them, without software versions; ignored.
    EarlierTargetUpdate,
    /// An attempt at a request broke off at a target.
    AttemptBroken(id::Fingerprint, Run),
    /// A request to place as hosts of earlier builds send it, without a software version; ignored.
    EarlierDispatchRequest,
    /// The dispatcher's reply to such a request.
    DispatchReply(id::Host, RequestNumber, Reply),
    /// A target broke off a request before it had answered it, and may have crashed under one of the
    /// prompt's parts.
    CrashSuspected(id::Fingerprint, Vec<id::Fingerprint>, Run),
    /// Parts that the sender has seen answered.
    PartsCleared(Vec<id::Fingerprint>),
    /// Parts that the sender blocks.
    PartsBlocked(id::Host, Vec<Block>),
    /// The sender learned from a response that a target is leaving.
    TargetLeaving(Departure),
    /// The sender has seen a suspected request answered.
    RequestCleared(id::Fingerprint),
    /// A target refused a connection of this host; sent to the dispatcher.
    ConnectionRefused(id::Host, Run),
    /// Target changes that the sender read from the store, each with its version.
    TargetUpdate(Update<Vec<(id::Version, registry::Change)>>),
    /// A host asks the dispatcher to place a request.
    DispatchRequest(id::Host, Request),
    /// Where streams began that the sender forwards.
    StreamsBegan(Vec<(id::Stream, Origin)>),
    /// The sender asks where a stream began.
    OriginQuery(origin_lookup::Query),
    /// What the sender knows of that.
    OriginAnswer(origin_lookup::Answer),
    /// A message of one part of the gateway, and its sender.
    Message(messages::Kind, id::Host, Vec<u8>),
}

/// Returns the current heartbeat of this host.
fn heartbeat(context: &Context) -> Heartbeat {
    let (state, now) = (context.state(), clock::now());
    let can_dispatch = context.can_dispatch();
    Heartbeat {
        host: context.settings.host.clone(),
        ready: context.is_ready(),
        leaving: context.is_shutting_down(),
        can_dispatch,
        targets_age: state.targets_watch.age(now),
        store_unreachable: state.is_store_unreachable(),
        claim_age: state.membership.claim_age(now).filter(|_| can_dispatch),
    }
}

/// Sends every other host a change of this host's state, and elects the dispatcher anew.
pub(crate) fn announce(context: &Context) {
    elect_dispatcher(context);
    send_to_all(context, &Packet::Heartbeat(heartbeat(context)));
}

/// Sends a datagram to a host that is up; returns whether it was sent.
pub fn send(context: &Context, host: &id::Host, packet: &Packet) -> bool {
    let Some(address) = context.state().membership.peer_address(host) else { return false };
    send_to(context, &[address], packet)
}

/// Sends a datagram to every other host that is up.
pub fn send_to_all(context: &Context, packet: &Packet) {
    let addresses: Vec<SocketAddr> = context.state().membership.peer_addresses().collect();
    send_to(context, &addresses, packet);
}

/// Sends a datagram to each address; returns whether all were sent.
pub(crate) fn send_to(context: &Context, addresses: &[SocketAddr], packet: &Packet) -> bool {
    let Some(socket) = context.peer_socket() else { return false };
    let bytes = match encode(context, packet) {
        Ok(bytes) => bytes,
        Err(err) => {
            tracing::error!(code = 8023, %err, "cannot encode a datagram");
            return false;
        }
    };
    let mut sent = true;
    for address in addresses {
        if let Err(err) = socket.try_send_to(&bytes, *address) {
            tracing::debug!(%address, %err, "cannot send a datagram");
            sent = false;
        }
    }
    sent
}

/// What a host learned from targets lately, which follows its heartbeats. Hosts of an earlier version
/// ignore what they don't know at the end.
#[derive(Debug, Default)]
struct Notices {
    departures: Vec<Departure>,
    limits: Vec<rate_limit::Report>,
    /// Whether the sender reaches no target.
    is_cut_off: bool,
}

impl Notices {
    fn recent(context: &Context) -> Notices {
        let (state, now) = (context.state(), clock::now());
        Notices {
            departures: state.availability.recent_departures(now),
            limits: state.rate_limits.recent_reports(now),
            is_cut_off: state.reachability.is_cut_off(),
        }
    }

    fn encode(&self) -> postcard::Result<Vec<u8>> {
        let has_limits = !self.limits.is_empty() || self.is_cut_off;
        if self.departures.is_empty() && !has_limits {
            return Ok(Vec::new());
        }
        let mut bytes = postcard::to_stdvec(&self.departures)?;
        if has_limits {
            bytes.extend(postcard::to_stdvec(&self.limits)?);
        }
        if self.is_cut_off {
            bytes.extend(postcard::to_stdvec(&true)?);
        }
        Ok(bytes)
    }

    fn decode(bytes: &[u8]) -> postcard::Result<Notices> {
        if bytes.is_empty() {
            return Ok(Notices::default());
        }
        let (departures, rest) = postcard::take_from_bytes(bytes)?;
        if rest.is_empty() {
            return Ok(Notices { departures, ..Notices::default() });
        }
        let (limits, rest) = postcard::take_from_bytes(rest)?;
        let is_cut_off = !rest.is_empty() && postcard::from_bytes(rest)?;
        Ok(Notices { departures, limits, is_cut_off })
    }
}

/// Encodes a packet and what follows it: the notices of a heartbeat, the account of a request, the source
/// of a grant.
fn encode(context: &Context, packet: &Packet) -> postcard::Result<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(packet)?;
    if matches!(packet, Packet::Heartbeat(_)) {
        bytes.extend(Notices::recent(context).encode()?);
    }
    if let Packet::DispatchRequest(_, Request { account: Some(account), .. }) = packet {
        bytes.extend(postcard::to_stdvec(account)?);
    }
    if let Packet::DispatchReply(_, _, Reply::Granted { source: Some(source), .. }) = packet {
        bytes.extend(postcard::to_stdvec(source)?);
    }
    Ok(bytes)
}

/// Decodes a packet and what follows it.
fn decode(bytes: &[u8]) -> postcard::Result<(Packet, Notices)> {
    let (mut packet, rest) = postcard::take_from_bytes(bytes)?;
    let notices = match &mut packet {
        Packet::Heartbeat(_) => Notices::decode(rest)?,
        Packet::DispatchRequest(_, request) if !rest.is_empty() => {
            request.account = Some(postcard::from_bytes(rest)?);
            Notices::default()
        }
        Packet::DispatchReply(_, _, Reply::Granted { source, .. }) if !rest.is_empty() => {
            *source = Some(postcard::from_bytes(rest)?);
            Notices::default()
        }
        _ => Notices::default(),
    };
    Ok((packet, notices))
}

/// Reports this host's work to the dispatcher, forever.
pub async fn report_work(context: Rc<Context>) {
    let mut last_report =
        LastReport { dispatcher: context.settings.host.name.clone(), sent_at: clock::now() };
    loop {
        tokio::select! {
            () = context.work_changed.notified() => sleep(WORK_BATCH_DELAY).await,
            () = sleep(FULL_REPORT_INTERVAL) => {}
        }
        if let Some(packet) = last_report.next_packet(&context) {
            send(&context, &last_report.dispatcher, &packet);
        }
    }
}

/// The last full report of work to a dispatcher.
struct LastReport {
    dispatcher: id::Host,
    /// Time of the report.
    sent_at: Moment,
}

impl LastReport {
    /// Returns the next report for the dispatcher; `None` when this host is the dispatcher.
    fn next_packet(&mut self, context: &Context) -> Option<Packet> {
        let now = clock::now();
        let own_name = context.settings.host.name.clone();
        let mut state = context.state_mut();
        let changed = state.load.take_changed();
        let dispatcher = state.membership.dispatcher().clone();
        if dispatcher == own_name {
            state.slowness.take_own();
            self.dispatcher = dispatcher;
            return None;
        }
        let last_grant = context.last_grant(&dispatcher);
        let is_full = dispatcher != self.dispatcher || self.sent_at + FULL_REPORT_INTERVAL <= now;
        let summaries = if is_full { state.slowness.take_own() } else { Vec::new() };
        let target_id = |key| state.registry.get(key).map(|it| it.id.clone());
        if is_full {
            *self = LastReport { dispatcher, sent_at: now };
            let all = state.load.all_own();
            let work = all.filter_map(|(key, work)| Some((target_id(key)?, work)));
            let (work, summaries) = (work.collect(), summaries.into_iter());
            let slowness = summaries.filter_map(|(key, summary)| Some((target_id(key)?, summary)));
            return Some(Packet::FullWork(own_name, last_grant, work, slowness.collect()));
        }
        let work =
            changed.into_iter().filter_map(|key| Some((target_id(key)?, state.load.own(key))));
        Some(Packet::WorkChanges(own_name, last_grant, work.collect()))
    }
}

/// Sends heartbeats and handles datagrams, until the socket fails.
///
/// # Errors
/// Fails when the socket cannot be bound or read.
pub async fn run(context: Rc<Context>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(context.settings.host.peer_address).await?);
    context.set_peer_socket(Some(Rc::clone(&socket)));
    let sender = tokio::task::spawn_local(send_heartbeats(Rc::clone(&context)));
    let result = receive_packets(&context, &socket).await;
    context.set_peer_socket(None);
    sender.abort();
    result
}

async fn send_heartbeats(context: Rc<Context>) {
    let mut last_state = None;
    loop {
        elect_dispatcher(&context);
        let heartbeat = heartbeat(&context);
        // Growing ages alone are not a change to send to all.
        let state = Some(Heartbeat {
            targets_age: Duration::ZERO,
            claim_age: heartbeat.claim_age.map(|_| Duration::ZERO),
            ..heartbeat.clone()
        });
        let tick = context.state_mut().membership.tick(clock::now());
        let round = context.state_mut().membership.next_round(state != last_state);
        send_to(&context, &round, &Packet::Heartbeat(heartbeat.clone()));
        last_state = state;
        send_to(&context, &tick.probe, &Packet::Probe(heartbeat));
        for host in tick.report {
            send_to_all(&context, &Packet::HostDown(host));
        }
        record_changes(&context, tick.down.into_iter().map(Change::Down));
        context.state_mut().divide_rate_limits(clock::now());
        origin_lookup::publish_pending(&context);
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
        match decode(&buffer[..length]) {
            Ok((packet, notices)) => {
                let from = match &packet {
                    Packet::Heartbeat(heartbeat) => Some(heartbeat.host.name.clone()),
                    _ => None,
                };
                handle_packet(context, packet);
                if let Some(host) = from {
                    context.state_mut().membership.set_cut_off(&host, notices.is_cut_off);
                }
                for departure in notices.departures {
                    notice::handle_departure(context, departure);
                }
                for report in notices.limits {
                    notice::handle_limit(context, &report);
                }
            }
            Err(err) => {
                messages::record_unreadable(context, &err.to_string());
                tracing::debug!(%sender, %err, "cannot decode a datagram");
            }
        }
    }
}

fn handle_packet(context: &Rc<Context>, packet: Packet) {
    match packet {
        Packet::Heartbeat(heartbeat) => handle_heartbeat(context, heartbeat),
        Packet::Probe(prober) => {
            send_to(context, &[prober.host.peer_address], &Packet::Heartbeat(heartbeat(context)));
            handle_heartbeat(context, prober);
        }
        Packet::HostDown(host) => {
            let address = context.state_mut().membership.handle_down_report(&host, clock::now());
            send_to(context, address.as_slice(), &Packet::Probe(heartbeat(context)));
        }
        Packet::FullWork(host, last_grant, work, slowness) => {
            let (mut state, now) = (context.state_mut(), clock::now());
            state.load.replace_peer(host.clone(), work.into_iter().collect(), now);
            for (target, summary) in slowness {
                if let Some(key) = state.registry.key(&target) {
                    state.slowness.record_summary(key, summary, now);
                }
            }
            state.load.acknowledge_grants(&host, last_grant);
            drop(state);
            dispatcher::wake(context);
        }
        Packet::WorkChanges(host, last_grant, work) => {
            let mut state = context.state_mut();
            state.load.update_peer(&host, work, clock::now());
            state.load.acknowledge_grants(&host, last_grant);
            drop(state);
            dispatcher::wake(context);
        }
        Packet::ConfigurationUpdate(update) => {
            store_sync::handle_configuration_update(context, &update)
        }
        Packet::EarlierTargetUpdate | Packet::EarlierDispatchRequest => {}
        Packet::Message(kind, sender, bytes) => messages::handle(context, kind, sender, &bytes),
        Packet::TargetUpdate(update) => store_sync::handle_target_update(context, update),
        Packet::AttemptBroken(request, target) => {
            poison_reports::handle_break(context, request, target)
        }
        Packet::TargetLeaving(departure) => notice::handle_departure(context, departure),
        Packet::ConnectionRefused(host, run) => dispatcher::handle_refusal(context, &host, &run),
        Packet::DispatchRequest(host, request) => {
            dispatcher::handle_request(context, host, request)
        }
        Packet::DispatchReply(host, number, reply) => {
            dispatcher::handle_reply(context, host, number, reply)
        }
        Packet::CrashSuspected(request, parts, target) => {
            poison_reports::handle_crash(context, request, &parts, &target)
        }
        Packet::RequestCleared(request) => {
            poison_reports::handle_request_clearing(context, request)
        }
        Packet::PartsCleared(parts) => poison_reports::handle_clearing(context, &parts),
        Packet::StreamsBegan(streams) => origin_lookup::handle_report(context, streams),
        Packet::OriginQuery(query) => origin_lookup::handle_query(context, query),
        Packet::OriginAnswer(answer) => origin_lookup::handle_answer(context, answer),
        Packet::PartsBlocked(host, blocks) => {
            poison_reports::handle_report(context, &host, &blocks)
        }
    }
}

/// Handles a heartbeat. A host that came up gets one in return, so that both know each other at
/// once.
fn handle_heartbeat(context: &Context, received: Heartbeat) {
    let change = context.state_mut().membership.handle_heartbeat(received, clock::now());
    if let Some(Change::Up(host)) = &change {
        send(context, host, &Packet::Heartbeat(heartbeat(context)));
        poison_reports::report_to(context, host);
    }
    record_changes(context, change);
}

/// Elects the dispatcher, and reports this host's work to a new one.
fn elect_dispatcher(context: &Context) {
    if context.elect_dispatcher() {
        let host = context.state().membership.dispatcher().clone();
        tracing::info!(code = 8025, %host, "dispatcher changed");
        context.work_changed.notify_one();
    }
}

/// Logs hosts that came up or went down, and drops load and queued requests of those that went
/// down.
fn record_changes(context: &Context, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        match change {
            Change::Up(host) => tracing::info!(code = 8026, %host, "host up"),
            Change::Down(host) => {
                context.state_mut().load.forget_peer(&host);
                dispatcher::forget_host(context, &host);
                tracing::warn!(code = 8027, %host, "host down; callers are no longer sent to it");
            }
        }
    }
    context.metrics.host_count.set(context.state().membership.live_count() as i64);
}
