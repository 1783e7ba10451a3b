//! Membership of the entry hosts, and which of them callers should use.

mod membership;
mod ranking;
mod roster;

pub use self::{
    membership::{HostListSnapshot, Membership, NotEntryHost, OwnState},
    ranking::{Candidate, Endpoint, Ranking, rank},
    roster::{Change, ReportedVersion, Roster, Status, View},
};
