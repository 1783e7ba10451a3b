//! Rows of leases and groups to checked contents and back.

use crate::{
    event,
    event::Event,
    lease::{self, Attempt},
    order::{self, Group},
    store::{Row, Write},
};

/// Returns the write of a lease's row.
pub(super) fn lease_write(group: &str, attempt: &Attempt) -> Write {
    Write {
        key: lease::row(group),
        expected: attempt.expected,
        value: Some(lease::wire::Record::from(&attempt.record).text()),
    }
}

/// Returns the write of a group's row.
pub(super) fn group_write(group: &str, write: &order::Write) -> Write {
    Write {
        key: order::row_key(group),
        expected: write.expected,
        value: Some(order::wire::Group::from(&write.group).text()),
    }
}

/// Returns a lease's record, `Some(None)` when the row is absent, or `None` when it is unusable.
pub(super) fn parse_lease(row: &Row) -> Option<Option<lease::Record>> {
    if row.version == 0 {
        return Some(None);
    }
    let parsed = lease::wire::Record::parse(&row.value).and_then(lease::Record::try_from);
    parsed.map_err(|it| log_unusable(row, &it)).ok().map(Some)
}

/// Returns a group's contents, empty when the row is absent, or `None` when it is unusable.
pub(super) fn parse_group(row: &Row) -> Option<Group> {
    if row.version == 0 {
        return Some(Group::default());
    }
    let parsed = order::wire::Group::parse(&row.value).and_then(Group::try_from);
    parsed.map_err(|it| log_unusable(row, &it)).ok()
}

fn log_unusable(row: &Row, err: &lease::Malformed) {
    event!(Event::RowUnusable, "row {} cannot be used: {err}; its group gets no orders", row.key);
}
