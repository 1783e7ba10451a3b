//! Leases, orders and drains of entry hosts, run against the stand-in platform and engines.

mod hosts;

use std::time::{Duration, Instant};

use fuchsiaknot::{
    authority::Config,
    drain,
    standin::{
        engine::{self, Engine},
        heartbeat::Listing,
        platform::Faults,
    },
    store::Table,
    target::{Action, Role},
};
use rstest::rstest;

use hosts::{GROUP, Site, changes, quick, wait};

/// Duration longer than any test, for timeouts that must not end during one.
const LONGER_THAN_TEST: Duration = Duration::from_secs(600);
/// Time after which the platform drops a silent run from the host list, for tests that wait for it.
const SHORT_DROPPED_AFTER: Duration = Duration::from_secs(2);

const DECODE: Action = Action::Role(Role::Decode);
const PREFILL: Action = Action::Role(Role::Prefill);

fn start_engine(site: &Site, name: &str, checks_fence: bool) -> Engine {
    Engine::start(engine::Config {
        listing: Listing {
            platform: Some(site.platform.address()),
            name: name.into(),
            ..Listing::default()
        },
        checks_fence,
        change_time: Duration::from_millis(200),
        ..engine::Config::default()
    })
    .unwrap()
}

fn set_platform_faults(site: &Site, faults: &Faults) {
    let url = format!("http://{}/faults", site.platform.address());
    ureq::post(url).send_json(faults).unwrap();
}

/// Requests a change from a holder in `among` until the engine has received exactly the `expected`
/// orders.
fn request_until_received(
    site: &Site,
    engine: &Engine,
    action: &Action,
    among: impl Fn(usize) -> bool,
    expected: &[Action],
) {
    wait("the engine receives the expected orders", || {
        site.request("e", action, &among);
        let actions: Vec<Action> = changes(engine).into_iter().map(|it| it.1).collect();
        (actions == expected).then_some(())
    });
}

/// Pauses the holder after it has recorded an order and sent all but its last byte; returns the
/// holder's index.
fn pause_before_last_byte(site: &Site) -> usize {
    site.hosts.iter().for_each(|it| it.gate.close());
    let old = wait("an order is sent up to its last byte", || {
        site.request("e", &DECODE, |_| true);
        site.hosts.iter().position(|it| it.gate.is_reached())
    });
    site.hosts[old].pause();
    let others = site.hosts.iter().enumerate().filter(|(it, _)| *it != old);
    others.for_each(|(_, it)| it.gate.open());
    old
}

/// Waits until the engine has received exactly the `expected` orders.
fn wait_changes(engine: &Engine, expected: &[Action]) {
    wait("the engine receives the expected orders", || {
        let actions: Vec<Action> = changes(engine).into_iter().map(|it| it.1).collect();
        (actions == expected).then_some(())
    });
}

/// Waits until the group's row has no entry of a target.
fn wait_settled(site: &Site) {
    wait("the group's row has no entries", || {
        let rows = site.client().read(&[fuchsiaknot::order::row_key(GROUP)]).ok()?;
        let group = fuchsiaknot::order::wire::Group::parse(&rows[0].value).ok()?;
        group.targets.is_empty().then_some(())
    });
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn role_ordered(#[case] checks_fence: bool) {
    let site = Site::start(3, &quick(), LONGER_THAN_TEST);
    let engine = start_engine(&site, "e", checks_fence);
    request_until_received(&site, &engine, &DECODE, |_| true, &[DECODE]);
    wait_settled(&site);
    request_until_received(&site, &engine, &PREFILL, |_| true, &[DECODE, PREFILL]);
    wait_settled(&site);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn paused_holder_replaced(#[case] checks_fence: bool) {
    let site = Site::start(3, &quick(), LONGER_THAN_TEST);
    let engine = start_engine(&site, "e", checks_fence);
    request_until_received(&site, &engine, &DECODE, |_| true, &[DECODE]);
    wait_settled(&site);
    let old = site.holder(|_| true);
    let epoch = site.hosts[old].epoch();
    site.hosts[old].pause();
    request_until_received(&site, &engine, &PREFILL, |it| it != old, &[DECODE, PREFILL]);
    site.hosts[old].wake();
    wait_settled(&site);
    let orders = changes(&engine);
    assert!(epoch < orders[1].0.epoch, "{orders:?}");
    wait("the old holder sees the new epoch", || (epoch < site.hosts[old].epoch()).then_some(()));
}

#[test]
fn late_order_withheld() {
    let site = Site::start(3, &quick(), LONGER_THAN_TEST);
    let engine = start_engine(&site, "e", false);
    let old = pause_before_last_byte(&site);
    site.request("e", &PREFILL, |it| it != old);
    let new = site.holder(|it| it != old);
    // The new holder sends no order while the old holder may still send one.
    wait("the new holder sees the pending order", || {
        let view = site.hosts[new].runner.view();
        let orders = view.groups.iter().find(|it| it.group == GROUP)?.orders.clone();
        orders.iter().any(|it| it.pending && it.action == DECODE).then_some(())
    });
    assert_eq!(changes(&engine), []);
    site.hosts[old].gate.open();
    site.hosts[old].wake();
    request_until_received(&site, &engine, &PREFILL, |it| it != old, &[PREFILL]);
    wait_settled(&site);
}

#[test]
fn release_ends_wait() {
    let site = Site::start(3, &quick(), LONGER_THAN_TEST);
    let engine = start_engine(&site, "e", false);
    let old = pause_before_last_byte(&site);
    site.request("e", &PREFILL, |it| it != old);
    assert_eq!(changes(&engine), []);
    let other = (0..3).find(|it| *it != old).unwrap();
    assert_eq!(site.hosts[other].runner.release(GROUP, "e"), Ok(true));
    request_until_received(&site, &engine, &PREFILL, |it| it != old, &[PREFILL]);
}

#[test]
fn unlisted_holder_presumed_ended() {
    let site = Site::start(3, &quick(), SHORT_DROPPED_AFTER);
    let engine = start_engine(&site, "e", false);
    let old = pause_before_last_byte(&site);
    request_until_received(&site, &engine, &PREFILL, |it| it != old, &[PREFILL]);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn lost_answers_settled(#[case] checks_fence: bool) {
    let site = Site::start(2, &quick(), LONGER_THAN_TEST);
    let engine = start_engine(&site, "e", checks_fence);
    site.holder(|_| true);
    set_platform_faults(
        &site,
        &Faults { lose_answers: 3, lose_prefix: "group/".into(), ..Faults::default() },
    );
    request_until_received(&site, &engine, &DECODE, |_| true, &[DECODE]);
    wait_settled(&site);
    set_platform_faults(
        &site,
        &Faults { lose_answers: 2, lose_prefix: "lease/".into(), ..Faults::default() },
    );
    request_until_received(&site, &engine, &PREFILL, |_| true, &[DECODE, PREFILL]);
}

#[test]
fn lost_receipt_sent_once() {
    let site = Site::start(2, &quick(), LONGER_THAN_TEST);
    let engine = start_engine(&site, "e", false);
    site.holder(|_| true);
    engine.set_faults(engine::Faults { lose_order_answers: 1, ..engine::Faults::default() });
    request_until_received(&site, &engine, &DECODE, |_| true, &[DECODE]);
    wait_settled(&site);
    assert_eq!(changes(&engine).len(), 1);
}

#[test]
fn table_down_no_orders() {
    let site = Site::start(3, &quick(), LONGER_THAN_TEST);
    let engine = start_engine(&site, "e", false);
    let old = site.holder(|_| true);
    set_platform_faults(&site, &Faults { table_down: true, ..Faults::default() });
    wait("the lease expires", || (!site.hosts[old].holds()).then_some(()));
    let result = site.hosts[old].runner.request_role(GROUP, &"e".into(), Role::Decode);
    assert!(result.is_err());
    assert_eq!(changes(&engine), []);
    set_platform_faults(&site, &Faults::default());
    request_until_received(&site, &engine, &PREFILL, |_| true, &[PREFILL]);
}

#[test]
fn drain_waits_for_hosts() {
    let config = Config {
        order: fuchsiaknot::order::Config {
            drain: drain::Config { max_view_age: LONGER_THAN_TEST, ..quick().order.drain },
            ..quick().order
        },
        ..quick()
    };
    let site = Site::start(3, &config, LONGER_THAN_TEST);
    let engine = start_engine(&site, "e", true);
    let holder = site.holder(|_| true);
    let other = (0..3).find(|it| *it != holder).unwrap();
    site.hosts[other].view.busy.lock().unwrap().insert("e".into());
    site.request("e", &DECODE, |_| true);
    for host in &site.hosts {
        wait("every host stops routing to the engine", || {
            host.view.drained.lock().unwrap().contains("e").then_some(())
        });
    }
    assert_eq!(changes(&engine), []);
    site.hosts[other].view.busy.lock().unwrap().clear();
    wait_changes(&engine, &[DECODE]);
    wait_settled(&site);
    for host in &site.hosts {
        wait("the drain ends", || host.view.drained.lock().unwrap().is_empty().then_some(()));
    }
}

#[test]
fn unreachable_peers_time_out() {
    let site = Site::start(3, &quick(), LONGER_THAN_TEST);
    let engine = start_engine(&site, "e", false);
    site.cut_peers();
    request_until_received(&site, &engine, &DECODE, |_| true, &[DECODE]);
    wait_settled(&site);
}

#[test]
fn withdrawn_target_stays_drained() {
    let site = Site::start(2, &quick(), LONGER_THAN_TEST);
    let engine = start_engine(&site, "e", true);
    let holder = wait("a holder accepts the drain", || {
        let holder = site.holder(|_| true);
        let runner = &site.hosts[holder].runner;
        runner.begin_drain(GROUP, &"e".into(), drain::Purpose::Withdrawn).ok().map(|()| holder)
    });
    wait("the drain is complete", || {
        let view = site.hosts[holder].runner.view();
        view.groups[0].drains.iter().any(|it| it.complete).then_some(())
    });
    request_until_received(&site, &engine, &DECODE, |_| true, &[DECODE]);
    wait("the order is settled", || {
        let view = site.hosts[site.holder(|_| true)].runner.view();
        let group = view.groups.iter().find(|it| it.group == GROUP)?;
        (group.orders.is_empty() && group.drains.len() == 1).then_some(())
    });
}

#[test]
fn leaving_host_replaced() {
    let site = Site::start(2, &quick(), LONGER_THAN_TEST);
    let _engine = start_engine(&site, "e", true);
    let old = site.holder(|_| true);
    site.hosts[old].runner.leave();
    wait("the leases are released", || site.hosts[old].runner.has_left().then_some(()));
    assert_ne!(site.holder(|it| it != old), old);
    assert!(site.hosts[old].metrics.counters().contains_key("lease.ended"));
}

/// Prints the time from pausing the holder until another host holds the lease, with the daemon's
/// timing.
#[test]
#[ignore = "a measurement; see docs/measurements.md"]
fn takeover_time() {
    let mut times = Vec::new();
    for _ in 0..5 {
        let site = Site::start(9, &Config::default(), Duration::from_secs(3));
        let _engine = start_engine(&site, "e", true);
        let old = site.holder(|_| true);
        std::thread::sleep(Duration::from_secs(3));
        let old = site.holder(|it| it == old);
        site.hosts[old].pause();
        let paused_at = Instant::now();
        site.holder(|it| it != old);
        times.push(paused_at.elapsed());
    }
    times.sort();
    println!("time without a holder after a kill: {times:.2?}");
}
