//! Calls from the target client to the stand-in service: verdicts, and the runs that the service
//! records.

use std::time::Duration;

use fuchsiaknot::{
    settings,
    standin::{
        self,
        service::{Config, Faults},
    },
    target::{Call, Client, Control, Failure, Service},
    utils,
    verdict::Verdict,
};
use rstest::rstest;
use smol_str::SmolStr;

fn start() -> (standin::Service, Client) {
    let service = standin::Service::start(Config::default()).unwrap();
    let client = Client::new(service.address(), &settings::Targets::default());
    (service, client)
}

fn call(timeout: Duration) -> Call {
    Call {
        method: SmolStr::new_static("POST"),
        path: SmolStr::new_static("/dispatch?truck=2"),
        headers: vec![
            (SmolStr::new_static("Idempotency-Key"), SmolStr::new_static("k-1")),
            (SmolStr::new_static("Connection"), SmolStr::new_static("close")),
        ],
        body: b"two trucks".to_vec(),
        timeout,
    }
}

#[test]
fn run_recorded() {
    let (service, client) = start();
    let answer = client.call(&call(Duration::from_secs(20))).unwrap();
    assert_eq!(answer.status, 200);
    let run = &service.record().runs[0];
    assert_eq!(run.key.as_deref(), Some("k-1"));
    assert_eq!((run.method.as_str(), run.path.as_str()), ("POST", "/dispatch"));
    assert_eq!(run.body, "two trucks");
    assert_eq!(serde_json::from_slice::<standin::service::Run>(&answer.body).unwrap(), *run);
    assert_eq!(client.report().unwrap().serves, "orders");
}

#[rstest]
#[case::refused(Faults { refuse: true, ..Faults::default() }, 0, Verdict::NotRun)]
#[case::crash_before(Faults { crash_before_run: true, ..Faults::default() }, 0, Verdict::MayHaveRun)]
#[case::crash_after(Faults { crash_after_run: true, ..Faults::default() }, 1, Verdict::MayHaveRun)]
#[case::answer_lost(Faults { lose_answers: 1, ..Faults::default() }, 1, Verdict::MayHaveRun)]
fn failure_verdict(#[case] faults: Faults, #[case] runs: usize, #[case] verdict: Verdict) {
    let (service, client) = start();
    service.set_faults(faults);
    let failure = client.call(&call(Duration::from_secs(20))).unwrap_err();
    assert_eq!(failure.verdict(), verdict, "{failure}");
    assert_eq!(service.record().runs.len(), runs);
}

#[test]
fn call_timeout() {
    let (service, client) = start();
    service.set_faults(Faults { hold_before_run: true, ..Faults::default() });
    let failure = client.call(&call(Duration::from_millis(500))).unwrap_err();
    assert_eq!(failure, Failure::Silent);
}

#[test]
fn connection_refused() {
    let (listener, address) = utils::bind_loopback().unwrap();
    drop(listener);
    let client = Client::new(address, &settings::Targets::default());
    let failure = client.call(&call(Duration::from_secs(20))).unwrap_err();
    assert!(matches!(failure, Failure::Connect(_)), "{failure}");
}
