//! Checks the two lists as a whole.

use std::collections::{BTreeMap, HashMap};

use smol_str::{SmolStr, format_smolstr};

use super::{Account, Contract, Customer, Limits, Lists, wire};
use crate::{
    id,
    settings::{Document, Fault, Flaw, Section, nearest, text},
};

/// Name of the list of customers' plans in faults.
pub const PLANS: &str = "plans";
/// Name of the list of plans' limits in faults.
pub const LIMITS: &str = "limits";

impl TryFrom<&Lists> for Contract {
    type Error = Vec<Fault>;

    /// Checks the lists as a whole; the version of the result is 0.
    fn try_from(lists: &Lists) -> Result<Contract, Vec<Fault>> {
        let mut faults = Vec::new();
        let limits = collect(sections::<Limits>(LIMITS, &lists.limits), &mut faults);
        let customers = collect(customers(&lists.plans, &limits), &mut faults);
        let announcements = collect(wire::announcements(&lists.announcements), &mut faults);
        if !faults.is_empty() {
            return Err(faults);
        }
        let limits = limits.into_iter().collect();
        Ok(Contract { version: 0, customers, limits, announcements })
    }
}

impl From<&Contract> for Lists {
    fn from(contract: &Contract) -> Lists {
        let mut accounts: BTreeMap<id::Customer, Account> = BTreeMap::new();
        for (key, customer) in &contract.customers {
            let account = accounts.entry(customer.name.clone()).or_default();
            account.plan = customer.plan.clone();
            account.keys.push(key.clone());
        }
        accounts.values_mut().for_each(|it| it.keys.sort());
        let limits: BTreeMap<id::Plan, Limits> =
            contract.limits.iter().map(|(plan, it)| (plan.clone(), it.clone())).collect();
        Lists {
            plans: list_text(&accounts),
            limits: list_text(&limits),
            announcements: contract.announcements.iter().map(Into::into).collect(),
        }
    }
}

/// Returns the accounts that the contract's customers came from, by name.
pub(super) fn accounts(lists: &Lists) -> BTreeMap<id::Customer, Account> {
    sections(PLANS, &lists.plans).unwrap_or_default()
}

/// Returns the limits by plan; none when the list has faults.
pub(super) fn limits(lists: &Lists) -> BTreeMap<id::Plan, Limits> {
    sections(LIMITS, &lists.limits).unwrap_or_default()
}

fn list_text<S: Section + Clone>(sections: &BTreeMap<SmolStr, S>) -> String {
    let section = |(name, it): (&SmolStr, &S)| text(&format!("{} {name}", S::NAME), it);
    sections.iter().map(section).collect::<Vec<_>>().join("\n")
}

fn collect<T: Default>(result: Result<T, Vec<Fault>>, faults: &mut Vec<Fault>) -> T {
    result.unwrap_or_else(|found| {
        faults.extend(found);
        T::default()
    })
}

/// Reads a list all of whose sections are `<S::NAME> <name>`.
fn sections<S: Section>(file: &str, text: &str) -> Result<BTreeMap<SmolStr, S>, Vec<Fault>> {
    let mut document = Document::parse(file, text);
    let found = named_sections(&mut document);
    document.finish(found)
}

fn named_sections<S: Section>(document: &mut Document) -> BTreeMap<SmolStr, S> {
    let mut found = BTreeMap::new();
    for section in document.sections() {
        if !section.starts_with(S::NAME) || !section[S::NAME.len()..].starts_with(' ') {
            document.unknown_section(&section, [S::NAME]);
            continue;
        }
        let Some(name) = document.named::<S>(&section) else { continue };
        let value = document.section(&section);
        if found.insert(name, value).is_some() {
            let place = document.place().section(&section);
            document.fault(place.fault(Flaw::Repeated));
        }
    }
    found
}

fn customers(
    text: &str,
    limits: &BTreeMap<id::Plan, Limits>,
) -> Result<HashMap<SmolStr, Customer>, Vec<Fault>> {
    let mut document = Document::parse(PLANS, text);
    let accounts: BTreeMap<id::Customer, Account> = named_sections(&mut document);
    let mut customers: HashMap<SmolStr, Customer> = HashMap::new();
    for (name, account) in &accounts {
        let place = document.place().section(&section_name(name));
        if !account.plan.is_empty() && !limits.contains_key(&account.plan) {
            let nearest = nearest(&account.plan, limits.keys().map(SmolStr::as_str));
            let flaw = Flaw::UnknownPlan { plan: account.plan.clone(), nearest };
            document.fault(place.key("plan").fault(flaw));
        }
        for key in &account.keys {
            let customer = Customer { name: name.clone(), plan: account.plan.clone() };
            if let Some(other) = customers.insert(key.clone(), customer) {
                let flaw = Flaw::Duplicate(section_name(&other.name));
                document.fault(place.key("key").fault(flaw));
            }
        }
    }
    document.finish(customers)
}

fn section_name(customer: &str) -> SmolStr {
    format_smolstr!("{} {customer}", Account::NAME)
}
