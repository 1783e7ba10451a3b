//! Watches the engines' roles during a run, as the hosts' reports show them.

use std::{collections::HashMap, time::Duration};

use crate::{id, load::cluster::Cluster, target::Role};

/// Time between two looks.
pub(super) const PERIOD: Duration = Duration::from_millis(100);

/// Roles seen so far.
#[derive(Debug, Default)]
pub(super) struct Observer {
    last: HashMap<id::Target, Role>,
    /// Changes of role seen.
    pub(super) changes: u32,
    /// Engines by role at the last look: prefill, decode, mixed.
    pub(super) roles: [u32; 3],
}

impl Observer {
    /// Looks at the reports that the first running host has.
    pub(super) fn look(&mut self, cluster: &Cluster) {
        let known = cluster.with_daemons(|_, it| it.context().fleet.targets());
        let known = known.into_iter().next().unwrap_or_default();
        self.roles = [0; 3];
        for (machine, report) in known {
            let Some(role) = report.and_then(|it| it.role) else { continue };
            self.roles[role as usize] += 1;
            let before = self.last.insert(machine.name, role);
            self.changes += u32::from(before.is_some_and(|it| it != role));
        }
    }
}
