//! Table rows that reserve a target for the trial of one suspect, so that no two hosts try suspects
//! on it at the same time.

use std::{collections::HashMap, time::Duration};

use smol_str::{SmolStr, format_smolstr};

use super::wire;
use crate::{
    clock::Moment,
    id,
    store::{CallError, Commit, Row, Table, Write},
};

/// Prefix of the row keys of reservations.
const ROW_PREFIX: &str = "trial/";
/// Time after which an unchanged reservation is ignored: the host that made it has presumably
/// ended.
const ABANDONED_AFTER: Duration = Duration::from_secs(300);

/// The reservation of a target for one suspect, identified by a random token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reservation {
    /// Target on which the suspect is tried.
    pub(super) target: id::Target,
    /// Fingerprint of the suspect.
    pub(super) fingerprint: id::Fingerprint,
    /// Distinguishes this reservation from every other one in the same row.
    pub(super) token: id::Token,
}

/// Row versions of other hosts' reservations, with the time at which each was first seen.
#[derive(Debug, Default)]
pub(super) struct RemoteReservations(HashMap<SmolStr, FirstSeen>);

#[derive(Debug, Clone, Copy)]
struct FirstSeen {
    version: id::Version,
    since: Moment,
}

impl RemoteReservations {
    /// Returns whether a row holds a reservation that does not yet count as abandoned.
    ///
    /// Also records when the row's version was first seen, from which that time is measured.
    pub(super) fn blocks(&mut self, row: &Row, now: Moment) -> bool {
        if row.version == 0 {
            self.0.remove(&row.key);
            return false;
        }
        let current = FirstSeen { version: row.version, since: now };
        let seen = self.0.entry(row.key.clone()).or_insert(current);
        if seen.version != row.version {
            *seen = current;
        }
        now < seen.since + ABANDONED_AFTER
    }
}

/// Reads the row that reserves a target.
pub(super) fn read<T: Table>(table: &T, target: &id::Target) -> Result<Row, CallError> {
    let rows = table.read(&[row_key(target)])?;
    rows.into_iter().next().ok_or_else(|| CallError::Lost("the table returned no row".to_owned()))
}

/// Reserves a target unless its row has changed since `found` was read.
///
/// Returns whether the target may be used. That is also so when the table fails, in which case only
/// the suspects of one host are kept on different targets.
pub(super) fn reserve<T: Table>(table: &T, reservation: &Reservation, found: &Row) -> bool {
    let value = Some(String::from(&wire::Trial::from(reservation)));
    let write = Write { key: found.key.clone(), expected: found.version, value };
    !matches!(table.commit(&[write]), Ok(Commit::Conflict(_)))
}

/// Deletes the given reservations from their rows; returns false when the table fails.
pub(super) fn release<T: Table>(table: &T, reservations: &[Reservation]) -> bool {
    let keys: Vec<SmolStr> = reservations.iter().map(|it| row_key(&it.target)).collect();
    let Ok(rows) = table.read(&keys) else { return false };
    let own = rows.iter().zip(reservations).filter(|(row, it)| has_token(row, it.token));
    let own =
        own.map(|(row, _)| Write { key: row.key.clone(), expected: row.version, value: None });
    // A conflict counts as success: the row has changed and no longer holds this reservation.
    own.into_iter().all(|it| table.commit(&[it]).is_ok())
}

fn has_token(row: &Row, token: id::Token) -> bool {
    wire::Trial::try_from(row.value.as_str()).is_ok_and(|it| it.token == token)
}

fn row_key(target: &id::Target) -> SmolStr {
    format_smolstr!("{ROW_PREFIX}{target}")
}
