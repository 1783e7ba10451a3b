//! Header of a request that one host sends through another.

use fuchsiaknot_gateway::{
    account::Digest,
    cluster::peer_ticket::{MAX_BYTES, TICKET_HEADER, Ticket},
};
use hyper::header::HeaderValue;
use rstest::rstest;

#[rstest]
#[case::anonymous(None)]
#[case::keyed(Some(Digest::from(b"a key".as_slice())))]
fn written_and_read(#[case] key: Option<Digest>) {
    let ticket = Ticket {
        from: "front-bud-a-1".into(),
        from_incarnation: u64::MAX,
        to_incarnation: 7,
        attempts_sent: 1,
        is_counted: true,
        configuration_version: 12,
        key,
    };
    let header = HeaderValue::try_from(&ticket).unwrap();
    assert_eq!(Ticket::try_from(&header), Ok(ticket));
    assert!(header.len() + TICKET_HEADER.as_str().len() < MAX_BYTES);
}

/// A request with a header of another form is refused.
#[rstest]
#[case::empty("")]
#[case::field_missing("h1 1 2 0 true")]
#[case::no_digest("h1 1 2 0 true 3 4")]
#[case::signed_digest("h1 1 2 0 true 3 +123456789abcdef0123456789abcdef")]
#[case::field_added("h1 1 2 0 true 3 0123456789abcdef0123456789abcdef 4")]
#[case::no_number("h1 1 two 0 true 3")]
#[case::negative("h1 1 2 -1 true 3")]
fn malformed(#[case] text: &str) {
    assert!(Ticket::try_from(&HeaderValue::from_str(text).unwrap()).is_err());
}
