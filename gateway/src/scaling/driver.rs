//! Orders targets while this host holds the duty.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};
use tokio::{task::JoinSet, time::sleep};

use crate::{
    cluster::messages,
    context::{Context, State},
    duty::{self, Tenure},
    scaling::{
        Config, Order,
        demand::{Load, Query, Report, Sample},
        plan::{Fleet, Kind, Need, Planner, Pool, Step},
    },
    targets::target::Stage,
};

/// Interval at which the demand is asked for and the number of targets decided.
const INTERVAL: Duration = Duration::from_secs(1);
/// Most calls at a time.
const MAX_CALLS: usize = 4;
/// Share of the calls that the platform accepts; the rest is for the other duties.
const CALL_SHARE: f64 = 0.5;

/// A call with its outcome.
type Answer = (id::Service, Step, Result<(), duty::Error>);

/// Registers the handlers of the messages about demand.
pub fn register(context: &Context) {
    context.handlers.register(|context: &Rc<Context>, host, _: Query| {
        messages::send(context, &host, &report(context));
    });
    context.handlers.register(|context: &Rc<Context>, host, report: Report| {
        context.state_mut().scaling.reports.record(host, report, clock::now());
    });
}

/// Orders targets as the demand asks for while this host holds the duty, forever.
pub async fn run<E: duty::Endpoint>(context: Rc<Context>, endpoint: E) {
    let mut planners: BTreeMap<id::Service, Planner> = BTreeMap::new();
    let mut calls: JoinSet<Answer> = JoinSet::new();
    let mut open: Vec<(id::Service, Pool)> = Vec::new();
    let mut epoch: Option<id::Epoch> = None;
    loop {
        tokio::select! {
            () = sleep(INTERVAL) => {}
            Some(answer) = calls.join_next(), if !calls.is_empty() => {
                let Ok((service, step, outcome)) = answer else { continue };
                open.retain(|(of, pool)| *of != service || *pool != step.pool);
                if let Some(planner) = planners.get_mut(&service) {
                    record_outcome(&context, planner, &service, &step, outcome);
                }
                continue;
            }
        }
        let now = clock::now();
        let tenure = context.state().duties.tenure(now).cloned();
        let services = scaled_services(&context.state());
        let Some(tenure) = tenure.filter(|_| !services.is_empty()) else { continue };
        if epoch.replace(tenure.credential.epoch) != Some(tenure.credential.epoch) {
            planners.clear();
            context.state_mut().scaling.reports.clear();
        }
        ask_dispatcher(&context, now);
        let max_calls = max_calls(&context);
        planners.retain(|service, _| services.contains_key(service));
        for (service, demand) in context.state_mut().scaling.reports.take() {
            if services.contains_key(&service) {
                planners.entry(service).or_default().observe(demand, now);
            }
        }
        for (service, config) in services {
            let Some(planner) = planners.get_mut(&service) else { continue };
            let fleet = fleet(&context.state(), &service);
            let steps = planner.decide(&config, &fleet, context.settings.lost_data_centres, now);
            show(&context, &service, &config, &fleet, planner.need());
            for step in steps {
                let is_open = open.iter().any(|(of, pool)| *of == service && *pool == step.pool);
                if is_open || max_calls <= calls.len() {
                    continue;
                }
                log_step(&service, &step);
                planner.record_order(&step, now);
                open.push((service.clone(), step.pool.clone()));
                calls.spawn_local(call(endpoint.clone(), tenure.clone(), service.clone(), step));
            }
        }
    }
}

/// Returns the number of calls that may be under way in this interval.
fn max_calls(context: &Context) -> usize {
    let accepted = context.settings.duties.as_ref().map(|it| it.calls_per_second);
    let share = accepted.unwrap_or_default() * CALL_SHARE * INTERVAL.as_secs_f64();
    (share as usize).clamp(1, MAX_CALLS)
}

/// Makes the call for a step.
async fn call<E: duty::Endpoint>(
    endpoint: E,
    tenure: Tenure,
    service: id::Service,
    step: Step,
) -> Answer {
    let order = Order {
        service: service.clone(),
        data_centre: step.pool.0.clone(),
        count: step.count,
        withdrawable: step.pool.1 == Kind::Withdrawable,
    };
    let outcome = endpoint.order_targets(&tenure, &order).await;
    (service, step, outcome)
}

fn record_outcome(
    context: &Context,
    planner: &mut Planner,
    service: &id::Service,
    step: &Step,
    outcome: Result<(), duty::Error>,
) {
    let data_centre = &step.pool.0;
    let withdrawable = step.pool.1 == Kind::Withdrawable;
    match outcome {
        Ok(()) => {
            tracing::info!(code = 8141, %service, %data_centre, withdrawable, count = step.count, "targets ordered");
        }
        Err(err @ (duty::Error::Unavailable | duty::Error::Refused(_))) => {
            let is_unavailable = err == duty::Error::Unavailable;
            let services = scaled_services(&context.state());
            // A call that was refused for another reason may succeed in a moment.
            let config = services.get(service).filter(|_| is_unavailable);
            let pause = config.map(|it| it.boot_time).unwrap_or_default();
            planner.record_refusal(&step.pool, pause, clock::now());
            tracing::warn!(code = 8142, %service, %data_centre, withdrawable, count = step.count, %err, "order for targets refused; asking elsewhere");
        }
        Err(err) => {
            // What the platform did shows in the list of targets.
            tracing::warn!(code = 8143, %service, %data_centre, withdrawable, count = step.count, %err, "order for targets not answered");
        }
    }
}

fn log_step(service: &id::Service, step: &Step) {
    tracing::info!(
        code = 8140,
        %service,
        data_centre = %step.pool.0,
        withdrawable = step.pool.1 == Kind::Withdrawable,
        count = step.count,
        before = step.expected,
        cause = step.cause.as_str(),
        needed = step.need.total,
        needed_after_loss = step.need.after_loss,
        needed_firm = step.need.firm,
        "ordering targets"
    );
}

/// Asks the dispatcher for the demand; the answer is recorded when it arrives.
fn ask_dispatcher(context: &Rc<Context>, now: Moment) {
    let dispatcher = context.state().membership.dispatcher().clone();
    if dispatcher != context.settings.host.name {
        messages::send(context, &dispatcher, &Query);
        return;
    }
    let report = report(context);
    context.state_mut().scaling.reports.record(dispatcher, report, now);
}

/// Returns the services that are scaled.
fn scaled_services(state: &State) -> BTreeMap<id::Service, Config> {
    let services = state.configuration.iter().flat_map(|it| &it.services);
    services.filter_map(|(name, it)| Some((name.clone(), it.scaling.clone()?))).collect()
}

/// Returns the demand on the scaled services as this host knows it.
fn report(context: &Context) -> Report {
    let state = context.state();
    let services = scaled_services(&state).into_keys();
    let sample = |service: id::Service| {
        let sample =
            Sample { counts: state.scaling.demand.counts(&service), load: load(&state, &service) };
        (service, sample)
    };
    Report {
        incarnation: context.settings.host.incarnation,
        uptime: context.uptime(),
        services: services.map(sample).collect(),
    }
}

/// Returns the load of the targets of a service that answer requests.
fn load(state: &State, service: &id::Service) -> Load {
    let latency_model = state.latency_models.get(service).copied().unwrap_or_default();
    let mut load = Load {
        pause_ratio: latency_model.pause_ratio(),
        prefill_rate: latency_model.prefill_rate(),
        ..Load::default()
    };
    let mut kv_tokens = 0;
    let answering =
        state.registry.usable(service).filter(|(_, it)| it.stage != Some(Stage::Prefill));
    for (key, target) in answering {
        let work = state.total_work(key);
        load.targets += 1;
        load.requests += u64::from(work.requests);
        load.slots += u64::from(target.slots);
        kv_tokens += work.kv_tokens;
    }
    let capacity = state.kv_capacity_tokens(service) as f64 * f64::from(load.targets);
    load.cache_share = kv_tokens as f64 / capacity.max(1.0);
    load
}

/// Returns the known targets of a service.
fn fleet(state: &State, service: &id::Service) -> Fleet {
    let mut fleet = Fleet::default();
    let (mut all, mut prefill) = (0_u32, 0_u32);
    for target in state.registry.all().filter(|it| it.service == *service) {
        let layout = if target.draining { &mut fleet.leaving } else { &mut fleet.serving };
        let counts = layout.entry(target.data_centre.clone()).or_default();
        let kind = if target.withdrawable { Kind::Withdrawable } else { Kind::Firm };
        *counts.of_mut(kind) += 1;
        if !target.draining {
            all += 1;
            prefill += u32::from(target.stage == Some(Stage::Prefill));
        }
    }
    fleet.prefill_share = f64::from(prefill) / f64::from(all.max(1));
    fleet
}

/// Shows the known and the needed targets in the metrics.
fn show(context: &Context, service: &id::Service, config: &Config, fleet: &Fleet, need: Need) {
    let purposes = [("total", need.total), ("after_loss", need.after_loss), ("firm", need.firm)];
    for (purpose, count) in purposes {
        let gauge = context.metrics.needed_targets.with_label_values(&[service.as_str(), purpose]);
        gauge.set(i64::from(count));
    }
    for data_centre in config.prices.keys() {
        let counts = fleet.serving.get(data_centre).copied().unwrap_or_default();
        for (kind, count) in [("firm", counts.firm), ("withdrawable", counts.withdrawable)] {
            let labels = [service.as_str(), data_centre.as_str(), kind];
            context.metrics.scaled_targets.with_label_values(&labels).set(i64::from(count));
        }
    }
}
