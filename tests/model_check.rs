//! Model check of leases, orders and drains over the library's own state machines.

mod model;

use std::time::Instant;

use pathfinding::prelude::{bfs, bfs_reach};
use rstest::rstest;

use model::{Bounds, Mutation, World};

/// One pause of a holder, one target that does not check fencing numbers.
fn base() -> Bounds {
    Bounds {
        seconds: 6,
        losses: 0,
        pauses: 1,
        kills: 0,
        starts: 0,
        restarts: 0,
        targets: vec![false],
        requests: 0,
        freshness: 1,
        window: 0,
    }
}

/// Visits every state within the bounds; panics with the shortest path to a broken invariant.
fn explore(name: &str, bounds: Bounds) {
    let started = Instant::now();
    let first = World::held(bounds, None);
    let mut states = 0_u64;
    for world in bfs_reach(first.clone(), World::successors) {
        states += 1;
        if world.broken().is_some() {
            let path = bfs(&first, World::successors, |it| it.broken().is_some());
            panic!("{name}: {:#?}", path.expect("the state was reached"));
        }
    }
    println!("{name}: {states} states in {:.1} s", started.elapsed().as_secs_f64());
}

#[rstest]
#[case::paused5(Bounds { seconds: 5, ..base() })]
#[case::paused6(base())]
#[case::paused_checking5(Bounds { seconds: 5, targets: vec![true], ..base() })]
#[case::paused_checking6(Bounds { seconds: 6, targets: vec![true], ..base() })]
#[case::lost(Bounds { losses: 1, seconds: 4, ..base() })]
#[case::lost5(Bounds { losses: 1, seconds: 5, ..base() })]
#[case::lost_checking4(Bounds { losses: 1, seconds: 4, targets: vec![true], ..base() })]
#[case::killed(Bounds { pauses: 0, kills: 1, starts: 1, ..base() })]
#[case::killed_paused(Bounds { kills: 1, starts: 0, seconds: 5, ..base() })]
#[case::restarted(Bounds { restarts: 1, seconds: 5, ..base() })]
#[case::restarted_checking(Bounds { restarts: 1, seconds: 4, targets: vec![true], ..base() })]
#[case::both(Bounds { seconds: 4, targets: vec![true, false], pauses: 0, losses: 1, ..base() })]
#[case::both_paused(Bounds { seconds: 5, targets: vec![true, false], ..base() })]
#[case::requests(Bounds { seconds: 5, requests: 1, pauses: 0, ..base() })]
#[case::requests_paused(Bounds { seconds: 4, requests: 1, pauses: 1, ..base() })]
#[case::window(Bounds { window: 1, seconds: 5, ..base() })]
fn trial(#[case] bounds: Bounds) {
    explore("trial", bounds);
}

#[rstest]
#[case::lease_wait(Mutation::NoLeaseWait, base())]
#[case::takeover_wait(Mutation::NoWaitAfterTakeover, base())]
#[case::recheck(Mutation::NoRecheck, base())]
#[case::token(Mutation::TokenNotCompared, base())]
#[case::version(Mutation::VersionCheckDropped, base())]
#[case::old_row(Mutation::OldRowTaken, base())]
#[case::report(Mutation::BarrierWithoutReport, Bounds { requests: 1, pauses: 0, ..base() })]
#[case::hosts(Mutation::BarrierWithoutHosts, Bounds { requests: 1, pauses: 0, freshness: 2, ..base() })]
#[case::fence(Mutation::FenceNotChecked, Bounds { targets: vec![true], ..base() })]
fn mutation_caught(#[case] mutation: Mutation, #[case] bounds: Bounds) {
    let started = Instant::now();
    let first = World::held(bounds, Some(mutation));
    let mut seen = 0_u64;
    let broken = bfs_reach(first, World::successors).find_map(|it| {
        seen += 1;
        it.broken()
    });
    println!(
        "{mutation:?}: {} {seen} {:?}",
        broken.expect("the weakened rule breaks an invariant"),
        started.elapsed()
    );
}
