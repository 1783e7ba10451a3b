//! Entry hosts: membership, joining and leaving.

mod choice;
mod membership;
mod roster;

pub use self::{
    choice::{Candidate, Choice, Pick, choose},
    membership::{Listed, Membership, NotEntry, Own},
    roster::{Change, Roster, Said, Status, View},
};
