//! Shares of accounts that compete for the engines of a service.

mod common;

use std::collections::{BTreeMap, HashMap};

use fuchsiaknot_core::{
    clock::Moment,
    share::{Claim, level},
};
use fuchsiaknot_gateway::{
    placement::{
        dispatch::{Decision, Fleet, Queue, Request},
        engine::LatencyModel,
        prefix_cache,
        share::{Party, Tracker},
    },
    targets::target::Stage,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

use common::{SERVICE, engine, keys, ms, prompt, request};

const TICK_MS: u64 = 5;
const DURATION_MS: u64 = 8000;
const ENGINES: usize = 3;
const PROMPT_TOKENS: u64 = 2000;

#[rstest]
#[case::all_fit(10.0, &[(1.0, 4.0), (1.0, 6.0)], f64::INFINITY)]
#[case::one_floods(10.0, &[(1.0, 1.0), (1.0, 1.0), (1.0, 100.0)], 8.0)]
#[case::equal(10.0, &[(1.0, 9.0), (1.0, 9.0)], 5.0)]
#[case::weighted(10.0, &[(1.0, 9.0), (4.0, 90.0)], 2.0)]
#[case::no_capacity(0.0, &[(1.0, 9.0)], 0.0)]
#[case::weightless(10.0, &[(0.0, 9.0), (1.0, 90.0)], 10.0)]
fn max_min_level(#[case] capacity: f64, #[case] claims: &[(f64, f64)], #[case] expected: f64) {
    let claims = claims.iter().map(|(weight, demand)| Claim { weight: *weight, demand: *demand });
    assert_eq!(level(capacity, claims), expected);
}

fn party(name: &str) -> Party {
    Some(name.into())
}

/// An account that got all while nobody else wanted it comes after another one, until that has got
/// its share or seconds have passed.
#[test]
fn lent_and_returned() {
    let (lender, borrower) = (party("a"), party("b"));
    let mut tracker = Tracker::default();
    tracker.record_placement(&borrower, 10_000, ms(0));
    for party in [&lender, &borrower] {
        tracker.record_offer(party, 10_000, ms(0));
    }
    let mut excess = |now| tracker.find_excess(&[(&borrower, 1000), (&lender, 1000)], now);
    assert_eq!(excess(ms(0)), [true, false]);
    assert_eq!(excess(ms(30_000)), [false, false]);
}

#[test]
fn alone() {
    let mut tracker = Tracker::default();
    let only = party("a");
    tracker.record_placement(&only, 10_000, ms(0));
    assert_eq!(tracker.find_excess(&[(&only, 5000), (&only, 5000)], ms(0)), [false, false]);
}

/// Many small accounts ask for all there is. A large one is still served a third as often as they are.
#[test]
fn large_account() {
    let large = party("large");
    let mut tracker = Tracker::default();
    for number in 0..100 {
        let small = party(&format!("a{number}"));
        tracker.record_offer(&small, 1000, ms(0));
        tracker.record_placement(&small, 500, ms(0));
    }
    tracker.record_offer(&large, 100_000, ms(0));
    let small = party("a0");
    let mut waiting = vec![(&large, 1000); 60];
    waiting.push((&small, 500));
    let excess = tracker.find_excess(&waiting, ms(0));
    let kept = excess.iter().filter(|it| !**it).count();
    assert!((8..=12).contains(&kept), "{kept}");
}

/// Twenty accounts send to engines that can just serve all of them, and one of them may send many times
/// as much beside. Returns for how many of a hundred requests of the others an engine has been found
/// in time.
///
/// The dispatcher is replaced at each of the times.
fn on_time(flood: f64, with_accounts: bool, replaced_at: &[u64]) -> f64 {
    let (keys, model) = (keys(ENGINES + 1), LatencyModel::default());
    let rate = model.prefill_rate();
    let mut work: BTreeMap<_, f64> = keys.iter().map(|it| (*it, 0.0)).collect();
    let mut arrived: HashMap<u64, (u64, bool)> = HashMap::new();
    let (mut queue, mut rng) = (Queue::default(), StdRng::seed_from_u64(7));
    let cache = prefix_cache::Index::default();
    let (mut sent, mut served) = (0, 0);
    // Requests in a tick that take 0.6 of the engines' time.
    let usual = 0.6 * rate * (TICK_MS * ENGINES as u64) as f64 / PROMPT_TOKENS as f64;
    for now in (0..DURATION_MS).step_by(TICK_MS as usize) {
        if replaced_at.contains(&now) {
            queue = Queue::default();
        }
        work.values_mut().for_each(|it| *it = (*it - rate * TICK_MS as f64).max(0.0));
        for (load, is_flood) in [(usual, false), (usual * flood, true)] {
            let count = load as u64 + u64::from(rng.random_bool(load.fract()));
            for _ in 0..count {
                let number = arrived.len() as u64;
                let name = if is_flood { 0 } else { rng.random_range(1..20) };
                let account = with_accounts.then(|| format!("a{name}").into());
                let prompt = prompt("s", 0, &format!("p{number}"), PROMPT_TOKENS);
                let request = Request { account, ..request(number, prompt, ms(300)) };
                queue.add(format!("h{}", number % 9).into(), request, ms(now));
                arrived.insert(number, (now, is_flood));
                sent += u32::from(!is_flood);
            }
        }
        let engines = keys.iter().enumerate().map(|(at, key)| {
            let stage = if at < ENGINES { Stage::Prefill } else { Stage::Decode };
            let mut engine = engine(*key, &format!("e{at}"), stage);
            // What generates is not the bottleneck here, and prefills nothing.
            engine.slots = 100_000;
            engine.work.prompt_tokens = if at < ENGINES { work[key] as u64 } else { 1_000_000 };
            engine
        });
        let fleet = Fleet { latency_model: model, engines: engines.collect() };
        let decided = queue.decide(&mut HashMap::from([(SERVICE.into(), fleet)]), &cache, ms(now));
        for it in decided {
            let (at, is_flood) = arrived[&it.request.number];
            let Decision::Place(placement) = it.decision else { continue };
            let key = placement.prefill_engine.key;
            *work.get_mut(&key).unwrap() += PROMPT_TOKENS as f64;
            let ready: Moment = ms(now - at + (work[&key] / rate) as u64) + ms(100);
            served += u32::from(!is_flood && ready <= ms(300));
        }
    }
    f64::from(served) * 100.0 / f64::from(sent)
}

/// One account sends four times what the engines can take. The other accounts lose at most two of a
/// hundred answers in time, also when dispatchers that know nothing of it take over; without accounts
/// they lose many.
#[test]
fn flood_of_one() {
    let replaced_at = [2000, 4000, 6000];
    let calm = on_time(0.0, true, &replaced_at);
    let (flooded, unprotected) = (on_time(7.0, true, &[]), on_time(7.0, false, &[]));
    let replaced = on_time(7.0, true, &replaced_at);
    let figures =
        format!("calm {calm}, flooded {flooded}, {replaced}, without accounts {unprotected}");
    assert!(90.0 < calm && calm - 2.0 <= flooded.min(replaced), "{figures}");
    assert!(unprotected < calm - 20.0, "{figures}");
    println!("{figures}");
}
