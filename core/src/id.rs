//! Aliases for the identifiers that several modules share.

use smol_str::SmolStr;

/// Name of an entry host, unique in a deployment.
pub type Host = SmolStr;
/// Name of a data centre.
pub type DataCentre = SmolStr;
/// Name of a target: one engine or one replica of a plain service.
pub type Target = SmolStr;
/// Name of a group: the targets of one model or service in one data centre, as `<data centre>/<name>`.
pub type Group = SmolStr;
/// Name of a model.
pub type Model = SmolStr;
/// Name of a plain service.
pub type Service = SmolStr;
/// Name of a plan.
pub type Plan = SmolStr;
/// Name of a customer's account.
pub type Customer = SmolStr;
/// Number drawn at random when a process starts; tells two runs of the same host or target apart.
pub type Incarnation = u64;
/// Fencing number of a lease; rises each time that the lease changes hands.
pub type Epoch = u64;
/// Number of an order within its epoch, from 1.
pub type Sequence = u64;
/// Version of a row or of the configuration; 0 means absent.
pub type Version = u64;
/// Random number that marks one write or one claim, so that its writer can recognise it.
pub type Token = u64;
/// Hash of a request's contents, made by the product's `utils::fingerprint`.
pub type Fingerprint = u64;
/// Number of an attempt at one request, from 1.
pub type Attempt = u32;

/// Returns the name of the group that holds the targets of `name` in `data_centre`.
pub fn group(data_centre: &str, name: &str) -> Group {
    smol_str::format_smolstr!("{data_centre}/{name}")
}
