//! Refusal reasons.

use std::collections::HashSet;

use fuchsiaknot::verdict::Reason;

#[test]
fn codes_unique() {
    let codes: HashSet<_> = Reason::ALL.iter().map(|it| it.code()).collect();
    assert_eq!(codes.len(), Reason::ALL.len());
}
