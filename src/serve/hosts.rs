//! Which entry host a caller should use.

use std::{net::SocketAddr, sync::RwLock, time::Duration};

use serde::Serialize;

use crate::{
    id,
    platform::{Kind, Machine, State},
};

/// Time for which a caller may keep the answer.
const KEEP: Duration = Duration::from_secs(10);

/// Entry hosts as last listed.
#[derive(Debug)]
pub struct Hosts {
    own: id::Host,
    listed: RwLock<Vec<Machine>>,
}

impl Hosts {
    /// Creates an empty list for the host `own`.
    pub fn new(own: id::Host) -> Hosts {
        Hosts { own, listed: RwLock::default() }
    }

    /// Takes over the platform's list.
    pub fn list(&self, machines: &[Machine]) {
        let hosts = machines.iter().filter(|it| it.kind == Kind::Entry).cloned().collect();
        *self.listed.write().expect("host lock poisoned") = hosts;
    }

    /// Returns the callers' addresses of the other hosts that stay.
    pub fn others(&self) -> Vec<SocketAddr> {
        let listed = self.listed.read().expect("host lock poisoned");
        let others = listed.iter().filter(|it| it.name != self.own && it.state == State::Live);
        others.map(|it| it.address).collect()
    }

    /// Returns the answer to a caller.
    pub fn answer(&self) -> Answer {
        let listed = self.listed.read().expect("host lock poisoned");
        let live = listed.iter().filter(|it| it.state == State::Live);
        let hosts = live.map(|it| Entry { name: it.name.clone(), address: it.address }).collect();
        Answer { hosts, keep_ms: KEEP.as_millis() as u64 }
    }
}

/// Entry hosts that a caller may use, the best first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// Hosts.
    pub hosts: Vec<Entry>,
    /// Time for which the answer may be kept, in milliseconds.
    pub keep_ms: u64,
}

/// One entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Name.
    pub name: id::Host,
    /// Callers' address.
    pub address: SocketAddr,
}
