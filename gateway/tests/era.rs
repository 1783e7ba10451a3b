//! What hosts know while the store comes back from earlier copies, simulated without a network.

mod common;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashSet},
    time::Duration,
};

use fuchsiaknot_core::id;
use fuchsiaknot_gateway::{
    store::{
        Error, era,
        sync::{ConfigurationTable, Table as _, TargetTable},
        watch::{Call, Effect, Step, Update, Watch},
    },
    targets::{
        registry::{Change, Event, Registry},
        target::Target,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

use common::{SERVICE, ms, target};

const REANNOUNCE_GRACE: Duration = Duration::from_millis(2000);
/// Share of answers and updates that take long.
const SLOW_RATIO: f64 = 0.15;
/// Longest time for which an answer is on its way.
const MAX_CALL_TIME: Duration = Duration::from_millis(900);
/// Time for which the store and the targets change.
const ACTIVE_MS: u64 = 25_000;
/// Time for which everything is calm at the end.
const CALM_MS: u64 = 8_000;
/// Interval of the changes.
const TICK_MS: u64 = 50;
/// Time after a restoration within which the operator and the targets write again what was lost.
const REWRITE_MS: u64 = 1500;
/// Number of hosts that watch the store for the others.
const WATCHERS: usize = 2;
/// Targets that announce themselves before anything else and never leave.
const STEADY: [&str; 2] = ["s0", "s1"];

/// What the operator or a target writes.
#[derive(Debug, Clone)]
enum Write {
    Configuration(u64),
    Announce(Target),
    Remove(id::Target),
}

/// Contents of the store.
#[derive(Debug, Clone, Default)]
struct Contents {
    version: u64,
    configuration: (u64, u64),
    targets: BTreeMap<id::Target, (Option<Target>, u64)>,
    /// Number of writes that led to these contents.
    writes: usize,
}

#[derive(Debug, Default)]
struct Store {
    era: u64,
    contents: Contents,
    writes: Vec<Write>,
    /// Contents in the last seconds, the oldest first.
    copies: Vec<Contents>,
    /// Writes that were lost and not yet repeated, and the time until which they are.
    lost: Vec<Write>,
    rewrite_until: u64,
    down_until: u64,
}

impl Store {
    fn write(&mut self, write: Write) {
        let contents = &mut self.contents;
        contents.version += 1;
        contents.writes += 1;
        let version = contents.version;
        match write.clone() {
            Write::Configuration(number) => contents.configuration = (number, version),
            Write::Announce(target) => {
                contents.targets.insert(target.id.clone(), (Some(target), version));
            }
            Write::Remove(id) => {
                contents.targets.insert(id, (None, version));
            }
        }
        self.writes.push(write);
    }

    fn restore(&mut self, copy: Contents, now: u64) {
        let mut lost = self.writes.split_off(copy.writes);
        lost.append(&mut self.lost);
        self.lost = lost;
        self.rewrite_until = now + REWRITE_MS;
        self.contents = copy;
        self.era += 1;
    }
}

/// Answer to a call, with the store's era and version.
#[derive(Debug, Clone)]
struct Answer {
    era: u64,
    version: u64,
    configuration: Option<u64>,
    /// Full contents or changes.
    targets: Vec<(u64, Change)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Table {
    Configuration,
    Targets,
}

#[derive(Debug, Clone)]
enum Packet {
    Configuration(Update<Option<u64>>),
    Targets(Update<Vec<(u64, Change)>>),
}

#[derive(Debug)]
enum Action {
    Tick,
    Step {
        host: usize,
        table: Table,
    },
    Call {
        host: usize,
        table: Table,
        step: Step,
        call_era: u64,
        call: Call,
    },
    Answer {
        host: usize,
        table: Table,
        step: Step,
        call_era: u64,
        call: Call,
        answer: Result<Answer, Error>,
    },
    Packet {
        host: usize,
        packet: Packet,
    },
}

#[derive(Debug)]
struct Host {
    configuration_watch: Watch,
    targets_watch: Watch,
    registry: Registry,
    configuration: Option<u64>,
    /// Highest era in any answer.
    newest_era: u64,
    unreachable_until: u64,
    /// Targets whose removal was the last change that this host applied.
    removals: HashSet<id::Target>,
    /// Targets that this host knew to drain or to be gone.
    left: HashSet<id::Target>,
    calls: Vec<u64>,
}

impl Host {
    fn new() -> Host {
        Host {
            configuration_watch: Watch::new(ConfigurationTable::MAX_POLL_AGE),
            targets_watch: Watch::new(TargetTable::MAX_POLL_AGE),
            registry: Registry::new(),
            configuration: None,
            newest_era: 0,
            unreachable_until: 0,
            removals: HashSet::new(),
            left: HashSet::new(),
            calls: Vec::new(),
        }
    }

    fn watch(&mut self, table: Table) -> &mut Watch {
        match table {
            Table::Configuration => &mut self.configuration_watch,
            Table::Targets => &mut self.targets_watch,
        }
    }

    fn usable(&self) -> BTreeSet<id::Target> {
        self.registry.usable(SERVICE).map(|(_, it)| it.id.clone()).collect()
    }

    /// Records targets that left; one that is only missing for too long may come back.
    fn record(&mut self, events: &[Event]) {
        for event in events {
            match event {
                Event::Draining(_, id) => drop(self.left.insert(id.clone())),
                Event::Removed(_, id) if self.removals.contains(id) => {
                    self.left.insert(id.clone());
                }
                _ => {}
            }
        }
    }
}

struct Simulation {
    now: u64,
    random: StdRng,
    store: Store,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    actions: Vec<Option<Action>>,
    /// Whether restorations, outages and losses occur.
    has_faults: bool,
    last_configuration: u64,
    /// Living targets by name.
    targets: BTreeMap<id::Target, Target>,
    created: usize,
}

impl Simulation {
    fn new(seed: u64, host_count: usize, has_faults: bool) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            random: StdRng::seed_from_u64(seed),
            store: Store::default(),
            hosts: (0..host_count).map(|_| Host::new()).collect(),
            queue: BinaryHeap::new(),
            actions: Vec::new(),
            has_faults,
            last_configuration: 1,
            targets: BTreeMap::new(),
            created: 0,
        };
        simulation.store.write(Write::Configuration(1));
        for id in STEADY {
            simulation.announce(target(id, 1));
        }
        simulation.schedule(0, Action::Tick);
        for host in 0..host_count {
            // Some hosts start late, possibly while the store has just come back.
            let start = match has_faults && simulation.random.random_bool(0.2) {
                true => simulation.random.random_range(0..ACTIVE_MS),
                false => 0,
            };
            for table in [Table::Configuration, Table::Targets] {
                simulation.schedule(start, Action::Step { host, table });
            }
        }
        simulation
    }

    fn schedule(&mut self, delay: u64, action: Action) {
        self.queue.push(Reverse((self.now + delay, self.actions.len())));
        self.actions.push(Some(action));
    }

    fn announce(&mut self, target: Target) {
        self.targets.insert(target.id.clone(), target.clone());
        self.write(Write::Announce(target));
    }

    /// Writes to the store, after the writes that are to be repeated.
    fn write(&mut self, write: Write) {
        match self.store.lost.is_empty() && self.store.down_until <= self.now {
            true => self.store.write(write),
            false => {
                self.store.lost.push(write);
                self.store.rewrite_until = self.store.rewrite_until.max(self.now);
            }
        }
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, index))) = self.queue.peek().copied() {
            if until < at {
                return;
            }
            self.queue.pop();
            self.now = at;
            let action = self.actions[index].take().unwrap();
            self.handle(action);
        }
    }

    fn handle(&mut self, action: Action) {
        match action {
            Action::Tick => self.tick(),
            Action::Step { host, table } => self.step(host, table),
            Action::Call { host, table, step, call_era, call } => {
                self.call(host, table, step, call_era, call);
            }
            Action::Answer { host, table, step, call_era, call, answer } => {
                self.handle_answer(host, table, step, (call_era, call), answer);
            }
            Action::Packet { host, packet } => self.handle_packet(host, packet),
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        if now < ACTIVE_MS && self.has_faults {
            self.change();
        }
        if self.store.down_until <= now && !self.store.lost.is_empty() {
            let remaining = self.store.rewrite_until.saturating_sub(now) / TICK_MS + 1;
            let most = self.store.lost.len().div_ceil(usize::try_from(remaining).unwrap());
            let count = match remaining {
                1 => most,
                _ => self.random.random_range(0..=most),
            };
            let repeated: Vec<Write> = self.store.lost.drain(..count).collect();
            repeated.into_iter().for_each(|it| self.store.write(it));
        }
        if now.is_multiple_of(500) {
            self.store.copies.push(self.store.contents.clone());
            if 10 < self.store.copies.len() {
                self.store.copies.remove(0);
            }
        }
        for host in &mut self.hosts {
            let mut events = host.registry.expire(ms(now));
            let current_at = host.targets_watch.confirmed_at().saturating_sub(MAX_CALL_TIME);
            events.extend(host.registry.settle(current_at, ms(now)));
            host.record(&events);
        }
        self.check();
        self.schedule(TICK_MS, Action::Tick);
    }

    /// Changes the store at random: new announcements, targets that drain or leave, configurations,
    /// outages, and restorations from a copy.
    fn change(&mut self) {
        let now = self.now;
        let victim = {
            let candidates: Vec<&id::Target> =
                self.targets.keys().filter(|it| !STEADY.contains(&it.as_str())).collect();
            match candidates.len() {
                0 => None,
                count => Some(candidates[self.random.random_range(0..count)].clone()),
            }
        };
        match self.random.random_range(0..200) {
            0..4 => {
                self.created += 1;
                self.announce(target(&format!("t{}", self.created), 1));
            }
            10..13 => {
                if let Some(mut target) = victim.map(|it| self.targets[&it].clone()) {
                    target.sequence += 1;
                    target.draining = true;
                    self.announce(target);
                }
            }
            13..15 => {
                if let Some(id) = victim {
                    self.targets.remove(&id);
                    self.write(Write::Remove(id));
                }
            }
            15..18 => {
                self.last_configuration += self.random.random_range(1..4);
                self.write(Write::Configuration(self.last_configuration));
            }
            18 | 50 => {
                let count = self.store.copies.len();
                if 0 < count {
                    let copy = self.random.random_range(0..count);
                    let copy = self.store.copies[copy].clone();
                    self.store.copies.clear();
                    let outage = match self.random.random_bool(0.5) {
                        true => 0,
                        false => self.random.random_range(0..1000),
                    };
                    self.store.restore(copy, now + outage);
                    self.store.down_until = now + outage;
                }
            }
            19 => {
                let host = self.random.random_range(0..self.hosts.len());
                self.hosts[host].unreachable_until = now + self.random.random_range(100..5000);
            }
            20..50 => {
                let index = self.random.random_range(0..self.targets.len());
                let mut target = self.targets.values().nth(index).unwrap().clone();
                target.sequence += 1;
                self.announce(target);
            }
            _ => {}
        }
    }

    fn step(&mut self, host: usize, table: Table) {
        let now = ms(self.now);
        let watch = self.hosts[host].watch(table);
        let (step, call_era) = (watch.next(host < WATCHERS, now), watch.era());
        let call = watch.begin_call();
        if let Step::Sleep(time) = step {
            // A sleeping host is woken when it learns of a change.
            let time = u64::try_from(time.as_millis()).unwrap() + 1;
            return self.schedule(time.min(20), Action::Step { host, table });
        }
        self.hosts[host].calls.push(self.now);
        let delay = self.random.random_range(1..20);
        self.schedule(delay, Action::Call { host, table, step, call_era, call });
    }

    /// Lets the store answer a call; the answer may take long to arrive.
    fn call(&mut self, host: usize, table: Table, step: Step, call_era: u64, call: Call) {
        let (store, now) = (&self.store, self.now);
        let is_down = now < store.down_until || now < self.hosts[host].unreachable_until;
        let contents = &store.contents;
        let after = match step {
            Step::Poll { after, .. } => after,
            _ => 0,
        };
        let is_full = step == Step::Read;
        let answer = if is_down {
            Err(Error::Refused(String::new()))
        } else if contents.version < after {
            self.hosts[host].newest_era = self.hosts[host].newest_era.max(store.era);
            Err(Error::HistoryGone)
        } else {
            let (number, version) = contents.configuration;
            let targets = contents.targets.iter().filter(|(_, it)| after < it.1);
            let targets = targets.filter_map(|(id, (target, version))| match target {
                Some(target) => Some((*version, Change::Announced(target.clone()))),
                None if is_full => None,
                None => Some((*version, Change::Removed(id.clone()))),
            });
            let mut targets: Vec<(u64, Change)> = targets.collect();
            targets.sort_by_key(|it| it.0);
            Ok(Answer {
                era: store.era,
                version: contents.version,
                configuration: (after < version).then_some(number),
                targets,
            })
        };
        let slow = self.has_faults && self.random.random_bool(SLOW_RATIO);
        let delay =
            if slow { MAX_CALL_TIME.as_millis() as u64 } else { self.random.random_range(1..30) };
        self.schedule(delay, Action::Answer { host, table, step, call_era, call, answer });
    }

    fn observe_era(&mut self, host: usize, era: u64) {
        let (host_count, now) = (self.hosts.len(), ms(self.now));
        if era <= self.hosts[host].targets_watch.era() {
            return;
        }
        for table in [Table::Configuration, Table::Targets] {
            let delay = era::read_delay(host_count, self.random.random());
            self.hosts[host].watch(table).start_era(era, delay, REANNOUNCE_GRACE, now);
        }
        let host = &mut self.hosts[host];
        host.registry.unsettle(host.targets_watch.reannounce_deadline());
    }

    fn handle_answer(
        &mut self,
        host: usize,
        table: Table,
        step: Step,
        (call_era, call): (u64, Call),
        answer: Result<Answer, Error>,
    ) {
        let now = ms(self.now);
        if let Ok(answer) = &answer {
            self.hosts[host].newest_era = self.hosts[host].newest_era.max(answer.era);
        }
        self.observe_era(host, self.hosts[host].newest_era);
        let is_full = step == Step::Read;
        let watch = self.hosts[host].watch(table);
        let checked =
            answer.and_then(|it| watch.check_answer(is_full, call_era, Some(it.era)).map(|()| it));
        let delay = match checked {
            Ok(answer) => {
                let known = watch.record_answer(
                    call,
                    answer.version,
                    Duration::ZERO,
                    REANNOUNCE_GRACE,
                    now,
                );
                let era = watch.era();
                match is_full && answer.version < known {
                    true => watch.mark_behind(now),
                    false => self.apply(host, table, step, known, Answer { era, ..answer }),
                }
                TICK_MS
            }
            Err(Error::HistoryGone) if watch.era() != call_era => {
                watch.record_contact();
                0
            }
            Err(Error::EarlierEra) => 100,
            Err(err) => {
                watch.record_failure(err == Error::HistoryGone, now);
                self.random.random_range(100..800)
            }
        };
        self.check();
        self.schedule(delay, Action::Step { host, table });
    }

    /// Applies an answer on a host and, on a watcher, sends the changes to the others.
    fn apply(&mut self, index: usize, table: Table, step: Step, known: u64, answer: Answer) {
        let now = ms(self.now);
        let host = &mut self.hosts[index];
        let after = match step {
            Step::Poll { after, .. } => after,
            _ => match table {
                Table::Configuration => ConfigurationTable::covered_after(answer.version),
                Table::Targets => TargetTable::covered_after(answer.version),
            },
        };
        let update = Update {
            after,
            up_to: answer.version,
            age: Duration::ZERO,
            contents: (),
            era: answer.era,
        };
        let packet = match table {
            Table::Configuration => {
                host.configuration = host.configuration.max(answer.configuration);
                Packet::Configuration(with_contents(&update, host.configuration))
            }
            Table::Targets => {
                let deadline = host.targets_watch.reannounce_deadline();
                let changes = match step {
                    Step::Read => {
                        let announced = answer.targets.into_iter().filter_map(|it| match it.1 {
                            Change::Announced(target) => Some(target),
                            Change::Removed(_) | Change::Unreadable(_) => None,
                        });
                        let events = host.registry.replace(announced.collect(), deadline, now);
                        host.record(&events);
                        let new = events.iter().filter_map(|it| match it {
                            Event::Added(key, _) | Event::Draining(key, _) => {
                                host.registry.get(*key).cloned()
                            }
                            _ => None,
                        });
                        new.map(|it| (answer.version, Change::Announced(it))).collect()
                    }
                    _ => {
                        let new = answer.targets.iter().filter(|it| known < it.0).cloned();
                        apply_changes(host, new.collect(), now);
                        answer.targets
                    }
                };
                Packet::Targets(with_contents(&update, changes))
            }
        };
        if WATCHERS <= index {
            return;
        }
        for host in (0..self.hosts.len()).filter(|it| *it != index) {
            if self.has_faults && self.random.random_bool(0.1) {
                continue;
            }
            let slow = self.has_faults && self.random.random_bool(SLOW_RATIO);
            let delay = if slow { 3000 } else { self.random.random_range(1..20) };
            self.schedule(delay, Action::Packet { host, packet: packet.clone() });
        }
    }

    fn handle_packet(&mut self, index: usize, packet: Packet) {
        let now = ms(self.now);
        match packet {
            Packet::Configuration(update) => {
                self.observe_era(index, update.era);
                let host = &mut self.hosts[index];
                match host.configuration < update.contents {
                    true => host.configuration_watch.mark_behind(now),
                    false => {
                        host.configuration_watch.apply_update(&update, REANNOUNCE_GRACE, now);
                    }
                }
            }
            Packet::Targets(update) => {
                self.observe_era(index, update.era);
                let host = &mut self.hosts[index];
                let effect = host.targets_watch.apply_update(&update, REANNOUNCE_GRACE, now);
                if let Effect::NewAfter(known) = effect {
                    let new = update.contents.into_iter().filter(|it| known < it.0);
                    apply_changes(host, new.collect(), now);
                }
            }
        }
        self.check();
    }

    /// Checks what holds at any time.
    fn check(&self) {
        if !self.has_faults {
            return;
        }
        for (index, host) in self.hosts.iter().enumerate() {
            let usable = host.usable();
            if host.targets_watch.is_known() {
                for id in STEADY {
                    assert!(usable.contains(id), "{} ms: host {index} lost {id}", self.now);
                }
            }
            for id in &host.left {
                assert!(!usable.contains(id), "{} ms: host {index} uses {id} again", self.now);
            }
        }
    }

    /// Checks that each host knows what the store lists.
    fn check_converged(&self) {
        let contents = &self.store.contents;
        assert!(self.store.lost.is_empty());
        let listed = contents.targets.values().filter_map(|it| it.0.as_ref());
        let listed: BTreeSet<id::Target> =
            listed.filter(|it| !it.draining).map(|it| it.id.clone()).collect();
        for (index, host) in self.hosts.iter().enumerate() {
            assert_eq!(host.configuration, Some(contents.configuration.0), "host {index}");
            assert_eq!(host.usable(), listed, "host {index}");
            assert_eq!(host.targets_watch.era(), self.store.era, "host {index}");
        }
    }
}

fn with_contents<T>(update: &Update<()>, contents: T) -> Update<T> {
    let Update { after, up_to, age, era, .. } = *update;
    Update { after, up_to, age, contents, era }
}

fn apply_changes(host: &mut Host, changes: Vec<(u64, Change)>, now: Duration) {
    let deadline = host.targets_watch.reannounce_deadline();
    for (_, change) in &changes {
        match change {
            Change::Removed(id) | Change::Unreadable(id) => host.removals.insert(id.clone()),
            Change::Announced(target) => host.removals.remove(&target.id),
        };
    }
    let apply = |(_, change)| host.registry.apply(change, deadline, now);
    let events: Vec<Event> = changes.into_iter().filter_map(apply).collect();
    host.record(&events);
}

/// Runs a simulation with faults to its end, and returns the number of restorations.
fn run_to_end(seed: u64) -> u64 {
    let host_count = 2 + usize::try_from(seed % 8).unwrap();
    println!("seed {seed}, {host_count} hosts");
    let mut simulation = Simulation::new(seed, host_count, true);
    simulation.run(ACTIVE_MS + CALM_MS);
    simulation.check_converged();
    simulation.store.era
}

/// While the store comes back from copies, also twice in a row, with outages that only some hosts
/// see, lost and late updates and late answers: no host loses a target that stays, uses one again
/// that it knew to have left, or ends with anything but what the store lists.
#[test]
fn eras_converge() {
    let restorations: u64 = (0..40).map(run_to_end).sum();
    assert!(40 < restorations, "{restorations} restorations");
}

/// Seeds that failed once.
#[rstest]
// A second restoration did not extend the time of targets that were not used because of the first.
#[case::second_copy(9)]
// An answer was applied after updates that had overtaken it.
#[case::overtaken(36)]
// A target was used again when its time had passed, though no answer had confirmed it since.
#[case::unconfirmed(38)]
// The last announcement before a removal had not been read, so that it seemed to be a new one.
#[case::unread_announcement(114)]
// The confirmation was an answer that had been on its way since before the removal.
#[case::slow_confirmation(268)]
// A draining target that the copy lacked was forgotten before its announcement was written again.
#[case::draining_forgotten(342)]
// Two slow answers in a row ended after the time in which a removal is written again.
#[case::slow_answers(469)]
// An update that arrived seconds late counted as a confirmation, though later ones had come.
#[case::late_update(548)]
fn failed_eras(#[case] seed: u64) {
    run_to_end(seed);
}

/// The seeds of `ERA_SEEDS=first..last`.
#[test]
#[ignore = "long; run by hand with ERA_SEEDS"]
fn many_eras() {
    let seeds = std::env::var("ERA_SEEDS").expect("ERA_SEEDS=first..last");
    let (first, last) = seeds.split_once("..").expect("ERA_SEEDS=first..last");
    let seeds = first.parse().unwrap()..last.parse().unwrap();
    let restorations: u64 = seeds.map(run_to_end).sum();
    println!("{restorations} restorations");
}

/// When the store comes back, all hosts read its tables again, each a bounded number of times, and
/// together within the store's rate of 2,000 reads a second.
#[rstest]
#[case(9)]
#[case(95)]
#[case(300)]
fn calls_spread(#[case] host_count: usize) {
    let mut simulation = Simulation::new(1, host_count, false);
    simulation.run(3000);
    let copy = simulation.store.contents.clone();
    simulation.store.write(Write::Configuration(2));
    simulation.run(4000);
    simulation.store.restore(copy, simulation.now);
    let restored_at = simulation.now;
    simulation.run(restored_at + 1000);
    for host in &simulation.hosts {
        for watch in [&host.configuration_watch, &host.targets_watch] {
            assert_eq!(watch.era(), 1);
            assert!(watch.confirmed_at() > ms(restored_at), "not read within a second");
        }
    }
    let calls = |host: &Host| host.calls.iter().filter(|it| restored_at < **it).count();
    let most = simulation.hosts[WATCHERS..].iter().map(calls).max().unwrap();
    let mut windows: BTreeMap<u64, usize> = BTreeMap::new();
    for at in simulation.hosts.iter().flat_map(|it| &it.calls).filter(|it| restored_at < **it) {
        *windows.entry((at - restored_at) / 100).or_default() += 1;
    }
    let busiest = windows.values().max().unwrap();
    println!("{host_count} hosts: at most {most} calls a host, {busiest} calls in 100 ms");
    assert!(most <= 4, "{most} calls of one host: the poll that fails and the read, of two tables");
    assert!(*busiest <= 200, "{busiest} calls in 100 ms");
}

/// The hosts' announcements after the store came back stay below its rate of 150 writes a second in
/// one partition.
#[rstest]
#[case(9)]
#[case(95)]
#[case(300)]
fn announcements_spread(#[case] host_count: usize) {
    let mut random = StdRng::seed_from_u64(1);
    let mut at: Vec<Duration> =
        (0..host_count).map(|_| era::announcement_delay(host_count, random.random())).collect();
    at.sort();
    let within_second =
        |index: usize| at.iter().skip(index).filter(|it| **it < at[index] + ms(1000)).count();
    let most = (0..host_count).map(within_second).max().unwrap();
    println!("{host_count} hosts: at most {most} announcements in a second");
    assert!(most <= 150, "{most} announcements in a second");
}
