//! Ranking of the entry hosts for a caller.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Status, View};
use crate::{
    id,
    link::peer::wire::{Load, Member},
    refresh::Freshness,
};

/// Time for which a caller may cache the ranking.
const CACHE_TIME: Duration = Duration::from_secs(10);
/// Connection utilization from which a host is ranked after all less busy hosts.
const BUSY_UTILIZATION: f64 = 0.8;
/// Minimum weight of a host, so that a fully loaded host still gets some callers.
const MIN_WEIGHT: f64 = 0.05;

/// Entry hosts that a caller may use, best first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranking {
    /// Hosts, best first.
    pub hosts: Vec<Endpoint>,
    /// Time for which the caller may cache the ranking, in seconds.
    pub keep_seconds: u64,
}

/// A host that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the host.
    pub host: id::Host,
    /// Data centre of the host.
    pub data_centre: id::DataCentre,
    /// Address for callers.
    pub address: SocketAddr,
}

/// An entry host that accepts new callers.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The host's identity and addresses.
    pub member: Member,
    /// Number of connections and capacity.
    pub load: Load,
}

impl TryFrom<&View> for Candidate {
    type Error = Status;

    /// Fails with the host's status if the host accepts no new callers.
    fn try_from(view: &View) -> Result<Candidate, Status> {
        let admits = matches!(view.freshness, Freshness::Fresh | Freshness::Stale);
        match view.status == Status::Live && admits {
            true => Ok(Candidate { member: view.member.clone(), load: view.load }),
            false => Err(view.status),
        }
    }
}

/// Ranks the candidates for a caller in `data_centre`.
///
/// Busy hosts come after all others; within each of these two groups, hosts of the caller's data
/// centre come first. The remaining order is random by `seed`, weighted by each host's free
/// connections, so that callers spread over the hosts.
pub fn rank(candidates: &[Candidate], data_centre: &str, seed: u64) -> Ranking {
    let mut ranked: Vec<(bool, bool, f64, &Candidate)> = candidates
        .iter()
        .map(|it| {
            let busy = BUSY_UTILIZATION <= it.load.utilization();
            let far = it.member.data_centre != data_centre;
            (busy, far, weighted_key(it, seed), it)
        })
        .collect();
    ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(b.2.total_cmp(&a.2)));
    let endpoint = |(_, _, _, it): (bool, bool, f64, &Candidate)| Endpoint {
        host: it.member.host.clone(),
        data_centre: it.member.data_centre.clone(),
        address: it.member.callers_address,
    };
    Ranking {
        hosts: ranked.into_iter().map(endpoint).collect(),
        keep_seconds: CACHE_TIME.as_secs(),
    }
}

impl Load {
    /// Returns the fraction of the connection capacity in use; 0 if the capacity is unknown.
    pub fn utilization(&self) -> f64 {
        if self.capacity == 0 {
            return 0.0;
        }
        f64::from(self.connections) / f64::from(self.capacity)
    }
}

/// Returns a sort key whose descending order is a random order weighted by free connections.
fn weighted_key(candidate: &Candidate, seed: u64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes()).update(candidate.member.host.as_bytes());
    let hash = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    let uniform = (u64::from_le_bytes(bytes) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let weight = (1.0 - candidate.load.utilization()).max(MIN_WEIGHT);
    uniform.ln() / weight
}
