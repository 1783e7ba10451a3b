//! A retry is recognised by its shorter deadline.

mod common;

use fuchsiaknot_gateway::entry::deadline::Deadlines;

use common::ms;

#[test]
fn elapsed_time() {
    let mut deadlines = Deadlines::default();
    assert_eq!(deadlines.elapsed(&"r".into(), ms(2500)), ms(0));
    assert_eq!(deadlines.elapsed(&"r".into(), ms(2000)), ms(500));
    assert_eq!(deadlines.elapsed(&"r".into(), ms(2495)), ms(0));
    assert_eq!(deadlines.elapsed(&"other".into(), ms(1000)), ms(0));
}
