//! Settings files: faults with their location, units and defaults.

use std::time::Duration;

use fuchsiaknot::settings::{Fault, FaultKind, Need, Settings};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

const MINIMAL: &str = "[host]\nname = a-1\ndata_centre = brno-a\n[peers]\nkey = 0123456789abcdef\n";

fn faults(text: &str) -> Vec<Fault> {
    Settings::parse("f.ini", text).expect_err("the text has faults")
}

#[test]
fn minimal_accepted() {
    let settings = Settings::parse("f.ini", MINIMAL).unwrap();
    assert_eq!(settings.host.name, "a-1");
    assert_eq!(settings.platform.timeout, Duration::from_secs(2));
}

#[test]
fn units_parsed() {
    let text =
        format!("{MINIMAL}[callers]\nbody_bytes = 512 KiB\nheader_time=570ms\nidle_time = 2 min\n");
    let callers = Settings::parse("f.ini", &text).unwrap().callers;
    assert_eq!(callers.body_bytes, 512 << 10);
    assert_eq!(callers.header_time, Duration::from_millis(570));
    assert_eq!(callers.idle_time, Duration::from_secs(120));
}

#[test]
fn all_faults_reported() {
    let found =
        faults("[hosts]\n[callers]\nbody_byte = 4 MiB\nidle_time = 5\n[peers]\nkey=short\n");
    let shown: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(
        shown,
        [
            "f.ini: [callers] body_byte: unknown key; did you mean `body_bytes`?",
            "f.ini: [callers] idle_time: `5` is not a time with a unit, such as `570 ms`, `9 s` or `2 min`",
            "f.ini: [host] data_centre: missing; it has no default",
            "f.ini: [host] name: missing; it has no default",
            "f.ini: [hosts]: unknown section; did you mean `host`?",
            "f.ini: [peers] key: `…` is not a secret of at least 16 characters",
        ]
    );
}

#[rstest]
#[case::zero("[callers]\nconnections = 0")]
#[case::negative("[callers]\nconnections = -4")]
#[case::wide("[callers]\nconnections = 99999999999999999999")]
#[case::host_name("[platform]\naddress = localhost:80")]
#[case::unit("[platform]\ntimeout = 2 weeks")]
#[case::overflow("[platform]\ntimeout = 18446744073709551615 h")]
#[case::empty("[platform]\ntimeout =")]
#[case::twice("[platform]\ntimeout = 1 s\ntimeout = 2 s")]
#[case::section_twice("[platform]\ntimeout = 1 s\n[platform]\nrefresh = 2 s")]
#[case::silence("[targets]\nsilence = 0 s")]
#[case::no_sign("[platform]\ntimeout 2 s\n")]
#[case::service_name("[service a/b]\n")]
#[case::no_service("[service]\n")]
#[case::outside("loose = 1\n[platform]\n")]
fn fault_located(#[case] text: &str) {
    let found = faults(&format!("{text}\n{MINIMAL}"));
    assert_eq!(found.len(), 1, "{found:?}");
    let location = &found[0].location;
    assert_eq!(location.file, "f.ini");
    let kind = &found[0].kind;
    let located = !location.section.is_empty() || !location.key.is_empty();
    assert!(located || matches!(kind, FaultKind::IncompleteLine { line: 2 }), "{found:?}");
}

#[test]
fn silence_exceeds_heartbeat() {
    let found = faults(&format!("{MINIMAL}heartbeat = 3 s\n"));
    assert_eq!(found[0].kind, FaultKind::NotLongerThan("heartbeat"));
}

#[test]
fn secret_not_printed() {
    let shown = format!("{:?}", Settings::parse("f.ini", MINIMAL).unwrap());
    assert!(!shown.contains("0123456789abcdef"));
}

#[test]
fn missing_file_named() {
    let found = Settings::read("no/such.ini".as_ref()).unwrap_err();
    assert!(found[0].to_string().starts_with("no/such.ini: cannot be read"));
}

#[test]
fn service_rules_applied() {
    let text = format!("{MINIMAL}[service orders]\nunrepeatable_paths = /export, /dispatch\n");
    let settings = Settings::parse("f.ini", &text).unwrap();
    let service = &settings.services["orders"];
    assert!(service.is_repeatable("get", "/stock"));
    assert!(!service.is_repeatable("GET", "/export/all"));
    assert!(!service.is_repeatable("POST", "/stock"));
}

#[test]
fn defaults_round_trip() {
    let mut text = String::new();
    let mut section = "";
    for key in Settings::keys().iter().filter(|it| it.section != "service") {
        if key.section != section {
            section = key.section;
            text += &format!("[{section}]\n");
        }
        let value = match (key.need, &key.default) {
            (Need::Required, _) => "0123456789abcdef",
            (Need::Optional, Some(value)) => value,
            (Need::Optional, None) => continue,
        };
        text += &format!("{} = {value}\n", key.name);
    }
    let read = Settings::parse("f.ini", &text).unwrap();
    let default = Settings::default();
    assert_eq!(format!("{:?}", read.callers), format!("{:?}", default.callers));
    assert_eq!(format!("{:?}", read.targets), format!("{:?}", default.targets));
}

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn arbitrary_text(text in any::<String>()) {
        for fault in faults(&text) {
            prop_assert_eq!(fault.location.file.as_str(), "f.ini");
        }
    }

    #[test]
    fn arbitrary_lines(lines in prop::collection::vec(
        prop::sample::select(vec![
            "[host]", "[", "]", "[peers", "name = a", "name", "=", "= a", "key = \\", "\\", "a\\\n",
            "timeout = 5 \u{b5}s", "; note", "x ; note", "\u{feff}[host]", "[service x]", "[a\nb]",
        ]), 0..12)) {
        let text = lines.join("\n");
        if let Err(found) = Settings::parse("f.ini", &text) {
            prop_assert!(!found.is_empty());
        }
    }

    #[test]
    fn times_round_trip(millis in 1_u64..100_000_000) {
        let text = format!("{MINIMAL}[platform]\ntimeout = {millis} ms\n");
        let settings = Settings::parse("f.ini", &text).unwrap();
        prop_assert_eq!(settings.platform.timeout, Duration::from_millis(millis));
        let written = fuchsiaknot::settings::ini_text("platform", &settings.platform);
        let read = Settings::parse("f.ini", &format!("{MINIMAL}{written}")).unwrap();
        prop_assert_eq!(read.platform.timeout, settings.platform.timeout);
    }
}
