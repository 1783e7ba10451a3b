//! Conversion between stored rows and validated leases and groups.

use crate::{
    event,
    event::Event,
    lease::{self, Attempt},
    order::{self, Group},
    store::{Row, Write},
};

/// Returns the table write for a lease.
pub(super) fn lease_write(group: &str, attempt: &Attempt) -> Write {
    Write {
        key: lease::row_key(group),
        expected: attempt.expected,
        value: Some(lease::wire::Record::from(&attempt.record).text()),
    }
}

/// Returns the table write for a group.
pub(super) fn group_write(group: &str, write: &order::Write) -> Write {
    Write {
        key: order::row_key(group),
        expected: write.expected,
        value: Some(order::wire::Group::from(&write.group).text()),
    }
}

/// Returns a lease's record: `Some(None)` if the row does not exist, `None` if it is malformed.
pub(super) fn parse_lease(row: &Row) -> Option<Option<lease::Record>> {
    if row.version == 0 {
        return Some(None);
    }
    let parsed = lease::wire::Record::parse(&row.value).and_then(lease::Record::try_from);
    parsed.map_err(|it| log_malformed(row, &it)).ok().map(Some)
}

/// Returns a group: empty if the row does not exist, `None` if it is malformed.
pub(super) fn parse_group(row: &Row) -> Option<Group> {
    if row.version == 0 {
        return Some(Group::default());
    }
    let parsed = order::wire::Group::parse(&row.value).and_then(Group::try_from);
    parsed.map_err(|it| log_malformed(row, &it)).ok()
}

fn log_malformed(row: &Row, err: &lease::Malformed) {
    event!(Event::RowMalformed, "row {} is malformed: {err}; its group gets no orders", row.key);
}
