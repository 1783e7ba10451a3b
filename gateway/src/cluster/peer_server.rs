//! Takes requests from hosts that are cut off from the targets, and sends them on.

use std::rc::Rc;

use hyper::{Request, Response, StatusCode, body::Incoming, header::HeaderValue};

use crate::{
    cluster::peer_ticket::{NOT_TAKEN_HEADER, TICKET_HEADER, Ticket, VERSION_HEADER},
    context::Context,
    entry::{
        forward,
        response::{self, Body},
    },
};

/// Most requests of other hosts that are open at a time. Together with the bound on the memory for
/// bodies, it bounds what other hosts can take of this one.
const MAX_OPEN: usize = 256;

/// Handles a request of another host and returns the response.
pub async fn handle(context: Rc<Context>, mut request: Request<Incoming>) -> Response<Body> {
    let header = request.headers_mut().remove(TICKET_HEADER);
    let ticket = header.as_ref().and_then(|it| Ticket::try_from(it).ok());
    let ticket = ticket.filter(|it| is_from_host(&context, it));
    let Some(ticket) = ticket else {
        tracing::warn!(
            code = 8061,
            "refused a request on the port for other hosts that is not from one; check who reaches this port"
        );
        return not_taken(StatusCode::FORBIDDEN, "not a host of this system");
    };
    let open = context.open_peer_request(MAX_OPEN).filter(|_| takes(&context, &ticket));
    let Some(_open) = open else {
        return not_taken(StatusCode::SERVICE_UNAVAILABLE, "not taken");
    };
    context.metrics.peer_requests.with_label_values(&["taken"]).inc();
    // A request is handled by the version in force as it arrives.
    let version = context.state().configuration.as_ref().map(|it| it.version);
    let mut response = forward::handle(Rc::clone(&context), request, Some(ticket)).await;
    let headers = response.headers_mut();
    headers.remove(NOT_TAKEN_HEADER);
    headers.remove(VERSION_HEADER);
    if let Some(version) = version {
        headers.insert(VERSION_HEADER, HeaderValue::from(version));
    }
    response
}

fn not_taken(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = response::local(status, text, None);
    response.headers_mut().insert(NOT_TAKEN_HEADER, HeaderValue::from_static("1"));
    response
}

/// Returns whether a ticket is from a host of the system and meant for this run of the process.
fn is_from_host(context: &Context, ticket: &Ticket) -> bool {
    let Ticket { from, from_incarnation, to_incarnation, .. } = ticket;
    let state = context.state();
    *to_incarnation == context.settings.host.incarnation
        && state.membership.is_known(from, *from_incarnation)
}

/// Returns whether this host may send the request on: it is not shutting down, it reaches targets, and
/// its configuration is not older than one by which requests of the other host, or its own, were
/// handled.
fn takes(context: &Context, ticket: &Ticket) -> bool {
    let state = context.state();
    let version = state.configuration.as_ref().map(|it| it.version);
    let is_newer = Some(ticket.configuration_version) <= version && !state.is_superseded();
    !context.is_shutting_down() && !state.reachability.is_cut_off() && is_newer
}
