//! Exchange with the other entry hosts about claims and crashes.

use std::net::SocketAddr;

use crate::{
    claim,
    crash::{self, Record},
    host::{Membership, Status},
    id,
    link::peer::wire::{self, ClaimQuestion, ClaimStatus, CrashNotice},
    store,
};

/// Membership of the entry hosts, as known to this one.
pub type Members = Membership<store::Client>;

/// Connection to the other entry hosts, for questions about claims.
#[derive(Debug, Clone)]
pub struct Peers(pub Members);

impl claim::Peers for Peers {
    fn claim_status(
        &self,
        claimant: &claim::Claimant,
        question: &claim::Question,
    ) -> Option<claim::Status> {
        let address = self.0.run_peer_address(&claimant.host, claimant.incarnation)?;
        let question = ClaimQuestion {
            incarnation: claimant.incarnation,
            customer: question.customer.clone(),
            key: question.key.clone(),
            token: question.token,
        };
        self.0.links().claim_status(address, question).ok().map(claim::Status::from)
    }
}

/// Returns the callers' addresses of the other live hosts.
pub(super) fn other_hosts(members: &Members) -> Vec<SocketAddr> {
    let live = members.views().into_iter().filter(|it| it.status == Status::Live);
    live.map(|it| it.member.callers_address).collect()
}

/// Sends the crashes of a request to the other hosts that aren't silent; returns when each has
/// answered or timed out.
pub(super) fn announce_crashes(members: &Members, fingerprint: id::Fingerprint, record: Record) {
    let crash = |it: crash::Crash| wire::Crash { target: it.target, incarnation: it.incarnation };
    let crashes = record.crashes.into_iter().map(crash).collect();
    let views = members.views().into_iter().filter(|it| it.status != Status::Silent);
    let addresses = views.map(|it| it.member.peers_address).collect();
    members.links().send_crash_notice(addresses, &CrashNotice { fingerprint, crashes });
}

impl From<&ClaimQuestion> for claim::Question {
    fn from(it: &ClaimQuestion) -> claim::Question {
        claim::Question { customer: it.customer.clone(), key: it.key.clone(), token: it.token }
    }
}

impl From<ClaimStatus> for claim::Status {
    fn from(it: ClaimStatus) -> claim::Status {
        match it {
            ClaimStatus::Abandoned => claim::Status::Abandoned,
            ClaimStatus::NeverSent => claim::Status::NeverSent,
            ClaimStatus::Sent => claim::Status::Sent,
            ClaimStatus::Answered(it) => claim::Status::Answered(it.into()),
            ClaimStatus::Unknown => claim::Status::Unknown,
        }
    }
}

impl From<claim::Status> for ClaimStatus {
    fn from(it: claim::Status) -> ClaimStatus {
        match it {
            claim::Status::Abandoned => ClaimStatus::Abandoned,
            claim::Status::NeverSent => ClaimStatus::NeverSent,
            claim::Status::Sent => ClaimStatus::Sent,
            claim::Status::Answered(it) => ClaimStatus::Answered(it.into()),
            claim::Status::Unknown => ClaimStatus::Unknown,
        }
    }
}

impl From<wire::Answer> for claim::Answer {
    fn from(it: wire::Answer) -> claim::Answer {
        let header = |it: wire::Header| claim::Header { name: it.name, value: it.value.into() };
        claim::Answer {
            status: it.status,
            headers: it.headers.into_iter().map(header).collect(),
            body: it.body,
        }
    }
}

impl From<claim::Answer> for wire::Answer {
    fn from(it: claim::Answer) -> wire::Answer {
        let header = |it: claim::Header| wire::Header { name: it.name, value: it.value.into() };
        wire::Answer {
            status: it.status,
            headers: it.headers.into_iter().map(header).collect(),
            body: it.body,
        }
    }
}
