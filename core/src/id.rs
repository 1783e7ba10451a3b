//! Type aliases for identifiers.

use smol_str::SmolStr;

/// Name of an entry host, unique in a deployment.
pub type Host = SmolStr;
/// Name of a data centre.
pub type DataCentre = SmolStr;
/// Name of a target: an engine, or a replica of a plain service.
pub type Target = SmolStr;
/// Name of a group, the targets of one model or service in one data centre: `<data centre>/<name>`.
pub type Group = SmolStr;
/// Name of a model.
pub type Model = SmolStr;
/// Name of a plain service; in the gateway, also of a service that engines run.
pub type Service = SmolStr;
/// Name of a plan.
pub type Plan = SmolStr;
/// Name of a customer account.
pub type Customer = SmolStr;
/// Name of a client account, to which keys of callers belong.
pub type Account = SmolStr;
/// Version of the software that a target runs; versions have no order.
pub type SoftwareVersion = SmolStr;
/// Identifier of a stream: that of the caller's request which got its first event.
pub type Stream = SmolStr;
/// Random number drawn when a process starts; distinguishes restarts of the same host or target.
pub type Incarnation = u64;
/// Fencing token of a lease; increases with each acquisition, also by the same host after an
/// expiry.
pub type Epoch = u64;
/// Number of an order within its epoch, from 1.
pub type Sequence = u64;
/// Version of a row or of the configuration; 0 means absent.
pub type Version = u64;
/// Number of times that the store came back from an earlier copy; 0 while unknown.
pub type Era = u64;
/// Random number that identifies one write or claim, so that its writer can recognise it.
pub type Token = u64;
/// Hash of a request's contents.
pub type Fingerprint = u64;
/// Number of an attempt to run a request, from 1.
pub type Attempt = u32;

/// Returns the name of the group of the targets of model or service `name` in `data_centre`.
pub fn group(data_centre: &str, name: &str) -> Group {
    smol_str::format_smolstr!("{data_centre}/{name}")
}
