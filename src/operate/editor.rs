//! Operators' edits of the configuration and their rollout to all hosts.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use smol_str::SmolStr;

use super::{
    in_force::VersionTracker,
    wire::{self, AnnounceRequest, Configuration, EditOutcome, Fault, History, Progress},
};
use crate::{
    clock,
    configuration::{
        Lists, RawAnnouncement,
        store::{self, CURRENT_KEY, Error, Outcome, Store},
    },
    host::{Membership, ReportedVersion},
    id,
    link::peer::wire::Hint,
    refresh::Refresher,
    store::{HostList, ObjectStore, Table},
};

/// Maximum number of versions tracked at once; the oldest are dropped first.
const MAX_TRACKED_VERSIONS: usize = 64;
/// Maximum attempts to store a changed announcement while other edits conflict with it.
const MAX_ATTEMPTS: u32 = 8;

/// Stores edits and tracks them until they are in force on every host.
#[derive(Debug)]
pub struct Editor<T, O, L> {
    refresh: Refresher<T, O>,
    membership: Membership<L>,
    configuration_bound: Duration,
    silence_bound: Duration,
    trackers: Mutex<BTreeMap<id::Version, VersionTracker>>,
}

impl<T: Table, O: ObjectStore, L: HostList> Editor<T, O, L> {
    /// Creates an editor.
    ///
    /// `configuration_bound` is the maximum age of a configuration on any host, `silence_bound` the
    /// time without a heartbeat after which any host considers a peer gone.
    pub fn new(
        refresh: Refresher<T, O>,
        membership: Membership<L>,
        configuration_bound: Duration,
        silence_bound: Duration,
    ) -> Editor<T, O, L> {
        Editor {
            refresh,
            membership,
            configuration_bound,
            silence_bound,
            trackers: Mutex::default(),
        }
    }

    /// Returns the stored configuration.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
    pub fn current(&self) -> Result<Configuration, Error> {
        let edition = self.store().current()?;
        let in_force_here = self.refresh.configuration().version;
        Ok(Configuration { version: edition.version, in_force_here, lists: edition.lists })
    }

    /// Returns an earlier configuration.
    ///
    /// # Errors
    /// Fails when the platform does not answer or there is no such version.
    pub fn edition(&self, version: id::Version) -> Result<Configuration, Error> {
        let edition = self.store().load(version)?;
        let in_force_here = self.refresh.configuration().version;
        Ok(Configuration { version, in_force_here, lists: edition.lists })
    }

    /// Returns the last `count` edits, newest first.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
    pub fn history(&self, count: usize) -> Result<History, Error> {
        Ok(History { edits: self.store().history(count)? })
    }

    /// Stores an edit and tells all hosts to refresh.
    pub fn edit(&self, edit: wire::Edit) -> EditOutcome {
        let lists = match self.store().load(edit.from) {
            Ok(edition) => edition.lists,
            Err(err) => return err.into(),
        };
        let lists = Lists {
            plans: edit.plans.unwrap_or(lists.plans),
            limits: edit.limits.unwrap_or(lists.limits),
            announcements: lists.announcements,
        };
        self.store_edit(edit.from, lists, edit.author, edit.token)
    }

    /// Announces a change to the fleet; an announcement of the same name is replaced.
    pub fn announce(&self, announce: &AnnounceRequest) -> EditOutcome {
        self.change_announcements(&announce.author, |announcements, version| {
            announcements.retain(|it| it.id != announce.id);
            announcements.push(RawAnnouncement {
                id: announce.id.clone(),
                change: announce.change,
                subject: announce.subject.clone(),
                added_in: version,
                after_ms: announce.after_ms,
                announced_ms: unix_time_ms(),
            });
        })
    }

    /// Deletes the announcement with the given name; a new version is stored even if there was
    /// none.
    pub fn withdraw(&self, id: &str, author: &SmolStr) -> EditOutcome {
        self.change_announcements(author, |announcements, _| announcements.retain(|it| it.id != id))
    }

    /// Returns the rollout progress of a version after a heartbeat to all hosts.
    pub fn progress(&self, version: id::Version) -> Progress {
        if self.refresh.configuration().version < version {
            self.refresh.refresh_now();
        }
        let reported = self.collect_reported_versions();
        let now = clock::now();
        let mut trackers = self.trackers.lock().expect("tracker lock poisoned");
        let tracker = trackers.entry(version).or_insert_with(|| {
            VersionTracker::new(version, self.configuration_bound, self.silence_bound, now)
        });
        let progress = tracker.update(&reported, now);
        while MAX_TRACKED_VERSIONS < trackers.len() {
            trackers.pop_first();
        }
        progress
    }

    fn change_announcements(
        &self,
        author: &SmolStr,
        change: impl Fn(&mut Vec<RawAnnouncement>, id::Version),
    ) -> EditOutcome {
        let mut edited = EditOutcome::NotStored { message: String::new() };
        for _ in 0..MAX_ATTEMPTS {
            let edition = match self.store().current() {
                Ok(edition) => edition,
                Err(err) => return err.into(),
            };
            let mut lists = edition.lists;
            change(&mut lists.announcements, edition.version + 1);
            edited = self.store_edit(edition.version, lists, author.clone(), rand::random());
            if !matches!(edited, EditOutcome::Conflict { .. }) {
                return edited;
            }
        }
        edited
    }

    fn store_edit(
        &self,
        from: id::Version,
        lists: Lists,
        author: SmolStr,
        token: id::Token,
    ) -> EditOutcome {
        let edit = store::Edit { from, lists, author, edited_ms: unix_time_ms(), token };
        let edited = match self.store().edit(&edit) {
            Ok(outcome) => EditOutcome::from(outcome),
            Err(err) => EditOutcome::from(err),
        };
        if let EditOutcome::Stored { version } = edited {
            self.membership.send_hint(&Hint { row: CURRENT_KEY.into(), version });
            self.refresh.hint(version);
        }
        edited
    }

    /// Exchanges heartbeats with all hosts, also those that only other hosts know, and returns
    /// every host's last reported version.
    fn collect_reported_versions(&self) -> Vec<ReportedVersion> {
        self.membership.heartbeat_all();
        let mut reported = self.membership.reported_versions();
        reported.push(ReportedVersion {
            host: self.membership.own().host,
            version: Some(self.refresh.configuration().version),
            heard: true,
        });
        reported
    }

    fn store(&self) -> &Store<T, O> {
        self.refresh.store()
    }
}

impl From<Outcome> for EditOutcome {
    fn from(it: Outcome) -> EditOutcome {
        match it {
            Outcome::Stored(version) => EditOutcome::Stored { version },
            Outcome::Conflict { current, difference } => {
                EditOutcome::Conflict { current, difference }
            }
        }
    }
}

impl From<Error> for EditOutcome {
    fn from(err: Error) -> EditOutcome {
        let message = err.to_string();
        match err {
            Error::Invalid(faults) => {
                EditOutcome::Invalid { faults: faults.iter().map(Fault::from).collect() }
            }
            Error::Unknown { version, .. } => EditOutcome::Unknown { version, message },
            Error::NotStored(_) | Error::Unreadable(_) => EditOutcome::NotStored { message },
        }
    }
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
