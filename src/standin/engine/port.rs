//! The engine's HTTP interface.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use smol_str::format_smolstr;
use ureq::http;

use super::{
    Core,
    job::{Goal, Job, Prompt},
    orders::{Effect, is_disruptive},
    wire::{Export, Ordered, Started},
};
use crate::{
    link::{
        http_client::{Pool, Timeouts},
        http_server::{Handler, Head, Request, Responder, Response},
    },
    settings,
    standin::{Refusal, body, done, split},
    store::{self, WeightStore},
    target::{Action, Generation, KvExport, Order, Report, Role, wire},
};

/// Time between two looks at whether a fault is over.
const POLL: Duration = Duration::from_millis(10);
/// Time allowed to import KV cache.
const IMPORT_TIME: Duration = Duration::from_secs(10);
/// Time to connect to another engine.
const CONNECT_TIME: Duration = Duration::from_secs(1);

impl Handler for Arc<Core> {
    fn handle(&self, request: Request, reply: Responder) {
        if request.path != "/faults" && request.path != "/record" {
            self.wait_while_frozen();
        }
        if self.is_down() {
            return;
        }
        match split(&request.path) {
            ("v1", "completions") => self.submit(&request, reply, Goal::Generate),
            ("prefill", _) => {
                let handle = format_smolstr!("{:016x}", rand::random::<u64>());
                self.submit(&request, reply, Goal::Export(handle));
            }
            ("order", _) => self.order(&request, reply),
            (call, rest) => {
                reply.send(self.answer(call, rest, &request).unwrap_or_else(Response::from))
            }
        }
    }
}

impl Core {
    fn wait_while_frozen(&self) {
        while self.state().faults.freeze && !self.is_down() {
            thread::sleep(POLL);
        }
    }

    fn is_down(&self) -> bool {
        self.is_stopped() || self.state().crashed
    }

    fn answer(&self, call: &str, rest: &str, request: &Request) -> Result<Response, Refusal> {
        match call {
            "report" => Ok(Response::json(200, &self.report()?)),
            "cache-events" => Ok(self.cache_events(request)),
            "cancel" => {
                let cancel: wire::Cancel = body(request)?;
                self.state().cancelled.push(cancel.request_id);
                self.wake.notify_all();
                Ok(done())
            }
            "kv" => self.send_kv(rest),
            "record" => Ok(Response::json(200, &self.state().record)),
            "faults" => {
                self.set_faults(body(request)?);
                Ok(done())
            }
            _ => Err(Refusal::new(404, "no such call")),
        }
    }

    /// Returns the newest report that is as old as the lag, or the oldest one there is.
    fn report(&self) -> Result<Report, Refusal> {
        let now = Instant::now();
        let state = self.state();
        let due = state.reports.iter().rev().find(|(at, _)| *at + self.config.report_lag <= now);
        let Some((at, report)) = due.or_else(|| state.reports.front()) else {
            return Err(Refusal::new(503, "no report yet"));
        };
        Ok(Report { age: now - *at, ..report.clone() })
    }

    fn cache_events(&self, request: &Request) -> Response {
        let since = request
            .query
            .as_deref()
            .and_then(|it| it.strip_prefix("since="))
            .and_then(|it| it.parse().ok());
        let state = self.state();
        let (lag, gap) = (self.config.event_lag, self.config.event_gap);
        let events = state.events.read(state.incarnation, since.unwrap_or(0), lag, gap);
        Response::json(200, &events)
    }

    fn submit(&self, request: &Request, reply: Responder, goal: Goal) {
        let (generation, imported) = match self.check(request, &goal) {
            Ok(it) => it,
            Err(refusal) => return reply.send(refusal.into()),
        };
        let head = match goal {
            Goal::Generate => Head::new(200).with_header("content-type", "text/event-stream"),
            Goal::Export(_) => Head::new(200).with_header("content-type", "application/json"),
        };
        let prompt = Prompt::from(&generation);
        let mut state = self.state();
        if state.crashed {
            state.open -= 1;
            return;
        }
        let started = Started {
            request: generation.request_id.clone(),
            prompt_hash: prompt.hash,
            prompt_tokens: prompt.tokens,
            resume_at: generation.resume_at,
            incarnation: state.incarnation,
        };
        state.record.start(started);
        let output = reply.start_stream(head);
        let job = Job::new(&generation, prompt, goal, imported, &state.faults, output);
        state.submitted.push(job);
        drop(state);
        self.wake.notify_all();
    }

    /// Checks that a request can start, takes a place for it and imports its KV cache.
    fn check(&self, request: &Request, goal: &Goal) -> Result<(Generation, u32), Refusal> {
        let generation: Generation = body(request)?;
        self.admit(&generation, goal)?;
        let imported = match &generation.kv {
            Some(it) => self.import(it).inspect_err(|_| self.state().open -= 1)?,
            None => 0,
        };
        Ok((generation, imported))
    }

    fn admit(&self, generation: &Generation, goal: &Goal) -> Result<(), Refusal> {
        let mut state = self.state();
        let orders = &state.orders;
        if state.faults.refuse || !orders.is_serving() {
            return Err(Refusal::new(503, "not serving"));
        }
        if orders.model != generation.model {
            return Err(Refusal::new(409, "another model is loaded"));
        }
        if generation.adapter.as_ref().is_some_and(|it| !orders.adapters.contains(it)) {
            return Err(Refusal::new(409, "the adapter is not loaded"));
        }
        if orders.role == Role::Prefill && *goal == Goal::Generate {
            return Err(Refusal::new(409, "the engine only reads prompts"));
        }
        if self.config.queue + self.config.slots as usize <= state.open {
            return Err(Refusal::new(503, "the queue is full"));
        }
        state.open += 1;
        Ok(())
    }

    /// Fetches KV cache from the engine that exported it.
    fn import(&self, cache: &KvExport) -> Result<u32, Refusal> {
        let failed = |it: &dyn std::fmt::Display| Refusal::new(409, format!("no KV cache: {it}"));
        let request = http::Request::get(format!("http://{}/kv/{}", cache.address, cache.handle))
            .body(Vec::new())
            .map_err(|it| failed(&it))?;
        let bounds = Timeouts { connect: CONNECT_TIME, inactivity: None, total: Some(IMPORT_TIME) };
        let pool = Pool::new(cache.address);
        let mut incoming =
            pool.send_on_new_connection(request, &bounds).map_err(|it| failed(&it))?;
        let body = incoming.read_whole().map_err(|it| failed(&it))?;
        let export: Export = serde_json::from_slice(&body).map_err(|it| failed(&it))?;
        Ok(export.tokens)
    }

    /// Sends exported KV cache once, after the time that the transfer takes.
    fn send_kv(&self, handle: &str) -> Result<Response, Refusal> {
        let export = self.state().exports.remove(handle);
        let Some(export) = export else {
            return Err(Refusal::new(404, "no such export"));
        };
        let transfer = Duration::from_secs_f64(f64::from(export.tokens) / self.config.kv_rate);
        thread::sleep(self.config.scaled(transfer));
        Ok(Response::json(200, &export))
    }

    fn order(self: &Arc<Self>, request: &Request, reply: Responder) {
        let order: Order = match body(request) {
            Ok(it) => it,
            Err(refusal) => return reply.send(refusal.into()),
        };
        let mut state = self.state();
        let (receipt, effect) = state.orders.take(&order);
        let ordered = Ordered {
            fence: order.fence,
            holder: order.holder.clone(),
            action: order.action.clone(),
            receipt: receipt.clone(),
            running: state.open as u32,
        };
        state.record.order(ordered);
        let is_lost = 0 < state.faults.lose_order_answers;
        state.faults.lose_order_answers -= u32::from(is_lost);
        if let Effect::Change(action) = effect {
            state.reset |= is_disruptive(&action);
            drop(state);
            self.change(action);
        } else {
            drop(state);
        }
        match is_lost {
            true => drop(reply.start_stream(Head::new(200))),
            false => reply.send(Response::json(200, &receipt)),
        }
    }

    /// Carries a change out on a thread of its own.
    fn change(self: &Arc<Self>, action: Action) {
        self.wake.notify_all();
        let core = Arc::clone(self);
        let incarnation = self.state().incarnation;
        thread::spawn(move || {
            let result = core.load(&action);
            let mut state = core.state();
            if state.incarnation != incarnation || state.crashed {
                return;
            }
            if state.faults.crash_on_change {
                state.faults.crash_on_change = false;
                state.faults.crash_after_tokens = Some(0);
                return;
            }
            match result {
                Ok(()) => state.orders.complete(action),
                Err(_) => state.orders.fail(),
            }
        });
    }

    /// Waits for as long as the change takes, with a transfer of weights where it needs some.
    fn load(&self, action: &Action) -> Result<(), store::CallError> {
        let name = match action {
            Action::Nothing | Action::Role(_) => None,
            Action::Model(it) | Action::Adapter(it) | Action::Version(it) => Some(it.clone()),
        };
        let transfer = name.zip(self.config.listing.platform);
        let Some((name, address)) = transfer else {
            thread::sleep(self.config.scaled(self.config.change_time));
            return Ok(());
        };
        let settings = settings::Platform { address, ..Default::default() };
        store::Client::new(&settings).load(&name).map(drop)
    }
}
