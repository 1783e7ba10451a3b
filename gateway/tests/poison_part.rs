//! A prompt part that crashes its targets is blocked on all hosts; other parts are not.

mod common;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use fuchsiaknot_core::{clock::Moment, id::Fingerprint};
use fuchsiaknot_gateway::targets::{
    poison_part::{Block, Detector},
    target::Run,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use rstest::rstest;

use common::ms;

const COMMON: Fingerprint = 1;
const BAD: Fingerprint = 2;

/// Returns the only run of a target.
fn run_of(prefix: &str, number: impl std::fmt::Display) -> Run {
    format!("{prefix}{number}").as_str().into()
}

/// Records a crash for each of these requests, each at a target of its own.
fn crash_under(detector: &mut Detector, part: Fingerprint, times: &[u64]) {
    for at in times {
        let parts = [COMMON, part];
        detector.record_crash(*at, &parts, &run_of("t", at), ms(*at));
    }
}

/// What happens in the simulation of hosts.
#[derive(Debug, Clone)]
enum Event {
    /// A caller's request arrives at a host.
    Arrival {
        host: usize,
        request: Fingerprint,
        part: Fingerprint,
    },
    /// A run crashes its target, or shows that its parts are harmless.
    End {
        host: usize,
        request: Fingerprint,
        part: Fingerprint,
        crashes: bool,
        retries: u32,
    },
    /// A datagram arrives at a host.
    Crash {
        host: usize,
        request: Fingerprint,
        part: Fingerprint,
        target: Run,
    },
    Cleared {
        host: usize,
        parts: Vec<Fingerprint>,
    },
    Blocked {
        host: usize,
        from: usize,
        blocks: Vec<Block>,
    },
    /// A host repeats its report to a few others.
    Report {
        host: usize,
    },
}

/// Hosts with a detector each, and datagrams between them that are delayed or lost.
struct Cluster {
    hosts: Vec<Detector>,
    events: BTreeMap<(Moment, u64), Event>,
    event_count: u64,
    random: StdRng,
    /// Share of datagrams lost.
    loss: f64,
    /// Times of crashes, and of arrivals of requests with the bad part at targets.
    crashes: Vec<Moment>,
    bad_arrivals: Vec<Moment>,
    /// Sound requests that were served and refused, by arrival time.
    served: Vec<Moment>,
    refused: Vec<Moment>,
}

impl Cluster {
    fn new(host_count: usize, loss: f64, seed: u64) -> Cluster {
        let mut random = StdRng::seed_from_u64(seed);
        let mut cluster = Cluster {
            hosts: (0..host_count).map(|_| Detector::new(random.random())).collect(),
            events: BTreeMap::new(),
            event_count: 0,
            random,
            loss,
            crashes: Vec::new(),
            bad_arrivals: Vec::new(),
            served: Vec::new(),
            refused: Vec::new(),
        };
        for host in 0..host_count {
            let at = cluster.random.random_range(0..1000);
            cluster.schedule(ms(at), Event::Report { host });
        }
        cluster
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Schedules requests with a part, one every `interval`, at random hosts.
    fn add_requests(&mut self, part: Fingerprint, interval: u64, from: u64, to: u64) {
        for at in (from..to).step_by(interval as usize) {
            let host = self.random.random_range(0..self.hosts.len());
            let request = self.random.random();
            self.schedule(ms(at), Event::Arrival { host, request, part });
        }
    }

    /// Sends a datagram to all other hosts, each with a delay of up to 400 ms.
    fn send(&mut self, now: Moment, from: usize, event: impl Fn(usize) -> Event) {
        for host in (0..self.hosts.len()).filter(|it| *it != from) {
            if self.random.random_bool(self.loss) {
                continue;
            }
            let delay = match self.random.random_bool(0.1) {
                true => self.random.random_range(20..400),
                false => self.random.random_range(1..20),
            };
            self.schedule(now + ms(delay), event(host));
        }
    }

    /// Sends a request to a target.
    fn start_run(&mut self, now: Moment, end: Event) {
        let Event::End { part, crashes, .. } = end else { unreachable!() };
        if part == BAD {
            self.bad_arrivals.push(now);
        }
        let length = if crashes { self.random.random_range(50..300) } else { 1000 };
        self.schedule(now + ms(length), end);
    }

    /// Plays all scheduled events up to a time.
    fn run_until(&mut self, end: u64) {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if ms(end) < now {
                self.events.insert((now, 0), event);
                return;
            }
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Arrival { host, request, part } => {
                let is_blocked = self.hosts[host].is_blocked(&[COMMON, part], now);
                match (part == BAD, is_blocked) {
                    (_, false) => {
                        if part != BAD {
                            self.served.push(now);
                        }
                        let crashes = part == BAD;
                        let end = Event::End { host, request, part, crashes, retries: 1 };
                        self.start_run(now, end);
                    }
                    (false, true) => self.refused.push(now),
                    (true, true) => {}
                }
            }
            Event::End { host, request, part, crashes: true, retries } => {
                self.crashes.push(now);
                let target = run_of("t", self.crashes.len());
                // A sound run that had not begun its answer breaks off at the same target.
                let bystander = self.random.random_range(100..350);
                for (request, part) in [(request ^ 1, bystander), (request, part)] {
                    let host = if part == BAD {
                        host
                    } else {
                        self.random.random_range(0..self.hosts.len())
                    };
                    self.record_crash(now, host, request, part, &target);
                    self.send(now, host, |host| Event::Crash {
                        host,
                        request,
                        part,
                        target: target.clone(),
                    });
                }
                let is_refused = self.hosts[host].is_retry_refused(&[COMMON, part], now);
                if !is_refused && let Some(retries) = retries.checked_sub(1) {
                    self.start_run(now, Event::End { host, request, part, crashes: true, retries });
                }
            }
            Event::End { host, part, .. } => {
                let cleared = self.hosts[host].record_answer(&[COMMON, part], now);
                if !cleared.is_empty() {
                    self.send(now, host, |host| Event::Cleared { host, parts: cleared.clone() });
                }
            }
            Event::Crash { host, request, part, target } => {
                self.hosts[host].record_crash(request, &[COMMON, part], &target, now);
            }
            Event::Cleared { host, parts } => {
                self.hosts[host].clear(&parts);
            }
            Event::Blocked { host, from, blocks } => {
                let parts = self.hosts[host].apply_report(&blocks, now);
                if !parts.is_empty() {
                    self.schedule(now + ms(5), Event::Cleared { host: from, parts });
                }
            }
            Event::Report { host } => {
                let blocks = self.hosts[host].report(now);
                for _ in 0..if blocks.is_empty() { 0 } else { 3 } {
                    let receiver = self.random.random_range(0..self.hosts.len());
                    let event =
                        Event::Blocked { host: receiver, from: host, blocks: blocks.clone() };
                    if !self.random.random_bool(self.loss) {
                        self.schedule(now + ms(5), event);
                    }
                }
                self.schedule(now + ms(1000), Event::Report { host });
            }
        }
    }

    /// Records a crash that a host saw itself, and reports a block that follows from it.
    fn record_crash(
        &mut self,
        now: Moment,
        host: usize,
        request: Fingerprint,
        part: Fingerprint,
        target: &Run,
    ) {
        let blocked = self.hosts[host].record_crash(request, &[COMMON, part], target, now);
        if !blocked.is_empty() {
            let blocks = self.hosts[host].report(now);
            self.send(now, host, |receiver| Event::Blocked {
                host: receiver,
                from: host,
                blocks: blocks.clone(),
            });
        }
    }
}

/// Requests with the bad part arrive evenly at all hosts; after the fifth crash and the time that
/// the hosts have to learn of it, at most three more reach targets, and sound requests with the
/// same first part are served.
#[rstest]
fn spread_over_hosts(
    #[values(9, 95, 300)] host_count: usize,
    #[values(40, 150, 700, 2500)] interval: u64,
    #[values(0.0, 0.1)] loss: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut cluster = Cluster::new(host_count, loss, seed);
    cluster.add_requests(BAD, interval, 0, 60_000);
    for part in 100..350 {
        cluster.add_requests(part, 2500, part * 7 % 2500, 60_000);
    }
    cluster.run_until(60_000);
    let (crashes, arrivals) = (&cluster.crashes, &cluster.bad_arrivals);
    let known_at = crashes.get(4).copied().unwrap_or(ms(60_000)) + ms(3000);
    let late = arrivals.iter().filter(|it| known_at < **it).count();
    println!("{} crashes, {late} arrivals after the fifth is known", crashes.len());
    assert!(late <= 3, "{late} of {} arrivals", arrivals.len());
    let is_late = |it: &&Moment| known_at + ms(3000) < **it;
    let refused = cluster.refused.iter().filter(is_late).count();
    let served = cluster.served.iter().filter(is_late).count();
    assert!(refused * 50 <= served, "{refused} sound requests refused, {served} served");
}

/// Many targets that crash at the same moment are no evidence against the parts that ran there,
/// also when reports of the broken runs take up to 400 ms.
#[rstest]
fn rack_crash(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 16, 30, 33)] seed: u64,
    #[values(5, 40)] target_count: u64,
    #[values(1, 2, 20)] part_count: u64,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut detector = Detector::default();
    let mut reports: Vec<(u64, Run, Option<Fingerprint>)> = Vec::new();
    for target in 0..target_count {
        for run in 0..8 {
            let part = (run < 3).then(|| 100 + random.random_range(0..part_count));
            reports.push((random.random_range(0..400), run_of("t", target), part));
        }
    }
    reports.sort_unstable();
    for (number, (at, target, part)) in reports.iter().enumerate() {
        detector.record_break(number as u64, target, ms(*at));
        if let Some(part) = part {
            detector.record_crash(number as u64, &[COMMON, *part], target, ms(*at));
        }
    }
    let blocked = (100..120).chain([COMMON]).find(|it| detector.is_blocked(&[*it], ms(400)));
    assert_eq!(blocked, None);
}

/// A power failure that stops all targets within two seconds, with no answer in between, is no
/// evidence against the parts that ran there.
#[rstest]
fn power_failure(#[values(1, 2, 3, 4, 26)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut detector = Detector::default();
    for target in 0..40_u64 {
        for _ in 0..3 {
            let parts = [COMMON, 100 + random.random_range(0..20)];
            let (id, now) = (run_of("t", target), ms(50 * target));
            detector.record_crash(random.random(), &parts, &id, now);
        }
    }
    let blocked = (100..120).chain([COMMON]).find(|it| detector.is_blocked(&[*it], ms(2000)));
    assert_eq!(blocked, None);
}

/// Five crashes at nearly the same time, a pause, and then more requests: at most three of them
/// reach targets.
#[test]
fn burst_and_pause() {
    let mut detector = Detector::default();
    for number in 0..5_u64 {
        let target = run_of("t", number);
        detector.record_crash(number, &[COMMON, BAD], &target, ms(number));
    }
    let mut arrivals = 0;
    for number in 5..40_u64 {
        let now = ms(5000 + 120 * number);
        if !detector.is_blocked(&[COMMON, BAD], now) {
            arrivals += 1;
            detector.record_crash(number, &[COMMON, BAD], &run_of("t", number), now);
        }
    }
    assert!(arrivals <= 3, "{arrivals}");
}

/// A release that stops one target after another blocks no part: answers with the same parts are
/// completed elsewhere in between.
#[rstest]
fn release(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut detector = Detector::default();
    let mut answers: HashMap<Fingerprint, u64> = HashMap::new();
    for step in 0..6000_u64 {
        let now = ms(step * 10);
        let part = 100 + random.random_range(0..250);
        *answers.entry(part).or_default() += 1;
        detector.record_answer(&[COMMON, part], now);
        if step % 200 == 0 {
            for _ in 0..4 {
                let part = 100 + random.random_range(0..250);
                let target = run_of("t", step);
                detector.record_crash(random.random(), &[COMMON, part], &target, now);
            }
        }
        let blocked = (100..350).chain([COMMON]).find(|it| detector.is_blocked(&[*it], now));
        assert_eq!(blocked, None, "at {now:?}");
    }
}

/// The first part is in all requests with a bad part, but the bad part accounts for the crashes,
/// also when a bystander's crash is reported first.
#[test]
fn first_part_spared() {
    let mut detector = Detector::default();
    for number in 0..4_u64 {
        let (target, now) = (run_of("t", number), ms(1000 * number));
        detector.record_crash(100 + number, &[COMMON, 50 + number], &target, now);
        assert!(!detector.is_blocked(&[COMMON], now));
        detector.record_crash(number, &[COMMON, BAD], &target, now + ms(5));
    }
    assert_eq!(detector.blocked_part(&[COMMON, BAD], ms(3005)), Some(BAD));
    assert!(!detector.is_blocked(&[COMMON, 50], ms(3005)));
    assert!(!detector.is_retry_refused(&[COMMON, 50], ms(3005)));
}

/// A bad first part is blocked when the parts after it differ.
#[test]
fn bad_first_part() {
    let (mut detector, mut alone) = (Detector::default(), Detector::default());
    for number in 0..4_u64 {
        let (target, now) = (run_of("t", number), ms(4000 * number));
        detector.record_crash(number, &[BAD, 50 + number], &target, now);
        alone.record_crash(number, &[BAD], &target, now / 4);
    }
    assert!(detector.is_blocked(&[BAD, 70], ms(12_000)));
    assert!(!detector.is_blocked(&[COMMON, 50], ms(12_000)));
    assert!(alone.is_blocked(&[BAD], ms(3000)));
}

/// A part that only one request has is no cause, however often the request is repeated.
#[test]
fn repeated_request() {
    let mut detector = Detector::default();
    for number in 0..4_u64 {
        let target = run_of("t", number);
        detector.record_crash(7, &[COMMON, BAD, 60], &target, ms(1000 * number));
    }
    assert!(!detector.is_blocked(&[60], ms(4000)));
    detector.record_crash(8, &[COMMON, BAD, 61], &"t9".into(), ms(5000));
    assert_eq!(detector.blocked_part(&[COMMON, BAD, 62], ms(5000)), Some(BAD));
}

/// A request whose part is under suspicion is not sent again after its run broke off.
#[test]
fn retry_refused() {
    let mut detector = Detector::default();
    crash_under(&mut detector, BAD, &[0]);
    assert!(!detector.is_retry_refused(&[COMMON, BAD], ms(0)));
    crash_under(&mut detector, BAD, &[1000]);
    assert!(detector.is_retry_refused(&[COMMON, BAD], ms(1400)));
    assert!(!detector.is_blocked(&[COMMON, BAD], ms(1400)));
}

/// A part that is seen in an answer is cleared, and hosts that have not seen one learn of it.
#[test]
fn cleared() {
    let (mut detector, mut other) = (Detector::default(), Detector::default());
    crash_under(&mut detector, BAD, &[0, 1000, 2000, 3000]);
    let report = detector.report(ms(3000));
    assert!(other.apply_report(&report, ms(3100)).is_empty());
    assert!(other.is_blocked(&[BAD], ms(3100)));
    assert_eq!(detector.record_answer(&[COMMON, BAD], ms(3500)), [BAD]);
    assert!(!detector.is_blocked(&[BAD], ms(3500)));
    let cleared = detector.apply_report(&other.report(ms(4000)), ms(4000));
    assert_eq!(cleared, [BAD]);
    assert!(!detector.is_blocked(&[BAD], ms(4000)));
    assert_eq!(other.clear(&cleared), [BAD]);
    assert!(!other.is_blocked(&[BAD], ms(4000)));
}

/// A block ends after its time; the part is then blocked again at its first crash, for longer.
#[test]
fn blocked_again() {
    let mut detector = Detector::default();
    crash_under(&mut detector, BAD, &[0, 1000, 2000, 3000]);
    assert!(detector.is_blocked(&[BAD], ms(122_999)));
    assert!(!detector.is_blocked(&[BAD], ms(123_000)));
    crash_under(&mut detector, BAD, &[124_000]);
    assert!(detector.is_blocked(&[BAD], ms(124_000 + 239_999)));
    assert!(!detector.is_blocked(&[BAD], ms(124_000 + 240_000)));
}

/// The hosts end a block at different times, so that one of them tests the part and the others
/// learn of the crash: the end of a block costs few crashes.
#[rstest]
fn lapse(#[values(9, 95, 300)] host_count: usize, #[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(host_count, 0.0, seed);
    cluster.add_requests(BAD, 300, 0, 160_000);
    cluster.run_until(100_000);
    let before = cluster.crashes.len();
    cluster.run_until(160_000);
    let after = cluster.crashes.len() - before;
    assert!((1..=3).contains(&after), "{after}");
}

/// Crashes are forgotten, and so are blocks and clearings.
#[test]
fn forgetting() {
    let mut detector = Detector::default();
    crash_under(&mut detector, BAD, &[0, 1000]);
    detector.expire(ms(301_000));
    assert!(detector.is_empty());
    crash_under(&mut detector, BAD, &[302_000]);
    assert!(!detector.is_blocked(&[BAD], ms(302_000)));
    crash_under(&mut detector, BAD, &[303_000, 304_000, 305_000]);
    assert!(detector.is_blocked(&[BAD], ms(305_000)));
    detector.expire(ms(305_000) + Duration::from_secs(2 * 3600));
    assert!(detector.is_empty());
}

/// The number of tracked parts is bounded, and a flood of new parts does not hide a bad one.
#[test]
fn memory_bounded() {
    let mut detector = Detector::default();
    for number in 0..20_000_u64 {
        let now = ms(number);
        detector.record_crash(number, &[1000 + number], &run_of("x", number), now);
        if number % 5000 == 0 {
            detector.record_crash(number, &[BAD], &run_of("t", number), now);
        }
    }
    assert!(detector.len() <= 2048, "{}", detector.len());
    let mut blocked = Detector::default();
    crash_under(&mut blocked, BAD, &[0, 1000, 2000, 3000]);
    for number in 0..20_000_u64 {
        let target = run_of("x", number);
        blocked.record_crash(number, &[1000 + number], &target, ms(4000 + number));
    }
    assert!(blocked.is_blocked(&[BAD], ms(30_000)));
}

/// Targets that came back under their old identifiers counted once for a part, however often it
/// crashed them.
#[test]
fn restarted_targets() {
    let mut detector = Detector::default();
    for number in 0..6 {
        let (target, incarnation) = (format!("t{}", number % 2).into(), Some(number));
        let now = ms(1000 * number);
        detector.record_crash(number, &[COMMON, BAD], &Run { target, incarnation }, now);
    }
    assert!(detector.is_blocked(&[COMMON, BAD], ms(5500)));
    assert!(!detector.is_blocked(&[COMMON, 3], ms(5500)));
}
