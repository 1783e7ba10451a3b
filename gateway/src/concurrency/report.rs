//! Reports late pauses to the dispatcher, which places the prompts beside the streams.

use std::{rc::Rc, time::Duration};

use fuchsiaknot_core::{clock, id};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    cluster::messages::{self, Kind, Message},
    concurrency::{
        Total,
        pause::{self, Late},
    },
    context::Context,
    targets::registry::Key,
};

/// Time for which late pauses are collected before they are reported.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Most engines that are logged at a time.
const MAX_LOGGED: usize = 5;

/// Late pauses that a host saw at its targets since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report(Vec<(id::Target, Late)>);

impl Message for Report {
    const KIND: Kind = 40;
}

/// Registers the handler of the reports from other hosts.
pub fn register(context: &Context) {
    context.handlers.register(|context, _, Report(report)| {
        for (target, late) in report {
            let key = context.state().registry.key(&target);
            if let Some(key) = key {
                apply(context, key, late);
            }
        }
    });
}

/// Records a pause of a stream, and reports it if it was long.
pub fn record(context: &Rc<Context>, key: Key, pause: Duration, objective: Duration) {
    let now = clock::now();
    if !context.state_mut().concurrency.observe(key, pause, objective, now) {
        return;
    }
    let context = Rc::clone(context);
    tokio::task::spawn_local(async move {
        sleep(BATCH_DELAY).await;
        publish(&context);
    });
}

fn publish(context: &Context) {
    let unreported = context.state_mut().concurrency.take_unreported();
    let dispatcher = context.state().membership.dispatcher().clone();
    if dispatcher == context.settings.host.name {
        for (key, late) in unreported {
            apply(context, key, late);
        }
        return;
    }
    let named = {
        let state = context.state();
        let name = |key| state.registry.get(key).map(|it| it.id.clone());
        unreported.into_iter().filter_map(|(key, late)| Some((name(key)?, late))).collect()
    };
    messages::send(context, &dispatcher, &Report(named));
}

/// Applies late pauses of any host, as the dispatcher.
fn apply(context: &Context, key: Key, late: Late) {
    let now = clock::now();
    let mut state = context.state_mut();
    let Some(service) = state.registry.get(key).map(|it| it.service.clone()) else { return };
    let is_beside_prompt = state.concurrency.record_late(&service, key, late, now);
    let cause = if is_beside_prompt { "prompt" } else { "other" };
    let counter = context.metrics.late_pauses.with_label_values(&[cause]);
    counter.inc_by(u64::from(late.count));
    drop(state);
    update(context);
}

/// Adapts the limits to the pauses since the last call, as the dispatcher.
pub fn update(context: &Context) {
    let changes = context.state_mut().concurrency.update(clock::now());
    for (service, pause::Change { share, objective }) in changes {
        let planned_ms = objective.mul_f64(share).as_millis() as u64;
        let objective_ms = objective.as_millis() as u64;
        tracing::info!(code = 8160, %service, planned_ms, objective_ms, "limit on prompts beside streams changed");
    }
}

/// Logs the engines with the most late pauses, as the dispatcher.
pub fn log(context: &Context) {
    let worst = context.state_mut().concurrency.take_worst(MAX_LOGGED);
    let state = context.state();
    for (key, Total { beside_prompts, other, longest }) in worst {
        let Some(target) = state.registry.get(key).map(|it| &it.id) else { continue };
        let longest_ms = longest.as_millis() as u64;
        tracing::info!(code = 8161, %target, beside_prompts, other, longest_ms, "streams of an engine paused for longer than their routes permit");
    }
}
