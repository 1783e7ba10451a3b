//! Which entry hosts a caller should use.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Status, View};
use crate::{
    id,
    link::peer::wire::{Load, Member},
    refresh::Freshness,
};

/// Time for which a caller may keep the answer.
const KEEP: Duration = Duration::from_secs(10);
/// Share of its connections from which a host is named only after the others.
const BUSY: f64 = 0.8;
/// Least weight of a host, so that none is left out by its load alone.
const LEAST_WEIGHT: f64 = 0.05;

/// Answer to a caller that asks which host to use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranking {
    /// Hosts, the best first.
    pub hosts: Vec<Endpoint>,
    /// Time for which the answer may be kept, in seconds.
    pub keep_seconds: u64,
}

/// A host that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the host.
    pub host: id::Host,
    /// Data centre that it stands in.
    pub data_centre: id::DataCentre,
    /// Where to connect.
    pub address: SocketAddr,
}

/// An entry host that takes new callers.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The host.
    pub member: Member,
    /// How busy it is.
    pub load: Load,
}

impl TryFrom<&View> for Candidate {
    type Error = Status;

    /// Refuses hosts that take no new callers, with their status.
    fn try_from(view: &View) -> Result<Candidate, Status> {
        let admits = matches!(view.freshness, Freshness::Fresh | Freshness::Stale);
        match view.status == Status::Live && admits {
            true => Ok(Candidate { member: view.member.clone(), load: view.load }),
            false => Err(view.status),
        }
    }
}

/// Orders the candidates for a caller near `data_centre`.
///
/// Near hosts come first, busy ones last; among equals the order is drawn by `seed`, weighted by
/// the free part of each host, so that callers spread.
pub fn rank(candidates: &[Candidate], data_centre: &str, seed: u64) -> Ranking {
    let mut ranked: Vec<(bool, bool, f64, &Candidate)> = candidates
        .iter()
        .map(|it| {
            let busy = BUSY <= it.load.fraction();
            let far = it.member.data_centre != data_centre;
            (busy, far, draw(it, seed), it)
        })
        .collect();
    ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(b.2.total_cmp(&a.2)));
    let pick = |(_, _, _, it): (bool, bool, f64, &Candidate)| Endpoint {
        host: it.member.host.clone(),
        data_centre: it.member.data_centre.clone(),
        address: it.member.callers_address,
    };
    Ranking { hosts: ranked.into_iter().map(pick).collect(), keep_seconds: KEEP.as_secs() }
}

impl Load {
    /// Returns the share of connections that are in use; 0 when the capacity is unknown.
    pub fn fraction(&self) -> f64 {
        if self.capacity == 0 {
            return 0.0;
        }
        f64::from(self.connections) / f64::from(self.capacity)
    }
}

/// Draws a number whose order among candidates follows their weights.
fn draw(candidate: &Candidate, seed: u64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes()).update(candidate.member.host.as_bytes());
    let hash = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    let uniform = (u64::from_le_bytes(bytes) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let weight = (1.0 - candidate.load.fraction()).max(LEAST_WEIGHT);
    uniform.ln() / weight
}
