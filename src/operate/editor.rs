//! Edits of the configuration on behalf of operators, and their way to all hosts.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use smol_str::SmolStr;

use super::{
    in_force::Watch,
    wire::{self, Announce, Configuration, Edited, Fault, History, Progress},
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

/// Versions that are followed at once.
const WATCHES: usize = 64;
/// Tries of an announcement when other edits come first.
const TRIES: u32 = 8;

/// Makes edits and follows them until they are in force.
#[derive(Debug)]
pub struct Editor<T, O, L> {
    refresh: Refresher<T, O>,
    membership: Membership<L>,
    bound: Duration,
    silence: Duration,
    watches: Mutex<BTreeMap<id::Version, Watch>>,
}

impl<T: Table, O: ObjectStore, L: HostList> Editor<T, O, L> {
    /// Creates an editor; `bound` and `silence` are the hosts' bounds on the age of their
    /// configuration and on the silence of a peer.
    pub fn new(
        refresh: Refresher<T, O>,
        membership: Membership<L>,
        bound: Duration,
        silence: Duration,
    ) -> Editor<T, O, L> {
        Editor { refresh, membership, bound, silence, watches: Mutex::default() }
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

    /// Returns the last edits.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
    pub fn history(&self, count: usize) -> Result<History, Error> {
        Ok(History { edits: self.store().history(count)? })
    }

    /// Stores an edit and tells all hosts to read it.
    pub fn edit(&self, edit: wire::Edit) -> Edited {
        let lists = match self.store().load(edit.from) {
            Ok(edition) => edition.lists,
            Err(err) => return err.into(),
        };
        let lists = Lists {
            plans: edit.plans.unwrap_or(lists.plans),
            limits: edit.limits.unwrap_or(lists.limits),
            announcements: lists.announcements,
        };
        self.store_lists(edit.from, lists, edit.author, edit.token)
    }

    /// Announces a change to the fleet; one of the same name is replaced.
    pub fn announce(&self, announce: &Announce) -> Edited {
        self.change_notices(&announce.author, |notices, version| {
            notices.retain(|it| it.id != announce.id);
            notices.push(RawAnnouncement {
                id: announce.id.clone(),
                change: announce.change,
                subject: announce.subject.clone(),
                added_in: version,
                after_ms: announce.after_ms,
                announced_ms: wall_ms(),
            });
        })
    }

    /// Deletes an announced change; the configuration is stored even if there was none.
    pub fn withdraw(&self, id: &str, author: &SmolStr) -> Edited {
        self.change_notices(author, |notices, _| notices.retain(|it| it.id != id))
    }

    /// Returns how far a version has come; asks all hosts first.
    pub fn progress(&self, version: id::Version) -> Progress {
        if self.refresh.configuration().version < version {
            self.refresh.refresh_now();
        }
        let said = self.survey();
        let now = clock::now();
        let mut watches = self.watches.lock().expect("watch lock poisoned");
        let watch = watches
            .entry(version)
            .or_insert_with(|| Watch::new(version, self.bound, self.silence, now));
        let progress = watch.step(&said, now);
        while WATCHES < watches.len() {
            watches.pop_first();
        }
        progress
    }

    fn change_notices(
        &self,
        author: &SmolStr,
        change: impl Fn(&mut Vec<RawAnnouncement>, id::Version),
    ) -> Edited {
        let mut edited = Edited::NotStored { message: String::new() };
        for _ in 0..TRIES {
            let edition = match self.store().current() {
                Ok(edition) => edition,
                Err(err) => return err.into(),
            };
            let mut lists = edition.lists;
            change(&mut lists.announcements, edition.version + 1);
            edited = self.store_lists(edition.version, lists, author.clone(), rand::random());
            if !matches!(edited, Edited::Conflict { .. }) {
                return edited;
            }
        }
        edited
    }

    fn store_lists(
        &self,
        from: id::Version,
        lists: Lists,
        author: SmolStr,
        token: id::Token,
    ) -> Edited {
        let edit = store::Edit { from, lists, author, edited_ms: wall_ms(), token };
        let edited = match self.store().edit(&edit) {
            Ok(outcome) => Edited::from(outcome),
            Err(err) => Edited::from(err),
        };
        if let Edited::Stored { version } = edited {
            self.membership.send_hint(&Hint { row: CURRENT_KEY.into(), version });
            self.refresh.hint(version);
        }
        edited
    }

    /// Asks all hosts for their version, those included that only other hosts know.
    fn survey(&self) -> Vec<ReportedVersion> {
        self.membership.heartbeat_all();
        let mut said = self.membership.reported_versions();
        said.push(ReportedVersion {
            host: self.membership.own().host,
            version: Some(self.refresh.configuration().version),
            heard: true,
        });
        said
    }

    fn store(&self) -> &Store<T, O> {
        self.refresh.store()
    }
}

impl From<Outcome> for Edited {
    fn from(it: Outcome) -> Edited {
        match it {
            Outcome::Stored(version) => Edited::Stored { version },
            Outcome::Conflict { current, difference } => Edited::Conflict { current, difference },
        }
    }
}

impl From<Error> for Edited {
    fn from(err: Error) -> Edited {
        let message = err.to_string();
        match err {
            Error::Invalid(faults) => {
                Edited::Invalid { faults: faults.iter().map(Fault::from).collect() }
            }
            Error::Unknown { version, .. } => Edited::Unknown { version, message },
            Error::NotStored(_) | Error::Unreadable(_) => Edited::NotStored { message },
        }
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
