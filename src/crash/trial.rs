//! Trials of suspects: over all hosts, a target tries one suspect at a time.

use std::{collections::HashMap, time::Duration};

use smol_str::{SmolStr, format_smolstr};

use super::wire;
use crate::{
    clock::Moment,
    id,
    store::{CallError, Commit, Row, Table, Write},
};

/// Prefix of the rows that reserve targets.
const PREFIX: &str = "trial/";
/// Time after which an unchanged reservation counts as left behind by a host that is gone.
const LEFT_BEHIND: Duration = Duration::from_secs(300);

/// A reservation of a target, made under a random token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reservation {
    /// Target that tries the suspect.
    pub(super) target: id::Target,
    /// The suspect.
    pub(super) fingerprint: id::Fingerprint,
    /// Token of the reservation.
    pub(super) token: id::Token,
}

/// Other hosts' reservations, and since when this host has seen them unchanged.
#[derive(Debug, Default)]
pub(super) struct Foreign(HashMap<SmolStr, Seen>);

#[derive(Debug, Clone, Copy)]
struct Seen {
    version: id::Version,
    since: Moment,
}

impl Foreign {
    /// Returns whether the reservation in a row stands in the way of another one.
    pub(super) fn blocks(&mut self, row: &Row, now: Moment) -> bool {
        if row.version == 0 {
            self.0.remove(&row.key);
            return false;
        }
        let fresh = Seen { version: row.version, since: now };
        let seen = self.0.entry(row.key.clone()).or_insert(fresh);
        if seen.version != row.version {
            *seen = fresh;
        }
        now < seen.since + LEFT_BEHIND
    }
}

/// Reads the row that reserves a target.
pub(super) fn read<T: Table>(table: &T, target: &id::Target) -> Result<Row, CallError> {
    let rows = table.read(&[row(target)])?;
    rows.into_iter().next().ok_or_else(|| CallError::Lost("no row came back".to_owned()))
}

/// Reserves a target if its row is still as it was read; returns whether it may be used.
///
/// Without the store only the suspects of one host are kept apart.
pub(super) fn reserve<T: Table>(table: &T, reservation: &Reservation, found: &Row) -> bool {
    let value = Some(String::from(&wire::Trial::from(reservation)));
    let write = Write { key: found.key.clone(), expected: found.version, value };
    !matches!(table.commit(&[write]), Ok(Commit::Conflict(_)))
}

/// Deletes reservations that are still in their rows; returns false when the table fails.
pub(super) fn release<T: Table>(table: &T, reservations: &[Reservation]) -> bool {
    let keys: Vec<SmolStr> = reservations.iter().map(|it| row(&it.target)).collect();
    let Ok(rows) = table.read(&keys) else { return false };
    let own = rows.iter().zip(reservations).filter(|(row, it)| holds(row, it.token));
    let own =
        own.map(|(row, _)| Write { key: row.key.clone(), expected: row.version, value: None });
    // A row that changed meanwhile is not this host's any more.
    own.into_iter().all(|it| table.commit(&[it]).is_ok())
}

fn holds(row: &Row, token: id::Token) -> bool {
    wire::Trial::try_from(row.value.as_str()).is_ok_and(|it| it.token == token)
}

fn row(target: &id::Target) -> SmolStr {
    format_smolstr!("{PREFIX}{target}")
}
