//! Contents of the checkpoint: a byte with the number of the format, then the encoded knowledge.

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};

use crate::{
    context::State,
    targets::{
        poison::{Report, Suspect},
        poison_part::Block,
        target::Run,
        tombstone,
    },
};

/// Number of the format of this build.
const FORMAT: u8 = 1;
/// Largest encoded size; in base64 it fits into a row.
pub const MAX_BYTES: usize = 48_000;
/// Age from which on tombstones are not kept; no announcement is performed that late.
const TOMBSTONE_AGE: Duration = Duration::from_secs(30);

/// A checkpoint that this build cannot read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// It was written by a build with another format.
    #[error("the checkpoint has the format {0}")]
    OtherFormat(u8),
    /// It has no format or cannot be decoded.
    #[error("the checkpoint cannot be decoded")]
    Unreadable,
}

/// Knowledge of one host; ages are those at the time of saving.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contents {
    /// Time of the store's steady clock at which it was saved, in milliseconds; `None` if unknown.
    pub saved_at_ms: Option<u64>,
    /// Recognised requests.
    pub requests: Vec<Report>,
    /// Requests with interrupted runs that are not recognised, those with the most runs first.
    pub suspects: Vec<Suspect>,
    /// Blocked prompt parts, newest first.
    pub parts: Vec<Block>,
    /// Runs of targets that have left.
    pub tombstones: Vec<tombstone::Report>,
}

/// What a checkpoint names, without ages: two that name the same need not be written again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    requests: Vec<(id::Fingerprint, u8)>,
    suspects: Vec<(id::Fingerprint, usize)>,
    parts: Vec<(id::Fingerprint, u8)>,
    tombstones: Vec<(Run, u64, bool)>,
}

impl Contents {
    /// Returns what a host knows now.
    pub fn of(state: &State, now: Moment) -> Contents {
        Contents {
            saved_at_ms: None,
            requests: state.poison.all_reports(now),
            suspects: state.poison.suspects(now),
            parts: state.poison_parts.report(now),
            tombstones: state.registry.tombstones(TOMBSTONE_AGE, now),
        }
    }

    /// Returns the contents as of this much later.
    pub fn aged(mut self, time: Duration) -> Contents {
        let time_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let add = |age: &mut u64| *age = age.saturating_add(time_ms);
        for request in &mut self.requests {
            add(&mut request.age_ms);
            add(&mut request.quiet_ms);
        }
        for (_, age) in self.suspects.iter_mut().flat_map(|it| &mut it.runs) {
            add(age);
        }
        for part in &mut self.parts {
            part.age = part.age.saturating_add(time);
        }
        for tombstone in &mut self.tombstones {
            add(&mut tombstone.age_ms);
        }
        self
    }

    /// Returns the time since the contents were saved, at this time of the store's clock; zero if either
    /// is unknown.
    pub fn age(&self, store_time: Option<Duration>) -> Duration {
        let saved_at = self.saved_at_ms.map(Duration::from_millis);
        let age = store_time.zip(saved_at).map(|(now, it)| now.saturating_sub(it));
        age.unwrap_or_default()
    }

    /// Returns what the contents name.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            requests: self.requests.iter().map(|it| (it.request, it.trials)).collect(),
            suspects: self.suspects.iter().map(|it| (it.request, it.runs.len())).collect(),
            parts: self.parts.iter().map(|it| (it.part, it.earlier)).collect(),
            tombstones: self
                .tombstones
                .iter()
                .map(|it| (it.run.clone(), it.sequence, it.is_draining))
                .collect(),
        };
        summary.requests.sort_unstable();
        summary.suspects.sort_unstable();
        summary.parts.sort_unstable();
        summary.tombstones.sort_unstable();
        summary
    }

    /// Halves the longest list, from its end.
    fn shorten(&mut self) {
        let lengths = [self.requests.len(), self.suspects.len(), self.tombstones.len()];
        let longest = lengths.into_iter().max().unwrap_or_default();
        let half = longest / 2;
        if lengths[1] == longest {
            self.suspects.truncate(half);
        } else if lengths[2] == longest {
            self.tombstones.sort_unstable_by_key(|it| it.age_ms);
            self.tombstones.truncate(half);
        } else {
            self.requests.sort_unstable_by_key(|it| it.quiet_ms);
            self.requests.truncate(half);
        }
    }
}

impl TryFrom<Contents> for Vec<u8> {
    type Error = postcard::Error;

    /// Encodes the contents, without the least important ones if they exceed [`MAX_BYTES`].
    fn try_from(mut contents: Contents) -> Result<Vec<u8>, postcard::Error> {
        loop {
            let mut bytes = vec![FORMAT];
            bytes.extend(postcard::to_stdvec(&contents)?);
            if bytes.len() <= MAX_BYTES {
                return Ok(bytes);
            }
            contents.shorten();
        }
    }
}

impl TryFrom<&[u8]> for Contents {
    type Error = Malformed;

    fn try_from(bytes: &[u8]) -> Result<Contents, Malformed> {
        match bytes.split_first() {
            Some((&FORMAT, encoded)) => {
                postcard::from_bytes(encoded).map_err(|_| Malformed::Unreadable)
            }
            Some((format, _)) => Err(Malformed::OtherFormat(*format)),
            None => Err(Malformed::Unreadable),
        }
    }
}
