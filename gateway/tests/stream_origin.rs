//! Software versions at which streams began: records, and what follows from a service's versions.

mod common;

use std::{rc::Rc, time::Duration};

use common::{SERVICE, ms, target};
use fuchsiaknot_gateway::{
    cluster::{
        origin_evidence::Evidence,
        route_history::{ROUTE_MEMORY, RouteHistory},
        stream_origin::{Knowledge, Origin, STREAM_LIFETIME, Tracker},
    },
    configuration::{Configuration, Limits, RequestKind, Route, Routes},
    targets::target::Target,
};
use rstest::rstest;

fn target_of(version: &str) -> Target {
    Target { software_version: Some(version.into()), ..target("t1", 1) }
}

fn origin(version: &str) -> Origin {
    Origin::from(&target_of(version))
}

/// Has a tracker see targets of these versions from `from` until `until`.
fn observe(tracker: &mut Tracker, versions: &[&str], from: Duration, until: Duration) {
    let targets: Vec<Target> = versions.iter().map(|it| target_of(it)).collect();
    let mut now = from;
    while now <= until {
        tracker.observe(targets.iter(), ms(500), now);
        tracker.expire(now);
        now += ms(200);
    }
}

fn find(tracker: &Tracker, now: Duration) -> Option<Origin> {
    let service = SERVICE.into();
    tracker.knowledge(&"r1".into(), Some(&service), now).into_origin(Some(&service))
}

/// A record states where a stream began as long as the stream may be taken up.
#[test]
fn recorded_stream() {
    let mut tracker = Tracker::default();
    assert!(tracker.record_begin("r1".into(), origin("v1"), true, ms(0)), "not reported");
    tracker.expire(STREAM_LIFETIME - ms(1));
    assert_eq!(find(&tracker, STREAM_LIFETIME - ms(1)), Some(origin("v1")));
    tracker.expire(STREAM_LIFETIME);
    assert!(tracker.is_empty());
}

/// Without a record the version is known only if the service has had no other one while the stream
/// may have begun.
#[test]
fn sole_version() {
    let (mut tracker, start) = (Tracker::default(), ms(1000));
    let complete = start + STREAM_LIFETIME;
    observe(&mut tracker, &["v1"], start, complete + ms(1000));
    assert_eq!(find(&tracker, complete - ms(1)), None, "a stream may be older than the process");
    assert_eq!(find(&tracker, complete), Some(origin("v1")));
    let mixed = complete + ms(1000);
    observe(&mut tracker, &["v1", "v1.1"], mixed, mixed);
    assert_eq!(find(&tracker, mixed), None);
    let last = mixed + STREAM_LIFETIME - ms(200);
    observe(&mut tracker, &["v1.1"], mixed, last);
    assert_eq!(find(&tracker, last), None, "a stream may be from when v1 was there");
    observe(&mut tracker, &["v1.1"], last, mixed + STREAM_LIFETIME);
    assert_eq!(find(&tracker, mixed + STREAM_LIFETIME), Some(origin("v1.1")));
}

/// A host that is cut off from the store may have missed a version.
#[test]
fn old_list() {
    let mut tracker = Tracker::default();
    observe(&mut tracker, &["v1"], ms(0), STREAM_LIFETIME);
    assert_eq!(find(&tracker, STREAM_LIFETIME), Some(origin("v1")));
    tracker.observe([target_of("v1")].iter(), ms(2500), STREAM_LIFETIME);
    assert_eq!(find(&tracker, STREAM_LIFETIME), None);
    observe(&mut tracker, &["v1"], STREAM_LIFETIME, STREAM_LIFETIME + ms(5000));
    assert_eq!(find(&tracker, STREAM_LIFETIME + ms(5000)), None);
}

/// A target that announces no version is the only one that could go on with its streams.
#[test]
fn unnamed_version() {
    let unnamed = Target { software_version: None, ..target("t1", 1) };
    assert!(!Origin::from(&unnamed).allows(&unnamed));
    assert!(origin("v1").allows(&target_of("v1")));
    assert!(!origin("v1").allows(&target_of("v1.1")));
    let other_service = Target { service: "other".into(), ..target_of("v1") };
    assert!(!origin("v1").allows(&other_service));
}

fn knowledge(record: Option<&str>, versions: &[&str], is_complete: bool) -> Knowledge {
    Knowledge {
        record: record.map(origin),
        versions: versions.iter().map(|it| Some((*it).into())).collect(),
        is_complete,
    }
}

/// A host concludes from what it and the others know together.
#[rstest]
#[case::record(knowledge(None, &["v1.1"], true), knowledge(Some("v1"), &[], false), Some("v1"))]
#[case::restarted(knowledge(None, &["v1"], false), knowledge(None, &["v1"], true), Some("v1"))]
#[case::all_restarted(knowledge(None, &["v1"], false), knowledge(None, &["v1"], false), None)]
#[case::missed_version(knowledge(None, &["v1"], true), knowledge(None, &["v1", "v2"], true), None)]
#[case::other_version(knowledge(None, &["v2"], false), knowledge(None, &["v1"], true), None)]
fn several_hosts(
    #[case] mut own: Knowledge,
    #[case] other: Knowledge,
    #[case] expected: Option<&str>,
) {
    own.merge(other);
    assert_eq!(own.into_origin(Some(&SERVICE.into())), expected.map(origin));
}

/// A stream is reported to other hosts once they can no longer conclude where it began, and only
/// once.
#[test]
fn reported_when_mixed() {
    let mut tracker = Tracker::default();
    observe(&mut tracker, &["v1"], ms(0), STREAM_LIFETIME);
    assert!(!tracker.record_begin("r1".into(), origin("v1"), true, STREAM_LIFETIME));
    assert!(tracker.take_unpublished(STREAM_LIFETIME).is_empty());
    tracker.record_report("r2".into(), origin("v1"), STREAM_LIFETIME);
    observe(&mut tracker, &["v1", "v1.1"], STREAM_LIFETIME, STREAM_LIFETIME);
    assert_eq!(tracker.take_unpublished(STREAM_LIFETIME), [("r1".into(), origin("v1"))]);
    assert!(tracker.take_unpublished(STREAM_LIFETIME).is_empty());
    assert!(tracker.record_begin("r3".into(), origin("v1.1"), true, STREAM_LIFETIME));
}

/// Callers that choose long identifiers take no memory of the hosts.
#[test]
fn long_identifier() {
    let mut tracker = Tracker::default();
    let stream = "r".repeat(129);
    assert!(!tracker.record_begin(stream.as_str().into(), origin("v1"), true, ms(0)));
    tracker.record_report(stream.into(), origin("v1"), ms(0));
    assert!(tracker.is_empty());
}

/// Callers that send many streams take a bounded number of records.
#[test]
fn records_bounded() {
    let mut tracker = Tracker::default();
    for number in 0..60_000 {
        tracker.record_report(format!("r{number}").into(), origin("v1"), ms(number / 100));
    }
    assert_eq!(tracker.len(), 50_000);
}

/// Streams are reported for the archive while their service has several versions, also those that began
/// before, and each once; a new archivist gets the recent ones again.
#[test]
fn archived_when_mixed() {
    let mut tracker = Tracker::default();
    observe(&mut tracker, &["v1"], ms(0), ms(1000));
    tracker.record_begin("r1".into(), origin("v1"), true, ms(1000));
    tracker.record_report("r2".into(), origin("v1"), ms(1000));
    assert!(tracker.take_unarchived(ms(1000)).is_empty(), "one version");
    observe(&mut tracker, &["v1", "v1.1"], ms(9000), ms(9000));
    assert_eq!(tracker.take_unarchived(ms(9000)), [("r1".into(), origin("v1"))]);
    tracker.record_begin("r3".into(), origin("v1.1"), true, ms(9000));
    assert_eq!(tracker.take_unarchived(ms(9000)), [("r3".into(), origin("v1.1"))]);
    assert!(tracker.take_unarchived(ms(9000)).is_empty());
    tracker.archive_again(ms(5000), ms(9000));
    assert_eq!(tracker.take_unarchived(ms(9000)), [("r3".into(), origin("v1.1"))]);
}

/// After all hosts were lost, the archive tells that a service had another version.
#[test]
fn version_from_archive() {
    let mut tracker = Tracker::default();
    observe(&mut tracker, &["v1.1"], ms(0), ms(1000));
    assert!(!tracker.has_mixed_service(ms(1000)));
    tracker.record_version(&origin("v1"), ms(1000));
    assert!(tracker.has_mixed_service(ms(1000)));
    assert!(!tracker.has_mixed_service(ms(1000) + STREAM_LIFETIME));
}

/// A host that stood still may have missed a version, though its list is current again.
#[test]
fn stood_still() {
    let mut tracker = Tracker::default();
    observe(&mut tracker, &["v1"], ms(0), STREAM_LIFETIME);
    let resumed = STREAM_LIFETIME + ms(3000);
    assert_eq!(find(&tracker, resumed), None, "before the list is looked at");
    observe(&mut tracker, &["v1"], resumed, resumed);
    assert_eq!(find(&tracker, resumed), None);
    observe(&mut tracker, &["v1"], resumed, resumed + STREAM_LIFETIME);
    assert_eq!(find(&tracker, resumed + STREAM_LIFETIME), Some(origin("v1")));
}

/// A store that came back from a copy may lack the targets of a version.
#[test]
fn store_copied() {
    let mut tracker = Tracker::default();
    observe(&mut tracker, &["v1"], ms(0), STREAM_LIFETIME);
    tracker.interrupt();
    assert_eq!(find(&tracker, STREAM_LIFETIME), None);
}

fn evidence(versions: &[&str], services: &[&str], newest: Option<u64>) -> Evidence {
    Evidence {
        knowledge: knowledge(None, versions, true),
        services: services.iter().map(|it| (*it).into()).collect(),
        knows_routes: true,
        newest_configuration: newest,
    }
}

/// A host took its own picture, which may be old, for what there is: a stream without a record needs a
/// proof of the store that the one version and the one service are all.
#[rstest]
#[case::shown(evidence(&["v1"], &[SERVICE], None), evidence(&["v1"], &[SERVICE], Some(3)), true)]
#[case::not_shown(evidence(&["v1"], &[SERVICE], None), evidence(&["v1"], &[SERVICE], None), false)]
#[case::newer_version(
    evidence(&["v1"], &[SERVICE], None), evidence(&["v1", "v2"], &[SERVICE], Some(3)), false
)]
#[case::newer_configuration(
    evidence(&["v1"], &[SERVICE], Some(3)), evidence(&["v1"], &[SERVICE], Some(4)), false
)]
#[case::moved(evidence(&["v1"], &[SERVICE], None), evidence(&["v1"], &["s2"], Some(3)), false)]
#[case::moved_from(evidence(&["v1"], &["s2"], None), evidence(&["v1"], &["s2"], Some(3)), false)]
fn shown_origin(#[case] mut own: Evidence, #[case] watcher: Evidence, #[case] is_known: bool) {
    own.merge(watcher);
    let expected = is_known.then(|| origin("v1"));
    assert_eq!(own.into_origin(&SERVICE.into(), 3), expected);
}

/// A host that has not followed the routes took the only one that it knows for all.
#[test]
fn routes_not_followed() {
    let young = Evidence { knows_routes: false, ..evidence(&["v1"], &[SERVICE], Some(3)) };
    assert_eq!(young.clone().into_origin(&SERVICE.into(), 3), None);
    let mut own = young;
    own.merge(evidence(&["v1"], &[SERVICE], Some(3)));
    assert_eq!(own.into_origin(&SERVICE.into(), 3), Some(origin("v1")));
}

fn routes(services: &[&str]) -> Routes {
    let route = Route {
        name: "r".into(),
        host: "site".into(),
        prefix: "/a/".into(),
        kind: RequestKind::Stream { resumable: true },
        timeout: ms(5000),
        latency_objective: ms(300),
        max_event_gap: ms(300),
        priority: 1,
        traffic_split: services.iter().map(|it| ((*it).into(), 1)).collect(),
        max_attempts: 2,
        allows_anonymous: true,
    };
    [route].into_iter().collect()
}

fn former(services: &[&str]) -> Rc<Configuration> {
    Rc::new(Configuration {
        version: 1,
        routes: routes(services),
        services: [].into(),
        limits: Limits::default(),
        accounts: None,
    })
}

/// A route that had moved, several times and back, led to its present service only.
#[test]
fn former_routes() {
    let mut history = RouteHistory::default();
    history.record_former(former(&["s1"]), ms(1000));
    history.record_former(former(&["s2", "s3"]), ms(2000));
    let current = routes(&["s1"]);
    let services = |it: &RouteHistory| it.services(&current, "site", "/a/b");
    assert_eq!(services(&history), ["s1", "s2", "s3"].map(Into::into).into());
    history.observe(ms(0), ms(1000) + ROUTE_MEMORY);
    assert_eq!(services(&history), ["s1", "s2", "s3"].map(Into::into).into());
    history.observe(ms(0), ms(2000) + ROUTE_MEMORY);
    assert_eq!(services(&history), ["s1"].map(Into::into).into());
    assert!(routes(&["s1"]).leads_like(&current) && !routes(&["s1", "s2"]).leads_like(&current));
    assert!(!Routes::default().leads_like(&current));
}

/// A stream whose route leads elsewhere lately is reported to other hosts, also if it began before.
#[test]
fn reported_when_moved() {
    let mut tracker = Tracker::default();
    observe(&mut tracker, &["v1"], ms(0), STREAM_LIFETIME);
    assert!(!tracker.record_begin("r1".into(), origin("v1"), true, STREAM_LIFETIME));
    tracker.record_route_change();
    assert_eq!(tracker.take_unpublished(STREAM_LIFETIME), [("r1".into(), origin("v1"))]);
    assert!(tracker.take_unpublished(STREAM_LIFETIME).is_empty());
    assert!(tracker.record_begin("r2".into(), origin("v1"), false, STREAM_LIFETIME));
}
