//! Which account a request is of, and whether it may be sent.

mod common;

use fuchsiaknot_core::verdict::Reason;
use fuchsiaknot_gateway::account::{
    Account, Accounts, Digest, Error,
    recognition::{Identity, Knowledge, check, identify, read_key},
};
use hyper::{HeaderMap, header::AUTHORIZATION};
use rstest::rstest;
use smol_str::SmolStr;

use common::{SERVICE, route};

const CERTAIN: Knowledge = Knowledge { is_proven: true, is_recent: true };
const BEHIND: Knowledge = Knowledge { is_proven: true, is_recent: false };
const UNPROVEN: Knowledge = Knowledge { is_proven: false, is_recent: false };

fn accounts(entries: &[(&str, &[&str])]) -> Result<Accounts, Error> {
    let entry = |(name, keys): &(&str, &[&str])| {
        let account = Account { name: SmolStr::new(name), priority: None };
        (account, keys.iter().map(SmolStr::new).collect::<Vec<_>>())
    };
    Accounts::try_from(entries.iter().map(entry).collect::<Vec<_>>())
}

fn digest(key: &str) -> Digest {
    Digest::from(key.as_bytes())
}

fn headers(values: &[&str]) -> HeaderMap {
    values.iter().map(|it| (AUTHORIZATION, it.parse().unwrap())).collect()
}

#[rstest]
#[case::plain("Bearer k1")]
#[case::other_case("bEARER k1")]
#[case::spaces("Bearer   k1 ")]
fn key_read(#[case] value: &str) {
    assert_eq!(read_key(&headers(&[value])), Ok(Some(digest("k1"))));
}

#[rstest]
#[case::no_scheme(&["k1"])]
#[case::other_scheme(&["Basic k1"])]
#[case::scheme_only(&["Bearer "])]
#[case::empty(&[""])]
#[case::two_keys(&["Bearer k1 k2"])]
#[case::list(&["Bearer k1,k2"])]
#[case::repeated(&["Bearer k1", "Bearer k1"])]
#[case::no_text(&["Bearer \u{ff}é"])]
fn malformed_key(#[case] values: &[&str]) {
    let (accounts, route) = (accounts(&[("a", &["k1"])]).unwrap(), route("h", "/", &[]));
    let key = read_key(&headers(values));
    assert!(key.is_err());
    assert_eq!(identify(&accounts, &route, key, UNPROVEN), Err(Reason::Unauthorised));
}

#[test]
fn huge_key() {
    let value = format!("Bearer {}", "k".repeat(64 * 1024));
    assert!(read_key(&headers(&[&value])).unwrap().is_some());
}

/// A key that this host does not know may be new, and one that it knows may have been revoked.
#[rstest]
#[case::known(Some("k1"), false, CERTAIN, Ok(Some("a")))]
#[case::known_behind(Some("k1"), false, BEHIND, Ok(Some("a")))]
#[case::known_unproven(Some("k1"), false, UNPROVEN, Err(Reason::Stale))]
#[case::unknown(Some("k9"), false, CERTAIN, Err(Reason::Unauthorised))]
#[case::unknown_behind(Some("k9"), false, BEHIND, Err(Reason::Stale))]
#[case::missing(None, false, CERTAIN, Err(Reason::Unauthorised))]
#[case::missing_behind(None, false, BEHIND, Err(Reason::Stale))]
#[case::anonymous(None, true, UNPROVEN, Ok(None))]
#[case::known_anywhere(Some("k1"), true, CERTAIN, Ok(Some("a")))]
#[case::unknown_anywhere(Some("k9"), true, CERTAIN, Err(Reason::Unauthorised))]
#[case::unproven_anywhere(Some("k1"), true, UNPROVEN, Err(Reason::Stale))]
fn identified(
    #[case] key: Option<&str>,
    #[case] allows_anonymous: bool,
    #[case] knowledge: Knowledge,
    #[case] expected: Result<Option<&str>, Reason>,
) {
    let accounts = accounts(&[("a", &["k0", "k1"]), ("b", &["k2"])]).unwrap();
    let mut route = route("h", "/", &[(SERVICE, 1)]);
    route.allows_anonymous = allows_anonymous;
    let got = identify(&accounts, &route, Ok(key.map(digest)), knowledge);
    let name = got.as_ref().map(|it| it.as_ref().map(|it| it.account.name.as_str()));
    assert_eq!(name, expected.as_ref().copied());
}

/// A request waits in a queue while versions add and remove keys.
#[rstest]
#[case::kept(Some(&[("a", &["k1"][..])][..]), CERTAIN, Ok(()))]
#[case::removed(Some(&[("a", &["k2"][..])][..]), CERTAIN, Err(Reason::Unauthorised))]
#[case::last_removed(Some(&[("a", &[][..])][..]), CERTAIN, Err(Reason::Unauthorised))]
#[case::moved(Some(&[("a", &[][..]), ("b", &["k1"][..])][..]), CERTAIN, Err(Reason::Stale))]
#[case::no_accounts(None, CERTAIN, Ok(()))]
#[case::unproven(Some(&[("a", &["k1"][..])][..]), UNPROVEN, Err(Reason::Stale))]
fn checked_again(
    #[case] now: Option<&[(&str, &[&str])]>,
    #[case] knowledge: Knowledge,
    #[case] expected: Result<(), Reason>,
) {
    let before = accounts(&[("a", &["k1"])]).unwrap();
    let (account, key) = (before.all()[0].clone(), digest("k1"));
    let now = now.map(|it| accounts(it).unwrap());
    assert_eq!(check(&Identity { account, key }, now.as_ref(), knowledge), expected);
}

#[rstest]
#[case::shared_key(&[("a", &["k1"][..]), ("b", &["k1"][..])])]
#[case::same_name(&[("a", &["k1"][..]), ("a", &["k2"][..])])]
#[case::empty_key(&[("a", &[""][..])])]
#[case::empty_name(&[("", &["k1"][..])])]
#[case::line_break(&[("a\r\nx: y", &["k1"][..])])]
fn inconsistent(#[case] entries: &[(&str, &[&str])]) {
    let err = accounts(entries).unwrap_err();
    assert!(!err.to_string().contains("k1"), "{err}");
}

#[test]
fn key_repeated() {
    let accounts = accounts(&[("a", &["k1", "k1"])]).unwrap();
    assert_eq!(accounts.find(&digest("k1")).unwrap().name, "a");
    assert!(accounts.find(&digest("k")).is_none());
}

#[test]
fn digest_text() {
    let key = digest("k1");
    assert_eq!(Digest::try_from(key.to_string().as_str()), Ok(key));
    assert!(!format!("{key:?}").contains(&key.to_string()));
}
