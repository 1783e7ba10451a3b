//! Software versions at which streams began.
//!
//! What targets of two software versions write does not fit together, so a stream goes on only at the
//! version that began it. A caller may take a stream up at any host. The host knows the version from
//! its own record or from that of another host. Without a record, the service must have had one
//! version only for as long as a stream may last, and the store must have shown since the caller came
//! that there is no other by now ([`crate::cluster::origin_evidence`]).

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};

use crate::{cluster::continuity::Continuity, targets::target::Target};

/// Longest time from the first event of a stream to its last resumption.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(30);
/// Most records that are kept; the oldest are dropped first.
const MAX_RECORDS: usize = 50_000;
/// Longest identifier of a stream that is recorded; callers choose them.
const MAX_STREAM_BYTES: usize = 128;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Service that began it.
    pub service: id::Service,
    /// Software version of the target that began it; `None` if the target announced none, so that no
    /// other target can go on with it.
    pub version: Option<id::SoftwareVersion>,
}

impl From<&Target> for Origin {
    fn from(target: &Target) -> Origin {
        Origin { service: target.service.clone(), version: target.software_version.clone() }
    }
}

impl Origin {
    /// Returns whether a stream that began here may go on at a target.
    pub fn allows(&self, target: &Target) -> bool {
        self.version.is_some() && *self == Origin::from(target)
    }
}

/// What a host, or several together, know of the origin of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// Record of the stream.
    pub record: Option<Origin>,
    /// Versions that the service has had within [`STREAM_LIFETIME`], as far as known.
    pub versions: BTreeSet<Option<id::SoftwareVersion>>,
    /// Whether these were all versions, except for those of the last moments: the list of targets may
    /// be a little old.
    pub is_complete: bool,
}

impl Knowledge {
    /// Adds what another host knows.
    pub fn merge(&mut self, other: Knowledge) {
        self.record = self.record.take().or(other.record);
        self.versions.extend(other.versions);
        self.is_complete |= other.is_complete;
    }

    /// Returns where the stream of a service began, unless a version has appeared in the last moments;
    /// `None` if that is uncertain. Without a service, a record is needed.
    pub fn into_origin(self, service: Option<&id::Service>) -> Option<Origin> {
        if self.record.is_some() {
            return self.record;
        }
        let version = self.sole_version()?.clone();
        Some(Origin { service: service?.clone(), version })
    }

    /// Returns whether the service may have had one version only.
    pub fn may_be_sole(&self) -> bool {
        self.versions.len() <= 1
    }

    /// Returns the version of the service if it is the only one.
    fn sole_version(&self) -> Option<&Option<id::SoftwareVersion>> {
        let only = self.versions.first()?;
        (self.is_complete && self.versions.len() == 1).then_some(only)
    }
}

#[derive(Debug)]
struct Record {
    origin: Origin,
    recorded_at: Moment,
    /// Whether this host began the stream and has not reported it to other hosts.
    is_unpublished: bool,
    /// Whether this host began the stream.
    is_own: bool,
}

/// Versions of a service and the times at which this host last knew a target of each.
type LastListed = HashMap<Option<id::SoftwareVersion>, Moment>;

/// Records of streams, and the versions that each service has had lately.
#[derive(Debug, Default)]
pub struct Tracker {
    records: HashMap<id::Stream, Record>,
    /// Streams in the order of their records.
    order: VecDeque<(Moment, id::Stream)>,
    versions: HashMap<id::Service, LastListed>,
    /// Streams that this host began and has not reported for the archive.
    unarchived: BTreeSet<id::Stream>,
    continuity: Continuity,
    /// Whether a route has changed since streams were last reported to other hosts.
    has_new_routes: bool,
}

impl Tracker {
    /// Records the known targets, of which the store confirmed the list `list_age` ago.
    pub fn observe<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a Target>,
        list_age: Duration,
        now: Moment,
    ) {
        self.continuity.observe(list_age, now);
        for target in targets {
            let versions = self.versions.entry(target.service.clone()).or_default();
            versions.insert(target.software_version.clone(), now);
        }
    }

    /// Records that the store came back from a copy, whose targets may not be all.
    pub fn interrupt(&mut self) {
        self.continuity.interrupt();
    }

    /// Records that the configuration has changed, so that other hosts can no longer conclude the service
    /// of a stream from its route.
    pub fn record_route_change(&mut self) {
        self.has_new_routes = true;
    }

    /// Records where a stream began that this host forwards. Returns whether it has to be
    /// reported to other hosts, since they cannot conclude it from the versions of the service, or
    /// from the services of its route unless it `has_sole_service`.
    pub fn record_begin(
        &mut self,
        stream: id::Stream,
        origin: Origin,
        has_sole_service: bool,
        now: Moment,
    ) -> bool {
        if MAX_STREAM_BYTES < stream.len() {
            return false;
        }
        let knowledge = self.knowledge(&stream, Some(&origin.service), now);
        let is_needed = !has_sole_service || knowledge.sole_version().is_none();
        self.unarchived.insert(stream.clone());
        let record = Record { origin, recorded_at: now, is_unpublished: !is_needed, is_own: true };
        self.insert(stream, record);
        is_needed
    }

    /// Records what another host said of a stream.
    pub fn record_report(&mut self, stream: id::Stream, origin: Origin, now: Moment) {
        if stream.len() <= MAX_STREAM_BYTES {
            let record = Record { origin, recorded_at: now, is_unpublished: false, is_own: false };
            self.insert(stream, record);
        }
    }

    /// Records that a service had targets of a version until now, as the archive says.
    pub fn record_version(&mut self, origin: &Origin, now: Moment) {
        let versions = self.versions.entry(origin.service.clone()).or_default();
        versions.insert(origin.version.clone(), now);
    }

    fn insert(&mut self, stream: id::Stream, record: Record) {
        self.order.push_back((record.recorded_at, stream.clone()));
        self.records.insert(stream, record);
        while MAX_RECORDS < self.order.len() {
            self.drop_oldest();
        }
    }

    /// Drops the oldest record, unless the stream has a later one.
    fn drop_oldest(&mut self) {
        let Some((recorded_at, stream)) = self.order.pop_front() else { return };
        if self.records.get(&stream).is_some_and(|it| it.recorded_at == recorded_at) {
            self.records.remove(&stream);
            self.unarchived.remove(&stream);
        }
    }

    /// Returns whether a service has had several versions within [`STREAM_LIFETIME`].
    fn is_mixed(&self, service: &id::Service, now: Moment) -> bool {
        let listed = self.versions.get(service).into_iter().flatten();
        1 < listed.filter(|(_, at)| now < **at + STREAM_LIFETIME).count()
    }

    /// Returns whether any service has had several versions within [`STREAM_LIFETIME`].
    pub fn has_mixed_service(&self, now: Moment) -> bool {
        self.versions.keys().any(|it| self.is_mixed(it, now))
    }

    /// Returns the streams that this host began at services with several versions. Each is
    /// returned once.
    pub fn take_unarchived(&mut self, now: Moment) -> Vec<(id::Stream, Origin)> {
        if self.unarchived.is_empty() || !self.has_mixed_service(now) {
            return Vec::new();
        }
        let origin = |it: &id::Stream| self.records.get(it).map(|record| &record.origin);
        let is_mixed = |it: &Origin| self.is_mixed(&it.service, now);
        let unarchived = self.unarchived.iter();
        let taken: Vec<(id::Stream, Origin)> = unarchived
            .filter_map(|stream| {
                Some((stream.clone(), origin(stream).filter(|it| is_mixed(it))?.clone()))
            })
            .collect();
        for (stream, _) in &taken {
            self.unarchived.remove(stream);
        }
        taken
    }

    /// Has the streams that this host began within `age` reported for the archive once more.
    pub fn archive_again(&mut self, age: Duration, now: Moment) {
        let recent = self
            .records
            .iter()
            .filter(|(_, it)| it.is_own && now.saturating_sub(it.recorded_at) <= age);
        self.unarchived.extend(recent.map(|(stream, _)| stream.clone()));
    }

    /// Returns what this host knows of the origin of a stream, and of the versions of a service.
    pub fn knowledge(
        &self,
        stream: &id::Stream,
        service: Option<&id::Service>,
        now: Moment,
    ) -> Knowledge {
        let listed = service.and_then(|it| self.versions.get(it)).into_iter().flatten();
        let recent = listed.filter(|(_, at)| now < **at + STREAM_LIFETIME);
        Knowledge {
            record: self.records.get(stream).map(|it| it.origin.clone()),
            versions: recent.map(|(version, _)| version.clone()).collect(),
            is_complete: self.continuity.covers(STREAM_LIFETIME, now),
        }
    }

    /// Returns the streams that this host began and that now have to be reported to other hosts,
    /// since the versions of their service, or the services of their route, no longer determine their
    /// origin. Each is returned once.
    pub fn take_unpublished(&mut self, now: Moment) -> Vec<(id::Stream, Origin)> {
        let services: Vec<id::Service> = self.versions.keys().cloned().collect();
        let none = id::Stream::default();
        let is_mixed =
            |it: &id::Service| self.knowledge(&none, Some(it), now).sole_version().is_none();
        let mixed: BTreeSet<id::Service> = services.into_iter().filter(is_mixed).collect();
        let takes_all = std::mem::take(&mut self.has_new_routes);
        if mixed.is_empty() && !takes_all {
            return Vec::new();
        }
        let is_due = |it: &Origin| takes_all || mixed.contains(&it.service);
        let unpublished =
            self.records.iter_mut().filter(|(_, it)| it.is_unpublished && is_due(&it.origin));
        let taken = unpublished.map(|(stream, record)| {
            record.is_unpublished = false;
            (stream.clone(), record.origin.clone())
        });
        taken.collect()
    }

    /// Drops what is too old to be needed.
    pub fn expire(&mut self, now: Moment) {
        while self.order.front().is_some_and(|(at, _)| *at + STREAM_LIFETIME <= now) {
            self.drop_oldest();
        }
        for versions in self.versions.values_mut() {
            versions.retain(|_, at| now < *at + STREAM_LIFETIME);
        }
        self.versions.retain(|_, it| !it.is_empty());
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
