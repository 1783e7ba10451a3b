//! HTTP interface of the engine.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use smol_str::format_smolstr;
use ureq::http;

use super::{
    Shared,
    job::{Job, Kind, Prompt},
    order_state::{Effect, is_disruptive},
    wire::{Export, ReceivedOrder, StartedRequest},
};
use crate::{
    link::{
        http_client::{Pool, Timeouts},
        http_server::{Handler, Head, Request, Responder, Response},
    },
    settings,
    standin::{Refusal, empty_response, parse_body, split_path},
    store::{self, WeightStore},
    target::{Action, Generation, KvExport, Order, Report, Role, wire},
};

/// Interval of checks whether the engine is still frozen.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of an import of KV cache from another engine.
const KV_IMPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of connecting to another engine.
const KV_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

impl Handler for Arc<Shared> {
    fn handle(&self, request: Request, reply: Responder) {
        if request.path != "/faults" && request.path != "/record" {
            self.wait_while_frozen();
        }
        if self.is_down() {
            return;
        }
        match split_path(&request.path) {
            ("v1", "completions") => self.submit(&request, reply, Kind::Generate),
            ("prefill", _) => {
                let handle = format_smolstr!("{:016x}", rand::random::<u64>());
                self.submit(&request, reply, Kind::Export(handle));
            }
            ("order", _) => self.handle_order(&request, reply),
            (call, rest) => {
                reply.send(self.dispatch(call, rest, &request).unwrap_or_else(Response::from))
            }
        }
    }
}

impl Shared {
    fn wait_while_frozen(&self) {
        while self.state().faults.freeze && !self.is_down() {
            thread::sleep(FREEZE_POLL_INTERVAL);
        }
    }

    fn is_down(&self) -> bool {
        self.is_stopped() || self.state().crashed
    }

    /// Handles the calls that neither start a request nor give an order.
    fn dispatch(&self, call: &str, rest: &str, request: &Request) -> Result<Response, Refusal> {
        match call {
            "report" => Ok(Response::json(200, &self.lagged_report()?)),
            "cache-events" => Ok(self.cache_events(request)),
            "cancel" => {
                let cancellation: wire::Cancel = parse_body(request)?;
                self.state().cancelled_ids.push(cancellation.request_id);
                self.wake.notify_all();
                Ok(empty_response())
            }
            "kv" => self.send_kv(rest),
            "record" => Ok(Response::json(200, &self.state().record)),
            "faults" => {
                self.set_faults(parse_body(request)?);
                Ok(empty_response())
            }
            _ => Err(Refusal::new(404, "no such call")),
        }
    }

    /// Returns the newest report that is at least `report_lag` old, or else the oldest one.
    fn lagged_report(&self) -> Result<Report, Refusal> {
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
        let events = state.event_log.read(state.incarnation, since.unwrap_or(0), lag, gap);
        Response::json(200, &events)
    }

    /// Submits a request to the scheduler, which streams the response.
    fn submit(&self, request: &Request, reply: Responder, kind: Kind) {
        let (generation, imported_tokens) = match self.prepare(request, &kind) {
            Ok(it) => it,
            Err(refusal) => return reply.send(refusal.into()),
        };
        let head = match kind {
            Kind::Generate => Head::new(200).with_header("content-type", "text/event-stream"),
            Kind::Export(_) => Head::new(200).with_header("content-type", "application/json"),
        };
        let prompt = Prompt::from(&generation);
        let mut state = self.state();
        if state.crashed {
            state.open_requests -= 1;
            return;
        }
        let started = StartedRequest {
            request: generation.request_id.clone(),
            prompt_hash: prompt.hash,
            prompt_tokens: prompt.tokens,
            resume_at: generation.resume_at,
            incarnation: state.incarnation,
        };
        state.record.add_request(started);
        let output = reply.start_stream(head);
        let job = Job::new(&generation, prompt, kind, imported_tokens, &state.faults, output);
        state.submitted.push(job);
        drop(state);
        self.wake.notify_all();
    }

    /// Admits a request and imports its KV cache; also returns the number of imported tokens.
    fn prepare(&self, request: &Request, kind: &Kind) -> Result<(Generation, u32), Refusal> {
        let generation: Generation = parse_body(request)?;
        self.admit(&generation, kind)?;
        let imported_tokens = match &generation.kv {
            Some(it) => self.import_kv(it).inspect_err(|_| self.state().open_requests -= 1)?,
            None => 0,
        };
        Ok((generation, imported_tokens))
    }

    /// Checks that the engine can run a request and counts it as open.
    fn admit(&self, generation: &Generation, kind: &Kind) -> Result<(), Refusal> {
        let mut state = self.state();
        let order_state = &state.order_state;
        if state.faults.refuse || !order_state.is_serving() {
            return Err(Refusal::new(503, "not serving"));
        }
        if order_state.model != generation.model {
            return Err(Refusal::new(409, "another model is loaded"));
        }
        if generation.adapter.as_ref().is_some_and(|it| !order_state.adapters.contains(it)) {
            return Err(Refusal::new(409, "the adapter is not loaded"));
        }
        if order_state.role == Role::Prefill && *kind == Kind::Generate {
            return Err(Refusal::new(409, "the engine only reads prompts"));
        }
        if self.config.queue_capacity + self.config.slots as usize <= state.open_requests {
            return Err(Refusal::new(503, "the queue is full"));
        }
        state.open_requests += 1;
        Ok(())
    }

    /// Fetches KV cache from the engine that exported it; returns the number of tokens covered.
    fn import_kv(&self, kv: &KvExport) -> Result<u32, Refusal> {
        let failed = |it: &dyn std::fmt::Display| Refusal::new(409, format!("no KV cache: {it}"));
        let request = http::Request::get(format!("http://{}/kv/{}", kv.address, kv.handle))
            .body(Vec::new())
            .map_err(|it| failed(&it))?;
        let timeouts = Timeouts {
            connect: KV_CONNECT_TIMEOUT,
            inactivity: None,
            total: Some(KV_IMPORT_TIMEOUT),
        };
        let pool = Pool::new(kv.address);
        let mut response =
            pool.send_on_new_connection(request, &timeouts).map_err(|it| failed(&it))?;
        let body = response.read_whole().map_err(|it| failed(&it))?;
        let export: Export = serde_json::from_slice(&body).map_err(|it| failed(&it))?;
        Ok(export.tokens)
    }

    /// Returns exported KV cache after the duration of its transfer; each export is sent once.
    fn send_kv(&self, handle: &str) -> Result<Response, Refusal> {
        let export = self.state().exports.remove(handle);
        let Some(export) = export else {
            return Err(Refusal::new(404, "no such export"));
        };
        let transfer = Duration::from_secs_f64(f64::from(export.tokens) / self.config.kv_rate);
        thread::sleep(self.config.scaled(transfer));
        Ok(Response::json(200, &export))
    }

    /// Handles an order and sends its receipt, unless the fault `lose_order_answers` drops it.
    fn handle_order(self: &Arc<Self>, request: &Request, reply: Responder) {
        let order: Order = match parse_body(request) {
            Ok(it) => it,
            Err(refusal) => return reply.send(refusal.into()),
        };
        let mut state = self.state();
        let (receipt, effect) = state.order_state.handle(&order);
        let received = ReceivedOrder {
            fence: order.fence,
            holder: order.holder.clone(),
            action: order.action.clone(),
            receipt: receipt.clone(),
            running: state.open_requests as u32,
        };
        state.record.add_order(received);
        let is_lost = 0 < state.faults.lose_order_answers;
        state.faults.lose_order_answers -= u32::from(is_lost);
        if let Effect::Change(action) = effect {
            state.reset_requested |= is_disruptive(&action);
            drop(state);
            self.start_change(action);
        } else {
            drop(state);
        }
        match is_lost {
            true => drop(reply.start_stream(Head::new(200))),
            false => reply.send(Response::json(200, &receipt)),
        }
    }

    /// Starts a change on a separate thread.
    ///
    /// A crash or restart of the engine in the meantime discards the result.
    fn start_change(self: &Arc<Self>, action: Action) {
        self.wake.notify_all();
        let shared = Arc::clone(self);
        let incarnation = self.state().incarnation;
        thread::spawn(move || {
            let result = shared.perform_change(&action);
            let mut state = shared.state();
            if state.incarnation != incarnation || state.crashed {
                return;
            }
            if state.faults.crash_on_change {
                state.faults.crash_on_change = false;
                state.faults.crash_after_tokens = Some(0);
                return;
            }
            match result {
                Ok(()) => state.order_state.complete(action),
                Err(_) => state.order_state.fail(),
            }
        });
    }

    /// Waits for the duration of a change.
    ///
    /// A change of model, adapter or version loads the weights if the engine has a platform; all
    /// other changes take `change_time`.
    fn perform_change(&self, action: &Action) -> Result<(), store::CallError> {
        let weights = match action {
            Action::Nothing | Action::Role(_) => None,
            Action::Model(it) | Action::Adapter(it) | Action::Version(it) => Some(it.clone()),
        };
        let download = weights.zip(self.config.listing.platform);
        let Some((name, address)) = download else {
            thread::sleep(self.config.scaled(self.config.change_time));
            return Ok(());
        };
        let settings = settings::Platform { address, ..Default::default() };
        store::Client::new(&settings).load(&name).map(drop)
    }
}
