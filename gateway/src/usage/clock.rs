//! Time of day that the hosts agree on, although those of some hosts may be off or jump.
//!
//! Answers clocks of single hosts that step by seconds: the holder of the duties takes the median of
//! all hosts' clocks and tells them, and each host keeps it by its own steady clock.

use std::collections::{BTreeMap, VecDeque};

use fuchsiaknot_core::{clock::Moment, id};

use crate::usage::UnixTime;

/// Number of the last samples of a host that count.
const SAMPLES: usize = 3;

/// Difference between the time of day and this host's steady clock, in milliseconds.
type Offset = i64;

/// Last samples of an offset. A message that took long makes a sample too low, so the highest counts.
#[derive(Debug, Clone, Default)]
struct Samples(VecDeque<Offset>);

impl Samples {
    fn push(&mut self, offset: Offset) {
        if self.0.len() == SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back(offset);
    }

    fn offset(&self) -> Option<Offset> {
        self.0.iter().max().copied()
    }
}

/// This host's view of the time of day.
#[derive(Debug)]
pub struct Clock {
    /// Offset of this host's own clock when it started.
    initial: Offset,
    /// Offsets by which other hosts' clocks differ from this one's steady clock.
    peers: BTreeMap<id::Host, Samples>,
    /// What the holder of the duties says.
    agreed: Samples,
}

impl Clock {
    /// Creates the clock of a host whose own time of day is `time`.
    pub fn new(time: UnixTime, now: Moment) -> Clock {
        let initial = offset(time, now);
        Clock { initial, peers: BTreeMap::new(), agreed: Samples::default() }
    }

    /// Returns the time of day.
    pub fn time(&self, now: Moment) -> UnixTime {
        let now = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        let offset = self.agreed.offset().unwrap_or(self.initial);
        let time = now.saturating_add(offset);
        UnixTime::from_millis(u64::try_from(time).unwrap_or_default())
    }

    /// Records the time that a host reads on its own clock; on the holder of the duties.
    pub fn observe_host(&mut self, host: &id::Host, time: UnixTime, now: Moment) {
        self.peers.entry(host.clone()).or_default().push(offset(time, now));
    }

    /// Records the time that the holder of the duties has agreed on.
    pub fn observe_agreed(&mut self, time: UnixTime, now: Moment) {
        self.agreed.push(offset(time, now));
    }

    /// Agrees on the median of the clocks of the hosts that are up, once most of them are known; on
    /// the holder of the duties.
    pub fn agree(&mut self, up: &[id::Host]) {
        self.peers.retain(|host, _| up.contains(host));
        let mut offsets: Vec<Offset> = self.peers.values().filter_map(Samples::offset).collect();
        if offsets.len() * 2 <= up.len() {
            return;
        }
        offsets.sort_unstable();
        self.agreed = Samples(VecDeque::from([offsets[offsets.len() / 2]]));
    }
}

fn offset(time: UnixTime, now: Moment) -> Offset {
    let ms = |it: UnixTime| i64::try_from(it.as_millis()).unwrap_or(i64::MAX);
    ms(time).saturating_sub(ms(now))
}
