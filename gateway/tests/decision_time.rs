//! Time of the dispatcher's decisions against the size of the fleet and of the queue.

mod common;

use std::{collections::HashMap, time::Instant};

use fuchsiaknot_core::id;
use fuchsiaknot_gateway::{
    account::{Account, Accounts, Digest, freshness},
    placement::{
        dispatch::{Fleet, Queue},
        engine::LatencyModel,
        prefix_cache,
        share::{self, Party},
    },
    scaling::{
        self,
        plan::{self, Counts, Demand, Planner},
    },
    targets::target::Stage,
};

use common::{SERVICE, engine, keys, ms, prompt, request};

/// Prints the time of one run of the dispatcher for each request in the queue, while all engines
/// are busy, so that each request is compared with engines and stays queued.
#[test]
#[ignore = "measures time"]
fn by_size() {
    for engines in [18, 64, 90, 720, 3000] {
        let keys = keys(engines);
        let mut cache = prefix_cache::Index::default();
        for (at, key) in keys.iter().enumerate() {
            for part in 0..20 {
                let parts = prompt(&format!("s{}", (at * 7 + part) % 400), 6000, "own", 500).parts;
                cache.record_prefill(*key, &parts, 700_000);
            }
        }
        let fleet: HashMap<id::Service, Fleet> = [(
            SERVICE.into(),
            Fleet {
                latency_model: LatencyModel::default(),
                engines: (0..engines)
                    .map(|at| {
                        let stage = if at % 4 == 0 { Stage::Prefill } else { Stage::Decode };
                        let mut engine = engine(keys[at], &format!("i-{at:010}"), stage);
                        engine.work.prompt_tokens = 6000 + at as u64;
                        engine
                    })
                    .collect(),
            },
        )]
        .into();
        for queued in [10, 100, 1000] {
            let mut queue = Queue::default();
            for number in 0..queued {
                let prompt =
                    prompt(&format!("s{}", number % 400), 6000, &format!("p{number}"), 900);
                queue.add("h1".into(), request(number, prompt, ms(100_000)), ms(0));
            }
            let mut fleets = fleet.clone();
            let start = Instant::now();
            queue.decide(&mut fleets, &cache, ms(0));
            let first = start.elapsed();
            let mut fleets = fleet.clone();
            let start = Instant::now();
            queue.decide(&mut fleets, &cache, ms(1));
            let took = start.elapsed();
            println!(
                "{engines} engines, {queued} queued: {:.1} us a request, {:.1} in the first run",
                took.as_secs_f64() * 1e6 / queued as f64,
                first.as_secs_f64() * 1e6 / queued as f64
            );
        }
    }
}

/// Prints the time of a scaling decision for 12 services in 10 data centres: while nothing changes,
/// and when all of them need more targets or fewer.
#[test]
#[ignore = "measures time"]
fn scaling_plan() {
    let data_centres: Vec<id::DataCentre> = (0..10).map(|it| format!("dc-{it}").into()).collect();
    let config = scaling::Config {
        min: 1,
        max: 40,
        boot_time: ms(4000),
        withdrawable_price: Some(0.2),
        prices: data_centres.iter().map(|it| (it.clone(), 1.0)).collect(),
    };
    for (case, firm, work) in [("more", 5, 100.0), ("unchanged", 12, 30.0), ("fewer", 30, 30.0)] {
        let serving = data_centres.iter().map(|it| (it.clone(), Counts { firm, withdrawable: 0 }));
        let fleet =
            plan::Fleet { serving: serving.collect(), prefill_share: 0.3, ..Default::default() };
        let demand = Demand {
            prefill: work / 2.0,
            generation: work / 2.0,
            late_share: 0.0,
            origins: data_centres.iter().map(|it| (it.clone(), 100.0)).collect(),
        };
        let mut planners: Vec<Planner> = (0..12).map(|_| Planner::default()).collect();
        let mut slowest = 0.0_f64;
        for second in 0..12 {
            let now = ms(second * 1000);
            let start = Instant::now();
            for planner in &mut planners {
                planner.observe(demand.clone(), now);
                planner.decide(&config, &fleet, 1, now);
            }
            slowest = slowest.max(start.elapsed().as_secs_f64());
        }
        println!("{case}: {:.0} us for 12 services in 10 data centres", slowest * 1e6);
    }
}

/// Prints the time of a decision about 1,000 waiting requests of competing accounts, for each request.
#[test]
#[ignore = "measures time"]
fn by_accounts() {
    for accounts in [80, 10_000] {
        let parties: Vec<Party> = (0..accounts).map(|it| Some(format!("a{it}").into())).collect();
        let mut tracker = share::Tracker::default();
        for (at, party) in parties.iter().enumerate() {
            tracker.record_offer(party, 3000 + at as u64, ms(0));
            tracker.record_placement(party, 1000, ms(0));
        }
        let waiting: Vec<(&Party, u64)> =
            (0..1000).map(|it| (&parties[it * 7 % accounts], 1500)).collect();
        for now in [10, 11] {
            let start = Instant::now();
            let excess = tracker.find_excess(&waiting, ms(now));
            let took = start.elapsed().as_secs_f64() * 1e6 / excess.len() as f64;
            println!("{accounts} accounts, at {now} ms: {took:.2} us a request");
        }
    }
}

/// Prints the time of looking a key up among 100,000, and of the check of a proof's age.
#[test]
#[ignore = "measures time"]
fn by_keys() {
    const LOOKUPS: usize = 100_000;
    let entries = (0..1000).map(|account| {
        let keys = (0..100).map(|it| format!("key-{account}-{it}").into()).collect();
        (Account { name: format!("a{account}").into(), priority: None }, keys)
    });
    let accounts = Accounts::try_from(entries.collect::<Vec<_>>()).unwrap();
    let start = Instant::now();
    let found = (0..LOOKUPS).filter(|it| {
        let key = format!("key-{}-{}", it % 1000, it % 100);
        accounts.find(&Digest::from(key.as_bytes())).is_some()
    });
    let found = found.count();
    let took = start.elapsed().as_nanos() / LOOKUPS as u128;
    println!("{found} keys: {took} ns each");
    let mut tracker = freshness::Tracker::default();
    tracker.record_call(0, ms(0), ms(10), ms(1));
    tracker.record_proof(0, ms(10), ms(1));
    let start = Instant::now();
    let fresh = (0..LOOKUPS).filter(|it| tracker.is_within(ms(5000), ms(*it as u64)));
    let fresh = fresh.count();
    println!("{fresh} fresh: {} ns each", start.elapsed().as_nanos() / LOOKUPS as u128);
}
