//! Several hosts in one process with the stand-in platform: joining, edits of the configuration,
//! and an unreachable table.

mod cluster;

use fuchsiaknot::{
    configuration::{
        Lists,
        store::{Edit, Error, Outcome, Store},
    },
    link::peer::wire::Hint,
    refresh::Freshness,
    standin::platform::Faults,
};

use self::cluster::{platform_client, set_faults, start_host, start_platform, wait_until};

fn lists(weight: u32) -> Lists {
    Lists { limits: format!("[plan gold]\nweight = {weight}\n"), ..Lists::default() }
}

fn edit(from: u64, weight: u32) -> Edit {
    let token = rand::random();
    Edit { from, lists: lists(weight), author: "test".into(), edited_ms: 0, token }
}

#[test]
fn hosts_join() {
    let platform = start_platform();
    let hosts = ["a", "b", "c"].map(|it| start_host(&platform, it));
    wait_until("all fresh", || hosts.iter().all(|it| it.refresh.freshness() == Freshness::Fresh));
    wait_until("all known", || {
        hosts.iter().all(|it| it.membership.rank_hosts(None, 1).hosts.len() == 3)
    });
    let outcome = hosts[0].refresh.store().edit(&edit(0, 2)).unwrap();
    assert_eq!(outcome, Outcome::Stored(1));
    hosts[0].membership.send_hint(&Hint { row: "config/current".into(), version: 1 });
    wait_until("in force", || hosts.iter().all(|it| it.refresh.configuration().version == 1));
    hosts[2].membership.leave();
    wait_until("left out", || {
        hosts[..2].iter().all(|it| it.membership.rank_hosts(None, 1).hosts.len() == 2)
    });
}

#[test]
fn start_without_platform() {
    let platform = start_platform();
    let hosts = ["a", "b", "d"].map(|it| start_host(&platform, it));
    hosts[0].refresh.store().edit(&edit(0, 2)).unwrap();
    wait_until("in force", || hosts.iter().all(|it| it.refresh.configuration().version == 1));
    wait_until("all known", || {
        hosts.iter().all(|it| it.membership.rank_hosts(None, 1).hosts.len() == 3)
    });
    set_faults(&platform, &Faults { table_down: true, ..Faults::default() });
    let late = start_host(&platform, "c");
    wait_until("stale", || late.refresh.freshness() == Freshness::Stale);
    assert_eq!(late.refresh.configuration().version, 1);
    set_faults(&platform, &Faults::default());
    wait_until("fresh", || late.refresh.freshness() == Freshness::Fresh);
}

#[test]
fn later_edit_conflicts() {
    let platform = start_platform();
    let store = Store::new(platform_client(&platform), platform_client(&platform));
    assert_eq!(store.edit(&edit(0, 2)).unwrap(), Outcome::Stored(1));
    let Outcome::Conflict { current, difference } = store.edit(&edit(0, 3)).unwrap() else {
        panic!("two edits from one version were both stored");
    };
    assert_eq!(current, 1);
    assert!(difference.to_string().contains("+ [plan gold] weight = 2"), "{difference}");
    assert_eq!(store.current().unwrap().lists, lists(2));
}

#[test]
fn lost_answer_recovered() {
    let platform = start_platform();
    let store = Store::new(platform_client(&platform), platform_client(&platform));
    for from in 0..3 {
        let lost = Faults { lose_answers: 1, lose_prefix: "config/".into(), ..Faults::default() };
        set_faults(&platform, &lost);
        assert_eq!(store.edit(&edit(from, 2)).unwrap(), Outcome::Stored(from + 1));
    }
    let history = store.history(10).unwrap();
    assert_eq!(history.iter().map(|it| it.version).collect::<Vec<_>>(), [3, 2, 1]);
}

#[test]
fn table_down() {
    let platform = start_platform();
    let store = Store::new(platform_client(&platform), platform_client(&platform));
    set_faults(&platform, &Faults { table_down: true, ..Faults::default() });
    assert!(matches!(store.edit(&edit(0, 2)), Err(Error::NotStored(_))));
    set_faults(&platform, &Faults::default());
    assert_eq!(store.current().unwrap().version, 0);
}

#[test]
fn large_lists_kept() {
    let platform = start_platform();
    let store = Store::new(platform_client(&platform), platform_client(&platform));
    let limits = (0..4_000).map(|it| format!("[plan p{it}]\nweight = 1\n")).collect();
    let large = Lists { limits, ..Lists::default() };
    assert!(fuchsiaknot::configuration::store::MAX_INLINE_BYTES < large.limits.len());
    let edit = Edit { lists: large.clone(), ..edit(0, 1) };
    assert_eq!(store.edit(&edit).unwrap(), Outcome::Stored(1));
    assert_eq!(store.current().unwrap().lists, large);
}

#[test]
fn faulty_lists_refused() {
    let platform = start_platform();
    let store = Store::new(platform_client(&platform), platform_client(&platform));
    let limits = "[plan gold]\nweight = none\n".into();
    let edit = Edit { lists: Lists { limits, ..Lists::default() }, ..edit(0, 1) };
    assert!(matches!(store.edit(&edit), Err(Error::Invalid(faults)) if faults.len() == 1));
    assert_eq!(store.current().unwrap().version, 0);
}
