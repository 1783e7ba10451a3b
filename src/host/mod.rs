//! Entry hosts: membership, joining and leaving.

mod membership;
mod ranking;
mod roster;

pub use self::{
    membership::{HostListSnapshot, Membership, NotEntryHost, OwnState},
    ranking::{Candidate, Endpoint, Ranking, rank},
    roster::{Change, ReportedVersion, Roster, Status, View},
};
