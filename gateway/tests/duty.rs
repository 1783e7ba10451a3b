//! The lease of the duties under suspended, killed and restarted hosts, lost answers, late writes and
//! a store that comes back from earlier copies, simulated without a network.

use std::{collections::BTreeMap, time::Duration};

use fuchsiaknot_core::{
    clock::Moment,
    lease::{Attempt, Owner, Purpose, Record},
};
use fuchsiaknot_gateway::duty::{
    MAX_CALL_TIME,
    lease::{Claim, Config, Lease, Role},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use smol_str::format_smolstr;

const HOSTS: usize = 4;
const STEP_MS: u64 = 50;
/// Time after which a host takes a call to the store for lost.
const CALL_TIMEOUT_MS: u64 = 900;
/// Time from the start of a shutdown to the next start of the host.
const SHUTDOWN_MS: u64 = 1200;
/// Time with faults.
const FAULTY_MS: u64 = 120_000;
/// Time without, in which a host has to take the duties.
const CALM_MS: u64 = 30_000;

#[derive(Debug, Clone, Default)]
struct Row {
    version: u64,
    record: Option<Record>,
}

#[derive(Debug, Clone, Default)]
struct Store {
    /// Version of the whole store, which other rows raise too.
    version: u64,
    row: Row,
}

#[derive(Debug, Clone)]
enum Answer {
    Row(u64, Row),
    Committed(Attempt, u64, u64),
    Lost,
}

#[derive(Debug)]
enum Event {
    Read {
        host: usize,
        run: u64,
    },
    /// A write arrives at the store; nobody waits for the answer to a late one.
    Write {
        host: usize,
        run: u64,
        attempt: Attempt,
        is_late: bool,
    },
    Answer {
        host: usize,
        run: u64,
        answer: Answer,
    },
    Claim {
        host: usize,
        claim: Claim,
    },
}

struct Host {
    lease: Lease,
    run: u64,
    /// Whether the host waits for the store.
    is_calling: bool,
    suspended_until: u64,
    /// Time since which the host shuts down.
    leaving_since: Option<u64>,
    /// Offset of its clock, and speed in thousandths.
    clock: (u64, u64),
    inbox: Vec<Event>,
}

impl Host {
    fn now(&self, time: u64) -> Moment {
        let (offset, speed) = self.clock;
        Duration::from_micros(offset * 1000 + time * speed)
    }
}

struct World {
    rng: StdRng,
    time: u64,
    era: u64,
    store: Store,
    copies: Vec<Store>,
    hosts: Vec<Host>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    turn_interval: Duration,
    /// Share of steps in which a host begins to shut down.
    leaving_ratio: f64,
    /// Calls to the platform: time, host and fencing token.
    calls: Vec<(u64, usize, u64)>,
}

fn new_lease(turn_interval: Duration, host: usize, run: u64, now: Moment) -> Lease {
    let owner = Owner { host: format_smolstr!("h{host}"), incarnation: run };
    Lease::new(owner, Config::new(turn_interval), now)
}

impl World {
    fn new(seed: u64, turn_interval: Duration, leaving_ratio: f64) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|index| {
            let clock = (rng.random_range(0..100_000), rng.random_range(990..=1010));
            let mut host = Host {
                lease: new_lease(turn_interval, index, 0, Moment::ZERO),
                run: 0,
                is_calling: false,
                suspended_until: 0,
                leaving_since: None,
                clock,
                inbox: Vec::new(),
            };
            host.lease = new_lease(turn_interval, index, 0, host.now(0));
            host
        });
        let hosts = hosts.collect();
        let (store, copies) = (Store::default(), vec![Store::default()]);
        let (events, calls) = (BTreeMap::new(), Vec::new());
        World {
            rng,
            time: 0,
            era: 0,
            store,
            copies,
            hosts,
            events,
            sequence: 0,
            turn_interval,
            leaving_ratio,
            calls,
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.time + delay, self.sequence), event);
    }

    fn chance(&mut self, ratio: f64) -> bool {
        self.time < FAULTY_MS && self.rng.random_bool(ratio)
    }

    fn run(&mut self) {
        while self.time < FAULTY_MS + CALM_MS {
            self.time += STEP_MS;
            self.disturb();
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.time
            {
                let event = entry.remove();
                self.handle(event);
            }
            self.store.version += 1;
            if self.time.is_multiple_of(500) {
                self.copies.push(self.store.clone());
            }
            for host in 0..HOSTS {
                if self.hosts[host].suspended_until <= self.time {
                    for event in std::mem::take(&mut self.hosts[host].inbox) {
                        self.receive(event);
                    }
                    self.step(host);
                }
            }
        }
    }

    fn disturb(&mut self) {
        if self.chance(0.001) {
            let oldest = self.copies.len().saturating_sub(20);
            let chosen = self.rng.random_range(oldest..self.copies.len());
            self.copies.truncate(chosen + 1);
            self.store = self.copies[chosen].clone();
            self.era += 1;
        }
        for index in 0..HOSTS {
            if self.chance(0.002) {
                let until = self.time + self.rng.random_range(100..8000);
                self.hosts[index].suspended_until = until;
            }
            if self.chance(0.001) {
                self.restart(index);
            }
            if self.chance(self.leaving_ratio) {
                self.hosts[index].leaving_since.get_or_insert(self.time);
            }
            if self.hosts[index].leaving_since.is_some_and(|it| it + SHUTDOWN_MS <= self.time) {
                self.restart(index);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let (time, turn_interval) = (self.time, self.turn_interval);
        let host = &mut self.hosts[index];
        host.run += 1;
        host.lease = new_lease(turn_interval, index, host.run, host.now(time));
        (host.is_calling, host.leaving_since) = (false, None);
        host.inbox.clear();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Read { host, run } => {
                let answer = Answer::Row(self.era, self.store.row.clone());
                self.answer(host, run, answer);
            }
            Event::Write { host, run, attempt, is_late } => {
                let answer = match self.store.row.version == attempt.expected {
                    true => {
                        self.store.version += 1;
                        let (version, record) = (self.store.version, Some(attempt.record.clone()));
                        self.store.row = Row { version, record };
                        Answer::Committed(attempt, self.era, version)
                    }
                    false => Answer::Row(self.era, self.store.row.clone()),
                };
                if !is_late {
                    self.answer(host, run, answer);
                }
            }
            Event::Answer { host, .. } | Event::Claim { host, .. } => {
                self.hosts[host].inbox.push(event);
            }
        }
    }

    fn answer(&mut self, host: usize, run: u64, answer: Answer) {
        let is_lost = self.chance(0.1);
        let (answer, delay) = match is_lost {
            true => (Answer::Lost, CALL_TIMEOUT_MS),
            false => (answer, self.rng.random_range(1..200)),
        };
        self.schedule(delay, Event::Answer { host, run, answer });
    }

    /// Handles what has arrived at a host that runs.
    fn receive(&mut self, event: Event) {
        match event {
            Event::Claim { host, claim } => {
                let now = self.hosts[host].now(self.time);
                self.hosts[host].lease.observe_claim(claim, now);
            }
            Event::Answer { host, run, answer } if run == self.hosts[host].run => {
                let now = self.hosts[host].now(self.time);
                self.hosts[host].is_calling = false;
                let lease = &mut self.hosts[host].lease;
                match answer {
                    Answer::Lost => {}
                    Answer::Row(era, row) => lease.observe(era, row.version, row.record, now),
                    Answer::Committed(attempt, era, version) => {
                        lease.committed(&attempt, era, version, now);
                        let is_released = attempt.purpose == Purpose::Release;
                        let (era, epoch) = (lease.era(), attempt.record.epoch);
                        let released = Claim { era, version, epoch, is_released };
                        let claim = if is_released { Some(released) } else { lease.claim(now) };
                        self.announce(host, claim);
                    }
                }
            }
            _ => {}
        }
    }

    fn announce(&mut self, from: usize, claim: Option<Claim>) {
        let Some(claim) = claim else { return };
        for host in (0..HOSTS).filter(|it| *it != from) {
            if !self.chance(0.2) {
                let delay = if self.chance(0.1) { 3000 } else { 5 };
                self.schedule(delay, Event::Claim { host, claim });
            }
        }
    }

    fn step(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let now = host.now(self.time);
        if host.leaving_since.is_none()
            && let Some(tenure) = host.lease.tenure(now)
        {
            self.calls.push((self.time, index, tenure.credential.epoch));
        }
        let call_time = MAX_CALL_TIME.as_millis() as u64;
        let has_stopped = host.leaving_since.is_none_or(|it| it + call_time <= self.time);
        if host.is_calling || !has_stopped {
            return;
        }
        let rank = u32::try_from(index).unwrap();
        let role = match host.leaving_since {
            Some(_) => Role::Leaving,
            None => Role::Candidate { rank },
        };
        let token = self.rng.random();
        let (run, attempt) = (host.run, host.lease.next_write(role, now, token));
        let Some(attempt) = attempt else {
            if host.lease.needs_read(role, now) {
                host.is_calling = true;
                self.schedule(5, Event::Read { host: index, run });
            }
            return;
        };
        host.is_calling = true;
        let is_late = self.chance(0.1);
        let delay = if is_late { self.rng.random_range(1000..9000) } else { 5 };
        self.schedule(delay, Event::Write { host: index, run, attempt, is_late });
        if is_late {
            let answer = Answer::Lost;
            self.schedule(CALL_TIMEOUT_MS, Event::Answer { host: index, run, answer });
        }
    }
}

/// Fencing tokens rise with each holder, and no two hosts take turns within the interval.
#[rstest]
fn one_holder(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64, #[values(3, 8)] turn_seconds: u64) {
    let turn_interval = Duration::from_secs(turn_seconds);
    for seed in block * 25..(block + 1) * 25 {
        let mut world = World::new(seed, turn_interval, 0.01);
        world.run();
        for pair in world.calls.windows(2) {
            let ((_, host, epoch), (time, next_host, next_epoch)) = (pair[0], pair[1]);
            assert!(epoch <= next_epoch, "seed {seed}: lower fencing token at {time}");
            let is_same = host == next_host;
            assert!(is_same || epoch < next_epoch, "seed {seed}: shared fencing token at {time}");
        }
        let mut last_calls = [None; HOSTS];
        let mut last_host = None;
        for (time, host, _) in &world.calls {
            if last_host.is_some_and(|it| it != *host)
                && let Some(earlier) = last_calls[*host]
            {
                let interval = turn_interval.as_millis() as u64;
                assert!(earlier + interval <= *time, "seed {seed}: turns at {time}");
            }
            (last_calls[*host], last_host) = (Some(*time), Some(*host));
        }
        let last = world.calls.last().map_or(0, |it| it.0);
        assert!(FAULTY_MS + CALM_MS - 1000 < last, "seed {seed}: no holder after {last}");
    }
}

/// One host holds the duties without faults, and makes two writes in three seconds.
#[test]
fn few_writes() {
    let mut world = World::new(1, Duration::from_secs(3), 0.0);
    world.time = FAULTY_MS;
    let before = world.store.version;
    world.run();
    let steps = CALM_MS / STEP_MS;
    let writes = world.store.version - before - steps;
    assert!(writes <= CALM_MS / 1500, "{writes} writes");
    assert!(world.calls.iter().all(|it| it.1 == 0));
}
