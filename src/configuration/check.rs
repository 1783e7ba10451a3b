//! Conversion between the lists as text and a validated configuration.

use std::collections::{BTreeMap, HashMap};

use smol_str::{SmolStr, format_smolstr};

use super::{Account, Configuration, Customer, Limits, Lists, wire};
use crate::{
    id,
    settings::{Document, Fault, FaultKind, Section, ini_text, nearest_name},
};

/// Name of the plans list in error messages.
pub const PLANS_LIST: &str = "plans";
/// Name of the limits list in error messages.
pub const LIMITS_LIST: &str = "limits";

impl TryFrom<&Lists> for Configuration {
    type Error = Vec<Fault>;

    /// Validates all lists and returns all faults; the version of the result is 0.
    fn try_from(lists: &Lists) -> Result<Configuration, Vec<Fault>> {
        let mut faults = Vec::new();
        let limits =
            unwrap_or_report(parse_sections::<Limits>(LIMITS_LIST, &lists.limits), &mut faults);
        let customers = unwrap_or_report(parse_customers(&lists.plans, &limits), &mut faults);
        let announcements =
            unwrap_or_report(wire::announcements(&lists.announcements), &mut faults);
        if !faults.is_empty() {
            return Err(faults);
        }
        let limits = limits.into_iter().collect();
        Ok(Configuration { version: 0, customers, limits, announcements })
    }
}

impl From<&Configuration> for Lists {
    fn from(configuration: &Configuration) -> Lists {
        let mut accounts: BTreeMap<id::Customer, Account> = BTreeMap::new();
        for (key, customer) in &configuration.customers {
            let account = accounts.entry(customer.name.clone()).or_default();
            account.plan = customer.plan.clone();
            account.keys.push(key.clone());
        }
        accounts.values_mut().for_each(|it| it.keys.sort());
        let limits: BTreeMap<id::Plan, Limits> =
            configuration.limits.iter().map(|(plan, it)| (plan.clone(), it.clone())).collect();
        Lists {
            plans: render_list(&accounts),
            limits: render_list(&limits),
            announcements: configuration.announcements.iter().map(Into::into).collect(),
        }
    }
}

/// Returns the accounts of the plans list by name; none when the list has faults.
pub(super) fn accounts(lists: &Lists) -> BTreeMap<id::Customer, Account> {
    parse_sections(PLANS_LIST, &lists.plans).unwrap_or_default()
}

/// Returns the limits of the limits list by plan; none when the list has faults.
pub(super) fn limits(lists: &Lists) -> BTreeMap<id::Plan, Limits> {
    parse_sections(LIMITS_LIST, &lists.limits).unwrap_or_default()
}

/// Returns the text of a list with one section for each entry.
fn render_list<S: Section + Clone>(sections: &BTreeMap<SmolStr, S>) -> String {
    let section = |(name, it): (&SmolStr, &S)| ini_text(&format!("{} {name}", S::NAME), it);
    sections.iter().map(section).collect::<Vec<_>>().join("\n")
}

/// Returns the value of `result`, or adds its faults to `faults` and returns the default value.
fn unwrap_or_report<T: Default>(result: Result<T, Vec<Fault>>, faults: &mut Vec<Fault>) -> T {
    result.unwrap_or_else(|found| {
        faults.extend(found);
        T::default()
    })
}

/// Parses a list whose sections all have the form `<S::NAME> <name>`.
fn parse_sections<S: Section>(file: &str, text: &str) -> Result<BTreeMap<SmolStr, S>, Vec<Fault>> {
    let mut document = Document::parse(file, text);
    let found = read_named_sections(&mut document);
    document.finish(found)
}

/// Reads all sections of a document by their names; any other section is a fault.
fn read_named_sections<S: Section>(document: &mut Document) -> BTreeMap<SmolStr, S> {
    let mut found = BTreeMap::new();
    for section in document.section_names() {
        if !section.starts_with(S::NAME) || !section[S::NAME.len()..].starts_with(' ') {
            document.add_unknown_section(&section, [S::NAME]);
            continue;
        }
        let Some(name) = document.section_name::<S>(&section) else { continue };
        let value = document.read_section(&section);
        if found.insert(name, value).is_some() {
            let location = document.location().section(&section);
            document.add_fault(location.fault(FaultKind::Repeated));
        }
    }
    found
}

/// Parses the plans list into customers by key hash.
///
/// A reference to a plan without limits and a key that occurs twice are faults.
fn parse_customers(
    text: &str,
    limits: &BTreeMap<id::Plan, Limits>,
) -> Result<HashMap<SmolStr, Customer>, Vec<Fault>> {
    let mut document = Document::parse(PLANS_LIST, text);
    let accounts: BTreeMap<id::Customer, Account> = read_named_sections(&mut document);
    let mut customers: HashMap<SmolStr, Customer> = HashMap::new();
    for (name, account) in &accounts {
        let location = document.location().section(&section_name(name));
        if !account.plan.is_empty() && !limits.contains_key(&account.plan) {
            let nearest = nearest_name(&account.plan, limits.keys().map(SmolStr::as_str));
            let kind = FaultKind::UnknownPlan { plan: account.plan.clone(), nearest };
            document.add_fault(location.key("plan").fault(kind));
        }
        for key in &account.keys {
            let customer = Customer { name: name.clone(), plan: account.plan.clone() };
            if let Some(other) = customers.insert(key.clone(), customer) {
                let kind = FaultKind::Duplicate(section_name(&other.name));
                document.add_fault(location.key("key").fault(kind));
            }
        }
    }
    document.finish(customers)
}

fn section_name(customer: &str) -> SmolStr {
    format_smolstr!("{} {customer}", Account::NAME)
}
