//! Arrivals of a crashing request after its recognition, over hosts that lose datagrams and restart.
//!
//! The model sends what [`fuchsiaknot_gateway::targets::poison`] decides in the way of
//! `poison_reports`: to all hosts, to three at random, or as an answer; each datagram may be lost.

use std::{collections::HashSet, time::Duration};

use fuchsiaknot_core::clock::Moment;
use fuchsiaknot_gateway::targets::{
    poison::{Admission, Detector, MAX_REPORTED, Report},
    poison_inquiry::{Answer, Inquiry, Query},
    target::Run,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IteratorRandom as _};
use rstest::rstest;

const POISON: u64 = 7;
const FANOUT: usize = 3;
const CONTACT_TIME: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(100);
/// Time for which a killed or stopped host is away.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Arrivals that the rule allows later than [`CONTACT_TIME`] after the third crash.
const MAX_LATE: usize = 3;

enum Datagram {
    Break(Run),
    Reports(Vec<Report>),
    Query(Query),
    Answer(Answer),
}

struct Host {
    detector: Detector,
    inquiry: Inquiry,
    started_at: Moment,
    down_until: Moment,
}

impl Host {
    fn new(started_at: Moment) -> Host {
        let (detector, inquiry) = (Detector::default(), Inquiry::new(started_at));
        Host { detector, inquiry, started_at, down_until: started_at }
    }
}

struct Model {
    hosts: Vec<Host>,
    rng: StdRng,
    loss: f64,
    now: Moment,
    /// Datagrams under way, with their senders and receivers.
    under_way: Vec<(usize, usize, Datagram)>,
    /// Arrivals at targets, each a crash, and whether the sender was in touch.
    crashes: Vec<(Moment, bool)>,
}

impl Model {
    fn new(host_count: usize, loss: f64, seed: u64) -> Model {
        let hosts = (0..host_count).map(|_| Host::new(Moment::ZERO)).collect();
        let rng = StdRng::seed_from_u64(seed);
        let now = Duration::from_secs(20);
        Model { hosts, rng, loss, now, under_way: Vec::new(), crashes: Vec::new() }
    }

    fn is_up(&self, host: usize) -> bool {
        self.hosts[host].down_until <= self.now
    }

    fn send(&mut self, from: usize, to: usize, datagram: Datagram) {
        if to != from && self.is_up(to) && !self.rng.random_bool(self.loss) {
            self.under_way.push((from, to, datagram));
        }
    }

    fn some_peers(&mut self, from: usize) -> Vec<usize> {
        let picked = (0..2 * FANOUT).map(|_| self.rng.random_range(0..self.hosts.len()));
        let picked: HashSet<usize> = picked.collect();
        picked.into_iter().filter(|it| *it != from && self.is_up(*it)).take(FANOUT).collect()
    }

    fn announce(&mut self, from: usize) {
        let Some(report) = self.hosts[from].detector.report(POISON, self.now) else { return };
        for to in 0..self.hosts.len() {
            self.send(from, to, Datagram::Reports(vec![report]));
        }
    }

    fn pass_on(&mut self, from: usize) {
        let report = self.hosts[from].detector.report(POISON, self.now);
        for to in self.some_peers(from) {
            self.send(from, to, Datagram::Reports(report.into_iter().collect()));
        }
    }

    fn receive(&mut self, from: usize, to: usize, datagram: Datagram) {
        let (now, host) = (self.now, &mut self.hosts[to]);
        let is_learned = match datagram {
            Datagram::Break(run) => host.detector.record_interrupted_run(POISON, run, now),
            Datagram::Reports(reports) => {
                !host.detector.apply_reports(&reports, now).learned.is_empty()
            }
            Datagram::Query(query) => {
                let reports = host.detector.reports_after(query.after, now);
                let is_complete = host.inquiry.is_complete(now);
                self.send(to, from, Datagram::Answer(Answer { query, is_complete, reports }));
                false
            }
            Datagram::Answer(answer) => {
                host.inquiry.record_answer(&answer);
                !host.detector.apply_reports(&answer.reports, now).learned.is_empty()
            }
        };
        if is_learned {
            self.pass_on(to);
        }
    }

    /// Lets the datagrams arrive, and the hosts send their reports and queries.
    fn step(&mut self) {
        self.now += STEP;
        for (from, to, datagram) in std::mem::take(&mut self.under_way) {
            if self.is_up(to) {
                self.receive(from, to, datagram);
            }
        }
        for host in (0..self.hosts.len()).filter(|it| self.is_up(*it)).collect::<Vec<_>>() {
            let age = (self.now - self.hosts[host].started_at).as_millis();
            // The hosts are not in step with each other.
            let age = age + host as u128 * STEP.as_millis();
            if age.is_multiple_of(1000) {
                self.hosts[host].detector.expire(self.now);
                let reports = self.hosts[host].detector.next_reports(self.now);
                for to in self.some_peers(host) {
                    self.send(host, to, Datagram::Reports(reports.clone()));
                }
            }
            if age.is_multiple_of(200) && !self.hosts[host].inquiry.is_ended(self.now) {
                let query = self.hosts[host].inquiry.query();
                for to in self.some_peers(host) {
                    self.send(host, to, Datagram::Query(query));
                }
            }
        }
    }

    /// The caller sends the request to a host, which sends it to a target and, once, to another one.
    fn arrive(&mut self) {
        let hosts = (0..self.hosts.len()).filter(|it| self.is_up(*it));
        let Some(host) = hosts.collect::<Vec<_>>().into_iter().choose(&mut self.rng) else {
            return;
        };
        // Any host may hold itself for the dispatcher in turn; the first one that is up is.
        let is_dispatcher = (0..host).all(|it| !self.is_up(it));
        let state = &mut self.hosts[host];
        let may_try = is_dispatcher && state.inquiry.is_complete(self.now);
        let admission = state.detector.admit(POISON, may_try, self.now);
        if admission == Admission::Tried {
            self.announce(host);
        }
        if admission == Admission::Refused {
            return;
        }
        for _ in 0..2 {
            let is_in_touch = self.hosts[host].started_at + CONTACT_TIME <= self.now;
            self.crashes.push((self.now, is_in_touch));
            let run = Run { target: "a".into(), incarnation: Some(self.crashes.len() as u64) };
            let detector = &mut self.hosts[host].detector;
            let is_learned = detector.record_interrupted_run(POISON, run.clone(), self.now);
            for to in 0..self.hosts.len() {
                self.send(host, to, Datagram::Break(run.clone()));
            }
            if is_learned {
                self.announce(host);
            }
            if self.hosts[host].detector.is_refused(POISON, self.now) {
                return;
            }
        }
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host] = Host::new(self.now + DOWN_TIME);
    }

    /// Returns the number of arrivals that the rule counts, sent by hosts in touch later than the
    /// contact time after the third crash, and of those sent then by hosts that had just started.
    fn late(&self) -> Late {
        let Some((third, _)) = self.crashes.get(2) else { return Late::default() };
        let late = self.crashes.iter().filter(|(at, _)| *third + CONTACT_TIME < *at);
        let (total, counted) =
            (late.clone().count(), late.filter(|(_, is_in_touch)| *is_in_touch).count());
        Late { counted, fresh: total - counted }
    }
}

/// Late arrivals; the largest numbers of several runs.
#[derive(Debug, Default, Clone, Copy)]
struct Late {
    counted: usize,
    fresh: usize,
}

impl Late {
    fn max(self, other: Late) -> Late {
        let counted = self.counted.max(other.counted);
        Late { counted, fresh: self.fresh.max(other.fresh) }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Restart {
    No,
    /// One host, at a random moment after the first crash.
    One,
    /// All hosts in turn, one each few seconds.
    InTurn,
    /// All hosts at the same moment, once the request is recognised.
    AtOnce,
}

/// Returns the late arrivals of one run; `pause` is the time between two arrivals.
fn late_arrivals(
    host_count: usize,
    loss: f64,
    restart: Restart,
    pause: Duration,
    seed: u64,
) -> Late {
    let mut model = Model::new(host_count, loss, seed);
    let steps = 1 + (if restart == Restart::InTurn { 7 * host_count as u64 } else { 60 }) + 800;
    let end = model.now + Duration::from_secs(steps);
    let begin = model.now + Duration::from_secs(10);
    let one_at = model.now + Duration::from_millis(model.rng.random_range(0..20) * 500);
    let (mut next_arrival, mut restarted) = (model.now, HashSet::new());
    while model.now < end {
        if next_arrival <= model.now {
            model.arrive();
            next_arrival = model.now + pause;
        }
        let due: Vec<usize> = match restart {
            Restart::No => Vec::new(),
            Restart::One if one_at <= model.now => vec![host_count / 2],
            Restart::AtOnce if begin <= model.now => (0..host_count).collect(),
            Restart::InTurn if begin <= model.now => {
                let count = (model.now - begin).as_secs() as usize / 7;
                (0..host_count.min(1 + count)).collect()
            }
            _ => Vec::new(),
        };
        for host in due {
            if restarted.insert(host) {
                model.restart(host);
            }
        }
        model.step();
    }
    model.late()
}

/// A crashing request reached targets again after a minute, and after restarts of the hosts in turn.
///
/// Of the late arrivals up to two are trials. Hosts that have just started are not in touch yet and may
/// send the request before a peer has answered their query: they are counted apart.
#[rstest]
#[case::few_hosts(9, 6, &[0.0, 0.02, 0.1, 0.3])]
#[case::many_hosts(95, 1, &[0.02, 0.3])]
fn bounded(#[case] host_count: usize, #[case] seeds: u64, #[case] losses: &[f64]) {
    for restart in [Restart::No, Restart::One, Restart::InTurn] {
        for loss in losses {
            let run = |seed| {
                let pause = Duration::from_millis(if seed % 2 == 0 { 500 } else { 3800 });
                late_arrivals(host_count, *loss, restart, pause, seed)
            };
            let most = (0..seeds).map(run).fold(Late::default(), Late::max);
            println!("{host_count} hosts, {restart:?}, loss {loss}: {most:?}");
            assert!(most.counted <= MAX_LATE, "{most:?} with {restart:?}, loss {loss}");
        }
    }
}

/// If all hosts restart at the same moment, all is forgotten, and the request is recognised anew after
/// three crashes.
#[rstest]
#[case::few_hosts(9, 6)]
#[case::many_hosts(95, 1)]
fn all_at_once(#[case] host_count: usize, #[case] seeds: u64) {
    let pause = Duration::from_millis(3800);
    let run = |seed| late_arrivals(host_count, 0.1, Restart::AtOnce, pause, seed);
    let most = (0..seeds).map(run).fold(Late::default(), Late::max);
    println!("{host_count} hosts, all at once: {most:?}");
    let total = most.counted + most.fresh;
    assert!((3..=8).contains(&total), "{most:?}");
}

/// A report of as many requests as it may hold is small, and each host sends it to three others a
/// second, however many there are.
#[test]
fn report_size() {
    let reports: Vec<Report> = (0..MAX_REPORTED as u64)
        .map(|it| Report {
            request: u64::MAX - it,
            age_ms: 86_400_000,
            quiet_ms: 3_600_000,
            trials: 2,
        })
        .collect();
    let size = postcard::to_stdvec(&reports).unwrap().len();
    println!("{size} bytes, {} a second", FANOUT * size);
    assert!(size < 1400, "{size}");
}
