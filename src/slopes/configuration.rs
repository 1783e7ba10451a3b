//! Cost of the configuration: accounts, plans and edits.

use std::{fmt::Write, io};

use smol_str::SmolStr;

use super::{
    Sizes, Slope, control,
    fit::Point,
    meter::{self, Scope},
};
use crate::{
    admit::{self, Admission},
    clock,
    configuration::{
        Configuration, Lists,
        store::{Edit, Outcome, Store},
    },
    refresh::{NoPeers, Refresher},
    settings, standin, utils,
};

/// Accounts of customers.
const ACCOUNTS: [usize; 4] = [6_000, 12_000, 24_000, 48_000];
/// Checked forms that are held at once, so that their memory stands out from what is reused.
const COPIES: usize = 8;
/// Plans.
const PLANS: [usize; 4] = [16, 64, 256, 1_024];
/// Turns of admission.
const TURNS: usize = 1_000;
/// Edits of the configuration.
const EDITS: [usize; 4] = [5, 10, 20, 40];
/// Accounts of the configuration that is edited.
const EDITED_ACCOUNTS: usize = 1_000;

pub(super) fn measure(sizes: Sizes) -> io::Result<Vec<Slope>> {
    let mut slopes = accounts(&sizes.of(&ACCOUNTS))?;
    slopes.extend(plans(&sizes.of(&PLANS))?);
    slopes.extend(edits(&sizes.of(&EDITS))?);
    Ok(slopes)
}

/// Returns lists with so many accounts and plans.
fn lists(accounts: usize, plans: usize) -> Lists {
    let mut lists = Lists::default();
    for plan in 0..plans {
        let _ = write!(lists.limits, "[plan plan-{plan:04}]\nweight = 1\n\n");
    }
    for account in 0..accounts {
        let key = utils::key_hash(&account.to_string());
        let plan = account % plans;
        let _ = write!(
            lists.plans,
            "[customer account-{account:05}]\nplan = plan-{plan:04}\nkey = {key}\n\n"
        );
    }
    lists
}

fn check(lists: &Lists) -> io::Result<Configuration> {
    Configuration::try_from(lists).map_err(|it| io::Error::other(format!("{it:?}")))
}

fn accounts(sizes: &[usize]) -> io::Result<Vec<Slope>> {
    let (mut cpu, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    let mut kept = Vec::new();
    for size in sizes {
        let lists = lists(*size, 4);
        let (contracts, cost) = meter::measure(Scope::Thread, || {
            (0..COPIES).map(|_| check(&lists)).collect::<io::Result<Vec<_>>>()
        })?;
        let text = serde_json::to_vec(&lists)?.len();
        let size = *size as f64;
        cpu.push(Point { size, value: cost.cpu_us / COPIES as f64 });
        bytes.push(Point { size, value: text as f64 });
        memory.push(Point { size, value: cost.memory / COPIES as f64 });
        kept.push(contracts);
    }
    Ok(vec![
        Slope::new("customer account", "CPU of taking a configuration in force", "µs", cpu)?,
        Slope::new("customer account", "bytes of a stored configuration", "B", bytes)?,
        Slope::new("customer account", "memory of the checked form", "B", memory)?,
    ])
}

fn plans(sizes: &[usize]) -> io::Result<Vec<Slope>> {
    let (mut checking, mut turning) = (Vec::new(), Vec::new());
    for size in sizes {
        let lists = lists(0, *size);
        let (contract, cost) = meter::measure(Scope::Thread, || check(&lists))?;
        let mut admission = Admission::new(admit::Config::default());
        admission.set_limits(&contract.limits, clock::now());
        let ((), turns) = meter::measure(Scope::Thread, || {
            for _ in 0..TURNS {
                admission.demand(clock::now());
                admission.schedule(|_| Default::default(), clock::now());
            }
            Ok(())
        })?;
        let size = *size as f64;
        checking.push(Point { size, value: cost.cpu_us });
        turning.push(Point { size, value: turns.cpu_us / TURNS as f64 });
    }
    Ok(vec![
        Slope::new("plan", "CPU of taking a configuration in force", "µs", checking)?,
        Slope::new("plan", "CPU of a turn of an idle admission", "µs", turning)?,
    ])
}

/// Measures edits that each host fetches whole.
fn edits(sizes: &[usize]) -> io::Result<Vec<Slope>> {
    let platform = standin::Platform::start(standin::platform::Config::default())?;
    let client = control::client(platform.address());
    let store = Store::new(client.clone(), client.clone());
    let bound = settings::Host::default().configuration_bound;
    let refresh = Refresher::new(Store::new(client.clone(), client), NoPeers, bound);
    let lists = lists(EDITED_ACCOUNTS, 4);
    let mut version = 0;
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for size in sizes {
        let mut total = meter::Cost::default();
        for _ in 0..*size {
            let edit = Edit {
                from: version,
                lists: lists.clone(),
                author: SmolStr::new_static("slopes"),
                edited_ms: 0,
                token: rand::random(),
            };
            match store.edit(&edit).map_err(io::Error::other)? {
                Outcome::Stored(it) => version = it,
                Outcome::Conflict { .. } => return Err(io::Error::other("the edit conflicts")),
            }
            let ((), cost) = meter::measure(Scope::Thread, || {
                refresh.refresh_now();
                Ok(())
            })?;
            total.cpu_us += cost.cpu_us;
            total.traffic += cost.traffic;
        }
        if refresh.configuration().version != version {
            return Err(io::Error::other("the last edit is not in force"));
        }
        let size = *size as f64;
        cpu.push(Point { size, value: total.cpu_us });
        bytes.push(Point { size, value: total.traffic });
    }
    Ok(vec![
        Slope::new("edit of 1,000 accounts", "CPU of one host that fetches it", "µs", cpu)?,
        Slope::new("edit of 1,000 accounts", "bytes to one host that fetches it", "B", bytes)?,
    ])
}
