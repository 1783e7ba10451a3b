//! The operators' port, and the command line as its client.

mod cluster;

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    process::{Command, Output, Stdio},
};

use fuchsiaknot::{
    metric::Metrics,
    operate::{
        self, Access, Client, Control, Editor, Error, Port, Service,
        wire::{Edit, EditOutcome, Group, ReleaseOutcome, Request, Target},
    },
    refresh::Freshness,
    settings,
    standin::platform::Faults,
    store, utils,
};
use rstest::rstest;
use smol_str::SmolStr;

use self::cluster::{CONFIGURATION_BOUND, Host, set_faults, wait_until};

const KEY_HASH: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

struct FixedControl;

impl Control for FixedControl {
    fn groups(&self) -> Vec<Group> {
        let held_back = vec!["engine-1".into()];
        vec![Group { group: "brno-a/<draft>".into(), epoch: 7, held_back, ..Group::default() }]
    }
    fn targets(&self) -> Vec<Target> {
        Vec::new()
    }
    fn requests(&self) -> Vec<Request> {
        Vec::new()
    }
    fn release(&self, target: &str, _: &SmolStr) -> ReleaseOutcome {
        if target == "engine-1" {
            ReleaseOutcome::Recorded
        } else {
            ReleaseOutcome::NothingToRelease
        }
    }
}

struct Fixture {
    platform: fuchsiaknot::standin::Platform,
    hosts: Vec<Host>,
    ports: Vec<Port>,
}

impl Fixture {
    fn start(count: usize, access: &Access) -> Fixture {
        let platform = cluster::start_platform();
        let host = |it: usize| cluster::start_host(&platform, &format!("host-{it}"));
        let hosts: Vec<Host> = (0..count).map(host).collect();
        wait_until("fresh", || hosts.iter().all(|it| it.refresh.freshness() == Freshness::Fresh));
        let ports = hosts.iter().map(|it| start_port(it, access.clone())).collect();
        Fixture { platform, hosts, ports }
    }

    fn client(&self, host: usize) -> Client {
        Client::new(self.ports[host].address(), None)
    }

    fn run(&self, args: &[&str]) -> Output {
        self.run_with(args, "")
    }

    fn run_with(&self, args: &[&str], input: &str) -> Output {
        run_command(self.ports[0].address(), args, input)
    }
}

fn run_command(address: SocketAddr, args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fuchsiaknot"))
        .args(args)
        .env("FUCHSIAKNOT_HOST", address.to_string())
        .env("USER", "tester")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn start_port(host: &Host, access: Access) -> Port {
    let silence = settings::Peers::default().silence;
    let (refresh, membership) = (host.refresh.clone(), host.membership.clone());
    let editor: Editor<store::Client, store::Client, store::Client> =
        Editor::new(refresh.clone(), membership.clone(), CONFIGURATION_BOUND, silence);
    let metrics = Metrics::local();
    metrics.add("refused.expired", 2);
    let control = FixedControl;
    let service = Service { access, editor, refresh, membership, control, metrics };
    operate::serve(SocketAddr::from(([127, 0, 0, 1], 0)), service).unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn edit_limits(from: u64, text: &str) -> Edit {
    Edit { from, limits: Some(text.into()), token: rand::random(), ..Edit::default() }
}

#[test]
fn list_round_trip() {
    let fixture = Fixture::start(3, &Access::Loopback);
    let edited = fixture.run(&["limits", "edit", "plan gold", "weight=2", "queue=9"]);
    assert_eq!(edited.status.code(), Some(0), "{}", stderr(&edited));
    assert_eq!(stdout(&edited), "version 1 is in force on every host\n");
    assert!(fixture.hosts.iter().all(|it| it.refresh.configuration().version == 1));
    let shown = stdout(&fixture.run(&["limits", "show"]));
    assert_eq!(shown, "# version 1\n[plan gold]\nweight = 2\nqueue = 9\n");
    let changed = shown.replace("weight = 2", "weight = 3");
    let diff = fixture.run_with(&["limits", "diff", "-"], &changed);
    assert_eq!(diff.status.code(), Some(8));
    assert_eq!(stdout(&diff), "~ [plan gold] weight = 2 -> 3\n");
    let applied = fixture.run_with(&["limits", "apply", "-", "--json"], &changed);
    let progress: operate::wire::Progress = serde_json::from_slice(&applied.stdout).unwrap();
    assert!(progress.in_force && progress.version == 2);
    let history = stdout(&fixture.run(&["limits", "history"]));
    assert!(history.contains("tester"), "{history}");
}

#[test]
fn outdated_edit_conflicts() {
    let fixture = Fixture::start(2, &Access::Loopback);
    let first = fixture.client(0).edit(&edit_limits(0, "[plan a]\nweight = 1\n")).unwrap();
    assert_eq!(first, EditOutcome::Stored { version: 1 });
    let second = run_command(
        fixture.ports[1].address(),
        &["limits", "apply", "-", "--from", "0"],
        "[plan b]\nweight = 1\n",
    );
    assert_eq!(second.status.code(), Some(3));
    assert!(stderr(&second).contains("+ [plan a] weight = 1"), "{}", stderr(&second));
}

#[test]
fn concurrent_edits() {
    let fixture = Fixture::start(2, &Access::Loopback);
    for round in 0..10 {
        let outcomes: Vec<EditOutcome> = std::thread::scope(|scope| {
            let edit = |host| {
                let text = format!("[plan p{host}]\nweight = {}\n", round + 1);
                scope.spawn({
                    let client = fixture.client(host);
                    move || client.edit(&edit_limits(round, &text)).unwrap()
                })
            };
            let edits = [edit(0), edit(1)];
            edits.map(|it| it.join().unwrap()).into()
        });
        let stored = outcomes.iter().filter(|it| matches!(it, EditOutcome::Stored { .. })).count();
        let conflicts =
            outcomes.iter().filter(|it| matches!(it, EditOutcome::Conflict { .. })).count();
        assert_eq!((stored, conflicts), (1, 1), "{outcomes:?}");
    }
}

#[test]
fn repeated_edit_recognised() {
    let fixture = Fixture::start(1, &Access::Loopback);
    let edit = edit_limits(0, "[plan a]\nweight = 1\n");
    assert_eq!(fixture.client(0).edit(&edit).unwrap(), EditOutcome::Stored { version: 1 });
    assert_eq!(fixture.client(0).edit(&edit).unwrap(), EditOutcome::Stored { version: 1 });
    let later = edit_limits(1, "[plan b]\nweight = 1\n");
    assert_eq!(fixture.client(0).edit(&later).unwrap(), EditOutcome::Stored { version: 2 });
    assert_eq!(fixture.client(0).edit(&edit).unwrap(), EditOutcome::Stored { version: 1 });
}

#[test]
fn faults_shown() {
    let fixture = Fixture::start(1, &Access::Loopback);
    let output = fixture.run_with(&["limits", "apply", "-"], "# version 0\n[plan a]\nwait = 1\n");
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(text.contains("limits: [plan a] wait: unknown key; did you mean `weight`?"), "{text}");
    assert!(text.contains("limits: [plan a] weight: missing"), "{text}");
}

#[test]
fn platform_down() {
    let fixture = Fixture::start(1, &Access::Loopback);
    set_faults(&fixture.platform, &Faults { table_down: true, ..Faults::default() });
    let output = fixture.run(&["limits", "edit", "plan a", "weight=1"]);
    assert_eq!(output.status.code(), Some(4), "{}", stderr(&output));
}

#[test]
fn silent_host_reported() {
    let mut fixture = Fixture::start(3, &Access::Loopback);
    let stopped_host = fixture.hosts.remove(2);
    stopped_host.timer.stop();
    drop(stopped_host);
    let output = fixture.run(&["limits", "edit", "plan a", "weight=1", "--wait", "1 s"]);
    assert_eq!(output.status.code(), Some(6), "{}", stderr(&output));
    assert!(stderr(&output).contains("host-2"), "{}", stderr(&output));
}

#[test]
fn changes_announced() {
    let fixture = Fixture::start(1, &Access::Loopback);
    let withdraw = ["announce", "withdraw", "data-centre", "zlin-c", "--in", "1 h"];
    assert_eq!(fixture.run(&withdraw).status.code(), Some(0));
    assert_eq!(fixture.run(&["drain", "engine-1"]).status.code(), Some(0));
    let list = stdout(&fixture.run(&["announce", "list"]));
    assert!(list.contains("withdraw-zlin-c") && list.contains("drain-engine-1"), "{list}");
    wait_until("in force", || fixture.hosts[0].refresh.configuration().announcements.len() == 2);
    assert_eq!(fixture.run(&["drain", "engine-1", "--end"]).status.code(), Some(0));
    wait_until("ended", || fixture.hosts[0].refresh.configuration().announcements.len() == 1);
    assert_eq!(fixture.run(&["announce", "cancel", "other"]).status.code(), Some(1));
}

#[test]
fn release_confirmed() {
    let fixture = Fixture::start(1, &Access::Loopback);
    assert_eq!(fixture.run(&["release", "engine-1"]).status.code(), Some(2));
    let release = |target| fixture.run(&["release", target, "--holder-is-stopped"]);
    assert_eq!(release("engine-1").status.code(), Some(0));
    assert_eq!(release("engine-2").status.code(), Some(1));
}

#[test]
fn fleet_shown() {
    let fixture = Fixture::start(2, &Access::Loopback);
    wait_until("heard", || {
        let fleet = fixture.client(0).fleet().unwrap();
        fleet.hosts.iter().filter(|it| it.status == "live").count() == 2
    });
    let text = stdout(&fixture.run(&["fleet", "show"]));
    assert!(text.contains("host-1") && text.contains("engine-1"), "{text}");
    assert!(!text.contains('\u{1b}'), "colour outside a terminal");
    let page = ureq::get(format!("http://{}/", fixture.ports[0].address())).call().unwrap();
    let page = page.into_body().read_to_string().unwrap();
    assert!(page.contains("brno-a/&lt;draft&gt;") && page.contains("refused.expired"), "{page}");
    assert!(stdout(&fixture.run(&["counters"])).contains("refused.expired"));
    assert_eq!(fixture.run(&["requests", "--json"]).status.code(), Some(0));
}

#[test]
fn key_required() {
    let fixture = Fixture::start(1, &Access::Key(utils::key_hash("secret")));
    let address = fixture.ports[0].address();
    assert!(matches!(Client::new(address, None).fleet(), Err(Error::Denied(_))));
    assert!(matches!(Client::new(address, Some("other".into())).fleet(), Err(Error::Denied(_))));
    assert!(Client::new(address, Some("secret".into())).fleet().is_ok());
    let output = fixture.run(&["fleet", "show"]);
    assert_eq!(output.status.code(), Some(7));
    assert!(stderr(&output).contains("FUCHSIAKNOT_KEY"));
}

#[test]
fn keyless_only_loopback() {
    let check = |address: &str| Access::Loopback.check(address.parse().unwrap(), None);
    assert!(check("127.0.0.1").is_ok() && check("::1").is_ok());
    assert!(check("10.0.0.7").is_err());
}

#[rstest]
#[case::form("text/plain", "{}", 415)]
#[case::not_json("application/json", "{", 400)]
#[case::unknown("application/json", r#"{"from":0,"token":1,"plan":""}"#, 400)]
#[case::missing("application/json", "{}", 400)]
fn bad_body_refused(#[case] kind: &str, #[case] body: &str, #[case] status: u16) {
    let fixture = Fixture::start(1, &Access::Loopback);
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let url = format!("http://{}/v1/config", fixture.ports[0].address());
    let response = agent.post(url).header("Content-Type", kind).send(body).unwrap();
    assert_eq!(response.status().as_u16(), status);
    let refused: operate::wire::Refusal = response.into_body().read_json().unwrap();
    assert!(!refused.message.is_empty());
}

#[test]
fn unreachable_host_named() {
    let (listener, address) = utils::bind_loopback().unwrap();
    drop(listener);
    let output = run_command(address, &["fleet", "show"], "");
    assert_eq!(output.status.code(), Some(7));
    assert!(stderr(&output).contains("--host"), "{}", stderr(&output));
}

#[test]
fn settings_checked() {
    let file = std::env::temp_dir().join(format!("fuchsiaknot-check-{}.ini", std::process::id()));
    let text = "[host]\nname = a\ndata_centre = b\n[peers]\nkey = 0123456789abcdef\n";
    let check = |text: &str| {
        fs::write(&file, text).unwrap();
        let output = run_command(
            SocketAddr::from(([127, 0, 0, 1], 1)),
            &["check", file.to_str().unwrap()],
            "",
        );
        (output.status.code(), stderr(&output))
    };
    assert_eq!(check(text).0, Some(0));
    let (code, shown) = check(&text.replace("name", "nam"));
    assert_eq!(code, Some(2));
    assert!(shown.contains("[host] nam: unknown key; did you mean `name`?"), "{shown}");
    fs::remove_file(file).unwrap();
}

#[test]
fn completions_and_manual() {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    for shell in ["bash", "zsh", "fish"] {
        let output = run_command(unused_address, &["completions", shell], "");
        assert!(stdout(&output).contains("announce"), "{shell}");
    }
    assert!(stdout(&run_command(unused_address, &["manual"], "")).contains("fuchsiaknot"));
    let hash = stdout(&run_command(unused_address, &["hash-key"], "secret\n"));
    assert_eq!(hash.trim(), utils::key_hash("secret"));
    assert_eq!(KEY_HASH.len(), hash.trim().len());
}
